"""Tests of runs on a worker that restarts unseen around a takeover of the cell.

The first of two workers gets the only task, by an order with a deadline by the clock of
its former incarnation. The second one becomes free at the takeover.
"""

import contextlib
import time
from unittest import mock

import curio
import pytest

from tests.cell import explorefaults as faults
from tests.cell import explorehostile, exploreworkers
from tests.cell.repeatable import run_repeatably
from tests.cell.test_unseenrestart import Scenario

# Seconds that a run lasts, and that a play goes on: longer than a successor waits.
RUN_S = 40.0
PLAY_S = 42.0
# Seconds that the workers have run at the order. The start time of a younger one bounds
# when calls to the former one are executed.
AGE_S = 30.0
# Seconds in which a call that is not late and its answer arrive.
IN_FLIGHT_S = 0.05
# Seconds after which a late call is executed.
LATE_S = 9.0
# Seconds after which the owner has sent the next renewal to an idle worker, and after
# which it knows that one is silent.
POLL_S = 2.1
SILENCE_S = 3.0


class TakeoverScenario(Scenario):
    """An owner that is killed, with workers that restart.

    Args:
        max_lease_s: Longest lease in seconds that a worker accepts.
        tickets: Whether the task needs a ticket.
        same_vm: Whether the entry VM of the owner starts again and succeeds itself.
    """

    def __init__(self, max_lease_s, tickets, same_vm):
        super().__init__(max_lease_s, tickets, (RUN_S, RUN_S))
        self._same_vm = same_vm
        self.first, self.second = self.cell.worker_by_vm.values()

    async def prepare(self):
        """Makes the first worker the only one that the owner reaches."""
        await curio.sleep(AGE_S)
        self.inject(faults.WorkerCut, self.second)
        await self.wait_for_poll(self.first)

    async def order_after_restart(self):
        """Restarts the first worker, whose entry does not show it, and orders."""
        self.hide_restart()
        await self.restart(self.first)
        return await self.order()

    def hide_restart(self):
        """Keeps the first worker from the registry."""
        no_entry = {"requests": False, "answers": False, "registry": True}
        self.inject(faults.WorkerCut, self.first, **no_entry)

    async def order(self):
        """Submits the job; returns when the order of its task was sent."""
        await self.submit()
        worker, ordered_at = await self.wait_for_order()
        assert worker is self.first
        await self.wait_until(ordered_at + IN_FLIGHT_S)
        return ordered_at

    def make_late(self, kind):
        """Makes the calls of a kind to the first worker late."""
        self.inject(faults.CallsLate, self.first, share=1.0, kinds=(kind,))

    def cut_off(self, *workers, registry=True):
        """Cuts only these workers off."""
        self.cell.faults.faults.clear()
        for worker in workers:
            self.inject(faults.WorkerCut, worker, registry=registry)

    async def replace_owner(self):
        """Kills the owner; returns once its successor has taken over."""
        vm = self.cell.owner_vm
        self.cell.kill(vm)
        if self._same_vm:
            await self.cell.restart(vm)
        while not any(owner.taken_over for owner in self._owners()):
            await curio.sleep(0.01)
        if not self._same_vm:
            await self.cell.restart(vm)
        assert (self.cell.owner_vm == vm) == self._same_vm

    def _owners(self):
        owners = (member.claims.owner for member in self.cell.member_by_vm.values())
        return [owner for owner in owners if owner]


def play(script, max_lease_s, tickets, same_vm, late_s=LATE_S, kind=TakeoverScenario):
    """Plays a script in virtual time; returns the broken rules."""

    async def run():
        scenario = kind(max_lease_s, tickets, same_vm)
        await scenario.cell.start()
        began_at = time.monotonic()
        await script(scenario)
        await scenario.wait_until(began_at + AGE_S + PLAY_S)
        await scenario.cell.stop()
        assert scenario.checker.starts > 1
        return scenario.rules

    with contextlib.ExitStack() as stack:
        for module, name, value in (
            (exploreworkers, "CLOCK_BEHIND_SHARE", 1.0),
            (exploreworkers, "FAILED_SHARE", 0.0),
            (explorehostile, "SLOW_SHARE", 0.0),
            (explorehostile, "LATE_CALL_S", (late_s, late_s)),
        ):
            stack.enter_context(mock.patch.object(module, name, value))
        return run_repeatably(1, run)


