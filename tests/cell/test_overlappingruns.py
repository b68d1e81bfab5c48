"""Tests with real entry VMs in which a task must not run on two workers at once.

In each of them no start order is carried out late. Where the first run ends, it ends as
done before its worker is reached again, so nobody sends a stop for it.
"""

import time

import curio
import pytest

from arbutusladder.cell.states import EndKind
from tests.cell import explorefaults as faults
from tests.cell import workloads
from tests.cell.explorecell import ExploreCell
from tests.cell.exploreplan import Plan
from tests.cell.explorerules import RuleChecker
from tests.cell.inprocess import REGISTRY_TOPIC
from tests.cell.pausable import FOREVER_S
from tests.cell.repeatable import run_repeatably
from tests.cell.test_freshness import submit

FIRST, SECOND = "w-000", "w-001"
STEP_S = 0.001


class ScriptedCell:
    """A cell with two workers, of which only the first is registered at the start.

    Attributes:
        cell: The cell.
        record: Submission of a job with one task.
        checker: Checks the starts.
        renewal_delay_s: Seconds after which the first worker carries out the renewal
            that is sent while it is down, without an answer; 0 for in time.
    """

    def __init__(self):
        self.record = workloads.quote(1, count=1)
        self.checker = RuleChecker({1: self.record})
        self.checker.record_submission(self.record.job_id)
        plan = Plan(1, 0.0, "abc", (FIRST, SECOND), {}, [], [])
        self.cell = ExploreCell(plan, self.checker)
        self.renewal_delay_s = 0.0
        self.task = f"{self.record.job_id}.0.0.0"

    async def start(self):
        """Starts the cell and removes the second worker from the registry."""
        await self.cell.start()
        await self.set_entry(SECOND, b"")
        await curio.sleep(1.0)

    async def set_entry(self, vm, value):
        """Writes the entry of a worker; an empty value deletes it."""
        await self.cell.log.append(REGISTRY_TOPIC, [(vm, value)])

    @property
    def owner_vm(self):
        """Entry VM that owns the cell."""
        return self.cell.owner_vm

    @property
    def owner(self):
        """The owner of the cell; None between two."""
        owners = [m.claims.owner for m in self.cell.member_by_vm.values()]
        return next((owner for owner in owners if owner), None)

    async def submit(self):
        """Submits the job at the owner."""
        await submit(self.cell.member_by_vm[self.owner_vm], self.record)

    @property
    def first(self):
        """The first worker."""
        return self.cell.worker_by_vm[FIRST]

    async def wait_until(self, condition, bound_s=20.0):
        """Waits until a condition holds."""
        due_at = time.monotonic() + bound_s
        while not condition():
            assert time.monotonic() < due_at
            await curio.sleep(STEP_S)

    def lists_run(self):
        """Returns whether the first worker has reported the run to the owner."""
        worker = self.owner and self.owner.state.worker_by_vm.get(FIRST)
        runs = worker.run_by_key.values() if worker else ()
        return any(run.listed for run in runs)

    def end_run_after(self, seconds):
        """Lets the run on the first worker end as done after some seconds."""
        run = self.first.running[self.task, 1]
        run.ends_at, run.how = time.monotonic() + seconds, EndKind.DONE

    async def cut_first(self, seconds):
        """Cuts the first worker off for some seconds; registers the second one."""
        cut = faults.WorkerSilent(0.0, seconds, FIRST)
        self.cell.faults.faults.append(cut)
        await self.set_entry(SECOND, b"1")
        await curio.sleep(seconds)
        self.cell.faults.faults.remove(cut)
        await curio.sleep(3.0)
        await self.cell.stop()

    @property
    def breaches(self):
        """Rules that were broken."""
        return self.checker.broken

    async def crash_after_an_answer(self, seconds):
        """Restarts the first worker between two renewals; its clock starts anew."""
        first, renew, answered = self.first, self.first.renew, curio.Event()

        async def renew_late(*args):
            first.renew = renew
            await curio.sleep(self.renewal_delay_s)
            await renew(*args)
            await curio.sleep(FOREVER_S)

        async def note_answer(*args):
            report = await renew(*args)
            first.renew = renew_late if self.renewal_delay_s else renew
            await answered.set()
            return report

        first.renew = note_answer
        await answered.wait()
        await curio.sleep(0.0)
        first.crash()
        await curio.sleep(seconds)
        first.restart()
        first._clock_offset_s -= 200.0
        self.cell.workers.entry_by_vm[FIRST] = first.entry


