@promise_6
Feature: A non-idempotent request runs at most once

  Scenario: The same key reaches two instances at once
    Given a cluster of 3 instances
    When entry e1 with key k1 is sent to entry-1 within 8 s
    And entry e1 with key k1 is sent to entry-2 within 8 s
    And entry e1 with key k1 is sent to entry-3 within 8 s
    And all requests have ended
    Then one of the answers of e1 is ran and none contradicts it
    And entry e1 ran 1 times

  Scenario: The holder is killed after it has dispatched
    Given a cluster of 3 instances
    When upstream field-records-0 has the fault slow = 400
    And upstream field-records-1 has the fault slow = 400
    And entry e1 with key k1 is sent to entry-1 within 20 s
    And entry e1 has begun at the upstream
    And instance entry-1 is killed
    Then within 10 s entry e1 with key k1 gets the verdict may_have_run
    And entry e1 ran 1 times

  Scenario: The holder is frozen while its claim is on the way
    Given a cluster of 3 instances
    When the next 1 appends land 3 s late
    And entry e1 with key k1 is sent to entry-1 within 4 s
    And the claim is on its way
    And instance entry-1 is frozen
    And 6 s pass
    And instance entry-1 wakes
    And all requests have ended
    Then entry e1 still ran 0 times after 2 s
    And within 15 s entry e1 with key k1 gets the verdict ran
    And entry e1 ran 1 times

  Scenario: The upstream loses its answer and the log loses answers too
    Given a cluster of 3 instances
    When upstream field-records-0 has the fault lose_answers = 5
    And upstream field-records-1 has the fault lose_answers = 5
    And the log loses the next 2 answers
    And entry e1 with key k1 is sent to entry-1 within 8 s
    And all requests have ended
    Then the verdict of e1 is may_have_run
    And entry e1 ran 1 times
    And within 10 s entry e1 with key k1 gets the verdict may_have_run
    And entry e1 ran 1 times

  Scenario: Retention passes between the first and the second request
    Given a cluster of 2 instances that snapshot every 10
    And the log keeps 30 records
    When entry e1 with key k1 is sent to entry-1 within 8 s
    And all requests have ended
    Then the verdict of e1 is ran
    When the log has moved past its retention
    And instance entry-3 starts
    And entry e1 with key k1 is sent to entry-3 within 8 s
    And all requests have ended
    Then the verdict of e1 is ran
    And entry e1 ran 1 times
