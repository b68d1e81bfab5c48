Feature: Shard handover

  Scenario: A planned stop hands over tasks, keys and task ends
    Given a cell of 3 entry VMs
    And 4 long tasks run on every shard
    When a request is sent with a key whose home is the shard of the owner to be stopped
    And the owner of the shard is stopped
    And every shard has a running owner within 4 seconds
    And a request is sent again with the same key
    Then the second answer repeats the first
    And no key was run more than once
    And every task runs within 5 seconds
    And every task was started exactly once

  Scenario: A non-idempotent task that may have run is never started again
    Given a cell of 3 entry VMs
    When a non-idempotent task runs
    And its worker is killed
    And 10 seconds pass
    Then its job has failed with not_idempotent_retry
    And every task was started exactly once
