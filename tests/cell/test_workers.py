"""Tests of workers in the owner's state."""

import pytest

from arbutusladder.cell.performance.speed import STALL_TIMEOUT_S
from arbutusladder.cell.runs import Run
from arbutusladder.cell.states import EndKind, RunPhase
from arbutusladder.cell.workers import (
    FAILURES_BEFORE_TRIAL,
    PROVING_S,
    Worker,
)
from arbutusladder.messages import Resources
from tests.cell import workloads

NOW = 50.0


def make_worker():
    """Returns a worker that has answered."""
    worker = Worker.create(workloads.workers()[0])
    worker.record_answer(10.0, NOW)
    return worker


def add_run(worker, number, phase=RunPhase.RUNNING):
    """Adds a run to a worker and returns it."""
    run = Run(
        f"{workloads.job_id(number)}.0.0.0",
        1,
        workloads.job_id(number),
        "",
        0,
        worker.entry.vm,
        Resources(1.0, 10.0),
        phase,
        NOW,
    )
    worker.add_run(run)
    return run


def make_worker_on_trial():
    """Returns a worker on trial and the run of its trial task."""
    worker = make_worker()
    for number in range(FAILURES_BEFORE_TRIAL):
        failed = add_run(worker, number)
        worker.remove_run(failed)
        worker.record_failure(failed, NOW)
    trial = add_run(worker, 9)
    worker.trial_task = trial.task
    return worker, trial


class TestTrial:
    """A worker with failed runs of several jobs gets one task at a time."""

    @pytest.mark.parametrize("how", list(EndKind))
    def test_trial_ends_with_its_run(self, how):
        """Guards against a worker that gets no tasks after a stopped trial."""
        worker, trial = make_worker_on_trial()
        assert not worker.accepts_tasks(NOW + 60)
        worker.remove_run(trial)
        assert worker.accepts_tasks(NOW + 60)


class TestTrialOfTasksThatLast:
    """Pattern: tasks that last, and never end as done, fail now and then."""

    def test_trial_ends_while_its_task_runs(self):
        """Guards against a worker that is closed to all other tasks for good."""
        worker, trial = make_worker_on_trial()
        worker.record_running(trial, True, NOW + PROVING_S - 0.1)
        assert not worker.accepts_tasks(NOW + PROVING_S)
        worker.record_running(trial, True, NOW + PROVING_S)
        assert worker.accepts_tasks(NOW + PROVING_S)
        assert not worker.on_trial

    def test_long_trial_makes_room_for_the_next(self):
        """Guards against a worker that is closed while a task of a minute runs."""
        worker, trial = make_worker_on_trial()
        worker.record_running(trial, False, NOW + PROVING_S)
        assert worker.accepts_tasks(NOW + PROVING_S)
        assert worker.on_trial

    def test_run_that_fails_at_once_counts(self):
        """Guards against a worker that fails all it starts and still gets tasks."""
        worker = make_worker()
        for number in range(FAILURES_BEFORE_TRIAL):
            run = add_run(worker, number)
            worker.record_running(run, True, NOW + 0.5)
            worker.record_failure(run, NOW + 0.5)
        assert worker.on_trial

    def test_run_counts_as_one_success(self):
        """Guards against an old run that hides failures of all newer ones."""
        worker = make_worker()
        old = add_run(worker, 0)
        worker.record_running(old, True, NOW + PROVING_S)
        for number in range(1, 1 + FAILURES_BEFORE_TRIAL):
            run = add_run(worker, number)
            worker.record_failure(run, NOW + PROVING_S)
            worker.record_running(old, True, NOW + PROVING_S)
        assert worker.on_trial


class TestLease:
    """Leases on a worker clock that may be 2 % slow."""

    def test_lease_expires_when_the_slowest_clock_has_reached_its_end(self):
        """Guards against a second run while the lease of the first is still valid."""
        worker = make_worker()
        until = worker.grant_lease(NOW, 5.0)
        assert until == pytest.approx(15.0)
        assert not worker.leases_expired(NOW + 5.0 * 1.02)
        assert worker.leases_expired(NOW + 5.0 * 1.02 + 0.3)

    def test_later_clock_does_not_shorten_an_earlier_lease(self):
        """Guards against an end that is computed from a clock received later."""
        worker = make_worker()
        worker.grant_lease(NOW, 5.0)
        worker.record_answer(11.0, NOW + 1.0)
        worker.grant_lease(NOW + 1.0, 1.0)
        assert not worker.leases_expired(NOW + 5.0)


class TestInheritedLease:
    """Pattern: a worker crashes some seconds after a takeover."""

    def test_report_to_the_successor_ends_the_predecessors_extensions(self):
        """Guards against waiting for a predecessor that the worker no longer obeys."""
        worker = make_worker()
        worker.assume_lease(NOW + 8.3)
        assert not worker.leases_expired(NOW + 8.2)
        worker.limit_inherited_leases(NOW + 1.0 + 5.3)
        assert not worker.leases_expired(NOW + 6.2)
        assert worker.leases_expired(NOW + 6.4)

    def test_own_leases_count_besides(self):
        """Guards against restarting a task while the own lease is valid."""
        worker = make_worker()
        worker.assume_lease(NOW + 8.3)
        worker.grant_lease(NOW + 4.0, 5.0)
        worker.limit_inherited_leases(NOW + 5.3)
        assert not worker.leases_expired(NOW + 9.0)
        assert worker.leases_expired(NOW + 9.5)


class TestSpeed:
    """Workers whose runs take longer than estimated."""

    def test_stalled_worker_is_detected_and_used_again_later(self):
        """Guards against a stalled worker that never gets tasks again."""
        worker = make_worker()
        stalled = add_run(worker, 1)
        stalled.observed_at = stalled.progressed_at = NOW
        for step in range(1, 6):
            worker.record_progress(stalled, 0.0, 1.0, NOW + step * 0.5)
        assert worker.speed.is_stalled(NOW + 2.5)
        assert worker.is_run_stalled(stalled, STALL_TIMEOUT_S, NOW + 2.5)
        assert not worker.speed.is_slow(NOW + 6.0)


class TestSilentWorker:
    """A worker that no longer answers."""

    def test_lease_expires_although_renewals_are_still_sent(self):
        """Guards against tasks that are never restarted after their worker failed."""
        worker = make_worker()
        worker.grant_lease(NOW, 5.0)
        worker.record_missed_renewal(NOW + 1.0)
        for second in range(1, 8):
            assert worker.grant_lease(NOW + second, 5.0) is None
        assert worker.leases_expired(NOW + 5.0 * 1.02 + 0.3)
