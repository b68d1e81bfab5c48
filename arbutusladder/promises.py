"""Ownership claims and the promises of a majority that make a claim valid.

`ClaimTable` keeps the newest claim of each shard, `PromiseTable` grants the
promises of one seat, and `Validity` counts the promises that a holder received.

While a promise is in force, its seat promises the shard to no other holder. The
seat measures the duration from the receipt of the request and the holder from
its send time, so the holder's period always ends first.
"""

from collections.abc import Collection
from dataclasses import dataclass

from arbutusladder.ids import Epoch, SeatId, ShardId
from arbutusladder.messages import ClaimRecord, ClaimRef, Heartbeat

# Fraction by which a holder shortens each promise, because two monotonic clocks may
# run at different rates; NTP slews a clock by at most 500 ppm.
CLOCK_RATE_ALLOWANCE = 0.001


@dataclass(frozen=True, order=True)
class Holder:
    """The process that occupies a seat.

    Attributes:
        seat: The seat.
        incarnation: Start time of the process in microseconds.
    """

    seat: SeatId
    incarnation: int


@dataclass(frozen=True)
class KnownClaim:
    """The newest known claim of a shard.

    Attributes:
        epoch: Highest known epoch; 0 if there is none.
        holder: Winner of the epoch; None if only the epoch is known.
        handover: Whether the previous owner appended the claim for the holder.
    """

    epoch: Epoch = Epoch(0)
    holder: Holder | None = None
    handover: bool = False


class ClaimTable:
    """Newest claim of each shard, built from stream ``ownership`` and heartbeats.

    Epochs never decrease, and the winner of an epoch never changes.
    """

    def __init__(self):
        self._claim_by_shard: dict[ShardId, KnownClaim] = {}

    def apply(self, record: ClaimRecord) -> bool:
        """Applies the next claim of the stream and returns whether it won its epoch."""
        newest = self.newest(record.shard)
        holder = Holder(record.holder, record.incarnation)
        if record.epoch < newest.epoch:
            return False
        if record.epoch == newest.epoch and newest.holder is not None:
            return False
        claim = KnownClaim(record.epoch, holder, record.handover)
        self._claim_by_shard[record.shard] = claim
        return True

    def observe_epoch(
        self, shard: ShardId, epoch: Epoch, holder: Holder | None
    ) -> None:
        """Records an epoch, and its holder if known, from a heartbeat or a fence."""
        newest = self.newest(shard)
        unknown_holder = epoch == newest.epoch and newest.holder is None
        if epoch > newest.epoch or (unknown_holder and holder):
            self._claim_by_shard[shard] = KnownClaim(epoch, holder)

    def newest(self, shard: ShardId) -> KnownClaim:
        """Returns the newest known claim of a shard."""
        return self._claim_by_shard.get(shard, KnownClaim())


@dataclass(frozen=True)
class PromiseAnswer:
    """Result of a promise request.

    Attributes:
        granted: Whether the promise was granted; its duration starts now.
        detail: Reason for a refusal.
    """

    granted: bool
    detail: str = ""


@dataclass
class _Promise:
    epoch: Epoch
    holder: Holder
    until: float


