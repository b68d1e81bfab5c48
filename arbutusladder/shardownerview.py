"""What one entry VM knows of the owners of the region's shards."""

from collections.abc import Mapping
from dataclasses import dataclass

from arbutusladder.ids import Epoch, SeatId, ShardId
from arbutusladder.messages import Heartbeat, ShardSummary


@dataclass
class OwnedShard:
    """A shard whose owner was heard.

    Attributes:
        owner: Seat of the owner.
        epoch: Epoch under which it owns the shard.
        summary: Its newest summary.
        heard_at: Monotonic time of the summary in seconds.
    """

    owner: SeatId
    epoch: Epoch
    summary: ShardSummary
    heard_at: float


class ShardOwnerView:
    """Owners and summaries by shard.

    Args:
        domain_by_shard: Failure domain of every shard of the region.
        liveness: Seconds after which an owner that is not heard is forgotten.
    """

    def __init__(self, domain_by_shard: Mapping[ShardId, str], liveness: float):
        self.domain_by_shard = dict(domain_by_shard)
        self._liveness = liveness
        self._shard_by_id: dict[ShardId, OwnedShard] = {}

    def heard(self, heartbeat: Heartbeat, now: float) -> None:
        """Takes the summaries of a heartbeat, also of this entry VM's own."""
        reported = set()
        for summary in heartbeat.summaries:
            reported.add(summary.shard)
            known = self._shard_by_id.get(summary.shard)
            if known is None or summary.epoch >= known.epoch:
                self._shard_by_id[summary.shard] = OwnedShard(
                    heartbeat.seat, summary.epoch, summary, now
                )
        self._forget_given_up(heartbeat.seat, reported)

    def owner(self, shard: ShardId, now: float) -> SeatId | None:
        """Returns the seat that owns a shard, if it was heard recently."""
        known = self._shard_by_id.get(shard)
        return known.owner if known and self._is_recent(known, now) else None

    def owned(
        self, now: float, within: float | None = None
    ) -> dict[ShardId, OwnedShard]:
        """Returns the shards whose owners were heard recently.

        Args:
            now: Monotonic time in seconds.
            within: Seconds that count as recent; the liveness by default.
        """
        limit = now - (self._liveness if within is None else within)
        return {
            shard: known
            for shard, known in self._shard_by_id.items()
            if known.heard_at > limit
        }

    def _forget_given_up(self, seat: SeatId, reported: set[ShardId]) -> None:
        gone = [
            shard
            for shard, known in self._shard_by_id.items()
            if known.owner == seat and shard not in reported
        ]
        for shard in gone:
            del self._shard_by_id[shard]

    def _is_recent(self, known: OwnedShard, now: float) -> bool:
        return now - known.heard_at < self._liveness
