"""Non-blocking output for log lines."""

import os
import time
from collections import deque

# Lines buffered while the reader does not read; further lines are dropped and counted.
MAX_BUFFERED_LINES = 2000
# Largest number of lines written per second, so that a load surge cannot fill the
# reader's disk or use up the CPU time of this process.
MAX_LINES_PER_S = 500


class NonBlockingLogOutput:
    """File-like object for a logging handler, which never blocks the process.

    Args:
        descriptor: Open file descriptor; it is set to non-blocking.
        now: Returns monotonic time in seconds.

    Attributes:
        dropped_lines: Lines dropped since the last line that was accepted.
    """

    encoding = "utf-8"

    def __init__(self, descriptor: int, now=time.monotonic):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._now = now
        self._buffer: deque[bytes] = deque()
        self._current_second = 0
        self._lines_this_second = 0
        self.dropped_lines = 0

    def write(self, text: str) -> None:
        """Buffers a line, or drops it, and writes as much as does not block."""
        self._write_buffered()
        if not self._is_within_rate() or len(self._buffer) >= MAX_BUFFERED_LINES:
            self.dropped_lines += 1
            return
        if self.dropped_lines:
            count, self.dropped_lines = self.dropped_lines, 0
            notice = f'{{"event":0,"text":"{count} lines were left out"}}\n'
            self._buffer.append(notice.encode())
        self._buffer.append(text.encode())
        self._write_buffered()

    def flush(self) -> None:
        """Writes as much of the buffer as does not block."""
        self._write_buffered()

    def _is_within_rate(self) -> bool:
        second = int(self._now())
        if second != self._current_second:
            self._current_second, self._lines_this_second = second, 0
        self._lines_this_second += 1
        return self._lines_this_second <= MAX_LINES_PER_S

    def _write_buffered(self) -> None:
        while self._buffer:
            data = self._buffer[0]
            try:
                written = os.write(self._descriptor, data)
            except (BlockingIOError, BrokenPipeError):
                # The lines stay in the buffer; when it is full, new ones are dropped.
                return
            if written < len(data):
                self._buffer[0] = data[written:]
                return
            self._buffer.popleft()
