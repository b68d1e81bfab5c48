"""Selection of the workers for the tasks of a step."""

from collections.abc import Callable

from arbutusladder.cell.interference.tracker import Disturbance
from arbutusladder.cell.performance.groups import speed_groups
from arbutusladder.cell.performance.preference import SpeedPreference
from arbutusladder.cell.stages import Stage
from arbutusladder.cell.workers import GANG_TRIAL_AFTER_S, Worker
from arbutusladder.ids import VmId
from arbutusladder.messages import Resources
from arbutusladder.resources import fits

# Workers named in a call that only renews expired tickets of a non-gang step.
MAX_RENEWAL_WORKERS = 6
# Renewals without a start after which a step no longer waits for tickets near its data.
MAX_RENEWALS_NEAR_DATA = 3
# Rank by speed that precedes those of all classes.
FIRST_RANK = -1000


def select_gang_workers(
    stage: Stage,
    candidates: list[Worker],
    now: float,
    preference: SpeedPreference | None = None,
    disturbance: Disturbance | None = None,
) -> list[Worker] | None:
    """Returns a worker for each member of a gang, or None if it does not fit.

    Workers with a valid ticket come first, then those near the data, then those with
    the most free cores, so that the gang uses few workers. All are of similar speed if
    possible, and none is untried unless the gang needs it.

    Args:
        stage: The gang.
        candidates: Workers that may run it.
        now: Monotonic time in seconds.
        preference: Classes of workers that the gang prefers by their speed.
        disturbance: Tasks beside which it should not run.
    """
    if stage.spec.one_rack:
        return _select_in_one_rack(stage, candidates, now, preference, disturbance)
    return select_gang_workers_anywhere(stage, candidates, now, preference, disturbance)


def fits_one_idle_rack(stage: Stage, workers: list[Worker]) -> bool:
    """Returns whether a gang would fit on a rack that ran nothing else."""
    return any(
        fits_idle_workers(stage, in_rack) for in_rack in _by_rack(workers).values()
    )


def _by_rack(workers: list[Worker]) -> dict[str, list[Worker]]:
    by_rack: dict[str, list[Worker]] = {}
    for worker in workers:
        by_rack.setdefault(worker.entry.rack, []).append(worker)
    return by_rack


def _select_in_one_rack(
    stage: Stage,
    candidates: list[Worker],
    now: float,
    preference: SpeedPreference | None,
    disturbance: Disturbance | None,
) -> list[Worker] | None:
    for workers in sorted(_by_rack(candidates).values(), key=len):
        chosen = select_gang_workers_anywhere(
            stage, workers, now, preference, disturbance
        )
        if chosen:
            return chosen
    return None


def select_gang_workers_anywhere(
    stage: Stage,
    candidates: list[Worker],
    now: float,
    preference: SpeedPreference | None = None,
    disturbance: Disturbance | None = None,
) -> list[Worker] | None:
    """Returns workers of any rack for the members of a gang, or None.

    Args:
        stage: The gang.
        candidates: Workers that may run it.
        now: Monotonic time in seconds.
        preference: Classes of workers that the gang prefers by their speed.
        disturbance: Tasks beside which it should not run.
    """
    chosen = _select_from_group(stage, candidates, now, preference, disturbance)
    if chosen is None:
        return None
    tried = [worker for worker in candidates if not worker.speed.newcomer]
    groups = speed_groups(tried, preference)
    if len(tried) < len(candidates):
        groups += speed_groups(candidates, preference)
    for group in groups[:-1]:
        better = _select_from_group(stage, group, now, preference, disturbance)
        if better:
            return better
    return chosen


def _select_from_group(
    stage: Stage,
    candidates: list[Worker],
    now: float,
    preference: SpeedPreference | None,
    disturbance: Disturbance | None,
) -> list[Worker] | None:
    rank_by_class = preference.rank_by_class if preference else {}
    ranked = sorted(
        candidates,
        key=lambda worker: (
            stage.advice.valid_ticket(worker.entry.vm, now) is None,
            _is_remote(stage, worker),
            rank_by_class.get(worker.speed.speed_class, 0),
            disturbance.level(worker) if disturbance else 0,
            -worker.free.cpu,
        ),
    )
    chosen = _fill_workers(stage, ranked, lambda worker: worker.on_trial)
    if chosen is None:
        # The gang as a whole is the trial of workers that nothing else has tried.
        chosen = _fill_workers(
            stage,
            sorted(ranked, key=lambda worker: worker.on_trial),
            lambda worker: (
                worker.on_trial and now - worker.failed_at < GANG_TRIAL_AFTER_S
            ),
        )
    return chosen


