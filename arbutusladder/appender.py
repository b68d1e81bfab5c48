"""Appends records to a stream of the log in batches and tracks their state.

`Appender` owns the records that are queued or unconfirmed, in memory only.
"""

import uuid
from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

import curio

from arbutusladder.clock import Clock
from arbutusladder.errors import LogUnavailable
from arbutusladder.ids import RecordId
from arbutusladder.logclient import LogClient
from arbutusladder.messages import LogRecord, NewRecord

# A batch is sent after this delay, or at once when it has this size.
FLUSH_DELAY_S = 0.02
FLUSH_BYTES = 64 * 1024
MAX_PENDING_BYTES = 8 * 1024 * 1024
# Records in an unknown state that can still be confirmed by reading the stream.
MAX_TRACKED_UNKNOWN = 10_000
RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.0
# Allowance in bytes for the id and the JSON syntax around the body of a record.
RECORD_OVERHEAD_BYTES = 100


class AppendState(Enum):
    """State of a record.

    ``NOT_APPENDED`` is certain: the record is not in the log and never will be.
    """

    WAITING = "waiting"
    CONFIRMED = "confirmed"
    NOT_APPENDED = "not_appended"
    UNKNOWN = "unknown"


@dataclass
class PendingRecord:
    """A record that was passed to the appender.

    Attributes:
        record: Id and body.
        deadline: Monotonic time in seconds after which no further attempt starts.
        state: State of the record.
        offset: Offset in the stream, once it is confirmed by a response or by
            reading the stream.
        maybe_applied: Whether an attempt may have taken effect.
        settled: Set when the state is final, except that an unknown record can
            still be confirmed by reading the stream.
    """

    record: NewRecord
    deadline: float
    state: AppendState = AppendState.WAITING
    offset: int | None = None
    maybe_applied: bool = False
    settled: curio.Event = field(default_factory=curio.Event)

    @property
    def size(self) -> int:
        """Approximate size in bytes within an append request."""
        return RECORD_OVERHEAD_BYTES + len(self.record.body.encode())

    async def wait(self) -> AppendState:
        """Waits until the record is settled and returns its state."""
        await self.settled.wait()
        return self.state


