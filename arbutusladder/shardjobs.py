"""The job side of one shard: its jobs, its workers and the log of ends."""

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
    WORKER_ANSWERS,
    WORKER_SILENT,
)
from arbutusladder.ids import JobId, ShardId, TaskId, TeamName, VmId
from arbutusladder.jobs import Job, job_id_of
from arbutusladder.journal import Journal
from arbutusladder.leases import LeaseTable, LeaseTerms, WorkerView, blocked_until
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

DECISIONS_PER_ROUND = 500
DECIDE_PAUSE_S = 0.005
ROUND_S = 0.25
REBUILD_READ_S = 1.0
REBUILD_POLL_S = 0.01
CANCEL_CONFIRM_S = 1.0
CLIENT_STOP_S = 2.5
ENDS_STOP_S = 2.0
CLIENT_RESTART_S = 1.0
ENDED_JOBS_KEPT = 10_000


@dataclass
class ShardHandover:
    """What a successor needs to go on without waiting.

    Attributes:
        jobs: Jobs that have not ended.
        ended_tasks: Tasks of these jobs that have ended.
        started_tasks: Tasks that may have been started and have not ended.
        ended_jobs: Ends that are not confirmed on the log.
    """

    jobs: list[JobSpec] = field(default_factory=list)
    ended_tasks: list[TaskId] = field(default_factory=list)
    started_tasks: list[TaskId] = field(default_factory=list)
    ended_jobs: list[JobEnded] = field(default_factory=list)


