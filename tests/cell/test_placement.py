"""Tests of placement, with simulated workers and the users' load patterns."""

import dataclasses

import pytest

from arbutusladder.cell.simulation import Simulation
from arbutusladder.cell.states import EndKind, JobPhase
from tests.cell import mixedworkloads, workloads

QUOTE_S, AUDIT_S, RESIDUAL_S = 0.8, 2.2, 6.2
DURATION_BY_PREFIX = {"1": QUOTE_S, "2": AUDIT_S, "3": RESIDUAL_S}


def duration(task, vm):
    """Returns a task's duration in seconds, by the first digit of its job's id."""
    return DURATION_BY_PREFIX[task[0]]


def job_number(kind, index):
    """Returns the number of a job whose id begins with the digit of its kind."""
    return int(f"{kind}{index:015}", 16)


class TestQuotesInABatchSurge:
    """Pattern: audits need several times the cell's capacity while quotes arrive."""

    def test_quotes_meet_their_objective_during_a_surge_of_audits(self):
        """Guards against quotes that queue behind a surge of batch jobs."""
        simulation = Simulation(workloads.workers(), duration)
        for index, arrival in enumerate(workloads.arrivals(1, 20, 8)):
            simulation.submit_at(arrival, workloads.quote(job_number(1, index)))
        for index, arrival in enumerate(workloads.arrivals(2, 40, 8)):
            simulation.submit_at(arrival, workloads.audit(job_number(2, index)))
        simulation.run(12)
        quotes = [job for job in simulation.submitted_at_by_job if job[0] == "1"]
        turnarounds = [simulation.turnaround_s(job) for job in quotes]
        objective = 1.5 * QUOTE_S + 0.25
        in_time = sum(
            1
            for turnaround in turnarounds
            if turnaround is not None and turnaround <= objective
        )
        assert in_time >= 0.95 * len(turnarounds)
        assert simulation.overload_count == 0


class TestGangsAmongSmallTasks:
    """Pattern: a steady load of small tasks uses all resources that become free."""

    def test_gangs_start_although_small_tasks_fill_the_workers(self):
        """Guards against gangs that starve because their members never fit at once."""
        simulation = Simulation(workloads.workers(), duration)
        for index, arrival in enumerate(workloads.arrivals(3, 16, 20)):
            simulation.submit_at(arrival, workloads.audit(job_number(2, index)))
        for index in range(6):
            simulation.submit_at(4 + index, workloads.residual(job_number(3, index)))
        simulation.run(24)
        credit_ends_after = 3 * (2.2 * RESIDUAL_S + 1.0)
        for index in range(6):
            turnaround = simulation.turnaround_s(workloads.job_id(job_number(3, index)))
            assert turnaround is not None and turnaround < credit_ends_after
        assert simulation.overload_count == 0

    def test_gang_that_never_fits_reserves_no_worker(self):
        """Guards against reserving all workers for a gang that can never fit."""
        simulation = Simulation(workloads.workers(count=2), duration)
        simulation.submit_at(0, workloads.residual(job_number(3, 0), count=40))
        simulation.submit_at(0.1, workloads.audit(job_number(2, 0), count=4))
        simulation.run(5)
        assert simulation.phase_by_job[workloads.job_id(job_number(2, 0))] is (
            JobPhase.COMPLETED
        )


class TestWorkersThatFail:
    """Pattern: a worker fails every task shortly after its start."""

    def test_tasks_move_away_from_a_failing_worker(self):
        """Guards against a failing worker that gets most tasks because it is free."""
        failing_vm = workloads.workers()[0].vm

        def end_kind(task, vm):
            return EndKind.FAILED if vm == failing_vm else EndKind.DONE

        simulation = Simulation(
            workloads.workers(count=6),
            lambda task, vm: 0.1 if vm == failing_vm else QUOTE_S,
            end_kind=end_kind,
        )
        for index, arrival in enumerate(workloads.arrivals(4, 8, 10)):
            simulation.submit_at(
                arrival, workloads.quote(job_number(1, index), count=1)
            )
        simulation.run(14)
        phases = list(simulation.phase_by_job.values())
        assert phases.count(JobPhase.COMPLETED) >= 0.9 * len(phases)


