"""Tests of the teams' caps: what is charged, and what may start."""

import dataclasses

import pytest

from arbutusladder import events
from arbutusladder.cell.advicecalls import AdviceCapacity
from arbutusladder.cell.cellstate import CellState
from arbutusladder.cell.interfaces import (
    OrderAnswer,
    RunningTask,
    StartOrder,
    TeamLimits,
    WorkerReport,
)
from arbutusladder.cell.placement import Placer
from arbutusladder.cell.simulation import Simulation
from arbutusladder.cell.states import JobPhase, OrderOutcome, WaitCause
from arbutusladder.cell.teamusage.caps import check_caps
from arbutusladder.cell.teamusage.ledger import recount
from arbutusladder.cell.workers import latest_order_end_s
from arbutusladder.errors import JobExceedsCap
from arbutusladder.ids import RequestId
from arbutusladder.messages import (
    AdviceReply,
    AdviceTicket,
    JobProgress,
    Resources,
    StepSpec,
    TeamTerms,
)
from arbutusladder.resources import EPSILON
from tests.cell import workloads

NOW = 100.0
CALLERS = AdviceCapacity(8, 6)
QUEUED = JobProgress(JobPhase.QUEUED)


def limits(**caps):
    """Returns limits of teams with caps in cores."""
    return TeamLimits(
        {name: TeamTerms(name, cap=Resources(cpu)) for name, cpu in caps.items()}
    )


def of_team(team, record):
    """Returns a submission of a team."""
    return dataclasses.replace(record, team=team)


def recounted_cpu(state, team):
    """Returns the cores of a team by its runs and planned gangs."""
    runs = [r for w in state.worker_by_vm.values() for r in w.run_by_key.values()]
    stages = [s for j in state.job_by_id.values() for s in j.stage_by_key.values()]
    return recount(runs, stages).get(team, Resources()).cpu


class Cell:
    """State of a cell with four workers, of which the first may be silent."""

    def __init__(self, team_limits, job_team=lambda job_id: "", silent=False):
        self.state = CellState(0.0, lambda task: Resources(2.0, 100.0), job_team)
        self.state.team_ledger.limits = team_limits
        self.placer = Placer(self.state)
        self.entries = workloads.workers(4)
        self.state.update_registry({e.vm: e for e in self.entries}, NOW)
        for entry in self.entries[silent:]:
            self.report(entry.vm)

    def add(self, record, inherited=False):
        """Adds a job."""
        return self.state.add_job(record, QUEUED, NOW, inherited)

    def report(self, vm, running=(), now=NOW):
        """Applies a report of a worker."""
        rows = [RunningTask(task, 1, "", 1.0) for task in running]
        self.state.apply_report(vm, WorkerReport(1, 5.0, rows), now, now)

    def start(self, now=NOW):
        """Makes a round of decisions and returns its start orders."""
        orders = self.placer.decide(now, CALLERS)
        return [order for order in orders if isinstance(order, StartOrder)]

    def charged_cpu(self, team="a"):
        """Returns the cores charged to a team."""
        return self.state.team_ledger.charged(team).cpu


class TestCapInAFlood:
    """Pattern: a team submits single tasks and gangs for several times its cap."""

    CAP_CPU = 180.0

    def check(self, simulation):
        """Compares the cap and the ledger with what runs now."""
        running = sum(
            run.need.cpu
            for worker in simulation.worker_by_vm.values()
            for run in worker.running.values()
        )
        charged = simulation.state.team_ledger.charged("a").cpu
        recounted = recounted_cpu(simulation.state, "a")
        assert running <= charged + EPSILON <= self.CAP_CPU + 2 * EPSILON
        assert charged == pytest.approx(recounted, abs=EPSILON)
        self.peak = max(self.peak, running)

    @pytest.mark.parametrize("advice_s", [0.0, 0.3])
    def test_nothing_exceeds_the_cap(self, advice_s):
        """Guards against members of gangs, plans and late ends that are not charged."""
        fields = {"advice_s": advice_s, "advice_validity_s": 1.0}
        simulation = Simulation(
            workloads.workers(), lambda task, vm: 0.5, limits=limits(a=self.CAP_CPU)
        )
        for number, arrival in enumerate(workloads.arrivals(1, 30, 6)):
            record = (workloads.quote, workloads.audit, workloads.residual)[number % 3]
            record = of_team("a", record(number))
            queue = dataclasses.replace(record.queue, **fields)
            simulation.submit_at(arrival, dataclasses.replace(record, queue=queue))
        self.peak = 0.0
        for step in range(700):
            simulation.schedule(step / 100, lambda: self.check(simulation))
        simulation.schedule(3, lambda: simulation.lose_worker("w-000"))
        simulation.run(7)
        assert self.peak > self.CAP_CPU * 0.8

    def test_capped_step_waits_for_its_cap_and_asks_for_no_advice(self):
        """Guards against calls, reservations and causes that hide the cap."""
        cell = Cell(limits(a=20.0))
        queue = dataclasses.replace(workloads.RESIDUALS, advice_s=0.3)
        gang = workloads.residual(1, count=4, cpu=6.0)
        job = cell.add(of_team("a", dataclasses.replace(gang, queue=queue)))
        other = cell.add(of_team("b", workloads.audit(2, count=3)))
        assert {order.task.split(".")[0] for order in cell.start()} == {other.id}
        assert cell.placer.decide(NOW + 0.1, CALLERS) == []
        (stage,) = job.stage_by_key.values()
        assert list(stage.wait_s_by_cause) == [WaitCause.CAP]

    def test_lowered_cap_stops_nothing_and_starts_nothing(self):
        """Guards against a task that starts, or one that is stopped, by a new cap."""
        cell = Cell(limits(a=40.0))
        job = cell.add(of_team("a", workloads.audit(1, count=20, cpu=4.0)))
        assert len(cell.start()) == 10
        cell.state.team_ledger.limits = limits(a=20.0)
        assert cell.start(NOW + 0.1) == [] and cell.charged_cpu() == 40.0
        assert not any(
            run.stop_wanted for s in job.stage_by_key.values() for run in s.active_runs
        )


