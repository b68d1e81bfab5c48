"""Tests of the evidence by which tasks may start again, and of what the log says."""

import dataclasses
from unittest import mock

import pytest

from arbutusladder import events
from arbutusladder.cell.advicecalls import AdviceCapacity
from arbutusladder.cell.cellstate import CellState
from arbutusladder.cell.interfaces import (
    EndedTask,
    OrderAnswer,
    RunningTask,
    StartOrder,
    StopOrder,
    WorkerReport,
)
from arbutusladder.cell.placement import Placer
from arbutusladder.cell.runends import MAX_KEPT_ENDS, MAX_NAMED, EndProof
from arbutusladder.cell.stages import Task
from arbutusladder.cell.states import EndKind, JobPhase, OrderOutcome, RunPhase
from arbutusladder.cell.workers import MAX_ORDER_DELAY_S, latest_order_end_s
from arbutusladder.messages import JobProgress
from tests.cell import workloads
from tests.cell.test_lostruns import written
from tests.cell.test_restartedworker import (
    ACCEPTED,
    ENTRY,
    NEW,
    NOW,
    OLD,
    RestartingWorker,
)
from tests.cell.test_unsettledruns import NO_ANSWER, excluded_cell

REPLACED = OrderAnswer(OrderOutcome.WORKER_REPLACED)
SETTLED_AT = NOW + MAX_ORDER_DELAY_S


def restarts(cell):
    """Returns the fields of the events for tasks that may start again."""
    return written(cell, events.TASKS_MAY_START_AGAIN)


def report_end(cell, born, now, how=EndKind.FAILED):
    """Applies a report, requested 0.3 s before, that lists the end of the run."""
    ended = [EndedTask(1, cell.order.task, 1, how, "")]
    report = WorkerReport(born, now - NOW, [], ended, cell.worker.token_number)
    cell.state.apply_report(ENTRY.vm, report, now - 0.3, now)


def confirmed_cell():
    """Returns a cell whose worker has accepted and listed the run."""
    cell = RestartingWorker()
    cell.worker.grant_lease(NOW, 5.0)
    cell.answer(ACCEPTED, NOW + 0.1)
    cell.report(OLD, NOW + 0.2, running=[1])
    return cell


def stop(cell, answer, now):
    """Sends a stop and applies its answer 0.3 s later."""
    cell.task.runs[0].stop_sent_at = now - 0.3
    cell.state.apply_stop_answer(StopOrder(ENTRY.vm, cell.order.task, 1), answer, now)


def listed_end():
    cell = confirmed_cell()
    report_end(cell, OLD, NOW + 1.0)
    return cell


def omitted_after_start():
    cell = confirmed_cell()
    cell.report(OLD, NOW + 1.0, sent_at=NOW + 0.7)
    return cell


def omitted_after_stop():
    cell = confirmed_cell()
    stop(cell, ACCEPTED, NOW + 0.5)
    cell.report(OLD, NOW + 1.0, sent_at=NOW + 0.7)
    return cell


def excluded():
    cell = confirmed_cell()
    cell.restart("registry", NOW + 0.5)
    cell.report(NEW, NOW + 1.0, sent_at=NOW + 0.7)
    return cell


def excluded_with_ticket():
    cell = RestartingWorker()
    queue = dataclasses.replace(cell.stage.job.record.queue, advice_s=0.1)
    cell.stage.job.record.queue = queue
    cell.answer(NO_ANSWER, NOW + 0.2)
    cell.restart("registry", NOW + 0.5)
    cell.report(NEW, NOW + 1.0, sent_at=NOW + 0.7)
    return cell


def leases_ended():
    cell = confirmed_cell()
    cell.worker.record_missed_renewal(NOW + 0.7)
    cell.state.expire_leases(NOW + 20.7)
    return cell


def refused():
    cell = RestartingWorker()
    cell.answer(OrderAnswer(OrderOutcome.NO_ROOM), NOW + 0.3)
    return cell


def not_sent():
    cell = RestartingWorker()
    cell.task.runs[0].ordered_at = None
    cell.answer(OrderAnswer(OrderOutcome.NOT_SENT), NOW + 0.3)
    return cell


def replaced_by_start():
    cell = RestartingWorker()
    cell.answer(REPLACED, NOW + 0.3)
    return cell


def replaced_by_stop():
    cell = confirmed_cell()
    stop(cell, REPLACED, NOW + 1.0)
    return cell


