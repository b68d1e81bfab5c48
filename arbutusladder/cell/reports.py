"""What workers report: runs in progress, and ends."""

from __future__ import annotations

from typing import TYPE_CHECKING

from arbutusladder import events
from arbutusladder.cell.interfaces import (
    EndedTask,
    RunningTask,
    WorkerEntry,
    WorkerReport,
)
from arbutusladder.cell.stages import Stage
from arbutusladder.cell.states import EndKind, RunPhase
from arbutusladder.cell.workers import Run, Worker
from arbutusladder.ids import JobId

if TYPE_CHECKING:
    from arbutusladder.cell.cellstate import CellState

# Ends that a worker lists in one report (PROTOCOL, ended).
MOST_ENDS = 500


class ReportReader:
    """Brings the state of a cell in line with its workers' reports.

    Args:
        cell: Jobs and workers.
    """

    def __init__(self, cell: CellState):
        self._cell = cell

    def take(
        self, worker: Worker, report: WorkerReport, sent_at: float, now: float
    ) -> None:
        """Takes what a worker runs and what ended there.

        Args:
            worker: The worker.
            report: Its answer.
            sent_at: Monotonic time at which the question was sent.
            now: Monotonic time in seconds.
        """
        if report.born > worker.entry.born:
            self._cell.lose_runs(worker, "restarted")
            worker.entry = _with_born(worker.entry, report.born)
            worker.acknowledged = worker.last_end_number = 0
        worker.record_answer(report.clock, now)
        for ended in report.ended:
            if ended.number > worker.last_end_number:
                worker.last_end_number = ended.number
                self._take_end(worker, ended, now)
        listed = {(row.task, row.run) for row in report.running}
        for row in report.running:
            self._take_running(worker, row, now)
        lists_every_end = len(report.ended) < MOST_ENDS
        if lists_every_end:
            self._drop_missing(worker, listed, sent_at)

    def _take_end(self, worker: Worker, ended: EndedTask, now: float) -> None:
        stage, index = self._cell.find(ended.task)
        run = worker.run_by_key.get((ended.task, ended.run))
        if run:
            self._cell.over(worker, run)
        if stage is None or index >= len(stage.tasks):
            return
        task = stage.tasks[index]
        task.last_run = max(task.last_run, ended.run)
        if ended.saved:
            task.saved = ended.saved
        self._cell.changes.dirty.add(stage.job.id)
        match ended.how:
            case EndKind.DONE:
                if run:
                    worker.note_success(run)
                self._cell.task_done(stage, index)
            case EndKind.FAILED:
                if run:
                    worker.note_failure(run, now)
                self._cell.task_failed(stage, index, ended.run)
            case _:
                if stage.spec.gang:
                    self._cell.stop_runs(stage)
        self._cell.note(
            events.RUN_ENDED,
            task=ended.task,
            run=ended.run,
            worker=worker.entry.vm,
            how=ended.how.value,
        )

    def _take_running(self, worker: Worker, row: RunningTask, now: float) -> None:
        run = worker.run_by_key.get((row.task, row.run))
        stage, index = self._cell.find(row.task)
        if run is None:
            run = self._adopt(worker, row, stage, index, now)
        if run.phase is RunPhase.SENT:
            run.phase, run.changed_at = RunPhase.RUNNING, now
            run.moved_at = run.looked_at = now
        if stage:
            lasting = stage.spec.lasting
            worker.look(
                run, row.percent, 0.0 if lasting else stage.spec.estimate_s, now
            )
            self._move_from_stalled(worker, run, stage, now)
        if stage and row.saved and index < len(stage.tasks):
            stage.tasks[index].saved = row.saved

    def _move_from_stalled(
        self, worker: Worker, run: Run, stage: Stage, now: float
    ) -> None:
        """Stops a run that stands still, so that it starts elsewhere.

        A gang without saved points would lose the work of all its members.
        """
        keeps_work = not stage.spec.gang or stage.spec.checkpoints
        movable = keeps_work and not stage.spec.lasting and not run.stop_wanted
        if movable and worker.stands_still(run, now):
            run.stop_wanted = True
            self._cell.note(
                events.RUN_STALLED, task=run.task, run=run.number, worker=run.vm
            )

    def _adopt(
        self,
        worker: Worker,
        row: RunningTask,
        stage: Stage | None,
        index: int,
        now: float,
    ) -> Run:
        """Takes over a run that a previous owner started, or one that came late."""
        known = stage is not None and index < len(stage.tasks)
        if known and not stage.job.phase.is_final and not stage.tasks[index].done:
            others = stage.tasks[index].runs
            run = self._cell.attach_run(
                stage, index, row.run, worker.entry.vm, RunPhase.RUNNING, now
            )
            if len(others) > 1 and not stage.spec.speculative:
                run.stop_wanted = True
            return run
        need = stage.spec.need if known else self._cell.task_need(row.task)
        if need is None:
            # Its submission has left the log: it may need all that is free.
            need = worker.free
        run = Run(
            row.task,
            row.run,
            JobId(row.task.split(".", 1)[0]),
            "",
            0,
            worker.entry.vm,
            need,
            RunPhase.RUNNING,
            now,
            stop_wanted=True,
        )
        worker.attach(run)
        self._cell.note(
            events.RUN_STRAY, task=row.task, run=row.run, worker=worker.entry.vm
        )
        return run

    def _drop_missing(self, worker: Worker, listed: set, sent_at: float) -> None:
        """Ends runs that a worker neither runs nor reports as ended.

        A run counts as missing only if the question was sent after its start
        was confirmed, or after the order to stop it was.
        """
        for run in list(worker.run_by_key.values()):
            if run.key in listed:
                continue
            if run.stop_answered_at is not None:
                known_at = run.stop_answered_at
            elif run.phase is RunPhase.RUNNING:
                known_at = run.changed_at
            else:
                continue
            if sent_at > known_at:
                self._cell.over(worker, run)


def _with_born(entry: WorkerEntry, born: int) -> WorkerEntry:
    return WorkerEntry(
        entry.vm,
        born,
        entry.address,
        entry.service,
        entry.failure_domain,
        entry.capacity,
        entry.labels,
        entry.draining,
    )
