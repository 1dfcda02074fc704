@promise_7
Feature: A leaving upstream receives no new requests after a few seconds

  Scenario: The instance list says so, with a lag
    Given a cluster of 3 instances
    When traffic of lookups, entries and streams runs
    And 50 more requests have completed
    And upstream list has the fault lag_s = 1
    And upstream order-lookup-0 is listed as leaving
    Then within 4 s upstream order-lookup-0 receives no new requests

  Scenario: The settings say so while an instance is cut from the log
    Given a cluster of 3 instances, entry-3 with its own link to the log
    When traffic of lookups, entries and streams runs
    And 50 more requests have completed
    And instance entry-3 is cut from the log
    And upstream field-records-1 is set as leaving in the settings
    Then within 4 s upstream field-records-1 receives no new requests

  Scenario: The settings say so while the instance list is down
    Given a cluster of 3 instances
    When traffic of lookups, entries and streams runs
    And 50 more requests have completed
    And upstream list has the fault down = 1
    And upstream order-lookup-1 is set as leaving in the settings
    Then within 4 s upstream order-lookup-1 receives no new requests
