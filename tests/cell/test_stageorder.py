"""Tests of the order of waiting steps: shares of teams and overdue work."""

import dataclasses

import pytest

from arbutusladder.cell.celljobs import create_job
from arbutusladder.cell.interfaces import TeamLimits
from arbutusladder.cell.joblimits import JobLimits
from arbutusladder.cell.overdue import MAX_TOO_LATE_WAIT_S, TURN_S, OverdueSteps
from arbutusladder.cell.simulation import Simulation
from arbutusladder.cell.stageorder import StageOrder
from arbutusladder.cell.states import JobPhase
from arbutusladder.cell.steppriority import priority_key
from arbutusladder.cell.teamusage.fairness import USABLE_SHARE, FairShares, fair_level
from arbutusladder.cell.teamusage.ledger import TeamLedger
from arbutusladder.messages import Resources, TeamTerms
from tests.cell import workloads

TOTAL = Resources(100.0, 1000.0)
NOW = 100.0
# Terms under which a job is too late from its submission on.
HOPELESS = workloads.queue("hopeless", 2, 0.1, 0.0)


def stage(number, team, make=workloads.audit, queue=None, **fields):
    """Returns the step of a new job."""
    record = make(number, **fields)
    record = dataclasses.replace(record, team=team, queue=queue or record.queue)
    job = create_job(record, JobPhase.QUEUED, NOW, False, 0.0, JobLimits())
    job.open_due_occurrences(NOW)
    (found,) = job.stage_by_key.values()
    return found


class TestFairLevel:
    """Guards against shares that leave room unused or follow the wrong resource."""

    def test_what_small_teams_leave_goes_to_the_others_by_weight(self):
        demands = [
            (Resources(10.0), 1.0),
            (Resources(80.0), 1.0),
            (Resources(90.0), 2.0),
        ]
        assert fair_level(demands, TOTAL) == pytest.approx(0.3)

    def test_resource_that_runs_out_first_decides(self):
        demands = [(Resources(10.0, 800.0), 1.0), (Resources(40.0, 800.0), 1.0)]
        assert fair_level(demands, TOTAL) == pytest.approx(0.5)

    def test_no_team_is_over_its_share_while_all_demand_fits(self):
        assert fair_level([(Resources(99.0), 1.0)], TOTAL) == float("inf")


class TestOrderInARound:
    """Guards against an order that is fixed although starts change the shares."""

    def test_order_without_teams_is_that_of_the_priority(self):
        makes = (workloads.audit, workloads.quote, workloads.residual)
        stages = [stage(number, "", makes[number % 3]) for number in range(30)]
        order = StageOrder(stages, NOW)
        popped = [order.pop() for _ in stages]
        assert popped == sorted(stages, key=lambda row: priority_key(row, NOW))
        assert order.pop() is None

    def test_team_that_reaches_its_share_comes_after_the_others(self):
        ledger = TeamLedger()
        ledger.limits = TeamLimits({name: TeamTerms(name) for name in "ab"})
        urgent = [stage(n, "a", workloads.quote, count=20, cpu=5.0) for n in (1, 2)]
        other = stage(3, "b", count=20, cpu=5.0)
        stages = [*urgent, other]
        order = StageOrder(stages, NOW, FairShares(ledger, TOTAL, stages))
        assert order.pop() is urgent[0]
        ledger.urgent_usage.adjust("a", Resources(40.0))
        assert not order.is_overtaken(urgent[0])
        ledger.urgent_usage.adjust("a", Resources(5.0))
        assert order.is_overtaken(urgent[0])
        order.push_back(urgent[0])
        assert [order.pop() for _ in stages] == [other, *urgent]
        assert not order.is_overtaken(urgent[1])

    def test_batch_of_a_team_does_not_hold_up_its_urgent_step(self):
        """Guards against urgent jobs behind the batches of other teams."""
        ledger = TeamLedger()
        ledger.limits = TeamLimits({name: TeamTerms(name) for name in "ab"})
        urgent = stage(1, "a", workloads.quote, count=20, cpu=5.0)
        batch, other = stage(2, "a", count=20, cpu=5.0), stage(3, "b", count=20, cpu=5)
        stages = [other, batch, urgent]
        ledger.adjust("a", Resources(60.0))
        order = StageOrder(stages, NOW, FairShares(ledger, TOTAL, stages))
        assert [order.pop() for _ in stages] == [urgent, other, batch]

    def test_demand_above_a_cap_does_not_lower_the_shares_of_others(self):
        ledger = TeamLedger()
        ledger.limits = TeamLimits({"a": TeamTerms("a", cap=Resources(20.0))})
        waiting = [stage(1, "a", count=90, cpu=1.0), stage(2, "b", count=20, cpu=1.0)]
        ledger.adjust("b", Resources(100.0))
        shares = FairShares(ledger, Resources(200.0, 0.0), waiting)
        assert not shares.is_over("b")

    def test_wide_step_leaves_room_for_another_team(self):
        """Guards against one step that takes the cell within one round."""
        limits = TeamLimits({name: TeamTerms(name) for name in "ab"})
        simulation = Simulation(
            workloads.workers(4), lambda task, vm: 9.0, limits=limits
        )
        for team, make in (("a", workloads.quote), ("b", workloads.audit)):
            record = make(1 + (team == "b"), count=400, cpu=1.0)
            simulation.submit_at(0.0, dataclasses.replace(record, team=team))
        simulation.run(0.1)
        tasks = [simulation.state.team_ledger.charged(team).cpu for team in "ab"]
        # The memory is enough for 32 tasks on each worker.
        assert sum(tasks) == 128.0
        assert min(tasks) >= 128 * USABLE_SHARE / 2 - 1


