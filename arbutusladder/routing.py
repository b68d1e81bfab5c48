"""Choice of the shard for a request, a key or a job."""

import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

import xxhash

from arbutusladder.ids import ShardId
from arbutusladder.messages import Resources, ShardSummary

CHOICES = 2


def home_shard(key: str, shards: Iterable[ShardId]) -> ShardId:
    """Returns the shard that alone may run requests with a key.

    Args:
        key: Idempotency key.
        shards: All configured shards of the service, live or not.

    Raises:
        ValueError: The service has no configured shard.
    """
    return max(shards, key=lambda shard: (_weight(key, shard), shard))


def _weight(key: str, shard: ShardId) -> int:
    # Upper and lower case text of a UUID is the same key.
    return xxhash.xxh64_intdigest(f"{shard}\0{key.lower()}".encode())


@dataclass
class _Shard:
    failure_domain: str
    summary: ShardSummary
    sent_by_service: dict[str, int] = field(default_factory=dict)

    def room(self, service: str) -> int:
        free = self.summary.free_slots_by_service[service]
        sent_count = self.sent_by_service.get(service, 0)
        return free - self.summary.queued_requests - sent_count

    def serves(self, service: str) -> bool:
        return service in self.summary.free_slots_by_service


class RequestRouter:
    """Chooses shards for requests from the newest summaries.

    Requests sent since a summary are subtracted from its free slots, so that
    an entry VM does not fill a shard twice between two heartbeats.

    Args:
        failure_domain: Failure domain of this entry VM.
        seed: Seed of the random choice between other shards.
    """

    def __init__(self, failure_domain: str, seed: int):
        self._failure_domain = failure_domain
        self._random = random.Random(seed)
        self._shards_by_id: dict[ShardId, _Shard] = {}

    def update_summary(self, failure_domain: str, summary: ShardSummary) -> None:
        """Takes a newer summary of a shard."""
        self._shards_by_id[summary.shard] = _Shard(failure_domain, summary)

    def remove_shard(self, shard: ShardId) -> None:
        """Forgets a shard that has no owner."""
        self._shards_by_id.pop(shard, None)

    def record_sent(self, shard: ShardId, service: str) -> None:
        """Notes that a request went to a shard."""
        known = self._shards_by_id.get(shard)
        if known:
            known.sent_by_service[service] = known.sent_by_service.get(service, 0) + 1

    def choose_shard(
        self, service: str, tried: Collection[ShardId] = ()
    ) -> ShardId | None:
        """Returns a shard for an idempotent request, or None if none is left.

        Args:
            service: Service that must run the request.
            tried: Shards that already refused this request.
        """
        usable = [
            shard
            for shard, known in self._shards_by_id.items()
            if shard not in tried and known.serves(service)
        ]
        own = [s for s in usable if self._is_own(self._shards_by_id[s])]
        best_own = self._roomiest(service, own)
        if best_own and self._shards_by_id[best_own].room(service) > 0:
            return best_own
        others = [s for s in usable if s not in own]
        sample = self._random.sample(others, min(CHOICES, len(others)))
        best = self._roomiest(service, sample)
        return best if best is not None else best_own

    def _is_own(self, known: _Shard) -> bool:
        return known.failure_domain == self._failure_domain

    def _roomiest(self, service: str, shards: list[ShardId]) -> ShardId | None:
        return max(
            shards, key=lambda s: self._shards_by_id[s].room(service), default=None
        )


def choose_job_shard(
    summaries: Iterable[ShardSummary],
    task: Resources,
    tasks: int,
    gang: bool,
    generator: random.Random,
    tried: Collection[ShardId] = (),
) -> ShardId | None:
    """Returns the shard to bind a job to, or None if no shard can be asked.

    Shards with room for the whole job come first, then shards with room for
    one task, then all others; the better of two random ones is taken.

    Args:
        summaries: Newest summary of every owned shard.
        task: Needs of one task.
        tasks: Number of tasks.
        gang: Whether all tasks must start together.
        generator: Seeded random generator.
        tried: Shards that already refused the job.
    """
    untried = [summary for summary in summaries if summary.shard not in tried]
    whole = [s for s in untried if max_fitting_tasks(s, task) >= tasks]
    single = [] if gang else [s for s in untried if max_fitting_tasks(s, task) >= 1]
    candidates = whole or single or untried
    sample = generator.sample(candidates, min(CHOICES, len(candidates)))
    best = max(sample, key=lambda s: _job_room(s, task), default=None)
    return best.shard if best else None


def max_fitting_tasks(summary: ShardSummary, task: Resources) -> int:
    """Returns how many tasks of a size a shard's free capacity holds at most."""
    if task.cpu > summary.largest_free_cpu:
        return 0
    pairs = (
        (summary.free_cpu, task.cpu),
        (summary.free_memory_mb, task.memory_mb),
        (summary.free_accelerators, task.accelerators),
    )
    return min((int(free // need) for free, need in pairs if need > 0), default=1 << 30)


def _job_room(summary: ShardSummary, task: Resources) -> int:
    return max_fitting_tasks(summary, task) - summary.queued_tasks
