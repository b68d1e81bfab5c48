"""How fast workers really work, from the progress of what they run."""

import math
from dataclasses import dataclass

# Seconds between two looks at a run that are long enough to compare.
SHORTEST_LOOK_S = 0.2
# Time constant of the average in seconds: a few looks decide.
SMOOTHING_S = 0.6
# Bounds of one observation, as a share of the estimated speed. Estimates are off
# by up to a factor of about three (SYSTEM, estimates are rough).
SLOWEST, FASTEST = 0.02, 2.0
# Shares of the estimated speed below which a worker counts as slow or stalled.
SLOW_SHARE = 0.3
STALLED_SHARE = 0.08
# Seconds after the last look at which a worker is tried again.
TRIAL_AFTER_S = 2.0
# Share of the estimated speed with which a trial starts.
TRIAL_SHARE = 0.45
# Seconds without progress after which a run on a stalled worker is moved.
STANDSTILL_S = 0.7


@dataclass(slots=True)
class Speed:
    """Average speed of a worker relative to estimates, on a logarithmic scale."""

    _log: float = 0.0
    _looked_at: float = 0.0

    def observe(self, share: float, seconds: float, now: float) -> None:
        """Takes one look at one run.

        Args:
            share: Its speed relative to the estimate.
            seconds: Seconds that the look covers.
            now: Monotonic time in seconds.
        """
        weight = 1.0 - math.exp(-seconds / SMOOTHING_S)
        value = math.log(min(FASTEST, max(SLOWEST, share)))
        self._log += weight * (value - self._log)
        self._looked_at = now

    def share(self, now: float) -> float:
        """Returns the speed relative to estimates; 1 is as estimated."""
        share = math.exp(self._log)
        if now - self._looked_at > TRIAL_AFTER_S:
            share = max(share, TRIAL_SHARE)
            self._log = math.log(share)
        return share

    def slow(self, now: float) -> bool:
        """Returns whether new tasks should go elsewhere."""
        return self.share(now) < SLOW_SHARE

    def stalled(self, now: float) -> bool:
        """Returns whether its tasks stand still."""
        return self.share(now) < STALLED_SHARE
