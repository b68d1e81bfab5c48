"""Renews the leases of workers and processes the reports in their answers.

`LeaseRenewer` owns the renewal tasks; the leases are in the cell's `Worker` objects.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import replace
from typing import TYPE_CHECKING

import curio

from arbutusladder import events
from arbutusladder.cell.cellstate import CellState
from arbutusladder.cell.fencing import fencing_token
from arbutusladder.cell.interfaces import OrderAnswer, WorkerReport
from arbutusladder.cell.logretry import retry_until_answered
from arbutusladder.cell.runs import MAX_SEND_DELAY_S, Run
from arbutusladder.cell.states import OrderOutcome
from arbutusladder.cell.unsettledruns import settles_after
from arbutusladder.cell.workers import Worker
from arbutusladder.ids import VmId

if TYPE_CHECKING:
    from arbutusladder.cell.member import CellDependencies, Member
    from arbutusladder.cell.owner import Owner

# Longest wait in seconds of a renewal, which a worker answers as soon as a run ends; on
# a worker with tasks and on one without.
BUSY_POLL_TIMEOUT_S = 0.6
IDLE_POLL_TIMEOUT_S = 2.0
# Shortest wait in seconds of a renewal for a doubt to end. Doubts that end one after
# another are settled together, with two renewals in this time at most.
MIN_DOUBT_POLL_TIMEOUT_S = 0.2
# Longest time in seconds for which a report waits for the jobs that it names, so that
# the leases of its worker do not end while the log does not answer.
MAX_JOBS_READ_S = 0.5
# Seconds before the next renewal of a worker that answers at once because it lists ends
# that may not be acknowledged yet.
HELD_ENDS_DELAY_S = 0.2
# Seconds before the next renewal after one that failed.
RETRY_DELAY_S = 0.2


class LeaseRenewer:
    """Runs one task per worker that renews its lease continuously.

    Args:
        owner: The owner of the cell.
        state: Jobs and workers of the cell.
        member: Entry VM that runs the owner.
        dependencies: Services and settings of the entry VM.
    """

    def __init__(
        self,
        owner: Owner,
        state: CellState,
        member: Member,
        dependencies: CellDependencies,
    ):
        self._owner = owner
        self._state = state
        self._member = member
        self._dependencies = dependencies
        self._clock = dependencies.clock
        self._task_by_vm: dict[VmId, curio.Task] = {}

    async def close(self) -> None:
        """Cancels all renewal tasks."""
        for task in self._task_by_vm.values():
            await task.cancel(blocking=False)

    async def start_renewals(self) -> None:
        """Starts a renewal task for each known worker that has none."""
        for vm in list(self._task_by_vm):
            if self._task_by_vm[vm].terminated:
                del self._task_by_vm[vm]
        for vm in self._state.worker_by_vm:
            if vm not in self._task_by_vm:
                task = await curio.spawn(self._renew_worker, vm, daemon=True)
                self._task_by_vm[vm] = task

    async def _renew_worker(self, vm: VmId) -> None:
        """Renews a worker's lease until it leaves the cell or the ownership ends."""
        reported_at = -math.inf
        while not self._owner.ended:
            worker = self._state.worker_by_vm.get(vm)
            if worker is None:
                return
            if _are_all_held(worker, self._clock.now()):
                await curio.sleep(HELD_ENDS_DELAY_S)
                if self._state.worker_by_vm.get(vm) is not worker:
                    continue
            send_by = self._clock.now_with_suspensions() + MAX_SEND_DELAY_S
            sent_at = self._clock.now()
            unsettled = self._state.unsettled.on_worker(vm)
            poll_timeout_s = _poll_timeout_s(worker, unsettled, reported_at, sent_at)
            lease_end = None
            may_extend = self._state.may_extend_lease(vm)
            if may_extend and self._owner.may_give_orders():
                lease_end = worker.grant_lease(sent_at, self._owner.lease_s)
            acknowledged = _confirmed_end_number(worker)
            worker.token_used |= acknowledged > 0
            token_number, entry = worker.token_number, worker.entry
            answer = await self._dependencies.orders.renew(
                entry,
                fencing_token(self._owner.epoch, token_number),
                acknowledged,
                lease_end,
                poll_timeout_s,
                send_by,
            )
            if isinstance(answer, WorkerReport):
                answer = replace(answer, token_number=token_number)
                reported_at = sent_at
            else:
                answer = self._state.resolve_refusal(entry, answer, token_number)
            await self._handle_answer(vm, answer, sent_at)
            if isinstance(answer, OrderAnswer):
                await curio.sleep(RETRY_DELAY_S)

    async def _handle_answer(
        self, vm: VmId, answer: WorkerReport | OrderAnswer, sent_at: float
    ) -> None:
        if isinstance(answer, WorkerReport) and not await self._knows_jobs(answer):
            # The worker lists its ends again. Meanwhile its leases are extended.
            return
        now = self._clock.now()
        match answer:
            case WorkerReport():
                worker = self._state.worker_by_vm.get(vm)
                if worker and worker.silent_since is not None:
                    self._dependencies.journal.write(
                        events.WORKER_RESPONSIVE, worker=vm
                    )
                highest_end = self._state.apply_report(vm, answer, sent_at, now)
                self._owner.record_worker(vm)
                await self._owner.request_decisions()
                worker = self._state.worker_by_vm.get(vm)
                if worker and highest_end > worker.acknowledged:
                    await self._acknowledge(vm, worker.born, highest_end)
            case OrderAnswer(outcome=OrderOutcome.FENCED):
                await self._owner.end_ownership("a worker has seen a higher epoch")
            case OrderAnswer(outcome=OrderOutcome.WORKER_REPLACED):
                self._state.remove_replaced_worker(vm, now, now - sent_at)
            case OrderAnswer(
                outcome=OrderOutcome.SUPERSEDED | OrderOutcome.MISDIRECTED
            ):
                pass
            case _:
                worker = self._state.worker_by_vm.get(vm)
                if worker:
                    if worker.silent_since is None:
                        self._dependencies.journal.write(
                            events.WORKER_UNRESPONSIVE,
                            worker=vm,
                            error=answer.outcome.value,
                        )
                    worker.record_missed_renewal(sent_at)

    async def _knows_jobs(self, report: WorkerReport) -> bool:
        """Reads the jobs of reported tasks that this owner has not read yet.

        A predecessor may have started them. Without their jobs the report's ended
        runs would be lost, and its running tasks would count as using no resources.

        Returns:
            Whether the report can be applied: its jobs are known, or the log has shown
            that they do not exist.
        """
        tasks = [row.task for row in (*report.running, *report.ended)]
        if self._member.table.has_jobs_of_tasks(tasks):
            return True
        async with curio.ignore_after(MAX_JOBS_READ_S):
            await retry_until_answered(self._member.read_jobs)
            return True
        self._dependencies.metrics.count("reports.unknown_jobs")
        return False

    async def _acknowledge(self, vm: VmId, born: int, highest_end: int) -> None:
        """Acknowledges a worker's ended runs once the resulting progress is stored.

        A worker reports an ended run until it is acknowledged. Each incarnation counts
        its ends anew.
        """
        await self._owner.flush_changes()
        async with curio.ignore_after(BUSY_POLL_TIMEOUT_S):
            await self._owner.writer.wait_until_stored(bool(self._state.changes.dirty))
            worker = self._state.worker_by_vm.get(vm)
            if worker and worker.born == born:
                free_end = worker.newest_free_end(self._clock.now())
                worker.acknowledge_ends(min(highest_end, free_end))