class TestPlannedGang:
    """Pattern: a gang waits for its tickets while its team submits single tasks."""

    def make_cell(self):
        """Returns a cell with a planned gang that takes 8 of its team's 40 cores."""
        cell = Cell(limits(a=40.0))
        queue = dataclasses.replace(
            workloads.RESIDUALS, advice_s=0.3, advice_validity_s=9.0
        )
        step = StepSpec(2, Resources(4.0, 100.0), 1.0, gang=True)
        last = dataclasses.replace(step, after=[0])
        job = cell.add(of_team("a", workloads.job(1, queue, step, last)))
        stage = job.stage_by_key[f"{job.id}.0.0"]
        vms = tuple(entry.vm for entry in cell.entries)
        # The first reply's tickets expire before the start, so the gang is planned.
        self.advise(cell, stage, vms, validity_s=0.0)
        cell.placer.decide(NOW, CALLERS)
        assert stage.plan and stage.advice.call_pending
        return cell, stage, vms

    def advise(self, cell, stage, vms, validity_s):
        """Applies a reply with tickets for all workers."""
        tickets = [AdviceTicket(vm, "ticket") for vm in vms]
        reply = AdviceReply(RequestId(""), True, validity_s, tickets)
        cell.state.apply_advice(stage.key, vms, reply, NOW)

    def test_its_part_of_the_cap_is_kept_for_it(self):
        """Guards against a gang that loses its plan to single tasks each time."""
        cell, stage, vms = self.make_cell()
        cell.add(of_team("a", workloads.audit(2, count=20, cpu=4.0)))
        assert len(cell.start()) == 8
        assert cell.charged_cpu() == recounted_cpu(cell.state, "a") == 40.0
        self.advise(cell, stage, vms, validity_s=9.0)
        assert {o.task.rpartition(".")[0] for o in cell.start()} == {stage.key}

    def test_it_does_not_start_above_a_lowered_cap(self):
        """Guards against a check that is made only when the gang is planned."""
        cell, stage, vms = self.make_cell()
        cell.state.team_ledger.limits = limits(a=7.0)
        self.advise(cell, stage, vms, validity_s=9.0)
        assert cell.start() == [] and cell.charged_cpu() == 0.0
        cell.state.team_ledger.limits = limits(a=8.0)
        assert len(cell.start()) == 2

    def test_late_end_of_a_former_run_releases_its_plan(self):
        """Guards against cores that stay reserved and charged once the step is done."""
        cell, stage, _ = self.make_cell()
        cell.state.complete_task(stage, 0)
        assert cell.charged_cpu() == 0.0
        assert all(w.free.cpu == 64.0 for w in cell.state.worker_by_vm.values())


class TestRunsInDoubt:
    """Pattern: a worker falls silent while an order to it is unanswered."""

    def test_run_is_charged_until_its_order_has_no_effect(self):
        """Guards against a start on another worker while the first may still run.

        The next incarnation of the worker may execute the order after the leases.
        """
        cell = Cell(limits(a=4.0))
        cell.add(of_team("a", workloads.audit(1, count=2, cpu=4.0)))
        (order,) = cell.start()
        worker = cell.state.worker_by_vm[order.vm]
        worker.record_order(worker.run_by_key[order.task, 1], NOW)
        worker.grant_lease(NOW, 5.0)
        answer = OrderAnswer(OrderOutcome.UNKNOWN)
        cell.state.apply_start_answer(order, answer, NOW + 1.0)
        worker.record_missed_renewal(NOW + 1.0)
        assert cell.start(NOW + 1.1) == [] and cell.charged_cpu() == 4.0
        cell.state.expire_leases(NOW + 6.0)
        assert cell.start(NOW + 6.0) == [] and cell.charged_cpu() == 4.0
        end = NOW + latest_order_end_s(cell.state.max_lease_s) + 0.1
        cell.state.expire_leases(end)
        assert len(cell.start(end)) == 1 and cell.charged_cpu() == 4.0

    def test_reported_run_of_an_unknown_job_is_charged(self):
        """Guards against a start beside a run that is only being stopped."""
        cell = Cell(limits(a=4.0), job_team=lambda job_id: "a")
        cell.report(cell.entries[0].vm, ["old.0.0.0"], NOW + 0.1)
        cell.add(of_team("a", workloads.audit(1, count=1, cpu=4.0)))
        assert cell.start(NOW + 0.2) == [] and cell.charged_cpu() == 2.0
        worker = cell.state.worker_by_vm[cell.entries[0].vm]
        (run,) = worker.run_by_key.values()
        cell.report(worker.entry.vm, [], NOW + 1.0)
        cell.state.end_run(worker, run, workloads.LISTED_END)
        assert cell.charged_cpu() == 0.0 and len(cell.start(NOW + 1.1)) == 1

    def test_filler_task_is_charged_with_its_cores(self):
        """Guards against a charge of what is reserved instead of what is needed."""
        cell = Cell(limits(a=4.0))
        step = StepSpec(3, Resources(2.0, 100.0), 1.0, fills=True)
        cell.add(of_team("a", workloads.job(1, workloads.AUDITS, step)))
        assert len(cell.start()) == 2 and cell.charged_cpu() == 4.0


