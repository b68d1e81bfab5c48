"""Tests of the fair-share policy."""

import sys
from collections import Counter

import pytest

from arbutusladder.decisions import Checkpoint, Refused, Resume, Start, Stop, Throttle
from arbutusladder.declarations import Amount, ClassPolicy, Preset, Team
from arbutusladder.messages import Resources
from arbutusladder.policies import make_policy, replace_policy
from arbutusladder.states import JobState, Reason, TaskEnd, Urgency
from tests.test_policies import new_job, new_policy, start_all, starts_of

PREEMPTIBLE = ClassPolicy(preemptible=True)


def finish(policy, start, now, end=TaskEnd.FINISHED):
    policy.task_ended(start.task_id, start.vm, end, 1.0, now)


def classes_of(policy, starts):
    return Counter(policy.jobs_by_id[s.job_id].spec.urgency for s in starts)


def count_calls(function):
    """Returns the number of calls during a function, as a measure of its cost."""
    calls = 0

    def count(frame, event, argument):
        nonlocal calls
        calls += event in ("call", "c_call")

    sys.setprofile(count)
    try:
        function()
    finally:
        sys.setprofile(None)
    return calls


class TestClasses:
    """Guards against starvation of other classes by a flood of one class."""

    def test_batch_flood_does_not_use_the_urgent_reserve(self):
        policy = new_policy(workers=4, urgent=ClassPolicy(reserved=0.25))
        policy.submit(new_job("flood", tasks=1000, urgency=Urgency.BATCH), 0.0)
        assert len(start_all(policy, 0.0)) == 24
        policy.submit(new_job("quote", tasks=8, urgency=Urgency.URGENT), 0.1)
        assert len(start_all(policy, 0.2)) == 8

    def test_sustained_urgent_flood_does_not_use_the_batch_reserve(self):
        policy = new_policy(workers=4, batch=ClassPolicy(reserved=0.25))
        policy.submit(new_job("batch", tasks=1000, urgency=Urgency.BATCH), 0.0)
        policy.submit(new_job("flood", tasks=9999, urgency=Urgency.URGENT), 0.0)
        running, batch = [], 0
        for now in range(30):
            running.extend(start_all(policy, float(now), limit=40))
            started = classes_of(policy, running)
            batch += started[Urgency.BATCH]
            assert now < 3 or started[Urgency.BATCH] >= 8
            for start in running:
                finish(policy, start, now + 0.5)
            running.clear()
        assert batch >= 8 * 27

    def test_class_ceiling_limits_starts(self):
        policy = new_policy(workers=4, normal=ClassPolicy(ceiling=0.5))
        policy.submit(new_job(tasks=100), 0.0)
        assert len(start_all(policy, 0.0)) == 16
        assert policy.explain("job", 0.0).reason is Reason.CLASS_CEILING

    def test_full_queue_refuses_with_a_retry_hint(self):
        policy = new_policy(normal=ClassPolicy(queue_limit=2))
        for number in range(2):
            policy.submit(new_job(f"job{number}", tasks=100), 0.0)
        refused = policy.submit(new_job("late"), 0.0)
        assert refused.reason is Reason.QUEUE_FULL
        assert refused.retry_after_ms >= 1000

    def test_urgent_job_with_a_long_expected_wait_is_refused(self):
        policy = new_policy(workers=1)
        answers = []
        for number in range(100):
            now = number / 10
            job = new_job(f"job{number}", cpu=8.0, urgency=Urgency.URGENT)
            answers.append(policy.submit(job, now))
            start_all(policy, now)
        refused = [answer for answer in answers if isinstance(answer, Refused)]
        assert len(refused) > 90
        assert refused[0].reason is Reason.QUEUE_FULL

    def test_aged_batch_job_competes_with_normal_jobs(self):
        policy = new_policy(workers=1, aging_step_s=10.0)
        policy.submit(new_job("old", cpu=8.0, urgency=Urgency.BATCH), 0.0)
        started = []
        for number in range(6):
            now = number * 10.0
            policy.submit(new_job(f"normal{number}", cpu=8.0), now)
            start = start_all(policy, now)[0]
            started.append(start.job_id)
            finish(policy, start, now + 9.0)
        assert started.index("old") == 4


