"""Stand-in of the log service for tests, with fault injection switches.

Usage:
    fakelog [--listen=ADDRESS] [--retention=SECONDS] [--rate=APPENDS]

Options:
    --listen=ADDRESS      IP address and port [default: 127.0.0.1:7070].
    --retention=SECONDS   Age at which records are dropped [default: 86400].
    --rate=APPENDS        Append requests a second [default: 400].
"""

from collections import deque
from dataclasses import dataclass, field

import curio
import msgspec
from docopt import docopt

from arbutusladder import codec
from arbutusladder.clock import Clock
from arbutusladder.errors import ProtocolError
from arbutusladder.httpclient import HttpResponse
from arbutusladder.httpserver import HttpRequest, HttpServer
from arbutusladder.messages import AppendRecords, AppendResult, LogRecord, ReadResult

MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_HISTORY = 10_000
LOST_REPLY = "reply lost"


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Switches of the fake log service.

    Attributes:
        outage: Every request gets 503 and has no effect.
        refuse_appends: Appends get 403 and have no effect; reads work.
        delay_s: Seconds that every request waits before it is handled.
        reply_delay_s: Seconds between the effect of an append and its reply.
        lose_replies: Number of next appends that take effect without a reply.
        retention_s: Age in seconds at which records are dropped.
        rate: Append requests a second; more get 429.
    """

    outage: bool = False
    refuse_appends: bool = False
    delay_s: float = 0.0
    reply_delay_s: float = 0.0
    lose_replies: int = 0
    retention_s: float = 86400.0
    rate: float = 400.0


@dataclass
class ReceivedRequest:
    """One request that the fake log service received.

    Attributes:
        at: Monotonic time in seconds.
        method: HTTP method.
        target: Path with query.
        record_ids: Ids of the records in an append.
        result: Status code, or that the reply was lost.
    """

    at: float
    method: str
    target: str
    record_ids: list[str]
    result: str


@dataclass
class Stream:
    """Records of one stream in the retained range.

    Attributes:
        start: First retained offset.
        records: Retained records in order.
        times: Append time of each retained record in seconds.
        grown: Set and replaced at each append.
    """

    start: int = 0
    records: deque[LogRecord] = field(default_factory=deque)
    times: deque[float] = field(default_factory=deque)
    grown: curio.Event = field(default_factory=curio.Event)

    @property
    def next(self) -> int:
        """Offset of the next append."""
        return self.start + len(self.records)

    def append(self, new_records: list, now: float) -> list[int]:
        """Appends records and returns their offsets."""
        first = self.next
        for new in new_records:
            self.records.append(LogRecord(self.next, new.id, new.body))
            self.times.append(now)
        return list(range(first, self.next))

    def drop_before(self, limit: float) -> None:
        """Drops records that were appended before a time."""
        while self.times and self.times[0] < limit:
            self.records.popleft()
            self.times.popleft()
            self.start += 1

    def read(self, offset: int, max_records: int) -> ReadResult:
        """Returns retained records from an offset on."""
        skip = max(0, offset - self.start)
        end = min(len(self.records), skip + max_records)
        found = [self.records[index] for index in range(skip, end)]
        return ReadResult(self.start, self.next, found)


class FakeLog:
    """The log service: offsets, retention, rate limit and faults.

    Args:
        address: IP address and port to listen on; port 0 takes a free one.
        faults: Initial switches; tests may change them at any time.
        clock: Source of time for retention and the rate limit.
    """

    def __init__(
        self,
        address: str = "127.0.0.1:0",
        faults: Faults | None = None,
        clock: Clock | None = None,
    ):
        self.faults = faults or Faults()
        self.stream_by_name: dict[str, Stream] = {}
        self.received_requests: deque[ReceivedRequest] = deque(maxlen=MAX_HISTORY)
        self._clock = clock or Clock()
        self._tokens = self.faults.rate
        self._tokens_at = self._clock.now()
        self._server = HttpServer(address, self._handle, max_body=MAX_BODY_BYTES)
        self.address = self._server.address

    async def run(self) -> None:
        """Serves until cancelled."""
        await self._server.run()

    async def stop(self) -> None:
        """Closes all connections."""
        await self._server.stop()

    def records(self, name: str) -> list[LogRecord]:
        """Returns the retained records of a stream."""
        return list(self._stream(name).records)

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        received = ReceivedRequest(
            self._clock.now(), request.method, request.target, [], ""
        )
        self.received_requests.append(received)
        answer = await self._answer(request, received)
        received.result = received.result or str(answer.status)
        if received.result == LOST_REPLY:
            # The server closes the connection without an answer.
            raise ConnectionError(LOST_REPLY)
        return answer

    async def _answer(
        self, request: HttpRequest, received: ReceivedRequest
    ) -> HttpResponse:
        match request.method, request.path.strip("/").split("/"):
            case "POST", ["v1", "faults"]:
                return self._set_faults(request.body)
            case "GET", ["v1", "faults"]:
                return _json(self.faults)
            case "GET", ["v1", "given"]:
                return _json(list(self.received_requests))
        if self.faults.delay_s:
            await curio.sleep(self.faults.delay_s)
        if self.faults.outage:
            return HttpResponse(503, [], b"outage")
        match request.method, request.path.strip("/").split("/"):
            case "POST", ["v1", "streams", name, "records"]:
                return await self._append(name, request.body, received)
            case "GET", ["v1", "streams", name, "records"]:
                return await self._read(name, request.query)
        return HttpResponse(404, [], b"no such resource")

    async def _append(
        self, name: str, body: bytes, received: ReceivedRequest
    ) -> HttpResponse:
        try:
            records = codec.from_json(body, AppendRecords).records
        except ProtocolError as error:
            return HttpResponse(400, [], str(error).encode())
        received.record_ids = [record.id for record in records]
        if self.faults.refuse_appends:
            return HttpResponse(403, [], b"appends are refused")
        if not self._take_token():
            return HttpResponse(429, [], b"rate limit")
        stream = self._stream(name)
        offsets = stream.append(records, self._clock.now())
        grown, stream.grown = stream.grown, curio.Event()
        await grown.set()
        if self.faults.lose_replies > 0:
            self.faults.lose_replies -= 1
            received.result = LOST_REPLY
        if self.faults.reply_delay_s:
            await curio.sleep(self.faults.reply_delay_s)
        return _json(AppendResult(offsets))

    async def _read(self, name: str, query: dict[str, str]) -> HttpResponse:
        offset = int(query.get("from", "0"))
        max_records = int(query.get("max", "1000"))
        wait_s = int(query.get("wait_ms", "0")) / 1000
        stream = self._stream(name)
        if offset >= stream.next and wait_s > 0:
            await curio.ignore_after(wait_s, stream.grown.wait)
        if self.faults.outage:
            return HttpResponse(503, [], b"outage")
        return _json(self._stream(name).read(offset, max_records))

    def _stream(self, name: str) -> Stream:
        stream = self.stream_by_name.setdefault(name, Stream())
        stream.drop_before(self._clock.now() - self.faults.retention_s)
        return stream

    def _take_token(self) -> bool:
        now = self._clock.now()
        earned = (now - self._tokens_at) * self.faults.rate
        self._tokens = min(self.faults.rate, self._tokens + earned)
        self._tokens_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _set_faults(self, body: bytes) -> HttpResponse:
        try:
            changes = msgspec.json.decode(body)
            merged = msgspec.to_builtins(self.faults) | changes
            self.faults = msgspec.convert(merged, Faults)
        except (msgspec.MsgspecError, TypeError) as error:
            return HttpResponse(400, [], str(error).encode())
        return _json(self.faults)


def _json(value: object) -> HttpResponse:
    return HttpResponse(200, [], codec.to_json(value))


def main() -> None:
    """Runs the fake log service as a process."""
    options = docopt(__doc__)
    faults = Faults(
        retention_s=float(options["--retention"]), rate=float(options["--rate"])
    )
    log = FakeLog(options["--listen"], faults)
    print(log.address, flush=True)
    curio.run(log.run)


if __name__ == "__main__":
    main()
