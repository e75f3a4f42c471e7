Feature: The operators' day
  Operators change the system only by its text. These scenarios run the operators' command and the daemons as separate
  processes that share one deployment.

  Scenario: The check finds all faults of a text
    Given neza edits the text in force and adds
      """
      [service archive]
      depends = nowhere
      [service quay]
      timeout-ms = soon
      """
    When neza checks the text
    Then the command ends as INVALID_TEXT
    And it names "service archive", "nowhere" and "timeout-ms"
    And no version was added

  Scenario: Two operators race
    Given neza and odile start from the same version
    When both propose a change at the same time
    Then one change is accepted
    And the other operator is told who won

  Scenario: A change is in force on all daemons
    Given neza edits the text in force and adds
      """
      [service letters]
      """
    When neza proposes the text and waits for it
    Then each daemon shows the new version and its text
    And each daemon knows the service "letters"

  Scenario: A request is explained
    Given a caller got an answer from daemon-2
    When neza asks all daemons to explain the request
    Then the command ends as OK
    And it names "daemon-2", "gate", "layers=0-4", "layers=4-8", "layers=8-12" and "answered with"

  Scenario: The impact of a service that is down
    Given neza edits the text in force and adds
      """
      [service vault]
      [service ledger]
      depends = vault
      """
    And neza proposes the text and waits for it
    When neza asks for the impact of "vault"
    Then the command ends as OK
    And it names "service ledger depends on it" and "root cause: service vault is down"
    And the daemons report the same impact of "vault"

  Scenario: A drained daemon finishes its requests
    Given a slow service and one more daemon
    And a call to the slow service through that daemon is open
    When neza drains that daemon
    Then it refuses new calls as not run
    And the open call gets its whole response
    And the daemon ends without cutting off a request
