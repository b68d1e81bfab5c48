"""Tests of runs that an owner must not take for ended while they may go on.

A worker may restart under its id, and its next incarnation may execute calls that were
sent to the former one, also seconds later.
"""

import dataclasses
import math

import pytest

from arbutusladder.cell.advicecalls import AdviceCapacity
from arbutusladder.cell.cellstate import CellState
from arbutusladder.cell.claimlists import silent_workers
from arbutusladder.cell.interfaces import (
    EndedTask,
    OrderAnswer,
    RunningTask,
    StartOrder,
    StopOrder,
    WorkerReport,
)
from arbutusladder.cell.owner import PREDECESSOR_RENEWAL_WINDOW_S
from arbutusladder.cell.placement import Placer
from arbutusladder.cell.runorders import RunOrderSender
from arbutusladder.cell.states import EndKind, JobPhase, OrderOutcome, RunPhase
from arbutusladder.cell.workers import MAX_ORDER_DELAY_S, longest_lease_s
from arbutusladder.messages import CellClaim, JobProgress
from arbutusladder.metrics import Metrics
from tests.cell import workloads
from tests.cell.test_owner import ScriptedOrders, make_order, make_owner
from tests.cell.test_restartedworker import (
    ACCEPTED,
    ENTRY,
    NEW,
    NOW,
    OLD,
    RestartingWorker,
)
from tests.virtualtime import run_in_virtual_time

LEASE_S = 5.0
# Seconds after which a lease of that length, and the longest one, have ended.
LEASE_END_S = longest_lease_s(LEASE_S)
LONGEST_S = longest_lease_s(10.0)
NO_ANSWER = OrderAnswer(OrderOutcome.UNKNOWN)
REPEATED = dataclasses.replace(ACCEPTED, in_doubt=True)


def is_over(cell, now):
    """Returns whether the run has ended for the owner by its leases."""
    cell.state.expire_leases(now)
    return cell.task.is_waiting


class TestReportBeforeTheAnswer:
    """Pattern: the second copy of an order is executed, and a report lists the run.

    The answer to that copy arrives after the report, or never. The first copy got no
    answer and is still under way.
    """

    def make_cell(self, answer):
        """Returns a cell whose worker has a lease and has reported the run."""
        cell = RestartingWorker()
        cell.worker.grant_lease(NOW, LEASE_S)
        cell.worker.record_order(cell.task.runs[0], NOW + 0.4)
        cell.report(OLD, NOW + 0.5, running=[1])
        cell.answer(answer, NOW + 0.6)
        return cell

    @pytest.mark.parametrize(
        "answer", [REPEATED, NO_ANSWER], ids=["accepted", "unanswered"]
    )
    def test_first_copy_is_waited_for_on_a_silent_worker(self, answer):
        """Guards against a copy that the next incarnation executes behind a cut."""
        cell = self.make_cell(answer)
        cell.worker.record_missed_renewal(NOW + 0.7)
        cell.register(NEW, NOW + 1.0)
        assert not is_over(cell, NOW + MAX_ORDER_DELAY_S + LONGEST_S - 0.1)

    @pytest.mark.parametrize(
        "answer", [REPEATED, NO_ANSWER], ids=["accepted", "unanswered"]
    )
    def test_report_under_the_token_of_the_copies_does_not_exclude_them(self, answer):
        """Guards against a copy that the next incarnation executes after a report."""
        cell = self.make_cell(answer)
        number = cell.worker.token_number
        cell.report(NEW, NOW + 0.8, sent_at=NOW + 0.7, number=number)
        assert not cell.task.is_waiting

    def test_both_copies_without_an_answer(self):
        """Guards against an order that no longer counts as in doubt.

        The report arrives while the second copy is under way.
        """
        orders = ScriptedOrders(OrderOutcome.UNKNOWN, OrderOutcome.UNKNOWN)
        owner, clock = make_owner([], orders)
        order = make_order(owner, clock)

        async def report(worker):
            if len(orders.outcomes) == 1:
                rows = [RunningTask(order.task, order.run, "", 5.0)]
                answer = WorkerReport(1, 5.0, rows)
                owner.state.apply_report(order.vm, answer, clock.now(), clock.now())

        orders.before_answer = report
        run_in_virtual_time(owner._send_start, order)
        (run,) = owner.state.worker_by_vm[order.vm].run_by_key.values()
        assert run.in_doubt


