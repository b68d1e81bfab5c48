"""Task leases: first lease, renewals, and when a task cannot run any more (pure).

Expiry times sent to workers are wall clock times. The owner keeps its own copy
on the monotonic clock, so that a step of its wall clock cannot shorten a wait.
"""

import heapq
from dataclasses import dataclass, field, replace

from arbutusladder.ids import TaskId, VmId
from arbutusladder.messages import Resources, VmRecord
from arbutusladder.resources import add, fits, subtract

# A shorter first lease expires in transit or before its first renewal.
MIN_FIRST_LEASE_S = 0.3
RENEWAL_FRACTION = 1 / 3


@dataclass(frozen=True)
class LeaseTerms:
    """Durations that every lease follows.

    Attributes:
        duration: Seconds of a renewed lease.
        clock_skew: Largest difference of two wall clocks in seconds.
    """

    duration: float
    clock_skew: float


@dataclass
class Lease:
    """A lease as its owner sees it.

    Attributes:
        expires_at: Latest monotonic expiry that was ever sent.
        renew_at: Monotonic time of the next renewal.
        running: Whether the worker's list has shown the task.
        renewable: Whether the owner wants the task to go on.
    """

    task_id: TaskId
    vm: VmId
    expires_at: float
    renew_at: float
    running: bool = False
    renewable: bool = True


def first_lease_s(now: float, valid_until: float, terms: LeaseTerms) -> float:
    """Returns the seconds of a first lease.

    It ends no later than the owner's validity on any clock within the skew, so
    a start that is delivered late is refused by the worker.

    Args:
        now: Monotonic time in seconds.
        valid_until: Monotonic end of the owner's validity in seconds.
        terms: Durations.
    """
    return min(terms.duration, valid_until - now) - terms.clock_skew


def blocked_until(
    old_valid_until_wall: float, wall: float, now: float, terms: LeaseTerms
) -> float:
    """Returns the monotonic time when no task of the previous owner can run.

    Args:
        old_valid_until_wall: Wall clock time when the validity of the previous
            owner has ended at the latest.
        wall: Wall clock time in seconds.
        now: Monotonic time in seconds.
        terms: Durations.
    """
    left = max(0.0, old_valid_until_wall - wall)
    return now + left + terms.duration + terms.clock_skew


class LeaseTable:
    """Leases of the tasks that may run on the workers of one shard."""

    def __init__(self, terms: LeaseTerms):
        self.terms = terms
        self._leases_by_task: dict[TaskId, Lease] = {}
        self._tasks_by_vm: dict[VmId, dict[TaskId, Lease]] = {}

    def get(self, task_id: TaskId) -> Lease | None:
        """Returns the lease of a task that may run."""
        return self._leases_by_task.get(task_id)

    def on_worker(self, vm: VmId) -> list[Lease]:
        """Returns the leases of the tasks that may run on a worker."""
        return list(self._tasks_by_vm.get(vm, {}).values())

    def grant_first_lease(
        self, task_id: TaskId, vm: VmId, now: float, wall: float, valid_until: float
    ) -> float | None:
        """Returns the wall clock expiry of a start that is sent now.

        Returns:
            None when the owner's validity is too short; nothing may be sent.
        """
        seconds = first_lease_s(now, valid_until, self.terms)
        if seconds < MIN_FIRST_LEASE_S:
            return None
        self._put(Lease(task_id, vm, now + seconds, now + seconds * RENEWAL_FRACTION))
        return wall + seconds

    def adopt(self, task_id: TaskId, vm: VmId, expires_at: float, now: float) -> None:
        """Takes over a task that a worker's list shows.

        Args:
            expires_at: Monotonic expiry in seconds.
        """
        self._put(Lease(task_id, vm, expires_at, now, running=True))

    def confirm(self, task_id: TaskId) -> None:
        """Records that the worker's list shows the task."""
        lease = self._leases_by_task.get(task_id)
        if lease:
            lease.running = True

    def do_not_renew(self, task_id: TaskId) -> None:
        """Lets the lease of a task run out, because the task shall stop."""
        lease = self._leases_by_task.get(task_id)
        if lease:
            lease.renewable = False

    def renewals(
        self, vm: VmId, now: float, wall: float, ahead: float = 0.0
    ) -> list[tuple[TaskId, float]]:
        """Renews the leases on a worker that are due.

        Args:
            vm: The worker.
            now: Monotonic time in seconds.
            wall: Wall clock time in seconds.
            ahead: Seconds until the next regular exchange; what becomes due
                until then is renewed now, so that it needs no other exchange.

        Returns:
            Tasks with their new wall clock expiry. The caller must send them,
            or may drop them: the book only ever overestimates an expiry.
        """
        due = [
            lease for lease in self._tasks_by_vm.get(vm, {}).values() if lease.running
        ]
        due = [
            lease for lease in due if lease.renewable and lease.renew_at <= now + ahead
        ]
        for lease in due:
            lease.expires_at = max(lease.expires_at, now + self.terms.duration)
            lease.renew_at = now + self.terms.duration * RENEWAL_FRACTION
        return [(lease.task_id, wall + self.terms.duration) for lease in due]

    def mark_renewals_due(self, vm: VmId, now: float) -> None:
        """Makes the leases on a worker due because a renewal may be lost."""
        for lease in self._tasks_by_vm.get(vm, {}).values():
            lease.renew_at = min(lease.renew_at, now)

    def next_renewal(self, vm: VmId) -> float:
        """Returns the monotonic time of the next renewal on a worker."""
        times = [
            lease.renew_at
            for lease in self._tasks_by_vm.get(vm, {}).values()
            if lease.running and lease.renewable
        ]
        return min(times, default=float("inf"))

    def safe_at(self, task_id: TaskId) -> float:
        """Returns the monotonic time from which the task cannot run any more."""
        lease = self._leases_by_task.get(task_id)
        return lease.expires_at + self.terms.clock_skew if lease else 0.0

    def unresolved_until(self) -> float:
        """Returns the monotonic time until which a sent start may take effect."""
        leases = self._leases_by_task.values()
        times = [lease.expires_at for lease in leases if not lease.running]
        return max(times, default=float("-inf")) + self.terms.clock_skew

    def release(self, task_id: TaskId) -> None:
        """Forgets a task that is known not to run."""
        lease = self._leases_by_task.pop(task_id, None)
        if lease:
            self._tasks_by_vm[lease.vm].pop(task_id, None)

    def _put(self, lease: Lease) -> None:
        self.release(lease.task_id)
        self._leases_by_task[lease.task_id] = lease
        self._tasks_by_vm.setdefault(lease.vm, {})[lease.task_id] = lease


