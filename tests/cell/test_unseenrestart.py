"""Tests of runs on a worker whose restart the owner does not see."""

import time
from unittest import mock

import curio
import pytest

from arbutusladder.clock import Clock
from arbutusladder.messages import Resources, StepSpec
from tests.cell import explorefaults as faults
from tests.cell import explorehostile, exploreworkers, workloads
from tests.cell.explorehostile import HostileCell
from tests.cell.exploreplan import LONG_RUN_S, QUEUE, WORKER_CORES, Plan
from tests.cell.explorerules import RuleChecker
from tests.cell.exploretickets import add_tickets
from tests.cell.repeatable import run_repeatably

TASK = f"{workloads.job_id(1)}.0.0.0"
# Seconds for which a task that was moved too early would run beside the former run.
PLAY_S = 20.0
SOON_S = 2.0


class Scenario:
    """Three entry VMs, two workers and one task that outlasts the leases."""

    def __init__(self, max_lease_s, tickets=False, long_run_s=LONG_RUN_S):
        step = StepSpec(1, Resources(WORKER_CORES, 1000.0), 1.0)
        job = workloads.job(1, QUEUE, step)
        workers = tuple(entry.vm for entry in workloads.workers(2))
        plan = Plan(
            *(1, PLAY_S, "abc", workers, {1: job}, [], []),
            widened=True,
            max_lease_s=max_lease_s,
            long_share=1.0,
            long_run_s=long_run_s,
        )
        if tickets:
            plan = add_tickets(plan)
        self._job = plan.jobs[1]
        self.checker = RuleChecker(plan.jobs)
        self.cell = HostileCell(plan, self.checker)

    async def submit(self):
        """Submits the job at the first entry VM that runs."""
        self.checker.record_submission(self._job.job_id)
        vm, member = next(iter(self.cell.member_by_vm.items()))
        await self.cell.call(vm, member.submit, self._job, Clock().now() + 3.0)

    async def wait_for_order(self):
        """Returns the worker of the first order for the task, and when it was sent."""
        while True:
            for member in self.cell.member_by_vm.values():
                owner = member.claims.owner
                for worker in owner.state.worker_by_vm.values() if owner else ():
                    for run in worker.run_by_key.values():
                        if run.ordered_at is not None:
                            vm = worker.entry.vm
                            return self.cell.worker_by_vm[vm], run.ordered_at
            await curio.sleep(0.01)

    async def wait_for_run_elsewhere(self, worker):
        """Waits until another worker runs the task, if it does soon."""
        others = [w for w in self.cell.worker_by_vm.values() if w is not worker]
        async with curio.ignore_after(SOON_S):
            while not any(TASK in other.running_tasks() for other in others):
                await curio.sleep(0.01)

    async def wait_until(self, at):
        """Waits until a monotonic time."""
        await curio.sleep(max(0.0, at - time.monotonic()))

    async def restart(self, worker, down_s=0.1):
        """Crashes a worker and starts it again."""
        worker.crash()
        await curio.sleep(down_s)
        await self.cell.restart_worker(worker.name)

    def inject(self, kind, worker, **fields):
        """Puts a fault of a worker in force."""
        self.cell.faults.faults.append(kind(0.0, 0.0, worker=worker.name, **fields))

    async def wait_for_poll(self, worker):
        """Waits until the owner has sent a renewal, which the idle worker holds."""
        cell = self.cell
        state = cell.member_by_vm[cell.owner_vm].claims.owner.state
        known = state.worker_by_vm[worker.name]
        listed_at = known.listed_all_at
        while known.listed_all_at == listed_at:
            await curio.sleep(0.005)
        await curio.sleep(0.02)

    @property
    def rules(self):
        """The broken rules."""
        return [rule for rule, _ in self.checker.broken]


def play(function, max_lease_s, tickets=False):
    """Plays a scenario in virtual time; returns the broken rules."""

    async def run():
        scenario = Scenario(max_lease_s, tickets)
        await scenario.cell.start()
        async with curio.timeout_after(PLAY_S):
            await function(scenario)
        await curio.sleep(PLAY_S)
        await scenario.cell.stop()
        assert scenario.checker.starts > 0
        return scenario.rules

    # The clock of the next incarnation is always behind.
    with (
        mock.patch.object(exploreworkers, "CLOCK_BEHIND_SHARE", 1.0),
        mock.patch.object(exploreworkers, "FAILED_SHARE", 0.0),
        mock.patch.object(explorehostile, "SLOW_SHARE", 0.0),
        mock.patch.object(explorehostile, "LATE_CALL_S", (9.0, 9.0)),
    ):
        return run_repeatably(1, run)


