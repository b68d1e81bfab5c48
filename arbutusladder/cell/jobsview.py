"""Position in the jobs topic up to which an entry VM knows all records, and since when.

Submissions and cancellations count once they are stored in that topic. A view is as old
as the newest read that reached the topic's end: records that were stored before the
read was sent are known.
"""

import math
from dataclasses import dataclass


@dataclass
class JobsView:
    """What an entry VM knows of the jobs topic.

    Attributes:
        offset: Offset of the first record that may be unknown.
        complete_at: Time at which the newest read that reached the end was sent, in
            monotonic seconds that also pass during suspensions of the VM.
    """

    offset: int = 0
    complete_at: float = -math.inf

    def age_s(self, now: float) -> float:
        """Returns the age of the view in seconds.

        Args:
            now: Time on the clock of `complete_at`.
        """
        return now - self.complete_at

    def record_read(self, next_offset: int, end: int, sent_at: float) -> None:
        """Records an answered read.

        Args:
            next_offset: Offset after the last record that was read.
            end: End of the topic by the answer.
            sent_at: Time at which the read was sent, see `complete_at`.
        """
        self.offset = max(self.offset, next_offset)
        if self.offset >= end:
            self.complete_at = max(self.complete_at, sent_at)

    def record_records(self, offset: int, count: int) -> None:
        """Records that records from an offset on are known without a read."""
        if offset == self.offset:
            self.offset += count
