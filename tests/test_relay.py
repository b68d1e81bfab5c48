"""Tests that each fault of the relay does what the plays rely on."""

import curio
import pytest

from arbutusladder.httpclient import split_address
from tests.platform.fakes import free_port, loopback_ip
from tests.relay import Route

PATIENCE_S = 0.3
ANSWER = b"answer to "


class RelayHarness:
    """A server that answers each request, behind a route.

    Attributes:
        route: The route.
        received: What the server has received.
    """

    def __init__(self):
        ip = loopback_ip(1)
        server, self.listen = (f"{ip}:{free_port(ip)}" for _ in range(2))
        self._server_address = split_address(server)
        self.route = Route(self.listen, server)
        self.received: list[bytes] = []
        self._tasks: list[curio.Task] = []

    async def __aenter__(self):
        server = curio.tcp_server
        self._tasks.append(
            await curio.spawn(server, *self._server_address, self._serve)
        )
        self._tasks.append(await curio.spawn(self.route.run))
        await curio.sleep(0.05)
        return self

    async def __aexit__(self, *_error):
        for task in self._tasks:
            await task.cancel()

    async def connect(self):
        """Returns a connection through the route."""
        return await curio.open_connection(*split_address(self.listen))

    async def _serve(self, client, _address):
        while data := await client.recv(1000):
            self.received.append(data)
            await client.sendall(ANSWER + data)


async def ask(sock, request):
    """Returns the answer to a request; None without any in time."""
    await sock.sendall(request)
    return await curio.ignore_after(PATIENCE_S, sock.recv, 1000)


def play(scenario):
    """Runs a scenario with a harness of its own."""

    async def run():
        async with RelayHarness() as harness:
            await scenario(harness)

    curio.run(run)


class TestRoute:
    """Each test plays one fault and its end."""

    def test_without_fault(self):
        """Guards against a relay that changes what it forwards."""

        async def scenario(harness):
            async with await harness.connect() as sock:
                assert await ask(sock, b"one") == ANSWER + b"one"
                assert await ask(sock, b"two") == ANSWER + b"two"

        play(scenario)

    def test_cut(self):
        """Guards against a cut that lets calls pass, or one that never ends."""

        async def scenario(harness):
            async with await harness.connect() as old:
                assert await ask(old, b"one")
                harness.route.set_fault(cut=True, silent=False)
                assert await ask(old, b"two") is None
                async with await harness.connect() as new:
                    assert await ask(new, b"three") is None
                harness.route.set_fault(cut=False, silent=False)
                assert await ask(old, b"four") is None
                async with await harness.connect() as new:
                    assert await ask(new, b"five") == ANSWER + b"five"
            assert harness.received == [b"one", b"five"]

        play(scenario)

    def test_lost_answers(self):
        """Guards against a one-way cut that stops requests, or that tears answers."""

        async def scenario(harness):
            harness.route.loses_answers = True
            async with await harness.connect() as old:
                assert await ask(old, b"one") is None
                harness.route.loses_answers = False
                assert await ask(old, b"two") is None
                async with await harness.connect() as new:
                    assert await ask(new, b"three") == ANSWER + b"three"
            assert harness.received == [b"one", b"two", b"three"]

        play(scenario)

    def test_lost_requests(self):
        """Guards against silent reads that also stop appends."""

        async def scenario(harness):
            harness.route.lost_request = b"read"
            async with (
                await harness.connect() as sock,
                await harness.connect() as other,
            ):
                assert await ask(sock, b"append") == ANSWER + b"append"
                assert await ask(sock, b"read") is None
                assert await ask(sock, b"append") is None
                assert await ask(other, b"append") == ANSWER + b"append"
                harness.route.lost_request = None
                assert await ask(other, b"read") == ANSWER + b"read"

        play(scenario)

    def test_reset(self):
        """Guards against a reset that the client takes for an orderly end."""

        async def scenario(harness):
            async with await harness.connect() as sock:
                assert await ask(sock, b"one")
                await harness.route.reset()
                with pytest.raises(ConnectionResetError):
                    await ask(sock, b"two")
            async with await harness.connect() as sock:
                assert await ask(sock, b"three") == ANSWER + b"three"

        play(scenario)

    def test_delay(self, monkeypatch):
        """Guards against a slow route that answers at once."""
        monkeypatch.setattr("tests.relay.random.uniform", lambda _, longest: longest)

        async def scenario(harness):
            harness.route.answer_delay_s = 0.1
            async with await harness.connect() as sock:
                started_at = await curio.clock()
                assert await ask(sock, b"one") == ANSWER + b"one"
                assert await curio.clock() >= started_at + 0.1

        play(scenario)
