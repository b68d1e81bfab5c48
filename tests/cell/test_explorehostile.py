"""Tests of the workers of the search that do all that the users' pages allow."""

import math
import time

import curio
import pytest

from arbutusladder.cell.interfaces import StartOrder, StopOrder, WorkerReport
from arbutusladder.cell.states import EndKind, OrderOutcome
from arbutusladder.messages import Resources, StepSpec
from tests.cell import explorefaults as faults
from tests.cell import workloads
from tests.cell.explorehostile import MAX_DELAY_S, HostileWorker, _OrderSender
from tests.cell.exploreplan import QUEUE, Plan
from tests.cell.explorerules import RuleChecker
from tests.cell.faultynetwork import Network
from tests.cell.pausable import PausableProcess
from tests.cell.repeatable import run_repeatably

WORKER = "w-000"
TASK = f"{workloads.job_id(1)}.0.0.0"
TOKEN = 1_000_000
LEASE_S = 5.0


class Setting:
    """One worker and one process that calls it."""

    def __init__(self, *in_force):
        job = workloads.job(1, QUEUE, StepSpec(1, Resources(1.0, 1.0), 1.0))
        plan = Plan(
            *(1, 1.0, "a", (WORKER,), {1: job}, [], []), widened=True, long_share=1.0
        )
        self.checker = RuleChecker(plan.jobs)
        self.checker.record_submission(job.job_id)
        self.faults = faults.FaultsInForce()
        self.faults.faults += in_force
        (entry,) = workloads.workers(1)
        self.worker = HostileWorker(entry, plan, self.checker, self.faults)
        self.checker.workers = [self.worker]
        self.network = Network()
        self.sender = _OrderSender(
            PausableProcess("a", 0), {WORKER: self.worker}, self.network
        )

    async def start(self, number=1, lease_s=LEASE_S, entry=None):
        """Returns the outcome of a start order."""
        order = StartOrder(WORKER, TASK, number, "payload", "", "")
        until = self.worker.clock() + lease_s
        entry = entry or self.worker.entry
        return (await self.sender.start(entry, order, TOKEN, until, math.inf)).outcome

    async def stop(self, number):
        """Returns the outcome of a stop order."""
        order = StopOrder(WORKER, TASK, number)
        return (await self.sender.stop(self.worker.entry, order, TOKEN)).outcome

    async def report(self):
        """Returns the answer to a renewal without a lease."""
        return await self.sender.renew(self.worker.entry, TOKEN, 0, None, 0.0, math.inf)

    @property
    def runs(self):
        """Numbers of the runs in progress."""
        self.worker.advance()
        return [number for _, number in self.worker.running]

    @property
    def rules(self):
        """The broken rules."""
        return [rule for rule, _ in self.checker.broken]


def play(function, *in_force):
    """Plays a coroutine function with a setting in virtual time."""

    async def run():
        setting = Setting(*in_force)
        await curio.spawn(setting.network.run, daemon=True)
        return await function(setting)

    return run_repeatably(1, run)


def late(*kinds):
    """Returns a fault that makes all calls of some kinds late."""
    return faults.CallsLate(0.0, 0.0, WORKER, 1.0, kinds)


def cut(**fields):
    """Returns a cut between the worker and all entry VMs."""
    return faults.WorkerCut(0.0, 0.0, WORKER, **fields)


class TestLateCalls:
    """Pattern: a call is executed seconds after it was sent."""

    def test_the_next_incarnation_executes_it(self):
        """Guards against late orders that end with the incarnation."""

        async def run(setting):
            assert await setting.start(lease_s=20.0) is OrderOutcome.UNKNOWN
            assert setting.runs == []
            setting.worker.crash()
            setting.worker.restart()
            setting.faults.faults.clear()
            await curio.sleep(MAX_DELAY_S)
            assert "starts late" in "".join(text for _, text in setting.checker.events)

        play(run, late("start"))

    def test_a_cut_does_not_keep_it(self):
        """Guards against late orders that are only executed after a cut."""

        async def run(setting):
            await setting.start(lease_s=60.0)
            setting.faults.faults.append(cut())
            await curio.sleep(MAX_DELAY_S)
            assert setting.checker.starts == 1

        play(run, late("start"))

    def test_other_calls_are_in_time(self):
        """Guards against plans without late orders that have some."""

        async def run(setting):
            assert isinstance(await setting.report(), WorkerReport)

        play(run, late("start"))

    def test_none_is_executed_after_the_longest_delay(self):
        """Guards against orders later than the pages allow."""

        async def run(setting):
            await setting.start(lease_s=60.0)
            await curio.sleep(MAX_DELAY_S + 1.0)
            setting.faults.faults.clear()
            await curio.sleep(5.0)
            assert setting.checker.starts == 0

        play(run, cut(held_share=1.0))


