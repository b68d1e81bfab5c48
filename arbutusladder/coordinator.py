"""The curio task that owns membership, promises and ownership.

Other tasks send it inputs through its queue. It carries out the actions of the
ownership state machine: heartbeats and claims itself, shards through the host.
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

TICK_S = 0.1
CLAIM_GIVE_UP_S = 2.0


@dataclass
class Tick:
    """Time passed."""


@dataclass
class ClaimBatch:
    """A batch of stream ``ownership`` was read."""

    batch: TailBatch


@dataclass
class LogState:
    """Whether the log service answers."""

    available: bool


@dataclass
class RebuildFinished:
    """The host has rebuilt a shard."""

    shard: ShardId
    epoch: int


@dataclass
class ClaimNotConfirmed:
    """A claim was not confirmed in time."""

    shard: ShardId


@dataclass
class HandoverAnswered:
    """The successor has answered a handover, or the time for it is over."""

    shard: ShardId


@dataclass
class HandoverReceived:
    """The owner of a shard hands it over; the answer goes into ``accepted``."""

    handover: Handover
    accepted: curio.Result


@dataclass
class SetActive:
    """Whether this entry VM may claim shards."""

    active: bool


@dataclass
class StartDrain:
    """Hand over all shards."""


@dataclass
class ReleaseShards:
    """Give up all shards; ``done`` is set afterwards."""

    done: curio.Event


class Host(Protocol):
    """Runs the shards that this entry VM owns."""

    async def start_rebuild(self, action: StartRebuild) -> None:
        """Starts to rebuild a shard; answers with `RebuildFinished`."""

    async def become_owner(self, action: BecomeOwner) -> None:
        """Starts to act on a shard."""

    async def send_handover(self, action: SendHandover) -> None:
        """Sends a shard's state away; answers with `HandoverAnswered`."""

    async def give_up(self, action: RelinquishShard) -> None:
        """Stops acting on a shard."""

    def summaries(self) -> list[ShardSummary]:
        """Returns the summaries of the shards that it acts on."""


