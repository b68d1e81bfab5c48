"""Tests of tasks whose start order got no answer and may still be executed."""

import dataclasses

import pytest

from arbutusladder.cell.advicecalls import AdviceCapacity
from arbutusladder.cell.cellstate import CellState
from arbutusladder.cell.interfaces import (
    OrderAnswer,
    RunningTask,
    StartOrder,
    WorkerReport,
)
from arbutusladder.cell.placement import Placer
from arbutusladder.cell.runs import MAX_SEND_DELAY_S
from arbutusladder.cell.states import JobPhase, OrderOutcome, RunPhase
from arbutusladder.cell.workers import (
    MAX_ORDER_DELAY_S,
    latest_order_end_s,
    longest_lease_s,
)
from arbutusladder.messages import JobProgress
from tests.cell import workloads
from tests.cell.test_restartedworker import ENTRY, NEW, NOW, OLD, RestartingWorker

NO_ANSWER = OrderAnswer(OrderOutcome.UNKNOWN)
SETTLED_AT = NOW + MAX_ORDER_DELAY_S


def excluded_cell():
    """Returns a cell whose worker has reported that it does not have the run."""
    cell = RestartingWorker()
    cell.answer(NO_ANSWER, NOW + 0.8)
    cell.worker.record_missed_renewal(NOW + 0.9)
    cell.report(OLD, NOW + 1.2)
    return cell


def is_waiting(cell, now):
    """Returns whether the task may start again."""
    cell.state.expire_leases(now)
    return cell.task.is_waiting


class TestWait:
    """Pattern: a report excludes an order, and the worker restarts before it arrives.

    Guards against a second run while the next incarnation executes the order.
    """

    def test_task_waits_and_its_room_is_kept(self):
        cell = excluded_cell()
        need = cell.stage.spec.need
        assert cell.worker.free.cpu == pytest.approx(ENTRY.capacity.cpu - need.cpu)
        assert not is_waiting(cell, NOW + 1.3)

    def test_room_is_free_once_the_order_is_settled(self):
        cell = excluded_cell()
        cell.report(OLD, SETTLED_AT + 0.5, sent_at=SETTLED_AT + 0.1)
        assert is_waiting(cell, SETTLED_AT + 0.6)
        assert cell.worker.free == ENTRY.capacity

    def test_report_requested_before_the_latest_execution_does_not_end_it(self):
        cell = excluded_cell()
        cell.report(OLD, SETTLED_AT + 0.5, sent_at=SETTLED_AT - 0.1)
        assert not is_waiting(cell, SETTLED_AT + 0.6)

    def test_report_requested_after_it_ends_it(self):
        cell = excluded_cell()
        cell.report(OLD, SETTLED_AT + 0.5, sent_at=SETTLED_AT + 0.1)
        assert is_waiting(cell, SETTLED_AT + 0.6)

    @pytest.mark.parametrize("is_known", [True, False])
    def test_silent_worker_ends_it_with_the_longest_lease(self, is_known):
        cell = excluded_cell()
        cell.worker.record_missed_renewal(NOW + 1.5)
        if not is_known:
            cell.state.update_registry({}, NOW + 2.0)
        end = NOW + latest_order_end_s(cell.state.max_lease_s)
        assert not is_waiting(cell, end - 0.1)
        assert is_waiting(cell, end + 0.1)

    def test_late_answer_ends_it(self):
        cell = excluded_cell()
        cell.answer(OrderAnswer(OrderOutcome.SUPERSEDED), NOW + 1.3)
        assert is_waiting(cell, NOW + 1.4)


class TestExecutedAfterAll:
    """Pattern: the next incarnation executes the order and lists the run."""

    def test_run_goes_on_as_the_only_one(self):
        """Guards against a run that is stopped, or counted beside another one."""
        cell = excluded_cell()
        cell.report(NEW, NOW + 3.0, running=[1])
        (run,) = cell.task.runs
        assert run.phase is RunPhase.RUNNING and not run.stop_wanted
        need = cell.stage.spec.need
        assert cell.worker.free.cpu == pytest.approx(ENTRY.capacity.cpu - need.cpu)
        assert cell.worker.run_by_key == {run.key: run}

    def test_run_of_a_cancelled_job_is_stopped(self):
        """Guards against work of a cancelled job that nobody stops."""
        cell = excluded_cell()
        cell.state.cancel(cell.stage.job.id)
        cell.report(NEW, NOW + 3.0, running=[1])
        (run,) = cell.worker.run_by_key.values()
        assert run.stop_wanted

    def test_later_copy_keeps_the_task_from_starting(self):
        """Guards against a run that ends while another copy is under way."""
        cell = RestartingWorker()
        cell.worker.record_order(cell.task.runs[0], NOW + 0.4)
        cell.answer(NO_ANSWER, NOW + 0.8)
        cell.report(OLD, NOW + 1.0, running=[1])
        cell.report(NEW, NOW + 2.0)
        cell.report(NEW, NOW + 2.1)
        assert not is_waiting(cell, NOW + 2.2)


