"""Tests of interference between tasks: learning, placement and throttling."""

import math
import random

import pytest

from arbutusladder.cell.interference import pairs as pairs_module
from arbutusladder.cell.interference.pacing import RELAPSE_S, WorkerPacing
from arbutusladder.cell.interference.pairs import HALF_LIFE_S, MAX_PAIRS, ImagePairs
from arbutusladder.cell.simulation import Simulation
from arbutusladder.cell.states import JobPhase
from arbutusladder.messages import JobProgress, Resources, StepSpec
from tests.cell import workloads

NOW = 50.0
HARM_S = 4.0


def make_pairs(events=None):
    """Returns a table that appends its events to a list."""
    log = [] if events is None else events
    return ImagePairs(lambda event, **fields: log.append((event, fields)))


def learn(pairs, slowdown, times, now=NOW):
    """Learns the effect of "b" on "a" from runs of random size."""
    rng = random.Random(3)
    for _ in range(times):
        noise = rng.uniform(-0.15, 0.15)
        pairs.learn("a", {"b": 1.0}, math.log(slowdown) + noise, 0.02, now)


class TestImagePairs:
    """Effects by pair of images."""

    def test_few_observations_show_a_strong_effect_in_both_directions(self):
        pairs = make_pairs()
        learn(pairs, 1.8, 4)
        assert pairs.levels("a") == {"b": 2}
        assert pairs.levels("b") == {"a": 2}

    def test_noise_gives_no_level(self):
        """Guards against placement that changes although nothing interferes."""
        pairs = make_pairs()
        learn(pairs, 1.0, 100)
        assert not pairs.levels("a")

    def test_effect_decays_and_is_learnt_again(self):
        """Guards against images that are kept apart for good after a new version."""
        pairs = make_pairs()
        learn(pairs, 1.8, 4)
        learn(pairs, 1.0, 3, NOW + 4 * HALF_LIFE_S)
        assert not pairs.levels("a") and not pairs.levels("b")

    def test_effect_is_told_from_that_of_an_image_that_is_always_near(self):
        pairs = make_pairs()
        for _ in range(10):
            pairs.learn("a", {"b": 1.0, "c": 1.0}, math.log(1.8), 0.02, NOW)
            pairs.learn("a", {"c": 1.0}, 0.0, 0.02, NOW)
        assert pairs.levels("a") == {"b": 2}

    def test_table_is_bounded(self, monkeypatch):
        """Guards against a table that grows with the number of images."""
        monkeypatch.setattr(pairs_module, "MAX_PAIRS", 20)
        pairs = make_pairs()
        for number in range(100):
            pairs.learn(f"{number}", {"b": 1.0}, 1.0, 0.001, NOW)
        assert len(pairs) <= 20 < MAX_PAIRS
        assert len(pairs.levels("b")) <= 20

    def test_level_at_the_threshold_does_not_flap(self):
        events = []
        pairs = make_pairs(events)
        for step in range(60):
            value = math.log(1.1) + (0.03 if step % 2 else -0.03)
            pairs.learn("a", {"b": 1.0}, value + 0.02, 0.002, NOW)
        assert len(events) <= 1


def image_step(image, count, cpu, estimate_s, **fields):
    """Returns a step of an image."""
    return StepSpec(count, Resources(cpu, 1000.0), estimate_s, image=image, **fields)


class TestImagesThatSlowEachOther:
    """Pattern: tasks of one image take twice as long beside tasks of another."""

    def make_simulation(self, workers):
        """Returns a cell whose first workers run tasks of the image "loud"."""

        def duration(task, vm):
            if task.startswith(workloads.job_id(1)):
                return 600.0
            beside = simulation.worker_by_vm[vm].running
            loud = any(run[0].startswith(workloads.job_id(1)) for run in beside)
            return 1.6 if loud else 0.8

        simulation = Simulation(workloads.workers(workers), duration)
        loud = image_step("loud", 2, 24.0, 600.0, max_per_worker=1)
        simulation.submit_at(0, workloads.job(1, workloads.RESIDUALS, loud))
        return simulation

    def load(self, simulation, first, count, start):
        """Submits jobs of the image "quiet", of which two at most run at a time."""
        for number in range(count):
            step = image_step("quiet", 6, 8.0, 0.8)
            record = workloads.job(first + number, workloads.QUOTES, step)
            simulation.submit_at(start + number * 0.5, record)

    def test_they_are_kept_apart_where_there_is_room(self):
        simulation = self.make_simulation(4)
        self.load(simulation, 10, 40, 1.0)
        simulation.run(24)
        assert "loud" in simulation.state.interference.pairs.levels("quiet")
        loud = {order.vm for order in simulation.started[:2]}
        quiet = simulation.started[2:]
        assert any(order.vm in loud for order in quiet[:30])
        assert not any(order.vm in loud for order in quiet[-30:])

    def test_they_run_together_where_there_is_no_other_room(self):
        """Guards against capacity that is denied because of interference."""
        simulation = self.make_simulation(2)
        learn_quiet = simulation.state.interference.pairs.learn
        for _ in range(5):
            learn_quiet("quiet", {"loud": 1.0}, math.log(2.0), 0.02, simulation.now)
        self.load(simulation, 10, 5, 1.0)
        simulation.run(8)
        assert len(simulation.started) == 2 + 5 * 6
        assert simulation.overload_count == 0