class TestTeams:
    """Guards against a team that exceeds its share or quota."""

    def test_quota_is_never_exceeded(self):
        teams = {"team": Team("team", Amount(3.0, 0.0, 0))}
        policy = make_policy(Preset(name="test"), teams)
        policy.worker_changed("w0", Resources(8.0, 16384), "rack", True, 0.0)
        policy.submit(new_job(tasks=8), 0.0)
        starts = start_all(policy, 0.0)
        assert len(starts) == 3
        assert policy.explain("job", 0.0).reason is Reason.OVER_QUOTA
        finish(policy, starts[0], 1.0)
        assert len(start_all(policy, 1.0)) == 1

    def test_job_larger_than_the_quota_is_refused_on_submission(self):
        teams = {"team": Team("team", Amount(3.0, 0.0, 0))}
        policy = make_policy(Preset(name="test"), teams)
        policy.worker_changed("w0", Resources(8.0, 16384), "rack", True, 0.0)
        assert policy.submit(new_job(cpu=4.0), 0.0).reason is Reason.OVER_QUOTA
        gang = new_job("gang", tasks=4, gang=True)
        assert policy.submit(gang, 0.0).reason is Reason.OVER_QUOTA

    def test_270_teams_get_equal_shares(self):
        policy = new_policy(workers=54, cpu=10.0)
        policy.submit(new_job("greedy", tasks=5000, team="team0"), 0.0)
        for number in range(270):
            policy.submit(new_job(f"job{number}", tasks=50, team=f"team{number}"), 0.0)
        start_all(policy, 0.0)
        held = [policy.teams.used(f"team{number}").cpu for number in range(270)]
        # A share step of 1 % of 540 cores equals 5.4 tasks.
        assert sum(held) == 540
        assert max(held) - min(held) <= 6

    def test_team_weights(self):
        teams = {
            "a": Team("a", Amount(), 3.0),
            "b": Team("b", Amount(), 1.0),
        }
        policy = make_policy(Preset(name="test"), teams)
        policy.worker_changed("w0", Resources(100.0, 204800), "rack", True, 0.0)
        for team in teams:
            policy.submit(new_job(team, tasks=200, team=team), 0.0)
        held = Counter(start.job_id for start in start_all(policy, 0.0))
        assert held["a"] == pytest.approx(75, abs=4)


class TestGangs:
    """Guards against gangs that starve, deadlock or start partially."""

    def run_small_tasks(self, policy, since, until, run_time_s, gangs, ends):
        """Submits small tasks every second and returns the start time of each gang."""
        started = {}
        for now in range(since, until):
            for start in [s for at, s in ends if at <= now]:
                finish(policy, start, now)
            ends[:] = [(at, s) for at, s in ends if at > now]
            for number in range(10):
                name = f"small{now}-{number}"
                policy.submit(new_job(name, run_time_s=run_time_s), now)
            for start in start_all(policy, now):
                ends.append((now + run_time_s, start))
                if start.job_id in gangs:
                    started.setdefault(start.job_id, now)
        return started

    def test_gang_starts_under_a_stream_of_small_tasks(self):
        policy = new_policy(workers=4)
        ends = []
        self.run_small_tasks(policy, 0, 20, 10, (), ends)
        policy.submit(new_job("gang", tasks=4, cpu=8.0, gang=True), 19.0)
        started = self.run_small_tasks(policy, 20, 60, 10, ("gang",), ends)
        assert started["gang"] <= 40

    def test_two_gangs_do_not_deadlock(self):
        policy = new_policy(workers=4, aging_step_s=5.0)
        ends = []
        self.run_small_tasks(policy, 0, 20, 10, (), ends)
        for name in ("one", "two"):
            gang = new_job(name, tasks=3, cpu=8.0, gang=True, run_time_s=10)
            policy.submit(gang, 19.0)
        started = self.run_small_tasks(policy, 20, 120, 10, ("one", "two"), ends)
        assert set(started) == {"one", "two"}

    def test_backfill_requires_an_end_before_the_reserved_start(self):
        policy = new_policy(workers=2)
        policy.submit(new_job("long", cpu=6.0, run_time_s=100), 0.0)
        start_all(policy, 0.0)
        policy.submit(new_job("gang", tasks=2, cpu=8.0, gang=True), 1.0)
        start_all(policy, 1.0)
        policy.submit(new_job("slow", cpu=2.0, run_time_s=500), 2.0)
        assert start_all(policy, 2.0) == []
        policy.submit(new_job("quick", cpu=2.0, run_time_s=50), 3.0)
        assert [start.job_id for start in start_all(policy, 3.0)] == ["quick"]

    def test_gang_that_never_fits_is_refused(self):
        refused = new_policy().submit(new_job(tasks=3, cpu=8.0, gang=True), 0.0)
        assert refused.reason is Reason.GANG_NEVER_FITS

    def test_large_task_is_not_starved_by_small_ones(self):
        policy = new_policy(workers=1, aging_step_s=5.0)
        ends = []
        self.run_small_tasks(policy, 0, 20, 7, (), ends)
        # About 165 s of earlier tasks are ahead in the queue.
        large = new_job("large", cpu=8.0, urgency=Urgency.NORMAL)
        policy.submit(large, 19.0)
        assert "large" in self.run_small_tasks(policy, 20, 260, 7, ("large",), ends)