class PromiseTable:
    """The promises granted by one seat.

    Args:
        started_at: Monotonic time of the start of the process in seconds.
        duration: Duration of a promise in seconds.
    """

    def __init__(self, started_at: float, duration: float):
        self._first_grant_at = started_at + duration
        self._duration = duration
        self._promise_by_shard: dict[ShardId, _Promise] = {}
        self._epoch_by_shard: dict[ShardId, Epoch] = {}
        self._newest_heartbeat_by_seat: dict[SeatId, tuple[int, int]] = {}

    def grant(
        self, shard: ShardId, epoch: Epoch, holder: Holder, now: float
    ) -> PromiseAnswer:
        """Grants or refuses a promise.

        Args:
            shard: The shard.
            epoch: Epoch under which the holder requests the promise.
            holder: The requesting process.
            now: Monotonic time in seconds at which the request was received.
        """
        if now < self._first_grant_at:
            # A previous process in this seat may have promised the shard.
            return PromiseAnswer(
                False, "the seat started less than one promise duration ago"
            )
        if epoch < self.epoch(shard):
            return PromiseAnswer(False, f"epoch {self.epoch(shard)} is already known")
        current = self._promise_by_shard.get(shard)
        if current and current.holder != holder and now < current.until:
            return PromiseAnswer(
                False, f"the shard is promised to {current.holder.seat}"
            )
        self._epoch_by_shard[shard] = epoch
        promise = _Promise(epoch, holder, now + self._duration)
        self._promise_by_shard[shard] = promise
        return PromiseAnswer(True)

    def release(self, shard: ShardId, epoch: Epoch, holder: Holder) -> None:
        """Ends a promise whose holder relinquished the shard.

        A holder releases a promise only when no message that it sent while it
        held the shard can still take effect.

        Args:
            shard: The shard.
            epoch: Released epoch; a promise for a later epoch stays in force.
            holder: The process that relinquished the shard.
        """
        current = self._promise_by_shard.get(shard)
        if current and current.holder == holder and current.epoch <= epoch:
            del self._promise_by_shard[shard]

    def observe_epoch(self, shard: ShardId, epoch: Epoch) -> None:
        """Records an existing epoch; earlier epochs get no more promises."""
        self._epoch_by_shard[shard] = max(epoch, self.epoch(shard))

    def epoch(self, shard: ShardId) -> Epoch:
        """Returns the highest known epoch of a shard, or 0."""
        return self._epoch_by_shard.get(shard, Epoch(0))

    def answer_heartbeat(self, heartbeat: Heartbeat, now: float) -> list[ClaimRef]:
        """Grants the promises that a heartbeat requests and returns those granted.

        The promise for a claim that is missing from the heartbeat expires
        after its duration; one that is listed as released ends at once. An
        out-of-order heartbeat, or one from an earlier incarnation of the seat,
        is ignored, because it does not show what its sender holds now.

        Args:
            heartbeat: Heartbeat of any seat, including this one.
            now: Monotonic time in seconds at which it was received.
        """
        holder = Holder(heartbeat.seat, heartbeat.incarnation)
        position = (heartbeat.incarnation, heartbeat.sequence)
        newest = self._newest_heartbeat_by_seat.get(heartbeat.seat)
        if newest and position <= newest:
            return []
        self._newest_heartbeat_by_seat[heartbeat.seat] = position
        for claim in heartbeat.released:
            self.release(claim.shard, claim.epoch, holder)
        return [
            claim
            for claim in (*heartbeat.claims, *heartbeat.probes)
            if self.grant(claim.shard, claim.epoch, holder, now).granted
        ]


class Validity:
    """Period in which a holder may act on a shard, given by a majority of promises.

    Promises extend the period only while it lasts. After a lapse another holder
    may have acted, so a lapsed validity cannot be renewed.

    Args:
        seats: Seats of the region; a majority of them must grant promises.
        duration: Duration of a promise in seconds.
        counted_from: Monotonic time in seconds; promises requested earlier do not
            count, because they may have been released.
    """

    def __init__(
        self,
        seats: Collection[SeatId],
        duration: float,
        counted_from: float = float("-inf"),
    ):
        self._seats = frozenset(seats)
        self._majority = len(self._seats) // 2 + 1
        self._duration = duration * (1 - CLOCK_RATE_ALLOWANCE)
        self._counted_from = counted_from
        self._sent_at_by_seat: dict[SeatId, float] = {}
        self._until = float("-inf")
        self._ended = False

    def record_promise(self, seat: SeatId, sent_at: float) -> None:
        """Counts a promise and extends the validity if a majority promised.

        Args:
            seat: Seat that granted the promise.
            sent_at: Monotonic time in seconds at which the holder sent the
                request, before its first byte left.
        """
        if seat not in self._seats or sent_at < self._counted_from:
            return
        if self._has_been_valid and sent_at >= self._until:
            self._ended = True
            return
        previous = self._sent_at_by_seat.get(seat, float("-inf"))
        self._sent_at_by_seat[seat] = max(previous, sent_at)
        if len(self._sent_at_by_seat) >= self._majority:
            newest = sorted(self._sent_at_by_seat.values(), reverse=True)
            self._until = newest[self._majority - 1] + self._duration

    def valid_until(self) -> float:
        """Returns the monotonic time in seconds until which the holder may act."""
        return float("-inf") if self._ended else self._until

    def is_valid(self, now: float) -> bool:
        """Returns whether the holder may act at a monotonic time in seconds.

        Call it immediately before each send.
        """
        if self._has_been_valid and now >= self._until:
            self._ended = True
        return now < self.valid_until()

    def revoke(self) -> None:
        """Ends the validity permanently."""
        self._ended = True

    def first_lease_end(
        self, wall: float, now: float, task_lease: float, clock_skew: float
    ) -> float:
        """Returns the wall clock time at which the first lease of a task start ends.

        Args:
            wall: Wall clock time in seconds, read before ``now``, so that a
                pause between the two readings shortens the lease; in the other
                order it would extend it.
            now: Monotonic time in seconds.
            task_lease: Duration of a task lease in seconds.
            clock_skew: Largest difference between two wall clocks in seconds.
        """
        remaining = self.valid_until() - now
        return wall + min(task_lease, remaining) - clock_skew

    @property
    def _has_been_valid(self) -> bool:
        return self._until > float("-inf")
