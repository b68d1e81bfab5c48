"""Tests of workers that are forgotten, and return while former calls may arrive."""

import dataclasses
import random
import time
from types import SimpleNamespace
from unittest import mock

import curio
import pytest

from arbutusladder.cell.interfaces import OrderAnswer
from arbutusladder.cell.leaserenewer import LeaseRenewer
from arbutusladder.cell.states import OrderOutcome
from arbutusladder.journal import Journal
from tests.cell import explorefaults as faults
from tests.cell import explorehostile, exploreworkers, test_unseenrestart
from tests.cell.inprocess import REGISTRY_TOPIC
from tests.cell.test_restartedworker import (
    ACCEPTED,
    ENTRY,
    NEW,
    NOW,
    OLD,
    RestartingWorker,
)
from tests.cell.test_runstakenforended import LONGEST_S
from tests.virtualtime import run_in_virtual_time

# Seconds after which a late call is executed: of the owner, and of one that is killed,
# once its successor has forgotten the worker.
LATE_S, PREDECESSOR_LATE_S = 9.0, 11.4
# Seconds after which calls that were sent before the start have been executed.
AGE_S = 30.0
PLAY_S = 60.0
# How far the clock of the next incarnation is behind.
CLOCK_STEP_S = 50.0
# How far the wall clock of a worker is set back, and the time until the registry shows
# its present entry again.
WALL_CLOCK_STEP_MS, ENTRY_LATE_S = 3000, 1.5
# Random plays of one worker, and steps of each.
PLAYS, STEPS = 300, 30


class TestForgottenWorker:
    """Pattern: a worker is down until it is forgotten, and returns under its id.

    The last renewal for the former incarnation is executed by the next one, before this
    has answered a call, and extends its leases to the longest one.
    """

    async def play_late_renewal(self, scenario, late_s, is_killed):
        """Cuts the worker off again as soon as it has accepted the order."""
        cell = scenario.cell
        first, second = cell.worker_by_vm.values()
        await curio.sleep(AGE_S)
        scenario.inject(faults.WorkerCut, second)
        scenario.inject(faults.CallsLate, first, share=1.0, kinds=("renew",))
        await scenario.wait_for_poll(first)
        sent_at = time.monotonic()
        cell.faults.faults.pop()
        scenario.inject(faults.WorkerCut, first, registry=True)
        first.crash()
        if is_killed:
            cell.kill(cell.owner_vm)
        await scenario.wait_until(sent_at + late_s - 0.5)
        await cell.restart_worker(first.name)
        while first._lease_end is None:
            await curio.sleep(0.005)
        cell.faults.faults.pop()
        await scenario.submit()
        worker, ordered_at = await scenario.wait_for_order()
        assert worker is first
        await scenario.wait_until(ordered_at + 0.2)
        cell.faults.faults.clear()
        scenario.inject(faults.WorkerCut, first, registry=True)

    def broken_rules(self, max_lease_s, tickets, late_s, is_killed=False):
        """Plays it with a renewal that is executed after a time."""

        async def script(scenario):
            late = (late_s, late_s)
            with mock.patch.object(explorehostile, "LATE_CALL_S", late):
                await self.play_late_renewal(scenario, late_s, is_killed)

        step = (CLOCK_STEP_S, CLOCK_STEP_S)
        with (
            mock.patch.object(explorehostile, "REGISTER_S", 0.0),
            mock.patch.object(exploreworkers, "CLOCK_STEP_S", step),
            mock.patch.object(test_unseenrestart, "PLAY_S", PLAY_S),
        ):
            return test_unseenrestart.play(script, max_lease_s, tickets)

    @pytest.mark.parametrize("tickets", [False, True])
    @pytest.mark.parametrize("max_lease_s", [6.0, 10.0])
    def test_late_renewal_of_the_owner(self, max_lease_s, tickets):
        """Guards against leases that are counted as if no call had been under way."""
        assert self.broken_rules(max_lease_s, tickets, LATE_S) == []

    @pytest.mark.parametrize("tickets", [False, True])
    @pytest.mark.parametrize("max_lease_s", [6.0, 10.0])
    def test_late_renewal_of_a_predecessor(self, max_lease_s, tickets):
        """Guards against leases that a successor does not expect any more."""
        late_s = PREDECESSOR_LATE_S
        assert self.broken_rules(max_lease_s, tickets, late_s, True) == []


