"""Rebalancing of waiting jobs between shards; keeps no state."""

from collections.abc import Iterable

from arbutusladder.ids import ShardId
from arbutusladder.messages import JobSpec, ShardSummary
from arbutusladder.routing import max_fitting_tasks

# Minimum waiting time before a job may move. A shorter wait may only be for the next
# exchange with a worker.
MIN_WAIT_BEFORE_MOVE_S = 3.0
# Jobs that one rebalancing check may move.
MAX_MOVES_PER_CHECK = 5


def choose_target_shard(
    spec: JobSpec, own: ShardSummary, others: Iterable[ShardSummary]
) -> ShardId | None:
    """Returns the shard to which a waiting job should move, or None if it stays.

    A job stays while its shard has capacity for one of its tasks: then a class or
    team limit blocks it, which would also apply on another shard. It moves only to
    a shard with capacity for all of its tasks in addition to those queued there.

    Args:
        spec: The job; none of its tasks can have run.
        own: Summary of the current shard of the job.
        others: Summaries of the candidate shards.
    """
    if max_fitting_tasks(own, spec.task_resources) >= 1:
        return None
    free_tasks_by_shard = {
        summary.shard: max_fitting_tasks(summary, spec.task_resources)
        - summary.queued_tasks
        for summary in others
    }
    best = max(free_tasks_by_shard, key=free_tasks_by_shard.get, default=None)
    if best is None or free_tasks_by_shard[best] < spec.tasks:
        return None
    return best