class BlockedTasks:
    """Tasks that must not be started before a time."""

    def __init__(self):
        self._until_by_task: dict[TaskId, float] = {}
        self._heap: list[tuple[float, TaskId]] = []

    def block(self, task_id: TaskId, until: float) -> None:
        """Blocks a task; the later time counts."""
        until = max(until, self._until_by_task.get(task_id, until))
        self._until_by_task[task_id] = until
        heapq.heappush(self._heap, (until, task_id))

    def unblock(self, task_id: TaskId) -> None:
        """Lifts the block of a task that is known not to run."""
        self._until_by_task.pop(task_id, None)

    def until(self, task_id: TaskId) -> float | None:
        """Returns the monotonic end of a block, or none."""
        return self._until_by_task.get(task_id)

    def expired(self, now: float) -> list[TaskId]:
        """Removes and returns the tasks whose block has ended."""
        found = []
        while self._heap and self._heap[0][0] <= now:
            until, task_id = heapq.heappop(self._heap)
            if self._until_by_task.get(task_id) == until:
                del self._until_by_task[task_id]
                found.append(task_id)
        return found

    def next_end(self) -> float:
        """Returns the monotonic time when the next block may end."""
        return self._heap[0][0] if self._heap else float("inf")

    def __len__(self) -> int:
        return len(self._until_by_task)


@dataclass
class WorkerView:
    """What the owner of a shard knows of one worker.

    Attributes:
        boot: Boot in the newest report.
        is_read: Whether its list of tasks was read by this owner.
        silent: Whether the newest exchange has no answer.
        leaving: Whether the worker says that it leaves.
        listed_leaving: Whether the VM list says so.
        draining: Whether an operator drains it.
        removed: Whether it is no longer in the VM list.
        given: Amount reserved by task that may run here.
        throttled: Full amount of the tasks that are throttled.
        reserved: Sum of ``given``.
        lost_starts: Boot at the time of sending, by start without a reply.
        strays: Tasks here that the policy does not know; they are stopped.
        moved_away: Tasks that were asked to checkpoint because it goes away.
        told: What the policy was last told of the worker.
    """

    record: VmRecord
    boot: str = ""
    is_read: bool = False
    silent: bool = False
    leaving: bool = False
    listed_leaving: bool = False
    draining: bool = False
    removed: bool = False
    given: dict[TaskId, Resources] = field(default_factory=dict)
    throttled: dict[TaskId, Resources] = field(default_factory=dict)
    reserved: Resources = field(default_factory=Resources)
    lost_starts: dict[TaskId, str] = field(default_factory=dict)
    strays: dict[TaskId, Resources] = field(default_factory=dict)
    moved_away: set[TaskId] = field(default_factory=set)
    told: tuple | None = None

    @property
    def vm(self) -> VmId:
        """Id of the worker."""
        return self.record.id

    @property
    def is_leaving(self) -> bool:
        """Whether it receives no new work because it goes away."""
        announced = self.leaving or self.listed_leaving
        return announced or self.draining or self.removed

    @property
    def is_available(self) -> bool:
        """Whether new tasks may be sent to it."""
        usable = self.is_read and not self.silent and not self.strays
        return usable and not self.is_leaving

    def has_room(self, amount: Resources) -> bool:
        """Returns whether an amount fits beside everything that may run here."""
        return fits(add(self.reserved, amount), self.record.resources)

    def reserve(self, task_id: TaskId, amount: Resources) -> None:
        """Reserves an amount for a task; a later amount replaces it."""
        self.release(task_id)
        self.given[task_id] = amount
        self.reserved = add(self.reserved, amount)

    def throttle(self, task_id: TaskId, cpu: float) -> None:
        """Reserves fewer cores for a task that is throttled to them.

        The worker carries out actions before the starts of an exchange, so what
        this frees may be given to a start at once.
        """
        full = self.throttled.get(task_id) or self.given[task_id]
        self.reserve(task_id, replace(full, cpu=min(full.cpu, cpu)))
        self.throttled[task_id] = full

    def resume(self, task_id: TaskId) -> bool:
        """Reserves the full amount again; returns whether there was room."""
        full = self.throttled.get(task_id)
        if full is None or not self.has_room(subtract(full, self.given[task_id])):
            return False
        self.reserve(task_id, full)
        return True

    def release(self, task_id: TaskId) -> None:
        """Releases what a task has reserved."""
        amount = self.given.pop(task_id, None)
        if amount:
            self.reserved = subtract(self.reserved, amount)
        self.lost_starts.pop(task_id, None)
        self.moved_away.discard(task_id)
        self.throttled.pop(task_id, None)
