"""Tests of workers that restart under their id while orders to them are in flight."""

import dataclasses

import pytest

from arbutusladder.cell.cellstate import CellState
from arbutusladder.cell.fencing import fencing_token, token_epoch
from arbutusladder.cell.interfaces import (
    EndedTask,
    OrderAnswer,
    RunningTask,
    StartOrder,
    StopOrder,
    WorkerReport,
)
from arbutusladder.cell.states import EndKind, JobPhase, OrderOutcome, RunPhase
from arbutusladder.cell.workers import MAX_ORDER_DELAY_S
from arbutusladder.messages import JobProgress, Resources
from tests.cell import workloads

NOW = 100.0
ENTRY = workloads.workers(1)[0]
OLD, NEW = ENTRY.born, ENTRY.born + 7
ACCEPTED = OrderAnswer(OrderOutcome.ACCEPTED, 5.0)


class RestartingWorker:
    """A cell with one worker, which has reported, and one run on it.

    Attributes:
        state: State of the owner.
        order: Start order of the run.
    """

    def __init__(self):
        self.state = CellState(0.0, lambda task: None)
        self.state.max_lease_s = 10.0
        self.state.update_registry({ENTRY.vm: ENTRY}, NOW)
        self.report(OLD, NOW)
        record = workloads.quote(1, count=1)
        job = self.state.add_job(record, JobProgress(JobPhase.QUEUED), NOW)
        self.stage = next(iter(job.stage_by_key.values()))
        vm = ENTRY.vm
        run = self.state.create_run(self.stage, 0, 1, vm, RunPhase.SENT, NOW)
        self.worker.record_order(run, NOW)
        self.order = StartOrder(vm, run.task, run.number, "payload")

    @property
    def worker(self):
        """The worker in the owner's state."""
        return self.state.worker_by_vm[ENTRY.vm]

    @property
    def task(self):
        """The task of the run."""
        return self.stage.tasks[0]

    def report(self, born, now, running=(), ended=(), sent_at=None, number=None):
        """Applies a report; ``running`` and ``ended`` are runs of the task.

        ``number`` is that of the token of the renewal; None for the present one.
        """
        running = [RunningTask(self.order.task, run, "", 5.0) for run in running]
        ended = [
            EndedTask(number, self.order.task, run, EndKind.DONE, "")
            for number, run in enumerate(ended, 1)
        ]
        if number is None:
            number = self.worker.token_number
        report = WorkerReport(born, now - NOW, running, ended, number)
        sent_at = now if sent_at is None else sent_at
        return self.state.apply_report(ENTRY.vm, report, sent_at, now)

    def register(self, born, now, **changes):
        """Applies a registry with the entry of an incarnation."""
        entry = dataclasses.replace(ENTRY, born=born, **changes)
        self.state.update_registry({entry.vm: entry}, now)

    def restart(self, way, now):
        """Shows the owner a restart, by the registry or by a report."""
        if way == "registry":
            self.register(NEW, now)
        else:
            self.report(NEW, now)

    def answer(self, answer, now):
        """Applies the answer to the start order."""
        self.state.apply_start_answer(self.order, answer, now)


@pytest.fixture(params=["registry", "report"])
def way(request):
    """How the owner learns of the restart first."""
    return request.param


