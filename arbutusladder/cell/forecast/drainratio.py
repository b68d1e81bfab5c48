"""Ratio of actual to estimated run time of each queue.

It is a ratio of sums of seconds, since the time until a backlog has drained depends on
the sum of its durations. `arbutusladder.cell.performance.durations` learns the duration
of a typical task instead, by which workers are compared.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from arbutusladder.cell.runs import Run
    from arbutusladder.cell.stages import Stage

# Seconds after which an observation counts half: the errors of estimates change with
# the jobs of a queue, which last some seconds each.
HALF_LIFE_S = 10.0
# Estimated seconds of runs whose ratio is assumed to be 1 before any have ended. A few
# runs that end first, which are the shortest ones, do not decide the ratio.
PRIOR_S = 20.0
# Bounds of the ratio; estimates are wrong by up to 90 %.
MIN_RATIO, MAX_RATIO = 0.1, 4.0


@dataclass
class _Sums:
    actual_s: float = 0.0
    estimated_s: float = 0.0
    observed_at: float = 0.0

    def decay(self, now: float) -> None:
        """Reduces the weight of the observations until now."""
        factor = 0.5 ** ((now - self.observed_at) / HALF_LIFE_S)
        self.actual_s *= factor
        self.estimated_s *= factor
        self.observed_at = now


@dataclass
class DrainRatios:
    """Durations of ended runs relative to their estimates, by queue, with decay."""

    _sums_by_queue: dict[str, _Sums] = field(default_factory=dict)

    def observe_end(self, stage: Stage, run: Run, now: float) -> None:
        """Records a run that has ended successfully.

        Runs that were not observed from their start, or that may have resumed from a
        checkpoint, do not show how long a task takes.

        Args:
            stage: Step of the run.
            run: The run.
            now: Monotonic time in seconds.
        """
        may_have_resumed = run.number > 1 and stage.tasks[run.index].checkpoint
        if not run.from_start or stage.spec.lasting or may_have_resumed:
            return
        self.observe(
            stage.job.record.queue.name,
            now - run.changed_at,
            stage.spec.estimate_s,
            now,
        )

    def observe(
        self, queue: str, actual_s: float, estimated_s: float, now: float
    ) -> None:
        """Records the actual and the estimated seconds of a run of a queue."""
        sums = self._sums_by_queue.setdefault(queue, _Sums(observed_at=now))
        sums.decay(now)
        sums.actual_s += actual_s
        sums.estimated_s += estimated_s

    def ratio(self, queue: str, now: float) -> float:
        """Returns the ratio of actual to estimated durations of a queue."""
        sums = self._sums_by_queue.get(queue)
        if sums is None:
            return 1.0
        sums.decay(now)
        ratio = (sums.actual_s + PRIOR_S) / (sums.estimated_s + PRIOR_S)
        return min(MAX_RATIO, max(MIN_RATIO, ratio))
