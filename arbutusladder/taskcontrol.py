"""Applies decisions, reports and losses to the tasks of one shard (pure)."""

from typing import Any, Protocol

from arbutusladder.decisions import (
    Checkpoint,
    Decision,
    Refuse,
    Resume,
    Start,
    Stop,
    Throttle,
)
from arbutusladder.endrecorder import Ack
from arbutusladder.events import JOB_ENDED, TASK_STRAY, WORKER_RESTARTED
from arbutusladder.ids import JobId, TaskId, VmId
from arbutusladder.jobs import Job, JobTable, Task, TaskEvent
from arbutusladder.journal import Journal
from arbutusladder.leases import BlockedTasks, LeaseTable, WorkerView
from arbutusladder.losttasks import LostTaskHandler
from arbutusladder.messages import (
    EndedTask,
    JobEnded,
    Resources,
    RunningTask,
    StartResult,
    StartTask,
    TaskAction,
    TasksEnded,
    WorkerExchange,
    WorkerReport,
)
from arbutusladder.metrics import Metrics
from arbutusladder.policies import Policy
from arbutusladder.states import (
    JobState,
    Reason,
    TaskActionKind,
    TaskEnd,
    TaskState,
    Urgency,
)
from arbutusladder.takeover import Takeover


class TaskOutbox(Protocol):
    """Where a `TaskControl` puts what it wants to send."""

    def start(self, vm: VmId, start: StartTask, urgent: bool) -> None:
        """Queues a start for a worker."""

    def withdraw(self, vm: VmId, task_id: TaskId) -> bool:
        """Returns whether a start was not sent yet, and removes it."""

    def act(self, vm: VmId, action: TaskAction, urgent: bool) -> None:
        """Queues an action for a worker."""

    def acknowledge(self, vm: VmId, task_id: TaskId) -> None:
        """Queues the acknowledgement of an ended task."""

    def record(self, record: Any, acks: list[Ack]) -> None:
        """Queues an end for the log; the acks follow its confirmation."""

    def job_at_rest(self, job: Job) -> None:
        """An ended job has no task that may run and needs no record any more."""


