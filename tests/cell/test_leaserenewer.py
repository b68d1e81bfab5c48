"""Tests of the renewal of leases, of the reports in the answers, and of pauses."""

import functools
import time
from types import SimpleNamespace

import curio
import pytest

from arbutusladder.cell.cellstate import CellState
from arbutusladder.cell.interfaces import (
    EndedTask,
    OrderAnswer,
    RunningTask,
    WorkerReport,
)
from arbutusladder.cell.leaserenewer import LeaseRenewer
from arbutusladder.cell.runs import MAX_ORDER_DELAY_S
from arbutusladder.cell.states import EndKind, JobPhase, OrderOutcome, RunPhase
from arbutusladder.clock import Clock
from arbutusladder.errors import LogUnavailable
from arbutusladder.journal import Journal
from arbutusladder.messages import JobProgress
from arbutusladder.metrics import Metrics
from tests.cell import workloads
from tests.cell.test_heldends import REPEATED
from tests.cell.test_restartedworker import (
    ACCEPTED,
    NEW,
    NOW,
    OLD,
    RestartingWorker,
)
from tests.cell.test_unsettledruns import excluded_cell, is_waiting
from tests.virtualtime import run_in_virtual_time

LEASE_S = 5.0
OUTAGE_S = 10.0
ENTRY = workloads.workers(1)[0]


def make_renewer(renew, may_give_orders, clock, **member):
    """Returns the renewer of an owner with one worker that has reported.

    Args:
        renew: Stands in for the client of the worker.
        may_give_orders: Stands in for the check of the owner.
        clock: The owner's clock.
        member: Attributes of its entry VM.
    """
    state = CellState(0.0, lambda task: None)
    state.update_registry({ENTRY.vm: ENTRY}, clock.now())
    report = WorkerReport(1, clock.now())
    state.apply_report(ENTRY.vm, report, clock.now(), clock.now())
    owner = SimpleNamespace(
        ended=False, epoch=1, lease_s=LEASE_S, may_give_orders=may_give_orders
    )
    dependencies = SimpleNamespace(
        clock=clock,
        metrics=Metrics(),
        journal=Journal("a"),
        orders=SimpleNamespace(renew=renew),
    )
    return LeaseRenewer(owner, state, SimpleNamespace(**member), dependencies)


def hold(wait):
    """Returns the seconds until a renewal that may wait as long is answered."""
    return wait + 0.01


def hold_for_whole_ticks(wait):
    """Returns the same for a worker that waits for multiples of 0.1 s only."""
    return wait // 0.1 * 0.1 + 0.002


class TestReportOfAnUnknownJob:
    """Pattern: a worker reports an end of a job that the owner cannot read yet."""

    async def _renew(self, worker, token, acknowledged, until, wait, send_by):
        await curio.sleep(0.01)
        self.renewals.append((self.clock.now(), acknowledged, until))
        ended = [EndedTask(1, f"{workloads.job_id(1)}.0.0.0", 1, EndKind.DONE, "")]
        return WorkerReport(1, self.clock.now(), [], ended)

    async def _read_jobs(self):
        await curio.sleep(0.1)
        raise LogUnavailable("no answer", maybe_applied=False)

    async def play(self):
        """Renews the lease of one worker during an outage of the log."""
        self.clock, self.renewals = Clock(), []
        renewer = make_renewer(
            self._renew,
            lambda: True,
            self.clock,
            table=SimpleNamespace(has_jobs_of_tasks=lambda tasks: False),
            read_jobs=self._read_jobs,
        )
        await renewer.start_renewals()
        await curio.sleep(OUTAGE_S)
        await renewer.close()

    def test_its_leases_are_extended_and_nothing_is_acknowledged(self):
        """Guards against a worker whose tasks lapse because of one unknown job."""
        run_in_virtual_time(self.play)
        times = [at for at, _, until in self.renewals if until]
        gaps = [later - at for at, later in zip(times, times[1:], strict=False)]
        assert times[-1] - times[0] > OUTAGE_S - 2.0
        assert max(gaps) < LEASE_S / 4
        assert {acknowledged for _, acknowledged, _ in self.renewals} == {0}


class TestPauseBehindTheCheck:
    """Pattern: the process is paused after the check that it may extend leases."""

    def test_renewal_may_not_be_sent(self):
        """Guards against a check of the permission that counts for a later renewal."""
        clock, seconds_left = Clock(), []

        def check():
            time.sleep(20.0)
            return True

        async def renew(worker, token, acknowledged, until, wait, send_by):
            seconds_left.append(send_by - clock.now_with_suspensions())
            return OrderAnswer(OrderOutcome.NOT_SENT)

        async def play():
            renewer = make_renewer(renew, check, clock)
            await renewer.start_renewals()
            await curio.sleep(0.1)
            await renewer.close()

        run_in_virtual_time(play)
        assert seconds_left and max(seconds_left) < 0.0


