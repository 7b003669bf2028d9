Feature: Configuration
  Every node enforces exactly the accepted state, and a change disturbs no call.

  Background:
    Given the institution "kartuli" runs
    And its file is in force on every node

  Scenario: A change under load
    Given 100 calls per second are sent
    When an operator applies longer timeouts
    Then the file is accepted
    And version 2 is in force on every node
    When the load ends
    Then every call is answered
    And no connection is cut
    And no payment runs twice and no refusal is false

  Scenario: A bad file changes nothing
    When an operator applies a file with a route to a missing service
    Then the file is not accepted
    And no node enforces more than version 1

  Scenario: Two operators race
    When two operators apply different files at the same time
    Then version 2 is in force on every node
    And no node enforces more than version 2

  Scenario: The answer to an append is lost
    When the answer to the next append is lost
    And an operator applies longer timeouts
    Then the file is accepted
    And version 2 is in force on every node
    And no node enforces more than version 2

  Scenario: The log is down, then slow
    Given 100 calls per second are sent
    When the log goes down
    And an operator applies longer timeouts
    Then the file is not accepted
    When 3 seconds pass
    And the log comes back
    And the log answers after 300 milliseconds
    And an operator applies longer timeouts
    Then the file is accepted
    And version 2 is in force on every node
    When the load ends
    Then every call is answered
    And no payment runs twice and no refusal is false

  Scenario: The whole fleet restarts
    When an operator applies longer timeouts
    Then version 2 is in force on every node
    When every node is killed and starts again
    Then version 2 is in force on every node

  Scenario: Nodes restart while the log is down
    When an operator applies longer timeouts
    Then version 2 is in force on every node
    When the log goes down
    And the node "till-2" is killed
    And the node "till-2" starts again
    Then version 2 is in force on every node
    When every node is killed and starts again
    And 3 seconds pass
    Then no node enforces a version, and each reports a reason
    When the log comes back
    Then version 2 is in force on every node

  Scenario: A service comes and goes under load
    Given 100 calls per second are sent
    When an operator applies a file with a new service while its targets start
    Then the file is accepted
    And version 2 is in force on every node
    And fetches of the new service are answered through every node
    When an operator applies the first file again
    Then version 3 is in force on every node
    And fetches of the new service have no route on any node
    When the load ends
    Then every call is answered
    And no connection is cut
    And no payment runs twice and no refusal is false
