"""Fakes of the platform's store and executors with fault injection."""

import base64
import errno
import functools
import itertools
import json
import math
import random
import socket
import struct
import time
from dataclasses import dataclass, field

import curio

from arbutusladder.httpclient import HttpResponse
from arbutusladder.httpserver import HttpRequest, HttpServer
from tests.harness import reserve_network

POLL_INTERVAL_S = 0.01
# Shortest and longest time in seconds after which a late append is applied.
LATE_APPEND_S = (1.0, 6.0)
# Newest appends of a producer whose repeats get their first responses again.
REPEATED_APPENDS = 5
# Ports that are tried in turn; outgoing connections usually have higher ones.
_ports = itertools.cycle(range(10_000, 32_768))


@functools.cache
def _reserved_network():
    """Returns the loopback network of this process, and the socket that reserves it."""
    return reserve_network()


def loopback_ip(number):
    """Returns a loopback address that no other test process uses.

    Args:
        number: Number of the address, from 1 to 253.
    """
    network, _lock = _reserved_network()
    return f"{network}.{number}"


def free_port(ip):
    """Returns a TCP port that stays free until it is bound.

    Args:
        ip: An address of `loopback_ip`.

    Raises:
        ValueError: Other processes may take ports of the address.
    """
    network, _lock = _reserved_network()
    if ip.rpartition(".")[0] != network:
        raise ValueError(f"{ip} is not reserved; use an address of loopback_ip")
    for port in _ports:
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
                return port
            except OSError as error:
                if error.errno != errno.EADDRINUSE:
                    raise


def json_answer(status, body=None):
    """Returns a response with a JSON body, by default an empty object."""
    return HttpResponse(
        status, [], json.dumps(body if body is not None else {}).encode()
    )


@dataclass
class FakeTopic:
    """One topic; records before ``first_offset`` count as deleted.

    ``replies`` holds the response to each append by epoch and sequence number, so that
    a repeated append gets the same one.
    """

    records: list[bytes] = field(default_factory=list)
    first_offset: int = 0
    epoch: int = 0
    replies: dict[tuple, dict] = field(default_factory=dict)
    append_lock: curio.Lock = field(default_factory=curio.Lock)
    sequence: int = -1

    @property
    def end(self):
        """Offset of the next record."""
        return len(self.records)


