"""One connection of the HTTP server: reads requests within limits, sends responses."""

import contextlib
import time
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

import curio
import h11
from curio import socket

from arbutusladder.codec import to_json
from arbutusladder.headernames import OUTCOME_HEADER
from arbutusladder.httpclient import HOP_BY_HOP_HEADERS, HttpResponse, find_header
from arbutusladder.httplimits.budget import HeldRequest
from arbutusladder.httplimits.connections import OpenConnection
from arbutusladder.httplimits.limiter import HttpLimiter, RequestLimits
from arbutusladder.httplimits.refusals import (
    Limit,
    RequestRefused,
    memory_shortage,
    processor_shortage,
)
from arbutusladder.httplimits.turns import TURN_S, TurnWork
from arbutusladder.messages import Header
from arbutusladder.states import Outcome, Reason

# Longest wait for the next request on a connection.
IDLE_TIMEOUT_S = 75.0
# Longest wait for sending a response.
WRITE_TIMEOUT_S = 30.0
# Longest time for which the bytes that follow a refused request are read.
DISCARD_TIMEOUT_S = 2.0
# Bytes of a read. What is read but not processed is held for each connection, and a
# limit is exceeded by one read at most.
READ_BYTES = 16384
DISCARD_READ_BYTES = 65536
# Bytes of a chunk header or trailer without its end; heads have their own limit.
MAX_INCOMPLETE_BYTES = 65536
# Memory of a header field beside its text: a tuple and three strings of bytes.
FIELD_BYTES = 200


@dataclass
class HttpRequest:
    """A complete HTTP request.

    Attributes:
        method: HTTP method.
        path: Path without query.
        target: Path with query, as received.
        query: Query values by name; the last value of a name is kept.
        headers: Header fields, without hop-by-hop fields.
        body: Complete body.
        peer: Address and port of the client.
        host: Value of the Host field.
    """

    method: str
    path: str
    target: str
    query: dict[str, str] = field(default_factory=dict)
    headers: list[Header] = field(default_factory=list, repr=False)
    body: bytes = b""
    peer: str = ""
    host: str = ""

    def header(self, name: str, default: str = "") -> str:
        """Returns the value of a header field."""
        return find_header(self.headers, name, default)