class TestOrderInFlight:
    """Pattern: an order that was sent to the old incarnation reaches the new one."""

    def test_run_is_kept_until_its_order_is_excluded(self, way):
        """Guards against a second run while the new incarnation accepts the first."""
        cell = RestartingWorker()
        number = cell.worker.token_number
        cell.restart(way, NOW + 0.6)
        cell.report(NEW, NOW + 0.65, number=number)
        assert not cell.task.is_waiting
        cell.answer(dataclasses.replace(ACCEPTED, in_doubt=True), NOW + 0.7)
        cell.report(NEW, NOW + 0.8, running=[1])
        assert [run.phase for run in cell.task.runs] == [RunPhase.RUNNING]

    def test_run_that_the_new_incarnation_reports_is_kept(self, way):
        """Guards against a second run of a task whose order came after the restart."""
        cell = RestartingWorker()
        cell.restart(way, NOW + 0.6)
        cell.report(NEW, NOW + 0.7, running=[1])
        assert not cell.task.is_waiting

    def test_confirmed_run_ends_with_the_first_report(self, way):
        """Guards against tasks that are not started again after a restart."""
        cell = RestartingWorker()
        cell.answer(ACCEPTED, NOW + 0.1)
        cell.restart(way, NOW + 0.6)
        cell.report(NEW, NOW + 0.7)
        assert cell.task.is_waiting

    def test_restart_in_the_registry_ends_no_run(self):
        """Guards against a restart elsewhere before the worker has reported."""
        cell = RestartingWorker()
        cell.answer(ACCEPTED, NOW + 0.1)
        cell.register(NEW, NOW + 0.6)
        assert not cell.task.is_waiting

    @pytest.mark.parametrize("is_stopped", [False, True])
    def test_run_in_doubt_is_kept_until_its_order_is_excluded(self, way, is_stopped):
        """Guards against an unanswered order that is executed after the restart.

        Neither a report that was requested under the token of the order nor a stop that
        the old incarnation accepted excludes it. A report under a higher one does for
        this incarnation, and the task waits for the next ones.
        """
        cell = RestartingWorker()
        cell.answer(dataclasses.replace(ACCEPTED, in_doubt=True), NOW + 0.1)
        if is_stopped:
            stop = StopOrder(ENTRY.vm, cell.order.task, 1)
            cell.state.apply_stop_answer(stop, ACCEPTED, NOW + 0.5)
        number = cell.worker.token_number
        cell.restart(way, NOW + 0.6)
        cell.report(NEW, NOW + 0.7, number=number)
        assert cell.worker.run_by_key
        cell.report(NEW, NOW + 0.9)
        assert not cell.worker.run_by_key and not cell.task.is_waiting
        settled_at = NOW + MAX_ORDER_DELAY_S + 0.1
        cell.report(NEW, settled_at)
        cell.state.expire_leases(settled_at)
        assert cell.task.is_waiting

    def test_order_without_an_answer_yet_is_excluded_until_it_is_answered(self, way):
        """Guards against a task that starts before the order is answered, or never."""
        cell = RestartingWorker()
        cell.restart(way, NOW + 0.1)
        cell.report(NEW, NOW + 0.2)
        assert not cell.worker.run_by_key and not cell.task.is_waiting
        cell.answer(OrderAnswer(OrderOutcome.TOO_LATE), NOW + 0.3)
        assert cell.task.is_waiting


class TestLateAnswers:
    """Pattern: answers of the old incarnation arrive after those of the new one."""

    def test_report_of_the_old_incarnation_is_ignored(self, way):
        """Guards against ending a run that the new incarnation has."""
        cell = RestartingWorker()
        cell.restart(way, NOW + 0.6)
        cell.report(NEW, NOW + 0.7, running=[1])
        assert cell.report(OLD, NOW + 0.9, ended=[1]) == 0
        assert [run.number for run in cell.task.runs] == [1]
        assert not cell.task.done

    def test_answer_does_not_set_the_clock_of_the_new_incarnation(self):
        """Guards against leases that end much later than the owner expects."""
        cell = RestartingWorker()
        cell.register(NEW, NOW + 0.6)
        cell.answer(ACCEPTED, NOW + 0.7)
        assert cell.worker.grant_lease(NOW + 0.7, 5.0) is None

    def test_ends_of_the_new_incarnation_are_counted_anew(self, way):
        """Guards against ends that the worker forgets before they are stored."""
        cell = RestartingWorker()
        cell.answer(ACCEPTED, NOW + 0.1)
        cell.worker.acknowledged = cell.worker.last_end_number = 57
        cell.restart(way, NOW + 0.6)
        assert cell.worker.acknowledged == 0
        assert cell.report(NEW, NOW + 0.7, ended=[1]) == 1


class TestTakeover:
    """Pattern: a worker restarts before it has reported to a new owner."""

    def test_entry_of_a_restart_does_not_end_the_wait_for_a_report(self):
        """Guards against a task that a predecessor has started after the restart."""
        cell = RestartingWorker()
        job = cell.stage.job
        job.inherited = True
        cell.state.unreported.add(ENTRY.vm, NOW + 8.3)
        cell.register(NEW, NOW + 0.6)
        assert cell.state.is_blocked(job)
        cell.report(OLD, NOW + 0.7)
        assert cell.state.is_blocked(job)
        cell.report(NEW, NOW + 0.8)
        assert not cell.state.is_blocked(job)


