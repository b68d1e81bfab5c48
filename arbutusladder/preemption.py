"""Preemption of running tasks and shadow reservations.

Preemption frees capacity for waiting tasks of higher classes. Shadow reservations hold
workers for a gang or a long-waiting job until all of its tasks can start.
"""

import heapq
import math
from collections import Counter, defaultdict, deque
from dataclasses import dataclass
from itertools import islice

from sortedcontainers import SortedList

from arbutusladder.decisions import Checkpoint, Decision, Job, Stop, Task, Throttle
from arbutusladder.declarations import Preset
from arbutusladder.fleet import Fleet, Pool, Worker, slots_in
from arbutusladder.ids import TaskId, VmId
from arbutusladder.messages import Resources
from arbutusladder.quotas import ClassShares
from arbutusladder.resources import add, fits, subtract
from arbutusladder.states import Reason, TaskState, Urgency

# Rank of each class; 0 is the most urgent.
RANK_BY_URGENCY = {urgency: rank for rank, urgency in enumerate(Urgency)}
# Fraction of its cores that a throttled task keeps, and the minimum in cores.
THROTTLED_FRACTION = 0.25
MIN_THROTTLED_CPU = 0.1
# Workers per class that are considered for one preemption.
MAX_CANDIDATES = 8
# Window in which the preemption budget of the preset applies.
BUDGET_WINDOW_S = 60.0
# Reserved workers that are considered for the backfill of one task.
MAX_BACKFILL_WORKERS = 32
# Time after which a task that was asked to checkpoint or stop but has not ended is
# stopped. The stop is repeated at the same interval.
END_TIMEOUT_S = 5.0


@dataclass(slots=True)
class PreemptionPlan:
    """Capacity that preempted tasks free on one worker once they have ended.

    Attributes:
        key: Shape queue that the capacity is for.
        slots: Number of tasks of the queue that will fit.
        victims: Preempted tasks that have not ended yet.
    """

    key: tuple
    slots: int
    victims: set[TaskId]


class VictimIndex:
    """Index of workers by the resources that classes below urgent hold on them.

    Amounts are accelerators in the accelerator pool and cores elsewhere.
    """

    def __init__(self, fleet: Fleet):
        self._fleet = fleet
        self._vms_by_usage = defaultdict(SortedList)
        self._held_by_vm: dict[tuple[Urgency, bool], dict[VmId, float]] = {}

    def adjust(self, task: Task, sign: int) -> None:
        """Adds (sign 1) or removes (sign -1) the resources of a task."""
        urgency = task.job.spec.urgency
        if urgency is Urgency.URGENT:
            return
        key = (urgency, task.pool.accelerated)
        amounts = self._held_by_vm.setdefault(key, {})
        before = amounts.get(task.vm)
        if before is not None:
            self._vms_by_usage[key].discard((before, task.vm))
        amount = task.resources.accelerators if key[1] else task.resources.cpu
        after = (before or 0.0) + sign * amount
        if after <= 1e-9:
            amounts.pop(task.vm, None)
            return
        amounts[task.vm] = after
        self._vms_by_usage[key].add((after, task.vm))

    def workers(self, urgency: Urgency, pool: Pool) -> list[Worker]:
        """Returns the workers with the largest usage of a class."""
        index = self._vms_by_usage[(urgency, pool.accelerated)]
        most = islice(reversed(index), MAX_CANDIDATES)
        workers = (self._fleet.workers_by_vm.get(vm) for _, vm in most)
        return [worker for worker in workers if worker]