class Appender:
    """Appends records to one stream, in order, one batch at a time.

    A record is retried until it is confirmed or its deadline has passed. After a
    lost response the record is appended again with the same id, and readers ignore
    the duplicate.

    Args:
        client: Client of the log service.
        stream: Name of the stream.
        clock: Monotonic time.
        max_pending_bytes: Largest total size of waiting records in bytes; further
            records are refused.
        flush_delay: Seconds for which a batch is collected.
        flush_bytes: Size in bytes at which a batch is sent.

    Attributes:
        stream: Name of the stream.
        pending_bytes: Total size of the waiting records in bytes.
        last_error: Error of the newest append, or None if it succeeded.
    """

    def __init__(
        self,
        client: LogClient,
        stream: str,
        clock: Clock | None = None,
        max_pending_bytes: int = MAX_PENDING_BYTES,
        flush_delay: float = FLUSH_DELAY_S,
        flush_bytes: int = FLUSH_BYTES,
    ):
        self.stream = stream
        self.pending_bytes = 0
        self.last_error: LogUnavailable | None = None
        self._client = client
        self._clock = clock or Clock()
        self._max_pending_bytes = max_pending_bytes
        self._flush_delay = flush_delay
        self._flush_bytes = flush_bytes
        self._queue: deque[PendingRecord] = deque()
        self._waiting_by_id: dict[RecordId, PendingRecord] = {}
        self._unknown_by_id: OrderedDict[RecordId, PendingRecord] = OrderedDict()
        self._records_queued = curio.Event()

    async def submit(
        self,
        body: str,
        record_id: RecordId | None = None,
        give_up_after: float = float("inf"),
    ) -> PendingRecord:
        """Queues a record.

        Args:
            body: Body of the record.
            record_id: Id of the record; a new one by default.
            give_up_after: Seconds after which no further attempt starts.

        Returns:
            The record; it is ``NOT_APPENDED`` at once if the waiting records
            would exceed their largest total size.
        """
        deadline = self._clock.now() + give_up_after
        new_record = NewRecord(record_id or RecordId(uuid.uuid4().hex), body)
        pending = PendingRecord(new_record, deadline)
        if self.pending_bytes + pending.size > self._max_pending_bytes:
            pending.state = AppendState.NOT_APPENDED
            await pending.settled.set()
            return pending
        self.pending_bytes += pending.size
        self._queue.append(pending)
        self._waiting_by_id[new_record.id] = pending
        await self._records_queued.set()
        return pending

    async def append(
        self,
        body: str,
        record_id: RecordId | None = None,
        give_up_after: float = float("inf"),
    ) -> PendingRecord:
        """Queues a record and waits until it is settled."""
        pending = await self.submit(body, record_id, give_up_after)
        await pending.wait()
        return pending

    async def confirm(self, records: Iterable[LogRecord]) -> None:
        """Confirms the own records among those that were read from the stream."""
        for record in records:
            pending = self._waiting_by_id.get(record.id)
            if pending:
                await self._settle(pending, AppendState.CONFIRMED, record.offset)
            unknown = self._unknown_by_id.pop(record.id, None)
            if unknown:
                unknown.state = AppendState.CONFIRMED
                unknown.offset = record.offset

    async def run(self) -> None:
        """Appends queued records until cancelled."""
        while True:
            await self._records_queued.wait()
            self._records_queued.clear()
            if self.pending_bytes < self._flush_bytes:
                await curio.sleep(self._flush_delay)
            while self._queue:
                await self._append_batch(self._take_batch())

    def _take_batch(self) -> list[PendingRecord]:
        batch: list[PendingRecord] = []
        size = 0
        while self._queue and (
            not batch or size + self._queue[0].size <= self._flush_bytes
        ):
            pending = self._queue.popleft()
            size += pending.size
            batch.append(pending)
        return batch

    async def _append_batch(self, batch: list[PendingRecord]) -> None:
        delay = RETRY_DELAY_S
        while batch := await self._drop_expired(batch):
            await self._expire_queued_records()
            try:
                records = [pending.record for pending in batch]
                offsets = await self._client.append(self.stream, records)
            except LogUnavailable as error:
                self._record_failure(batch, error)
                await curio.sleep(delay)
                delay = min(2 * delay, MAX_RETRY_DELAY_S)
                continue
            self.last_error = None
            for pending, offset in zip(batch, offsets, strict=True):
                await self._settle(pending, AppendState.CONFIRMED, offset)
            return

    def _record_failure(
        self, batch: list[PendingRecord], error: LogUnavailable
    ) -> None:
        self.last_error = error
        for pending in batch:
            pending.maybe_applied |= error.maybe_applied

    async def _expire_queued_records(self) -> None:
        """Settles expired records that wait behind a batch that is being retried."""
        now = self._clock.now()
        for pending in [
            pending_record
            for pending_record in self._queue
            if now >= pending_record.deadline
        ]:
            self._queue.remove(pending)
            await self._give_up(pending)

    async def _drop_expired(self, batch: list[PendingRecord]) -> list[PendingRecord]:
        """Settles the expired records of a batch and returns those to append."""
        now = self._clock.now()
        for pending in batch:
            if pending.state is AppendState.WAITING and now >= pending.deadline:
                await self._give_up(pending)
        return [
            pending_record
            for pending_record in batch
            if pending_record.state is AppendState.WAITING
        ]

    async def _give_up(self, pending: PendingRecord) -> None:
        if not pending.maybe_applied:
            await self._settle(pending, AppendState.NOT_APPENDED, None)
            return
        await self._settle(pending, AppendState.UNKNOWN, None)
        self._unknown_by_id[pending.record.id] = pending
        if len(self._unknown_by_id) > MAX_TRACKED_UNKNOWN:
            self._unknown_by_id.popitem(last=False)

    async def _settle(
        self, pending: PendingRecord, state: AppendState, offset: int | None
    ) -> None:
        if pending.state is not AppendState.WAITING:
            return
        pending.state = state
        pending.offset = offset
        self.pending_bytes -= pending.size
        self._waiting_by_id.pop(pending.record.id, None)
        await pending.settled.set()
