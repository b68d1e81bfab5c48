"""Jobs in the owner's state, with the steps of their open occurrences."""

from dataclasses import dataclass, field

from arbutusladder.cell.joblimits import JobLimits
from arbutusladder.cell.jobstate import JobState
from arbutusladder.cell.occurrences import FinishedOccurrences
from arbutusladder.cell.stages import (
    Stage,
    Task,
    restore_stage,
    stage_key,
    stage_progress,
)
from arbutusladder.cell.states import JobPhase
from arbutusladder.messages import JobProgress, SubmittedJob

# Number of workers in the advice call that a job's time objective allows for.
OBJECTIVE_ADVICE_WORKERS = 30
# A job still earns partial credit until this multiple of its time objective.
LATE_OBJECTIVE_FACTOR = 3.0


@dataclass(slots=True, eq=False)
class Job(JobState):
    """A job in the owner's state, with the steps of its open occurrences.

    Attributes:
        stage_by_key: Steps of the open occurrences by key.
        limits: Limits of its size.
        finished: Occurrences of which all tasks are done.
        open_occurrences: Occurrences whose steps are in memory: those that are due, as
            far as the limits allow, those that a worker has reported, and finished ones
            with runs that have not ended.
    """

    stage_by_key: dict[str, Stage] = field(default_factory=dict)
    limits: JobLimits = JobLimits()
    finished: FinishedOccurrences = field(default_factory=FinishedOccurrences)
    open_occurrences: set[int] = field(default_factory=set)
    _next_occurrence: int = 0
    _max_open: int = 1

    def __post_init__(self):
        self.remaining_s_by_step = remaining_s_by_step(self.record)
        self._max_open = self.limits.max_open_occurrences(self.record)

    @property
    def is_done(self) -> bool:
        """Whether all occurrences have finished."""
        return len(self.finished) == self.occurrence_count

    def open_due_occurrences(self, now: float) -> None:
        """Opens occurrences that are due, in order, up to the limit.

        Args:
            now: Monotonic time in seconds.
        """
        while len(self.open_occurrences) < self._max_open:
            number = self.finished.next_unfinished(self._next_occurrence)
            if number >= self.occurrence_count or self.due_at(number) > now:
                return
            self.open_occurrence(number)
            self._next_occurrence = number + 1

    def open_occurrence(self, number: int) -> None:
        """Creates the steps of an occurrence unless it is open, finished or unknown.

        A worker may report an occurrence that is not due by the clock of this owner.
        """
        is_unfinished = 0 <= number < self.occurrence_count and (
            number not in self.finished
        )
        if number in self.open_occurrences or not is_unfinished:
            return
        self.open_occurrences.add(number)
        for step, spec in enumerate(self.record.steps):
            key = stage_key(self.id, number, step)
            tasks = [Task() for _ in range(spec.count)]
            due_at = self.due_at(number)
            self.stage_by_key[key] = Stage(key, self, number, step, spec, due_at, tasks)

    def finish_if_done(self, number: int) -> None:
        """Records the end of an open occurrence if all of its tasks are done."""
        if all(stage.done for stage in self._stages_of(number)):
            self.finished.add(number)
            self.drop_if_ended(number)

    def drop_if_ended(self, number: int) -> None:
        """Drops the steps of a finished occurrence once it has no runs."""
        if number not in self.finished or number not in self.open_occurrences:
            return
        if any(stage.active_runs for stage in self._stages_of(number)):
            return
        self.open_occurrences.remove(number)
        for step in range(len(self.record.steps)):
            del self.stage_by_key[stage_key(self.id, number, step)]

    def _stages_of(self, number: int) -> list[Stage]:
        return [
            self.stage_by_key[stage_key(self.id, number, step)]
            for step in range(len(self.record.steps))
        ]

    def restore(self, progress: JobProgress) -> None:
        """Restores the occurrences of a new job from stored progress."""
        self.finished = FinishedOccurrences(progress.finished, self.occurrence_count)
        for row in progress.stages:
            self.open_occurrence(row.occurrence)
            stage = self.stage_by_key.get(stage_key(self.id, row.occurrence, row.step))
            if stage:
                restore_stage(stage, row)
        for number in list(self.open_occurrences):
            self.finish_if_done(number)

    def dependencies_done(self, stage: Stage) -> bool:
        """Returns whether all steps that a step depends on are done."""
        return all(
            self.stage_by_key[stage_key(self.id, stage.occurrence, earlier)].done
            for earlier in stage.spec.after
        )

    def progress(self) -> JobProgress:
        """Returns the progress to store, without the steps of a finished job."""
        if self.phase.is_final:
            return JobProgress(self.phase, team=self.record.team)
        rows = [
            stage_progress(stage)
            for stage in self.stage_by_key.values()
            if stage.occurrence not in self.finished
        ]
        stages = [row for row in rows if row]
        self.limits.drop_excess_checkpoints(stages)
        finished = self.finished.ranges()
        return JobProgress(self.phase, stages, finished, self.record.team)


def create_job(
    record: SubmittedJob,
    phase: JobPhase,
    now: float,
    inherited: bool,
    wall_offset: float,
    limits: JobLimits,
) -> Job:
    """Returns a job without the steps of its occurrences.

    Args:
        record: The submission.
        phase: Its stored state.
        now: Monotonic time in seconds.
        inherited: Whether a previous owner may have started tasks of it.
        wall_offset: Wall clock time less monotonic time in seconds.
        limits: Limits of its size.
    """
    # Wall clocks of entry VMs differ and may jump, so the stored submission time is
    # used only for jobs that another owner accepted.
    accepted_at = min(now, record.accepted_at - wall_offset) if inherited else now
    queue = record.queue
    objective_s = queue.stretch * critical_path_s(record) + queue.objective_s
    return Job(
        record,
        accepted_at,
        phase,
        inherited,
        objective_at=accepted_at + objective_s,
        first_due_at=record.first_at - wall_offset if record.times else accepted_at,
        limits=limits,
    )


def critical_path_s(record: SubmittedJob) -> float:
    """Returns the estimated duration of the critical path of a job's steps.

    Args:
        record: The submission.

    Returns:
        Seconds, including one call to the advice service for each step.
    """
    queue = record.queue
    advice = queue.advice_s
    if advice:
        advice += queue.advice_each_s * OBJECTIVE_ADVICE_WORKERS
    ends: list[float] = []
    for step in record.steps:
        start = max((ends[i] for i in step.after if i < len(ends)), default=0.0)
        ends.append(start + step.estimate_s + advice)
    return max(ends, default=0.0)


def remaining_s_by_step(record: SubmittedJob) -> list[float]:
    """Returns the estimated seconds from the start of each step to the job's end."""
    after_step = [0.0] * len(record.steps)
    remaining = list(after_step)
    for number in range(len(record.steps) - 1, -1, -1):
        step = record.steps[number]
        remaining[number] = step.estimate_s + after_step[number]
        for earlier in step.after:
            after_step[earlier] = max(after_step[earlier], remaining[number])
    return remaining
