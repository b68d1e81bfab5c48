"""Client of the platform's store: keyed topics of its log."""

import base64
import struct
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
from arbutusladder.httpclient import HttpAnswer
from arbutusladder.httppool import HttpPool

ANSWER_TIMEOUT_S = 2.0
# Seconds for a whole answer of up to 1.4 MB over a link of 5 Mbit/s (site files) that
# other answers share; without a byte it is given up much sooner.
TRANSFER_TIMEOUT_S = 20.0
# Bounds of the wait for the answer to a read beyond the wait asked for: a silent
# connection is replaced soon, a slow store gets several times its usual duration.
MIN_READ_IDLE_S = 0.4
MAX_READ_IDLE_S = 1.5
READ_IDLE_FACTOR = 6.0
# Weight of the newest duration in the average.
DURATION_SMOOTHING = 0.2
_RECORD_HEADER = struct.Struct(">I")
_READ_HEADER = struct.Struct(">QQ")
# Statuses with which the store says that it has done nothing.
REFUSED_STATUSES = frozenset(
    {
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.INSUFFICIENT_STORAGE,
    }
)
# Statuses that tell something; any other one, such as that of a call which is too
# large, means that nothing was done.
APPEND_STATUSES = frozenset(
    {HTTPStatus.OK, HTTPStatus.PRECONDITION_FAILED, HTTPStatus.CONFLICT}
)
READ_STATUSES = frozenset({HTTPStatus.OK, HTTPStatus.GONE, HTTPStatus.NOT_FOUND})


class _Appended(msgspec.Struct):
    offset: int = 0
    end: int = 0
    reason: str = ""


class _Item(msgspec.Struct):
    key: str
    offset: int
    value: str = ""


class _Newest(msgspec.Struct, rename="kebab"):
    items: list[_Item]
    end: int
    has_more: bool = False


class PlatformLog:
    """The platform's log, partition 0 of each topic.

    Args:
        address: Address of the store.
        pool: Connections.
    """

    def __init__(self, address: str, pool: HttpPool):
        self._address = address
        self._pool = pool
        self._average_read_s = 0.0

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
            raise WriterFenced(f"{topic}: {reply.reason}; a newer owner writes")
        return reply.offset

    async def set_epoch(self, topic: str, writer: WriterPosition) -> None:
        """See `arbutusladder.cell.interfaces.KeyedLog.set_epoch`."""
        query = {"topic": topic, "part": 0} | _writer_query(writer)
        answer = await self._call("POST", "/v1/log-append", query, b"")
        if answer.status == HTTPStatus.CONFLICT:
            raise WriterFenced(f"{topic}: a newer owner writes")

    async def read(self, topic: str, offset: int, wait: float = 0.0) -> LogBatch:
        """See `arbutusladder.cell.interfaces.KeyedLog.read`."""
        query: dict[str, object] = {"topic": topic, "part": 0, "from": offset}
        if wait:
            query["wait-ms"] = int(wait * 1000)
        began_at = self._pool.now()
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
            # Failures do not count: they would delay the notice of the log's return.
            duration = self._pool.now() - began_at
            self._average_read_s += DURATION_SMOOTHING * (
                duration - self._average_read_s
            )
        if answer.status == HTTPStatus.GONE:
            raise OffsetDeleted(f"{topic}: offset {offset} is deleted")
        return _decode_read(answer.body, offset)

    async def newest(self, topic: str) -> LogBatch:
        """See `arbutusladder.cell.interfaces.KeyedLog.newest`."""
        records: list[KeyedRecord] = []
        first_end: int | None = None
        after = ""
        while True:
            query: dict[str, object] = {"topic": topic, "part": 0}
            if after:
                query["after"] = after
            answer = await self._call(
                "GET",
                "/v1/log-newest",
                query,
                timeout=TRANSFER_TIMEOUT_S,
                expected=READ_STATUSES,
                idle_timeout=ANSWER_TIMEOUT_S,
            )
            if answer.status in {HTTPStatus.NOT_FOUND, HTTPStatus.GONE}:
                return LogBatch([], 0, 0)
            page = _decode_json(answer, _Newest)
            first_end = page.end if first_end is None else first_end
            records += [
                KeyedRecord(item.offset, item.key, base64.b64decode(item.value))
                for item in page.items
            ]
            if not page.has_more or not page.items:
                # Pages are no snapshot: reading goes on at the end before the first.
                return LogBatch(records, page.end, first_end)
            after = page.items[-1].key

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, object],
        body: bytes = b"",
        timeout: float = ANSWER_TIMEOUT_S,
        expected: frozenset[HTTPStatus] = APPEND_STATUSES,
        idle_timeout: float | None = None,
    ) -> HttpAnswer:
        target = f"{path}?{urlencode(query)}"
        try:
            answer = await self._pool.request(
                self._address, method, target, [], body, timeout, idle_timeout
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
    name = key.encode()
    content = bytes((len(name),)) + name + value
    return _RECORD_HEADER.pack(len(content)) + content


def _decode_json(answer: HttpAnswer, message_type: type):
    try:
        return msgspec.json.decode(answer.body or b"{}", type=message_type)
    except msgspec.MsgspecError as error:
        raise LogUnavailable(f"undecodable answer: {error}", maybe_applied=True) from (
            error
        )


def _decode_read(body: bytes, offset: int) -> LogBatch:
    if len(body) < _READ_HEADER.size:
        return LogBatch([], offset, offset)
    end, _first = _READ_HEADER.unpack_from(body)
    records = []
    position = _READ_HEADER.size
    while position + _RECORD_HEADER.size <= len(body):
        (size,) = _RECORD_HEADER.unpack_from(body, position)
        position += _RECORD_HEADER.size
        content = body[position : position + size]
        position += size
        name_size = content[0] if content else 0
        key = content[1 : 1 + name_size].decode("utf-8", "replace")
        records.append(KeyedRecord(offset, key, content[1 + name_size :]))
        offset += 1
    return LogBatch(records, end, offset)