class ServerConnection:
    """Reads requests of one client and sends the responses.

    Args:
        sock: Socket of the connection.
        peer: Address and port of the client.
        limiter: Limits of what the client may use.
    """

    def __init__(self, sock: "socket.socket", peer: str, limiter: HttpLimiter):
        self._sock = sock
        self._peer = peer
        self._limiter = limiter
        self._limits: RequestLimits = limiter.request_limits
        self._protocol = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=max(
                MAX_INCOMPLETE_BYTES, self._limits.max_head_bytes
            ),
        )
        self._held = HeldRequest(self._give_way)
        self._work = TurnWork(self._give_way)
        self._entry = OpenConnection(peer.rpartition(":")[0], self._close_at_once)
        limiter.connections.add(self._entry, time.monotonic())
        limiter.departures.add(sock.fileno(), self._close_departed)
        self._body = bytearray()
        self._head_memory = 0
        self._unprocessed = 0
        self._events = 0
        self._turn_s = 0.0
        self._chunks = 0
        self._head_deadline: float | None = None
        self._reads_body = False
        self._is_handled = False
        self._closed = False

    async def __aenter__(self) -> "ServerConnection":
        # Fails if the client has gone already, which the first read detects.
        with contextlib.suppress(OSError):
            self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return self

    async def __aexit__(self, *error: object) -> None:
        self._limiter.budget.release(self._held)
        self._limiter.connections.remove(self._entry)
        self._limiter.departures.remove(self._sock.fileno())
        await self._sock.close()

    async def read_request(self) -> HttpRequest | None:
        """Reads the next request.

        Returns:
            The request, or None if the client has closed the connection.

        Raises:
            RequestRefused: The request reaches a limit.
            h11.RemoteProtocolError: The request is malformed.
        """
        head = await self._next_event()
        if not isinstance(head, h11.Request):
            return None
        fields = list(head.headers)
        self._check_head(head.target, fields)
        await self._read_body()
        body = bytes(self._body)
        self._body = bytearray()
        if body or self._held.size:
            weight = self._head_memory + self._limiter.weigh(body)
            if not self._limiter.budget.settle(self._held, weight, time.monotonic()):
                raise memory_shortage()
        self._is_handled = True
        target = head.target.decode("latin-1")
        parts = urlsplit(target)
        return HttpRequest(
            method=head.method.decode(),
            path=parts.path,
            target=target,
            query={name: values[-1] for name, values in parse_qs(parts.query).items()},
            headers=[
                Header(name.decode(), value.decode("latin-1"))
                for name, value in fields
                if name not in HOP_BY_HOP_HEADERS_BYTES
            ],
            body=body,
            peer=self._peer,
            host=_field_value(fields, b"host").decode("latin-1"),
        )

    def _check_head(self, target: bytes, fields: list[tuple[bytes, bytes]]) -> None:
        """Refuses a head over a limit, and one that announces a body over it."""
        self._head_deadline = None
        self._reads_body = True
        if len(fields) > self._limiter.settings.head_fields:
            raise RequestRefused(
                Limit.HEAD_FIELDS,
                f"the head has {len(fields)} fields; send at most "
                f"{self._limiter.settings.head_fields}",
            )
        # Everything received so far is an upper bound, which suffices for most heads.
        size = self._unprocessed
        if size > self._limits.max_head_bytes:
            size = len(target) + sum(len(n) + len(v) + 4 for n, v in fields)
            self._check_head_size(size)
        self._unprocessed = 0
        self._head_memory = size + FIELD_BYTES * len(fields)
        self._check_body_size(int(_field_value(fields, b"content-length") or 0))

    def _check_head_size(self, size: int) -> None:
        if size > self._limits.max_head_bytes:
            raise RequestRefused(
                Limit.HEAD_BYTES,
                f"the head exceeds {self._limits.max_head_bytes} bytes; send less",
            )

    def _check_body_size(self, size: int) -> None:
        if size > self._limits.max_body_bytes:
            raise RequestRefused(
                Limit.BODY_BYTES,
                f"the body exceeds {self._limits.max_body_bytes} bytes; send less",
            )

    async def _read_body(self) -> None:
        self._chunks = 0
        if self._protocol.they_are_waiting_for_100_continue:
            await self._send(h11.InformationalResponse(status_code=100, headers=[]))
        while True:
            match await self._next_event():
                case h11.Data() as data:
                    self._unprocessed = 0
                    self._chunks += data.chunk_start
                    if self._chunks > self._limiter.settings.chunks:
                        raise RequestRefused(
                            Limit.CHUNKS,
                            f"the body has over {self._limiter.settings.chunks} "
                            "chunks; send larger ones",
                        )
                    self._check_body_size(len(self._body) + len(data.data))
                    self._body += data.data
                case h11.EndOfMessage():
                    return
                case _:
                    raise h11.RemoteProtocolError("the request is incomplete")

    async def send_response(
        self, request: HttpRequest, response: HttpResponse, closing: bool
    ) -> bool:
        """Sends the response to a request.

        Args:
            request: The request.
            response: The response.
            closing: Whether to announce that the connection will be closed.

        Returns:
            Whether the connection can be used for another request.
        """
        header_fields = [(h.name, h.value.encode("latin-1")) for h in response.headers]
        header_fields.append(("Content-Length", str(len(response.body))))
        if closing:
            header_fields.append(("Connection", "close"))
        head = h11.Response(status_code=response.status, headers=header_fields)
        body = b"" if request.method == "HEAD" else response.body
        self._limiter.budget.release(self._held)
        # A client that does not read its response may be disconnected like an idle one.
        self._limiter.connections.set_idle(self._entry, time.monotonic())
        await self._send(head, h11.Data(data=body), h11.EndOfMessage())
        if self._closed or self._protocol.our_state is not h11.DONE:
            return False
        self._protocol.start_next_cycle()
        self._start_request()
        return True

    async def refuse(self, refusal: RequestRefused) -> None:
        """Counts and sends a refusal, and discards what the client still sends."""
        self._limiter.refused(refusal.limit, self._peer, time.monotonic())
        self._limiter.budget.release(self._held)
        self._body = bytearray()
        await self.send_error(
            refusal.status, refusal.reason, str(refusal), refusal.retry_after_s
        )
        await self.discard()

    async def send_error(
        self, status: int, reason: Reason, detail: str, retry_after_s: int = 0
    ) -> None:
        """Sends a refusal of a request that the handler has not seen."""
        if self._protocol.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        # The request did not reach the handler, so it certainly was not run.
        outcome = Outcome.NOT_RUN.value
        refusal = {"outcome": outcome, "reason": reason.value, "remedy": detail}
        body = to_json(refusal | {"retry_after_ms": retry_after_s * 1000})
        header_fields = [
            ("Content-Type", "application/json"),
            (OUTCOME_HEADER, outcome),
            ("Content-Length", str(len(body))),
            ("Connection", "close"),
        ]
        if retry_after_s:
            header_fields.append(("Retry-After", str(retry_after_s)))
        head = h11.Response(status_code=int(status), headers=header_fields)
        await self._send(head, h11.Data(data=body), h11.EndOfMessage())

    async def discard(self) -> None:
        """Reads and discards what the client still sends, within bounds.

        Closing a socket with unread data resets the connection, and the client then
        loses the response.
        """
        self._protocol = None
        if self._limiter.discards >= self._limiter.settings.discards:
            self._limiter.refused(Limit.DISCARDS, self._peer, time.monotonic())
            return
        remaining = self._limiter.settings.discard_bytes
        self._limiter.discards += 1
        try:
            async with curio.ignore_after(DISCARD_TIMEOUT_S):
                while remaining > 0:
                    data = await self._sock.recv(DISCARD_READ_BYTES)
                    if not data:
                        return
                    remaining -= len(data)
                    await curio.sleep(0)
        finally:
            self._limiter.discards -= 1

    async def _send(self, *events: h11.Event) -> None:
        data = b"".join(self._protocol.send(event) or b"" for event in events)
        async with curio.timeout_after(WRITE_TIMEOUT_S):
            await self._sock.sendall(data)

    def _start_request(self) -> None:
        """Prepares for the next request, of which a part may have arrived already."""
        self._limits = self._limiter.request_limits
        self._head_memory = 0
        self._reads_body = False
        self._is_handled = False
        self._unprocessed = len(self._protocol.trailing_data[0])
        if self._unprocessed:
            self._limiter.connections.set_busy(self._entry)

    async def _next_event(self) -> h11.Event | type:
        while True:
            await self._yield_turn()
            # The time of this thread, so that a pause of the process is no work.
            started_at = time.thread_time()
            event = self._protocol.next_event()
            self._turn_s += time.thread_time() - started_at
            if event is not h11.NEED_DATA:
                return event
            await self._receive()

    async def _yield_turn(self) -> None:
        """Lets other connections run after some events or some work of this one.

        Reading from a socket that always has data doesn't wait, so without this a
        client that sends fast would delay all others.
        """
        self._events += 1
        is_turn_over = self._events >= self._limiter.settings.events_per_turn
        if not is_turn_over and self._turn_s < TURN_S:
            return
        cost_s, self._turn_s, self._events = self._turn_s, 0.0, 0
        self._charge(len(self._body) + READ_BYTES if self._reads_body else 0)
        self._limiter.begin_turn_wait(self._work, cost_s)
        try:
            await curio.sleep(0)
        finally:
            self._limiter.turns.end_wait(self._work)
        if self._closed:
            raise ConnectionResetError
        if self._work.gave_way:
            raise processor_shortage()
        self._check_memory()

    async def _receive(self) -> None:
        if not self._reads_body and not self._unprocessed:
            await self._receive_first()
            return
        if not self._reads_body:
            self._check_head_size(self._unprocessed)
        self._charge(len(self._body) + self._unprocessed)
        limit = Limit.READ_TIME if self._reads_body else Limit.HEAD_TIME
        try:
            async with curio.timeout_after(self._time_left()):
                data = await self._sock.recv(READ_BYTES)
        except curio.TaskTimeout as error:
            self._check_memory()
            raise RequestRefused(
                limit, "the request is incomplete; send the whole request in time"
            ) from error
        self._check_memory()
        self._unprocessed += len(data)
        self._protocol.receive_data(data)

    async def _receive_first(self) -> None:
        """Waits for the first bytes of a request."""
        self._work.spent_s = 0.0
        async with curio.timeout_after(IDLE_TIMEOUT_S):
            data = await self._sock.recv(READ_BYTES)
        self._limiter.connections.set_busy(self._entry)
        if self._closed:
            data = b""
        # The limits may have changed while the connection was idle.
        self._limits = self._limiter.request_limits
        self._unprocessed = len(data)
        self._protocol.receive_data(data)

    def _time_left(self) -> float:
        if self._reads_body:
            return self._limits.read_timeout_s
        now = time.monotonic()
        if self._head_deadline is None:
            self._head_deadline = now + self._limits.head_timeout_s
        return max(0.0, self._head_deadline - now)

    def _charge(self, size: int) -> None:
        """Charges what this connection holds before it waits."""
        size += self._head_memory
        if size and not self._limiter.budget.charge(self._held, size, time.monotonic()):
            raise memory_shortage()

    def _check_memory(self) -> None:
        if self._held.gave_way:
            raise memory_shortage()

    def _give_way(self) -> None:
        """Frees the memory of the request, and ends the wait for more of it."""
        self._body = bytearray()
        self._limiter.connections.remove(self._entry)
        self._shut_down(socket.SHUT_RD)

    def _close_departed(self) -> bool:
        """Closes the connection, unless the handler has seen the request."""
        if self._is_handled or self._closed:
            return False
        self._limiter.budget.release(self._held)
        self._limiter.connections.remove(self._entry)
        self._limiter.turns.end_wait(self._work)
        self._body = bytearray()
        self._close_at_once()
        return True

    def _close_at_once(self) -> None:
        self._closed = True
        self._shut_down(socket.SHUT_RDWR)

    def _shut_down(self, how: int) -> None:
        try:
            with self._sock.blocking() as raw_sock:
                raw_sock.shutdown(how)
        except OSError:
            # The client has closed the connection.
            pass


def _field_value(fields: list[tuple[bytes, bytes]], wanted: bytes) -> bytes:
    for name, value in fields:
        if name == wanted:
            return value
    return b""


HOP_BY_HOP_HEADERS_BYTES = frozenset(name.encode() for name in HOP_BY_HOP_HEADERS)
