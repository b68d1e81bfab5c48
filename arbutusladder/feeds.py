"""Applies the records of the log streams ``config`` and ``jobs`` to their stores."""

from collections.abc import Awaitable, Callable

import curio

from arbutusladder import events
from arbutusladder.configstore import (
    CONFIG_TYPES,
    Accepted,
    ChangeSet,
    ConfigState,
    ConfigStore,
    Rejected,
)
from arbutusladder.errors import ProtocolError
from arbutusladder.jobstore import JobStore
from arbutusladder.journal import Journal
from arbutusladder.logclient import decode_body
from arbutusladder.messages import (
    ConfigOffer,
    JobMoved,
    JobSubmitted,
    LogRecord,
    ShardFence,
)
from arbutusladder.metrics import Metrics
from arbutusladder.tailer import TailBatch

ConfigHandler = Callable[[ConfigState], Awaitable[None]]
SubmissionHandler = Callable[[JobSubmitted], None]
MoveHandler = Callable[[JobMoved], None]
FenceHandler = Callable[[ShardFence], Awaitable[None]]


class ConfigFeed:
    """Maintains the configuration from stream ``config`` and offers of peers.

    Args:
        on_change: Coroutine function called with each new revision.
        metrics: Counters.
        journal: Event log.

    Attributes:
        store: Configuration built from the stream.
        changed: Set at the next change of the configuration, and then replaced.
    """

    def __init__(self, on_change: ConfigHandler, metrics: Metrics, journal: Journal):
        self.store = ConfigStore()
        self.changed = curio.Event()
        self._on_change = on_change
        self._metrics = metrics
        self._journal = journal

    async def apply_batch(self, batch: TailBatch) -> None:
        """Applies a batch of records of the stream."""
        if batch.lost:
            self.store.mark_missed(batch.start)
        for record in batch.records:
            await self._apply_record(record)

    async def apply_offer(self, offer: ConfigOffer) -> bool:
        """Applies a peer's configuration; returns whether it is now in force."""
        if not self.store.adopt_offer(offer.revision, offer.offset, offer.body):
            return False
        await self._notify_changed()
        return True

    async def _apply_record(self, record: LogRecord) -> None:
        try:
            message = decode_body(record.body, CONFIG_TYPES)
        except ProtocolError:
            self._metrics.count("log.malformed_record")
            return
        changed = self.store.apply_record(record.offset, record.id, message)
        if isinstance(message, ChangeSet):
            self._log_result(record, message)
        if changed:
            await self._notify_changed()

    def _log_result(self, record: LogRecord, change: ChangeSet) -> None:
        match self.store.find_result(record.id):
            case Rejected() as rejected:
                self._metrics.count_refusal(rejected.reason)
                self._journal.write(
                    events.CONFIG_REFUSED,
                    author=change.author,
                    problem="; ".join(rejected.problems),
                )
            case Accepted() as accepted:
                self._journal.write(
                    events.CONFIG_APPLIED,
                    revision=accepted.revision,
                    author=accepted.author,
                )

    async def _notify_changed(self) -> None:
        await self._on_change(self.store.state)
        changed, self.changed = self.changed, curio.Event()
        await changed.set()


class JobFeed:
    """Maintains the submitted jobs from stream ``jobs``.

    Args:
        on_submitted: Called with each submission that is read.
        on_moved: Called with each move that took effect.
        on_fence: Coroutine function called with the first record of each new owner
            of a shard.
        metrics: Counters.

    Attributes:
        store: Jobs built from the stream.
    """

    def __init__(
        self,
        on_submitted: SubmissionHandler,
        on_moved: MoveHandler,
        on_fence: FenceHandler,
        metrics: Metrics,
    ):
        self.store = JobStore()
        self._on_moved = on_moved
        self._on_fence = on_fence
        self._on_submitted = on_submitted
        self._metrics = metrics

    async def apply_batch(self, batch: TailBatch) -> None:
        """Applies a batch of records of the stream."""
        if batch.lost:
            self.store.missed(batch.start)
        for record in batch.records:
            try:
                message = decode_body(record.body)
            except ProtocolError:
                self._metrics.count("log.malformed_record")
                continue
            self.store.fold(record.offset, message)
            match message:
                case JobSubmitted():
                    self._on_submitted(message)
                case JobMoved():
                    current_job = self.store.job(message.job_id)
                    if current_job and current_job.shard == message.shard:
                        self._on_moved(message)
                case ShardFence():
                    await self._on_fence(message)
