"""Tests of how long an order in doubt holds ends, tasks and leases."""

import dataclasses
from types import SimpleNamespace

import curio
import pytest

from arbutusladder.cell.cellstate import CellState
from arbutusladder.cell.interfaces import EndedTask, OrderAnswer, WorkerReport
from arbutusladder.cell.leaserenewer import HELD_ENDS_DELAY_S, LeaseRenewer
from arbutusladder.cell.states import EndKind, OrderOutcome
from arbutusladder.cell.workers import (
    MAX_ORDER_DELAY_S,
    latest_order_end_s,
    longest_lease_s,
)
from arbutusladder.cell.workerselection import needs_advice
from arbutusladder.clock import Clock
from arbutusladder.journal import Journal
from arbutusladder.metrics import Metrics
from tests.cell.test_heldends import FREE_AT, REPEATED
from tests.cell.test_restartedworker import ENTRY, NEW, NOW, OLD, RestartingWorker
from tests.cell.test_unsettledruns import NO_ANSWER, excluded_cell
from tests.virtualtime import run_in_virtual_time

LEASE_S = 5.0
# Answers by the clock of the incarnation that has reported, and by another one.
PRESENT_CLOCK = OrderAnswer(OrderOutcome.ACCEPTED, 0.4)
OTHER_CLOCK = OrderAnswer(OrderOutcome.ACCEPTED, 90.0)


class TestPastDoubt:
    """Pattern: an order was repeated, and its run goes on for a minute.

    Reports that were requested after the first copy could be executed list the run.
    """

    def long_running_cell(self):
        """Returns a cell whose worker has answered for a minute and is silent now."""
        cell = RestartingWorker()
        cell.worker.record_order(cell.task.runs[0], NOW + 0.4)
        cell.answer(REPEATED, NOW + 0.5)
        for second in range(1, 61):
            cell.report(OLD, NOW + second, running=[1])
            cell.worker.grant_lease(NOW + second, LEASE_S)
        cell.worker.record_missed_renewal(NOW + 60.0)
        return cell

    def test_run_ends_with_its_leases(self):
        """Guards against tasks without a run for 18 s after a plain crash."""
        cell = self.long_running_cell()
        cell.state.expire_leases(NOW + 60.0 + longest_lease_s(LEASE_S) + 0.1)
        assert cell.task.is_waiting


class TestExecutedOrder:
    """Pattern: the only order of a run got no answer; the run's end is listed."""

    def test_end_of_an_unsettled_run_is_free(self):
        """Guards against ends that wait for an order that has been executed."""
        cell = excluded_cell()
        row = EndedTask(1, cell.order.task, 1, EndKind.DONE, "")
        born, number = cell.worker.born, cell.worker.token_number
        report = WorkerReport(born, 3.0, [], [row], number)
        cell.state.apply_report(ENTRY.vm, report, NOW + 3.0, NOW + 3.0)
        assert cell.worker.newest_free_end(NOW + 3.1) == 1


class TestSpeculativeStep:
    """Orders of a step that may run twice break no rule when they arrive late."""

    def test_end_is_free(self):
        """Guards against ends of other tasks that wait behind it."""
        cell = RestartingWorker()
        cell.stage.spec = dataclasses.replace(cell.stage.spec, speculative=True)
        cell.answer(REPEATED, NOW + 0.5)
        row = EndedTask(1, cell.order.task, 1, EndKind.DONE, "")
        report = WorkerReport(OLD, 1.0, [], [row], cell.worker.token_number)
        cell.state.apply_report(ENTRY.vm, report, NOW + 0.9, NOW + 1.0)
        assert cell.worker.newest_free_end(NOW + 1.1) == 1


