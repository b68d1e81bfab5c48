"""Renews the leases of workers, and takes what they report."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

from arbutusladder import events
from arbutusladder.cell.cellstate import CellState
from arbutusladder.cell.interfaces import OrderAnswer, WorkerReport
from arbutusladder.cell.logretry import retry_until_answered
from arbutusladder.cell.states import OrderOutcome
from arbutusladder.ids import VmId

if TYPE_CHECKING:
    from arbutusladder.cell.member import CellDependencies, Member
    from arbutusladder.cell.owner import Owner

# Seconds for which a renewal waits for an end on a worker with tasks.
BUSY_POLL_TIMEOUT_S = 0.6
IDLE_POLL_TIMEOUT_S = 2.0
# Seconds before a worker that did not answer is called again.
RETRY_DELAY_S = 0.2


class LeaseRenewer:
    """One task for each worker, which calls it over and over.

    Args:
        owner: The owner of the cell.
        state: Its jobs and workers.
        member: Entry VM that runs it.
        around: Workers and clocks.
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
        """Ends all tasks."""
        for task in self._task_by_vm.values():
            await task.cancel(blocking=False)

    async def start_renewals(self) -> None:
        """Starts to renew the leases of workers that have become known."""
        for vm in list(self._task_by_vm):
            if self._task_by_vm[vm].terminated:
                del self._task_by_vm[vm]
        for vm in self._state.worker_by_vm:
            if vm not in self._task_by_vm:
                task = await curio.spawn(self._renew_worker, vm, daemon=True)
                self._task_by_vm[vm] = task

    async def _renew_worker(self, vm: VmId) -> None:
        """Renews a worker's lease and takes its reports while it is known."""
        while not self._owner.ended:
            worker = self._state.worker_by_vm.get(vm)
            if worker is None:
                return
            sent_at = self._clock.now()
            has_unacknowledged_ends = worker.last_end_number > worker.acknowledged
            wait = BUSY_POLL_TIMEOUT_S if worker.run_by_key else IDLE_POLL_TIMEOUT_S
            if (
                has_unacknowledged_ends
                or not worker.clock_known()
                or worker.silent_since is not None
            ):
                wait = 0.0
            lease_end = worker.lease_end(sent_at, self._owner.lease_s)
            answer = await self._dependencies.orders.renew(
                worker.entry, self._owner.epoch, worker.acknowledged, lease_end, wait
            )
            await self._handle_answer(vm, answer, sent_at)
            if isinstance(answer, OrderAnswer):
                await curio.sleep(RETRY_DELAY_S)

    async def _handle_answer(
        self, vm: VmId, answer: WorkerReport | OrderAnswer, sent_at: float
    ) -> None:
        if isinstance(answer, WorkerReport):
            await self._read_missing_jobs(answer)
        now = self._clock.now()
        match answer:
            case WorkerReport():
                worker = self._state.worker_by_vm.get(vm)
                if worker and worker.silent_since is not None:
                    self._dependencies.journal.write(events.WORKER_ANSWERS, worker=vm)
                highest = self._state.report(vm, answer, sent_at, now)
                await self._owner.request_decisions()
                worker = self._state.worker_by_vm.get(vm)
                if worker and highest > worker.acknowledged:
                    await self._acknowledge(vm, highest)
            case OrderAnswer(outcome=OrderOutcome.FENCED):
                await self._owner.end_ownership("a worker has seen a higher epoch")
            case OrderAnswer(outcome=OrderOutcome.WORKER_REPLACED):
                self._state.remove_replaced_worker(vm)
            case _:
                worker = self._state.worker_by_vm.get(vm)
                if worker:
                    if worker.silent_since is None:
                        self._dependencies.journal.write(
                            events.WORKER_SILENT, worker=vm, error=answer.outcome.value
                        )
                    worker.unanswered(sent_at)

    async def _read_missing_jobs(self, report: WorkerReport) -> None:
        """Reads the jobs that a predecessor started and this owner has not read.

        Without them the report's ends would be forgotten, and its running tasks
        would count as needing nothing.
        """
        tasks = [row.task for row in (*report.running, *report.ended)]
        if not self._member.table.has_jobs_of_tasks(tasks):
            await retry_until_answered(self._member.read_jobs)

    async def _acknowledge(self, vm: VmId, highest: int) -> None:
        """Lets a worker forget ends once what they changed is stored."""
        await self._owner.flush()
        async with curio.ignore_after(BUSY_POLL_TIMEOUT_S):
            await self._owner.writer.wait_until_stored(bool(self._state.changes.dirty))
            worker = self._state.worker_by_vm.get(vm)
            if worker:
                worker.acknowledged = max(worker.acknowledged, highest)
