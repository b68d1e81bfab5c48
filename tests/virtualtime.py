"""Runs curio coroutines in virtual time, so that a busy machine cannot change a result.

Time stands still while tasks run and passes only while all of them wait. Everything
that the coroutine waits for must run in its own kernel, not in a thread or another
process.
"""

import selectors
import time
from unittest import mock

from curio.kernel import Kernel

# Real seconds for data on a loopback connection to arrive before time passes.
LOOPBACK_DELIVERY_S = 0.001


class VirtualClock:
    """Replaces functions of the `time` module.

    A call of `time.sleep` in a task delays all tasks, as a pause of the process does.

    Attributes:
        elapsed_s: Virtual seconds since the start.
    """

    def __init__(self):
        self.elapsed_s = 0.0
        self._monotonic_start = time.monotonic()
        self._wall_start = time.time()

    def monotonic(self):
        """Returns the virtual monotonic time in seconds."""
        return self._monotonic_start + self.elapsed_s

    def wall_time(self):
        """Returns the virtual wall clock time in seconds since 1970."""
        return self._wall_start + self.elapsed_s

    def clock_gettime(self, _clock_id):
        """Returns the virtual monotonic time for each clock."""
        return self.monotonic()

    def sleep(self, seconds):
        """Lets time pass while no task runs."""
        self.elapsed_s += seconds


class VirtualTimeSelector(selectors.DefaultSelector):
    """Advances a virtual clock instead of waiting.

    Args:
        clock: The clock.
    """

    def __init__(self, clock):
        super().__init__()
        self._clock = clock

    def select(self, timeout=None):
        """Returns the ready files; without any, the timeout passes at once."""
        if timeout is None:
            return super().select(None)
        events = super().select(min(timeout, LOOPBACK_DELIVERY_S))
        if not events and timeout > 0:
            self._clock.elapsed_s += timeout
        return events


def run_in_virtual_time(coroutine_function, *args):
    """Runs a coroutine function like `curio.run`; returns its result."""
    clock = VirtualClock()
    with (
        mock.patch.object(time, "monotonic", clock.monotonic),
        mock.patch.object(time, "time", clock.wall_time),
        mock.patch.object(time, "clock_gettime", clock.clock_gettime),
        mock.patch.object(time, "sleep", clock.sleep),
        Kernel(selector=VirtualTimeSelector(clock)) as kernel,
    ):
        return kernel.run(coroutine_function, *args)
