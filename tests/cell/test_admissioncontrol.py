"""Tests of an entry VM's decision to accept or refuse a job."""

from dataclasses import replace
from types import SimpleNamespace

import curio
import pytest

from arbutusladder.cell.forecast.admission import (
    MAX_FORECAST_AGE_S,
    ReceivedForecast,
    find_refusal,
)
from arbutusladder.cell.forecast.admissioncontrol import AdmissionControl
from arbutusladder.cell.states import JobPhase, SubmissionOutcome
from arbutusladder.clock import ManualClock
from arbutusladder.errors import LogUnavailable, NoRoom
from arbutusladder.messages import Resources, StartForecast, StartWait, StepSpec
from arbutusladder.metrics import Metrics
from arbutusladder.reasons import Reason
from tests.cell import workloads
from tests.cell.inprocess import InProcessCell
from tests.virtualtime import run_in_virtual_time

WAIT_S = 40.0
NO_ROOM = StartForecast([StartWait(workloads.SERVICE, 0, WAIT_S)])
JOB = workloads.quote(1)


class FakeJobs:
    """Jobs of an entry VM, which count the reads of the log."""

    def __init__(self, stored=False, in_doubt=False, loaded=True, log=True):
        self.loaded = loaded
        self.reads = 0
        self._stored, self._in_doubt, self._log = stored, in_doubt, log

    async def lookup(self, job_id):
        self.reads += 1
        if not self._log:
            raise LogUnavailable(Reason.LOG_UNAVAILABLE, "down")
        return JobPhase.QUEUED if self._stored else None

    def is_in_doubt(self, key):
        return self._in_doubt


def is_refused(forecast=NO_ROOM, epoch=3, age_s=0.1, silent=False, jobs=None):
    """Returns whether a job is refused, and the events that are written."""
    clock, written = ManualClock(), []
    control = AdmissionControl(
        jobs or FakeJobs(),
        SimpleNamespace(newest_epoch=3, is_owner_silent=lambda now: silent),
        clock,
        SimpleNamespace(write=lambda event, **fields: written.append(fields)),
        Metrics(),
    )
    control.receive(forecast, epoch, clock.now() - age_s)
    try:
        curio.run(control.check, JOB)
    except NoRoom as error:
        assert written[0]["retry"] == error.retry_after_s >= WAIT_S - age_s
        return True
    assert not written
    return False


class TestJobWithoutRoom:
    """Load: a job would start only after three times its objective."""

    def test_it_is_refused(self):
        """Guards against comparisons below with a job that is accepted anyway."""
        assert is_refused()

    @pytest.mark.parametrize(
        "case",
        [
            {"forecast": StartForecast()},
            {"age_s": MAX_FORECAST_AGE_S + 0.1},
            {"epoch": 2},
            {"epoch": 4},
            {"silent": True},
            {"jobs": FakeJobs(stored=True)},
            {"jobs": FakeJobs(in_doubt=True)},
            {"jobs": FakeJobs(loaded=False)},
            {"jobs": FakeJobs(log=False)},
        ],
    )
    def test_it_is_accepted_in_doubt(self, case):
        """Guards against refusals that are untrue, or of jobs that may be stored."""
        assert not is_refused(**case)

    def test_accepted_jobs_cost_no_read(self):
        """Guards against a read of the log for each submission."""
        jobs = FakeJobs()
        is_refused(StartForecast([StartWait(workloads.SERVICE, 0, 2.0)]), jobs=jobs)
        assert jobs.reads == 0

    def test_forecast_of_an_earlier_owner_does_not_replace_a_newer_one(self):
        """Guards against a late heartbeat of a replaced owner."""
        clock = ManualClock()
        owners = SimpleNamespace(newest_epoch=3, is_owner_silent=lambda now: False)
        control = AdmissionControl(FakeJobs(), owners, clock, None, Metrics())
        control.receive(StartForecast(), 3, clock.now())
        control.receive(NO_ROOM, 2, clock.now())
        curio.run(control.check, JOB)


class AdmittingCell(InProcessCell):
    """A cell with admission control."""

    def _make_member(self, vm, access):
        member = super()._make_member(vm, access)
        dependencies = member._dependencies
        dependencies.settings = replace(dependencies.settings, admission=True)
        return member


class TestCellWithoutRoom:
    """Load: urgent jobs come while long tasks hold all workers."""

    async def _outcomes(self, cell):
        await cell.start()
        step = StepSpec(2, Resources(64.0, 1000.0), 30.0)
        long = workloads.job(1, workloads.QUOTES, step)
        outcomes = []
        for record in (long, long, workloads.quote(2), workloads.quote(2)):
            for vm in cell.member_by_vm:
                member = cell.member_by_vm[vm]
                try:
                    outcome = await member.submit(record, member._clock.now() + 2.0)
                except NoRoom as error:
                    outcome = error
                outcomes.append(outcome)
            await curio.sleep(1.5)
        await cell.stop()
        return outcomes

    def test_new_jobs_are_refused_and_stored_ones_accepted_at_every_entry_vm(self):
        """Guards against a forecast that does not arrive, also at the owner itself."""
        cell = AdmittingCell(task_s=30.0)
        outcomes = run_in_virtual_time(self._outcomes, cell)
        assert outcomes[:6] == [SubmissionOutcome.ACCEPTED] * 6
        assert all(isinstance(outcome, NoRoom) for outcome in outcomes[6:])
        assert all(20 <= error.retry_after_s <= 50 for error in outcomes[6:])

    def test_without_the_setting_all_are_accepted(self):
        """Guards against refusals at deployments that did not ask for them."""
        outcomes = run_in_virtual_time(self._outcomes, InProcessCell(task_s=30.0))
        assert outcomes == [SubmissionOutcome.ACCEPTED] * 12


class TestRows:
    """Pattern: a forecast lists waits of other services, priorities and teams."""

    @pytest.mark.parametrize(
        "row",
        [
            StartWait("other", 0, WAIT_S),
            StartWait(workloads.SERVICE, 1, WAIT_S),
            StartWait(workloads.SERVICE, 0, WAIT_S, "other"),
        ],
    )
    def test_they_do_not_apply(self, row):
        """Guards against one team's or queue's wait for all."""
        assert not is_refused(StartForecast([row]))


class TestRetryAfter:
    """Load: many clients are refused at the same time."""

    def retry_s(self, record, wait_s=WAIT_S):
        """Returns the seconds after which a client is asked to return."""
        rows = [StartWait(workloads.SERVICE, p, wait_s) for p in range(3)]
        received = ReceivedForecast(StartForecast(rows), 1, 0.0)
        return find_refusal(record, received, 0.0).retry_after_s

    def test_clients_are_spread_from_the_end_of_the_wait_on(self):
        """Guards against returns before there is room, and all in one second."""
        seconds = [self.retry_s(workloads.quote(number)) for number in range(500)]
        assert min(seconds) >= WAIT_S
        assert max(seconds) <= 1.5 * WAIT_S + 1
        most = max(seconds.count(second) for second in set(seconds))
        assert most <= 100

    def test_shorter_objectives_come_first_on_average(self):
        """Guards against long objectives that take the room before urgent ones."""
        urgent = sum(self.retry_s(workloads.quote(n), 200.0) for n in range(100))
        patient = sum(self.retry_s(workloads.audit(n), 200.0) for n in range(100))
        assert urgent < patient
