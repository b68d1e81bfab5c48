"""Fold of claims, and the state machine that decides who owns a shard.

Sequence of a takeover: follow the owner; when it is silent, probe whether a
majority of the seats is free of promises; append a claim; read it back;
collect promises under the new epoch; rebuild; own. The probe asks under the
known epoch. It keeps a seat that merely cannot hear a working owner from
claiming the shard, which would end the owner's renewals.
"""

from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum

import xxhash

from arbutusladder.ids import Epoch, SeatId, ShardId
from arbutusladder.membership import Membership
from arbutusladder.messages import ClaimRecord, ClaimRef, Heartbeat, HeartbeatAck
from arbutusladder.promises import ClaimTable, Holder, PromiseTable, Validity
from arbutusladder.states import Reason, ShardState

MAX_SENT_HEARTBEATS = 128
PROBE_LIMIT_S = 1.0
CLAIM_LIMIT_S = 5.0
# Waiting for the next heartbeat (500 ms) made takeovers last up to 4.9 s.
ASK_INTERVAL_S = 0.1
MIN_SUCCESSOR_READY_S = 30.0
HANDOVER_RETRY_S = 30.0


@dataclass(frozen=True)
class AppendClaim:
    """Append a claim to stream ``ownership``; do not repeat it after a refusal."""

    claim: ClaimRecord


@dataclass(frozen=True)
class HeartbeatClaims:
    """Values for the fields of a `Heartbeat` with the same names."""

    claims: list[ClaimRef] = field(default_factory=list)
    probes: list[ClaimRef] = field(default_factory=list)
    released: list[ClaimRef] = field(default_factory=list)


@dataclass(frozen=True)
class RequestPromises:
    """Send a heartbeat now, because promises are needed or given back."""

    claims: HeartbeatClaims


@dataclass(frozen=True)
class StartRebuild:
    """Rebuild a shard, then call `Ownership.finish_rebuild`.

    Append a `ShardFence` to stream ``jobs``, fold the stream up to the fence,
    wait until `JobStore.is_complete`, and read the task list of every worker.

    Attributes:
        shard: The shard.
        epoch: Epoch of this owner.
        previous_owner_ended_by: Monotonic time in seconds at which the earlier
            owner's validity had ended.
        adopted: The earlier owner's `Handover` was received.
        validity: Check it immediately before each send.
    """

    shard: ShardId
    epoch: Epoch
    previous_owner_ended_by: float
    adopted: bool
    validity: Validity


@dataclass(frozen=True)
class BecomeOwner:
    """Act as the owner of a shard while the validity holds."""

    shard: ShardId
    epoch: Epoch
    validity: Validity


@dataclass(frozen=True)
class SendHandover:
    """Stop acting on a shard and send its state to the successor.

    Call `Ownership.complete_handover` when the successor has answered and
    every exchange with an endpoint of the shard has ended.
    """

    shard: ShardId
    epoch: Epoch
    new_epoch: Epoch
    successor: SeatId


@dataclass(frozen=True)
class RelinquishShard:
    """Stop acting on a shard and drop its state."""

    shard: ShardId
    epoch: Epoch
    reason: Reason


Action = (
    AppendClaim
    | RequestPromises
    | StartRebuild
    | BecomeOwner
    | SendHandover
    | RelinquishShard
)


class Phase(Enum):
    """Step of one shard at this entry VM."""

    FOLLOW = "follow"
    PROBE = "probe"
    CLAIM = "claim"
    COLLECT = "collect"
    REBUILD = "rebuild"
    OWN = "own"
    OFFER = "offer"
    TRANSFER = "transfer"


