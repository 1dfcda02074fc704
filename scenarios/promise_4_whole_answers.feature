@promise_4
Feature: A router gets the whole answer to its own request

  Scenario: Engines cut streams in the middle
    Given a cluster of 2 instances
    When upstream peg-sizing-0 has the fault cut_streams = 4
    And upstream peg-sizing-1 has the fault cut_streams = 4
    And 24 streams of 30 tokens are sent
    Then every stream is whole with 30 tokens or is seen as cut
    And at least 1 streams were seen as cut
    And every whole stream names the versions that its text tells of

  Scenario: An engine is killed while it streams
    Given a cluster of 2 instances
    When upstream peg-sizing-0 has the fault slow = 10
    And 12 streams of 40 tokens are sent
    And 1 s pass
    And upstream peg-sizing-0 is killed
    Then every stream is whole with 40 tokens or is seen as cut

  Scenario: A service cuts, crosses and loses answers
    Given a cluster of 2 instances
    When upstream order-lookup-0 has the fault crossed = 10
    And upstream order-lookup-1 has the fault cut = 4
    And 60 lookups are sent
    Then no lookup got a wrong or partial answer

  Scenario: A service is killed and its answers come late from the other
    Given a cluster of 2 instances
    When upstream order-lookup-1 has the fault slow = 30
    And upstream order-lookup-0 is killed
    And 16 lookups are sent, again when refused as not run
    Then every lookup got the whole answer to its own request
