"""Runs curio coroutines in virtual time, with the same result each time.

Sets of strings have the same order only in processes with the same `PYTHONHASHSEED`.
"""

import contextlib
import os
import random
import selectors
import sys
import time
from unittest import mock

from curio.kernel import Kernel
from curio.task import Task

from tests.virtualtime import VirtualClock

HASH_SEED = "0"
MONOTONIC_START_S = 1_000.0
WALL_START_S = 1_700_000_000.0
# Less could be lost in the rounding of the time, which would then stand still.
MIN_ADVANCE_S = 1e-6
MAX_SHUTDOWNS = 20


class _Clock(VirtualClock):
    """Virtual clock that starts at a fixed time."""

    def __init__(self):
        self.elapsed_s = 0.0
        self._monotonic_start = MONOTONIC_START_S
        self._wall_start = WALL_START_S


class _Selector(selectors.DefaultSelector):
    """Advances a virtual clock instead of waiting; no data arrives from outside."""

    def __init__(self, clock):
        super().__init__()
        self._clock = clock

    def select(self, timeout=None):
        """Lets the timeout pass at once."""
        if timeout is None:
            raise RuntimeError("all tasks wait without a timeout")
        if timeout > 0:
            self._clock.elapsed_s += max(MIN_ADVANCE_S, timeout)
        return []


def run_repeatably(seed, function, *args):
    """Runs a coroutine function in a kernel of its own; returns its result."""
    clock = _Clock()
    state = random.getstate()
    random.seed(seed)
    with (
        mock.patch.object(time, "monotonic", clock.monotonic),
        mock.patch.object(time, "time", clock.wall_time),
        mock.patch.object(time, "clock_gettime", clock.clock_gettime),
        mock.patch.object(time, "sleep", clock.sleep),
        # Kernel and task groups keep tasks in sets, whose order depends on the hash.
        mock.patch.object(Task, "_lastid", 1),
        mock.patch.object(Task, "__hash__", lambda task: task.id),
    ):
        kernel = Kernel(selector=_Selector(clock))
        try:
            return kernel.run(function, *args)
        finally:
            _shut_down(kernel)
            random.setstate(state)


def _shut_down(kernel):
    # Tasks that are cancelled may spawn others, which the kernel takes for a fault.
    for _ in range(MAX_SHUTDOWNS):
        with contextlib.suppress(AssertionError):
            kernel.run(shutdown=True)
            return
    kernel.run(shutdown=True)


def restart_with_fixed_hashes():
    """Restarts this program if the hashes of strings are not the fixed ones."""
    if os.environ.get("PYTHONHASHSEED") != HASH_SEED:
        os.environ["PYTHONHASHSEED"] = HASH_SEED
        os.execv(sys.executable, [*sys.orig_argv[:1], *sys.orig_argv[1:]])
