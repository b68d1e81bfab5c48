"""Curio task that follows one stream of the log by long poll."""

from collections import OrderedDict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import curio

from arbutusladder import events
from arbutusladder.clock import Clock
from arbutusladder.errors import LogUnavailable
from arbutusladder.ids import RecordId
from arbutusladder.journal import Journal
from arbutusladder.logclient import LogClient
from arbutusladder.messages import LogRecord

LONG_POLL_S = 1.0
RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 2.0
# Copies come from appends repeated after a lost reply, within seconds.
MAX_KNOWN_IDS = 50_000


@dataclass
class TailBatch:
    """Records read at once.

    Attributes:
        stream: Name of the stream.
        records: Records in offset order, without copies.
        start: First offset that the log still retains.
        next: Offset from which the tailer goes on.
        lost: Records between the position before this batch and ``start``
            were not read, also at the first read of a stream whose beginning
            is no longer retained. Tell the fold before these are folded.
        caught_up: The batch ends at the end of the stream.
        read_at: Monotonic time in seconds before the read was sent.
    """

    stream: str
    records: list[LogRecord]
    start: int
    next: int
    lost: bool
    caught_up: bool
    read_at: float


class RecentRecordIds:
    """Recognises copies of records within a bounded memory.

    Args:
        limit: Record ids kept; the oldest are forgotten first.
    """

    def __init__(self, limit: int = MAX_KNOWN_IDS):
        self._limit = limit
        self._ids: OrderedDict[RecordId, None] = OrderedDict()

    def is_new(self, record_id: RecordId) -> bool:
        """Remembers an id and returns whether it was unknown."""
        if record_id in self._ids:
            return False
        self._ids[record_id] = None
        if len(self._ids) > self._limit:
            self._ids.popitem(last=False)
        return True

    def __len__(self) -> int:
        return len(self._ids)


class Tailer:
    """Follows a stream and hands each batch to a function.

    Args:
        client: Client of the log service.
        stream: Name of the stream.
        on_batch: Coroutine function, called in this task with each batch,
            also with empty ones.
        clock: Source of monotonic time.
        journal: Receives events; none are written without it.
        start: First offset wanted.
        known_limit: Record ids kept to recognise copies.
    """

    def __init__(
        self,
        client: LogClient,
        stream: str,
        on_batch: Callable[[TailBatch], Awaitable[None]],
        clock: Clock | None = None,
        journal: Journal | None = None,
        start: int = 0,
        known_limit: int = MAX_KNOWN_IDS,
    ):
        self.stream = stream
        self.position = start
        self.available = False
        self.caught_up_at: float | None = None
        self._client = client
        self._on_batch = on_batch
        self._clock = clock or Clock()
        self._journal = journal
        self._first = True
        self._known = RecentRecordIds(known_limit)
        self._outage_reported = False

    def age(self, now: float) -> float:
        """Returns how old the fold of this stream may be in seconds.

        Everything appended before ``now - age(now)`` was handed over.
        """
        return float("inf") if self.caught_up_at is None else now - self.caught_up_at

    async def run(self) -> None:
        """Follows the stream until cancelled."""
        delay = RETRY_DELAY_S
        while True:
            try:
                await self.read_once(LONG_POLL_S)
                delay = RETRY_DELAY_S
            except LogUnavailable as error:
                self._report_outage(error)
                await curio.sleep(delay)
                delay = min(2 * delay, MAX_RETRY_DELAY_S)

    async def read_once(self, wait_s: float) -> TailBatch:
        """Reads one batch and hands it over.

        Raises:
            LogUnavailable: The log did not answer; nothing was handed over.
        """
        read_at = self._clock.now()
        # A first read returns at once, so that a starting node is ready soon.
        wait = wait_s if self.caught_up_at is not None and self.available else 0.0
        result = await self._client.read(self.stream, self.position, wait_s=wait)
        batch = self._batch(result, read_at)
        self._report_available()
        await self._on_batch(batch)
        self.position = batch.next
        self._first = False
        if batch.caught_up:
            self.caught_up_at = read_at
        return batch

    def _batch(self, result, read_at: float) -> TailBatch:
        # A log that was replaced by an empty one ends before the position.
        lost = not result.start <= self.position <= result.next
        if lost and self._journal and not self._first:
            self._journal.write(
                events.LOG_POSITION_LOST, stream=self.stream, offset=self.position
            )
        if lost:
            self.caught_up_at = None
        position = self.position
        if not result.start <= position <= result.next:
            position = result.start
        records = [record for record in result.records if record.offset >= position]
        end = records[-1].offset + 1 if records else position
        return TailBatch(
            stream=self.stream,
            records=[record for record in records if self._known.is_new(record.id)],
            start=result.start,
            next=end,
            lost=lost,
            caught_up=end >= result.next,
            read_at=read_at,
        )

    def _report_outage(self, error: LogUnavailable) -> None:
        self.available = False
        if self._journal and not self._outage_reported:
            self._journal.write(events.LOG_UNAVAILABLE, error=error)
        self._outage_reported = True

    def _report_available(self) -> None:
        self.available = True
        if self._journal and self._outage_reported:
            self._journal.write(events.LOG_BACK)
        self._outage_reported = False
