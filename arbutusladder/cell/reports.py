"""Processing of worker reports, which list running and ended tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from arbutusladder import events
from arbutusladder.cell.interfaces import EndedTask, RunningTask, WorkerReport
from arbutusladder.cell.runends import EndEvidence, EndProof, RunEnd
from arbutusladder.cell.runs import Run
from arbutusladder.cell.stages import Stage
from arbutusladder.cell.states import EndKind, JobPhase, RunPhase
from arbutusladder.cell.tasknames import job_id_of_task
from arbutusladder.cell.workers import Worker

if TYPE_CHECKING:
    from arbutusladder.cell.cellstate import CellState

# Maximum number of ended tasks that a worker lists in one report.
MAX_REPORTED_ENDS = 500


class ReportProcessor:
    """Reconciles the state of a cell with its workers' reports.

    Args:
        cell: State of the cell.
    """

    def __init__(self, cell: CellState):
        self._cell = cell

    def apply(
        self, worker: Worker, report: WorkerReport, sent_at: float, now: float
    ) -> bool:
        """Applies a worker's report of its running and ended tasks.

        Args:
            worker: The worker.
            report: Its answer to a lease renewal.
            sent_at: Monotonic time in seconds at which the renewal was sent.
            now: Monotonic time in seconds.

        Returns:
            Whether the report is complete. Otherwise the worker lists further ends
            once these are acknowledged, and tasks that it does not list may be done.
        """
        if worker.is_next_incarnation(report.born, sent_at):
            self._cell.begin_incarnation(worker, report.born, now, "report")
        worker.record_heard()
        # A report that was requested under an earlier token shows what the worker runs,
        # but earlier calls may still take effect on it.
        if report.token_number == worker.token_number:
            worker.confirm(report.clock, now, self._cell.max_lease_s)
        else:
            worker.record_answer(None, now)
        evidence = EndEvidence(EndProof.LISTED_END, now, now - sent_at)
        for ended in sorted(report.ended, key=lambda ended: ended.number):
            if ended.number > worker.last_end_number:
                worker.record_end(ended.number, job_id_of_task(ended.task))
                self._apply_end(worker, ended, evidence)
        listed = {(row.task, row.run) for row in report.running}
        for row in report.running:
            self._apply_running(worker, row, now)
        report_is_complete = len(report.ended) < MAX_REPORTED_ENDS
        if report_is_complete:
            worker.record_complete_report(sent_at)
            missing = self._end_missing_runs(worker, report, listed, sent_at, now)
            if missing:
                self._cell.record_runs_lost(worker, missing, "missing", now)
        return report_is_complete

    def _apply_end(
        self, worker: Worker, ended: EndedTask, evidence: EndEvidence
    ) -> None:
        now = evidence.at
        stage, index = self._cell.find_task(ended.task)
        run = worker.run_by_key.get((ended.task, ended.run))
        if run:
            run.listed = True
        else:
            self._cell.record_listed(
                worker, ended.task, ended.run, ended.how.value, now
            )
            self._cell.end_unsettled_run(worker, (ended.task, ended.run), evidence)
        if run:
            self._cell.end_run(worker, run, evidence)
        self._hold_end(worker, ended, stage, now)
        if stage is None or index >= len(stage.tasks):
            return
        task = stage.tasks[index]
        task.last_run = max(task.last_run, ended.run)
        vm = worker.entry.vm
        is_unknown = run is None and (vm, ended.run) not in task.run_by_worker
        if is_unknown and not task.done:
            # A predecessor may have started it.
            task.record_end(
                RunEnd(vm, ended.run, worker.born, worker.born, False, evidence)
            )
        if ended.saved:
            task.checkpoint = ended.saved
        self._cell.changes.dirty.add(stage.job.id)
        match ended.how:
            case EndKind.DONE:
                if run:
                    worker.record_success(run)
                    self._cell.drain_ratios.observe_end(stage, run, now)
                self._cell.performance.record_done(worker, run, stage, now)
                self._cell.complete_task(stage, index)
            case EndKind.FAILED:
                if run:
                    self._record_failure(worker, run, stage, now)
                self._cell.record_failed_run(stage, index, ended.run)
            case _:
                if stage.spec.gang:
                    self._cell.stop_runs(stage)
        self._cell.record_event(
            events.RUN_ENDED,
            task=ended.task,
            run=ended.run,
            worker=worker.entry.vm,
            how=ended.how.value,
        )

    def _hold_end(
        self,
        worker: Worker,
        ended: EndedTask,
        stage: Stage | None,
        now: float,
    ) -> None:
        """Holds the acknowledgement of an end while the task may be started again.

        The next incarnation of the worker executes an order that is in doubt. That is
        a second run of a task only if an end of it counts, and an end that was not
        acknowledged is lost with its incarnation.
        """
        if ended.how not in (EndKind.DONE, EndKind.FAILED):
            return
        until = self._cell.unsettled.doubt_ends_at(ended.task)
        if stage and stage.spec.gang:
            until = max([until, *(run.doubt_ends_at for run in stage.active_runs)])
        if until > now:
            worker.hold_end(ended.number, until)

    def _record_failure(
        self, worker: Worker, run: Run, stage: Stage, now: float
    ) -> None:
        """Counts a failed run against its worker, unless its step fails everywhere."""
        if stage.spec.lasting and not run.proven:
            stage.failed_vms.add(worker.entry.vm)
        if not stage.is_failing:
            worker.record_failure(run, now)

    def _apply_running(self, worker: Worker, row: RunningTask, now: float) -> None:
        run = worker.run_by_key.get((row.task, row.run))
        stage, index = self._cell.find_task(row.task)
        if run is None:
            self._cell.record_listed(worker, row.task, row.run, "running", now)
            run = self._cell.restore_run(worker, (row.task, row.run), now)
        if run is None:
            run = self._adopt_run(worker, row, stage, index, now)
        run.listed, run.confirmed_born = True, worker.born
        if stage and stage.job.phase is JobPhase.QUEUED:
            self._cell.record_begin(run)
        if run.phase is RunPhase.SENT:
            run.phase, run.changed_at = RunPhase.RUNNING, now
            run.progressed_at = run.observed_at = now
            self._cell.changes.dirty.add(run.job_id)
        if stage:
            expected_s = stage.expected_duration_s(now)
            worker.record_progress(run, row.percent, expected_s, now)
            self._cell.performance.record_progress(worker, run, stage, now)
            self._cell.interference.record_running(worker, run, row.figure, now)
            worker.record_running(run, stage.spec.lasting, now)
            if run.proven:
                stage.failed_vms.clear()
            self._stop_if_stalled(worker, run, stage, now)
        if stage and row.saved and index < len(stage.tasks):
            stage.tasks[index].checkpoint = row.saved

    def _stop_if_stalled(
        self, worker: Worker, run: Run, stage: Stage, now: float
    ) -> None:
        """Stops a stalled run so that its task starts on another worker.

        A gang without checkpoints is left running, because stopping it would lose
        the work of all its members.
        """
        work_is_kept = not stage.spec.gang or stage.spec.checkpoints
        movable = work_is_kept and not stage.spec.lasting and not run.stop_wanted
        timeout_s = stage.stall_timeout_s(run)
        if movable and worker.is_run_stalled(run, timeout_s, now):
            run.stop_wanted = True
            self._cell.record_event(
                events.STALLED_RUN_MOVED, task=run.task, run=run.number, worker=run.vm
            )

    def _adopt_run(
        self,
        worker: Worker,
        row: RunningTask,
        stage: Stage | None,
        index: int,
        now: float,
    ) -> Run:
        """Adds a reported run that the state does not contain.

        A previous owner started it, or its start order was delivered late. The run
        is stopped if its task is done, if its job is finished or unknown, or if the
        task has another run and its step is not speculative.
        """
        is_known_task = stage is not None and index < len(stage.tasks)
        if (
            is_known_task
            and not stage.job.phase.is_final
            and not stage.tasks[index].done
        ):
            run = self._cell.create_run(
                stage, index, row.run, worker.entry.vm, RunPhase.RUNNING, now
            )
            # A predecessor may have changed it.
            run.pace = None
            run.stop_wanted = self._cell.has_other_run(stage, run)
            return run
        need = stage.spec.need if is_known_task else self._cell.task_need(row.task)
        if need is None:
            # The submission is no longer in the log. Reserve all free resources,
            # because the run may use them.
            need = worker.free
        run = Run(
            row.task,
            row.run,
            job_id_of_task(row.task),
            "",
            0,
            worker.entry.vm,
            need,
            RunPhase.RUNNING,
            now,
            stop_wanted=True,
            team=self._cell.job_team(job_id_of_task(row.task)),
            charge=need,
        )
        self._cell.add_run(run)
        self._cell.record_event(
            events.UNNEEDED_RUN_STOPPED,
            task=row.task,
            run=row.run,
            worker=worker.entry.vm,
        )
        return run

    def _end_missing_runs(
        self,
        worker: Worker,
        report: WorkerReport,
        listed: set,
        sent_at: float,
        now: float,
    ) -> list[Run]:
        """Ends runs that a worker lists neither as running nor as ended.

        A run counts as missing if the renewal was sent under a higher token than all
        orders to start it, which can no longer be executed. Otherwise it counts only if
        the renewal was sent after the start of the run, or the order to stop it, was
        confirmed. An earlier report may be older than the run.

        Returns:
            The runs that were ended.
        """
        missing = []
        excluded = EndEvidence(EndProof.EXCLUDED, now, now - sent_at)
        omitted = EndEvidence(EndProof.OMITTED, now, now - sent_at)
        for run in list(worker.run_by_key.values()):
            if run.key in listed:
                continue
            if 0 <= run.token_number < report.token_number:
                self._cell.end_run(worker, run, excluded)
                missing.append(run)
                continue
            if run.stop_answered_at is not None:
                known_at = run.stop_answered_at
            elif run.phase is RunPhase.RUNNING:
                known_at = run.changed_at
            else:
                continue
            if sent_at > known_at:
                self._cell.end_run(worker, run, omitted)
                missing.append(run)
        return missing
