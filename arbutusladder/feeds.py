"""Folds of the streams ``config`` and ``jobs`` as this entry VM follows them."""

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

OnConfig = Callable[[ConfigState], Awaitable[None]]
OnJob = Callable[[JobSubmitted], None]
OnMoved = Callable[[JobMoved], None]
OnFence = Callable[[ShardFence], Awaitable[None]]


class ConfigFeed:
    """Folds stream ``config`` and offers from peers.

    Args:
        on_change: Coroutine function called with each new revision.
        metrics: Counters.
        journal: Event log.
    """

    def __init__(self, on_change: OnConfig, metrics: Metrics, journal: Journal):
        self.store = ConfigStore()
        self.changed = curio.Event()
        self._on_change = on_change
        self._metrics = metrics
        self._journal = journal

    async def apply_batch(self, batch: TailBatch) -> None:
        """Folds a batch of the stream."""
        if batch.lost:
            self.store.missed(batch.start)
        for record in batch.records:
            await self._fold(record)

    async def apply_offer(self, offer: ConfigOffer) -> bool:
        """Takes a peer's revision; returns whether it is now in force."""
        if not self.store.take_offer(offer.revision, offer.offset, offer.body):
            return False
        await self._announce()
        return True

    async def _fold(self, record: LogRecord) -> None:
        try:
            message = decode_body(record.body, CONFIG_TYPES)
        except ProtocolError:
            self._metrics.count("log.malformed_record")
            return
        changed = self.store.fold(record.offset, record.id, message)
        if isinstance(message, ChangeSet):
            self._log_result(record, message)
        if changed:
            await self._announce()

    def _log_result(self, record: LogRecord, change: ChangeSet) -> None:
        match self.store.result(record.id):
            case Rejected() as rejected:
                self._metrics.refused(rejected.reason)
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

    async def _announce(self) -> None:
        await self._on_change(self.store.state)
        changed, self.changed = self.changed, curio.Event()
        await changed.set()


class JobFeed:
    """Folds stream ``jobs``.

    Args:
        on_submitted: Called with each submission that is read.
        on_moved: Called with each move that took effect.
        on_fence: Coroutine function called with each owner's first record.
        metrics: Counters.
    """

    def __init__(
        self,
        on_submitted: OnJob,
        on_moved: OnMoved,
        on_fence: OnFence,
        metrics: Metrics,
    ):
        self.store = JobStore()
        self._on_moved = on_moved
        self._on_fence = on_fence
        self._on_submitted = on_submitted
        self._metrics = metrics

    async def apply_batch(self, batch: TailBatch) -> None:
        """Folds a batch of the stream."""
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
                    live = self.store.job(message.job_id)
                    if live and live.shard == message.shard:
                        self._on_moved(message)
                case ShardFence():
                    await self._on_fence(message)