class TestPlacement:
    """Guards against placement on unsuitable workers."""

    def test_accelerator_workers_are_reserved_for_accelerator_tasks(self):
        policy = new_policy(workers=1)
        policy.worker_changed("gpu", Resources(64.0, 131072, 4), "rack", True, 0.0)
        policy.submit(new_job("plain", tasks=20), 0.0)
        training = new_job("training", tasks=4)
        training.task_resources = Resources(1.0, 1024, 1)
        policy.submit(training, 0.0)
        vms = {(start.job_id, start.vm) for start in start_all(policy, 0.0)}
        assert vms == {("plain", "w0"), ("training", "gpu")}

    def test_service_spreads_over_racks(self):
        policy = new_policy(workers=4)
        policy.submit(new_job(tasks=4, service=True, urgency=Urgency.SERVICE), 0.0)
        assert len({start.vm for start in start_all(policy, 0.0)}) == 4

    def test_estimated_size_is_reserved(self):
        policy = new_policy(workers=1)
        policy.submit(new_job("first", tasks=6), 0.0)
        for start in start_all(policy, 0.0):
            policy.usage_reported(start.task_id, Resources(1.0, 2048), 1.0)
            finish(policy, start, 2.0)
        policy.submit(new_job("second", tasks=20), 3.0)
        starts = start_all(policy, 3.0)
        assert len(starts) == 8
        assert starts[0].resources.memory_mb == 2048


