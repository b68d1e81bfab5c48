"""Stand-in of the platform's store, which is a log."""

import asyncio
import base64
import struct
from dataclasses import dataclass, field

from standins.http import Request, Response, Server, json_response

HEADER = struct.Struct(">I")
ENDS = struct.Struct(">QQ")
PAGE_ITEMS = 500
APPEND_S = 0.003
# Newest appends of a producer whose repeats get their first responses again.
REPEATED_APPENDS = 5
# Limits of the settings file's section for the store.
RECORD_BYTES = 262144
REQUEST_BYTES = 2097152


@dataclass
class Topic:
    """Partition 0 of a topic; the stand-in keeps all records."""

    records: list[bytes] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    appending: asyncio.Lock = field(default_factory=asyncio.Lock)
    epoch_by_producer: dict[str, int] = field(default_factory=dict)
    sequence_by_producer: dict[str, int] = field(default_factory=dict)
    answers: dict[int, dict] = field(default_factory=dict)

    def extend(self, records: list[bytes]) -> None:
        """Appends records and wakes the waiting reads."""
        self.records += records
        self.changed.set()
        self.changed = asyncio.Event()


class Store:
    """The store.

    Attributes:
        server: Its HTTP server.
        leader: Sender of the last append that was stored under a condition.
    """

    def __init__(self):
        self.server = Server(self._handle)
        self.topics: dict[str, Topic] = {}
        self.leader = ""

    def topic(self, name: str) -> Topic:
        """Returns a topic and creates it on first use."""
        return self.topics.setdefault(name, Topic())

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Writes a record as the operator or an executor does."""
        record = bytes((len(key),)) + key.encode() + value
        self.topic(topic).extend([record])

    async def _handle(self, request: Request) -> Response:
        topic = self.topic(request.query.get("topic", ""))
        match request.path:
            case "/v1/log-append":
                return await self._append(topic, request)
            case "/v1/log-read":
                return await self._read(topic, request)
            case "/v1/log-newest":
                return self._newest(topic, request)
        return json_response(404)

    async def _append(self, topic: Topic, request: Request) -> Response:
        async with topic.appending:
            await asyncio.sleep(APPEND_S)
            return self._append_now(topic, request)

    def _append_now(self, topic: Topic, request: Request) -> Response:
        query = request.query
        end = len(topic.records)
        if "at" in query and int(query["at"]) != end:
            return json_response(412, {"end": end})
        records = list(decode_records(request.body))
        too_large = any(len(record) > RECORD_BYTES for record in records)
        if too_large or len(request.body) > REQUEST_BYTES:
            return json_response(413)
        reply = {"offset": end, "end": end + len(records)}
        if "producer" in query:
            producer = query["producer"]
            epoch, sequence = int(query["epoch"]), int(query["seq"])
            newest_epoch = topic.epoch_by_producer.get(producer, 0)
            if epoch < newest_epoch:
                return json_response(409, {"reason": "fenced"})
            if epoch > newest_epoch:
                topic.answers.clear()
            if sequence in topic.answers:
                return json_response(200, topic.answers[sequence])
            if epoch == newest_epoch:
                expected = topic.sequence_by_producer.get(producer, sequence - 1) + 1
                if sequence != expected:
                    return json_response(409, {"reason": "seq", "seq": expected})
            topic.epoch_by_producer[producer] = epoch
            topic.sequence_by_producer[producer] = sequence
            topic.answers[sequence] = reply
            for old in list(topic.answers)[:-REPEATED_APPENDS]:
                del topic.answers[old]
        if records:
            topic.extend(records)
        if "at" in query and request.sender:
            self.leader = request.sender
        return json_response(200, reply)

    async def _read(self, topic: Topic, request: Request) -> Response:
        start = int(request.query["from"])
        wait_s = int(request.query.get("wait-ms", 0)) / 1000
        if len(topic.records) <= start and wait_s:
            try:
                await asyncio.wait_for(topic.changed.wait(), wait_s)
            except TimeoutError:
                pass
        limit = int(request.query.get("max-kb", 1024)) * 1024
        body = ENDS.pack(len(topic.records), 0)
        for record in topic.records[start:]:
            body += HEADER.pack(len(record)) + record
            if len(body) > limit:
                break
        return Response(200, body)

    def _newest(self, topic: Topic, request: Request) -> Response:
        newest: dict[str, tuple[int, bytes]] = {}
        for offset, record in enumerate(topic.records):
            size = record[0]
            key, value = record[1 : 1 + size].decode(), record[1 + size :]
            newest.pop(key, None)
            if value:
                newest[key] = (offset, value)
        after = request.query.get("after", "")
        keys = sorted(key for key in newest if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(newest[key][1]).decode(),
                "offset": newest[key][0],
            }
            for key in keys[:PAGE_ITEMS]
        ]
        has_more = len(keys) > PAGE_ITEMS
        body = {"items": items, "has-more": has_more, "end": len(topic.records)}
        return json_response(200, body)


def decode_records(body: bytes):
    """Yields the records in the body of an append."""
    position = 0
    while position < len(body):
        (size,) = HEADER.unpack_from(body, position)
        position += HEADER.size
        yield body[position : position + size]
        position += size
