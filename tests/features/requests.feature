Feature: Requests get complete and correct answers

  Scenario: The same key is sent to all entry VMs at once
    Given a cell of 3 entry VMs
    When 20 keys are sent to all entry VMs at once
    Then every key was answered as done
    And no key was run more than once

  Scenario: An entry VM is killed under load
    Given a cell of 3 entry VMs
    And a load of requests on all entry VMs
    When 2 seconds pass
    And an entry VM is killed
    And 8 seconds pass
    And the load stops
    Then answers agree with the records of the executors
    And at least 50 requests were done

  Scenario: An owner is paused under load
    Given a cell of 3 entry VMs
    And the shards have different owners
    And a load of requests on all entry VMs
    When 2 seconds pass
    And the owner of a shard is paused
    And 6 seconds pass
    And the paused entry VM resumes
    And 4 seconds pass
    And the load stops
    Then answers agree with the records of the executors
    And every lookup through another entry VM was done
    And at least 50 requests were done

  Scenario: A key is sent again after its owner was killed
    Given a cell of 3 entry VMs
    When a request is sent with a key whose home is the shard of the owner to be killed
    And the owner of a shard is killed
    And every shard has a running owner within 10 seconds
    And a request is sent again with the same key
    Then the second answer is unknown
    And no key was run more than once

  Scenario: An executor crashes in the middle of an answer
    Given a cell of 3 entry VMs
    When every executor crashes in the middle of its next answer
    And 8 requests are sent
    Then no answer is truncated
    And answers agree with the records of the executors

  Scenario: A leaving executor gets no new work
    Given a cell of 3 entry VMs
    And a load of requests on all entry VMs
    When an executor is listed as leaving
    And 3 seconds pass
    And the runs of the leaving executor are counted
    And 3 seconds pass
    And the load stops
    Then the leaving executor has run nothing more
    And answers agree with the records of the executors

  Scenario: An entry VM shuts down gracefully under load
    Given a cell of 3 entry VMs
    And a load of requests of 150 ms on all entry VMs
    When 2 seconds pass
    And an entry VM is terminated
    And 6 seconds pass
    And the load stops
    Then the terminated entry VM exited with 0
    And every request got an answer
    And every shard has a running owner within 2 seconds
    And answers agree with the records of the executors

  Scenario: A second SIGTERM cuts off no request in flight
    Given a cell of 3 entry VMs
    And a load of requests of 150 ms on all entry VMs
    When 2 seconds pass
    And an entry VM is terminated twice
    And 6 seconds pass
    And the load stops
    Then the terminated entry VM exited with 0
    And no request in flight was cut off
    And answers agree with the records of the executors
