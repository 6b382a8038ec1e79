Feature: Callers get their own answer, once, and only with a valid key

  Background:
    Given organisation "office" with a rate of 200/s and a burst of 200

  Scenario: A withdrawn key ends an open stream and is refused everywhere
    Given a federation of 2 zones with 2 nodes in each is running
    When "office" opens a stream of 4000 tokens through node "a-1"
    And the key of "office" is withdrawn
    Then the stream ends within 5 seconds without an end marker
    And "office" gets the status 401 for a prompt through node "b-2" within 5 seconds

  Scenario: A key withdrawn while a zone is cut from the platform stops there through its peers
    Given a federation of 2 zones with 2 nodes in each is running
    When zone "b" is partitioned from the platform
    And the key of "office" is withdrawn
    Then "office" gets the status 401 for a prompt through node "b-1" within 5 seconds

  Scenario: A label that is sent again is printed once
    Given a federation of 2 zones with 2 nodes in each is running
    When "office" prints label "carton-1" with the key "one" through node "a-1"
    Then the response has the status 200
    Then "office" gets the status 200 for label "carton-1" with the key "one" through node "b-1" within 5 seconds
    And label "carton-1" was printed 1 times
    When node "a-1" is killed
    Then "office" gets the status 200 for label "carton-1" with the key "one" through node "b-2" within 5 seconds
    And label "carton-1" was printed 1 times
    When the platform is unavailable
    And "office" prints label "carton-2" with the key "two" through node "b-1"
    Then the response has the error code "log_unavailable" and the run status "not_run"
    And label "carton-2" was printed 0 times

  Scenario: A request that crashes its worker costs two workers
    Given a federation of 2 zones with 2 nodes in each is running
    When "office" sends the prompt "[[crash]] seam" through node "a-1"
    And "office" sends the prompt "[[crash]] seam" through node "b-1"
    And "office" sends the prompt "[[crash]] seam" through node "a-2"
    Then the response has the error code "quarantined" and the run status "not_run"
    When "office" sends the prompt "[[crash]] seam" through node "b-2"
    Then the response has the error code "quarantined" and the run status "not_run"
    And 2 engines have crashed
    And "office" gets the status 200 for a prompt through node "a-1" within 10 seconds

  Scenario: Connections that go silent are replaced, and crossed responses reach no caller
    Given a federation of 2 zones with 2 nodes in each is running
    When "office" sends the prompt "first" through node "a-1"
    Then the response has the status 200
    When all established connections to the engines stop responding
    Then "office" gets the status 200 for a prompt through node "a-1" within 20 seconds
    When the next response of each engine belongs to another request
    Then "office" gets the status 200 for a prompt through node "a-1" within 20 seconds
