"""HTTP/1.1 client on curio and h11; one request at a time per connection."""

import ipaddress
import math
import os
import select
import struct
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import curio
import h11
from curio import socket
from curio.traps import _write_wait

from arbutusladder.clock import TIMER_PAUSE_THRESHOLD_S, Clock
from arbutusladder.errors import HttpError
from arbutusladder.messages import Header
from arbutusladder.states import Reason

READ_SIZE_BYTES = 65536
DEFAULT_MAX_BODY_BYTES = 16 * 1024 * 1024
STATUSES_WITHOUT_BODY = frozenset({204, 304})
# SO_LINGER with a timeout of zero: close discards unsent bytes and resets the
# connection.
ABORT_LINGER = struct.pack("ii", 1, 0)
NO_LINGER = struct.pack("ii", 0, 0)
_FAMILY_BY_IP_VERSION = {4: socket.AF_INET, 6: socket.AF_INET6}


@dataclass
class HttpResponse:
    """A complete HTTP response.

    Attributes:
        status: Status code.
        headers: Header fields, without hop-by-hop fields.
        body: Complete body.
    """

    status: int
    headers: list[Header] = field(default_factory=list)
    body: bytes = b""

    def header(self, name: str, default: str = "") -> str:
        """Returns the value of a header field."""
        return find_header(self.headers, name, default)


def find_header(headers: list[Header], name: str, default: str = "") -> str:
    """Returns the value of the first field with a name, regardless of case."""
    wanted = name.lower()
    for header in headers:
        if header.name.lower() == wanted:
            return header.value
    return default


