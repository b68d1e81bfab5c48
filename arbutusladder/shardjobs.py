"""Jobs and workers of one shard, as run by the shard's owner.

`ShardJobs` connects the task controller, the worker clients, the submissions and the
recorder of ends, and runs the curio task of the shard. It owns the final answers of
removed jobs and the events on which cancellations wait. The state of active jobs, tasks
and workers belongs to `TaskController`.
"""

from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from typing import Any

import curio

from arbutusladder.clock import Clock
from arbutusladder.declarations import Preset, Team
from arbutusladder.endrecorder import Ack, AppendFunction, EndRecorder
from arbutusladder.errors import HttpError
from arbutusladder.events import (
    SHARD_REBUILT,
    WORKER_RESPONSIVE,
    WORKER_UNRESPONSIVE,
)
from arbutusladder.ids import JobId, ShardId, TaskId, TeamName, VmId
from arbutusladder.jobs import Job, job_id_of
from arbutusladder.journal import Journal
from arbutusladder.leases import (
    LeaseTable,
    LeaseTerms,
    WorkerState,
    previous_leases_end,
)
from arbutusladder.messages import (
    Acknowledgement,
    JobAnswer,
    JobEnded,
    JobSpec,
    ShardSummary,
    StartTask,
    SubmitAnswer,
    TaskAction,
    VmRecord,
    WorkerExchange,
    WorkerReport,
)
from arbutusladder.metrics import Metrics
from arbutusladder.policies import Policy, replace_policy
from arbutusladder.settings import Timing
from arbutusladder.states import (
    JobState,
    Outcome,
    Reason,
    TaskState,
    Urgency,
    VmState,
)
from arbutusladder.submissions import Submissions
from arbutusladder.taskcontrol import TaskController
from arbutusladder.workerclients import WorkerClients

MAX_DECISIONS_PER_ROUND = 500
# Pause after each round of decisions, in which further events accumulate.
ROUND_PAUSE_S = 0.005
# Longest time between two rounds.
ROUND_INTERVAL_S = 0.25
# Longest time that a rebuild waits for the reports of workers.
REBUILD_READ_TIMEOUT_S = 1.0
# Interval between checks while a rebuild waits for reports or a stop for records.
POLL_INTERVAL_S = 0.01
# Longest time that a cancellation waits until the end of its job is on the log.
CANCEL_CONFIRM_TIMEOUT_S = 1.0
# Longest times that a stop waits for exchanges in progress, and for records of ends.
CLIENT_STOP_TIMEOUT_S = 2.5
ENDS_STOP_TIMEOUT_S = 2.0
CLIENT_RESTART_S = 1.0
# Final answers of removed jobs that are kept for queries and repeated submissions.
MAX_FINAL_ANSWERS = 10_000


@dataclass
class ShardHandover:
    """State with which a successor continues without waiting for leases to expire.

    Attributes:
        jobs: Jobs that have not ended.
        ended_tasks: Tasks of these jobs that have ended.
        started_tasks: Tasks that may have been started and that have not ended.
        ended_jobs: Ends of jobs that are not confirmed on the log.
    """

    jobs: list[JobSpec] = field(default_factory=list)
    ended_tasks: list[TaskId] = field(default_factory=list)
    started_tasks: list[TaskId] = field(default_factory=list)
    ended_jobs: list[JobEnded] = field(default_factory=list)