class TestRestartThatNoReportConfirms:
    """Pattern: a worker restarts, reports once and is cut off.

    That report was requested under the token of calls for the former clock. What the
    new incarnation takes of them gives it the longest lease.
    """

    def make_cell(self, renewed_at, is_ordered=False):
        """Returns a cell whose worker has been cut off after the report of its run.

        ``is_ordered`` is whether it has not answered the order of another run.
        """
        cell = RestartingWorker()
        cell.worker.grant_lease(NOW, LEASE_S)
        cell.worker.grant_lease(renewed_at, LEASE_S)
        if is_ordered:
            record = workloads.quote(2, count=1)
            progress = JobProgress(JobPhase.QUEUED)
            job = cell.state.add_job(record, progress, renewed_at)
            stage = next(iter(job.stage_by_key.values()))
            vm = ENTRY.vm
            run = cell.state.create_run(stage, 0, 1, vm, RunPhase.SENT, renewed_at)
            cell.worker.record_order(run, renewed_at)
        number = cell.worker.token_number
        cell.report(NEW, renewed_at + 0.1, running=[1], number=number)
        cell.worker.record_missed_renewal(renewed_at + 0.2)
        return cell

    def test_longest_lease_is_assumed(self):
        """Guards against leases that count by the clock of the former incarnation."""
        cell = self.make_cell(NOW + 0.5)
        assert not is_over(cell, NOW + 0.5 + LONGEST_S - 0.1)

    def test_order_of_another_task_that_is_carried_out_late(self):
        """Guards against a late order that extends all leases behind the cut.

        The worker takes its deadline even if it refuses the run for lack of room.
        """
        cell = self.make_cell(NOW + 0.5, is_ordered=True)
        assert not is_over(cell, NOW + 0.5 + MAX_ORDER_DELAY_S + LONGEST_S - 0.1)


class TestRestartThatIsNotSeen:
    """Pattern: a worker restarts between two reports and is cut off.

    The registry does not show it either: the store does not answer.
    """

    def test_accepted_run_may_have_the_longest_lease(self):
        """Guards against an order that the new incarnation has accepted in time.

        Its answer does not tell which incarnation has given it.
        """
        cell = RestartingWorker()
        cell.worker.grant_lease(NOW, LEASE_S)
        cell.answer(ACCEPTED, NOW + 0.1)
        cell.worker.record_missed_renewal(NOW + 0.5)
        assert not is_over(cell, NOW + LONGEST_S - 0.1)


class TestLaterCallsToARestartedWorker:
    """Pattern: an order is accepted between a restart and the sign of it.

    Further calls are sent until then, and one is carried out late behind a cut.
    """

    def test_wait_counts_from_the_newest_call(self):
        """Guards against a wait that counts from the order of the run itself."""
        cell = RestartingWorker()
        cell.worker.grant_lease(NOW, LEASE_S)
        cell.answer(ACCEPTED, NOW + 0.1)
        newest = NOW + 2.4
        cell.worker.grant_lease(newest, LEASE_S)
        cell.worker.record_missed_renewal(newest)
        cell.register(NEW, newest + 0.1)
        assert not is_over(cell, newest + MAX_ORDER_DELAY_S + LONGEST_S - 0.1)


class TestOrderOfEnds:
    """Pattern: a worker lists its ends in another order than that of their numbers."""

    def test_each_end_counts(self):
        """Guards against a run that ended as done and counts as missing."""
        cell = RestartingWorker()
        cell.answer(ACCEPTED, NOW + 0.1)
        other = f"{workloads.job_id(9)}.0.0.0"
        ended = [
            EndedTask(2, other, 1, EndKind.DONE, ""),
            EndedTask(1, cell.order.task, 1, EndKind.DONE, ""),
        ]
        number = cell.worker.token_number
        report = WorkerReport(OLD, 1.0, [], ended, number)
        cell.state.apply_report(ENTRY.vm, report, NOW + 0.9, NOW + 1.0)
        assert cell.task.done


