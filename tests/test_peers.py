"""Tests of the message transport between entry VMs."""

import time

import curio
import zmq

from arbutusladder.clock import Clock
from arbutusladder.messages import Acknowledgement, DrainVm
from arbutusladder.metrics import Metrics
from arbutusladder.peers import (
    MAX_MESSAGE_BYTES,
    MAX_QUEUED_MESSAGES,
    PeerLimits,
    PeerTransport,
)
from tests.platform.fakes import free_port, loopback_ip

WAIT_S = 5.0


async def call_until_answered(peers, seat):
    """Repeats a call while the connection is being opened."""
    for number in range(50):
        message = DrainVm(f"r{number}", "vm-1", True)
        answer = await peers.call(seat, message, 0.1)
        if answer:
            return answer
    return None


class TransportPair:
    """Transport ``a`` calls ``b``, which answers over a third transport."""

    def __init__(self):
        self.metrics = Metrics()
        self.b = PeerTransport("b", "127.0.0.1:0", {}, self.answer, Clock(), Metrics())
        self.a = PeerTransport(
            "a",
            "127.0.0.1:0",
            {"b": self.b.address},
            self.resolve_call,
            Clock(),
            self.metrics,
        )
        self.reply_transport = PeerTransport(
            "b2",
            "127.0.0.1:0",
            {"a": self.a.address},
            self.answer,
            Clock(),
            Metrics(),
        )
        self.answering = True
        self.answer_delay = 0.0
        self.ages = []

    async def answer(self, received):
        self.ages.append(received.age)
        await curio.sleep(self.answer_delay)
        if self.answering:
            reply = Acknowledgement(received.message.request_id, True)
            await self.reply_transport.send("a", reply)

    async def resolve_call(self, received):
        await self.a.resolve_call(received.message)

    async def run(self, scenario):
        async with curio.TaskGroup(wait=object) as group:
            for peers in (self.a, self.b, self.reply_transport):
                await group.spawn(peers.run)
            result = await curio.timeout_after(WAIT_S, scenario)
            await group.cancel_remaining()
        return result


class TestCall:
    """Guards against lost and late answers between entry VMs."""

    def test_answer_reaches_the_caller(self):
        pair = TransportPair()
        answer = curio.run(pair.run, lambda: call_until_answered(pair.a, "b"))
        assert answer.accepted

    def test_message_carries_its_age(self):
        pair = TransportPair()
        curio.run(pair.run, lambda: call_until_answered(pair.a, "b"))
        assert all(0 <= age < WAIT_S for age in pair.ages)

    def test_answer_that_arrived_during_a_pause_of_the_process_is_not_lost(self):
        pair = TransportPair()

        async def pause():
            await curio.sleep(0.02)
            # Blocks the process beyond the end of the call.
            time.sleep(0.5)

        async def scenario():
            await call_until_answered(pair.a, "b")
            await curio.spawn(pause, daemon=True)
            await curio.sleep(0.01)
            pair.answer_delay = 0.02
            return await pair.a.call("b", DrainVm("paused", "vm-1", True), 0.1)

        assert curio.run(pair.run, scenario) is not None
        assert pair.metrics.count_by_name["peers.own_pause"] == 1

    def test_call_without_answer_times_out(self):
        pair = TransportPair()
        pair.answering = False

        async def scenario():
            return await pair.a.call("b", DrainVm("r", "vm-1", True), 0.1)

        assert curio.run(pair.run, scenario) is None

    def test_message_to_unknown_seat_is_dropped_and_counted(self):
        pair = TransportPair()

        async def scenario():
            return await pair.a.send("nobody", DrainVm("r", "vm-1", True))

        assert curio.run(pair.run, scenario) is False
        assert pair.metrics.count_by_name["peers.dropped"] == 1

    def test_late_answer_is_dropped_and_counted(self):
        pair = TransportPair()

        async def scenario():
            return await pair.a.resolve_call(Acknowledgement("gone", True))

        assert curio.run(pair.run, scenario) is False
        assert pair.metrics.count_by_name["peers.late_answer"] == 1


