"""Members of all regions by seat: their liveness, and their ranking for each shard.

`Membership` owns the newest heartbeat data of each seat, in memory only.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from arbutusladder.ids import SeatId, ShardId, VmId
from arbutusladder.messages import Heartbeat
from arbutusladder.settings import Seat
from arbutusladder.states import EntryState


@dataclass
class Member:
    """Newest known state of the process in a seat.

    Attributes:
        seat: The seat.
        vm: VM of the process.
        incarnation: Start time of the process in microseconds.
        sequence: Sequence number of its newest heartbeat.
        state: State that it reported.
        config_revision: Configuration revision in its newest heartbeat.
        live_since: Monotonic time in seconds at which it last became live.
        last_heartbeat_at: Monotonic time in seconds of its newest heartbeat.
    """

    seat: SeatId
    vm: VmId
    incarnation: int
    sequence: int
    state: EntryState
    config_revision: int
    live_since: float
    last_heartbeat_at: float


class Membership:
    """Members of all regions, tracked by their heartbeats.

    Args:
        seats: Seats of all regions.
        region: Region of this entry VM.
        own_seat: Seat of this entry VM, whose own heartbeats are recorded as well.
        liveness_timeout: Seconds without a heartbeat after which a member is not live.
    """

    def __init__(
        self,
        seats: Iterable[Seat],
        region: str,
        own_seat: SeatId,
        liveness_timeout: float,
    ):
        self.seat_by_id = {SeatId(seat.name): seat for seat in seats}
        self.own_seat = own_seat
        self.member_by_seat: dict[SeatId, Member] = {}
        self._region = region
        self._liveness_timeout = liveness_timeout

    @property
    def region_seats(self) -> list[SeatId]:
        """Seats of this entry VM's region."""
        seats = self.seat_by_id.items()
        return [seat_id for seat_id, seat in seats if seat.region == self._region]

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Records a heartbeat.

        Returns:
            Whether it is new. Heartbeats that arrive out of order, or come from an
            earlier incarnation or an unknown seat, are ignored.
        """
        if heartbeat.seat not in self.seat_by_id:
            return False
        member = self.member_by_seat.get(heartbeat.seat)
        position = (heartbeat.incarnation, heartbeat.sequence)
        if member and position <= (member.incarnation, member.sequence):
            return False
        restarted = not member or member.incarnation != heartbeat.incarnation
        is_new_member = restarted or not self._is_recent(member, now)
        self.member_by_seat[heartbeat.seat] = Member(
            seat=heartbeat.seat,
            vm=heartbeat.vm,
            incarnation=heartbeat.incarnation,
            sequence=heartbeat.sequence,
            state=heartbeat.state,
            config_revision=heartbeat.config_revision,
            live_since=now if is_new_member else member.live_since,
            last_heartbeat_at=now,
        )
        return True

    def is_live(self, seat: SeatId, now: float) -> bool:
        """Returns whether the process in a seat is live."""
        member = self.member_by_seat.get(seat)
        return member is not None and self._is_recent(member, now)

    def live_members(self, now: float) -> list[Member]:
        """Returns the live members of all regions."""
        members = self.member_by_seat.values()
        return [member for member in members if self._is_recent(member, now)]

    def ready_duration(self, seat: SeatId, now: float) -> float:
        """Returns for how many seconds a ready seat has been live; 0 if not ready."""
        member = self.member_by_seat.get(seat)
        if not member or not self._is_recent(member, now):
            return 0.0
        is_ready = member.state is EntryState.READY
        return now - member.live_since if is_ready else 0.0

    def eligible_seats(self, now: float) -> list[SeatId]:
        """Returns the live and ready seats of the region, which may own shards."""
        return [
            member.seat
            for member in self.live_members(now)
            if member.state is EntryState.READY
            and self.seat_by_id[member.seat].region == self._region
        ]

    def ranked_seats(self, shard: ShardId, domain: str, now: float) -> list[SeatId]:
        """Returns the eligible owners of a shard, the preferred seat first.

        Args:
            shard: The shard.
            domain: Failure domain of the shard.
            now: Monotonic time in seconds.
        """
        return rank_seats(shard, domain, self.eligible_seats(now), self.seat_by_id)

    def newest_revision(self) -> int:
        """Returns the newest configuration revision that any member reported."""
        members = self.member_by_seat.values()
        return max((member.config_revision for member in members), default=0)

    def _is_recent(self, member: Member, now: float) -> bool:
        return now - member.last_heartbeat_at < self._liveness_timeout


def rank_seats(
    shard: ShardId,
    domain: str,
    seats: Iterable[SeatId],
    seat_by_id: dict[SeatId, Seat],
) -> list[SeatId]:
    """Orders seats by rendezvous hash, with seats in the failure domain first."""

    def sort_key(seat: SeatId) -> tuple[bool, int]:
        hash_value = xxhash.xxh64_intdigest(f"{shard}|{seat}".encode())
        return seat_by_id[seat].failure_domain != domain, -hash_value

    return sorted(seats, key=sort_key)
