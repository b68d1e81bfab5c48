"""Summary of what runs and what waits in a cell, by service."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from arbutusladder.cell.celljobs import LATE_OBJECTIVE_FACTOR
from arbutusladder.cell.forecast.drain import HORIZON_S, NOTHING, Amounts, Group
from arbutusladder.cell.performance.speed import extrapolated_duration_s
from arbutusladder.cell.states import RunPhase
from arbutusladder.cell.steppriority import URGENT_PRIORITY, Timeliness, timeliness
from arbutusladder.ids import TeamName, VmId

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
# Share of a resource below which the free rest of it counts as none.
FULL_SHARE = 0.1
# Seconds to which the limits of waiting tasks are rounded to join them in groups, so
# that the cost does not grow with the length of the backlog.
GROUPING_S = 1.0


class GroupKey(NamedTuple):
    """What waiting tasks have in common that start in one place of the order.

    Tasks that need accelerators are apart: the others do not wait for these. A gang,
    named by its step, is apart from all others, since its tasks start together.
    """

    priority: int
    team: TeamName
    uses_accelerators: bool
    objective_s: float = math.inf
    in_time_s: float = math.inf
    credit_s: float = math.inf
    gang: str = ""


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
    amounts: Amounts = NOTHING
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

    def group(self, key: GroupKey, is_probe: bool = False) -> Group:
        """Returns the tasks as a group, or one of average size as a probe."""
        cpu, memory_mb, accelerators = self.amounts
        count = self.tasks if is_probe else 1
        return Group(
            (cpu / count, memory_mb / count, accelerators / count),
            self.seconds / self.tasks,
            key.priority,
            key.objective_s,
            key.in_time_s,
            key.credit_s,
            key.priority <= URGENT_PRIORITY,
            is_probe,
            bool(key.gang),
        )


class JobTerms(NamedTuple):
    """Objective and estimated duration of a job in seconds."""

    objective_s: float
    path_s: float


@dataclass
class ServiceLoad:
    """What runs and what waits on the workers of a service.

    Attributes:
        vms: Workers that accept tasks.
        capacity: Resources of these workers.
        free: Free ones of these.
        releases: Expected ends of the runs on them.
        used_by_team: Resources of the runs of each team.
        waiting_by_key: Waiting tasks by their place in the order.
        tasks_by_kind: Tasks of all open jobs by priority and by whether they need
            accelerators.
        terms_by_priority: Objectives of the open jobs of each priority.
    """

    vms: set[VmId] = field(default_factory=set)
    capacity: Amounts = NOTHING
    free: Amounts = NOTHING
    releases: list[Release] = field(default_factory=list)
    used_by_team: dict[TeamName, Amounts] = field(default_factory=dict)
    waiting_by_key: dict[GroupKey, TaskTotals] = field(default_factory=dict)
    tasks_by_kind: dict[tuple[int, bool], TaskTotals] = field(default_factory=dict)
    terms_by_priority: dict[int, list[JobTerms]] = field(default_factory=dict)

    @property
    def is_full(self) -> bool:
        """Whether little of any resource is free, so that new jobs may wait."""
        return any(
            free < FULL_SHARE * whole
            for free, whole in zip(self.free, self.capacity, strict=True)
        )

    def waiting_amounts(self, team: TeamName) -> Amounts:
        """Returns the resources that the waiting tasks of a team need."""
        total = NOTHING
        for key, totals in self.waiting_by_key.items():
            if key.team == team:
                total = added(total, totals.amounts)
        return total

    def held_share(self, priority: int) -> float:
        """Returns the share of the scarcest resource that more urgent work holds."""
        rows = [row.amounts for row in self.releases if row.priority < priority]
        held = tuple(sum(column) for column in zip(*rows, strict=True))
        return dominant_share(held, self.capacity) if rows else 0.0


def added(left: Amounts, right: Amounts) -> Amounts:
    """Returns the sum of two amounts."""
    return (left[0] + right[0], left[1] + right[1], left[2] + right[2])


def dominant_share(amounts: Amounts, total: Amounts) -> float:
    """Returns the largest fraction of any resource of a total that amounts take."""
    pairs = zip(amounts, total, strict=True)
    return max((part / whole for part, whole in pairs if whole > 0), default=0.0)


def empty_loads(cell: CellState, now: float) -> dict[str, ServiceLoad]:
    """Returns the resources of each service with workers, without its jobs.

    Args:
        cell: State of the cell.
        now: Monotonic time in seconds.
    """
    load_by_service: dict[str, ServiceLoad] = {}
    for vm, worker in cell.worker_by_vm.items():
        entry = worker.entry
        if not worker.registered or entry.draining or not worker.is_responsive(now):
            continue
        load = load_by_service.setdefault(entry.service, ServiceLoad())
        load.vms.add(vm)
        load.capacity = _plus(load.capacity, entry.capacity)
        load.free = _plus(load.free, worker.free)
    return load_by_service


def add_jobs(
    load_by_service: dict[str, ServiceLoad], cell: CellState, now: float
) -> None:
    """Adds what runs and what waits.

    Args:
        load_by_service: Resources of each service.
        cell: State of the cell.
        now: Monotonic time in seconds.
    """
    for job in cell.job_by_id.values():
        load = load_by_service.get(job.record.queue.service)
        if load is None or job.phase.is_final or cell.is_blocked(job):
            continue
        ratio = cell.drain_ratios.ratio(job.record.queue.name, now)
        _add_terms(load, job)
        for stage in job.stage_by_key.values():
            _add_runs(load, stage, ratio, now)
            _add_waiting(load, job, stage, ratio, now)


def _plus(amounts: Amounts, need: Resources) -> Amounts:
    return (
        amounts[0] + need.cpu,
        amounts[1] + need.memory_mb,
        amounts[2] + need.accelerators,
    )


def _add_terms(load: ServiceLoad, job: Job) -> None:
    priority = job.record.queue.priority
    path_s = max(job.remaining_s_by_step, default=0.0)
    terms = JobTerms(job.objective_at - job.accepted_at, path_s)
    load.terms_by_priority.setdefault(priority, []).append(terms)


def _add_runs(load: ServiceLoad, stage: Stage, ratio: float, now: float) -> None:
    queue, team = stage.job.record.queue, stage.job.team
    expected_s = stage.spec.estimate_s * ratio
    for task in stage.tasks:
        for run in task.runs:
            if run.phase is RunPhase.UNSETTLED:
                continue
            used = load.used_by_team.get(team, NOTHING)
            load.used_by_team[team] = _plus(used, run.need)
            if run.vm in load.vms and not run.lasting:
                seconds = _remaining_s(run, expected_s, now)
                amounts = _plus(NOTHING, run.need)
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


def _add_waiting(
    load: ServiceLoad, job: Job, stage: Stage, ratio: float, now: float
) -> None:
    need, queue = stage.spec.need, job.record.queue
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
    if not tasks or timeliness(job, stage, now) is Timeliness.TOO_LATE:
        return
    gang = stage.key if stage.spec.gang else ""
    key = GroupKey(queue.priority, job.team, kind[1], gang=gang)
    if not job.is_long_running and not job.record.times:
        objective_s = job.objective_at - now
        allowed_s = job.objective_at - job.accepted_at
        late_s = (LATE_OBJECTIVE_FACTOR - 1.0) * allowed_s
        in_time_s = objective_s - job.remaining_s_by_step[stage.step]
        key = key._replace(
            objective_s=_rounded(objective_s),
            in_time_s=_rounded(in_time_s),
            credit_s=_rounded(in_time_s + late_s),
        )
    load.waiting_by_key.setdefault(key, TaskTotals()).add(tasks, need, duration_s)


def _rounded(seconds: float) -> float:
    return round(seconds / GROUPING_S) * GROUPING_S
