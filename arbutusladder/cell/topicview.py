"""Position in a topic up to which an entry VM knows all records, and since when.

Submissions, cancellations and entries of workers count once they are stored. A view is
as old as the newest read that reached the topic's end: records that were stored before
the read was sent are known.
"""

import math
from dataclasses import dataclass


@dataclass
class TopicView:
    """What an entry VM knows of a topic.

    Attributes:
        offset: Offset of the first record that may be unknown.
        complete_at: Time at which the newest read that reached the end was sent, in
            monotonic seconds that also pass during suspensions of the VM.
        is_failing: Whether the newest read has failed.
    """

    offset: int = 0
    complete_at: float = -math.inf
    is_failing: bool = False

    def record_read(self, next_offset: int, end: int, sent_at: float) -> None:
        """Records an answered read.

        Args:
            next_offset: Offset after the last record that was read.
            end: End of the topic by the answer.
            sent_at: Time at which the read was sent, see `complete_at`.
        """
        self.is_failing = False
        self.offset = max(self.offset, next_offset)
        if self.offset >= end:
            self.complete_at = max(self.complete_at, sent_at)

    def record_failure(self) -> None:
        """Records a read that neither the log nor another entry VM has answered."""
        self.is_failing = True

    def record_records(self, offset: int, count: int) -> None:
        """Records that records from an offset on are known without a read."""
        if offset == self.offset:
            self.offset += count