def replaced_by_renewal():
    cell = confirmed_cell()
    cell.state.remove_replaced_worker(ENTRY.vm, NOW + 1.0, 0.3)
    return cell


def unsettled_replaced():
    cell = excluded_cell()
    cell.state.remove_replaced_worker(ENTRY.vm, NOW + 2.0, 0.3)
    return cell


def unsettled_listed_end():
    cell = excluded_cell()
    report_end(cell, NEW, NOW + 3.0)
    return cell


def unsettled_answered():
    cell = excluded_cell()
    cell.answer(OrderAnswer(OrderOutcome.SUPERSEDED), NOW + 1.3)
    return cell


def unsettled_expired():
    cell = excluded_cell()
    cell.report(OLD, SETTLED_AT + 0.4, sent_at=SETTLED_AT + 0.2)
    cell.state.expire_leases(SETTLED_AT + 0.5)
    return cell


def unsettled_silent():
    cell = excluded_cell()
    cell.worker.record_missed_renewal(NOW + 1.5)
    cell.state.expire_leases(NOW + 60.0)
    return cell


def unsettled_forgotten():
    cell = excluded_cell()
    cell.worker.record_missed_renewal(NOW + 1.5)
    cell.state.update_registry({}, NOW + 7.0)
    cell.state.worker_by_vm.clear()
    cell.state.expire_leases(NOW + latest_order_end_s(cell.state.max_lease_s) + 0.1)
    return cell


def lasting_unsettled():
    cell = RestartingWorker()
    cell.stage.spec = dataclasses.replace(cell.stage.spec, lasting=True)
    cell.answer(NO_ANSWER, NOW + 0.2)
    cell.worker.record_missed_renewal(NOW + 0.5)
    cell.report(OLD, NOW + 1.0, sent_at=NOW + 0.7)
    return cell


# Each path by which a run stops keeping its task from starting: what happens, the proof
# and its age in seconds, and whether an order is in doubt.
PATHS = [
    (listed_end, EndProof.LISTED_END, 0.3, False),
    (omitted_after_start, EndProof.OMITTED, 0.3, False),
    (omitted_after_stop, EndProof.OMITTED, 0.3, False),
    (excluded, EndProof.EXCLUDED, 0.3, False),
    (excluded_with_ticket, EndProof.EXCLUDED, 0.3, True),
    (leases_ended, EndProof.LEASES_ENDED, 20.0, False),
    (refused, EndProof.ORDER_REFUSED, 0.3, False),
    (not_sent, EndProof.ORDER_NOT_SENT, 0.0, False),
    (replaced_by_start, EndProof.WORKER_REPLACED, 0.3, False),
    (replaced_by_stop, EndProof.WORKER_REPLACED, 0.3, False),
    (replaced_by_renewal, EndProof.WORKER_REPLACED, 0.3, False),
    (unsettled_replaced, EndProof.WORKER_REPLACED, 0.3, True),
    (unsettled_listed_end, EndProof.LISTED_END, 0.3, False),
    (unsettled_answered, EndProof.ORDER_REFUSED, 1.3, False),
    (unsettled_expired, EndProof.ORDERS_EXPIRED, 0.3, True),
    (unsettled_silent, EndProof.LEASES_ENDED, 58.5, True),
    (unsettled_forgotten, EndProof.ORDERS_EXPIRED, None, True),
    (lasting_unsettled, EndProof.EXCLUDED, 0.3, True),
]


def name_of(value):
    """Returns the name of a parameter."""
    return getattr(value, "__name__", str(value))


class TestPaths:
    """Each path by which a task may start again leaves its evidence."""

    @pytest.mark.parametrize(("path", "proof", "age_s", "in_doubt"), PATHS, ids=name_of)
    def test_log_names_the_run_and_the_proof(self, path, proof, age_s, in_doubt):
        """Guards against a log that does not tell why a task could start again."""
        cell = path()
        assert cell.stage.waiting_tasks() == [0]
        (fields,) = restarts(cell)
        assert fields["proof"] == proof.value
        assert (fields["worker"], fields["runs"]) == (ENTRY.vm, 1)
        assert fields["named"].startswith(f"{cell.order.task}:1({OLD}")
        assert ("?" in fields["named"]) is in_doubt
        if age_s is not None:
            assert fields["age"] == pytest.approx(age_s)

    @pytest.mark.parametrize("path", [row[0] for row in PATHS], ids=name_of)
    def test_task_keeps_the_evidence(self, path):
        """Guards against a task that does not know why it may start."""
        cell = path()
        (end,) = cell.task.ends
        assert (end.vm, end.number) == (ENTRY.vm, 1)
        assert end.evidence.proof.value == restarts(cell)[0]["proof"]


