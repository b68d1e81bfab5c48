"""Task that runs membership, promises and shard ownership of an entry VM.

Other tasks send inputs through its queue, so that it alone changes this state. It
carries out the actions of the ownership state machine: it sends heartbeats and
appends claims itself, and starts and stops shards through the host.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import curio

from arbutusladder import events
from arbutusladder.appender import Appender, AppendState
from arbutusladder.backgroundtasks import spawn_logged
from arbutusladder.clock import Clock, PauseDetector
from arbutusladder.errors import ProtocolError
from arbutusladder.ids import Revision, SeatId, ShardId, VmId
from arbutusladder.journal import Journal
from arbutusladder.logclient import decode_body, encode_body
from arbutusladder.membership import Membership
from arbutusladder.messages import (
    ClaimRecord,
    Handover,
    Heartbeat,
    HeartbeatAck,
    ShardFence,
    ShardSummary,
)
from arbutusladder.metrics import Metrics
from arbutusladder.ownership import (
    Action,
    AppendClaim,
    BecomeOwner,
    Ownership,
    OwnershipTiming,
    RelinquishShard,
    RequestPromises,
    SendHandover,
    StartRebuild,
)
from arbutusladder.peers import PeerTransport, ReceivedMessage
from arbutusladder.promises import Holder, PromiseTable
from arbutusladder.settings import Settings
from arbutusladder.shardownerview import ShardOwnerView
from arbutusladder.states import EntryState, ShardState
from arbutusladder.tailer import TailBatch

# Seconds between ticks; a late tick shows that the process was paused.
TICK_INTERVAL_S = 0.1
CLAIM_APPEND_TIMEOUT_S = 2.0


@dataclass
class Tick:
    """Periodic input that advances timeouts and detects pauses of the process."""


@dataclass
class ClaimBatch:
    """A batch of records read from stream ``ownership``."""

    batch: TailBatch


@dataclass
class LogState:
    """Availability of the log service."""

    available: bool


@dataclass
class RebuildFinished:
    """The host finished the rebuild of a shard."""

    shard: ShardId
    epoch: int


@dataclass
class ClaimNotConfirmed:
    """The append of a claim was not confirmed in time."""

    shard: ShardId


@dataclass
class HandoverAnswered:
    """The successor answered a handover, or the handover timed out."""

    shard: ShardId


@dataclass
class HandoverReceived:
    """A `Handover` from the owner of a shard; ``accepted`` is set to the answer."""

    handover: Handover
    accepted: curio.Result


@dataclass
class SetActive:
    """Sets whether this entry VM may claim shards."""

    active: bool


@dataclass
class StartDrain:
    """Requests the handover of all shards."""


@dataclass
class ReleaseShards:
    """Requests that all shards are relinquished; ``done`` is set afterwards."""

    done: curio.Event


class Host(Protocol):
    """Interface of the component that runs the shards of this entry VM."""

    async def start_rebuild(self, action: StartRebuild) -> None:
        """Starts to rebuild a shard; reports the end with `RebuildFinished`."""

    async def become_owner(self, action: BecomeOwner) -> None:
        """Starts to act as the owner of a shard."""

    async def send_handover(self, action: SendHandover) -> None:
        """Sends a shard's state to its successor; reports `HandoverAnswered`."""

    async def relinquish(self, action: RelinquishShard) -> None:
        """Stops acting on a shard."""

    def summaries(self) -> list[ShardSummary]:
        """Returns the summaries of the shards that this entry VM acts on."""


