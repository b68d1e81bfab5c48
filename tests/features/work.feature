Feature: Tasks start once and within the capacity of workers

  Scenario: A worker that is paused beyond its task leases loses its tasks
    Given a cell of 3 entry VMs
    And 4 long tasks run on every shard
    When a worker with tasks is paused
    And 12 seconds pass
    And the paused worker resumes
    And 3 seconds pass
    Then every task runs within 20 seconds
    And no two runs of a task overlapped
    And no worker was given tasks beyond its capacity

  Scenario: A task start whose reply is lost is not repeated
    Given a cell of 3 entry VMs
    When the next 2 replies of every worker are lost
    And 8 more tasks are submitted
    Then every task runs within 20 seconds
    And every task was started exactly once
    And no worker was given tasks beyond its capacity

  Scenario: A submission whose reply is lost is accepted once
    Given a cell of 3 entry VMs
    When the next 2 replies of the log are lost
    And 4 more tasks are submitted
    Then every task runs within 20 seconds
    And every task was started exactly once

  Scenario: Tasks beyond the capacity of the workers wait
    Given a cell of 3 entry VMs
    When 40 more tasks are submitted
    And the owner of a shard is killed
    And 8 seconds pass
    Then no worker was given tasks beyond its capacity
    And no two runs of a task overlapped

  Scenario: A drained worker gets no new tasks
    Given a cell of 3 entry VMs
    When a worker is drained
    And 3 seconds pass
    And 8 more tasks are submitted
    And 3 seconds pass
    Then the drained worker got no tasks

  Scenario: A job that can never run is refused at once
    Given a cell of 3 entry VMs
    Then a job larger than every worker is refused with never_fits

  Scenario: A job that waits on a full shard moves to one with free capacity
    Given a cell of 3 entry VMs
    When 3 jobs of 8 tasks are submitted to the same shard
    Then every task runs within 25 seconds
    And every task was started exactly once
    And no worker was given tasks beyond its capacity
