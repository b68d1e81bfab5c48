"""Estimates of worker speed from the progress of their runs."""

import math
from dataclasses import dataclass

# Shortest time in seconds between two observations of a run.
MIN_OBSERVATION_S = 0.2
# Time constant of the moving average in seconds; a few observations dominate it.
SMOOTHING_S = 0.6
# Bounds of one observation, relative to the speed that the job's estimate implies.
# Estimates are off by up to a factor of about three.
MIN_OBSERVED_SPEED, MAX_OBSERVED_SPEED = 0.02, 2.0
# Relative speeds below which a worker counts as slow or stalled.
SLOW_THRESHOLD = 0.3
STALLED_THRESHOLD = 0.08
# Seconds after the last observation at which a slow worker is used again.
RETRY_AFTER_S = 2.0
# Lowest relative speed assumed then; it is above the threshold for slow workers.
RETRY_SPEED = 0.45
# Seconds without progress after which a run on a stalled worker is stopped.
STALL_TIMEOUT_S = 0.7


@dataclass(slots=True)
class SpeedEstimate:
    """Moving average of a worker's relative speed, on a logarithmic scale.

    A relative speed of 1 means that runs take as long as estimated.
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
