"""Tests of the workers that have not reported since a takeover."""

import pytest

from arbutusladder.cell.advicecalls import AdviceCapacity
from arbutusladder.cell.cellstate import CellState
from arbutusladder.cell.claimlists import silent_workers
from arbutusladder.cell.interfaces import EndedTask, StartOrder, WorkerReport
from arbutusladder.cell.placement import Placer
from arbutusladder.cell.reports import MAX_REPORTED_ENDS
from arbutusladder.cell.states import EndKind, JobPhase
from arbutusladder.cell.unreported import UnreportedWorkers
from arbutusladder.messages import JobProgress
from tests.cell import workloads

NOW = 100.0
LEASE_S = 8.3
CALLERS = AdviceCapacity(8, 6)


def state_after_takeover(*jobs):
    """Returns a state with four workers that have reported, and inherited jobs."""
    state = CellState(0.0, lambda task: None)
    entry_by_vm = {entry.vm: entry for entry in workloads.workers(4)}
    state.update_registry(entry_by_vm, NOW)
    for vm in entry_by_vm:
        state.apply_report(vm, WorkerReport(1, 5.0), NOW, NOW)
    for job in jobs:
        state.add_job(job, JobProgress(JobPhase.QUEUED), NOW, inherited=True)
    return state


def started_jobs(state, now):
    """Returns the jobs of the tasks that a round of decisions starts."""
    orders = Placer(state).decide(now, CALLERS)
    starts = [order for order in orders if isinstance(order, StartOrder)]
    return {order.task.split(".")[0] for order in starts}


class TestDeadWorkerAtTakeover:
    """Pattern: a worker crashes before the owner; the successor never reaches it."""

    def test_only_jobs_on_the_dead_worker_wait(self):
        """Guards against all jobs waiting for the leases of one dead worker."""
        on_dead, other = workloads.quote(1), workloads.quote(2)
        state = state_after_takeover(on_dead, other)
        state.unreported.add("dead", NOW + 5.0, [on_dead.job_id])
        assert started_jobs(state, NOW) == {other.job_id}
        state.expire_leases(NOW + 5.1)
        assert started_jobs(state, NOW + 5.1) == {on_dead.job_id}

    def test_all_jobs_wait_for_a_worker_of_which_nothing_is_known(self):
        """Guards against a second run of a task on a worker that is only silent."""
        state = state_after_takeover(workloads.quote(1))
        state.unreported.add("unknown", NOW + 5.0)
        assert started_jobs(state, NOW) == set()

    def test_lease_of_a_replaced_worker_does_not_start_anew_at_each_takeover(self):
        """Guards against jobs that wait ever longer while owners are replaced."""
        unreported = UnreportedWorkers()
        unreported.add("gone", NOW + 5.0, ["j"])
        (row,) = unreported.describe(NOW + 3.0)
        assert (row.vm, row.job_ids, row.any_job) == ("gone", ["j"], False)
        assert row.lease_s == pytest.approx(2.0)


class TestListedWorker:
    """Pattern: a silent worker answers again shortly before its owner is killed."""

    def make_state(self):
        """Returns a state whose first worker is listed as silent, but has answered."""
        state = state_after_takeover()
        silent = state.worker_by_vm[workloads.workers()[0].vm]
        silent.record_missed_renewal(NOW)
        rows = silent_workers(state, NOW, LEASE_S)
        state.list_silent_workers(rows, stored=False)
        silent.record_answer(6.0, NOW + 1.0)
        return state, silent.entry.vm, rows

    def test_nothing_starts_on_it_before_the_list_is_replaced(self):
        """Guards against a successor that restarts a job the list does not name."""
        state, vm, rows = self.make_state()
        assert [(row.vm, row.job_ids) for row in rows] == [(vm, [])]
        for number in range(12):
            state.add_job(
                workloads.audit(number), JobProgress(JobPhase.QUEUED), NOW + 1.0
            )
        orders = Placer(state).decide(NOW + 1.0, CALLERS)
        assert orders and vm not in {order.vm for order in orders}
        state.list_silent_workers([], stored=True)
        orders = Placer(state).decide(NOW + 1.1, CALLERS)
        assert vm in {order.vm for order in orders}

    def test_unstored_list_does_not_release_workers(self):
        """Guards against relying on a renewal that may not be stored."""
        state, vm, _ = self.make_state()
        state.list_silent_workers([], stored=False)
        assert vm in state.listed_silent_vms


