"""Selection of the workers for the tasks of a step."""

from arbutusladder.cell.stages import Stage
from arbutusladder.cell.workers import Worker
from arbutusladder.messages import Resources
from arbutusladder.resources import fits


def select_gang_workers(
    stage: Stage, candidates: list[Worker], now: float
) -> list[Worker] | None:
    """Returns a worker for each member of a gang, or None if it does not fit.

    Workers with a valid ticket come first, then those near the data, then those with
    the most free cores, so that the gang uses few workers.

    Args:
        stage: The gang.
        candidates: Workers that may run it.
        now: Monotonic time in seconds.
    """
    if stage.spec.one_rack:
        return _select_in_one_rack(stage, candidates, now)
    return _select_workers(stage, candidates, now)


def _select_in_one_rack(
    stage: Stage, candidates: list[Worker], now: float
) -> list[Worker] | None:
    by_rack: dict[str, list[Worker]] = {}
    for worker in candidates:
        by_rack.setdefault(worker.entry.rack, []).append(worker)
    for workers in sorted(by_rack.values(), key=len):
        chosen = _select_workers(stage, workers, now)
        if chosen:
            return chosen
    return None


def _select_workers(
    stage: Stage, candidates: list[Worker], now: float
) -> list[Worker] | None:
    task_count = len(stage.tasks)
    chosen: list[Worker] = []
    ranked = sorted(
        candidates,
        key=lambda worker: (
            stage.advice.valid_ticket(worker.entry.vm, now) is None,
            _is_remote(stage, worker),
            -worker.free.cpu,
        ),
    )
    for worker in ranked:
        fitting = count_fitting_tasks(stage, worker.free)
        if worker.on_trial:
            fitting = min(fitting, 1)
        chosen += [worker] * min(fitting, task_count - len(chosen))
        if len(chosen) == task_count:
            return chosen
    return None


def fits_idle_workers(stage: Stage, workers: list[Worker]) -> bool:
    """Returns whether a gang would fit on workers if they ran nothing else."""
    fitting = sum(
        count_fitting_tasks(stage, worker.entry.capacity) for worker in workers
    )
    return fitting >= len(stage.tasks)


def count_fitting_tasks(stage: Stage, resources: Resources) -> int:
    """Returns how many tasks of a step fit into the resources of one worker."""
    need = stage.spec.need
    pairs = (
        (resources.cpu, need.cpu),
        (resources.memory_mb, need.memory_mb),
        (resources.accelerators, need.accelerators),
    )
    fitting = min(
        (int((have + 1e-6) // per) for have, per in pairs if per), default=1000
    )
    limit = stage.spec.max_per_worker
    return max(0, min(fitting, limit) if limit else fitting)


def select_worker(stage: Stage, candidates: list[Worker], now: float) -> Worker | None:
    """Returns the best worker for one task, or None if it fits on none.

    Workers near the data come first, then those with a valid ticket, then the one
    with the fewest free cores (best fit).
    """
    best, best_key = None, None
    for worker in candidates:
        if not fits(stage.spec.need, worker.free) or _at_limit(stage, worker):
            continue
        if worker.trial_task is not None:
            continue
        vm = worker.entry.vm
        no_ticket = needs_advice(stage) and stage.advice.valid_ticket(vm, now) is None
        key = (_is_remote(stage, worker), no_ticket, worker.free.cpu)
        if best_key is None or key < best_key:
            best, best_key = worker, key
    return best


def _at_limit(stage: Stage, worker: Worker) -> bool:
    """Returns whether a worker runs as many tasks of a step as the step allows."""
    limit = stage.spec.max_per_worker
    if not limit:
        return False
    present = sum(1 for run in worker.run_by_key.values() if run.stage == stage.key)
    return present >= limit


def is_permitted(stage: Stage, worker: Worker) -> bool:
    """Returns whether a worker may run a step, by its requirements and advice.

    The advice counts even if the worker's ticket has expired.
    """
    if not meets_requirements(stage, worker):
        return False
    if not needs_advice(stage):
        return True
    return worker.entry.vm in stage.advice.ticket_by_vm


def meets_requirements(stage: Stage, worker: Worker) -> bool:
    """Returns whether a worker has the service and label that a step requires."""
    label = stage.spec.required_label
    return worker.entry.service == stage.job.record.queue.service and (
        not label or label in worker.entry.labels
    )


def _is_remote(stage: Stage, worker: Worker) -> bool:
    """Returns whether a step prefers a rack other than the worker's."""
    near = stage.spec.near_rack
    return bool(near) and near not in worker.entry.labels


def needs_advice(stage: Stage) -> bool:
    """Returns whether starts of a step need tickets of the advice service."""
    return stage.job.record.queue.advice_s > 0
