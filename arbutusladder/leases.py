"""Task leases, blocked tasks and worker states, as kept by the owner of a shard.

The module performs no I/O. A worker stops a task whose lease has expired. Expiry times
sent to workers are wall clock times. The owner keeps its own copy on the monotonic
clock, so that a step of its wall clock cannot shorten a wait.
"""

import heapq
from dataclasses import dataclass, field, replace

from arbutusladder.ids import TaskId, VmId
from arbutusladder.messages import Resources, VmRecord
from arbutusladder.resources import add, fits, subtract

# A shorter first lease could expire in transit or before its first renewal.
MIN_FIRST_LEASE_S = 0.3
# Part of its duration after which a lease is renewed.
RENEWAL_FRACTION = 1 / 3


@dataclass(frozen=True)
class LeaseTerms:
    """Durations that apply to every lease.

    Attributes:
        duration: Duration of a renewed lease in seconds.
        clock_skew: Largest difference between two wall clocks in seconds.
    """

    duration: float
    clock_skew: float


@dataclass
class Lease:
    """A task lease as recorded by the owner of the shard.

    Attributes:
        task_id: The task.
        vm: Worker that may run the task.
        expires_at: Latest expiry that was ever sent, as monotonic time in seconds.
        renew_at: Monotonic time of the next renewal in seconds.
        running: Whether the worker has reported the task as running.
        renewable: Whether the lease is renewed; not for a task that is to stop.
    """

    task_id: TaskId
    vm: VmId
    expires_at: float
    renew_at: float
    running: bool = False
    renewable: bool = True


def first_lease_s(now: float, valid_until: float, terms: LeaseTerms) -> float:
    """Returns the duration of a first lease in seconds.

    On any clock within the skew it ends no later than the owner's validity, so a
    worker refuses a start that is delivered late.

    Args:
        now: Monotonic time in seconds.
        valid_until: Monotonic end of the owner's validity in seconds.
        terms: Durations of leases.
    """
    return min(terms.duration, valid_until - now) - terms.clock_skew


def previous_leases_end(
    previous_valid_until_wall: float, wall: float, now: float, terms: LeaseTerms
) -> float:
    """Returns the monotonic time from which no task of the previous owner can run.

    Args:
        previous_valid_until_wall: Latest wall clock time in seconds at which the
            validity of the previous owner ends.
        wall: Wall clock time in seconds.
        now: Monotonic time in seconds.
        terms: Durations of leases.
    """
    remaining_s = max(0.0, previous_valid_until_wall - wall)
    return now + remaining_s + terms.duration + terms.clock_skew


