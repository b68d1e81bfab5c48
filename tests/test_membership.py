"""Tests of the liveness and ranking of members."""

from arbutusladder.membership import Membership
from arbutusladder.messages import Heartbeat
from arbutusladder.settings import Seat
from arbutusladder.states import EntryState

SEATS = [
    Seat(name=f"s{i}", address="", region="r" if i < 6 else "q", failure_domain=d)
    for i, d in enumerate(["d0", "d1", "d2"] * 3)
]


def new_heartbeat(seat, sequence, incarnation=1, state=EntryState.READY):
    return Heartbeat(seat, f"vm-{seat}", incarnation, sequence, state, 4)


def new_membership():
    return Membership(SEATS, "r", "s0", 3.0)


class TestLiveness:
    """Guards against stopped members that count as live and out-of-order heartbeats."""

    def test_member_without_heartbeats_is_not_live(self):
        membership = new_membership()
        membership.record_heartbeat(new_heartbeat("s1", 1), 10.0)
        assert membership.is_live("s1", 12.9)
        assert not membership.is_live("s1", 13.0)

    def test_late_heartbeats_and_earlier_incarnations_are_not_new(self):
        membership = new_membership()
        assert membership.record_heartbeat(new_heartbeat("s1", 5, incarnation=2), 10.0)
        assert not membership.record_heartbeat(
            new_heartbeat("s1", 4, incarnation=2), 10.1
        )
        assert not membership.record_heartbeat(
            new_heartbeat("s1", 9, incarnation=1), 10.2
        )
        assert not membership.record_heartbeat(new_heartbeat("unknown", 1), 10.3)
        assert membership.record_heartbeat(new_heartbeat("s1", 1, incarnation=3), 10.4)

    def test_live_duration_restarts_after_silence_or_restart(self):
        membership = new_membership()
        for sequence in range(5):
            membership.record_heartbeat(new_heartbeat("s1", sequence), 10.0 + sequence)
        assert membership.ready_duration("s1", 14.0) == 4.0
        membership.record_heartbeat(new_heartbeat("s1", 0, incarnation=2), 14.0)
        assert membership.ready_duration("s1", 15.0) == 1.0
        membership.record_heartbeat(new_heartbeat("s1", 1, incarnation=2), 30.0)
        assert membership.ready_duration("s1", 30.5) == 0.5


class TestRanking:
    """Guards against seats that disagree on which of them claims a shard."""

    def test_ranks_ready_seats_of_the_region_with_the_domain_first(self):
        membership = new_membership()
        for number, seat in enumerate(SEATS):
            state = EntryState.DRAINING if number == 3 else EntryState.READY
            membership.record_heartbeat(new_heartbeat(seat.name, 1, state=state), 10.0)
        ranked = membership.ranked_seats("d0-0", "d0", 11.0)
        assert ranked[0] == "s0"
        assert sorted(ranked) == ["s0", "s1", "s2", "s4", "s5"]

    def test_order_of_other_seats_stays_when_a_seat_is_lost(self):
        membership = new_membership()
        for number in range(6):
            membership.record_heartbeat(new_heartbeat(f"s{number}", 1), 10.0)
        before = membership.ranked_seats("d1-0", "d1", 10.5)
        for number in range(6):
            if f"s{number}" != before[0]:
                membership.record_heartbeat(new_heartbeat(f"s{number}", 2), 13.0)
        assert membership.ranked_seats("d1-0", "d1", 13.5) == before[1:]
