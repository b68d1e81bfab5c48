"""Classes of workers of similar speed.

Placement compares classes instead of speeds, so that noise in the speeds of equal
workers changes nothing.
"""

import math
import statistics
from collections.abc import Collection, Iterable

from arbutusladder.cell.performance.longterm import WorkerSpeed

# Width of a class on the logarithmic scale. Speeds of 0.6, 1.0, 1.3 and 1.6 are each
# near the middle of a class, whichever of them is the median.
CLASS_WIDTH = 0.25
# Deviations beyond the bounds of a class at which a worker leaves it: a share of the
# logarithm of the speed, and a number of its standard deviations.
HYSTERESIS = 0.02
HYSTERESIS_DEVIATIONS = 1.5
# Share of the workers whose speed has to be known for classes to be used, and for
# workers that join later to count as newcomers.
MIN_KNOWN_SHARE = 0.25
ESTABLISHED_SHARE = 0.75


def known_share(speeds: Collection[WorkerSpeed]) -> float:
    """Returns the share of the workers whose speed is known."""
    return sum(speed.is_known for speed in speeds) / max(1, len(speeds))


def mark_newcomers(
    speeds: Iterable[WorkerSpeed], established_at: float | None, now: float
) -> None:
    """Marks the workers that joined an established cell and are not observed yet.

    Args:
        speeds: Speeds of all workers.
        established_at: Monotonic time in seconds since which the speed of most workers
            is known; None if it is not.
        now: Monotonic time in seconds.
    """
    for speed in speeds:
        if speed.seen_at is None:
            speed.seen_at = now
        joined_later = established_at is not None and speed.seen_at > established_at
        speed.newcomer = joined_later and not speed.observations


def classify(speeds: Collection[WorkerSpeed]) -> dict[int, float]:
    """Assigns each worker to a class of similar speed.

    Class 0 is that of the median. It also has the workers of unknown speed.

    Args:
        speeds: Speeds of all workers.

    Returns:
        The typical speed of class 0, which new workers join, and of each other class
        that has workers.
    """
    known = [speed for speed in speeds if speed.is_known]
    enough = bool(known) and known_share(speeds) >= MIN_KNOWN_SHARE
    centre = statistics.median_low(s.log_mean for s in known) if enough else 0.0
    for speed in speeds:
        if enough and speed.is_known:
            speed.speed_class = _class_of(speed, centre)
        else:
            speed.speed_class = 0
    return {
        number: math.exp(centre + number * CLASS_WIDTH)
        for number in sorted({0, *(speed.speed_class for speed in speeds)})
    }


def _class_of(speed: WorkerSpeed, centre: float) -> int:
    """Returns the class of a worker, which it leaves only by a clear deviation."""
    offset = speed.log_mean - centre
    margin = HYSTERESIS + HYSTERESIS_DEVIATIONS * speed.spread
    distance = abs(offset - speed.speed_class * CLASS_WIDTH)
    if distance <= CLASS_WIDTH / 2 + margin:
        return speed.speed_class
    return round(offset / CLASS_WIDTH)
