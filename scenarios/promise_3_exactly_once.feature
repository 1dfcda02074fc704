@promise_3
Feature: Samples, lookups and checklist entries are delivered exactly once

  Scenario: The owner is killed between hand-off and acknowledgement
    Given a cluster of 3 instances
    When the response to a pull is lost and the owner is killed
    Then the trainer has received every sample exactly once

  Scenario: The owner is frozen, another takes over, and it wakes
    Given a cluster of 3 instances
    When a trainer starts 3 steps of 12 groups of 4 samples
    And the trainer has received 8 samples
    And the trainer's owner is frozen
    And 4 s pass
    And the frozen owner resumes
    And the trainer has finished
    Then the trainer has received every sample exactly once
    And no sample lags more than 2 versions

  Scenario: An instance is killed and the log loses answers under traffic
    Given a cluster of 3 instances
    When traffic of lookups, entries and streams runs
    And 100 more requests have completed
    And the log loses the next 5 responses
    And instance entry-2 is killed
    And 200 more requests have completed
    And the traffic stops
    Then no checklist entry ran twice
    And every checklist entry with a response ran once
    And every lookup and stream got the complete response to its own request
