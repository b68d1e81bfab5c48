"""Client of the platform's log service (its "store"): topics of keyed records.

Implements `arbutusladder.cell.interfaces.KeyedLog` over HTTP. Its only state is the
average duration of reads, from which it derives their idle timeout, and the pages of
newest records of reads that failed.
"""

import base64
import struct
from dataclasses import dataclass, field
from http import HTTPStatus
from urllib.parse import urlencode

import msgspec

from arbutusladder.cell.interfaces import (
    KeyedRecord,
    LogBatch,
    OffsetDeleted,
    UnexpectedEndOffset,
    WriterFenced,
    WriterPosition,
)
from arbutusladder.errors import HttpError, LogUnavailable
from arbutusladder.httpclient import HttpResponse
from arbutusladder.httppool import HttpConnectionPool
from arbutusladder.metrics import Metrics
from arbutusladder.platform.bounds import Position
from arbutusladder.platform.jsonbody import decode_json

# Default seconds for a whole exchange.
ANSWER_TIMEOUT_S = 2.0
# Seconds without a byte of a page of newest records, at first and after such a timeout.
# All reads share the store's bandwidth: after a restart of many entry VMs, pages that
# are given up too soon would only delay the others.
PAGE_IDLE_S = 2.0
RETRIED_PAGE_IDLE_S = 4.0
# Seconds since the first page of newest records after which a reader begins again. The
# records appended meanwhile must still be readable, which they are for 20 s or more.
MAX_PAGES_AGE_S = 8.0
# Seconds for a whole response of up to 1.4 MB over a link of 5 Mbit/s that other
# responses share; an idle connection is closed much sooner.
TRANSFER_TIMEOUT_S = 20.0
# Idle timeout of a read, in seconds beyond its long-polling wait: the average duration
# of a read times the factor, within the two bounds. This replaces an unresponsive
# connection soon, but gives a slow store several times its usual duration.
MIN_READ_IDLE_S = 0.4
MAX_READ_IDLE_S = 1.5
READ_IDLE_FACTOR = 6.0
# Weight of the newest duration in the moving average.
DURATION_SMOOTHING = 0.2
# Length of a record in bytes, without this header.
_RECORD_HEADER = struct.Struct(">I")
# End of the topic, then the first offset that is not deleted.
_READ_HEADER = struct.Struct(">QQ")
# Statuses by which the store reports that it did not apply the call.
REFUSED_STATUSES = frozenset(
    {
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.INSUFFICIENT_STORAGE,
    }
)
# Statuses that the callers handle. Any other status below 500, such as that of a body
# which is too large, means that the call was not applied.
APPEND_STATUSES = frozenset(
    {HTTPStatus.OK, HTTPStatus.PRECONDITION_FAILED, HTTPStatus.CONFLICT}
)
READ_STATUSES = frozenset({HTTPStatus.OK, HTTPStatus.GONE, HTTPStatus.NOT_FOUND})


class _Appended(msgspec.Struct):
    """Response to an append.

    ``offset`` is that of the first record, ``end`` the end of the topic and ``reason``
    the cause of a conflict.
    """

    offset: Position = 0
    end: Position = 0
    reason: str = ""


class _Item(msgspec.Struct):
    """Newest record of a key; ``value`` is in Base64."""

    key: str
    offset: Position
    value: str = ""


class _Newest(msgspec.Struct, rename="kebab"):
    """One page of the newest records, in the order of their keys."""

    items: list[_Item]
    end: Position
    has_more: bool = False


@dataclass
class _NewestPages:
    """Pages of newest records that have been read of a topic.

    Pages are not a consistent snapshot: records may be appended between them, so the
    next read of the topic starts at the end that the first page gave.

    Attributes:
        started_at: Monotonic time in seconds of the request of the first page.
        records: Records of the pages.
        first_end: End of the topic by the first page.
        last_key: Last key of the last page; empty before the first one.
        idle_s: Idle timeout of the next page in seconds.
    """

    started_at: float
    records: list[KeyedRecord] = field(default_factory=list)
    first_end: int | None = None
    last_key: str = ""
    idle_s: float = PAGE_IDLE_S