class LeaseTable:
    """Leases of the tasks that may run on the workers of one shard.

    Args:
        terms: Durations of leases.
    """

    def __init__(self, terms: LeaseTerms):
        self.terms = terms
        self._leases_by_task: dict[TaskId, Lease] = {}
        self._leases_by_vm: dict[VmId, dict[TaskId, Lease]] = {}

    def get(self, task_id: TaskId) -> Lease | None:
        """Returns the lease of a task, or none when the task cannot run."""
        return self._leases_by_task.get(task_id)

    def leases_on_worker(self, vm: VmId) -> list[Lease]:
        """Returns the leases of the tasks that may run on a worker."""
        return list(self._leases_by_vm.get(vm, {}).values())

    def grant_first_lease(
        self, task_id: TaskId, vm: VmId, now: float, wall: float, valid_until: float
    ) -> float | None:
        """Grants the lease for a start that is sent now.

        Args:
            task_id: The task.
            vm: The worker.
            now: Monotonic time in seconds.
            wall: Wall clock time in seconds.
            valid_until: Monotonic end of the owner's validity in seconds.

        Returns:
            The wall clock expiry of the lease in seconds; none when the owner's
            validity is too short, and the start must not be sent.
        """
        seconds = first_lease_s(now, valid_until, self.terms)
        if seconds < MIN_FIRST_LEASE_S:
            return None
        self._add(Lease(task_id, vm, now + seconds, now + seconds * RENEWAL_FRACTION))
        return wall + seconds

    def adopt(self, task_id: TaskId, vm: VmId, expires_at: float, now: float) -> None:
        """Adds the lease of a running task that another owner started.

        Its renewal is due at once.

        Args:
            task_id: The task.
            vm: Worker that runs it.
            expires_at: Monotonic expiry in seconds.
            now: Monotonic time in seconds.
        """
        self._add(Lease(task_id, vm, expires_at, now, running=True))

    def confirm(self, task_id: TaskId) -> None:
        """Records that the worker has reported the task as running."""
        lease = self._leases_by_task.get(task_id)
        if lease:
            lease.running = True

    def disable_renewal(self, task_id: TaskId) -> None:
        """Lets the lease of a task expire, because the task is to stop."""
        lease = self._leases_by_task.get(task_id)
        if lease:
            lease.renewable = False

    def renew_due_leases(
        self, vm: VmId, now: float, wall: float, lead_time_s: float = 0.0
    ) -> list[tuple[TaskId, float]]:
        """Renews the leases on a worker that are due.

        Args:
            vm: The worker.
            now: Monotonic time in seconds.
            wall: Wall clock time in seconds.
            lead_time_s: Seconds until the next regular exchange. Leases that become due
                until then are renewed now, which saves an exchange of their own.

        Returns:
            Tasks with their new wall clock expiry in seconds. A renewal that is
            not sent does no harm: the recorded expiry is never too early.
        """
        due = [
            lease for lease in self._leases_by_vm.get(vm, {}).values() if lease.running
        ]
        due = [
            lease
            for lease in due
            if lease.renewable and lease.renew_at <= now + lead_time_s
        ]
        for lease in due:
            lease.expires_at = max(lease.expires_at, now + self.terms.duration)
            lease.renew_at = now + self.terms.duration * RENEWAL_FRACTION
        return [(lease.task_id, wall + self.terms.duration) for lease in due]

    def mark_renewals_due(self, vm: VmId, now: float) -> None:
        """Makes all leases on a worker due, because a renewal may have been lost."""
        for lease in self._leases_by_vm.get(vm, {}).values():
            lease.renew_at = min(lease.renew_at, now)

    def next_renewal(self, vm: VmId) -> float:
        """Returns when the next renewal on a worker is due, in monotonic seconds.

        Infinite when there is none.
        """
        times = [
            lease.renew_at
            for lease in self._leases_by_vm.get(vm, {}).values()
            if lease.running and lease.renewable
        ]
        return min(times, default=float("inf"))

    def safe_restart_at(self, task_id: TaskId) -> float:
        """Returns when a task can be started again, in monotonic seconds.

        From this time its worker has stopped it, whatever the clock skew. Zero for a
        task without a lease.
        """
        lease = self._leases_by_task.get(task_id)
        return lease.expires_at + self.terms.clock_skew if lease else 0.0

    def unconfirmed_until(self) -> float:
        """Returns until when a sent start may take effect, in monotonic seconds."""
        leases = self._leases_by_task.values()
        times = [lease.expires_at for lease in leases if not lease.running]
        return max(times, default=float("-inf")) + self.terms.clock_skew

    def release(self, task_id: TaskId) -> None:
        """Removes the lease of a task that is known not to run."""
        lease = self._leases_by_task.pop(task_id, None)
        if lease:
            self._leases_by_vm[lease.vm].pop(task_id, None)

    def _add(self, lease: Lease) -> None:
        self.release(lease.task_id)
        self._leases_by_task[lease.task_id] = lease
        self._leases_by_vm.setdefault(lease.vm, {})[lease.task_id] = lease


class BlockedTasks:
    """Tasks that must not be started before a given time."""

    def __init__(self):
        self._until_by_task: dict[TaskId, float] = {}
        self._heap: list[tuple[float, TaskId]] = []

    def block(self, task_id: TaskId, until: float) -> None:
        """Blocks a task until a monotonic time; an earlier block is only extended."""
        until = max(until, self._until_by_task.get(task_id, until))
        self._until_by_task[task_id] = until
        heapq.heappush(self._heap, (until, task_id))

    def unblock(self, task_id: TaskId) -> None:
        """Removes the block of a task, whose state is now known."""
        self._until_by_task.pop(task_id, None)

    def until(self, task_id: TaskId) -> float | None:
        """Returns the monotonic end of a task's block, or none."""
        return self._until_by_task.get(task_id)

    def pop_expired(self, now: float) -> list[TaskId]:
        """Removes and returns the tasks whose block has ended."""
        found = []
        while self._heap and self._heap[0][0] <= now:
            until, task_id = heapq.heappop(self._heap)
            if self._until_by_task.get(task_id) == until:
                del self._until_by_task[task_id]
                found.append(task_id)
        return found

    def next_expiry(self) -> float:
        """Returns when the next block may end, in monotonic seconds.

        Infinite when there is none. A removed block may still count.
        """
        return self._heap[0][0] if self._heap else float("inf")

    def __len__(self) -> int:
        return len(self._until_by_task)


