"""Tests of runs whose order is in doubt: what settles them, and how long that takes."""

import dataclasses

import pytest

from arbutusladder.cell.advicecalls import AdviceCapacity
from arbutusladder.cell.cellstate import CellState
from arbutusladder.cell.claimlists import silent_workers
from arbutusladder.cell.interfaces import (
    EndedTask,
    RunningTask,
    StartOrder,
    WorkerReport,
)
from arbutusladder.cell.placement import Placer
from arbutusladder.cell.states import EndKind, JobPhase, OrderOutcome, RunPhase
from arbutusladder.cell.workers import (
    MAX_ORDER_DELAY_S,
    latest_order_end_s,
    longest_lease_s,
)
from arbutusladder.messages import JobProgress, Resources, StepSpec
from tests.cell import workloads
from tests.cell.test_lastingtasks import MAX_GAP_S
from tests.cell.test_owner import ScriptedOrders, make_order, make_owner
from tests.cell.test_restartedworker import (
    ACCEPTED,
    ENTRY,
    NEW,
    NOW,
    OLD,
    RestartingWorker,
)
from tests.cell.test_unsettledruns import NO_ANSWER, excluded_cell, is_waiting
from tests.virtualtime import run_in_virtual_time

REPEATED = dataclasses.replace(ACCEPTED, in_doubt=True)
LEASE_S = 5.0
USUAL_S = 8.3


def end_run(cell, born, now, how):
    """Applies a report that lists the end of the run."""
    ended = [EndedTask(1, cell.order.task, 1, how, "")]
    number = cell.worker.token_number
    report = WorkerReport(born, now - NOW, [], ended, number)
    cell.state.apply_report(ENTRY.vm, report, now, now)


def forgotten_cell():
    """Returns a cell whose worker is silent and not registered any more."""
    cell = excluded_cell()
    cell.worker.record_missed_renewal(NOW + 1.5)
    cell.state.update_registry({}, NOW + 7.0)
    assert not is_waiting(cell, NOW + 7.1)
    return cell


class TestAcceptedAnswer:
    """Pattern: an order is accepted after its run was taken for lost.

    The report that excludes the order was requested before it was accepted.
    """

    def test_accepted_order_does_not_show_that_the_run_has_ended(self):
        """Guards against a second run of a task whose order was just accepted."""
        cell = RestartingWorker()
        cell.worker.record_missed_renewal(NOW + 0.05)
        cell.report(NEW, NOW + 0.1)
        cell.answer(ACCEPTED, NOW + 0.2)
        assert not is_waiting(cell, NOW + 0.3)


class TestLaterCalls:
    """Pattern: calls after an order in doubt are carried out late behind a cut.

    The next incarnation of the worker executes the order, and a later call, which was
    made for the clock of the former one, extends its lease to the longest one.
    """

    NEWEST = NOW + 2.4

    def test_run_on_the_worker(self):
        """Guards against a wait that is shorter than for an order without a doubt."""
        cell = RestartingWorker()
        cell.worker.grant_lease(NOW, LEASE_S)
        cell.answer(REPEATED, NOW + 0.1)
        cell.worker.grant_lease(self.NEWEST, LEASE_S)
        cell.worker.record_missed_renewal(self.NEWEST)
        cell.register(NEW, self.NEWEST + 0.1)
        latest = self.NEWEST + latest_order_end_s(cell.state.max_lease_s)
        assert not is_waiting(cell, latest - 0.1)

    def test_unsettled_run(self):
        """Guards against a wait that counts from the order only.

        The order is executed after 11.9 s, and the renewal that was sent 11.5 s after
        the order is executed before that lease ends.
        """
        cell = excluded_cell()
        newest = NOW + 11.5
        cell.report(OLD, newest - 0.1)
        cell.worker.grant_lease(newest, LEASE_S)
        cell.worker.record_missed_renewal(newest)
        longest_s = longest_lease_s(cell.state.max_lease_s)
        extended_at = NOW + 11.9 + longest_s - 1.0
        assert extended_at < newest + MAX_ORDER_DELAY_S
        assert not is_waiting(cell, extended_at + longest_s - 1.0)


class TestForgottenWorker:
    """Pattern: a worker with an unsettled run is silent, and its entry has lapsed."""

    def test_claim_lists_the_job(self):
        """Guards against a successor that starts the task at once."""
        cell = forgotten_cell()
        rows = silent_workers(cell.state, NOW + 7.2, USUAL_S)
        waits = [row.lease_s for row in rows if cell.stage.job.id in row.job_ids]
        left_s = latest_order_end_s(cell.state.max_lease_s) - 7.2
        assert waits and min(waits) >= left_s

    @pytest.mark.parametrize("is_granted", [False, True])
    def test_run_of_the_returned_worker_has_the_longest_lease(self, is_granted):
        """Guards against a second run while the first has a lease by a former clock.

        The worker is cut off after its first report, before or after the next renewal.
        """
        cell = forgotten_cell()
        back_at = NOW + 9.0
        cell.register(NEW, back_at)
        cell.report(NEW, back_at, running=[1])
        assert [run.phase for run in cell.task.runs] == [RunPhase.RUNNING]
        if is_granted:
            cell.worker.grant_lease(back_at + 0.01, LEASE_S)
        cell.worker.record_missed_renewal(back_at + 0.01)
        latest = back_at + longest_lease_s(cell.state.max_lease_s)
        assert not is_waiting(cell, latest - 0.1)


