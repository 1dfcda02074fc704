@promise_9
Feature: An accepted configuration is in force within seconds and stays

  Scenario: Operators race each other
    Given a cluster of 3 instances
    When operators ayu and budi publish against the same revision
    Then exactly one is accepted and the other is told who won
    And within 14 s all instances have the same settings
    And the audit trail shows both publishes

  Scenario: An instance is cut from the log
    Given a cluster of 3 instances, entry-3 with a link of its own
    When the revisions of all instances are watched
    And instance entry-3 is cut from the log
    And a change is published
    Then within 14 s instance entry-3 has the change in force
    When instance entry-3 reaches the log again
    And a change is published
    Then within 14 s every instance has the change in force
    And no instance has gone back to an older revision

  Scenario: A fresh instance starts while the log is down
    Given a cluster of 3 instances
    When a change is published
    Then within 14 s every instance has the change in force
    When the log goes down
    And instance entry-2 is killed
    And instance entry-4 starts
    Then within 14 s instance entry-4 has the change in force
    When the log comes back
    And the revisions of all instances are watched
    And a change is published
    Then within 14 s every instance has the change in force
    And no instance has gone back to an older revision

  Scenario: The answer to a publish is lost and its copy lands late
    Given a cluster of 3 instances
    When the next 1 appends land 3 s late
    And operator ayu publishes and the append is lost on the way
    Then the publish is accepted once
    And no older publish takes effect later

  Scenario: Retention passes and every instance is replaced
    Given a cluster of 2 instances that snapshot every 10
    And the log keeps 30 records
    When 3 changes are published
    And the log has moved past its retention
    And instance entry-3 starts
    And instance entry-1 is killed
    And instance entry-2 is killed
    And instance entry-4 starts
    Then within 14 s every instance has the change in force
    And a publish against revision 1 is refused
    And a change is published
    And within 14 s every instance has the change in force