PROBING = frozenset({Phase.PROBE, Phase.CLAIM})
WAITING = frozenset({Phase.PROBE, Phase.COLLECT})
ASKING = frozenset({Phase.COLLECT, Phase.REBUILD, Phase.OWN, Phase.OFFER})
HOLDING = frozenset({Phase.REBUILD, Phase.OWN, Phase.OFFER})
ACTING = frozenset({Phase.OWN, Phase.OFFER})
STATE_BY_PHASE = {
    Phase.PROBE: ShardState.CLAIMING,
    Phase.CLAIM: ShardState.CLAIMING,
    Phase.COLLECT: ShardState.CLAIMING,
    Phase.REBUILD: ShardState.REBUILDING,
    Phase.OWN: ShardState.OWNED,
    Phase.OFFER: ShardState.HANDING_OVER,
    Phase.TRANSFER: ShardState.HANDING_OVER,
}


@dataclass
class _Shard:
    """One shard as this entry VM sees it.

    Attributes:
        seen_at: Time of the newest sign of an owner, in seconds.
        epoch: Epoch under which this entry VM asks or holds.
        since: Time at which the phase began.
        next_try: Earliest time of the next probe or handover.
        dead_epoch: Highest epoch that this entry VM must not take up.
        adopted_epoch: Epoch for which a handover was received.
        unsettled_until: Time until which messages sent under an epoch that was
            given up early may take effect.
    """

    id: ShardId
    domain: str
    seen_at: float
    phase: Phase = Phase.FOLLOW
    epoch: Epoch = Epoch(0)
    validity: Validity | None = None
    since: float = 0.0
    next_try: float = float("-inf")
    attempts: int = 0
    dead_epoch: Epoch = Epoch(0)
    adopted_epoch: Epoch = Epoch(0)
    unsettled_until: float = float("-inf")


@dataclass(frozen=True)
class OwnershipTiming:
    """Durations in seconds, from the settings."""

    promise_duration: float = 3.0
    claim_stagger: float = 0.3
    min_successor_ready: float = MIN_SUCCESSOR_READY_S


@dataclass
class _Context:
    """What all shards share."""

    active: bool = False
    draining: bool = False
    log_available: bool = False
    caught_up: bool = False
    actions: list[Action] = field(default_factory=list)


