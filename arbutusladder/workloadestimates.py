"""Sizes and run times of workloads, corrected from what their tasks did."""

import math
from collections import OrderedDict, deque
from dataclasses import dataclass, field

from arbutusladder.ids import TaskId, WorkloadName
from arbutusladder.messages import JobSpec, Resources
from arbutusladder.states import TaskState

# Tasks of a workload that are remembered.
SAMPLES = 64
# With fewer samples the declaration stands.
MIN_SAMPLES = 5
SIZE_PERCENTILE = 0.95
RUN_TIME_PERCENTILE = 0.9
# Sizes are rounded up so that small changes do not create new sizes.
CPU_STEP = 0.125
MEMORY_STEP_MB = 64.0
# A faulty report must not make a workload impossible to place.
MAX_FACTOR = 8.0
# Growth of a peak that is worth noting.
PEAK_GROWTH = 1.05
MAX_WORKLOADS = 20_000
# Usage above a reservation or declaration by less than this is noise.
USAGE_TOLERANCE = 1.1


@dataclass(slots=True)
class _History:
    peaks_by_task: OrderedDict[TaskId, tuple[float, float]] = field(
        default_factory=OrderedDict
    )
    run_times: deque[float] = field(default_factory=lambda: deque(maxlen=SAMPLES))
    size: tuple[float, float] | None = None
    run_time_s: float | None = None


class Corrections:
    """Compares declared with reported sizes and run times, by workload."""

    def __init__(self):
        self._history_by_workload: OrderedDict[WorkloadName, _History] = OrderedDict()

    def peak_reported(
        self, workload: WorkloadName, task_id: TaskId, peak: Resources
    ) -> bool:
        """Notes the highest usage of a task; returns whether the size changed."""
        history = self._history(workload)
        history.peaks_by_task[task_id] = (peak.cpu, peak.memory_mb)
        if len(history.peaks_by_task) > SAMPLES:
            history.peaks_by_task.popitem(last=False)
        if len(history.peaks_by_task) < MIN_SAMPLES:
            return False
        size = _size(history.peaks_by_task.values())
        changed = size != history.size
        history.size = size
        return changed

    def run_ended(self, workload: WorkloadName, run_time_s: float) -> None:
        """Notes the run time of a finished task in seconds."""
        history = self._history(workload)
        history.run_times.append(run_time_s)
        if len(history.run_times) >= MIN_SAMPLES:
            times = sorted(history.run_times)
            history.run_time_s = _percentile(times, RUN_TIME_PERCENTILE)

    def need(self, job: JobSpec) -> Resources:
        """Returns the larger of the declared and the corrected size."""
        history = self._history_by_workload.get(job.workload)
        declared = job.task_resources
        if history is None or history.size is None:
            return declared
        cpu, memory = history.size
        if cpu <= declared.cpu and memory <= declared.memory_mb:
            return declared
        return Resources(
            _corrected(declared.cpu, cpu),
            _corrected(declared.memory_mb, memory),
            declared.accelerators,
        )

    def run_time(self, job: JobSpec) -> float:
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


def is_new_peak(peak: Resources | None, usage: Resources) -> bool:
    """Returns whether usage is clearly above the highest seen before."""
    if peak is None:
        return True
    return (
        usage.cpu > peak.cpu * PEAK_GROWTH
        or usage.memory_mb > peak.memory_mb * PEAK_GROWTH
    )


def higher(peak: Resources | None, usage: Resources) -> Resources:
    """Returns the larger of two amounts, resource by resource."""
    if peak is None:
        return usage
    return Resources(
        max(peak.cpu, usage.cpu),
        max(peak.memory_mb, usage.memory_mb),
        max(peak.accelerators, usage.accelerators),
    )


def is_above(usage: Resources, amount: Resources) -> bool:
    """Returns whether usage is above an amount by more than noise."""
    return (
        usage.cpu > amount.cpu * USAGE_TOLERANCE
        or usage.memory_mb > amount.memory_mb * USAGE_TOLERANCE
    )


def worst_exceeder(tasks):
    """Returns the task whose usage is furthest above its declaration, or None."""
    exceeders = [task for task in tasks if _excess(task) > USAGE_TOLERANCE]
    return max(exceeders, key=_excess, default=None)


def _excess(task) -> float:
    """Returns how far usage is above the declaration, as a factor."""
    if task.usage is None or task.state is not TaskState.RUNNING:
        return 0.0
    declared, used = task.job.spec.task_resources, task.usage
    cpu = used.cpu / declared.cpu if declared.cpu > 0 else 0.0
    memory = used.memory_mb / declared.memory_mb if declared.memory_mb > 0 else 0.0
    return max(cpu, memory)


def _corrected(declared: float, measured: float) -> float:
    limit = declared * MAX_FACTOR if declared > 0 else measured
    return max(declared, min(measured, limit))


def _size(peaks) -> tuple[float, float]:
    cpu = _percentile(sorted(peak[0] for peak in peaks), SIZE_PERCENTILE)
    memory = _percentile(sorted(peak[1] for peak in peaks), SIZE_PERCENTILE)
    return (_round_up(cpu, CPU_STEP), _round_up(memory, MEMORY_STEP_MB))


def _round_up(value: float, step: float) -> float:
    return math.ceil(value / step) * step


def _percentile(ordered: list[float], fraction: float) -> float:
    return ordered[min(len(ordered) - 1, math.ceil(fraction * len(ordered)) - 1)]
