"""Tests of the choice of waiting jobs to move."""

from arbutusladder.jobmoves import choose_target_shard
from arbutusladder.messages import JobSpec, Resources, ShardSummary
from arbutusladder.states import Urgency


def job(tasks):
    return JobSpec("job", "recount", "counting", Urgency.BATCH, tasks, Resources(2, 1))


def summary(shard, cores, queued=0):
    return ShardSummary(
        shard,
        1,
        free_cpu=cores,
        free_memory_mb=1000,
        largest_free_cpu=cores,
        queued_tasks=queued,
    )


class TestTarget:
    """Guards against jobs that wait beside free capacity or move back and forth."""

    def test_job_on_a_full_shard_moves_to_the_roomiest(self):
        others = [summary("b", 8), summary("c", 16)]
        assert choose_target_shard(job(4), summary("a", 1), others) == "c"

    def test_job_stays_where_a_task_fits(self):
        assert choose_target_shard(job(4), summary("a", 2), [summary("c", 16)]) is None

    def test_job_stays_when_it_does_not_fit_as_a_whole(self):
        assert choose_target_shard(job(9), summary("a", 0), [summary("c", 16)]) is None

    def test_waiting_tasks_of_the_other_shard_count(self):
        other = summary("c", 16, queued=5)
        assert choose_target_shard(job(4), summary("a", 0), [other]) is None

    def test_job_stays_without_other_shards(self):
        assert choose_target_shard(job(1), summary("a", 0), []) is None
