@promise_6
Feature: A non-idempotent request runs at most once

  Scenario: The same key reaches two instances at once
    Given a cluster of 3 instances
    When checklist entry e1 with key k1 is sent to entry-1 with a timeout of 8 s
    And checklist entry e1 with key k1 is sent to entry-2 with a timeout of 8 s
    And checklist entry e1 with key k1 is sent to entry-3 with a timeout of 8 s
    And all requests have completed
    Then one response for e1 has the verdict ran and none has not_run
    And checklist entry e1 ran 1 times

  Scenario: The holder is killed after it has dispatched
    Given a cluster of 3 instances
    When upstream field-records-0 has the fault slow = 400
    And upstream field-records-1 has the fault slow = 400
    And checklist entry e1 with key k1 is sent to entry-1 with a timeout of 20 s
    And checklist entry e1 has started at the upstream
    And instance entry-1 is killed
    Then within 10 s checklist entry e1 with key k1 gets the verdict may_have_run
    And checklist entry e1 ran 1 times

  Scenario: The holder is frozen while its claim is on the way
    Given a cluster of 3 instances
    When the next 1 appends take effect 3 s late
    And checklist entry e1 with key k1 is sent to entry-1 with a timeout of 4 s
    And the append of the claim is delayed
    And instance entry-1 is frozen
    And 6 s pass
    And instance entry-1 resumes
    And all requests have completed
    Then checklist entry e1 still ran 0 times after 2 s
    And within 15 s checklist entry e1 with key k1 gets the verdict ran
    And checklist entry e1 ran 1 times

  Scenario: The upstream loses its answer and the log loses answers too
    Given a cluster of 3 instances
    When upstream field-records-0 has the fault lose_answers = 5
    And upstream field-records-1 has the fault lose_answers = 5
    And the log loses the next 2 responses
    And checklist entry e1 with key k1 is sent to entry-1 with a timeout of 8 s
    And all requests have completed
    Then the verdict of e1 is may_have_run
    And checklist entry e1 ran 1 times
    And within 10 s checklist entry e1 with key k1 gets the verdict may_have_run
    And checklist entry e1 ran 1 times

  Scenario: Retention passes between the first and the second request
    Given a cluster of 2 instances that snapshot every 10 records
    And the log retains 30 records
    When checklist entry e1 with key k1 is sent to entry-1 with a timeout of 8 s
    And all requests have completed
    Then the verdict of e1 is ran
    When every earlier log record has expired
    And instance entry-3 starts
    And checklist entry e1 with key k1 is sent to entry-3 with a timeout of 8 s
    And all requests have completed
    Then the verdict of e1 is ran
    And checklist entry e1 ran 1 times