class TestNoRestart:
    """No event tells of a task that may not start."""

    def test_finished_task(self):
        """Guards against an event for each run that takes its usual course."""
        cell = confirmed_cell()
        report_end(cell, OLD, NOW + 1.0, EndKind.DONE)
        assert cell.task.done and not cell.task.ends and not restarts(cell)

    def test_cancelled_job(self):
        """Guards against events for runs that were stopped with their job."""
        cell = confirmed_cell()
        cell.state.cancel(cell.stage.job.id)
        report_end(cell, OLD, NOW + 1.0, EndKind.STOPPED)
        assert not restarts(cell)

    def test_order_in_doubt(self):
        """Guards against an event before the order is settled."""
        cell = excluded_cell()
        assert not restarts(cell) and not cell.task.ends

    def test_run_that_goes_on_after_all(self):
        """Guards against evidence of an end that was withdrawn."""
        cell = lasting_unsettled()
        cell.report(NEW, NOW + 3.0, running=[1])
        assert [run.phase for run in cell.task.runs] == [RunPhase.RUNNING]
        assert not cell.task.ends


class TestBounds:
    """The volume of the log and the memory of a task are bounded."""

    def test_runs_of_one_worker_share_a_line(self):
        """Guards against a line for each of hundreds of runs on a lost worker."""
        state = CellState(0.0, lambda task: None)
        state.update_registry({ENTRY.vm: ENTRY}, NOW)
        state.apply_report(ENTRY.vm, WorkerReport(OLD, 5.0), NOW, NOW)
        count = MAX_NAMED + 2
        record = workloads.audit(1, count=count, cpu=1.0)
        job = state.add_job(record, JobProgress(JobPhase.QUEUED), NOW)
        (stage,) = job.stage_by_key.values()
        for index in range(count):
            state.create_run(stage, index, 1, ENTRY.vm, RunPhase.RUNNING, NOW)
        state.apply_report(ENTRY.vm, WorkerReport(OLD, 6.0), NOW + 0.9, NOW + 1.0)
        logged = [
            fields
            for event, fields in state.changes.pending_events
            if event is events.TASKS_MAY_START_AGAIN
        ]
        assert [fields["runs"] for fields in logged] == [count]
        assert len(logged[0]["named"].split()) == MAX_NAMED

    def test_finished_task_keeps_none(self):
        """Guards against memory for late ends of tasks that are done."""
        cell = confirmed_cell()
        cell.state.complete_task(cell.stage, 0)
        ended = [EndedTask(1, cell.order.task, 7, EndKind.FAILED, "")]
        report = WorkerReport(OLD, 6.0, [], ended, cell.worker.token_number)
        cell.state.apply_report(ENTRY.vm, report, NOW + 0.9, NOW + 1.0)
        assert not cell.task.ends and not cell.task.unproven

    def test_newest_ends_are_kept(self):
        """Guards against memory that grows with the restarts of a task that lasts."""
        cell = RestartingWorker()
        for number in range(2, 10):
            cell.answer(OrderAnswer(OrderOutcome.NO_ROOM), NOW + number)
            run = cell.state.create_run(
                cell.stage, 0, number, ENTRY.vm, RunPhase.SENT, NOW + number
            )
            cell.order = dataclasses.replace(cell.order, run=run.number)
        numbers = [end.number for end in cell.task.ends]
        assert numbers == list(range(9 - MAX_KEPT_ENDS, 9))


