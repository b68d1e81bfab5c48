"""Learnt ratio of actual to estimated duration, by queue and image."""

import math
from collections import OrderedDict
from dataclasses import dataclass

# Steps after which older ones count for half of the learnt ratio or less.
MEMORY_STEPS = 40.0
# Number of steps that the assumption without observations counts for.
PRIOR_STEPS = 3.0
# Standard deviation of the logarithm of the ratio without observations: estimates are
# wrong by a factor of up to 2.5.
UNKNOWN_RATIO_SPREAD = 0.5
# Largest number of pairs of queue and image; the one unused for longest is dropped.
MAX_KINDS = 1000


@dataclass(slots=True)
class _Ratio:
    """Mean and variance of the logarithm of the ratio, with decay by steps."""

    weight: float = 0.0
    mean: float = 0.0
    variance: float = UNKNOWN_RATIO_SPREAD**2

    def learn(self, log_ratio: float, weight: float) -> None:
        self.weight = min(MEMORY_STEPS, self.weight + weight)
        share = weight / max(self.weight, weight)
        deviation = log_ratio - self.mean
        self.mean += share * deviation
        smoothed = weight / (self.weight + PRIOR_STEPS)
        self.variance += smoothed * (deviation**2 - self.variance)

    def shrunk_mean(self, assumed: float) -> float:
        """Returns the mean, which few observations hardly move from an assumption."""
        total = self.weight + PRIOR_STEPS
        return (self.weight * self.mean + PRIOR_STEPS * assumed) / total


class DurationEstimates:
    """Learns how long tasks take, relative to the estimates of their jobs.

    An image is compared with the other images of its queue, and a queue with the
    estimates. Durations are those on a worker of average speed.
    """

    def __init__(self):
        self._ratio_by_queue: dict[str, _Ratio] = {}
        self._ratio_by_kind: OrderedDict[tuple[str, str], _Ratio] = OrderedDict()

    def expected_s(self, queue: str, image: str, estimate_s: float) -> float:
        """Returns the expected duration of a task on a worker of average speed.

        Args:
            queue: Queue of its job.
            image: Its image; empty if unknown.
            estimate_s: Estimated duration in seconds.
        """
        return estimate_s * math.exp(self._expected_log_ratio(queue, image))

    def spread(self, queue: str, image: str) -> float:
        """Returns the standard deviation of the logarithm of the ratio."""
        ratio = self._ratio_by_kind.get((queue, image)) or self._ratio_by_queue.get(
            queue
        )
        return math.sqrt(ratio.variance) if ratio else UNKNOWN_RATIO_SPREAD

    def learn(
        self,
        queue: str,
        image: str,
        estimate_s: float,
        duration_s: float,
        weight: float,
    ) -> None:
        """Adds the duration of tasks of one step.

        Args:
            queue: Queue of the job.
            image: Image of the tasks; empty if unknown.
            estimate_s: Estimated duration in seconds.
            duration_s: Duration in seconds on a worker of average speed.
            weight: Share of the step's tasks that it stands for.
        """
        if estimate_s <= 0 or duration_s <= 0:
            return
        log_ratio = math.log(duration_s / estimate_s)
        self._ratio_by_queue.setdefault(queue, _Ratio()).learn(log_ratio, weight)
        kind = (queue, image)
        self._ratio_by_kind.setdefault(kind, _Ratio()).learn(log_ratio, weight)
        self._ratio_by_kind.move_to_end(kind)
        if len(self._ratio_by_kind) > MAX_KINDS:
            self._ratio_by_kind.popitem(last=False)

    def ratio_by_queue(self) -> dict[str, float]:
        """Returns the learnt ratio of each queue, for the event log."""
        return {
            queue: math.exp(ratio.shrunk_mean(0.0))
            for queue, ratio in self._ratio_by_queue.items()
        }

    def _expected_log_ratio(self, queue: str, image: str) -> float:
        by_queue = self._ratio_by_queue.get(queue)
        if by_queue is None:
            return 0.0
        assumed = by_queue.shrunk_mean(0.0)
        by_kind = self._ratio_by_kind.get((queue, image))
        return by_kind.shrunk_mean(assumed) if by_kind else assumed
