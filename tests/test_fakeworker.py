"""Tests of the fake worker, whose records other tests rely on."""

from arbutusladder.clock import ManualClock
from arbutusladder.fakeworker import (
    FakeWorker,
    TaskRun,
    WorkerRecord,
    find_overlapping_runs,
)
from arbutusladder.messages import (
    RenewLease,
    Resources,
    StartTask,
    TaskAction,
    WorkerExchange,
)
from arbutusladder.states import TaskActionKind, TaskEnd


def start_task(worker, clock, task="j/0", lease=3.0, cpu=1.0, command="run=10"):
    message = StartTask(
        task, "j", clock.wall_time() + lease, Resources(cpu, 10), command=command
    )
    return worker.exchange(WorkerExchange([message]))


def make_worker(**options):
    clock = ManualClock()
    return FakeWorker("w", Resources(4, 100), clock, **options), clock


class TestLeases:
    """Guards against a fake worker that runs tasks without a valid lease."""

    def test_expired_start_is_refused(self):
        worker, clock = make_worker()
        report = start_task(worker, clock, lease=0.0)
        assert (report.results[0].started, report.tasks) == (False, [])

    def test_task_ends_with_its_lease_and_is_reported_until_acknowledged(self):
        worker, clock = make_worker()
        start_task(worker, clock, lease=3.0)
        clock.advance(3.5)
        for _ in range(2):
            report = worker.report()
            assert [e.end for e in report.ended] == [TaskEnd.LEASE_EXPIRED]
        assert worker.record.runs[0].ended_at == clock.wall_time() - 0.5
        assert worker.exchange(WorkerExchange(acks=["j/0"])).ended == []

    def test_renewal_extends_lease_and_starts_no_task(self):
        worker, clock = make_worker()
        start_task(worker, clock, lease=3.0)
        renewals = [RenewLease(task, clock.wall_time() + 30) for task in ("j/0", "k/0")]
        worker.exchange(WorkerExchange(renewals=renewals))
        clock.advance(5)
        assert [task.task_id for task in worker.report().tasks] == ["j/0"]

    def test_slow_clock_delays_lease_expiry(self):
        worker, clock = make_worker()
        worker.faults.clock_offset_s = -0.2
        start_task(worker, clock, lease=3.0)
        clock.advance(3.1)
        assert len(worker.report().tasks) == 1
        clock.advance(0.11)
        assert worker.report().tasks == []


class TestRecord:
    """Guards against violations that are missing from the worker's record."""

    def test_starts_above_the_capacity_are_executed_and_recorded(self):
        worker, clock = make_worker()
        for task in ("j/0", "j/1"):
            start_task(worker, clock, task, cpu=3.0)
        assert worker.record.over_capacity == ["j/1"]
        assert worker.record.peak.cpu == 6.0
        assert len(worker.running) == 2

    def test_second_start_of_a_running_task_is_recorded(self):
        worker, clock = make_worker()
        start_task(worker, clock)
        start_task(worker, clock)
        assert worker.record.duplicates == ["j/0"]

    def test_overlapping_runs_on_two_workers(self):
        first_record = WorkerRecord("a", [TaskRun("a", "j/0", "j", 1, 1.0, 3.0)])
        overlapping_record = WorkerRecord("b", [TaskRun("b", "j/0", "j", 2, 2.9)])
        later_record = WorkerRecord("b", [TaskRun("b", "j/0", "j", 2, 3.0)])
        assert len(find_overlapping_runs([first_record, overlapping_record])) == 1
        assert find_overlapping_runs([first_record, later_record]) == []


class TestActions:
    """Guards against task actions and ends that have no or the wrong effect."""

    def test_throttle_resume_checkpoint_and_stop(self):
        worker, clock = make_worker(usage_lag=0.0)
        start_task(worker, clock, cpu=2.0)
        apply_action(worker, TaskActionKind.THROTTLE, 0.5)
        assert worker.report().tasks[0].usage.cpu == 0.5
        apply_action(worker, TaskActionKind.RESUME)
        assert worker.report().tasks[0].usage.cpu == 2.0
        apply_action(worker, TaskActionKind.CHECKPOINT)
        clock.advance(0.2)
        assert worker.report().ended[0].end is TaskEnd.CHECKPOINTED
        start_task(worker, clock, "j/1")
        apply_action(worker, TaskActionKind.STOP, task="j/1")
        assert worker.report().ended[1].end is TaskEnd.STOPPED

    def test_finish_and_failure(self):
        worker, clock = make_worker()
        start_task(worker, clock, lease=30.0, command="run=1")
        start_task(worker, clock, "j/1", lease=30.0, command="run=1 fail")
        clock.advance(1.5)
        ends = {end.task_id: end.end for end in worker.report().ended}
        assert ends == {"j/0": TaskEnd.FINISHED, "j/1": TaskEnd.FAILED}


def apply_action(worker, kind, cpu=0.0, task="j/0"):
    worker.exchange(WorkerExchange(actions=[TaskAction(task, kind, cpu)]))
