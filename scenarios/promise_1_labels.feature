@promise_1
Feature: Every sample is labelled with the weight versions that generated it

  Scenario: A swap falls in the middle of streams
    Given a cluster of 3 instances
    And the settings
      | node                   | key               | value |
      | pasak-lestari/peg-sizing | weight_wave_share | 1     |
    When upstream peg-sizing-0 has the fault slow = 12
    And upstream peg-sizing-1 has the fault slow = 12
    And upstream peg-sizing-2 has the fault slow = 12
    And a trainer starts 3 steps of 6 groups of 4 samples
    And the trainer has finished
    Then every sample is labelled with the weight versions of its tokens
    And some sample is labelled with more than one weight version
    And the trainer has received every sample exactly once

  Scenario: A swap fails and leaves an engine on an unknown version
    Given a cluster of 3 instances
    When upstream peg-sizing-1 has the fault fail_swaps = 3
    And a trainer runs 3 steps of 6 groups of 4 samples
    Then every sample is labelled with the weight versions of its tokens
    And the trainer has received every sample exactly once
    And within 34 s every engine has version 4

  Scenario: An engine does not label its answers while another is killed
    Given a cluster of 3 instances
    When upstream peg-sizing-0 has the fault no_label = 12
    And a trainer starts 3 steps of 6 groups of 4 samples
    And the trainer has received 4 samples
    And upstream peg-sizing-2 is killed
    And the trainer has finished
    Then every sample is labelled with the weight versions of its tokens
    And the trainer has received every sample exactly once
