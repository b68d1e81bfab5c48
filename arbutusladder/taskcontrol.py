"""Applies policy decisions and worker reports to the tasks of one shard.

`TaskController` owns the state of the shard's jobs, tasks and workers. It sends nothing
itself: messages for workers and records for the log are passed to a `TaskOutbox`.
"""

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
from arbutusladder.events import JOB_ENDED, UNKNOWN_TASK_STOPPED, WORKER_RESTARTED
from arbutusladder.ids import JobId, TaskId, VmId
from arbutusladder.jobs import Job, JobTable, Task, TaskEvent
from arbutusladder.journal import Journal
from arbutusladder.leases import BlockedTasks, LeaseTable, WorkerState
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
    """Receives the messages and records that a `TaskController` produces."""

    def queue_start(self, vm: VmId, start: StartTask, urgent: bool) -> None:
        """Queues the start of a task for a worker."""

    def withdraw_start(self, vm: VmId, task_id: TaskId) -> bool:
        """Removes a start that was not sent; returns whether there was one."""

    def queue_action(self, vm: VmId, action: TaskAction, urgent: bool) -> None:
        """Queues an action on a running task for its worker."""

    def acknowledge(self, vm: VmId, task_id: TaskId) -> None:
        """Queues the acknowledgement of an ended task."""

    def record_end(self, record: Any, acks: list[Ack]) -> None:
        """Queues the record of an end for the log.

        Args:
            record: A `JobEnded` or `TasksEnded`.
            acks: Acknowledgements to send once the record is confirmed.
        """

    def job_removed(self, job: Job) -> None:
        """Reports that a job is about to be removed from the job table.

        Its end is recorded and none of its tasks may still run.
        """


