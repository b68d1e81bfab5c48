"""Bounds what connections to the port between entry VMs may hold.

ZeroMQ bounds the size of a frame and the number of complete messages of a connection,
but neither the number of connections nor the frames of a message. A thread compares
what each connection has received with what was read from the socket, and disconnects
those that hold too much; it runs while the process handles something else for long.
"""

import fcntl
import resource
import socket
import struct
import termios
import threading
import time
from dataclasses import dataclass
from pathlib import Path

import zmq
from zmq.utils.monitor import recv_monitor_message

from arbutusladder.metrics import Metrics

# Time between two checks.
CHECK_INTERVAL_MS = 20
# Connections without a readable message that are open beside those of the peers.
SPARE_CONNECTIONS = 64
# Share of the descriptors of the process for these connections.
DESCRIPTOR_SHARE = 0.375
# Bytes that all connections hold together. Two responses of the log of 16 MB that one
# entry VM reads for another fit.
MAX_HELD_BYTES = 40 * 1024 * 1024
# Growth of the resident memory after which the connections are examined again.
EXAMINED_GROWTH_BYTES = 4 * 1024 * 1024
# Time without a complete message after which what a connection holds is examined.
MAX_INCOMPLETE_S = 10.0
# Bytes that a connection receives in this time without a message: heartbeats, and the
# exchange at its beginning.
PROTOCOL_BYTES = 1024
# Position of tcpi_bytes_received in struct tcp_info.
RECEIVED_BYTES_OFFSET = 128
MONITORED_EVENTS = zmq.EVENT_ACCEPTED | zmq.EVENT_DISCONNECTED


@dataclass
class PeerConnection:
    """One accepted connection.

    Attributes:
        examined_at: When a message was read, or the bytes were last set to those read.
        read_bytes: Received bytes that were read from the socket.
        is_known: Whether a readable message came from it.
        incomplete_at: When it was first seen to hold bytes for too long, or None.
    """

    examined_at: float
    read_bytes: int = 0
    is_known: bool = False
    incomplete_at: float | None = None


