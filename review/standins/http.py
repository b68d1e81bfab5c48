"""Minimal HTTP/1.1 server and client on asyncio."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from urllib.parse import parse_qsl, urlsplit


@dataclass
class Request:
    """A complete request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    sender: str = ""

    def json(self) -> dict:
        """Returns the decoded body."""
        return json.loads(self.body or b"{}")


@dataclass
class Response:
    """A complete response."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)

    def json(self) -> dict:
        """Returns the decoded body."""
        return json.loads(self.body or b"{}")


def json_response(status: int, body: dict | None = None) -> Response:
    """Returns a response with a JSON body."""
    return Response(status, json.dumps(body or {}).encode())


Handler = Callable[[Request], Awaitable[Response | None]]


class Server:
    """HTTP server whose network path can be cut.

    While it is dark, nothing that is sent to it arrives and nothing leaves it. A new
    life of the program behind it knows none of the earlier connections and resets
    them when more data arrives on them, as TCP does.

    Args:
        handler: Coroutine function that returns the response, or None for none.

    Attributes:
        dark: Whether the path is cut.
        address: IP address and port.
        identify: Returns the name of the sender of a connection by the ports of its
            two ends; an empty name if that is not known.
    """

    def __init__(self, handler: Handler):
        self._handler = handler
        self.identify: Callable[[int, int], str] = lambda port, server_port: ""
        self._server: asyncio.Server | None = None
        self._life = 0
        self.dark = False
        self.address = ""

    async def start(self, host: str, port: int = 0) -> None:
        """Listens on an address."""
        self._server = await asyncio.start_server(self._serve, host, port, backlog=512)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])

    def forget_connections(self) -> None:
        """Begins a new life, which knows no earlier connection."""
        self._life += 1

    async def _serve(self, reader, writer) -> None:
        life = self._life
        dead = self.dark
        sender = self.identify(
            writer.get_extra_info("peername")[1], writer.get_extra_info("sockname")[1]
        )
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                if self.dark:
                    # The request is lost; data after the cut meets a reset.
                    dead = True
                    continue
                if dead or life != self._life:
                    writer.transport.abort()
                    return
                request.sender = sender
                response = await self._handler(request)
                if response is None or self.dark or life != self._life:
                    dead = True
                    continue
                writer.write(encode_response(response))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()


async def read_request(reader) -> Request | None:
    """Reads one request; returns None at the end of the connection."""
    head = await _read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    parts = urlsplit(target)
    headers = _parse_headers(head[1:])
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, parts.path, dict(parse_qsl(parts.query)), headers, body)


def encode_response(response: Response) -> bytes:
    """Encodes a response."""
    lines = [f"HTTP/1.1 {response.status} {HTTPStatus(response.status).phrase}"]
    lines.append(f"Content-Length: {len(response.body)}")
    lines.append("Content-Type: application/json")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + response.body


async def send_request(
    address: str,
    method: str,
    path: str,
    body: dict | None = None,
    headers: dict[str, str] | None = None,
    timeout: float = 3.0,
) -> Response | None:
    """Sends a request on a new connection; returns None without a whole response."""
    try:
        return await asyncio.wait_for(
            _exchange(address, method, path, body, headers or {}), timeout
        )
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None


async def _exchange(address, method, path, body, headers) -> Response | None:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        data = b"" if body is None else json.dumps(body).encode()
        fields = {"Host": address, "Content-Type": "application/json"} | headers
        fields |= {"Content-Length": str(len(data)), "Connection": "close"}
        head = [f"{method} {path} HTTP/1.1"]
        head += [f"{name}: {value}" for name, value in fields.items()]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + data)
        await writer.drain()
        lines = await _read_head(reader)
        if lines is None:
            return None
        answered = _parse_headers(lines[1:])
        size = int(answered.get("content-length", 0))
        answer_body = await reader.readexactly(size)
        return Response(int(lines[0].split(" ")[1]), answer_body, answered)
    finally:
        writer.close()


async def _read_head(reader) -> list[str] | None:
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    return raw.decode("latin-1").rstrip("\r\n").split("\r\n")


def _parse_headers(lines: list[str]) -> dict[str, str]:
    pairs = (line.split(":", 1) for line in lines)
    return {name.strip().lower(): value.strip() for name, value in pairs}