class TestAdvice:
    """Pattern: only some workers may run a step, and tickets expire quickly."""

    @pytest.mark.parametrize("gang", [False, True])
    def test_tasks_start_only_on_permitted_workers(self, gang):
        """Guards against starts without permission of the advice service."""
        queue_terms = workloads.queue(
            "advised",
            1,
            2.0,
            1.0,
            advice_s=0.5,
            advice_each_s=0.01,
            advice_validity_s=1.0,
        )
        permitted_vms = {worker.vm for worker in workloads.workers()[::4]}
        simulation = Simulation(
            workloads.workers(),
            duration,
            is_permitted=lambda stage, vm: vm in permitted_vms,
        )
        step = workloads.StepSpec(6, workloads.Resources(18.0, 1000.0), 2.2, gang=gang)
        for index in range(4):
            simulation.submit_at(
                index * 0.3, workloads.job(job_number(2, index), queue_terms, step)
            )
        simulation.run(20)
        assert len(simulation.phase_by_job) == 4
        assert {order.vm for order in simulation.started} <= permitted_vms
        assert all(order.ticket for order in simulation.started)


class TestStalledWorkers:
    """Pattern: tasks on some workers make no progress for several seconds."""

    def test_audits_move_and_new_tasks_start_elsewhere(self):
        """Guards against tasks that stay on a stalled worker until it recovers."""
        simulation = Simulation(workloads.workers(), duration)
        stalled_vms = [entry.vm for entry in workloads.workers()[:2]]
        for index, arrival in enumerate(workloads.arrivals(5, 6, 6)):
            simulation.submit_at(arrival, workloads.audit(job_number(2, index)))
        for vm in stalled_vms:
            simulation.stall_at(3.0, vm, 20.0)
        simulation.run(16)
        turnarounds = [
            simulation.turnaround_s(job) for job in simulation.submitted_at_by_job
        ]
        assert all(
            turnaround is not None and turnaround < 12 for turnaround in turnarounds
        )
        late_starts = simulation.started[-50:]
        assert sum(1 for order in late_starts if order.vm in stalled_vms) <= 5


class TestAdviceInALargeCell:
    """Pattern: a call to the advice service can name only part of the workers."""

    def test_work_spreads_over_all_workers(self):
        """Guards against calls that name the same hundred workers every time."""
        queue_terms = workloads.queue(
            "advised",
            1,
            2.2,
            1.0,
            advice_s=0.1,
            advice_each_s=0.001,
            advice_validity_s=1.5,
        )
        simulation = Simulation(
            workloads.workers(count=176, rack=8),
            duration,
            is_permitted=lambda stage, vm: (int(stage[:16], 16) + int(vm[2:])) % 4 == 0,
        )
        step = workloads.StepSpec(22, workloads.Resources(18.0, 1000.0), 6.2, gang=True)
        for index in range(18):
            simulation.submit_at(
                index * 0.1, workloads.job(job_number(3, index), queue_terms, step)
            )
        simulation.run(14)
        turnarounds = [
            simulation.turnaround_s(job) for job in simulation.submitted_at_by_job
        ]
        assert all(
            turnaround is not None and turnaround < 11 for turnaround in turnarounds
        )
        assert len({order.vm for order in simulation.started}) > 100


class TestConcurrentAdvice:
    """Pattern: gangs arrive in a burst while most workers are idle."""

    GANGS = 24
    CALL_S = 1.0

    def test_gangs_do_not_wait_for_a_third_call(self):
        """Guards against calls at the same time that all name the same workers.

        Then most gangs found the workers that the advice permits full, and called again
        up to five times; the last ones started 6 s late.
        """
        terms = workloads.queue(
            "advised",
            1,
            2.2,
            1.0,
            advice_s=0.7,
            advice_each_s=0.01,
            advice_validity_s=1.5,
        )
        simulation = Simulation(
            workloads.workers(count=270, rack=20),
            duration,
            is_permitted=lambda stage, vm: (
                (int(stage[:16], 16) * 7919 + int(vm[2:]) * 31) % 4 == 0
            ),
            callers=96,
        )
        step = workloads.StepSpec(20, workloads.Resources(18.0, 1000.0), 5.0, gang=True)
        for index in range(self.GANGS):
            simulation.submit_at(
                index * 0.02, workloads.job(job_number(3, index), terms, step)
            )
        simulation.run(30)
        objective_s = terms.stretch * step.estimate_s + terms.objective_s
        turnarounds = [
            simulation.turnaround_s(job) for job in simulation.submitted_at_by_job
        ]
        assert all(turnaround <= objective_s for turnaround in turnarounds)
        assert simulation.advice_s <= 2 * self.GANGS * self.CALL_S