class TestTicket:
    """Pattern: a worker falls silent, to which an order with a ticket was sent.

    The ticket may be of an incarnation that nobody has heard, and whose leases are by
    the clock of the former one.
    """

    def silent_cell(self, answer):
        """Returns a cell whose worker is silent after the answer to the order."""
        cell = RestartingWorker()
        terms = cell.stage.job.record.queue
        cell.stage.job.record.queue = dataclasses.replace(terms, advice_s=0.01)
        assert needs_advice(cell.stage)
        cell.worker.grant_lease(NOW, LEASE_S)
        cell.answer(answer, NOW + 0.4)
        cell.worker.record_missed_renewal(NOW + 0.5)
        return cell

    @pytest.mark.parametrize("answer", [NO_ANSWER, OTHER_CLOCK])
    def test_unconfirmed_run_is_awaited(self, answer):
        """Guards against a task that starts elsewhere before its run has ended."""
        cell = self.silent_cell(answer)
        ends_at = NOW + latest_order_end_s(cell.state.max_lease_s)
        for now in (NOW + longest_lease_s(LEASE_S) + 0.1, ends_at - 0.1):
            cell.state.expire_leases(now)
            assert not cell.task.is_waiting
        cell.state.expire_leases(ends_at + 0.1)
        assert cell.task.is_waiting

    def test_confirmed_run_ends_with_its_leases(self):
        """Guards against tasks with tickets that wait 18 s after a plain crash."""
        cell = self.silent_cell(PRESENT_CLOCK)
        cell.state.expire_leases(NOW + longest_lease_s(LEASE_S) + 0.1)
        assert cell.task.is_waiting


class TestRemovedWorker:
    """Pattern: a worker with held ends is removed and registered again meanwhile."""

    async def _renew(self, worker, token, acknowledged, until, wait, send_by):
        known = self.state.worker_by_vm[ENTRY.vm]
        self.sent.append((until, known.lease_s_left(self.clock.now())))
        await curio.sleep(10.0)
        return OrderAnswer(OrderOutcome.UNKNOWN)

    async def play(self):
        """Replaces a worker in the pause before its next renewal."""
        self.clock, self.sent = Clock(), []
        now = self.clock.now()
        self.state = CellState(0.0, lambda task: None)
        self.state.update_registry({ENTRY.vm: ENTRY}, now)
        self.state.apply_report(ENTRY.vm, WorkerReport(OLD, 5.0), now, now)
        worker = self.state.worker_by_vm[ENTRY.vm]
        worker.record_end(1, "job")
        worker.hold_end(1, now + MAX_ORDER_DELAY_S)
        owner = SimpleNamespace(
            ended=False, epoch=1, lease_s=LEASE_S, may_give_orders=lambda: True
        )
        dependencies = SimpleNamespace(
            clock=self.clock,
            metrics=Metrics(),
            journal=Journal("a"),
            orders=SimpleNamespace(renew=self._renew),
        )
        renewer = LeaseRenewer(owner, self.state, SimpleNamespace(), dependencies)
        await renewer.start_renewals()
        await curio.sleep(HELD_ENDS_DELAY_S / 2)
        self.state.remove_replaced_worker(ENTRY.vm, self.clock.now())
        self.state.update_registry({ENTRY.vm: ENTRY}, self.clock.now())
        await curio.sleep(HELD_ENDS_DELAY_S)
        await renewer.close()

    def test_lease_that_is_sent_is_known(self):
        """Guards against a lease that only a worker object out of use records."""
        run_in_virtual_time(self.play)
        assert self.sent
        assert not [left_s for until, left_s in self.sent if until and left_s <= 0]


class TestThirdCopy:
    """Pattern: two copies of an order are in doubt, and a third one is accepted.

    The end is held and lost with a restart. The next incarnation executes one of the
    two, and its end is acknowledged before the one after it executes the other.
    """

    def test_end_of_the_second_copy_is_held_too(self):
        """Guards against a start after an acknowledged end."""
        cell = RestartingWorker()
        (run,) = cell.task.runs
        for _ in range(2):
            cell.worker.record_order(run, NOW)
        cell.answer(REPEATED, NOW + 0.5)
        row = EndedTask(1, run.task, 1, EndKind.DONE, "")
        report = WorkerReport(OLD, 1.0, [], [row], cell.worker.token_number)
        cell.state.apply_report(ENTRY.vm, report, NOW + 0.9, NOW + 1.0)
        assert cell.worker.newest_free_end(NOW + 1.1) == 0
        cell.report(NEW, NOW + 3.0, ended=[1])
        assert cell.worker.newest_free_end(FREE_AT - 0.1) == 0
