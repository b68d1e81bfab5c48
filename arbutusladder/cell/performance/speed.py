"""Short-term estimates of worker speed, which show slow and stalled workers."""

import math
import statistics
from dataclasses import dataclass

from arbutusladder.cell.runs import Run

# Shortest time in seconds between two observations of a run. Workers report whole
# percentages, so shorter ones of long tasks would often show no progress.
MIN_OBSERVATION_S = 0.4
# Time constant of the moving average in seconds; a few observations dominate it.
SMOOTHING_S = 0.6
# Bounds of one observation.
MIN_OBSERVED_SPEED, MAX_OBSERVED_SPEED = 0.02, 2.0
# Relative speeds below which a worker counts as slow or stalled.
SLOW_THRESHOLD = 0.3
STALLED_THRESHOLD = 0.08
# Seconds after the last observation at which a slow worker is used again.
RETRY_AFTER_S = 2.0
# Lowest relative speed assumed then; it is above the threshold for slow workers.
RETRY_SPEED = 0.45
# Shortest time in seconds without progress after which a run on a stalled worker is
# stopped.
STALL_TIMEOUT_S = 0.7
# Factor by which tasks may take longer than estimated. Without other runs of the step
# to compare with, a run counts as slow only beyond it.
ESTIMATE_ERROR_FACTOR = 2.5
# Runs of a step whose durations replace the estimate.
MIN_COMPARED_RUNS = 3
# Completed percentage from which a run's duration can be extrapolated.
MIN_PERCENT_TO_EXTRAPOLATE = 10.0
# Completed percentage from which a run counts as finished: a member of a gang then
# waits for the others.
FINISHED_PERCENT = 99.0


def extrapolated_duration_s(run: Run) -> float | None:
    """Returns the duration of a run by its progress; None if that is not known yet."""
    elapsed_s = run.observed_at - run.changed_at
    if not run.from_start or elapsed_s <= 0:
        return None
    if not MIN_PERCENT_TO_EXTRAPOLATE <= run.percent < FINISHED_PERCENT:
        return None
    return elapsed_s * 100.0 / run.percent


def expected_duration_s(estimate_s: float, runs: list[Run]) -> float:
    """Returns the duration that a sound worker may take for a task of a step.

    Args:
        estimate_s: Estimated duration in seconds.
        runs: Active runs of the step.
    """
    durations = [extrapolated_duration_s(run) for run in runs]
    known = [seconds for seconds in durations if seconds is not None]
    if len(known) >= MIN_COMPARED_RUNS:
        return statistics.median(known)
    return estimate_s * ESTIMATE_ERROR_FACTOR


@dataclass(slots=True)
class SpeedEstimate:
    """Moving average of a worker's relative speed, on a logarithmic scale.

    A relative speed of 1 means that runs take as long as expected.
    """

    _log_speed: float = 0.0
    _observed_at: float = 0.0

    def observe(self, speed: float, seconds: float, now: float) -> None:
        """Adds one observation of one run.

        Args:
            speed: Relative speed of the run.
            seconds: Seconds that the observation covers.
            now: Monotonic time in seconds.
        """
        weight = 1.0 - math.exp(-seconds / SMOOTHING_S)
        value = math.log(min(MAX_OBSERVED_SPEED, max(MIN_OBSERVED_SPEED, speed)))
        self._log_speed += weight * (value - self._log_speed)
        self._observed_at = now

    def relative_speed(self, now: float) -> float:
        """Returns the relative speed; an outdated low estimate is raised first."""
        speed = math.exp(self._log_speed)
        if now - self._observed_at > RETRY_AFTER_S:
            speed = max(speed, RETRY_SPEED)
            self._log_speed = math.log(speed)
        return speed

    def is_slow(self, now: float) -> bool:
        """Returns whether the worker is too slow for new tasks."""
        return self.relative_speed(now) < SLOW_THRESHOLD

    def is_stalled(self, now: float) -> bool:
        """Returns whether the worker's tasks make no progress."""
        return self.relative_speed(now) < STALLED_THRESHOLD
