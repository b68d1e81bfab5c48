"""Fake executor for tests: runs requests and records them.

Usage:
  fakeexecutor [--listen=ADDRESS] [--vm=ID] [--work-ms=MS]
  fakeexecutor -h | --help

Options:
  --listen=ADDRESS  IP address and port; port 0 selects a free port
                    [default: 127.0.0.1:0].
  --vm=ID           Id of the VM [default: executor].
  --work-ms=MS      Service time of a request in milliseconds [default: 5].

A request may have the query parameters work_ms (service time in milliseconds),
size (minimum size of the response body in bytes) and chunked=1. The response
echoes the request body. POST /v1/faults replaces the faults, GET /v1/record
returns the record.
"""

from collections import Counter
from dataclasses import dataclass, field

import curio
import docopt
import h11
from curio import socket
from curio.network import tcp_server_socket

from arbutusladder.clock import Clock
from arbutusladder.codec import from_json, to_json
from arbutusladder.errors import ProtocolError
from arbutusladder.headernames import LEAVING_HEADER, NOT_RUN_HEADER, REQUEST_ID_HEADER
from arbutusladder.httpclient import HttpResponse, split_address
from arbutusladder.httplimits.limiter import trusted_limiter
from arbutusladder.httpserver import HttpRequest
from arbutusladder.messages import Header
from arbutusladder.serverconnection import ServerConnection

CONTROL_PREFIX = "/v1/"
MAX_BODY_BYTES = 16 * 1024 * 1024
CHUNK_BYTES = 4096
EXTRA_RESPONSE_DELAY_S = 0.005


@dataclass
class Faults:
    """Faults of a fake executor; all are off by default.

    Attributes:
        slow_s: Additional service time in seconds.
        late_s: Delay in seconds between the end of the work and the response.
        die_in_body: Number of following responses that end in the middle of the body.
        die_before_answer: Number of following requests that run but get no response.
        double_answer: Number of following responses after which an unsolicited
            second response is sent on the same connection.
        silent: Connections that are open when this is set get no more responses.
        mute: Requests run but get no response while this is set.
        refuse: Reason in the Arbutusladder-Not-Run header of every response; empty
            to run requests.
        leaving: Whether responses have the Arbutusladder-Leaving header.
        leaving_refuses: Whether new requests are refused with the reason ``leaving``.
    """

    slow_s: float = 0.0
    late_s: float = 0.0
    die_in_body: int = 0
    die_before_answer: int = 0
    double_answer: int = 0
    silent: bool = False
    mute: bool = False
    refuse: str = ""
    leaving: bool = False
    leaving_refuses: bool = False


@dataclass
class RequestRun:
    """One run of a request.

    Attributes:
        request_id: Request id that the shard owner assigned.
        key: Idempotency key; empty without one.
        path: Path of the request.
        connection: Sequence number of the connection, from 1.
        started_at: Monotonic time of the start in seconds.
        ended_at: Monotonic time of the end in seconds; 0 while the request runs.
    """

    request_id: str
    key: str
    path: str
    connection: int
    started_at: float
    ended_at: float = 0.0


@dataclass
class ExecutorRecord:
    """Requests and connections that an executor has handled.

    Attributes:
        runs: Runs in order of their start.
        runs_by_key: Number of runs of each idempotency key.
        highest_slots: Highest number of requests that ran at the same time.
        highest_connections: Highest number of open connections, without control
            connections.
        refused: Number of requests refused as not run.
        connections: Number of accepted connections, without control connections.
    """

    runs: list[RequestRun] = field(default_factory=list)
    runs_by_key: dict[str, int] = field(default_factory=Counter)
    highest_slots: int = 0
    highest_connections: int = 0
    refused: int = 0
    connections: int = 0

    def has_run(self, request_id: str) -> bool:
        """Returns whether a request with this id was started."""
        return any(run.request_id == request_id for run in self.runs)


