Feature: Partitions
  Connections between living nodes are cut and come back.

  Background:
    Given the institution "kartuli" runs on connections that can be cut
    And its file is in force on every node

  @known-red
  Scenario: All connections of one node are cut under load
    Given 100 calls per second are sent
    When 1 seconds pass
    And the node "till-2" is separated from its peers
    And 4 seconds pass
    And the node "till-2" reaches its peers again
    And 3 seconds pass
    And the load ends
    Then most calls are answered
    And no payment runs twice and no refusal is false
    And payments through "till-2" are answered

  Scenario: A node is cut off while another one drains
    Given 100 calls per second are sent
    When 1 seconds pass
    And the node "till-2" is separated from its peers
    And the node "till-4" begins its planned stop
    And 3 seconds pass
    And the node "till-2" reaches its peers again
    And 2 seconds pass
    And the load ends
    Then the node "till-4" ends its planned stop
    And the target "till-4" gets no new work later than 3 seconds after the stop began
    And most calls are answered
    And no payment runs twice and no refusal is false
