"""Tests of the owner's forecast of when new jobs start."""

import msgspec
import pytest

from arbutusladder.cell.forecast.startforecast import start_forecast
from arbutusladder.cell.interfaces import TeamLimits
from arbutusladder.cell.simulation import Simulation
from arbutusladder.cell.states import JobPhase
from arbutusladder.messages import JobProgress, Resources, StepSpec, TeamTerms
from tests.cell import workloads

# Cores of the cell: 24 workers of 64 cores.
CORES = 24 * 64.0


def simulation(task_s=5.0):
    """Returns a cell in which each task takes the same time."""
    return Simulation(workloads.workers(24), lambda task, vm: task_s)


def forecast_rows(cell, terms=()):
    """Returns the wait of each row by priority and team."""
    limits = TeamLimits({row.name: row for row in terms})
    forecast = start_forecast(cell.state, limits, True, cell.now)
    return {(row.priority, row.team): row.wait_s for row in forecast.rows}


def audit(number, count, cpu=8.0, memory_mb=1000.0, team="", estimate_s=5.0):
    """Returns a submission of a team."""
    step = StepSpec(count, Resources(cpu, memory_mb), estimate_s)
    return workloads.job(number, workloads.AUDITS, step, team=team)


class TestScarcestResource:
    """Load: work that leaves cores free, but no memory."""

    def test_wait_is_for_memory(self):
        """Guards against a forecast of room from free cores alone."""
        cell = simulation()
        for number in range(3):
            record = audit(number, 24, cpu=2.0, memory_mb=120_000.0)
            cell.submit_at(0.1, record)
        cell.run(1.0)
        assert cell.placer.load.free > CORES / 2
        assert 8.0 < forecast_rows(cell)[2, ""] < 11.0


class TestLearntDurations:
    """Load: all estimates of a queue are wrong in the same direction."""

    @pytest.mark.parametrize(("estimate_s", "actual_s"), [(10.0, 2.0), (1.0, 2.0)])
    def test_wait_follows_the_actual_durations(self, estimate_s, actual_s):
        """Guards against waits as wrong as the estimates."""
        cell = simulation(actual_s)
        for number in range(8):
            step = StepSpec(192, Resources(8.0, 1000.0), estimate_s)
            terms = workloads.queue("patient", 2, 4.0, 100.0)
            cell.submit_at(0.1, workloads.job(number, terms, step))
        cell.run(5.1)
        # Six of eight waves wait, so 12 s are left; a third of that is allowed.
        assert 8.0 < forecast_rows(cell)[2, ""] < 16.0


class TestYieldingWork:
    """Load: a backlog that is too late."""

    def test_it_does_not_count(self):
        """Guards against refusals because of work that new jobs overtake."""
        cell = simulation(10.0)
        cell.submit_at(0.1, audit(1, 180, estimate_s=10.0))
        for number in range(2, 30):
            step = StepSpec(192, Resources(8.0, 1000.0), 0.1)
            terms = workloads.queue("quick", 2, 1.0, 0.1)
            cell.submit_at(0.5, workloads.job(number, terms, step))
        cell.run(2.0)
        assert cell.placer.load.waiting == 28
        assert forecast_rows(cell)[2, ""] < 10.0


class TestTeams:
    """Load: one team sends much more than its share or its cap allows."""

    def test_only_the_team_at_its_cap_waits(self):
        """Guards against refusing other teams for one team's cap."""
        cell = simulation()
        cell.submit_at(0.1, audit(1, 8, team="capped"))
        cell.submit_at(0.1, audit(2, 8, team="quiet"))
        cell.run(1.0)
        for number in range(3, 9):
            # Not placed: a placement that observes caps leaves these waiting.
            record = audit(number, 190, team="capped")
            cell.state.add_job(record, JobProgress(JobPhase.QUEUED), cell.now)
        terms = [TeamTerms("capped", cap=Resources(64.0)), TeamTerms("quiet")]
        rows = forecast_rows(cell, terms)
        assert rows[2, "capped"] > 20.0
        assert not rows.keys() & {(2, "quiet"), (2, "")}

    def test_flooding_team_waits_longer_than_the_others(self):
        """Guards against a forecast that hides whose share is used up."""
        cell = simulation()
        for number in range(6):
            cell.submit_at(0.1, audit(number, 192, team="flood"))
        cell.submit_at(0.5, audit(9, 8, team="quiet"))
        cell.run(1.0)
        rows = forecast_rows(cell, [TeamTerms("flood"), TeamTerms("quiet")])
        # The quiet team waits only until the first tasks of 5 s end.
        assert rows[2, "flood"] > 8.0
        assert rows[2, ""] < 5.0
        assert (2, "quiet") not in rows

    def test_forecast_of_many_teams_has_a_bounded_size(self):
        """Guards against heartbeats that take the bandwidth of slow links."""
        cell = simulation()
        teams = [f"a-team-with-a-long-name-{number:02}" for number in range(40)]
        for number, team in enumerate(teams * 3):
            cell.submit_at(0.1, audit(number, 40, team=team))
        cell.run(1.0)
        limits = TeamLimits({t: TeamTerms(t, cap=Resources(16.0)) for t in teams})
        forecast = start_forecast(cell.state, limits, True, cell.now)
        assert any(row.team for row in forecast.rows)
        assert any(not row.team for row in forecast.rows)
        assert len(msgspec.msgpack.encode(forecast)) <= 2048


class TestTakeover:
    """Failure: the owner has changed, and some workers have not reported."""

    def test_nothing_is_foreseen_until_all_have_reported(self):
        """Guards against refusals by an incomplete picture of the cell."""
        cell = simulation()
        for number in range(6):
            cell.submit_at(0.1, audit(number, 192))
        cell.run(1.0)
        assert forecast_rows(cell)
        cell.state.unreported.add(next(iter(cell.worker_by_vm)), cell.now + 8.0)
        assert not forecast_rows(cell)
