"""Workers on which a predecessor of the owner may have started tasks.

After a takeover the owner does not know what runs on a worker, or has ended there,
until it has listed all of it, or until every lease that it may have been granted has
ended. Until then the tasks that may run there must not be started elsewhere. A worker
lists its ends in pages, so one report need not be enough.

An owner lists the workers that do not answer in its claim, with the jobs that may run
on them, and starts nothing on a listed worker before it is removed from the list. So
only these jobs have to wait for such a worker, and not all jobs of the cell.

A call of the predecessor may also be executed late, by an incarnation of the worker
that nobody has heard. An order with a ticket is rejected once the ticket is no longer
valid, so only jobs without tickets, or with long ones, have to wait for late calls.
"""

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from arbutusladder.ids import JobId, VmId
from arbutusladder.messages import SilentWorker


@dataclass(frozen=True)
class UnreportedWorker:
    """What may run on one worker.

    Attributes:
        until: Monotonic time in seconds at which every lease by calls that were not
            late has ended.
        job_ids: Jobs that may run on it by these calls; None if any inherited job may.
        late_until: Monotonic time in seconds at which every lease by late calls has
            ended; -inf if there are none.
    """

    until: float
    job_ids: frozenset[JobId] | None
    late_until: float = -math.inf

    def may_run(self, job_id: JobId, rejects_late_orders: bool) -> bool:
        """Returns whether a task of an inherited job may run on the worker."""
        may_run_late = not rejects_late_orders and self.late_until > -math.inf
        return self.job_ids is None or job_id in self.job_ids or may_run_late


@dataclass
class UnreportedWorkers:
    """Workers without a complete report since the takeover."""

    _unreported_by_vm: dict[VmId, UnreportedWorker] = field(default_factory=dict)

    def __bool__(self) -> bool:
        """Returns whether there is any."""
        return bool(self._unreported_by_vm)

    @property
    def vms(self) -> frozenset[VmId]:
        """The workers."""
        return frozenset(self._unreported_by_vm)

    def add(
        self,
        vm: VmId,
        until: float,
        job_ids: Iterable[JobId] | None = None,
        late_until: float = -math.inf,
    ) -> None:
        """Adds a worker.

        Args:
            vm: The worker.
            until: See `UnreportedWorker`.
            job_ids: See `UnreportedWorker`.
            late_until: See `UnreportedWorker`.
        """
        jobs = None if job_ids is None else frozenset(job_ids)
        self._unreported_by_vm[vm] = UnreportedWorker(until, jobs, late_until)

    def leases_end_at(self, vm: VmId) -> float:
        """Returns when leases by calls of predecessors that were not late have ended.

        Returns:
            Monotonic time in seconds; -inf for a worker that is not waited for.
        """
        row = self._unreported_by_vm.get(vm)
        return row.until if row else -math.inf

    def remove(self, vm: VmId) -> UnreportedWorker | None:
        """Removes a worker that has listed all; returns what might have run on it.

        Returns:
            None if the worker was not in the list.
        """
        return self._unreported_by_vm.pop(vm, None)

    def remove_expired(
        self, now: float, granted: Collection[VmId] = ()
    ) -> list[tuple[VmId, UnreportedWorker, float]]:
        """Removes workers whose leases have ended.

        A worker whose leases by late calls may last is kept for these.

        Args:
            now: Monotonic time in seconds.
            granted: Workers with a lease of this owner that may not have ended.

        Returns:
            Each worker whose leases have ended, what might have run on it before, and
            the monotonic time in seconds at which they have ended.
        """
        ended = []
        for vm, row in list(self._unreported_by_vm.items()):
            if now <= row.until or vm in granted:
                continue
            if now > row.late_until:
                del self._unreported_by_vm[vm]
                ended.append((vm, row, max(row.until, row.late_until)))
            elif row.job_ids != frozenset():
                self.add(vm, row.until, (), row.late_until)
                ended.append((vm, row, row.until))
        return ended

    def has_leases(self, now: float) -> bool:
        """Returns whether a lease by a call that was not late may last on a worker."""
        return any(now <= row.until for row in self._unreported_by_vm.values())

    @property
    def may_run_any(self) -> bool:
        """Whether any inherited job may run on a worker by a call that was not late."""
        return any(row.job_ids is None for row in self._unreported_by_vm.values())

    def may_run(self, job_id: JobId, rejects_late_orders: bool) -> bool:
        """Returns whether a task of an inherited job may run on one of the workers.

        Args:
            job_id: The job.
            rejects_late_orders: Whether tickets exclude late orders of its tasks.
        """
        rows = self._unreported_by_vm.values()
        return any(row.may_run(job_id, rejects_late_orders) for row in rows)

    def describe(self, now: float) -> list[SilentWorker]:
        """Returns the workers as the claim lists them.

        Args:
            now: Monotonic time in seconds.
        """
        return [
            SilentWorker(
                vm,
                max(0.0, row.until - now),
                False,
                sorted(row.job_ids or ()),
                row.job_ids is None,
                max(0.0, row.late_until - now),
            )
            for vm, row in self._unreported_by_vm.items()
        ]
