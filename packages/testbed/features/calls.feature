Feature: Calls
  A caller gets the complete answer, a reliable refusal, or the outcome "unknown".

  Background:
    Given the institution "kartuli" runs
    And its file is in force on every node

  Scenario: A resent payment is not run again
    When a kiosk sends a payment through "till-1"
    Then the outcome is "answered"
    When the kiosk retries the same payment through "vault-2"
    Then the outcome is "answered"
    And no payment runs twice and no refusal is false

  Scenario: A large answer arrives whole
    When a portal fetches 3000000 bytes through "till-1"
    Then the outcome is "answered"
    And the answer has 3000000 bytes

  Scenario: A large answer that breaks is not taken for whole
    When a portal fetches 3000000 bytes, cut off in the middle, through "till-1"
    Then the partial answer is not taken for a complete one

  Scenario: A payment that crashes its target
    When a kiosk sends a payment that crashes its target through "till-1"
    Then the outcome is "unknown"
    When the kiosk retries the same payment through "till-2"
    And the kiosk retries the same payment through "vault-1"
    Then no payment runs twice and no refusal is false
