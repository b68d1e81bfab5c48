"""Log in memory with conditional and fenced appends, for tests without network."""

from arbutusladder.cell.interfaces import (
    KeyedRecord,
    LogBatch,
    UnexpectedEndOffset,
    WriterFenced,
)
from arbutusladder.errors import LogUnavailable

# Appends of a writer whose repeats get the first answer again.
REMEMBERED_APPENDS = 5


class MemoryLog:
    """Implements `arbutusladder.cell.interfaces.KeyedLog`.

    Attributes:
        records_by_topic: All records of each topic.
        available: Whether it answers; otherwise each call fails and does nothing.
        lost_answers: Number of the next appends that take effect without an answer.
    """

    def __init__(self):
        self.records_by_topic: dict[str, list[KeyedRecord]] = {}
        self.available = True
        self.lost_answers = 0
        self._epoch_by_topic: dict[str, int] = {}
        self._offset_by_append: dict[tuple[str, int, int], int] = {}
        self._sequence_by_writer: dict[tuple[str, int], int] = {}

    def _topic(self, topic):
        if not self.available:
            raise LogUnavailable("unavailable", maybe_applied=False)
        return self.records_by_topic.setdefault(topic, [])

    async def append(self, topic, items, expected_end=None, writer=None, timeout=2.0):
        """See `KeyedLog.append`."""
        records = self._topic(topic)
        if expected_end is not None and expected_end != len(records):
            raise UnexpectedEndOffset(len(records))
        offset = len(records)
        if writer:
            offset = self._fenced_offset(topic, writer, offset)
        if offset == len(records):
            records += [
                KeyedRecord(offset + number, *item) for number, item in enumerate(items)
            ]
        if self.lost_answers:
            self.lost_answers -= 1
            raise LogUnavailable("no answer", maybe_applied=True)
        return offset

    def _fenced_offset(self, topic, writer, offset):
        if writer.epoch < self._epoch_by_topic.get(topic, 0):
            raise WriterFenced(topic)
        self._epoch_by_topic[topic] = writer.epoch
        append = (topic, writer.epoch, writer.sequence)
        newest = self._sequence_by_writer.get(append[:2], 0)
        if append not in self._offset_by_append and writer.sequence <= newest:
            # A copy of an append that is too old for its first answer.
            raise LogUnavailable("old sequence number", maybe_applied=False)
        self._sequence_by_writer[append[:2]] = max(newest, writer.sequence)
        offset = self._offset_by_append.setdefault(append, offset)
        while len(self._offset_by_append) > REMEMBERED_APPENDS:
            del self._offset_by_append[next(iter(self._offset_by_append))]
        return offset

    async def set_epoch(self, topic, writer):
        """See `KeyedLog.set_epoch`."""
        self._topic(topic)
        if writer.epoch < self._epoch_by_topic.get(topic, 0):
            raise WriterFenced(topic)
        self._epoch_by_topic[topic] = writer.epoch

    async def read(self, topic, offset, wait=0.0):
        """See `KeyedLog.read`."""
        records = self._topic(topic)
        return LogBatch(records[offset:], len(records), len(records))

    async def newest(self, topic):
        """See `KeyedLog.newest`."""
        records = self._topic(topic)
        newest_by_key = {record.key: record for record in records}
        kept = [record for record in newest_by_key.values() if record.value]
        return LogBatch(kept, len(records), len(records))