class ShardJobs:
    """Owns the jobs of one shard and the control of its workers.

    Call ``set_workers``, spawn ``run``, then ``rebuild``; nothing is sent to a
    worker before ``rebuild``, and nothing is placed before it has returned.

    Args:
        shard: The shard.
        policy: Decides which task starts where.
        append: Appends one record to the stream of jobs.
        metrics: Counters.
        clock: Time.
        timing: Intervals and limits.
        valid_until: Returns the monotonic end of the owner's validity.
        journal: Log of events.
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
        self._book = LeaseTable(terms)
        self._control = TaskController(policy, self._book, self, metrics, journal)
        self._ends = EndRecorder(append, self._end_confirmed)
        self._clients = WorkerClients(
            self, self._book, timing, clock, metrics, journal, valid_until
        )
        self._submissions = Submissions(
            shard,
            self._control,
            self._ends,
            append,
            clock,
            metrics,
            journal,
            self._submission_confirmed,
        )
        self._end_events: dict[JobId, curio.Event] = {}
        self._recent: OrderedDict[JobId, JobAnswer] = OrderedDict()
        self._wake = curio.Event()
        self._loaded = False
        self._match_at = float("-inf")
        self._placing = False
        self._stopping = False
        self._stopped = False

    # Workers

    def set_workers(self, vm_records: Iterable[VmRecord]) -> None:
        """Takes the shard's workers from the VM list; missing ones are gone."""
        now = self._clock.now()
        records = {record.id: record for record in vm_records}
        for record in records.values():
            self._set_worker(record, now)
        for vm, worker in self._control.workers_by_id.items():
            if vm not in records and not worker.removed:
                worker.removed = True
                self._withhold(worker, now)

    def set_drain(self, vm: VmId, draining: bool) -> None:
        """Starts or ends an operator's drain of a worker."""
        worker = self._control.workers_by_id.get(vm)
        if worker:
            worker.draining = draining
            self._update(worker, self._clock.now())

    def _set_worker(self, record: VmRecord, now: float) -> None:
        worker = self._control.workers_by_id.get(record.id)
        if worker is None:
            worker = self._control.workers_by_id[record.id] = WorkerView(record)
        worker.record = record
        worker.removed = False
        worker.listed_leaving = record.state is VmState.LEAVING
        self._update(worker, now)

    def _update(self, worker: WorkerView, now: float) -> None:
        if not worker.is_available:
            self._withhold(worker, now)
        if worker.is_leaving and worker.is_read and not worker.silent:
            self._control.move_away(worker, now)
        self._tell_policy(worker, now)

    def _withhold(self, worker: WorkerView, now: float) -> None:
        task_ids = self._clients.withdraw_starts(worker.vm)
        task_ids += self._submissions.withdraw_worker(worker.vm)
        self._control.take_back(worker, task_ids, now)
        self._tell_policy(worker, now)

    def _tell_policy(self, worker: WorkerView, now: float) -> None:
        record = worker.record
        told = (worker.is_available, record.resources, record.rack)
        if worker.told != told:
            worker.told = told
            self._control.has_news = True
            self._control.policy.worker_changed(
                worker.vm, record.resources, record.rack, worker.is_available, now
            )

    # Reports of the clients

    async def worker_reported(
        self, vm: VmId, sent: WorkerExchange, sent_at: float, report: WorkerReport
    ) -> None:
        """Applies a report; called by the worker's client."""
        worker = self._control.workers_by_id.get(vm)
        if worker is None:
            return
        now = self._clock.now()
        if worker.silent:
            self._journal.write(WORKER_ANSWERS, worker=vm)
        self._control.take_report(worker, sent, sent_at, report, now)
        worker.leaving = report.leaving
        self._update(worker, now)
        await self._changed()

    async def worker_failed(
        self, vm: VmId, sent: WorkerExchange | None, error: HttpError
    ) -> None:
        """Treats a worker as silent; called by the worker's client."""
        worker = self._control.workers_by_id.get(vm)
        if worker is None:
            return
        now = self._clock.now()
        if not worker.silent:
            self._journal.write(WORKER_SILENT, worker=vm, error=str(error))
        self._control.losses.exchange_failed(worker, sent, now)
        self._update(worker, now)
        await self._changed()

    # What the tasks' control sends

    def start(self, vm: VmId, start: StartTask, urgent: bool) -> None:
        """Queues a start, or holds it until its job is on the log."""
        if not self._submissions.hold(vm, start):
            self._clients.start(vm, start, urgent)

    def withdraw(self, vm: VmId, task_id: TaskId) -> bool:
        """Returns whether a start was not sent yet, and removes it."""
        held = self._submissions.withdraw(task_id)
        return held or self._clients.withdraw(vm, task_id)

    def act(self, vm: VmId, action: TaskAction, urgent: bool) -> None:
        """Queues an action."""
        self._clients.act(vm, action, urgent)

    def acknowledge(self, vm: VmId, task_id: TaskId) -> None:
        """Queues an acknowledgement."""
        self._clients.acknowledge(vm, task_id)

    def record(self, record: Any, acks: list[Ack]) -> None:
        """Queues an end for the log, after the record of its job."""
        if not self._submissions.keep_end(record):
            self._ends.add(record, acks)

    def job_at_rest(self, job: Job) -> None:
        """Keeps the last answer of a job that is dropped."""
        self._recent[job.spec.job_id] = self._answer(job, False)
        while len(self._recent) > ENDED_JOBS_KEPT:
            self._recent.popitem(last=False)

    async def _end_confirmed(self, record: Any, acks: list[Ack]) -> None:
        self._control.acknowledge(acks)
        if isinstance(record, JobEnded):
            self._control.job_end_recorded(record.job_id)
            event = self._end_events.pop(record.job_id, None)
            if event:
                await event.set()

    # Jobs

    async def submit(self, job: JobSpec) -> SubmitAnswer:
        """Accepts a job, or says why not.

        A durable job is accepted once its record is confirmed on the log; its
        starts are held until then.
        """
        problem = self._submit_problem()
        if problem:
            return self._submissions.refuse(job, problem)
        ended = self._recent.get(job.job_id)
        if ended:
            refused = ended.state == JobState.REFUSED.value
            outcome = Outcome.NOT_RUN if refused else Outcome.DONE
            return SubmitAnswer("", outcome, job.job_id, ended.reason)
        await self._wake.set()
        return await self._submissions.submit(job)

    def adopt_job(
        self, job: JobSpec, started_tasks: frozenset[TaskId] | None = None
    ) -> None:
        """Takes a job that appears on the log after the rebuild.

        Args:
            job: The job.
            started_tasks: Tasks that may have been started; none when that is
                not known.
        """
        if self._control.table.job(job.job_id) is None:
            now = self._clock.now()
            self._control.takeover.adopt_job(job, started_tasks, now)

    def movable_jobs(self) -> list[JobSpec]:
        """Returns the waiting jobs of which no task can have run."""
        jobs = self._control.table.jobs_by_id.values()
        return [job.spec for job in jobs if self._is_movable(job)]

    def remove_if_movable(self, job_id: JobId) -> JobSpec | None:
        """Removes a job that moves to another shard, if it still may move."""
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
            Reason ``log_unavailable`` when the job is cancelled here, but the
            cancellation is not confirmed on the log yet.
        """
        job = self._control.table.job(job_id)
        if job is None:
            known = job_id in self._recent
            reason = "" if known else Reason.UNKNOWN_JOB.value
            return Acknowledgement("", known, reason)
        now = self._clock.now()
        self._control.end_job(job_id, JobState.CANCELLED, Reason.CANCELLED, now)
        await self._changed()
        if await self._wait_for_end_record(job):
            return Acknowledgement("", True)
        return Acknowledgement("", True, Reason.LOG_UNAVAILABLE.value)

    def query(self, job_id: JobId, explain: bool = False) -> JobAnswer:
        """Returns what is known of a job."""
        job = self._control.table.job(job_id)
        if job:
            return self._answer(job, explain)
        unknown = JobAnswer("", False, job_id, reason=Reason.UNKNOWN_JOB.value)
        return self._recent.get(job_id, unknown)

    def use_preset(self, preset: Preset, teams: dict[TeamName, Team]) -> None:
        """Puts a preset and teams into force, with another policy if it says so."""
        self._control.policy = replace_policy(
            self._control.policy, preset, teams, self._clock.now()
        )

    def summary(self) -> ShardSummary:
        """Returns the free capacity; the caller sets the epoch."""
        free = self._control.policy.summary()
        workers = self._control.workers_by_id.values()
        cores = [
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
            largest_free_cpu=max(cores, default=0.0),
            queued_tasks=self._control.table.counts[TaskState.WAITING],
        )

    def _submit_problem(self) -> Reason | None:
        if self._stopping:
            return Reason.DRAINING
        if not self._placing:
            return Reason.STARTING
        if self._clock.now() >= self._valid_until():
            return Reason.OWNERSHIP_EXPIRED
        return None

    async def _submission_confirmed(
        self, job: JobSpec, held: list[tuple[VmId, StartTask]]
    ) -> None:
        for vm, start in held:
            self.start(vm, start, job.urgency is Urgency.URGENT)
        await self._changed()

    async def _wait_for_end_record(self, job: Job) -> bool:
        event = self._end_events.setdefault(job.spec.job_id, curio.Event())
        async with curio.ignore_after(CANCEL_CONFIRM_S):
            if not job.end_recorded:
                await event.wait()
        return job.end_recorded

    def _answer(self, job: Job, explain: bool) -> JobAnswer:
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
                "a task may still run on a worker that was not read after a takeover",
                "it starts when that worker answers or its leases have expired",
            ]
        found = self._control.policy.explain(job_id, self._clock.now())
        return found.lines() if found else []

    # Takeover and handover

    async def rebuild(
        self,
        live_jobs: Iterable[JobSpec],
        ended_tasks: Collection[TaskId],
        old_owner_valid_until_wall: float,
        started_tasks: Collection[TaskId] | None = None,
        unlisted: Collection[VmId] = (),
        ended_jobs: Iterable[JobEnded] = (),
    ) -> None:
        """Takes over the shard; nothing is placed before every worker was asked.

        Args:
            live_jobs: Jobs of the shard that have not ended.
            ended_tasks: Their tasks that have ended.
            old_owner_valid_until_wall: Wall clock time when the validity of the
                previous owner has ended at the latest.
            started_tasks: From a handover, the tasks that may have been started;
                none when that is not known; all of them count as started then.
                A task that is not idempotent, may have been started and is
                found nowhere is never started again.
            unlisted: Workers that left the VM list less than a lease ago.
            ended_jobs: From a handover, ends of live jobs that are not on the
                log yet.
        """
        now = self._clock.now()
        self._control.previous_owner_until = blocked_until(
            old_owner_valid_until_wall, self._clock.wall(), now, self._book.terms
        )
        ended_by_job: dict[JobId, list[TaskId]] = {}
        for task_id in ended_tasks:
            ended_by_job.setdefault(job_id_of(task_id), []).append(task_id)
        started = None if started_tasks is None else frozenset(started_tasks)
        for spec in live_jobs:
            ended = ended_by_job.get(spec.job_id, [])
            self._control.takeover.load_job(spec, ended, started)
        for end in ended_jobs:
            self._control.end_job(end.job_id, end.state, end.reason, now)
        self._loaded = True
        await self._wake.set()
        unread = await self._read_workers(now + REBUILD_READ_S)
        until = self._control.previous_owner_until if unread or unlisted else None
        self._control.takeover.resolve_missing_tasks(until, self._clock.now())
        self._placing = True
        self._journal.write(
            SHARD_REBUILT,
            shard=self.shard,
            jobs=len(self._control.table.jobs_by_id),
            found=self._control.table.counts[TaskState.RUNNING],
            unread=unread + len(unlisted),
        )
        await self._changed()

    async def _read_workers(self, limit: float) -> int:
        while True:
            views = self._control.workers_by_id.values()
            unread = sum(not worker.is_read for worker in views)
            if not unread or self._clock.now() >= limit:
                return unread
            await curio.sleep(REBUILD_POLL_S)

    async def stop(self) -> None:
        """Stops placing, lets exchanges and ends finish, closes connections.

        When it returns, nothing that was sent can take effect any more. That
        takes as long as the validity at most, when replies were lost.
        """
        self._placing = False
        self._stopping = True
        now = self._clock.now()
        for worker in list(self._control.workers_by_id.values()):
            self._withhold(worker, now)
        await self._clients.finish(CLIENT_STOP_S)
        # A start without a reply may still be on its way, and a successor that
        # reads the workers' lists before it arrives would place the task again.
        late = self._book.unresolved_until() - self._clock.now()
        await curio.sleep(max(0.0, late))
        async with curio.ignore_after(ENDS_STOP_S):
            while len(self._ends):
                await self._ends.wake()
                await curio.sleep(REBUILD_POLL_S)
        self._stopped = True
        await self._wake.set()

    def export_handover(self) -> ShardHandover:
        """Returns what a successor needs; call it after ``stop``."""
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

    # The curio tasks

    async def run(self) -> None:
        """Runs until ``stop`` has ended or the task is cancelled."""
        ends = await curio.spawn(self._ends.run, daemon=True)
        try:
            while not self._stopped:
                await self._round()
        finally:
            await ends.cancel()
            await self._clients.cancel()

    async def _round(self) -> None:
        self._wake.clear()
        now = self._clock.now()
        if self._loaded and not self._stopping and now >= self._match_at:
            self._match_at = now + ROUND_S
            await self._match_clients()
        for vm in self._control.losses.expire(now):
            self._clients.request_report(vm)
        if self._placing and now < self._valid_until():
            await self._place(now)
        await self._flush()
        await curio.sleep(DECIDE_PAUSE_S)
        delay = min(ROUND_S, self._control.blocked.next_end() - self._clock.now())
        async with curio.ignore_after(max(0.0, delay)):
            await self._wake.wait()

    async def _match_clients(self) -> None:
        workers = list(self._control.workers_by_id.values())
        now = self._clock.now()
        for vm in await self._clients.sync_workers(workers):
            self._control.losses.block_worker(self._control.workers_by_id[vm], now)
        for worker in workers:
            if worker.removed and not worker.given and worker.vm not in self._clients:
                self._control.policy.worker_removed(worker.vm, now)
                del self._control.workers_by_id[worker.vm]

    async def _place(self, now: float) -> None:
        if self._control.decide(now, DECISIONS_PER_ROUND):
            await self._wake.set()

    async def _changed(self) -> None:
        await self._flush()
        # A report that changes nothing needs no decision before the next round.
        if self._control.has_news:
            await self._wake.set()

    async def _flush(self) -> None:
        await self._clients.flush()
        await self._ends.wake()
