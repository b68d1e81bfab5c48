"""Tests of the renewal of leases while the log does not answer, and after pauses."""

import time
from types import SimpleNamespace

import curio

from arbutusladder.cell.cellstate import CellState
from arbutusladder.cell.interfaces import EndedTask, OrderAnswer, WorkerReport
from arbutusladder.cell.leaserenewer import LeaseRenewer
from arbutusladder.cell.states import EndKind, OrderOutcome
from arbutusladder.clock import Clock
from arbutusladder.errors import LogUnavailable
from arbutusladder.journal import Journal
from arbutusladder.metrics import Metrics
from tests.cell import workloads
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