class FakeStore:
    """The platform's store, which serves its log.

    Attributes:
        topics: Topics by name.
        refusal_status: HTTP status of the response to every call; 0 to serve calls.
        lose_replies: Number of the next appends that take effect but get no response.
        late_append_share: Share of appends that are applied late and get no response.
        unresponsive: Whether calls get no response and have no effect.
        appends: Number of append calls.
        append_s: Seconds for which an append occupies its topic.
        malformed_keys: Keys whose newest values are sent in an invalid form.
        pages: Requested pages of newest records, each by the key that it follows.
        refused_pages: Number of the next later pages that are refused.
    """

    def __init__(self):
        self.topics: dict[str, FakeTopic] = {}
        self.refusal_status = 0
        self.lose_replies = 0
        self.late_append_share = 0.0
        self.unresponsive = False
        self.appends = 0
        self.append_s = 0.0
        self.malformed_keys: set[str] = set()
        self.pages: list[str] = []
        self.refused_pages = 0
        self.server = HttpServer("127.0.0.1:0", self.handle, max_body=4 << 20)

    @property
    def address(self):
        """Address that clients connect to."""
        return self.server.address

    def put_record(self, topic, key, value):
        """Writes a record as the operator or an executor does."""
        body = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._topic(topic).records.append(bytes((len(key),)) + key.encode() + body)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handles one call of the log."""
        if self.unresponsive:
            await curio.sleep(3600)
        if self.refusal_status:
            return json_answer(self.refusal_status)
        topic = self._topic(request.query["topic"])
        match request.path:
            case "/v1/log-append":
                if random.random() < self.late_append_share:
                    await curio.sleep(random.uniform(*LATE_APPEND_S))
                    await self._append(topic, request)
                    await curio.sleep(3600)
                return await self._append(topic, request)
            case "/v1/log-read":
                return await self._read(topic, request)
            case "/v1/log-newest":
                after = request.query.get("after", "")
                self.pages.append(after)
                if after and self.refused_pages:
                    self.refused_pages -= 1
                    return json_answer(503)
                return self._newest(topic, request)
        return json_answer(404)

    def _topic(self, name):
        return self.topics.setdefault(name, FakeTopic())

    async def _append(self, topic, request):
        self.appends += 1
        if self.append_s:
            async with topic.append_lock:
                await curio.sleep(self.append_s)
        query = request.query
        if "at" in query and int(query["at"]) != topic.end:
            return json_answer(412, {"end": topic.end})
        if "producer" in query:
            early_answer = self._check_writer(topic, query)
            if early_answer:
                return early_answer
        records = list(decode_records(request.body))
        reply = {"offset": topic.end, "end": topic.end + len(records)}
        topic.records += records
        if "producer" in query:
            topic.sequence = int(query["seq"])
            topic.replies[(topic.epoch, topic.sequence)] = reply
            while len(topic.replies) > REPEATED_APPENDS:
                del topic.replies[next(iter(topic.replies))]
        if self.lose_replies:
            self.lose_replies -= 1
            await curio.sleep(3600)
        return json_answer(200, reply)

    def _check_writer(self, topic, query):
        """Returns the response to a fenced or repeated append, or None to append."""
        epoch, sequence = int(query["epoch"]), int(query["seq"])
        if epoch < topic.epoch:
            return json_answer(409, {"reason": "fenced"})
        if epoch > topic.epoch:
            topic.epoch, topic.sequence = epoch, sequence - 1
        if (epoch, sequence) in topic.replies:
            return json_answer(200, topic.replies[(epoch, sequence)])
        if sequence != topic.sequence + 1:
            expected = topic.sequence + 1
            return json_answer(409, {"reason": "seq", "seq": expected})
        return None

    async def _read(self, topic, request):
        start = int(request.query["from"])
        deadline = time.monotonic() + int(request.query.get("wait-ms", 0)) / 1000
        while topic.end <= start and time.monotonic() < deadline:
            await curio.sleep(POLL_INTERVAL_S)
        if start < topic.first_offset:
            return json_answer(410, {"first": topic.first_offset})
        body = struct.pack(">QQ", topic.end, topic.first_offset)
        for record in topic.records[start:]:
            body += struct.pack(">I", len(record)) + record
        return HttpResponse(200, [], body)

    def _newest(self, topic, request):
        newest = {}
        for offset, record in enumerate(topic.records):
            key_size = record[0]
            key, value = record[1 : 1 + key_size].decode(), record[1 + key_size :]
            newest.pop(key, None)
            if value:
                newest[key] = (offset, value)
        keys = sorted(key for key in newest if key > request.query.get("after", ""))
        items = [
            {
                "key": key,
                "offset": newest[key][0],
                "value": "=" * (key in self.malformed_keys)
                + base64.b64encode(newest[key][1]).decode(),
            }
            for key in keys[:500]
        ]
        has_more = len(keys) > 500
        return json_answer(
            200, {"items": items, "has-more": has_more, "end": topic.end}
        )


def decode_records(body):
    """Yields the records in the body of an append."""
    position = 0
    while position < len(body):
        (record_size,) = struct.unpack_from(">I", body, position)
        yield body[position + 4 : position + 4 + record_size]
        position += 4 + record_size


@dataclass
class FakeRun:
    """A run of a task; its times are in seconds of the test's monotonic clock.

    A member of a gang ends at ``alone_at`` if others are missing then.
    """

    started_at: float
    ends_at: float
    alone_at: float = math.inf

    def percent(self):
        """Returns the completed percentage of its work."""
        total_s = self.ends_at - self.started_at
        return min(100.0, 100.0 * (time.monotonic() - self.started_at) / total_s)


class FakeExecutor:
    """One executor, which starts every task that it is ordered to start.

    Attributes:
        born: Time of its start in milliseconds since 1970.
        fence: Highest fence of an order; orders with a lower one are refused.
        lease_end_ms: End of the lease on its clock; None before the first one.
        running: Runs in progress by task and number.
        ended: Rows of the ends that were not acknowledged yet.
        ended_runs: Highest run number that has ended, by task.
        starts: Task, run number and fence of every start.
        lose_starts: Number of the next starts that take effect but get no response.
        task_s: Duration of a task in seconds.
        clock_rate: Rate of its clock relative to the test's; below 1 it is slow.
        duplicate_starts: Tasks that were started while they were running.
    """

    # Longest lease, to which a longer one is shortened.
    MAX_HOLD_MS = 6000

    def __init__(self, name, task_s=0.2, clock_rate=1.0):
        self.name = name
        self.task_s = task_s
        self.clock_rate = clock_rate
        self.born = int(time.time() * 1000)
        self.fence = 0
        self.lease_end_ms = None
        self.running: dict[tuple[str, int], FakeRun] = {}
        self.ended: list[list] = []
        self.ended_runs: dict[str, int] = {}
        self.starts: list[tuple[str, int, int]] = []
        self.duplicate_starts: list[str] = []
        self.lose_starts = 0
        self._end_numbers = itertools.count(1)
        self.server = HttpServer("127.0.0.1:0", self.handle)

    def registry_entry(self, service, cores=8, state="ready"):
        """Returns its entry in the registry."""
        return {
            "service": service,
            "address": self.server.address,
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": state,
            "cold-left-ms": 0,
            "capacity": {"cpu": cores * 1000, "mem-mb": 32768, "gpu": 0},
            "labels": ["a", "r1-1"],
            "seq": 1,
            "born": self.born,
        }

    def clock_ms(self):
        """Returns its monotonic clock in milliseconds."""
        return time.monotonic() * 1000 * self.clock_rate

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handles one order or lease renewal."""
        target_vm = request.header("X-Arbutusladder-Target-Instance")
        if target_vm != self.name:
            return json_answer(421)
        body = json.loads(request.body)
        self._end_finished_runs()
        if body.get("fence", 0) < self.fence:
            return json_answer(409, {"reason": "fence", "clock-ms": self.clock_ms()})
        self.fence = body.get("fence", 0)
        match request.path:
            case "/v1/run-start":
                return await self._start(body)
            case "/v1/run-stop":
                return self._stop(body)
            case "/v1/pace":
                return json_answer(200, {"clock-ms": self.clock_ms()})
            case "/v1/hold":
                return await self._renew_lease(body)
        return json_answer(404)

    async def _start(self, body):
        clock = self.clock_ms()
        if body["deadline-ms"] <= clock:
            return json_answer(409, {"reason": "late", "clock-ms": clock})
        self._extend_lease(body)
        task, number = body["task"], body["run"]
        if number <= self.ended_runs.get(task, 0):
            return json_answer(409, {"reason": "old", "clock-ms": clock})
        if (task, number) in self.running:
            return json_answer(200, {"clock-ms": clock})
        if any(other == task for other, _ in self.running):
            self.duplicate_starts.append(task)
        self.starts.append((task, number, body["fence"]))
        now = time.monotonic()
        self.running[task, number] = FakeRun(now, now + self.task_s)
        if self.lose_starts:
            self.lose_starts -= 1
            await curio.sleep(3600)
        return json_answer(200, {"clock-ms": clock})

    def _stop(self, body):
        task, number = body["task"], body["run"]
        self.ended_runs[task] = max(number, self.ended_runs.get(task, 0))
        if (task, number) in self.running:
            self._end_run((task, number), "stopped")
        return json_answer(200, {"clock-ms": self.clock_ms()})

    async def _renew_lease(self, body):
        self._extend_lease(body)
        acknowledged = body.get("observed", 0)
        self.ended = [row for row in self.ended if row[0] > acknowledged]
        deadline = time.monotonic() + body.get("wait-ms", 0) / 1000
        while not self.ended and time.monotonic() < deadline:
            await curio.sleep(POLL_INTERVAL_S)
            self._end_finished_runs()
        running = [
            [task, number, "", run.percent()]
            for (task, number), run in self.running.items()
        ]
        return json_answer(
            200,
            {
                "clock-ms": self.clock_ms(),
                "born": self.born,
                "running": running,
                "ended": self.ended,
            },
        )

    def _extend_lease(self, body):
        if "deadline-ms" in body:
            end_ms = min(body["deadline-ms"], self.clock_ms() + self.MAX_HOLD_MS)
            self.lease_end_ms = max(self.lease_end_ms or end_ms, end_ms)

    def _end_finished_runs(self):
        if self.lease_end_ms is not None and self.clock_ms() > self.lease_end_ms:
            for key in list(self.running):
                self._end_run(key, "lapsed")
        for key, run in list(self.running.items()):
            if run.ends_at <= time.monotonic():
                self._end_run(key, "done")

    def _end_run(self, key, end_kind):
        task, number = key
        del self.running[key]
        self.ended_runs[task] = max(number, self.ended_runs.get(task, 0))
        self.ended.append([next(self._end_numbers), task, number, end_kind, ""])
