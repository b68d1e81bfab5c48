"""Tests of an owner that acts on while its successor waits for the last of its calls.

The log answers only the successor. The predecessor and the third entry VM hear each
other. Each of the two owners reaches one of the two workers.
"""

from unittest import mock

import curio
import pytest

from arbutusladder.cell.owner import Owner
from tests.cell import explorefaults as faults
from tests.cell.test_takeoverrestart import AGE_S, IN_FLIGHT_S, TakeoverScenario, play

PAUSE_S = 5.0


class TwoOwnersScenario(TakeoverScenario):
    """An owner that is replaced and does not learn of it at once."""

    async def run_task(self):
        """Starts the task on the first worker, and cuts the links."""
        await curio.sleep(AGE_S)
        self.inject(faults.WorkerCut, self.second)
        await self.submit()
        worker, ordered_at = await self.wait_for_order()
        assert worker is self.first
        await self.wait_until(ordered_at + IN_FLIGHT_S)
        self.cell.faults.faults.clear()
        former = self.cell.owner_vm
        helper, successor = self.cell.other_vms()
        for link in ((former, successor), (successor, former)):
            self.add(faults.MessagesLost, *link, 1.0)
        self.inject(faults.WorkerCut, self.first, vm=successor)
        self.inject(faults.WorkerCut, self.second, vm=former)
        return former, helper, successor

    def add(self, kind, *args):
        """Puts a fault in force."""
        self.cell.faults.faults.append(kind(0.0, 0.0, *args))

    async def wait_for_successor(self, vm):
        """Returns once an entry VM has taken over."""
        claims = self.cell.member_by_vm[vm].claims
        while not (claims.owner and claims.owner.taken_over):
            await curio.sleep(0.01)


@pytest.mark.parametrize("tickets", [False, True])
class TestUnannouncedSuccessor:
    """Pattern: the successor's first heartbeat is sent long after its takeover."""

    def test_successor_knows_no_entry_vm(self, tickets):
        """Guards against a successor that has started anew and tells nobody."""

        async def script(scenario):
            former, helper, successor = await scenario.run_task()
            scenario.cell.kill(successor)
            await scenario.cell.restart(successor)
            while not scenario.cell.member_by_vm[successor].loaded:
                await curio.sleep(0.01)
            for vm in (former, helper):
                scenario.add(faults.LogCut, vm)
            await scenario.wait_for_successor(successor)

        assert play(script, 6.0, tickets, False, kind=TwoOwnersScenario) == []

    def test_successor_is_paused(self, tickets):
        """Guards against a wait that goes on while the successor is paused."""

        async def script(scenario):
            former, helper, successor = await scenario.run_task()
            await_reports = Owner._await_reports

            def pause_after(owner, now):
                await_reports(owner, now)
                scenario.cell.process_by_vm[successor].pause(PAUSE_S)

            with mock.patch.object(Owner, "_await_reports", pause_after):
                for vm in (former, helper):
                    scenario.add(faults.LogCut, vm)
                await scenario.wait_for_successor(successor)

        assert play(script, 6.0, tickets, False, kind=TwoOwnersScenario) == []
