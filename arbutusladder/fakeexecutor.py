"""Fake executor for tests: runs what it is given and records it.

Usage:
  fakeexecutor [--listen=ADDRESS] [--vm=ID] [--work-ms=MS]
  fakeexecutor -h | --help

Options:
  --listen=ADDRESS  Address and port [default: 127.0.0.1:0].
  --vm=ID           Id of the VM [default: executor].
  --work-ms=MS      Service time of a request in milliseconds [default: 5].

A request may carry the query values work_ms (service time), size (bytes of the
answer's body) and chunked=1. The answer repeats the body of the request.
POST /v1/faults sets the faults, GET /v1/record returns the record.
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
from arbutusladder.httpserver import HttpRequest, _ServerConnection
from arbutusladder.messages import Header

CONTROL_PREFIX = "/v1/"
MAX_BODY_BYTES = 16 * 1024 * 1024
CHUNK_BYTES = 4096
STRAY_DELAY_S = 0.005


@dataclass
class Faults:
    """Switches; each is off by default.

    Attributes:
        slow_s: Extra service time in seconds.
        late_s: Seconds between the end of the work and the answer.
        die_in_body: Answers that are cut in the middle of the body.
        die_before_answer: Requests that run and get no answer.
        double_answer: Answers that are sent twice on the connection.
        silent: Connections open when this is set are no longer read.
        mute: Requests run, but no answer is sent while this is set.
        refuse: Reason of Arbutusladder-Not-Run; empty runs requests.
        leaving: Whether answers say Arbutusladder-Leaving.
        leaving_refuses: Whether a leaving executor also refuses new work.
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
class RunRecord:
    """One request that ran.

    Attributes:
        request_id: Id that the owner gave the request.
        key: Idempotency key, empty for none.
        path: Path of the request.
        connection: Number of the connection.
        started_at: Monotonic time of the start in seconds.
        ended_at: Monotonic time of the end, 0 while it runs.
    """

    request_id: str
    key: str
    path: str
    connection: int
    started_at: float
    ended_at: float = 0.0


@dataclass
class Record:
    """What the executor was given.

    Attributes:
        runs: Requests that ran, in order of their start.
        runs_by_key: Number of runs of each idempotency key.
        highest_slots: Most requests that ran at the same time.
        highest_connections: Most open connections.
        refused: Requests refused as not run.
        connections: Connections accepted, without control connections.
    """

    runs: list[RunRecord] = field(default_factory=list)
    runs_by_key: dict[str, int] = field(default_factory=Counter)
    highest_slots: int = 0
    highest_connections: int = 0
    refused: int = 0
    connections: int = 0

    def ran(self, request_id: str) -> bool:
        """Tells whether a request ran."""
        return any(run.request_id == request_id for run in self.runs)


