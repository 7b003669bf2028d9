Feature: Operation
  The commands of the README run against a fleet under load and exit as specified in docs/cli.md.

  Background:
    Given the institution "kartuli" runs
    And its file is in force on every node

  Scenario: An operator's day
    Given 100 calls per second are sent
    And the operator "nino" writes a file with longer timeouts
    Then the file is valid
    And the difference to version 1 is the timeout of every route
    When the operator applies the file on version 1
    Then the file is accepted
    And the status shows version 2 on every node
    And the history names the operator, the base 1, the difference, the verdict and the zones that enforced version 2
    When the operator drains "till-2"
    Then the status shows "till-2" as "draining"
    Then the target "till-2" gets no work
    When the operator undrains "till-2"
    Then the status shows "till-2" as "ready"
    And the target "till-2" gets work
    When the operator appends version 2 as a snapshot
    Then the commands exit as follows
      | command                               | exit code | result        |
      | diff FILE                             | 0         |               |
      | apply FILE                            | 0         | accepted      |
      | apply FILE --base-version 1           | 2         | rejected      |
      | history --proposal unknown-id         | 3         | unknown       |
      | validate BROKEN                       | 4         |               |
      | apply BROKEN                          | 4         | rejected      |
      | drain till-99                         | 4         | invalid-input |
      | status --check                        | 0         |               |
      | status --admin 127.0.0.1:1            | 5         | unreachable   |
      | snapshot --log-url http://127.0.0.1:1 | 5         | unreachable   |
    And no node enforces more than version 2
    When the load ends
    Then every call is answered
    And no connection is cut
    And no payment runs twice and no refusal is false
