"""Tests of rebalancing waiting jobs between shards."""

from arbutusladder.jobmoves import choose_target_shard
from arbutusladder.messages import JobSpec, Resources, ShardSummary
from arbutusladder.states import Urgency


def new_job(tasks):
    return JobSpec("job", "recount", "counting", Urgency.BATCH, tasks, Resources(2, 1))


def new_summary(shard, cores, queued=0):
    return ShardSummary(
        shard,
        1,
        free_cpu=cores,
        free_memory_mb=1000,
        largest_free_cpu=cores,
        queued_tasks=queued,
    )


class TestChooseTargetShard:
    """Guards against waiting despite free capacity, and repeated moves of a job."""

    def test_job_on_a_full_shard_moves_to_the_shard_with_most_capacity(self):
        others = [new_summary("b", 8), new_summary("c", 16)]
        assert choose_target_shard(new_job(4), new_summary("a", 1), others) == "c"

    def test_job_stays_if_one_task_fits_its_shard(self):
        assert (
            choose_target_shard(new_job(4), new_summary("a", 2), [new_summary("c", 16)])
            is None
        )

    def test_job_stays_if_no_shard_fits_all_tasks(self):
        assert (
            choose_target_shard(new_job(9), new_summary("a", 0), [new_summary("c", 16)])
            is None
        )

    def test_queued_tasks_of_the_target_shard_count(self):
        other = new_summary("c", 16, queued=5)
        assert choose_target_shard(new_job(4), new_summary("a", 0), [other]) is None

    def test_job_stays_without_other_shards(self):
        assert choose_target_shard(new_job(1), new_summary("a", 0), []) is None
