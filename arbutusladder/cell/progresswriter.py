"""Appends the progress of jobs to the log in batches.

Only one append is in flight at a time.
"""

import itertools
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import curio

from arbutusladder import events
from arbutusladder.cell.interfaces import KeyedLog, WriterPosition
from arbutusladder.cell.jobtable import PROGRESS_TOPIC, progress_item
from arbutusladder.cell.retention import progress_tombstones
from arbutusladder.clock import Clock
from arbutusladder.errors import LogUnavailable
from arbutusladder.ids import Epoch, JobId
from arbutusladder.journal import Journal
from arbutusladder.messages import JobProgress
from arbutusladder.metrics import Metrics

# Producer id of the owner in the log.
PRODUCER = "owner"
# Seconds before a failed append is repeated.
RETRY_DELAY_S = 0.1
# Seconds for the answer to an append. The log answers a repeated one as the first.
APPEND_TIMEOUT_S = 0.8
# Largest size in bytes of the values of an append of several records, well below the
# log's limit for a call.
MAX_APPEND_BYTES = 1024 * 1024
# Bytes of a record beside its value: lengths and key.
RECORD_HEADER_BYTES = 64

# Changed progress of several jobs.
ProgressBatch = list[tuple[JobId, JobProgress]]


@dataclass
class _Append:
    """Progress that one append stores, and its records.

    Attributes:
        progress: The progress.
        items: Key and value of each record; deletions may follow those of the progress.
        size: Total size of the values in bytes.
    """

    progress: ProgressBatch = field(default_factory=list)
    items: list[tuple[str, bytes]] = field(default_factory=list)
    size: int = 0


class ProgressWriter:
    """Appends changed progress under the owner's epoch.

    Args:
        log: Client of the log.
        epoch: Epoch of the owner, which fences its predecessors.
        clock: Monotonic time.
        metrics: Counters.
        collect: Returns the progress of the jobs that changed since its last call.
        on_stored: Called with the offset of the first record, the stored progress and
            the time of the first attempt, in monotonic seconds that also pass during
            suspensions. Called for each append, also if a batch takes several.
        journal: Event log.
        record_bytes: Largest record in bytes that the log accepts.

    Attributes:
        append_s: Duration of the last append in seconds.
    """

    def __init__(
        self,
        log: KeyedLog,
        epoch: Epoch,
        clock: Clock,
        metrics: Metrics,
        collect: Callable[[], ProgressBatch],
        on_stored: Callable[[int, ProgressBatch, float], Awaitable[None]],
        journal: Journal,
        record_bytes: int,
    ):
        self._log = log
        self._epoch = epoch
        self._clock = clock
        self._metrics = metrics
        self._collect = collect
        self._on_stored = on_stored
        self._journal = journal
        self._record_bytes = record_bytes
        self._sequence = itertools.count(1)
        self._pending_deletions: list[JobId] = []
        self._batch_requested = curio.Event()
        self._batches_started = 0
        self._batches_finished = 0
        self._batch_done = curio.Event()
        self.append_s = 0.0
        self._append_started_at: float | None = None

    def newest_append_s(self, now: float) -> float:
        """Returns the duration of the newest append, which may be in flight."""
        return max(self.append_s, now - (self._append_started_at or now))

    async def fence(self) -> None:
        """Makes the log refuse appends of lower epochs.

        Raises:
            WriterFenced: A higher epoch was seen.
            LogUnavailable: The log refused or did not answer.
        """
        position = WriterPosition(PRODUCER, self._epoch, 0)
        await self._log.set_epoch(PROGRESS_TOPIC, position)

    async def notify_changes(self) -> None:
        """Requests an append of the changed progress."""
        await self._batch_requested.set()

    async def delete(self, job_ids: list[JobId]) -> None:
        """Deletes the states of finished jobs with the next batch."""
        self._pending_deletions += job_ids
        await self.notify_changes()

    async def wait_until_stored(self, pending: bool) -> None:
        """Waits until all changes so far are stored.

        Args:
            pending: Whether changes wait for the next batch.
        """
        target = self._batches_started + (1 if pending else 0)
        while self._batches_finished < target:
            await self._batch_done.wait()

    async def run(self) -> None:
        """Appends batches until cancelled.

        Raises:
            WriterFenced: A higher epoch was seen.
        """
        while True:
            await self._batch_requested.wait()
            self._batch_requested.clear()
            progress = self._collect()
            deletions, self._pending_deletions = self._pending_deletions, []
            self._batches_started += 1
            appends = self._split(progress)
            if deletions:
                appends = appends or [_Append()]
                appends[-1].items += progress_tombstones(deletions)
            for append in appends:
                await self._append(append)
            self._batches_finished = self._batches_started
            finished_event, self._batch_done = self._batch_done, curio.Event()
            await finished_event.set()

    def _split(self, progress: ProgressBatch) -> list[_Append]:
        """Splits a batch into appends that the log accepts.

        A record that is too large is left out, since it would hold up all others. The
        limits of a job's size exclude it for jobs that this version has accepted.
        """
        appends: list[_Append] = []
        for job_id, row in progress:
            item = progress_item(job_id, row)
            size = len(item[1])
            if size + RECORD_HEADER_BYTES > self._record_bytes:
                self._metrics.count("progress.too_large")
                self._journal.write(events.PROGRESS_TOO_LARGE, job=job_id, size=size)
                continue
            if not appends or appends[-1].size + size > MAX_APPEND_BYTES:
                appends.append(_Append())
            appends[-1].progress.append((job_id, row))
            appends[-1].items.append(item)
            appends[-1].size += size
        return appends

    async def _append(self, append: _Append) -> None:
        # The log answers a repeated sequence number with its first answer, so an
        # append without an answer is safe to repeat unchanged.
        position = WriterPosition(PRODUCER, self._epoch, next(self._sequence))
        started_at = self._append_started_at = self._clock.now()
        # The log may answer a repeated append with the answer to the first attempt.
        first_sent_at = self._clock.now_with_suspensions()
        while True:
            try:
                offset = await self._log.append(
                    PROGRESS_TOPIC,
                    append.items,
                    writer=position,
                    timeout=APPEND_TIMEOUT_S,
                )
                break
            except LogUnavailable:
                self._metrics.count("progress.log_unavailable")
                await curio.sleep(RETRY_DELAY_S)
        self.append_s = self._clock.now() - started_at
        self._append_started_at = None
        self._metrics.timing("progress_append", self.append_s)
        await self._on_stored(offset, append.progress, first_sent_at)
