"""Workers of one shard with their free resources, and indexes for placement."""

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

# Workers compared for one placement. Best fit improves little beyond this number.
MAX_CANDIDATES = 8
# Workers compared from each end of the index for tasks that spread over racks.
SPREAD_CANDIDATES = 12
# Ratios that convert resources to core equivalents. They affect only the quality of
# candidates, not the correctness of placements; these match typical workers.
MEMORY_MB_PER_CORE = 2048.0
CORES_PER_ACCELERATOR = 16.0
# Cached failed searches; beyond this number the oldest are dropped.
MAX_CACHED_FAILURES = 4096

Shape = tuple[float, float, int]


def shape_of(amount: Resources) -> Shape:
    """Returns an amount as a hashable key."""
    return (amount.cpu, amount.memory_mb, amount.accelerators)


@dataclass(slots=True, eq=False)
class Worker:
    """One worker and the reservations on it.

    Attributes:
        capacity: Total resources of the VM.
        free: Capacity minus all reservations; negative after the capacity shrank or
            usage exceeded it.
        available: Whether the caller permits new starts.
        quarantined: Whether it is quarantined after repeated failures.
        held: Whether a shadow reservation holds it for one job.
        removed: Whether it was removed while it still has reservations.
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
        """Whether its capacity counts towards shares and ceilings."""
        return self.available and not self.quarantined

    @property
    def open(self) -> bool:
        """Whether tasks of any job may start on it."""
        return self.available and not self.quarantined and not self.held


class Pool:
    """Workers with or without accelerators; open ones are indexed by free resources.

    ``total`` sums over usable workers and ``free`` over open ones, so workers held
    for one job do not count as free for others.
    """

    def __init__(self, accelerated: bool):
        self.accelerated = accelerated
        self.total = Resources()
        self.free = Resources()
        self.workers_by_vm: dict[VmId, Worker] = {}
        self._by_cpu = SortedList()
        self._by_memory = SortedList()
        self._by_accelerators = SortedList()
        # Slack of a worker: its scarcest free resource in core equivalents.
        self._by_slack = SortedList()
        self._free_by_vm: dict[VmId, tuple] = {}

    def insert(self, worker: Worker) -> None:
        """Adds an open worker to the indexes."""
        vm = worker.vm
        cpu, memory, accelerators = shape_of(worker.free)
        self.workers_by_vm[vm] = worker
        slack = min(self._core_equivalents(worker.free))
        self._free_by_vm[vm] = (cpu, memory, accelerators, slack)
        self._by_slack.add((slack, vm))
        self._by_cpu.add((cpu, vm))
        self._by_memory.add((memory, vm))
        if worker.capacity.accelerators:
            self._by_accelerators.add((accelerators, vm))

    def discard(self, vm: VmId) -> None:
        """Removes a worker from the indexes."""
        indexed = self._free_by_vm.pop(vm, None)
        if indexed is None:
            return
        self._by_cpu.remove((indexed[0], vm))
        self._by_memory.remove((indexed[1], vm))
        self._by_accelerators.discard((indexed[2], vm))
        self._by_slack.remove((indexed[3], vm))
        del self.workers_by_vm[vm]

    def index_for(self, need: Resources):
        """Returns the index of the scarcest resource for a need, and the minimum."""
        total = self.total
        if need.accelerators:
            return self._by_accelerators, need.accelerators
        cpu = need.cpu / total.cpu if total.cpu > 0 else 0.0
        memory = need.memory_mb / total.memory_mb if total.memory_mb > 0 else 0.0
        if memory > cpu:
            return self._by_memory, need.memory_mb - EPSILON
        return self._by_cpu, need.cpu - EPSILON

    def by_least_free(self, need: Resources, count: int | None):
        """Yields workers in ascending order of the indexed free resource.

        Starts at the smallest sufficient amount; ``count`` of None means no limit.
        """
        index, least = self.index_for(need)
        for _, vm in islice(index.irange((least, "")), count):
            yield self.workers_by_vm[vm]

    def with_ample_resources(self, need: Resources, count: int):
        """Yields workers on which every free resource is sufficient."""
        least = max(self._core_equivalents(need)) - EPSILON
        for _, vm in islice(self._by_slack.irange((least, "")), count):
            yield self.workers_by_vm[vm]

    def _core_equivalents(self, amount: Resources) -> tuple[float, ...]:
        cores = (amount.cpu, amount.memory_mb / MEMORY_MB_PER_CORE)
        if self.accelerated:
            return (*cores, amount.accelerators * CORES_PER_ACCELERATOR)
        return cores

    def by_most_free(self, need: Resources, count: int | None):
        """Yields workers in descending order of the indexed free resource."""
        index, _ = self.index_for(need)
        for _, vm in islice(reversed(index), count):
            yield self.workers_by_vm[vm]


class Fleet:
    """The workers of one shard, in a pool with and a pool without accelerators.

    Capacity is reserved when a start is decided, so workers are not overcommitted.
    """

    def __init__(self):
        self.workers_by_vm: dict[VmId, Worker] = {}
        # Number of workers by capacity, including unusable ones.
        self.worker_count_by_shape: Counter[Shape] = Counter()
        # Increased whenever a placement that failed before may succeed.
        self.version = 0
        self._pool = Pool(accelerated=False)
        self._accelerator_pool = Pool(accelerated=True)
        # Fleet version at which a worker last gained free resources, oldest first.
        self._gained_at_by_vm: OrderedDict[VmId, int] = OrderedDict()
        # Fleet version at which no open worker fitted a shape.
        self._failed_at_by_shape: OrderedDict[Shape, int] = OrderedDict()
        # Worker counts by capacity, only of workers without accelerators.
        self._plain_worker_count_by_shape: Counter[Shape] = Counter()

    @property
    def free(self) -> Resources:
        """Free resources of all open workers."""
        return add(self._pool.free, self._accelerator_pool.free)

    @property
    def total(self) -> Resources:
        """Total capacity of all usable workers."""
        return add(self._pool.total, self._accelerator_pool.total)

    # Workers

    def add_or_update(
        self, vm: VmId, capacity: Resources, rack: str, available: bool
    ) -> Worker:
        """Adds a worker, or updates its capacity, rack and availability."""
        worker = self.workers_by_vm.get(vm)
        if worker is None:
            worker = Worker(vm, capacity, rack, capacity, available=False)
            self.workers_by_vm[vm] = worker
        else:
            self._remove_from_pool(worker)
        reserved = subtract(worker.capacity, worker.free)
        worker.capacity = capacity
        worker.free = subtract(capacity, reserved)
        worker.rack = rack
        worker.available = available
        worker.removed = False
        self._add_to_pool(worker)
        return worker

    def remove(self, vm: VmId) -> None:
        """Removes a worker; one with reservations is kept until they end."""
        worker = self.workers_by_vm.get(vm)
        if worker is None:
            return
        self._remove_from_pool(worker)
        worker.available = False
        worker.removed = True
        if worker.reserved_by_task:
            self._add_to_pool(worker)
        else:
            del self.workers_by_vm[vm]

    def set_quarantined(self, vm: VmId, quarantined: bool) -> None:
        """Quarantines a worker, or returns it to service."""
        self._set_flag(vm, "quarantined", quarantined)

    def set_held(self, vm: VmId, held: bool) -> None:
        """Holds a worker for one job, or opens it to all jobs."""
        self._set_flag(vm, "held", held)

    def _set_flag(self, vm: VmId, attribute: str, value: bool) -> None:
        worker = self.workers_by_vm.get(vm)
        if worker is None or getattr(worker, attribute) == value:
            return
        self._remove_from_pool(worker)
        setattr(worker, attribute, value)
        self._add_to_pool(worker)

    def _add_to_pool(self, worker: Worker) -> None:
        self._count_capacity(worker, 1)
        pool = self.pool_of(worker)
        if worker.usable:
            pool.total = add(pool.total, worker.capacity)
        if worker.open:
            pool.free = add(pool.free, worker.free)
        self._index(worker)
        self._record_gain(worker)

    def _remove_from_pool(self, worker: Worker) -> None:
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
            # The capacity of a worker that is known only from its tasks is unknown.
            return
        counters = [self.worker_count_by_shape]
        if not worker.capacity.accelerators:
            counters.append(self._plain_worker_count_by_shape)
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

    def invalidate_failed_searches(self) -> None:
        """Invalidates cached scheduling failures after limits changed."""
        self.version += 1

    def _record_gain(self, worker: Worker) -> None:
        self.version += 1
        self._gained_at_by_vm[worker.vm] = self.version
        self._gained_at_by_vm.move_to_end(worker.vm)

    # Reservations

    def reserve(self, vm: VmId, task_id: TaskId, amount: Resources) -> None:
        """Reserves an amount on a worker for a task."""
        worker = self.workers_by_vm[vm]
        reserved = worker.reserved_by_task.get(task_id)
        change = subtract(amount, reserved) if reserved else amount
        worker.reserved_by_task[task_id] = amount
        self._change_free(worker, change)

    def release(self, vm: VmId, task_id: TaskId) -> None:
        """Ends the reservation of a task."""
        worker = self.workers_by_vm.get(vm)
        if worker is None:
            return
        amount = worker.reserved_by_task.pop(task_id, None)
        if amount is None:
            return
        self._change_free(worker, subtract(Resources(), amount))
        if worker.removed and not worker.reserved_by_task:
            del self.workers_by_vm[vm]

    def _change_free(self, worker: Worker, amount: Resources) -> None:
        pool = self.pool_of(worker)
        pool.discard(worker.vm)
        worker.free = subtract(worker.free, amount)
        if not worker.reserved_by_task:
            # Discards accumulated rounding errors.
            worker.free = worker.capacity
        if worker.open:
            pool.free = subtract(pool.free, amount)
        self._index(worker)
        if amount.cpu < 0 or amount.memory_mb < 0 or amount.accelerators < 0:
            self._record_gain(worker)

    # Searches

    def find_worker(self, need: Resources, tasks_by_rack=None) -> Worker | None:
        """Returns the best-fitting open worker for a need, or None.

        Args:
            need: Resources of the task to place.
            tasks_by_rack: Number of tasks of the same job by rack. If given, racks
                with fewer tasks are preferred.
        """
        shape = shape_of(need)
        failed_at = self._failed_at_by_shape.get(shape)
        if failed_at is not None:
            found = self._select_best_fit(
                need, self._workers_gained_since(failed_at), tasks_by_rack
            )
        else:
            found = self._search(need, tasks_by_rack)
        if found is None:
            self._cache_failure(shape)
        else:
            self._failed_at_by_shape.pop(shape, None)
        return found

    def _search(self, need: Resources, tasks_by_rack) -> Worker | None:
        pool = self.pool_for(need)
        count = MAX_CANDIDATES if tasks_by_rack is None else SPREAD_CANDIDATES
        candidates = list(pool.by_least_free(need, count))
        if tasks_by_rack is not None:
            candidates.extend(pool.by_most_free(need, count))
        found = self._select_best_fit(need, candidates, tasks_by_rack)
        if found is None:
            # The index covers one resource; another one may be exhausted on every
            # candidate.
            found = self._select_best_fit(
                need, pool.with_ample_resources(need, count), tasks_by_rack
            )
        if found is None:
            workers = pool.by_least_free(need, None)
            found = next((w for w in workers if fits(need, w.free)), None)
        return found

    def total_capacity(self, fraction: float) -> Resources:
        """Returns a fraction of the capacity of all workers, usable or not.

        Unlimited if no capacity is known or the fraction is 1.
        """
        known = Resources()
        for shape, count in self.worker_count_by_shape.items():
            known = add(known, scale(Resources(*shape), count))
        if not self.worker_count_by_shape or fraction >= 1.0:
            return Resources(math.inf, math.inf, sys.maxsize)
        return scale(known, fraction)

    def fits_empty_worker(self, need: Resources) -> bool:
        """Returns whether a need fits an empty worker."""
        return any(
            fits(need, Resources(*shape)) for shape in self.worker_count_by_shape
        )

    def pool_for(self, need: Resources) -> Pool:
        """Returns the pool for a need.

        Workers with accelerators are kept for tasks that need them, unless no other
        known worker is large enough.
        """
        if need.accelerators:
            return self._accelerator_pool
        for shape in self._plain_worker_count_by_shape:
            if fits(need, Resources(*shape)):
                return self._pool
        return self._accelerator_pool

    def _workers_gained_since(self, version: int) -> list[Worker]:
        workers = []
        for vm in reversed(self._gained_at_by_vm):
            if self._gained_at_by_vm[vm] <= version:
                break
            worker = self.workers_by_vm.get(vm)
            if worker is not None and worker.open:
                workers.append(worker)
        return workers

    def best_fit(self, need: Resources, workers: Iterable[Worker]) -> Worker | None:
        """Returns the best-fitting usable worker among the given ones, or None."""
        return self._select_best_fit(need, (w for w in workers if w.usable), None)

    def _select_best_fit(
        self, need: Resources, candidates: Iterable[Worker], tasks_by_rack
    ) -> Worker | None:
        best, best_rank = None, None
        for worker in candidates:
            if not fits(need, worker.free) or not self.is_eligible(need, worker):
                continue
            rank = (self._fit_score(need, worker), worker.vm)
            if tasks_by_rack is not None:
                rank = (tasks_by_rack.get(worker.rack, 0), *rank)
            if best_rank is None or rank < best_rank:
                best, best_rank = worker, rank
        return best

    def is_eligible(self, need: Resources, worker: Worker) -> bool:
        """Returns whether a worker is in the pool for a need."""
        if need.accelerators or not worker.capacity.accelerators:
            return True
        return self.pool_for(need) is self._accelerator_pool

    def _fit_score(self, need: Resources, worker: Worker) -> float:
        """Returns a score for the resources left over; lower is a better fit.

        Imbalance of cores and memory adds to the score, because an unbalanced
        remainder fits fewer tasks.
        """
        total = self.pool_of(worker).total
        cpu = memory = accelerators = 0.0
        if total.cpu > 0:
            cpu = (worker.free.cpu - need.cpu) / total.cpu
        if total.memory_mb > 0:
            memory = (worker.free.memory_mb - need.memory_mb) / total.memory_mb
        if total.accelerators:
            unused = worker.free.accelerators - need.accelerators
            accelerators = unused / total.accelerators
        return cpu + memory + abs(cpu - memory) + accelerators

    def _cache_failure(self, shape: Shape) -> None:
        self._failed_at_by_shape[shape] = self.version
        self._failed_at_by_shape.move_to_end(shape)
        if len(self._failed_at_by_shape) > MAX_CACHED_FAILURES:
            self._failed_at_by_shape.popitem(last=False)

    def place_gang(
        self, need: Resources, count: int, held: Iterable[Worker] = ()
    ) -> list[Worker]:
        """Returns a worker for each of ``count`` tasks, or an empty list.

        Args:
            held: Workers held for the gang, used first. Other workers follow in
                ascending order of free resources, to avoid fragmentation.
        """
        placement: list[Worker] = []
        pool = self.pool_for(need)
        for worker in chain(held, pool.by_least_free(need, None)):
            if not worker.usable:
                continue
            slots = min(slots_in(need, worker.free), count - len(placement))
            placement.extend([worker] * slots)
            if len(placement) == count:
                return placement
        return []

    def slots(self, need: Resources, wanted: int) -> int:
        """Returns how many tasks fit on empty workers, counted up to ``wanted``."""
        plain = self.pool_for(need) is self._pool
        worker_count_by_shape = (
            self._plain_worker_count_by_shape if plain else self.worker_count_by_shape
        )
        found = 0
        for shape, count in worker_count_by_shape.items():
            found += count * slots_in(need, Resources(*shape))
            if found >= wanted:
                return wanted
        return found


def slots_in(need: Resources, free: Resources) -> int:
    """Returns how many tasks of a size fit into free resources."""
    counts = []
    if need.cpu > 0:
        counts.append(int((free.cpu + EPSILON) // need.cpu))
    if need.memory_mb > 0:
        counts.append(int((free.memory_mb + EPSILON) // need.memory_mb))
    if need.accelerators > 0:
        counts.append(free.accelerators // need.accelerators)
    return max(0, min(counts)) if counts else 1_000_000
