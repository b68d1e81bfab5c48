"""Tests of promises and of the validity that they give."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from arbutusladder.messages import ClaimRecord, ClaimRef, Heartbeat
from arbutusladder.promises import ClaimTable, Holder, PromiseTable, Validity
from arbutusladder.states import EntryState

A, B = Holder("a", 1), Holder("b", 1)
SEATS = ["a", "b", "c", "d", "e"]


def heartbeat(holder, sequence, **claims):
    refs = {name: [ClaimRef(*ref) for ref in refs] for name, refs in claims.items()}
    return Heartbeat(
        holder.seat, "vm", holder.incarnation, sequence, EntryState.READY, 0, **refs
    )


class TestPromiseBook:
    """Guards against two holders with a promise of one seat."""

    def test_nothing_is_granted_for_one_duration_after_start(self):
        book = PromiseTable(100.0, 3.0)
        assert not book.grant("s", 1, A, 102.9).granted
        assert book.grant("s", 1, A, 103.0).granted

    def test_other_holder_waits_for_the_end(self):
        book = PromiseTable(0.0, 3.0)
        assert book.grant("s", 1, A, 10.0).granted
        assert not book.grant("s", 2, B, 12.9).granted
        assert book.grant("s", 2, B, 13.0).granted

    def test_next_process_in_the_seat_is_another_holder(self):
        book = PromiseTable(0.0, 3.0)
        book.grant("s", 1, A, 10.0)
        assert not book.grant("s", 2, Holder("a", 2), 11.0).granted

    def test_earlier_epoch_is_refused(self):
        book = PromiseTable(0.0, 3.0)
        book.observe_epoch("s", 5)
        answer = book.grant("s", 4, A, 10.0)
        assert not answer.granted
        assert "epoch 5" in answer.detail

    def test_release_ends_only_the_released_epoch(self):
        book = PromiseTable(0.0, 3.0)
        book.answer_heartbeat(heartbeat(A, 1, claims=[("s", 2)]), 10.0)
        book.answer_heartbeat(heartbeat(A, 2, released=[("s", 1)]), 10.1)
        assert not book.grant("s", 3, B, 10.2).granted
        book.answer_heartbeat(heartbeat(A, 3, released=[("s", 2)]), 10.3)
        assert book.grant("s", 3, B, 10.4).granted

    def test_missing_claim_is_no_release(self):
        book = PromiseTable(0.0, 3.0)
        book.answer_heartbeat(heartbeat(A, 1, claims=[("s", 1)]), 10.0)
        book.answer_heartbeat(heartbeat(A, 2), 10.5)
        assert not book.grant("s", 2, B, 11.0).granted

    def test_late_heartbeat_is_ignored(self):
        book = PromiseTable(0.0, 3.0)
        book.answer_heartbeat(heartbeat(A, 5, claims=[("s", 1)]), 10.0)
        late = heartbeat(A, 4, released=[("s", 1)], claims=[("t", 1)])
        assert book.answer_heartbeat(late, 10.1) == []
        assert not book.grant("s", 2, B, 10.2).granted

    @settings(derandomize=True, max_examples=300)
    @given(
        st.lists(
            st.tuples(
                st.floats(0, 2),
                st.integers(1, 4),
                st.sampled_from([A, B, Holder("a", 2)]),
            ),
            max_size=30,
        )
    )
    def test_one_holder_at_a_time_and_epochs_never_fall(self, requests):
        book = PromiseTable(0.0, 3.0)
        now, granted = 0.0, []
        for wait, epoch, holder in requests:
            now += wait
            if book.grant("s", epoch, holder, now).granted:
                others = [at for at, _, other in granted if other != holder]
                assert all(now >= at + 3.0 for at in others)
                assert all(epoch >= known for _, known, _ in granted)
                granted.append((now, epoch, holder))


class TestValidity:
    """Guards against a holder that acts longer than its promises last."""

    def test_majority_counts_from_the_send(self):
        validity = Validity(SEATS, 3.0)
        for seat, sent_at in (("a", 10.0), ("b", 11.0)):
            validity.record_promise(seat, sent_at)
        assert not validity.is_valid(11.5)
        validity.record_promise("c", 12.0)
        assert validity.valid_until() == pytest.approx(13.0, abs=0.01)
        assert validity.valid_until() <= 13.0

    def test_unknown_seats_and_copies_do_not_count(self):
        validity = Validity(SEATS, 3.0)
        for seat in ("a", "a", "x", "y"):
            validity.record_promise(seat, 10.0)
        assert not validity.is_valid(10.1)

    def test_lapse_is_final(self):
        validity = Validity(SEATS, 3.0)
        for seat in SEATS:
            validity.record_promise(seat, 10.0)
        for seat in SEATS:
            validity.record_promise(seat, 13.5)
        assert not validity.is_valid(13.6)

    def test_end_is_final(self):
        validity = Validity(SEATS, 3.0)
        for seat in SEATS:
            validity.record_promise(seat, 10.0)
        validity.revoke()
        validity.record_promise("a", 10.5)
        assert not validity.is_valid(10.6)

    def test_requests_of_an_earlier_phase_do_not_count(self):
        validity = Validity(SEATS, 3.0, counted_from=10.0)
        for seat in SEATS:
            validity.record_promise(seat, 9.9)
        assert not validity.is_valid(10.1)

    @settings(derandomize=True, max_examples=300)
    @given(st.floats(-0.25, 0.25), st.floats(0, 4), st.floats(0, 5), st.floats(1, 60))
    def test_late_start_has_an_expired_lease(self, skew, sent, late, task_lease):
        """The worker's clock differs by ``skew``; the start arrives ``late``."""
        validity = Validity(["a"], 3.0)
        validity.record_promise("a", 0.0)
        wall = 1000.0 + sent
        end = validity.first_lease_end(wall, sent, task_lease, 0.25)
        arrives = sent + late
        if 1000.0 + arrives + skew < end:
            assert arrives < validity.valid_until()


class TestClaimFold:
    """Guards against two winners of an epoch and epochs that fall."""

    def test_first_claim_wins_also_after_copies(self):
        claims = ClaimTable()
        assert claims.apply(ClaimRecord("s", 1, "a", 1))
        assert not claims.apply(ClaimRecord("s", 1, "b", 1))
        assert not claims.apply(ClaimRecord("s", 1, "a", 1))
        assert claims.newest("s").holder == A

    def test_epoch_from_a_heartbeat_outlives_its_claim(self):
        claims = ClaimTable()
        claims.observe_epoch("s", 7, B)
        assert not claims.apply(ClaimRecord("s", 6, "a", 1))
        assert not claims.apply(ClaimRecord("s", 7, "a", 1))
        assert claims.newest("s").holder == B
