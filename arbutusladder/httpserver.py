"""HTTP/1.1 server on curio and h11; requests and responses are held in memory."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from urllib.parse import parse_qs, urlsplit

import curio
import h11
from curio import socket
from curio.network import tcp_server_socket

from arbutusladder.codec import to_json
from arbutusladder.headernames import OUTCOME_HEADER
from arbutusladder.httpclient import (
    HOP_BY_HOP_HEADERS,
    READ_SIZE_BYTES,
    HttpResponse,
    find_header,
    split_address,
)
from arbutusladder.messages import Header
from arbutusladder.states import Outcome, Reason

LISTEN_BACKLOG = 512
# Longest wait for the next request on a connection.
IDLE_TIMEOUT_S = 75.0
# Longest wait for the next bytes of a request, and for sending a response.
READ_TIMEOUT_S = 30.0
WRITE_TIMEOUT_S = 30.0
# Bounds on the reading of bytes that follow a malformed request.
DISCARD_TIMEOUT_S = 2.0
MAX_DISCARDED_BYTES = 64 * 1024 * 1024


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


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


class HttpServer:
    """Accepts connections and passes each request to a handler.

    Args:
        address: IP address and port to listen on; port 0 selects a free one.
        handler: Coroutine function that returns the response to a request.
        max_body: Largest accepted request body in bytes.
        max_connections: Largest number of open connections; further ones are
            closed at once.
        on_error: Called with an exception of the handler; the connection is
            closed without a response, so the client does not know the outcome.

    Attributes:
        address: Address and port on which the server listens.
        open_requests: Requests without a complete response.
        closing: Whether to close each connection after its next response.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        max_body: int = 1024 * 1024,
        max_connections: int = 2000,
        on_error: Callable[[Exception], None] = lambda error: None,
    ):
        self._handler = handler
        self._on_error = on_error
        self._max_body = max_body
        self._max_connections = max_connections
        host, port = split_address(address)
        self._sock = tcp_server_socket(host, port, backlog=LISTEN_BACKLOG)
        self.address = "{}:{}".format(*self._sock.getsockname()[:2])
        self._tasks: set[curio.Task] = set()
        self.open_requests = 0
        self.closing = False

    async def run(self) -> None:
        """Accepts connections until cancelled."""
        try:
            while True:
                client, peer = await self._sock.accept()
                if len(self._tasks) >= self._max_connections:
                    await client.close()
                    continue
                task = await curio.spawn(
                    self._serve, client, f"{peer[0]}:{peer[1]}", daemon=True
                )
                self._tasks.add(task)
        finally:
            await self._sock.close()

    async def stop(self) -> None:
        """Closes all connections; open requests get no response."""
        for task in list(self._tasks):
            await task.cancel()

    async def _serve(self, client: "socket.socket", peer: str) -> None:
        task = await curio.current_task()
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = _ServerConnection(client, peer, self._max_body)
        try:
            async with client:
                while await self._serve_one(connection):
                    pass
        except (OSError, curio.TaskTimeout, h11.RemoteProtocolError):
            pass
        except Exception as error:
            self._on_error(error)
        finally:
            self._tasks.discard(task)

    async def _serve_one(self, connection: "_ServerConnection") -> bool:
        try:
            request = await connection.read_request()
        except h11.RemoteProtocolError as error:
            status = getattr(error, "error_status_hint", 400)
            # What follows a colon quotes the request, which may contain a key.
            await connection.send_error(status, str(error).partition(": ")[0])
            await connection.discard()
            return False
        if request is None:
            return False
        self.open_requests += 1
        try:
            response = await self._handler(request)
            return await connection.send_response(request, response, self.closing)
        finally:
            self.open_requests -= 1