class TestSlowSend:
    """Pattern: a call is sent later than the owner has noted it.

    Guards against a worker that executes it 12 s after its bytes were sent.
    """

    SENT_AT = NOW + MAX_SEND_DELAY_S

    def test_order_is_in_doubt_for_12_s_from_its_latest_bytes(self):
        cell = excluded_cell()
        cell.report(OLD, self.SENT_AT + 12.0, sent_at=self.SENT_AT + 11.9)
        assert not is_waiting(cell, self.SENT_AT + 12.0)

    def test_run_on_a_silent_worker_counts_from_its_latest_bytes(self):
        cell = RestartingWorker()
        cell.answer(NO_ANSWER, NOW + 0.8)
        cell.worker.record_missed_renewal(NOW + 0.9)
        end = self.SENT_AT + 12.0 + longest_lease_s(cell.state.max_lease_s)
        assert not is_waiting(cell, end - 0.1)
        assert is_waiting(cell, end + 0.1)


class TestGang:
    """Pattern: one member's order got no answer, and the gang ends."""

    def test_no_member_starts_before_the_order_is_settled(self):
        """Guards against a member that runs in two places."""
        state = CellState(0.0, lambda task: None)
        state.update_registry({ENTRY.vm: ENTRY}, NOW)
        state.apply_report(ENTRY.vm, WorkerReport(OLD, 5.0), NOW, NOW)
        record = workloads.residual(1, count=2)
        job = state.add_job(record, JobProgress(JobPhase.QUEUED), NOW)
        (stage,) = job.stage_by_key.values()
        worker = state.worker_by_vm[ENTRY.vm]
        for index in range(2):
            run = state.create_run(stage, index, 1, ENTRY.vm, RunPhase.SENT, NOW)
            worker.record_order(run, NOW)
        row = RunningTask(stage.task_name(0), 1, "", 5.0)
        state.apply_report(
            ENTRY.vm, WorkerReport(OLD, 5.2, [row]), NOW + 0.2, NOW + 0.2
        )
        for run in list(worker.run_by_key.values()):
            state.end_run(worker, run, workloads.LISTED_END)
        assert stage.waiting_tasks() == []
        assert stage.active_runs == []


class TestSameWorker:
    """Pattern: the worker of an order in doubt answers; the task lasts."""

    def starts(self, cell, now):
        """Returns the workers on which the task starts, with another one idle."""
        other = workloads.workers(2)[1]
        entry_by_vm = {ENTRY.vm: cell.worker.entry, other.vm: other}
        cell.state.update_registry(entry_by_vm, now)
        cell.state.apply_report(other.vm, WorkerReport(OLD, 5.0), now, now)
        orders = Placer(cell.state).decide(now, AdviceCapacity(8, 6))
        return [order.vm for order in orders if isinstance(order, StartOrder)]

    def lasting_cell(self):
        """Returns a cell whose worker does not have the run of a task that lasts."""
        cell = excluded_cell()
        cell.stage.spec = dataclasses.replace(cell.stage.spec, lasting=True)
        return cell

    def test_task_starts_there_and_nowhere_else(self):
        """Guards against tasks that last and have no run for 12 s."""
        assert self.starts(self.lasting_cell(), NOW + 1.3) == [ENTRY.vm]

    def test_task_that_ends_waits(self):
        """Guards against two orders without an answer that one incarnation executes."""
        assert self.starts(excluded_cell(), NOW + 1.3) == []

    def test_task_waits_while_the_worker_has_no_room(self):
        """Guards against a start on another worker while the order is in doubt."""
        cell = self.lasting_cell()
        cell.worker.reserve(cell.worker.free)
        assert self.starts(cell, NOW + 1.3) == []

    def test_task_waits_for_two_workers(self):
        """Guards against a start while orders on two workers are in doubt."""
        cell = self.lasting_cell()
        (run,) = cell.task.runs
        cell.task.runs.append(dataclasses.replace(run, vm="w-009"))
        assert self.starts(cell, NOW + 1.3) == []


class TestConfirmedByTheClock:
    """The clock in the answer to an order shows which incarnation has accepted it."""

    def test_run_of_a_known_incarnation_ends_with_its_leases(self):
        """Guards against a wait for calls that were made for the same clock."""
        cell = RestartingWorker()
        cell.worker.grant_lease(NOW, 5.0)
        cell.answer(OrderAnswer(OrderOutcome.ACCEPTED, 0.05), NOW + 0.1)
        cell.worker.record_missed_renewal(NOW + 0.2)
        assert is_waiting(cell, NOW + 5.4)

    @pytest.mark.parametrize("clock", [None, -1.0, 1.0])
    def test_run_of_another_incarnation_may_have_the_longest_lease(self, clock):
        """Guards against leases that count by the clock of a former incarnation."""
        cell = RestartingWorker()
        cell.worker.grant_lease(NOW, 5.0)
        cell.answer(OrderAnswer(OrderOutcome.ACCEPTED, clock), NOW + 0.1)
        cell.worker.record_missed_renewal(NOW + 0.2)
        assert not is_waiting(cell, NOW + 5.4)
