"""Tests of learnt speeds of workers and durations of tasks."""

import math
import random

import pytest

from arbutusladder.cell.cellstate import CellState
from arbutusladder.cell.performance.classes import CLASS_WIDTH, classify
from arbutusladder.cell.performance.durations import DurationEstimates
from arbutusladder.cell.performance.groups import speed_groups
from arbutusladder.cell.performance.longterm import WorkerSpeed
from arbutusladder.cell.performance.preference import (
    required_speed,
    speed_preference,
)
from arbutusladder.cell.performance.stepruns import StepDurations
from arbutusladder.cell.performance.tracker import PerformanceTracker
from arbutusladder.cell.simulation import Simulation
from arbutusladder.cell.states import JobPhase
from arbutusladder.cell.workers import Worker
from arbutusladder.cell.workerselection import select_gang_workers, select_worker
from arbutusladder.messages import JobProgress
from tests.cell import mixedworkloads, workloads

NOW = 50.0
SPEED_BY_CLASS = {-2: 0.6, 0: 1.0, 2: 1.6}


def make_stage(record):
    """Returns the first step of a job that was just accepted."""
    cell = CellState(0.0, lambda task: None)
    job = cell.add_job(record, JobProgress(JobPhase.QUEUED), NOW)
    return next(iter(job.stage_by_key.values()))


def make_workers(classes):
    """Returns idle workers of the given classes of speed."""
    workers = [Worker.create(entry) for entry in workloads.workers(len(classes))]
    for worker, number in zip(workers, classes, strict=True):
        worker.speed.speed_class = number
    return workers


def learn_steps(speeds, actual, ratio, steps=60, width=3):
    """Compares steps of random size, in virtual time, and returns the ratio learnt."""
    rng, durations = random.Random(7), DurationEstimates()
    for step in range(steps):
        compared, estimate_s = StepDurations(), rng.uniform(0.5, 5.0)
        for index in rng.sample(range(len(speeds)), width):
            size = estimate_s * ratio * rng.uniform(0.85, 1.15)
            compared.add(speeds[index], size / actual[index], NOW + step)
        expected_s = durations.expected_s("q", "i", estimate_s)
        seconds = compared.compare(expected_s, durations.spread("q", "i"), NOW + step)
        durations.learn("q", "i", estimate_s, seconds, 1.0)
    return durations.expected_s("q", "i", 1.0)


class TestLearntSpeeds:
    """Speeds follow from steps whose runs are on different workers."""

    def test_speeds_and_wrong_estimates_are_told_apart(self):
        """Guards against workers that count as slow because estimates are too low."""
        actual = [0.6, 1.0, 1.6] * 4
        speeds = [WorkerSpeed() for _ in actual]
        ratio = learn_steps(speeds, actual, ratio=2.0)
        learnt = [math.exp(speed.log_mean) for speed in speeds]
        for value, expected in zip(learnt, actual, strict=True):
            assert value / learnt[1] == pytest.approx(expected, rel=0.15)
        assert ratio * learnt[1] == pytest.approx(2.0, rel=0.15)
        assert len(classify(speeds)) == 3

    def test_equal_workers_stay_in_one_class(self):
        """Guards against an order of workers that follows from noise."""
        speeds = [WorkerSpeed() for _ in range(40)]
        learn_steps(speeds, [1.0] * 40, ratio=1.4, steps=200)
        assert list(classify(speeds)) == [0]

    def test_runs_on_one_worker_are_not_compared_with_each_other(self):
        """Guards against certainty about a worker without any other to compare."""
        speed, durations = WorkerSpeed(), StepDurations()
        for _ in range(20):
            durations.add(speed, 2.0, NOW)
        durations.compare(1.0, 0.5, NOW)
        assert not speed.is_known

    def test_one_stalled_run_hardly_changes_a_known_speed(self):
        speed = WorkerSpeed(variance=0.03**2, observations=9, changed_at=NOW)
        speed.learn(math.log(0.1), 0.01, NOW)
        assert speed.log_mean > -CLASS_WIDTH / 2

    def test_class_changes_only_by_a_clear_deviation(self):
        """Guards against a worker that moves between two classes all the time."""
        others = [WorkerSpeed(variance=0.0001) for _ in range(9)]
        worker = WorkerSpeed(variance=0.0001)
        seen = []
        for log_speed in (0.12, 0.13, 0.12, 0.17, 0.12, 0.13, 0.12):
            worker.log_mean = log_speed
            classify([*others, worker])
            seen.append(worker.speed_class)
        assert seen == [0, 0, 0, 1, 1, 1, 1]

    def test_class_of_new_workers_always_has_a_speed(self):
        """Guards against a class without a rank when a worker has just joined."""
        speeds = [WorkerSpeed(variance=0.006, speed_class=1) for _ in range(4)]
        assert 0 in classify(speeds)