class TestInheritedJobs:
    """The log tells why inherited jobs do not wait for a worker any more."""

    VMS = tuple(entry.vm for entry in workloads.workers(2))

    def make_state(self, job_ids=None):
        """Returns a state that waits for two workers; both may run the one job."""
        state = CellState(0.0, lambda task: None)
        entries = workloads.workers(2)
        state.update_registry({entry.vm: entry for entry in entries}, NOW)
        record = workloads.quote(1)
        state.add_job(record, JobProgress(JobPhase.QUEUED), NOW, inherited=True)
        for vm in self.VMS:
            state.unreported.add(vm, NOW + 8.0, job_ids)
        return state

    def unblocked(self, state):
        """Returns worker, proof and number of unblocked jobs of each event."""
        return [
            (fields["worker"], fields["proof"], fields["jobs"], fields["named"])
            for event, fields in state.changes.pending_events
            if event is events.INHERITED_JOBS_UNBLOCKED
        ]

    @pytest.mark.parametrize("job_ids", [None, [workloads.job_id(1)]])
    def test_last_report(self, job_ids):
        """Guards against inherited jobs that start without a line in the log."""
        state = self.make_state(job_ids)
        for vm in self.VMS:
            state.apply_report(vm, WorkerReport(1, 5.0), NOW + 0.9, NOW + 1.0)
        job_id = workloads.job_id(1)
        assert self.unblocked(state) == [(self.VMS[1], "listed_all", 1, job_id)]

    def test_leases(self):
        """Guards against leases that end before the last report and leave no line."""
        state = self.make_state()
        state.unreported.add(self.VMS[0], NOW + 0.5)
        state.expire_leases(NOW + 1.0)
        assert self.unblocked(state) == [(self.VMS[0], "leases_ended", 0, "")]

    def test_replaced_worker(self):
        """Guards against a removed worker that leaves no line."""
        state = self.make_state()
        for vm in self.VMS:
            state.remove_replaced_worker(vm, NOW + 1.0)
        assert self.unblocked(state) == [
            (self.VMS[0], "worker_replaced", 0, ""),
            (self.VMS[1], "worker_replaced", 1, workloads.job_id(1)),
        ]

    def test_worker_without_the_job(self):
        """Guards against a line for each silent worker that no job waits for."""
        state = self.make_state([])
        state.expire_leases(NOW + 9.0)
        assert not self.unblocked(state)

    def test_adopted_run_keeps_its_task(self):
        """Guards against a line for a task that runs on the worker."""
        state = self.make_state()
        row = RunningTask(f"{workloads.job_id(1)}.0.0.0", 1, "", 5.0)
        report = WorkerReport(1, 5.0, [row])
        state.apply_report(self.VMS[0], report, NOW + 0.9, NOW + 1.0)
        kinds = [event for event, _ in state.changes.pending_events]
        assert events.TASKS_MAY_START_AGAIN not in kinds


class TestStartAgain:
    """The line of a start names the earlier run and the proof of its end."""

    def test_earlier_run(self):
        """Guards against a second start without a line that tells why it was right."""
        cell = listed_end()
        Placer(cell.state).decide(NOW + 2.0, AdviceCapacity(8, 6))
        (fields,) = written(cell, events.STEP_STARTED)
        assert fields["placed"] == f"0:2@{ENTRY.vm}"
        assert fields["earlier"] == f"0:1@{ENTRY.vm}(listed_end,1.300s)"

    def test_first_start(self):
        """Guards against a line that names a run of another task."""
        cell = listed_end()
        cell.state.add_job(workloads.quote(2), JobProgress(JobPhase.QUEUED), NOW)
        Placer(cell.state).decide(NOW + 2.0, AdviceCapacity(8, 6))
        fields = written(cell, events.STEP_STARTED)
        earlier = {row["step"][:16]: row["earlier"] for row in fields}
        assert earlier[workloads.job_id(2)] == "none"

    @pytest.mark.parametrize("is_listed", [False, True])
    def test_run_of_a_predecessor(self, is_listed):
        """Guards against a start that looks like the first one of its task."""
        cell = RestartingWorker()
        cell.state.job_by_id.clear()
        record = workloads.quote(2, count=1)
        job = cell.state.add_job(record, JobProgress(JobPhase.QUEUED), NOW, True)
        (stage,) = job.stage_by_key.values()
        stage.tasks[0].last_run = 1
        if is_listed:
            ended = [EndedTask(1, stage.task_name(0), 1, EndKind.FAILED, "")]
            report = WorkerReport(OLD, 6.0, [], ended)
            cell.state.apply_report(ENTRY.vm, report, NOW + 0.7, NOW + 1.0)
        Placer(cell.state).decide(NOW + 2.0, AdviceCapacity(8, 6))
        (fields,) = written(cell, events.STEP_STARTED)
        listed = f"0:1@{ENTRY.vm}(listed_end,1.300s)"
        assert fields["earlier"] == (listed if is_listed else "0:1(inherited)")

    def test_order_in_doubt(self):
        """Guards against a start beside an order in doubt that the line hides."""
        cell = lasting_unsettled()
        Placer(cell.state).decide(NOW + 2.0, AdviceCapacity(8, 6))
        (fields,) = written(cell, events.STEP_STARTED)
        assert fields["earlier"] == f"0:1@{ENTRY.vm}(excluded,1.300s?)"

    def test_number_of_named_runs_is_bounded(self):
        """Guards against lines that grow with the size of a step."""
        cell = RestartingWorker()
        count = MAX_NAMED + 2
        record = workloads.audit(2, count=count, cpu=1.0)
        job = cell.state.add_job(record, JobProgress(JobPhase.QUEUED), NOW)
        (stage,) = job.stage_by_key.values()
        for index in range(count):
            cell.state.create_run(stage, index, 1, ENTRY.vm, RunPhase.RUNNING, NOW)
        cell.report(OLD, NOW + 1.0)
        Placer(cell.state).decide(NOW + 2.0, AdviceCapacity(8, 6))
        (fields,) = written(cell, events.STEP_STARTED)
        assert fields["earlier"].count("omitted") == MAX_NAMED
        assert fields["earlier"].endswith(" and 2 others")