class TestPreemption:
    """Guards against urgent jobs that wait for batch jobs, and lost batch results."""

    def new_full_policy(self, **changes):
        changes.setdefault("preemption", ["throttle", "checkpoint", "stop"])
        policy = new_policy(workers=2, batch=PREEMPTIBLE, **changes)
        batch = new_job("batch", tasks=16, urgency=Urgency.BATCH)
        batch.task_resources = Resources(1.0, 512)
        policy.submit(batch, 0.0)
        start_all(policy, 0.0)
        return policy

    def test_throttle_precedes_other_actions_and_is_lifted(self):
        policy = self.new_full_policy()
        policy.submit(new_job("quote", cpu=3.0, urgency=Urgency.URGENT), 1.0)
        decisions = policy.decide(1.0, 100)
        assert [type(d) for d in decisions] == [Throttle] * 4 + [Start]
        finish(policy, decisions[-1], 2.0)
        resumed = policy.decide(2.0, 100)
        assert [type(d) for d in resumed] == [Resume] * 4

    def test_checkpoint_is_followed_by_a_stop(self):
        policy = self.new_full_policy(preemption=["checkpoint", "stop"])
        policy.submit(new_job("quote", cpu=2.0, urgency=Urgency.URGENT), 1.0)
        checkpoints = policy.decide(1.0, 100)
        assert [type(d) for d in checkpoints] == [Checkpoint] * 2
        assert policy.decide(2.0, 100) == []
        stops = policy.decide(7.0, 100)
        assert {type(d) for d in stops} == {Stop}
        for stop in stops:
            finish(policy, stop, 8.0, TaskEnd.STOPPED)
        assert [s.job_id for s in starts_of(policy.decide(8.0, 100))] == ["quote"]

    def test_preemption_budget_limits_actions(self):
        policy = self.new_full_policy(preemption=["checkpoint"], preemption_budget=3)
        policy.submit(new_job("q", tasks=9, urgency=Urgency.URGENT), 1.0)
        assert len(policy.decide(1.0, 100)) == 3
        assert policy.decide(30.0, 100) != []
        kinds = [type(d) for d in policy.decide(30.5, 100)]
        assert Checkpoint not in kinds

    def test_non_idempotent_task_is_never_ended(self):
        policy = new_policy(workers=1, batch=PREEMPTIBLE)
        job = new_job("count", tasks=8, urgency=Urgency.BATCH, idempotent=False)
        policy.submit(job, 0.0)
        start_all(policy, 0.0)
        policy.submit(new_job("quote", cpu=8.0, urgency=Urgency.URGENT), 1.0)
        assert policy.decide(1.0, 100) == []

    def test_reserved_share_of_batch_is_not_preempted(self):
        batch = ClassPolicy(reserved=0.5, preemptible=True)
        policy = new_policy(workers=2, batch=batch, preemption=["checkpoint"])
        policy.submit(new_job("batch", tasks=16, urgency=Urgency.BATCH), 0.0)
        start_all(policy, 0.0)
        policy.submit(new_job("flood", tasks=99, urgency=Urgency.URGENT), 1.0)
        for step in range(20):
            for decision in policy.decide(1.0 + step, 100):
                if isinstance(decision, Checkpoint):
                    finish(policy, decision, 1.0 + step, TaskEnd.CHECKPOINTED)
        assert len(policy.jobs_by_id["batch"].tasks) >= 8


class TestUsage:
    """Guards against VMs whose tasks use more than the capacity."""

    def test_worst_overuser_is_throttled_checkpointed_and_stopped(self):
        policy = new_policy(workers=1)
        policy.submit(new_job("calm", cpu=4.0), 0.0)
        policy.submit(new_job("overuser", cpu=4.0, tasks=1), 0.0)
        start_all(policy, 0.0)
        seen = []
        for now in range(1, 60):
            policy.usage_reported("calm/0", Resources(4.0, 4096), now)
            policy.usage_reported("overuser/0", Resources(7.0, 14000), now)
            seen.extend(policy.decide(now, 10))
        assert {decision.task_id for decision in seen} == {"overuser/0"}
        kinds = [type(decision) for decision in seen]
        assert kinds[:3] == [Throttle, Checkpoint, Stop]

    def test_overuse_without_contention_is_tolerated(self):
        policy = new_policy(workers=1)
        policy.submit(new_job("overuser", cpu=2.0), 0.0)
        start_all(policy, 0.0)
        policy.usage_reported("overuser/0", Resources(6.0, 2048), 20.0)
        assert policy.decide(20.0, 10) == []
        policy.submit(new_job("other", tasks=8), 21.0)
        assert len(start_all(policy, 21.0)) == 2


class TestQuarantine:
    """Guards against starts on failing workers, and quarantine due to one bad job."""

    def fail_tasks_on(self, policy, now, bad_vm):
        """Fails all tasks on one VM; returns how many were started there."""
        tried = 0
        for start in start_all(policy, now):
            bad = start.vm == bad_vm
            tried += bad
            finish(policy, start, now, TaskEnd.FAILED if bad else TaskEnd.FINISHED)
        return tried

    def test_failing_worker_is_quarantined_and_released_by_one_trial(self):
        policy = new_policy(workers=4, quarantine_failures=5)
        for number in range(10):
            job = new_job(f"job{number}", tasks=40, max_attempts=100)
            policy.submit(job, float(number))
            self.fail_tasks_on(policy, float(number), "w1")
        assert "w1" in policy.quarantine
        policy.submit(new_job("more", tasks=400, max_attempts=100), 20.0)
        assert self.fail_tasks_on(policy, 20.0, "w1") == 0
        assert self.fail_tasks_on(policy, 100.0, "w1") == 1
        assert self.fail_tasks_on(policy, 150.0, "w1") == 0
        starts = start_all(policy, 300.0)
        assert Counter(start.vm for start in starts)["w1"] == 1
        for start in starts:
            finish(policy, start, 301.0)
        assert "w1" not in policy.quarantine

    def test_job_that_fails_on_all_workers_quarantines_none(self):
        policy = new_policy(workers=4, quarantine_failures=5)
        policy.submit(new_job("bad", tasks=16, cpu=4.0, max_attempts=100), 0.0)
        for now in range(20):
            for start in start_all(policy, now):
                finish(policy, start, now, TaskEnd.FAILED)
        assert len(policy.quarantine) == 0


