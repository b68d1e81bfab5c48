"""Tests of the renewal of leases, and of the reports in the answers."""

from types import SimpleNamespace

import curio
import pytest

from arbutusladder.cell.cellstate import CellState
from arbutusladder.cell.interfaces import EndedTask, WorkerReport
from arbutusladder.cell.leaserenewer import LeaseRenewer
from arbutusladder.cell.states import EndKind
from arbutusladder.clock import Clock
from arbutusladder.errors import LogUnavailable
from arbutusladder.journal import Journal
from arbutusladder.metrics import Metrics
from tests.cell import workloads
from tests.cell.test_restartedworker import NOW, OLD
from tests.cell.test_unsettledruns import excluded_cell, is_waiting
from tests.virtualtime import run_in_virtual_time

LEASE_S = 5.0
OUTAGE_S = 10.0
ENTRY = workloads.workers(1)[0]


class TestReportOfAnUnknownJob:
    """Pattern: a worker reports an end of a job that the owner cannot read yet."""

    async def _renew(self, worker, token, acknowledged, until, wait):
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
        state = CellState(0.0, lambda task: None)
        state.update_registry({ENTRY.vm: ENTRY}, self.clock.now())
        report = WorkerReport(1, self.clock.now())
        state.apply_report(ENTRY.vm, report, self.clock.now(), self.clock.now())
        owner = SimpleNamespace(
            ended=False, epoch=1, lease_s=LEASE_S, may_give_orders=lambda: True
        )
        table = SimpleNamespace(has_jobs_of_tasks=lambda tasks: False)
        member = SimpleNamespace(table=table, read_jobs=self._read_jobs)
        dependencies = SimpleNamespace(
            clock=self.clock,
            metrics=Metrics(),
            journal=Journal("a"),
            orders=SimpleNamespace(renew=self._renew),
        )
        renewer = LeaseRenewer(owner, state, member, dependencies)
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


class TestReportThatSettlesAnOrder:
    """Pattern: an order got no answer, and its worker is idle and holds renewals.

    Only a report that is requested 12 s after the order shows that no incarnation runs
    the task, which until then starts nowhere.
    """

    # Seconds after the last fault until which a job must have ended, a bound of the
    # sites, and the work of their most frequent jobs.
    FINISH_S, WORK_S = 14.0, 0.8

    async def _renew(self, worker, token, acknowledged, until, wait):
        await curio.sleep(wait + 0.01)
        return WorkerReport(OLD, self.now() - NOW)

    def now(self):
        """Returns the time of the owner's clock in seconds."""
        return self.first_renewal_at + self.clock.now() - self.began_at

    async def play(self):
        """Returns when the task may start again, in seconds after its order."""
        self.clock = Clock()
        self.began_at = self.clock.now()
        cell = excluded_cell()

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
            clock=SimpleNamespace(now=self.now),
            metrics=Metrics(),
            journal=Journal("a"),
            orders=SimpleNamespace(renew=self._renew),
        )
        member = SimpleNamespace(table=table)
        renewer = LeaseRenewer(owner, cell.state, member, dependencies)
        await renewer.start_renewals()
        while not is_waiting(cell, self.now()):
            await curio.sleep(0.05)
        await renewer.close()
        return self.now() - NOW

    @pytest.mark.parametrize("offset_s", [0.0, 0.5, 1.0, 1.5])
    def test_task_starts_again_within_the_bound(self, offset_s):
        """Guards against a report that is held while a task waits for it."""
        self.first_renewal_at = NOW + 1.3 + offset_s
        assert run_in_virtual_time(self.play) <= self.FINISH_S - self.WORK_S