class Preemption:
    """Frees capacity by throttle, checkpoint or stop, in the order of the preset.

    Victims of lower classes come first. A task that is not idempotent, or belongs to
    a gang, is only throttled: ending it would lose more than it frees.
    """

    def __init__(self, fleet: Fleet, tasks_by_vm, preset: Preset):
        self.preset = preset
        self.victims = VictimIndex(fleet)
        self.throttled: dict[TaskId, Task] = {}
        self._tasks_by_vm = tasks_by_vm
        # Times of the preemptions in the budget window.
        self._preempted_at: deque[float] = deque()
        self._plans_by_vm: dict[VmId, PreemptionPlan] = {}
        self._expected_slots_by_key: Counter = Counter()
        # Heap of (time of the next stop, task ID, task).
        self._stop_deadlines: list[tuple[float, TaskId, Task]] = []

    def budget_left(self, now: float) -> int:
        """Returns how many tasks may still be preempted in the budget window."""
        while self._preempted_at and self._preempted_at[0] <= now - BUDGET_WINDOW_S:
            self._preempted_at.popleft()
        return self.preset.preemption_budget - len(self._preempted_at)

    def expected_slots(self, key: tuple) -> int:
        """Returns for how many tasks of a shape queue capacity is being freed."""
        return self._expected_slots_by_key[key]

    def find_victims(
        self, need: Resources, urgency: Urgency, pool: Pool, classes: ClassShares, now
    ) -> tuple[str, Worker, list[Task]] | None:
        """Returns an action, a worker and the tasks to preempt, or None."""
        budget = self.budget_left(now)
        lower = self._lower_classes(urgency)
        if budget <= 0 or not lower:
            return None
        candidates = self._candidates(lower, pool)
        for action in self.preset.preemption:
            best = None
            for worker in candidates:
                tasks = self._select_victims(action, worker, need, lower, pool, classes)
                if tasks and len(tasks) <= budget:
                    rank = (_worst_class(tasks), len(tasks))
                    if best is None or rank < best[0]:
                        best = (rank, worker, tasks)
            if best:
                return (action, best[1], best[2])
        return None

    def end_tasks(
        self, action: str, worker: Worker, tasks: list[Task], key, need, now: float
    ) -> list[Decision]:
        """Returns decisions that end tasks, and records the capacity they will free."""
        free = worker.free
        for task in tasks:
            free = add(free, task.resources)
        plan = PreemptionPlan(
            key, max(1, slots_in(need, free)), {t.task_id for t in tasks}
        )
        self._plans_by_vm[worker.vm] = plan
        self._expected_slots_by_key[key] += plan.slots
        self._preempted_at.extend([now] * len(tasks))
        return [self.end_task(task, action, Reason.PREEMPTED, now) for task in tasks]

    def end_task(self, task: Task, action: str, reason: Reason, now) -> Decision:
        """Returns a checkpoint or stop; schedules a stop in case it has no effect."""
        task.ending = reason
        self._schedule_stop(task, now)
        decision_class = Checkpoint if action == "checkpoint" else Stop
        return decision_class(task.task_id, task.vm, reason)

    def throttled_size(self, task: Task) -> Resources:
        """Returns the resources of a task while it is throttled."""
        reserved = task.resources
        cpu = min(
            reserved.cpu, max(MIN_THROTTLED_CPU, reserved.cpu * THROTTLED_FRACTION)
        )
        return Resources(cpu, reserved.memory_mb, reserved.accelerators)

    def throttle(self, task: Task, cpu: float, reason: Reason, now) -> Decision:
        """Records and returns a throttle; the caller changes the reservation."""
        task.throttled_cpu = cpu
        if reason is Reason.PREEMPTED:
            self._preempted_at.append(now)
            self.throttled[task.task_id] = task
        return Throttle(task.task_id, task.vm, cpu, reason)

    def stop_overdue(self, now: float) -> list[Decision]:
        """Returns a stop for each task that did not end in time."""
        stops: list[Decision] = []
        while self._stop_deadlines and self._stop_deadlines[0][0] <= now:
            _, task_id, task = heapq.heappop(self._stop_deadlines)
            if task.job.tasks.get(task.index) is not task:
                continue
            stops.append(Stop(task_id, task.vm, task.ending or Reason.PREEMPTED))
            self._schedule_stop(task, now)
        return stops

    def task_released(self, task: Task) -> None:
        """Updates the preemption plan of a worker after one of its tasks ended."""
        self.throttled.pop(task.task_id, None)
        plan = self._plans_by_vm.get(task.vm)
        if plan is None or task.task_id not in plan.victims:
            return
        plan.victims.discard(task.task_id)
        if not plan.victims:
            del self._plans_by_vm[task.vm]
            self._expected_slots_by_key[plan.key] -= plan.slots
            if self._expected_slots_by_key[plan.key] <= 0:
                del self._expected_slots_by_key[plan.key]

    def _schedule_stop(self, task: Task, now: float) -> None:
        entry = (now + END_TIMEOUT_S, task.task_id, task)
        heapq.heappush(self._stop_deadlines, entry)

    def _lower_classes(self, urgency: Urgency) -> list[Urgency]:
        """Returns the preemptible classes below a class, least urgent first."""
        rank = RANK_BY_URGENCY[urgency]
        lower = [u for u in Urgency if RANK_BY_URGENCY[u] > rank]
        return [u for u in reversed(lower) if getattr(self.preset, u.value).preemptible]

    def _candidates(self, lower: list[Urgency], pool: Pool) -> list[Worker]:
        """Returns open workers with tasks of lower classes and no pending plan."""
        found: dict[VmId, Worker] = {}
        for urgency in lower:
            for worker in self.victims.workers(urgency, pool):
                if worker.open and worker.vm not in self._plans_by_vm:
                    found[worker.vm] = worker
        return list(found.values())

    def _select_victims(
        self, action, worker: Worker, need, lower, pool: Pool, classes
    ) -> list[Task]:
        """Returns the tasks to preempt on one worker, or [] if that is not enough."""
        free = worker.free
        freed_by_class: dict[Urgency, Resources] = {}
        selected: list[Task] = []
        for task in self._victim_order(worker, lower):
            gained = self._freed_resources(action, task)
            if gained is None:
                continue
            urgency = task.job.spec.urgency
            freed = add(freed_by_class.get(urgency) or Resources(), gained)
            if not classes.keeps_reserve(urgency, pool, freed):
                continue
            freed_by_class[urgency] = freed
            selected.append(task)
            free = add(free, gained)
            if fits(need, free):
                return selected
        return []

    def _victim_order(self, worker: Worker, lower: list[Urgency]) -> list[Task]:
        """Returns tasks of lower classes, lowest class first, then newest first."""
        tasks = self._tasks_by_vm.get(worker.vm, {}).values()
        found = [task for task in tasks if task.job.spec.urgency in lower]
        found.sort(key=lambda t: (-RANK_BY_URGENCY[t.job.spec.urgency], -t.started_at))
        return found

    def _freed_resources(self, action: str, task: Task) -> Resources | None:
        """Returns what an action against a task frees, or None if not permitted."""
        if task.state is not TaskState.RUNNING or task.ending is not None:
            return None
        if action == "throttle":
            if task.throttled_cpu or not task.resources.cpu:
                return None
            return subtract(task.resources, self.throttled_size(task))
        if task.job.spec.gang or not task.job.spec.idempotent:
            return None
        return task.resources


