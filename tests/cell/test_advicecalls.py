"""Tests the choice of the workers that calls for advice name."""

import pytest

from arbutusladder.cell.advicecalls import (
    MIN_WORKERS_PER_CALL,
    AdviceDemand,
    select_advice_workers,
)
from arbutusladder.cell.cellstate import CellState
from arbutusladder.cell.states import JobPhase
from arbutusladder.cell.workers import Worker
from arbutusladder.ids import RequestId
from arbutusladder.messages import AdviceReply, JobProgress, Resources, StepSpec
from tests.cell import workloads

CORES = 64.0


def make_cell(jobs):
    """Returns a cell with jobs of one step of 16 tasks, and these steps."""
    cell = CellState(0.0, lambda task: None)
    terms = workloads.queue("advised", 1, 2.0, 1.0, advice_s=0.7)
    step = StepSpec(16, Resources(16.0, 1000.0), 5.0)
    stages = []
    for number in range(jobs):
        job = cell.add_job(
            workloads.job(number, terms, step), JobProgress(JobPhase.QUEUED), now=0.0
        )
        stages += job.stage_by_key.values()
    return cell, stages


def make_workers(count):
    """Returns idle workers."""
    return [Worker.create(entry) for entry in workloads.workers(count)]


class TestAdviceDemand:
    """Guards against calls in progress at the same time that name the same workers."""

    def test_second_call_names_other_workers(self):
        cell, (first, second) = make_cell(2)
        workers = make_workers(2 * MIN_WORKERS_PER_CALL)
        named = select_advice_workers(first, workers, cell.advice_demand)
        cell.advice_demand.begin_call(first, named)
        others = select_advice_workers(second, workers, cell.advice_demand)
        assert len(named) == len(others) == MIN_WORKERS_PER_CALL
        assert not set(named) & set(others)

    @pytest.mark.parametrize("answered", [True, False])
    def test_demand_ends_with_its_call(self, answered):
        """A call that failed must not keep its workers from being named for good."""
        cell, (stage,) = make_cell(1)
        (worker,) = make_workers(1)
        cell.advice_demand.begin_call(stage, (worker.entry.vm,))
        assert cell.advice_demand.remaining(worker).cpu == 0.0
        reply = AdviceReply(RequestId("r1"), answered)
        cell.apply_advice(stage.key, (worker.entry.vm,), reply, 1.0)
        assert cell.advice_demand.remaining(worker).cpu == CORES

    def test_demand_of_an_ended_job_ends(self):
        """The reply may arrive after the job was cancelled and removed."""
        cell, (stage,) = make_cell(1)
        (worker,) = make_workers(1)
        cell.advice_demand.begin_call(stage, (worker.entry.vm,))
        del cell.job_by_id[stage.job.id]
        cell.apply_advice(
            stage.key, (worker.entry.vm,), AdviceReply(RequestId("r1"), True), 1.0
        )
        assert cell.advice_demand.remaining(worker).cpu == CORES

    def test_worker_keeps_its_place_if_it_has_more_room(self):
        """Guards against spreading calls to full workers only because these are new."""
        cell, (first, second) = make_cell(2)
        workers = make_workers(2 * MIN_WORKERS_PER_CALL)
        idle, full = workers[:MIN_WORKERS_PER_CALL], workers[MIN_WORKERS_PER_CALL:]
        for worker in full:
            worker.reserve(Resources(CORES, 1000.0))
        demand = AdviceDemand()
        demand.begin_call(first, tuple(worker.entry.vm for worker in idle))
        named = select_advice_workers(second, workers, demand)
        assert {worker.entry.vm for worker in idle} <= set(named)
