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
        timeout_s: Seconds without a heartbeat after which an owner does not count.
    """

    def __init__(self, domain_by_shard: Mapping[ShardId, str], timeout_s: float):
        self.domain_by_shard = dict(domain_by_shard)
        self._timeout_s = timeout_s
        self._shard_by_id: dict[ShardId, OwnedShard] = {}

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Applies the summaries of a heartbeat, also of this entry VM's own."""
        reported = set()
        for summary in heartbeat.summaries:
            reported.add(summary.shard)
            known = self._shard_by_id.get(summary.shard)
            if known is None or summary.epoch >= known.epoch:
                self._shard_by_id[summary.shard] = OwnedShard(
                    heartbeat.seat, summary.epoch, summary, now
                )
        self._remove_released(heartbeat.seat, reported)

    def owner(self, shard: ShardId, now: float) -> SeatId | None:
        """Returns the seat that owns a shard, or none without a recent heartbeat."""
        known = self._shard_by_id.get(shard)
        return known.owner if known and self._is_recent(known, now) else None

    def owned(
        self, now: float, within: float | None = None
    ) -> dict[ShardId, OwnedShard]:
        """Returns the shards whose owners have sent a recent heartbeat.

        Args:
            now: Monotonic time in seconds.
            within: Age in seconds up to which a heartbeat counts as recent; the
                timeout by default.
        """
        cutoff = now - (self._timeout_s if within is None else within)
        return {
            shard: known
            for shard, known in self._shard_by_id.items()
            if known.received_at > cutoff
        }

    def _remove_released(self, seat: SeatId, reported: set[ShardId]) -> None:
        released = [
            shard
            for shard, known in self._shard_by_id.items()
            if known.owner == seat and shard not in reported
        ]
        for shard in released:
            del self._shard_by_id[shard]

    def _is_recent(self, known: OwnedShard, now: float) -> bool:
        return now - known.received_at < self._timeout_s
