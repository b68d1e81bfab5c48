"""Workers by id with what is free on them, and indexes to find room."""

import math
import sys
from collections import Counter, OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import chain, islice

from sortedcontainers import SortedList

from arbutusladder.ids import TaskId, VmId
from arbutusladder.messages import Resources
from arbutusladder.resources import EPSILON, add, fits, scale, subtract

# Workers compared for one placement. Best fit gains little beyond this number.
MAX_CANDIDATES = 8
# Workers compared from each end of the index for work that spreads over racks.
SPREAD_CANDIDATES = 12
# Ratios that make resources comparable. Any ratio gives correct placements; these
# are the usual ones of workers and make good candidates likely.
MEMORY_MB_PER_CORE = 2048.0
CORES_PER_ACCELERATOR = 16.0
# Failed searches that are remembered. Beyond it the oldest are forgotten.
MAX_REMEMBERED_FAILURES = 4096

Shape = tuple[float, float, int]


def shape_of(amount: Resources) -> Shape:
    """Returns an amount as a key for dictionaries."""
    return (amount.cpu, amount.memory_mb, amount.accelerators)


@dataclass(slots=True, eq=False)
class Worker:
    """One worker and what is reserved on it.

    Attributes:
        capacity: What the VM has.
        free: Capacity less every reservation; negative after the capacity
            shrank or usage rose above it.
        available: Whether the caller allows new starts.
        quarantined: Whether it failed too many starts.
        held: Whether it is held for a job that waits for several workers.
        removed: Whether it left the VM list while tasks may still run on it.
    """

    vm: VmId
    capacity: Resources
    rack: str
    free: Resources
    available: bool = True
    quarantined: bool = False
    held: bool = False
    removed: bool = False
    reserved_by_task: dict[TaskId, Resources] = field(default_factory=dict)

    @property
    def usable(self) -> bool:
        """Whether its capacity counts for shares and ceilings."""
        return self.available and not self.quarantined

    @property
    def open(self) -> bool:
        """Whether any waiting work may start on it."""
        return self.available and not self.quarantined and not self.held


class Pool:
    """Workers of one kind, the open ones sorted by what is free.

    ``total`` sums over usable workers and ``free`` over open ones, so what is
    held for one job is not free for others.
    """

    def __init__(self, accelerated: bool):
        self.accelerated = accelerated
        self.total = Resources()
        self.free = Resources()
        self.workers_by_vm: dict[VmId, Worker] = {}
        self._by_cpu = SortedList()
        self._by_memory = SortedList()
        self._by_accelerators = SortedList()
        self._by_slack = SortedList()
        self._free_by_vm: dict[VmId, tuple] = {}

    def insert(self, worker: Worker) -> None:
        """Adds an open worker to the indexes."""
        vm = worker.vm
        cpu, memory, accelerators = shape_of(worker.free)
        self.workers_by_vm[vm] = worker
        slack = min(self._in_cores(worker.free))
        self._free_by_vm[vm] = (cpu, memory, accelerators, slack)
        self._by_slack.add((slack, vm))
        self._by_cpu.add((cpu, vm))
        self._by_memory.add((memory, vm))
        if worker.capacity.accelerators:
            self._by_accelerators.add((accelerators, vm))

    def discard(self, vm: VmId) -> None:
        """Removes a worker from the indexes."""
        found = self._free_by_vm.pop(vm, None)
        if found is None:
            return
        self._by_cpu.remove((found[0], vm))
        self._by_memory.remove((found[1], vm))
        self._by_accelerators.discard((found[2], vm))
        self._by_slack.remove((found[3], vm))
        del self.workers_by_vm[vm]

    def index_for(self, need: Resources):
        """Returns the index of the resource that is scarcest for a need."""
        total = self.total
        if need.accelerators:
            return self._by_accelerators, need.accelerators
        cpu = need.cpu / total.cpu if total.cpu > 0 else 0.0
        memory = need.memory_mb / total.memory_mb if total.memory_mb > 0 else 0.0
        if memory > cpu:
            return self._by_memory, need.memory_mb - EPSILON
        return self._by_cpu, need.cpu - EPSILON

    def tightest(self, need: Resources, count: int | None):
        """Yields workers from the least sufficient amount upwards."""
        index, least = self.index_for(need)
        for _, vm in islice(index.irange((least, "")), count):
            yield self.workers_by_vm[vm]

    def ample(self, need: Resources, count: int):
        """Yields workers on which even the scarcest resource is enough."""
        least = max(self._in_cores(need)) - EPSILON
        for _, vm in islice(self._by_slack.irange((least, "")), count):
            yield self.workers_by_vm[vm]

    def _in_cores(self, amount: Resources) -> tuple[float, ...]:
        cores = (amount.cpu, amount.memory_mb / MEMORY_MB_PER_CORE)
        if self.accelerated:
            return (*cores, amount.accelerators * CORES_PER_ACCELERATOR)
        return cores

    def roomiest(self, need: Resources, count: int | None):
        """Yields workers from the largest free amount downwards."""
        index, _ = self.index_for(need)
        for _, vm in islice(reversed(index), count):
            yield self.workers_by_vm[vm]


