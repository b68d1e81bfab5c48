"""Tests of ends that are not acknowledged while the task may be started again."""

import dataclasses

import pytest

from arbutusladder.cell.interfaces import EndedTask, OrderAnswer, WorkerReport
from arbutusladder.cell.states import EndKind, OrderOutcome
from arbutusladder.cell.workers import MAX_ORDER_DELAY_S
from tests.cell.test_restartedworker import (
    ACCEPTED,
    ENTRY,
    NOW,
    OLD,
    RestartingWorker,
)

REPEATED = dataclasses.replace(ACCEPTED, in_doubt=True)
FREE_AT = NOW + MAX_ORDER_DELAY_S


def ended_cell(answer, how=EndKind.DONE):
    """Returns a cell whose worker has listed the end of the run as number 1."""
    cell = RestartingWorker()
    cell.answer(answer, NOW + 0.5)
    row = EndedTask(1, cell.order.task, 1, how, "")
    report = WorkerReport(OLD, 1.0, [], [row], cell.worker.token_number)
    cell.state.apply_report(ENTRY.vm, report, NOW + 0.9, NOW + 1.0)
    return cell


class TestHeldEnd:
    """Pattern: the repeat of an order is accepted and its run ends.

    The first copy is still under way, and the worker restarts. Its next incarnation
    starts the task again, which breaks a rule if the end was acknowledged.
    """

    @pytest.mark.parametrize("how", [EndKind.DONE, EndKind.FAILED])
    def test_end_is_free_once_no_copy_can_be_executed(self, how):
        """Guards against a start after an acknowledged end."""
        worker = ended_cell(REPEATED, how).worker
        assert worker.newest_free_end(FREE_AT - 0.1) == 0
        assert worker.newest_free_end(FREE_AT + 0.1) == 1

    def test_end_without_a_doubt_is_free(self):
        """Guards against ends that are acknowledged late for no reason."""
        assert ended_cell(ACCEPTED).worker.newest_free_end(NOW + 1.0) == 1

    def test_end_by_the_only_order_is_free(self):
        """Guards against waiting for an order that was executed."""
        cell = ended_cell(OrderAnswer(OrderOutcome.UNKNOWN))
        assert cell.worker.newest_free_end(NOW + 1.0) == 1

    def test_later_ends_are_held_too(self):
        """Guards against an acknowledgement by the number of a later end."""
        cell = ended_cell(REPEATED)
        cell.worker.record_end(2, "other")
        assert cell.worker.newest_free_end(NOW + 2.0) == 0

    def test_restart_ends_it(self):
        """Guards against numbers of ends of a former incarnation."""
        cell = ended_cell(REPEATED)
        cell.restart("report", NOW + 2.0)
        assert not cell.worker.held_until_by_end

    def test_done_task_stays_done(self):
        """Guards against a task that waits until its end is acknowledged."""
        assert ended_cell(REPEATED).task.done