class TestResources:
    """Pattern: a worker restarts as one of another kind."""

    def test_gets_no_tasks_before_its_entry_is_known(self):
        """Guards against tasks that exceed the capacity of the new incarnation."""
        cell = RestartingWorker()
        cell.answer(ACCEPTED, NOW + 0.1)
        cell.report(NEW, NOW + 0.6)
        cell.report(NEW, NOW + 0.7)
        assert cell.worker.is_responsive(NOW + 0.7)
        assert not cell.state.accepts_tasks(cell.worker, NOW + 0.7)
        cell.register(NEW, NOW + 0.9)
        assert cell.state.accepts_tasks(cell.worker, NOW + 0.9)

    def test_free_resources_follow_the_new_capacity(self, way):
        """Guards against counting the room of the old incarnation."""
        cell = RestartingWorker()
        cell.restart(way, NOW + 0.6)
        cell.register(NEW, NOW + 0.7, capacity=Resources(8.0, 9000.0))
        need = cell.stage.spec.need
        assert cell.worker.free.cpu == pytest.approx(8.0 - need.cpu)

    def test_planned_gang_is_released_where_it_was_reserved(self, way):
        """Guards against free resources that exceed the capacity."""
        cell = RestartingWorker()
        cell.answer(ACCEPTED, NOW + 0.1)
        cell.worker.reserve(cell.stage.spec.need)
        cell.stage.plan = [(0, ENTRY.vm)]
        cell.restart(way, NOW + 0.6)
        cell.report(NEW, NOW + 0.7)
        cell.state.release_plan(cell.stage)
        assert cell.worker.free == ENTRY.capacity


class TestLeaseOfAFormerClock:
    """Pattern: a worker restarts and is cut off soon after, with calls on their way.

    A lease that is meant for the former clock may be the longest that a worker accepts
    on the new one, from when the call is executed.
    """

    LONGEST_S = 10.0 * 1.02 + 0.2

    def cut_off(self, cell, now):
        """Lets the worker fall silent."""
        cell.worker.record_missed_renewal(now)

    def is_over(self, cell, now):
        """Returns whether the run has ended for the owner by its leases."""
        cell.state.expire_leases(now)
        return cell.task.is_waiting

    def test_lease_counts_from_the_report_that_excludes_it(self, way):
        """Guards against a lease that counts from the first sign of the restart."""
        cell = RestartingWorker()
        cell.worker.grant_lease(NOW, 5.0)
        cell.restart(way, NOW + 0.6)
        cell.report(NEW, NOW + 2.0, running=[1])
        self.cut_off(cell, NOW + 2.1)
        assert not self.is_over(cell, NOW + 2.0 + self.LONGEST_S - 0.1)
        assert self.is_over(cell, NOW + 2.0 + self.LONGEST_S + 0.1)

    def test_successor_that_granted_nothing_waits_as_well(self, way):
        """Guards against counting only the leases of the owner itself."""
        cell = RestartingWorker()
        cell.restart(way, NOW + 0.6)
        cell.report(NEW, NOW + 0.7, running=[1])
        self.cut_off(cell, NOW + 0.8)
        assert not self.is_over(cell, NOW + 0.7 + self.LONGEST_S - 0.1)
        assert self.is_over(cell, NOW + 0.7 + self.LONGEST_S + 0.1)

    def test_order_may_be_executed_late_by_an_incarnation_that_is_not_reached(self):
        """Guards against an order that is executed behind a cut after the restart."""
        cell = RestartingWorker()
        cell.worker.grant_lease(NOW, 5.0)
        cell.answer(OrderAnswer(OrderOutcome.UNKNOWN), NOW + 0.8)
        self.cut_off(cell, NOW + 0.5)
        cell.register(NEW, NOW + 0.6)
        end = NOW + MAX_ORDER_DELAY_S + self.LONGEST_S
        assert not self.is_over(cell, end - 0.1)
        assert self.is_over(cell, end + 0.1)

    def test_reported_run_ends_with_the_leases_of_its_incarnation(self):
        """Guards against waiting for orders that have been executed already."""
        cell = RestartingWorker()
        cell.worker.grant_lease(NOW, 5.0)
        cell.answer(ACCEPTED, NOW + 0.1)
        cell.report(OLD, NOW + 0.3, running=[1])
        self.cut_off(cell, NOW + 0.5)
        cell.register(NEW, NOW + 1.0)
        assert not self.is_over(cell, NOW + 5.0)
        assert self.is_over(cell, NOW + 5.4)

    def test_order_may_be_executed_by_an_incarnation_that_nothing_shows(self):
        """Guards against an order that is executed after a restart behind the cut.

        Neither the registry nor a report shows the incarnation before that.
        """
        cell = RestartingWorker()
        cell.worker.grant_lease(NOW, 5.0)
        cell.answer(OrderAnswer(OrderOutcome.UNKNOWN), NOW + 0.8)
        self.cut_off(cell, NOW + 0.5)
        end = NOW + MAX_ORDER_DELAY_S + self.LONGEST_S
        assert not self.is_over(cell, end - 0.1)
        assert self.is_over(cell, end + 0.1)

    def test_listed_run_ends_with_its_lease_without_a_restart(self):
        """Guards against waiting for an order that was executed."""
        cell = RestartingWorker()
        cell.worker.grant_lease(NOW, 5.0)
        cell.answer(ACCEPTED, NOW + 0.1)
        cell.report(OLD, NOW + 0.3, running=[1])
        self.cut_off(cell, NOW + 0.5)
        assert self.is_over(cell, NOW + 5.4)

    def test_answer_to_an_order_does_not_set_the_clock(self):
        """Guards against leases by the clock of a former incarnation.

        Its answer may arrive after the report that shows the present one.
        """
        cell = RestartingWorker()
        cell.register(NEW, NOW + 0.5)
        cell.report(NEW, NOW + 0.6)
        cell.answer(OrderAnswer(OrderOutcome.ACCEPTED, 500.0), NOW + 0.7)
        assert cell.worker.grant_lease(NOW + 0.7, 5.0) == pytest.approx(5.7)

    def test_answer_to_an_order_does_not_end_a_silence(self):
        """Guards against leases for a worker that only a former answer came from."""
        cell = RestartingWorker()
        self.cut_off(cell, NOW + 0.5)
        cell.answer(ACCEPTED, NOW + 0.7)
        assert cell.worker.grant_lease(NOW + 0.7, 5.0) is None


