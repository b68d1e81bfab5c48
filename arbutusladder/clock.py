"""Clocks: the system's, and a manual one for tests."""

import time

# Seconds by which a timer may fire late before its process counts as having stood
# still: timers of a running process are a few milliseconds late.
TIMER_PAUSE_THRESHOLD_S = 0.1
# Seconds for which such a process still waits for an answer that may have arrived
# meanwhile: reading what is in its own sockets takes less.
LATE_ANSWER_GRACE_S = 0.1


class Clock:
    """Time of this process and of the VM."""

    def now(self) -> float:
        """Returns monotonic time in seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Returns wall clock time in seconds since 1970."""
        return time.time()


class ManualClock(Clock):
    """Clock that moves only when a test advances it."""

    def __init__(self, now: float = 1000.0, wall: float = 1_700_000_000.0):
        self._now = now
        self._wall = wall

    def now(self) -> float:
        """Returns the manual monotonic time in seconds."""
        return self._now

    def wall(self) -> float:
        """Returns the manual wall clock time in seconds."""
        return self._wall

    def advance(self, seconds: float) -> None:
        """Moves both times forward."""
        self._now += seconds
        self._wall += seconds


class PauseDetector:
    """Detects that the process did not run for a while.

    Args:
        interval: Expected seconds between two calls of ``tick``.
        threshold: Seconds beyond the interval that count as a pause.
        now: Monotonic time of creation in seconds.
    """

    def __init__(self, interval: float, threshold: float, now: float):
        self._interval = interval
        self._threshold = threshold
        self._last = now

    def tick(self, now: float) -> float:
        """Returns the length of a detected pause in seconds, or zero."""
        late = self._late(now)
        self._last = now
        return late if late >= self._threshold else 0.0

    def is_late(self, now: float) -> bool:
        """Returns whether the next call of `tick` will detect a pause."""
        return self._late(now) >= self._threshold

    def _late(self, now: float) -> float:
        return now - self._last - self._interval
