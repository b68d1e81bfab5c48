"""Position in a topic up to which an entry VM knows all records, and since when.

Submissions, cancellations and entries of workers count once they are stored. A view is
as old as the newest read that reached the topic's end: records that were stored before
the read was sent are known. All times are monotonic seconds that also pass during
suspensions of the VM.
"""

import math
from dataclasses import dataclass

from arbutusladder.cell.interfaces import LogBatch

# Seconds for the answer to a read from which the log, or the way to it, counts as slow;
# the log takes 4 ms, and the way to it up to 10 ms.
SLOW_READ_S = 0.2


@dataclass
class TopicView:
    """What an entry VM knows of a topic.

    Attributes:
        offset: Offset of the first record that may be unknown.
        complete_at: Time at which the newest read that reached the end was sent.
        is_delayed: Whether the newest read has failed, or was answered late.
        read_at: Time at which the read in progress was sent; None without one.
    """

    offset: int = 0
    complete_at: float = -math.inf
    is_delayed: bool = False
    read_at: float | None = None

    def begin_read(self, now: float) -> None:
        """Records that a read is sent now."""
        self.read_at = now

    def record_read(self, batch: LogBatch, sent_at: float, now: float) -> None:
        """Records an answered read.

        Args:
            batch: The answer.
            sent_at: Time at which the read was sent.
            now: The present time.
        """
        self.read_at = None
        self.is_delayed = now - sent_at >= SLOW_READ_S
        self.offset = max(self.offset, batch.next_offset)
        if self.offset >= batch.end:
            self.complete_at = max(self.complete_at, sent_at)

    def record_failure(self) -> None:
        """Records a read that neither the log nor another entry VM has answered."""
        self.read_at = None
        self.is_delayed = True

    def record_records(self, offset: int, count: int) -> None:
        """Records that records from an offset on are known without a read."""
        if offset == self.offset:
            self.offset += count

    def is_slow(self, now: float) -> bool:
        """Returns whether the newest read failed or is late, answered or not."""
        in_progress_s = 0.0 if self.read_at is None else now - self.read_at
        return self.is_delayed or in_progress_s >= SLOW_READ_S
