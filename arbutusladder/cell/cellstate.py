"""State of a cell in its owner: jobs, workers and what was heard of them."""

from collections.abc import Callable

from arbutusladder import events
from arbutusladder.cell.interfaces import (
    OrderAnswer,
    StartOrder,
    StopOrder,
    WorkerEntry,
    WorkerReport,
)
from arbutusladder.cell.pendingchanges import PendingChanges
from arbutusladder.cell.reports import ReportReader
from arbutusladder.cell.stages import (
    Job,
    Stage,
    critical_path_s,
    new_stage,
    restore_stage,
    stage_key,
)
from arbutusladder.cell.states import JobPhase, OrderOutcome, RunPhase
from arbutusladder.cell.workers import Run, Worker
from arbutusladder.events import Event
from arbutusladder.ids import JobId, VmId
from arbutusladder.messages import (
    AdviceReply,
    JobProgress,
    Resources,
    SubmittedJob,
)

# Run numbers that are skipped when a worker already knows a higher one.
RUN_SKIP = 5
# Seconds without orders to a worker that had no room or was not reached.
ORDER_PAUSE_S = 0.3


class CellState:
    """Jobs and workers of one cell.

    Args:
        wall_offset: Wall clock time less monotonic time in seconds.
        need_of: Returns what a task of a job that is over needs, by its name; None if
            that is not known.
    """

    def __init__(
        self, wall_offset: float, task_need: Callable[[str], Resources | None]
    ):
        self.task_need = task_need
        self._wall_offset = wall_offset
        self.job_by_id: dict[JobId, Job] = {}
        self.worker_by_vm: dict[VmId, Worker] = {}
        self.unreported_until_by_vm: dict[VmId, float] = {}
        self.changes = PendingChanges()
        self._reports = ReportReader(self)

    def add_job(
        self,
        record: SubmittedJob,
        progress: JobProgress,
        now: float,
        inherited: bool = False,
    ) -> Job:
        """Takes a job in.

        Args:
            record: The submission.
            progress: What is stored of its progress.
            now: Monotonic time in seconds.
            inherited: Whether a previous owner may have started tasks of it.
        """
        # Wall clocks of entry VMs differ and may jump; only a successor needs them.
        accepted_at = now
        if inherited:
            accepted_at = min(now, record.accepted_at - self._wall_offset)
        job = Job(record, accepted_at, progress.state, inherited)
        queue = record.queue
        chain = critical_path_s(record)
        job.objective_at = accepted_at + queue.stretch * chain + queue.objective_s
        self.job_by_id[job.id] = job
        progress_by_key = {
            stage_key(job.id, stage.occurrence, stage.step): stage
            for stage in progress.stages
        }
        for occurrence in range(max(1, record.times)):
            due_at = accepted_at
            if record.times:
                due_wall = record.first_at + occurrence * record.interval_s
                due_at = due_wall - self._wall_offset
            for step in range(len(record.steps)):
                stage = new_stage(job, occurrence, step, due_at)
                if stage.key in progress_by_key:
                    restore_stage(stage, progress_by_key[stage.key])
        return job

    def cancel(self, job_id: JobId) -> None:
        """Cancels a job; its runs are stopped."""
        job = self.job_by_id.get(job_id)
        if job and not job.phase.is_final:
            self._finish(job, JobPhase.CANCELLED)

    def update_registry(self, entry_by_vm: dict[VmId, WorkerEntry], now: float) -> None:
        """Takes the list of workers."""
        for vm, entry in entry_by_vm.items():
            worker = self.worker_by_vm.get(vm)
            if worker is None:
                self._add_worker(entry)
            elif entry.born != worker.entry.born:
                if entry.born > worker.entry.born:
                    self._restarted(worker, entry)
            else:
                worker.entry = entry
                worker.listed = True
        for vm, worker in list(self.worker_by_vm.items()):
            if vm not in entry_by_vm:
                worker.listed = False
                if not worker.run_by_key and worker.lapsed(now):
                    del self.worker_by_vm[vm]

    def report(self, vm: VmId, report: WorkerReport, sent_at: float, now: float) -> int:
        """Takes what a worker runs and what ended there.

        Args:
            vm: The worker.
            report: Its answer.
            sent_at: Monotonic time at which the question was sent.
            now: Monotonic time in seconds.

        Returns:
            The highest end in the report; it may be acknowledged once the
            progress of all dirty jobs is stored.
        """
        worker = self.worker_by_vm.get(vm)
        if worker is None:
            return 0
        self._reports.take(worker, report, sent_at, now)
        if (
            self.unreported_until_by_vm.pop(vm, None)
            and not self.unreported_until_by_vm
        ):
            self._stop_partial_gangs()
        return worker.last_end_number

    def apply_start_answer(
        self, order: StartOrder, answer: OrderAnswer, now: float
    ) -> None:
        """Takes the answer to a start order."""
        worker = self.worker_by_vm.get(order.vm)
        run = worker.run_by_key.get((order.task, order.run)) if worker else None
        if worker and answer.clock is not None:
            worker.record_answer(answer.clock, now)
        if answer.outcome is OrderOutcome.FENCED:
            self.changes.fenced = True
        if run is None or run.phase is not RunPhase.SENT:
            return
        run.changed_at = now
        if answer.outcome is OrderOutcome.ACCEPTED:
            run.phase = RunPhase.RUNNING
            run.moved_at = run.looked_at = now
            return
        stage = self._stage_of(run)
        match answer.outcome:
            case OrderOutcome.UNKNOWN:
                run.phase = RunPhase.DOUBTFUL
                run.stop_wanted = True
            case OrderOutcome.OLD_RUN:
                # An earlier order without an answer may have run this very run to
                # its end; the worker's next report lists that end or nothing.
                run.phase = RunPhase.RUNNING
                run.moved_at = run.looked_at = now
                if stage:
                    stage.tasks[run.index].last_run += RUN_SKIP
            case _:
                self._start_rejected(worker, run, stage, answer.outcome, now)
        self.note(
            events.START_FAILED,
            task=run.task,
            run=run.number,
            worker=run.vm,
            outcome=answer.outcome.value,
        )
        if stage and stage.spec.gang:
            self.stop_runs(stage)

    def apply_stop_answer(
        self, order: StopOrder, answer: OrderAnswer, now: float
    ) -> None:
        """Takes the answer to a stop order."""
        worker = self.worker_by_vm.get(order.vm)
        if answer.outcome is OrderOutcome.FENCED:
            self.changes.fenced = True
        if worker is None:
            return
        if answer.outcome is OrderOutcome.WORKER_REPLACED:
            self._lose_worker(worker, "replaced")
            return
        run = worker.run_by_key.get((order.task, order.run))
        if run and answer.outcome is OrderOutcome.ACCEPTED:
            run.stop_answered_at = now
            run.phase = RunPhase.STOPPING

    def apply_advice(
        self, key: str, asked: tuple[VmId, ...], reply: AdviceReply, now: float
    ) -> None:
        """Takes tickets for a step."""
        stage = self.stage(key)
        if stage is None:
            return
        stage.advice.asking = False
        if not reply.answered:
            return
        stage.advice.take(asked, reply, now)

    def remove_replaced_worker(self, vm: VmId) -> None:
        """Notes that another life answers at a worker's address."""
        worker = self.worker_by_vm.get(vm)
        if worker:
            self._lose_worker(worker, "replaced")

    def expire_leases(self, now: float) -> None:
        """Ends what has certainly ended by time alone."""
        for worker in list(self.worker_by_vm.values()):
            silent = worker.silent_since is not None
            if silent and worker.run_by_key and worker.lapsed(now):
                self.lose_runs(worker, "lapsed")
        for vm, until in list(self.unreported_until_by_vm.items()):
            if now > until:
                del self.unreported_until_by_vm[vm]
                if not self.unreported_until_by_vm:
                    self._stop_partial_gangs()

    def stage(self, key: str) -> Stage | None:
        """Returns a step of a job that is not over."""
        job = self.job_by_id.get(JobId(key.split(".", 1)[0]))
        return job.stage_by_key.get(key) if job else None

    def drop_plan(self, stage: Stage) -> list[Worker | None]:
        """Gives back the room that a step holds; returns the workers of the plan."""
        workers = [self.worker_by_vm.get(vm) for _, vm in stage.plan]
        for worker in workers:
            if worker:
                worker.release(stage.spec.need)
        stage.plan = []
        return workers

    def remove_finished_jobs(self) -> None:
        """Drops jobs that are over, without runs, and stored."""
        unstored = self.changes.dirty | self.changes.storing
        for job in list(self.job_by_id.values()):
            stored = job.phase.is_final and job.id not in unstored
            if stored and not any(s.active for s in job.stage_by_key.values()):
                del self.job_by_id[job.id]

    def note(self, event: Event, **fields: object) -> None:
        """Notes a decision for the event log."""
        self.changes.pending_events.append((event, fields))

    def attach_run(
        self,
        stage: Stage,
        index: int,
        number: int,
        vm: VmId,
        phase: RunPhase,
        now: float,
    ) -> Run:
        """Creates a run and takes its resources."""
        run = Run(
            stage.task_name(index),
            number,
            stage.job.id,
            stage.key,
            index,
            vm,
            stage.spec.need if not stage.spec.fills else _memory_only(stage),
            phase,
            now,
            moved_at=now,
            looked_at=now,
        )
        task = stage.tasks[index]
        task.runs.append(run)
        task.last_run = max(task.last_run, number)
        self.worker_by_vm[vm].attach(run)
        if stage.job.phase is JobPhase.QUEUED:
            stage.job.phase = JobPhase.RUNNING
        self.changes.dirty.add(stage.job.id)
        return run

    def _add_worker(self, entry: WorkerEntry) -> None:
        for other in list(self.worker_by_vm.values()):
            if other.entry.address == entry.address and other.entry.born < entry.born:
                self._lose_worker(other, "address taken")
        self.worker_by_vm[entry.vm] = Worker.create(entry)

    def _restarted(self, worker: Worker, entry: WorkerEntry) -> None:
        self.lose_runs(worker, "restarted")
        self.worker_by_vm[entry.vm] = Worker.create(entry)
        self.unreported_until_by_vm.pop(entry.vm, None)

    def _lose_worker(self, worker: Worker, cause: str) -> None:
        self.lose_runs(worker, cause)
        worker.listed = False
        self.worker_by_vm.pop(worker.entry.vm, None)
        self.unreported_until_by_vm.pop(worker.entry.vm, None)

    def lose_runs(self, worker: Worker, cause: str) -> None:
        """Ends all runs of a worker that lost them."""
        runs = list(worker.run_by_key.values())
        if runs:
            self.note(
                events.RUNS_LOST, worker=worker.entry.vm, runs=len(runs), cause=cause
            )
        for run in runs:
            self.over(worker, run)

    def over(self, worker: Worker, run: Run) -> Stage | None:
        """Ends a run; returns its step, if the job is not over."""
        worker.detach(run)
        stage = self._stage_of(run)
        if stage and run in stage.tasks[run.index].runs:
            stage.tasks[run.index].runs.remove(run)
        return stage

    def _start_rejected(
        self,
        worker: Worker,
        run: Run,
        stage: Stage | None,
        outcome: OrderOutcome,
        now: float,
    ) -> None:
        self.over(worker, run)
        match outcome:
            case OrderOutcome.TICKET_INVALID:
                if stage:
                    stage.advice.ticket_by_vm.pop(run.vm, None)
                    stage.advice.known.discard(run.vm)
            case OrderOutcome.WORKER_REPLACED:
                self._lose_worker(worker, "replaced")
            case _:
                worker.paused_until = max(worker.paused_until, now + ORDER_PAUSE_S)

    def task_done(self, stage: Stage, index: int) -> None:
        """Notes that a task, or a whole gang, is done."""
        if stage.spec.lasting:
            return
        finished = range(len(stage.tasks)) if stage.spec.gang else (index,)
        for number in finished:
            task = stage.tasks[number]
            task.done = True
            if not stage.spec.gang:
                for run in task.runs:
                    run.stop_wanted = True
        job = stage.job
        if all(stage.done for stage in job.stage_by_key.values()):
            self._finish(job, JobPhase.COMPLETED)

    def task_failed(self, stage: Stage, index: int, number: int) -> None:
        """Counts a failed run; too many of them fail the job."""
        # Members of a gang fail together, which counts once.
        task = stage.tasks[0 if stage.spec.gang else index]
        task.failed_runs.add(number)
        failures = len(task.failed_runs)
        most = stage.job.record.queue.max_attempts
        if failures >= most and not stage.spec.lasting and not task.done:
            self._finish(stage.job, JobPhase.FAILED)
        elif stage.spec.gang:
            self.stop_runs(stage)

    def _finish(self, job: Job, phase: JobPhase) -> None:
        if job.phase.is_final:
            return
        job.phase = phase
        self.changes.dirty.add(job.id)
        self.note(events.CELL_JOB_ENDED, job=job.id, state=phase.value)
        for stage in job.stage_by_key.values():
            self.drop_plan(stage)
        if phase is not JobPhase.COMPLETED:
            for stage in job.stage_by_key.values():
                self.stop_runs(stage)

    def stop_runs(self, stage: Stage) -> None:
        """Has all runs of a step stopped."""
        for run in stage.active:
            run.stop_wanted = True

    def _stop_partial_gangs(self) -> None:
        for job in self.job_by_id.values():
            for stage in job.stage_by_key.values():
                partial = 0 < len(stage.active) < len(stage.tasks)
                if job.inherited and stage.spec.gang and partial:
                    self.stop_runs(stage)

    def _stage_of(self, run: Run) -> Stage | None:
        return self.stage(run.stage) if run.stage else None

    def find(self, task: str) -> tuple[Stage | None, int]:
        """Returns the step and number of a task by its name."""
        key, _, index = task.rpartition(".")
        return self.stage(key), int(index) if index.isdigit() else 0


def _memory_only(stage: Stage) -> Resources:
    need = stage.spec.need
    return Resources(0.0, need.memory_mb, need.accelerators)