class TestToken:
    """The number of the token excludes what was sent before a restart or a silence."""

    def outcome_of_refusal(self, cell):
        """Returns the function that resolves a refusal of a token by its number."""
        refusal = OrderAnswer(OrderOutcome.FENCED)
        resolve = cell.state.resolve_refusal
        return lambda entry, number: resolve(entry, refusal, number).outcome

    def test_each_restart_and_silence_raises_it_once(self):
        """Guards against a call that is sent under the token of earlier ones."""
        cell = RestartingWorker()
        first = cell.worker.token_number
        cell.worker.record_missed_renewal(NOW + 0.5)
        cell.worker.record_missed_renewal(NOW + 0.9)
        assert cell.worker.token_number == first + 1
        cell.report(NEW, NOW + 1.2)
        assert cell.worker.token_number == first + 1
        cell.worker.grant_lease(NOW + 1.3, 5.0)
        cell.register(NEW + 7, NOW + 1.4)
        assert cell.worker.token_number == first + 2

    def test_worker_gets_neither_leases_nor_tasks_before_it_is_confirmed(self):
        """Guards against relying on a report that excludes no earlier call."""
        cell = RestartingWorker()
        cell.register(NEW, NOW + 0.5)
        number = cell.worker.token_number - 1
        cell.report(NEW, NOW + 0.6, number=number)
        assert cell.worker.grant_lease(NOW + 0.6, 5.0) is None
        assert not cell.state.accepts_tasks(cell.worker, NOW + 0.6)
        cell.report(NEW, NOW + 0.7)
        assert cell.state.accepts_tasks(cell.worker, NOW + 0.7)

    def test_worker_that_returns_gets_a_higher_one(self):
        """Guards against calls that a worker refuses because of the owner's own token.

        The owner would take the refusal for one by a successor and end.
        """
        cell = RestartingWorker()
        cell.answer(OrderAnswer(OrderOutcome.TOO_LATE), NOW + 0.1)
        used = cell.worker.token_number
        cell.state.update_registry({}, NOW + 60.0)
        assert not cell.state.worker_by_vm
        outcome = self.outcome_of_refusal(cell)
        assert outcome(ENTRY, used) is OrderOutcome.SUPERSEDED
        cell.register(OLD, NOW + 61.0)
        assert cell.worker.token_number > used
        assert outcome(ENTRY, used) is OrderOutcome.SUPERSEDED

    def test_own_earlier_token_is_told_from_a_successors(self):
        """Guards against an owner that ends because of its own newer call."""
        cell = RestartingWorker()
        number = cell.worker.token_number
        outcome = self.outcome_of_refusal(cell)
        assert outcome(ENTRY, number) is OrderOutcome.FENCED
        cell.worker.record_missed_renewal(NOW + 0.5)
        assert outcome(ENTRY, number) is OrderOutcome.SUPERSEDED
        assert outcome(ENTRY, number + 1) is OrderOutcome.FENCED
        cell.answer(OrderAnswer(OrderOutcome.SUPERSEDED), NOW + 0.6)
        assert cell.task.is_waiting and not cell.state.changes.fenced

    def test_tokens_rise_with_the_epoch(self):
        """Guards against a predecessor whose calls pass those of its successor."""
        assert fencing_token(2, 999_999) < fencing_token(3, 0)
        assert token_epoch(fencing_token(3, 17)) == 3


