"""Curio task that appends records in batches and confirms them."""

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

FLUSH_DELAY_S = 0.02
FLUSH_BYTES = 64 * 1024
MAX_PENDING_BYTES = 8 * 1024 * 1024
MAX_UNKNOWN_RECORDS = 10_000
RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.0
# Bytes of JSON around the id and the body of a record.
RECORD_OVERHEAD_BYTES = 100


class AppendState(Enum):
    """What is known of a record.

    ``NOT_APPENDED`` is proved: the record is not in the log and never will be.
    """

    WAITING = "waiting"
    CONFIRMED = "confirmed"
    NOT_APPENDED = "not_appended"
    UNKNOWN = "unknown"


@dataclass
class PendingRecord:
    """A record on its way to the log.

    Attributes:
        record: Id and body.
        state: What is known of it.
        offset: Offset once confirmed by a reply or by reading back.
        deadline: Monotonic time in seconds after which no more attempt starts.
        maybe_applied: An attempt may have taken effect.
    """

    record: NewRecord
    deadline: float
    state: AppendState = AppendState.WAITING
    offset: int | None = None
    maybe_applied: bool = False
    settled: curio.Event = field(default_factory=curio.Event)

    @property
    def size(self) -> int:
        """Size in bytes inside an append."""
        return RECORD_OVERHEAD_BYTES + len(self.record.body.encode())

    async def wait(self) -> AppendState:
        """Waits until the record is settled and returns its state."""
        await self.settled.wait()
        return self.state


class Appender:
    """Appends records to one stream, in order, one batch at a time.

    A record is tried until it is confirmed or its deadline has passed. After
    a lost reply the same record id is appended again; readers drop copies.

    Args:
        client: Client of the log service.
        stream: Name of the stream.
        clock: Source of monotonic time.
        max_pending_bytes: Bytes of waiting records; more are refused.
        flush_delay: Seconds that a batch is collected.
        flush_bytes: Size in bytes at which a batch is sent.
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
        self._by_id: dict[RecordId, PendingRecord] = {}
        self._unknown_by_id: OrderedDict[RecordId, PendingRecord] = OrderedDict()
        self._wake = curio.Event()

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
            give_up_after: Seconds after which no more attempt starts.

        Returns:
            The record; it is ``NOT_APPENDED`` at once when too many bytes wait.
        """
        deadline = self._clock.now() + give_up_after
        new = NewRecord(record_id or RecordId(uuid.uuid4().hex), body)
        pending = PendingRecord(new, deadline)
        if self.pending_bytes + pending.size > self._max_pending_bytes:
            pending.state = AppendState.NOT_APPENDED
            await pending.settled.set()
            return pending
        self.pending_bytes += pending.size
        self._queue.append(pending)
        self._by_id[new.id] = pending
        await self._wake.set()
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
        """Confirms records that were read back from the stream."""
        for record in records:
            pending = self._by_id.get(record.id)
            if pending:
                await self._settle(pending, AppendState.CONFIRMED, record.offset)
            unknown = self._unknown_by_id.pop(record.id, None)
            if unknown:
                unknown.state = AppendState.CONFIRMED
                unknown.offset = record.offset

    async def run(self) -> None:
        """Appends queued records until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
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
        while batch := await self._without_expired(batch):
            await self._expire_queued()
            try:
                records = [pending.record for pending in batch]
                offsets = await self._client.append(self.stream, records)
            except LogUnavailable as error:
                self._note_failure(batch, error)
                await curio.sleep(delay)
                delay = min(2 * delay, MAX_RETRY_DELAY_S)
                continue
            self.last_error = None
            for pending, offset in zip(batch, offsets, strict=True):
                await self._settle(pending, AppendState.CONFIRMED, offset)
            return

    def _note_failure(self, batch: list[PendingRecord], error: LogUnavailable) -> None:
        self.last_error = error
        for pending in batch:
            pending.maybe_applied |= error.maybe_applied

    async def _expire_queued(self) -> None:
        """Gives up records behind a batch that is retried for long."""
        now = self._clock.now()
        for pending in [one for one in self._queue if now >= one.deadline]:
            self._queue.remove(pending)
            await self._give_up(pending)

    async def _without_expired(self, batch: list[PendingRecord]) -> list[PendingRecord]:
        """Returns the records to try again and settles the others."""
        now = self._clock.now()
        for pending in batch:
            if pending.state is AppendState.WAITING and now >= pending.deadline:
                await self._give_up(pending)
        return [one for one in batch if one.state is AppendState.WAITING]

    async def _give_up(self, pending: PendingRecord) -> None:
        if not pending.maybe_applied:
            await self._settle(pending, AppendState.NOT_APPENDED, None)
            return
        await self._settle(pending, AppendState.UNKNOWN, None)
        self._unknown_by_id[pending.record.id] = pending
        if len(self._unknown_by_id) > MAX_UNKNOWN_RECORDS:
            self._unknown_by_id.popitem(last=False)

    async def _settle(
        self, pending: PendingRecord, state: AppendState, offset: int | None
    ) -> None:
        if pending.state is not AppendState.WAITING:
            return
        pending.state = state
        pending.offset = offset
        self.pending_bytes -= pending.size
        self._by_id.pop(pending.record.id, None)
        await pending.settled.set()
