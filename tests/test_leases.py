"""Tests of task leases and worker states with injected time."""

from hypothesis import given
from hypothesis import strategies as st

from arbutusladder.leases import (
    MIN_FIRST_LEASE_S,
    BlockedTasks,
    LeaseTable,
    LeaseTerms,
    WorkerState,
    previous_leases_end,
)
from arbutusladder.messages import Resources, VmRecord
from arbutusladder.states import VmKind, VmState

TERMS = LeaseTerms(duration=30.0, clock_skew=0.25)
NOW, WALL = 1000.0, 5000.0
SKEWS = st.floats(-0.25, 0.25)


class TestFirstLease:
    """Guards against a delayed start that takes effect under another owner."""

    @given(validity=st.floats(0.0, 60.0), skew=SKEWS)
    def test_ends_within_the_validity_on_every_clock_within_the_skew(
        self, validity, skew
    ):
        table = LeaseTable(TERMS)
        expiry = table.grant_first_lease("j/0", "w", NOW, WALL, NOW + validity)
        if expiry is None:
            assert validity < MIN_FIRST_LEASE_S + TERMS.clock_skew
            return
        worker_wall_at_end = WALL + validity + skew
        assert expiry <= worker_wall_at_end + 1e-9

    def test_nothing_is_granted_without_validity(self):
        table = LeaseTable(TERMS)
        assert table.grant_first_lease("j/0", "w", NOW, WALL, NOW - 1) is None
        assert table.get("j/0") is None


class TestRenewal:
    """Guards against tasks that stop because of a late renewal."""

    def test_is_due_after_a_third_of_the_lease(self):
        table = LeaseTable(TERMS)
        table.grant_first_lease("j/0", "w", NOW, WALL, NOW + 3.25)
        table.confirm("j/0")
        assert table.renew_due_leases("w", NOW + 0.9, WALL + 0.9) == []
        assert table.renew_due_leases("w", NOW + 1.1, WALL + 1.1) == [
            ("j/0", WALL + 31.1)
        ]
        assert table.next_renewal("w") == NOW + 11.1

    def test_unconfirmed_and_stopping_tasks_are_not_renewed(self):
        table = LeaseTable(TERMS)
        for task in ("sent/0", "stop/0"):
            table.grant_first_lease(task, "w", NOW, WALL, NOW + 3)
        table.confirm("stop/0")
        table.disable_renewal("stop/0")
        assert table.renew_due_leases("w", NOW + 100, WALL) == []

    @given(skew=SKEWS, wait=st.floats(0.0, 30.0))
    def test_lease_has_expired_at_the_safe_restart_time(self, skew, wait):
        table = LeaseTable(TERMS)
        table.adopt("j/0", "w", NOW + 1, NOW)
        ((_, expiry),) = table.renew_due_leases("w", NOW + wait, WALL + wait)
        worker_wall = WALL + skew + (table.safe_restart_at("j/0") - NOW)
        assert worker_wall >= expiry - 1e-9


class TestTakeover:
    """Guards against a start while tasks of the previous owner may still run."""

    @given(skew=SKEWS, validity_left=st.floats(0.0, 3.0))
    def test_wait_covers_the_last_renewal_of_the_previous_owner(
        self, skew, validity_left
    ):
        until = previous_leases_end(WALL + validity_left, WALL, NOW, TERMS)
        last_renewal = WALL + validity_left + skew + TERMS.duration
        assert WALL + (until - NOW) >= last_renewal - 1e-9


class TestBlockedTasks:
    """Guards against a block that is shortened or lost."""

    def test_earlier_time_does_not_shorten_a_block(self):
        blocked = BlockedTasks()
        blocked.block("j/0", 10.0)
        blocked.block("j/0", 5.0)
        assert blocked.pop_expired(9.0) == []
        assert blocked.pop_expired(10.0) == ["j/0"]
        assert blocked.pop_expired(20.0) == []

    def test_unblocked_task_does_not_expire(self):
        blocked = BlockedTasks()
        blocked.block("j/0", 10.0)
        blocked.unblock("j/0")
        assert blocked.pop_expired(20.0) == []


class TestWorkerState:
    """Guards against reservations that are counted twice or not released."""

    def test_release_returns_exactly_what_was_reserved(self):
        record = VmRecord(
            "w", VmKind.WORKER, "a", "r", "d", VmState.LIVE, resources=Resources(2, 10)
        )
        worker = WorkerState(record)
        worker.reserve("j/0", Resources(1, 5))
        worker.reserve("j/0", Resources(2, 5))
        assert not worker.has_room(Resources(0.5, 0))
        worker.release("j/0")
        worker.release("j/0")
        assert worker.reserved == Resources()

    def test_throttled_task_frees_cores_and_resumes_only_when_they_are_free(self):
        worker = WorkerState(
            VmRecord(
                "w", VmKind.WORKER, "", "r", "d", VmState.LIVE, resources=Resources(2)
            )
        )
        worker.reserve("j/0", Resources(2))
        worker.throttle("j/0", 0.5)
        worker.reserve("k/0", Resources(1.5))
        assert not worker.resume("j/0")
        worker.release("k/0")
        assert worker.resume("j/0")
        assert worker.reserved == Resources(2)