class TestOrder:
    """Messages are sent directly or, until a peer is connected, by a task."""

    def test_messages_to_a_peer_that_connects_later_keep_their_order(self):
        """Guards against a message that overtakes those waiting for the connection."""

        async def main():
            numbers = []

            async def record(received):
                numbers.append(int(received.message.request_id))

            ip = loopback_ip(1)
            address = f"{ip}:{free_port(ip)}"
            sender = PeerTransport(
                "a", "127.0.0.1:0", {"b": address}, record, Clock(), Metrics()
            )
            tasks = [await curio.spawn(sender.run)]
            for number in range(150):
                if number == 10:
                    receiver = PeerTransport(
                        "b", address, {}, record, Clock(), Metrics()
                    )
                    tasks.append(await curio.spawn(receiver.run))
                await sender.broadcast(["b"], DrainVm(str(number), "vm-1", True))
                await curio.sleep(0.001)
            await curio.sleep(0.2)
            for task in tasks:
                await task.cancel()
            return numbers

        assert curio.run(main) == list(range(150))


class TestUnexpectedMessages:
    """Pattern: a message that no version of the code sends reaches an entry VM."""

    def test_failing_handler_does_not_stop_the_transport(self):
        """Guards against one message that ends the whole process."""
        pair = TransportPair()
        answer_message = pair.b._handler
        calls = []

        async def fail_first(received):
            calls.append(received)
            if len(calls) == 1:
                raise ValueError("unexpected content")
            await answer_message(received)

        pair.b._handler = fail_first
        failures = []
        pair.b._on_error = failures.append
        answer = curio.run(pair.run, lambda: call_until_answered(pair.a, "b"))
        assert answer.accepted
        assert [str(error) for error in failures] == ["unexpected content"]

    def test_peer_with_a_malformed_address_is_not_added(self):
        """Guards against an address in a hello that ends the whole process."""
        pair = TransportPair()

        async def scenario():
            connected = await pair.a.connect("c", "no address")
            sent = await pair.a.send("c", DrainVm("r", "vm-1", True))
            return connected, sent, await call_until_answered(pair.a, "b")

        connected, sent, answer = curio.run(pair.run, scenario)
        assert (connected, sent) == (False, False)
        assert answer.accepted


class TestLimits:
    """Guards against messages of other processes that end this one."""

    def test_unreadable_and_oversized_messages_are_dropped(self):
        pair = TransportPair()

        async def scenario():
            with zmq.Context() as context, context.socket(zmq.PUSH) as sock:
                sock.linger = 0
                sock.connect(f"tcp://{pair.b.address}")
                nested = b"\x91" * 200_000 + b"\x90"
                sock.send(b"\x94\xa1x\xcb" + bytes(8) + b"\xaaAdviceCall" + nested)
                sock.send(bytes(MAX_MESSAGE_BYTES + 1))
                for _ in range(20):
                    await curio.sleep(0.05)
                return await call_until_answered(pair.a, "b")

        assert curio.run(pair.run, scenario)

    def test_oversized_message_is_not_sent(self):
        metrics = Metrics()

        async def scenario():
            limits = PeerLimits(max_message_bytes=100)
            transport = PeerTransport(
                "c", "127.0.0.1:0", {}, None, Clock(), metrics, limits=limits
            )
            sent = await transport.send("a", DrainVm("r" * 200, "vm-1", True))
            transport._close()
            return sent

        assert not curio.run(scenario)
        assert metrics.count_by_name["peers.too_large"] == 1

    def test_peers_beyond_the_limit_are_not_connected(self):
        async def scenario():
            limits = PeerLimits(max_peers=1)
            transport = PeerTransport(
                "c", "127.0.0.1:0", {}, None, Clock(), Metrics(), limits=limits
            )
            found = [await transport.connect(s, "127.0.0.1:9") for s in ("a", "b")]
            await transport.disconnect("a")
            transport._close()
            return found

        assert curio.run(scenario) == [True, False]

    def test_waiting_messages_do_not_delay_other_tasks(self):
        """Guards against a process that does nothing but read while messages wait."""
        sent = 2 * MAX_QUEUED_MESSAGES
        metrics = Metrics()

        class JunkFrame(zmq.Frame):
            def get(self, option):
                return -1

        class FullQueue:
            remaining = sent

            def recv(self, flags, copy):
                if not self.remaining:
                    raise zmq.Again
                self.remaining -= 1
                return JunkFrame(b"x")

        async def main():
            transport = PeerTransport("c", "127.0.0.1:0", {}, None, Clock(), metrics)
            with transport._pull_socket:
                transport._pull_socket = FullQueue()
                task = await curio.spawn(transport._receive_pending)
                await curio.sleep(0)
                received_before_turn = metrics.count_by_name["peers.malformed"]
                await task.join()
            return received_before_turn

        assert curio.run(main) < MAX_QUEUED_MESSAGES
        assert metrics.count_by_name["peers.malformed"] == sent
