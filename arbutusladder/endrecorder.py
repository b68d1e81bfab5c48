"""Appends the ends of tasks and jobs to the log until they are confirmed.

`EndRecorder` owns the queue of records that are not confirmed yet.
"""

from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any

import curio

from arbutusladder.ids import TaskId, VmId
from arbutusladder.states import Outcome

# Appends one record. Outcome DONE: confirmed; NOT_RUN: not appended; UNKNOWN: possibly
# appended.
AppendFunction = Callable[[Any], Awaitable[Outcome]]
# An ended task to acknowledge, and its worker.
Ack = tuple[VmId, TaskId]

# Bounds of the delay after a failed append; it doubles with each failure.
MIN_RETRY_DELAY_S = 0.25
MAX_RETRY_DELAY_S = 2.0
MAX_BATCH_RECORDS = 256


class EndRecorder:
    """Queue of records of ends; an outage of the log only delays them.

    Args:
        append: Appends one record. A record may be appended more than once.
        on_confirmed: Called with each confirmed record and its acknowledgements.

    Attributes:
        log_available: Whether the newest append was confirmed.
    """

    def __init__(
        self,
        append: AppendFunction,
        on_confirmed: Callable[[Any, list[Ack]], Awaitable[None]],
    ):
        self._append = append
        self._on_confirmed = on_confirmed
        self._queue: deque[tuple[Any, list[Ack]]] = deque()
        self._wake = curio.Event()
        self.log_available = True

    def __len__(self) -> int:
        return len(self._queue)

    def add(self, record: Any, acks: list[Ack]) -> None:
        """Queues a record; call ``wake`` afterwards."""
        self._queue.append((record, acks))

    async def wake(self) -> None:
        """Wakes ``run`` when records are queued."""
        if self._queue:
            await self._wake.set()

    async def run(self) -> None:
        """Appends queued records until cancelled.

        Waits with increasing delays after a failed append.
        """
        delay = MIN_RETRY_DELAY_S
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._queue:
                self.log_available = await self._append_batch()
                if self.log_available:
                    delay = MIN_RETRY_DELAY_S
                    continue
                await curio.sleep(delay)
                delay = min(MAX_RETRY_DELAY_S, delay * 2)

    async def _append_batch(self) -> bool:
        # Records stay in the queue until they are confirmed, so that none is lost when
        # this task is cancelled.
        batch = [
            self._queue[index]
            for index in range(min(MAX_BATCH_RECORDS, len(self._queue)))
        ]
        tasks = [await curio.spawn(self._append, record) for record, _ in batch]
        outcomes = [await task.join() for task in tasks]
        failed = []
        for (record, acks), outcome in zip(batch, outcomes, strict=True):
            self._queue.popleft()
            if outcome is Outcome.DONE:
                await self._on_confirmed(record, acks)
            else:
                failed.append((record, acks))
        self._queue.extendleft(reversed(failed))
        return not failed
