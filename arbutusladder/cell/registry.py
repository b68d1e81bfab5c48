"""Reads the registry in which workers publish their entries.

`WorkerRegistry` owns a copy of the entries and the position in the registry's topic.
"""

from collections.abc import Callable

from arbutusladder.cell.interfaces import (
    KeyedLog,
    KeyedRecord,
    LogBatch,
    OffsetDeleted,
    WorkerEntry,
)
from arbutusladder.cell.topicview import TopicView
from arbutusladder.clock import Clock
from arbutusladder.errors import LogUnavailable
from arbutusladder.ids import VmId
from arbutusladder.metrics import Metrics


class WorkerRegistry:
    """Replicates the worker registry from the log.

    Args:
        log: Client of the log.
        topic: Topic of the registry.
        decode: Decodes a record; returns None if it is unusable.
        metrics: Counters.
        clock: Time of the reads.

    Attributes:
        view: What is known of the topic.
    """

    def __init__(
        self,
        log: KeyedLog,
        topic: str,
        decode: Callable[[KeyedRecord], WorkerEntry | None],
        metrics: Metrics,
        clock: Clock,
    ):
        self._log = log
        self._topic = topic
        self._decode = decode
        self._metrics = metrics
        self._clock = clock
        self.view = TopicView()
        self._entry_by_vm: dict[VmId, WorkerEntry] = {}

    async def read(self) -> dict[VmId, WorkerEntry]:
        """Reads new records and returns the current entries.

        Raises:
            LogUnavailable: The log refused or did not answer.
        """
        sent_at = self._clock.now_with_suspensions()
        self.view.begin_read(sent_at)
        try:
            batch = await self._read_batch()
        except LogUnavailable:
            self.view.record_failure()
            raise
        for record in batch.records:
            entry = self._decode(record) if record.value else None
            if entry is None:
                if record.value:
                    self._metrics.count("registry.unusable_entries")
                self._entry_by_vm.pop(VmId(record.key), None)
            else:
                self._entry_by_vm[entry.vm] = entry
        self.view.record_read(batch, sent_at, self._clock.now_with_suspensions())
        return self._entry_by_vm

    async def _read_batch(self) -> LogBatch:
        try:
            if self.view.offset == 0:
                raise OffsetDeleted
            return await self._log.read(self._topic, self.view.offset)
        except OffsetDeleted:
            batch = await self._log.newest(self._topic)
            self._entry_by_vm.clear()
            return batch