class TestExcludedOnOneIncarnation:
    """Pattern: an order without an answer is excluded, and the worker restarts again.

    The next incarnation has seen no token, no stop and no run of the task.
    """

    def started_on(self, cell, now):
        """Returns the worker on which the task starts while the first one drains."""
        other = workloads.workers(2)[1]
        entry = dataclasses.replace(ENTRY, draining=True)
        cell.state.update_registry({entry.vm: entry, other.vm: other}, now)
        cell.state.apply_report(other.vm, WorkerReport(1, 5.0), now, now)
        orders = Placer(cell.state).decide(now, AdviceCapacity(8, 6))
        return [order.vm for order in orders if isinstance(order, StartOrder)]

    def stop(self, cell):
        """Stops the run; the worker has not got its order."""
        stop = StopOrder(ENTRY.vm, cell.order.task, 1)
        cell.state.apply_stop_answer(stop, ACCEPTED, NOW + 0.9)

    def raise_token(self, cell):
        """Lets the worker miss a renewal."""
        cell.worker.record_missed_renewal(NOW + 0.9)

    @pytest.mark.parametrize("way", [stop, raise_token])
    def test_task_does_not_start_elsewhere_while_the_copy_is_under_way(self, way):
        """Guards against a copy that the next incarnation executes."""
        cell = RestartingWorker()
        cell.answer(NO_ANSWER, NOW + 0.8)
        way(self, cell)
        cell.report(OLD, NOW + 1.2, sent_at=NOW + 1.1)
        assert self.started_on(cell, NOW + 1.3) == []

    def test_copy_of_an_order_that_was_refused_as_old(self):
        """Guards against a first copy that the next incarnation executes."""
        cell = RestartingWorker()
        old = OrderAnswer(OrderOutcome.OLD_RUN, in_doubt=True)
        cell.answer(old, NOW + 0.8)
        cell.report(OLD, NOW + 1.2, sent_at=NOW + 1.1)
        assert self.started_on(cell, NOW + 1.3) == []


class TestCallToAFormerAddress:
    """Pattern: a worker comes back at another address; its former one is in use.

    A call that was under way gets 421 by the worker that has the address now.
    """

    OTHER_TASK = f"{workloads.job_id(7)}.0.0.0"

    def make_owner(self, *outcomes):
        """Returns an owner whose worker returns while an order is under way."""
        orders = ScriptedOrders(*outcomes)
        owner, clock = make_owner([], orders)
        record = workloads.quote(7, count=1)
        owner.state.add_job(record, JobProgress(JobPhase.QUEUED), clock.now())

        async def come_back(worker):
            entry = dataclasses.replace(worker, born=NEW, address="10.0.9.9:80")
            owner.state.update_registry({entry.vm: entry}, clock.now())
            number = owner.state.worker_by_vm[entry.vm].token_number
            running = [RunningTask(self.OTHER_TASK, 1, "", 5.0)]
            report = WorkerReport(NEW, 1.0, running, token_number=number)
            owner.state.apply_report(entry.vm, report, clock.now(), clock.now())

        orders.before_answer = come_back
        return owner, clock

    def is_kept(self, owner):
        """Returns whether the run on the new incarnation has not ended."""
        stage, _ = owner.state.find_task(self.OTHER_TASK)
        return [run.number for run in stage.active_runs] == [1]

    def test_answer_to_a_start_ends_no_run_at_the_new_address(self):
        """Guards against a second run of each task on the new incarnation."""
        owner, clock = self.make_owner(OrderOutcome.WORKER_REPLACED)
        run_in_virtual_time(owner._send_start, make_order(owner, clock))
        assert self.is_kept(owner)

    def test_answer_to_a_stop_ends_no_run_at_the_new_address(self):
        """Guards against a second run of each task on the new incarnation."""
        owner, clock = self.make_owner(OrderOutcome.WORKER_REPLACED)
        orders = owner._dependencies.orders

        async def stop(worker, order, token):
            return await orders.start(worker, order, token, 0.0, math.inf)

        orders.stop = stop
        order = make_order(owner, clock)
        worker = owner.state.worker_by_vm[order.vm]
        worker.record_order(worker.run_by_key[order.task, order.run], clock.now())
        owner.state.apply_start_answer(order, NO_ANSWER, clock.now())
        sender = RunOrderSender(1, owner.state, orders, Metrics(), clock)
        stop_order = StopOrder(order.vm, order.task, order.run)
        run_in_virtual_time(sender.send, stop_order)
        assert self.is_kept(owner)


