"""Processes in one curio kernel that can be paused and killed.

A paused process runs none of its tasks, as after SIGSTOP. Its timers expire meanwhile,
and messages and answers wait; it finds all of them when it goes on. A pause begins
where a task waits, so none begins between two statements without a wait.
"""

import time
import types

# Longer than any test.
FOREVER_S = 1e9
# A shorter sleep could be lost in the rounding of the time.
MIN_SLEEP_S = 1e-6


class PausableProcess:
    """One process of an entry VM.

    Attributes:
        vm: The entry VM.
        name: Its name, which no later process of the entry VM has.
        killed: Whether it has been killed.
        closing: Whether the test ends, so that its tasks have to be cancelled.
    """

    def __init__(self, vm, number):
        self.vm, self.name = vm, f"{vm}{number}"
        self.killed = self.closing = False
        self._paused_until = 0.0

    def pause(self, seconds):
        """Runs no task for some seconds."""
        self._paused_until = max(self._paused_until, time.monotonic() + seconds)

    @property
    def pause_s(self):
        """Seconds until it goes on."""
        return self._paused_until - time.monotonic()

    async def run(self, function, *args):
        """Runs a coroutine function, and all tasks that it spawns, in the process."""
        return await _run_task(self, function(*args))


@types.coroutine
def _run_task(process, coroutine):
    value = None
    while True:
        if process.killed and not process.closing:
            value = yield ("trap_sleep", FOREVER_S)
        elif process.pause_s > 0:
            yield from _wait_for_end_of_pause(process)
        try:
            trap = coroutine.send(value)
        except StopIteration as stop:
            return stop.value
        if trap[0] == "trap_spawn":
            trap = ("trap_spawn", _run_task(process, trap[1]))
        value = yield trap


def _wait_for_end_of_pause(process):
    task = yield ("trap_get_current",)
    # The kernel delivers timeouts that expire meanwhile at the next wait of the task.
    allowed, task.allow_cancel = task.allow_cancel, False
    while (seconds := process.pause_s) > 0:
        yield ("trap_sleep", max(MIN_SLEEP_S, seconds))
    task.allow_cancel = allowed
