@promise_2
Feature: No sample handed to a trainer is older than the staleness bound

  Scenario: An engine cannot load new versions
    Given a cluster of 3 instances
    And the settings
      | node                             | key             | value |
      | pasak-lestari/peg-sizing/rollout | staleness_bound | 1     |
    When upstream peg-sizing-0 has the fault fail_swaps = 1000
    And a trainer runs 4 steps of 6 groups of 4 samples
    Then no sample lags more than 1 versions
    And the trainer has received every sample exactly once

  Scenario: The owner is killed in the middle of a step with a bound of 0
    Given a cluster of 3 instances
    And the settings
      | node                             | key             | value |
      | pasak-lestari/peg-sizing/rollout | staleness_bound | 0     |
    When a trainer starts 3 steps of 8 groups of 4 samples
    And the trainer has received 8 samples
    And the trainer's owner is killed
    And the trainer has finished
    Then no sample lags more than 0 versions
    And the trainer has received every sample exactly once

  Scenario: The holder of the weight lease is frozen and the store is slow
    Given a cluster of 3 instances
    When a trainer starts 4 steps of 6 groups of 4 samples
    And the trainer has received 4 samples
    And the holder of the weight lease is frozen
    And another instance holds the weight lease
    And the former holder resumes
    And the trainer has finished
    Then no sample lags more than 2 versions
    And every sample is labelled with the weight versions of its tokens
    And the trainer has received every sample exactly once

  Scenario: The trainer moves on in the middle of a step with a bound of 0
    Given a cluster of 3 instances
    And the settings
      | node                             | key             | value |
      | pasak-lestari/peg-sizing/rollout | staleness_bound | 0     |
    When a step is generated and the trainer announces the next version before it pulls
    Then no sample lags more than 0 versions
    And every sample is labelled with the weight versions of its tokens
    And the trainer has received every sample exactly once