class TaskController:
    """Applies decisions, reports and losses to the tasks of one shard.

    It enforces, whatever the policy decides: a task is sent to a worker only
    when it cannot run anywhere, a task that is not idempotent only when it
    never may have run, and a worker is given no more than its capacity.
    """

    def __init__(
        self,
        policy: Policy,
        book: LeaseTable,
        post: TaskOutbox,
        metrics: Metrics,
        journal: Journal,
    ):
        self.policy = policy
        self.table = JobTable()
        self.workers_by_id: dict[VmId, WorkerView] = {}
        self.blocked = BlockedTasks()
        # Monotonic time when no task of the previous owner can run any more.
        self.previous_owner_until = 0.0
        # Whether anything has changed since the last decisions that could make
        # others possible.
        self.has_news = True
        self.takeover = Takeover(self)
        self.losses = LostTaskHandler(self)
        self.book = book
        self._post = post
        self.metrics = metrics
        self._journal = journal
        self._unacked: dict[Ack, int] = {}
        self._finished: dict[JobId, list[Ack]] = {}

    # Decisions

    def decide(self, now: float, limit: int) -> bool:
        """Carries out the decisions of the policy.

        Returns:
            Whether there may be more than ``limit`` decisions.
        """
        self.has_news = False
        decisions = self.policy.decide(now, limit)
        self.end_jobs_ended_by_policy(now)
        for decision in decisions:
            self.apply(decision, now)
        return len(decisions) >= limit

    def apply(self, decision: Decision, now: float) -> None:
        """Carries out one decision of the policy."""
        match decision:
            case Start():
                self._start(decision, now)
            case Throttle(task_id, vm, cpu):
                if self._act(task_id, vm, TaskActionKind.THROTTLE, cpu):
                    self.workers_by_id[vm].throttle(task_id, cpu)
            case Resume(task_id, vm):
                worker = self.workers_by_id.get(vm)
                if worker and worker.resume(task_id):
                    self._act(task_id, vm, TaskActionKind.RESUME)
            case Checkpoint(task_id, vm):
                self._act(task_id, vm, TaskActionKind.CHECKPOINT)
            case Stop(task_id, vm):
                task = self.table.task(task_id)
                if task and task.vm == vm:
                    self.stop_task(task, now)
            case Refuse(_, reason, _):
                self.metrics.refused(reason)

    def _start(self, decision: Start, now: float) -> None:
        task = self.table.task(decision.task_id)
        worker = self.workers_by_id.get(decision.vm)
        problem = self._start_problem(task, worker, decision)
        if problem:
            self.metrics.count(f"start_withheld.{problem.value}")
            self.policy.task_refused(decision.task_id, decision.vm, problem, now)
            return
        self.table.apply_event(task, TaskEvent.SENT)
        task.attempt += 1
        task.vm = worker.vm
        task.may_have_run = True
        worker.reserve(task.task_id, decision.resources)
        spec = self.table.job(task.job_id).spec
        start = StartTask(
            task.task_id,
            task.job_id,
            0.0,
            decision.resources,
            spec.command,
            task.attempt,
        )
        self._post.start(worker.vm, start, spec.urgency is Urgency.URGENT)

    def _start_problem(
        self, task: Task | None, worker: WorkerView | None, decision: Start
    ) -> Reason | None:
        job = self.table.job(decision.job_id)
        if task is None or job.is_final:
            return Reason.CANCELLED
        if task.state is not TaskState.WAITING or self.blocked.until(task.task_id):
            return Reason.WORKER_SILENT
        if task.may_have_run and not job.spec.idempotent:
            return Reason.NOT_IDEMPOTENT_RETRY
        if worker is None or not worker.is_available:
            return Reason.WORKER_SILENT
        if not worker.has_room(decision.resources):
            return Reason.NO_CAPACITY
        return None

    def _act(
        self, task_id: TaskId, vm: VmId, kind: TaskActionKind, cpu: float = 0.0
    ) -> bool:
        task = self.table.task(task_id)
        if task is None or task.vm != vm or task.state is not TaskState.RUNNING:
            return False
        self._post.act(vm, TaskAction(task_id, kind, cpu), urgent=True)
        return True

    def stop_task(self, task: Task, now: float) -> None:
        """Stops a task that may run, or takes back a start that was not sent."""
        if not task.may_run or task.vm is None:
            return
        worker = self.workers_by_id[task.vm]
        if self._post.withdraw(worker.vm, task.task_id):
            self.not_started(task, worker, Reason.CANCELLED, now)
            return
        self.table.apply_event(task, TaskEvent.STOP_REQUESTED)
        self.book.do_not_renew(task.task_id)
        self._post.act(
            worker.vm, TaskAction(task.task_id, TaskActionKind.STOP), urgent=True
        )

    # Reports

    def take_report(
        self,
        worker: WorkerView,
        sent: WorkerExchange,
        sent_at: float,
        report: WorkerReport,
        now: float,
    ) -> None:
        """Applies a worker's whole report.

        Args:
            worker: The worker.
            sent: The exchange that the report answers.
            sent_at: Monotonic time just before its exchange was sent.
            report: The report.
            now: Monotonic time in seconds.
        """
        restarted = worker.is_read and worker.boot != report.boot
        if restarted:
            self._journal.write(WORKER_RESTARTED, worker=worker.vm)
            self.metrics.count("worker.restarts")
        worker.silent = False
        for result in report.results:
            self._take_result(worker, result, now)
        for ended in report.ended:
            self._take_ended(worker, ended, now)
        worker.strays.clear()
        for running in report.tasks:
            self._take_running(worker, running, now)
        self.losses.report_taken(worker, sent, sent_at, report, now)
        worker.boot = report.boot
        worker.is_read = True
        self._record_finished()

    def _take_result(self, worker: WorkerView, result: StartResult, now: float) -> None:
        task = self.table.task(result.task_id)
        if task is None or task.vm != worker.vm or not task.may_run:
            return
        if result.started:
            self.metrics.count("task.starts")
            self._confirm_running(task, now)
        elif result.reason != "already_running":
            # A start that arrived too late is no fault of the worker.
            late = result.reason == Reason.LEASE_EXPIRED.value
            reason = Reason.LEASE_EXPIRED if late else Reason.WORKER_REFUSED
            self.metrics.refused(reason)
            self.not_started(task, worker, reason, now)

    def _take_ended(self, worker: WorkerView, ended: EndedTask, now: float) -> None:
        if self._unacked.get((worker.vm, ended.task_id)) == ended.attempt:
            return
        task = self.table.task(ended.task_id)
        here = task is not None and task.vm in {None, worker.vm}
        if not here or not self._is_news(task, ended):
            self._post.acknowledge(worker.vm, ended.task_id)
            return
        self.metrics.count(f"task.ends.{ended.end.value}")
        task.attempt = ended.attempt
        task.may_have_run = True
        self.over(task, worker, ended.end, ended.run_time_s, now)
        self._acknowledge_when_recorded(task, worker.vm, ended)

    def _is_news(self, task: Task, ended: EndedTask) -> bool:
        if task.may_run:
            return ended.attempt >= task.attempt
        return task.state is TaskState.WAITING and ended.attempt > task.attempt

    def _acknowledge_when_recorded(
        self, task: Task, vm: VmId, ended: EndedTask
    ) -> None:
        job = self.table.job(task.job_id)
        ack = (vm, task.task_id)
        if job is None or job.end_recorded or task.state is not TaskState.ENDED:
            self._post.acknowledge(*ack)
            return
        self._unacked[ack] = ended.attempt
        if job.is_final:
            job.unacknowledged_ends.append(ack)
        else:
            self._finished.setdefault(job.spec.job_id, []).append(ack)

    def _take_running(
        self, worker: WorkerView, running: RunningTask, now: float
    ) -> None:
        task = self.table.task(running.task_id)
        if task and task.vm == worker.vm and task.may_run:
            if task.state is TaskState.RUNNING and running.usage == task.usage:
                return
            was_blocked = task.state is TaskState.BLOCKED
            self._confirm_running(task, now)
            # Usage lags: a task without any has not been measured yet.
            measured = running.usage not in (task.usage, Resources())
            if was_blocked or measured:
                task.usage = running.usage
                self.policy.usage_reported(task.task_id, running.usage, now)
        elif task and task.vm is None and self._can_adopt(task):
            self.adopt(task, worker, running, now)
        else:
            self._stop_stray(worker, running)

    def _can_adopt(self, task: Task) -> bool:
        waits = task.state in {TaskState.WAITING, TaskState.BLOCKED}
        return waits and not self.table.job(task.job_id).is_final

    def _confirm_running(self, task: Task, now: float) -> None:
        self.book.confirm(task.task_id)
        self.blocked.unblock(task.task_id)
        self.workers_by_id[task.vm].lost_starts.pop(task.task_id, None)
        if task.state is TaskState.STOPPING:
            self._post.act(
                task.vm, TaskAction(task.task_id, TaskActionKind.STOP), urgent=True
            )
            return
        if task.state is not TaskState.RUNNING:
            self.table.apply_event(task, TaskEvent.FOUND)
            self.policy.task_started(task.task_id, task.vm, now)

    def adopt(
        self, task: Task, worker: WorkerView, running: RunningTask, now: float
    ) -> None:
        """Takes over a task of the previous owner that a worker's list shows."""
        until = self.previous_owner_until - self.book.terms.clock_skew
        self.book.adopt(
            task.task_id, worker.vm, max(until, now + self.book.terms.duration), now
        )
        self.blocked.unblock(task.task_id)
        self.takeover.handle_found_task(task, now)
        self.table.apply_event(task, TaskEvent.FOUND)
        task.vm = worker.vm
        task.attempt = running.attempt
        task.may_have_run = True
        worker.reserve(task.task_id, running.resources)
        self.metrics.count("task.adopted")
        spec = self.table.job(task.job_id).spec
        self.policy.adopt_task(spec, task.task_id, worker.vm, running.resources, now)
        self.takeover.handle_adopted_job(task.job_id, now)

    def _stop_stray(self, worker: WorkerView, running: RunningTask) -> None:
        self._journal.write(TASK_STRAY, task=running.task_id, worker=worker.vm)
        self.metrics.count("task.strays")
        worker.strays[running.task_id] = running.resources
        action = TaskAction(running.task_id, TaskActionKind.STOP)
        self._post.act(worker.vm, action, urgent=True)

    # Ends

    def over(
        self, task: Task, worker: WorkerView, end: TaskEnd, run_time: float, now: float
    ) -> None:
        """An attempt of a task is over and runs nowhere."""
        vm = task.vm
        job = self.table.job(task.job_id)
        self._free(task, worker)
        if vm is not None:
            self.policy.task_ended(task.task_id, vm, end, run_time, now)
        else:
            self.takeover.handle_found_end(task, end, now)
        self.end_jobs_ended_by_policy(now)
        final = end is TaskEnd.FINISHED or job.is_final
        if task.state is not TaskState.ENDED:
            self.table.apply_event(task, TaskEvent.ENDED if final else TaskEvent.RETRY)
        if vm is None:
            self.takeover.try_restore(job, now)
        self._retire(job)

    def not_started(
        self, task: Task, worker: WorkerView, reason: Reason, now: float
    ) -> None:
        """A start did not take effect and cannot any more."""
        vm = task.vm
        self._free(task, worker)
        task.may_have_run = False
        self.table.apply_event(task, TaskEvent.REFUSED)
        self.policy.task_refused(task.task_id, vm, reason, now)
        job = self.table.job(task.job_id)
        if job.is_final:
            self.table.apply_event(task, TaskEvent.ENDED)
            self._retire(job)

    def _free(self, task: Task, worker: WorkerView | None) -> None:
        self.has_news = True
        if worker:
            worker.release(task.task_id)
        self.book.release(task.task_id)
        self.blocked.unblock(task.task_id)
        task.vm = None

    def end_jobs_ended_by_policy(self, now: float) -> None:
        """Ends the jobs that the policy has ended."""
        for ended in self.policy.pop_ended_jobs():
            self.end_job(ended.job_id, ended.state, ended.reason, now)

    def end_job(
        self, job_id: JobId, state: JobState, reason: Reason | str, now: float
    ) -> None:
        """Ends a job, stops its tasks and queues the record of its end."""
        job = self.table.job(job_id)
        if job is None or job.is_final:
            return
        text = reason.value if isinstance(reason, Reason) else reason
        self.has_news = True
        self.table.end(job, state, text)
        self.takeover.remove_job(job_id)
        self.policy.cancel(job_id, now)
        self.metrics.count(f"job.ends.{state.value}")
        self._journal.write(JOB_ENDED, job=job_id, state=state.value)
        job.unacknowledged_ends.extend(self._finished.pop(job_id, []))
        if job.spec.durable:
            self._post.record(JobEnded(job_id, state, text), [])
        for task in list(job.tasks_by_id.values()):
            self._wind_down(task, now)
        self._retire(job)

    def _wind_down(self, task: Task, now: float) -> None:
        if task.vm is not None:
            if task.state is not TaskState.STOPPING:
                self.stop_task(task, now)
        elif task.state in {TaskState.WAITING, TaskState.BLOCKED}:
            # What may still run on an unread worker is stopped as a stray.
            self.blocked.unblock(task.task_id)
            self.table.apply_event(task, TaskEvent.ENDED)

    def job_end_recorded(self, job_id: JobId) -> None:
        """The end of a job is confirmed on the log, or needs no record."""
        job = self.table.job(job_id)
        if job is None:
            return
        job.end_recorded = True
        self.acknowledge(job.unacknowledged_ends)
        job.unacknowledged_ends = []
        self._retire(job)

    def acknowledge(self, acks: list[Ack]) -> None:
        """Lets workers forget ended tasks whose end is confirmed."""
        for vm, task_id in acks:
            self._unacked.pop((vm, task_id), None)
            self._post.acknowledge(vm, task_id)

    def _record_finished(self) -> None:
        for job_id, acks in self._finished.items():
            task_ids = [task_id for _, task_id in acks]
            self._post.record(TasksEnded(job_id, task_ids), acks)
        self._finished = {}

    def _retire(self, job: Job) -> None:
        if job.is_final and job.is_idle and job.end_recorded:
            self._post.job_at_rest(job)
            self.policy.remove_job(job.spec.job_id)
            self.table.remove(job.spec.job_id)

    def move_away(self, worker: WorkerView, now: float) -> None:
        """Checkpoints the tasks of a worker that goes away, each once.

        A task that is not idempotent is left to finish: it could not go on from
        its checkpoint.
        """
        for lease in self.book.on_worker(worker.vm):
            task = self.table.task(lease.task_id)
            if task is None or task.state is not TaskState.RUNNING:
                continue
            idempotent = self.table.job(task.job_id).spec.idempotent
            if idempotent and task.task_id not in worker.moved_away:
                worker.moved_away.add(task.task_id)
                self._act(task.task_id, worker.vm, TaskActionKind.CHECKPOINT)

    def take_back(self, worker: WorkerView, task_ids: list[TaskId], now: float) -> None:
        """Returns starts that were not sent to the policy."""
        for task_id in task_ids:
            task = self.table.task(task_id)
            if task and task.vm == worker.vm and task.may_run:
                self.not_started(task, worker, Reason.WORKER_SILENT, now)
