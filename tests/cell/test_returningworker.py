"""Tests of workers that are forgotten, and return while former calls may arrive."""

import time
from unittest import mock

import curio
import pytest

from tests.cell import explorefaults as faults
from tests.cell import explorehostile, exploreworkers
from tests.cell.test_unseenrestart import play

# Seconds after which a late call is executed, and how far the clock of the next
# incarnation is behind.
LATE_S = 8.8
CLOCK_STEP_S = 50.0


class TestForgottenWorker:
    """Pattern: a worker is down until it is forgotten, and returns under its id.

    The last renewal for the former incarnation is executed by the next one, before this
    has answered a call, and extends its leases to the longest one.
    """

    async def script(self, scenario):
        """Cuts the worker off again as soon as it has accepted the order."""
        with mock.patch.object(explorehostile, "LATE_CALL_S", (LATE_S, LATE_S)):
            await self.play_late_renewal(scenario)

    async def play_late_renewal(self, scenario):
        """Plays it with late calls that are executed after that time."""
        cell = scenario.cell
        first, second = cell.worker_by_vm.values()
        scenario.inject(faults.WorkerCut, second)
        scenario.inject(faults.CallsLate, first, share=1.0, kinds=("renew",))
        await scenario.wait_for_poll(first)
        sent_at = time.monotonic()
        cell.faults.faults.pop()
        scenario.inject(faults.WorkerCut, first, registry=True)
        first.crash()
        await scenario.wait_until(sent_at + LATE_S - 0.5)
        await cell.restart_worker(first.name)
        while first._lease_end is None:
            await curio.sleep(0.005)
        cell.faults.faults.pop()
        await scenario.submit()
        worker, ordered_at = await scenario.wait_for_order()
        assert worker is first
        await scenario.wait_until(ordered_at + 0.2)
        cell.faults.faults.clear()
        scenario.inject(faults.WorkerCut, first, registry=True)

    @pytest.mark.parametrize("tickets", [False, True])
    @pytest.mark.parametrize("max_lease_s", [6.0, 10.0])
    def test_task_does_not_run_twice(self, max_lease_s, tickets):
        """Guards against leases that are counted as if no call had been under way."""
        step = (CLOCK_STEP_S, CLOCK_STEP_S)
        with (
            mock.patch.object(explorehostile, "REGISTER_S", 0.0),
            mock.patch.object(exploreworkers, "CLOCK_STEP_S", step),
        ):
            assert play(self.script, max_lease_s, tickets) == []