@pytest.mark.parametrize("max_lease_s", [6.0, 10.0])
class TestUnseenRestart:
    """Pattern: a worker restarts, and is cut off before the owner has seen it."""

    @pytest.mark.parametrize("tickets", [False, True])
    @pytest.mark.parametrize("only_answers", [False, True])
    def test_lease_by_the_former_clock(self, max_lease_s, only_answers, tickets):
        """Guards against a task that starts elsewhere while its first run goes on.

        The next incarnation accepts the order in time and answers it. The deadline is
        one by the former clock, so that it gets the longest lease.
        """

        async def run(scenario):
            for worker in scenario.cell.worker_by_vm.values():
                scenario.inject(
                    faults.WorkerCut,
                    worker,
                    requests=False,
                    answers=False,
                    registry=True,
                )
                await scenario.restart(worker)
            await scenario.submit()
            worker, ordered_at = await scenario.wait_for_order()
            await scenario.wait_until(ordered_at + 0.05)
            scenario.cell.faults.faults.clear()
            scenario.inject(
                faults.WorkerCut, worker, requests=not only_answers, registry=True
            )

        assert play(run, max_lease_s, tickets) == []

    def test_late_order_after_the_leases(self, max_lease_s):
        """Guards against an order in doubt that the next incarnation executes.

        The worker restarts behind the cut when all leases have ended.
        """

        async def run(scenario):
            for worker in scenario.cell.worker_by_vm.values():
                scenario.inject(faults.CallsLate, worker, share=1.0, kinds=("start",))
            await scenario.submit()
            worker, ordered_at = await scenario.wait_for_order()
            scenario.cell.faults.faults.clear()
            await scenario.wait_until(ordered_at + 0.5)
            scenario.inject(faults.WorkerCut, worker, registry=True)
            await scenario.wait_until(ordered_at + 8.0)
            await scenario.restart(worker)

        assert play(run, max_lease_s) == []

    def test_late_copy_of_an_ended_run(self, max_lease_s):
        """Guards against a copy that starts again and extends the leases.

        The next incarnation executes the repeated order, is seen, and stops the run.
        The one after it executes the first order behind the cut.
        """

        async def run(scenario):
            for worker in scenario.cell.worker_by_vm.values():
                scenario.inject(faults.CallsLate, worker, share=1.0, kinds=("start",))
            await scenario.submit()
            worker, ordered_at = await scenario.wait_for_order()
            scenario.cell.faults.faults.clear()
            await scenario.restart(worker)
            await scenario.wait_until(ordered_at + 8.5)
            scenario.inject(faults.WorkerCut, worker, registry=True)
            await scenario.restart(worker)

        assert play(run, max_lease_s) == []

    def test_late_order_after_a_report(self, max_lease_s):
        """Guards against an order that a report of the incarnation before excluded.

        The task has moved when the next incarnation executes the order.
        """

        async def run(scenario):
            for worker in scenario.cell.worker_by_vm.values():
                scenario.inject(faults.CallsLate, worker, share=1.0, kinds=("start",))
            await scenario.submit()
            worker, ordered_at = await scenario.wait_for_order()
            await scenario.wait_until(ordered_at + 1.0)
            scenario.cell.faults.faults.clear()
            scenario.inject(faults.WorkerCut, worker, registry=True)
            await scenario.restart(worker)
            await scenario.wait_until(ordered_at + 4.0)
            scenario.cell.faults.faults.clear()
            await scenario.wait_for_run_elsewhere(worker)
            await scenario.wait_until(ordered_at + 8.9)
            await scenario.restart(worker, down_s=0.05)

        assert play(run, max_lease_s) == []


@pytest.mark.parametrize("tickets", [False, True])
class TestRestartBehindALongPoll:
    """Pattern: idle workers are down for 0.6 s, and are cut off 2 s after their start.

    The owner's renewal waits for an answer until the cut. Nothing is late.
    """

    @pytest.mark.parametrize("registered", [False, True])
    def test_task_does_not_run_twice(self, tickets, registered):
        """Guards against a task that moves while its first run goes on behind the cut.

        The run holds a lease by the clock of the former incarnation, also if the owner
        has read of the next one in the registry, and not heard it.
        """

        async def run(scenario):
            first, second = scenario.cell.worker_by_vm.values()
            scenario.inject(faults.WorkerCut, second)
            no_entry = {"requests": False, "answers": False, "registry": True}
            scenario.inject(faults.WorkerCut, first, **no_entry)
            await scenario.wait_for_poll(first)
            await scenario.restart(first, down_s=0.6)
            cut_at = time.monotonic() + 2.0
            await scenario.submit()
            worker, _ = await scenario.wait_for_order()
            assert worker is first
            if registered:
                scenario.cell.faults.faults.clear()
            await scenario.wait_until(cut_at)
            scenario.cell.faults.faults.clear()
            scenario.inject(faults.WorkerCut, first, registry=not registered)

        with mock.patch.object(explorehostile, "REGISTER_S", 0.0):
            assert play(run, 6.0, tickets) == []
