"""Tests of a job that was submitted twice at once, in queues with different terms."""

import dataclasses
from unittest import mock

import pytest

from arbutusladder.cell.jobtable import JOBS_TOPIC, submission_item
from tests.cell import exploretickets, exploreworkers
from tests.cell.test_takeoverrestart import play

RESTART_S = 0.5


class TestQueueOfASuccessor:
    """Pattern: two entry VMs store a new id at once, for a queue without tickets first.

    The owner has read both records and keeps the first one; an entry VM that starts
    later reads the newest one only.
    """

    @pytest.mark.parametrize("max_lease_s", [6.0, 10.0])
    def test_late_order_without_a_ticket(self, max_lease_s):
        """Guards against a successor that takes the orders for ones with tickets."""
        is_valid = exploretickets.is_valid

        async def submit(scenario):
            terms = dataclasses.replace(scenario._job.queue, advice_s=0.0)
            plain = dataclasses.replace(scenario._job, queue=terms)
            scenario.checker.record_submission(plain.job_id)
            for record in (plain, scenario._job):
                item = submission_item(record)
                await scenario.cell.log.append(JOBS_TOPIC, [item])

        async def script(scenario):
            await scenario.prepare()
            scenario.make_late("start")
            scenario.submit = lambda: submit(scenario)
            ordered_at = await scenario.order()
            scenario.cut_off(scenario.first)
            await scenario.wait_until(ordered_at + RESTART_S)
            await scenario.restart(scenario.first)
            await scenario.replace_owner()

        with mock.patch.object(
            exploreworkers,
            "is_valid",
            lambda order, born: not order.ticket or is_valid(order, born),
        ):
            assert play(script, max_lease_s, True, True) == []