def _worst_class(tasks: list[Task]) -> int:
    """Returns the negated rank of the most urgent task; lower is better."""
    return max(-RANK_BY_URGENCY[task.job.spec.urgency] for task in tasks)


@dataclass(slots=True, eq=False)
class ShadowReservation:
    """Workers held for a job until all of its tasks can start.

    Times are monotonic seconds.

    Attributes:
        need: Resources of one task.
        count: Number of tasks that must start together.
        start_at: Expected start time.
        backfill_until: Time by which backfilled tasks must end. It is never
            postponed, so backfill cannot starve the job.
        aged: Whether the job was the one that has waited longest. Only tasks that
            end by ``backfill_until`` may then backfill, whatever their class.
    """

    job: Job
    need: Resources
    count: int
    vms: list[VmId]
    start_at: float
    backfill_until: float
    aged: bool


class Reservations:
    """Shadow reservations of one shard.

    The policy requests at most two: one for the most urgent gang without capacity,
    one for the job that has waited longest. They hold different workers, which only
    drain, so two gangs cannot deadlock.

    Args:
        fleet: Workers of the shard.
        tasks_by_vm: Tasks that hold capacity.
        expected_end: Function of a task and ``now`` that returns the expected end
            time of the task in seconds; infinite for a service.
    """

    def __init__(self, fleet: Fleet, tasks_by_vm, expected_end):
        self.by_job: dict[int, ShadowReservation] = {}
        self._fleet = fleet
        self._tasks_by_vm = tasks_by_vm
        self._expected_end = expected_end

    def for_job(self, job: Job) -> ShadowReservation | None:
        """Returns the reservation of a job, or None."""
        return self.by_job.get(job.sequence)

    def workers(self, job: Job) -> list[Worker]:
        """Returns the workers held for a job."""
        found = self.by_job.get(job.sequence)
        if found is None:
            return []
        workers = (self._fleet.workers_by_vm.get(vm) for vm in found.vms)
        return [worker for worker in workers if worker]

    def cancel(self, job: Job) -> None:
        """Cancels the reservation of a job, if any."""
        reservation = self.by_job.pop(job.sequence, None)
        for vm in reservation.vms if reservation else ():
            self._fleet.set_held(vm, False)

    def backfill(
        self, need: Resources, job: Job, run_time_s: float, now: float
    ) -> Worker | None:
        """Returns a held worker on which a job may start, or None.

        The job must end by ``backfill_until``, or be more urgent than the holder of
        a reservation that is not aged.
        """
        for reservation in self.by_job.values():
            more_urgent = (
                RANK_BY_URGENCY[job.level] < RANK_BY_URGENCY[reservation.job.level]
            )
            if now + run_time_s <= reservation.backfill_until or (
                more_urgent and not reservation.aged
            ):
                workers = self.workers(reservation.job)[:MAX_BACKFILL_WORKERS]
                if worker := self._fleet.best_fit(need, workers):
                    return worker
        return None

    def assign(self, requests: list[tuple[Job, Resources, int, bool]], now) -> None:
        """Updates the reservations to match the requested ones.

        Args:
            requests: For each job: the job, the resources of one task, the number of
                tasks, and whether it is the job that has waited longest.
        """
        requested = {job.sequence for job, _, _, _ in requests}
        for sequence, reservation in list(self.by_job.items()):
            if sequence not in requested or self._lost_worker(reservation):
                self.cancel(reservation.job)
        for job, need, count, aged in requests:
            reservation = self.by_job.get(job.sequence)
            if reservation is None:
                reservation = self._reserve(job, need, count, now)
            if reservation:
                reservation.aged = reservation.aged or aged

    def _lost_worker(self, reservation: ShadowReservation) -> bool:
        workers = self.workers(reservation.job)
        return len(workers) < len(reservation.vms) or not all(w.usable for w in workers)

    def _reserve(self, job: Job, need, count: int, now) -> ShadowReservation | None:
        earliest = self._earliest_start(need, count, now)
        if earliest is None:
            return None
        start_at, vms = earliest
        reservation = ShadowReservation(
            job, need, count, vms, start_at, start_at, False
        )
        self.by_job[job.sequence] = reservation
        for vm in vms:
            self._fleet.set_held(vm, True)
        return reservation

    def _earliest_start(
        self, need: Resources, count: int, now: float
    ) -> tuple[float, list[VmId]] | None:
        """Returns the earliest time at which all tasks can start, and the workers."""
        pool = self._fleet.pool_for(need)
        # A few more workers than tasks usually suffice; otherwise all are searched.
        for bound in (2 * count + MAX_CANDIDATES, None):
            workers = list(pool.by_most_free(need, bound))
            found = self._earliest_start_on(workers, need, count, now)
            if found:
                return found
        return None

    def _earliest_start_on(self, workers: list[Worker], need, count: int, now: float):
        events = []
        for worker in workers:
            events.extend(self._slot_gains(worker, need, now))
        events.sort()
        slots: Counter[VmId] = Counter()
        total_slots = 0
        for at, vm, gained in events:
            slots[vm] += gained
            total_slots += gained
            if total_slots >= count:
                return (at, _fewest_workers(slots, count))
        return None

    def _slot_gains(self, worker: Worker, need: Resources, now: float):
        """Yields (time, VM, additional slots) as the tasks of a worker end."""
        free = worker.free
        slots = slots_in(need, free)
        if slots:
            yield (now, worker.vm, slots)
        tasks = self._tasks_by_vm.get(worker.vm, {}).values()
        expected_ends = [
            (self._expected_end(task, now), task.task_id, task) for task in tasks
        ]
        for at, _, task in sorted(expected_ends):
            if at == math.inf:
                return
            free = add(free, task.resources)
            gain = slots_in(need, free) - slots
            if gain:
                slots += gain
                yield (at, worker.vm, gain)


def _fewest_workers(slots: Counter, count: int) -> list[VmId]:
    """Returns the fewest workers that together have enough slots."""
    vms, total_slots = [], 0
    for vm, count_on_vm in slots.most_common():
        vms.append(vm)
        total_slots += count_on_vm
        if total_slots >= count:
            break
    return vms
