"""Operators' operations on one entry VM.

`Operations` is the daemon's implementation of `OperatorBackend`. It keeps no state of
its own: it reads this VM's copies of the streams and calls the owners of the shards.
"""

import uuid
from collections.abc import Callable

import curio

from arbutusladder.appender import Appender, AppendState
from arbutusladder.clock import Clock
from arbutusladder.configstore import Accepted, ChangeSet, ConfigState, Rejected
from arbutusladder.coordinator import Coordinator
from arbutusladder.declarations import Declarations
from arbutusladder.feeds import ConfigFeed
from arbutusladder.ids import JobId, RequestId, VmId
from arbutusladder.joboperations import (
    OWNER_CALL_TIMEOUT_S,
    CallOwner,
    JobOperations,
    refused_operation,
    unknown_operation,
)
from arbutusladder.jobstore import JobStore
from arbutusladder.logclient import encode_body
from arbutusladder.messages import (
    Acknowledgement,
    DrainVm,
)
from arbutusladder.metrics import Metrics
from arbutusladder.operatorapi import OperatorBackend
from arbutusladder.operatormessages import (
    ChangeRequest,
    Counters,
    CurrentConfig,
    DrainView,
    Explanation,
    JobOrder,
    JobView,
    MemberView,
    PartAnswer,
    PublishResult,
    PublishState,
    Readiness,
    ShardView,
)
from arbutusladder.settings import Settings
from arbutusladder.shardownerview import ShardOwnerView
from arbutusladder.states import EntryState, Reason
from arbutusladder.vmlist import VmListView, shard_of

# Longest wait for the append of a change set to stream config.
APPEND_TIMEOUT_S = 5.0
# Longest wait, after the append, until this VM has read the change set from the log.
RESULT_TIMEOUT_S = 3.0
# Seconds between checks whether that result is known.
RESULT_POLL_INTERVAL_S = 0.02


