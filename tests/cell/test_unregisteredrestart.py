"""Tests of a restart that a killed owner has heard and the registry does not show."""

from unittest import mock

import curio
import pytest

from tests.cell import explorefaults as faults
from tests.cell import explorehostile, exploreworkers, test_unseenrestart

# Seconds after which calls that were sent before the start have been executed.
AGE_S = 45.0
PLAY_S = 80.0
# How far the clock of the next incarnation is behind.
CLOCK_STEP_S = 50.0
# Seconds that the run lasts longer than drawn.
RUN_S = 40.0
# Seconds from the report to the kill of the owner.
SOON_S, LATER_S = 0.5, 2.0


class TestUnregisteredRestart:
    """Pattern: the entry of a worker is that of its former incarnation.

    The next one has executed a renewal that was sent to the former one, which gives it
    the longest lease, and accepts an order. It is heard and cut off.
    """

    def broken_rules(self, max_lease_s, killed_after_s, is_heard=True):
        """Plays it, and kills the owner some seconds after the report or the order."""

        async def script(scenario):
            cell = scenario.cell
            first, second = cell.worker_by_vm.values()
            await curio.sleep(AGE_S)
            scenario.inject(faults.WorkerCut, second)
            no_entry = {"requests": False, "answers": False, "registry": True}
            scenario.inject(faults.WorkerCut, first, **no_entry)
            scenario.inject(faults.CallsLate, first, share=1.0, kinds=("renew",))
            await scenario.wait_for_poll(first)
            cell.faults.faults.pop()
            # The renewal is executed before the next one.
            await scenario.restart(first, down_s=0.2)
            while first._lease_end is None:
                await curio.sleep(0.005)
            owner = cell.member_by_vm[cell.owner_vm].claims.owner
            await scenario.submit()
            worker, _ = await scenario.wait_for_order()
            assert worker is first
            await curio.sleep(0.05)
            first.running[test_unseenrestart.TASK, 1].ends_at += RUN_S
            known = owner.state.worker_by_vm[first.name]
            while is_heard and not known.restart_confirmed:
                await curio.sleep(0.005)
            cell.faults.faults.clear()
            scenario.inject(faults.WorkerCut, first, registry=True)
            await curio.sleep(killed_after_s)
            cell.kill(cell.owner_vm)

        late = mock.patch.object(explorehostile, "LATE_CALL_S", (0.5, 0.5))
        step = (CLOCK_STEP_S, CLOCK_STEP_S)

        async def play_script(scenario):
            with late:
                await script(scenario)

        with (
            mock.patch.object(explorehostile, "REGISTER_S", 0.0),
            mock.patch.object(exploreworkers, "CLOCK_STEP_S", step),
            mock.patch.object(test_unseenrestart, "PLAY_S", PLAY_S),
        ):
            return test_unseenrestart.play(play_script, max_lease_s)

    @pytest.mark.parametrize("killed_after_s", [SOON_S, LATER_S])
    @pytest.mark.parametrize("max_lease_s", [6.0, 20.0])
    def test_task_does_not_run_twice(self, max_lease_s, killed_after_s):
        """Guards against a successor that expects a lease of the usual length."""
        assert self.broken_rules(max_lease_s, killed_after_s) == []

    @pytest.mark.parametrize("killed_after_s", [SOON_S, LATER_S])
    @pytest.mark.parametrize("max_lease_s", [6.0, 10.0, 20.0])
    def test_restart_that_nobody_has_heard(self, max_lease_s, killed_after_s):
        """Guards against the same if the predecessor has not heard it either."""
        assert self.broken_rules(max_lease_s, killed_after_s, is_heard=False) == []