class PlatformLog:
    """Client of the platform's log; uses partition 0 of each topic.

    Args:
        address: IP address and port of the store.
        pool: Pool of HTTP connections.
        metrics: Counters.
    """

    def __init__(self, address: str, pool: HttpConnectionPool, metrics: Metrics):
        self._address = address
        self._pool = pool
        self._metrics = metrics
        self._average_read_s = 0.0
        self._unfinished_pages_by_topic: dict[str, _NewestPages] = {}

    async def append(
        self,
        topic: str,
        items: list[tuple[str, bytes]],
        expected_end: int | None = None,
        writer: WriterPosition | None = None,
        timeout: float = ANSWER_TIMEOUT_S,
    ) -> int:
        """See `arbutusladder.cell.interfaces.KeyedLog.append`."""
        query: dict[str, object] = {"topic": topic, "part": 0}
        if expected_end is not None:
            query["at"] = expected_end
        if writer:
            query |= _writer_query(writer)
        body = b"".join(_encode_record(key, value) for key, value in items)
        answer = await self._call("POST", "/v1/log-append", query, body, timeout)
        reply = _decode_json(answer, _Appended)
        if answer.status == HTTPStatus.PRECONDITION_FAILED:
            raise UnexpectedEndOffset(reply.end)
        if answer.status == HTTPStatus.CONFLICT:
            raise WriterFenced(
                f"{topic}: {reply.reason}; another writer has a higher epoch"
            )
        return reply.offset

    async def set_epoch(self, topic: str, writer: WriterPosition) -> None:
        """See `arbutusladder.cell.interfaces.KeyedLog.set_epoch`."""
        query = {"topic": topic, "part": 0} | _writer_query(writer)
        answer = await self._call("POST", "/v1/log-append", query, b"")
        if answer.status == HTTPStatus.CONFLICT:
            raise WriterFenced(f"{topic}: another writer has a higher epoch")

    async def read(self, topic: str, offset: int, wait: float = 0.0) -> LogBatch:
        """See `arbutusladder.cell.interfaces.KeyedLog.read`."""
        query: dict[str, object] = {"topic": topic, "part": 0, "from": offset}
        if wait:
            query["wait-ms"] = int(wait * 1000)
        started_at = self._pool.now()
        idle_limit_s = max(MIN_READ_IDLE_S, self._average_read_s * READ_IDLE_FACTOR)
        answer = await self._call(
            "GET",
            "/v1/log-read",
            query,
            timeout=TRANSFER_TIMEOUT_S,
            expected=READ_STATUSES,
            idle_timeout=wait + min(MAX_READ_IDLE_S, idle_limit_s),
        )
        if not wait:
            # Failed reads are left out of the average: they would raise the timeout
            # and so delay the detection that the log is available again.
            duration = self._pool.now() - started_at
            self._average_read_s += DURATION_SMOOTHING * (
                duration - self._average_read_s
            )
        if answer.status == HTTPStatus.GONE:
            raise OffsetDeleted(f"{topic}: offset {offset} is deleted")
        return _decode_read(answer.body, offset)

    async def newest(self, topic: str) -> LogBatch:
        """See `arbutusladder.cell.interfaces.KeyedLog.newest`.

        After a failure the next call goes on at the page that failed.
        """
        now = self._pool.now()
        pages = self._unfinished_pages_by_topic.pop(topic, None)
        if pages is None or now - pages.started_at > MAX_PAGES_AGE_S:
            idle_s = pages.idle_s if pages else PAGE_IDLE_S
            pages = _NewestPages(now, idle_s=idle_s)
        try:
            return await self._read_pages(topic, pages)
        except LogUnavailable:
            self._unfinished_pages_by_topic[topic] = pages
            raise

    async def _read_pages(self, topic: str, pages: _NewestPages) -> LogBatch:
        while True:
            query: dict[str, object] = {"topic": topic, "part": 0}
            if pages.last_key:
                query["after"] = pages.last_key
            requested_at = self._pool.now()
            try:
                answer = await self._call(
                    "GET",
                    "/v1/log-newest",
                    query,
                    timeout=TRANSFER_TIMEOUT_S,
                    expected=READ_STATUSES,
                    idle_timeout=pages.idle_s,
                )
            except LogUnavailable:
                if self._pool.now() - requested_at >= pages.idle_s:
                    pages.idle_s = RETRIED_PAGE_IDLE_S
                raise
            if answer.status in {HTTPStatus.NOT_FOUND, HTTPStatus.GONE}:
                return LogBatch([], 0, 0)
            page = _decode_json(answer, _Newest)
            if pages.first_end is None:
                pages.first_end = page.end
            pages.records += self._decode_items(page.items)
            if not page.has_more or not page.items:
                return LogBatch(pages.records, page.end, pages.first_end)
            pages.last_key = page.items[-1].key

    def _decode_items(self, items: list[_Item]) -> list[KeyedRecord]:
        records = []
        for item in items:
            try:
                value = base64.b64decode(item.value, validate=True)
            except ValueError:
                self._metrics.count("log.malformed_record")
                continue
            records.append(KeyedRecord(item.offset, item.key, value))
        return records

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, object],
        body: bytes = b"",
        timeout: float = ANSWER_TIMEOUT_S,
        expected: frozenset[HTTPStatus] = APPEND_STATUSES,
        idle_timeout: float | None = None,
    ) -> HttpResponse:
        """Sends a request.

        Returns:
            The response, whose status is one of the expected ones.

        Raises:
            LogUnavailable: There is no response, or its status is not expected.
        """
        url_path = f"{path}?{urlencode(query)}"
        try:
            answer = await self._pool.request(
                self._address, method, url_path, [], body, timeout, idle_timeout
            )
        except HttpError as error:
            raise LogUnavailable(str(error), maybe_applied=error.sent) from error
        if answer.status in REFUSED_STATUSES:
            raise LogUnavailable(f"status {answer.status}", maybe_applied=False)
        if answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            raise LogUnavailable(f"status {answer.status}", maybe_applied=True)
        if answer.status not in expected:
            raise LogUnavailable(f"status {answer.status}", maybe_applied=False)
        return answer


