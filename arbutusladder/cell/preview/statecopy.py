"""Copy of a cell's state on which a placement can be tried without any effect."""

import copy
import heapq
from collections.abc import Collection

from arbutusladder.cell.celljobs import Job
from arbutusladder.cell.cellstate import CellState
from arbutusladder.cell.interfaces import TeamLimits
from arbutusladder.cell.performance.tracker import PerformanceTracker
from arbutusladder.cell.placement import Order, Placer
from arbutusladder.cell.stages import Stage
from arbutusladder.cell.steppriority import priority_key
from arbutusladder.cell.teamusage.ledger import TeamLedger
from arbutusladder.cell.workers import Worker

# Largest number of waiting steps whose jobs are copied. The owner decides nothing else
# meanwhile, and a preview should not take it longer than one of its rounds.
MAX_WAITING_STEPS = 200


class PreviewPlacer(Placer):
    """Places tasks in a copy, whose runs are those of the original state."""

    def due_run_orders(self, now: float) -> list[Order]:
        """Returns nothing: orders for runs in progress would change these."""
        return []


class _LearntPerformance(PerformanceTracker):
    """Classes of workers as the owner has assigned them last."""

    def update_classes(self, workers: Collection[Worker], now: float) -> None:
        """Keeps the classes."""


def copy_state(
    cell: CellState, limits: TeamLimits, wall_offset: float, now: float
) -> CellState:
    """Returns a copy with the workers and the waiting steps that come first.

    Rounds of decisions on it by a `PreviewPlacer` change nothing in the original: what
    they change is copied, and the rest is shared.

    Args:
        cell: State of the cell.
        limits: Shares and caps of the teams now.
        wall_offset: Wall clock time less monotonic time in seconds.
        now: Monotonic time in seconds.
    """
    copied = CellState(wall_offset, cell.task_need, cell.job_team)
    copied.worker_by_vm = {
        vm: _copy_worker(worker) for vm, worker in cell.worker_by_vm.items()
    }
    copied.recorded_vms = cell.recorded_vms
    copied.listed_silent_vms = cell.listed_silent_vms
    copied.max_lease_s, copied.job_limits = cell.max_lease_s, cell.job_limits
    copied.advice_demand = copy.deepcopy(cell.advice_demand)
    copied.interference = cell.interference
    copied.performance = _LearntPerformance(copied.record_event, cell.interference)
    copied.performance.speed_by_class = cell.performance.speed_by_class
    copied.performance.durations = cell.performance.durations
    copied.team_ledger = _copy_ledger(cell, limits)
    for job in _waiting_jobs(cell, now):
        copied.job_by_id[job.id] = _copy_job(job)
    return copied


def _copy_worker(worker: Worker) -> Worker:
    copied = copy.copy(worker)
    copied.run_by_key = dict(worker.run_by_key)
    copied.speed = copy.copy(worker.speed)
    return copied


def _copy_ledger(cell: CellState, limits: TeamLimits) -> TeamLedger:
    """Returns a ledger that charges as used what inherited jobs may run."""
    ledger = TeamLedger()
    ledger.limits = limits
    teams = {*cell.team_ledger.used_by_team, *limits.terms_by_name}
    ledger.used_by_team = {team: cell.team_ledger.charged(team) for team in teams}
    ledger.urgent_usage.used_by_team = dict(cell.team_ledger.urgent_usage.used_by_team)
    return ledger


def _waiting_jobs(cell: CellState, now: float) -> list[Job]:
    """Returns the jobs of the first waiting steps, without those that are blocked."""
    found: list[Stage] = []
    for job in cell.job_by_id.values():
        if job.phase.is_final or cell.is_blocked(job):
            continue
        found += [
            stage
            for stage in job.stage_by_key.values()
            if stage.due_at <= now
            and stage.waiting_tasks()
            and job.dependencies_done(stage)
        ]
    first = heapq.nsmallest(
        MAX_WAITING_STEPS, found, key=lambda stage: priority_key(stage, now)
    )
    job_ids = dict.fromkeys(stage.job.id for stage in first)
    return [cell.job_by_id[job_id] for job_id in job_ids]


def _copy_job(job: Job) -> Job:
    copied = copy.copy(job)
    copied.open_occurrences = set(job.open_occurrences)
    copied.stage_by_key = {
        key: _copy_stage(stage, copied) for key, stage in job.stage_by_key.items()
    }
    return copied


def _copy_stage(stage: Stage, job: Job) -> Stage:
    copied = copy.copy(stage)
    copied.job = job
    copied.tasks = [copy.copy(task) for task in stage.tasks]
    for task in copied.tasks:
        task.runs = list(task.runs)
    copied.advice = copy.copy(stage.advice)
    copied.plan = list(stage.plan)
    copied.wait_s_by_cause = dict(stage.wait_s_by_cause)
    return copied
