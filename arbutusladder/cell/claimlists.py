"""What an owner lists of its workers in the claim and beside it, for its successor."""

from dataclasses import replace

from arbutusladder.cell.cellstate import CellState
from arbutusladder.cell.workers import Worker
from arbutusladder.ids import VmId
from arbutusladder.messages import SilentWorker, WorkerIncarnation


def workers_to_record(cell: CellState) -> frozenset[VmId]:
    """Returns the workers that may run tasks of this owner or a previous one.

    A worker has to answer before it is used, so entries of the registry that no
    worker answers for are not recorded.
    """
    answering = {
        vm
        for vm, worker in cell.worker_by_vm.items()
        if worker.clock_known() or cell.is_recorded(vm)
    }
    return cell.unreported.vms.union(answering)


def silent_workers(cell: CellState, now: float, lease_s: float) -> list[SilentWorker]:
    """Returns the workers that do not answer, as the claim lists them.

    Args:
        cell: State of the cell.
        now: Monotonic time in seconds.
        lease_s: Seconds after which a lease ends that this owner may still extend,
            as it may for every registered worker.
    """
    unreported = [
        replace(
            row,
            lease_s=max(
                row.lease_s, _wait_s(cell, cell.worker_by_vm[row.vm], now, lease_s)
            ),
            is_extended=True,
        )
        if row.vm in cell.worker_by_vm
        else row
        for row in cell.unreported.describe(now)
    ]
    listed = {row.vm for row in unreported}
    return unreported + [
        SilentWorker(
            vm,
            _wait_s(cell, worker, now, lease_s),
            True,
            sorted(
                worker.job_ids_to_await.union(
                    run.job_id for run in cell.unsettled.on_worker(vm)
                )
            ),
            False,
        )
        for vm, worker in cell.worker_by_vm.items()
        if worker.silent_since is not None and vm not in listed
    ]


def _wait_s(cell: CellState, worker: Worker, now: float, lease_s: float) -> float:
    """Returns the seconds for which a successor has to wait for a silent worker.

    Args:
        cell: State of the cell.
        worker: The worker.
        now: Monotonic time in seconds.
        lease_s: Seconds after which a lease ends that this owner may still extend.
    """
    runs = [*worker.run_by_key.values(), *cell.unsettled.on_worker(worker.entry.vm)]
    ends_at = (worker.calls_end_at(run, cell.max_lease_s) for run in runs)
    calls_s = max(ends_at, default=now) - now
    return max(lease_s, worker.lease_s_left(now), calls_s)


def confirmed_restarts(cell: CellState, now: float) -> list[WorkerIncarnation]:
    """Returns the restarted workers on which earlier calls have no effect.

    Only those are listed that this owner has seen to restart, and for as long as a
    successor could otherwise expect such calls.

    Args:
        cell: State of the cell.
        now: Monotonic time in seconds.
    """
    return [
        WorkerIncarnation(vm, worker.born)
        for vm, worker in cell.worker_by_vm.items()
        if worker.restart_confirmed and now < cell.former_calls_end_at(worker)
    ]
