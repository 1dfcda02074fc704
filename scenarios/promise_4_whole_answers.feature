@promise_4
Feature: A router gets the complete response to its own request

  Scenario: Engines cut streams in the middle
    Given a cluster of 2 instances
    When upstream peg-sizing-0 has the fault cut_streams = 4
    And upstream peg-sizing-1 has the fault cut_streams = 4
    And 24 streams of 30 tokens are sent
    Then every stream is complete with 30 tokens or detected as truncated
    And at least 1 streams were detected as truncated
    And every complete stream is labelled with the weight versions of its tokens

  Scenario: An engine is killed while it streams
    Given a cluster of 2 instances
    When upstream peg-sizing-0 has the fault slow = 10
    And 12 streams of 40 tokens are sent
    And 1 s pass
    And upstream peg-sizing-0 is killed
    Then every stream is complete with 40 tokens or detected as truncated

  Scenario: A service cuts, crosses and loses answers
    Given a cluster of 2 instances
    When upstream order-lookup-0 has the fault crossed = 10
    And upstream order-lookup-1 has the fault cut = 4
    And 60 lookups are sent
    Then no lookup got a wrong or partial response

  Scenario: A service is killed and its answers come late from the other
    Given a cluster of 2 instances
    When upstream order-lookup-1 has the fault slow = 30
    And upstream order-lookup-0 is killed
    And 16 lookups are sent and retried on not_run
    Then every lookup got the complete response to its own request
