"""Tests of late calls of a predecessor in jobs with tickets, and of its last orders."""

import dataclasses
from unittest import mock

import curio
import pytest

from arbutusladder.clock import Clock
from arbutusladder.messages import Resources, StepSpec
from tests.cell import exploretickets, exploreworkers, workloads
from tests.cell.exploreplan import QUEUE, WORKER_CORES
from tests.cell.test_takeoverrestart import IN_FLIGHT_S, play

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


class TestOrderOfAnotherQueue:
    """Pattern: a late order of a job without tickets extends the leases of a worker."""

    @pytest.mark.parametrize("same_vm", [False, True])
    @pytest.mark.parametrize("max_lease_s", [6.0, 10.0])
    def test_run_with_a_ticket(self, max_lease_s, same_vm):
        """Guards against a task with a ticket that moves while its run goes on.

        The next incarnation has accepted its order in time.
        """
        half = StepSpec(1, Resources(WORKER_CORES / 2, 1000.0), 1.0)
        plain = workloads.job(2, QUEUE, half)
        is_valid = exploretickets.is_valid

        def is_valid_or_plain(order, born):
            if order.task.startswith(plain.job_id):
                return True
            return is_valid(order, born)

        async def script(scenario):
            record = dataclasses.replace(scenario._job, steps=[half])
            scenario._job = record
            by_job = scenario.checker._record_by_job
            by_job[record.job_id], by_job[plain.job_id] = record, plain
            await scenario.prepare()
            await scenario.order_after_restart()
            scenario.make_late("start")
            vm, member = next(iter(scenario.cell.member_by_vm.items()))
            scenario.checker.record_submission(plain.job_id)
            await scenario.cell.call(vm, member.submit, plain, Clock().now() + 3.0)
            owner = scenario.cell.member_by_vm[scenario.cell.owner_vm].claims.owner
            first = owner.state.worker_by_vm[scenario.first.name]
            while not any(
                run.job_id == plain.job_id and run.ordered_at is not None
                for run in first.run_by_key.values()
            ):
                await curio.sleep(0.01)
            await curio.sleep(IN_FLIGHT_S)
            scenario.cut_off(scenario.first)
            await scenario.replace_owner()

        late_s = max_lease_s - 0.5
        with mock.patch.object(exploreworkers, "is_valid", is_valid_or_plain):
            assert play(script, max_lease_s, True, same_vm, late_s) == []
