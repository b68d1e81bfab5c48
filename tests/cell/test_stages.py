"""Progress of jobs survives any number of owners."""

from arbutusladder.cell.advicecalls import AdviceCapacity
from arbutusladder.cell.cellstate import CellState
from arbutusladder.cell.interfaces import EndedTask, OrderAnswer, WorkerReport
from arbutusladder.cell.placement import Placer
from arbutusladder.cell.states import EndKind, JobPhase, OrderOutcome
from arbutusladder.messages import (
    JobProgress,
    QueueTerms,
    Resources,
    StepSpec,
    SubmittedJob,
)
from tests.cell import workloads

NOW = 100.0
CALLERS = AdviceCapacity(8, 6)


def job(steps, job_id="00000000000000aa", **terms):
    """Returns a submission of one queue."""
    queue = QueueTerms("batch", "svc", **terms)
    return SubmittedJob(job_id, queue, "payload", steps, accepted_at=NOW)


def steps(*counts, **fields):
    """Returns steps of tasks that need one core, each after the one before."""
    return [
        StepSpec(count, Resources(1.0, 10.0), 1.0, [i - 1] if i else [], **fields)
        for i, count in enumerate(counts)
    ]


def fresh_state():
    """Returns the state of a new owner whose wall clock equals its own."""
    return CellState(0.0, lambda task: None)


class TestProgress:
    """What a successor knows of a job."""

    def test_finished_step_stays_done_after_two_takeovers(self):
        """Guards against a finished step that the second successor runs again."""
        record = job(steps(2, 1))
        state = fresh_state()
        first = state.add_job(record, JobProgress(JobPhase.QUEUED), NOW)
        for task in first.stage_by_key["00000000000000aa.0.0"].tasks:
            task.done, task.last_run = True, 1
        progress = first.progress()
        for _ in range(2):
            restored = fresh_state().add_job(record, progress, NOW, inherited=True)
            progress = restored.progress()
            assert restored.stage_by_key["00000000000000aa.0.0"].done

    def test_failed_runs_are_counted_in_any_order(self):
        """Guards against attempts beyond the limit after ends came out of order."""
        record = job(steps(1), max_attempts=3)
        state = fresh_state()
        held = state.add_job(record, JobProgress(JobPhase.QUEUED), NOW)
        stage = held.stage_by_key["00000000000000aa.0.0"]
        for number in (3, 1, 2):
            state.task_failed(stage, 0, number)
        assert held.phase is JobPhase.FAILED


class TestOldRun:
    """A worker that answers a start with a run number it already knows."""

    def placed(self):
        """Returns the cell, its placer and the order of one started task."""
        state = fresh_state()
        entry = workloads.workers()[0]
        state.update_registry({entry.vm: entry}, NOW)
        state.report(entry.vm, WorkerReport(1, 5.0), NOW, NOW)
        record = job(steps(1), max_attempts=2)
        record.queue.service = workloads.SERVICE
        state.add_job(record, JobProgress(JobPhase.QUEUED), NOW)
        placer = Placer(state)
        (order,) = placer.decide(NOW, CALLERS)
        state.apply_start_answer(order, OrderAnswer(OrderOutcome.OLD_RUN), NOW + 0.5)
        return state, placer, order

    def test_run_that_ended_before_its_start_was_answered_is_not_repeated(self):
        """Guards against a second run of a task that is done."""
        state, placer, order = self.placed()
        assert placer.decide(NOW + 0.51, CALLERS) == []
        ended = EndedTask(1, order.task, order.run, EndKind.DONE, "")
        report = WorkerReport(1, 5.6, ended=[ended])
        state.report(order.vm, report, NOW + 0.4, NOW + 0.6)
        assert state.job_by_id[order.task.split(".")[0]].phase is JobPhase.COMPLETED

    def test_run_that_the_worker_does_not_list_starts_with_a_higher_number(self):
        """Guards against a task that waits for ever after a takeover."""
        state, placer, order = self.placed()
        state.report(order.vm, WorkerReport(1, 5.6), NOW + 0.52, NOW + 0.6)
        (again,) = placer.decide(NOW + 0.61, CALLERS)
        assert again.run > order.run + 1


class TestForgetting:
    """Jobs that are over leave the owner's state once that is stored."""

    def test_job_stays_while_its_end_is_being_stored(self):
        """Guards against a cancellation that opens a finished job again."""
        state = fresh_state()
        held = state.add_job(job(steps(1)), JobProgress(JobPhase.QUEUED), NOW)
        state.cancel(held.id)
        changes = state.changes
        changes.storing, changes.dirty = changes.dirty, set()
        state.remove_finished_jobs()
        assert held.id in state.job_by_id
        changes.storing = set()
        state.remove_finished_jobs()
        assert held.id not in state.job_by_id