@pytest.mark.parametrize("same_vm", [False, True])
@pytest.mark.parametrize("tickets", [False, True])
@pytest.mark.parametrize("max_lease_s", [6.0, 10.0])
class TestRestartBeforeATakeover:
    """Pattern: a worker is cut off, and nobody has heard its next incarnation."""

    def test_order_in_time(self, max_lease_s, tickets, same_vm):
        """Guards against a wait that is shorter than the longest lease."""

        async def script(scenario):
            await scenario.prepare()
            await scenario.order_after_restart()
            scenario.cut_off(scenario.first)
            await scenario.replace_owner()

        assert play(script, max_lease_s, tickets, same_vm) == []

    def test_late_renewal(self, max_lease_s, tickets, same_vm):
        """Guards against a wait that a late renewal of the predecessor outlasts."""

        async def script(scenario):
            await scenario.prepare()
            scenario.make_late("renew")
            await curio.sleep(POLL_S)
            await scenario.order_after_restart()
            scenario.cut_off(scenario.first)
            await scenario.replace_owner()

        late_s = max_lease_s - 0.5
        assert play(script, max_lease_s, tickets, same_vm, late_s) == []

    def test_worker_listed_as_silent(self, max_lease_s, tickets, same_vm):
        """Guards against a claim that lists a shorter wait for the worker."""

        async def script(scenario):
            await scenario.prepare()
            scenario.make_late("renew")
            await curio.sleep(POLL_S)
            ordered_at = await scenario.order_after_restart()
            scenario.cut_off(scenario.first)
            await scenario.wait_until(ordered_at + SILENCE_S)
            await scenario.replace_owner()

        late_s = max_lease_s - 0.5
        assert play(script, max_lease_s, tickets, same_vm, late_s) == []


@pytest.mark.parametrize("same_vm", [False, True])
@pytest.mark.parametrize("max_lease_s", [6.0, 10.0])
class TestLateOrder:
    """Pattern: an order of the predecessor is executed by an incarnation after it."""

    @pytest.mark.parametrize("restart_s", [0.5, 8.0])
    @pytest.mark.parametrize("registry", [False, True])
    def test_worker_without_a_report(self, max_lease_s, same_vm, registry, restart_s):
        """Guards against a task that starts elsewhere before the late order."""

        async def script(scenario):
            await scenario.prepare()
            scenario.make_late("start")
            ordered_at = await scenario.order()
            scenario.cut_off(scenario.first, registry=not registry)
            takeover = await curio.spawn(scenario.replace_owner)
            await scenario.wait_until(ordered_at + restart_s)
            await scenario.restart(scenario.first)
            await takeover.join()

        assert play(script, max_lease_s, False, same_vm) == []

    @pytest.mark.parametrize("kill_s", [3.0, 8.5])
    def test_worker_listed_as_silent(self, max_lease_s, same_vm, kill_s):
        """Guards against a claim that lists a shorter wait for the worker."""

        async def script(scenario):
            await scenario.prepare()
            scenario.make_late("start")
            ordered_at = await scenario.order()
            scenario.cut_off(scenario.first)
            await scenario.wait_until(ordered_at + 2.9)
            await scenario.restart(scenario.first)
            await scenario.wait_until(ordered_at + kill_s)
            await scenario.replace_owner()

        assert play(script, max_lease_s, False, same_vm) == []

    def test_second_takeover(self, max_lease_s, same_vm):
        """Guards against a successor that hands a shorter wait on."""

        async def script(scenario):
            await scenario.prepare()
            scenario.make_late("start")
            ordered_at = await scenario.order()
            scenario.cut_off(scenario.first)
            await scenario.replace_owner()
            await scenario.wait_until(ordered_at + 4.0)
            await scenario.replace_owner()
            await scenario.restart(scenario.first)

        assert play(script, max_lease_s, False, same_vm) == []

    def test_worker_with_a_report(self, max_lease_s, same_vm):
        """Guards against an order that a report to the successor does not exclude."""

        async def script(scenario):
            await scenario.prepare()
            scenario.make_late("start")
            ordered_at = await scenario.order()
            scenario.cut_off(scenario.second)
            await scenario.replace_owner()
            await curio.sleep(IN_FLIGHT_S)
            scenario.cut_off(scenario.first, scenario.second)
            await curio.sleep(SILENCE_S)
            scenario.cut_off(scenario.first)
            await scenario.wait_until(ordered_at + 8.0)
            await scenario.restart(scenario.first)

        assert play(script, max_lease_s, False, same_vm) == []

    def test_end_acknowledged_by_the_successor(self, max_lease_s, same_vm):
        """Guards against a run that starts again after its end was forgotten.

        The first order is late, and its repeat is executed in time.
        """

        async def script(scenario):
            await scenario.prepare()
            scenario.make_late("start")
            ordered_at = await scenario.order()
            scenario.cut_off(scenario.second)
            while not scenario.first.running:
                await curio.sleep(IN_FLIGHT_S)
            scenario.cell.faults.faults.clear()
            await scenario.replace_owner()
            (run,) = scenario.first.running.values()
            run.ends_at = time.monotonic() + SILENCE_S
            await scenario.wait_until(ordered_at + 8.0)
            await scenario.restart(scenario.first)

        assert play(script, max_lease_s, False, same_vm) == []