class RenewedCell:
    """Renews the leases of workers that hold each renewal for as long as they may.

    Attributes:
        born: Start time of the workers in their reports.
        running: Rows of the runs in their reports.
        hold: Function from the wait of a renewal to the seconds until its answer.
        sent_at: Times of the owner's clock in seconds at which renewals were sent.
        waits: Their waits in seconds.
    """

    def __init__(self, state, first_renewal_at, born=OLD, running=(), hold=hold):
        self._state = state
        self._clock = Clock()
        self._first_renewal_at, self._began_at = first_renewal_at, self._clock.now()
        self.born, self.running, self.hold = born, list(running), hold
        self.sent_at, self.waits = [], []

    def now(self):
        """Returns the time of the owner's clock in seconds."""
        return self._first_renewal_at + self._clock.now() - self._began_at

    async def _renew(self, worker, token, acknowledged, until, wait, send_by):
        self.sent_at.append(self.now())
        self.waits.append(wait)
        await curio.sleep(self.hold(wait))
        return WorkerReport(self.born, self.now() - NOW, self.running)

    async def renew_until(self, is_over):
        """Renews the leases until a function of the time is true; returns the time."""

        async def ignore():
            pass

        owner = SimpleNamespace(
            ended=False,
            epoch=1,
            lease_s=LEASE_S,
            may_give_orders=lambda: True,
            record_worker=lambda vm: None,
            request_decisions=ignore,
        )
        table = SimpleNamespace(has_jobs_of_tasks=lambda tasks: True)
        dependencies = SimpleNamespace(
            clock=SimpleNamespace(now=self.now, now_with_suspensions=self.now),
            metrics=Metrics(),
            journal=Journal("a"),
            orders=SimpleNamespace(renew=self._renew),
        )
        member = SimpleNamespace(table=table)
        renewer = LeaseRenewer(owner, self._state, member, dependencies)
        await renewer.start_renewals()
        while not is_over(self.now()):
            await curio.sleep(0.05)
        await renewer.close()
        return self.now()


def gang_in_doubt(ordered_at):
    """Returns a cell, and a gang on it with an unsettled run for each time of an order.

    Each member is on a worker of its own.
    """
    state = CellState(0.0, lambda task: None)
    state.max_lease_s = 10.0
    entry_by_vm = {entry.vm: entry for entry in workloads.workers(len(ordered_at))}
    state.update_registry(entry_by_vm, NOW)
    record = workloads.residual(1, count=len(ordered_at))
    job = state.add_job(record, JobProgress(JobPhase.QUEUED), NOW)
    (stage,) = job.stage_by_key.values()
    for index, (vm, at) in enumerate(zip(entry_by_vm, ordered_at, strict=True)):
        order_in_doubt(state, stage, index, vm, at)
    return state, stage


def order_in_doubt(state, stage, index, vm, ordered_at):
    """Sends an order that gets no answer, and excludes it on its incarnation."""
    state.apply_report(vm, WorkerReport(OLD, 5.0), ordered_at, ordered_at)
    worker = state.worker_by_vm[vm]
    run = state.create_run(stage, index, 1, vm, RunPhase.SENT, ordered_at)
    worker.record_order(run, ordered_at)
    worker.record_missed_renewal(ordered_at)
    report = WorkerReport(OLD, 5.0, token_number=worker.token_number)
    state.apply_report(vm, report, ordered_at, ordered_at)


