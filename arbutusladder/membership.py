"""Members of the cell by seat, their liveness and their ranks by shard."""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from arbutusladder.ids import SeatId, ShardId, VmId
from arbutusladder.messages import Heartbeat
from arbutusladder.settings import Seat
from arbutusladder.states import EntryState


@dataclass
class Member:
    """What is known of the process in a seat.

    Attributes:
        seat: The seat.
        vm: VM of the process.
        incarnation: Start time of the process in microseconds.
        sequence: Sequence number of its newest heartbeat.
        state: State that it reported.
        config_revision: Newest configuration revision that it reported.
        live_since: Monotonic time in seconds of its first heartbeat after it
            was not live.
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
    """Members by seat.

    Args:
        seats: Seats of all regions.
        region: Region of this entry VM.
        own_seat: Seat of this entry VM; deliver its own heartbeats as well.
        liveness_timeout: Seconds after its newest heartbeat that a member is live.
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
        """Takes in a heartbeat.

        Returns:
            Whether it is new; one that arrives late, or comes from an earlier
            incarnation or an unknown seat, is not.
        """
        if heartbeat.seat not in self.seat_by_id:
            return False
        known = self.member_by_seat.get(heartbeat.seat)
        mark = (heartbeat.incarnation, heartbeat.sequence)
        if known and mark <= (known.incarnation, known.sequence):
            return False
        restarted = not known or known.incarnation != heartbeat.incarnation
        joined = restarted or not self._is_recent(known, now)
        self.member_by_seat[heartbeat.seat] = Member(
            seat=heartbeat.seat,
            vm=heartbeat.vm,
            incarnation=heartbeat.incarnation,
            sequence=heartbeat.sequence,
            state=heartbeat.state,
            config_revision=heartbeat.config_revision,
            live_since=now if joined else known.live_since,
            last_heartbeat_at=now,
        )
        return True

    def is_live(self, seat: SeatId, now: float) -> bool:
        """Returns whether a seat's process was heard recently."""
        member = self.member_by_seat.get(seat)
        return member is not None and self._is_recent(member, now)

    def live_members(self, now: float) -> list[Member]:
        """Returns the live members of all regions."""
        members = self.member_by_seat.values()
        return [member for member in members if self._is_recent(member, now)]

    def ready_duration(self, seat: SeatId, now: float) -> float:
        """Returns for how many seconds a seat has been live, if it is ready."""
        member = self.member_by_seat.get(seat)
        if not member or not self._is_recent(member, now):
            return 0.0
        ready = member.state is EntryState.READY
        return now - member.live_since if ready else 0.0

    def eligible_seats(self, now: float) -> list[SeatId]:
        """Returns the region's seats that may own shards."""
        return [
            member.seat
            for member in self.live_members(now)
            if member.state is EntryState.READY
            and self.seat_by_id[member.seat].region == self._region
        ]

    def ranked_seats(self, shard: ShardId, domain: str, now: float) -> list[SeatId]:
        """Returns the seats that may own a shard, the preferred one first.

        Args:
            shard: The shard.
            domain: Failure domain of the shard.
            now: Monotonic time in seconds.
        """
        return rank_seats(shard, domain, self.eligible_seats(now), self.seat_by_id)

    def newest_revision(self) -> int:
        """Returns the newest configuration revision that a member reported."""
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
    """Orders seats by rendezvous hash, seats in the failure domain first."""

    def key(seat: SeatId) -> tuple[bool, int]:
        weight = xxhash.xxh64_intdigest(f"{shard}|{seat}".encode())
        return seat_by_id[seat].failure_domain != domain, -weight

    return sorted(seats, key=key)
