"""Which classes of workers suit a step, by its time objective."""

from dataclasses import dataclass

from arbutusladder.cell.celljobs import LATE_OBJECTIVE_FACTOR
from arbutusladder.cell.stages import Stage

# Factor by which a step may take longer than estimated on the chosen worker: tasks of
# a step differ by 15 % and the slowest of them decides, and a run may be moved. In
# virtual time on deployment 2 less than 1 % of the urgent jobs were late with 2.0 and
# 1.3 % with 1.3; gangs earned 75.1 % of their value, and 73.5 % with 1.3.
DURATION_MARGIN = 2.0
# Seconds from a decision to the start of a task, and from its end to that of its job.
OVERHEAD_S = 0.1
# Speed beyond the fastest workers. A step that would need it is late anyway.
HIGHEST_SPEED = 2.5
# Speed that a newcomer may lack without harm.
NEWCOMER_SPEED = 0.6


@dataclass(frozen=True, slots=True)
class SpeedPreference:
    """Order in which a step uses classes of workers.

    Attributes:
        rank_by_class: Rank of each class of workers, lower ones first.
        sufficient: Classes on which the step can meet its objective.
        allows_newcomers: Whether it also can on an untried worker, if that is slow.
    """

    rank_by_class: dict[int, int]
    sufficient: frozenset[int]
    allows_newcomers: bool


def required_speed(stage: Stage, now: float) -> float:
    """Returns the relative speed that a step needs to be useful.

    That is the speed to meet the objective or, if that is impossible, to end while the
    job still earns credit.

    Args:
        stage: The step.
        now: Monotonic time in seconds.
    """
    job = stage.job
    remaining_s = job.remaining_s_by_step[stage.step] * DURATION_MARGIN
    objective_s = job.objective_at - job.accepted_at
    for factor in (1.0, LATE_OBJECTIVE_FACTOR):
        left_s = job.accepted_at + factor * objective_s - now - OVERHEAD_S
        if remaining_s < HIGHEST_SPEED * left_s:
            return remaining_s / left_s
    return 0.0


def speed_preference(
    stage: Stage, speed_by_class: dict[int, float], now: float
) -> SpeedPreference | None:
    """Returns the classes that a step prefers; None if all workers suit it equally.

    It uses the slowest workers on which it can meet its objective, so that fast ones
    stay free for steps that need them. If there are none, it uses the fastest ones.

    Args:
        stage: The step.
        speed_by_class: Typical speed of each class of workers.
        now: Monotonic time in seconds.
    """
    job = stage.job
    if stage.spec.lasting or stage.spec.fills or job.record.times:
        return None
    if len(speed_by_class) < 2:
        return None
    required = required_speed(stage, now)
    sufficient = frozenset(
        number for number, speed in speed_by_class.items() if speed >= required
    )
    fastest = max(speed_by_class)
    rank_by_class = {
        number: number if number in sufficient else 2 * fastest - number + 1
        for number in speed_by_class
    }
    return SpeedPreference(rank_by_class, sufficient, required <= NEWCOMER_SPEED)
