"""Clients of a shard's workers.

`WorkerClients` owns one client for each worker and the curio task that runs it.
"""

from collections.abc import Callable, Iterable

import curio

from arbutusladder.clock import Clock
from arbutusladder.events import BACKGROUND_TASK_FAILED
from arbutusladder.ids import TaskId, VmId
from arbutusladder.journal import Journal
from arbutusladder.leases import LeaseTable, WorkerState
from arbutusladder.messages import StartTask, TaskAction
from arbutusladder.metrics import Metrics
from arbutusladder.settings import Timing
from arbutusladder.workerclient import WorkerClient, WorkerListener

# Seconds before a client whose task failed runs again.
CLIENT_RESTART_DELAY_S = 1.0


class WorkerClients:
    """Runs one client for each worker.

    Args:
        listener: Receives reports and failures.
        lease_table: Leases of the shard.
        timing: Intervals.
        clock: Monotonic and wall-clock time.
        metrics: Counters.
        journal: Event log.
        valid_until: Returns the monotonic time in seconds until which this process
            owns the shard.
    """

    def __init__(
        self,
        listener: WorkerListener,
        lease_table: LeaseTable,
        timing: Timing,
        clock: Clock,
        metrics: Metrics,
        journal: Journal,
        valid_until: Callable[[], float],
    ):
        self._listener = listener
        self._lease_table = lease_table
        self._timing = timing
        self._clock = clock
        self._metrics = metrics
        self._journal = journal
        self._valid_until = valid_until
        self._clients: dict[VmId, WorkerClient] = {}
        self._tasks: dict[VmId, curio.Task] = {}
        self._updated_vms: set[VmId] = set()

    def __contains__(self, vm: VmId) -> bool:
        return vm in self._clients

    async def sync_workers(self, workers: Iterable[WorkerState]) -> list[VmId]:
        """Starts clients of new workers and stops those of removed ones.

        Returns:
            Removed workers whose client has stopped since the last call.
        """
        removed_vms = []
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
                removed_vms.append(vm)
        return removed_vms

    def start(self, vm: VmId, start: StartTask, urgent: bool) -> None:
        """Queues a start; call ``flush`` afterwards."""
        client = self._client_to_update(vm)
        if client:
            client.start(start, urgent)

    def act(self, vm: VmId, action: TaskAction, urgent: bool) -> None:
        """Queues an action; call ``flush`` afterwards."""
        client = self._client_to_update(vm)
        if client:
            client.act(action, urgent)

    def request_report(self, vm: VmId) -> None:
        """Requests an early report; call ``flush`` afterwards."""
        client = self._client_to_update(vm)
        if client:
            client.request_report()

    def acknowledge(self, vm: VmId, task_id: TaskId) -> None:
        """Queues an acknowledgement; it is sent with the next exchange."""
        if vm in self._clients:
            self._clients[vm].acknowledge(task_id)

    def withdraw(self, vm: VmId, task_id: TaskId) -> bool:
        """Removes a start that was not sent yet; returns whether there was one."""
        client = self._clients.get(vm)
        return client is not None and client.withdraw(task_id)

    def withdraw_starts(self, vm: VmId) -> list[TaskId]:
        """Removes a worker's starts that were not sent and returns their tasks."""
        client = self._clients.get(vm)
        return client.withdraw_starts() if client else []

    async def flush(self) -> None:
        """Wakes the clients for which work was queued since the last call."""
        updated_vms, self._updated_vms = self._updated_vms, set()
        for vm in updated_vms:
            await self._clients[vm].wake()

    async def finish(self, limit: float) -> None:
        """Lets each client send a last exchange and stop.

        Args:
            limit: Longest time in seconds to wait for all clients.
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

    def _client_to_update(self, vm: VmId) -> WorkerClient | None:
        client = self._clients.get(vm)
        if client:
            self._updated_vms.add(vm)
        return client

    async def _start(self, worker: WorkerState) -> None:
        client = WorkerClient(
            worker.vm,
            worker.record.address,
            self._listener,
            self._lease_table,
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
                self._journal.write(
                    BACKGROUND_TASK_FAILED, task=client.vm, error=repr(error)
                )
                self._metrics.count("worker.client_failures")
                await curio.sleep(CLIENT_RESTART_DELAY_S)
