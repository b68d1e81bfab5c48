"""Decides what to append again, and when, before it leaves the retention."""

from dataclasses import dataclass
from enum import Enum

from arbutusladder.ids import ShardId

# A snapshot is due after this part of the retention. Two more tries fit in
# before the records that it replaces are dropped.
PERIOD_FRACTION = 1 / 3
# A new duty is due at once: the age of the last snapshot by the earlier owner
# is unknown. An append that failed is tried again after this part.
RETRY_FRACTION = 1 / 60
MIN_RETRY_S = 1.0


class SnapshotKind(Enum):
    """What is appended again."""

    CONFIG = "config"
    JOBS = "jobs"
    CLAIM = "claim"


@dataclass(frozen=True)
class SnapshotItem:
    """One thing to append again.

    Attributes:
        kind: What it is.
        shard: Its shard; empty for the configuration.
    """

    kind: SnapshotKind
    shard: ShardId = ShardId("")


class SnapshotSchedule:
    """Snapshot duties of one entry VM.

    Args:
        retention: Retention of the log in seconds.
    """

    def __init__(self, retention: float):
        self._period = retention * PERIOD_FRACTION
        self._retry = max(MIN_RETRY_S, retention * RETRY_FRACTION)
        self._due_by_item: dict[SnapshotItem, float] = {}

    def set_owned_shards(
        self, shards: set[ShardId], lowest: ShardId | None, now: float
    ) -> None:
        """Sets the duties from the shards that this entry VM owns.

        Args:
            shards: Owned shards.
            lowest: Shard with the lowest id in the region; its owner appends
                the configuration.
            now: Monotonic time in seconds.
        """
        duties = {SnapshotItem(SnapshotKind.JOBS, shard) for shard in shards}
        duties |= {SnapshotItem(SnapshotKind.CLAIM, shard) for shard in shards}
        if lowest in shards:
            duties.add(SnapshotItem(SnapshotKind.CONFIG))
        kept = {i: due for i, due in self._due_by_item.items() if i in duties}
        self._due_by_item = {item: kept.get(item, now) for item in duties}

    def take_due(self, now: float) -> list[SnapshotItem]:
        """Returns what to append now, longest overdue first.

        An item is due again after a short time unless `mark_appended` is called.
        """
        items = [item for item, due in self._due_by_item.items() if due <= now]
        items.sort(key=lambda i: (self._due_by_item[i], i.kind.value, i.shard))
        for item in items:
            self._due_by_item[item] = now + self._retry
        return items

    def mark_appended(self, item: SnapshotItem, now: float) -> None:
        """Notes that an append was confirmed."""
        if item in self._due_by_item:
            self._due_by_item[item] = now + self._period
