"""Claims, and promises: `PromiseTable` gives them, `Validity` counts them.

A promise says that for its duration the seat promises the shard to no other
holder. The seat counts from the moment it received the request and the holder
from the moment it sent it, so the holder's period always ends first.
"""

from collections.abc import Collection
from dataclasses import dataclass

from arbutusladder.ids import Epoch, SeatId, ShardId
from arbutusladder.messages import ClaimRecord, ClaimRef, Heartbeat

# Two monotonic clocks may run at different rates; NTP slews by at most 500 ppm.
CLOCK_RATE_ALLOWANCE = 0.001


@dataclass(frozen=True, order=True)
class Holder:
    """One process in a seat.

    Attributes:
        seat: The seat.
        incarnation: Start time of the process in microseconds.
    """

    seat: SeatId
    incarnation: int


@dataclass(frozen=True)
class KnownClaim:
    """The newest claim of a shard.

    Attributes:
        epoch: Highest epoch known; 0 for none.
        holder: Who won it; missing when only the epoch is known.
        handover: The earlier owner appended it for the holder.
    """

    epoch: Epoch = Epoch(0)
    holder: Holder | None = None
    handover: bool = False


class ClaimTable:
    """Fold of stream ``ownership``; an epoch and its winner never change back."""

    def __init__(self):
        self._claim_by_shard: dict[ShardId, KnownClaim] = {}

    def apply(self, record: ClaimRecord) -> bool:
        """Takes in the next claim and returns whether it won its epoch."""
        known = self.newest(record.shard)
        holder = Holder(record.holder, record.incarnation)
        if record.epoch < known.epoch:
            return False
        if record.epoch == known.epoch and known.holder is not None:
            return False
        claim = KnownClaim(record.epoch, holder, record.handover)
        self._claim_by_shard[record.shard] = claim
        return True

    def observe_epoch(
        self, shard: ShardId, epoch: Epoch, holder: Holder | None
    ) -> None:
        """Takes in an epoch, and the owner if it reported, from a heartbeat."""
        known = self.newest(shard)
        unknown_holder = epoch == known.epoch and known.holder is None
        if epoch > known.epoch or (unknown_holder and holder):
            self._claim_by_shard[shard] = KnownClaim(epoch, holder)

    def newest(self, shard: ShardId) -> KnownClaim:
        """Returns the newest claim of a shard."""
        return self._claim_by_shard.get(shard, KnownClaim())


@dataclass(frozen=True)
class PromiseAnswer:
    """Whether a seat gave a promise.

    Attributes:
        granted: The promise holds for its duration from now.
        detail: Why not.
    """

    granted: bool
    detail: str = ""


@dataclass
class _Promise:
    epoch: Epoch
    holder: Holder
    until: float


