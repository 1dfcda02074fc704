@promise_9
Feature: Accepted settings are applied within seconds and never reverted

  Scenario: Operators race each other
    Given a cluster of 3 instances
    When operators ayu and budi publish against the same revision
    Then exactly one is accepted and the other is refused with the name of the winner
    And within 14 s all instances have the same settings
    And the history shows both publishes

  Scenario: An instance is cut from the log
    Given a cluster of 3 instances, entry-3 with its own link to the log
    When the settings revisions of all instances are monitored
    And instance entry-3 is cut from the log
    And a change is published
    Then within 14 s instance entry-3 has applied the change
    When instance entry-3 reaches the log again
    And a change is published
    Then within 14 s every instance has applied the change
    And no instance has reverted to an older revision

  Scenario: A fresh instance starts while the log is down
    Given a cluster of 3 instances
    When a change is published
    Then within 14 s every instance has applied the change
    When the log goes down
    And instance entry-2 is killed
    And instance entry-4 starts
    Then within 14 s instance entry-4 has applied the change
    When the log comes back
    And the settings revisions of all instances are monitored
    And a change is published
    Then within 14 s every instance has applied the change
    And no instance has reverted to an older revision

  Scenario: The answer to a publish is lost and its copy lands late
    Given a cluster of 3 instances
    When the next 1 appends take effect 3 s late
    And operator ayu publishes and the append takes effect late
    Then the publish is accepted once
    And no older publish takes effect later

  Scenario: Retention passes and every instance is replaced
    Given a cluster of 2 instances that snapshot every 10 records
    And the log retains 30 records
    When 3 changes are published
    And every earlier log record has expired
    And instance entry-3 starts
    And instance entry-1 is killed
    And instance entry-2 is killed
    And instance entry-4 starts
    Then within 14 s every instance has applied the change
    And a publish against revision 1 is refused
    And a change is published
    And within 14 s every instance has applied the change