class TestOrderInDoubtAtATakeover:
    """Pattern: the owner of an order without an answer is killed.

    The worker is silent, and its entry in the registry has lapsed.
    """

    def test_successor_waits_as_long_as_the_owner_would(self):
        """Guards against a late order that outlasts the usual leases."""
        cell = RestartingWorker()
        cell.worker.grant_lease(NOW, LEASE_S)
        cell.answer(NO_ANSWER, NOW + 0.8)
        cell.worker.record_missed_renewal(NOW + 0.5)
        cell.register(NEW, NOW + 0.9)
        usual_s = PREDECESSOR_RENEWAL_WINDOW_S + LEASE_END_S
        rows = silent_workers(cell.state, NOW + 1.0, usual_s)
        owner, clock = make_owner([], ScriptedOrders())
        owner.state.max_lease_s = cell.state.max_lease_s
        vms = [worker.vm for worker in workloads.workers(2)]
        silent = [dataclasses.replace(row, vm=vms[1]) for row in rows]
        job = owner.state.add_job(
            cell.stage.job.record, JobProgress(JobPhase.RUNNING), clock.now(), True
        )
        owner._claim = CellClaim(2, "a", "a:1", 0, silent=silent)
        owner._claim_age_s = 0.0
        owner._inherited_vms = frozenset(vms[1:])
        owner._await_reports(clock.now())
        left_s = MAX_ORDER_DELAY_S + LONGEST_S - 1.0
        owner.state.expire_leases(clock.now() + left_s - 0.1)
        assert owner.state.is_blocked(job)


class TestEarlierStartTime:
    """Pattern: the wall clock of a worker is set back, and the worker restarts.

    The start time of the next incarnation is lower than that of the former one.
    """

    BORN = 5000

    def make_worker(self):
        """Returns a state and its worker, which has reported before and after."""
        state = CellState(0.0, lambda task: None)
        entry = dataclasses.replace(ENTRY, born=self.BORN)
        state.update_registry({entry.vm: entry}, NOW)
        state.apply_report(entry.vm, WorkerReport(self.BORN, 900.0), NOW, NOW)
        worker = state.worker_by_vm[entry.vm]
        worker.acknowledged = worker.last_end_number = 57
        for seconds in (1.0, 1.2):
            report = WorkerReport(
                self.BORN - 3000, seconds, token_number=worker.token_number
            )
            at = NOW + seconds
            state.apply_report(entry.vm, report, at - 0.01, at)
        return worker

    def test_no_end_of_the_former_incarnation_is_acknowledged(self):
        """Guards against ends of the new incarnation that are forgotten unread."""
        assert self.make_worker().acknowledged == 0

    def test_lease_is_not_granted_by_the_former_clock(self):
        """Guards against leases that end later than the owner expects."""
        lease_end = self.make_worker().grant_lease(NOW + 1.3, LEASE_S)
        assert lease_end is None or lease_end < 100.0


