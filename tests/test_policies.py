"""Tests of the contract that every scheduling policy must fulfil."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from arbutusladder.decisions import (
    Admitted,
    Checkpoint,
    Refuse,
    Resume,
    Start,
    Stop,
    Throttle,
)
from arbutusladder.declarations import ClassPolicy, Preset
from arbutusladder.messages import JobSpec, Resources
from arbutusladder.policies import make_policy
from arbutusladder.states import JobState, Reason, TaskEnd, Urgency

POLICIES = ["fairshare", "firstfit"]


def new_policy(name="fairshare", workers=2, cpu=8.0, **changes):
    policy = make_policy(Preset(name="test", policy=name, **changes), {})
    for number in range(workers):
        size = Resources(cpu, cpu * 2048)
        policy.worker_changed(f"w{number}", size, f"rack{number}", True, 0.0)
    return policy


def new_job(job_id="job", tasks=1, cpu=1.0, urgency=Urgency.NORMAL, **changes):
    changes.setdefault("team", "team")
    return JobSpec(
        job_id=job_id,
        workload=changes.pop("workload", "work"),
        urgency=urgency,
        tasks=tasks,
        task_resources=Resources(cpu, cpu * 1024),
        **changes,
    )


def starts_of(decisions):
    return [decision for decision in decisions if isinstance(decision, Start)]


def start_all(policy, now, limit=1000):
    """Confirms every start that the policy decides and returns the starts."""
    starts = starts_of(policy.decide(now, limit))
    for start in starts:
        policy.task_started(start.task_id, start.vm, now)
    return starts


@pytest.mark.parametrize("name", POLICIES)
class TestJobLifecycle:
    """Guards against jobs that never end or end in the wrong state."""

    def test_job_finishes_with_its_tasks(self, name):
        policy = new_policy(name)
        assert policy.submit(new_job(tasks=3), 0.0) == Admitted()
        assert policy.submit(new_job(tasks=3), 0.0) == Admitted()
        starts = start_all(policy, 0.0)
        assert len(starts) == 3
        for start in starts:
            end = (start.task_id, start.vm, TaskEnd.FINISHED, 1.0, 1.0)
            policy.task_ended(*end)
        assert policy.job_state("job") is JobState.FINISHED
        assert [ended.job_id for ended in policy.pop_ended_jobs()] == ["job"]
        policy.remove_job("job")
        assert policy.job_state("job") is None

    def test_infeasible_job_is_refused_on_submission(self, name):
        refused = new_policy(name).submit(new_job(cpu=9.0), 0.0)
        assert refused.reason is Reason.NEVER_FITS
        assert refused.retry_after_ms == 0

    def test_job_that_becomes_infeasible_is_refused_later(self, name):
        policy = new_policy(name)
        policy.submit(new_job(cpu=6.0, tasks=5), 0.0)
        start_all(policy, 0.0)
        for number in range(2):
            size = Resources(4.0, 8192)
            policy.worker_changed(f"w{number}", size, "rack", True, 1.0)
        policy.decide(1.0, 10)
        decisions = policy.decide(70.0, 10)
        assert any(isinstance(decision, Refuse) for decision in decisions)
        assert policy.job_state("job") is JobState.REFUSED

    def test_cancelled_job_is_never_started(self, name):
        policy = new_policy(name)
        policy.submit(new_job(tasks=50), 0.0)
        started = start_all(policy, 0.0)
        stops = policy.cancel("job", 1.0)
        assert {stop.task_id for stop in stops} == {s.task_id for s in started}
        for stop in stops:
            policy.task_ended(stop.task_id, stop.vm, TaskEnd.STOPPED, 1.0, 2.0)
        assert policy.decide(3.0, 100) == []

    def test_refused_start_is_requeued_even_if_not_idempotent(self, name):
        policy = new_policy(name)
        policy.submit(new_job(idempotent=False), 0.0)
        start = starts_of(policy.decide(0.0, 10))[0]
        policy.task_refused(start.task_id, start.vm, Reason.WORKER_REFUSED, 0.1)
        assert len(starts_of(policy.decide(1.0, 10))) == 1

    def test_lost_non_idempotent_task_fails_the_job(self, name):
        policy = new_policy(name)
        policy.submit(new_job(idempotent=False, tasks=2), 0.0)
        lost = start_all(policy, 0.0)[0]
        policy.block_task(lost.task_id, 30.0, 0.0)
        assert policy.decide(29.0, 10) == []
        stops = policy.decide(30.0, 10)
        assert [type(stop) for stop in stops] == [Stop]
        assert policy.pop_ended_jobs()[0].reason == Reason.NOT_IDEMPOTENT_RETRY.value

    def test_blocked_task_keeps_its_capacity(self, name):
        policy = new_policy(name, workers=1)
        policy.submit(new_job(cpu=8.0), 0.0)
        start = start_all(policy, 0.0)[0]
        policy.block_task(start.task_id, 30.0, 0.0)
        policy.submit(new_job("other"), 0.0)
        assert policy.decide(29.0, 10) == []
        assert len(starts_of(policy.decide(30.0, 10))) == 1

    def test_longer_block_replaces_a_shorter_one(self, name):
        policy = new_policy(name, workers=1)
        policy.submit(new_job(cpu=8.0), 0.0)
        start = start_all(policy, 0.0)[0]
        policy.block_task(start.task_id, 30.0, 0.0)
        policy.block_task(start.task_id, 60.0, 5.0)
        assert policy.decide(59.0, 10) == []
        assert len(starts_of(policy.decide(60.0, 10))) == 1

    def test_partially_found_gang_is_restarted_as_a_whole(self, name):
        policy = new_policy(name)
        gang = new_job("gang", tasks=2, gang=True)
        policy.adopt_task(gang, "gang/1", "w1", Resources(1.0, 1024), 0.0)
        assert starts_of(policy.decide(0.0, 10)) == []
        assert [type(d) for d in policy.decide(0.1, 10)] == [Stop]
        policy.task_ended("gang/1", "w1", TaskEnd.STOPPED, 1.0, 1.0)
        assert len(start_all(policy, 2.0)) == 2

    def test_restored_job_starts_no_task_twice(self, name):
        policy = new_policy(name)
        job = new_job(tasks=4)
        policy.restore_job(job, 0.0)
        policy.restore_finished_task("job/0")
        policy.adopt_task(job, "job/2", "w1", Resources(1.0, 1024), 0.0)
        started = {start.task_id for start in start_all(policy, 0.0)}
        assert started == {"job/1", "job/3"}

    def test_gang_starts_together_and_restarts_after_a_loss(self, name):
        policy = new_policy(name)
        policy.submit(new_job("small", tasks=1, cpu=5.0), 0.0)
        start_all(policy, 0.0)
        policy.submit(new_job("gang", tasks=2, cpu=6.0, gang=True), 0.0)
        assert start_all(policy, 0.0) == []
        for stop in policy.cancel("small", 1.0):
            policy.task_ended(stop.task_id, stop.vm, TaskEnd.STOPPED, 1.0, 1.0)
        first, second = start_all(policy, 2.0)
        policy.task_ended(first.task_id, first.vm, TaskEnd.FAILED, 1.0, 3.0)
        assert [type(d) for d in policy.decide(3.0, 10)] == [Stop]
        policy.task_ended(second.task_id, second.vm, TaskEnd.STOPPED, 1.0, 4.0)
        assert len(start_all(policy, 5.0)) == 2


class ReferenceState:
    """Reference record of the decisions of a policy and the reports to it."""

    def __init__(self, jobs, cpu):
        self.jobs = {job.job_id: job for job in jobs}
        self.cpu = cpu
        self.running = {}
        self.cpu_by_task = {}
        self.finished = {job.job_id: set() for job in jobs}
        self.confirmed = set()
        self.blocked = {}
        self.ever_ran = set()
        self.end_requested = set()

    def record_decisions(self, decisions):
        gangs = {}
        for decision in decisions:
            match decision:
                case Start():
                    self.record_start(decision, gangs)
                case Throttle():
                    self.cpu_by_task[decision.task_id] = decision.cpu
                case Resume():
                    full = self.running[decision.task_id].resources.cpu
                    self.cpu_by_task[decision.task_id] = full
                case Checkpoint() | Stop():
                    self.end_requested.add(decision.task_id)
        for job_id, count in gangs.items():
            assert count == self.jobs[job_id].tasks - len(self.finished[job_id])
        self.check_capacity()

    def record_start(self, start, gangs):
        job = self.jobs[start.job_id]
        assert start.task_id not in self.running
        assert start.task_id not in self.finished[start.job_id]
        assert job.idempotent or start.task_id not in self.ever_ran
        self.running[start.task_id] = start
        self.cpu_by_task[start.task_id] = start.resources.cpu
        if job.gang:
            gangs[start.job_id] = gangs.get(start.job_id, 0) + 1

    def check_capacity(self):
        used = {}
        for task_id, start in self.running.items():
            used[start.vm] = used.get(start.vm, 0.0) + self.cpu_by_task[task_id]
        assert all(amount <= self.cpu + 1e-6 for amount in used.values())

    def record_running(self, task_id):
        self.ever_ran.add(task_id)
        self.confirmed.add(task_id)

    def record_end(self, task_id, finished=False):
        start = self.running.pop(task_id)
        del self.cpu_by_task[task_id]
        for tasks in (self.confirmed, self.end_requested):
            tasks.discard(task_id)
        self.blocked.pop(task_id, None)
        if finished:
            self.finished[start.job_id].add(task_id)


job_strategy = st.builds(
    new_job,
    tasks=st.integers(1, 4),
    cpu=st.sampled_from([0.5, 1.0, 3.0, 5.0]),
    urgency=st.sampled_from(list(Urgency)),
    team=st.sampled_from(["a", "b"]),
    gang=st.booleans(),
    idempotent=st.booleans(),
    max_attempts=st.just(100),
)

PRESET = {
    "urgent": ClassPolicy(reserved=0.1, ceiling=0.9),
    "normal": ClassPolicy(preemptible=True),
    "batch": ClassPolicy(reserved=0.1, preemptible=True),
    "aging_step_s": 5.0,
    "quarantine_failures": 3,
}


@pytest.mark.parametrize("name", POLICIES)
class TestInvariants:
    """Guards against overcommitted VMs, partial gangs and tasks that run twice."""

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(jobs=st.lists(job_strategy, min_size=1, max_size=12), seed=st.integers())
    def test_invariants_hold_for_random_events(self, name, jobs, seed):
        rng = random.Random(seed)
        for number, job in enumerate(jobs):
            job.job_id = f"job{number}"
        policy, reference = new_policy(name, **PRESET), ReferenceState(jobs, 8.0)
        waiting = list(jobs)
        for now in range(80):
            if waiting and rng.random() < 0.5:
                policy.submit(waiting.pop(), now)
            self.change_worker(rng, policy, now)
            for task_id in [
                t for t, until in reference.blocked.items() if until <= now
            ]:
                reference.record_end(task_id)
            reference.record_decisions(policy.decide(now, rng.randrange(1, 20)))
            for task_id in rng.sample(
                sorted(reference.running), len(reference.running) // 2
            ):
                if task_id not in reference.blocked:
                    self.report(rng, policy, reference, task_id, now)

    def change_worker(self, rng, policy, now):
        vm = f"w{rng.randrange(2)}"
        event = rng.randrange(20)
        if event == 0:
            policy.worker_removed(vm, now)
        elif event < 4:
            size = Resources(8.0, 16384)
            policy.worker_changed(vm, size, "rack", event < 3, now)

    def report(self, rng, policy, reference, task_id, now):
        start = reference.running[task_id]
        event = rng.randrange(8)
        if event == 0:
            policy.task_refused(task_id, start.vm, Reason.WORKER_REFUSED, now)
            if task_id not in reference.confirmed:
                reference.record_end(task_id)
        elif event == 1:
            policy.task_started(task_id, start.vm, now)
            reference.record_running(task_id)
        elif event == 2:
            policy.cancel(start.job_id, now)
        elif event == 3:
            policy.block_task(task_id, now + 10, now)
            reference.blocked[task_id] = now + 10
            reference.ever_ran.add(task_id)
        elif event == 4:
            usage = Resources(rng.uniform(0.1, 7.0), 1024.0)
            policy.usage_reported(task_id, usage, now)
            reference.record_running(task_id)
        elif event == 5 or task_id in reference.end_requested:
            end = rng.choice(list(TaskEnd))
            policy.task_ended(task_id, start.vm, end, 1.0, now)
            reference.ever_ran.add(task_id)
            reference.record_end(task_id, end is TaskEnd.FINISHED)


class TestTakeover:
    """Guards against refusals and wrong accounting while workers are discovered."""

    def test_tasks_reported_before_their_worker(self):
        policy = new_policy("fairshare", workers=0)
        job = new_job(tasks=2)
        policy.adopt_task(job, "job/0", "gpu", Resources(1.0, 1024), 0.0)
        assert policy.submit(new_job("other"), 0.0) == Admitted()
        policy.worker_changed("gpu", Resources(8.0, 8192, 2), "rack", True, 1.0)
        policy.task_ended("job/0", "gpu", TaskEnd.FINISHED, 1.0, 2.0)
        for accelerated in (False, True):
            used = policy.classes._used.get((Urgency.NORMAL, accelerated))
            assert used in (None, Resources())
        assert policy.summary().cpu == 8.0