class TestEntryOfAFormerIncarnation:
    """Pattern: the wall clock of a worker was set back before its restart.

    Its former incarnation, which the owner has not known or has forgotten, has the
    later start time. Its entry is written late.
    """

    def test_present_incarnation_is_heard_again(self):
        """Guards against reports that are dropped for good."""
        cell = RestartingWorker()
        cell.register(NEW, NOW + 1.0)
        cell.report(OLD, NOW + 1.5)
        cell.register(OLD, NOW + 2.0)
        cell.report(OLD, NOW + 2.5)
        assert cell.worker.born == OLD
        assert cell.state.accepts_tasks(cell.worker, NOW + 2.6)

    def test_former_entry_does_not_count_again(self):
        """Guards against a worker that restarts with each read of the registry."""
        cell = RestartingWorker()
        cell.register(NEW, NOW + 1.0)
        cell.report(OLD, NOW + 1.5)
        cell.register(NEW, NOW + 2.0)
        assert cell.worker.born == OLD

    def test_owner_starts_tasks_on_the_worker_again(self):
        """Guards against the same with real entry VMs and renewals."""

        async def script(scenario):
            cell = scenario.cell
            first, second = cell.worker_by_vm.values()
            scenario.inject(faults.WorkerCut, second)
            await scenario.wait_for_poll(first)
            born = first.born + WALL_CLOCK_STEP_MS
            former = dataclasses.replace(first.entry, born=born)
            cell._entry_by_record[first.name, str(born)] = former
            record = first.name, str(born).encode()
            await cell.log.append(REGISTRY_TOPIC, [record])
            await curio.sleep(ENTRY_LATE_S)
            await cell.log.append(REGISTRY_TOPIC, [cell._record(first)])
            await scenario.submit()
            worker, _ = await scenario.wait_for_order()
            assert worker is first

        assert test_unseenrestart.play(script, 6.0) == []

    def test_longest_lease_of_the_present_incarnation_counts(self):
        """Guards against a run that is taken for ended by leases on a former clock.

        The report answers a call for the clock of an incarnation before, so the worker
        may hold the longest lease. It is cut off when the entry is read.
        """
        cell = RestartingWorker()
        cell.worker.grant_lease(NOW, 5.0)
        number = cell.worker.token_number
        cell.report(NEW - 3, NOW + 0.5, running=[1], number=number)
        cell.register(NEW, NOW + 0.6)
        cell.worker.record_missed_renewal(NOW + 0.7)
        cell.state.expire_leases(NOW + 0.5 + LONGEST_S - 0.1)
        assert not cell.task.is_waiting


class TestFormerAddress:
    """Pattern: the former incarnation had an address that another worker has now.

    Its entry is read late, so that the owner calls that worker, which answers 421.
    """

    FORMER_ADDRESS = "10.0.9.9:80"

    def make_cell(self):
        """Returns a cell whose worker runs a task at its present address."""
        cell = RestartingWorker()
        cell.answer(ACCEPTED, NOW + 0.1)
        cell.worker.grant_lease(NOW + 0.1, 5.0)
        cell.report(OLD, NOW + 0.3, running=[1])
        cell.register(NEW, NOW + 1.0, address=self.FORMER_ADDRESS)
        return cell

    def refuse_renewal(self, cell, now):
        """Applies the answer of the other worker to a renewal."""
        clock = SimpleNamespace(now=lambda: now)
        dependencies = SimpleNamespace(clock=clock, journal=Journal("a"))
        renewer = LeaseRenewer(None, cell.state, None, dependencies)
        answer = OrderAnswer(OrderOutcome.WORKER_REPLACED)
        number = cell.worker.token_number
        answer = cell.state.resolve_refusal(cell.worker.entry, answer, number)
        run_in_virtual_time(renewer._handle_answer, ENTRY.vm, answer, now)

    def test_runs_end_with_the_leases(self):
        """Guards against runs that count as ended while they go on elsewhere."""
        cell = self.make_cell()
        self.refuse_renewal(cell, NOW + 1.1)
        cell.state.expire_leases(NOW + 4.0)
        assert [run.number for run in cell.task.runs] == [1]
        cell.state.expire_leases(NOW + 6.0)
        assert cell.task.is_waiting

    def test_worker_is_heard_at_its_present_address_again(self):
        """Guards against an entry that is ignored for good."""
        cell = self.make_cell()
        self.refuse_renewal(cell, NOW + 1.1)
        later = NOW + 30.0
        cell.state.expire_leases(later)
        for seconds in (0.0, 0.5):
            cell.register(OLD, later + seconds)
        cell.report(OLD, later + 0.6)
        assert cell.state.accepts_tasks(cell.worker, later + 0.7)


class TestOrderOfEntriesAndReports:
    """Pattern: incarnations whose start times are in any order, and late entries."""

    def play(self, draw):
        """Plays one worker; returns its state and the present incarnation."""
        cell = RestartingWorker()
        borns = [OLD, *draw.sample(range(NEW, NEW + 50), 5)]
        present, now = 0, NOW
        for _ in range(STEPS):
            now += 0.1
            match draw.choice(["restart", "entry", "report", "report"]):
                case "restart":
                    present = min(present + 1, len(borns) - 1)
                case "entry":
                    cell.register(draw.choice(borns[: present + 1]), now)
                case "report":
                    sent_at, answers = now, present
                    if draw.random() < 0.3:
                        present = min(present + 1, len(borns) - 1)
                    if draw.random() < 0.3:
                        cell.register(borns[present], now + 0.02)
                    cell.report(borns[answers], now + 0.05, sent_at=sent_at)
        for seconds in (0.1, 0.2):
            cell.report(borns[present], now + seconds)
        cell.register(borns[present], now + 0.3)
        return cell, borns[present], now + 0.4

    def test_incarnation_that_answers_gets_tasks(self):
        """Guards against reports that are dropped for good, in any order of entries."""
        for seed in range(PLAYS):
            cell, born, now = self.play(random.Random(seed))
            assert cell.worker.born == born, f"seed {seed}"
            assert cell.state.accepts_tasks(cell.worker, now), f"seed {seed}"