class TestChoiceBySpeed:
    """Steps use the slowest workers on which they meet their objective."""

    def test_urgent_task_is_not_placed_on_a_slow_worker(self):
        """Guards against short urgent tasks that are late on workers of speed 0.6."""
        stage = make_stage(workloads.quote(1))
        workers = make_workers([-2, -2, 0, 2])
        workers[0].reserve(workloads.Resources(40.0, 10.0))
        preference = speed_preference(stage, SPEED_BY_CLASS, NOW)
        chosen = select_worker(stage, workers, NOW, preference)
        assert SPEED_BY_CLASS[chosen.speed.speed_class] >= required_speed(stage, NOW)
        assert chosen.speed.speed_class >= 0
        assert select_worker(stage, workers[:2], NOW, preference) is workers[0]

    def test_step_with_slack_leaves_fast_workers_free_until_it_is_tight(self):
        stage = make_stage(workloads.audit(1))
        workers = make_workers([2, 0, -2])
        for now, number in ((NOW, -2), (NOW + 9.0, 2)):
            preference = speed_preference(stage, SPEED_BY_CLASS, now)
            chosen = select_worker(stage, workers, now, preference)
            assert chosen.speed.speed_class == number

    def test_gang_uses_one_class_or_that_with_the_fastest_slowest_member(self):
        stage = make_stage(workloads.residual(1, count=6))
        preference = speed_preference(stage, SPEED_BY_CLASS, NOW + 4.0)
        workers = make_workers([-2, 0, 2, -2, 0, 2, 2])
        chosen = select_gang_workers(stage, workers, NOW, preference)
        assert len({worker.speed.speed_class for worker in chosen}) == 1
        workers = make_workers([-2, 0, 2, -2])
        chosen = select_gang_workers(stage, workers, NOW, preference)
        assert {worker.speed.speed_class for worker in chosen} == {0, 2}

    def test_every_worker_is_in_the_last_group(self):
        """Guards against room that a wide gang does not find because of speeds."""
        stage = make_stage(workloads.residual(1))
        workers = make_workers([-2, 0, 2, 0])
        for now in (NOW, NOW + 9.0, NOW + 1000.0):
            preference = speed_preference(stage, SPEED_BY_CLASS, now)
            assert len(speed_groups(workers, preference)[-1]) == 4

    def test_newcomer_is_tried_with_a_single_task_and_spared_by_gangs(self):
        newcomer, *others = make_workers([0] * 4)
        newcomer.speed.newcomer = True
        for worker in others:
            worker.reserve(workloads.Resources(20.0, 10.0))
        audit = make_stage(workloads.audit(1))
        assert select_worker(audit, [*others, newcomer], NOW) is newcomer
        gang = make_stage(workloads.residual(2, count=6))
        assert newcomer not in select_gang_workers(gang, [newcomer, *others], NOW)
        gang = make_stage(workloads.residual(3, count=9))
        assert newcomer in select_gang_workers(gang, [newcomer, *others], NOW)


class TestDeployment2:
    """Pattern: urgent jobs, gangs and wide steps on workers of three speeds."""

    def simulate(self, seed):
        """Returns the result of a calm load of 20 s."""
        return mixedworkloads.simulate(
            mixedworkloads.UNEVEN_CELL_KINDS,
            seed,
            20,
            speeds=mixedworkloads.UNEVEN_SPEEDS,
            memory_mb=262144.0,
            warm_up_s=8.0,
        )

    @pytest.mark.parametrize("seed", [1, 4])
    def test_fewer_urgent_jobs_are_late_than_with_speeds_ignored(
        self, seed, monkeypatch
    ):
        """Guards against urgent jobs that are late because their workers are slow."""
        result = self.simulate(seed)
        monkeypatch.setattr(
            PerformanceTracker, "update_classes", lambda self, workers, now: None
        )
        without = self.simulate(seed)
        assert result.late_share("quotes") < without.late_share("quotes") / 2
        assert result.late_share("audits") <= without.late_share("audits")
        assert result.simulation.overload_count == 0


class TestRestartedWorker:
    """Pattern: a worker restarts while the speeds of all others are known."""

    def test_restarted_worker_counts_as_untried(self):
        entries = workloads.workers(count=6)
        simulation = Simulation(entries, lambda task, vm: 0.8)
        for number in range(200):
            simulation.submit_at(number * 0.03, workloads.quote(number, count=6))
        simulation.run(8)
        speeds = [worker.speed for worker in simulation.state.worker_by_vm.values()]
        assert all(speed.is_known and not speed.newcomer for speed in speeds)
        worker = simulation.state.worker_by_vm[entries[0].vm]
        simulation.state.begin_incarnation(worker, 2, simulation.now, "report")
        simulation.run(10)
        assert worker.speed.newcomer
