"""Tests of shares, quotas and fair queues."""

from types import SimpleNamespace

from arbutusladder.declarations import Amount, ClassPolicy, Preset, Team
from arbutusladder.fleet import Pool
from arbutusladder.messages import Resources
from arbutusladder.quotas import ClassShares, DrainRate, FairQueue, TeamShares
from arbutusladder.states import Reason, Urgency

TOTAL = Resources(100.0, 1000.0, 10)


class TestTeamShares:
    """Guards against ignored or misinterpreted quotas."""

    def test_share_is_that_of_the_dominant_resource(self):
        shares = TeamShares({"a": Team("a", Amount(50.0, 0.0, 0), 2.0)})
        shares.adjust("a", Resources(10.0, 900.0))
        assert shares.share("a", TOTAL) == 0.45
        shares.adjust("a", Resources(40.0, 0.0))
        assert shares.share("a", TOTAL) == 0.5

    def test_zero_quota_means_no_limit(self):
        shares = TeamShares({"a": Team("a", Amount(50.0, 0.0, 0))})
        assert not shares.exceeds("a", Resources(50.0, 1e9, 99))
        assert shares.exceeds("a", Resources(51.0, 0.0))
        assert not shares.exceeds("unknown", Resources(1e9, 0.0))


class TestClassShares:
    """Guards against a class that uses the reserved share of another."""

    def new_shares(self, **classes):
        pool = Pool(accelerated=False)
        pool.total = pool.free = Resources(100.0, 1000.0)
        return ClassShares(Preset(name="test", **classes)), pool

    def test_reserved_share_of_another_class_is_kept(self):
        shares, pool = self.new_shares(urgent=ClassPolicy(reserved=0.2))
        need = Resources(81.0, 1.0)
        assert shares.blocking_reason(Urgency.BATCH, need, pool) is Reason.NO_CAPACITY
        assert shares.blocking_reason(Urgency.URGENT, need, pool) is None
        shares.adjust(Urgency.URGENT, pool, Resources(20.0, 200.0))
        assert shares.blocking_reason(Urgency.BATCH, need, pool) is None

    def test_aged_batch_job_may_use_the_reserve_of_normal_jobs(self):
        shares, pool = self.new_shares(normal=ClassPolicy(reserved=0.5))
        need = Resources(60.0, 1.0)
        assert shares.blocking_reason(Urgency.BATCH, need, pool) is Reason.NO_CAPACITY
        assert shares.blocking_reason(Urgency.BATCH, need, pool, aged=True) is None


class TestFairQueue:
    """Guards against unfair ordering and jobs that stay in the queue."""

    def new_job(self, sequence, team):
        spec = SimpleNamespace(urgency=Urgency.NORMAL, team=team)
        return SimpleNamespace(sequence=sequence, spec=spec, aged_steps=0, waiting=1)

    def test_order_by_share_then_arrival(self):
        share_by_team = {"a": 0.5, "b": 0.1, "c": 0.1}
        queue = FairQueue(share_by_team.get)
        jobs = [self.new_job(n, team) for n, team in enumerate("abcb")]
        keys = [queue.add(job, Resources(1.0), 0.1) for job in jobs]
        shape_queue = queue.shape_queues[keys[0]]
        order = []
        while shape_queue.head():
            order.append(shape_queue.head().sequence)
            queue.remove(shape_queue.head(), keys[0])
        assert order == [1, 2, 3, 0]
        assert queue.shape_queues == {}

    def test_skipped_team_returns_when_its_usage_changes(self):
        queue = FairQueue(lambda team: 0.0)
        shape_queue = queue.shape_queues[
            queue.add(self.new_job(1, "a"), Resources(1.0), 0.1)
        ]
        queue.skip_team(shape_queue, "a")
        assert shape_queue.head() is None
        queue.team_changed("a")
        assert shape_queue.head().sequence == 1


class TestDrainRate:
    """Guards against retry hints that are much too short or too long."""

    def test_seconds_for_a_number_of_tasks(self):
        rate = DrainRate()
        for tick in range(100):
            rate.started(tick / 10)
        assert 4.0 <= rate.seconds_for(50, 10.0) <= 6.0
        assert rate.seconds_for(0, 10.0) == 0.0
        assert rate.seconds_for(1, 20.0) > 1.0