class TestCost:
    """Guards against scheduling cost that is linear in workers or queued jobs."""

    def test_cost_of_cancelling_many_jobs_is_linear(self):
        def cost_each(jobs):
            policy = new_policy()
            for number in range(jobs):
                policy.submit(new_job(f"job{number}", tasks=9, team="t"), 0.0)
            ids = list(policy.jobs_by_id)
            calls = count_calls(lambda: [policy.cancel(i, 1.0) for i in ids])
            assert policy.decide(2.0, 10) == []
            return calls / jobs

        assert cost_each(4000) < 2 * cost_each(500)

    def test_decision_cost_from_24_to_990_workers(self):
        def cost_each(workers):
            policy = new_policy(workers=workers)
            policy.submit(new_job("fill", tasks=workers * 6), 0.0)
            start_all(policy, 0.0, 10_000)
            policy.submit(new_job("more", tasks=40, urgency=Urgency.URGENT), 1.0)
            return count_calls(lambda: policy.decide(1.0, 40)) / 40

        # The fleet grows by a factor of 41; logarithmic cost grows by about 2.
        assert cost_each(990) < 3 * cost_each(24)

    def test_decision_cost_with_mixed_task_sizes(self):
        def cost_each(workers):
            policy = new_policy(workers=workers)
            for number in range(workers * 4):
                job = new_job(f"job{number}", cpu=0.5 + number % 5 / 2)
                job.task_resources.memory_mb *= 0.5 + number % 7 / 2
                policy.submit(job, 0.0)
            half = workers * 2
            start_all(policy, 0.0, half)
            return count_calls(lambda: policy.decide(1.0, 40)) / 40

        assert cost_each(990) < 3 * cost_each(24)

    def test_idle_rounds_of_a_full_fleet_are_cheap(self):
        def cost(tasks):
            policy = new_policy(workers=tasks // 8)
            policy.submit(new_job("fill", tasks=tasks * 2), 0.0)
            start_all(policy, 0.0, 20_000)
            return count_calls(lambda: policy.decide(1.0, 100))

        assert cost(7800) < 2 * cost(104)


class TestPresets:
    """Guards against jobs lost when another preset or policy is applied."""

    def test_new_policy_imports_the_state_of_the_old_one(self):
        old = new_policy("firstfit", workers=1)
        old.submit(new_job("a", tasks=10), 0.0)
        started = start_all(old, 0.0)
        new = replace_policy(old, Preset(name="peak"), {}, 1.0)
        assert type(new).name == "fairshare"
        assert start_all(new, 1.0) == []
        finish(new, started[0], 2.0)
        assert len(start_all(new, 2.0)) == 1

    def test_ceiling_of_a_new_preset_applies(self):
        policy = new_policy(workers=1)
        policy.submit(new_job(tasks=100), 0.0)
        preset = Preset(name="quiet", normal=ClassPolicy(ceiling=0.5))
        assert replace_policy(policy, preset, {}, 1.0) is policy
        assert len(start_all(policy, 1.0)) == 4

    def test_job_that_a_new_preset_makes_infeasible_is_refused(self):
        policy = new_policy(workers=1)
        policy.submit(new_job("busy", cpu=8.0), 0.0)
        start_all(policy, 0.0)
        policy.submit(new_job("large", cpu=8.0), 0.0)
        preset = Preset(name="quiet", normal=ClassPolicy(ceiling=0.5))
        policy.use_preset(preset, {}, 1.0)
        policy.decide(1.0, 10)
        policy.decide(62.0, 10)
        assert policy.job_state("large") is JobState.REFUSED
        ended = policy.pop_ended_jobs()
        assert ended[0].reason == Reason.CLASS_CEILING.value