def split_address(address: str) -> tuple[str, int]:
    """Splits ``host:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class HttpConnection:
    """One connection to a server.

    After any error the connection must be closed and cannot be used again.

    Attributes:
        address: Address of the server.
        usable: Whether another request may be sent.
        bytes_transferred: Bytes sent and received since the connection was opened.
    """

    def __init__(self, address: str, sock: "socket.socket"):
        self.address = address
        self._sock = sock
        self._clock = Clock()
        self._protocol = h11.Connection(h11.CLIENT)
        self._idle_timeout: float | None = None
        self._on_idle_timeout: IdleTimeoutHandler | None = None
        self._is_answered = True
        self.usable = True
        self.bytes_transferred = 0
        # Also holds if the process is killed: what is unsent does not arrive later.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORT_LINGER)

    @classmethod
    async def connect(cls, address: str, timeout: float) -> "HttpConnection":
        """Opens a connection.

        Args:
            address: IP address and port.
            timeout: Seconds to wait; the wait is repeated once if this process was
                paused meanwhile.

        Raises:
            HttpError: The connection could not be opened; nothing was sent.
        """
        due_at = time.monotonic() + timeout
        try:
            try:
                sock = await _open(address, timeout)
            except curio.TaskTimeout:
                if time.monotonic() - due_at <= TIMER_PAUSE_THRESHOLD_S:
                    raise
                # This process was paused, which is no evidence against the server.
                sock = await _open(address, timeout)
        except (OSError, curio.TaskTimeout) as error:
            detail = f"{address}: {error!r}"
            raise HttpError(Reason.CONNECT_FAILED, detail, sent=False) from error
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return cls(address, sock)

    async def exchange(
        self,
        method: str,
        path: str,
        headers: list[Header],
        body: bytes,
        timeout: float,
        max_body: int = DEFAULT_MAX_BODY_BYTES,
        idle_timeout: float | None = None,
        on_idle_timeout: "IdleTimeoutHandler | None" = None,
        send_by: float = math.inf,
    ) -> HttpResponse:
        """Sends one request and reads the complete response.

        Args:
            method: HTTP method.
            path: Path with query.
            headers: Header fields of the request.
            body: Body of the request.
            timeout: Seconds for the whole exchange.
            max_body: Largest accepted body in bytes.
            idle_timeout: Seconds without a received byte after which
                ``on_idle_timeout`` is called; also the limit for sending the
                request. No limit by default.
            on_idle_timeout: Returns whether to give up with an attempt timeout
                instead of continuing to read.
            send_by: Latest time at which a byte of the request may be sent, see
                `Clock.now_with_suspensions`.

        Raises:
            HttpError: There is no complete response; ``sent`` is true if any byte
                of the request may have reached the server.
        """
        data = self._encode(method, path, headers, body)
        self.usable = self._is_answered = False
        self._idle_timeout = idle_timeout
        self._on_idle_timeout = on_idle_timeout
        try:
            async with curio.timeout_after(timeout):
                await self._send(data, send_by)
                response = await self._read_response(method, max_body)
        except curio.TaskTimeout as error:
            raise self._error(Reason.ATTEMPT_TIMEOUT, error) from error
        except OSError as error:
            raise self._error(Reason.CONNECTION_LOST, error) from error
        except h11.RemoteProtocolError as error:
            raise self._error(Reason.ANSWER_INCOMPLETE, error) from error
        self._is_answered = True
        self._prepare_reuse()
        return response

    async def close(self) -> None:
        """Closes the connection; discards unsent bytes without a response."""
        self.usable = False
        if self._is_answered:
            self._is_answered = False
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        await self._sock.close()

    async def abort(self) -> None:
        """Closes the connection and discards unsent bytes."""
        self._is_answered = False
        await self.close()

    def is_reusable(self) -> bool:
        """Returns whether an idle connection is open and has no unread bytes."""
        if not self.usable or self._protocol.trailing_data[0]:
            return False
        poll = select.poll()
        poll.register(self._sock.fileno(), select.POLLIN)
        return not poll.poll(0)

    def _encode(
        self, method: str, path: str, headers: list[Header], body: bytes
    ) -> bytes:
        header_fields = [("Host", self.address), ("Content-Length", str(len(body)))]
        try:
            header_fields += [(h.name, h.value.encode("latin-1")) for h in headers]
            request = h11.Request(method=method, target=path, headers=header_fields)
            data = self._protocol.send(request) or b""
            data += self._protocol.send(h11.Data(data=body)) or b""
            data += self._protocol.send(h11.EndOfMessage()) or b""
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            self.usable = False
            raise HttpError(Reason.MALFORMED_REQUEST, f"{error}", sent=False) from error
        return data

    async def _read_response(self, method: str, max_body: int) -> HttpResponse:
        head = None
        chunks: list[bytes] = []
        size = 0
        while True:
            match await self._next_event():
                case h11.Response() as response:
                    _require_length(method, response)
                    head = response
                case h11.Data() as data:
                    chunks.append(bytes(data.data))
                    size += len(data.data)
                    if size > max_body:
                        detail = f"{self.address}: body exceeds {max_body} bytes"
                        raise HttpError(Reason.ANSWER_TOO_LARGE, detail, sent=True)
                case h11.EndOfMessage():
                    return HttpResponse(
                        head.status_code, _end_to_end_headers(head), b"".join(chunks)
                    )
                case _:
                    pass

    async def _next_event(self) -> h11.Event | type:
        while True:
            event = self._protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            data = await self._receive()
            if not data and self._protocol.their_state is h11.SEND_RESPONSE:
                detail = f"{self.address}: connection closed before a response"
                raise HttpError(Reason.CONNECTION_LOST, detail, sent=True)
            self.bytes_transferred += len(data)
            self._protocol.receive_data(data)

    async def _send(self, data: bytes, send_by: float) -> None:
        self.bytes_transferred += len(data)
        if self._idle_timeout is None:
            await self._send_all(data, send_by)
            return
        try:
            async with curio.timeout_after(self._idle_timeout):
                await self._send_all(data, send_by)
        except curio.TaskTimeout as error:
            raise self._error(Reason.ATTEMPT_TIMEOUT, error) from error

    async def _send_all(self, data: bytes, send_by: float) -> None:
        unsent = memoryview(data)
        while unsent:
            # The timeouts of curio do not suffice: a task that can go on after a pause
            # of the process does so, and learns of its timeout when it waits again.
            if self._clock.now_with_suspensions() > send_by:
                detail = f"{self.address}: too late to send the request"
                is_sent = len(unsent) < len(data)
                raise HttpError(Reason.ATTEMPT_TIMEOUT, detail, sent=is_sent)
            try:
                unsent = unsent[os.write(self._sock.fileno(), unsent) :]
            except BlockingIOError:
                await _write_wait(self._sock)

    async def _receive(self) -> bytes:
        if self._idle_timeout is None:
            return await self._sock.recv(READ_SIZE_BYTES)
        pause_excused = False
        while True:
            due_at = time.monotonic() + self._idle_timeout
            try:
                async with curio.timeout_after(self._idle_timeout):
                    return await self._sock.recv(READ_SIZE_BYTES)
            except curio.TaskTimeout as error:
                if (
                    not pause_excused
                    and time.monotonic() - due_at > TIMER_PAUSE_THRESHOLD_S
                ):
                    # This process was paused, which is no evidence against the
                    # server. Only one pause is excused, so that repeated pauses
                    # cannot hide an unresponsive server.
                    pause_excused = True
                    continue
                if self._on_idle_timeout and await self._on_idle_timeout():
                    raise self._error(Reason.ATTEMPT_TIMEOUT, error) from error

    def _prepare_reuse(self) -> None:
        # Bytes after the response would be read as the response to the next request.
        unread = self._protocol.trailing_data[0]
        both_complete = (
            self._protocol.our_state is h11.DONE
            and self._protocol.their_state is h11.DONE
        )
        if both_complete and not unread:
            self._protocol.start_next_cycle()
            self.usable = True

    def _error(self, reason: Reason, error: Exception) -> HttpError:
        return HttpError(reason, f"{self.address}: {error!r}", sent=True)


async def _open(address: str, timeout: float) -> "socket.socket":
    host, port = split_address(address)
    async with curio.timeout_after(timeout):
        try:
            family = _FAMILY_BY_IP_VERSION[ipaddress.ip_address(host).version]
        except ValueError:
            return await curio.open_connection(host, port)
        # Without name resolution, for which curio starts a thread.
        sock = socket.socket(family, socket.SOCK_STREAM)
        try:
            await sock.connect((host, port))
        except BaseException:
            await sock.close()
            raise
        return sock


def _require_length(method: str, head: h11.Response) -> None:
    """Rejects a body that is delimited by the end of the connection.

    Such a body may be truncated without notice.
    """
    if method == "HEAD" or head.status_code in STATUSES_WITHOUT_BODY:
        return
    header_names = {name for name, _ in head.headers}
    if not header_names & {b"content-length", b"transfer-encoding"}:
        raise h11.RemoteProtocolError("the response has no length")


IdleTimeoutHandler = Callable[[], Awaitable[bool]]

HOP_BY_HOP_HEADERS = frozenset(
    {"connection", "content-length", "transfer-encoding", "keep-alive", "host"}
)


def _end_to_end_headers(head: h11.Response) -> list[Header]:
    pairs = ((name.decode(), value.decode("latin-1")) for name, value in head.headers)
    return [
        Header(name, value) for name, value in pairs if name not in HOP_BY_HOP_HEADERS
    ]


async def request(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: list[Header] | None = None,
    timeout: float = 5.0,
    max_body: int = DEFAULT_MAX_BODY_BYTES,
) -> HttpResponse:
    """Sends one request on a new connection and closes it.

    Args:
        address: IP address and port.
        method: HTTP method.
        path: Path with query.
        body: Body of the request.
        headers: Header fields of the request.
        timeout: Seconds for connecting, and again for the exchange.
        max_body: Largest accepted body in bytes.

    Raises:
        HttpError: There is no complete response.
    """
    connection = await HttpConnection.connect(address, timeout)
    try:
        header_fields = [*(headers or []), Header("Connection", "close")]
        return await connection.exchange(
            method, path, header_fields, body, timeout, max_body
        )
    finally:
        await connection.close()
