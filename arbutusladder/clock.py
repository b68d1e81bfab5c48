"""System clock, manual clock for tests, and detection of process pauses."""

import time

# Seconds by which a timer may fire late before its process counts as paused. Timers of
# a running process are a few milliseconds late.
TIMER_PAUSE_THRESHOLD_S = 0.1
# Seconds for which a process waits after such a pause for an answer that may have
# arrived meanwhile. Reading the data buffered in its sockets takes less.
LATE_ANSWER_GRACE_S = 0.1


class Clock:
    """Monotonic and wall clock of the VM."""

    def now(self) -> float:
        """Returns the monotonic time in seconds."""
        return time.monotonic()

    def now_with_suspensions(self) -> float:
        """Returns monotonic time in seconds that also passes during suspensions."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_time(self) -> float:
        """Returns the wall clock time in seconds since 1970."""
        return time.time()


class ManualClock(Clock):
    """Clock that advances only when a test calls `advance`."""

    def __init__(self, now: float = 1000.0, wall_time: float = 1_700_000_000.0):
        self._now = now
        self._wall = wall_time
        self._suspended_s = 0.0

    def now(self) -> float:
        """Returns the simulated monotonic time in seconds."""
        return self._now

    def now_with_suspensions(self) -> float:
        """Returns the simulated monotonic time plus all suspensions in seconds."""
        return self._now + self._suspended_s

    def suspend(self, seconds: float) -> None:
        """Simulates a suspension of the VM, not counted by the monotonic clock."""
        self._suspended_s += seconds
        self._wall += seconds

    def wall_time(self) -> float:
        """Returns the simulated wall clock time in seconds."""
        return self._wall

    def advance(self, seconds: float) -> None:
        """Advances both clocks by a number of seconds."""
        self._now += seconds
        self._wall += seconds


class PauseDetector:
    """Detects that the process was paused, from late calls of `tick`.

    Args:
        interval: Expected seconds between two calls of `tick`.
        threshold: Seconds beyond the interval that count as a pause.
        now: Monotonic time of creation in seconds.
    """

    def __init__(self, interval: float, threshold: float, now: float):
        self._interval = interval
        self._threshold = threshold
        self._last_tick_at = now

    def tick(self, now: float) -> float:
        """Returns the length of a detected pause in seconds, or zero."""
        lateness = self._lateness(now)
        self._last_tick_at = now
        return lateness if lateness >= self._threshold else 0.0

    def is_late(self, now: float) -> bool:
        """Returns whether a call of `tick` at this time would detect a pause."""
        return self._lateness(now) >= self._threshold

    def _lateness(self, now: float) -> float:
        return now - self._last_tick_at - self._interval
