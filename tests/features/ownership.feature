Feature: One owner for each shard
  Only the owner of a shard sends work to its endpoints, even when processes are
  killed, paused or cut off from each other.

  Scenario: A killed owner is replaced and its tasks run on one worker at a time
    Given a cell of 3 entry VMs
    And 4 long tasks run on every shard
    When the owner of a shard is killed
    Then every shard has a running owner within 10 seconds
    And every task runs within 20 seconds
    And no two runs of a task overlapped
    And no worker was given tasks beyond its capacity

  Scenario: A paused owner sends no work after it resumes
    Given a cell of 3 entry VMs
    And 4 long tasks run on every shard
    When the owner of a shard is paused
    And 8 more tasks are submitted
    And 8 seconds pass
    And the paused entry VM resumes
    And 5 seconds pass
    Then every shard has a running owner within 10 seconds
    And every task runs within 20 seconds
    And no two runs of a task overlapped
    And no worker was given tasks beyond its capacity

  Scenario: An owner that is cut off from the log keeps its shard
    Given a cell of 3 entry VMs with links that can be cut
    And 4 long tasks run on every shard
    When the owner of a shard is cut off from the log
    And 8 seconds pass
    Then the shard still has the same owner
    And every task runs within 5 seconds
    And no two runs of a task overlapped

  Scenario: Work continues while the log is down
    Given a cell of 3 entry VMs
    And 4 long tasks run on every shard
    When the log goes down
    Then requests are answered during 8 seconds
    And a durable job is refused with log_unavailable
    And every task runs within 1 second
    And no two runs of a task overlapped
    When the log is up again
    Then a job is accepted within 10 seconds

  Scenario: A shard whose owner is killed while the log is down waits for the log
    Given a cell of 3 entry VMs
    And the shards have different owners
    When the log goes down
    And the owner of a shard is killed
    And 5 seconds pass
    Then the shard has no owner
    And requests are answered during 2 seconds
    When the log is up again
    Then every shard has a running owner within 10 seconds

  Scenario: Requests for a cell without any owner are refused until the log is up again
    Given a cell of 3 entry VMs and one shard
    When the log goes down
    And the owner of a shard is killed
    And 5 seconds pass
    Then requests are refused with shard_unowned during 1 seconds
    When the log is up again
    Then every shard has a running owner within 10 seconds
    And requests are answered after refusals with deadline_unreachable of 5 s

  Scenario: After the only owner was killed requests wait until its own have ended
    Given a cell of 3 entry VMs and one shard
    When the owner of a shard is killed
    Then every shard has a running owner within 15 seconds
    And requests are answered after refusals with deadline_unreachable of 5 s

  Scenario: A claim whose reply is lost is resolved by reading it back from the log
    Given a cell of 3 entry VMs
    And the shards have different owners
    When the next 3 replies of the log are lost
    And the owner of a shard is killed
    Then every shard has a running owner within 15 seconds
    And requests are answered during 2 seconds

  Scenario: An owner that is cut off from its peers and the log gives up its shard
    Given a cell of 3 entry VMs with links that can be cut
    And jobs of 60 short tasks wait on every shard
    When an owner is cut off from its peers and the log
    And 14 seconds pass
    Then every shard has a running owner within 1 second
    And no task was stopped by another owner
    And no two runs of a task overlapped
    And no worker was given tasks beyond its capacity

  Scenario: An owner that is cut off from its peers gives up its shard
    Given a cell of 3 entry VMs with links that can be cut
    And 4 long tasks run on every shard
    When an owner is cut off from its peers
    And 8 seconds pass
    And jobs are submitted through every entry VM
    And 4 seconds pass
    Then every shard has a running owner within 10 seconds
    And every task runs within 20 seconds
    And no two runs of a task overlapped
    And no worker was given tasks beyond its capacity

  Scenario: A takeover waits for the task leases of a worker that does not answer
    Given a cell of 3 entry VMs with task leases of 14 seconds
    And 4 long tasks run on every shard
    When 4 seconds pass
    And a worker with tasks of a shard stops answering
    And the owner of the shard is killed
    And 9 seconds pass
    Then no two runs of a task overlapped
    When the worker answers again
    Then every task runs within 30 seconds
    And no two runs of a task overlapped
