"""Tests of late calls of a predecessor in jobs with tickets, and of its last orders."""

import dataclasses
from unittest import mock

import pytest

from tests.cell import exploretickets
from tests.cell.test_takeoverrestart import play

# Seconds for which the service's tickets are valid although the queue says less.
LONG_VALIDITY_S = 15.0
TERMS_S = 1.5


@pytest.mark.parametrize("same_vm", [False, True])
@pytest.mark.parametrize("max_lease_s", [6.0, 10.0])
class TestTicketsBeyondTheTerms:
    """Pattern: tickets are valid for longer than the terms of the job's queue say."""

    def test_late_order(self, max_lease_s, same_vm):
        """Guards against a wait that ends before an order with such a ticket is late.

        The terms were stored with the job, and name a validity that excludes it.
        """

        async def script(scenario):
            await scenario.prepare()
            scenario.make_late("start")
            await scenario.order_after_restart()
            scenario.cut_off(scenario.first)
            await scenario.replace_owner()

        with_advice = exploretickets._with_advice

        def with_short_terms(record):
            record = with_advice(record)
            terms = dataclasses.replace(record.queue, advice_validity_s=TERMS_S)
            return dataclasses.replace(record, queue=terms)

        with (
            mock.patch.object(exploretickets, "VALIDITY_S", LONG_VALIDITY_S),
            mock.patch.object(exploretickets, "_with_advice", with_short_terms),
        ):
            assert play(script, max_lease_s, True, same_vm) == []
