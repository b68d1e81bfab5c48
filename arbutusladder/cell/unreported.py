"""Workers on which a predecessor of the owner may have started tasks.

After a takeover the owner does not know what runs on a worker, or has ended there,
until it has listed all of it, or until every lease that it may have been granted has
ended. Until then the tasks that may run there must not be started elsewhere. A worker
lists its ends in pages, so one report need not be enough.

An owner lists the workers that do not answer in its claim, with the jobs that may run
on them, and starts nothing on a listed worker before it is removed from the list. So
only these jobs have to wait for such a worker, and not all jobs of the cell.
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
        until: Monotonic time in seconds at which every lease has ended.
        job_ids: Jobs that may run on it; None if any inherited job may.
    """

    until: float
    job_ids: frozenset[JobId] | None


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
        self, vm: VmId, until: float, job_ids: Iterable[JobId] | None = None
    ) -> None:
        """Adds a worker.

        Args:
            vm: The worker.
            until: Monotonic time in seconds at which every lease has ended.
            job_ids: Jobs that may run on it; None if any inherited job may.
        """
        jobs = None if job_ids is None else frozenset(job_ids)
        self._unreported_by_vm[vm] = UnreportedWorker(until, jobs)

    def extend(self, until: float) -> None:
        """Waits longer for the workers on which any inherited job may run.

        Args:
            until: Monotonic time in seconds at which every lease has ended.
        """
        for vm, row in self._unreported_by_vm.items():
            if row.job_ids is None:
                self.add(vm, max(row.until, until))

    def leases_end_at(self, vm: VmId) -> float:
        """Returns when every lease of a predecessor on a worker has ended.

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
    ) -> dict[VmId, UnreportedWorker]:
        """Removes and returns the workers whose leases have ended.

        Args:
            now: Monotonic time in seconds.
            granted: Workers with a lease of this owner that may not have ended.
        """
        expired = {
            vm: row
            for vm, row in self._unreported_by_vm.items()
            if now > row.until and vm not in granted
        }
        for vm in expired:
            del self._unreported_by_vm[vm]
        return expired

    @property
    def may_run_any(self) -> bool:
        """Whether any inherited job may run on one of the workers."""
        return any(row.job_ids is None for row in self._unreported_by_vm.values())

    def may_run(self, job_id: JobId) -> bool:
        """Returns whether a task of an inherited job may run on one of the workers."""
        return any(
            row.job_ids is None or job_id in row.job_ids
            for row in self._unreported_by_vm.values()
        )

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
            )
            for vm, row in self._unreported_by_vm.items()
        ]
