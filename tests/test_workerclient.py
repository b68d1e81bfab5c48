"""Tests of the exchange with one worker."""

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


class RecordingOwner:
    """Keeps what a client tells it."""

    def __init__(self):
        self.reports = []
        self.failures = []

    async def worker_reported(self, vm, sent, sent_at, report):
        self.reports.append((time.monotonic(), sent, report))

    async def worker_failed(self, vm, sent, error):
        self.failures.append((time.monotonic(), sent, error.reason))


def new_client(address, owner, valid_until=lambda: time.monotonic() + 3.0):
    book = LeaseTable(LeaseTerms(30.0, 0.25))
    client = WorkerClient(
        "w", address, owner, book, Timing(), Clock(), Metrics(), valid_until
    )
    client.book = book
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

    return curio.run(main)


class TestPace:
    """Guards against an exchange per start, and against starts that wait."""

    def test_urgent_starts_share_exchanges_20_ms_apart(self):
        async def test(address, worker):
            owner = RecordingOwner()
            client = new_client(address, owner)
            running = await curio.spawn(client.run, daemon=True)
            for number in range(60):
                client.start(start_task(number), urgent=True)
                await client.wake()
                await curio.sleep(0.005)
            await curio.sleep(0.1)
            await running.cancel()
            return owner.reports, len(worker.running)

        reports, running = run_with_worker(test)
        assert running == 60
        span = reports[-1][0] - reports[0][0]
        assert len(reports) <= span / 0.02 + 2

    def test_idle_worker_is_asked_every_2_s(self):
        async def test(address, worker):
            owner = RecordingOwner()
            running = await curio.spawn(new_client(address, owner).run, daemon=True)
            await curio.sleep(2.3)
            await running.cancel()
            return len(owner.reports)

        assert run_with_worker(test) == 2

    def test_end_after_a_checkpoint_is_seen_soon(self):
        async def test(address, worker):
            owner = RecordingOwner()
            client = new_client(address, owner)
            running = await curio.spawn(client.run, daemon=True)
            client.start(start_task(0))
            await curio.sleep(0.2)
            client.act(TaskAction("j/0", TaskActionKind.CHECKPOINT), urgent=True)
            await client.wake()
            await curio.sleep(0.4)
            await running.cancel()
            return owner.reports[-1][2].ended

        assert len(run_with_worker(test)) == 1


class TestValidity:
    """Guards against sends by an owner whose time has ended."""

    def test_nothing_is_sent_without_validity(self):
        async def test(address, worker):
            owner = RecordingOwner()
            client = new_client(address, owner, valid_until=lambda: 0.0)
            client.start(start_task(0))
            await client.exchange()
            return owner.reports, worker.record.exchanges, client.withdraw_starts()

        assert run_with_worker(test) == ([], 0, ["j/0"])

    def test_validity_that_ends_while_the_exchange_is_built(self):
        async def test(address, worker):
            # Valid until the leases are granted, over at the last check.
            times = iter([10.0, 10.0, -1.0])
            owner = RecordingOwner()
            client = new_client(
                address, owner, lambda: time.monotonic() + next(times, -1.0)
            )
            client.start(start_task(0))
            await client.exchange()
            return worker.record.exchanges, client.withdraw_starts()

        assert run_with_worker(test) == (0, ["j/0"])


class TestSilentConnection:
    """Guards against a worker that is lost with one of its connections."""

    def test_is_replaced_within_1_s_and_no_start_is_repeated(self):
        async def test(address, worker):
            owner = RecordingOwner()
            proxy = FirstConnectionSilent(address)
            serving = await curio.spawn(proxy.run, daemon=True)
            client = new_client(proxy.address, owner)
            client.start(start_task(0))
            began = time.monotonic()
            running = await curio.spawn(client.run, daemon=True)
            await curio.sleep(1.3)
            await running.cancel()
            await serving.cancel()
            return owner.reports[0][0] - began, owner.failures, owner.reports

        waited, failures, reports = run_with_worker(test)
        assert waited < 1.0
        assert [start.task_id for start in failures[0][1].starts] == ["j/0"]
        assert all(not sent.starts for _, sent, _ in reports)

    def test_worker_that_only_receives_gets_no_more_renewals(self):
        async def test(address, worker):
            worker.faults.frozen = True
            owner = RecordingOwner()
            client = new_client(address, owner)
            client.book.adopt("j/0", "w", time.monotonic() + 1, time.monotonic())
            running = await curio.spawn(client.run, daemon=True)
            await curio.sleep(2.0)
            await running.cancel()
            return [len(sent.renewals) for _, sent, _ in owner.failures]

        assert run_with_worker(test) == [1, 0]


class FirstConnectionSilent:
    """Passes connections on, except that the first gets no answer."""

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


class TestCoding:
    """Guards against reports whose bytes grow with every running task."""

    def test_report_of_many_tasks_is_compressed(self):
        async def test(address, worker):
            owner = RecordingOwner()
            client = new_client(address, owner)
            for number in range(100):
                client.start(start_task(number))
            await client.exchange()
            before = client._metrics.count_by_name["worker.bytes"]
            await client.exchange()
            await client.stop()
            used = client._metrics.count_by_name["worker.bytes"] - before
            return used, owner.reports[-1][2]

        used, report = run_with_worker(test)
        assert len(report.tasks) == 100
        # 23 KB/s for 290 tasks with an exchange every 2 s is 158 bytes a task.
        assert used < 100 * 158 / 2
