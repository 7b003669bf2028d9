Feature: Failures
  Processes crash, stall and stop while calls are sent.

  Background:
    Given the institution "kartuli" runs
    And its file is in force on every node

  Scenario: A node is killed and starts again
    Given 100 calls per second are sent
    When 1 seconds pass
    And the node "till-2" is killed
    And 2 seconds pass
    And the node "till-2" starts again
    And 5 seconds pass
    And the load ends
    Then most calls are answered
    And no payment runs twice and no refusal is false

  Scenario: A node is frozen for longer than its failure is detected
    Given 100 calls per second are sent
    When 1 seconds pass
    And the node "till-3" is frozen for 6 seconds
    And 3 seconds pass
    And the load ends
    Then most calls are answered
    And no payment runs twice and no refusal is false

  Scenario: A target is killed while the log is down
    Given 100 calls per second are sent
    When the log goes down
    And the target "till-1" is killed
    And 3 seconds pass
    And the log comes back
    And the target "till-1" starts again
    And 2 seconds pass
    And the load ends
    Then most calls are answered
    And no payment runs twice and no refusal is false

  Scenario: A planned stop under load
    Given 100 calls per second are sent
    When 1 seconds pass
    And the node "till-4" is stopped
    And 2 seconds pass
    And the load ends
    Then every call is answered
    And no payment runs twice and no refusal is false

  Scenario: A node dies while the log is down, and starts again before the log is back
    Given 100 calls per second are sent
    When the log goes down
    And the node "till-2" is killed
    And the node "till-2" starts again
    And 4 seconds pass
    And the log comes back
    And 6 seconds pass
    And the load ends
    Then most calls are answered
    And no payment runs twice and no refusal is false

  Scenario: An availability zone dies while the log is slow
    Given 100 calls per second are sent
    When the log answers after 300 milliseconds
    And the node "till-1" is killed
    And the node "till-4" is killed
    And the node "vault-1" is killed
    And the node "vault-4" is killed
    And an operator applies longer timeouts
    Then the file is accepted
    And version 2 is in force on every node
    When 3 seconds pass
    And the load ends
    Then most calls are answered
    And no payment runs twice and no refusal is false

  Scenario: Several requests crash their targets at once
    Given 100 calls per second are sent
    When 3 kiosks send different payments that crash their targets at the same time, each through every node in turn
    And a portal repeats a fetch that crashes its target through every node
    And the load ends
    Then at most 3 targets of "till" crash
    And at most 4 targets of "vault" crash
    And most calls are answered
    And no payment runs twice and no refusal is false
