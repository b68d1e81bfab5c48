"""HTTP/1.1 client on curio and h11; one request at a time per connection."""

import select
import struct
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import curio
import h11
from curio import socket

from arbutusladder.clock import TIMER_PAUSE_THRESHOLD_S
from arbutusladder.errors import HttpError
from arbutusladder.messages import Header
from arbutusladder.states import Reason

READ_SIZE_BYTES = 65536
DEFAULT_MAX_BODY_BYTES = 16 * 1024 * 1024
STATUSES_WITHOUT_BODY = frozenset({204, 304})
# Linger on with time zero: close discards unsent bytes and resets.
ABORT_LINGER = struct.pack("ii", 1, 0)


@dataclass
class HttpResponse:
    """A whole HTTP answer.

    Attributes:
        status: Status code.
        headers: Header fields without the ones of the transfer itself.
        body: Whole body.
    """

    status: int
    headers: list[Header] = field(default_factory=list)
    body: bytes = b""

    def header(self, name: str, default: str = "") -> str:
        """Returns the value of a header field."""
        return find_header(self.headers, name, default)


def find_header(headers: list[Header], name: str, default: str = "") -> str:
    """Returns the value of the first field of a name, in any case."""
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

    After any error the connection must be closed; it refuses another request.

    Attributes:
        usable: Whether another request may be sent.
        transferred: Bytes sent and received since the connection was opened.
    """

    def __init__(self, address: str, sock: "socket.socket"):
        self.address = address
        self._sock = sock
        self._protocol = h11.Connection(h11.CLIENT)
        self._silence: float | None = None
        self._on_silence: OnSilence | None = None
        self.usable = True
        self.bytes_transferred = 0

    @classmethod
    async def connect(cls, address: str, timeout: float) -> "HttpConnection":
        """Opens a connection.

        Args:
            address: IP address and port.
            timeout: Seconds to wait.

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
                # This process stood still, which says nothing of the server.
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
        silence: float | None = None,
        on_silence: "OnSilence | None" = None,
    ) -> HttpResponse:
        """Sends one request and reads the whole answer.

        Args:
            method: HTTP method.
            path: Path with query.
            headers: Header fields of the request.
            body: Body of the request.
            timeout: Seconds for the whole exchange.
            max_body: Largest accepted body in bytes.
            silence: Seconds without a byte after which the server is silent.
            on_silence: Called when the server is silent; returns whether to
                give up with an attempt timeout instead of reading on.

        Raises:
            HttpError: There is no whole answer; ``sent`` tells whether any
                byte of the request may have reached the server.
        """
        data = self._encode(method, path, headers, body)
        self.usable = False
        self._silence = silence
        self._on_silence = on_silence
        try:
            async with curio.timeout_after(timeout):
                await self._send(data)
                answer = await self._read_answer(method, max_body)
        except curio.TaskTimeout as error:
            raise self._failure(Reason.ATTEMPT_TIMEOUT, error) from error
        except OSError as error:
            raise self._failure(Reason.CONNECTION_LOST, error) from error
        except h11.RemoteProtocolError as error:
            raise self._failure(Reason.ANSWER_INCOMPLETE, error) from error
        self._prepare_next()
        return answer

    async def close(self) -> None:
        """Closes the connection."""
        self.usable = False
        await self._sock.close()

    async def abort(self) -> None:
        """Closes the connection and discards bytes that were not sent yet.

        A request that waits in the send buffer must not reach the server later.
        """
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORT_LINGER)
        await self.close()

    def is_reusable(self) -> bool:
        """Tells whether an idle connection is open and holds no stray bytes."""
        if not self.usable or self._protocol.trailing_data[0]:
            return False
        poll = select.poll()
        poll.register(self._sock.fileno(), select.POLLIN)
        return not poll.poll(0)

    def _encode(
        self, method: str, path: str, headers: list[Header], body: bytes
    ) -> bytes:
        fields = [("Host", self.address), ("Content-Length", str(len(body)))]
        try:
            fields += [(h.name, h.value.encode("latin-1")) for h in headers]
            request = h11.Request(method=method, target=path, headers=fields)
            data = self._protocol.send(request) or b""
            data += self._protocol.send(h11.Data(data=body)) or b""
            data += self._protocol.send(h11.EndOfMessage()) or b""
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            self.usable = False
            raise HttpError(Reason.MALFORMED_REQUEST, f"{error}", sent=False) from error
        return data

    async def _read_answer(self, method: str, max_body: int) -> HttpResponse:
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
                        detail = f"{self.address}: more than {max_body} bytes"
                        raise HttpError(Reason.ANSWER_TOO_LARGE, detail, sent=True)
                case h11.EndOfMessage():
                    return HttpResponse(
                        head.status_code, _plain_headers(head), b"".join(chunks)
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
                detail = f"{self.address}: closed before an answer"
                raise HttpError(Reason.CONNECTION_LOST, detail, sent=True)
            self.bytes_transferred += len(data)
            self._protocol.receive_data(data)

    async def _send(self, data: bytes) -> None:
        self.bytes_transferred += len(data)
        if self._silence is None:
            await self._sock.sendall(data)
            return
        try:
            async with curio.timeout_after(self._silence):
                await self._sock.sendall(data)
        except curio.TaskTimeout as error:
            raise self._failure(Reason.ATTEMPT_TIMEOUT, error) from error

    async def _receive(self) -> bytes:
        if self._silence is None:
            return await self._sock.recv(READ_SIZE_BYTES)
        paused = False
        while True:
            due_at = time.monotonic() + self._silence
            try:
                async with curio.timeout_after(self._silence):
                    return await self._sock.recv(READ_SIZE_BYTES)
            except curio.TaskTimeout as error:
                if not paused and time.monotonic() - due_at > TIMER_PAUSE_THRESHOLD_S:
                    # This process stood still, which says nothing of the server;
                    # pauses that follow each other must not hide its silence.
                    paused = True
                    continue
                if self._on_silence and await self._on_silence():
                    raise self._failure(Reason.ATTEMPT_TIMEOUT, error) from error

    def _prepare_next(self) -> None:
        # Bytes after the answer would be read as the answer to the next request.
        stray = self._protocol.trailing_data[0]
        both_done = (
            self._protocol.our_state is h11.DONE
            and self._protocol.their_state is h11.DONE
        )
        if both_done and not stray:
            self._protocol.start_next_cycle()
            self.usable = True

    def _failure(self, reason: Reason, error: Exception) -> HttpError:
        return HttpError(reason, f"{self.address}: {error!r}", sent=True)


async def _open(address: str, timeout: float) -> "socket.socket":
    async with curio.timeout_after(timeout):
        return await curio.open_connection(*split_address(address))


def _require_length(method: str, head: h11.Response) -> None:
    """Refuses a body that ends with the connection: its end may be missing."""
    if method == "HEAD" or head.status_code in STATUSES_WITHOUT_BODY:
        return
    names = {name for name, _ in head.headers}
    if not names & {b"content-length", b"transfer-encoding"}:
        raise h11.RemoteProtocolError("the answer has no length")


OnSilence = Callable[[], Awaitable[bool]]

HOP_BY_HOP_HEADERS = frozenset(
    {"connection", "content-length", "transfer-encoding", "keep-alive", "host"}
)


def _plain_headers(head: h11.Response) -> list[Header]:
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
    """Sends one request on a connection of its own.

    Raises:
        HttpError: There is no whole answer.
    """
    connection = await HttpConnection.connect(address, timeout)
    try:
        fields = [*(headers or []), Header("Connection", "close")]
        return await connection.exchange(method, path, fields, body, timeout, max_body)
    finally:
        await connection.close()