class TestCuts:
    """Pattern: a worker is cut off in one or both directions."""

    @pytest.mark.parametrize("held_share", [0.0, 1.0])
    def test_requests_wait_for_the_end(self, held_share):
        """Guards against requests that never or always outlast a cut."""

        async def run(setting):
            assert await setting.start(lease_s=20.0) is OrderOutcome.UNKNOWN
            setting.faults.faults.clear()
            await curio.sleep(2.0)
            assert setting.checker.starts == held_share

        play(run, cut(held_share=held_share))

    def test_only_answers_are_lost(self):
        """Guards against a cut of the answers that stops the requests."""

        async def run(setting):
            assert await setting.start() is OrderOutcome.UNKNOWN
            assert setting.checker.starts == 1

        play(run, cut(requests=False))

    def test_only_requests_are_lost(self):
        """Guards against a cut of the requests that stops the answers."""

        async def run(setting):
            task = await curio.spawn(setting.start)
            await curio.sleep(0.2)
            setting.faults.faults.append(cut(answers=False))
            assert await task.join() is OrderOutcome.ACCEPTED
            assert await setting.start(2) is OrderOutcome.UNKNOWN
            assert setting.checker.starts == 1

        play(run)

    def test_registry_is_not_reached(self):
        """Guards against an entry that shows what only the registry could tell."""

        async def run(setting):
            assert not setting.faults.reaches_registry(WORKER)

        play(run, cut(registry=True))


class TestRuns:
    """Pattern: a worker that does not guard its capacity."""

    def test_a_second_run_of_a_task_starts(self):
        """Guards against a worker that refuses what the check counts as started."""

        async def run(setting):
            assert await setting.start(1) is OrderOutcome.ACCEPTED
            assert await setting.start(2) is OrderOutcome.ACCEPTED
            assert setting.runs == [1, 2]
            assert setting.rules == ["TWICE"]

        play(run)

    def test_a_stopped_run_ends_later(self):
        """Guards against runs that end with the answer to their stop."""

        async def run(setting):
            await setting.start()
            assert await setting.stop(1) is OrderOutcome.ACCEPTED
            assert setting.runs == [1]
            await curio.sleep(0.5)
            assert setting.runs == []
            report = await setting.report()
            assert [row.how for row in report.ended] == [EndKind.STOPPED]
            assert await setting.start(1) is OrderOutcome.OLD_RUN

        play(run)

    def test_a_stop_ends_only_its_run(self):
        """Guards against a stop of a later run that ends an earlier one."""

        async def run(setting):
            await setting.start(1)
            await setting.stop(2)
            await curio.sleep(0.5)
            assert setting.runs == [1]
            assert await setting.start(2) is OrderOutcome.OLD_RUN

        play(run)

    def test_the_lease_is_measured_on_its_clock(self):
        """Guards against leases that end earlier than a slow clock allows."""

        async def run(setting):
            began_at = time.monotonic()
            await setting.start(lease_s=60.0)
            while setting.runs:
                await curio.sleep(0.01)
            longest_s = setting.worker._max_lease_s / setting.worker._rate
            assert time.monotonic() - began_at == pytest.approx(longest_s, abs=0.2)

        play(run)


class TestMovedWorker:
    """Pattern: another worker answers at the former address."""

    def test_former_address(self):
        """Guards against calls that find the worker at any address."""

        async def run(setting):
            former = setting.worker.entry
            setting.worker.move()
            setting.worker.restart()
            assert await setting.start(entry=former) is OrderOutcome.NOT_SENT
            await curio.sleep(2.0)
            assert await setting.start(entry=former) is OrderOutcome.WORKER_REPLACED
            assert await setting.start() is OrderOutcome.ACCEPTED

        play(run)

    def test_late_order_for_the_former_address(self):
        """Guards against orders that follow a worker to another address."""

        async def run(setting):
            await setting.start(lease_s=60.0)
            setting.worker.move()
            setting.worker.restart()
            await curio.sleep(MAX_DELAY_S)
            assert setting.checker.starts == 0

        play(run, late("start"))


class TestIncarnations:
    """Pattern: a worker restarts under its id."""

    def test_start_time(self):
        """Guards against start times that wait bounds cannot be counted from."""

        async def run(setting):
            first = setting.worker.born
            await curio.sleep(1.0)
            setting.worker.crash()
            setting.worker.restart()
            assert abs(first / 1000 - time.time()) < 4.0
            assert setting.worker.born - first == pytest.approx(1000, abs=5)

        play(run)