class Coordinator:
    """Membership, promises and ownership of one entry VM.

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
        self._claims = claims
        self.view = view
        self._clock = clock
        self._metrics = metrics
        self._journal = journal
        self._own = Holder(SeatId(settings.seat), incarnation)
        self.membership = Membership(
            settings.seats, settings.region, self._own.seat, timing.promise_duration_s
        )
        self._book = PromiseTable(now, timing.promise_duration_s)
        self.ownership = Ownership(
            self._own,
            domain_by_shard,
            self.membership,
            self._book,
            OwnershipTiming(timing.promise_duration_s, timing.claim_stagger_s),
            now,
        )
        self._pauses = PauseDetector(TICK_S, timing.pause_threshold_s, now)
        self._sequence = 0
        self._heartbeat_due = now
        self._live_seats: set[SeatId] = set()

    async def run(self) -> None:
        """Handles inputs and time until cancelled."""
        ticker = await curio.spawn(self._send_ticks)
        try:
            await self._handle_inputs()
        finally:
            await ticker.cancel()

    async def _send_ticks(self) -> None:
        while True:
            await self.inbox.put(Tick())
            await curio.sleep(TICK_S)

    async def _handle_inputs(self) -> None:
        while True:
            item = await self.inbox.get()
            await self._handle(item, self._clock.now())
            now = self._clock.now()
            # Heartbeats and acknowledgements advance all shards themselves; in a
            # region of 9 entry VMs there are 32 of them a second.
            if not isinstance(item, ReceivedMessage):
                await self._carry_out(self.ownership.tick(now))
            if now >= self._heartbeat_due:
                await self._send_heartbeat(now)

    def is_pause_unconfirmed(self, now: float) -> bool:
        """Returns whether a pause is not yet followed by a confirmation.

        It is exact at any time, because a request that waited in a connection
        during the pause may be handled before the next tick.
        """
        return self.paused_at is not None or self._pauses.is_late(now)

    def shard_state(self, shard: ShardId) -> ShardState:
        """Returns the state of a shard as this entry VM sees it."""
        return self.ownership.state(shard)

    async def _check_pause(self, now: float) -> None:
        pause = self._pauses.tick(now)
        if not pause:
            return
        self._metrics.count("process.paused")
        self._journal.write(events.PROCESS_PAUSED, seconds=pause)
        self.paused_at = now
        await self._carry_out(self.ownership.paused(now))

    async def _handle(self, item: object, now: float) -> None:
        match item:
            case Tick():
                await self._check_pause(now)
            case ReceivedMessage(message=Heartbeat()):
                await self._hear(item.message, now)
            case ReceivedMessage(message=HeartbeatAck()):
                await self._carry_out(
                    self.ownership.handle_heartbeat_ack(item.message, now)
                )
            case ClaimBatch(batch):
                await self._read_claims(batch, now)
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

    async def _hear(self, heartbeat: Heartbeat, now: float) -> None:
        if not self.membership.record_heartbeat(heartbeat, now):
            return
        self._note_member(heartbeat)
        self.view.heard(heartbeat, now)
        await self._carry_out(self.ownership.handle_heartbeat(heartbeat, now))
        promised = self._book.answer_heartbeat(heartbeat, now)
        ack = HeartbeatAck(
            self._own.seat,
            heartbeat.incarnation,
            heartbeat.sequence,
            self.revision(),
            promised,
        )
        if heartbeat.seat == self._own.seat:
            await self._carry_out(self.ownership.handle_heartbeat_ack(ack, now))
        else:
            await self._peers.send(heartbeat.seat, ack)

    def _note_member(self, heartbeat: Heartbeat) -> None:
        if heartbeat.seat not in self._live_seats:
            self._live_seats.add(heartbeat.seat)
            self._journal.write(
                events.MEMBER_JOINED,
                seat=heartbeat.seat,
                incarnation=heartbeat.incarnation,
            )

    def _note_lost_members(self, now: float) -> None:
        lost = [s for s in self._live_seats if not self.membership.is_live(s, now)]
        for seat in lost:
            self._live_seats.discard(seat)
            last_heartbeat_at = self.membership.member_by_seat[seat].last_heartbeat_at
            self._journal.write(
                events.MEMBER_LOST, seat=seat, seconds=now - last_heartbeat_at
            )

    async def _read_claims(self, batch: TailBatch, now: float) -> None:
        if batch.lost:
            await self._carry_out(self.ownership.handle_position_lost(now))
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
        self._heartbeat_due = now + self._settings.timing.heartbeat_interval_s
        self._note_lost_members(now)
        self._sequence += 1
        claims = self.ownership.prepare_heartbeat(self._sequence, now)
        heartbeat = Heartbeat(
            seat=self._own.seat,
            vm=VmId(self._settings.vm),
            incarnation=self._own.incarnation,
            sequence=self._sequence,
            state=self.state,
            config_revision=self.revision(),
            claims=claims.claims,
            probes=claims.probes,
            released=claims.released,
            summaries=self.host.summaries(),
        )
        for seat in self.membership.region_seats:
            if seat != self._own.seat:
                await self._peers.send(seat, heartbeat)
        await self._hear(heartbeat, now)

    async def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case AppendClaim(claim):
                    name = f"claim of {claim.shard}"
                    await spawn_logged(self._journal, name, self._append_claim, claim)
                case RequestPromises():
                    self._heartbeat_due = self._clock.now()
                case StartRebuild():
                    self._log_shard(events.SHARD_CLAIMED, action)
                    await self.host.start_rebuild(action)
                case BecomeOwner():
                    self._log_shard(events.SHARD_OWNED, action)
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
                    await self.host.give_up(action)

    def _log_shard(
        self, event: events.Event, action: StartRebuild | BecomeOwner
    ) -> None:
        self._journal.write(event, shard=action.shard, epoch=action.epoch)

    async def _append_claim(self, claim: ClaimRecord) -> None:
        pending = await self._claims.append(
            encode_body(claim), give_up_after=CLAIM_GIVE_UP_S
        )
        if pending.state is not AppendState.CONFIRMED:
            await self.inbox.put(ClaimNotConfirmed(claim.shard))
