"""Host of the shards that this entry VM owns.

The coordinator starts and stops the shards; the host owns their `LocalShard` objects
and the handovers received for them.
"""

import uuid
from collections.abc import Callable

import curio

from arbutusladder import events
from arbutusladder.appender import Appender, AppendState
from arbutusladder.backgroundtasks import spawn_logged
from arbutusladder.clock import Clock
from arbutusladder.configstore import ConfigState
from arbutusladder.coordinator import (
    HandoverAnswered,
    HandoverReceived,
    RebuildFinished,
)
from arbutusladder.ids import RequestId, ShardId, VmId
from arbutusladder.jobmoves import (
    MAX_MOVES_PER_CHECK,
    MIN_WAIT_BEFORE_MOVE_S,
    choose_target_shard,
)
from arbutusladder.jobstore import JobStore
from arbutusladder.journal import Journal
from arbutusladder.localshard import LocalShard
from arbutusladder.logclient import encode_body
from arbutusladder.messages import (
    ForwardAnswer,
    ForwardRequest,
    Handover,
    HandoverAck,
    JobMoved,
    JobSpec,
    JobSubmitted,
    ShardFence,
    ShardSummary,
    VmRecord,
)
from arbutusladder.metrics import Metrics
from arbutusladder.ownership import (
    BecomeOwner,
    RelinquishShard,
    SendHandover,
    StartRebuild,
)
from arbutusladder.peers import PeerTransport
from arbutusladder.settings import Settings
from arbutusladder.shardownerview import ShardOwnerView
from arbutusladder.states import Outcome, Reason, VmKind
from arbutusladder.vmlist import VmListChange, VmListView, shard_of

APPEND_TIMEOUT_S = 2.0
# Seconds between checks whether a fence was read or all shards have stopped.
POLL_INTERVAL_S = 0.02
# Seconds between checks for waiting jobs to move to other shards.
MOVE_CHECK_INTERVAL_S = 1.0
# Longest wait in seconds for a successor to answer a handover.
HANDOVER_TIMEOUT_S = 1.0
OUTCOME_BY_APPEND = {
    AppendState.CONFIRMED: Outcome.DONE,
    AppendState.NOT_APPENDED: Outcome.NOT_RUN,
    AppendState.UNKNOWN: Outcome.UNKNOWN,
}


