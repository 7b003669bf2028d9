Feature: Planned stops
  A planned stop interrupts no request in flight.

  Background:
    Given the institution "kartuli" runs
    And its file is in force on every node

  Scenario: The host of a large answer stops while it is read slowly
    When a portal starts to fetch 24000000 bytes at 12000000 bytes per second through "till-1"
    And the node beside the target of the fetch is stopped
    Then all 24000000 bytes of the fetch arrive

  Scenario: The entry node of a large answer stops while it is read slowly
    When a portal starts to fetch 24000000 bytes at 12000000 bytes per second through "till-1"
    And the node "till-1" is stopped
    Then all 24000000 bytes of the fetch arrive

  Scenario: All nodes stop under load at the same time
    Given 100 calls per second are sent
    When 1 seconds pass
    And every node is stopped at the same time
    And the load ends
    Then no call that a node has accepted is cut off
    And no payment runs twice and no refusal is false

  Scenario: A rolling stop under load
    Given 100 calls per second are sent
    When 1 seconds pass
    And the nodes of each service are stopped and started again one after the other
    And the load ends
    Then no call that a node has accepted is cut off
    And most calls are answered
    And no payment runs twice and no refusal is false
