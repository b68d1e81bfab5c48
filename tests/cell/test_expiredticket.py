"""Tests of a repeated order whose ticket has expired since its first copy."""

from unittest import mock

import curio
import pytest

from tests.cell import explorefaults as faults
from tests.cell import exploretickets
from tests.cell.test_unseenrestart import SOON_S, play

# Seconds for which a ticket is still valid when its order is sent: it has waited for
# room. An order is repeated after 0.4 s.
LEFT_S = 0.35


class TestRepeatAfterTheTicket:
    """Pattern: the answer to an order is lost, and the repeat is refused."""

    @pytest.mark.parametrize("max_lease_s", [6.0, 10.0])
    def test_first_copy_was_executed(self, max_lease_s):
        """Guards against a refusal that is taken for one of the first copy.

        The worker runs the task, and refuses the repeat for its ticket.
        """

        async def run(scenario):
            for worker in scenario.cell.worker_by_vm.values():
                scenario.inject(faults.CallsUnanswered, worker, share=1.0)
            await scenario.submit()
            worker, ordered_at = await scenario.wait_for_order()
            await scenario.wait_until(ordered_at + 0.1)
            scenario.cell.faults.faults.clear()
            await curio.sleep(SOON_S)

        with mock.patch.object(exploretickets, "VALIDITY_S", LEFT_S):
            assert play(run, max_lease_s, tickets=True) == []
