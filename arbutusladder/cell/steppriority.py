"""Priority order of waiting steps, computed from their jobs without any state."""

import math
from enum import IntEnum

from arbutusladder.cell.celljobs import LATE_OBJECTIVE_FACTOR
from arbutusladder.cell.jobstate import JobState
from arbutusladder.cell.stages import Stage

# Queues with at most this priority number are urgent: their tasks may use the cores
# that are reserved for load surges.
URGENT_PRIORITY = 0


class Timeliness(IntEnum):
    """Whether a job can still meet its time objective, best first.

    ``LATE`` jobs miss the objective but still earn partial credit; ``TOO_LATE`` jobs
    earn none.
    """

    IN_TIME = 0
    LATE = 1
    TOO_LATE = 2


def timeliness(job: JobState, stage: Stage, now: float) -> Timeliness:
    """Returns the timeliness of a job if a step starts now.

    Long-running and recurring jobs always count as in time.
    """
    if job.is_long_running or job.record.times:
        return Timeliness.IN_TIME
    ends_at = now + job.remaining_s_by_step[stage.step]
    if ends_at <= job.objective_at:
        return Timeliness.IN_TIME
    is_late = ends_at <= credit_ends_at(job)
    return Timeliness.LATE if is_late else Timeliness.TOO_LATE


def credit_ends_at(job: JobState) -> float:
    """Returns the monotonic time in seconds from which the end of a job earns none."""
    objective_s = job.objective_at - job.accepted_at
    return job.accepted_at + LATE_OBJECTIVE_FACTOR * objective_s


def too_late_at(job: JobState, step: int) -> float:
    """Returns the monotonic time in seconds from which the start of a step is too late.

    Infinite for long-running and recurring jobs.
    """
    if job.is_long_running or job.record.times:
        return math.inf
    return credit_ends_at(job) - job.remaining_s_by_step[step]


def is_urgent(stage: Stage) -> bool:
    """Returns whether a step belongs to an urgent queue."""
    return stage.job.record.queue.priority <= URGENT_PRIORITY


def priority_key(stage: Stage, now: float) -> tuple:
    """Returns the sort key of a waiting step; lower keys start first.

    Jobs that can still meet their objective precede those that cannot, so that a
    surge does not make every job late. Among jobs of the same timeliness the queue's
    priority decides, then the time of the objective.
    """
    job = stage.job
    return (
        timeliness(job, stage, now),
        job.record.queue.priority,
        job.objective_at,
        stage.key,
    )
