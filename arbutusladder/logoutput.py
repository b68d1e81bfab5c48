"""Standard output for log lines that never blocks the process."""

import os
import time
from collections import deque

# Lines kept while nobody reads; further ones are left out and counted.
MAX_BUFFERED_LINES = 2000
# Lines a second that are written at most, so that a load surge cannot fill the
# reader's disk or this process's time.
MAX_LINES_PER_S = 500


class NonBlockingLogOutput:
    """File-like object over a descriptor, for a logging handler.

    Args:
        descriptor: Open descriptor, set to non-blocking.
        now: Returns monotonic time in seconds.

    Attributes:
        left_out: Lines left out since the last one that was written.
    """

    encoding = "utf-8"

    def __init__(self, descriptor: int, now=time.monotonic):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._now = now
        self._kept: deque[bytes] = deque()
        self._second = 0
        self._lines = 0
        self.dropped_lines = 0

    def write(self, text: str) -> None:
        """Takes text and writes what the reader takes at once."""
        self._drain()
        if not self._within_rate() or len(self._kept) >= MAX_BUFFERED_LINES:
            self.dropped_lines += 1
            return
        if self.dropped_lines:
            count, self.dropped_lines = self.dropped_lines, 0
            notice = f'{{"event":0,"text":"{count} lines were left out"}}\n'
            self._kept.append(notice.encode())
        self._kept.append(text.encode())
        self._drain()

    def flush(self) -> None:
        """Writes what the reader takes at once."""
        self._drain()

    def _within_rate(self) -> bool:
        second = int(self._now())
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        return self._lines <= MAX_LINES_PER_S

    def _drain(self) -> None:
        while self._kept:
            data = self._kept[0]
            try:
                written = os.write(self._descriptor, data)
            except (BlockingIOError, BrokenPipeError):
                # The lines stay, or are counted as left out by the next writes.
                return
            if written < len(data):
                self._kept[0] = data[written:]
                return
            self._kept.popleft()