class ShardJobs:
    """Runs the jobs of one shard on its workers.

    Call ``set_workers``, spawn ``run``, then call ``rebuild``. Nothing is sent to a
    worker before ``rebuild`` is called, and no task is placed before it returns.

    Args:
        shard: The shard.
        policy: Decides which task starts where.
        append: Appends one record to the stream of jobs.
        metrics: Counters.
        clock: Monotonic and wall clock time.
        timing: Intervals and timeouts.
        valid_until: Returns the monotonic end of the owner's validity in seconds.
        journal: Event log.
    """

    def __init__(
        self,
        shard: ShardId,
        policy: Policy,
        append: AppendFunction,
        metrics: Metrics,
        clock: Clock,
        timing: Timing,
        valid_until: Callable[[], float],
        journal: Journal,
    ):
        self.shard = shard
        self._clock = clock
        self._valid_until = valid_until
        self._journal = journal
        terms = LeaseTerms(timing.task_lease_s, timing.clock_skew_s)
        self._lease_table = LeaseTable(terms)
        self._control = TaskController(
            policy, self._lease_table, self, metrics, journal
        )
        self._end_recorder = EndRecorder(append, self._end_confirmed)
        self._clients = WorkerClients(
            self, self._lease_table, timing, clock, metrics, journal, valid_until
        )
        self._submissions = Submissions(
            shard,
            self._control,
            self._end_recorder,
            append,
            clock,
            metrics,
            journal,
            self._release_held_starts,
        )
        self._end_recorded_events: dict[JobId, curio.Event] = {}
        self._final_answers: OrderedDict[JobId, JobAnswer] = OrderedDict()
        self._wake = curio.Event()
        self._jobs_loaded = False
        self._next_client_sync_at = float("-inf")
        self._placement_enabled = False
        self._stopping = False
        self._stopped = False

    # Workers

    def set_workers(self, vm_records: Iterable[VmRecord]) -> None:
        """Sets the shard's workers from the VM list.

        Workers that are no longer in the list count as removed.
        """
        now = self._clock.now()
        records = {record.id: record for record in vm_records}
        for record in records.values():
            self._set_worker(record, now)
        for vm, worker in self._control.workers_by_id.items():
            if vm not in records and not worker.removed:
                worker.removed = True
                self._withdraw_starts(worker, now)

    def set_drain(self, vm: VmId, draining: bool) -> None:
        """Starts or ends an operator's drain of a worker."""
        worker = self._control.workers_by_id.get(vm)
        if worker:
            worker.draining = draining
            self._worker_changed(worker, self._clock.now())

    def _set_worker(self, record: VmRecord, now: float) -> None:
        worker = self._control.workers_by_id.get(record.id)
        if worker is None:
            worker = self._control.workers_by_id[record.id] = WorkerState(record)
        worker.record = record
        worker.removed = False
        worker.leaving_in_vm_list = record.state is VmState.LEAVING
        self._worker_changed(worker, now)

    def _worker_changed(self, worker: WorkerState, now: float) -> None:
        if not worker.is_available:
            self._withdraw_starts(worker, now)
        if worker.is_leaving and worker.has_reported and not worker.silent:
            self._control.checkpoint_tasks(worker, now)
        self._update_policy(worker, now)

    def _withdraw_starts(self, worker: WorkerState, now: float) -> None:
        task_ids = self._clients.withdraw_starts(worker.vm)
        task_ids += self._submissions.withdraw_worker_starts(worker.vm)
        self._control.revert_unsent_starts(worker, task_ids, now)
        self._update_policy(worker, now)

    def _update_policy(self, worker: WorkerState, now: float) -> None:
        record = worker.record
        policy_view = (worker.is_available, record.resources, record.rack)
        if worker.reported_to_policy != policy_view:
            worker.reported_to_policy = policy_view
            self._control.decision_needed = True
            self._control.policy.worker_changed(
                worker.vm, record.resources, record.rack, worker.is_available, now
            )

    # Callbacks of the worker clients

    async def worker_reported(
        self, vm: VmId, sent: WorkerExchange, sent_at: float, report: WorkerReport
    ) -> None:
        """Applies a worker's report; called by the worker's client.

        Args:
            vm: The worker.
            sent: The exchange that the report answers.
            sent_at: Monotonic time in seconds just before the exchange was sent.
            report: The report.
        """
        worker = self._control.workers_by_id.get(vm)
        if worker is None:
            return
        now = self._clock.now()
        if worker.silent:
            self._journal.write(WORKER_RESPONSIVE, worker=vm)
        self._control.apply_report(worker, sent, sent_at, report, now)
        worker.leaving = report.leaving
        self._worker_changed(worker, now)
        await self._flush_and_wake()

    async def worker_failed(
        self, vm: VmId, sent: WorkerExchange | None, error: HttpError
    ) -> None:
        """Marks a worker as silent; called by the worker's client.

        Args:
            vm: The worker.
            sent: What may have reached the worker; none when nothing was sent.
            error: Why the exchange failed.
        """
        worker = self._control.workers_by_id.get(vm)
        if worker is None:
            return
        now = self._clock.now()
        if not worker.silent:
            self._journal.write(WORKER_UNRESPONSIVE, worker=vm, error=str(error))
        self._control.lost_tasks.handle_failed_exchange(worker, sent, now)
        self._worker_changed(worker, now)
        await self._flush_and_wake()

    # Interface `TaskOutbox` of the task controller

    def queue_start(self, vm: VmId, start: StartTask, urgent: bool) -> None:
        """Queues a start, or holds it until its job is on the log."""
        if not self._submissions.hold_start(vm, start):
            self._clients.start(vm, start, urgent)

    def withdraw_start(self, vm: VmId, task_id: TaskId) -> bool:
        """Removes a start that was not sent; returns whether there was one."""
        held = self._submissions.withdraw_start(task_id)
        return held or self._clients.withdraw(vm, task_id)

    def queue_action(self, vm: VmId, action: TaskAction, urgent: bool) -> None:
        """Queues an action on a running task for its worker."""
        self._clients.act(vm, action, urgent)

    def acknowledge(self, vm: VmId, task_id: TaskId) -> None:
        """Queues the acknowledgement of an ended task."""
        self._clients.acknowledge(vm, task_id)

    def record_end(self, record: Any, acks: list[Ack]) -> None:
        """Queues the record of an end, to be appended after the record of its job."""
        if not self._submissions.defer_end(record):
            self._end_recorder.add(record, acks)

    def job_removed(self, job: Job) -> None:
        """Keeps the final answer of a job that is about to be removed."""
        self._final_answers[job.spec.job_id] = self._job_answer(job, False)
        while len(self._final_answers) > MAX_FINAL_ANSWERS:
            self._final_answers.popitem(last=False)

    async def _end_confirmed(self, record: Any, acks: list[Ack]) -> None:
        self._control.acknowledge(acks)
        if isinstance(record, JobEnded):
            self._control.job_end_recorded(record.job_id)
            event = self._end_recorded_events.pop(record.job_id, None)
            if event:
                await event.set()

    # Jobs

    async def submit(self, job: JobSpec) -> SubmitAnswer:
        """Accepts or refuses a job; submitting the same job again is safe.

        A durable job is accepted once its record is confirmed on the log. The starts
        of its tasks are held until then.

        Returns:
            The outcome, with a reason when the job is refused.
        """
        problem = self._submit_refusal()
        if problem:
            return self._submissions.refuse(job, problem)
        ended = self._final_answers.get(job.job_id)
        if ended:
            refused = ended.state == JobState.REFUSED.value
            outcome = Outcome.NOT_RUN if refused else Outcome.DONE
            return SubmitAnswer("", outcome, job.job_id, ended.reason)
        await self._wake.set()
        return await self._submissions.submit(job)

    def adopt_job(
        self, job: JobSpec, started_tasks: frozenset[TaskId] | None = None
    ) -> None:
        """Adds a job that appears on the log after the rebuild.

        Does nothing for a known job.

        Args:
            job: The job.
            started_tasks: Tasks that may have been started; none when that is
                not known.
        """
        if self._control.table.job(job.job_id) is None:
            now = self._clock.now()
            self._control.takeover.adopt_job(job, started_tasks, now)

    def movable_jobs(self) -> list[JobSpec]:
        """Returns the waiting jobs that can move to another shard.

        These are durable and idempotent jobs of which no task can have run.
        """
        jobs = self._control.table.jobs_by_id.values()
        return [job.spec for job in jobs if self._is_movable(job)]

    def remove_if_movable(self, job_id: JobId) -> JobSpec | None:
        """Removes a job so that it can move to another shard.

        Returns:
            The job, or none when it is unknown or can no longer move.
        """
        job = self._control.table.job(job_id)
        if job is None or not self._is_movable(job):
            return None
        self._control.table.remove(job_id)
        self._control.policy.cancel(job_id, self._clock.now())
        self._control.policy.remove_job(job_id)
        return job.spec

    def _is_movable(self, job: Job) -> bool:
        spec = job.spec
        if job.is_final or spec.service or not (spec.durable and spec.idempotent):
            return False
        if job.previously_started is None or job.previously_started:
            return False
        if job.counts[TaskState.WAITING] != spec.tasks:
            return False
        return not any(task.may_have_run for task in job.tasks_by_id.values())

    async def cancel(self, job_id: JobId) -> Acknowledgement:
        """Cancels a job and stops its tasks.

        Returns:
            Whether the job is known. The reason is ``log_unavailable`` when it is
            cancelled here but the cancellation is not confirmed on the log yet.
        """
        job = self._control.table.job(job_id)
        if job is None:
            known = job_id in self._final_answers
            reason = "" if known else Reason.UNKNOWN_JOB.value
            return Acknowledgement("", known, reason)
        now = self._clock.now()
        self._control.end_job(job_id, JobState.CANCELLED, Reason.CANCELLED, now)
        await self._flush_and_wake()
        if await self._wait_for_end_record(job):
            return Acknowledgement("", True)
        return Acknowledgement("", True, Reason.LOG_UNAVAILABLE.value)

    def query(self, job_id: JobId, explain: bool = False) -> JobAnswer:
        """Returns the state of a job.

        Args:
            job_id: The job.
            explain: Whether to add why the job is in its state.
        """
        job = self._control.table.job(job_id)
        if job:
            return self._job_answer(job, explain)
        unknown = JobAnswer("", False, job_id, reason=Reason.UNKNOWN_JOB.value)
        return self._final_answers.get(job_id, unknown)

    def set_preset(self, preset: Preset, teams: dict[TeamName, Team]) -> None:
        """Applies a preset and teams, which may replace the policy."""
        self._control.policy = replace_policy(
            self._control.policy, preset, teams, self._clock.now()
        )

    def summary(self) -> ShardSummary:
        """Returns the free capacity of the workers; the caller sets the epoch."""
        free = self._control.policy.summary()
        workers = self._control.workers_by_id.values()
        free_cores = [
            worker.record.resources.cpu - worker.reserved.cpu
            for worker in workers
            if worker.is_available
        ]
        return ShardSummary(
            self.shard,
            0,
            free_cpu=free.cpu,
            free_memory_mb=free.memory_mb,
            free_accelerators=free.accelerators,
            largest_free_cpu=max(free_cores, default=0.0),
            queued_tasks=self._control.table.counts[TaskState.WAITING],
        )

    def _submit_refusal(self) -> Reason | None:
        if self._stopping:
            return Reason.DRAINING
        if not self._placement_enabled:
            return Reason.STARTING
        if self._clock.now() >= self._valid_until():
            return Reason.OWNERSHIP_EXPIRED
        return None

    async def _release_held_starts(
        self, job: JobSpec, held: list[tuple[VmId, StartTask]]
    ) -> None:
        for vm, start in held:
            self.queue_start(vm, start, job.urgency is Urgency.URGENT)
        await self._flush_and_wake()

    async def _wait_for_end_record(self, job: Job) -> bool:
        event = self._end_recorded_events.setdefault(job.spec.job_id, curio.Event())
        async with curio.ignore_after(CANCEL_CONFIRM_TIMEOUT_S):
            if not job.end_recorded:
                await event.wait()
        return job.end_recorded

    def _job_answer(self, job: Job, explain: bool) -> JobAnswer:
        counts = {state.value: n for state, n in job.counts.items() if n}
        workers = {task.vm for task in job.tasks_by_id.values() if task.vm}
        lines = self._explain(job.spec.job_id) if explain else []
        return JobAnswer(
            "",
            True,
            job.spec.job_id,
            job.state.value,
            counts,
            sorted(workers),
            lines,
            job.reason,
        )

    def _explain(self, job_id: JobId) -> list[str]:
        if self._control.takeover.is_deferred(job_id):
            return [
                "a task may still run on a worker without a report since the takeover",
                "it starts when that worker reports or its leases have expired",
            ]
        explanation = self._control.policy.explain(job_id, self._clock.now())
        return explanation.lines() if explanation else []

    # Takeover and handover

    async def rebuild(
        self,
        active_jobs: Iterable[JobSpec],
        ended_tasks: Collection[TaskId],
        previous_owner_valid_until_wall: float,
        started_tasks: Collection[TaskId] | None = None,
        unlisted: Collection[VmId] = (),
        ended_jobs: Iterable[JobEnded] = (),
    ) -> None:
        """Takes over the shard and reads the running tasks from all workers.

        No task is placed before every worker has answered or the read has timed out.

        Args:
            active_jobs: Jobs of the shard that have not ended.
            ended_tasks: Their tasks that have ended.
            previous_owner_valid_until_wall: Latest wall clock time in seconds at which
                the validity of the previous owner ends.
            started_tasks: From a handover, the tasks that may have been started;
                none when that is not known, and all tasks then count as started.
                A task that is not idempotent, may have been started and is not
                found on any worker is never started again.
            unlisted: Workers that left the VM list less than the duration of a lease
                ago.
            ended_jobs: From a handover, ends of active jobs that are not on the log
                yet.
        """
        now = self._clock.now()
        self._control.previous_owner_until = previous_leases_end(
            previous_owner_valid_until_wall,
            self._clock.wall_time(),
            now,
            self._lease_table.terms,
        )
        ended_by_job: dict[JobId, list[TaskId]] = {}
        for task_id in ended_tasks:
            ended_by_job.setdefault(job_id_of(task_id), []).append(task_id)
        started = None if started_tasks is None else frozenset(started_tasks)
        for spec in active_jobs:
            ended = ended_by_job.get(spec.job_id, [])
            self._control.takeover.load_job(spec, ended, started)
        for end in ended_jobs:
            self._control.end_job(end.job_id, end.state, end.reason, now)
        self._jobs_loaded = True
        await self._wake.set()
        unread = await self._read_workers(now + REBUILD_READ_TIMEOUT_S)
        until = self._control.previous_owner_until if unread or unlisted else None
        self._control.takeover.resolve_missing_tasks(until, self._clock.now())
        self._placement_enabled = True
        self._journal.write(
            SHARD_REBUILT,
            shard=self.shard,
            jobs=len(self._control.table.jobs_by_id),
            found=self._control.table.counts[TaskState.RUNNING],
            unread=unread + len(unlisted),
        )
        await self._flush_and_wake()

    async def _read_workers(self, deadline: float) -> int:
        while True:
            workers = self._control.workers_by_id.values()
            unread = sum(not worker.has_reported for worker in workers)
            if not unread or self._clock.now() >= deadline:
                return unread
            await curio.sleep(POLL_INTERVAL_S)

    async def stop(self) -> None:
        """Stops placing tasks, finishes exchanges and records, and closes connections.

        When it returns, nothing that was sent can take effect any more. If replies
        were lost, this takes at most until the owner's validity ends.
        """
        self._placement_enabled = False
        self._stopping = True
        now = self._clock.now()
        for worker in list(self._control.workers_by_id.values()):
            self._withdraw_starts(worker, now)
        await self._clients.finish(CLIENT_STOP_TIMEOUT_S)
        # A start without a reply may still be in transit. A successor that reads the
        # workers' tasks before it arrives would place the task again.
        remaining = self._lease_table.unconfirmed_until() - self._clock.now()
        await curio.sleep(max(0.0, remaining))
        async with curio.ignore_after(ENDS_STOP_TIMEOUT_S):
            while len(self._end_recorder):
                await self._end_recorder.wake()
                await curio.sleep(POLL_INTERVAL_S)
        self._stopped = True
        await self._wake.set()

    def export_handover(self) -> ShardHandover:
        """Returns the state for a successor; call it after ``stop``."""
        handover = ShardHandover()
        for job in self._control.table.jobs_by_id.values():
            if job.is_final:
                if not job.end_recorded:
                    end = JobEnded(job.spec.job_id, job.state, job.reason)
                    handover.ended_jobs.append(end)
                continue
            handover.jobs.append(job.spec)
            for task in job.tasks_by_id.values():
                if task.state is TaskState.ENDED:
                    handover.ended_tasks.append(task.task_id)
                elif task.may_have_run:
                    handover.started_tasks.append(task.task_id)
        return handover

    # The curio task

    async def run(self) -> None:
        """Runs until ``stop`` has ended or the task is cancelled."""
        recorder_task = await curio.spawn(self._end_recorder.run, daemon=True)
        try:
            while not self._stopped:
                await self._run_round()
        finally:
            await recorder_task.cancel()
            await self._clients.cancel()

    async def _run_round(self) -> None:
        self._wake.clear()
        now = self._clock.now()
        if (
            self._jobs_loaded
            and not self._stopping
            and now >= self._next_client_sync_at
        ):
            self._next_client_sync_at = now + ROUND_INTERVAL_S
            await self._sync_clients()
        for vm in self._control.lost_tasks.expire_blocks(now):
            self._clients.request_report(vm)
        if self._placement_enabled and now < self._valid_until():
            await self._run_decisions(now)
        await self._flush()
        await curio.sleep(ROUND_PAUSE_S)
        delay = min(
            ROUND_INTERVAL_S, self._control.blocked.next_expiry() - self._clock.now()
        )
        async with curio.ignore_after(max(0.0, delay)):
            await self._wake.wait()

    async def _sync_clients(self) -> None:
        workers = list(self._control.workers_by_id.values())
        now = self._clock.now()
        for vm in await self._clients.sync_workers(workers):
            self._control.lost_tasks.block_worker_tasks(
                self._control.workers_by_id[vm], now
            )
        for worker in workers:
            if (
                worker.removed
                and not worker.reserved_by_task
                and worker.vm not in self._clients
            ):
                self._control.policy.worker_removed(worker.vm, now)
                del self._control.workers_by_id[worker.vm]

    async def _run_decisions(self, now: float) -> None:
        if self._control.decide(now, MAX_DECISIONS_PER_ROUND):
            await self._wake.set()

    async def _flush_and_wake(self) -> None:
        await self._flush()
        # After a report without changes the next decision can wait for the next round.
        if self._control.decision_needed:
            await self._wake.set()

    async def _flush(self) -> None:
        await self._clients.flush()
        await self._end_recorder.wake()
