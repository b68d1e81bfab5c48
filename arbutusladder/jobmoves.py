"""Decides which waiting job moves to another shard."""

from collections.abc import Iterable

from arbutusladder.ids import ShardId
from arbutusladder.messages import JobSpec, ShardSummary
from arbutusladder.routing import tasks_that_fit

# A job that waits this long is not waiting for the next exchange only.
MIN_WAIT_BEFORE_MOVE_S = 3.0
MAX_MOVES_PER_CHECK = 5


def choose_target_shard(
    spec: JobSpec, own: ShardSummary, others: Iterable[ShardSummary]
) -> ShardId | None:
    """Returns the shard that a waiting job should move to.

    A job stays while its shard has room for one of its tasks, because then its
    class or its team holds it back, which another shard would do as well. It
    moves only where all its tasks fit beside what already waits there.

    Args:
        spec: The job; none of its tasks can have run.
        own: Summary of its shard.
        others: Summaries of the shards that it may move to.
    """
    if tasks_that_fit(own, spec.task_resources) >= 1:
        return None
    room_by_shard = {
        one.shard: tasks_that_fit(one, spec.task_resources) - one.queued_tasks
        for one in others
    }
    best = max(room_by_shard, key=room_by_shard.get, default=None)
    if best is None or room_by_shard[best] < spec.tasks:
        return None
    return best
