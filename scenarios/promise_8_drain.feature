@promise_8
Feature: A graceful shutdown truncates no request in flight

  Scenario: Two instances leave at once under traffic
    Given a cluster of 4 instances
    When traffic of lookups, entries and streams runs
    And a trainer starts 6 steps of 6 groups of 4 samples
    And 100 more requests have completed
    And instance entry-1 receives SIGTERM
    And instance entry-3 receives SIGTERM
    Then within 5 s no entry list contains instance entry-1
    And instance entry-1 has exited with status 0
    And instance entry-3 has exited with status 0
    When 50 more requests have completed
    And the traffic stops
    And the trainer has finished
    Then no request was truncated or lost
    And every lookup and stream got the complete response to its own request
    And no checklist entry ran twice
    And the trainer has received every sample exactly once

  Scenario: An instance leaves by the settings while the log is slow
    Given a cluster of 3 instances
    When traffic of lookups, entries and streams runs
    And 100 more requests have completed
    And the log responds 0.2 s late
    And instance entry-2 is set as leaving in the settings
    Then within 10 s no entry list contains instance entry-2
    And instance entry-2 has exited with status 0
    When the traffic stops
    Then no request was truncated or lost
    And no checklist entry ran twice

  Scenario: An instance leaves during long streams while another is frozen
    Given a cluster of 4 instances
    When 12 streams of 1600 tokens are sent to entry-2
    And instance entry-2 receives SIGTERM
    And instance entry-4 is frozen
    And instance entry-2 has exited with status 0
    Then every stream is complete with 1600 tokens or detected as truncated
    And no stream was truncated
