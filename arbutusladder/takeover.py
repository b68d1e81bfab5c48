"""What a new owner of a shard may do with the previous owner's tasks (pure).

Tasks that no worker's list shows may still run on a worker that was not read.
A job with such tasks is kept from the policy until they cannot run any more
(deferred). When some of its tasks were found, the policy has to know the job;
the others are then blocked in the policy on a worker that does not exist.
"""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from arbutusladder.ids import JobId, TaskId, VmId
from arbutusladder.jobs import Job, Task, TaskEvent
from arbutusladder.messages import JobSpec, Resources
from arbutusladder.states import JobState, Reason, TaskEnd, TaskState

if TYPE_CHECKING:
    from arbutusladder.taskcontrol import TaskController

# Stands for the unreadable workers on which a task may run after a takeover.
UNREAD_VM = VmId("unread")


class Takeover:
    """Jobs that a shard's new owner takes over.

    Args:
        control: Tasks of the shard.
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
        """Adds a job of the previous owner before any worker is read.

        Args:
            spec: The job.
            ended_tasks: Its tasks that have ended for good.
            started_tasks: Tasks that may have been started; none when that is
                not known.
        """
        table = self._control.table
        table.add(spec, started_tasks)
        for task_id in ended_tasks:
            task = table.task(task_id)
            if task and task.state is TaskState.WAITING:
                table.apply_event(task, TaskEvent.ENDED)

    def resolve_missing_tasks(self, until: float | None, now: float) -> None:
        """Decides, once workers were read, what the tasks not found may do.

        Args:
            until: Monotonic time until which these tasks may run on a worker
                that was not read; none when all workers were read.
            now: Monotonic time in seconds.
        """
        self._unread_until = until or 0.0
        for job in list(self._control.table.jobs_by_id.values()):
            if not job.is_final:
                self._settle_job(job, now)
        self._control.end_jobs_ended_by_policy(now)

    def adopt_job(
        self, spec: JobSpec, started_tasks: frozenset[TaskId] | None, now: float
    ) -> None:
        """Takes a job that became known after the rebuild.

        Args:
            spec: The job.
            started_tasks: Tasks that may have been started; none when that is
                not known.
            now: Monotonic time in seconds.
        """
        self.load_job(spec, [], started_tasks)
        self._settle_job(self._control.table.job(spec.job_id), now)
        self._control.end_jobs_ended_by_policy(now)

    def expired(self, task: Task, now: float) -> None:
        """A task that was not found cannot run any more."""
        job = self._control.table.job(task.job_id)
        self._control.table.apply_event(task, TaskEvent.RETRY)
        if job.spec.job_id in self._deferred:
            self.try_restore(job, now)
        else:
            self._end_in_policy(task, TaskEnd.LEASE_EXPIRED, now)
            self._control.end_jobs_ended_by_policy(now)

    def handle_found_task(self, task: Task, now: float) -> None:
        """A worker's list shows a task that was blocked."""
        if task.state is TaskState.BLOCKED and task.job_id not in self._deferred:
            self._end_in_policy(task, TaskEnd.CHECKPOINTED, now)

    def handle_adopted_job(self, job_id: JobId, now: float) -> None:
        """The policy knows a job of which a task was found."""
        if job_id in self._deferred:
            del self._deferred[job_id]
            self.restore_job(self._control.table.job(job_id), now)

    def handle_found_end(self, task: Task, end: TaskEnd, now: float) -> None:
        """A worker reports the end of a task that was not known to run."""
        job = self._control.table.job(task.job_id)
        if end is not TaskEnd.FINISHED and not job.spec.idempotent:
            self._fail(job, now)
        elif job.spec.job_id in self._deferred:
            return
        elif task.state is TaskState.BLOCKED:
            self._end_in_policy(task, end, now)
        elif end is TaskEnd.FINISHED:
            self._control.policy.restore_job(job.spec, now)
            self._control.policy.restore_finished_task(task.task_id)

    def try_restore(self, job: Job, now: float) -> None:
        """Gives a deferred job to the policy when none of its tasks can run."""
        if job.spec.job_id in self._deferred and not job.counts[TaskState.BLOCKED]:
            del self._deferred[job.spec.job_id]
            self.restore_job(job, now)
            self._control.end_jobs_ended_by_policy(now)

    def is_deferred(self, job_id: JobId) -> bool:
        """Whether a job waits until tasks of the previous owner cannot run."""
        return job_id in self._deferred

    def remove_job(self, job_id: JobId) -> None:
        """Drops an ended job."""
        self._deferred.pop(job_id, None)

    def _settle_job(self, job: Job, now: float) -> None:
        if now < self._unread_until:
            self._block_unfound(job, self._unread_until)
        known = self._control.policy.job_state(job.spec.job_id) is not None
        if job.counts[TaskState.BLOCKED] and not known:
            self._deferred[job.spec.job_id] = None
        else:
            self.restore_job(job, now)

    def _block_unfound(self, job: Job, until: float) -> None:
        for task in self._control.table.all_tasks(job):
            if task.state is TaskState.WAITING and task.may_have_run:
                self._control.table.apply_event(task, TaskEvent.LOST)
                self._control.blocked.block(task.task_id, until)

    def restore_job(self, job: Job, now: float) -> None:
        """Gives a job to the policy, with its tasks that ended or are blocked."""
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
            self._refuse_unprovable(job, now)

    def _refuse_unprovable(self, job: Job, now: float) -> None:
        for task in self._control.table.all_tasks(job):
            if task.state is TaskState.WAITING and task.may_have_run:
                self._fail(job, now)
                return

    def _fail(self, job: Job, now: float) -> None:
        reason = Reason.NOT_IDEMPOTENT_RETRY
        self._control.end_job(job.spec.job_id, JobState.FAILED, reason, now)

    def _end_in_policy(self, task: Task, end: TaskEnd, now: float) -> None:
        self._control.policy.task_ended(task.task_id, UNREAD_VM, end, 0.0, now)
