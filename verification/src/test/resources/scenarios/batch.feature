Feature: Batch jobs end complete and once

  Background:
    Given organisation "office" with a rate of 200/s and a burst of 200
    And organisation "rival" with a rate of 200/s and a burst of 200

  Scenario: A job survives the node that acknowledged it
    Given a federation of 2 zones with 3 nodes in each is running
    When "office" submits job "kits" of 60 items through node "a-1"
    Then the response has the status 201
    When node "a-1" is killed
    Then job "kits" of "office" is "ended" within 60 seconds at node "b-1"
    And job "kits" of "office" has 60 results at node "b-1", one for each item
    And 3 results of job "kits" of "office" at node "b-1" have the outcome "failed"

  @known-red
  Scenario: A holder that is paused past its lease and resumes adds no second result
    Given a federation of 2 zones with 3 nodes in each is running
    When "office" submits job "routes" of 200 items through node "b-2"
    And some results of job "routes" of "office" are available at node "b-1" within 30 seconds
    And node "a-1" is paused
    And node "b-2" is paused
    And node "a-1" is removed from the platform's VM list
    And node "b-2" is removed from the platform's VM list
    Then job "routes" of "office" is "ended" within 90 seconds at node "b-1"
    When node "a-1" is resumed
    And node "b-2" is resumed
    Then job "routes" of "office" has 200 results at node "b-1", one for each item
    And "office" gets the status 200 for a prompt through node "a-1" within 20 seconds

  Scenario: A job goes on through an outage of the platform, and append responses are lost
    Given a federation of 2 zones with 2 nodes in each is running
    When the next 2 appends take effect and their responses are lost
    And "office" submits job "notes" of 200 items through node "a-1"
    Then the response has the status 201
    When some results of job "notes" of "office" are available at node "a-2" within 30 seconds
    And the platform is unavailable
    And "office" submits job "late" of 5 items through node "a-1"
    Then the response has the error code "log_unavailable" and the run status "not_run"
    And "office" gets the status 200 for a prompt through node "b-1" within 10 seconds
    When the platform is available again
    Then job "notes" of "office" is "ended" within 60 seconds at node "b-2"
    And job "notes" of "office" has 200 results at node "b-2", one for each item

  Scenario: A job that is sent again is the same job, and a cancelled job stops
    Given a federation of 2 zones with 2 nodes in each is running
    When "office" submits job "twice" of 40 items through node "a-1"
    And "office" submits job "twice" of 40 items through node "b-1"
    Then the response has the status 200
    When "office" submits job "twice" of 41 items through node "b-2"
    Then the response has the error code "job_conflict" and the run status "not_run"
    And job "twice" of "office" is "ended" within 60 seconds at node "a-2"
    And job "twice" of "office" has 40 results at node "a-2", one for each item
    When "rival" submits job "stopped" of 3000 items through node "a-1"
    Then the response has the status 201
    When "rival" cancels job "stopped" through node "b-1"
    Then the response has the status 200
    And job "stopped" of "rival" is "cancelled" within 10 seconds at node "a-2"
    And all 3000 items of job "stopped" of "rival" have ended at node "a-2"
