"""The clients of a shard's workers and the curio tasks that run them."""

from collections.abc import Callable, Iterable

import curio

from arbutusladder.clock import Clock
from arbutusladder.events import TASK_FAILED
from arbutusladder.ids import TaskId, VmId
from arbutusladder.journal import Journal
from arbutusladder.leases import LeaseTable, WorkerState
from arbutusladder.messages import StartTask, TaskAction
from arbutusladder.metrics import Metrics
from arbutusladder.settings import Timing
from arbutusladder.workerclient import WorkerClient, WorkerListener

CLIENT_RESTART_S = 1.0


class WorkerClients:
    """Runs one client for each worker.

    Args:
        owner: Receives reports and failures.
        book: Leases of the shard.
        timing: Intervals.
        clock: Time.
        metrics: Counters.
        journal: Log of events.
        valid_until: Returns the monotonic end of the owner's validity.
    """

    def __init__(
        self,
        owner: WorkerListener,
        book: LeaseTable,
        timing: Timing,
        clock: Clock,
        metrics: Metrics,
        journal: Journal,
        valid_until: Callable[[], float],
    ):
        self._owner = owner
        self._book = book
        self._timing = timing
        self._clock = clock
        self._metrics = metrics
        self._journal = journal
        self._valid_until = valid_until
        self._clients: dict[VmId, WorkerClient] = {}
        self._tasks: dict[VmId, curio.Task] = {}
        self._touched: set[VmId] = set()

    def __contains__(self, vm: VmId) -> bool:
        return vm in self._clients

    async def sync_workers(self, workers: Iterable[WorkerState]) -> list[VmId]:
        """Starts clients of new workers and stops those of removed ones.

        Returns:
            Removed workers whose client has ended since the last call.
        """
        gone = []
        for worker in workers:
            vm = worker.vm
            if vm not in self._clients:
                if not worker.removed:
                    await self._start(worker)
                continue
            self._clients[vm].address = worker.record.address
            if worker.removed:
                await self._clients[vm].stop()
            if self._clients[vm].stopping and self._tasks[vm].terminated:
                await self._tasks[vm].join()
                del self._clients[vm], self._tasks[vm]
                gone.append(vm)
        return gone

    def start(self, vm: VmId, start: StartTask, urgent: bool) -> None:
        """Queues a start; call ``flush`` afterwards."""
        client = self._touch(vm)
        if client:
            client.start(start, urgent)

    def act(self, vm: VmId, action: TaskAction, urgent: bool) -> None:
        """Queues an action; call ``flush`` afterwards."""
        client = self._touch(vm)
        if client:
            client.act(action, urgent)

    def request_report(self, vm: VmId) -> None:
        """Asks for a report soon; call ``flush`` afterwards."""
        client = self._touch(vm)
        if client:
            client.request_report()

    def acknowledge(self, vm: VmId, task_id: TaskId) -> None:
        """Queues an acknowledgement; it goes with the next exchange."""
        if vm in self._clients:
            self._clients[vm].acknowledge(task_id)

    def withdraw(self, vm: VmId, task_id: TaskId) -> bool:
        """Returns whether a start was not sent yet, and removes it."""
        client = self._clients.get(vm)
        return client is not None and client.withdraw(task_id)

    def withdraw_starts(self, vm: VmId) -> list[TaskId]:
        """Removes and returns the starts for a worker that were not sent."""
        client = self._clients.get(vm)
        return client.withdraw_starts() if client else []

    async def flush(self) -> None:
        """Wakes the clients that have something new to send."""
        touched, self._touched = self._touched, set()
        for vm in touched:
            await self._clients[vm].wake()

    async def finish(self, limit: float) -> None:
        """Lets each client renew its leases a last time and end.

        Args:
            limit: Seconds to wait for all of them.
        """
        for client in self._clients.values():
            await client.finish()
        async with curio.ignore_after(limit):
            for task in self._tasks.values():
                await task.join()

    async def cancel(self) -> None:
        """Cancels all clients."""
        for task in self._tasks.values():
            await task.cancel()

    def _touch(self, vm: VmId) -> WorkerClient | None:
        client = self._clients.get(vm)
        if client:
            self._touched.add(vm)
        return client

    async def _start(self, worker: WorkerState) -> None:
        client = WorkerClient(
            worker.vm,
            worker.record.address,
            self._owner,
            self._book,
            self._timing,
            self._clock,
            self._metrics,
            self._valid_until,
        )
        self._clients[worker.vm] = client
        self._tasks[worker.vm] = await curio.spawn(self._run, client, daemon=True)

    async def _run(self, client: WorkerClient) -> None:
        while not client.stopping:
            try:
                await client.run()
            except Exception as error:
                self._journal.write(TASK_FAILED, task=client.vm, error=repr(error))
                self._metrics.count("worker.client_failures")
                await curio.sleep(CLIENT_RESTART_S)
