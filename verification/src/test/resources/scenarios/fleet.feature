Feature: The fleet keeps its limits and its configuration

  Scenario: Two operators race, and one wins everywhere
    Given organisation "office" with a rate of 100/s and a burst of 100
    And a federation of 2 zones with 2 nodes in each is running
    When two operators publish a catalogue concurrently
    Then the first of the two catalogues is in force at every node within 5 seconds

  Scenario: A node that restarts in a zone cut from the platform takes the configuration of its peers
    Given organisation "office" with a rate of 100/s and a burst of 100
    And a federation of 2 zones with 2 nodes in each is running
    When zone "b" is partitioned from the platform
    And node "b-1" is killed
    And node "b-1" is restarted and is ready
    Then the newest configuration is in force at every node within 5 seconds

  Scenario: An organisation that sends many times its rate is held to its rate over all nodes
    Given organisation "office" with a rate of 20/s and a burst of 20
    And a federation of 2 zones with 2 nodes in each is running
    Then "office" sends 100 requests per second for 5 seconds over all nodes, and at most 120 are admitted
    When zone "b" is partitioned from the platform
    And zone "b" is partitioned from the other zones
    Then "office" sends 100 requests per second for 5 seconds over all nodes, and at most 120 are admitted

  Scenario: All nodes are replaced under load, and no request is cut off
    Given organisation "office" with a rate of 200/s and a burst of 200
    And a federation of 2 zones with 2 nodes in each is running
    When "office" opens a stream of 300 tokens through node "a-1"
    And node "a-1" receives a termination signal
    Then the stream is complete within 30 seconds
    And node "a-1" exits with code 0 within 30 seconds
    When node "a-1" is restarted and is ready
    And "office" opens a stream of 300 tokens through node "b-1"
    And node "b-1" receives a termination signal
    Then the stream is complete within 30 seconds
    And node "b-1" exits with code 0 within 30 seconds