class TestPagesOfEnds:
    """Pattern: a worker ended hundreds of tasks while the cell had no owner."""

    VM = workloads.workers(1)[0].vm
    JOB = workloads.quote(7, count=MAX_REPORTED_ENDS + 1, cpu=0.05)

    def make_state(self):
        """Returns a state that waits for the first report of the worker."""
        state = state_after_takeover(self.JOB)
        state.unreported.add(self.VM, NOW + LEASE_S)
        return state

    def report(self, state, numbers, at):
        """Applies a page of ends as done."""
        task = f"{self.JOB.job_id}.0.0."
        ended = [
            EndedTask(number, f"{task}{number - 1}", 1, EndKind.DONE, "")
            for number in numbers
        ]
        state.apply_report(self.VM, WorkerReport(1, at, [], ended), at, at)

    def test_task_with_an_end_on_a_later_page_is_not_started(self):
        """Guards against a second run of a task that ended before the takeover."""
        state = self.make_state()
        self.report(state, range(1, MAX_REPORTED_ENDS + 1), NOW + 0.1)
        assert started_jobs(state, NOW + 0.2) == set()
        self.report(state, [MAX_REPORTED_ENDS + 1], NOW + 0.3)
        assert started_jobs(state, NOW + 0.4) == set()
        assert state.job_by_id[self.JOB.job_id].phase is JobPhase.COMPLETED

    def test_lease_that_this_owner_grants_prolongs_the_wait(self):
        """Guards against a wait for the leases of the predecessor alone."""
        state = self.make_state()
        self.report(state, range(1, MAX_REPORTED_ENDS + 1), NOW + LEASE_S - 1.0)
        worker = state.worker_by_vm[self.VM]
        worker.grant_lease(NOW + LEASE_S - 0.9, 5.0)
        worker.record_missed_renewal(NOW + LEASE_S - 0.9)
        state.expire_leases(NOW + LEASE_S + 0.1)
        assert started_jobs(state, NOW + LEASE_S + 0.1) == set()
        state.expire_leases(NOW + LEASE_S + 5.1)
        assert started_jobs(state, NOW + LEASE_S + 5.1) == {self.JOB.job_id}


class TestUnstoredEnd:
    """Pattern: a worker falls silent before the end of its run is stored."""

    def test_claim_lists_its_job_until_the_end_is_acknowledged(self):
        """Guards against a successor that starts the task again and reads its end."""
        state = state_after_takeover()
        job = workloads.quote(1)
        state.add_job(job, JobProgress(JobPhase.QUEUED), NOW)
        (vm,) = {
            order.vm
            for order in Placer(state).decide(NOW, CALLERS)
            if isinstance(order, StartOrder)
        }
        ended = [
            EndedTask(index + 1, f"{job.job_id}.0.0.{index}", 1, EndKind.DONE, "")
            for index in range(2)
        ]
        state.apply_report(vm, WorkerReport(1, 6.0, [], ended), NOW + 1.0, NOW + 1.0)
        worker = state.worker_by_vm[vm]
        worker.record_missed_renewal(NOW + 1.1)
        (row,) = silent_workers(state, NOW + 1.2, LEASE_S)
        assert row.job_ids == [job.job_id]
        worker.acknowledge_ends(2)
        (row,) = silent_workers(state, NOW + 1.3, LEASE_S)
        assert row.job_ids == []
