"""Message transport between entry VMs over ZeroMQ.

One task owns the receiving socket. Senders use the sending sockets directly; messages
that cannot be sent at once are passed to one task per peer. Messages to a peer that is
not connected are dropped and counted: senders have timeouts, and a message that waited
for a connection would arrive too late.
"""

import time
from collections.abc import Awaitable, Callable, Iterable
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
from arbutusladder.peerguard import PeerGuard

# Heartbeats of ZeroMQ itself, which detect a broken connection, and the waits before it
# connects again.
ZMQ_HEARTBEAT_MS = 500
ZMQ_HEARTBEAT_TIMEOUT_MS = 1500
RECONNECT_MS = 100
MAX_RECONNECT_MS = 1000
# Idle time of a connection after which the kernel checks whether the other side lives.
KEEPALIVE_S = 5
# Largest message, which is above the largest response of the log that one entry VM
# reads for another (16 MB).
MAX_MESSAGE_BYTES = 32 * 1024 * 1024
# Peers to which one connects; each takes two descriptors. The largest deployment has
# 297 entry VMs.
MAX_PEERS = 400
# Messages queued for each peer, also the high-water mark of the sockets.
MAX_QUEUED_MESSAGES = 2000
# Header of a frame of ZMTP, which has 2 bytes up to this size of its body.
MAX_SHORT_FRAME = 255
LONG_FRAME_HEADER_BYTES = 9
# Time for the exchange at the beginning of a connection.
HANDSHAKE_MS = 3000
# Messages handled before other tasks run.
MESSAGES_PER_TURN = 100
# Seconds after a connect during which messages wait for the connection instead of
# being dropped: several round trips between failure domains.
CONNECT_WAIT_S = 0.2
CONNECT_POLL_INTERVAL_S = 0.01
# Time for which queued messages are still sent when the transport is closed.
LINGER_MS = 200


@dataclass(frozen=True)
class PeerLimits:
    """Limits of what other processes may use.

    Attributes:
        max_message_bytes: Largest message; ZeroMQ closes the connection of a larger
            one before it has received it.
        max_peers: Largest number of peers to which one connects.
    """

    max_message_bytes: int = MAX_MESSAGE_BYTES
    max_peers: int = MAX_PEERS


DEFAULT_LIMITS = PeerLimits()


@dataclass
class ReceivedMessage:
    """A message from another entry VM.

    Attributes:
        sender: Seat of the sender.
        age: Seconds between send and receipt, according to the wall clocks of the two
            processes.
        message: Decoded message.
    """

    sender: SeatId
    age: float
    message: Any


MessageHandler = Callable[[ReceivedMessage], Awaitable[None]]


