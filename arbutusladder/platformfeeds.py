"""Reads the log streams and the VM list, and appends snapshots to the log."""

import curio

from arbutusladder.appender import Appender
from arbutusladder.clock import Clock
from arbutusladder.coordinator import (
    ClaimBatch,
    Coordinator,
)
from arbutusladder.feeds import ConfigFeed, JobFeed
from arbutusladder.ids import Epoch, SeatId, ShardId
from arbutusladder.journal import Journal
from arbutusladder.logclient import (
    STREAM_CONFIG,
    STREAM_JOBS,
    STREAM_OWNERSHIP,
    LogClient,
    encode_body,
)
from arbutusladder.messages import ClaimRecord
from arbutusladder.metrics import Metrics
from arbutusladder.settings import Settings
from arbutusladder.shardhost import ShardHost
from arbutusladder.snapshots import SnapshotItem, SnapshotKind, SnapshotSchedule
from arbutusladder.tailer import TailBatch, Tailer
from arbutusladder.vmlist import (
    VmListClient,
    VmListUnavailable,
    VmListView,
)

SNAPSHOT_APPEND_TIMEOUT_S = 1.0
SNAPSHOT_CHECK_INTERVAL_S = 1.0


class PlatformFeeds:
    """Passes log records and VM lists of the platform to the parts of an entry VM.

    Args:
        settings: Settings of the entry VM.
        log: Client of the log service.
        appender_by_stream: Appenders; each is passed the records that were read
            from its stream.
        config: Configuration built from stream ``config``.
        jobs: Jobs built from stream ``jobs``.
        coordinator: Receives the claims of stream ``ownership``.
        host: Shards of this entry VM.
        vms: Newest VM list of the region.
        first_shard: Shard whose owner appends the snapshot of the configuration.
        clock: Clock of this process.
        metrics: Counters.
        journal: Event log.

    Attributes:
        tailers: One tailer for each stream; that of stream ``config`` is the first.
        vm_list_read: Whether the VM list has been read at least once.
    """

    def __init__(
        self,
        settings: Settings,
        log: LogClient,
        appender_by_stream: dict[str, Appender],
        config: ConfigFeed,
        jobs: JobFeed,
        coordinator: Coordinator,
        host: ShardHost,
        vms: VmListView,
        first_shard: ShardId,
        clock: Clock,
        metrics: Metrics,
        journal: Journal,
    ):
        self._settings = settings
        self._log = log
        self._appender_by_stream = appender_by_stream
        self._config = config
        self._jobs = jobs
        self._coordinator = coordinator
        self._host = host
        self._vms = vms
        self._clock = clock
        self._metrics = metrics
        self._journal = journal
        self._vm_list = VmListClient(settings.vm_list, metrics=metrics)
        self._snapshots = SnapshotSchedule(settings.timing.log_retention_s)
        self._first_shard = first_shard
        self.tailers = self._create_tailers()
        self.vm_list_read = False

    def _create_tailers(self) -> list[Tailer]:
        handler_by_stream = {
            STREAM_CONFIG: self._config.apply_batch,
            STREAM_OWNERSHIP: self._forward_claims,
            STREAM_JOBS: self._jobs.apply_batch,
        }
        return [
            Tailer(
                self._log,
                stream,
                self._batch_handler(stream, handler),
                self._clock,
                self._journal,
            )
            for stream, handler in handler_by_stream.items()
        ]

    def _batch_handler(self, stream: str, handler):
        async def handle_batch(batch: TailBatch) -> None:
            await self._appender_by_stream[stream].confirm(batch.records)
            await handler(batch)

        return handle_batch

    async def _forward_claims(self, batch: TailBatch) -> None:
        await self._coordinator.inbox.put(ClaimBatch(batch))

    async def poll_vm_list(self) -> None:
        """Polls the VM list until cancelled."""
        while True:
            read_at = self._clock.now()
            try:
                vms = await self._vm_list.fetch()
                change = self._vms.update(vms, read_at)
                if change:
                    self._host.apply_vm_list(change)
                self.vm_list_read = True
            except VmListUnavailable:
                self._metrics.count("vm_list.unavailable")
            await curio.sleep(self._settings.timing.vm_list_interval_s)

    async def append_snapshots(self) -> None:
        """Appends snapshots of state whose records leave the log's retention soon."""
        while True:
            await curio.sleep(SNAPSHOT_CHECK_INTERVAL_S)
            now = self._clock.now()
            owned_shards = self._host.serving_shards()
            self._snapshots.set_owned_shards(owned_shards, self._first_shard, now)
            for item in self._snapshots.take_due(now):
                if await self._append_snapshot(item):
                    self._snapshots.mark_appended(item, self._clock.now())

    async def _append_snapshot(self, item: SnapshotItem) -> bool:
        if item.kind is SnapshotKind.CONFIG:
            stream, record = STREAM_CONFIG, self._config.store.snapshot()
        else:
            shard = self._host.shard_by_id.get(item.shard)
            if shard is None:
                # The shard was relinquished after the list of due snapshots was made.
                return False
            stream, record = self._shard_snapshot(item, shard.epoch)
        pending = await self._appender_by_stream[stream].append(
            encode_body(record), give_up_after=SNAPSHOT_APPEND_TIMEOUT_S
        )
        return pending.offset is not None

    def _shard_snapshot(self, item: SnapshotItem, epoch: Epoch) -> tuple[str, object]:
        if item.kind is SnapshotKind.JOBS:
            return STREAM_JOBS, self._jobs.store.snapshot(item.shard, epoch)
        claim = ClaimRecord(
            item.shard,
            epoch,
            SeatId(self._settings.seat),
            self._coordinator.incarnation,
        )
        return STREAM_OWNERSHIP, claim
