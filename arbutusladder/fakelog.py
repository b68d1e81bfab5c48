"""Fake log service for tests, with fault injection over HTTP.

Usage:
    fakelog [--listen=ADDRESS] [--retention=SECONDS] [--rate=APPENDS]

Options:
    --listen=ADDRESS      IP address and port [default: 127.0.0.1:7070].
    --retention=SECONDS   Age at which records are deleted [default: 86400].
    --rate=APPENDS        Append requests per second [default: 400].
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
MAX_RECEIVED_REQUESTS = 10_000
LOST_REPLY = "reply lost"


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults and limits of the fake log service.

    Attributes:
        outage: Every request is answered with 503 and has no effect.
        refuse_appends: Appends are answered with 403 and have no effect; reads work.
        delay_s: Delay in seconds before each request is handled.
        reply_delay_s: Delay in seconds between applying an append and its reply.
        lose_replies: Number of following appends that take effect but get no reply.
        retention_s: Age in seconds at which records are deleted.
        rate: Append requests per second; those above it are answered with 429.
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
        at: Monotonic time of arrival in seconds.
        method: HTTP method.
        target: Path and query string.
        record_ids: Ids of the records of an append request.
        result: Status code, or ``reply lost``.
    """

    at: float
    method: str
    target: str
    record_ids: list[str]
    result: str


@dataclass
class Stream:
    """Retained records of one stream.

    Attributes:
        first_offset: Offset of the first retained record.
        records: Retained records in offset order.
        append_times: Monotonic append time of each retained record in seconds.
        appended: Event that each append sets and replaces with a new one.
    """

    first_offset: int = 0
    records: deque[LogRecord] = field(default_factory=deque)
    append_times: deque[float] = field(default_factory=deque)
    appended: curio.Event = field(default_factory=curio.Event)

    @property
    def next_offset(self) -> int:
        """Offset that the next appended record gets."""
        return self.first_offset + len(self.records)

    def append(self, added_records: list, now: float) -> list[int]:
        """Appends records and returns their offsets."""
        first_added = self.next_offset
        for record in added_records:
            self.records.append(LogRecord(self.next_offset, record.id, record.body))
            self.append_times.append(now)
        return list(range(first_added, self.next_offset))

    def drop_before(self, min_append_time: float) -> None:
        """Deletes the records appended before a monotonic time in seconds."""
        while self.append_times and self.append_times[0] < min_append_time:
            self.records.popleft()
            self.append_times.popleft()
            self.first_offset += 1

    def read(self, offset: int, max_records: int) -> ReadResult:
        """Returns up to ``max_records`` retained records from an offset on."""
        first_index = max(0, offset - self.first_offset)
        end_index = min(len(self.records), first_index + max_records)
        found = [self.records[index] for index in range(first_index, end_index)]
        return ReadResult(self.first_offset, self.next_offset, found)


class FakeLog:
    """In-memory log service with retention, a rate limit and faults.

    Args:
        address: IP address and port to listen on; port 0 selects a free port.
        faults: Initial faults; tests may change them at any time.
        clock: Clock for retention and the rate limit.
    """

    def __init__(
        self,
        address: str = "127.0.0.1:0",
        faults: Faults | None = None,
        clock: Clock | None = None,
    ):
        self.faults = faults or Faults()
        self.stream_by_name: dict[str, Stream] = {}
        self.received_requests: deque[ReceivedRequest] = deque(
            maxlen=MAX_RECEIVED_REQUESTS
        )
        self._clock = clock or Clock()
        self._rate_tokens = self.faults.rate
        self._tokens_updated_at = self._clock.now()
        self._server = HttpServer(address, self._handle, max_body=MAX_BODY_BYTES)
        self.address = self._server.address

    async def run(self) -> None:
        """Serves requests until cancelled."""
        await self._server.run()

    async def stop(self) -> None:
        """Closes all connections."""
        await self._server.stop()

    def records(self, name: str) -> list[LogRecord]:
        """Returns the retained records of a stream."""
        return list(self._retained_stream(name).records)

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        received = ReceivedRequest(
            self._clock.now(), request.method, request.target, [], ""
        )
        self.received_requests.append(received)
        response = await self._dispatch(request, received)
        received.result = received.result or str(response.status)
        if received.result == LOST_REPLY:
            # An exception makes the server close the connection without a response.
            raise ConnectionError(LOST_REPLY)
        return response

    async def _dispatch(
        self, request: HttpRequest, received: ReceivedRequest
    ) -> HttpResponse:
        match request.method, request.path.strip("/").split("/"):
            case "POST", ["v1", "faults"]:
                return self._set_faults(request.body)
            case "GET", ["v1", "faults"]:
                return _json_response(self.faults)
            case "GET", ["v1", "given"]:
                return _json_response(list(self.received_requests))
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
        if not self._take_rate_token():
            return HttpResponse(429, [], b"rate limit")
        stream = self._retained_stream(name)
        offsets = stream.append(records, self._clock.now())
        appended, stream.appended = stream.appended, curio.Event()
        await appended.set()
        if self.faults.lose_replies > 0:
            self.faults.lose_replies -= 1
            received.result = LOST_REPLY
        if self.faults.reply_delay_s:
            await curio.sleep(self.faults.reply_delay_s)
        return _json_response(AppendResult(offsets))

    async def _read(self, name: str, query: dict[str, str]) -> HttpResponse:
        offset = int(query.get("from", "0"))
        max_records = int(query.get("max", "1000"))
        wait_s = int(query.get("wait_ms", "0")) / 1000
        stream = self._retained_stream(name)
        if offset >= stream.next_offset and wait_s > 0:
            await curio.ignore_after(wait_s, stream.appended.wait)
        if self.faults.outage:
            return HttpResponse(503, [], b"outage")
        return _json_response(self._retained_stream(name).read(offset, max_records))

    def _retained_stream(self, name: str) -> Stream:
        stream = self.stream_by_name.setdefault(name, Stream())
        stream.drop_before(self._clock.now() - self.faults.retention_s)
        return stream

    def _take_rate_token(self) -> bool:
        now = self._clock.now()
        refilled = (now - self._tokens_updated_at) * self.faults.rate
        self._rate_tokens = min(self.faults.rate, self._rate_tokens + refilled)
        self._tokens_updated_at = now
        if self._rate_tokens < 1:
            return False
        self._rate_tokens -= 1
        return True

    def _set_faults(self, body: bytes) -> HttpResponse:
        try:
            changes = msgspec.json.decode(body)
            merged = msgspec.to_builtins(self.faults) | changes
            self.faults = msgspec.convert(merged, Faults)
        except (msgspec.MsgspecError, TypeError) as error:
            return HttpResponse(400, [], str(error).encode())
        return _json_response(self.faults)


def _json_response(value: object) -> HttpResponse:
    return HttpResponse(200, [], codec.to_json(value))


def main() -> None:
    """Runs the fake log service from the command line."""
    options = docopt(__doc__)
    faults = Faults(
        retention_s=float(options["--retention"]), rate=float(options["--rate"])
    )
    log = FakeLog(options["--listen"], faults)
    print(log.address, flush=True)
    curio.run(log.run)


if __name__ == "__main__":
    main()
