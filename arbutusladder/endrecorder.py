"""Appends the ends of tasks and jobs until they are confirmed."""

from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any

import curio

from arbutusladder.ids import TaskId, VmId
from arbutusladder.states import Outcome

# Outcome.DONE: confirmed; NOT_RUN: not appended; UNKNOWN: may be appended.
AppendFunction = Callable[[Any], Awaitable[Outcome]]
Ack = tuple[VmId, TaskId]

RETRY_FIRST_S = 0.25
RETRY_LIMIT_S = 2.0
BATCH = 256


class EndRecorder:
    """Queue of ends; an outage of the log only delays them.

    Args:
        append: Appends one record; an end may be appended more than once.
        confirmed: Called with each confirmed record and its acknowledgements.

    Attributes:
        log_answers: Whether the newest append was confirmed.
    """

    def __init__(
        self,
        append: AppendFunction,
        confirmed: Callable[[Any, list[Ack]], Awaitable[None]],
    ):
        self._append = append
        self._confirmed = confirmed
        self._queue: deque[tuple[Any, list[Ack]]] = deque()
        self._wake = curio.Event()
        self.log_answers = True

    def __len__(self) -> int:
        return len(self._queue)

    def add(self, record: Any, acks: list[Ack]) -> None:
        """Queues a record; call ``wake`` afterwards."""
        self._queue.append((record, acks))

    async def wake(self) -> None:
        """Looks at the queue again."""
        if self._queue:
            await self._wake.set()

    async def run(self) -> None:
        """Appends until cancelled."""
        delay = RETRY_FIRST_S
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._queue:
                self.log_answers = await self._append_batch()
                if self.log_answers:
                    delay = RETRY_FIRST_S
                    continue
                await curio.sleep(delay)
                delay = min(RETRY_LIMIT_S, delay * 2)

    async def _append_batch(self) -> bool:
        # Records stay in the queue until they are confirmed, so that a
        # cancelled task loses none.
        batch = [self._queue[index] for index in range(min(BATCH, len(self._queue)))]
        tasks = [await curio.spawn(self._append, record) for record, _ in batch]
        outcomes = [await task.join() for task in tasks]
        failed = []
        for (record, acks), outcome in zip(batch, outcomes, strict=True):
            self._queue.popleft()
            if outcome is Outcome.DONE:
                await self._confirmed(record, acks)
            else:
                failed.append((record, acks))
        self._queue.extendleft(reversed(failed))
        return not failed