class ShardHost:
    """Runs each shard from the start of its rebuild until it is relinquished.

    Args:
        settings: Settings of the entry VM.
        shards: Number of shards of the region.
        peers: Transport to the other entry VMs.
        inbox: Input queue of the coordinator.
        appender: Appender of stream ``jobs``.
        jobs: Job store that is built from stream ``jobs``.
        vms: View of the VM list.
        view: Owners and summaries of the region's shards.
        config: Function that returns the configuration in force.
        clock: Clock of this process.
        metrics: Counters.
        journal: Event log.
    """

    def __init__(
        self,
        settings: Settings,
        shards: int,
        peers: PeerTransport,
        inbox: curio.Queue,
        appender: Appender,
        jobs: JobStore,
        vms: VmListView,
        view: ShardOwnerView,
        config: Callable[[], ConfigState],
        clock: Clock,
        metrics: Metrics,
        journal: Journal,
    ):
        self.shard_by_id: dict[ShardId, LocalShard] = {}
        self._settings = settings
        self._shard_count = shards
        self._peers = peers
        self._inbox = inbox
        self._appender = appender
        self._job_store = jobs
        self._vms = vms
        self._view = view
        self._config = config
        self._clock = clock
        self._metrics = metrics
        self._journal = journal
        self._handover_by_shard: dict[ShardId, Handover] = {}
        self._draining_vms: set[VmId] = set()
        self._removed_at_by_worker: dict[VmId, tuple[ShardId, float]] = {}
        self._stop_tasks: set[curio.Task] = set()

    # Actions of the coordinator

    async def start_rebuild(self, action: StartRebuild) -> None:
        """Starts to rebuild a shard."""
        await self._remove_shard(action.shard)
        shard = LocalShard(
            action,
            self._settings,
            self._config(),
            self._shard_count,
            self.append,
            self._clock,
            self._metrics,
            self._journal,
        )
        self.shard_by_id[action.shard] = shard
        name = f"rebuild of {action.shard}"
        await spawn_logged(self._journal, name, self._rebuild, shard, action)

    async def become_owner(self, action: BecomeOwner) -> None:
        """Starts to act as the owner of a shard."""
        shard = self.shard_by_id.get(action.shard)
        if shard and shard.epoch == action.epoch:
            shard.serving = True

    async def send_handover(self, action: SendHandover) -> None:
        """Sends a shard's state to its successor."""
        name = f"handover of {action.shard}"
        await spawn_logged(self._journal, name, self._send_handover, action)

    async def relinquish(self, action: RelinquishShard) -> None:
        """Stops acting on a shard and discards it."""
        shard = self.shard_by_id.get(action.shard)
        if shard and shard.epoch <= action.epoch:
            await self._remove_shard(action.shard)

    def summaries(self) -> list[ShardSummary]:
        """Returns the summaries of the shards that this entry VM acts on."""
        shards = self.shard_by_id.values()
        return [shard.summary() for shard in shards if shard.serving]

    # Calls of other tasks

    async def handle(self, request: ForwardRequest) -> ForwardAnswer:
        """Handles a request for a shard; refuses it if the shard is not owned here."""
        shard = self.shard_by_id.get(request.shard)
        if shard is None or not shard.serving:
            self._metrics.count_refusal(Reason.NOT_OWNER)
            return ForwardAnswer(
                request.request_id, Outcome.NOT_RUN, reason=Reason.NOT_OWNER.value
            )
        return await shard.requests.handle(request)

    async def receive_handover(self, handover: Handover) -> HandoverAck:
        """Stores the state of a shard that its previous owner hands over."""
        accepted: curio.Result = curio.Result()
        self._handover_by_shard[handover.shard] = handover
        await self._inbox.put(HandoverReceived(handover, accepted))
        was_accepted = await accepted.unwrap()
        if not was_accepted:
            self._handover_by_shard.pop(handover.shard, None)
        return HandoverAck(handover.request_id, handover.shard, was_accepted)

    def handle_job_submitted(self, record: JobSubmitted) -> None:
        """Adds a job submission that was read from the log, if the job is unknown."""
        shard = self.shard_by_id.get(record.shard)
        if shard and shard.loaded and not shard.jobs.query(record.job.job_id).found:
            shard.jobs.adopt_job(record.job)

    def handle_job_moved(self, record: JobMoved) -> None:
        """Adds a job that another owner moved to one of the shards."""
        shard = self.shard_by_id.get(record.shard)
        if shard and shard.loaded:
            spec = self._job_store.job(record.job_id).spec
            shard.jobs.adopt_job(spec, started_tasks=frozenset())

    async def move_jobs(self) -> None:
        """Moves waiting jobs to shards with free capacity until cancelled."""
        while True:
            await curio.sleep(MOVE_CHECK_INTERVAL_S)
            for shard in list(self.shard_by_id.values()):
                if shard.serving and self._appender.last_error is None:
                    await self._move_jobs_from(shard)

    async def _move_jobs_from(self, shard: LocalShard) -> None:
        limit = self._clock.wall_time() - MIN_WAIT_BEFORE_MOVE_S
        jobs = [job for job in shard.jobs.movable_jobs() if job.submitted_at < limit]
        for spec in jobs[:MAX_MOVES_PER_CHECK]:
            logged_job = self._job_store.job(spec.job_id)
            is_on_shard = logged_job is not None and logged_job.shard == shard.shard_id
            target = self._choose_move_target(shard, spec) if is_on_shard else None
            if target and shard.jobs.remove_if_movable(spec.job_id):
                await self._append_move(shard, spec, target)

    def _choose_move_target(self, shard: LocalShard, spec: JobSpec) -> ShardId | None:
        owned = self._view.owned(self._clock.now())
        workload = self._config().workload_by_name.get(spec.workload)
        domains = set(self._view.domain_by_shard.values())
        if workload and workload.spread == "failure_domain":
            domains = {self._view.domain_by_shard[shard.shard_id]}
        other_summaries = [
            owned_shard.summary
            for shard_id, owned_shard in owned.items()
            if shard_id != shard.shard_id
            and self._view.domain_by_shard[shard_id] in domains
        ]
        return choose_target_shard(spec, shard.summary(), other_summaries)

    async def _append_move(
        self, shard: LocalShard, spec: JobSpec, target: ShardId
    ) -> None:
        # The append has no timeout: it ends confirmed unless it is refused for lack
        # of memory. The job is therefore never on two shards.
        move = JobMoved(spec.job_id, shard.shard_id, target, shard.epoch)
        pending = await self._appender.append(encode_body(move))
        if pending.state is AppendState.CONFIRMED:
            self._metrics.count("jobs.moved")
        elif shard.serving:
            shard.jobs.adopt_job(spec, started_tasks=frozenset())

    def apply_vm_list(self, change: VmListChange) -> None:
        """Passes the newest VM list to all shards."""
        now = self._clock.now()
        for vm in change.removed:
            if vm.kind is VmKind.WORKER:
                shard_id = shard_of(vm, self._settings.shards.per_domain)
                self._removed_at_by_worker[vm.id] = (shard_id, now)
        endpoints = self._vms.endpoints_by_shard()
        for shard in self.shard_by_id.values():
            self._set_vms(shard, endpoints.get(shard.shard_id, []))

    def apply_config(self, config: ConfigState) -> None:
        """Passes a new configuration to all shards."""
        for shard in self.shard_by_id.values():
            shard.apply_config(config)

    def drain_vm(self, vm: VmId, draining: bool) -> bool:
        """Starts or ends the drain of a VM; returns whether an owned shard has it."""
        if draining:
            self._draining_vms.add(vm)
        else:
            self._draining_vms.discard(vm)
        record = self._vms.vm_by_id.get(vm)
        if record is None:
            return False
        shard = self.shard_by_id.get(shard_of(record, self._settings.shards.per_domain))
        if shard is None:
            return False
        shard.requests.drain(vm, draining)
        shard.jobs.set_drain(vm, draining)
        return True

    def serving_shards(self) -> set[ShardId]:
        """Returns the shards that this entry VM acts on."""
        return {shard.shard_id for shard in self.shard_by_id.values() if shard.serving}

    @property
    def open_requests(self) -> int:
        """Number of requests on owned shards that have no outcome yet."""
        shards = self.shard_by_id.values()
        return sum(shard.requests.open_requests for shard in shards)

    async def append(self, record: object) -> Outcome:
        """Appends one record to stream ``jobs`` and returns the outcome."""
        pending = await self._appender.append(
            encode_body(record), give_up_after=APPEND_TIMEOUT_S
        )
        return OUTCOME_BY_APPEND[pending.state]

    async def stop(self) -> None:
        """Stops all shards and waits until no request is in flight."""
        for shard_id in list(self.shard_by_id):
            await self._remove_shard(shard_id)
        while self._stop_tasks:
            await curio.sleep(POLL_INTERVAL_S)

    # Helpers

    def _set_vms(self, shard: LocalShard, records: list[VmRecord]) -> None:
        shard.set_vms(records)
        for record in records:
            if record.id in self._draining_vms:
                shard.requests.drain(record.id, True)
                shard.jobs.set_drain(record.id, True)

    async def _remove_shard(self, shard_id: ShardId) -> None:
        shard = self.shard_by_id.pop(shard_id, None)
        if shard is None:
            return
        shard.serving = False
        name = f"stop of {shard_id}"
        task = await spawn_logged(self._journal, name, self._stop_shard, shard)
        self._stop_tasks.add(task)

    async def _stop_shard(self, shard: LocalShard) -> None:
        task = await curio.current_task()
        try:
            await shard.stop()
        finally:
            self._stop_tasks.discard(task)

    async def _rebuild(self, shard: LocalShard, action: StartRebuild) -> None:
        if not await self._await_fence(shard):
            return
        handover = self._handover_by_shard.pop(shard.shard_id, None)
        if handover and not (action.adopted and handover.new_epoch == shard.epoch):
            handover = None
        endpoints = self._vms.endpoints_by_shard()
        self._set_vms(shard, endpoints.get(shard.shard_id, []))
        logged_jobs = self._job_store.jobs(shard.shard_id)
        ended = set().union(*(job.ended_tasks for job in logged_jobs))
        specs = [job.spec for job in logged_jobs]
        removed_workers = self._recently_removed_workers(shard.shard_id)
        await shard.rebuild(specs, ended, handover, removed_workers)
        await self._inbox.put(RebuildFinished(shard.shard_id, shard.epoch))

    async def _await_fence(self, shard: LocalShard) -> bool:
        """Appends a fence and waits until all records of earlier owners are read.

        Returns:
            Whether the fence was read; False if the shard was removed meanwhile.
        """
        fence = encode_body(ShardFence(shard.shard_id, shard.epoch))
        await self._appender.submit(fence)
        while self.shard_by_id.get(shard.shard_id) is shard:
            is_fence_read = self._job_store.fence(shard.shard_id) >= shard.epoch
            if is_fence_read and self._job_store.is_complete(shard.shard_id):
                return True
            await curio.sleep(POLL_INTERVAL_S)
        return False

    def _recently_removed_workers(self, shard: ShardId) -> list[VmId]:
        timing = self._settings.timing
        limit = self._clock.now() - timing.task_lease_s - timing.clock_skew_s
        removed = {
            vm: (shard_id, at)
            for vm, (shard_id, at) in self._removed_at_by_worker.items()
            if at > limit
        }
        self._removed_at_by_worker = removed
        return [vm for vm, (shard_id, _) in removed.items() if shard_id == shard]

    async def _send_handover(self, action: SendHandover) -> None:
        shard = self.shard_by_id.get(action.shard)
        if shard and shard.epoch == action.epoch:
            request_id = RequestId(uuid.uuid4().hex)
            handover = await shard.stop_for_handover(action, request_id)
            await self._peers.call(action.successor, handover, HANDOVER_TIMEOUT_S)
            self._journal.write(
                events.SHARD_HANDED_OVER,
                shard=action.shard,
                successor=action.successor,
            )
        await self._inbox.put(HandoverAnswered(action.shard))
