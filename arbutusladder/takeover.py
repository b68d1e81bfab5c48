"""Takeover of the previous owner's jobs by the new owner of a shard.

The module performs no I/O. Tasks that no worker lists may still run on a worker
whose list could not be read. A job with such tasks is deferred: the policy does not
get it until they cannot run any more. `Takeover` owns the set of deferred jobs. If
some of a job's tasks were found, the policy needs the job at once; the missing tasks
are then blocked in the policy on a placeholder worker.
"""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from arbutusladder.ids import JobId, TaskId, VmId
from arbutusladder.jobs import Job, Task, TaskEvent
from arbutusladder.messages import JobSpec, Resources
from arbutusladder.states import JobState, Reason, TaskEnd, TaskState

if TYPE_CHECKING:
    from arbutusladder.taskcontrol import TaskController

# Placeholder for the workers whose task lists could not be read in a takeover.
UNREAD_VM = VmId("unread")


class Takeover:
    """Jobs that the new owner of a shard takes over.

    Args:
        control: Task control of the shard.
    """

    def __init__(self, control: "TaskController"):
        self._control = control
        self._deferred: dict[JobId, None] = {}
        self._unread_until = 0.0

    def load_job(
        self,
        spec: JobSpec,
        ended_tasks: Iterable[TaskId],
        started_tasks: frozenset[TaskId] | None,
    ) -> None:
        """Adds a job of the previous owner before worker task lists are read.

        Args:
            spec: The job.
            ended_tasks: Its tasks that have ended and are not retried.
            started_tasks: Tasks that may have been started; None if that is
                not known.
        """
        table = self._control.table
        table.add(spec, started_tasks)
        for task_id in ended_tasks:
            task = table.task(task_id)
            if task and task.state is TaskState.WAITING:
                table.apply_event(task, TaskEvent.ENDED)

    def resolve_missing_tasks(self, until: float | None, now: float) -> None:
        """Blocks or restores the tasks that no worker listed.

        Args:
            until: Monotonic time in seconds until which these tasks may run on a
                worker that was not read; None if all workers were read.
            now: Monotonic time in seconds.
        """
        self._unread_until = until or 0.0
        for job in list(self._control.table.jobs_by_id.values()):
            if not job.is_final:
                self._resolve_job(job, now)
        self._control.end_jobs_ended_by_policy(now)

    def adopt_job(
        self, spec: JobSpec, started_tasks: frozenset[TaskId] | None, now: float
    ) -> None:
        """Adds a job that was found on the log after the rebuild.

        Args:
            spec: The job.
            started_tasks: Tasks that may have been started; None if that is
                not known.
            now: Monotonic time in seconds.
        """
        self.load_job(spec, [], started_tasks)
        self._resolve_job(self._control.table.job(spec.job_id), now)
        self._control.end_jobs_ended_by_policy(now)

    def handle_expired_task(self, task: Task, now: float) -> None:
        """Handles a missing task that cannot run any more."""
        job = self._control.table.job(task.job_id)
        self._control.table.apply_event(task, TaskEvent.RETRY)
        if job.spec.job_id in self._deferred:
            self.restore_if_unblocked(job, now)
        else:
            self._report_end_to_policy(task, TaskEnd.LEASE_EXPIRED, now)
            self._control.end_jobs_ended_by_policy(now)

    def handle_found_task(self, task: Task, now: float) -> None:
        """Handles a blocked task that a worker lists as running."""
        if task.state is TaskState.BLOCKED and task.job_id not in self._deferred:
            self._report_end_to_policy(task, TaskEnd.CHECKPOINTED, now)

    def handle_adopted_job(self, job_id: JobId, now: float) -> None:
        """Restores a deferred job of which a running task was found."""
        if job_id in self._deferred:
            del self._deferred[job_id]
            self.restore_job(self._control.table.job(job_id), now)

    def handle_found_end(self, task: Task, end: TaskEnd, now: float) -> None:
        """Handles the reported end of a task that was not known to run."""
        job = self._control.table.job(task.job_id)
        if end is not TaskEnd.FINISHED and not job.spec.idempotent:
            self._fail_job(job, now)
        elif job.spec.job_id in self._deferred:
            return
        elif task.state is TaskState.BLOCKED:
            self._report_end_to_policy(task, end, now)
        elif end is TaskEnd.FINISHED:
            self._control.policy.restore_job(job.spec, now)
            self._control.policy.restore_finished_task(task.task_id)

    def restore_if_unblocked(self, job: Job, now: float) -> None:
        """Passes a deferred job to the policy once none of its tasks can still run."""
        if job.spec.job_id in self._deferred and not job.counts[TaskState.BLOCKED]:
            del self._deferred[job.spec.job_id]
            self.restore_job(job, now)
            self._control.end_jobs_ended_by_policy(now)

    def is_deferred(self, job_id: JobId) -> bool:
        """Returns whether a job waits until its missing tasks cannot run any more."""
        return job_id in self._deferred

    def remove_job(self, job_id: JobId) -> None:
        """Removes an ended job."""
        self._deferred.pop(job_id, None)

    def _resolve_job(self, job: Job, now: float) -> None:
        if now < self._unread_until:
            self._block_missing_tasks(job, self._unread_until)
        in_policy = self._control.policy.job_state(job.spec.job_id) is not None
        if job.counts[TaskState.BLOCKED] and not in_policy:
            self._deferred[job.spec.job_id] = None
        else:
            self.restore_job(job, now)

    def _block_missing_tasks(self, job: Job, until: float) -> None:
        for task in self._control.table.all_tasks(job):
            if task.state is TaskState.WAITING and task.may_have_run:
                self._control.table.apply_event(task, TaskEvent.LOST)
                self._control.blocked.block(task.task_id, until)

    def restore_job(self, job: Job, now: float) -> None:
        """Passes a job with its ended and blocked tasks to the policy."""
        policy = self._control.policy
        policy.restore_job(job.spec, now)
        for task in job.tasks_by_id.values():
            if task.state is TaskState.ENDED:
                policy.restore_finished_task(task.task_id)
            elif task.state is TaskState.BLOCKED and task.vm is None:
                until = self._control.blocked.until(task.task_id)
                policy.adopt_task(job.spec, task.task_id, UNREAD_VM, Resources(), now)
                policy.block_task(task.task_id, until, now)
        if not job.spec.idempotent:
            self._fail_if_may_have_run(job, now)

    def _fail_if_may_have_run(self, job: Job, now: float) -> None:
        for task in self._control.table.all_tasks(job):
            if task.state is TaskState.WAITING and task.may_have_run:
                self._fail_job(job, now)
                return

    def _fail_job(self, job: Job, now: float) -> None:
        reason = Reason.NOT_IDEMPOTENT_RETRY
        self._control.end_job(job.spec.job_id, JobState.FAILED, reason, now)

    def _report_end_to_policy(self, task: Task, end: TaskEnd, now: float) -> None:
        self._control.policy.task_ended(task.task_id, UNREAD_VM, end, 0.0, now)
