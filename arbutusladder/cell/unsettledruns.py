"""Runs that have not started, or have ended, while an order to start them is in doubt.

A report or the answer to a stop excludes an order only on the incarnation of the worker
that gave it. The next one knows nothing of it and executes the order if it arrives
then. Until no incarnation can, the task is not started under another number. Its
worker's room is free meanwhile.
"""

from dataclasses import dataclass, field

from arbutusladder.cell.runs import Run, RunKey
from arbutusladder.cell.workers import MAX_ORDER_DELAY_S, Worker, latest_order_end_s
from arbutusladder.ids import VmId


@dataclass
class UnsettledRuns:
    """These runs, by worker and key."""

    _run_by_order: dict[tuple[VmId, RunKey], Run] = field(default_factory=dict)

    def add(self, run: Run) -> None:
        """Adds a run."""
        self._run_by_order[run.vm, run.key] = run

    def get(self, vm: VmId, key: RunKey) -> Run | None:
        """Returns a run, or None if it is not unsettled."""
        return self._run_by_order.get((vm, key))

    def remove(self, run: Run) -> None:
        """Removes a run."""
        self._run_by_order.pop((run.vm, run.key), None)

    def on_worker(self, vm: VmId) -> list[Run]:
        """Returns the runs of a worker."""
        return [run for run in self._run_by_order.values() if run.vm == vm]

    def settled(
        self, worker_by_vm: dict[VmId, Worker], now: float, max_lease_s: float
    ) -> list[Run]:
        """Returns the runs whose orders can no longer be executed.

        Args:
            worker_by_vm: The known workers.
            now: Monotonic time in seconds.
            max_lease_s: Longest lease in seconds that a worker accepts.
        """
        return [
            run
            for run in self._run_by_order.values()
            if _is_settled(run, worker_by_vm.get(run.vm), now, max_lease_s)
        ]


def _is_settled(
    run: Run, worker: Worker | None, now: float, max_lease_s: float
) -> bool:
    """Returns whether no incarnation runs, or still starts, a run.

    A complete report that was requested once no order could be executed any more, or
    after the last answer, would list the run. Without one, it has ended with its
    longest lease.
    """
    if worker is None:
        return now > run.ordered_at + latest_order_end_s(max_lease_s)
    executed_by = run.changed_at
    if run.in_doubt:
        executed_by = run.ordered_at + MAX_ORDER_DELAY_S
    if worker.listed_all_at > executed_by:
        return True
    return worker.silent_since is not None and worker.is_run_over(run, now, max_lease_s)
