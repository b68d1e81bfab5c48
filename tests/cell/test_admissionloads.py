"""Tests of admission control under loads, compared with a cell that accepts all."""

from collections import Counter

import pytest

from arbutusladder.cell.simulatedclients import SimulatedClients
from arbutusladder.cell.simulation import Simulation
from arbutusladder.messages import Resources, StepSpec
from tests.cell import admissionloads, workloads
from tests.cell.admissionloads import in_time_by_queue, mixed_load


def compare(load, seconds, **faults):
    """Returns the clients with and without admission control."""
    accepting = admissionloads.run(load, seconds, admits=False, **faults)
    return admissionloads.run(load, seconds, **faults), accepting


class TestCalm:
    """Load: as many jobs as the cell serves, with estimates wrong by up to 90 %."""

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_nothing_is_refused(self, seed):
        """Guards against refusals because of wrong estimates."""
        load = mixed_load(seed, 25.0)
        clients, accepting = compare(load, 40.0)
        assert not clients.refusals_by_job
        assert in_time_by_queue(load, clients) == in_time_by_queue(load, accepting)


class TestSurgeOfOneQueue:
    """Load: one queue of a busy cell sends more than twice as much for 6 s."""

    @pytest.mark.parametrize("queue", ["quotes", "residuals", "audits"])
    @pytest.mark.parametrize("seed", [1, 2])
    def test_nothing_is_refused_that_clears_in_time(self, queue, seed):
        """Guards against refusals by the length of a backlog."""
        load = mixed_load(seed, 25.0, (queue, 2.2, 8.0, 14.0), busy=1.4)
        clients, accepting = compare(load, 50.0)
        # The load is one in which jobs wait for longer than the surge lasts.
        assert admissionloads.longest_wait_s(load, accepting) > 6.0
        assert not clients.refusals_by_job
        assert in_time_by_queue(load, clients) == in_time_by_queue(load, accepting)


class TestWorkersLostInSurge:
    """Load: a surge of the audits, and workers are lost in it."""

    @pytest.mark.parametrize(("seed", "lost"), [(1, 12), (2, 12), (1, 21), (3, 21)])
    def test_only_worthless_jobs_are_refused(self, seed, lost):
        """Guards against refusing jobs that would have been worth something."""
        load = mixed_load(seed, 25.0, ("audits", 2.2, 8.0, 14.0))
        clients, accepting = compare(load, 90.0, lost=lost, lost_at=10.0)
        refused = [
            record
            for _, record in load.submissions
            if record.job_id in clients.refusals_by_job
        ]
        assert not any(admissionloads.ended_within(accepting, r) for r in refused)
        with_control = in_time_by_queue(load, clients)
        without = in_time_by_queue(load, accepting)
        assert sum(with_control.values()) >= sum(without.values())
        assert with_control["quotes"] >= without["quotes"]


# Seconds for which tasks hold all workers, and second at which the clients come.
HELD_S, CAME_AT_S = 20.0, 3.0
CLIENTS = 200


def held_cell(admits):
    """Returns clients of urgent jobs that come while all workers are held."""
    simulation = Simulation(
        workloads.workers(24),
        lambda task, vm: HELD_S if task.startswith(workloads.job_id(0)) else 0.8,
    )
    clients = SimulatedClients(simulation, admits)
    step = StepSpec(24, Resources(64.0, 4000.0), HELD_S)
    clients.submit_at(0.5, workloads.job(0, workloads.QUOTES, step))
    for number in range(1, CLIENTS + 1):
        clients.submit_at(CAME_AT_S, workloads.quote(number))
    return clients


class TestSynchronisedRetries:
    """Load: clients come together while there is no room, and return when told."""

    def test_clients_return_spread_out_once_there_is_room(self):
        """Guards against an untrue Retry-After, and against a surge of returns."""
        clients = held_cell(admits=True)
        clients.simulation.run(50.0)
        refusals = [rows for rows in clients.refusals_by_job.values() if rows]
        assert len(refusals) == CLIENTS
        assert all(len(rows) == 1 for rows in refusals)
        returns = [rows[0][0] + rows[0][1].retry_after_s for rows in refusals]
        assert min(returns) >= CAME_AT_S + HELD_S - 3.5
        assert max(Counter(map(int, returns)).values()) <= CLIENTS / 3
        submitted = clients.simulation.submitted_at_by_job
        turnarounds = [
            clients.simulation.turnaround_s(job_id)
            for job_id in submitted
            if job_id != workloads.job_id(0)
        ]
        assert len(turnarounds) == CLIENTS and max(turnarounds) < 5.0

    def test_without_admission_all_wait_in_the_cell_for_nothing(self):
        """Guards against a comparison with a load that has room."""
        clients = held_cell(admits=False)
        clients.simulation.run(50.0)
        ends = [
            clients.ended_s(job_id)
            for job_id in clients.first_submitted_by_job
            if job_id != workloads.job_id(0)
        ]
        assert min(ends) > 5.2


class TestClientsThatGiveUp:
    """Load: a surge fills the cell, and its clients cancel their jobs."""

    def test_waits_end_with_the_backlog(self):
        """Guards against refusals by work that nobody wants any more."""
        simulation = Simulation(workloads.workers(24), lambda task, vm: 3.0)
        clients = SimulatedClients(simulation)
        surge = [workloads.audit(n, count=60, estimate_s=3.0) for n in range(80)]
        for record in surge:
            clients.submit_at(2.0, record)
            clients.cancel_at(8.0, record.job_id)
        later = [workloads.quote(100 + n) for n in range(20)]
        later += [workloads.audit(200 + n) for n in range(5)]
        for record in later:
            clients.submit_at(8.5, record)
        simulation.run(20.0)
        before = [f for when, f in clients.forecasts if when < 8.0]
        assert max(row.wait_s for f in before for row in f.rows) > 10.0
        assert not [f for when, f in clients.forecasts if when > 8.6]
        assert not clients.refusals_by_job.keys() & {r.job_id for r in later}
        assert all(clients.ended_s(r.job_id) is not None for r in later)
