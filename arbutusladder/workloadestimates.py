"""Estimates of task sizes and run times by workload.

Compares declarations with the usage and run times of recent tasks, so that wrong
declarations do not overcommit workers.
"""

import math
from collections import OrderedDict, deque
from dataclasses import dataclass, field

from arbutusladder.ids import TaskId, WorkloadName
from arbutusladder.messages import JobSpec, Resources
from arbutusladder.states import TaskState

# Recent tasks per workload that an estimate is based on.
MAX_SAMPLES = 64
# With fewer samples the declaration is used.
MIN_SAMPLES = 5
# Percentiles of the recent peaks and run times that are used as estimates.
SIZE_PERCENTILE = 0.95
RUN_TIME_PERCENTILE = 0.9
# Sizes are rounded up to these steps (cores, MB), so that small changes do not
# create new task shapes.
CPU_STEP = 0.125
MEMORY_STEP_MB = 64.0
# Upper bound of an estimate relative to the declaration, so that a faulty report
# cannot make a workload unplaceable.
MAX_SIZE_FACTOR = 8.0
# Growth factor from which a new peak is recorded.
MIN_PEAK_GROWTH = 1.05
# Workloads with a history; beyond it the oldest history is dropped.
MAX_WORKLOADS = 20_000
# Usage up to this factor above a reservation or declaration is treated as noise.
USAGE_TOLERANCE = 1.1


@dataclass(slots=True)
class _History:
    peaks_by_task: OrderedDict[TaskId, tuple[float, float]] = field(
        default_factory=OrderedDict
    )
    run_times: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))
    size: tuple[float, float] | None = None
    run_time_s: float | None = None


class WorkloadEstimates:
    """Percentile estimates of task sizes and run times by workload."""

    def __init__(self):
        self._history_by_workload: OrderedDict[WorkloadName, _History] = OrderedDict()

    def record_peak(
        self, workload: WorkloadName, task_id: TaskId, peak: Resources
    ) -> bool:
        """Records the peak usage of a task.

        Returns:
            Whether the estimated size of the workload changed.
        """
        history = self._history(workload)
        history.peaks_by_task[task_id] = (peak.cpu, peak.memory_mb)
        if len(history.peaks_by_task) > MAX_SAMPLES:
            history.peaks_by_task.popitem(last=False)
        if len(history.peaks_by_task) < MIN_SAMPLES:
            return False
        size = _estimate_size(history.peaks_by_task.values())
        changed = size != history.size
        history.size = size
        return changed

    def record_run_time(self, workload: WorkloadName, run_time_s: float) -> None:
        """Records the run time of a finished task in seconds."""
        history = self._history(workload)
        history.run_times.append(run_time_s)
        if len(history.run_times) >= MIN_SAMPLES:
            times = sorted(history.run_times)
            history.run_time_s = _percentile(times, RUN_TIME_PERCENTILE)

    def resources_for(self, job: JobSpec) -> Resources:
        """Returns the larger one of the declared and the estimated size of a task."""
        history = self._history_by_workload.get(job.workload)
        declared = job.task_resources
        if history is None or history.size is None:
            return declared
        cpu, memory = history.size
        if cpu <= declared.cpu and memory <= declared.memory_mb:
            return declared
        return Resources(
            _bounded(declared.cpu, cpu),
            _bounded(declared.memory_mb, memory),
            declared.accelerators,
        )

    def expected_run_time_s(self, job: JobSpec) -> float:
        """Returns the expected run time in seconds; infinite for a service."""
        if job.service:
            return math.inf
        history = self._history_by_workload.get(job.workload)
        if history is None or history.run_time_s is None:
            return job.run_time_s
        return history.run_time_s

    def _history(self, workload: WorkloadName) -> _History:
        history = self._history_by_workload.get(workload)
        if history is None:
            history = self._history_by_workload[workload] = _History()
            if len(self._history_by_workload) > MAX_WORKLOADS:
                self._history_by_workload.popitem(last=False)
        return history


def is_significant_peak(peak: Resources | None, usage: Resources) -> bool:
    """Returns whether usage is significantly above the recorded peak."""
    if peak is None:
        return True
    return (
        usage.cpu > peak.cpu * MIN_PEAK_GROWTH
        or usage.memory_mb > peak.memory_mb * MIN_PEAK_GROWTH
    )


def elementwise_max(peak: Resources | None, usage: Resources) -> Resources:
    """Returns the maximum of two amounts for each resource."""
    if peak is None:
        return usage
    return Resources(
        max(peak.cpu, usage.cpu),
        max(peak.memory_mb, usage.memory_mb),
        max(peak.accelerators, usage.accelerators),
    )


def exceeds_tolerance(usage: Resources, amount: Resources) -> bool:
    """Returns whether usage exceeds an amount by more than the tolerance."""
    return (
        usage.cpu > amount.cpu * USAGE_TOLERANCE
        or usage.memory_mb > amount.memory_mb * USAGE_TOLERANCE
    )


def worst_overuser(tasks):
    """Returns the running task that most exceeds its declaration, or None."""
    overusers = [task for task in tasks if _overuse_factor(task) > USAGE_TOLERANCE]
    return max(overusers, key=_overuse_factor, default=None)


def _overuse_factor(task) -> float:
    """Returns the usage of a task as a factor of its declaration."""
    if task.usage is None or task.state is not TaskState.RUNNING:
        return 0.0
    declared, used = task.job.spec.task_resources, task.usage
    cpu = used.cpu / declared.cpu if declared.cpu > 0 else 0.0
    memory = used.memory_mb / declared.memory_mb if declared.memory_mb > 0 else 0.0
    return max(cpu, memory)


def _bounded(declared: float, measured: float) -> float:
    limit = declared * MAX_SIZE_FACTOR if declared > 0 else measured
    return max(declared, min(measured, limit))


def _estimate_size(peaks) -> tuple[float, float]:
    cpu = _percentile(sorted(peak[0] for peak in peaks), SIZE_PERCENTILE)
    memory = _percentile(sorted(peak[1] for peak in peaks), SIZE_PERCENTILE)
    return (_round_up(cpu, CPU_STEP), _round_up(memory, MEMORY_STEP_MB))


def _round_up(value: float, step: float) -> float:
    return math.ceil(value / step) * step


def _percentile(ordered: list[float], fraction: float) -> float:
    return ordered[min(len(ordered) - 1, math.ceil(fraction * len(ordered)) - 1)]