class TestInheritedLeaseAfterARestart:
    """Pattern: a successor takes over shortly after workers have restarted."""

    def make_state(self, age_s):
        """Returns a state whose worker began some seconds before."""
        state = CellState(0.0, lambda task: None)
        state.max_lease_s, state.inherited_lease_s = 10.0, 5.3
        entry = dataclasses.replace(ENTRY, born=int((NOW - age_s) * 1000))
        state.update_registry({entry.vm: entry}, NOW)
        worker = state.worker_by_vm[entry.vm]
        worker.assume_lease(NOW + 100.0)
        state.apply_report(entry.vm, WorkerReport(entry.born, 5.0), NOW, NOW)
        return worker

    def test_calls_for_its_former_clock_may_have_given_the_longest_lease(self):
        """Guards against limiting a predecessor's leases to the usual length."""
        worker = self.make_state(age_s=3.0)
        assert not worker.leases_expired(NOW + 10.3)
        assert worker.leases_expired(NOW + 10.5)

    def test_lease_on_a_worker_that_runs_for_long_has_the_usual_length(self):
        """Guards against takeovers that wait for calls long executed."""
        worker = self.make_state(age_s=40.0)
        assert not worker.leases_expired(NOW + 5.2)
        assert worker.leases_expired(NOW + 5.4)


class TestListedBeforeTheAnswer:
    """Pattern: a report lists a run before its order is answered."""

    def test_copy_whose_answer_is_still_awaited_counts(self, way):
        """Guards against a restart between the report and the answer to a repeat."""
        cell = RestartingWorker()
        cell.worker.record_order(cell.task.runs[0], NOW + 0.4)
        cell.report(OLD, NOW + 0.45, running=[1])
        number = cell.worker.token_number
        cell.restart(way, NOW + 0.6)
        cell.report(NEW, NOW + 0.7, number=number)
        assert not cell.task.is_waiting

    def test_run_that_its_only_order_has_started_is_settled(self, way):
        """Guards against tasks that wait for an order which was executed."""
        cell = RestartingWorker()
        cell.report(OLD, NOW + 0.45, running=[1])
        cell.answer(OrderAnswer(OrderOutcome.UNKNOWN), NOW + 0.5)
        cell.restart(way, NOW + 0.6)
        cell.report(NEW, NOW + 0.7)
        assert cell.task.is_waiting

    def test_answer_without_a_doubt_settles_the_run(self, way):
        """Guards against tasks that wait for orders which were answered."""
        cell = RestartingWorker()
        cell.worker.record_order(cell.task.runs[0], NOW + 0.4)
        cell.report(OLD, NOW + 0.45, running=[1])
        cell.answer(ACCEPTED, NOW + 0.5)
        cell.restart(way, NOW + 0.6)
        cell.report(NEW, NOW + 0.7)
        assert cell.task.is_waiting