def play(function, *args):
    """Plays a script on a cell of its own; returns the cell."""
    cell = ScriptedCell()
    run_repeatably(1, function, cell, *args)
    return cell


class TestOwnerThatStartsAgainUnderItsName:
    """Pattern: the owner is killed and claims again while an entry has lapsed."""

    async def play(self, cell):
        """Cuts the worker off as soon as it has reported to the new process."""
        await cell.start()
        await cell.submit()
        await cell.wait_until(lambda: cell.first.running)
        cell.end_run_after(60.0)
        await cell.wait_until(cell.lists_run)
        vm = cell.owner_vm
        await cell.set_entry(FIRST, b"")
        await curio.sleep(1.0)
        cell.end_run_after(3.0)
        cell.cell.kill(vm)
        await cell.cell.restart(vm)
        await cell.wait_until(lambda: cell.owner and cell.owner.taken_over)
        assert cell.owner_vm == vm
        await curio.sleep(0.5)
        await cell.set_entry(FIRST, b"1")
        await cell.wait_until(cell.lists_run)
        await cell.cut_first(2.5)

    def test_task_does_not_run_twice(self):
        """Guards against ends of runs that ignore the leases of the predecessor."""
        assert play(self.play).breaches == []


class TestRestartBehindALongPoll:
    """Pattern: a worker restarts between two renewals and is cut off soon after.

    Renewal and start order that were sent while it was down reach the next incarnation,
    whose clock is behind that of the former one.
    """

    async def play(self, cell, is_reported, run_s):
        """Cuts the worker off after or before its first report."""
        await cell.start()
        restart = await curio.spawn(cell.crash_after_an_answer, 0.2)
        await cell.wait_until(lambda: cell.first.down)
        await cell.submit()
        await restart.join()
        await cell.wait_until(lambda: cell.first.running)
        cell.end_run_after(run_s)
        if is_reported:
            await cell.wait_until(cell.lists_run)
        await cell.cut_first(9.0)

    @pytest.mark.parametrize("is_reported", [True, False])
    def test_task_does_not_run_twice(self, is_reported):
        """Guards against leases that count by the clock of the former incarnation."""
        assert play(self.play, is_reported, 5.7).breaches == []

    def test_renewal_is_carried_out_late(self):
        """Guards against a late renewal that extends the lease behind the cut.

        It is the one that was sent while the worker was down.
        """

        async def script(cell):
            cell.renewal_delay_s = 5.0
            await self.play(cell, False, 8.0)

        assert play(script).breaches == []


class TestOwnerThatKnowsNoOtherEntryVm:
    """Pattern: an entry VM starts again under its name, claims and is cut off.

    It still reaches a worker, which nobody else reaches, but neither the log nor the
    other entry VMs, of which it has heard none yet.
    """

    async def play(self, cell):
        """Cuts the new process off as soon as it has taken over."""
        await cell.start()
        await cell.submit()
        await cell.wait_until(lambda: cell.first.running)
        cell.end_run_after(30.0)
        await cell.wait_until(cell.lists_run)
        vm = cell.owner_vm
        cell.cell.kill(vm)
        await cell.cell.restart(vm)
        await cell.wait_until(cell.lists_run)
        assert cell.owner_vm == vm
        cell.cell.faults.faults += [
            faults.LogCut(0.0, 60.0, vm),
            faults.MessagesLost(0.0, 60.0, vm, faults.ANY, 1.0),
            faults.MessagesLost(0.0, 60.0, faults.ANY, vm, 1.0),
            faults.WorkerOfOneVm(0.0, 60.0, FIRST, vm),
        ]
        await cell.set_entry(SECOND, b"1")
        await curio.sleep(25.0)
        await cell.cell.stop()

    def test_task_does_not_run_twice(self):
        """Guards against an owner that takes itself for the whole cell."""
        assert play(self.play).breaches == []