class FakeExecutor:
    """Executor with faults.

    Args:
        address: IP address and port; port 0 takes a free one.
        vm: Id of the VM.
        work_s: Service time of a request in seconds.
    """

    def __init__(
        self, address: str = "127.0.0.1:0", vm: str = "executor", work_s: float = 0.005
    ):
        self.vm = vm
        self.work_s = work_s
        self.faults = Faults()
        self.record = Record()
        self._clock = Clock()
        self._sock = tcp_server_socket(*split_address(address), backlog=512)
        self.address = "{}:{}".format(*self._sock.getsockname()[:2])
        self._open: set[_Connection] = set()
        self._running = 0

    async def run(self) -> None:
        """Accepts connections until cancelled."""
        async with curio.TaskGroup(wait=None) as group, self._sock:
            while True:
                client, _ = await self._sock.accept()
                client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.record.connections += 1
                connection = _Connection(client, self.record.connections)
                self._open.add(connection)
                await group.spawn(self._serve, connection)

    def set_faults(self, faults: Faults) -> None:
        """Sets all switches."""
        for connection in self._open:
            connection.silent = faults.silent
        self.faults = faults

    @property
    def running(self) -> int:
        """Requests that run now."""
        return self._running

    async def _serve(self, connection: "_Connection") -> None:
        try:
            async with connection.sock:
                while await self._serve_one(connection):
                    pass
        except (OSError, curio.TaskTimeout, h11.ProtocolError):
            pass
        finally:
            self._open.discard(connection)

    async def _serve_one(self, connection: "_Connection") -> bool:
        request = await connection.http.read_request()
        if request is None:
            return False
        if connection.silent:
            await curio.sleep(3600)
            return False
        if request.path.startswith(CONTROL_PREFIX):
            return await self._control(connection, request)
        opened = sum(not c.control for c in self._open)
        self.record.highest_connections = max(self.record.highest_connections, opened)
        return await self._work(connection, request)

    async def _control(self, connection: "_Connection", request: HttpRequest) -> bool:
        if not connection.control:
            connection.control = True
            self.record.connections -= 1
        answer = self._control_answer(request)
        return await connection.http.send_response(request, answer, False)

    def _control_answer(self, request: HttpRequest) -> HttpResponse:
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

    async def _work(self, connection: "_Connection", request: HttpRequest) -> bool:
        if request.path == "/healthz":
            return await connection.http.send_response(
                request, HttpResponse(200), False
            )
        faults = self.faults
        reason = faults.refuse or ("leaving" if faults.leaving_refuses else "")
        if reason:
            self.record.refused += 1
            answer = HttpResponse(503, self._headers(Header(NOT_RUN_HEADER, reason)))
            return await connection.http.send_response(request, answer, False)
        await self._run_request(connection, request)
        await curio.sleep(faults.late_s)
        return await self._answer(connection, request)

    async def _run_request(
        self, connection: "_Connection", request: HttpRequest
    ) -> None:
        key = request.header("Idempotency-Key")
        request_id = request.header(REQUEST_ID_HEADER)
        now = self._clock.now()
        run = RunRecord(request_id, key, request.path, connection.number, now)
        self.record.runs.append(run)
        if key:
            self.record.runs_by_key[key] += 1
        self._running += 1
        self.record.highest_slots = max(self.record.highest_slots, self._running)
        seconds = float(request.query.get("work_ms", self.work_s * 1000)) / 1000
        try:
            # Work goes on when the client closes the connection.
            await curio.sleep(seconds + self.faults.slow_s)
        finally:
            self._running -= 1
            run.ended_at = self._clock.now()

    async def _answer(self, connection: "_Connection", request: HttpRequest) -> bool:
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
        answer = HttpResponse(200, self._headers(), body)
        again = await connection.http.send_response(request, answer, False)
        if faults.double_answer:
            faults.double_answer -= 1
            # Later than the answer, while the connection is idle.
            await curio.sleep(STRAY_DELAY_S)
            stray = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
            await connection.sock.sendall(stray)
        return again

    async def _send_chunked(self, connection: "_Connection", body: bytes) -> bool:
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
        await connection.sock.sendall(head + b"Connection: close\r\n\r\n")
        for start in range(0, len(body), CHUNK_BYTES):
            chunk = body[start : start + CHUNK_BYTES]
            await connection.sock.sendall(b"%x\r\n%b\r\n" % (len(chunk), chunk))
        await connection.sock.sendall(b"0\r\n\r\n")
        return False

    def _headers(self, *more: Header) -> list[Header]:
        headers = [Header("Fake-Executor", self.vm), *more]
        if self.faults.leaving:
            headers.append(Header(LEAVING_HEADER, "true"))
        return headers


class _Connection:
    def __init__(self, sock: "socket.socket", number: int):
        self.sock = sock
        self.number = number
        self.silent = False
        self.control = False
        self.http = _ServerConnection(sock, "", MAX_BODY_BYTES)


def main() -> None:
    """Runs a fake executor as a process."""
    options = docopt.docopt(__doc__)
    work_s = float(options["--work-ms"]) / 1000
    executor = FakeExecutor(options["--listen"], options["--vm"], work_s)
    print(executor.address, flush=True)
    curio.run(executor.run)


if __name__ == "__main__":
    main()