class Operations(OperatorBackend):
    """Carries out operators' operations, through the owners of the shards if needed.

    Args:
        settings: Settings of the entry VM.
        coordinator: Membership and ownership.
        view: Owners of the shards.
        config: State of stream ``config`` as read by this entry VM.
        jobs: State of stream ``jobs`` as read by this entry VM.
        vms: Current VM list.
        config_appender: Appender of stream ``config``.
        call_owner: Sends a message to a seat and returns the answer, or None if no
            answer arrives within a timeout in seconds.
        readiness: Returns whether this entry VM is ready.
        clock: Clock of this process.
        metrics: Counters and gauges of this process.
        seed: Seed of the random choice of shards.
    """

    def __init__(
        self,
        settings: Settings,
        coordinator: Coordinator,
        view: ShardOwnerView,
        config: ConfigFeed,
        jobs: JobStore,
        vms: VmListView,
        config_appender: Appender,
        call_owner: CallOwner,
        readiness: Callable[[], Readiness],
        clock: Clock,
        metrics: Metrics,
        seed: int = 0,
    ):
        self._settings = settings
        self._coordinator = coordinator
        self._view = view
        self._config = config
        self._vms = vms
        self._config_appender = config_appender
        self._call_owner = call_owner
        self._readiness = readiness
        self._clock = clock
        self._metrics = metrics
        self._job_operations = JobOperations(
            view, config, jobs, call_owner, clock, metrics, seed
        )

    # Configuration

    async def publish(self, change: ChangeRequest) -> PublishResult:
        """Appends a change set and waits until it is accepted or rejected."""
        known_result = self._config.store.find_result(change.change_id)
        if known_result:
            return _to_publish_result(known_result)
        body = encode_body(
            ChangeSet(change.base_revision, change.author, change.changes)
        )
        pending = await self._config_appender.append(
            body, change.change_id, give_up_after=APPEND_TIMEOUT_S
        )
        if pending.state is AppendState.NOT_APPENDED:
            return PublishResult(
                PublishState.LOG_UNAVAILABLE, self._config.store.revision
            )
        give_up_at = self._clock.now() + RESULT_TIMEOUT_S
        while self._clock.now() < give_up_at:
            known_result = self._config.store.find_result(change.change_id)
            if known_result:
                return _to_publish_result(known_result)
            await curio.sleep(RESULT_POLL_INTERVAL_S)
        return PublishResult(PublishState.UNKNOWN, self._config.store.revision)

    async def current_config(self) -> CurrentConfig:
        """Returns the newest configuration that this entry VM has."""
        store = self._config.store
        return CurrentConfig(
            store.revision,
            store.state.author,
            store.offset,
            to_declarations(store.state),
        )

    # Jobs

    async def submit(self, order: JobOrder) -> list[PartAnswer]:
        """Submits a job; returns one answer for each part."""
        return await self._job_operations.submit(order)

    async def job(self, job_id: JobId) -> JobView | None:
        """Returns the state of a job, or None if it certainly does not exist."""
        return await self._job_operations.job(job_id)

    async def cancel(self, job_id: JobId) -> JobView | None:
        """Cancels a job and returns its state, or None if it does not exist."""
        return await self._job_operations.cancel(job_id)

    async def explain(self, job_id: JobId) -> Explanation | None:
        """Explains the state of a job, or returns None if it does not exist."""
        return await self._job_operations.explain(job_id)

    # The cell

    async def members(self) -> list[MemberView]:
        """Returns the membership state of all seats of the region."""
        now = self._clock.now()
        membership = self._coordinator.membership
        views = []
        for seat_id in membership.region_seats:
            seat = membership.seat_by_id[seat_id]
            member = membership.member_by_seat.get(seat_id)
            view = MemberView(
                seat_id,
                seat.address,
                seat.region,
                seat.failure_domain,
                membership.is_live(seat_id, now),
                member.state if member else EntryState.STOPPED,
            )
            if member:
                view.vm = member.vm
                view.incarnation = member.incarnation
                view.config_revision = member.config_revision
                view.silent_s = round(now - member.last_heartbeat_at, 3)
            views.append(view)
        return views

    async def shards(self) -> list[ShardView]:
        """Returns the owner and the load of all shards of the region."""
        now = self._clock.now()
        owned = self._view.owned(now)
        views = []
        for shard in sorted(self._view.domain_by_shard):
            owned_shard = owned.get(shard)
            view = ShardView(
                shard,
                owned_shard.owner if owned_shard else "",
                self._coordinator.ownership.epoch(shard),
                self._coordinator.shard_state(shard),
            )
            if owned_shard:
                summary = owned_shard.summary
                view.valid = True
                view.free_slots_by_service = summary.free_slots_by_service
                view.queued_requests = summary.queued_requests
                view.free_cpu = summary.free_cpu
                view.free_memory_mb = summary.free_memory_mb
                view.free_accelerators = summary.free_accelerators
                view.queued_tasks = summary.queued_tasks
            views.append(view)
        return views

    async def counters(self) -> Counters:
        """Returns the counters and gauges of this entry VM."""
        return Counters(
            VmId(self._settings.vm),
            dict(self._metrics.count_by_name),
            dict(self._metrics.gauge_by_name),
        )

    async def drain(self, vm: VmId, draining: bool) -> DrainView | None:
        """Starts or ends a drain; returns None if the endpoint is not known."""
        record = self._vms.vm_by_id.get(vm)
        if record is None:
            return None
        shard = shard_of(record, self._settings.shards.per_domain)
        owner = self._view.owner(shard, self._clock.now())
        if owner is None:
            raise refused_operation(Reason.SHARD_UNOWNED)
        message = DrainVm(RequestId(uuid.uuid4().hex), vm, draining)
        answer = await self._call_owner(owner, message, OWNER_CALL_TIMEOUT_S)
        if not isinstance(answer, Acknowledgement):
            raise unknown_operation(Reason.OWNER_SILENT)
        if not answer.accepted:
            raise refused_operation(Reason.NOT_OWNER)
        return DrainView(vm, draining, shard)

    async def readiness(self) -> Readiness:
        """Returns whether the load balancer may send requests to this entry VM."""
        return self._readiness()


def to_declarations(state: ConfigState) -> Declarations:
    """Returns the declarations of a configuration revision."""
    return Declarations(
        workloads=list(state.workload_by_name.values()),
        teams=list(state.team_by_name.values()),
        presets=list(state.preset_by_name.values()),
        active_preset=state.active_preset,
    )


def _to_publish_result(result: Accepted | Rejected) -> PublishResult:
    match result:
        case Accepted(revision, author):
            return PublishResult(PublishState.ACCEPTED, revision, author)
        case Rejected(reason, problems, revision, winner):
            invalid = reason is Reason.INVALID_DECLARATION
            return PublishResult(
                PublishState.REFUSED,
                revision,
                winner,
                list(problems) if invalid else [],
            )
