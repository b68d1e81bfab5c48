"""Observed slowdowns of the runs of one step, relative to one another."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from arbutusladder.cell.interference.pairs import ImagePairs
from arbutusladder.cell.performance.longterm import SIZE_SPREAD
from arbutusladder.cell.runs import Run
from arbutusladder.cell.workers import Worker


def overlaps(worker: Worker, run: Run, seconds: float, now: float) -> dict[str, float]:
    """Returns the images beside a run, with the share of some time that they worked.

    Runs that have ended do not count, and filler tasks count by their pace.

    Args:
        worker: The worker of the run.
        run: The run.
        seconds: Length of the time until now.
        now: Monotonic time in seconds.
    """
    found: dict[str, float] = {}
    for other in worker.run_by_key.values():
        if other is run or other.spec is None or not other.spec.image:
            continue
        share = min(1.0, (now - other.changed_at) / seconds)
        if other.pace is not None:
            share *= other.pace / 100.0
        image = other.spec.image
        found[image] = max(found.get(image, 0.0), share)
    return found


@dataclass(slots=True)
class StepSlowdowns:
    """Runs of a step that are not compared yet.

    Attributes:
        rows: Logarithm of the duration of each run on a worker of average speed, with
            the images beside it.
    """

    rows: list[tuple[float, Mapping[str, float]]] = field(default_factory=list)

    def add(self, log_size: float, others: Mapping[str, float]) -> None:
        """Adds a run.

        Args:
            log_size: Logarithm of its duration on a worker of average speed.
            others: Share of its time, for each image beside it.
        """
        self.rows.append((log_size, others))

    def compare(
        self,
        image: str,
        pairs: ImagePairs,
        expected_s: float,
        spread: float,
        now: float,
    ) -> None:
        """Learns the effects on the runs from the differences between them.

        Args:
            image: Image of the step.
            pairs: Learnt effects.
            expected_s: Expected duration in seconds; 0 if unknown.
            spread: Standard deviation of its logarithm.
            now: Monotonic time in seconds.
        """
        undisturbed = [
            log_size - pairs.expected(image, others) for log_size, others in self.rows
        ]
        expected_weight = spread**-2 if expected_s > 0 else 0.0
        row_weight = SIZE_SPREAD**-2
        total = expected_weight + row_weight * len(self.rows)
        weighted = expected_weight * math.log(expected_s or 1.0)
        weighted += row_weight * sum(undisturbed)
        for (log_size, others), own in zip(self.rows, undisturbed, strict=True):
            rest = total - row_weight
            if others and rest > 1e-9:
                slowdown = log_size - (weighted - row_weight * own) / rest
                variance = SIZE_SPREAD**2 + 1.0 / rest
                pairs.learn(image, others, slowdown, variance, now)
        self.rows = []
