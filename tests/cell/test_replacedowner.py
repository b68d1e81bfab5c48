"""Tests of an owner and its successor that both reach an entry VM and a worker."""

import curio

from arbutusladder.cell.fencing import token_epoch
from arbutusladder.cell.interfaces import OrderAnswer
from arbutusladder.cell.states import OrderOutcome
from arbutusladder.cell.workers import latest_order_end_s
from arbutusladder.clock import Clock
from tests.cell import workloads
from tests.cell.inprocess import MAX_LEASE_S, InProcessCell
from tests.cell.test_freshness import submit
from tests.virtualtime import run_in_virtual_time

# Seconds for which the two owners act: longer than a successor waits for a worker.
PLAY_S = 30.0


def cut_workers(workers, old_epoch, used_vm):
    """Lets an old owner reach only the worker in use, and its successor the others.

    Returns a list, to which the times of the old owner's leases are added.
    """
    renew, start, leases = workers.renew, workers.start, []

    def is_cut(worker, token):
        return (token_epoch(token) == old_epoch) != (worker.vm == used_vm)

    async def cut_renew(worker, token, acknowledged, until, wait, send_by):
        if is_cut(worker, token):
            await curio.sleep(0.5)
            return OrderAnswer(OrderOutcome.NOT_SENT)
        if token_epoch(token) == old_epoch and until is not None:
            leases.append(Clock().now())
        return await renew(worker, token, acknowledged, until, wait, send_by)

    async def cut_start(worker, order, token, until, send_by):
        if is_cut(worker, token):
            return OrderAnswer(OrderOutcome.NOT_SENT)
        return await start(worker, order, token, until, send_by)

    workers.renew, workers.start = cut_renew, cut_start
    return leases


class TestTwoOwnersHeard:
    """Pattern: an entry VM that cannot read the log hears two owners in turn."""

    async def play(self):
        """Returns the starts of a task that takes longer than this, and both owners.

        The log answers only c, which claims. The link between a and c is cut, and what
        b sends to c is lost. Each of the two owners reaches one of the two workers.
        """
        cell = InProcessCell(task_s=60.0)
        await cell.start()
        first = cell.owner_vm
        helper, successor = cell.other_vms()
        owner = cell.member_by_vm[first].claims.owner
        record = workloads.quote(1, count=1, cpu=60.0)
        await submit(cell.member_by_vm[first], record)
        await curio.sleep(1.0)
        ((_, used_vm, _),) = cell.workers.starts
        for vm in (first, helper):
            cell.access_by_vm[vm].cut = True
        cell.bus.drops.append(
            lambda sender, seat, message: (
                {sender, seat} == {first, successor}
                or (sender, seat) == (helper, successor)
            )
        )
        leases = cut_workers(cell.workers, owner.epoch, used_vm)
        allowed_at, begun_at = [], Clock().now()
        while Clock().now() < begun_at + PLAY_S:
            await curio.sleep(0.1)
            if owner.may_start_tasks():
                allowed_at.append(Clock().now() - begun_at)
        running = [
            vm
            for vm, runs in cell.workers._running_by_vm.items()
            if any(task.startswith(record.job_id) for task, _ in runs)
        ]
        await cell.stop()
        return cell.workers.starts, running, max(allowed_at), leases

    def test_task_does_not_run_twice(self):
        """Guards against an owner that is confirmed after its successor was heard."""
        starts, running, allowed_s, leases = run_in_virtual_time(self.play)
        assert len(starts) == 2
        # Successors wait for late calls of a predecessor, which give the longest lease.
        assert leases[-1] + latest_order_end_s(MAX_LEASE_S) < starts[-1][0]
