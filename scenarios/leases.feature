@leases @promise_2
Feature: Only the lease holder orders weights, and every engine loads them

  Scenario: The holder is frozen past its lease and wakes
    Given a cluster of 3 instances
    When version 1 is announced
    Then within 34 s every engine has version 1
    When the holder of the weight lease is frozen
    And another instance holds the weight lease
    And version 2 is announced
    And the former holder resumes
    Then within 34 s every engine has version 2
    And within 10 s one instance holds the weight lease
    And no engine accepted a weight order with a lower fence after a higher one

  Scenario: The holder is killed and the engines ignore fences
    Given a cluster of 3 instances with engines that ignore fences
    When version 1 is announced
    Then within 34 s every engine has version 1
    When the holder of the weight lease is killed
    And another instance holds the weight lease
    And version 2 is announced
    Then within 34 s every engine has version 2
    And no engine accepted a weight order with a lower fence after a higher one

  Scenario: An engine restarts while the log is slow
    Given a cluster of 3 instances
    When version 3 is announced
    Then within 34 s every engine has version 3
    When the log responds 0.2 s late
    And upstream peg-sizing-1 is killed
    And upstream peg-sizing-1 starts again
    Then within 34 s every engine has version 3
