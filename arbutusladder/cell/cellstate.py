"""In-memory state of a cell: its jobs, its workers and the runs on them.

The cell's owner holds the only authoritative copy. It changes the state with the
answers and reports of workers, and stores the progress of changed jobs in the log.
"""

import math
from collections.abc import Callable, Collection
from dataclasses import replace

from arbutusladder import events
from arbutusladder.cell.advicecalls import AdviceDemand
from arbutusladder.cell.celljobs import Job, create_job
from arbutusladder.cell.forecast.drainratio import DrainRatios
from arbutusladder.cell.interfaces import (
    OrderAnswer,
    StartOrder,
    StopOrder,
    WorkerEntry,
    WorkerReport,
)
from arbutusladder.cell.interference.tracker import InterferenceTracker
from arbutusladder.cell.joblimits import JobLimits
from arbutusladder.cell.lostruns import LostRuns, describe_runs
from arbutusladder.cell.pendingchanges import PendingChanges
from arbutusladder.cell.performance.tracker import PerformanceTracker
from arbutusladder.cell.reports import ReportProcessor
from arbutusladder.cell.runends import (
    MAX_NAMED,
    EndEvidence,
    EndProof,
    RunEnd,
    order_evidence,
    restart_fields,
)
from arbutusladder.cell.runs import Run, RunKey
from arbutusladder.cell.stages import Stage, stage_key
from arbutusladder.cell.states import JobPhase, OrderOutcome, RunPhase
from arbutusladder.cell.steppriority import is_urgent
from arbutusladder.cell.tasknames import job_id_of_task, parse_task_name
from arbutusladder.cell.teamusage.ledger import TeamLedger
from arbutusladder.cell.unreported import UnreportedWorker, UnreportedWorkers
from arbutusladder.cell.unsettledruns import UnsettledRuns
from arbutusladder.cell.workers import (
    MAX_ORDER_DELAY_S,
    Worker,
    latest_order_end_s,
    longest_lease_s,
    order_delay_s,
)
from arbutusladder.cell.workerselection import needs_advice
from arbutusladder.errors import JobTooLarge
from arbutusladder.events import Event
from arbutusladder.ids import JobId, TeamName, VmId
from arbutusladder.messages import (
    AdviceReply,
    JobProgress,
    QueueTerms,
    RelayedState,
    Resources,
    SilentWorker,
    SubmittedJob,
)

# Run numbers to skip after a worker has rejected a run number as too low.
RUN_NUMBER_SKIP = 5
# Largest difference in seconds between the wall clocks of a worker and an entry VM;
# both may jump by some seconds.
MAX_WALL_CLOCK_ERROR_S = 4.0
# Seconds without start orders to a worker that rejected one or was unreachable.
REJECTION_PAUSE_S = 0.3


