"""Transport between entry VMs on pyzmq.

One task owns the receiving socket, and one task for each peer owns the sending
socket to it. Messages to a peer that is not connected are dropped and counted:
senders have timeouts, and a message that waits for a connection would arrive
too late.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import curio
import zmq
from curio.traps import _read_wait

from arbutusladder import codec
from arbutusladder.clock import LATE_ANSWER_GRACE_S, TIMER_PAUSE_THRESHOLD_S, Clock
from arbutusladder.errors import ProtocolError
from arbutusladder.ids import RequestId, SeatId
from arbutusladder.metrics import Metrics

ZMQ_HEARTBEAT_MS = 500
ZMQ_HEARTBEAT_TIMEOUT_MS = 1500
RECONNECT_MS = 100
RECONNECT_MAX_MS = 1000
SEND_QUEUE_LENGTH = 2000
# Seconds after a connect during which the first messages wait for the connection:
# several ways between failure domains.
CONNECT_GRACE_S = 0.2
CONNECT_POLL_S = 0.01
LINGER_MS = 200


@dataclass
class ReceivedMessage:
    """A message from another entry VM.

    Attributes:
        sender: Seat of the sender.
        age: Seconds between send and receipt by the two wall clocks.
        message: Decoded message.
    """

    sender: SeatId
    age: float
    message: Any


MessageHandler = Callable[[ReceivedMessage], Awaitable[None]]


class PeerTransport:
    """Sends messages to seats and passes received ones on.

    Args:
        seat: Seat of this process.
        listen: Address and port to bind.
        address_by_seat: Addresses of all other seats.
        receiver: Coroutine function that takes each message; it must not
            wait for long.
        clock: Clock of this process.
        metrics: Counters.
    """

    def __init__(
        self,
        seat: SeatId,
        listen: str,
        address_by_seat: dict[SeatId, str],
        receiver: MessageHandler,
        clock: Clock,
        metrics: Metrics,
    ):
        self._seat = seat
        self._receiver = receiver
        self._clock = clock
        self._metrics = metrics
        self._context = zmq.Context(io_threads=1)
        self._inbound = _bind(self._context, listen)
        self.address = self._inbound.getsockopt_string(zmq.LAST_ENDPOINT)[6:]
        self._queue_by_seat: dict[SeatId, curio.Queue] = {}
        self._outbound_by_seat: dict[SeatId, zmq.Socket] = {}
        self._address_by_seat: dict[SeatId, str] = {}
        self._sender_by_seat: dict[SeatId, curio.Task] = {}
        for peer, address in address_by_seat.items():
            self._add(peer, address)
        self._reply_by_id: dict[RequestId, curio.Result] = {}
        self._abandonable_by_seat: dict[SeatId, dict[RequestId, curio.Result]] = {}

    async def run(self) -> None:
        """Receives and sends until cancelled."""
        try:
            async with curio.TaskGroup() as group:
                await group.spawn(self._receive)
                for peer in self._outbound_by_seat:
                    await group.spawn(self._send_to, peer)
        finally:
            for sender in self._sender_by_seat.values():
                await sender.cancel()
            self._close()

    async def connect(self, seat: SeatId, address: str) -> None:
        """Adds a peer, or moves it to another address.

        Messages that wait for the old address are dropped.
        """
        if self._address_by_seat.get(seat) == address:
            return
        await self.disconnect(seat)
        self._add(seat, address)
        sender = await curio.spawn(self._send_to, seat, daemon=True)
        self._sender_by_seat[seat] = sender

    async def disconnect(self, seat: SeatId) -> None:
        """Removes a peer that was added by `connect`."""
        sender = self._sender_by_seat.pop(seat, None)
        if sender is None:
            return
        await sender.cancel()
        self._outbound_by_seat.pop(seat).close(linger=0)
        del self._queue_by_seat[seat], self._address_by_seat[seat]

    async def send(self, seat: SeatId, message: Any) -> bool:
        """Queues a message.

        Returns:
            Whether the message was queued; it may still be lost.
        """
        queue = self._queue_by_seat.get(seat)
        if queue is None or queue.full():
            self._metrics.count("peers.dropped")
            return False
        await queue.put((self._clock.wall(), message))
        return True

    async def call(
        self, seat: SeatId, message: Any, timeout: float, cancellable: bool = False
    ) -> Any | None:
        """Sends a message with a request id and waits for the answer.

        Args:
            seat: Receiver.
            message: Message with a ``request_id``.
            timeout: Seconds to wait.
            abandonable: Whether `abandon` may end the wait, because the request
                can be sent again.

        Returns:
            The answer, or None when none came in time.
        """
        reply = curio.Result()
        self._reply_by_id[message.request_id] = reply
        if cancellable:
            waiting = self._abandonable_by_seat.setdefault(seat, {})
            waiting[message.request_id] = reply
        try:
            if not await self.send(seat, message):
                return None
            return await self._wait(reply, timeout)
        finally:
            self._reply_by_id.pop(message.request_id, None)
            if cancellable:
                del self._abandonable_by_seat[seat][message.request_id]

    async def _wait(self, reply: curio.Result, timeout: float) -> Any | None:
        due_at = self._clock.now() + timeout
        try:
            async with curio.timeout_after(timeout):
                return await reply.unwrap()
        except curio.TaskTimeout:
            if self._clock.now() - due_at <= TIMER_PAUSE_THRESHOLD_S:
                return None
        # This process stood still: the answer may wait in its own socket.
        self._metrics.count("peers.own_pause")
        async with curio.ignore_after(LATE_ANSWER_GRACE_S):
            return await reply.unwrap()
        return None

    async def cancel_calls(self, seat: SeatId) -> None:
        """Ends the waits for a silent seat that may be ended."""
        for reply in list(self._abandonable_by_seat.get(seat, {}).values()):
            if not reply.is_set():
                self._metrics.count("peers.abandoned")
                await reply.set_value(None)

    async def resolve_call(self, message: Any) -> bool:
        """Passes an answer to the task that waits for it.

        Returns:
            Whether a task waited for it; late answers are dropped.
        """
        reply = self._reply_by_id.get(message.request_id)
        if reply is None or reply.is_set():
            self._metrics.count("peers.late_answer")
            return False
        await reply.set_value(message)
        return True

    async def _receive(self) -> None:
        descriptor = self._inbound.getsockopt(zmq.FD)
        while True:
            await self._drain()
            # The descriptor is edge triggered: wait only after EAGAIN, and look
            # once more because the edge may have come in between.
            if not self._inbound.getsockopt(zmq.EVENTS) & zmq.POLLIN:
                await _read_wait(descriptor)

    async def _drain(self) -> None:
        while True:
            try:
                data = self._inbound.recv(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._metrics.count("peers.received_bytes", len(data))
            try:
                received = self._decode(data)
            except ProtocolError:
                self._metrics.count("peers.malformed")
                continue
            await self._receiver(received)

    def _add(self, peer: SeatId, address: str) -> None:
        self._address_by_seat[peer] = address
        self._queue_by_seat[peer] = curio.Queue(maxsize=SEND_QUEUE_LENGTH)
        self._outbound_by_seat[peer] = _connect(self._context, address)

    def _decode(self, data: bytes) -> ReceivedMessage:
        sender, sent_at, message = codec.unpack_envelope(data)
        age = max(0.0, self._clock.wall() - sent_at)
        return ReceivedMessage(SeatId(sender), age, message)

    async def _send_to(self, peer: SeatId) -> None:
        queue = self._queue_by_seat[peer]
        outbound = self._outbound_by_seat[peer]
        connecting_until = self._clock.now() + CONNECT_GRACE_S
        while True:
            sent_at, message = await queue.get()
            data = codec.pack_envelope(self._seat, sent_at, message)
            sent = _send(outbound, data)
            while not sent and self._clock.now() < connecting_until:
                await curio.sleep(CONNECT_POLL_S)
                sent = _send(outbound, data)
            if sent:
                self._metrics.count("peers.sent_bytes", len(data))
            else:
                self._metrics.count("peers.dropped")

    def _close(self) -> None:
        self._inbound.close(linger=0)
        for outbound in self._outbound_by_seat.values():
            outbound.close(linger=LINGER_MS)
        self._context.term()


def _send(outbound: zmq.Socket, data: bytes) -> bool:
    try:
        outbound.send(data, zmq.NOBLOCK)
    except zmq.Again:
        return False
    return True


def _bind(context: zmq.Context, listen: str) -> zmq.Socket:
    sock = context.socket(zmq.PULL)
    _set_heartbeats(sock)
    sock.bind(f"tcp://{listen}")
    return sock


def _connect(context: zmq.Context, address: str) -> zmq.Socket:
    sock = context.socket(zmq.PUSH)
    _set_heartbeats(sock)
    sock.setsockopt(zmq.IMMEDIATE, 1)
    sock.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
    sock.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
    sock.connect(f"tcp://{address}")
    return sock


def _set_heartbeats(sock: zmq.Socket) -> None:
    sock.setsockopt(zmq.HEARTBEAT_IVL, ZMQ_HEARTBEAT_MS)
    sock.setsockopt(zmq.HEARTBEAT_TIMEOUT, ZMQ_HEARTBEAT_TIMEOUT_MS)
    sock.setsockopt(zmq.SNDHWM, SEND_QUEUE_LENGTH)
    sock.setsockopt(zmq.RCVHWM, SEND_QUEUE_LENGTH)