class TestTakeover:
    """Pattern: an owner is killed while its teams run work; a worker stays silent."""

    UNTIL = NOW + 8.3

    def make_cell(self):
        """Returns a cell that waits for the report of its first worker."""
        cell = Cell(limits(a=40.0, b=40.0), silent=True)
        for entry in cell.entries[:1]:
            cell.state.unreported.add(entry.vm, self.UNTIL)
        self.inherited = cell.add(
            of_team("a", workloads.audit(1, count=8, cpu=4.0)), inherited=True
        )
        cell.add(of_team("a", workloads.audit(2, count=8, cpu=4.0)))
        cell.add(of_team("b", workloads.audit(3, count=8, cpu=4.0)))
        return cell

    def teams_of(self, cell, orders):
        """Returns the number of started tasks by team."""
        teams = [cell.state.job_by_id[o.task.split(".")[0]].team for o in orders]
        return {team: teams.count(team) for team in teams}

    def test_cap_holds_and_other_teams_start_before_the_last_report(self):
        """Guards against starts beside inherited runs that are not known yet."""
        cell = self.make_cell()
        task = f"{self.inherited.id}.0.0."
        cell.report(cell.entries[1].vm, [task + "0", task + "1"], NOW + 0.1)
        assert self.teams_of(cell, cell.start(NOW + 0.2)) == {"a": 2, "b": 8}
        assert cell.charged_cpu() == 40.0 and recounted_cpu(cell.state, "a") == 16.0
        running = [task + str(index) for index in range(2, 5)]
        cell.report(cell.entries[0].vm, running, NOW + 0.5)
        assert self.teams_of(cell, cell.start(NOW + 0.6)) == {"a": 3}
        assert cell.charged_cpu() == recounted_cpu(cell.state, "a") == 40.0

    def test_cancelled_job_is_charged_until_the_last_report(self):
        """Guards against forgetting tasks of a cancelled job that may still run."""
        cell = self.make_cell()
        cell.state.cancel(self.inherited.id)
        cell.state.changes.dirty.clear()
        cell.state.remove_finished_jobs()
        assert self.teams_of(cell, cell.start()) == {"a": 2, "b": 8}
        cell.state.expire_leases(self.UNTIL + 0.1)
        cell.state.remove_finished_jobs()
        assert self.inherited.id not in cell.state.job_by_id
        assert self.teams_of(cell, cell.start(self.UNTIL + 0.1)) == {"a": 6}


class TestRefusalAtSubmission:
    """Guards against accepting work that can never start."""

    def test_whole_gang_above_the_cap_is_refused_with_the_numbers(self):
        gang = of_team("a", workloads.residual(1, count=8, cpu=18.0))
        with pytest.raises(JobExceedsCap, match="144 cores.*team a is 100 cores"):
            check_caps(gang, limits(a=100.0))
        check_caps(gang, limits(a=144.0))
        check_caps(of_team("b", gang), limits(a=100.0))

    def test_single_tasks_count_one_by_one(self):
        check_caps(of_team("a", workloads.audit(1, 50, 3.9)), limits(a=3.9))
        with pytest.raises(JobExceedsCap, match="step 0: a task takes 3.9 cores"):
            check_caps(of_team("a", workloads.audit(1, 50, 3.9)), limits(a=3.8))


class TestEventsOfWaits:
    """Guards against caps that hold a team back unseen, or that fill the log."""

    def test_wait_is_logged_once_when_it_begins_and_ends(self):
        cell = Cell(limits(a=4.0))
        job = cell.add(of_team("a", workloads.audit(1, count=3, cpu=4.0)))
        cell.start()
        for step in range(10):
            cell.start(NOW + step * 0.1)
        cell.state.cancel(job.id)
        cell.start(NOW + 3.0)
        logged = [
            (event, fields["team"])
            for event, fields in cell.state.changes.pending_events
            if event in (events.TEAM_AT_CAP, events.TEAM_BELOW_CAP)
        ]
        assert logged == [(events.TEAM_AT_CAP, "a"), (events.TEAM_BELOW_CAP, "a")]
