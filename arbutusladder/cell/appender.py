"""Stores submissions and cancellations in batches, one append at a time."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import curio

from arbutusladder.cell.interfaces import KeyedLog, KeyedRecord, OffsetDeleted
from arbutusladder.cell.jobtable import JOBS_TOPIC
from arbutusladder.cell.states import SubmissionOutcome
from arbutusladder.clock import Clock
from arbutusladder.errors import LogUnavailable

APPEND_TIMEOUT_S = 0.8
# Pause before an append is repeated.
RETRY_DELAY_S = 0.06
# Refusals by the log after which a caller is told at once.
MAX_REFUSALS = 3
# Seconds of failures after which new items are refused without an append.
OUTAGE_THRESHOLD_S = 0.4
# Seconds between the appends that look whether an outage is over.
PROBE_INTERVAL_S = 0.25
# Bytes of one append, which keeps it well below the log's limit for a call.
MAX_BATCH_BYTES = 512 * 1024


@dataclass(eq=False)
class _PendingItem:
    key: str
    value: bytes
    deadline: float
    result: curio.Result = field(default_factory=curio.Result)
    in_flight: bool = False
    maybe_stored: bool = False
    failures: int = 0


class JobAppender:
    """Appends items of the jobs topic for many callers.

    Args:
        log: The log.
        clock: Monotonic time.
        stored: Takes the records that were appended.
        doubted: Takes the keys of an append without an answer.
    """

    def __init__(
        self,
        log: KeyedLog,
        clock: Clock,
        on_stored: Callable[[list[KeyedRecord]], Awaitable[None]],
        on_in_doubt: Callable[[list[str]], Awaitable[None]],
    ):
        self._log = log
        self._clock = clock
        self._on_stored = on_stored
        self._on_in_doubt = on_in_doubt
        self._pending: list[_PendingItem] = []
        self._wake = curio.Event()
        self._failing_since: float | None = None

    def in_outage(self, now: float) -> bool:
        """Returns whether new items are refused because appends fail."""
        since = self._failing_since
        return since is not None and now - since > OUTAGE_THRESHOLD_S

    async def store(
        self, item: tuple[str, bytes], deadline: float, in_doubt: bool = False
    ) -> SubmissionOutcome:
        """Appends an item and waits for the outcome.

        Args:
            item: Key and value.
            deadline: Monotonic time until which to try.
            in_doubt: Whether an earlier append of the key may still take effect, so
                that the item cannot be refused as not stored.

        Returns:
            ``UNKNOWN`` if an append without an answer may still take effect.
        """
        if self.in_outage(self._clock.now()) and not in_doubt:
            return SubmissionOutcome.NOT_STORED
        pending = _PendingItem(*item, deadline, maybe_stored=in_doubt)
        self._pending.append(pending)
        await self._wake.set()
        try:
            async with curio.timeout_after(max(0.0, deadline - self._clock.now())):
                return await pending.result.unwrap()
        except curio.TaskTimeout:
            if pending in self._pending:
                self._pending.remove(pending)
            if pending.in_flight:
                await self._on_in_doubt([pending.key])
            if pending.in_flight or pending.maybe_stored:
                return SubmissionOutcome.UNKNOWN
            return SubmissionOutcome.NOT_STORED

    async def run(self) -> None:
        """Appends until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._pending:
                await self._append_batch()

    async def probe(self) -> None:
        """Looks during an outage whether the log answers again, until cancelled."""
        while True:
            await curio.sleep(PROBE_INTERVAL_S)
            if self._failing_since is None or self._pending:
                continue
            try:
                await self._log.read(JOBS_TOPIC, 0)
            except LogUnavailable:
                continue
            except OffsetDeleted:
                pass  # An answer, which shows that the log is back.
            self._failing_since = None

    async def _append_batch(self) -> None:
        batch = self._take_batch()
        items = [(pending.key, pending.value) for pending in batch]
        for pending in batch:
            pending.in_flight = True
        try:
            offset = await self._log.append(JOBS_TOPIC, items, timeout=APPEND_TIMEOUT_S)
        except LogUnavailable as error:
            await self._handle_failure(batch, error.maybe_applied)
            return
        self._failing_since = None
        records = [
            KeyedRecord(offset + number, *item) for number, item in enumerate(items)
        ]
        await self._on_stored(records)
        for pending in batch:
            await pending.result.set_value(SubmissionOutcome.ACCEPTED)

    def _take_batch(self) -> list[_PendingItem]:
        size, count = 0, 0
        for pending in self._pending:
            size += len(pending.value)
            if count and size > MAX_BATCH_BYTES:
                break
            count += 1
        batch = self._pending[:count]
        del self._pending[:count]
        return batch

    async def _handle_failure(
        self, batch: list[_PendingItem], maybe_applied: bool
    ) -> None:
        now = self._clock.now()
        if self._failing_since is None:
            self._failing_since = now
        newly_in_doubt = [w.key for w in batch if maybe_applied and not w.maybe_stored]
        if newly_in_doubt:
            await self._on_in_doubt(newly_in_doubt)
        retried = []
        for pending in batch:
            pending.in_flight = False
            pending.maybe_stored |= maybe_applied
            pending.failures += 1
            if pending.maybe_stored and now < pending.deadline:
                retried.append(pending)
            elif pending.maybe_stored:
                await pending.result.set_value(SubmissionOutcome.UNKNOWN)
            elif pending.failures < MAX_REFUSALS and now < pending.deadline:
                retried.append(pending)
            else:
                await pending.result.set_value(SubmissionOutcome.NOT_STORED)
        self._pending[:0] = retried
        await curio.sleep(RETRY_DELAY_S)