class PeerTransport:
    """Sends messages to seats, and passes received messages to a handler.

    Args:
        seat: Seat of this process.
        listen: Address and port to bind.
        address_by_seat: Addresses of the initial peers by seat.
        handler: Coroutine function called with each received message, one at a
            time; it must not wait for long.
        clock: Clock of this process.
        metrics: Counters.
        on_error: Called with an exception of the handler, whose message is dropped.
        limits: Limits of what other processes may use.

    Attributes:
        address: Address and port on which this process listens.
    """

    def __init__(
        self,
        seat: SeatId,
        listen: str,
        address_by_seat: dict[SeatId, str],
        handler: MessageHandler,
        clock: Clock,
        metrics: Metrics,
        on_error: Callable[[Exception], None] = lambda error: None,
        limits: PeerLimits = DEFAULT_LIMITS,
    ):
        self._seat = seat
        self._limits = limits
        self._handler = handler
        self._on_error = on_error
        self._clock = clock
        self._metrics = metrics
        self._context = zmq.Context(io_threads=1)
        self._pull_socket = _create_pull_socket(self._context, listen, limits)
        self.address = self._pull_socket.getsockopt_string(zmq.LAST_ENDPOINT)[6:]
        self._guard = PeerGuard(
            self._pull_socket, limits.max_peers, limits.max_message_bytes, metrics
        )
        self._queue_by_seat: dict[SeatId, curio.Queue] = {}
        self._push_socket_by_seat: dict[SeatId, zmq.Socket] = {}
        self._address_by_seat: dict[SeatId, str] = {}
        self._send_task_by_seat: dict[SeatId, curio.Task] = {}
        self._sending_seats: set[SeatId] = set()
        for peer, address in address_by_seat.items():
            self._add_peer(peer, address)
        self._pending_reply_by_id: dict[RequestId, curio.Result] = {}
        self._cancellable_calls_by_seat: dict[
            SeatId, dict[RequestId, curio.Result]
        ] = {}

    async def run(self) -> None:
        """Sends and receives messages until cancelled."""
        try:
            async with curio.TaskGroup() as group:
                await group.spawn(self._receive)
                for peer in self._push_socket_by_seat:
                    await group.spawn(self._send_to, peer)
        finally:
            for send_task in self._send_task_by_seat.values():
                await send_task.cancel()
            self._close()

    async def connect(self, seat: SeatId, address: str) -> bool:
        """Adds a peer, or changes its address.

        Messages queued for the old address are dropped.

        Returns:
            Whether the peer was added; one with an invalid address is not, nor one
            beyond the limit.
        """
        if self._address_by_seat.get(seat) == address:
            return True
        await self.disconnect(seat)
        if len(self._address_by_seat) >= self._limits.max_peers:
            self._metrics.count("peers.too_many")
            return False
        try:
            self._add_peer(seat, address)
        except zmq.ZMQError:
            self._metrics.count("peers.invalid_address")
            return False
        send_task = await curio.spawn(self._send_to, seat, daemon=True)
        self._send_task_by_seat[seat] = send_task
        return True

    async def disconnect(self, seat: SeatId) -> None:
        """Removes a peer that was added by `connect`."""
        send_task = self._send_task_by_seat.pop(seat, None)
        if send_task is None:
            return
        await send_task.cancel()
        self._sending_seats.discard(seat)
        self._push_socket_by_seat.pop(seat).close(linger=0)
        del self._queue_by_seat[seat], self._address_by_seat[seat]

    async def send(self, seat: SeatId, message: Any) -> bool:
        """Queues a message.

        Returns:
            Whether the message was queued; it may still be lost.
        """
        return await self._send_data(seat, self._encode(message))

    async def broadcast(self, seats: Iterable[SeatId], message: Any) -> None:
        """Sends the same message to several seats; it may be lost.

        Args:
            seats: Receivers.
            message: Message, which is encoded once for all of them.
        """
        data = self._encode(message)
        for seat in seats:
            await self._send_data(seat, data)

    def _encode(self, message: Any) -> bytes:
        return codec.pack_envelope(self._seat, self._clock.wall_time(), message)

    async def _send_data(self, seat: SeatId, data: bytes) -> bool:
        if len(data) > self._limits.max_message_bytes:
            self._metrics.count("peers.too_large")
            return False
        queue = self._queue_by_seat.get(seat)
        if queue is None or queue.full():
            self._metrics.count("peers.dropped")
            return False
        # Passing each message through a task takes twice as long, and an owner sends
        # thousands a second. Order is kept: nothing may overtake a queued message.
        is_idle = queue.empty() and seat not in self._sending_seats
        if is_idle and _try_send(self._push_socket_by_seat[seat], data):
            self._metrics.count("peers.sent_bytes", len(data))
        else:
            await queue.put(data)
        return True

    async def call(
        self, seat: SeatId, message: Any, timeout: float, cancellable: bool = False
    ) -> Any | None:
        """Sends a message with a request id and waits for the answer.

        Args:
            seat: Receiver.
            message: Message with a ``request_id``.
            timeout: Seconds to wait.
            cancellable: Whether `cancel_calls` may end the wait, because the
                request can be sent again.

        Returns:
            The answer, or None if there was none in time.
        """
        reply = curio.Result()
        self._pending_reply_by_id[message.request_id] = reply
        if cancellable:
            cancellable_calls = self._cancellable_calls_by_seat.setdefault(seat, {})
            cancellable_calls[message.request_id] = reply
        try:
            if not await self.send(seat, message):
                return None
            return await self._wait_for_reply(reply, timeout)
        finally:
            self._pending_reply_by_id.pop(message.request_id, None)
            if cancellable:
                del self._cancellable_calls_by_seat[seat][message.request_id]

    async def _wait_for_reply(self, reply: curio.Result, timeout: float) -> Any | None:
        due_at = self._clock.now() + timeout
        try:
            async with curio.timeout_after(timeout):
                return await reply.unwrap()
        except curio.TaskTimeout:
            if self._clock.now() - due_at <= TIMER_PAUSE_THRESHOLD_S:
                return None
        # This process was paused: the answer may wait in its own socket.
        self._metrics.count("peers.own_pause")
        async with curio.ignore_after(LATE_ANSWER_GRACE_S):
            return await reply.unwrap()
        return None

    async def cancel_calls(self, seat: SeatId) -> None:
        """Ends the cancellable calls to a seat that does not answer."""
        for reply in list(self._cancellable_calls_by_seat.get(seat, {}).values()):
            if not reply.is_set():
                self._metrics.count("peers.abandoned")
                await reply.set_value(None)

    async def resolve_call(self, message: Any) -> bool:
        """Passes an answer to the call that waits for it.

        Returns:
            Whether a call waited for it; late answers are dropped.
        """
        reply = self._pending_reply_by_id.get(message.request_id)
        if reply is None or reply.is_set():
            self._metrics.count("peers.late_answer")
            return False
        await reply.set_value(message)
        return True

    async def _receive(self) -> None:
        descriptor = self._pull_socket.getsockopt(zmq.FD)
        while True:
            await self._receive_pending()
            # The descriptor is edge triggered: wait only after EAGAIN, and check
            # again because the edge may have occurred in between.
            if not self._pull_socket.getsockopt(zmq.EVENTS) & zmq.POLLIN:
                await _read_wait(descriptor)

    async def _receive_pending(self) -> None:
        received_count = 0
        while True:
            # Reading waiting messages does not suspend the task.
            received_count += 1
            if received_count % MESSAGES_PER_TURN == 0:
                await curio.sleep(0)
            try:
                frame = self._pull_socket.recv(zmq.NOBLOCK, copy=False)
            except zmq.Again:
                self._guard.drained_at = time.monotonic()
                return
            data = frame.bytes
            self._metrics.count("peers.received_bytes", len(data))
            try:
                received = self._decode(data)
            except ProtocolError:
                self._metrics.count("peers.malformed")
                self._add_read(frame, is_readable=False)
                continue
            self._add_read(frame, is_readable=True)
            await self._handle(received)

    def _add_read(self, frame: zmq.Frame, is_readable: bool) -> None:
        size = len(frame)
        header = LONG_FRAME_HEADER_BYTES if size > MAX_SHORT_FRAME else 2
        self._guard.add_read(frame.get(zmq.SRCFD), size + header, is_readable)

    async def _handle(self, received: ReceivedMessage) -> None:
        # Other messages must be handled even if one has content that the handler does
        # not expect; the sender's timeout covers the dropped one.
        try:
            await self._handler(received)
        except Exception as error:
            self._metrics.count("peers.handler_failed")
            self._on_error(error)

    def _add_peer(self, peer: SeatId, address: str) -> None:
        self._push_socket_by_seat[peer] = _create_push_socket(self._context, address)
        self._address_by_seat[peer] = address
        self._queue_by_seat[peer] = curio.Queue(maxsize=MAX_QUEUED_MESSAGES)

    def _decode(self, data: bytes) -> ReceivedMessage:
        sender, sent_at, message = codec.unpack_envelope(data)
        age = max(0.0, self._clock.wall_time() - sent_at)
        return ReceivedMessage(SeatId(sender), age, message)

    async def _send_to(self, peer: SeatId) -> None:
        queue = self._queue_by_seat[peer]
        push_socket = self._push_socket_by_seat[peer]
        wait_for_connection_until = self._clock.now() + CONNECT_WAIT_S
        while True:
            data = await queue.get()
            self._sending_seats.add(peer)
            sent = _try_send(push_socket, data)
            while not sent and self._clock.now() < wait_for_connection_until:
                await curio.sleep(CONNECT_POLL_INTERVAL_S)
                sent = _try_send(push_socket, data)
            self._sending_seats.discard(peer)
            if sent:
                self._metrics.count("peers.sent_bytes", len(data))
            else:
                self._metrics.count("peers.dropped")

    def _close(self) -> None:
        self._guard.stop()
        self._pull_socket.close(linger=0)
        for push_socket in self._push_socket_by_seat.values():
            push_socket.close(linger=LINGER_MS)
        self._context.term()