def _poll_timeout_s(
    worker: Worker, unsettled: Collection[Run], reported_at: float, now: float
) -> float:
    """Returns the longest wait in seconds of the next renewal.

    Only a report that is requested after a doubt has ended settles it. The renewal
    before is answered by then, and the first one after it at once, but no further one:
    a report that does not settle the doubt may be followed by others that do not.

    Args:
        worker: The worker.
        unsettled: Its unsettled runs.
        reported_at: Monotonic time in seconds at which the last renewal that was
            answered with a report was sent.
        now: Monotonic time in seconds.
    """
    unacknowledged_ends = worker.last_end_number > worker.acknowledged
    if (
        unacknowledged_ends
        or not worker.clock_known()
        or worker.silent_since is not None
    ):
        return 0.0
    timeout_s = BUSY_POLL_TIMEOUT_S if worker.run_by_key else IDLE_POLL_TIMEOUT_S
    doubt_ends = [run.doubt_ends_at for run in worker.run_by_key.values()]
    doubt_ends += [settles_after(run) for run in unsettled]
    if any(reported_at <= end < now for end in doubt_ends if end > -math.inf):
        return max(0.0, reported_at + MIN_DOUBT_POLL_TIMEOUT_S - now)
    next_end = min((end for end in doubt_ends if end >= now), default=math.inf)
    return min(timeout_s, max(next_end - now, MIN_DOUBT_POLL_TIMEOUT_S))


def _are_all_held(worker: Worker, now: float) -> bool:
    """Returns whether a worker lists ends, none of which may be acknowledged yet."""
    has_unacknowledged = worker.last_end_number > worker.acknowledged
    return has_unacknowledged and worker.newest_free_end(now) <= worker.acknowledged


def _confirmed_end_number(worker: Worker) -> int:
    """Returns the number of the newest end that a worker may forget.

    A worker that has missed a renewal may have restarted. It would forget ends of its
    new incarnation that it has not reported.
    """
    return 0 if worker.silent_since is not None else worker.acknowledged
