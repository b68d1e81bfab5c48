"""Durations of the runs of one step, from which the speeds of their workers follow."""

import math
from dataclasses import dataclass, field

from arbutusladder.cell.performance.longterm import SIZE_SPREAD, WorkerSpeed


@dataclass(slots=True)
class _WorkerRuns:
    """Runs of a step on one worker; durations are logarithms.

    Attributes:
        speed: Speed of the worker.
        compared: Number of the runs that were compared with those on other workers.
        compared_sum: Sum of their durations.
        pending: Number of the other runs.
        pending_sum: Sum of their durations.
    """

    speed: WorkerSpeed
    compared: int = 0
    compared_sum: float = 0.0
    pending: int = 0
    pending_sum: float = 0.0

    @property
    def log_size(self) -> float:
        """Mean duration of the runs on a worker of average speed."""
        total = self.compared_sum + self.pending_sum
        return total / (self.compared + self.pending) + self.speed.log_mean

    @property
    def weight(self) -> float:
        """Inverse of the variance of the mean duration."""
        size_variance = SIZE_SPREAD**2 / (self.compared + self.pending)
        return 1.0 / (size_variance + self.speed.variance)


@dataclass(slots=True)
class StepDurations:
    """Durations of the runs of a step, which are compared between workers.

    Runs are compared in batches, because the first runs of a step to end are those on
    fast workers.

    Attributes:
        pending: Number of the runs that are not compared yet.
        pending_since: Monotonic time in seconds of the first of them.
    """

    pending: int = 0
    pending_since: float = 0.0
    _runs_by_speed: dict[int, _WorkerRuns] = field(default_factory=dict)

    def add(self, speed: WorkerSpeed, duration_s: float, now: float) -> None:
        """Adds the duration of a run on a worker.

        Args:
            speed: Speed of the worker.
            duration_s: Duration in seconds.
            now: Monotonic time in seconds.
        """
        if not self.pending:
            self.pending_since = now
        self.pending += 1
        runs = self._runs_by_speed.setdefault(id(speed), _WorkerRuns(speed))
        runs.pending += 1
        runs.pending_sum += math.log(duration_s)

    def compare(self, expected_s: float, spread: float, now: float) -> float:
        """Updates the speeds of the workers of all pending runs.

        The runs on a worker are compared with those on other workers, and with the
        expected duration.

        Args:
            expected_s: Expected duration in seconds; 0 if unknown.
            spread: Standard deviation of its logarithm.
            now: Monotonic time in seconds.

        Returns:
            The duration in seconds of these runs on a worker of average speed.
        """
        rows = [(r, r.log_size, r.weight) for r in self._runs_by_speed.values()]
        total = sum(weight for _, _, weight in rows)
        size = sum(log_size * weight for _, log_size, weight in rows)
        expected_weight = spread**-2 if expected_s > 0 else 0.0
        expected_size = expected_weight * math.log(expected_s or 1.0)
        for runs, log_size, weight in rows:
            others = expected_weight + total - weight
            if runs.pending and others > 1e-9:
                size_of_others = (expected_size + size - log_size * weight) / others
                variance = SIZE_SPREAD**2 / runs.pending + 1.0 / others
                log_duration = runs.pending_sum / runs.pending
                runs.speed.learn(size_of_others - log_duration, variance, now)
            runs.compared += runs.pending
            runs.compared_sum += runs.pending_sum
            runs.pending, runs.pending_sum = 0, 0.0
        self.pending = 0
        return math.exp(size / total)
