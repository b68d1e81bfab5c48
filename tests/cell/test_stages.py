"""Progress of jobs survives any number of owners."""

from arbutusladder.cell.cellstate import CellState
from arbutusladder.cell.states import JobPhase
from arbutusladder.messages import (
    JobProgress,
    QueueTerms,
    Resources,
    StepSpec,
    SubmittedJob,
)

NOW = 100.0


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
    return CellState(0.0, lambda task: Resources())


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
            state._task_failed(stage, 0, number)
        assert held.phase is JobPhase.FAILED
