"""What the steps of a job, and the decisions about them, know of the job."""

from dataclasses import dataclass, field

from arbutusladder.cell.states import JobPhase
from arbutusladder.ids import JobId, TeamName
from arbutusladder.messages import SubmittedJob


@dataclass(slots=True, eq=False)
class JobState:
    """A job without its steps.

    Attributes:
        record: The submission.
        accepted_at: Monotonic time of the submission in seconds.
        inherited: Whether a previous owner may have started tasks of it.
        objective_at: Monotonic time in seconds by which the job should be done.
        first_due_at: Monotonic time in seconds at which the first occurrence is due.
        remaining_s_by_step: Estimated seconds from the start of a step to the end of
            its occurrence.
    """

    record: SubmittedJob
    accepted_at: float
    phase: JobPhase = JobPhase.QUEUED
    inherited: bool = False
    cancelled: bool = False
    objective_at: float = 0.0
    first_due_at: float = 0.0
    remaining_s_by_step: list[float] = field(default_factory=list)

    @property
    def id(self) -> JobId:
        """Id of the job."""
        return self.record.job_id

    @property
    def team(self) -> TeamName:
        """Team of the caller; empty where callers belong to none."""
        return self.record.team

    @property
    def is_long_running(self) -> bool:
        """Whether it has a step that runs until the job is cancelled."""
        return any(step.lasting for step in self.record.steps)

    @property
    def occurrence_count(self) -> int:
        """Number of occurrences; 1 for a job without a schedule."""
        return max(1, self.record.times)

    def due_at(self, occurrence: int) -> float:
        """Returns the monotonic time in seconds at which an occurrence is due."""
        return self.first_due_at + occurrence * self.record.interval_s
