"""Tests of calls to workers by a process that is paused before it sends them."""

import time

import curio
import pytest
from curio import socket

from arbutusladder.cell.interfaces import OrderAnswer, StartOrder
from arbutusladder.cell.runs import MAX_SEND_DELAY_S
from arbutusladder.cell.states import OrderOutcome
from arbutusladder.clock import Clock
from arbutusladder.httppool import HttpConnectionPool
from arbutusladder.metrics import Metrics
from arbutusladder.platform.workers import PlatformWorkerClient
from tests.cell import workloads
from tests.virtualtime import run_in_virtual_time

PAUSE_S = 20.0
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n" + b'{"clock-ms":1}'
NOT_SENT = OrderAnswer(OrderOutcome.NOT_SENT)
ORDER = StartOrder("", f"{workloads.job_id(1)}.0.0.0", 1, "payload", "", "")


class Worker:
    """Answers calls on real sockets.

    Attributes:
        address: Its address.
        calls: Numbers of bytes of the calls that it has received.
    """

    def __init__(self):
        self._listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._listener.bind(("127.0.0.1", 0))
        # One connection that is not accepted fills the queue; others get no answer.
        self._listener.listen(0)
        self.address = "{}:{}".format(*self._listener.getsockname())
        self.calls = []

    async def fill_queue(self):
        """Makes further connections wait until the first one is accepted."""
        self._first = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        await self._first.connect(self._listener.getsockname())

    async def serve(self):
        """Accepts connections until cancelled."""
        while True:
            connection, _ = await self._listener.accept()
            await curio.spawn(self._answer, connection, daemon=True)

    async def _answer(self, connection):
        async with connection:
            while data := await connection.recv(65536):
                self.calls.append(len(data))
                await connection.sendall(ANSWER)


async def send_start(client, entry, send_by):
    """Sends an order to start a run."""
    return await client.start(entry, ORDER, 1, 10.0, send_by)


async def send_renewal(client, entry, send_by):
    """Sends a renewal with a lease."""
    return await client.renew(entry, 1, 0, 10.0, 0.0, send_by)


@pytest.mark.parametrize("send", [send_start, send_renewal])
class TestPausedProcess:
    """Pattern: a process is paused after it has noted a call, and before its bytes.

    The owner counts from the note how long the call may be executed.
    """

    def play(self, scenario, send):
        """Runs a scenario with a worker and a function that calls it."""

        async def main():
            worker = Worker()
            client = PlatformWorkerClient(HttpConnectionPool(Clock()), Metrics())
            entry = workloads.workers()[0]
            object.__setattr__(entry, "address", worker.address)

            async def call(pause_s=0.0):
                send_by = Clock().now_with_suspensions() + MAX_SEND_DELAY_S
                time.sleep(pause_s)
                return await send(client, entry, send_by)

            await scenario(worker, call)
            return worker

        return run_in_virtual_time(main)

    def test_call_is_not_sent_on_a_connection_that_opened_meanwhile(self, send):
        """Guards against an order that is executed when its doubt has ended."""

        async def scenario(worker, call):
            async def pause():
                time.sleep(PAUSE_S)

            await curio.spawn(worker.serve, daemon=True)
            await curio.spawn(pause, daemon=True)
            assert await call() == NOT_SENT
            await curio.sleep(1.0)

        assert self.play(scenario, send).calls == []

    def test_call_is_not_sent_on_a_second_connection(self, send):
        """Guards against the repeated connect of a client that was paused."""

        async def scenario(worker, call):
            async def pause():
                await curio.sleep(MAX_SEND_DELAY_S / 2)
                time.sleep(PAUSE_S)
                await worker.serve()

            await worker.fill_queue()
            await curio.spawn(pause, daemon=True)
            assert await call() == NOT_SENT
            await curio.sleep(1.0)

        assert self.play(scenario, send).calls == []

    @pytest.mark.parametrize("calls_before", [0, 1])
    def test_call_is_not_sent_after_a_pause_before_the_client(self, send, calls_before):
        """Guards against a pause between the check of the permission and the call."""

        async def scenario(worker, call):
            await curio.spawn(worker.serve, daemon=True)
            for _ in range(calls_before):
                await call()
            assert await call(PAUSE_S) == NOT_SENT
            await curio.sleep(1.0)

        assert len(self.play(scenario, send).calls) == calls_before

    def test_call_in_time_is_sent(self, send):
        """Guards against calls that are given up although they are in time."""

        async def scenario(worker, call):
            await curio.spawn(worker.serve, daemon=True)
            for pause_s in 0.0, MAX_SEND_DELAY_S / 2:
                assert await call(pause_s) != NOT_SENT

        assert len(self.play(scenario, send).calls) == 2