class Coordinator:
    """Runs membership, promises and shard ownership of one entry VM.

    Args:
        settings: Settings of the entry VM.
        incarnation: Start time of the process in microseconds.
        domain_by_shard: Failure domain of every shard of the region.
        peers: Transport to the other entry VMs.
        claims: Appender of stream ``ownership``.
        view: Owners of the shards; this task is its only writer.
        clock: Clock of this process.
        metrics: Counters.
        journal: Event log.
    """

    def __init__(
        self,
        settings: Settings,
        incarnation: int,
        domain_by_shard: dict[ShardId, str],
        peers: PeerTransport,
        claims: Appender,
        view: ShardOwnerView,
        clock: Clock,
        metrics: Metrics,
        journal: Journal,
    ):
        timing = settings.timing
        now = clock.now()
        self.incarnation = incarnation
        self.inbox: curio.Queue = curio.Queue()
        self.state = EntryState.STARTING
        self.paused_at: float | None = None
        self.host: Host | None = None
        self.revision: Callable[[], Revision] = lambda: Revision(0)
        self._settings = settings
        self._peers = peers
        self._claim_appender = claims
        self.view = view
        self._clock = clock
        self._metrics = metrics
        self._journal = journal
        self._own_holder = Holder(SeatId(settings.seat), incarnation)
        self.membership = Membership(
            settings.seats,
            settings.region,
            self._own_holder.seat,
            timing.promise_duration_s,
        )
        self._promises = PromiseTable(now, timing.promise_duration_s)
        self.ownership = Ownership(
            self._own_holder,
            domain_by_shard,
            self.membership,
            self._promises,
            OwnershipTiming(timing.promise_duration_s, timing.claim_stagger_s),
            now,
        )
        self._pause_detector = PauseDetector(
            TICK_INTERVAL_S, timing.pause_threshold_s, now
        )
        self._sequence = 0
        self._next_heartbeat_at = now
        self._live_seats: set[SeatId] = set()

    async def run(self) -> None:
        """Handles inputs and sends heartbeats until cancelled."""
        ticker = await curio.spawn(self._send_ticks)
        try:
            await self._handle_inputs()
        finally:
            await ticker.cancel()

    async def _send_ticks(self) -> None:
        while True:
            await self.inbox.put(Tick())
            await curio.sleep(TICK_INTERVAL_S)

    async def _handle_inputs(self) -> None:
        while True:
            input_message = await self.inbox.get()
            await self._handle_input(input_message, self._clock.now())
            now = self._clock.now()
            # Heartbeats and acknowledgements already advance all shards; a region of
            # 9 entry VMs receives 32 of them a second.
            if not isinstance(input_message, ReceivedMessage):
                await self._carry_out(self.ownership.tick(now))
            if now >= self._next_heartbeat_at:
                await self._send_heartbeat(now)

    def is_pause_unconfirmed(self, now: float) -> bool:
        """Returns whether the configuration is unconfirmed since a pause.

        The result includes a pause that no tick has detected yet, because a
        request that waited in a connection during the pause may be handled
        before the next tick.
        """
        return self.paused_at is not None or self._pause_detector.is_late(now)

    def shard_state(self, shard: ShardId) -> ShardState:
        """Returns the state of a shard at this entry VM."""
        return self.ownership.state(shard)

    async def _check_pause(self, now: float) -> None:
        pause = self._pause_detector.tick(now)
        if not pause:
            return
        self._metrics.count("process.paused")
        self._journal.write(events.PROCESS_PAUSED, seconds=pause)
        self.paused_at = now
        await self._carry_out(self.ownership.paused(now))

    async def _handle_input(self, input_message: object, now: float) -> None:
        match input_message:
            case Tick():
                await self._check_pause(now)
            case ReceivedMessage(message=Heartbeat()):
                await self._handle_heartbeat(input_message.message, now)
            case ReceivedMessage(message=HeartbeatAck()):
                await self._carry_out(
                    self.ownership.handle_heartbeat_ack(input_message.message, now)
                )
            case ClaimBatch(batch):
                await self._handle_claim_batch(batch, now)
            case LogState(available):
                await self._carry_out(self.ownership.set_log_available(available, now))
            case ShardFence(shard, epoch):
                self.ownership.observe_fenced_epoch(shard, epoch)
            case RebuildFinished(shard, epoch):
                await self._carry_out(self.ownership.finish_rebuild(shard, epoch, now))
            case ClaimNotConfirmed(shard):
                await self._carry_out(self.ownership.handle_claim_failure(shard, now))
            case HandoverAnswered(shard):
                await self._carry_out(self.ownership.complete_handover(shard, now))
            case HandoverReceived(handover, accepted):
                await accepted.set_value(
                    self.ownership.accept_handover(handover.shard, handover.new_epoch)
                )
            case SetActive(active):
                await self._carry_out(self.ownership.set_active(active, now))
            case StartDrain():
                await self._carry_out(self.ownership.start_drain(now))
            case ReleaseShards(done):
                await self._carry_out(self.ownership.release_all(now))
                await self._send_heartbeat(now)
                await done.set()

    async def _handle_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        if not self.membership.record_heartbeat(heartbeat, now):
            return
        self._log_joined_member(heartbeat)
        self.view.record_heartbeat(heartbeat, now)
        await self._carry_out(self.ownership.handle_heartbeat(heartbeat, now))
        promised = self._promises.answer_heartbeat(heartbeat, now)
        ack = HeartbeatAck(
            self._own_holder.seat,
            heartbeat.incarnation,
            heartbeat.sequence,
            self.revision(),
            promised,
        )
        if heartbeat.seat == self._own_holder.seat:
            await self._carry_out(self.ownership.handle_heartbeat_ack(ack, now))
        else:
            await self._peers.send(heartbeat.seat, ack)

    def _log_joined_member(self, heartbeat: Heartbeat) -> None:
        if heartbeat.seat not in self._live_seats:
            self._live_seats.add(heartbeat.seat)
            self._journal.write(
                events.MEMBER_JOINED,
                seat=heartbeat.seat,
                incarnation=heartbeat.incarnation,
            )

    def _log_lost_members(self, now: float) -> None:
        lost = [s for s in self._live_seats if not self.membership.is_live(s, now)]
        for seat in lost:
            self._live_seats.discard(seat)
            last_heartbeat_at = self.membership.member_by_seat[seat].last_heartbeat_at
            self._journal.write(
                events.MEMBER_LOST, seat=seat, seconds=now - last_heartbeat_at
            )

    async def _handle_claim_batch(self, batch: TailBatch, now: float) -> None:
        if batch.lost:
            await self._carry_out(self.ownership.handle_claim_gap(now))
        for record in batch.records:
            try:
                claim = decode_body(record.body)
            except ProtocolError:
                self._metrics.count("log.malformed_record")
                continue
            if isinstance(claim, ClaimRecord):
                await self._carry_out(self.ownership.handle_claim(claim, now))
        if batch.caught_up:
            await self._carry_out(self.ownership.mark_caught_up(now))

    async def _send_heartbeat(self, now: float) -> None:
        self._next_heartbeat_at = now + self._settings.timing.heartbeat_interval_s
        self._log_lost_members(now)
        self._sequence += 1
        claims = self.ownership.prepare_heartbeat(self._sequence, now)
        heartbeat = Heartbeat(
            seat=self._own_holder.seat,
            vm=VmId(self._settings.vm),
            incarnation=self._own_holder.incarnation,
            sequence=self._sequence,
            state=self.state,
            config_revision=self.revision(),
            claims=claims.claims,
            probes=claims.probes,
            released=claims.released,
            summaries=self.host.summaries(),
        )
        for seat in self.membership.region_seats:
            if seat != self._own_holder.seat:
                await self._peers.send(seat, heartbeat)
        await self._handle_heartbeat(heartbeat, now)

    async def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case AppendClaim(claim):
                    name = f"claim of {claim.shard}"
                    await spawn_logged(self._journal, name, self._append_claim, claim)
                case RequestPromises():
                    self._next_heartbeat_at = self._clock.now()
                case StartRebuild():
                    self._log_shard_event(events.SHARD_CLAIMED, action)
                    await self.host.start_rebuild(action)
                case BecomeOwner():
                    self._log_shard_event(events.SHARD_OWNED, action)
                    await self.host.become_owner(action)
                case SendHandover():
                    await self.host.send_handover(action)
                case RelinquishShard():
                    self._journal.write(
                        events.SHARD_LOST,
                        shard=action.shard,
                        epoch=action.epoch,
                        reason=action.reason.value,
                    )
                    await self.host.relinquish(action)

    def _log_shard_event(
        self, event: events.Event, action: StartRebuild | BecomeOwner
    ) -> None:
        self._journal.write(event, shard=action.shard, epoch=action.epoch)

    async def _append_claim(self, claim: ClaimRecord) -> None:
        append = await self._claim_appender.append(
            encode_body(claim), give_up_after=CLAIM_APPEND_TIMEOUT_S
        )
        if append.state is not AppendState.CONFIRMED:
            await self.inbox.put(ClaimNotConfirmed(claim.shard))