class TestAdviceWithFewCallers:
    """Pattern: a surge while most entry VMs cannot call the advice service."""

    def test_calls_for_advice_do_not_accumulate(self):
        """Guards against queued calls for steps that have already sent another one."""
        surge = [("audits", 2.1, 3, 9), ("quotes", 2.2, 7, 11)]
        result = mixedworkloads.simulate(
            mixedworkloads.LARGE_CELL_KINDS, 1, 11, surge, callers=6
        )
        assert result.earned_share("quotes") > 0.95
        assert result.total_earned_share() > 0.64


class TestGangsWithUnevenMembers:
    """Pattern: members of a gang finish at different times and wait for the slowest."""

    def test_finished_members_are_not_moved(self):
        """Guards against a gang that is restarted because some members are done."""
        slowest_s = {0: 4.0, 1: 9.0}
        simulation = Simulation(
            workloads.workers(),
            lambda task, vm: slowest_s.get(int(task.rpartition(".")[2]), 6.0),
        )
        step = workloads.StepSpec(
            8, workloads.Resources(18.0, 1000.0), 6.2, gang=True, checkpoints=True
        )
        simulation.submit_at(
            0, workloads.job(job_number(3, 0), workloads.RESIDUALS, step)
        )
        simulation.run(12)
        assert len(simulation.started) == 8
        assert simulation.turnaround_s(workloads.job_id(job_number(3, 0))) < 9.5


class TestWrongEstimates:
    """Pattern: declared run times are far below the actual ones."""

    def test_workers_of_underestimated_tasks_accept_other_tasks(self):
        """Guards against sound workers that count as slow and stay half empty."""
        simulation = Simulation(
            workloads.workers(count=2),
            lambda task, vm: 9.0 if task[0] == "3" else QUOTE_S,
        )
        step = workloads.StepSpec(
            10, workloads.Resources(10.0, 1000.0), 2.0, gang=True, checkpoints=True
        )
        simulation.submit_at(
            0, workloads.job(job_number(3, 0), workloads.RESIDUALS, step)
        )
        quotes = [workloads.quote(job_number(1, index)) for index in range(8)]
        for index, quote in enumerate(quotes):
            simulation.submit_at(3 + index * 0.5, quote)
        simulation.run(10)
        assert len(simulation.started) == 10 + 2 * len(quotes)
        assert all(
            simulation.turnaround_s(quote.job_id) < 1.5 * QUOTE_S + 0.25
            for quote in quotes
        )


class TestSmallServiceBesideAFullOne:
    """Pattern: one service fills all of its workers, another has a single one."""

    def test_small_service_is_not_idle(self):
        """Guards against a reserve for urgent tasks that one service has to provide."""
        entries = workloads.workers()
        entries[-1] = dataclasses.replace(entries[-1], service="small")
        simulation = Simulation(entries, lambda task, vm: 60.0)
        filling = workloads.StepSpec(23 * 64, workloads.Resources(1.0, 10.0), 60.0)
        simulation.submit_at(0, workloads.job(1, workloads.AUDITS, filling))
        terms = workloads.queue("small", 2, 4.0, 3.0)
        terms.service = "small"
        step = workloads.StepSpec(4, workloads.Resources(4.0, 10.0), 2.0)
        simulation.submit_at(1.0, workloads.job(2, terms, step))
        simulation.run(2.0)
        small = [order for order in simulation.started if order.vm == entries[-1].vm]
        assert len(small) == 4


class TestMemoryFilledByOtherWork:
    """Pattern: tasks that are not urgent use up the memory before the cores."""

    def test_urgent_tasks_find_room(self):
        """Guards against a reserve for urgent tasks that has cores without memory."""
        filling = workloads.job_id(1)

        def duration(task, vm):
            return 8.0 if task.startswith(filling) else 0.8

        simulation = Simulation(workloads.workers(), duration)
        heavy = workloads.StepSpec(24 * 8, workloads.Resources(4.0, 16384.0), 8.0)
        simulation.submit_at(0, workloads.job(1, workloads.AUDITS, heavy))
        for number in range(10):
            when = 1.0 + 0.1 * number
            simulation.submit_at(when, workloads.quote(number + 2))
        simulation.run(3.0)
        started = [order.task for order in simulation.started]
        quotes = [task for task in started if not task.startswith(filling)]
        assert len(quotes) == 20

    def test_task_of_the_whole_service_starts(self):
        """Guards against a reserve that keeps an idle service from its only task."""
        simulation = Simulation(workloads.workers(1), lambda task, vm: 1.0)
        whole = workloads.StepSpec(1, workloads.Resources(64.0, 131072.0), 1.0)
        simulation.submit_at(0, workloads.job(1, workloads.AUDITS, whole))
        simulation.run(0.5)
        assert len(simulation.started) == 1
