"""What would change that a step of a previewed job waits."""

from arbutusladder.cell.cellstate import CellState
from arbutusladder.cell.decisionround import URGENT_RESERVE
from arbutusladder.cell.stages import Stage
from arbutusladder.cell.states import WaitCause
from arbutusladder.cell.teamusage.caps import format_amount, smallest_start
from arbutusladder.cell.workers import Worker
from arbutusladder.cell.workerselection import fits_idle_workers, meets_requirements
from arbutusladder.messages import Resources
from arbutusladder.resources import fits


def remedy(cause: WaitCause, cell: CellState, stage: Stage, now: float) -> str:
    """Returns what would let a step start that waits for a cause.

    Args:
        cause: The cause.
        cell: State of the cell after the round of decisions.
        stage: The step.
        now: Monotonic time in seconds.
    """
    match cause:
        case WaitCause.CAP:
            return _cap_remedy(cell, stage)
        case WaitCause.ADVICE:
            return "the advice service decides among the named workers"
        case WaitCause.CALLER:
            if fits_on_any(cell, stage):
                return "an entry VM has to be idle for a call to the advice service"
            return _room_remedy(cell, stage, now)
        case WaitCause.TICKETS:
            return "the advice service has to renew tickets"
        case WaitCause.ROOM:
            return _room_remedy(cell, stage, now)


def fits_on_any(cell: CellState, stage: Stage) -> bool:
    """Returns whether any worker is suitable and large enough for a task of a step."""
    return any(
        fits(stage.spec.need, worker.entry.capacity)
        for worker in _suitable_workers(cell, stage)
    )


def _cap_remedy(cell: CellState, stage: Stage) -> str:
    ledger, team = cell.team_ledger, stage.job.team
    cap = ledger.limits.terms_by_name[team].cap
    return (
        f"other work of team {team} has to end, or its cap be raised: a start takes "
        f"{format_amount(smallest_start(stage.spec))}, charged with the other starts "
        f"are {format_amount(ledger.charged(team))} of {format_amount(cap, 'no limit')}"
    )


def _room_remedy(cell: CellState, stage: Stage, now: float) -> str:
    need = format_amount(stage.spec.need)
    label = stage.spec.required_label
    kind = f"service {stage.job.record.queue.service!r}"
    kind += f" and label {label!r}" if label else ""
    suitable = _suitable_workers(cell, stage)
    if not fits_on_any(cell, stage):
        return f"no worker with {kind} is large enough for {need}; register one"
    if stage.spec.gang and not fits_idle_workers(stage, suitable):
        return f"all workers with {kind} together are too few for the gang; add some"
    usable = [worker for worker in suitable if cell.accepts_tasks(worker, now)]
    if not usable:
        return f"none of {len(suitable)} workers with {kind} accepts tasks; check them"
    most = max((worker.free for worker in usable), key=_free_key)
    tasks = f"{stage.spec.count} tasks at once, each" if stage.spec.gang else "a task"
    return (
        f"other work has to end: the step starts {tasks} of {need}; of {len(usable)} "
        f"workers with {kind} that accept tasks, the one with most free cores has "
        f"{format_amount(most)}; {URGENT_RESERVE:.0%} of the cores and memory "
        "are kept for urgent work, and waiting gangs reserve workers"
    )


def _suitable_workers(cell: CellState, stage: Stage) -> list[Worker]:
    return [w for w in cell.worker_by_vm.values() if meets_requirements(stage, w)]


def _free_key(free: Resources) -> tuple[float, float]:
    return free.cpu, free.memory_mb
