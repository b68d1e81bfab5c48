"""Long-term relative speed of a worker, with its uncertainty."""

import math
from dataclasses import dataclass

from arbutusladder.cell.performance.speed import SpeedEstimate

# Standard deviation of the logarithm of the speeds of unknown workers. The speeds of
# the deployments, 0.6 to 1.6, lie within 1.3 times of it.
UNKNOWN_SPREAD = 0.4
# Standard deviation of the logarithm of the sizes of tasks of one step, which differ by
# about 15 %, with the measurement of a run's duration.
SIZE_SPREAD = 0.1
# Growth of the variance per second: after ten minutes without a run the speed is known
# to about 10 %.
VARIANCE_GROWTH_PER_S = 0.01 / 600.0
# Standard deviations beyond which a deviation counts no further: a run that a stall
# delayed tells little about the speed of its worker.
MAX_DEVIATIONS = 3.0
# Standard deviation below which a speed counts as known.
KNOWN_SPREAD = 0.08


@dataclass(slots=True)
class WorkerSpeed(SpeedEstimate):
    """Relative speed of a worker: of the last seconds, and in the long term.

    The long-term speed is a normal distribution of its logarithm. It starts at the
    average of 1.

    Attributes:
        log_mean: Expected logarithm of the long-term speed.
        variance: Its variance.
        changed_at: Monotonic time in seconds of the last observation.
        observations: Number of observed runs.
        speed_class: Class of workers of similar speed, see
            `arbutusladder.cell.performance.classes`; 0 is the average.
        seen_at: Monotonic time in seconds at which it was first classified.
        newcomer: Whether it joined after the speed of most workers had become known,
            and has not been observed.
    """

    log_mean: float = 0.0
    variance: float = UNKNOWN_SPREAD**2
    changed_at: float = 0.0
    observations: int = 0
    speed_class: int = 0
    seen_at: float | None = None
    newcomer: bool = False

    @property
    def spread(self) -> float:
        """Standard deviation of the logarithm of the long-term speed."""
        return math.sqrt(self.variance)

    @property
    def is_known(self) -> bool:
        """Whether the long-term speed is known well enough to act on it."""
        return self.variance < KNOWN_SPREAD**2

    def learn(self, log_speed: float, variance: float, now: float) -> None:
        """Updates the long-term speed with one run.

        Args:
            log_speed: Logarithm of the speed that the run shows.
            variance: Variance of that value.
            now: Monotonic time in seconds.
        """
        if self.observations:
            grown = self.variance + VARIANCE_GROWTH_PER_S * (now - self.changed_at)
            self.variance = min(UNKNOWN_SPREAD**2, grown)
        limit = MAX_DEVIATIONS * math.sqrt(self.variance + variance)
        deviation = min(limit, max(-limit, log_speed - self.log_mean))
        gain = self.variance / (self.variance + variance)
        self.log_mean += gain * deviation
        self.variance *= 1.0 - gain
        self.changed_at = now
        self.observations += 1
