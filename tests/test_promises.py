"""Tests of promises, validity and the table of claims."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from arbutusladder.messages import ClaimRecord, ClaimRef, Heartbeat
from arbutusladder.promises import ClaimTable, Holder, PromiseTable, Validity
from arbutusladder.states import EntryState

HOLDER_A, HOLDER_B = Holder("a", 1), Holder("b", 1)
SEATS = ["a", "b", "c", "d", "e"]


def heartbeat(holder, sequence, **claims):
    refs = {name: [ClaimRef(*ref) for ref in refs] for name, refs in claims.items()}
    return Heartbeat(
        holder.seat, "vm", holder.incarnation, sequence, EntryState.READY, 0, **refs
    )


class TestPromiseTable:
    """Guards against a seat that promises one shard to two holders."""

    def test_nothing_is_granted_for_one_duration_after_start(self):
        promises = PromiseTable(100.0, 3.0)
        assert not promises.grant("s", 1, HOLDER_A, 102.9).granted
        assert promises.grant("s", 1, HOLDER_A, 103.0).granted

    def test_other_holder_is_refused_until_the_promise_ends(self):
        promises = PromiseTable(0.0, 3.0)
        assert promises.grant("s", 1, HOLDER_A, 10.0).granted
        assert not promises.grant("s", 2, HOLDER_B, 12.9).granted
        assert promises.grant("s", 2, HOLDER_B, 13.0).granted

    def test_next_process_in_the_seat_is_another_holder(self):
        promises = PromiseTable(0.0, 3.0)
        promises.grant("s", 1, HOLDER_A, 10.0)
        assert not promises.grant("s", 2, Holder("a", 2), 11.0).granted

    def test_earlier_epoch_is_refused(self):
        promises = PromiseTable(0.0, 3.0)
        promises.observe_epoch("s", 5)
        answer = promises.grant("s", 4, HOLDER_A, 10.0)
        assert not answer.granted
        assert "epoch 5" in answer.detail

    def test_release_ends_only_the_released_epoch(self):
        promises = PromiseTable(0.0, 3.0)
        promises.answer_heartbeat(heartbeat(HOLDER_A, 1, claims=[("s", 2)]), 10.0)
        promises.answer_heartbeat(heartbeat(HOLDER_A, 2, released=[("s", 1)]), 10.1)
        assert not promises.grant("s", 3, HOLDER_B, 10.2).granted
        promises.answer_heartbeat(heartbeat(HOLDER_A, 3, released=[("s", 2)]), 10.3)
        assert promises.grant("s", 3, HOLDER_B, 10.4).granted

    def test_missing_claim_does_not_release_the_promise(self):
        promises = PromiseTable(0.0, 3.0)
        promises.answer_heartbeat(heartbeat(HOLDER_A, 1, claims=[("s", 1)]), 10.0)
        promises.answer_heartbeat(heartbeat(HOLDER_A, 2), 10.5)
        assert not promises.grant("s", 2, HOLDER_B, 11.0).granted

    def test_late_heartbeat_is_ignored(self):
        promises = PromiseTable(0.0, 3.0)
        promises.answer_heartbeat(heartbeat(HOLDER_A, 5, claims=[("s", 1)]), 10.0)
        late_heartbeat = heartbeat(HOLDER_A, 4, released=[("s", 1)], claims=[("t", 1)])
        assert promises.answer_heartbeat(late_heartbeat, 10.1) == []
        assert not promises.grant("s", 2, HOLDER_B, 10.2).granted

    @settings(derandomize=True, max_examples=300)
    @given(
        st.lists(
            st.tuples(
                st.floats(0, 2),
                st.integers(1, 4),
                st.sampled_from([HOLDER_A, HOLDER_B, Holder("a", 2)]),
            ),
            max_size=30,
        )
    )
    def test_one_holder_at_a_time_and_epochs_never_decrease(self, requests):
        promises = PromiseTable(0.0, 3.0)
        now, granted = 0.0, []
        for elapsed, epoch, holder in requests:
            now += elapsed
            if promises.grant("s", epoch, holder, now).granted:
                others = [
                    granted_at for granted_at, _, other in granted if other != holder
                ]
                assert all(now >= granted_at + 3.0 for granted_at in others)
                assert all(epoch >= earlier for _, earlier, _ in granted)
                granted.append((now, epoch, holder))


class TestValidity:
    """Guards against a holder that acts after its promises expired."""

    def test_validity_starts_when_the_majority_request_was_sent(self):
        validity = Validity(SEATS, 3.0)
        for seat, sent_at in (("a", 10.0), ("b", 11.0)):
            validity.record_promise(seat, sent_at)
        assert not validity.is_valid(11.5)
        validity.record_promise("c", 12.0)
        assert validity.valid_until() == pytest.approx(13.0, abs=0.01)
        assert validity.valid_until() <= 13.0

    def test_unknown_seats_and_duplicates_do_not_count(self):
        validity = Validity(SEATS, 3.0)
        for seat in ("a", "a", "x", "y"):
            validity.record_promise(seat, 10.0)
        assert not validity.is_valid(10.1)

    def test_lapsed_validity_is_not_renewed(self):
        validity = Validity(SEATS, 3.0)
        for seat in SEATS:
            validity.record_promise(seat, 10.0)
        for seat in SEATS:
            validity.record_promise(seat, 13.5)
        assert not validity.is_valid(13.6)

    def test_revoked_validity_is_not_renewed(self):
        validity = Validity(SEATS, 3.0)
        for seat in SEATS:
            validity.record_promise(seat, 10.0)
        validity.revoke()
        validity.record_promise("a", 10.5)
        assert not validity.is_valid(10.6)

    def test_earlier_requests_do_not_count(self):
        validity = Validity(SEATS, 3.0, counted_from=10.0)
        for seat in SEATS:
            validity.record_promise(seat, 9.9)
        assert not validity.is_valid(10.1)

    @settings(derandomize=True, max_examples=300)
    @given(st.floats(-0.25, 0.25), st.floats(0, 4), st.floats(0, 5), st.floats(1, 60))
    def test_late_start_has_an_expired_lease(
        self, skew, sent, late_heartbeat, task_lease
    ):
        """A start that a worker accepts arrives before the sender's validity ends.

        The worker's clock differs by ``skew`` and the start is delayed.
        """
        validity = Validity(["a"], 3.0)
        validity.record_promise("a", 0.0)
        wall = 1000.0 + sent
        end = validity.first_lease_end(wall, sent, task_lease, 0.25)
        arrives = sent + late_heartbeat
        if 1000.0 + arrives + skew < end:
            assert arrives < validity.valid_until()


class TestClaimTable:
    """Guards against two winners of an epoch and epochs that decrease."""

    def test_first_claim_wins_despite_duplicates(self):
        claims = ClaimTable()
        assert claims.apply(ClaimRecord("s", 1, "a", 1))
        assert not claims.apply(ClaimRecord("s", 1, "b", 1))
        assert not claims.apply(ClaimRecord("s", 1, "a", 1))
        assert claims.newest("s").holder == HOLDER_A

    def test_epoch_from_a_heartbeat_refuses_older_claims(self):
        claims = ClaimTable()
        claims.observe_epoch("s", 7, HOLDER_B)
        assert not claims.apply(ClaimRecord("s", 6, "a", 1))
        assert not claims.apply(ClaimRecord("s", 7, "a", 1))
        assert claims.newest("s").holder == HOLDER_B