class CellState:
    """Jobs, workers and runs of one cell.

    Args:
        wall_offset: Wall clock time less monotonic time in seconds.
        task_need: Returns the resource requirements of a task by its name, also for
            finished jobs; None if they are unknown.
        job_team: Returns the team of a job, also of a finished one; empty without one.

    Attributes:
        job_by_id: Unfinished jobs, and finished ones that still have runs or whose
            progress is not stored.
        worker_by_vm: Workers that are registered or whose runs or leases may not have
            ended.
        inherited_lease_s: Seconds after which a lease ends that a previous owner grants
            now.
        max_lease_s: Longest lease in seconds that a worker accepts.
        unreported: Workers without a complete report since the takeover, which may run
            tasks, or have ended tasks, that this owner does not know.
        order_delay_s: Seconds after which no order of a predecessor is executed.
        job_limits: Limits of the size of a job.
        recorded_vms: Workers that the log lists as those of the owner, so that a
            successor waits for them. Only they get tasks and leases. None without a
            log.
        listed_silent_vms: Workers that the claim lists as silent. Nothing is started on
            them, so that the list of the jobs on them stays complete.
        listed_expiring_vms: Those of them whose leases the claim says to end soon, so
            that they must not be extended.
        advice_demand: Demand of the steps with a call for advice in progress.
        team_ledger: Charges of the teams for what they may have running.
        changes: Changes that are not logged or stored yet.
        drain_ratios: Actual run times of queues relative to their estimates.
        performance: Learnt speeds of workers and durations of tasks.
        interference: Learnt effects of tasks on one another, and paces of fillers.
        unsettled: Runs that are not on their worker, but that an order may still start.
        lost_runs: Runs that counted as ended without an end that a worker reported.
    """

    def __init__(
        self,
        wall_offset: float,
        task_need: Callable[[str], Resources | None],
        job_team: Callable[[JobId], TeamName] = lambda job_id: TeamName(""),
    ):
        self.task_need = task_need
        self.job_team = job_team
        self._wall_offset = wall_offset
        self.job_by_id: dict[JobId, Job] = {}
        self.worker_by_vm: dict[VmId, Worker] = {}
        self.inherited_lease_s = math.inf
        self.max_lease_s = 0.0
        self.job_limits = JobLimits()
        self.unreported = UnreportedWorkers()
        self.order_delay_s = 0.0
        self.recorded_vms: frozenset[VmId] | None = None
        self.listed_silent_vms: set[VmId] = set()
        self.listed_expiring_vms: set[VmId] = set()
        self.advice_demand = AdviceDemand()
        self.team_ledger = TeamLedger()
        self.changes = PendingChanges()
        self.drain_ratios = DrainRatios()
        self.unsettled = UnsettledRuns()
        self.lost_runs = LostRuns()
        self.interference = InterferenceTracker(self.record_event)
        self.performance = PerformanceTracker(self.record_event, self.interference)
        self._token_number_by_vm: dict[VmId, int] = {}
        self._unlogged_ends: list[tuple[Run, RunEnd]] = []
        self._report_processor = ReportProcessor(self)

    def inherit_queue(self, queue: QueueTerms) -> None:
        """Records that a predecessor may have ordered tasks of a queue."""
        delay_s = order_delay_s(queue)
        self.order_delay_s = max(self.order_delay_s, delay_s)

    def add_job(
        self,
        record: SubmittedJob,
        progress: JobProgress,
        now: float,
        inherited: bool = False,
    ) -> Job:
        """Adds a job and creates the steps of its due occurrences.

        A job beyond the limits, which another version may have accepted, fails.

        Args:
            record: The submission.
            progress: Its stored progress.
            now: Monotonic time in seconds.
            inherited: Whether a previous owner may have started tasks of it.

        Returns:
            The job.
        """
        if inherited:
            self.inherit_queue(record.queue)
        job = create_job(
            record, progress.state, now, inherited, self._wall_offset, self.job_limits
        )
        self.job_by_id[job.id] = job
        try:
            self.job_limits.check_tasks(record)
        except JobTooLarge as error:
            self.record_event(events.JOB_TOO_LARGE, job=job.id, problem=str(error))
            self._finish(job, JobPhase.FAILED)
            return job
        job.restore(progress)
        if job.is_done:
            self._finish(job, JobPhase.COMPLETED)
        else:
            job.open_due_occurrences(now)
        return job

    def cancel(self, job_id: JobId) -> None:
        """Cancels a job and stops its runs."""
        job = self.job_by_id.get(job_id)
        if job and not job.phase.is_final:
            self._finish(job, JobPhase.CANCELLED)

    def apply_reported_end(self, state: RelayedState) -> None:
        """Ends a job whose end a predecessor reported, but did not store."""
        job = self.job_by_id.get(state.job_id)
        if job and state.state.is_final:
            self._finish(job, state.state)
            for stage in job.stage_by_key.values():
                self.stop_runs(stage)

    def update_registry(self, entry_by_vm: dict[VmId, WorkerEntry], now: float) -> None:
        """Applies the current registry of workers.

        Args:
            entry_by_vm: All registered workers.
            now: Monotonic time in seconds.
        """
        for vm, entry in entry_by_vm.items():
            worker = self.worker_by_vm.get(vm)
            if worker is None:
                worker = self.worker_by_vm[vm] = Worker.create(entry)
                worker.born_known_at = now
                worker.token_number = self._token_number_by_vm.pop(vm, 0)
                # Its entry may have been missing at the takeover, or since. Calls that
                # were sent before may have given this incarnation a lease.
                calls_end_at = min(
                    self.former_calls_end_at(worker),
                    now + latest_order_end_s(self.max_lease_s),
                )
                worker.assume_lease(
                    max(self.unreported.leases_end_at(vm), calls_end_at)
                )
            elif entry.born >= worker.born and entry.born not in worker.former_borns:
                if entry.born > worker.born:
                    self.begin_incarnation(worker, entry.born, now, "registry")
                worker.update_entry(entry)
        for vm, worker in list(self.worker_by_vm.items()):
            entry = entry_by_vm.get(vm)
            if entry is None:
                worker.registered = False
            elif not worker.is_replaceable_by(entry):
                continue
            is_used = worker.run_by_key or self.unsettled.on_worker(vm)
            if not is_used and worker.is_forgettable(now, self.max_lease_s):
                self._forget_worker(worker)

    def begin_incarnation(
        self, worker: Worker, born: int, now: float, source: str
    ) -> None:
        """Records the restart of a worker, with which its tickets end.

        Args:
            worker: The worker.
            born: Start time of the new incarnation.
            now: Monotonic time in seconds.
            source: What shows the restart, for the event log.
        """
        worker.begin_incarnation(born, now)
        if source == "report":
            worker.record_heard()
        self.record_event(
            events.WORKER_INCARNATION_BEGAN,
            worker=worker.entry.vm,
            born=born,
            runs=len(worker.run_by_key),
            source=source,
            token=worker.token_number,
            leases=worker.lease_s_left(now),
        )
        for job in self.job_by_id.values():
            for stage in job.stage_by_key.values():
                stage.advice.forget_worker(worker.entry.vm)

    def apply_report(
        self, vm: VmId, report: WorkerReport, sent_at: float, now: float
    ) -> int:
        """Applies a worker's report of its running and ended tasks.

        Args:
            vm: The worker.
            report: Its answer to a lease renewal.
            sent_at: Monotonic time in seconds at which the renewal was sent.
            now: Monotonic time in seconds.

        Returns:
            The number of the newest end that was reported. It may be acknowledged
            once the progress of all dirty jobs is stored.
        """
        worker = self.worker_by_vm.get(vm)
        if worker is None:
            return 0
        if report.born not in (0, worker.born):
            if not worker.is_next_incarnation(report.born, sent_at):
                # A late answer of an earlier incarnation, whose runs are gone.
                return worker.last_end_number
            if worker.contradicts_entry(report.born):
                # What it runs is taken from its next report, which excludes all calls
                # before this one.
                self.begin_incarnation(worker, report.born, now, "report")
                worker.record_answer(None, now)
                return worker.last_end_number
        is_complete = self._report_processor.apply(worker, report, sent_at, now)
        # The worker has seen this owner's epoch, so it obeys no previous one.
        worker.limit_inherited_leases(now + self._inherited_lease_s(worker, now))
        listed_all = EndEvidence(EndProof.LISTED_ALL, now, now - sent_at)
        if is_complete and self._stop_awaiting(vm, listed_all):
            self._stop_partial_gangs()
        self._record_restarts()
        return worker.last_end_number

    def _inherited_lease_s(self, worker: Worker, now: float) -> float:
        """Returns the seconds after which a predecessor's leases on a worker end.

        A worker that has restarted shortly before may have executed calls that were
        made for the clock of its former incarnation.
        """
        restart_s = self.former_calls_end_at(worker) - now
        longest_s = min(longest_lease_s(self.max_lease_s), restart_s)
        return max(self.inherited_lease_s, longest_s)

    def former_calls_end_at(self, worker: Worker) -> float:
        """Returns when leases by calls to former incarnations of a worker have ended.

        Returns:
            Monotonic time in seconds, by the wall clocks of the worker and of this
            entry VM.
        """
        began_at = worker.born / 1000 - self._wall_offset
        delay_s = MAX_ORDER_DELAY_S + MAX_WALL_CLOCK_ERROR_S
        return began_at + delay_s + longest_lease_s(self.max_lease_s)

    def resolve_refusal(
        self, entry: WorkerEntry, answer: OrderAnswer, token_number: int
    ) -> OrderAnswer:
        """Returns an answer whose outcome tells what a refusal says of the worker.

        A lower token may be that of the owner itself, and the worker may have come back
        at another address since, or have answered there before its entry was read.

        Args:
            entry: Entry of the worker to which the call was sent. The worker may have
                been forgotten, or have returned, since.
            answer: The answer to the call.
            token_number: Number of the token of the call.
        """
        worker = self.worker_by_vm.get(entry.vm)
        match answer.outcome:
            case OrderOutcome.FENCED:
                newest = self._token_number_by_vm.get(entry.vm, 0)
                if worker:
                    newest = worker.token_number
                if token_number < newest:
                    return replace(answer, outcome=OrderOutcome.SUPERSEDED)
            case OrderOutcome.WORKER_REPLACED:
                if worker and worker.entry.address != entry.address:
                    return replace(answer, outcome=OrderOutcome.MISDIRECTED)
                if worker and worker.has_answered_elsewhere:
                    return replace(answer, outcome=OrderOutcome.UNKNOWN)
        return answer

    def apply_start_answer(
        self, order: StartOrder, answer: OrderAnswer, now: float
    ) -> None:
        """Applies the answer to a start order.

        The answer may be of any incarnation, so it tells nothing of the present one.
        """
        worker, run = self._find_run(order)
        if answer.outcome is OrderOutcome.FENCED:
            self.changes.fenced = True
        if run is None:
            run = self.unsettled.get(order.vm, (order.task, order.run))
        if run is None:
            return
        run.record_start_answer(answer)
        is_accepted = answer.outcome is OrderOutcome.ACCEPTED
        if run.phase is RunPhase.UNSETTLED:
            run.changed_at = now
            if not (run.in_doubt or is_accepted):
                self._settle(run, order_evidence(run, answer.outcome, now))
                self._record_restarts()
            return
        if is_accepted and worker.is_own_clock(answer.clock, now):
            run.confirmed_born = worker.born
        if run.phase is not RunPhase.SENT:
            return
        run.changed_at = now
        if answer.outcome is OrderOutcome.ACCEPTED:
            run.phase = RunPhase.RUNNING
            run.progressed_at = run.observed_at = now
            self.record_begin(run)
            return
        stage = self._stage_of(run)
        match answer.outcome:
            case OrderOutcome.UNKNOWN:
                run.phase = RunPhase.DOUBTFUL
                run.stop_wanted = True
            case OrderOutcome.OLD_RUN:
                # An earlier, unanswered copy of this order may have started the run,
                # and it may have ended since. Then the next report lists its end;
                # otherwise the report omits the run, which then counts as ended.
                run.phase = RunPhase.RUNNING
                run.progressed_at = run.observed_at = now
                if stage:
                    stage.tasks[run.index].last_run += RUN_NUMBER_SKIP
            case _:
                self._handle_rejected_start(worker, run, stage, answer.outcome, now)
        self.record_event(
            events.START_FAILED,
            task=run.task,
            run=run.number,
            worker=run.vm,
            outcome=answer.outcome.value,
        )
        self._record_restarts()
        if stage and stage.spec.gang:
            self.stop_runs(stage)

    def is_start_wanted(self, order: StartOrder) -> bool:
        """Returns whether the run of a start order may still be started."""
        _, run = self._find_run(order)
        return run is not None and run.phase is RunPhase.SENT and not run.stop_wanted

    def _find_run(
        self, order: StartOrder | StopOrder
    ) -> tuple[Worker | None, Run | None]:
        """Returns the worker and the run of an order, if the state has them."""
        worker = self.worker_by_vm.get(order.vm)
        if worker is None:
            return None, None
        return worker, worker.run_by_key.get((order.task, order.run))

    def apply_stop_answer(
        self, order: StopOrder, answer: OrderAnswer, now: float
    ) -> None:
        """Applies the answer to a stop order."""
        worker, run = self._find_run(order)
        if answer.outcome is OrderOutcome.FENCED:
            self.changes.fenced = True
        if worker is None:
            return
        if answer.outcome is OrderOutcome.WORKER_REPLACED:
            sent_at = run.stop_sent_at if run else None
            self.remove_replaced_worker(order.vm, now, now - (sent_at or now))
            return
        # A restart since the stop resets its time: it says nothing of the new run.
        is_current = run and run.stop_sent_at is not None
        if is_current and answer.outcome is OrderOutcome.ACCEPTED:
            run.stop_answered_at = now
            run.phase = RunPhase.STOPPING

    def apply_advice(
        self, key: str, named_vms: tuple[VmId, ...], reply: AdviceReply, now: float
    ) -> None:
        """Applies the advice service's reply for a step.

        Args:
            key: Key of the step.
            named_vms: Workers that the call named.
            reply: The reply, with a ticket for each permitted worker.
            now: Monotonic time in seconds.
        """
        self.advice_demand.end_call(key)
        stage = self.stage(key)
        if stage is None:
            return
        stage.advice.call_pending = False
        if not reply.answered:
            return
        stage.advice.apply_reply(named_vms, reply, now)

    def remove_replaced_worker(self, vm: VmId, now: float, age_s: float = 0.0) -> None:
        """Removes a worker whose address now belongs to a worker of another id.

        Args:
            vm: The worker.
            now: Monotonic time in seconds.
            age_s: Seconds since the call was sent that the other worker has answered.
        """
        worker = self.worker_by_vm.get(vm)
        if worker:
            evidence = EndEvidence(EndProof.WORKER_REPLACED, now, age_s)
            self._remove_worker(worker, "replaced", evidence)
            self._record_restarts()

    def expire_leases(self, now: float) -> None:
        """Ends the runs of silent workers whose leases have all expired.

        Also stops waiting for the first complete reports of workers whose leases, of a
        previous owner and of this one, have expired.
        """
        for worker in list(self.worker_by_vm.values()):
            if worker.silent_since is None:
                continue
            lost = [
                run
                for run in worker.run_by_key.values()
                if worker.is_run_over(run, now, self.max_lease_s)
            ]
            silent_s = now - worker.silent_since
            evidence = EndEvidence(EndProof.LEASES_ENDED, now, silent_s)
            self._end_lost_runs(worker, lost, "lapsed", evidence)
            for run in lost:
                self._settle(run, evidence)
        for run, evidence in self.unsettled.settled(
            self.worker_by_vm, now, self.max_lease_s
        ):
            self._settle(run, evidence)
        granted = {
            vm
            for vm in self.unreported.vms
            if vm in self.worker_by_vm
            and not self.worker_by_vm[vm].own_leases_expired(now)
        }
        if self.stop_awaiting_expired(now, granted):
            self._stop_partial_gangs()
        self._record_restarts()

    def stop_awaiting_expired(self, now: float, granted: Collection[VmId] = ()) -> bool:
        """Stops waiting for reports of workers whose leases have ended.

        Args:
            now: Monotonic time in seconds.
            granted: Workers with a lease of this owner that may not have ended.

        Returns:
            Whether there were any.
        """
        expired = self.unreported.remove_expired(now, granted)
        for vm, row in expired.items():
            evidence = EndEvidence(EndProof.LEASES_ENDED, now, now - row.until)
            self._record_unblocked(vm, row, evidence)
        return bool(expired)

    def _stop_awaiting(self, vm: VmId, evidence: EndEvidence) -> bool:
        """Stops waiting for a worker; returns whether it was waited for."""
        row = self.unreported.remove(vm)
        if row:
            self._record_unblocked(vm, row, evidence)
        return row is not None

    def _record_unblocked(
        self, vm: VmId, row: UnreportedWorker, evidence: EndEvidence
    ) -> None:
        """Queues an event for the inherited jobs that do not wait for a worker now.

        A report after which jobs still wait for other workers is the usual case.
        """
        is_report = evidence.proof is EndProof.LISTED_ALL
        if is_report and self.unreported.may_run_any:
            return
        ids = self.job_by_id if row.job_ids is None else sorted(row.job_ids)
        known = (self.job_by_id.get(job_id) for job_id in ids)
        jobs = [j for j in known if j and j.inherited and not j.phase.is_final]
        unblocked = [job.id for job in jobs if not self.is_blocked(job)]
        if unblocked or (jobs and not is_report):
            self.record_event(
                events.INHERITED_JOBS_UNBLOCKED,
                worker=vm,
                proof=evidence.proof.value,
                age=evidence.age_s,
                jobs=len(unblocked),
                awaited=len(self.unreported.vms),
                named=" ".join(unblocked[:MAX_NAMED]),
            )

    def is_blocked(self, job: Job) -> bool:
        """Returns whether a predecessor may have started tasks of a job elsewhere."""
        return job.inherited and self.unreported.may_run(job.id)

    def accepts_tasks(self, worker: Worker, now: float) -> bool:
        """Returns whether new tasks may start on a worker."""
        vm = worker.entry.vm
        is_listed = vm in self.listed_silent_vms
        return worker.accepts_tasks(now) and self.is_recorded(vm) and not is_listed

    def is_recorded(self, vm: VmId) -> bool:
        """Returns whether a successor would wait for a worker."""
        return self.recorded_vms is None or vm in self.recorded_vms

    def may_extend_lease(self, vm: VmId) -> bool:
        """Returns whether the records on the log allow extending a worker's lease."""
        return self.is_recorded(vm) and vm not in self.listed_expiring_vms

    def list_silent_workers(self, silent: list[SilentWorker], stored: bool) -> None:
        """Keeps what the claim says of silent workers true.

        Args:
            silent: Workers that the claim lists.
            stored: Whether the claim is stored, so that earlier lists no longer count.
        """
        if stored:
            self.listed_silent_vms = set()
            self.listed_expiring_vms = set()
        for row in silent:
            self.listed_silent_vms.add(row.vm)
            if not row.is_extended:
                self.listed_expiring_vms.add(row.vm)

    def stage(self, key: str) -> Stage | None:
        """Returns a step by its key, or None if its job is not in the state."""
        job = self.job_by_id.get(job_id_of_task(key))
        return job.stage_by_key.get(key) if job else None

    def release_plan(self, stage: Stage) -> list[Worker | None]:
        """Releases the resources reserved for a step's planned starts.

        Returns:
            The worker of each planned start; None for a removed worker.
        """
        workers = [self.worker_by_vm.get(vm) for _, vm in stage.plan]
        for worker in workers:
            if worker:
                worker.release(stage.spec.need)
        self.team_ledger.release_plan(stage)
        stage.plan = []
        return workers

    def remove_finished_jobs(self) -> None:
        """Removes finished jobs that have no runs and whose progress is stored.

        A job of a team is kept while a worker without a report may still run it.
        """
        unstored = self.changes.dirty | self.changes.storing
        for job in list(self.job_by_id.values()):
            stored = job.phase.is_final and job.id not in unstored
            if not stored or (job.team and self.is_blocked(job)):
                continue
            if not any(s.active_runs for s in job.stage_by_key.values()):
                del self.job_by_id[job.id]

    def record_event(self, event: Event, **fields: object) -> None:
        """Queues an event for the event log."""
        self.changes.pending_events.append((event, fields))

    def record_runs_lost(
        self, worker: Worker, runs: list[Run], cause: str, now: float
    ) -> None:
        """Records runs that a worker no longer has, and queues the event."""
        for run in runs:
            self.lost_runs.add(run, cause, worker.born, now)
        self.record_event(
            events.RUNS_LOST,
            worker=worker.entry.vm,
            runs=len(runs),
            cause=cause,
            born=worker.born,
            leases=worker.lease_s_left(now),
            named=describe_runs(runs, now),
        )

    def record_listed(
        self, worker: Worker, task: str, number: int, state: str, now: float
    ) -> None:
        """Queues an event if a run that a worker lists has counted as ended.

        Args:
            worker: The worker.
            task: Name of the task.
            number: Number of the run.
            state: How the worker lists it.
            now: Monotonic time in seconds.
        """
        vm = worker.entry.vm
        lost = self.lost_runs.take(vm, (task, number))
        if lost is None:
            return
        self.record_event(
            events.LOST_RUN_LISTED,
            worker=vm,
            born=worker.born,
            task=task,
            run=number,
            state=state,
            seconds=now - lost.lost_at,
            cause=lost.cause,
            former=lost.born,
            unanswered=lost.unanswered,
        )

    def create_run(
        self,
        stage: Stage,
        index: int,
        number: int,
        vm: VmId,
        phase: RunPhase,
        now: float,
    ) -> Run:
        """Creates a run of a task and reserves its resources on the worker.

        Args:
            stage: Step of the task.
            index: Number of the task in its step.
            number: Run number.
            vm: Worker of the run.
            phase: Initial phase.
            now: Monotonic time in seconds.

        Returns:
            The run.
        """
        run = Run(
            stage.task_name(index),
            number,
            stage.job.id,
            stage.key,
            index,
            vm,
            stage.reserved_need,
            phase,
            now,
            from_start=phase is RunPhase.SENT and not stage.resumes(index),
            progressed_at=now,
            observed_at=now,
            spec=stage.spec,
            team=stage.job.team,
            charge=stage.spec.need,
            urgent=is_urgent(stage),
        )
        stage.tasks[index].add_run(run)
        self.add_run(run)
        if phase is RunPhase.RUNNING:
            self.record_begin(run)
        return run

    def add_run(self, run: Run) -> None:
        """Adds a run to its worker and charges its team."""
        self.worker_by_vm[run.vm].add_run(run)
        self.team_ledger.charge(run)

    def record_begin(self, run: Run) -> None:
        """Records that a worker has accepted or reported a run.

        An order that was only sent, and may be refused, does not make its job running.
        """
        job = self.job_by_id.get(run.job_id)
        if job is None:
            return
        if job.phase is JobPhase.QUEUED:
            job.phase = JobPhase.RUNNING
        self.changes.dirty.add(job.id)

    def _forget_worker(self, worker: Worker) -> None:
        vm = worker.entry.vm
        self.worker_by_vm.pop(vm, None)
        # Calls to it may still be under way if it returns.
        self._token_number_by_vm[vm] = worker.token_number + 1

    def _remove_worker(self, worker: Worker, cause: str, evidence: EndEvidence) -> None:
        # Orders that are under way to its address find another worker there.
        vm, lost = worker.entry.vm, list(worker.run_by_key.values())
        self._end_lost_runs(worker, lost, cause, evidence)
        for run in [*lost, *self.unsettled.on_worker(vm)]:
            self._settle(run, evidence)
        worker.registered = False
        self._forget_worker(worker)
        if self._stop_awaiting(worker.entry.vm, evidence):
            self._stop_partial_gangs()

    def _end_lost_runs(
        self, worker: Worker, runs: list[Run], cause: str, evidence: EndEvidence
    ) -> None:
        """Ends runs that a worker no longer has.

        Args:
            worker: The worker.
            runs: The runs.
            cause: Cause for the event log.
            evidence: What shows that they have ended.
        """
        if runs:
            self.record_runs_lost(worker, runs, cause, evidence.at)
        for run in runs:
            self.end_run(worker, run, evidence)

    def end_run(self, worker: Worker, run: Run, evidence: EndEvidence) -> Stage | None:
        """Removes a run from its worker and releases its resources.

        While an order to start it is in doubt, it keeps them, and its task from
        starting again.

        Args:
            worker: The worker.
            run: The run.
            evidence: What shows that the present incarnation does not have it.

        Returns:
            The step of the run, or None if its job is not in the state.
        """
        stage = self._stage_of(run)
        is_present = run.key in worker.run_by_key
        binds_task = stage and run.in_doubt and self._binds_task(stage)
        if binds_task:
            self.unsettled.record_doubt(run)
        if is_present and binds_task and not stage.tasks[run.index].done:
            run.phase = RunPhase.UNSETTLED
            worker.detach_run(run)
            self.unsettled.add(run, worker)
            if stage.spec.lasting:
                # It may start again on this worker.
                self._record_end(run, stage, evidence)
            return stage
        if is_present:
            worker.remove_run(run)
            self.team_ledger.release(run)
        self._settle(run, evidence)
        return stage

    def _binds_task(self, stage: Stage) -> bool:
        """Returns whether an order in doubt keeps a task of a step from elsewhere.

        Tickets are valid on one incarnation only.
        """
        return not (stage.spec.speculative or needs_advice(stage))

    def _settle(self, run: Run, evidence: EndEvidence | None = None) -> None:
        """Removes a run that no order can start any more from its task.

        Args:
            run: The run.
            evidence: What shows it; None if the task needs no other run.
        """
        if self.unsettled.remove(run):
            self.team_ledger.release(run)
        stage = self._stage_of(run)
        if stage and run in stage.tasks[run.index].runs:
            if evidence:
                self._record_end(run, stage, evidence)
            stage.tasks[run.index].runs.remove(run)
            self.job_by_id[run.job_id].drop_if_ended(stage.occurrence)

    def _record_end(self, run: Run, stage: Stage, evidence: EndEvidence) -> None:
        """Records what shows that a run has ended, unless its task is done."""
        task = stage.tasks[run.index]
        if task.done:
            return
        worker = self.worker_by_vm.get(run.vm)
        end = RunEnd(
            run.vm,
            run.number,
            worker.born if worker else 0,
            run.confirmed_born or run.ordered_born,
            run.in_doubt,
            evidence,
        )
        task.record_end(end)
        self._unlogged_ends.append((run, end))

    def _record_restarts(self) -> None:
        """Queues events for the ended runs whose tasks may start again."""
        ends, self._unlogged_ends = self._unlogged_ends, []
        found = [(run, end) for run, end in ends if self._may_start_again(run)]
        for fields in restart_fields(found):
            self.record_event(events.TASKS_MAY_START_AGAIN, **fields)

    def _may_start_again(self, run: Run) -> bool:
        stage = self._stage_of(run)
        if stage is None or stage.job.phase.is_final:
            return False
        return stage.tasks[run.index].may_start(stage.spec.lasting)

    def end_unsettled_run(
        self, worker: Worker, key: RunKey, evidence: EndEvidence
    ) -> None:
        """Applies the end of an unsettled run that its worker lists."""
        run = self.unsettled.get(worker.entry.vm, key)
        if run:
            run.listed = True
            if not run.in_doubt:
                self._settle(run, evidence)

    def restore_run(self, worker: Worker, key: RunKey, now: float) -> Run | None:
        """Returns an unsettled run that its worker lists, as one in progress.

        Args:
            worker: The worker.
            key: Task and number of the run.
            now: Monotonic time in seconds.

        Returns:
            The run; None if it is not unsettled, or if its task needs no run.
        """
        run = self.unsettled.get(worker.entry.vm, key)
        if run is None:
            return None
        stage = self._stage_of(run)
        if stage is None or stage.job.phase.is_final or stage.tasks[run.index].done:
            self._settle(run)
            return None
        self.unsettled.remove(run)
        self.team_ledger.release(run)
        stage.tasks[run.index].revoke_end(run)
        run.phase, run.changed_at = RunPhase.RUNNING, now
        run.progressed_at = run.observed_at = now
        run.stop_sent_at = run.stop_answered_at = None
        # The other members of a gang have been given up.
        run.stop_wanted = stage.spec.gang or self.has_other_run(stage, run)
        self.add_run(run)
        self.record_begin(run)
        return run

    def has_other_run(self, stage: Stage, run: Run) -> bool:
        """Returns whether a task has another run although it may have only one."""
        others = (
            other
            for other in stage.tasks[run.index].runs
            if other is not run and other.phase is not RunPhase.UNSETTLED
        )
        return not stage.spec.speculative and any(others)

    def _handle_rejected_start(
        self,
        worker: Worker,
        run: Run,
        stage: Stage | None,
        outcome: OrderOutcome,
        now: float,
    ) -> None:
        self.lost_runs.add(run, outcome.value, worker.born, now)
        evidence = order_evidence(run, outcome, now)
        self.end_run(worker, run, evidence)
        match outcome:
            case OrderOutcome.TICKET_INVALID:
                if stage:
                    stage.advice.forget_worker(run.vm)
            case OrderOutcome.WORKER_REPLACED:
                self._remove_worker(worker, "replaced", evidence)
            case (
                OrderOutcome.NOT_WANTED
                | OrderOutcome.SUPERSEDED
                | OrderOutcome.MISDIRECTED
            ):
                pass
            case _:
                worker.paused_until = max(worker.paused_until, now + REJECTION_PAUSE_S)

    def complete_task(self, stage: Stage, index: int) -> None:
        """Marks a task as done, or all tasks of a gang.

        Other runs of the task are stopped. Long-running tasks never count as done.
        """
        job = self.job_by_id[stage.job.id]
        if stage.spec.lasting or stage.occurrence in job.finished:
            return
        self.release_plan(stage)
        finished = range(len(stage.tasks)) if stage.spec.gang else (index,)
        for number in finished:
            task = stage.tasks[number]
            task.complete()
            for run in list(task.runs):
                if run.phase is RunPhase.UNSETTLED:
                    self._settle(run)
                elif not stage.spec.gang:
                    run.stop_wanted = True
        job.finish_if_done(stage.occurrence)
        if job.is_done:
            self._finish(job, JobPhase.COMPLETED)

    def record_failed_run(self, stage: Stage, index: int, number: int) -> None:
        """Counts a failed run; the job fails once a task reaches the attempt limit.

        Tasks that last have no such limit, so their failed runs are not kept.
        """
        if stage.spec.lasting:
            if stage.spec.gang:
                self.stop_runs(stage)
            return
        # All members of a gang share a run number, so that failures of several
        # members in one run count once.
        task = stage.tasks[0 if stage.spec.gang else index]
        task.failed_runs.add(number)
        failures = len(task.failed_runs)
        max_attempts = stage.job.record.queue.max_attempts
        if failures >= max_attempts and not task.done:
            self._finish(self.job_by_id[stage.job.id], JobPhase.FAILED)
        elif stage.spec.gang:
            self.stop_runs(stage)

    def _finish(self, job: Job, phase: JobPhase) -> None:
        """Sets the final phase of a job; unless it is completed, stops its runs."""
        if job.phase.is_final:
            return
        job.phase = phase
        self.changes.dirty.add(job.id)
        self.changes.ended_phase_by_id[job.id] = phase
        self.record_event(events.CELL_JOB_ENDED, job=job.id, state=phase.value)
        for stage in job.stage_by_key.values():
            self.release_plan(stage)
        if phase is not JobPhase.COMPLETED:
            for stage in job.stage_by_key.values():
                self.stop_runs(stage)

    def stop_runs(self, stage: Stage) -> None:
        """Marks all runs of a step to be stopped."""
        for run in stage.active_runs:
            run.stop_wanted = True

    def _stop_partial_gangs(self) -> None:
        """Stops inherited gangs of which only some members run after a takeover."""
        for job in self.job_by_id.values():
            if not job.inherited or self.is_blocked(job):
                continue
            for stage in job.stage_by_key.values():
                partial = 0 < len(stage.active_runs) < len(stage.tasks)
                if stage.spec.gang and partial:
                    self.stop_runs(stage)

    def _stage_of(self, run: Run) -> Stage | None:
        return self.stage(run.stage) if run.stage else None

    def find_task(self, task: str) -> tuple[Stage | None, int]:
        """Returns the step of a task, if it is known, and the task's index in it."""
        name = parse_task_name(task)
        if name is None:
            return None, 0
        job = self.job_by_id.get(name.job_id)
        if job and not job.phase.is_final:
            job.open_occurrence(name.occurrence)
        key = stage_key(name.job_id, name.occurrence, name.step)
        return self.stage(key), name.index