class TestOverdueWork:
    """Pattern: in-time work fills the cell for a minute; some jobs are too late."""

    def play(self, hopeless, teams=("a",)):
        """Returns the waits of the hopeless jobs and the number of others in time."""
        limits = TeamLimits({team: TeamTerms(team) for team in teams})
        simulation = Simulation(
            workloads.workers(4), lambda task, vm: 2.2, limits=limits
        )
        for number, arrival in enumerate(workloads.arrivals(5, 5, 50)):
            record = dataclasses.replace(workloads.audit(1000 + number), team="a")
            simulation.submit_at(arrival, record)
        ids = []
        for number in range(hopeless):
            record = dataclasses.replace(
                workloads.audit(number), team="a", queue=HOPELESS
            )
            simulation.submit_at(10.0, record)
            ids.append(record.job_id)
        simulation.run(50)
        turnarounds = {
            job: simulation.turnaround_s(job) for job in simulation.submitted_at_by_job
        }
        in_time = sum(
            1 for job, s in turnarounds.items() if job not in ids and s and s <= 11.8
        )
        return [turnarounds[job] for job in ids], in_time

    def test_wait_of_work_that_is_too_late_is_bounded(self):
        """Guards against a job that never starts while others arrive."""
        ((turnaround,), _) = self.play(1)
        assert turnaround is not None
        assert MAX_TOO_LATE_WAIT_S < turnaround < MAX_TOO_LATE_WAIT_S + 2 * 2.2
        assert self.play(1, teams=())[0] == [None]

    def test_turn_passes_on_from_steps_that_cannot_start(self):
        """Guards against a gang that fits nowhere, or a cap, that keeps the turn."""
        ledger, overdue = TeamLedger(), OverdueSteps()
        first, second, third = waiting = [
            stage(number, team, queue=HOPELESS) for number, team in enumerate("abc")
        ]
        now = NOW + MAX_TOO_LATE_WAIT_S + 5.0
        assert set(overdue.select(waiting, ledger, TOTAL.cpu, now)) == {first.key}
        now += TURN_S + 1.0
        assert set(overdue.select(waiting, ledger, TOTAL.cpu, now)) == {second.key}
        ledger.limits = TeamLimits({"b": TeamTerms("b", cap=Resources(1.0))})
        assert set(overdue.select(waiting, ledger, TOTAL.cpu, now)) == {third.key}

    def test_much_overdue_work_leaves_the_cell_to_others(self):
        """Guards against a lasting overload in which nothing is in time any more."""
        turnarounds, in_time = self.play(40)
        ended = [seconds for seconds in turnarounds if seconds]
        others = self.play(0)[1]
        print(f"{len(ended)} of 40 too late jobs ended; in time {others} -> {in_time}")
        assert ended and in_time >= 0.9 * others
