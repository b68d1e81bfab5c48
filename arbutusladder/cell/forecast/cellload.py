"""Summary of what runs and what waits in a cell, by service."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from arbutusladder.cell.forecast.drain import HORIZON_S, Amounts, Group
from arbutusladder.cell.speed import extrapolated_duration_s
from arbutusladder.cell.steppriority import Timeliness, timeliness
from arbutusladder.ids import TeamName

if TYPE_CHECKING:
    from arbutusladder.cell.celljobs import Job
    from arbutusladder.cell.cellstate import CellState
    from arbutusladder.cell.runs import Run
    from arbutusladder.cell.stages import Stage
    from arbutusladder.messages import Resources

# Shortest expected time in seconds until a run has ended and its end is reported.
MIN_REMAINING_S = 0.1
# Expected rest of a run that has exceeded its expected duration, as a share of the time
# that it has taken.
OVERDUE_SHARE = 0.2


class GroupKey(NamedTuple):
    """Place of waiting tasks in the order.

    Tasks that need accelerators are apart: the others do not wait for these.
    """

    timeliness: Timeliness
    priority: int
    team: TeamName
    uses_accelerators: bool


class Release(NamedTuple):
    """Expected end of a run."""

    seconds: float
    amounts: Amounts
    priority: int
    team: TeamName


@dataclass
class TaskTotals:
    """Sums over tasks.

    Attributes:
        tasks: Number of tasks.
        amounts: Sum of their resources.
        seconds: Sum of their expected durations.
    """

    tasks: int = 0
    amounts: Amounts = (0.0, 0.0, 0.0)
    seconds: float = 0.0

    def add(self, tasks: int, need: Resources, duration_s: float) -> None:
        """Adds tasks with the same resources and duration."""
        cpu, memory_mb, accelerators = self.amounts
        self.amounts = (
            cpu + tasks * need.cpu,
            memory_mb + tasks * need.memory_mb,
            accelerators + tasks * need.accelerators,
        )
        self.tasks += tasks
        self.seconds += tasks * duration_s

    def group(self, urgent: bool) -> Group:
        """Returns all tasks as a group."""
        return Group(self.amounts, self.seconds / self.tasks, urgent)

    def mean_task(self, urgent: bool) -> Group:
        """Returns a group of one task of average size."""
        cpu, memory_mb, accelerators = (sum_ / self.tasks for sum_ in self.amounts)
        return Group((cpu, memory_mb, accelerators), self.seconds / self.tasks, urgent)


@dataclass
class ServiceLoad:
    """What runs and what waits on the workers of a service.

    Attributes:
        capacity: Resources of the workers that accept tasks.
        free: Free ones of these.
        releases: Expected ends of the runs on them.
        waiting_by_key: Waiting tasks by their place in the order.
        tasks_by_kind: Tasks of all open jobs by priority and by whether they need
            accelerators.
        slack_s_by_priority: Longest wait in seconds with which a job of a priority
            still meets its objective.
    """

    capacity: Amounts = (0.0, 0.0, 0.0)
    free: Amounts = (0.0, 0.0, 0.0)
    releases: list[Release] = field(default_factory=list)
    waiting_by_key: dict[GroupKey, TaskTotals] = field(default_factory=dict)
    tasks_by_kind: dict[tuple[int, bool], TaskTotals] = field(default_factory=dict)
    slack_s_by_priority: dict[int, float] = field(default_factory=dict)

    def held_share(self, priority: int) -> float:
        """Returns the share of the scarcest resource that more urgent work holds."""
        held = [r.amounts for r in self.releases if r.priority < priority]
        return dominant_share(held, self.capacity)


def dominant_share(amounts: list[Amounts], total: Amounts) -> float:
    """Returns the largest fraction of any resource of a total that amounts take."""
    sums = [sum(column) for column in zip(*amounts, strict=True)]
    pairs = zip(sums, total, strict=False)
    return max((part / whole for part, whole in pairs if whole > 0), default=0.0)


def loads_by_service(cell: CellState, now: float) -> dict[str, ServiceLoad]:
    """Returns the load of each service with workers.

    Args:
        cell: State of the cell.
        now: Monotonic time in seconds.
    """
    load_by_service: dict[str, ServiceLoad] = {}
    open_vms = set()
    for vm, worker in cell.worker_by_vm.items():
        entry = worker.entry
        if not worker.registered or entry.draining or not worker.is_responsive(now):
            continue
        open_vms.add(vm)
        load = load_by_service.setdefault(entry.service, ServiceLoad())
        load.capacity = _plus(load.capacity, entry.capacity)
        load.free = _plus(load.free, worker.free)
    for job in cell.job_by_id.values():
        load = load_by_service.get(job.record.queue.service)
        if load is None or job.phase.is_final or cell.is_blocked(job):
            continue
        ratio = cell.durations.ratio(job.record.queue.name, now)
        _add_slack(load, job)
        for stage in job.stage_by_key.values():
            _add_runs(load, stage, ratio, open_vms, now)
            _add_waiting(load, stage, ratio, now)
    return load_by_service


def _plus(amounts: Amounts, need: Resources) -> Amounts:
    return (
        amounts[0] + need.cpu,
        amounts[1] + need.memory_mb,
        amounts[2] + need.accelerators,
    )


def _add_slack(load: ServiceLoad, job: Job) -> None:
    priority = job.record.queue.priority
    path_s = max(job.remaining_s_by_step, default=0.0)
    slack_s = job.objective_at - job.accepted_at - path_s
    longest_s = load.slack_s_by_priority.get(priority, 0.0)
    load.slack_s_by_priority[priority] = max(longest_s, slack_s)


def _add_runs(
    load: ServiceLoad, stage: Stage, ratio: float, open_vms: set, now: float
) -> None:
    queue, team = stage.job.record.queue, stage.job.record.team
    if stage.spec.lasting:
        return
    for task in stage.tasks:
        for run in task.runs:
            if run.vm in open_vms:
                seconds = _remaining_s(run, stage.spec.estimate_s * ratio, now)
                amounts = _plus((0.0, 0.0, 0.0), run.need)
                load.releases.append(Release(seconds, amounts, queue.priority, team))


def _remaining_s(run: Run, expected_s: float, now: float) -> float:
    """Returns the expected seconds until a run ends, by its progress if possible."""
    if run.stop_wanted:
        return MIN_REMAINING_S
    elapsed_s = now - run.changed_at
    expected_s = extrapolated_duration_s(run) or expected_s
    if elapsed_s > expected_s:
        return max(MIN_REMAINING_S, OVERDUE_SHARE * elapsed_s)
    return max(MIN_REMAINING_S, expected_s - elapsed_s)


def _add_waiting(load: ServiceLoad, stage: Stage, ratio: float, now: float) -> None:
    job, need = stage.job, stage.spec.need
    queue = job.record.queue
    duration_s = stage.spec.estimate_s * ratio
    if stage.spec.lasting:
        duration_s = 2 * HORIZON_S
    kind = (queue.priority, need.accelerators > 0)
    load.tasks_by_kind.setdefault(kind, TaskTotals()).add(
        len(stage.tasks), need, duration_s
    )
    if stage.due_at > now or stage.plan or not job.dependencies_done(stage):
        return
    tasks = len(stage.waiting_tasks())
    when = timeliness(job, stage, now)
    if not tasks or when is Timeliness.TOO_LATE:
        return
    key = GroupKey(when, queue.priority, job.record.team, kind[1])
    load.waiting_by_key.setdefault(key, TaskTotals()).add(tasks, need, duration_s)
