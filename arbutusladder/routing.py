"""Choice of the shard for a request, an idempotency key or a job.

`RequestRouter` owns the newest summary of each shard and counts the requests sent
since; the functions keep no state.
"""

import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

import xxhash

from arbutusladder.ids import ShardId
from arbutusladder.messages import Resources, ShardSummary

# Shards drawn at random, of which the least loaded is used.
SHARD_SAMPLE_SIZE = 2


def home_shard(key: str, shards: Iterable[ShardId]) -> ShardId:
    """Returns the only shard that may run requests with an idempotency key.

    Rendezvous hashing: removing a shard moves only the keys of that shard.

    Args:
        key: Idempotency key.
        shards: All configured shards of the service, with or without an owner.

    Raises:
        ValueError: The service has no configured shard.
    """
    return max(shards, key=lambda shard: (_rendezvous_weight(key, shard), shard))


def _rendezvous_weight(key: str, shard: ShardId) -> int:
    # The case of the hexadecimal digits of a UUID is not significant.
    return xxhash.xxh64_intdigest(f"{shard}\0{key.lower()}".encode())


@dataclass
class _ShardLoad:
    failure_domain: str
    summary: ShardSummary
    sent_by_service: dict[str, int] = field(default_factory=dict)

    def estimated_free_slots(self, service: str) -> int:
        available = self.summary.free_slots_by_service[service]
        sent_count = self.sent_by_service.get(service, 0)
        return available - self.summary.queued_requests - sent_count

    def serves(self, service: str) -> bool:
        return service in self.summary.free_slots_by_service


class RequestRouter:
    """Chooses shards for idempotent requests from the newest shard summaries.

    Requests sent since a summary are subtracted from its free slots, so that
    an entry VM does not use the same free slots twice between two heartbeats.

    Args:
        failure_domain: Failure domain of this entry VM.
        seed: Seed of the random choice between shards of other failure domains.
    """

    def __init__(self, failure_domain: str, seed: int):
        self._failure_domain = failure_domain
        self._random = random.Random(seed)
        self._load_by_shard: dict[ShardId, _ShardLoad] = {}

    def update_summary(self, failure_domain: str, summary: ShardSummary) -> None:
        """Replaces the summary of a shard and resets its count of sent requests."""
        self._load_by_shard[summary.shard] = _ShardLoad(failure_domain, summary)

    def remove_shard(self, shard: ShardId) -> None:
        """Removes a shard that has no owner."""
        self._load_by_shard.pop(shard, None)

    def record_sent(self, shard: ShardId, service: str) -> None:
        """Counts a request that was sent to a shard."""
        load = self._load_by_shard.get(shard)
        if load:
            load.sent_by_service[service] = load.sent_by_service.get(service, 0) + 1

    def choose_shard(
        self, service: str, tried: Collection[ShardId] = ()
    ) -> ShardId | None:
        """Returns a shard for an idempotent request, or None if all were tried.

        A shard of the own failure domain is preferred while it has free slots.

        Args:
            service: Service that must run the request.
            tried: Shards that already refused this request.
        """
        candidates = [
            shard
            for shard, load in self._load_by_shard.items()
            if shard not in tried and load.serves(service)
        ]
        local = [s for s in candidates if self._is_local(self._load_by_shard[s])]
        best_local = self._least_loaded(service, local)
        if (
            best_local
            and self._load_by_shard[best_local].estimated_free_slots(service) > 0
        ):
            return best_local
        remote = [s for s in candidates if s not in local]
        sample = self._random.sample(remote, min(SHARD_SAMPLE_SIZE, len(remote)))
        best = self._least_loaded(service, sample)
        return best if best is not None else best_local

    def _is_local(self, load: _ShardLoad) -> bool:
        return load.failure_domain == self._failure_domain

    def _least_loaded(self, service: str, shards: list[ShardId]) -> ShardId | None:
        return max(
            shards,
            key=lambda s: self._load_by_shard[s].estimated_free_slots(service),
            default=None,
        )


def choose_job_shard(
    summaries: Iterable[ShardSummary],
    task: Resources,
    tasks: int,
    gang: bool,
    rng: random.Random,
    tried: Collection[ShardId] = (),
) -> ShardId | None:
    """Returns the shard to submit a job to, or None if all were tried.

    Shards with capacity for the whole job are preferred, then shards with capacity
    for one task, then all others; the less loaded of two random ones is chosen.

    Args:
        summaries: Newest summary of every owned shard.
        task: Resources of one task.
        tasks: Number of tasks.
        gang: Whether all tasks must start together.
        rng: Seeded random generator.
        tried: Shards that already refused the job.
    """
    untried = [summary for summary in summaries if summary.shard not in tried]
    fitting_whole = [s for s in untried if max_fitting_tasks(s, task) >= tasks]
    fitting_one = (
        [] if gang else [s for s in untried if max_fitting_tasks(s, task) >= 1]
    )
    candidates = fitting_whole or fitting_one or untried
    sample = rng.sample(candidates, min(SHARD_SAMPLE_SIZE, len(candidates)))
    best = max(sample, key=lambda s: _spare_task_slots(s, task), default=None)
    return best.shard if best else None


def max_fitting_tasks(summary: ShardSummary, task: Resources) -> int:
    """Returns an upper bound of the tasks that fit a shard's free capacity."""
    if task.cpu > summary.largest_free_cpu:
        return 0
    free_and_needed = (
        (summary.free_cpu, task.cpu),
        (summary.free_memory_mb, task.memory_mb),
        (summary.free_accelerators, task.accelerators),
    )
    return min(
        (int(available // need) for available, need in free_and_needed if need > 0),
        default=1 << 30,
    )


def _spare_task_slots(summary: ShardSummary, task: Resources) -> int:
    return max_fitting_tasks(summary, task) - summary.queued_tasks
