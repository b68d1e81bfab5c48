"""Which workers suit a step, and which of them its tasks go to."""

from arbutusladder.cell.stages import Stage
from arbutusladder.cell.workers import Worker
from arbutusladder.messages import Resources
from arbutusladder.resources import fits


def choose_for_gang(
    stage: Stage, candidates: list[Worker], now: float
) -> list[Worker] | None:
    """Returns a worker for each member of a gang, or None if it does not fit.

    Workers with a valid ticket come first, then those with the most room, so
    that the gang touches few workers.
    """
    if stage.spec.one_rack:
        return _choose_in_one_rack(stage, candidates, now)
    return _choose(stage, candidates, now)


def _choose_in_one_rack(
    stage: Stage, candidates: list[Worker], now: float
) -> list[Worker] | None:
    by_rack: dict[str, list[Worker]] = {}
    for worker in candidates:
        by_rack.setdefault(worker.entry.rack, []).append(worker)
    for workers in sorted(by_rack.values(), key=len):
        chosen = _choose(stage, workers, now)
        if chosen:
            return chosen
    return None


def _choose(stage: Stage, candidates: list[Worker], now: float) -> list[Worker] | None:
    wanted = len(stage.tasks)
    chosen: list[Worker] = []
    ranked = sorted(
        candidates,
        key=lambda worker: (
            stage.advice.ticket(worker.entry.vm, now) is None,
            _far(stage, worker),
            -worker.free.cpu,
        ),
    )
    for worker in ranked:
        fitting = count_fitting_tasks(stage, worker.free)
        if worker.on_trial:
            fitting = min(fitting, 1)
        chosen += [worker] * min(fitting, wanted - len(chosen))
        if len(chosen) == wanted:
            return chosen
    return None


def could_ever_fit(stage: Stage, workers: list[Worker]) -> bool:
    """Returns whether a gang fits on workers that run nothing else."""
    fitting = sum(
        count_fitting_tasks(stage, worker.entry.capacity) for worker in workers
    )
    return fitting >= len(stage.tasks)


def count_fitting_tasks(stage: Stage, room: Resources) -> int:
    """Returns how many tasks of a step fit into a room."""
    need = stage.spec.need
    pairs = (
        (room.cpu, need.cpu),
        (room.memory_mb, need.memory_mb),
        (room.accelerators, need.accelerators),
    )
    fitting = min(
        (int((have + 1e-6) // per) for have, per in pairs if per), default=1000
    )
    limit = stage.spec.max_per_worker
    return max(0, min(fitting, limit) if limit else fitting)


def best_worker(stage: Stage, candidates: list[Worker], now: float) -> Worker | None:
    """Returns the worker for one task: near its data, with a ticket, full."""
    best, best_key = None, None
    for worker in candidates:
        if not fits(stage.spec.need, worker.free) or _at_limit(stage, worker):
            continue
        if worker.trial is not None:
            continue
        vm = worker.entry.vm
        no_ticket = needs_advice(stage) and stage.advice.ticket(vm, now) is None
        key = (_far(stage, worker), no_ticket, worker.free.cpu)
        if best_key is None or key < best_key:
            best, best_key = worker, key
    return best


def _at_limit(stage: Stage, worker: Worker) -> bool:
    limit = stage.spec.max_per_worker
    if not limit:
        return False
    present = sum(1 for run in worker.run_by_key.values() if run.stage == stage.key)
    return present >= limit


def may_run(stage: Stage, worker: Worker) -> bool:
    """Returns whether a worker may run a step, as far as advice has told."""
    if not suits(stage, worker):
        return False
    if not needs_advice(stage):
        return True
    return worker.entry.vm in stage.advice.ticket_by_vm


def suits(stage: Stage, worker: Worker) -> bool:
    """Returns whether a worker runs the service and has the label of a step."""
    label = stage.spec.required_label
    return worker.entry.service == stage.job.record.queue.service and (
        not label or label in worker.entry.labels
    )


def _far(stage: Stage, worker: Worker) -> bool:
    near = stage.spec.near_rack
    return bool(near) and near not in worker.entry.labels


def needs_advice(stage: Stage) -> bool:
    """Returns whether advice decides which workers may run a step."""
    return stage.job.record.queue.advice_s > 0