class TestWorkerWithoutAnEntryAtTheTakeover:
    """Pattern: the entry of a worker lapses, the owner is killed, the entry returns.

    The worker reports to the successor and misses its next renewal. The claim still
    lists it as a worker whose leases are not extended.
    """

    def make_successor(self):
        """Returns a successor, the clock and the step of the run on the worker."""
        owner, clock = make_owner([], ScriptedOrders())
        vms = frozenset(entry.vm for entry in workloads.workers(2))
        record = workloads.quote(1, count=1)
        progress = JobProgress(JobPhase.RUNNING)
        job = owner.state.add_job(record, progress, clock.now(), True)
        owner._claim = CellClaim(2, "a", "a:1", 0)
        owner._claim_age_s = 0.0
        owner.state.recorded_vms = owner._inherited_vms = vms
        owner.state.inherited_lease_s = LEASE_END_S
        owner._await_reports(clock.now())
        return owner, clock, next(iter(job.stage_by_key.values()))

    def test_lease_of_the_predecessor_counts(self):
        """Guards against a second run while the first has a lease of the predecessor.

        It has been renewed shortly before the predecessor was killed.
        """
        owner, clock, stage = self.make_successor()
        entry_by_vm = {entry.vm: entry for entry in workloads.workers(2)}
        now = clock.now() + 1.0
        owner.state.update_registry(entry_by_vm, now)
        running = [RunningTask(stage.task_name(0), 1, "", 5.0)]
        owner.state.apply_report("w-001", WorkerReport(1, 5.0, running), now, now)
        owner.state.worker_by_vm["w-001"].record_missed_renewal(now + 0.01)
        owner.state.expire_leases(now + 0.1)
        assert [run.number for run in stage.active_runs] == [1]


class TestJobReadLateAfterATakeover:
    """Pattern: the log answers the successor late, and its predecessor still acts.

    Both read a job that was stored after the successor had read the jobs.
    """

    def test_job_waits_for_workers_without_a_report(self):
        """Guards against a second run of a task that the predecessor has started."""
        owner, clock = make_owner([], ScriptedOrders())
        inherited_flags = []
        owner._taken_over_at = clock.now()
        owner._track_job = lambda job_id, now, inherited: inherited_flags.append(
            inherited
        )
        owner.state.unreported.add("w-001", clock.now() + 9.0)
        clock.advance(PREDECESSOR_RENEWAL_WINDOW_S - 0.1)
        run_in_virtual_time(owner.handle_job_changes, [workloads.job_id(1)])
        assert inherited_flags == [True]


class TestStopAnswerOfAFormerIncarnation:
    """Pattern: a stop is accepted, and the answer arrives after a restart is known."""

    def test_run_of_the_new_incarnation_is_stopped_again(self):
        """Guards against a run in doubt that nobody stops on the new incarnation."""
        cell = RestartingWorker()
        cell.answer(NO_ANSWER, NOW + 0.8)
        Placer(cell.state).due_stops(NOW + 0.8)
        number = cell.worker.token_number
        cell.report(NEW, NOW + 1.0, running=[1], number=number)
        stop = StopOrder(ENTRY.vm, cell.order.task, 1)
        cell.state.apply_stop_answer(stop, ACCEPTED, NOW + 1.1)
        cell.report(NEW, NOW + 1.2, running=[1])
        (run,) = cell.task.runs
        assert run.phase is not RunPhase.STOPPING or run.stop_answered_at is None


class TestOrderOfIncarnations:
    """Pattern: an incarnation with a lower start time follows one with a higher."""

    LOWER = NEW - 3

    def test_entry_of_the_former_incarnation_does_not_bring_it_back(self):
        """Guards against a restart that each read of the registry shows again."""
        cell = RestartingWorker()
        cell.register(NEW, NOW + 0.5)
        cell.report(self.LOWER, NOW + 1.0, sent_at=NOW + 0.9)
        cell.register(NEW, NOW + 1.1)
        assert cell.worker.born == self.LOWER

    def test_report_requested_before_the_restart_was_known_is_dropped(self):
        """Guards against a late report of a former incarnation that counts as new."""
        cell = RestartingWorker()
        cell.register(NEW, NOW + 1.0)
        cell.report(self.LOWER, NOW + 1.2, sent_at=NOW + 0.9)
        assert cell.worker.born == NEW