class TaskController:
    """Applies policy decisions and worker reports to the tasks of one shard.

    It enforces these rules whatever the policy decides:

    * A task is started only while it cannot be running anywhere.
    * A task that is not idempotent is started only if no earlier start of it can
      have taken effect.
    * The tasks on a worker never reserve more than its capacity.

    Args:
        policy: Decides which task starts where.
        lease_table: Leases of the shard.
        outbox: Receives messages for workers and records for the log.
        metrics: Counters.
        journal: Event log.

    Attributes:
        table: Jobs and tasks of the shard.
        workers_by_id: State of each worker.
        blocked: Tasks that must not be started before a time.
        previous_owner_until: Monotonic time in seconds from which no task of the
            previous owner can still be running.
        decision_needed: Whether something changed since the last decisions that
            could make others possible.
        takeover: Handles tasks of the previous owner.
        lost_tasks: Handles tasks on workers that do not answer.
    """

    def __init__(
        self,
        policy: Policy,
        lease_table: LeaseTable,
        outbox: TaskOutbox,
        metrics: Metrics,
        journal: Journal,
    ):
        self.policy = policy
        self.table = JobTable()
        self.workers_by_id: dict[VmId, WorkerState] = {}
        self.blocked = BlockedTasks()
        self.previous_owner_until = 0.0
        self.decision_needed = True
        self.takeover = Takeover(self)
        self.lost_tasks = LostTaskHandler(self)
        self.lease_table = lease_table
        self._outbox = outbox
        self.metrics = metrics
        self._journal = journal
        self._attempt_by_unsent_ack: dict[Ack, int] = {}
        self._ended_acks_by_job: dict[JobId, list[Ack]] = {}

    # Decisions

    def decide(self, now: float, limit: int) -> bool:
        """Asks the policy for decisions and carries them out.

        Args:
            now: Monotonic time in seconds.
            limit: Largest number of decisions to ask for.

        Returns:
            Whether the limit was reached, so that more decisions may be pending.
        """
        self.decision_needed = False
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
                if self._send_action(task_id, vm, TaskActionKind.THROTTLE, cpu):
                    self.workers_by_id[vm].throttle(task_id, cpu)
            case Resume(task_id, vm):
                worker = self.workers_by_id.get(vm)
                if worker and worker.resume(task_id):
                    self._send_action(task_id, vm, TaskActionKind.RESUME)
            case Checkpoint(task_id, vm):
                self._send_action(task_id, vm, TaskActionKind.CHECKPOINT)
            case Stop(task_id, vm):
                task = self.table.task(task_id)
                if task and task.vm == vm:
                    self.stop_task(task, now)
            case Refuse(_, reason, _):
                self.metrics.count_refusal(reason)

    def _start(self, decision: Start, now: float) -> None:
        task = self.table.task(decision.task_id)
        worker = self.workers_by_id.get(decision.vm)
        refusal = self._start_refusal(task, worker, decision)
        if refusal:
            self.metrics.count(f"start_withheld.{refusal.value}")
            self.policy.task_refused(decision.task_id, decision.vm, refusal, now)
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
        self._outbox.queue_start(worker.vm, start, spec.urgency is Urgency.URGENT)

    def _start_refusal(
        self, task: Task | None, worker: WorkerState | None, decision: Start
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

    def _send_action(
        self, task_id: TaskId, vm: VmId, kind: TaskActionKind, cpu: float = 0.0
    ) -> bool:
        task = self.table.task(task_id)
        if task is None or task.vm != vm or task.state is not TaskState.RUNNING:
            return False
        self._outbox.queue_action(vm, TaskAction(task_id, kind, cpu), urgent=True)
        return True

    def stop_task(self, task: Task, now: float) -> None:
        """Stops a task that may run, or withdraws its start if it was not sent."""
        if not task.may_run or task.vm is None:
            return
        worker = self.workers_by_id[task.vm]
        if self._outbox.withdraw_start(worker.vm, task.task_id):
            self.revert_start(task, worker, Reason.CANCELLED, now)
            return
        self.table.apply_event(task, TaskEvent.STOP_REQUESTED)
        self.lease_table.disable_renewal(task.task_id)
        self._outbox.queue_action(
            worker.vm, TaskAction(task.task_id, TaskActionKind.STOP), urgent=True
        )

    # Worker reports

    def apply_report(
        self,
        worker: WorkerState,
        sent: WorkerExchange,
        sent_at: float,
        report: WorkerReport,
        now: float,
    ) -> None:
        """Applies a worker's complete report.

        Args:
            worker: The worker.
            sent: The exchange that the report answers.
            sent_at: Monotonic time in seconds just before the exchange was sent.
            report: The report.
            now: Monotonic time in seconds.
        """
        has_restarted = worker.has_reported and worker.boot != report.boot
        if has_restarted:
            self._journal.write(WORKER_RESTARTED, worker=worker.vm)
            self.metrics.count("worker.restarts")
        worker.silent = False
        for result in report.results:
            self._apply_start_result(worker, result, now)
        for ended in report.ended:
            self._apply_task_end(worker, ended, now)
        worker.strays.clear()
        for running in report.tasks:
            self._apply_running_task(worker, running, now)
        self.lost_tasks.check_report(worker, sent, sent_at, report, now)
        worker.boot = report.boot
        worker.has_reported = True
        self._record_ended_tasks()

    def _apply_start_result(
        self, worker: WorkerState, result: StartResult, now: float
    ) -> None:
        task = self.table.task(result.task_id)
        if task is None or task.vm != worker.vm or not task.may_run:
            return
        if result.started:
            self.metrics.count("task.starts")
            self._confirm_running(task, now)
        elif result.reason != "already_running":
            # A start that arrived after its lease is not a failure of the worker.
            is_late = result.reason == Reason.LEASE_EXPIRED.value
            reason = Reason.LEASE_EXPIRED if is_late else Reason.WORKER_REFUSED
            self.metrics.count_refusal(reason)
            self.revert_start(task, worker, reason, now)

    def _apply_task_end(
        self, worker: WorkerState, ended: EndedTask, now: float
    ) -> None:
        if self._attempt_by_unsent_ack.get((worker.vm, ended.task_id)) == ended.attempt:
            return
        task = self.table.task(ended.task_id)
        on_this_worker = task is not None and task.vm in {None, worker.vm}
        if not on_this_worker or not self._is_new_end(task, ended):
            self._outbox.acknowledge(worker.vm, ended.task_id)
            return
        self.metrics.count(f"task.ends.{ended.end.value}")
        task.attempt = ended.attempt
        task.may_have_run = True
        self.end_attempt(task, worker, ended.end, ended.run_time_s, now)
        self._acknowledge_when_recorded(task, worker.vm, ended)

    def _is_new_end(self, task: Task, ended: EndedTask) -> bool:
        if task.may_run:
            return ended.attempt >= task.attempt
        return task.state is TaskState.WAITING and ended.attempt > task.attempt

    def _acknowledge_when_recorded(
        self, task: Task, vm: VmId, ended: EndedTask
    ) -> None:
        job = self.table.job(task.job_id)
        ack = (vm, task.task_id)
        if job is None or job.end_recorded or task.state is not TaskState.ENDED:
            self._outbox.acknowledge(*ack)
            return
        self._attempt_by_unsent_ack[ack] = ended.attempt
        if job.is_final:
            job.unacknowledged_ends.append(ack)
        else:
            self._ended_acks_by_job.setdefault(job.spec.job_id, []).append(ack)

    def _apply_running_task(
        self, worker: WorkerState, running: RunningTask, now: float
    ) -> None:
        task = self.table.task(running.task_id)
        if task and task.vm == worker.vm and task.may_run:
            if task.state is TaskState.RUNNING and running.usage == task.usage:
                return
            was_blocked = task.state is TaskState.BLOCKED
            self._confirm_running(task, now)
            # Usage reports lag behind: no usage means that none was measured yet.
            usage_changed = running.usage not in (task.usage, Resources())
            if was_blocked or usage_changed:
                task.usage = running.usage
                self.policy.usage_reported(task.task_id, running.usage, now)
        elif task and task.vm is None and self._can_adopt(task):
            self.adopt(task, worker, running, now)
        else:
            self._stop_stray(worker, running)

    def _can_adopt(self, task: Task) -> bool:
        is_unassigned = task.state in {TaskState.WAITING, TaskState.BLOCKED}
        return is_unassigned and not self.table.job(task.job_id).is_final

    def _confirm_running(self, task: Task, now: float) -> None:
        self.lease_table.confirm(task.task_id)
        self.blocked.unblock(task.task_id)
        self.workers_by_id[task.vm].boot_by_lost_start.pop(task.task_id, None)
        if task.state is TaskState.STOPPING:
            self._outbox.queue_action(
                task.vm, TaskAction(task.task_id, TaskActionKind.STOP), urgent=True
            )
            return
        if task.state is not TaskState.RUNNING:
            self.table.apply_event(task, TaskEvent.FOUND)
            self.policy.task_started(task.task_id, task.vm, now)

    def adopt(
        self, task: Task, worker: WorkerState, running: RunningTask, now: float
    ) -> None:
        """Takes over a task of the previous owner that a worker reports as running."""
        until = self.previous_owner_until - self.lease_table.terms.clock_skew
        self.lease_table.adopt(
            task.task_id,
            worker.vm,
            max(until, now + self.lease_table.terms.duration),
            now,
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

    def _stop_stray(self, worker: WorkerState, running: RunningTask) -> None:
        self._journal.write(
            UNKNOWN_TASK_STOPPED, task=running.task_id, worker=worker.vm
        )
        self.metrics.count("task.strays")
        worker.strays[running.task_id] = running.resources
        action = TaskAction(running.task_id, TaskActionKind.STOP)
        self._outbox.queue_action(worker.vm, action, urgent=True)

    # Ends of tasks and jobs

    def end_attempt(
        self, task: Task, worker: WorkerState, end: TaskEnd, run_time: float, now: float
    ) -> None:
        """Ends an attempt of a task that is known to run nowhere any more."""
        vm = task.vm
        job = self.table.job(task.job_id)
        self._release_reservation(task, worker)
        if vm is not None:
            self.policy.task_ended(task.task_id, vm, end, run_time, now)
        else:
            self.takeover.handle_found_end(task, end, now)
        self.end_jobs_ended_by_policy(now)
        is_final_end = end is TaskEnd.FINISHED or job.is_final
        if task.state is not TaskState.ENDED:
            self.table.apply_event(
                task, TaskEvent.ENDED if is_final_end else TaskEvent.RETRY
            )
        if vm is None:
            self.takeover.restore_if_unblocked(job, now)
        self._remove_if_complete(job)

    def revert_start(
        self, task: Task, worker: WorkerState, reason: Reason, now: float
    ) -> None:
        """Returns a task to the queue after a start that can no longer take effect."""
        vm = task.vm
        self._release_reservation(task, worker)
        task.may_have_run = False
        self.table.apply_event(task, TaskEvent.REFUSED)
        self.policy.task_refused(task.task_id, vm, reason, now)
        job = self.table.job(task.job_id)
        if job.is_final:
            self.table.apply_event(task, TaskEvent.ENDED)
            self._remove_if_complete(job)

    def _release_reservation(self, task: Task, worker: WorkerState | None) -> None:
        self.decision_needed = True
        if worker:
            worker.release(task.task_id)
        self.lease_table.release(task.task_id)
        self.blocked.unblock(task.task_id)
        task.vm = None

    def end_jobs_ended_by_policy(self, now: float) -> None:
        """Ends the jobs that the policy has ended since the last call."""
        for ended in self.policy.pop_ended_jobs():
            self.end_job(ended.job_id, ended.state, ended.reason, now)

    def end_job(
        self, job_id: JobId, state: JobState, reason: Reason | str, now: float
    ) -> None:
        """Ends a job, stops its tasks and queues the record of its end.

        Does nothing for an unknown job or one that has ended.
        """
        job = self.table.job(job_id)
        if job is None or job.is_final:
            return
        reason_text = reason.value if isinstance(reason, Reason) else reason
        self.decision_needed = True
        self.table.end(job, state, reason_text)
        self.takeover.remove_job(job_id)
        self.policy.cancel(job_id, now)
        self.metrics.count(f"job.ends.{state.value}")
        self._journal.write(JOB_ENDED, job=job_id, state=state.value)
        job.unacknowledged_ends.extend(self._ended_acks_by_job.pop(job_id, []))
        if job.spec.durable:
            self._outbox.record_end(JobEnded(job_id, state, reason_text), [])
        for task in list(job.tasks_by_id.values()):
            self._stop_or_end_task(task, now)
        self._remove_if_complete(job)

    def _stop_or_end_task(self, task: Task, now: float) -> None:
        if task.vm is not None:
            if task.state is not TaskState.STOPPING:
                self.stop_task(task, now)
        elif task.state in {TaskState.WAITING, TaskState.BLOCKED}:
            # If the task still runs on a worker that has not reported, it is
            # stopped as a stray once that worker reports it.
            self.blocked.unblock(task.task_id)
            self.table.apply_event(task, TaskEvent.ENDED)

    def job_end_recorded(self, job_id: JobId) -> None:
        """Marks a job's end as recorded and acknowledges its ended tasks.

        Called when the record is confirmed on the log or not needed.
        """
        job = self.table.job(job_id)
        if job is None:
            return
        job.end_recorded = True
        self.acknowledge(job.unacknowledged_ends)
        job.unacknowledged_ends = []
        self._remove_if_complete(job)

    def acknowledge(self, acks: list[Ack]) -> None:
        """Acknowledges ended tasks, which their workers then stop reporting."""
        for vm, task_id in acks:
            self._attempt_by_unsent_ack.pop((vm, task_id), None)
            self._outbox.acknowledge(vm, task_id)

    def _record_ended_tasks(self) -> None:
        for job_id, acks in self._ended_acks_by_job.items():
            task_ids = [task_id for _, task_id in acks]
            self._outbox.record_end(TasksEnded(job_id, task_ids), acks)
        self._ended_acks_by_job = {}

    def _remove_if_complete(self, job: Job) -> None:
        if job.is_final and job.is_idle and job.end_recorded:
            self._outbox.job_removed(job)
            self.policy.remove_job(job.spec.job_id)
            self.table.remove(job.spec.job_id)

    def checkpoint_tasks(self, worker: WorkerState, now: float) -> None:
        """Checkpoints the running tasks of a leaving worker, each of them once.

        A task that is not idempotent is left to finish, because it could not be
        resumed from its checkpoint.
        """
        for lease in self.lease_table.leases_on_worker(worker.vm):
            task = self.table.task(lease.task_id)
            if task is None or task.state is not TaskState.RUNNING:
                continue
            idempotent = self.table.job(task.job_id).spec.idempotent
            if idempotent and task.task_id not in worker.checkpoint_requested:
                worker.checkpoint_requested.add(task.task_id)
                self._send_action(task.task_id, worker.vm, TaskActionKind.CHECKPOINT)

    def revert_unsent_starts(
        self, worker: WorkerState, task_ids: list[TaskId], now: float
    ) -> None:
        """Returns tasks to the queue whose starts were withdrawn before sending."""
        for task_id in task_ids:
            task = self.table.task(task_id)
            if task and task.vm == worker.vm and task.may_run:
                self.revert_start(task, worker, Reason.WORKER_SILENT, now)
