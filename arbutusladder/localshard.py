"""One shard that this entry VM owns or rebuilds, with its requests and jobs.

A `LocalShard` exists for one epoch; all its state is in memory and is rebuilt from
the log, the workers and a handover.
"""

from collections.abc import Iterable

import curio

from arbutusladder.backgroundtasks import spawn_logged
from arbutusladder.clock import Clock
from arbutusladder.configstore import ConfigState
from arbutusladder.declarations import Amount, Preset, Team
from arbutusladder.ids import Epoch, ShardId, TeamName, VmId
from arbutusladder.journal import Journal
from arbutusladder.messages import Handover, JobSpec, ShardSummary, VmRecord
from arbutusladder.metrics import Metrics
from arbutusladder.ownership import SendHandover, StartRebuild
from arbutusladder.policies import make_policy
from arbutusladder.settings import Settings
from arbutusladder.shardjobs import AppendFunction, ShardJobs
from arbutusladder.shardrequests import RequestHandover, ShardRequests
from arbutusladder.states import VmKind

# Epoch of a shard's first owner, which has no predecessor that may have sent requests.
FIRST_EPOCH = 1
# Preset in force until the first configuration is published.
DEFAULT_PRESET = Preset(name="default")


def active_preset(config: ConfigState) -> Preset:
    """Returns the preset in force."""
    return config.preset_by_name.get(config.active_preset, DEFAULT_PRESET)


def shard_teams(config: ConfigState, shards: int) -> dict[TeamName, Team]:
    """Returns the teams with the share of their quotas that one shard may grant.

    Shards do not know the usage of other shards, so each gets an equal share;
    together they never exceed the quota, apart from accelerators that are rounded up.

    Args:
        config: Configuration in force.
        shards: Number of shards of the region.
    """
    return {
        name: Team(
            name=name, quota=_divide_quota(team.quota, shards), weight=team.weight
        )
        for name, team in config.team_by_name.items()
    }


def _divide_quota(quota: Amount, shards: int) -> Amount:
    # Zero means no limit, so accelerators are rounded up to at least one.
    return Amount(
        cpu=quota.cpu / shards,
        memory_mb=quota.memory_mb / shards,
        accelerators=-(-quota.accelerators // shards),
    )


class LocalShard:
    """Requests and jobs of one shard in one epoch.

    Args:
        action: Action that started the rebuild.
        settings: Settings of the entry VM.
        config: Configuration in force.
        shards: Number of shards of the region.
        append: Function that appends one record to stream ``jobs``.
        clock: Clock of this process.
        metrics: Counters.
        journal: Event log.
    """

    def __init__(
        self,
        action: StartRebuild,
        settings: Settings,
        config: ConfigState,
        shards: int,
        append: AppendFunction,
        clock: Clock,
        metrics: Metrics,
        journal: Journal,
    ):
        self.shard_id: ShardId = action.shard
        self.epoch: Epoch = action.epoch
        self.serving = False
        self.loaded = False
        self._action = action
        self._shard_count = shards
        self._clock = clock
        self._journal = journal
        self._tasks: list[curio.Task] = []
        self.requests = ShardRequests(
            action.shard,
            metrics,
            clock,
            settings.limits,
            settings.timing,
            action.validity.is_valid,
        )
        preset = active_preset(config)
        self.jobs = ShardJobs(
            action.shard,
            make_policy(preset, shard_teams(config, shards)),
            append,
            metrics,
            clock,
            settings.timing,
            action.validity.valid_until,
            journal,
        )
        self.requests.set_preset(preset)

    def set_vms(self, records: Iterable[VmRecord]) -> None:
        """Sets the endpoints of the shard from the VM list."""
        records = list(records)
        self.requests.set_endpoints(
            [record for record in records if record.kind is VmKind.EXECUTOR]
        )
        self.jobs.set_workers(
            [record for record in records if record.kind is VmKind.WORKER]
        )

    def apply_config(self, config: ConfigState) -> None:
        """Applies a new configuration."""
        preset = active_preset(config)
        self.requests.set_preset(preset)
        self.jobs.set_preset(preset, shard_teams(config, self._shard_count))

    async def rebuild(
        self,
        live_jobs: list[JobSpec],
        ended_tasks: set,
        handover: Handover | None,
        removed_workers: list[VmId],
    ) -> None:
        """Rebuilds the shard's state; nothing is sent before the rebuild ends.

        Args:
            live_jobs: Unfinished jobs on stream ``jobs``.
            ended_tasks: Tasks of these jobs that have ended.
            handover: State that the previous owner handed over, if any.
            removed_workers: Workers that left the VM list less than a task lease ago.
        """
        previous_owner_end = self._action.previous_owner_ended_by
        if self.epoch > FIRST_EPOCH:
            self.requests.start_without_handover(previous_owner_end)
        if handover:
            self.requests.adopt_handover(
                RequestHandover(
                    handover.keys,
                    handover.keys_complete_since,
                    handover.slots_by_endpoint,
                )
            )
        for name, run in (("requests", self.requests.run), ("jobs", self.jobs.run)):
            name = f"{name} of {self.shard_id}"
            self._tasks.append(await spawn_logged(self._journal, name, run))
        jobs_by_id = {job.job_id: job for job in live_jobs}
        started_tasks = None
        if handover:
            jobs_by_id |= {job.job_id: job for job in handover.jobs}
            ended_tasks = ended_tasks | set(handover.ended_tasks)
            started_tasks = set(handover.started_tasks)
        self.loaded = True
        previous_owner_wall_end = (
            self._clock.wall_time() + previous_owner_end - self._clock.now()
        )
        await self.jobs.rebuild(
            list(jobs_by_id.values()),
            ended_tasks,
            previous_owner_wall_end,
            started_tasks,
            removed_workers,
            handover.ended_jobs if handover else (),
        )

    async def stop_for_handover(
        self, action: SendHandover, request_id: str
    ) -> Handover:
        """Stops acting on the shard and returns its state for the successor."""
        self.serving = False
        requests = await self.requests.export_handover()
        await self.jobs.stop()
        jobs = self.jobs.export_handover()
        return Handover(
            request_id=request_id,
            shard=self.shard_id,
            epoch=action.epoch,
            new_epoch=action.new_epoch,
            successor=action.successor,
            keys=requests.keys,
            slots_by_endpoint=requests.slots_by_endpoint,
            keys_complete_since=requests.keys_complete_since,
            jobs=jobs.jobs,
            ended_tasks=jobs.ended_tasks,
            started_tasks=jobs.started_tasks,
            ended_jobs=jobs.ended_jobs,
        )

    def summary(self) -> ShardSummary:
        """Returns the summary of the shard, with its free capacity and queue."""
        summary = self.jobs.summary()
        requests = self.requests.summary()
        summary.epoch = self.epoch
        summary.free_slots_by_service = requests.free_slots_by_service
        summary.queued_requests = requests.queued_requests
        return summary

    async def stop(self) -> None:
        """Finishes requests in flight and cancels the shard's curio tasks."""
        self.serving = False
        await self.requests.stop()
        await self.jobs.stop()
        for task in self._tasks:
            await task.cancel()
