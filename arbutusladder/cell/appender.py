"""Appends submissions and cancellations to the log in batches.

Only one append of this entry VM is in flight at a time. The log handles the appends to
a topic one after the other, so those of many entry VMs wait for each other while it is
slow. Then entry VMs pass their items to the owner, which stores them together.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Protocol

import curio

from arbutusladder.cell.interfaces import KeyedLog, KeyedRecord
from arbutusladder.cell.jobtable import JOBS_TOPIC
from arbutusladder.cell.states import SubmissionOutcome
from arbutusladder.clock import Clock
from arbutusladder.errors import LogUnavailable
from arbutusladder.messages import StoreItem

# Bounds in seconds for the answer to an append, and the multiple of the duration of the
# newest one that is waited for. An append without an answer is repeated; while the log
# is slow, that would only add to the appends that wait there.
MIN_APPEND_TIMEOUT_S = 0.8
MAX_APPEND_TIMEOUT_S = 2.5
APPEND_TIMEOUT_FACTOR = 3.0
# Duration of an append in seconds from which the log counts as slow; the log takes 4 ms
# for one, and the way to it up to 10 ms.
SLOW_APPEND_S = 0.15
# The same for appends of the owner, which has a fast link in most cells. The delays of
# its own process are subtracted before.
OWNER_SLOW_APPEND_S = 0.08
# Seconds between checks whether an append in flight has become slow.
CHECK_INTERVAL_S = 0.03
# Seconds without an answer after which the log is read to see whether the append took
# effect.
READ_BACK_AFTER_S = 0.4
# Seconds without passing items to the owner after they could not be sent to it.
OWNER_BACKOFF_S = 1.0
# Seconds of a deadline that are left for the messages to the owner and back.
FORWARDING_MARGIN_S = 0.1
# Bounds of the seconds before a failed append is repeated. They are the duration of the
# newest append after a refusal: a slow log refuses appends while too many wait.
MIN_RETRY_DELAY_S = 0.06
MAX_RETRY_DELAY_S = 0.5
# Refused appends of an item after which it is reported as not stored, also before its
# deadline.
MAX_REFUSALS = 3
# Seconds of continuous failures after which new items are refused without an append.
OUTAGE_THRESHOLD_S = 0.4
# The same as a multiple of the duration of an append, for a slow log.
OUTAGE_APPENDS = 3
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
        direct: Whether this entry VM must append it itself, because another one has
            passed it on.
        in_flight: Whether an append of it is in progress.
        maybe_stored: Whether an append without an answer may still take effect.
        failures: Number of failed appends.
    """

    key: str
    value: bytes
    deadline: float
    direct: bool = False
    result: curio.Result = field(default_factory=curio.Result)
    in_flight: bool = False
    maybe_stored: bool = False
    failures: int = 0


@dataclass(frozen=True)
class OwnerStoreReply:
    """Outcomes of items that the owner stored for this entry VM.

    Attributes:
        outcomes: Outcome of each item.
        append_s: Duration of the owner's newest append in seconds.
    """

    outcomes: list[SubmissionOutcome]
    append_s: float


class AppenderPeers(Protocol):
    """What an appender needs of the entry VM."""

    async def on_stored(self, records: list[KeyedRecord]) -> None:
        """Applies the records of a successful append."""

    async def on_in_doubt(self, keys: list[str]) -> None:
        """Announces the keys of an append without an answer."""

    async def read_back(self) -> bool:
        """Reads the jobs topic to its end; returns whether the log answered."""

    def has_other_owner(self) -> bool:
        """Returns whether another entry VM owns the cell and reaches the log.

        Its heartbeats must be recent. A slow log alone does not show that the owner
        has failed, and appends beside those of the owner would only delay them.
        """

    async def store_at_owner(
        self, items: list[StoreItem], wait_s: float
    ) -> OwnerStoreReply | None:
        """Passes items to the owner.

        Args:
            items: The items.
            wait_s: Seconds for the owner to store them.

        Returns:
            The reply, or None if there was none in time.
        """

    async def abandon_store_calls(self) -> None:
        """Ends the calls of `store_at_owner` without a reply."""