def _try_send(push_socket: zmq.Socket, data: bytes) -> bool:
    try:
        push_socket.send(data, zmq.NOBLOCK)
    except zmq.Again:
        return False
    return True


def _create_pull_socket(
    context: zmq.Context, listen: str, limits: PeerLimits
) -> zmq.Socket:
    sock = context.socket(zmq.PULL)
    sock.setsockopt(zmq.MAXMSGSIZE, limits.max_message_bytes)
    sock.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_MS)
    _set_queue_limits(sock)
    # ZeroMQ 4.3.5 ends the process if it sends a heartbeat on a connection that broke
    # while its queue was full. The heartbeats of the sender carry a time limit instead.
    sock.setsockopt(zmq.TCP_KEEPALIVE, 1)
    sock.setsockopt(zmq.TCP_KEEPALIVE_IDLE, KEEPALIVE_S)
    sock.setsockopt(zmq.TCP_KEEPALIVE_INTVL, KEEPALIVE_S)
    sock.bind(f"tcp://{listen}")
    return sock


def _create_push_socket(context: zmq.Context, address: str) -> zmq.Socket:
    sock = context.socket(zmq.PUSH)
    _set_queue_limits(sock)
    sock.setsockopt(zmq.HEARTBEAT_IVL, ZMQ_HEARTBEAT_MS)
    sock.setsockopt(zmq.HEARTBEAT_TIMEOUT, ZMQ_HEARTBEAT_TIMEOUT_MS)
    sock.setsockopt(zmq.HEARTBEAT_TTL, ZMQ_HEARTBEAT_TIMEOUT_MS)
    sock.setsockopt(zmq.IMMEDIATE, 1)
    sock.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
    sock.setsockopt(zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_MS)
    try:
        sock.connect(f"tcp://{address}")
    except zmq.ZMQError:
        sock.close(linger=0)
        raise
    return sock


def _set_queue_limits(sock: zmq.Socket) -> None:
    sock.setsockopt(zmq.SNDHWM, MAX_QUEUED_MESSAGES)
    sock.setsockopt(zmq.RCVHWM, MAX_QUEUED_MESSAGES)
