"""Small HTTP/1.1 server and client on asyncio."""

import asyncio
import json
from urllib.parse import parse_qsl, urlsplit

STATUS_TEXT = {200: "OK", 404: "Not Found", 409: "Conflict", 503: "Service Unavailable"}


class Request:
    """A complete request."""

    def __init__(self, method, target, headers, body, peer=""):
        parts = urlsplit(target)
        self.method, self.path = method, parts.path
        self.query = dict(parse_qsl(parts.query))
        self.headers, self.body, self.peer = headers, body, peer

    def json(self):
        """Returns the decoded body."""
        return json.loads(self.body or b"{}")


async def read_head(reader):
    """Returns the first line and the headers of a message; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines if ":" in line)
    return first, {name.strip().lower(): value.strip() for name, value in pairs}


class Server:
    """Serves a handler that returns status and body; None gives no answer."""

    def __init__(self, handler):
        self._handler = handler
        self._writers = set()
        self.address = ""

    async def start(self, ip):
        """Listens on a free port of an address."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])

    def reset_connections(self):
        """Resets all connections, as the end of the process would."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while head := await read_head(reader):
                first, headers = head
                method, target, _ = first.split(" ")
                size = int(headers.get("content-length", 0))
                body = await reader.readexactly(size) if size else b""
                peer = writer.get_extra_info("peername")[0]
                answer = await self._handler(
                    Request(method, target, headers, body, peer)
                )
                if answer is None:
                    await asyncio.sleep(3600)
                status, content = answer
                if not isinstance(content, bytes):
                    content = json.dumps(content).encode()
                text = STATUS_TEXT.get(status, "Status")
                writer.write(
                    f"HTTP/1.1 {status} {text}\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n".encode()
                    + content
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def request(address, method, path, body=None, headers=None, timeout=3.0):
    """Sends one request on a new connection.

    Returns:
        Status and decoded body; status 0 without an answer.
    """
    try:
        async with asyncio.timeout(timeout):
            return await _exchange(address, method, path, body, headers or {})
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, {}


async def _exchange(address, method, path, body, headers):
    ip, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        data = json.dumps(body).encode() if body is not None else b""
        fields = {"Host": address, "Content-Length": str(len(data))} | headers
        if data:
            fields["Content-Type"] = "application/json"
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + data)
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            return 0, {}
        first, answer_headers = head
        size = int(answer_headers.get("content-length", 0))
        content = await reader.readexactly(size) if size else b""
        return int(first.split(" ")[1]), json.loads(content or b"{}")
    finally:
        writer.close()
