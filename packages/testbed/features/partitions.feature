Feature: Partitions
  Connections between running nodes are cut and restored.

  Background:
    Given the institution "kartuli" runs with connections that can be cut
    And its file is in force on every node

  @known-red
  Scenario: All connections of one node are cut under load
    Given 100 calls per second are sent
    When 1 seconds pass
    And the node "till-2" is separated from its peers
    And 4 seconds pass
    And the node "till-2" is reconnected to its peers
    And 3 seconds pass
    And the load ends
    Then most calls are answered
    And no payment runs twice and no refusal is false
    And payments through "till-2" are answered

  Scenario: A node is cut off while another one drains
    Given 100 calls per second are sent
    When 1 seconds pass
    And the node "till-2" is separated from its peers
    And the node "till-4" starts its planned stop
    And 3 seconds pass
    And the node "till-2" is reconnected to its peers
    And 2 seconds pass
    And the load ends
    Then the node "till-4" completes its planned stop
    And the target "till-4" gets no new work later than 3 seconds after the stop started
    And most calls are answered
    And no payment runs twice and no refusal is false
