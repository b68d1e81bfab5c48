"""Stores submissions and cancellations in batches, one append at a time."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import curio

from arbutusladder.cell.interfaces import KeyedLog, KeyedRecord, PositionLost
from arbutusladder.cell.jobtable import JOBS_TOPIC
from arbutusladder.cell.states import Submission
from arbutusladder.clock import Clock
from arbutusladder.errors import LogUnavailable

APPEND_TIMEOUT_S = 0.8
# Pause before an append is repeated.
RETRY_S = 0.06
# Refusals by the log after which a caller is told at once.
MOST_REFUSALS = 3
# Seconds of failures after which new items are refused without an append.
OUTAGE_S = 0.4
# Seconds between the appends that look whether an outage is over.
PROBE_S = 0.25
# Bytes of one append, which keeps it well below the log's limit for a call.
BATCH_BYTES = 512 * 1024


@dataclass(eq=False)
class _Waiting:
    key: str
    value: bytes
    deadline: float
    result: curio.Result = field(default_factory=curio.Result)
    in_flight: bool = False
    ambiguous: bool = False
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
        stored: Callable[[list[KeyedRecord]], Awaitable[None]],
        doubted: Callable[[list[str]], Awaitable[None]],
    ):
        self._log = log
        self._clock = clock
        self._stored = stored
        self._doubted = doubted
        self._waiting: list[_Waiting] = []
        self._wake = curio.Event()
        self._failing_since: float | None = None

    def in_outage(self, now: float) -> bool:
        """Returns whether new items are refused because appends fail."""
        since = self._failing_since
        return since is not None and now - since > OUTAGE_S

    async def store(
        self, item: tuple[str, bytes], deadline: float, in_doubt: bool = False
    ) -> Submission:
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
            return Submission.NOT_STORED
        waiting = _Waiting(*item, deadline, ambiguous=in_doubt)
        self._waiting.append(waiting)
        await self._wake.set()
        try:
            async with curio.timeout_after(max(0.0, deadline - self._clock.now())):
                return await waiting.result.unwrap()
        except curio.TaskTimeout:
            if waiting in self._waiting:
                self._waiting.remove(waiting)
            if waiting.in_flight:
                await self._doubted([waiting.key])
            if waiting.in_flight or waiting.ambiguous:
                return Submission.UNKNOWN
            return Submission.NOT_STORED

    async def run(self) -> None:
        """Appends until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._waiting:
                await self._append_batch()

    async def probe(self) -> None:
        """Looks during an outage whether the log answers again, until cancelled."""
        while True:
            await curio.sleep(PROBE_S)
            if self._failing_since is None or self._waiting:
                continue
            try:
                await self._log.read(JOBS_TOPIC, 0)
            except LogUnavailable:
                continue
            except PositionLost:
                pass  # An answer, which shows that the log is back.
            self._failing_since = None

    async def _append_batch(self) -> None:
        batch = self._take_batch()
        items = [(waiting.key, waiting.value) for waiting in batch]
        for waiting in batch:
            waiting.in_flight = True
        try:
            offset = await self._log.append(JOBS_TOPIC, items, timeout=APPEND_TIMEOUT_S)
        except LogUnavailable as error:
            await self._failed(batch, error.maybe_applied)
            return
        self._failing_since = None
        records = [
            KeyedRecord(offset + number, *item) for number, item in enumerate(items)
        ]
        await self._stored(records)
        for waiting in batch:
            await waiting.result.set_value(Submission.ACCEPTED)

    def _take_batch(self) -> list[_Waiting]:
        size, count = 0, 0
        for waiting in self._waiting:
            size += len(waiting.value)
            if count and size > BATCH_BYTES:
                break
            count += 1
        batch = self._waiting[:count]
        del self._waiting[:count]
        return batch

    async def _failed(self, batch: list[_Waiting], maybe_applied: bool) -> None:
        now = self._clock.now()
        if self._failing_since is None:
            self._failing_since = now
        newly = [w.key for w in batch if maybe_applied and not w.ambiguous]
        if newly:
            await self._doubted(newly)
        again = []
        for waiting in batch:
            waiting.in_flight = False
            waiting.ambiguous |= maybe_applied
            waiting.failures += 1
            if waiting.ambiguous and now < waiting.deadline:
                again.append(waiting)
            elif waiting.ambiguous:
                await waiting.result.set_value(Submission.UNKNOWN)
            elif waiting.failures < MOST_REFUSALS and now < waiting.deadline:
                again.append(waiting)
            else:
                await waiting.result.set_value(Submission.NOT_STORED)
        self._waiting[:0] = again
        await curio.sleep(RETRY_S)
