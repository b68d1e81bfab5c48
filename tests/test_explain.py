"""Tests of explanations."""

from arbutusladder.states import JobState, Reason, Urgency
from tests.test_policies import new_job, new_policy, start_all


class TestExplain:
    """Guards against waiting jobs without a reason or a remedy."""

    def test_waiting_job(self):
        policy = new_policy(workers=1)
        policy.submit(new_job("busy", cpu=8.0), 0.0)
        start_all(policy, 0.0)
        for number in range(3):
            policy.submit(new_job(f"job{number}", cpu=4.0), 1.0)
        start_all(policy, 1.0)
        found = policy.explain("job2", 2.0)
        assert found.state is JobState.WAITING
        assert found.urgency is Urgency.NORMAL
        assert found.position == 3
        assert found.reason is Reason.NO_CAPACITY
        assert found.remedy
        assert any("position 3" in line for line in found.lines())

    def test_gang_names_its_expected_start(self):
        policy = new_policy(workers=1)
        policy.submit(new_job("busy", cpu=4.0, run_time_s=90.0), 0.0)
        start_all(policy, 0.0)
        policy.submit(new_job("gang", tasks=2, cpu=4.0, gang=True), 1.0)
        start_all(policy, 30.0)
        assert "about 60 s" in policy.explain("gang", 30.0).remedy

    def test_ended_job_names_a_remedy(self):
        policy = new_policy(workers=1)
        policy.submit(new_job(idempotent=False), 0.0)
        start = start_all(policy, 0.0)[0]
        policy.block_task(start.task_id, 1.0, 0.0)
        policy.decide(2.0, 10)
        found = policy.explain("job", 2.0)
        assert found.reason is Reason.NOT_IDEMPOTENT_RETRY
        assert "only if that is safe" in found.remedy

    def test_refusal_names_the_sizes(self):
        refused = new_policy(workers=1).submit(new_job(cpu=9.0), 0.0)
        assert "9 cores" in refused.remedy
        assert "8 cores" in refused.remedy
