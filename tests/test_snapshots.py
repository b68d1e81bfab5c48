"""Tests of the plan of snapshots."""

from arbutusladder.snapshots import SnapshotItem, SnapshotKind, SnapshotSchedule

DAY_S = 86400.0
CONFIG = SnapshotItem(SnapshotKind.CONFIG)
JOBS = SnapshotItem(SnapshotKind.JOBS, "d0-0")
CLAIM = SnapshotItem(SnapshotKind.CLAIM, "d0-0")


class TestSnapshotPlan:
    """Guards against data that leaves the retention before its snapshot."""

    def test_new_owner_appends_at_once_and_then_in_thirds(self):
        plan = SnapshotSchedule(DAY_S)
        plan.set_owned_shards({"d0-0"}, "d0-0", 0.0)
        assert set(plan.take_due(0.0)) == {CONFIG, JOBS, CLAIM}
        for item in (CONFIG, JOBS, CLAIM):
            plan.mark_appended(item, 1.0)
        assert plan.take_due(DAY_S / 3) == []
        assert set(plan.take_due(DAY_S / 3 + 1)) == {CONFIG, JOBS, CLAIM}

    def test_failed_append_is_tried_again_soon(self):
        plan = SnapshotSchedule(DAY_S)
        plan.set_owned_shards({"d0-0"}, None, 0.0)
        plan.take_due(0.0)
        assert plan.take_due(60.0) == []
        assert set(plan.take_due(DAY_S / 60)) == {JOBS, CLAIM}

    def test_only_the_owner_of_the_lowest_shard_appends_the_configuration(self):
        plan = SnapshotSchedule(DAY_S)
        plan.set_owned_shards({"d1-0"}, "d0-0", 0.0)
        assert CONFIG not in plan.take_due(0.0)

    def test_lost_shard_is_no_duty(self):
        plan = SnapshotSchedule(DAY_S)
        plan.set_owned_shards({"d0-0"}, "d0-0", 0.0)
        plan.set_owned_shards(set(), "d0-0", 1.0)
        plan.mark_appended(JOBS, 2.0)
        assert plan.take_due(DAY_S) == []