class TestTwoHandovers:
    """Pattern: two owners are replaced while an order of the first one is in doubt.

    The worker is in the registry, but no owner reaches it.
    """

    def test_claim_of_the_second_owner_keeps_the_wait(self):
        """Guards against a third owner that waits for the usual leases only."""
        state = CellState(0.0, lambda task: None)
        state.max_lease_s = 10.0
        state.update_registry({ENTRY.vm: ENTRY}, NOW)
        until = NOW + latest_order_end_s(state.max_lease_s)
        state.unreported.add(ENTRY.vm, until, [workloads.job_id(1)])
        (row,) = silent_workers(state, NOW + 1.0, USUAL_S)
        assert row.lease_s >= until - (NOW + 1.0)


class TestExecutedOrder:
    """Pattern: the only copy of an order was executed, and its answer was lost."""

    def test_end_of_a_run_that_no_report_has_listed(self):
        """Guards against a task that waits for an order which was executed."""
        cell = RestartingWorker()
        cell.answer(NO_ANSWER, NOW + 0.8)
        end_run(cell, OLD, NOW + 1.0, EndKind.FAILED)
        assert is_waiting(cell, NOW + 1.1)

    def test_end_of_an_unsettled_run(self):
        """Guards against a task that waits for an order which was executed."""
        cell = excluded_cell()
        end_run(cell, NEW, NOW + 3.0, EndKind.FAILED)
        assert is_waiting(cell, NOW + 3.1)


class TestFinishedOccurrence:
    """Pattern: a gang is done while an order of another member is in doubt."""

    def test_steps_are_dropped_with_the_last_run(self):
        """Guards against due occurrences that wait for orders of finished ones."""
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
            run.record_start_answer(REPEATED if index else ACCEPTED)
        ended = [
            EndedTask(number, stage.task_name(number - 1), 1, EndKind.DONE, "")
            for number in (1, 2)
        ]
        for row in ended:
            report = WorkerReport(OLD, 6.0, [], [row])
            state.apply_report(ENTRY.vm, report, NOW + 1.0, NOW + 1.0)
        assert job.is_done and not job.open_occurrences


class TestRestoredMember:
    """Pattern: the order of one member is executed after the gang was given up."""

    def test_member_without_the_others_is_stopped(self):
        """Guards against a member that waits for the others until it ends alone."""
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
        first, second = list(worker.run_by_key.values())
        first.record_start_answer(ACCEPTED)
        for run in (first, second):
            state.end_run(worker, run, workloads.LISTED_END)
        row = RunningTask(second.task, 1, "", 5.0)
        state.apply_report(ENTRY.vm, WorkerReport(NEW, 0.2, [row]), NOW + 2, NOW + 2)
        assert worker.run_by_key == {second.key: second}
        assert second.stop_wanted


class TestLastingTask:
    """Pattern: a worker restarts while an order of a task that lasts is unanswered.

    Its next incarnation reports at once that it does not have the run, and both workers
    have room and answer from then on.
    """

    def test_task_runs_again_within_the_bound(self):
        """Guards against a task without a run for longer than the rules allow.

        A start on the same worker is allowed as well.
        """
        state = CellState(0.0, lambda task: None)
        state.max_lease_s = 6.0
        entries = workloads.workers(2)
        state.update_registry({entry.vm: entry for entry in entries}, NOW)
        for entry in entries:
            state.apply_report(entry.vm, WorkerReport(OLD, 5.0), NOW, NOW)
        step = StepSpec(1, Resources(1.0, 256.0), lasting=True)
        record = workloads.job(1, workloads.AUDITS, step)
        state.add_job(record, JobProgress(JobPhase.QUEUED), NOW)
        placer = Placer(state)
        (order,) = placer.decide(NOW, AdviceCapacity(8, 6))
        worker = state.worker_by_vm[order.vm]
        (run,) = worker.run_by_key.values()
        worker.record_order(run, NOW)
        state.apply_start_answer(order, NO_ANSWER, NOW + 0.4)
        worker.record_missed_renewal(NOW + 0.5)
        now = NOW + 0.6
        while now < NOW + MAX_GAP_S:
            for entry in entries:
                restarted = entry.vm == order.vm
                born, clock = (NEW, now - NOW) if restarted else (OLD, now - NOW + 5.0)
                number = state.worker_by_vm[entry.vm].token_number
                report = WorkerReport(born, clock, token_number=number)
                state.apply_report(entry.vm, report, now, now)
            state.update_registry(
                {
                    entry.vm: dataclasses.replace(
                        entry, born=NEW if entry.vm == order.vm else OLD
                    )
                    for entry in entries
                },
                now,
            )
            state.expire_leases(now)
            orders = placer.decide(now, AdviceCapacity(8, 6))
            if any(isinstance(row, StartOrder) for row in orders):
                return
            now += 0.5
        pytest.fail(f"no start within {MAX_GAP_S} s")


class TestRepeatsToADrainingWorker:
    """Pattern: a worker begins to drain while orders to it get no answer."""

    def test_order_is_not_repeated_for_seconds(self):
        """Guards against a start after the time in which a drain has to be known.

        The repeats of one order take 2 s, as long as that time.
        """
        orders = ScriptedOrders(*[OrderOutcome.UNKNOWN] * 5)
        owner, clock = make_owner([], orders)
        order = make_order(owner, clock)

        async def drain(worker):
            entry = dataclasses.replace(worker, draining=True)
            owner.state.update_registry({entry.vm: entry}, clock.now())

        orders.before_answer = drain
        run_in_virtual_time(owner._send_start, order)
        assert len(orders.outcomes) >= 3
