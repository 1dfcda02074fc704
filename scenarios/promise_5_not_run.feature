@promise_5
Feature: What is refused as not run was not run

  Scenario: The log is down
    Given a cluster of 3 instances
    When the log goes down
    And entry e1 with key k1 is sent to entry-1 within 5 s
    And all requests have ended
    Then the verdict of e1 is not_run
    And entry e1 ran 0 times
    When the log comes back
    Then entry e1 still ran 0 times after 3 s
    And within 10 s entry e1 with key k1 gets the verdict ran
    And entry e1 ran 1 times

  Scenario: A claim lands after its request was given up
    Given a cluster of 3 instances
    When the next 1 appends land 4 s late
    And entry e1 with key k1 is sent to entry-1 within 1 s
    And all requests have ended
    Then the verdict of e1 is not_run
    And entry e1 still ran 0 times after 5 s
    And within 10 s entry e1 with key k1 gets the verdict ran
    And entry e1 ran 1 times

  Scenario: The services refuse and the log is slow
    Given a cluster of 3 instances
    When upstream field-records-0 has the fault refuse = 429
    And upstream field-records-1 has the fault refuse = 429
    And the log answers 0.3 s late
    And entry e1 with key k1 is sent to entry-1 within 8 s
    And all requests have ended
    Then the verdict of e1 is not_run
    And entry e1 ran 0 times
    When upstream field-records-0 has the fault refuse = 0
    And upstream field-records-1 has the fault refuse = 0
    Then within 15 s entry e1 with key k1 gets the verdict ran
    And entry e1 ran 1 times

  Scenario: The upstreams are gone and the instance is frozen
    Given a cluster of 3 instances
    When upstream field-records-0 is killed
    And upstream field-records-1 is killed
    And entry e1 with key k1 is sent to entry-1 within 8 s
    And all requests have ended
    Then the verdict of e1 is not_run
    When instance entry-1 is frozen
    And upstream field-records-0 starts again
    And upstream field-records-1 starts again
    And instance entry-1 wakes
    Then entry e1 still ran 0 times after 2 s
