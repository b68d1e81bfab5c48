"""Tests of the schedule of snapshots."""

from arbutusladder.snapshots import SnapshotItem, SnapshotKind, SnapshotSchedule

DAY_S = 86400.0
CONFIG = SnapshotItem(SnapshotKind.CONFIG)
JOBS = SnapshotItem(SnapshotKind.JOBS, "d0-0")
CLAIM = SnapshotItem(SnapshotKind.CLAIM, "d0-0")


class TestSnapshotSchedule:
    """Guards against records that are dropped before their snapshot is appended."""

    def test_new_owner_appends_at_once_and_then_every_third_of_the_retention(self):
        schedule = SnapshotSchedule(DAY_S)
        schedule.set_owned_shards({"d0-0"}, "d0-0", 0.0)
        assert set(schedule.take_due(0.0)) == {CONFIG, JOBS, CLAIM}
        for item in (CONFIG, JOBS, CLAIM):
            schedule.mark_appended(item, 1.0)
        assert schedule.take_due(DAY_S / 3) == []
        assert set(schedule.take_due(DAY_S / 3 + 1)) == {CONFIG, JOBS, CLAIM}

    def test_failed_append_is_retried_after_the_retry_interval(self):
        schedule = SnapshotSchedule(DAY_S)
        schedule.set_owned_shards({"d0-0"}, None, 0.0)
        schedule.take_due(0.0)
        assert schedule.take_due(60.0) == []
        assert set(schedule.take_due(DAY_S / 60)) == {JOBS, CLAIM}

    def test_only_the_owner_of_the_lowest_shard_appends_the_configuration(self):
        schedule = SnapshotSchedule(DAY_S)
        schedule.set_owned_shards({"d1-0"}, "d0-0", 0.0)
        assert CONFIG not in schedule.take_due(0.0)

    def test_lost_shard_needs_no_snapshot(self):
        schedule = SnapshotSchedule(DAY_S)
        schedule.set_owned_shards({"d0-0"}, "d0-0", 0.0)
        schedule.set_owned_shards(set(), "d0-0", 1.0)
        schedule.mark_appended(JOBS, 2.0)
        assert schedule.take_due(DAY_S) == []
