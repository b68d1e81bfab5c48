"""Tests of the exchanges with one worker."""

import time

import curio
from curio.network import tcp_server_socket

from arbutusladder.clock import Clock
from arbutusladder.fakeworker import FakeWorker, FakeWorkerServer
from arbutusladder.leases import LeaseTable, LeaseTerms
from arbutusladder.messages import Resources, StartTask, TaskAction
from arbutusladder.metrics import Metrics
from arbutusladder.settings import Timing
from arbutusladder.states import TaskActionKind
from arbutusladder.workerclient import WorkerClient
from tests.virtualtime import run_in_virtual_time


class RecordingListener:
    """Records the reports and failures of a client."""

    def __init__(self):
        self.reports = []
        self.failures = []

    async def worker_reported(self, vm, sent, sent_at, report):
        self.reports.append((time.monotonic(), sent, report))

    async def worker_failed(self, vm, sent, error):
        self.failures.append((time.monotonic(), sent, error.reason))


def new_client(address, listener, valid_until=lambda: time.monotonic() + 3.0):
    lease_table = LeaseTable(LeaseTerms(30.0, 0.25))
    client = WorkerClient(
        "w", address, listener, lease_table, Timing(), Clock(), Metrics(), valid_until
    )
    client.lease_table = lease_table
    return client


def start_task(number):
    return StartTask(f"j/{number}", "j", 0.0, Resources(0.01, 1), command="run=60")


def run_with_worker(test):
    async def main():
        worker = FakeWorker("w", Resources(64, 1000))
        server = FakeWorkerServer(worker)
        serving = await curio.spawn(server.run, daemon=True)
        try:
            return await test(server.address, worker)
        finally:
            await serving.cancel()

    return run_in_virtual_time(main)


class TestExchangeInterval:
    """Guards against one exchange per start, and against delayed starts."""

    def test_urgent_starts_share_exchanges_20_ms_apart(self):
        async def test(address, worker):
            listener = RecordingListener()
            client = new_client(address, listener)
            running = await curio.spawn(client.run, daemon=True)
            for number in range(60):
                client.start(start_task(number), urgent=True)
                await client.wake()
                await curio.sleep(0.005)
            await curio.sleep(0.1)
            await running.cancel()
            return listener.reports, len(worker.running)

        reports, running = run_with_worker(test)
        assert running == 60
        span = reports[-1][0] - reports[0][0]
        assert len(reports) <= span / 0.02 + 2

    def test_idle_worker_reports_every_2_s(self):
        async def test(address, worker):
            listener = RecordingListener()
            running = await curio.spawn(new_client(address, listener).run, daemon=True)
            await curio.sleep(2.3)
            await running.cancel()
            return len(listener.reports)

        assert run_with_worker(test) == 2

    def test_end_after_a_checkpoint_is_reported_soon(self):
        async def test(address, worker):
            listener = RecordingListener()
            client = new_client(address, listener)
            running = await curio.spawn(client.run, daemon=True)
            client.start(start_task(0))
            await curio.sleep(0.2)
            client.act(TaskAction("j/0", TaskActionKind.CHECKPOINT), urgent=True)
            await client.wake()
            await curio.sleep(0.4)
            await running.cancel()
            return listener.reports[-1][2].ended

        assert len(run_with_worker(test)) == 1


class TestOwnershipExpiry:
    """Guards against sends by an owner whose ownership has expired."""

    def test_nothing_is_sent_without_ownership(self):
        async def test(address, worker):
            listener = RecordingListener()
            client = new_client(address, listener, valid_until=lambda: 0.0)
            client.start(start_task(0))
            await client.exchange()
            return listener.reports, worker.record.exchanges, client.withdraw_starts()

        assert run_with_worker(test) == ([], 0, ["j/0"])

    def test_nothing_is_sent_if_ownership_expires_while_the_exchange_is_built(self):
        async def test(address, worker):
            # Ownership is valid until the leases are granted, and expired at the last
            # check.
            times = iter([10.0, 10.0, -1.0])
            listener = RecordingListener()
            client = new_client(
                address, listener, lambda: time.monotonic() + next(times, -1.0)
            )
            client.start(start_task(0))
            await client.exchange()
            return worker.record.exchanges, client.withdraw_starts()

        assert run_with_worker(test) == (0, ["j/0"])


class TestSilentConnection:
    """Guards against a worker that counts as failed because one connection stalls."""

    def test_connection_is_replaced_within_1_s_and_no_start_is_repeated(self):
        async def test(address, worker):
            listener = RecordingListener()
            proxy = ProxyWithSilentFirstConnection(address)
            serving = await curio.spawn(proxy.run, daemon=True)
            client = new_client(proxy.address, listener)
            client.start(start_task(0))
            started_at = time.monotonic()
            running = await curio.spawn(client.run, daemon=True)
            await curio.sleep(1.3)
            await running.cancel()
            await serving.cancel()
            return (
                listener.reports[0][0] - started_at,
                listener.failures,
                listener.reports,
            )

        waited, failures, reports = run_with_worker(test)
        assert waited < 1.0
        assert [start.task_id for start in failures[0][1].starts] == ["j/0"]
        assert all(not sent.starts for _, sent, _ in reports)

    def test_worker_that_does_not_answer_gets_no_more_renewals(self):
        async def test(address, worker):
            worker.faults.frozen = True
            listener = RecordingListener()
            client = new_client(address, listener)
            client.lease_table.adopt("j/0", "w", time.monotonic() + 1, time.monotonic())
            running = await curio.spawn(client.run, daemon=True)
            await curio.sleep(2.0)
            await running.cancel()
            return [len(sent.renewals) for _, sent, _ in listener.failures]

        assert run_with_worker(test) == [1, 0]


class ProxyWithSilentFirstConnection:
    """TCP proxy that does not answer on its first connection."""

    def __init__(self, target):
        self._target = target
        self._sock = tcp_server_socket("127.0.0.1", 0)
        self.address = "{}:{}".format(*self._sock.getsockname())

    async def run(self):
        first = True
        async with self._sock:
            while True:
                client, _ = await self._sock.accept()
                if not first:
                    await curio.spawn(self._serve, client, daemon=True)
                first = False

    async def _serve(self, client):
        host, port = self._target.split(":")
        async with client, await curio.open_connection(host, int(port)) as server:
            while data := await client.recv(65536):
                await server.sendall(data)
                await client.sendall(await server.recv(65536))


class TestCompression:
    """Guards against uncompressed reports, whose size grows with the running tasks."""

    def test_report_of_many_tasks_is_compressed(self):
        async def test(address, worker):
            listener = RecordingListener()
            client = new_client(address, listener)
            for number in range(100):
                client.start(start_task(number))
            await client.exchange()
            before = client._metrics.count_by_name["worker.bytes"]
            await client.exchange()
            await client.stop()
            used = client._metrics.count_by_name["worker.bytes"] - before
            return used, listener.reports[-1][2]

        used, report = run_with_worker(test)
        assert len(report.tasks) == 100
        # 23 KB/s for 290 tasks with an exchange every 2 s is 158 bytes per task.
        assert used < 100 * 158 / 2
