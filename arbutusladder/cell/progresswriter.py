"""Stores the progress of jobs in batches, one append at a time."""

import itertools
from collections.abc import Awaitable, Callable

import curio

from arbutusladder.cell.interfaces import KeyedLog, WriterPosition
from arbutusladder.cell.jobtable import PROGRESS_TOPIC, progress_item
from arbutusladder.cell.retention import progress_tombstones
from arbutusladder.clock import Clock
from arbutusladder.errors import LogUnavailable
from arbutusladder.ids import Epoch, JobId
from arbutusladder.messages import JobProgress
from arbutusladder.metrics import Metrics

PRODUCER = "owner"
RETRY_DELAY_S = 0.1
# Seconds for the answer to an append; one that is repeated has its first answer.
APPEND_TIMEOUT_S = 0.8

Progress = list[tuple[JobId, JobProgress]]


class ProgressWriter:
    """Appends what changed under the owner's epoch.

    Args:
        log: The log.
        epoch: Epoch of the owner, which fences its predecessors off.
        clock: Monotonic time.
        metrics: Counters.
        collect: Returns the progress of the jobs that changed since its last call.
        stored: Takes the offset of the first record and the progress stored.

    Attributes:
        append_s: Seconds that the last append took.
    """

    def __init__(
        self,
        log: KeyedLog,
        epoch: Epoch,
        clock: Clock,
        metrics: Metrics,
        collect: Callable[[], Progress],
        on_stored: Callable[[int, Progress], Awaitable[None]],
    ):
        self._log = log
        self._epoch = epoch
        self._clock = clock
        self._metrics = metrics
        self._collect = collect
        self._on_stored = on_stored
        self._sequence = itertools.count(1)
        self._pending_deletions: list[JobId] = []
        self._batch_requested = curio.Event()
        self._batches_started = 0
        self._batches_finished = 0
        self._batch_done = curio.Event()
        self.append_s = 0.0

    async def fence(self) -> None:
        """Makes the log refuse appends of lower epochs.

        Raises:
            Fenced: A higher epoch was seen.
            LogUnavailable: The log gave no answer.
        """
        position = WriterPosition(PRODUCER, self._epoch, 0)
        await self._log.set_epoch(PROGRESS_TOPIC, position)

    async def notify_changes(self) -> None:
        """Notes that jobs have changed."""
        await self._batch_requested.set()

    async def delete(self, job_ids: list[JobId]) -> None:
        """Drops the states of finished jobs with the next batch."""
        self._pending_deletions += job_ids
        await self.notify_changes()

    async def wait_until_stored(self, pending: bool) -> None:
        """Waits until what has changed so far is stored.

        Args:
            pending: Whether changes wait for the next batch.
        """
        needed = self._batches_started + (1 if pending else 0)
        while self._batches_finished < needed:
            await self._batch_done.wait()

    async def run(self) -> None:
        """Appends until cancelled.

        Raises:
            Fenced: A higher epoch was seen.
        """
        while True:
            await self._batch_requested.wait()
            self._batch_requested.clear()
            progress = self._collect()
            deletions, self._pending_deletions = self._pending_deletions, []
            self._batches_started += 1
            if progress or deletions:
                await self._append(progress, deletions)
            self._batches_finished = self._batches_started
            finished_event, self._batch_done = self._batch_done, curio.Event()
            await finished_event.set()

    async def _append(self, progress: Progress, deletions: list[JobId]) -> None:
        # The log answers a repeated sequence number with its first answer, so an
        # append without an answer is repeated as it was.
        items = [progress_item(*row) for row in progress]
        items += progress_tombstones(deletions)
        position = WriterPosition(PRODUCER, self._epoch, next(self._sequence))
        began_at = self._clock.now()
        while True:
            try:
                offset = await self._log.append(
                    PROGRESS_TOPIC, items, writer=position, timeout=APPEND_TIMEOUT_S
                )
                break
            except LogUnavailable:
                self._metrics.count("progress.log_unavailable")
                await curio.sleep(RETRY_DELAY_S)
        self.append_s = self._clock.now() - began_at
        self._metrics.timing("progress_append", self.append_s)
        await self._on_stored(offset, progress)