def starts(cell, now):
    """Returns the tasks that a round of decisions starts."""
    orders = Placer(cell.state).decide(now, AdviceCapacity(8, 6))
    return [order.task for order in orders if isinstance(order, StartOrder)]


def end_without_evidence():
    """Mutant: a run is removed from its task without evidence of its end."""
    settle = CellState._settle
    return mock.patch.object(
        CellState, "_settle", lambda cell, run, evidence: settle(cell, run)
    )


def ignore_runs():
    """Mutant: a task with a run may be started."""
    return mock.patch.object(Task, "may_start", lambda task, lasting: not task.done)


class TestGuard:
    """A start is refused if an earlier run of the task has no proof of its end."""

    @pytest.mark.parametrize("path", [row[0] for row in PATHS], ids=name_of)
    def test_start_with_a_proof(self, path):
        """Guards against a task that is never started again."""
        cell = path()
        other = dataclasses.replace(ENTRY, vm="w-other", address="10.0.1.1:80")
        entries = {other.vm: other}
        if ENTRY.vm in cell.state.worker_by_vm:
            entries[ENTRY.vm] = dataclasses.replace(ENTRY, born=cell.worker.born)
        later = NOW + 60.1
        cell.state.update_registry(entries, later)
        for vm in entries:
            worker = cell.state.worker_by_vm[vm]
            report = WorkerReport(worker.born, 70.0, token_number=worker.token_number)
            cell.state.apply_report(vm, report, later, later)
        cell.stage.job.record.queue = workloads.QUOTES
        assert starts(cell, later + 0.1) == [cell.order.task]
        assert not written(cell, events.START_WITHOUT_PROOF)

    @pytest.mark.parametrize(
        ("mutant", "path"),
        [(end_without_evidence, omitted_after_start), (ignore_runs, confirmed_cell)],
        ids=name_of,
    )
    def test_start_without_a_proof(self, mutant, path):
        """Guards against a second run while nothing shows that the first has ended."""
        with mutant():
            cell = path()
            assert cell.stage.waiting_tasks() == [0]
            for now in (NOW + 2.0, NOW + 2.1):
                assert starts(cell, now) == []
        (fields,) = written(cell, events.START_WITHOUT_PROOF)
        assert fields["runs"] == f"1@{ENTRY.vm}"

    def test_late_proof(self):
        """Guards against a task that is refused although its worker lists the end."""
        with end_without_evidence():
            cell = omitted_after_start()
        assert starts(cell, NOW + 2.0) == []
        report_end(cell, OLD, NOW + 3.0)
        assert starts(cell, NOW + 3.1) == [cell.order.task]

    def test_gang(self):
        """Guards against a part of a gang that starts without the refused member."""
        cell = RestartingWorker()
        record = workloads.residual(2, count=2)
        job = cell.state.add_job(record, JobProgress(JobPhase.QUEUED), NOW)
        (stage,) = job.stage_by_key.values()
        run = cell.state.create_run(stage, 1, 1, ENTRY.vm, RunPhase.RUNNING, NOW)
        with end_without_evidence():
            cell.state.end_run(cell.worker, run, workloads.LISTED_END)
        assert stage.waiting_tasks() == [0, 1]
        assert starts(cell, NOW + 2.0) == []
        (fields,) = written(cell, events.START_WITHOUT_PROOF)
        assert fields["task"] == run.task
