"""Tests of the scheduling order when teams contend, named for the load."""

import pytest

from tests.cell import workloads
from tests.cell.teamloads import Load


def total_in_time(outcomes):
    """Returns the number of jobs in time of all teams."""
    return sum(outcome.in_time for outcome in outcomes.values())


class TestFloodingTeam:
    """Pattern: one team sends several times what the cell can run for 6 s."""

    @pytest.mark.parametrize("count", [1, 3, 19])
    def test_it_takes_nothing_from_teams_within_their_share(self, count):
        """Guards against quiet teams that queue behind the flood."""
        load = Load()
        quiet = [f"quiet-{number}" for number in range(count)]
        for team in quiet:
            load.add(team, workloads.quote, 16 / count, 10)
            load.add(team, workloads.audit, 3 / count, 10)
        load.add("flood", workloads.audit, 45, 6, start=2.0)
        load.add("flood", workloads.quote, 60, 6, start=2.0)
        teams, plain = load.compare(14)
        for priority, least in ((0, 0.9), (2, 0.95)):
            of_quiet = [teams[team, priority] for team in quiet]
            jobs = sum(outcome.jobs for outcome in of_quiet)
            in_time = sum(outcome.in_time for outcome in of_quiet)
            before = sum(plain[team, priority].in_time for team in quiet)
            assert in_time >= least * jobs and in_time >= before
        flood = [teams["flood", priority] for priority in (0, 2)]
        assert sum(outcome.in_time for outcome in flood) > 0


class TestOverlappingSurges:
    """Pattern: two teams surge by turns, with an overlap, beside a quiet one."""

    def test_quiet_team_is_in_time_and_the_surges_share_the_rest(self):
        """Guards against the first surge keeping the cell from the second."""
        load = Load()
        load.add("quiet", workloads.quote, 12, 12)
        load.add("first", workloads.audit, 30, 6, start=1.0)
        load.add("second", workloads.audit, 30, 6, start=4.0)
        teams, plain = load.compare(16)
        assert teams["quiet", 0].in_time_share >= 0.9
        waits = [teams[team, 2].mean_wait_s for team in ("first", "second")]
        assert max(waits) <= 2 * min(waits)
        assert total_in_time(teams) >= 0.9 * total_in_time(plain)


class TestWideGangsAgainstNarrowUrgentTasks:
    """Pattern: one team fills the cell with gangs, another sends urgent tasks."""

    def test_urgent_tasks_of_the_other_team_are_in_time(self):
        """Guards against gangs that reserve the cell against other teams."""
        load = Load()
        load.add("narrow", workloads.quote, 20, 14)
        load.add("narrow", workloads.audit, 2, 14)
        load.add("wide", workloads.residual, 3, 10, start=1.0)
        teams, plain = load.compare(20)
        for priority in (0, 2):
            assert teams["narrow", priority].in_time_share >= 0.9
            assert (
                teams["narrow", priority].in_time >= plain["narrow", priority].in_time
            )


class TestHalfOfTheWorkersLost:
    """Pattern: half of the workers are lost while one team surges."""

    def test_teams_within_their_share_lose_least(self):
        """Guards against a share of the cell that was, instead of the cell that is."""
        load = Load()
        for team in ("one", "two", "three"):
            load.add(team, workloads.quote, 4, 12)
            load.add(team, workloads.audit, 0.8, 12)
        load.add("flood", workloads.audit, 30, 6, start=2.0)
        losses = [(4.0, entry.vm) for entry in workloads.workers()[::2]]
        teams, plain = load.compare(16, losses=losses)
        for team in ("one", "two", "three"):
            for priority in (0, 2):
                new, old = teams[team, priority], plain[team, priority]
                assert new.in_time >= old.in_time
            assert teams[team, 2].in_time_share >= 0.8
