"""Learns the speeds of a cell's workers and the durations of its tasks."""

import math
from collections.abc import Callable, Collection

from arbutusladder import events
from arbutusladder.cell.interference.observations import overlaps
from arbutusladder.cell.interference.tracker import InterferenceTracker
from arbutusladder.cell.performance.classes import (
    ESTABLISHED_SHARE,
    classify,
    known_share,
    mark_newcomers,
)
from arbutusladder.cell.performance.durations import DurationEstimates
from arbutusladder.cell.performance.speed import (
    FINISHED_PERCENT,
    extrapolated_duration_s,
)
from arbutusladder.cell.runs import Run
from arbutusladder.cell.stages import Stage
from arbutusladder.cell.states import RunPhase
from arbutusladder.cell.workers import Worker
from arbutusladder.metrics import Metrics

# Completed percentage at which the duration of a run is extrapolated. Percentages are
# whole numbers, so that it is then known to 2 %.
MEASURED_PERCENT = 50.0
# Shortest duration in seconds that can be measured.
MIN_DURATION_S = 0.05
# Seconds for which runs of a step are collected before they are compared.
COLLECTION_S = 2.0
# Seconds between two assignments of workers to classes.
CLASSIFICATION_INTERVAL_S = 1.0


class PerformanceTracker:
    """Learns from the runs of a cell.

    Args:
        record_event: Queues an event for the event log.
        interference: Learnt effects of tasks on one another, by which durations are
            corrected.

    Attributes:
        durations: Learnt durations of tasks.
        speed_by_class: Typical speed of each class of workers.
    """

    def __init__(
        self, record_event: Callable[..., None], interference: InterferenceTracker
    ):
        self.durations = DurationEstimates()
        self.speed_by_class: dict[int, float] = {0: 1.0}
        self._record_event = record_event
        self._pairs = interference.pairs
        self._classified_at = -math.inf
        self._established_at: float | None = None

    def record_progress(
        self, worker: Worker, run: Run, stage: Stage, now: float
    ) -> None:
        """Learns from the progress of a run once that shows its duration.

        Args:
            worker: The worker.
            run: The run, with its newest progress.
            stage: Its step.
            now: Monotonic time in seconds.
        """
        if run.measured or not MEASURED_PERCENT <= run.percent < FINISHED_PERCENT:
            return
        duration_s = extrapolated_duration_s(run)
        if duration_s is not None:
            self._observe(worker, run, stage, duration_s, now)

    def record_done(
        self, worker: Worker, run: Run | None, stage: Stage, now: float
    ) -> None:
        """Learns from a successful end.

        The members of a gang end together, so that their ends show nothing.

        Args:
            worker: The worker.
            run: The run; None if the owner did not know it.
            stage: Its step.
            now: Monotonic time in seconds.
        """
        if run is None or run.measured or not run.from_start or stage.spec.gang:
            return
        if run.phase is RunPhase.RUNNING:
            self._observe(worker, run, stage, now - run.changed_at, now)

    def update_classes(self, workers: Collection[Worker], now: float) -> None:
        """Assigns workers to classes of similar speed, from time to time.

        Args:
            workers: All workers of the cell.
            now: Monotonic time in seconds.
        """
        if now - self._classified_at < CLASSIFICATION_INTERVAL_S:
            return
        self._classified_at = now
        before = [worker.speed.speed_class for worker in workers]
        speeds = [worker.speed for worker in workers]
        self.speed_by_class = classify(speeds)
        if self._established_at is None and known_share(speeds) >= ESTABLISHED_SHARE:
            self._established_at = now
        mark_newcomers(speeds, self._established_at, now)
        for worker, former in zip(workers, before, strict=True):
            if worker.speed.speed_class != former:
                self._record_class(worker)

    def report(self, metrics: Metrics) -> None:
        """Sets the gauges of what was learnt."""
        metrics.gauge("performance.speed_classes", len(self.speed_by_class))
        for queue, ratio in self.durations.ratio_by_queue().items():
            metrics.gauge(f"performance.duration_ratio.{queue}", ratio)

    def _record_class(self, worker: Worker) -> None:
        speed = worker.speed
        self._record_event(
            events.WORKER_SPEED_LEARNT,
            worker=worker.entry.vm,
            speed=math.exp(speed.log_mean),
            spread=speed.spread,
            runs=speed.observations,
            number=speed.speed_class,
            typical=self.speed_by_class[speed.speed_class],
        )

    def _observe(
        self, worker: Worker, run: Run, stage: Stage, duration_s: float, now: float
    ) -> None:
        run.measured = True
        spec = stage.spec
        if spec.lasting or spec.fills or duration_s < MIN_DURATION_S:
            return
        if spec.near_rack and spec.near_rack not in worker.entry.labels:
            # Tasks far from their data are slower, which is no fault of the worker.
            return
        if worker.speed.is_slow(now):
            return
        elapsed_s = max(MIN_DURATION_S, now - run.changed_at)
        others = overlaps(worker, run, elapsed_s, now) if spec.image else {}
        log_size = math.log(duration_s) + worker.speed.log_mean
        stage.slowdowns.add(log_size, others)
        undisturbed_s = duration_s / math.exp(self._pairs.expected(spec.image, others))
        stage.durations.add(worker.speed, undisturbed_s, now)
        open_runs = any(not run.measured for run in stage.active_runs)
        is_due = now - stage.durations.pending_since >= COLLECTION_S
        if is_due or not (open_runs or stage.waiting_tasks()):
            self._compare(stage, now)

    def _compare(self, stage: Stage, now: float) -> None:
        queue, image = stage.job.record.queue.name, stage.spec.image
        estimate_s = stage.spec.estimate_s
        weight = stage.durations.pending / len(stage.tasks)
        expected_s = self.durations.expected_s(queue, image, estimate_s)
        spread = self.durations.spread(queue, image)
        stage.slowdowns.compare(image, self._pairs, expected_s, spread, now)
        duration_s = stage.durations.compare(expected_s, spread, now)
        self.durations.learn(queue, image, estimate_s, duration_s, weight)