class JobAppender:
    """Appends items of concurrent callers to the jobs topic.

    Args:
        log: Client of the log.
        clock: Monotonic time.
        peers: The entry VM, which reaches the others.

    Attributes:
        append_s: Duration of the newest append in seconds, also of one without an
            answer; the owner's while items are passed to it.
        owner_append_s: Duration of the owner's newest append in seconds, by its
            heartbeats.
    """

    def __init__(self, log: KeyedLog, clock: Clock, peers: AppenderPeers):
        self._log = log
        self._clock = clock
        self._peers = peers
        self._pending: list[_PendingItem] = []
        self._waiting_by_key: dict[str, list[_PendingItem]] = {}
        self._items_pending = curio.Event()
        self._failing_since: float | None = None
        self._append_started_at: float | None = None
        self._owner_backoff_until = 0.0
        self.append_s = 0.0
        self.owner_append_s = 0.0

    def in_outage(self, now: float) -> bool:
        """Returns whether new items are refused because appends keep failing."""
        since = self._failing_since
        threshold_s = max(OUTAGE_THRESHOLD_S, OUTAGE_APPENDS * self.append_s)
        return since is not None and now - since > threshold_s

    def is_slow(self, now: float) -> bool:
        """Returns whether the newest append was slow, or the one in flight is."""
        newest_s = max(self.append_s, self.in_flight_s(now))
        return newest_s > SLOW_APPEND_S or self.owner_append_s > OWNER_SLOW_APPEND_S

    def in_flight_s(self, now: float) -> float:
        """Returns the age of the append in flight in seconds; 0 without one."""
        return now - (self._append_started_at or now)

    def is_storing(self, key: str) -> bool:
        """Returns whether a caller waits for an item of a key."""
        return key in self._waiting_by_key

    async def store(
        self,
        item: tuple[str, bytes],
        deadline: float,
        in_doubt: bool = False,
        direct: bool = False,
    ) -> SubmissionOutcome:
        """Appends an item and waits for the outcome.

        Args:
            item: Key and value.
            deadline: Monotonic time in seconds until which to try.
            in_doubt: Whether an earlier append of the key may still take effect, which
                rules out the outcome ``NOT_STORED``.
            direct: Whether it must not be passed to the owner.

        Returns:
            The outcome; ``UNKNOWN`` if an append without an answer may still take
            effect.
        """
        if self.in_outage(self._clock.now()) and not in_doubt:
            return SubmissionOutcome.NOT_STORED
        pending_item = _PendingItem(*item, deadline, direct, maybe_stored=in_doubt)
        waiting = self._waiting_by_key.setdefault(pending_item.key, [])
        waiting.append(pending_item)
        self._pending.append(pending_item)
        await self._items_pending.set()
        try:
            async with curio.timeout_after(max(0.0, deadline - self._clock.now())):
                return await pending_item.result.unwrap()
        except curio.TaskTimeout:
            if pending_item.in_flight:
                await self._peers.on_in_doubt([pending_item.key])
            if pending_item.in_flight or pending_item.maybe_stored:
                return SubmissionOutcome.UNKNOWN
            return SubmissionOutcome.NOT_STORED
        finally:
            if pending_item in self._pending:
                self._pending.remove(pending_item)
            waiting.remove(pending_item)
            if not waiting:
                self._waiting_by_key.pop(pending_item.key, None)

    async def confirm(self, keys: Iterable[str]) -> None:
        """Ends the waits for items that are known to be stored, by whichever way."""
        for key in keys:
            for pending_item in self._waiting_by_key.get(key, ()):
                await _set_outcome(pending_item, SubmissionOutcome.ACCEPTED)

    async def run(self) -> None:
        """Appends pending items until cancelled."""
        while True:
            await self._items_pending.wait()
            self._items_pending.clear()
            while self._pending:
                await self._append_batch()
                if self._passes_to_owner():
                    await curio.sleep(CHECK_INTERVAL_S)

    async def run_passing(self) -> None:
        """Passes items to the owner while the log is slow, until cancelled."""
        read_back_at = 0.0
        while True:
            await curio.sleep(CHECK_INTERVAL_S)
            now = self._clock.now()
            if not self._peers.has_other_owner():
                await self._peers.abandon_store_calls()
            if self._passes_to_owner():
                batch = self._take_batch(lambda item: not item.direct)
                if batch:
                    await curio.spawn(self._pass_to_owner, batch, daemon=True)
            if self.in_flight_s(now) > READ_BACK_AFTER_S and now > read_back_at:
                read_back_at = now + READ_BACK_AFTER_S
                await curio.spawn(self._read_back, daemon=True)

    async def _read_back(self) -> None:
        if await self._peers.read_back():
            # The log is slow or available again, so items are not refused.
            self._failing_since = None

    def _passes_to_owner(self) -> bool:
        now = self._clock.now()
        return (
            now >= self._owner_backoff_until
            and self.is_slow(now)
            and self._peers.has_other_owner()
        )

    async def _pass_to_owner(self, batch: list[_PendingItem]) -> None:
        now = self._clock.now()
        items = [
            StoreItem(
                item.key,
                item.value,
                item.maybe_stored,
                max(0.0, item.deadline - now - FORWARDING_MARGIN_S),
            )
            for item in batch
        ]
        wait_s = max(item.wait_s for item in items)
        for item in batch:
            item.in_flight = True
        reply = await self._peers.store_at_owner(items, wait_s)
        if reply is None or len(reply.outcomes) != len(batch):
            now = self._clock.now()
            ended_early = now < max(item.deadline for item in batch)
            if ended_early and self._peers.has_other_owner():
                self._owner_backoff_until = now + OWNER_BACKOFF_S
            await self._handle_failure(batch, maybe_applied=True)
            return
        self.append_s = reply.append_s
        refused, unknown = [], []
        for item, outcome in zip(batch, reply.outcomes, strict=True):
            match outcome:
                case SubmissionOutcome.ACCEPTED:
                    self._failing_since = None
                    await _set_outcome(item, outcome)
                case SubmissionOutcome.NOT_STORED:
                    refused.append(item)
                case SubmissionOutcome.UNKNOWN:
                    unknown.append(item)
        if refused:
            await self._handle_failure(refused, maybe_applied=False)
        if unknown:
            await self._handle_failure(unknown, maybe_applied=True)

    async def probe(self) -> None:
        """Probes the log during an outage to detect its end, until cancelled."""
        while True:
            await curio.sleep(PROBE_INTERVAL_S)
            if self._failing_since is not None and not self._pending:
                await self._read_back()

    async def _append_batch(self) -> None:
        passes = self._passes_to_owner()
        batch = self._take_batch(lambda item: item.direct or not passes)
        if not batch:
            return
        items = [(pending_item.key, pending_item.value) for pending_item in batch]
        for pending_item in batch:
            pending_item.in_flight = True
        started_at = self._append_started_at = self._clock.now()
        try:
            offset = await self._log.append(
                JOBS_TOPIC, items, timeout=self._append_timeout_s()
            )
        except LogUnavailable as error:
            if error.maybe_applied:
                self.append_s = self._clock.now() - started_at
            self._append_started_at = None
            await self._handle_failure(batch, error.maybe_applied)
            return
        self.append_s = self._clock.now() - started_at
        self._append_started_at = None
        self._failing_since = None
        records = [
            KeyedRecord(offset + number, *item) for number, item in enumerate(items)
        ]
        await self._peers.on_stored(records)
        for pending_item in batch:
            await _set_outcome(pending_item, SubmissionOutcome.ACCEPTED)

    def _append_timeout_s(self) -> float:
        timeout_s = APPEND_TIMEOUT_FACTOR * self.append_s
        return min(MAX_APPEND_TIMEOUT_S, max(MIN_APPEND_TIMEOUT_S, timeout_s))

    def _take_batch(
        self, is_included: Callable[[_PendingItem], bool]
    ) -> list[_PendingItem]:
        size = 0
        batch: list[_PendingItem] = []
        for pending_item in filter(is_included, self._pending):
            size += len(pending_item.value)
            if batch and size > MAX_BATCH_BYTES:
                break
            batch.append(pending_item)
        self._pending = [item for item in self._pending if item not in batch]
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
            await self._peers.on_in_doubt(newly_in_doubt)
        retried = []
        for pending_item in batch:
            pending_item.in_flight = False
            if pending_item.result.is_set():
                continue
            pending_item.maybe_stored |= maybe_applied
            pending_item.failures += 1
            if pending_item.maybe_stored and now < pending_item.deadline:
                retried.append(pending_item)
            elif pending_item.maybe_stored:
                await _set_outcome(pending_item, SubmissionOutcome.UNKNOWN)
            elif pending_item.failures < MAX_REFUSALS and now < pending_item.deadline:
                retried.append(pending_item)
            else:
                await _set_outcome(pending_item, SubmissionOutcome.NOT_STORED)
        self._pending[:0] = retried
        await self._items_pending.set()
        # The wait for an answer has already given the log time.
        delay_s = 0.0 if maybe_applied else min(MAX_RETRY_DELAY_S, self.append_s)
        await curio.sleep(max(MIN_RETRY_DELAY_S, delay_s))


async def _set_outcome(item: _PendingItem, outcome: SubmissionOutcome) -> None:
    if not item.result.is_set():
        await item.result.set_value(outcome)