class TestReportThatSettlesAnOrder:
    """Pattern: an order got no answer, and its worker is idle and holds renewals.

    Only a report that is requested 12 s after the order shows that no incarnation runs
    the task, which until then starts nowhere.
    """

    # Seconds after the last fault until which a job must have ended, a bound of the
    # sites, and the work of their most frequent jobs.
    FINISH_S, WORK_S = 14.0, 0.8

    async def play(self, offset_s):
        """Returns when the task may start again, in seconds after its order."""
        cell = excluded_cell()
        renewed = RenewedCell(cell.state, NOW + 1.3 + offset_s)
        waits = functools.partial(is_waiting, cell)
        return await renewed.renew_until(waits) - NOW

    @pytest.mark.parametrize("offset_s", [0.0, 0.5, 1.0, 1.5])
    def test_task_starts_again_within_the_bound(self, offset_s):
        """Guards against a report that is held while a task waits for it."""
        seconds = run_in_virtual_time(self.play, offset_s)
        assert seconds <= self.FINISH_S - self.WORK_S

    async def play_gang(self, ordered_at):
        """Returns when the gang may start again, in seconds after its last order."""
        state, stage = gang_in_doubt(ordered_at)

        def is_gang_waiting(now):
            state.expire_leases(now)
            return bool(stage.waiting_tasks())

        renewed = RenewedCell(state, max(ordered_at) + 1.3)
        return await renewed.renew_until(is_gang_waiting) - max(ordered_at)

    @pytest.mark.parametrize("later_s", [0.0, 0.3, 0.9, 1.7])
    def test_gang_starts_again_within_the_bound(self, later_s):
        """Guards against a gang that waits for the report of one idle worker."""
        seconds = run_in_virtual_time(self.play_gang, [NOW, NOW + later_s])
        assert seconds <= self.FINISH_S - self.WORK_S

    async def play_late_answer(self):
        """Returns the seconds after a late acceptance until the task may start."""
        cell = excluded_cell()
        renewed = RenewedCell(cell.state, NOW + 1.3)

        async def accept():
            await curio.sleep(1.0)
            cell.answer(ACCEPTED, renewed.now())
            return renewed.now()

        accepting = await curio.spawn(accept)
        waits = functools.partial(is_waiting, cell)
        may_start_at = await renewed.renew_until(waits)
        return may_start_at - await accepting.join()

    def test_report_after_a_late_answer_is_not_held(self):
        """Guards against a second held report after the order was accepted."""
        assert run_in_virtual_time(self.play_late_answer) < 2.0 + 0.2


class TestWaitOfARenewal:
    """Pattern: reports do not end doubts, many doubts end, or there are none."""

    PLAY_S, IDLE_S, BUSY_S = 20.0, 2.0, 0.6
    # Renewals in a second while doubts end.
    MAX_RATE = 10

    def play(self, cell, first_renewal_at, **workers):
        """Returns the renewals of the cell until the end of the play."""

        async def renew():
            renewed = RenewedCell(cell.state, first_renewal_at, **workers)
            await renewed.renew_until(lambda now: now > NOW + self.PLAY_S)
            return renewed

        return run_in_virtual_time(renew)

    def test_doubt_that_no_report_ends(self):
        """Guards against a busy loop while each report is dropped."""
        cell = excluded_cell()
        cell.report(NEW, NOW + 1.25)
        renewed = self.play(cell, NOW + 1.3, born=OLD)
        assert not is_waiting(cell, NOW + self.PLAY_S)
        assert renewed.waits.count(0.0) == 1
        assert len(renewed.waits) <= (self.PLAY_S - 1.3) / self.IDLE_S + 3

    def test_doubts_that_end_one_after_another(self):
        """Guards against a renewal for each of many orders in doubt."""
        cell = RestartingWorker()
        cell.state.end_run(cell.worker, cell.task.runs[0], workloads.LISTED_END)
        job = cell.state.add_job(
            workloads.quote(2, count=100), JobProgress(JobPhase.QUEUED), NOW
        )
        (stage,) = job.stage_by_key.values()
        for index in range(100):
            at = NOW + 0.01 * index
            order_in_doubt(cell.state, stage, index, cell.order.vm, at)
        renewed = self.play(cell, NOW + 1.3)
        cell.state.expire_leases(NOW + self.PLAY_S)
        assert len(stage.waiting_tasks()) == 100
        ending = [
            at for at in renewed.sent_at if 0.0 <= at - NOW - MAX_ORDER_DELAY_S <= 1.0
        ]
        assert len(ending) <= self.MAX_RATE + 1

    def test_worker_that_answers_early(self):
        """Guards against a busy loop in the last moments of a doubt."""
        cell = excluded_cell()
        renewed = self.play(cell, NOW + 1.3, hold=hold_for_whole_ticks)
        assert is_waiting(cell, NOW + self.PLAY_S)
        ending = [
            at for at in renewed.sent_at if abs(at - NOW - MAX_ORDER_DELAY_S) <= 0.5
        ]
        assert len(ending) <= self.MAX_RATE + 1

    @pytest.mark.parametrize("answer", [ACCEPTED, REPEATED])
    def test_running_task(self, answer):
        """Guards against more renewals than one for each end of a doubt."""
        cell = RestartingWorker()
        cell.answer(answer, NOW + 0.5)
        row = RunningTask(cell.order.task, 1, "", 5.0)
        renewed = self.play(cell, NOW + 0.6, running=[row])
        others = [wait for wait in renewed.waits if wait != self.BUSY_S]
        assert len(others) == (2 if answer is REPEATED else 0)

    def test_idle_worker(self):
        """Guards against renewals that are answered early without a doubt."""
        cell = RestartingWorker()
        cell.answer(REPEATED, NOW + 0.5)
        cell.report(OLD, NOW + 1.0, ended=[1])
        cell.worker.acknowledge_ends(1)
        renewed = self.play(cell, NOW + 1.3)
        assert set(renewed.waits) == {self.IDLE_S}