class _ServerConnection:
    def __init__(self, sock: "socket.socket", peer: str, max_body: int):
        self._sock = sock
        self._peer = peer
        self._max_body = max_body
        self._protocol = h11.Connection(h11.SERVER)

    async def read_request(self) -> HttpRequest | None:
        head = await self._next_event(IDLE_TIMEOUT_S)
        if not isinstance(head, h11.Request):
            return None
        body = await self._read_body()
        target = head.target.decode("latin-1")
        parts = urlsplit(target)
        return HttpRequest(
            method=head.method.decode(),
            path=parts.path,
            target=target,
            query={name: values[-1] for name, values in parse_qs(parts.query).items()},
            headers=[
                Header(name.decode(), value.decode("latin-1"))
                for name, value in head.headers
                if name not in HOP_BY_HOP_HEADERS_BYTES
            ],
            body=body,
            peer=self._peer,
            host=_host_header(head),
        )

    async def _read_body(self) -> bytes:
        chunks: list[bytes] = []
        size = 0
        if self._protocol.they_are_waiting_for_100_continue:
            await self._send(h11.InformationalResponse(status_code=100, headers=[]))
        while True:
            match await self._next_event(READ_TIMEOUT_S):
                case h11.Data() as data:
                    chunks.append(bytes(data.data))
                    size += len(data.data)
                    if size > self._max_body:
                        raise h11.RemoteProtocolError(
                            f"the body exceeds {self._max_body} bytes",
                            error_status_hint=413,
                        )
                case h11.EndOfMessage():
                    return b"".join(chunks)
                case _:
                    raise h11.RemoteProtocolError("the request is incomplete")

    async def send_response(
        self, request: HttpRequest, response: HttpResponse, closing: bool
    ) -> bool:
        header_fields = [(h.name, h.value.encode("latin-1")) for h in response.headers]
        header_fields.append(("Content-Length", str(len(response.body))))
        if closing:
            header_fields.append(("Connection", "close"))
        head = h11.Response(status_code=response.status, headers=header_fields)
        body = b"" if request.method == "HEAD" else response.body
        await self._send(head, h11.Data(data=body), h11.EndOfMessage())
        if self._protocol.our_state is not h11.DONE:
            return False
        self._protocol.start_next_cycle()
        return True

    async def send_error(self, status: int, detail: str) -> None:
        if self._protocol.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        # The request did not reach the handler, so it certainly was not run.
        too_large = status == HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        reason = Reason.BODY_TOO_LARGE if too_large else Reason.MALFORMED_REQUEST
        outcome = Outcome.NOT_RUN.value
        refusal = {"outcome": outcome, "reason": reason.value, "remedy": detail}
        body = to_json(refusal | {"retry_after_ms": 0})
        header_fields = [
            ("Content-Type", "application/json"),
            (OUTCOME_HEADER, outcome),
            ("Content-Length", str(len(body))),
            ("Connection", "close"),
        ]
        head = h11.Response(status_code=status, headers=header_fields)
        await self._send(head, h11.Data(data=body), h11.EndOfMessage())

    async def discard(self) -> None:
        """Reads and discards what the client still sends, within bounds.

        Closing a socket with unread data resets the connection, and the client then
        loses the response.
        """
        remaining = MAX_DISCARDED_BYTES
        async with curio.ignore_after(DISCARD_TIMEOUT_S):
            while remaining > 0:
                data = await self._sock.recv(READ_SIZE_BYTES)
                if not data:
                    return
                remaining -= len(data)

    async def _send(self, *events: h11.Event) -> None:
        data = b"".join(self._protocol.send(event) or b"" for event in events)
        async with curio.timeout_after(WRITE_TIMEOUT_S):
            await self._sock.sendall(data)

    async def _next_event(self, timeout: float) -> h11.Event | type:
        while True:
            event = self._protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            async with curio.timeout_after(timeout):
                data = await self._sock.recv(READ_SIZE_BYTES)
            self._protocol.receive_data(data)


def _host_header(head: h11.Request) -> str:
    for name, value in head.headers:
        if name == b"host":
            return value.decode("latin-1")
    return ""


HOP_BY_HOP_HEADERS_BYTES = frozenset(name.encode() for name in HOP_BY_HOP_HEADERS)