class TestServingTaskBesideFillers:
    """Pattern: filler tasks lengthen the response times of a serving task."""

    TARGET_S = 0.2

    def make_simulation(self, calm_ratio=0.5, filler_ratio=1.0):
        """Returns one worker with a serving task and two fillers.

        Args:
            calm_ratio: Tail without fillers as a multiple of the target.
            filler_ratio: Addition by the fillers at full pace.
        """
        self.over_since, self.longest_over_s = None, 0.0

        def figure(worker, task):
            if not task.startswith(workloads.job_id(1)):
                return 1000.0
            paces = [run.pace for run in worker.running.values() if run.task != task]
            load = max(paces, default=0) / 100.0
            ratio = calm_ratio + filler_ratio * load
            now = simulation.now
            if self.over_since is not None:
                self.longest_over_s = max(self.longest_over_s, now - self.over_since)
            self.over_since = (self.over_since or now) if ratio > 1.0 else None
            return ratio * self.TARGET_S * 1000.0

        simulation = Simulation(
            workloads.workers(1), lambda task, vm: 600.0, figure=figure
        )
        serving = image_step("web", 1, 16.0, 0.0, lasting=True, target_s=self.TARGET_S)
        filler = image_step("train", 2, 8.0, 600.0, fills=True)
        simulation.submit_at(0, workloads.job(1, workloads.RESIDUALS, serving))
        simulation.submit_at(1, workloads.job(2, workloads.AUDITS, filler))
        return simulation

    def test_fillers_are_throttled_before_the_limit(self):
        simulation = self.make_simulation()
        simulation.run(30)
        assert 0.0 < self.longest_over_s < HARM_S - 1.0

    def test_pace_does_not_flap(self):
        """Guards against fillers that harm the serving task again and again."""
        simulation = self.make_simulation()
        simulation.run(120)
        restored = [when for when, order in simulation.paced if order.percent == 100]
        assert len(set(restored)) <= 6

    def test_fillers_beside_a_calm_serving_task_keep_their_pace(self):
        simulation = self.make_simulation(filler_ratio=0.2)
        simulation.run(10)
        assert not simulation.paced

    def test_paces_are_set_anew_after_a_takeover(self):
        """Guards against fillers that stay slow because a predecessor died."""
        simulation = self.make_simulation(filler_ratio=0.2)
        simulation.run(3)
        runs = simulation.worker_by_vm[workloads.workers(1)[0].vm].running
        records = [job.record for job in simulation.state.job_by_id.values()]
        successor = Simulation(workloads.workers(1), lambda task, vm: 600.0)
        for record in records:
            progress = JobProgress(JobPhase.RUNNING)
            successor.state.add_job(record, progress, successor.now, inherited=True)
        for run in runs.values():
            run.pace = 20
        (worker,) = successor.worker_by_vm.values()
        worker.running.update(runs)
        now = successor.now
        successor.state.apply_report(worker.entry.vm, worker.report(now), now, now)
        successor.run(2)
        fillers = [r for r in runs.values() if r.task.startswith(workloads.job_id(2))]
        assert [run.pace for run in fillers] == [100, 100]
        assert len(successor.paced) == 2


class TestPacing:
    """Hysteresis of the pace on one worker."""

    def run_steps(self, pacing, ratios, step_s=0.5):
        """Updates the pace with figures and returns the paces."""
        paces = []
        for number, ratio in enumerate(ratios):
            now = NOW + number * step_s
            pacing.record_tail(("t", 1), ratio, now)
            pacing.update(HARM_S, now)
            paces.append(pacing.percent)
        return paces

    def test_last_level_comes_well_before_the_limit(self):
        paces = self.run_steps(WorkerPacing(), [1.5] * 4)
        assert paces == [50, 20, 0, 0]

    @pytest.mark.parametrize("ratio", [0.75, 0.85])
    def test_tail_between_the_thresholds_changes_nothing(self, ratio):
        paces = self.run_steps(WorkerPacing(), [1.5, *[ratio] * 40])
        assert set(paces) == {50}

    def test_each_restoration_that_did_harm_delays_the_next_one(self):
        pacing, waits, seconds = WorkerPacing(), [], 0.0
        calm_until = None
        for number in range(1200):
            now = NOW + number * 0.1
            ratio = 1.2 if pacing.level == 0 else 0.5
            pacing.record_tail(("t", 1), ratio, now)
            if pacing.update(HARM_S, now) and pacing.level == 0:
                if calm_until is not None:
                    waits.append(now - calm_until)
                calm_until = now
            seconds += 0.1
        assert waits == sorted(waits) and waits[-1] > 2 * RELAPSE_S
