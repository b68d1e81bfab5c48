"""Schedule of the snapshots that are appended before the log drops the originals.

`SnapshotSchedule` owns the time at which each snapshot is due.
"""

from dataclasses import dataclass
from enum import Enum

from arbutusladder.ids import ShardId

# Fraction of the retention after which a snapshot is due. It leaves time for two more
# attempts before the records that the snapshot replaces are dropped.
PERIOD_FRACTION = 1 / 3
# Fraction of the retention after which a failed append is retried. The first snapshot
# of a new owner is due at once, because the age of the previous owner's last snapshot
# is unknown.
RETRY_FRACTION = 1 / 60
MIN_RETRY_S = 1.0


class SnapshotKind(Enum):
    """Kind of data in a snapshot."""

    CONFIG = "config"
    JOBS = "jobs"
    CLAIM = "claim"


@dataclass(frozen=True)
class SnapshotItem:
    """One snapshot to append.

    Attributes:
        kind: Kind of data.
        shard: Shard of the data; empty for the configuration.
    """

    kind: SnapshotKind
    shard: ShardId = ShardId("")


class SnapshotSchedule:
    """Due times of the snapshots that one entry VM appends.

    Args:
        retention: Retention of the log in seconds.
    """

    def __init__(self, retention: float):
        self._period = retention * PERIOD_FRACTION
        self._retry = max(MIN_RETRY_S, retention * RETRY_FRACTION)
        self._due_at_by_item: dict[SnapshotItem, float] = {}

    def set_owned_shards(
        self, shards: set[ShardId], lowest: ShardId | None, now: float
    ) -> None:
        """Updates the schedule to the shards that this entry VM owns.

        Args:
            shards: Owned shards.
            lowest: Shard with the lowest id in the region, whose owner appends
                the configuration.
            now: Monotonic time in seconds.
        """
        items = {SnapshotItem(SnapshotKind.JOBS, shard) for shard in shards}
        items |= {SnapshotItem(SnapshotKind.CLAIM, shard) for shard in shards}
        if lowest in shards:
            items.add(SnapshotItem(SnapshotKind.CONFIG))
        retained = {
            scheduled: due
            for scheduled, due in self._due_at_by_item.items()
            if scheduled in items
        }
        self._due_at_by_item = {item: retained.get(item, now) for item in items}

    def take_due(self, now: float) -> list[SnapshotItem]:
        """Returns the snapshots to append now, longest overdue first.

        A returned item is due again after the retry interval unless
        `mark_appended` is called.
        """
        items = [item for item, due in self._due_at_by_item.items() if due <= now]
        items.sort(
            key=lambda item: (self._due_at_by_item[item], item.kind.value, item.shard)
        )
        for item in items:
            self._due_at_by_item[item] = now + self._retry
        return items

    def mark_appended(self, item: SnapshotItem, now: float) -> None:
        """Records that the append of a snapshot was confirmed."""
        if item in self._due_at_by_item:
            self._due_at_by_item[item] = now + self._period