def _fill_workers(
    stage: Stage, ranked: list[Worker], takes_one: Callable[[Worker], bool]
) -> list[Worker] | None:
    """Returns a worker for each member of a gang, or None if it does not fit.

    Args:
        stage: The gang.
        ranked: Workers in the order in which they are filled.
        takes_one: Whether a worker takes one member at most.
    """
    task_count = len(stage.tasks)
    chosen: list[Worker] = []
    for worker in ranked:
        fitting = count_fitting_tasks(stage, worker.free)
        if takes_one(worker):
            fitting = min(fitting, 1)
        chosen += [worker] * min(fitting, task_count - len(chosen))
        if len(chosen) == task_count:
            return chosen
    return None


def fits_idle_workers(stage: Stage, workers: list[Worker]) -> bool:
    """Returns whether a gang would fit on workers once all tasks that end had ended."""
    fitting = sum(count_fitting_tasks(stage, worker.lasting_free) for worker in workers)
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


def select_worker(
    stage: Stage,
    candidates: list[Worker],
    now: float,
    preference: SpeedPreference | None = None,
    disturbance: Disturbance | None = None,
) -> Worker | None:
    """Returns the best worker for one task, or None if it fits on none.

    Workers near the data come first, then those with a valid ticket, then those that
    suit the step by their speed, then those whose tasks do not disturb it, then the one
    with the fewest free cores (best fit). Tickets come first once the step has renewed
    them several times without a start, because others had used the room meanwhile.

    Args:
        stage: The step.
        candidates: Workers that may run it.
        now: Monotonic time in seconds.
        preference: Classes of workers that the step prefers by their speed.
        disturbance: Tasks beside which its tasks should not run.
    """
    rank_by_class = preference.rank_by_class if preference else {}
    tries_newcomers = preference is None or preference.allows_newcomers
    uses_tickets = needs_advice(stage)
    is_simple = disturbance is None and not stage.spec.near_rack
    tickets_first = stage.advice.renewals >= MAX_RENEWALS_NEAR_DATA

    def key(worker: Worker) -> tuple:
        no_ticket = (
            uses_tickets and stage.advice.valid_ticket(worker.entry.vm, now) is None
        )
        speed = worker.speed
        rank = rank_by_class[speed.speed_class] if rank_by_class else 0
        if speed.newcomer and tries_newcomers and not worker.run_by_key:
            rank = FIRST_RANK
        if is_simple:
            return no_ticket, rank, worker.free.cpu
        remote = _is_remote(stage, worker)
        level = disturbance.level(worker) if disturbance else 0
        if tickets_first:
            return no_ticket, remote, rank, level, worker.free.cpu
        return remote, no_ticket, rank, level, worker.free.cpu

    usable = (worker for worker in candidates if _can_take_task(stage, worker))
    return min(usable, key=key, default=None)


def select_renewal_workers(
    stage: Stage,
    chosen: Worker,
    candidates: list[Worker],
    preference: SpeedPreference | None = None,
) -> tuple[VmId, ...]:
    """Returns the workers for which to renew the tickets of a step.

    They include the worker that was chosen for the next task, and only workers that can
    be chosen for another one.

    Args:
        stage: The step.
        chosen: The chosen worker, which has no valid ticket.
        candidates: Workers that may run the step.
        preference: Classes of workers that the step prefers by their speed.
    """
    rank_by_class = preference.rank_by_class if preference else {}
    others = [
        worker
        for worker in candidates
        if worker is not chosen and _can_take_task(stage, worker)
    ]
    others.sort(
        key=lambda worker: (
            _is_remote(stage, worker),
            rank_by_class.get(worker.speed.speed_class, 0),
            -worker.free.cpu,
        )
    )
    named = [chosen, *others[: MAX_RENEWAL_WORKERS - 1]]
    return tuple(worker.entry.vm for worker in named)


def _can_take_task(stage: Stage, worker: Worker) -> bool:
    """Returns whether a candidate can take one more task of a step now."""
    return (
        fits(stage.spec.need, worker.free)
        and not (stage.spec.max_per_worker and _at_limit(stage, worker))
        and worker.trial_task is None
    )


def _at_limit(stage: Stage, worker: Worker) -> bool:
    """Returns whether a worker runs as many tasks of a step as the step allows."""
    limit = stage.spec.max_per_worker
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
