@promise_8
Feature: A graceful shutdown cuts off no request in flight

  Scenario: Two instances leave at once under traffic
    Given a cluster of 4 instances
    When traffic of lookups, entries and streams runs
    And a trainer starts 6 steps of 6 groups of 4
    And 100 more requests have ended
    And instance entry-1 is told to leave
    And instance entry-3 is told to leave
    Then within 5 s instance entry-1 is on no entry list
    And instance entry-1 has ended by itself
    And instance entry-3 has ended by itself
    When 50 more requests have ended
    And the traffic stops
    And the trainer has finished
    Then no request was cut or lost
    And every lookup and stream got the whole answer to its own request
    And no checklist entry ran twice
    And the trainer has every sample exactly once

  Scenario: An instance leaves by the settings while the log is slow
    Given a cluster of 3 instances
    When traffic of lookups, entries and streams runs
    And 100 more requests have ended
    And the log answers 0.2 s late
    And instance entry-2 is set as leaving
    Then within 10 s instance entry-2 is on no entry list
    And instance entry-2 has ended by itself
    When the traffic stops
    Then no request was cut or lost
    And no checklist entry ran twice

  Scenario: An instance leaves during long streams while another is frozen
    Given a cluster of 4 instances
    When 12 streams of 1600 tokens are sent to entry-2
    And instance entry-2 is told to leave
    And instance entry-4 is frozen
    And instance entry-2 has ended by itself
    Then every stream is whole with 1600 tokens or is seen as cut
    And no stream was cut