class PeerGuard:
    """Disconnects connections of a ZeroMQ socket that hold too much.

    Args:
        sock: Bound socket.
        max_peers: Largest number of other entry VMs.
        max_message_bytes: Largest message.
        metrics: Counters.

    Attributes:
        drained_at: When no complete message was left in the socket.
    """

    def __init__(
        self, sock: zmq.Socket, max_peers: int, max_message_bytes: int, metrics: Metrics
    ):
        self._sock = sock
        self._port = int(sock.getsockopt_string(zmq.LAST_ENDPOINT).rpartition(":")[2])
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        self._max_connections = max_peers + SPARE_CONNECTIONS
        if descriptors != resource.RLIM_INFINITY:
            by_descriptors = max(1, int(descriptors * DESCRIPTOR_SHARE))
            self._max_connections = min(self._max_connections, by_descriptors)
        self._max_connection_bytes = 2 * max_message_bytes
        self._max_held_bytes = max(MAX_HELD_BYTES, self._max_connection_bytes)
        self._metrics = metrics
        for limit in ("connections", "received_bytes"):
            # A counter that this thread adds later could disturb a reader of all.
            metrics.count(f"peers.limit_{limit}", 0)
        self._connection_by_descriptor: dict[int, PeerConnection] = {}
        self.drained_at = 0.0
        self._examined_memory = 0
        self._next_examination_at = 0.0
        self._stopping = threading.Event()
        self._monitor = sock.get_monitor_socket(MONITORED_EVENTS)
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def add_read(self, descriptor: int, size: int, is_readable: bool) -> None:
        """Records that a message of a connection was read.

        Args:
            descriptor: Descriptor of the connection.
            size: Bytes of the message with its header.
            is_readable: Whether it could be decoded.
        """
        connection = self._connection_by_descriptor.get(descriptor)
        if connection is not None:
            connection.read_bytes += size
            connection.examined_at = time.monotonic()
            connection.incomplete_at = None
            connection.is_known = connection.is_known or is_readable

    def stop(self) -> None:
        """Ends the thread; the socket can be closed afterwards."""
        self._stopping.set()
        self._thread.join()
        self._sock.disable_monitor()

    def _run(self) -> None:
        while not self._stopping.is_set():
            if self._monitor.poll(CHECK_INTERVAL_MS):
                self._read_events()
            now = time.monotonic()
            memory = _resident_bytes()
            if (
                memory > self._examined_memory + EXAMINED_GROWTH_BYTES
                or now >= self._next_examination_at
            ):
                self._next_examination_at = now + MAX_INCOMPLETE_S
                self._examine(now)
                memory = _resident_bytes()
                self._examined_memory = memory
            self._examined_memory = min(self._examined_memory, memory)
        self._monitor.close(linger=0)

    def _read_events(self) -> None:
        while self._monitor.poll(0):
            event = recv_monitor_message(self._monitor)
            descriptor = int(event["value"])
            if event["event"] == zmq.EVENT_ACCEPTED:
                connection = PeerConnection(time.monotonic())
                self._connection_by_descriptor[descriptor] = connection
                self._limit_connections()
            else:
                self._connection_by_descriptor.pop(descriptor, None)

    def _limit_connections(self) -> None:
        if len(self._connection_by_descriptor) <= self._max_connections:
            return
        # The oldest one that is not known, else the oldest one.
        descriptor = min(
            self._connection_by_descriptor,
            key=lambda d: self._connection_by_descriptor[d].is_known,
        )
        self._disconnect(descriptor, "connections")

    def _examine(self, now: float) -> None:
        held_by_descriptor: dict[int, int] = {}
        for descriptor, connection in list(self._connection_by_descriptor.items()):
            held = self._held_bytes(descriptor, connection, now)
            if held is None:
                del self._connection_by_descriptor[descriptor]
            elif held > self._max_connection_bytes:
                self._disconnect(descriptor, "received_bytes")
            else:
                held_by_descriptor[descriptor] = held
        total = sum(held_by_descriptor.values())
        # Those that are not known first, of these the one that holds most.
        for descriptor in sorted(
            held_by_descriptor,
            key=lambda d: (
                self._connection_by_descriptor[d].is_known,
                -held_by_descriptor[d],
            ),
        ):
            if total <= self._max_held_bytes:
                return
            total -= held_by_descriptor[descriptor]
            self._disconnect(descriptor, "received_bytes")

    def _held_bytes(
        self, descriptor: int, connection: PeerConnection, now: float
    ) -> int | None:
        """Returns what a connection holds, or None if it is no longer open."""
        sock = self._open_socket(descriptor)
        if sock is None:
            return None
        try:
            info = sock.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, RECEIVED_BYTES_OFFSET + 8
            )
            unread = fcntl.ioctl(sock, termios.FIONREAD, bytes(4))
        finally:
            sock.detach()
        (received,) = struct.unpack_from("Q", info, RECEIVED_BYTES_OFFSET)
        # What is in the buffer of the kernel takes no memory of the process.
        received -= struct.unpack("i", unread)[0]
        held = max(0, received - connection.read_bytes)
        if now - connection.examined_at < MAX_INCOMPLETE_S:
            return held
        if held <= PROTOCOL_BYTES:
            connection.read_bytes = received
            connection.examined_at = now
        elif connection.incomplete_at is None:
            connection.incomplete_at = now
        elif self.drained_at > connection.incomplete_at + CHECK_INTERVAL_MS / 1000:
            # No complete message waits, for example because the process was paused.
            return self._max_connection_bytes + 1
        return held

    def _disconnect(self, descriptor: int, limit: str) -> None:
        """Ends a connection; ZeroMQ closes its descriptor."""
        del self._connection_by_descriptor[descriptor]
        sock = self._open_socket(descriptor)
        if sock is None:
            return
        try:
            sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The other side has closed the connection.
            pass
        finally:
            sock.detach()
        self._metrics.count(f"peers.limit_{limit}")

    def _open_socket(self, descriptor: int) -> socket.socket | None:
        """Returns an accepted connection, which belongs to ZeroMQ.

        ZeroMQ may have closed the descriptor, which then may have another use.
        """
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, descriptor)
        except OSError:
            return None
        try:
            if sock.getsockname()[1] == self._port and sock.getpeername():
                return sock
        except (OSError, IndexError):
            # Not a connection any more.
            pass
        sock.detach()
        return None


def _resident_bytes() -> int:
    pages = Path("/proc/self/statm").read_text(encoding="ascii").split()[1]
    return int(pages) * resource.getpagesize()
