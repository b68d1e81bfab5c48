"""The platform's store: a log with keyed topics, as the pages describe it."""

import asyncio
import base64
import functools
import json
import struct

from .http import Server

APPEND_S = 0.003
REPEATED_APPENDS = 5
PAGE_ITEMS = 500
PAGE_BYTES = 1 << 20


class Topic:
    """One topic with one partition; no record expires within a script's time."""

    def __init__(self):
        self.records = []
        self.lock = asyncio.Lock()
        self.grown = asyncio.Event()
        self.epoch, self.sequence = 0, -1
        self.replies = {}

    def add(self, records):
        """Appends records and wakes the readers."""
        self.records += records
        event, self.grown = self.grown, asyncio.Event()
        event.set()

    def check_writer(self, epoch, sequence):
        """Returns the answer to a fenced or repeated append; None to append it."""
        if epoch < self.epoch:
            return 409, {"reason": "fenced"}
        if epoch > self.epoch:
            self.epoch, self.sequence, self.replies = epoch, sequence - 1, {}
        if sequence in self.replies:
            return 200, self.replies[sequence]
        if sequence != self.sequence + 1:
            return 409, {"reason": "seq", "seq": self.sequence + 1}
        return None


class Store:
    """Serves the log; refuses records and calls that are too large.

    Attributes:
        last_writer: Machine that last wrote under a condition.
        too_large: Number of appends that were refused as too large.
    """

    record_bytes, call_bytes = 262144, 2097152

    def __init__(self):
        self.topics = {}
        self.last_writer = ""
        self.too_large = 0

    async def listen_for(self, machine):
        """Listens for the calls of one machine; returns the address."""
        server = Server(functools.partial(self.handle, machine))
        await server.start("127.0.0.1")
        return server.address

    def topic(self, name):
        """Returns a topic, which its first use creates."""
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        """Writes a record as the operator or an executor does."""
        data = json.dumps(value).encode() if value is not None else b""
        self.topic(topic).add([bytes((len(key),)) + key.encode() + data])

    async def handle(self, machine, request):
        """Answers one call of a machine."""
        topic = self.topic(request.query.get("topic", ""))
        match request.path:
            case "/v1/log-append":
                return await self._append(topic, machine, request)
            case "/v1/log-read":
                return await self._read(topic, request)
            case "/v1/log-newest":
                return self._newest(topic, request)
        return 404, {}

    async def _append(self, topic, machine, request):
        query, body = request.query, request.body
        records, position = [], 0
        while position < len(body):
            (size,) = struct.unpack_from(">I", body, position)
            records.append(body[position + 4 : position + 4 + size])
            position += 4 + size
        too_large = any(len(record) > self.record_bytes for record in records)
        if too_large or len(body) > self.call_bytes:
            self.too_large += 1
            return 400, {"error": "too large"}
        async with topic.lock:
            await asyncio.sleep(APPEND_S)
            end = len(topic.records)
            if "at" in query and int(query["at"]) != end:
                return 412, {"end": end}
            if "at" in query:
                self.last_writer = machine
            reply = {"offset": end, "end": end + len(records)}
            if "producer" in query:
                sequence = int(query["seq"])
                early = topic.check_writer(int(query["epoch"]), sequence)
                if early:
                    return early
                topic.sequence = sequence
                topic.replies[sequence] = reply
                if len(topic.replies) > REPEATED_APPENDS:
                    del topic.replies[min(topic.replies)]
            topic.add(records)
        return 200, reply

    async def _read(self, topic, request):
        start = int(request.query["from"])
        wait_s = int(request.query.get("wait-ms", 0)) / 1000
        if len(topic.records) <= start and wait_s:
            event = topic.grown
            try:
                await asyncio.wait_for(event.wait(), wait_s)
            except TimeoutError:
                pass
        body, limit = bytearray(struct.pack(">QQ", len(topic.records), 0)), 1 << 20
        for record in topic.records[start:]:
            if len(body) + len(record) > limit and len(body) > 16:
                break
            body += struct.pack(">I", len(record)) + record
        return 200, bytes(body)

    def _newest(self, topic, request):
        newest = {}
        for offset, record in enumerate(topic.records):
            key = record[1 : 1 + record[0]].decode()
            newest[key] = (offset, record[1 + record[0] :])
        items, size, has_more = [], 0, False
        for key in sorted(newest):
            offset, value = newest[key]
            if not value or key <= request.query.get("after", ""):
                continue
            if len(items) >= PAGE_ITEMS or size > PAGE_BYTES:
                has_more = True
                break
            text = base64.b64encode(value).decode()
            items.append({"key": key, "offset": offset, "value": text})
            size += len(text)
        return 200, {"items": items, "has-more": has_more, "end": len(topic.records)}
