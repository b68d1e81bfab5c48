"""Appends submissions and cancellations to the log in batches.

Only one append is in flight at a time.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import curio

from arbutusladder.cell.interfaces import KeyedLog, KeyedRecord, OffsetDeleted
from arbutusladder.cell.jobtable import JOBS_TOPIC
from arbutusladder.cell.states import SubmissionOutcome
from arbutusladder.clock import Clock
from arbutusladder.errors import LogUnavailable

# Seconds for the answer to an append.
APPEND_TIMEOUT_S = 0.8
# Seconds before a failed append is repeated.
RETRY_DELAY_S = 0.06
# Refused appends of an item after which it is reported as not stored, also before its
# deadline.
MAX_REFUSALS = 3
# Seconds of continuous failures after which new items are refused without an append.
OUTAGE_THRESHOLD_S = 0.4
# Seconds between the reads that detect the end of an outage.
PROBE_INTERVAL_S = 0.25
# Largest size of an append's values in bytes; well below the log's limit for a call.
MAX_BATCH_BYTES = 512 * 1024


@dataclass(eq=False)
class _PendingItem:
    """An item whose outcome a caller waits for.

    Attributes:
        key: Key of the record.
        value: Content of the record.
        deadline: Monotonic time in seconds until which to try.
        result: Outcome for the caller.
        in_flight: Whether an append of it is in progress.
        maybe_stored: Whether an append without an answer may still take effect.
        failures: Number of failed appends.
    """

    key: str
    value: bytes
    deadline: float
    result: curio.Result = field(default_factory=curio.Result)
    in_flight: bool = False
    maybe_stored: bool = False
    failures: int = 0


class JobAppender:
    """Appends items of concurrent callers to the jobs topic.

    Args:
        log: Client of the log.
        clock: Monotonic time.
        on_stored: Called with the records of a successful append.
        on_in_doubt: Called with the keys of an append without an answer.
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
        self._items_pending = curio.Event()
        self._failing_since: float | None = None

    def in_outage(self, now: float) -> bool:
        """Returns whether new items are refused because appends keep failing."""
        since = self._failing_since
        return since is not None and now - since > OUTAGE_THRESHOLD_S

    async def store(
        self, item: tuple[str, bytes], deadline: float, in_doubt: bool = False
    ) -> SubmissionOutcome:
        """Appends an item and waits for the outcome.

        Args:
            item: Key and value.
            deadline: Monotonic time in seconds until which to try.
            in_doubt: Whether an earlier append of the key may still take effect, which
                rules out the outcome ``NOT_STORED``.

        Returns:
            The outcome; ``UNKNOWN`` if an append without an answer may still take
            effect.
        """
        if self.in_outage(self._clock.now()) and not in_doubt:
            return SubmissionOutcome.NOT_STORED
        pending_item = _PendingItem(*item, deadline, maybe_stored=in_doubt)
        self._pending.append(pending_item)
        await self._items_pending.set()
        try:
            async with curio.timeout_after(max(0.0, deadline - self._clock.now())):
                return await pending_item.result.unwrap()
        except curio.TaskTimeout:
            if pending_item in self._pending:
                self._pending.remove(pending_item)
            if pending_item.in_flight:
                await self._on_in_doubt([pending_item.key])
            if pending_item.in_flight or pending_item.maybe_stored:
                return SubmissionOutcome.UNKNOWN
            return SubmissionOutcome.NOT_STORED

    async def run(self) -> None:
        """Appends pending items until cancelled."""
        while True:
            await self._items_pending.wait()
            self._items_pending.clear()
            while self._pending:
                await self._append_batch()

    async def probe(self) -> None:
        """Probes the log during an outage to detect its end, until cancelled."""
        while True:
            await curio.sleep(PROBE_INTERVAL_S)
            if self._failing_since is None or self._pending:
                continue
            try:
                await self._log.read(JOBS_TOPIC, 0)
            except LogUnavailable:
                continue
            except OffsetDeleted:
                pass  # The log answered, so it is available again.
            self._failing_since = None

    async def _append_batch(self) -> None:
        batch = self._take_batch()
        items = [(pending_item.key, pending_item.value) for pending_item in batch]
        for pending_item in batch:
            pending_item.in_flight = True
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
        for pending_item in batch:
            await pending_item.result.set_value(SubmissionOutcome.ACCEPTED)

    def _take_batch(self) -> list[_PendingItem]:
        size, count = 0, 0
        for pending_item in self._pending:
            size += len(pending_item.value)
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
        newly_in_doubt = [
            item.key for item in batch if maybe_applied and not item.maybe_stored
        ]
        if newly_in_doubt:
            await self._on_in_doubt(newly_in_doubt)
        retried = []
        for pending_item in batch:
            pending_item.in_flight = False
            pending_item.maybe_stored |= maybe_applied
            pending_item.failures += 1
            if pending_item.maybe_stored and now < pending_item.deadline:
                retried.append(pending_item)
            elif pending_item.maybe_stored:
                await pending_item.result.set_value(SubmissionOutcome.UNKNOWN)
            elif pending_item.failures < MAX_REFUSALS and now < pending_item.deadline:
                retried.append(pending_item)
            else:
                await pending_item.result.set_value(SubmissionOutcome.NOT_STORED)
        self._pending[:0] = retried
        await curio.sleep(RETRY_DELAY_S)