def _writer_query(writer: WriterPosition) -> dict[str, object]:
    return {
        "producer": writer.producer,
        "epoch": writer.epoch,
        "seq": writer.sequence,
    }


def _encode_record(key: str, value: bytes) -> bytes:
    """Frames a record: sizes of the content and of the key, key, value."""
    key_bytes = key.encode()
    record = bytes((len(key_bytes),)) + key_bytes + value
    return _RECORD_HEADER.pack(len(record)) + record


def _decode_json(answer: HttpResponse, message_type: type):
    try:
        return decode_json(answer.body or b"{}", message_type)
    except msgspec.MsgspecError as error:
        raise LogUnavailable(
            f"cannot decode the response: {error}", maybe_applied=True
        ) from error


def _decode_read(body: bytes, offset: int) -> LogBatch:
    """Decodes the records of a read that started at an offset."""
    if len(body) < _READ_HEADER.size:
        return LogBatch([], offset, offset)
    end, _first_offset = _READ_HEADER.unpack_from(body)
    records = []
    position = _READ_HEADER.size
    while position + _RECORD_HEADER.size <= len(body):
        (size,) = _RECORD_HEADER.unpack_from(body, position)
        position += _RECORD_HEADER.size
        record = body[position : position + size]
        position += size
        key_size = record[0] if record else 0
        key = record[1 : 1 + key_size].decode("utf-8", "replace")
        records.append(KeyedRecord(offset, key, record[1 + key_size :]))
        offset += 1
    return LogBatch(records, end, offset)
