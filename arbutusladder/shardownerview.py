"""Owners of the region's shards as known to one entry VM from heartbeats."""

from collections.abc import Mapping
from dataclasses import dataclass

from arbutusladder.ids import Epoch, SeatId, ShardId
from arbutusladder.messages import Heartbeat, ShardSummary


@dataclass
class OwnedShard:
    """A shard whose owner has sent a heartbeat.

    Attributes:
        owner: Seat of the owner.
        epoch: Epoch under which it owns the shard.
        summary: Newest summary of the shard.
        received_at: Monotonic time in seconds at which the summary was received.
    """

    owner: SeatId
    epoch: Epoch
    summary: ShardSummary
    received_at: float


class ShardOwnerView:
    """Owners and newest summaries of the region's shards.

    Args:
        domain_by_shard: Failure domain of every shard of the region.
        timeout: Seconds without a heartbeat after which an owner does not count.
    """

    def __init__(self, domain_by_shard: Mapping[ShardId, str], timeout: float):
        self.domain_by_shard = dict(domain_by_shard)
        self._timeout = timeout
        self._shard_by_id: dict[ShardId, OwnedShard] = {}

    def heard(self, heartbeat: Heartbeat, now: float) -> None:
        """Applies the summaries of a heartbeat, also of this entry VM's own."""
        reported = set()
        for summary in heartbeat.summaries:
            reported.add(summary.shard)
            owned_shard = self._shard_by_id.get(summary.shard)
            if owned_shard is None or summary.epoch >= owned_shard.epoch:
                self._shard_by_id[summary.shard] = OwnedShard(
                    heartbeat.seat, summary.epoch, summary, now
                )
        self._remove_released(heartbeat.seat, reported)

    def owner(self, shard: ShardId, now: float) -> SeatId | None:
        """Returns the seat that owns a shard, or none without a recent heartbeat."""
        owned_shard = self._shard_by_id.get(shard)
        return (
            owned_shard.owner
            if owned_shard and self._is_recent(owned_shard, now)
            else None
        )

    def owned(
        self, now: float, within: float | None = None
    ) -> dict[ShardId, OwnedShard]:
        """Returns the shards whose owners have sent a recent heartbeat.

        Args:
            now: Monotonic time in seconds.
            within: Age in seconds up to which a heartbeat counts as recent; the
                timeout by default.
        """
        cutoff = now - (self._timeout if within is None else within)
        return {
            shard: owned_shard
            for shard, owned_shard in self._shard_by_id.items()
            if owned_shard.received_at > cutoff
        }

    def _remove_released(self, seat: SeatId, reported: set[ShardId]) -> None:
        released = [
            shard
            for shard, owned_shard in self._shard_by_id.items()
            if owned_shard.owner == seat and shard not in reported
        ]
        for shard in released:
            del self._shard_by_id[shard]

    def _is_recent(self, owned_shard: OwnedShard, now: float) -> bool:
        return now - owned_shard.received_at < self._timeout
