Feature: Every entry VM uses the same configuration

  Scenario: Two operators publish a change concurrently
    Given a cell of 3 entry VMs
    When two operators publish concurrently on the same base revision
    Then one is accepted and the other is refused with the name of the winner
    And all entry VMs agree on the configuration within 16 seconds

  Scenario: A publication whose reply is lost is applied once
    Given a cell of 3 entry VMs
    When the next 2 replies of the log are lost
    And preset peak is chosen
    Then all entry VMs agree on the configuration within 16 seconds
    And the revision is 2

  Scenario: An entry VM that is cut off from the log gets the configuration from its peers
    Given a cell of 3 entry VMs with links that can be cut
    When an entry VM is cut off from the log
    And preset peak is chosen on another entry VM
    Then all entry VMs agree on the configuration within 16 seconds

  Scenario: A paused entry VM does not use an old configuration after it resumes
    Given a cell of 3 entry VMs with links that can be cut
    And the shards have different owners
    When an entry VM is cut off from the log
    And an entry VM is paused
    And preset peak is chosen on another entry VM
    And 3 seconds pass
    And requests are sent to the paused entry VM
    And the paused entry VM resumes
    Then it answers no request with an old revision
    And all entry VMs agree on the configuration within 16 seconds

  Scenario: A restarted entry VM starts with the newest configuration
    Given a cell of 3 entry VMs
    When preset peak is chosen
    And an entry VM is killed and started again
    Then it answers no request with an old revision
    And all entry VMs agree on the configuration within 16 seconds

  Scenario: Publishing while the log is down is refused
    Given a cell of 3 entry VMs
    When the log goes down
    Then publishing is refused with log_unavailable
    And the revision is 1
