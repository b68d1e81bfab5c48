"""Tests of the first-fit baseline."""

from tests.test_policies import new_job, new_policy, start_all


class TestFirstFit:
    """Guards against a baseline that does not place tasks first fit."""

    def test_oldest_job_on_the_first_worker(self):
        policy = new_policy("firstfit", workers=3)
        policy.submit(new_job("old", cpu=5.0), 0.0)
        policy.submit(new_job("large", cpu=8.0), 0.0)
        policy.submit(new_job("small", cpu=3.0), 0.0)
        placed = [(start.job_id, start.vm) for start in start_all(policy, 0.0)]
        assert placed == [("old", "w0"), ("large", "w1"), ("small", "w0")]
