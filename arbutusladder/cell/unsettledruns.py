"""Runs that have not started, or have ended, while an order to start them is in doubt.

A report or the answer to a stop excludes an order only on the incarnation of the worker
that gave it. The next one knows nothing of it and executes the order if it arrives
then. Until no incarnation can, the task is not started under another number, and the
run keeps its room on the worker and its charge to the team.
"""

import math
from dataclasses import dataclass, field

from arbutusladder.cell.runends import EndEvidence, EndProof
from arbutusladder.cell.runs import Run, RunKey
from arbutusladder.cell.workers import Worker, latest_order_end_s
from arbutusladder.ids import VmId


@dataclass
class UnsettledRuns:
    """These runs, by worker and key."""

    _run_by_order: dict[tuple[VmId, RunKey], Run] = field(default_factory=dict)
    _worker_by_order: dict[tuple[VmId, RunKey], Worker] = field(default_factory=dict)
    _doubt_end_by_run: dict[str, dict[RunKey, float]] = field(default_factory=dict)

    def record_doubt(self, run: Run) -> None:
        """Records that an order of a run which has ended may still be executed."""
        if not run.lasting:
            by_run = self._doubt_end_by_run.setdefault(_doubt_key(run), {})
            by_run[run.key] = run.doubt_ends_at

    def doubt_ends_at(self, task: str) -> float:
        """Returns when no order of a task, or of its gang, can be executed any more.

        Args:
            task: Name of the task.

        Returns:
            Monotonic time in seconds; -inf if none of its former orders is in doubt.
        """
        found = (self._doubt_end_by_run.get(key) for key in (task, _step_key(task)))
        ends = [end for by_run in found if by_run for end in by_run.values()]
        return max(ends, default=-math.inf)

    def add(self, run: Run, worker: Worker) -> None:
        """Adds a run whose resources are reserved on a worker."""
        self._run_by_order[run.vm, run.key] = run
        self._worker_by_order[run.vm, run.key] = worker

    def get(self, vm: VmId, key: RunKey) -> Run | None:
        """Returns a run, or None if it is not unsettled."""
        return self._run_by_order.get((vm, key))

    def remove(self, run: Run) -> bool:
        """Removes a run and releases its room; returns whether it was unsettled."""
        if not run.in_doubt:
            self._doubt_end_by_run.get(_doubt_key(run), {}).pop(run.key, None)
        if self._run_by_order.pop((run.vm, run.key), None) is None:
            return False
        self._worker_by_order.pop((run.vm, run.key)).release_run(run)
        return True

    def on_worker(self, vm: VmId) -> list[Run]:
        """Returns the runs of a worker."""
        return [run for run in self._run_by_order.values() if run.vm == vm]

    def settled(
        self, worker_by_vm: dict[VmId, Worker], now: float, max_lease_s: float
    ) -> list[tuple[Run, EndEvidence]]:
        """Returns the runs whose orders can no longer be executed, with the evidence.

        Args:
            worker_by_vm: The known workers.
            now: Monotonic time in seconds.
            max_lease_s: Longest lease in seconds that a worker accepts.
        """
        for key, by_run in list(self._doubt_end_by_run.items()):
            if max(by_run.values(), default=now) <= now:
                del self._doubt_end_by_run[key]
        found = []
        for run in self._run_by_order.values():
            worker = worker_by_vm.get(run.vm)
            evidence = _settling_evidence(run, worker, now, max_lease_s)
            if evidence:
                found.append((run, evidence))
        return found


def settles_after(run: Run) -> float:
    """Returns the time after which a report has to be requested to settle a run.

    Args:
        run: An unsettled run.

    Returns:
        Monotonic time in seconds.
    """
    return max(run.changed_at, run.doubt_ends_at)


def _doubt_key(run: Run) -> str:
    """Returns the name of the task of a run, or the key of its step for a gang."""
    return run.stage if run.spec and run.spec.gang else run.task


def _step_key(task: str) -> str:
    return task.rpartition(".")[0]


def _settling_evidence(
    run: Run, worker: Worker | None, now: float, max_lease_s: float
) -> EndEvidence | None:
    """Returns what shows that no incarnation runs, or still starts, a run.

    A complete report that was requested once no order could be executed any more, or
    after the last answer, would list the run. Without one, it has ended with its
    longest lease.
    """
    if worker is None:
        if now > run.ordered_at + latest_order_end_s(max_lease_s):
            return EndEvidence(EndProof.ORDERS_EXPIRED, now, now - run.ordered_at)
        return None
    if worker.listed_all_at > settles_after(run):
        return EndEvidence(EndProof.ORDERS_EXPIRED, now, now - worker.listed_all_at)
    silent_since = worker.silent_since
    if silent_since is not None and worker.is_run_over(run, now, max_lease_s):
        return EndEvidence(EndProof.LEASES_ENDED, now, now - silent_since)
    return None