class Fleet:
    """The workers of one shard, in one pool with and one without accelerators.

    A reservation is made when a
    start is decided, so no worker is given more than it has.
    """

    def __init__(self):
        self.workers_by_vm: dict[VmId, Worker] = {}
        self.worker_count_by_shape: Counter[Shape] = Counter()
        self.version = 0
        self._pool = Pool(accelerated=False)
        self._accelerator_pool = Pool(accelerated=True)
        # Version at which a worker last gained room, oldest first.
        self._grown: OrderedDict[VmId, int] = OrderedDict()
        # Version at which no open worker had room for a shape.
        self._failed: OrderedDict[Shape, int] = OrderedDict()
        self._plain_capacities: Counter[Shape] = Counter()

    @property
    def free(self) -> Resources:
        """What is free on all open workers."""
        return add(self._pool.free, self._accelerator_pool.free)

    @property
    def total(self) -> Resources:
        """Capacity of all usable workers."""
        return add(self._pool.total, self._accelerator_pool.total)

    # Workers

    def add_or_update(
        self, vm: VmId, capacity: Resources, rack: str, available: bool
    ) -> Worker:
        """Adds a worker, or replaces its capacity and availability."""
        worker = self.workers_by_vm.get(vm)
        if worker is None:
            worker = Worker(vm, capacity, rack, capacity, available=False)
            self.workers_by_vm[vm] = worker
        else:
            self._forget(worker)
        used = subtract(worker.capacity, worker.free)
        worker.capacity = capacity
        worker.free = subtract(capacity, used)
        worker.rack = rack
        worker.available = available
        worker.removed = False
        self._remember(worker)
        return worker

    def remove(self, vm: VmId) -> None:
        """Removes a worker; one with reservations stays until they end."""
        worker = self.workers_by_vm.get(vm)
        if worker is None:
            return
        self._forget(worker)
        worker.available = False
        worker.removed = True
        if worker.reserved_by_task:
            self._remember(worker)
        else:
            del self.workers_by_vm[vm]

    def set_quarantined(self, vm: VmId, quarantined: bool) -> None:
        """Takes a worker out of use, or lets it back."""
        self._change(vm, "quarantined", quarantined)

    def set_held(self, vm: VmId, held: bool) -> None:
        """Holds a worker for one job, or opens it to all."""
        self._change(vm, "held", held)

    def _change(self, vm: VmId, attribute: str, value: bool) -> None:
        worker = self.workers_by_vm.get(vm)
        if worker is None or getattr(worker, attribute) == value:
            return
        self._forget(worker)
        setattr(worker, attribute, value)
        self._remember(worker)

    def _remember(self, worker: Worker) -> None:
        self._count_capacity(worker, 1)
        pool = self.pool_of(worker)
        if worker.usable:
            pool.total = add(pool.total, worker.capacity)
        if worker.open:
            pool.free = add(pool.free, worker.free)
        self._index(worker)
        self._note_growth(worker)

    def _forget(self, worker: Worker) -> None:
        self._count_capacity(worker, -1)
        pool = self.pool_of(worker)
        if worker.usable:
            pool.total = subtract(pool.total, worker.capacity)
        if worker.open:
            pool.free = subtract(pool.free, worker.free)
        pool.discard(worker.vm)

    def _count_capacity(self, worker: Worker, count: int) -> None:
        shape = shape_of(worker.capacity)
        if worker.removed or not any(shape):
            # A worker that is known only from its tasks has no capacity yet.
            return
        counters = [self.worker_count_by_shape]
        if not worker.capacity.accelerators:
            counters.append(self._plain_capacities)
        for counter in counters:
            counter[shape] += count
            if not counter[shape]:
                del counter[shape]

    def pool_of(self, worker: Worker) -> Pool:
        """Returns the pool that a worker belongs to."""
        if worker.capacity.accelerators:
            return self._accelerator_pool
        return self._pool

    def _index(self, worker: Worker) -> None:
        if worker.open:
            self.pool_of(worker).insert(worker)

    def touch(self) -> None:
        """Makes searches that failed run again, after limits changed."""
        self.version += 1

    def _note_growth(self, worker: Worker) -> None:
        self.version += 1
        self._grown[worker.vm] = self.version
        self._grown.move_to_end(worker.vm)

    # Reservations

    def reserve(self, vm: VmId, task_id: TaskId, amount: Resources) -> None:
        """Reserves an amount on a worker for a task."""
        worker = self.workers_by_vm[vm]
        held = worker.reserved_by_task.get(task_id)
        change = subtract(amount, held) if held else amount
        worker.reserved_by_task[task_id] = amount
        self._take(worker, change)

    def release(self, vm: VmId, task_id: TaskId) -> None:
        """Ends the reservation of a task."""
        worker = self.workers_by_vm.get(vm)
        if worker is None:
            return
        amount = worker.reserved_by_task.pop(task_id, None)
        if amount is None:
            return
        self._take(worker, subtract(Resources(), amount))
        if worker.removed and not worker.reserved_by_task:
            del self.workers_by_vm[vm]

    def _take(self, worker: Worker, amount: Resources) -> None:
        pool = self.pool_of(worker)
        pool.discard(worker.vm)
        worker.free = subtract(worker.free, amount)
        if not worker.reserved_by_task:
            # Drops the rounding errors of many additions.
            worker.free = worker.capacity
        if worker.open:
            pool.free = subtract(pool.free, amount)
        self._index(worker)
        if amount.cpu < 0 or amount.memory_mb < 0 or amount.accelerators < 0:
            self._note_growth(worker)

    # Searches

    def find(self, need: Resources, tasks_by_rack=None) -> Worker | None:
        """Returns the open worker that fits a need most tightly.

        Args:
            need: Amount to place.
            tasks_by_rack: Tasks of the same job by rack; given for work that
                spreads, which then prefers the rack with the fewest.
        """
        shape = shape_of(need)
        failed_at = self._failed.get(shape)
        if failed_at is not None:
            found = self._best(need, self._grown_since(failed_at), tasks_by_rack)
        else:
            found = self._search(need, tasks_by_rack)
        if found is None:
            self._remember_failure(shape)
        else:
            self._failed.pop(shape, None)
        return found

    def _search(self, need: Resources, tasks_by_rack) -> Worker | None:
        pool = self.pool_for(need)
        count = MAX_CANDIDATES if tasks_by_rack is None else SPREAD_CANDIDATES
        candidates = list(pool.tightest(need, count))
        if tasks_by_rack is not None:
            candidates.extend(pool.roomiest(need, count))
        found = self._best(need, candidates, tasks_by_rack)
        if found is None:
            # The index covers one resource; another one may be used up on each
            # candidate.
            found = self._best(need, pool.ample(need, count), tasks_by_rack)
        if found is None:
            workers = pool.tightest(need, None)
            found = next((w for w in workers if fits(need, w.free)), None)
        return found

    def total_known(self, fraction: float) -> Resources:
        """Returns a fraction of the capacity of all workers, usable or not."""
        known = Resources()
        for shape, count in self.worker_count_by_shape.items():
            known = add(known, scale(Resources(*shape), count))
        if not self.worker_count_by_shape or fraction >= 1.0:
            return Resources(math.inf, math.inf, sys.maxsize)
        return scale(known, fraction)

    def holds(self, need: Resources) -> bool:
        """Returns whether an empty worker has room for a need."""
        return any(
            fits(need, Resources(*shape)) for shape in self.worker_count_by_shape
        )

    def pool_for(self, need: Resources) -> Pool:
        """Returns the workers that may run a need.

        Accelerator workers are for accelerator work, unless no other worker
        known is large enough.
        """
        if need.accelerators:
            return self._accelerator_pool
        for shape in self._plain_capacities:
            if fits(need, Resources(*shape)):
                return self._pool
        return self._accelerator_pool

    def _grown_since(self, version: int) -> list[Worker]:
        grown = []
        for vm in reversed(self._grown):
            if self._grown[vm] <= version:
                break
            worker = self.workers_by_vm.get(vm)
            if worker is not None and worker.open:
                grown.append(worker)
        return grown

    def best_of(self, need: Resources, workers: Iterable[Worker]) -> Worker | None:
        """Returns the usable worker of a few that fits a need most tightly."""
        return self._best(need, (w for w in workers if w.usable), None)

    def _best(
        self, need: Resources, candidates: Iterable[Worker], tasks_by_rack
    ) -> Worker | None:
        best, best_rank = None, None
        for worker in candidates:
            if not fits(need, worker.free) or not self.may_run(need, worker):
                continue
            rank = (self._leftover(need, worker), worker.vm)
            if tasks_by_rack is not None:
                rank = (tasks_by_rack.get(worker.rack, 0), *rank)
            if best_rank is None or rank < best_rank:
                best, best_rank = worker, rank
        return best

    def may_run(self, need: Resources, worker: Worker) -> bool:
        """Returns whether a worker belongs to the pool for a need."""
        if need.accelerators or not worker.capacity.accelerators:
            return True
        return self.pool_for(need) is self._accelerator_pool

    def _leftover(self, need: Resources, worker: Worker) -> float:
        """Returns what stays free; cores without memory, or the reverse, count twice.

        Such a remainder fits less work than a balanced one.
        """
        total = self.pool_of(worker).total
        cpu = memory = accelerators = 0.0
        if total.cpu > 0:
            cpu = (worker.free.cpu - need.cpu) / total.cpu
        if total.memory_mb > 0:
            memory = (worker.free.memory_mb - need.memory_mb) / total.memory_mb
        if total.accelerators:
            spare = worker.free.accelerators - need.accelerators
            accelerators = spare / total.accelerators
        return cpu + memory + abs(cpu - memory) + accelerators

    def _remember_failure(self, shape: Shape) -> None:
        self._failed[shape] = self.version
        self._failed.move_to_end(shape)
        if len(self._failed) > MAX_REMEMBERED_FAILURES:
            self._failed.popitem(last=False)

    def gang_places(
        self, need: Resources, count: int, held: Iterable[Worker] = ()
    ) -> list[Worker]:
        """Returns a worker for each of ``count`` tasks, or nothing.

        Args:
            held: Workers held for the gang; they come first. Then come workers
                with little room, so that large gaps stay whole.
        """
        places: list[Worker] = []
        pool = self.pool_for(need)
        for worker in chain(held, pool.tightest(need, None)):
            if not worker.usable:
                continue
            room = min(slots_in(need, worker.free), count - len(places))
            places.extend([worker] * room)
            if len(places) == count:
                return places
        return []

    def slots(self, need: Resources, wanted: int) -> int:
        """Returns how many tasks empty workers hold, counted up to ``wanted``."""
        plain = self.pool_for(need) is self._pool
        worker_count_by_shape = (
            self._plain_capacities if plain else self.worker_count_by_shape
        )
        found = 0
        for shape, count in worker_count_by_shape.items():
            found += count * slots_in(need, Resources(*shape))
            if found >= wanted:
                return wanted
        return found


def slots_in(need: Resources, free: Resources) -> int:
    """Returns how many tasks of one size fit into an amount."""
    counts = []
    if need.cpu > 0:
        counts.append(int((free.cpu + EPSILON) // need.cpu))
    if need.memory_mb > 0:
        counts.append(int((free.memory_mb + EPSILON) // need.memory_mb))
    if need.accelerators > 0:
        counts.append(free.accelerators // need.accelerators)
    return max(0, min(counts)) if counts else 1_000_000