class PromiseTable:
    """The promises that one seat has given.

    Args:
        started_at: Monotonic time of the start of the process in seconds.
        duration: Duration of a promise in seconds.
    """

    def __init__(self, started_at: float, duration: float):
        self._grants_from = started_at + duration
        self._duration = duration
        self._promise_by_shard: dict[ShardId, _Promise] = {}
        self._epoch_by_shard: dict[ShardId, Epoch] = {}
        self._newest_by_seat: dict[SeatId, tuple[int, int]] = {}

    def grant(
        self, shard: ShardId, epoch: Epoch, holder: Holder, now: float
    ) -> PromiseAnswer:
        """Gives or refuses a promise.

        Args:
            shard: The shard.
            epoch: Epoch under which the holder asks.
            holder: Who asks.
            now: Monotonic time in seconds at which the request was received.
        """
        if now < self._grants_from:
            # An earlier process in this seat may have promised the shard.
            return PromiseAnswer(False, "the seat started less than a promise ago")
        if epoch < self.epoch(shard):
            return PromiseAnswer(False, f"epoch {self.epoch(shard)} is known")
        given = self._promise_by_shard.get(shard)
        if given and given.holder != holder and now < given.until:
            return PromiseAnswer(False, f"promised to {given.holder.seat}")
        self._epoch_by_shard[shard] = epoch
        promise = _Promise(epoch, holder, now + self._duration)
        self._promise_by_shard[shard] = promise
        return PromiseAnswer(True)

    def release(self, shard: ShardId, epoch: Epoch, holder: Holder) -> None:
        """Ends a promise whose holder gave up the shard.

        The holder releases only when no message that it sent while it held
        the shard can still take effect.

        Args:
            shard: The shard.
            epoch: Epoch of the promise; a promise for a later one stays.
            holder: Who gave it up.
        """
        given = self._promise_by_shard.get(shard)
        if given and given.holder == holder and given.epoch <= epoch:
            del self._promise_by_shard[shard]

    def observe_epoch(self, shard: ShardId, epoch: Epoch) -> None:
        """Notes an epoch that exists; earlier ones get no more promises."""
        self._epoch_by_shard[shard] = max(epoch, self.epoch(shard))

    def epoch(self, shard: ShardId) -> Epoch:
        """Returns the highest epoch known for a shard; 0 when none is."""
        return self._epoch_by_shard.get(shard, Epoch(0))

    def answer_heartbeat(self, heartbeat: Heartbeat, now: float) -> list[ClaimRef]:
        """Gives the promises that a heartbeat asks for.

        A claim that is missing from a heartbeat runs out; one that is listed
        as released ends at once. A heartbeat that arrives late, or comes from
        an earlier incarnation of a seat, is ignored: it does not show what
        its sender holds now.

        Args:
            heartbeat: Heartbeat of a seat, also of this one.
            now: Monotonic time in seconds at which it was received.
        """
        holder = Holder(heartbeat.seat, heartbeat.incarnation)
        mark = (heartbeat.incarnation, heartbeat.sequence)
        newest = self._newest_by_seat.get(heartbeat.seat)
        if newest and mark <= newest:
            return []
        self._newest_by_seat[heartbeat.seat] = mark
        for claim in heartbeat.released:
            self.release(claim.shard, claim.epoch, holder)
        return [
            claim
            for claim in (*heartbeat.claims, *heartbeat.probes)
            if self.grant(claim.shard, claim.epoch, holder, now).granted
        ]


class Validity:
    """How long a holder may act on one shard.

    Once valid, it must stay valid: after a lapse another holder may have
    acted, so a validity that has lapsed never comes back.

    Args:
        seats: Seats of the region; a majority of them must promise.
        duration: Duration of a promise in seconds.
        asked_from: Monotonic time in seconds; promises for heartbeats that
            were sent before it do not count, because they may be released.
    """

    def __init__(
        self,
        seats: Collection[SeatId],
        duration: float,
        asked_from: float = float("-inf"),
    ):
        self._seats = frozenset(seats)
        self._majority = len(self._seats) // 2 + 1
        self._duration = duration * (1 - CLOCK_RATE_ALLOWANCE)
        self._asked_from = asked_from
        self._sent_at_by_seat: dict[SeatId, float] = {}
        self._until = float("-inf")
        self._ended = False

    def record_promise(self, seat: SeatId, sent_at: float) -> None:
        """Counts a promise.

        Args:
            seat: Who promised.
            sent_at: Monotonic time in seconds at which the holder sent the
                request, before its first byte left.
        """
        if seat not in self._seats or sent_at < self._asked_from:
            return
        if self._has_been_valid and sent_at >= self._until:
            self._ended = True
            return
        known = self._sent_at_by_seat.get(seat, float("-inf"))
        self._sent_at_by_seat[seat] = max(known, sent_at)
        if len(self._sent_at_by_seat) >= self._majority:
            newest = sorted(self._sent_at_by_seat.values(), reverse=True)
            self._until = newest[self._majority - 1] + self._duration

    def valid_until(self) -> float:
        """Returns the monotonic time until which the holder may act."""
        return float("-inf") if self._ended else self._until

    def is_valid(self, now: float) -> bool:
        """Returns whether the holder may act at a monotonic time.

        Call it immediately before each send.
        """
        if self._has_been_valid and now >= self._until:
            self._ended = True
        return now < self.valid_until()

    def revoke(self) -> None:
        """Ends the validity for good."""
        self._ended = True

    def first_lease_end(
        self, wall: float, now: float, task_lease: float, clock_skew: float
    ) -> float:
        """Returns the wall clock time at which the first lease of a start ends.

        Args:
            wall: Wall clock time in seconds, read before ``now``. After a
                pause between both readings the lease then ends too early;
                in the other order it would end too late.
            now: Monotonic time in seconds.
            task_lease: Duration of a lease in seconds.
            clock_skew: Largest difference between two wall clocks in seconds.
        """
        left = self.valid_until() - now
        return wall + min(task_lease, left) - clock_skew

    @property
    def _has_been_valid(self) -> bool:
        return self._until > float("-inf")