class FakeExecutor:
    """HTTP executor that simulates work and injects faults.

    Args:
        address: IP address and port to listen on; port 0 selects a free port.
        vm: VM id of the executor.
        work_s: Default service time of a request in seconds.
    """

    def __init__(
        self, address: str = "127.0.0.1:0", vm: str = "executor", work_s: float = 0.005
    ):
        self.vm = vm
        self.work_s = work_s
        self.faults = Faults()
        self.record = ExecutorRecord()
        self._clock = Clock()
        self._listener = tcp_server_socket(*split_address(address), backlog=512)
        self.address = "{}:{}".format(*self._listener.getsockname()[:2])
        self._open_connections: set[_Connection] = set()
        self._running_count = 0

    async def run(self) -> None:
        """Accepts connections until cancelled."""
        async with curio.TaskGroup(wait=None) as group, self._listener:
            while True:
                client, _ = await self._listener.accept()
                client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.record.connections += 1
                connection = _Connection(client, self.record.connections)
                self._open_connections.add(connection)
                await group.spawn(self._serve_connection, connection)

    def set_faults(self, faults: Faults) -> None:
        """Replaces all faults; ``silent`` applies to the open connections."""
        for connection in self._open_connections:
            connection.silent = faults.silent
        self.faults = faults

    @property
    def running_count(self) -> int:
        """Number of requests that are running."""
        return self._running_count

    async def _serve_connection(self, connection: "_Connection") -> None:
        try:
            async with connection.sock:
                while await self._serve_request(connection):
                    pass
        except (OSError, curio.TaskTimeout, h11.ProtocolError):
            pass
        finally:
            self._open_connections.discard(connection)

    async def _serve_request(self, connection: "_Connection") -> bool:
        request = await connection.http.read_request()
        if request is None:
            return False
        if connection.silent:
            await curio.sleep(3600)
            return False
        if request.path.startswith(CONTROL_PREFIX):
            return await self._handle_control_request(connection, request)
        open_count = sum(not c.is_control for c in self._open_connections)
        self.record.highest_connections = max(
            self.record.highest_connections, open_count
        )
        return await self._handle_request(connection, request)

    async def _handle_control_request(
        self, connection: "_Connection", request: HttpRequest
    ) -> bool:
        if not connection.is_control:
            connection.is_control = True
            self.record.connections -= 1
        response = self._control_response(request)
        return await connection.http.send_response(request, response, False)

    def _control_response(self, request: HttpRequest) -> HttpResponse:
        match request.method, request.path:
            case "GET", "/v1/record":
                return HttpResponse(200, [], to_json(self.record))
            case "POST", "/v1/faults":
                try:
                    self.set_faults(from_json(request.body, Faults))
                except ProtocolError as error:
                    return HttpResponse(400, [], str(error).encode())
                return HttpResponse(204)
        return HttpResponse(404)

    async def _handle_request(
        self, connection: "_Connection", request: HttpRequest
    ) -> bool:
        if request.path == "/healthz":
            return await connection.http.send_response(
                request, HttpResponse(200), False
            )
        faults = self.faults
        reason = faults.refuse or ("leaving" if faults.leaving_refuses else "")
        if reason:
            self.record.refused += 1
            response = HttpResponse(
                503, self._response_headers(Header(NOT_RUN_HEADER, reason))
            )
            return await connection.http.send_response(request, response, False)
        await self._run_request(connection, request)
        await curio.sleep(faults.late_s)
        return await self._send_response(connection, request)

    async def _run_request(
        self, connection: "_Connection", request: HttpRequest
    ) -> None:
        key = request.header("Idempotency-Key")
        request_id = request.header(REQUEST_ID_HEADER)
        now = self._clock.now()
        run = RequestRun(request_id, key, request.path, connection.number, now)
        self.record.runs.append(run)
        if key:
            self.record.runs_by_key[key] += 1
        self._running_count += 1
        self.record.highest_slots = max(self.record.highest_slots, self._running_count)
        work_s = float(request.query.get("work_ms", self.work_s * 1000)) / 1000
        try:
            # The work continues when the client closes the connection.
            await curio.sleep(work_s + self.faults.slow_s)
        finally:
            self._running_count -= 1
            run.ended_at = self._clock.now()

    async def _send_response(
        self, connection: "_Connection", request: HttpRequest
    ) -> bool:
        faults = self.faults
        if faults.mute or connection.silent:
            await curio.sleep(3600)
        if faults.die_before_answer:
            faults.die_before_answer -= 1
            return False
        body = request.body.ljust(int(request.query.get("size", 0)), b".")
        if faults.die_in_body:
            faults.die_in_body -= 1
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body) + 10}\r\n\r\n"
            await connection.sock.sendall(head.encode() + body)
            return False
        if request.query.get("chunked"):
            return await self._send_chunked(connection, body)
        response = HttpResponse(200, self._response_headers(), body)
        keep_open = await connection.http.send_response(request, response, False)
        if faults.double_answer:
            faults.double_answer -= 1
            # Sent after the first response, when the connection is idle again.
            await curio.sleep(EXTRA_RESPONSE_DELAY_S)
            extra_response = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
            await connection.sock.sendall(extra_response)
        return keep_open

    async def _send_chunked(self, connection: "_Connection", body: bytes) -> bool:
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
        await connection.sock.sendall(head + b"Connection: close\r\n\r\n")
        for start in range(0, len(body), CHUNK_BYTES):
            chunk = body[start : start + CHUNK_BYTES]
            await connection.sock.sendall(b"%x\r\n%b\r\n" % (len(chunk), chunk))
        await connection.sock.sendall(b"0\r\n\r\n")
        return False

    def _response_headers(self, *extra_headers: Header) -> list[Header]:
        headers = [Header("Fake-Executor", self.vm), *extra_headers]
        if self.faults.leaving:
            headers.append(Header(LEAVING_HEADER, "true"))
        return headers


class _Connection:
    """One accepted connection.

    Attributes:
        number: Sequence number, from 1.
        silent: Whether requests get no more responses.
        is_control: Whether it has received a control request.
        http: HTTP protocol state of the connection.
    """

    def __init__(self, sock: "socket.socket", number: int):
        self.sock = sock
        self.number = number
        self.silent = False
        self.is_control = False
        self.http = ServerConnection(sock, "", trusted_limiter(MAX_BODY_BYTES, 1))


def main() -> None:
    """Runs a fake executor from the command line."""
    options = docopt.docopt(__doc__)
    work_s = float(options["--work-ms"]) / 1000
    executor = FakeExecutor(options["--listen"], options["--vm"], work_s)
    print(executor.address, flush=True)
    curio.run(executor.run)


if __name__ == "__main__":
    main()
