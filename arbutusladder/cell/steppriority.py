"""Which waiting step comes first."""

from enum import IntEnum

from arbutusladder.cell.stages import LATE_OBJECTIVE_FACTOR, Job, Stage

# Queues of this priority start at once in any load surge.
URGENT_PRIORITY = 0


class Timeliness(IntEnum):
    """What a job can still reach, best first."""

    IN_TIME = 0
    LATE = 1
    TOO_LATE = 2


def timeliness(job: Job, stage: Stage, now: float) -> Timeliness:
    """Returns what a job can reach if a step of it starts now."""
    if job.lasts or job.record.times:
        return Timeliness.IN_TIME
    ends_at = now + remaining_s(job, stage)
    if ends_at <= job.objective_at:
        return Timeliness.IN_TIME
    late_at = job.accepted_at + LATE_OBJECTIVE_FACTOR * (
        job.objective_at - job.accepted_at
    )
    return Timeliness.LATE if ends_at <= late_at else Timeliness.TOO_LATE


def remaining_s(job: Job, stage: Stage) -> float:
    """Returns the estimated seconds from the start of a step to the job's end."""
    steps = job.record.steps
    rest = [0.0] * len(steps)
    for number in range(len(steps) - 1, -1, -1):
        followers = [
            rest[later]
            for later in range(number + 1, len(steps))
            if number in steps[later].after
        ]
        rest[number] = steps[number].estimate_s + max(followers, default=0.0)
    return rest[stage.step]


def is_urgent(stage: Stage) -> bool:
    """Returns whether a step belongs to the most urgent queues."""
    return stage.job.record.queue.priority <= URGENT_PRIORITY


def order_key(stage: Stage, now: float) -> tuple:
    """Returns the sort key of a waiting step; lower comes first.

    Jobs that can still meet their objective go before those that cannot, so
    that a surge does not make every job late. Among them priority decides,
    then the time of the objective.
    """
    job = stage.job
    return (
        timeliness(job, stage, now),
        job.record.queue.priority,
        job.objective_at,
        stage.key,
    )
