"""Workers as their owner sees them."""

import pytest

from arbutusladder.cell.states import EndKind, RunPhase
from arbutusladder.cell.workers import FAILURES_BEFORE_TRIAL, Run, Worker
from arbutusladder.messages import Resources
from tests.cell import workloads

NOW = 50.0


def worker():
    """Returns a worker that has answered."""
    found = Worker.create(workloads.workers()[0])
    found.record_answer(10.0, NOW)
    return found


def run(held, number, phase=RunPhase.RUNNING):
    """Attaches a run to a worker."""
    made = Run(
        f"{workloads.job_id(number)}.0.0.0",
        1,
        workloads.job_id(number),
        "",
        0,
        held.entry.vm,
        Resources(1.0, 10.0),
        phase,
        NOW,
    )
    held.attach(made)
    return made


class TestTrial:
    """A worker that failed several jobs gets one task at a time."""

    @pytest.mark.parametrize("how", list(EndKind))
    def test_trial_is_over_however_its_run_ends(self, how):
        """Guards against a worker that stays closed after its trial was stopped."""
        held = worker()
        for number in range(FAILURES_BEFORE_TRIAL):
            failed = run(held, number)
            held.detach(failed)
            held.note_failure(failed, NOW)
        trial = run(held, 9)
        held.trial = trial.task
        assert not held.open(NOW + 60)
        held.detach(trial)
        assert held.open(NOW + 60)


class TestLease:
    """Times on a clock that may be 2 % slow."""

    def test_lease_counts_until_the_slowest_clock_has_reached_its_end(self):
        """Guards against a second run while the first one's lease goes on."""
        held = worker()
        until = held.grant_lease(NOW, 5.0)
        assert until == pytest.approx(15.0)
        assert not held.lapsed(NOW + 5.0 * 1.02)
        assert held.lapsed(NOW + 5.0 * 1.02 + 0.3)

    def test_lease_is_counted_from_the_last_clock_that_was_heard(self):
        """Guards against an end that is computed from a clock heard later."""
        held = worker()
        held.grant_lease(NOW, 5.0)
        held.record_answer(11.0, NOW + 1.0)
        held.grant_lease(NOW + 1.0, 1.0)
        assert not held.lapsed(NOW + 5.0)


class TestSpeed:
    """Workers that are slower than estimated."""

    def test_worker_without_progress_is_closed_and_tried_again(self):
        """Guards against a stalled worker that is never used again."""
        held = worker()
        stalled = run(held, 1)
        stalled.looked_at = stalled.moved_at = NOW
        for step in range(1, 6):
            held.look(stalled, 0.0, 1.0, NOW + step * 0.5)
        assert held.speed.stalled(NOW + 2.5)
        assert held.stands_still(stalled, NOW + 2.5)
        assert not held.speed.slow(NOW + 6.0)


class TestSilentWorker:
    """A worker that does not answer any more."""

    def test_lease_ends_although_renewals_are_still_sent(self):
        """Guards against tasks that are never placed again after a worker is gone."""
        held = worker()
        held.grant_lease(NOW, 5.0)
        held.record_missed_renewal(NOW + 1.0)
        for second in range(1, 8):
            assert held.grant_lease(NOW + second, 5.0) is None
        assert held.lapsed(NOW + 5.0 * 1.02 + 0.3)