class Ownership:
    """Ownership of one region's shards, as one entry VM sees it.

    Every input returns the actions to carry out, in order. Call `tick` at
    least every 100 ms, and `prepare_heartbeat` before a heartbeat is sent.

    Args:
        own: This process.
        domain_by_shard: Failure domain of each shard of the region.
        membership: Members; feed it each heartbeat before this object.
        book: Promises of this seat; learns epochs from here.
        timing: Durations.
        now: Monotonic time in seconds.
    """

    def __init__(
        self,
        own: Holder,
        domain_by_shard: Mapping[ShardId, str],
        membership: Membership,
        book: PromiseTable,
        timing: OwnershipTiming,
        now: float,
    ):
        self.own = own
        self.claims = ClaimTable()
        self._membership = membership
        self._book = book
        self._timing = timing
        self._shard_by_id = {
            shard: _Shard(shard, domain, seen_at=now)
            for shard, domain in sorted(domain_by_shard.items())
        }
        self._context = _Context()
        self._sent_at_by_sequence: OrderedDict[int, float] = OrderedDict()
        self._asked = HeartbeatClaims()
        self._asked_at = now
        self._released_by_shard: dict[ShardId, tuple[Epoch, float]] = {}
        self._step_by_phase: dict[Phase, Callable[[_Shard, float], None]] = {
            Phase.FOLLOW: self._follow,
            Phase.PROBE: self._probe,
            Phase.CLAIM: self._claim,
            Phase.COLLECT: self._collect,
            Phase.REBUILD: self._hold,
            Phase.OWN: self._own,
            Phase.OFFER: self._offer,
            Phase.TRANSFER: self._transfer,
        }

    # Queries

    def state(self, shard: ShardId) -> ShardState:
        """Returns the state of a shard as this entry VM sees it."""
        one = self._shard_by_id[shard]
        if one.phase is Phase.FOLLOW:
            holder = self.claims.newest(shard).holder
            return ShardState.FOLLOWING if holder else ShardState.UNOWNED
        return STATE_BY_PHASE[one.phase]

    def owner(self, shard: ShardId) -> Holder | None:
        """Returns the winner of the newest epoch known, alive or not."""
        return self.claims.newest(shard).holder

    def epoch(self, shard: ShardId) -> Epoch:
        """Returns the highest epoch known for a shard."""
        return self.claims.newest(shard).epoch

    def is_valid(self, shard: ShardId, now: float) -> bool:
        """Returns whether this entry VM may act on a shard now."""
        one = self._shard_by_id.get(shard)
        return one is not None and one.phase in ACTING and one.validity.is_valid(now)

    def held(self) -> dict[ShardId, Epoch]:
        """Returns the shards that this entry VM acts on, with their epochs."""
        shards = self._shard_by_id.values()
        return {one.id: one.epoch for one in shards if one.phase in ACTING}

    # Inputs

    def prepare_heartbeat(self, sequence: int, now: float) -> HeartbeatClaims:
        """Returns the claims of the next heartbeat.

        Args:
            sequence: Sequence number of the heartbeat; each is used once.
            now: Monotonic time in seconds before the first send.
        """
        self._sent_at_by_sequence[sequence] = now
        if len(self._sent_at_by_sequence) > MAX_SENT_HEARTBEATS:
            self._sent_at_by_sequence.popitem(last=False)
        self._asked = self._wanted(now)
        self._asked_at = now
        return self._asked

    def handle_heartbeat(self, heartbeat: Heartbeat, now: float) -> list[Action]:
        """Takes in a heartbeat that `Membership.record_heartbeat` found new."""
        sender = Holder(heartbeat.seat, heartbeat.incarnation)
        epoch_by_shard = {claim.shard: claim.epoch for claim in heartbeat.claims}
        for shard, epoch in epoch_by_shard.items():
            self._observe(shard, epoch, None)
        for summary in heartbeat.summaries:
            self._observe(summary.shard, summary.epoch, sender)
        for one in self._shard_by_id.values():
            self._note_sign(one, sender, epoch_by_shard.get(one.id), now)
        return self.tick(now)

    def handle_heartbeat_ack(self, ack: HeartbeatAck, now: float) -> list[Action]:
        """Takes in a seat's answer to a heartbeat of this entry VM."""
        sent_at = self._sent_at_by_sequence.get(ack.sequence)
        if ack.incarnation != self.own.incarnation or sent_at is None:
            return []
        for claim in ack.promised:
            one = self._shard_by_id.get(claim.shard)
            asking = one and one.phase in ASKING | PROBING
            if asking and one.epoch == claim.epoch:
                one.validity.record_promise(ack.seat, sent_at)
        return self.tick(now)

    def handle_claim(self, record: ClaimRecord, now: float) -> list[Action]:
        """Takes in the next record of stream ``ownership``."""
        won = self.claims.apply(record)
        self._book.observe_epoch(record.shard, record.epoch)
        one = self._shard_by_id.get(record.shard)
        if won and one:
            one.seen_at = now
            if not self._context.caught_up:
                # An earlier claim of this epoch may be in the missed range.
                one.dead_epoch = max(one.dead_epoch, record.epoch)
        return self.tick(now)

    def observe_fenced_epoch(self, shard: ShardId, epoch: Epoch) -> None:
        """Takes in an epoch from a fence of stream ``jobs``.

        A new claim must be later, or the moves of its holder would be void.
        """
        self._observe(shard, epoch, None)

    def mark_caught_up(self, now: float) -> list[Action]:
        """Notes that all claims up to the end of the stream were read."""
        self._context.caught_up = True
        return self.tick(now)

    def handle_position_lost(self, now: float) -> list[Action]:
        """Notes that claims were missed; call it before the next record."""
        self._context.caught_up = False
        for one in self._shard_by_id.values():
            if one.phase in PROBING:
                one.dead_epoch = Epoch(self.epoch(one.id) + 1)
                self._back_to_follow(one, now)
        return self.tick(now)

    def set_log_available(self, available: bool, now: float) -> list[Action]:
        """Notes whether the log service answers."""
        self._context.log_available = available
        return self.tick(now)

    def set_active(self, active: bool, now: float) -> list[Action]:
        """Sets whether this entry VM may claim shards."""
        self._context.active = active
        return self.tick(now)

    def handle_claim_failure(self, shard: ShardId, now: float) -> list[Action]:
        """Notes that an `AppendClaim` was given up, with or without effect."""
        one = self._shard_by_id[shard]
        if one.phase is Phase.CLAIM:
            self._back_to_follow(one, now)
        elif one.phase is Phase.OFFER:
            self._cancel_offer(one, now)
        return self.tick(now)

    def finish_rebuild(self, shard: ShardId, epoch: Epoch, now: float) -> list[Action]:
        """Notes that `StartRebuild` is done."""
        one = self._shard_by_id[shard]
        if one.phase is Phase.REBUILD and one.epoch == epoch:
            self._hold(one, now)
        if one.phase is Phase.REBUILD and one.epoch == epoch:
            self._enter(one, Phase.OWN, now)
            self._do(BecomeOwner(shard, epoch, one.validity))
        return self.tick(now)

    def accept_handover(self, shard: ShardId, new_epoch: Epoch) -> bool:
        """Takes in a `Handover` and returns whether it is accepted.

        It is, unless this entry VM already rebuilds under that epoch or
        knows a later one.
        """
        one = self._shard_by_id.get(shard)
        if one is None or new_epoch < self.epoch(shard) or new_epoch <= one.dead_epoch:
            return False
        if one.phase in HOLDING and one.epoch >= new_epoch:
            return False
        one.adopted_epoch = new_epoch
        return True

    def complete_handover(self, shard: ShardId, now: float) -> list[Action]:
        """Notes that the successor has answered a `SendHandover`."""
        one = self._shard_by_id[shard]
        if one.phase is Phase.TRANSFER:
            self._give_up(one, Reason.NOT_OWNER, now, settled=True)
        return self.tick(now)

    def start_drain(self, now: float) -> list[Action]:
        """Hands over all shards and claims none from now on."""
        self._context.draining = True
        for one in self._shard_by_id.values():
            one.next_try = now
        return self.tick(now)

    def release_all(self, now: float) -> list[Action]:
        """Gives up all shards at once, such as before an exit.

        Call it only when every exchange with an endpoint has ended.
        """
        for one in self._shard_by_id.values():
            if one.phase in HOLDING or one.phase is Phase.TRANSFER:
                self._give_up(one, Reason.DRAINING, now, settled=True)
        return self.tick(now)

    def paused(self, now: float) -> list[Action]:
        """Gives up all shards after a detected pause."""
        for one in self._shard_by_id.values():
            if one.phase in HOLDING or one.phase is Phase.TRANSFER:
                self._give_up(one, Reason.PAUSED, now)
        return self.tick(now)

    def tick(self, now: float) -> list[Action]:
        """Advances all shards and returns the actions to carry out."""
        for one in self._shard_by_id.values():
            self._step_by_phase[one.phase](one, now)
        wanted = self._wanted(now)
        waiting = any(one.phase in WAITING for one in self._shard_by_id.values())
        overdue = waiting and now - self._asked_at >= ASK_INTERVAL_S
        if wanted != self._asked or overdue:
            self._asked = wanted
            self._asked_at = now
            self._do(RequestPromises(wanted))
        actions, self._context.actions = self._context.actions, []
        return actions

    # Steps, one for each phase

    def _follow(self, one: _Shard, now: float) -> None:
        known = self.claims.newest(one.id)
        if known.holder == self.own and known.epoch > one.dead_epoch:
            self._take_up(one, known.epoch, now)
        elif self._may_claim() and now >= self._probe_from(one, now):
            one.epoch = known.epoch
            one.validity = self._new_validity(now)
            self._enter(one, Phase.PROBE, now)

    def _probe(self, one: _Shard, now: float) -> None:
        known = self.claims.newest(one.id)
        if known.epoch != one.epoch or not self._may_claim():
            self._back_to_follow(one, now)
        elif one.validity.is_valid(now):
            epoch = Epoch(max(known.epoch, one.dead_epoch) + 1)
            own = self.own
            self._enter(one, Phase.CLAIM, now)
            self._do(AppendClaim(ClaimRecord(one.id, epoch, own.seat, own.incarnation)))
        elif now - one.since >= PROBE_LIMIT_S:
            self._back_to_follow(one, now)

    def _claim(self, one: _Shard, now: float) -> None:
        known = self.claims.newest(one.id)
        if known.epoch > one.epoch and known.holder is not None:
            self._back_to_follow(one, now)
            self._follow(one, now)
        elif now - one.since >= CLAIM_LIMIT_S:
            self._back_to_follow(one, now)

    def _collect(self, one: _Shard, now: float) -> None:
        limit = 2 * self._timing.promise_duration + PROBE_LIMIT_S
        if self.epoch(one.id) > one.epoch or now - one.since >= limit:
            one.dead_epoch = one.epoch
            self._back_to_follow(one, now)
        elif one.validity.is_valid(now) and now >= one.unsettled_until:
            self._enter(one, Phase.REBUILD, now)
            adopted = one.adopted_epoch == one.epoch
            self._do(StartRebuild(one.id, one.epoch, now, adopted, one.validity))

    def _hold(self, one: _Shard, now: float) -> bool:
        """Returns whether this entry VM still holds the shard."""
        if not one.validity.is_valid(now):
            self._give_up(one, Reason.OWNERSHIP_EXPIRED, now)
        elif self.epoch(one.id) > one.epoch:
            self._give_up(one, Reason.NOT_OWNER, now)
        return one.phase in HOLDING

    def _own(self, one: _Shard, now: float) -> None:
        if self._begin_transfer(one, now) or not self._hold(one, now):
            return
        successor = self._successor(one, now)
        if successor:
            epoch = Epoch(one.epoch + 1)
            claim = ClaimRecord(
                one.id, epoch, successor.seat, successor.incarnation, handover=True
            )
            self._enter(one, Phase.OFFER, now)
            self._do(AppendClaim(claim))

    def _offer(self, one: _Shard, now: float) -> None:
        if self._begin_transfer(one, now) or not self._hold(one, now):
            return
        if now - one.since >= CLAIM_LIMIT_S:
            self._cancel_offer(one, now)

    def _transfer(self, one: _Shard, now: float) -> None:
        if now >= one.unsettled_until:
            self._give_up(one, Reason.NOT_OWNER, now)

    # Parts of steps

    def _begin_transfer(self, one: _Shard, now: float) -> bool:
        known = self.claims.newest(one.id)
        handed = known.epoch > one.epoch and known.handover
        if not handed or known.holder == self.own or not one.validity.is_valid(now):
            return False
        one.unsettled_until = one.validity.valid_until()
        one.validity.revoke()
        self._enter(one, Phase.TRANSFER, now)
        self._do(SendHandover(one.id, one.epoch, known.epoch, known.holder.seat))
        return True

    def _take_up(self, one: _Shard, epoch: Epoch, now: float) -> None:
        if not self._context.active or self._context.draining:
            one.dead_epoch = epoch
            return
        one.epoch = epoch
        one.validity = self._new_validity(now)
        self._enter(one, Phase.COLLECT, now)

    def _probe_from(self, one: _Shard, now: float) -> float:
        silent = one.seen_at + self._timing.promise_duration
        earliest = max(one.next_try, silent, one.unsettled_until)
        if now < earliest:
            return earliest
        ranked = self._membership.ranked_seats(one.id, one.domain, now)
        if self.own.seat not in ranked:
            return float("inf")
        wait = self._timing.claim_stagger * ranked.index(self.own.seat)
        return max(earliest, silent + wait)

    def _successor(self, one: _Shard, now: float) -> Holder | None:
        context = self._context
        if now < one.next_try or not (context.log_available and context.caught_up):
            return None
        ranked = self._membership.ranked_seats(one.id, one.domain, now)
        if context.draining:
            ranked = [seat for seat in ranked if seat != self.own.seat]
        elif self._is_handing_over():
            return None
        if not ranked or ranked[0] == self.own.seat:
            return None
        needed = 0.0 if context.draining else self._timing.min_successor_ready
        if self._membership.ready_duration(ranked[0], now) < needed:
            return None
        member = self._membership.member_by_seat[ranked[0]]
        return Holder(member.seat, member.incarnation)

    def _is_handing_over(self) -> bool:
        busy = {Phase.OFFER, Phase.TRANSFER}
        return any(one.phase in busy for one in self._shard_by_id.values())

    def _cancel_offer(self, one: _Shard, now: float) -> None:
        draining = self._context.draining
        one.next_try = now + (PROBE_LIMIT_S if draining else HANDOVER_RETRY_S)
        self._enter(one, Phase.OWN, now)

    def _give_up(
        self, one: _Shard, reason: Reason, now: float, settled: bool = False
    ) -> None:
        """Gives up a shard.

        Its promises run out, unless no message of this holder can still take
        effect; then they are released.
        """
        if settled:
            one.unsettled_until = float("-inf")
        elif one.phase is not Phase.TRANSFER:
            one.unsettled_until = one.validity.valid_until()
        one.validity.revoke()
        one.dead_epoch = max(one.dead_epoch, one.epoch)
        self._do(RelinquishShard(one.id, one.epoch, reason))
        self._back_to_follow(one, now)

    def _back_to_follow(self, one: _Shard, now: float) -> None:
        if now >= one.unsettled_until:
            self._released_by_shard[one.id] = (one.epoch, now)
        one.attempts += 1
        one.next_try = now + self._backoff(one)
        self._enter(one, Phase.FOLLOW, now)

    def _backoff(self, one: _Shard) -> float:
        """Returns a pause that differs between seats, so that ties end."""
        text = f"{one.id}|{self.own.seat}|{one.attempts}"
        part = xxhash.xxh32_intdigest(text.encode()) / 2**32
        return self._timing.claim_stagger * (0.5 + 2 * part)

    def _observe(self, shard: ShardId, epoch: Epoch, holder: Holder | None) -> None:
        if shard in self._shard_by_id:
            self.claims.observe_epoch(shard, epoch, holder)
            self._book.observe_epoch(shard, epoch)

    def _note_sign(
        self, one: _Shard, sender: Holder, epoch: Epoch | None, now: float
    ) -> None:
        known = self.claims.newest(one.id)
        if sender != known.holder or epoch != known.epoch:
            return
        one.seen_at = now
        if one.phase is Phase.PROBE and sender != self.own:
            self._back_to_follow(one, now)

    def _wanted(self, now: float) -> HeartbeatClaims:
        shards = self._shard_by_id.values()
        claims = [ClaimRef(one.id, one.epoch) for one in shards if one.phase in ASKING]
        probes = [ClaimRef(one.id, one.epoch) for one in shards if one.phase in PROBING]
        asked = {claim.shard for claim in claims + probes}
        limit = now - self._timing.promise_duration
        self._released_by_shard = {
            shard: (epoch, at)
            for shard, (epoch, at) in self._released_by_shard.items()
            if shard not in asked and at > limit
        }
        released = self._released_by_shard.items()
        ended = [ClaimRef(shard, epoch) for shard, (epoch, _) in released]
        return HeartbeatClaims(claims, probes, ended)

    def _may_claim(self) -> bool:
        context = self._context
        ready = context.active and not context.draining
        return ready and context.log_available and context.caught_up

    def _new_validity(self, now: float) -> Validity:
        duration = self._timing.promise_duration
        return Validity(self._membership.region_seats, duration, asked_from=now)

    def _enter(self, one: _Shard, phase: Phase, now: float) -> None:
        one.phase = phase
        one.since = now

    def _do(self, action: Action) -> None:
        self._context.actions.append(action)
