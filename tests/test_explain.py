"""Tests of the scheduling policies' explanations of a job's state."""

from arbutusladder.states import JobState, Reason, Urgency
from tests.test_policies import new_job, new_policy, start_all


class TestExplain:
    """Guards against explanations without a reason or a remedy."""

    def test_waiting_job_has_position_reason_and_remedy(self):
        policy = new_policy(workers=1)
        policy.submit(new_job("busy", cpu=8.0), 0.0)
        start_all(policy, 0.0)
        for number in range(3):
            policy.submit(new_job(f"job{number}", cpu=4.0), 1.0)
        start_all(policy, 1.0)
        explanation = policy.explain("job2", 2.0)
        assert explanation.state is JobState.WAITING
        assert explanation.urgency is Urgency.NORMAL
        assert explanation.position == 3
        assert explanation.reason is Reason.NO_CAPACITY
        assert explanation.remedy
        assert any("position 3" in line for line in explanation.lines())

    def test_gang_with_reserved_workers_has_an_expected_start(self):
        policy = new_policy(workers=1)
        policy.submit(new_job("busy", cpu=4.0, run_time_s=90.0), 0.0)
        start_all(policy, 0.0)
        policy.submit(new_job("gang", tasks=2, cpu=4.0, gang=True), 1.0)
        start_all(policy, 30.0)
        assert "about 60 s" in policy.explain("gang", 30.0).remedy

    def test_failed_job_has_a_remedy(self):
        policy = new_policy(workers=1)
        policy.submit(new_job(idempotent=False), 0.0)
        start = start_all(policy, 0.0)[0]
        policy.block_task(start.task_id, 1.0, 0.0)
        policy.decide(2.0, 10)
        explanation = policy.explain("job", 2.0)
        assert explanation.reason is Reason.NOT_IDEMPOTENT_RETRY
        assert "only if that is safe" in explanation.remedy

    def test_refusal_of_a_too_large_task_lists_the_sizes(self):
        refused = new_policy(workers=1).submit(new_job(cpu=9.0), 0.0)
        assert "9 cores" in refused.remedy
        assert "8 cores" in refused.remedy
