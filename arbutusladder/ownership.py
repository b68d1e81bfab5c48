"""State machine that decides which entry VM owns each shard.

It performs no I/O: inputs return the actions to carry out. A takeover runs through
these steps: follow the owner; when its heartbeats stop, probe whether a majority of
the seats could grant promises; append a claim; read it back from the log; collect
promises under the new epoch; rebuild the shard; own it.

The probe requests promises under the current epoch. It prevents a seat that is
merely cut off from a working owner from claiming the shard; the new epoch would
prevent the owner from renewing its promises.
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

# Own heartbeats whose send time is kept, to date the promises that answer them.
MAX_SENT_HEARTBEATS = 128
# Seconds for a majority to answer a probe, and for an own claim to be read back.
PROBE_TIMEOUT_S = 1.0
CLAIM_TIMEOUT_S = 5.0
# Requesting promises only with the regular heartbeats (every 500 ms) made takeovers
# take up to 4.9 s.
PROMISE_REQUEST_INTERVAL_S = 0.1
# Seconds for which a preferred seat must be ready before it gets a shard, and before
# a cancelled handover is tried again.
MIN_SUCCESSOR_READY_S = 30.0
HANDOVER_RETRY_S = 30.0


@dataclass(frozen=True)
class AppendClaim:
    """Append a claim to stream ``ownership``, without retry after a refusal."""

    claim: ClaimRecord


@dataclass(frozen=True)
class HeartbeatClaims:
    """Values of the `Heartbeat` fields with the same names."""

    claims: list[ClaimRef] = field(default_factory=list)
    probes: list[ClaimRef] = field(default_factory=list)
    released: list[ClaimRef] = field(default_factory=list)


@dataclass(frozen=True)
class RequestPromises:
    """Send a heartbeat now to request or release promises."""

    claims: HeartbeatClaims


@dataclass(frozen=True)
class StartRebuild:
    """Rebuild a shard's state, then call `Ownership.finish_rebuild`.

    Append a `ShardFence` to stream ``jobs``, read the stream up to the fence,
    wait until `JobStore.is_complete`, and read the task list of every worker.

    Attributes:
        shard: The shard.
        epoch: Epoch of the new owner.
        previous_owner_ended_by: Monotonic time in seconds by which the previous
            owner's validity had ended.
        adopted: Whether the previous owner's `Handover` was received.
        validity: Validity to check immediately before each send.
    """

    shard: ShardId
    epoch: Epoch
    previous_owner_ended_by: float
    adopted: bool
    validity: Validity


@dataclass(frozen=True)
class BecomeOwner:
    """Act as the owner of a shard while the validity lasts."""

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
    """Stop acting on a shard and discard its state."""

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
    """Phase of one shard at this entry VM.

    Attributes:
        FOLLOW: Another entry VM owns the shard, or none does.
        PROBE: Checks whether a majority of the seats could grant promises.
        CLAIM: Waits until its own claim is read back from the log.
        COLLECT: Collects promises under the epoch that it won.
        REBUILD: Rebuilds the state of the shard.
        OWN: Acts as the owner.
        OFFER: Still owner; appended a claim for a successor.
        TRANSFER: Stopped acting; sends the state to the successor.
    """

    FOLLOW = "follow"
    PROBE = "probe"
    CLAIM = "claim"
    COLLECT = "collect"
    REBUILD = "rebuild"
    OWN = "own"
    OFFER = "offer"
    TRANSFER = "transfer"


# Phases in which the seat sends probes, waits for promises, requests them under its own
# epoch, holds the shard, and acts as its owner.
PROBING_PHASES = frozenset({Phase.PROBE, Phase.CLAIM})
AWAITING_PROMISES_PHASES = frozenset({Phase.PROBE, Phase.COLLECT})
REQUESTING_PHASES = frozenset({Phase.COLLECT, Phase.REBUILD, Phase.OWN, Phase.OFFER})
HOLDING_PHASES = frozenset({Phase.REBUILD, Phase.OWN, Phase.OFFER})
OWNING_PHASES = frozenset({Phase.OWN, Phase.OFFER})
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
class _TrackedShard:
    """State of one shard at this entry VM; all times are monotonic seconds.

    Attributes:
        owner_seen_at: Time of the newest heartbeat or claim of an owner.
        epoch: Epoch under which this entry VM requests promises or holds.
        phase_started_at: Time at which the phase began.
        next_attempt_at: Earliest time of the next probe or handover.
        attempts: Number of returns to `Phase.FOLLOW`; varies the backoff.
        abandoned_epoch: Highest epoch that this entry VM must not use any more.
        handover_epoch: Epoch for which a handover was received.
        offered_epoch: Newest epoch that this entry VM claimed for a successor.
        in_flight_until: Time until which messages sent under an epoch that was
            relinquished early may still take effect.
    """

    id: ShardId
    domain: str
    owner_seen_at: float
    phase: Phase = Phase.FOLLOW
    epoch: Epoch = Epoch(0)
    validity: Validity | None = None
    phase_started_at: float = 0.0
    next_attempt_at: float = float("-inf")
    attempts: int = 0
    abandoned_epoch: Epoch = Epoch(0)
    handover_epoch: Epoch = Epoch(0)
    offered_epoch: Epoch = Epoch(0)
    in_flight_until: float = float("-inf")


@dataclass(frozen=True)
class OwnershipTiming:
    """Durations in seconds.

    Attributes:
        promise_duration: Duration of a promise.
        claim_stagger: Additional delay of a probe for each rank below the first.
        min_successor_ready: Time for which a preferred seat must be ready before
            it gets the shard, unless the owner drains.
    """

    promise_duration: float = 3.0
    claim_stagger: float = 0.3
    min_successor_ready: float = MIN_SUCCESSOR_READY_S


@dataclass
class _SharedState:
    """State that applies to all shards, and the actions not yet returned."""

    active: bool = False
    draining: bool = False
    log_available: bool = False
    caught_up: bool = False
    actions: list[Action] = field(default_factory=list)


class Ownership:
    """Ownership of one region's shards from the view of one entry VM.

    Every input returns the actions to carry out, in order. Call `tick` at
    least every 100 ms, and `prepare_heartbeat` before a heartbeat is sent.

    Args:
        own_holder: Seat and incarnation of this process.
        domain_by_shard: Failure domain of each shard of the region.
        membership: Members; it must process each heartbeat before this object.
        promises: Promises of this seat; this object passes it new epochs.
        timing: Durations.
        now: Monotonic time in seconds.
    """

    def __init__(
        self,
        own_holder: Holder,
        domain_by_shard: Mapping[ShardId, str],
        membership: Membership,
        promises: PromiseTable,
        timing: OwnershipTiming,
        now: float,
    ):
        self.own_holder = own_holder
        self.claims = ClaimTable()
        self._membership = membership
        self._promises = promises
        self._timing = timing
        self._shard_by_id = {
            shard: _TrackedShard(shard, domain, owner_seen_at=now)
            for shard, domain in sorted(domain_by_shard.items())
        }
        self._shared = _SharedState()
        self._sent_at_by_sequence: OrderedDict[int, float] = OrderedDict()
        self._last_claims = HeartbeatClaims()
        self._last_requested_at = now
        self._released_by_shard: dict[ShardId, tuple[Epoch, float]] = {}
        self._step_by_phase: dict[Phase, Callable[[_TrackedShard, float], None]] = {
            Phase.FOLLOW: self._step_follow,
            Phase.PROBE: self._step_probe,
            Phase.CLAIM: self._step_claim,
            Phase.COLLECT: self._step_collect,
            Phase.REBUILD: self._check_still_held,
            Phase.OWN: self._step_own,
            Phase.OFFER: self._step_offer,
            Phase.TRANSFER: self._step_transfer,
        }

    # Queries

    def state(self, shard: ShardId) -> ShardState:
        """Returns the state of a shard at this entry VM."""
        tracked = self._shard_by_id[shard]
        if tracked.phase is Phase.FOLLOW:
            holder = self.claims.newest(shard).holder
            return ShardState.FOLLOWING if holder else ShardState.UNOWNED
        return STATE_BY_PHASE[tracked.phase]

    def owner(self, shard: ShardId) -> Holder | None:
        """Returns the holder of the newest known epoch, which need not be live."""
        return self.claims.newest(shard).holder

    def epoch(self, shard: ShardId) -> Epoch:
        """Returns the highest known epoch of a shard."""
        return self.claims.newest(shard).epoch

    def is_valid(self, shard: ShardId, now: float) -> bool:
        """Returns whether this entry VM may act on a shard now."""
        tracked = self._shard_by_id.get(shard)
        return (
            tracked is not None
            and tracked.phase in OWNING_PHASES
            and tracked.validity.is_valid(now)
        )

    def owned_epochs(self) -> dict[ShardId, Epoch]:
        """Returns the shards that this entry VM acts on, with their epochs."""
        shards = self._shard_by_id.values()
        return {
            tracked.id: tracked.epoch
            for tracked in shards
            if tracked.phase in OWNING_PHASES
        }

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
        self._last_claims = self._current_claims(now)
        self._last_requested_at = now
        return self._last_claims

    def handle_heartbeat(self, heartbeat: Heartbeat, now: float) -> list[Action]:
        """Handles a heartbeat that `Membership.record_heartbeat` accepted as new."""
        sender = Holder(heartbeat.seat, heartbeat.incarnation)
        epoch_by_shard = {claim.shard: claim.epoch for claim in heartbeat.claims}
        for shard, epoch in epoch_by_shard.items():
            self._observe_epoch(shard, epoch, None)
        for summary in heartbeat.summaries:
            self._observe_epoch(summary.shard, summary.epoch, sender)
        for tracked in self._shard_by_id.values():
            self._record_owner_heartbeat(
                tracked, sender, epoch_by_shard.get(tracked.id), now
            )
        return self.tick(now)

    def handle_heartbeat_ack(self, ack: HeartbeatAck, now: float) -> list[Action]:
        """Counts the promises in an acknowledgement of an own heartbeat."""
        sent_at = self._sent_at_by_sequence.get(ack.sequence)
        if ack.incarnation != self.own_holder.incarnation or sent_at is None:
            return []
        for claim in ack.promised:
            tracked = self._shard_by_id.get(claim.shard)
            requesting = tracked and tracked.phase in REQUESTING_PHASES | PROBING_PHASES
            if requesting and tracked.epoch == claim.epoch:
                tracked.validity.record_promise(ack.seat, sent_at)
        return self.tick(now)

    def handle_claim(self, record: ClaimRecord, now: float) -> list[Action]:
        """Handles the next record of stream ``ownership``."""
        won = self.claims.apply(record)
        self._promises.observe_epoch(record.shard, record.epoch)
        tracked = self._shard_by_id.get(record.shard)
        if won and tracked:
            tracked.owner_seen_at = now
            if not self._shared.caught_up:
                # The missed records may contain an earlier claim of this epoch.
                tracked.abandoned_epoch = max(tracked.abandoned_epoch, record.epoch)
        return self.tick(now)

    def observe_fenced_epoch(self, shard: ShardId, epoch: Epoch) -> None:
        """Records the epoch of a fence in stream ``jobs``.

        A new claim must use a later epoch, or the job moves of its holder would
        be ignored.
        """
        self._observe_epoch(shard, epoch, None)

    def mark_caught_up(self, now: float) -> list[Action]:
        """Records that all claims up to the end of the stream were read."""
        self._shared.caught_up = True
        return self.tick(now)

    def handle_claim_gap(self, now: float) -> list[Action]:
        """Handles missed claim records; call it before the next record."""
        self._shared.caught_up = False
        for tracked in self._shard_by_id.values():
            if tracked.phase in PROBING_PHASES:
                tracked.abandoned_epoch = Epoch(self.epoch(tracked.id) + 1)
                self._return_to_follow(tracked, now)
        return self.tick(now)

    def set_log_available(self, available: bool, now: float) -> list[Action]:
        """Sets whether the log service is available."""
        self._shared.log_available = available
        return self.tick(now)

    def set_active(self, active: bool, now: float) -> list[Action]:
        """Sets whether this entry VM may claim shards."""
        self._shared.active = active
        return self.tick(now)

    def handle_claim_failure(self, shard: ShardId, now: float) -> list[Action]:
        """Handles a claim that was not confirmed; it may still take effect."""
        tracked = self._shard_by_id[shard]
        if tracked.phase is Phase.CLAIM:
            self._return_to_follow(tracked, now)
        elif tracked.phase is Phase.OFFER:
            self._cancel_offer(tracked, now)
        return self.tick(now)

    def finish_rebuild(self, shard: ShardId, epoch: Epoch, now: float) -> list[Action]:
        """Handles the end of a rebuild."""
        tracked = self._shard_by_id[shard]
        if tracked.phase is Phase.REBUILD and tracked.epoch == epoch:
            self._check_still_held(tracked, now)
        if tracked.phase is Phase.REBUILD and tracked.epoch == epoch:
            self._enter_phase(tracked, Phase.OWN, now)
            self._emit(BecomeOwner(shard, epoch, tracked.validity))
        return self.tick(now)

    def accept_handover(self, shard: ShardId, new_epoch: Epoch) -> bool:
        """Returns whether a `Handover` is accepted and records its epoch.

        It is refused if this entry VM already rebuilds under that epoch, has
        abandoned it or knows a later one.
        """
        tracked = self._shard_by_id.get(shard)
        if (
            tracked is None
            or new_epoch < self.epoch(shard)
            or new_epoch <= tracked.abandoned_epoch
        ):
            return False
        if tracked.phase in HOLDING_PHASES and tracked.epoch >= new_epoch:
            return False
        tracked.handover_epoch = new_epoch
        return True

    def complete_handover(self, shard: ShardId, now: float) -> list[Action]:
        """Handles the answer of the successor to a `SendHandover`."""
        tracked = self._shard_by_id[shard]
        if tracked.phase is Phase.TRANSFER:
            self._relinquish(tracked, Reason.NOT_OWNER, now, quiesced=True)
        return self.tick(now)

    def start_drain(self, now: float) -> list[Action]:
        """Starts to hand over all shards; no more shards are claimed."""
        self._shared.draining = True
        for tracked in self._shard_by_id.values():
            tracked.next_attempt_at = now
        return self.tick(now)

    def release_all(self, now: float) -> list[Action]:
        """Relinquishes all shards at once, for example before an exit.

        Call it only when every exchange with an endpoint has ended.
        """
        for tracked in self._shard_by_id.values():
            if tracked.phase in HOLDING_PHASES or tracked.phase is Phase.TRANSFER:
                self._relinquish(tracked, Reason.DRAINING, now, quiesced=True)
        return self.tick(now)

    def paused(self, now: float) -> list[Action]:
        """Relinquishes all shards after a detected pause of the process."""
        for tracked in self._shard_by_id.values():
            if tracked.phase in HOLDING_PHASES or tracked.phase is Phase.TRANSFER:
                self._relinquish(tracked, Reason.PAUSED, now)
        return self.tick(now)

    def tick(self, now: float) -> list[Action]:
        """Advances all shards and returns the actions to carry out."""
        for tracked in self._shard_by_id.values():
            self._step_by_phase[tracked.phase](tracked, now)
        claims = self._current_claims(now)
        awaiting_promises = any(
            tracked.phase in AWAITING_PROMISES_PHASES
            for tracked in self._shard_by_id.values()
        )
        overdue = (
            awaiting_promises
            and now - self._last_requested_at >= PROMISE_REQUEST_INTERVAL_S
        )
        if claims != self._last_claims or overdue:
            self._last_claims = claims
            self._last_requested_at = now
            self._emit(RequestPromises(claims))
        actions, self._shared.actions = self._shared.actions, []
        return actions

    # Phase steps

    def _step_follow(self, tracked: _TrackedShard, now: float) -> None:
        newest = self.claims.newest(tracked.id)
        if newest.holder == self.own_holder and newest.epoch > tracked.abandoned_epoch:
            self._start_collecting(tracked, newest.epoch, now)
        elif self._can_claim() and now >= self._earliest_probe_at(tracked, now):
            tracked.epoch = newest.epoch
            tracked.validity = self._new_validity(now)
            self._enter_phase(tracked, Phase.PROBE, now)

    def _step_probe(self, tracked: _TrackedShard, now: float) -> None:
        newest = self.claims.newest(tracked.id)
        if newest.epoch != tracked.epoch or not self._can_claim():
            self._return_to_follow(tracked, now)
        elif tracked.validity.is_valid(now):
            epoch = Epoch(max(newest.epoch, tracked.abandoned_epoch) + 1)
            own_holder = self.own_holder
            self._enter_phase(tracked, Phase.CLAIM, now)
            self._emit(
                AppendClaim(
                    ClaimRecord(
                        tracked.id, epoch, own_holder.seat, own_holder.incarnation
                    )
                )
            )
        elif now - tracked.phase_started_at >= PROBE_TIMEOUT_S:
            self._return_to_follow(tracked, now)

    def _step_claim(self, tracked: _TrackedShard, now: float) -> None:
        newest = self.claims.newest(tracked.id)
        if newest.epoch > tracked.epoch and newest.holder is not None:
            self._return_to_follow(tracked, now)
            self._step_follow(tracked, now)
        elif now - tracked.phase_started_at >= CLAIM_TIMEOUT_S:
            self._return_to_follow(tracked, now)

    def _step_collect(self, tracked: _TrackedShard, now: float) -> None:
        limit = 2 * self._timing.promise_duration + PROBE_TIMEOUT_S
        if (
            self.epoch(tracked.id) > tracked.epoch
            or now - tracked.phase_started_at >= limit
        ):
            tracked.abandoned_epoch = tracked.epoch
            self._return_to_follow(tracked, now)
        elif tracked.validity.is_valid(now) and now >= tracked.in_flight_until:
            self._enter_phase(tracked, Phase.REBUILD, now)
            adopted = tracked.handover_epoch == tracked.epoch
            self._emit(
                StartRebuild(tracked.id, tracked.epoch, now, adopted, tracked.validity)
            )

    def _check_still_held(self, tracked: _TrackedShard, now: float) -> bool:
        """Relinquishes the shard if it cannot be held; returns whether it is held."""
        if not tracked.validity.is_valid(now):
            self._relinquish(tracked, Reason.OWNERSHIP_EXPIRED, now)
        elif self._is_replaced(tracked):
            self._relinquish(tracked, Reason.NOT_OWNER, now)
        return tracked.phase in HOLDING_PHASES

    def _is_replaced(self, tracked: _TrackedShard) -> bool:
        newest = self.claims.newest(tracked.id)
        if newest.holder is None and newest.epoch == tracked.offered_epoch:
            # The successor may read the claim from the log before this entry VM does,
            # and show its epoch in a heartbeat. Reading it starts the transfer.
            return False
        return newest.epoch > tracked.epoch

    def _step_own(self, tracked: _TrackedShard, now: float) -> None:
        if self._try_start_transfer(tracked, now) or not self._check_still_held(
            tracked, now
        ):
            return
        successor = self._choose_successor(tracked, now)
        if successor:
            epoch = Epoch(tracked.epoch + 1)
            claim = ClaimRecord(
                tracked.id, epoch, successor.seat, successor.incarnation, handover=True
            )
            tracked.offered_epoch = epoch
            self._enter_phase(tracked, Phase.OFFER, now)
            self._emit(AppendClaim(claim))

    def _step_offer(self, tracked: _TrackedShard, now: float) -> None:
        if self._try_start_transfer(tracked, now) or not self._check_still_held(
            tracked, now
        ):
            return
        if now - tracked.phase_started_at >= CLAIM_TIMEOUT_S:
            self._cancel_offer(tracked, now)

    def _step_transfer(self, tracked: _TrackedShard, now: float) -> None:
        if now >= tracked.in_flight_until:
            self._relinquish(tracked, Reason.NOT_OWNER, now)

    # Helpers of the phase steps

    def _try_start_transfer(self, tracked: _TrackedShard, now: float) -> bool:
        newest = self.claims.newest(tracked.id)
        is_handover = newest.epoch > tracked.epoch and newest.handover
        if (
            not is_handover
            or newest.holder == self.own_holder
            or not tracked.validity.is_valid(now)
        ):
            return False
        tracked.in_flight_until = tracked.validity.valid_until()
        tracked.validity.revoke()
        self._enter_phase(tracked, Phase.TRANSFER, now)
        self._emit(
            SendHandover(tracked.id, tracked.epoch, newest.epoch, newest.holder.seat)
        )
        return True

    def _start_collecting(
        self, tracked: _TrackedShard, epoch: Epoch, now: float
    ) -> None:
        if not self._shared.active or self._shared.draining:
            tracked.abandoned_epoch = epoch
            return
        tracked.epoch = epoch
        tracked.validity = self._new_validity(now)
        self._enter_phase(tracked, Phase.COLLECT, now)

    def _earliest_probe_at(self, tracked: _TrackedShard, now: float) -> float:
        owner_timeout_at = tracked.owner_seen_at + self._timing.promise_duration
        earliest = max(
            tracked.next_attempt_at, owner_timeout_at, tracked.in_flight_until
        )
        if now < earliest:
            return earliest
        ranked_seats = self._membership.ranked_seats(tracked.id, tracked.domain, now)
        if self.own_holder.seat not in ranked_seats:
            return float("inf")
        stagger = self._timing.claim_stagger * ranked_seats.index(self.own_holder.seat)
        return max(earliest, owner_timeout_at + stagger)

    def _choose_successor(self, tracked: _TrackedShard, now: float) -> Holder | None:
        shared = self._shared
        if now < tracked.next_attempt_at or not (
            shared.log_available and shared.caught_up
        ):
            return None
        ranked_seats = self._membership.ranked_seats(tracked.id, tracked.domain, now)
        if shared.draining:
            ranked_seats = [
                seat for seat in ranked_seats if seat != self.own_holder.seat
            ]
        elif self._is_handing_over():
            return None
        if not ranked_seats or ranked_seats[0] == self.own_holder.seat:
            return None
        needed = 0.0 if shared.draining else self._timing.min_successor_ready
        if self._membership.ready_duration(ranked_seats[0], now) < needed:
            return None
        member = self._membership.member_by_seat[ranked_seats[0]]
        return Holder(member.seat, member.incarnation)

    def _is_handing_over(self) -> bool:
        handover_phases = {Phase.OFFER, Phase.TRANSFER}
        return any(
            tracked.phase in handover_phases for tracked in self._shard_by_id.values()
        )

    def _cancel_offer(self, tracked: _TrackedShard, now: float) -> None:
        draining = self._shared.draining
        tracked.next_attempt_at = now + (
            PROBE_TIMEOUT_S if draining else HANDOVER_RETRY_S
        )
        self._enter_phase(tracked, Phase.OWN, now)

    def _relinquish(
        self, tracked: _TrackedShard, reason: Reason, now: float, quiesced: bool = False
    ) -> None:
        """Relinquishes a shard.

        Its promises are released if no message of this holder can still take
        effect; otherwise they expire.

        Args:
            tracked: The shard.
            reason: Reported reason.
            now: Monotonic time in seconds.
            quiesced: Whether no message of this holder can still take effect.
        """
        if quiesced:
            tracked.in_flight_until = float("-inf")
        elif tracked.phase is not Phase.TRANSFER:
            tracked.in_flight_until = tracked.validity.valid_until()
        tracked.validity.revoke()
        tracked.abandoned_epoch = max(tracked.abandoned_epoch, tracked.epoch)
        self._emit(RelinquishShard(tracked.id, tracked.epoch, reason))
        self._return_to_follow(tracked, now)

    def _return_to_follow(self, tracked: _TrackedShard, now: float) -> None:
        if now >= tracked.in_flight_until:
            self._released_by_shard[tracked.id] = (tracked.epoch, now)
        tracked.attempts += 1
        tracked.next_attempt_at = now + self._backoff_s(tracked)
        self._enter_phase(tracked, Phase.FOLLOW, now)

    def _backoff_s(self, tracked: _TrackedShard) -> float:
        """Returns a pause in seconds that differs between seats, to break ties."""
        text = f"{tracked.id}|{self.own_holder.seat}|{tracked.attempts}"
        fraction = xxhash.xxh32_intdigest(text.encode()) / 2**32
        return self._timing.claim_stagger * (0.5 + 2 * fraction)

    def _observe_epoch(
        self, shard: ShardId, epoch: Epoch, holder: Holder | None
    ) -> None:
        if shard in self._shard_by_id:
            self.claims.observe_epoch(shard, epoch, holder)
            self._promises.observe_epoch(shard, epoch)

    def _record_owner_heartbeat(
        self, tracked: _TrackedShard, sender: Holder, epoch: Epoch | None, now: float
    ) -> None:
        newest = self.claims.newest(tracked.id)
        if sender != newest.holder or epoch != newest.epoch:
            return
        tracked.owner_seen_at = now
        if tracked.phase is Phase.PROBE and sender != self.own_holder:
            self._return_to_follow(tracked, now)

    def _current_claims(self, now: float) -> HeartbeatClaims:
        shards = self._shard_by_id.values()
        claims = [
            ClaimRef(tracked.id, tracked.epoch)
            for tracked in shards
            if tracked.phase in REQUESTING_PHASES
        ]
        probes = [
            ClaimRef(tracked.id, tracked.epoch)
            for tracked in shards
            if tracked.phase in PROBING_PHASES
        ]
        requested = {claim.shard for claim in claims + probes}
        limit = now - self._timing.promise_duration
        self._released_by_shard = {
            shard: (epoch, at)
            for shard, (epoch, at) in self._released_by_shard.items()
            if shard not in requested and at > limit
        }
        released = self._released_by_shard.items()
        released_claims = [ClaimRef(shard, epoch) for shard, (epoch, _) in released]
        return HeartbeatClaims(claims, probes, released_claims)

    def _can_claim(self) -> bool:
        shared = self._shared
        ready = shared.active and not shared.draining
        return ready and shared.log_available and shared.caught_up

    def _new_validity(self, now: float) -> Validity:
        duration = self._timing.promise_duration
        return Validity(self._membership.region_seats, duration, counted_from=now)

    def _enter_phase(self, tracked: _TrackedShard, phase: Phase, now: float) -> None:
        tracked.phase = phase
        tracked.phase_started_at = now

    def _emit(self, action: Action) -> None:
        self._shared.actions.append(action)
