"""Reads one stream of the log continuously, by long polling.

`Tailer` owns the position in the stream and the ids of the newest records.
"""

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

# Longest wait in seconds of a read without new records.
LONG_POLL_S = 1.0
# Seconds before a failed read is repeated; doubled after each further failure, up to
# the maximum.
RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 2.0
# Ids kept to recognize duplicates, which come from appends that were repeated within
# seconds after a lost response.
MAX_RECENT_IDS = 50_000


@dataclass
class TailBatch:
    """Records of one read.

    Attributes:
        stream: Name of the stream.
        records: Records in offset order, without duplicates.
        start: First offset that the log still retains.
        next: Offset at which the next read starts.
        lost: Whether records between the previous position and ``start`` were not
            read, also at the first read of a stream whose beginning is no longer
            retained. State built from the stream must be marked as incomplete
            before the records are applied.
        caught_up: Whether the batch ends at the end of the stream.
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
    """Recognizes duplicate records with bounded memory.

    Args:
        limit: Number of record ids kept; the oldest are dropped first.
    """

    def __init__(self, limit: int = MAX_RECENT_IDS):
        self._limit = limit
        self._ids: OrderedDict[RecordId, None] = OrderedDict()

    def is_new(self, record_id: RecordId) -> bool:
        """Adds an id and returns whether it was not yet present."""
        if record_id in self._ids:
            return False
        self._ids[record_id] = None
        if len(self._ids) > self._limit:
            self._ids.popitem(last=False)
        return True

    def __len__(self) -> int:
        return len(self._ids)


class Tailer:
    """Reads a stream continuously and passes each batch to a function.

    Args:
        client: Client of the log service.
        stream: Name of the stream.
        on_batch: Coroutine function, called in this task with each batch,
            including empty ones.
        clock: Monotonic time.
        journal: Receives events; none are written without it.
        start: First offset to read.
        max_recent_ids: Number of record ids kept to recognize duplicates.

    Attributes:
        stream: Name of the stream.
        position: Offset at which the next read starts.
        available: Whether the newest read succeeded.
        caught_up_at: Monotonic time in seconds before the newest read that reached
            the end of the stream; None before the first one.
    """

    def __init__(
        self,
        client: LogClient,
        stream: str,
        on_batch: Callable[[TailBatch], Awaitable[None]],
        clock: Clock | None = None,
        journal: Journal | None = None,
        start: int = 0,
        max_recent_ids: int = MAX_RECENT_IDS,
    ):
        self.stream = stream
        self.position = start
        self.available = False
        self.caught_up_at: float | None = None
        self._client = client
        self._on_batch = on_batch
        self._clock = clock or Clock()
        self._journal = journal
        self._is_first_read = True
        self._recent_ids = RecentRecordIds(max_recent_ids)
        self._outage_logged = False

    def age(self, now: float) -> float:
        """Returns how outdated the state built from this stream may be, in seconds.

        Everything appended before ``now - age(now)`` was passed to ``on_batch``.
        """
        return float("inf") if self.caught_up_at is None else now - self.caught_up_at

    async def run(self) -> None:
        """Reads the stream until cancelled."""
        delay = RETRY_DELAY_S
        while True:
            try:
                await self.read_once(LONG_POLL_S)
                delay = RETRY_DELAY_S
            except LogUnavailable as error:
                self._set_unavailable(error)
                await curio.sleep(delay)
                delay = min(2 * delay, MAX_RETRY_DELAY_S)

    async def read_once(self, wait_s: float) -> TailBatch:
        """Reads one batch and passes it to ``on_batch``.

        Args:
            wait_s: Seconds that the log service waits for a new record if there
                is none.

        Raises:
            LogUnavailable: The log did not answer; ``on_batch`` was not called.
        """
        read_at = self._clock.now()
        # The first read, and the first one after an outage, must not wait: a
        # starting process is ready sooner.
        wait = wait_s if self.caught_up_at is not None and self.available else 0.0
        result = await self._client.read(self.stream, self.position, wait_s=wait)
        batch = self._to_batch(result, read_at)
        self._set_available()
        await self._on_batch(batch)
        self.position = batch.next
        self._is_first_read = False
        if batch.caught_up:
            self.caught_up_at = read_at
        return batch

    def _to_batch(self, result, read_at: float) -> TailBatch:
        # The end is before the position if the log was replaced by an empty one.
        lost = not result.start <= self.position <= result.next
        if lost and self._journal and not self._is_first_read:
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
            records=[
                record for record in records if self._recent_ids.is_new(record.id)
            ],
            start=result.start,
            next=end,
            lost=lost,
            caught_up=end >= result.next,
            read_at=read_at,
        )

    def _set_unavailable(self, error: LogUnavailable) -> None:
        self.available = False
        if self._journal and not self._outage_logged:
            self._journal.write(events.LOG_UNAVAILABLE, error=error)
        self._outage_logged = True

    def _set_available(self) -> None:
        self.available = True
        if self._journal and self._outage_logged:
            self._journal.write(events.LOG_AVAILABLE)
        self._outage_logged = False
