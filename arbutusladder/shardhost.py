"""Runs the shards that this entry VM owns, as the coordinator orders it."""

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

APPEND_LIMIT_S = 2.0
FENCE_POLL_S = 0.02
MOVE_CHECK_S = 1.0
HANDOVER_LIMIT_S = 1.0
OUTCOME_BY_APPEND = {
    AppendState.CONFIRMED: Outcome.DONE,
    AppendState.NOT_APPENDED: Outcome.NOT_RUN,
    AppendState.UNKNOWN: Outcome.UNKNOWN,
}


class ShardHost:
    """Shards by id, from the order to rebuild until they are given up.

    Args:
        settings: Settings of the entry VM.
        shards: Number of shards of the region.
        peers: Transport to the other entry VMs.
        inbox: Queue of the coordinator.
        appender: Appender of stream ``jobs``.
        jobs: Fold of stream ``jobs``.
        vms: View of the VM list.
        view: Owners and summaries of the region's shards.
        config: Returns the configuration in force.
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
        self._shards = shards
        self._peers = peers
        self._inbox = inbox
        self._appender = appender
        self._jobs = jobs
        self._vms = vms
        self._view = view
        self._config = config
        self._clock = clock
        self._metrics = metrics
        self._journal = journal
        self._handover_by_shard: dict[ShardId, Handover] = {}
        self._drained: set[VmId] = set()
        self._gone_at_by_worker: dict[VmId, tuple[ShardId, float]] = {}
        self._stopping: set[curio.Task] = set()

    # Orders of the coordinator

    async def start_rebuild(self, action: StartRebuild) -> None:
        """Starts to rebuild a shard."""
        await self._drop(action.shard)
        shard = LocalShard(
            action,
            self._settings,
            self._config(),
            self._shards,
            self.append,
            self._clock,
            self._metrics,
            self._journal,
        )
        self.shard_by_id[action.shard] = shard
        name = f"rebuild of {action.shard}"
        await spawn_logged(self._journal, name, self._rebuild, shard, action)

    async def become_owner(self, action: BecomeOwner) -> None:
        """Starts to answer for a shard."""
        shard = self.shard_by_id.get(action.shard)
        if shard and shard.epoch == action.epoch:
            shard.serving = True

    async def send_handover(self, action: SendHandover) -> None:
        """Sends a shard's state to its successor."""
        name = f"handover of {action.shard}"
        await spawn_logged(self._journal, name, self._send_handover, action)

    async def give_up(self, action: RelinquishShard) -> None:
        """Stops acting on a shard."""
        shard = self.shard_by_id.get(action.shard)
        if shard and shard.epoch <= action.epoch:
            await self._drop(action.shard)

    def summaries(self) -> list[ShardSummary]:
        """Returns the summaries of the shards that it acts on."""
        shards = self.shard_by_id.values()
        return [shard.summary() for shard in shards if shard.serving]

    # Inputs of other tasks

    async def handle(self, request: ForwardRequest) -> ForwardAnswer:
        """Runs a request on a shard that this entry VM owns."""
        shard = self.shard_by_id.get(request.shard)
        if shard is None or not shard.serving:
            self._metrics.refused(Reason.NOT_OWNER)
            return ForwardAnswer(
                request.request_id, Outcome.NOT_RUN, reason=Reason.NOT_OWNER.value
            )
        return await shard.requests.handle(request)

    async def receive_handover(self, handover: Handover) -> HandoverAck:
        """Takes the state of a shard from its previous owner."""
        accepted: curio.Result = curio.Result()
        self._handover_by_shard[handover.shard] = handover
        await self._inbox.put(HandoverReceived(handover, accepted))
        answer = await accepted.unwrap()
        if not answer:
            self._handover_by_shard.pop(handover.shard, None)
        return HandoverAck(handover.request_id, handover.shard, answer)

    def handle_job_submitted(self, record: JobSubmitted) -> None:
        """Takes a submission read from the log that this owner did not make."""
        shard = self.shard_by_id.get(record.shard)
        if shard and shard.loaded and not shard.jobs.query(record.job.job_id).found:
            shard.jobs.adopt_job(record.job)

    def handle_job_moved(self, record: JobMoved) -> None:
        """Takes a job that another owner moved to a shard."""
        shard = self.shard_by_id.get(record.shard)
        if shard and shard.loaded:
            spec = self._jobs.job(record.job_id).spec
            shard.jobs.adopt_job(spec, started_tasks=frozenset())

    async def move_jobs(self) -> None:
        """Moves waiting jobs to shards with room; until cancelled."""
        while True:
            await curio.sleep(MOVE_CHECK_S)
            for shard in list(self.shard_by_id.values()):
                if shard.serving and self._appender.last_error is None:
                    await self._move_from(shard)

    async def _move_from(self, shard: LocalShard) -> None:
        recent = self._clock.wall() - MIN_WAIT_BEFORE_MOVE_S
        jobs = [job for job in shard.jobs.movable_jobs() if job.submitted_at < recent]
        for spec in jobs[:MAX_MOVES_PER_CHECK]:
            live = self._jobs.job(spec.job_id)
            on_log = live is not None and live.shard == shard.shard
            target = self._move_target(shard, spec) if on_log else None
            if target and shard.jobs.remove_if_movable(spec.job_id):
                await self._append_move(shard, spec, target)

    def _move_target(self, shard: LocalShard, spec: JobSpec) -> ShardId | None:
        owned = self._view.owned(self._clock.now())
        workload = self._config().workload_by_name.get(spec.workload)
        domains = set(self._view.domain_by_shard.values())
        if workload and workload.spread == "failure_domain":
            domains = {self._view.domain_by_shard[shard.shard]}
        others = [
            known.summary
            for place, known in owned.items()
            if place != shard.shard and self._view.domain_by_shard[place] in domains
        ]
        return choose_target_shard(spec, shard.summary(), others)

    async def _append_move(
        self, shard: LocalShard, spec: JobSpec, target: ShardId
    ) -> None:
        # Without a time limit the append ends confirmed, unless it is refused
        # for lack of memory, so that the job is never in two places.
        move = JobMoved(spec.job_id, shard.shard, target, shard.epoch)
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
                place = shard_of(vm, self._settings.shards.per_domain)
                self._gone_at_by_worker[vm.id] = (place, now)
        endpoints = self._vms.endpoints_by_shard()
        for shard in self.shard_by_id.values():
            self._set_vms(shard, endpoints.get(shard.shard, []))

    def apply_config(self, config: ConfigState) -> None:
        """Passes a new configuration to all shards."""
        for shard in self.shard_by_id.values():
            shard.apply_config(config)

    def drain_vm(self, vm: VmId, draining: bool) -> bool:
        """Starts or ends a drain; returns whether an owned shard has the VM."""
        if draining:
            self._drained.add(vm)
        else:
            self._drained.discard(vm)
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
        """Returns the shards that it acts on."""
        return {shard.shard for shard in self.shard_by_id.values() if shard.serving}

    @property
    def open_requests(self) -> int:
        """Requests on owned shards that have no outcome yet."""
        shards = self.shard_by_id.values()
        return sum(shard.requests.open_requests for shard in shards)

    async def append(self, record: object) -> Outcome:
        """Appends one record to stream ``jobs``."""
        pending = await self._appender.append(
            encode_body(record), give_up_after=APPEND_LIMIT_S
        )
        return OUTCOME_BY_APPEND[pending.state]

    async def stop(self) -> None:
        """Stops all shards and waits until nothing is in flight."""
        for shard_id in list(self.shard_by_id):
            await self._drop(shard_id)
        while self._stopping:
            await curio.sleep(FENCE_POLL_S)

    # Parts

    def _set_vms(self, shard: LocalShard, records: list[VmRecord]) -> None:
        shard.set_vms(records)
        for record in records:
            if record.id in self._drained:
                shard.requests.drain(record.id, True)
                shard.jobs.set_drain(record.id, True)

    async def _drop(self, shard_id: ShardId) -> None:
        shard = self.shard_by_id.pop(shard_id, None)
        if shard is None:
            return
        shard.serving = False
        name = f"stop of {shard_id}"
        task = await spawn_logged(self._journal, name, self._stop_shard, shard)
        self._stopping.add(task)

    async def _stop_shard(self, shard: LocalShard) -> None:
        task = await curio.current_task()
        try:
            await shard.stop()
        finally:
            self._stopping.discard(task)

    async def _rebuild(self, shard: LocalShard, action: StartRebuild) -> None:
        if not await self._read_fence(shard):
            return
        handover = self._handover_by_shard.pop(shard.shard, None)
        if handover and not (action.adopted and handover.new_epoch == shard.epoch):
            handover = None
        endpoints = self._vms.endpoints_by_shard()
        self._set_vms(shard, endpoints.get(shard.shard, []))
        live = self._jobs.jobs(shard.shard)
        ended = set().union(*(job.ended_tasks for job in live))
        specs = [job.spec for job in live]
        unlisted = self._unlisted(shard.shard)
        await shard.rebuild(specs, ended, handover, unlisted)
        await self._inbox.put(RebuildFinished(shard.shard, shard.epoch))

    async def _read_fence(self, shard: LocalShard) -> bool:
        """Waits until everything that earlier owners appended was read."""
        fence = encode_body(ShardFence(shard.shard, shard.epoch))
        await self._appender.submit(fence)
        while self.shard_by_id.get(shard.shard) is shard:
            known = self._jobs.fence(shard.shard) >= shard.epoch
            if known and self._jobs.is_complete(shard.shard):
                return True
            await curio.sleep(FENCE_POLL_S)
        return False

    def _unlisted(self, shard: ShardId) -> list[VmId]:
        timing = self._settings.timing
        recent = self._clock.now() - timing.task_lease_s - timing.clock_skew_s
        removed = {
            vm: (place, at)
            for vm, (place, at) in self._gone_at_by_worker.items()
            if at > recent
        }
        self._gone_at_by_worker = removed
        return [vm for vm, (place, _) in removed.items() if place == shard]

    async def _send_handover(self, action: SendHandover) -> None:
        shard = self.shard_by_id.get(action.shard)
        if shard and shard.epoch == action.epoch:
            request_id = RequestId(uuid.uuid4().hex)
            handover = await shard.stop_for_handover(action, request_id)
            await self._peers.call(action.successor, handover, HANDOVER_LIMIT_S)
            self._journal.write(
                events.SHARD_HANDED_OVER,
                shard=action.shard,
                successor=action.successor,
            )
        await self._inbox.put(HandoverAnswered(action.shard))