@dataclass
class WorkerState:
    """State of one worker as known to the owner of the shard.

    Attributes:
        record: Entry of the worker in the VM list.
        boot: Boot id in the newest report.
        has_reported: Whether this owner has received a report, and with it the
            list of running tasks.
        silent: Whether the newest exchange has no answer.
        leaving: Whether the worker has reported that it is leaving.
        leaving_in_vm_list: Whether the VM list marks it as leaving.
        draining: Whether an operator drains it.
        removed: Whether it is no longer in the VM list.
        reserved_by_task: Amount reserved for each task that may run on it.
        unthrottled_by_task: Full amount of each throttled task.
        reserved: Sum of ``reserved_by_task``.
        boot_by_lost_start: Starts without a reply, with the worker's boot id when
            they were sent.
        strays: Reported tasks that must not run on it; they are stopped.
        checkpoint_requested: Tasks whose checkpoint was requested because the worker
            is leaving.
        reported_to_policy: Availability, capacity and rack that the policy was last
            given.
    """

    record: VmRecord
    boot: str = ""
    has_reported: bool = False
    silent: bool = False
    leaving: bool = False
    leaving_in_vm_list: bool = False
    draining: bool = False
    removed: bool = False
    reserved_by_task: dict[TaskId, Resources] = field(default_factory=dict)
    unthrottled_by_task: dict[TaskId, Resources] = field(default_factory=dict)
    reserved: Resources = field(default_factory=Resources)
    boot_by_lost_start: dict[TaskId, str] = field(default_factory=dict)
    strays: dict[TaskId, Resources] = field(default_factory=dict)
    checkpoint_requested: set[TaskId] = field(default_factory=set)
    reported_to_policy: tuple | None = None

    @property
    def vm(self) -> VmId:
        """VM id of the worker."""
        return self.record.id

    @property
    def is_leaving(self) -> bool:
        """Whether it gets no new work because it is leaving, drained or removed."""
        is_announced = self.leaving or self.leaving_in_vm_list
        return is_announced or self.draining or self.removed

    @property
    def is_available(self) -> bool:
        """Whether new tasks may be started on it."""
        is_usable = self.has_reported and not self.silent and not self.strays
        return is_usable and not self.is_leaving

    def has_room(self, amount: Resources) -> bool:
        """Returns whether an amount fits in addition to all reservations."""
        return fits(add(self.reserved, amount), self.record.resources)

    def reserve(self, task_id: TaskId, amount: Resources) -> None:
        """Reserves an amount for a task, in place of an earlier reservation."""
        self.release(task_id)
        self.reserved_by_task[task_id] = amount
        self.reserved = add(self.reserved, amount)

    def throttle(self, task_id: TaskId, cpu: float) -> None:
        """Reduces the reservation of a task that is throttled to ``cpu`` cores.

        A worker carries out the actions of an exchange before its starts, so the
        freed cores can be reserved for a start at once.
        """
        unthrottled = (
            self.unthrottled_by_task.get(task_id) or self.reserved_by_task[task_id]
        )
        self.reserve(task_id, replace(unthrottled, cpu=min(unthrottled.cpu, cpu)))
        self.unthrottled_by_task[task_id] = unthrottled

    def resume(self, task_id: TaskId) -> bool:
        """Restores the full reservation of a throttled task.

        Returns:
            Whether the task was throttled and the full amount fits.
        """
        unthrottled = self.unthrottled_by_task.get(task_id)
        if unthrottled is None or not self.has_room(
            subtract(unthrottled, self.reserved_by_task[task_id])
        ):
            return False
        self.reserve(task_id, unthrottled)
        return True

    def release(self, task_id: TaskId) -> None:
        """Releases the reservation of a task."""
        amount = self.reserved_by_task.pop(task_id, None)
        if amount:
            self.reserved = subtract(self.reserved, amount)
        self.boot_by_lost_start.pop(task_id, None)
        self.checkpoint_requested.discard(task_id)
        self.unthrottled_by_task.pop(task_id, None)
