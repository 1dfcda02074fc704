@promise_5
Feature: A request refused as not_run was never executed

  Scenario: The log is down
    Given a cluster of 3 instances
    When the log goes down
    And checklist entry e1 with key k1 is sent to entry-1 with a timeout of 5 s
    And all requests have completed
    Then the verdict of e1 is not_run
    And checklist entry e1 ran 0 times
    When the log comes back
    Then checklist entry e1 still ran 0 times after 3 s
    And within 10 s checklist entry e1 with key k1 gets the verdict ran
    And checklist entry e1 ran 1 times

  Scenario: A claim lands after its request was given up
    Given a cluster of 3 instances
    When the next 1 appends take effect 4 s late
    And checklist entry e1 with key k1 is sent to entry-1 with a timeout of 1 s
    And all requests have completed
    Then the verdict of e1 is not_run
    And checklist entry e1 still ran 0 times after 5 s
    And within 10 s checklist entry e1 with key k1 gets the verdict ran
    And checklist entry e1 ran 1 times

  Scenario: The services refuse and the log is slow
    Given a cluster of 3 instances
    When upstream field-records-0 has the fault refuse = 429
    And upstream field-records-1 has the fault refuse = 429
    And the log responds 0.3 s late
    And checklist entry e1 with key k1 is sent to entry-1 with a timeout of 8 s
    And all requests have completed
    Then the verdict of e1 is not_run
    And checklist entry e1 ran 0 times
    When upstream field-records-0 has the fault refuse = 0
    And upstream field-records-1 has the fault refuse = 0
    Then within 15 s checklist entry e1 with key k1 gets the verdict ran
    And checklist entry e1 ran 1 times

  Scenario: The upstreams are gone and the instance is frozen
    Given a cluster of 3 instances
    When upstream field-records-0 is killed
    And upstream field-records-1 is killed
    And checklist entry e1 with key k1 is sent to entry-1 with a timeout of 8 s
    And all requests have completed
    Then the verdict of e1 is not_run
    When instance entry-1 is frozen
    And upstream field-records-0 starts again
    And upstream field-records-1 starts again
    And instance entry-1 resumes
    Then checklist entry e1 still ran 0 times after 2 s
