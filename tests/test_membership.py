"""Tests of members and ranks."""

from arbutusladder.membership import Membership
from arbutusladder.messages import Heartbeat
from arbutusladder.settings import Seat
from arbutusladder.states import EntryState

SEATS = [
    Seat(name=f"s{i}", address="", region="r" if i < 6 else "q", failure_domain=d)
    for i, d in enumerate(["d0", "d1", "d2"] * 3)
]


def beat(seat, sequence, incarnation=1, state=EntryState.READY):
    return Heartbeat(seat, f"vm-{seat}", incarnation, sequence, state, 4)


def members():
    return Membership(SEATS, "r", "s0", 3.0)


class TestLiveness:
    """Guards against dead members that look live, and late heartbeats."""

    def test_silence_ends_liveness(self):
        known = members()
        known.record_heartbeat(beat("s1", 1), 10.0)
        assert known.is_live("s1", 12.9)
        assert not known.is_live("s1", 13.0)

    def test_late_heartbeats_and_earlier_incarnations_are_not_new(self):
        known = members()
        assert known.record_heartbeat(beat("s1", 5, incarnation=2), 10.0)
        assert not known.record_heartbeat(beat("s1", 4, incarnation=2), 10.1)
        assert not known.record_heartbeat(beat("s1", 9, incarnation=1), 10.2)
        assert not known.record_heartbeat(beat("unknown", 1), 10.3)
        assert known.record_heartbeat(beat("s1", 1, incarnation=3), 10.4)

    def test_time_live_starts_again_after_silence_or_restart(self):
        known = members()
        for sequence in range(5):
            known.record_heartbeat(beat("s1", sequence), 10.0 + sequence)
        assert known.ready_duration("s1", 14.0) == 4.0
        known.record_heartbeat(beat("s1", 0, incarnation=2), 14.0)
        assert known.ready_duration("s1", 15.0) == 1.0
        known.record_heartbeat(beat("s1", 1, incarnation=2), 30.0)
        assert known.ready_duration("s1", 30.5) == 0.5


class TestRanks:
    """Guards against seats that disagree on who claims a shard."""

    def test_own_domain_first_and_only_ready_seats_of_the_region(self):
        known = members()
        for number, seat in enumerate(SEATS):
            state = EntryState.DRAINING if number == 3 else EntryState.READY
            known.record_heartbeat(beat(seat.name, 1, state=state), 10.0)
        ranked = known.ranked_seats("d0-0", "d0", 11.0)
        assert ranked[0] == "s0"
        assert sorted(ranked) == ["s0", "s1", "s2", "s4", "s5"]

    def test_rank_changes_little_when_a_seat_is_lost(self):
        known = members()
        for number in range(6):
            known.record_heartbeat(beat(f"s{number}", 1), 10.0)
        before = known.ranked_seats("d1-0", "d1", 10.5)
        for number in range(6):
            if f"s{number}" != before[0]:
                known.record_heartbeat(beat(f"s{number}", 2), 13.0)
        assert known.ranked_seats("d1-0", "d1", 13.5) == before[1:]
