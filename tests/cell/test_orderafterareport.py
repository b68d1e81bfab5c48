"""Tests of orders that a predecessor sends after its successor has heard a worker."""

import dataclasses
import re
from unittest import mock

import curio
import pytest

from tests.cell import explorefaults as faults
from tests.cell import exploretickets
from tests.cell.test_takeoverrestart import AGE_S, play
from tests.cell.test_unannouncedowner import TwoOwnersScenario
from tests.cell.test_unseenrestart import TASK

# Seconds that a call of the advice service takes by the terms of the queue.
ADVICE_S = 1.5
# Seconds after which entry VMs that hear nothing of each other count as inactive.
INACTIVE_S = 3.0
POLL_S = 0.005
# End of the id of a call of the owner with the first epoch.
FIRST_EPOCH_CALL = r"/1/\d+$"


class SlowAdvice(exploretickets.AdviceService):
    """Advice service that answers the first owner late, for one worker.

    Attributes:
        asked: Whether the first owner has called.
        allowed_vm: The worker; None before the answer.
    """

    asked = False
    allowed_vm = None

    async def advise(self, request_id, stage, workers, timeout):
        """See `Advisor.advise`."""
        if re.search(FIRST_EPOCH_CALL, request_id):
            cls = type(self)
            cls.asked = True
            while cls.allowed_vm is None:
                await curio.sleep(POLL_S)
            workers = [cls.allowed_vm]
        return await super().advise(request_id, stage, workers, timeout)


class TestOrderAfterAReport:
    """Pattern: an owner acts for some tenths of a second after it was replaced.

    Another entry VM confirms it until the first heartbeat of the successor. A worker
    restarts right after its first report to the successor.
    """

    @pytest.mark.parametrize("down_s", [0.1, 0.6])
    def test_order_with_a_ticket(self, down_s):
        """Guards against an order that a report to the successor does not exclude.

        The ticket was given after the restart, so the next incarnation accepts it.
        """

        async def script(scenario):
            terms = dataclasses.replace(scenario._job.queue, advice_s=ADVICE_S)
            scenario._job = dataclasses.replace(scenario._job, queue=terms)
            cell = scenario.cell
            await curio.sleep(AGE_S)
            former = cell.owner_vm
            helper, successor = cell.other_vms()
            for link in ((former, successor), (successor, former)):
                scenario.add(faults.MessagesLost, *link, 1.0)
            await curio.sleep(INACTIVE_S)
            member = cell.member_by_vm[helper]
            scenario.checker.record_submission(scenario._job.job_id)
            deadline = member._clock.now() + 3.0
            await cell.call(helper, member.submit, scenario._job, deadline)
            while not SlowAdvice.asked:
                await curio.sleep(POLL_S)
            for vm in (former, helper):
                scenario.add(faults.LogCut, vm)
            await scenario.wait_for_successor(successor)
            while not scenario.checker.starts:
                await curio.sleep(POLL_S)
            (idle,) = [
                worker
                for worker in (scenario.first, scenario.second)
                if TASK not in worker.running_tasks()
            ]
            scenario.inject(
                faults.WorkerCut, idle, requests=False, answers=False, registry=True
            )
            await scenario.restart(idle, down_s)
            SlowAdvice.allowed_vm = idle.name

        SlowAdvice.asked, SlowAdvice.allowed_vm = False, None
        with mock.patch("tests.cell.explorehostile.AdviceService", SlowAdvice):
            assert play(script, 6.0, True, False, kind=TwoOwnersScenario) == []
