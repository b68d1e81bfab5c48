"""Base class and registry of scheduling policies.

The base class owns the jobs, tasks and workers of one shard; subclasses decide which
task starts where.
"""

import heapq
import math
from collections import Counter, deque
from importlib import import_module

from arbutusladder.decisions import (
    Admitted,
    Decision,
    Job,
    Refuse,
    Refused,
    Start,
    Stop,
    Task,
    job_id_of,
    task_index,
)
from arbutusladder.declarations import ClassPolicy, Preset, Team
from arbutusladder.errors import ConfigError
from arbutusladder.explain import JobExplanation, explain, explain_infeasible
from arbutusladder.fleet import Fleet, Worker, shape_of
from arbutusladder.ids import JobId, TaskId, TeamName, VmId
from arbutusladder.messages import JobEnded, JobSpec, Resources
from arbutusladder.states import JobState, Reason, TaskEnd, TaskState, Urgency

# Time after which a waiting job that fits no known worker is refused. A worker that
# is being replaced returns within this time.
INFEASIBLE_GRACE_S = 60.0
# Minimum time between two checks of the waiting jobs.
FEASIBILITY_CHECK_INTERVAL_S = 1.0

CLASS_BY_NAME = {
    "fairshare": "arbutusladder.fairshare:FairShare",
    "firstfit": "arbutusladder.firstfit:FirstFit",
}


class Policy:
    """Schedules the jobs of one shard.

    The shard owner reports every change through the methods below, calls ``decide``
    and carries out the decisions. The contract:

    * A ``Start`` reserves its capacity when it is decided. The owner reports its
      result with exactly one of ``task_started``, ``task_refused`` (the start did not
      take effect) or ``block_task`` (it may have taken effect).
    * Only ``task_ended``, ``task_refused`` or the expiry of a block ends the
      reservation.
    * Decisions are carried out in order. A ``Throttle`` or ``Resume`` changes
      the reservation at once, so it reaches a worker before, or together with,
      the starts that follow it.
    * ``limit`` may be exceeded by the tasks of one gang, which start together.
    * A task holds capacity on at most one worker.
    * A task of a job that is not idempotent is started again only after
      ``task_refused``.
    * ``pop_ended_jobs`` returns each job that ended, once. Tasks of such a job may
      still hold capacity until their own end is reported.
    * Reports about unknown jobs or tasks are ignored.

    Subclasses implement ``_place`` and may extend the hooks ``_on_queued``,
    ``_on_unqueued``, ``_on_reserved``, ``_on_released`` and ``_check_queue_limit``.
    """

    def __init__(self, preset: Preset, teams_by_name: dict[TeamName, Team]):
        self.preset = preset
        self.teams_by_name = teams_by_name
        self.fleet = Fleet()
        self.jobs_by_id: dict[JobId, Job] = {}
        self.waiting_by_id: dict[JobId, Job] = {}
        self.waiting_tasks_by_class: Counter[Urgency] = Counter()
        self.tasks_by_vm: dict[VmId, dict[TaskId, Task]] = {}
        self._sequence = 0
        # Heap of (end of the block, task ID).
        self._block_expiries: list[tuple[float, TaskId]] = []
        self._pending_decisions: deque[Decision] = deque()
        self._ended_jobs: list[JobEnded] = []
        # Whether waiting jobs must be checked for feasibility.
        self._feasibility_unchecked = False
        self._next_feasibility_check_at = -math.inf

    # Workers

    def worker_changed(
        self, vm: VmId, resources: Resources, rack: str, available: bool, now: float
    ) -> None:
        """Adds or updates a worker; only an available one gets new tasks."""
        worker = self.fleet.workers_by_vm.get(vm)
        reported = (resources, rack, available)
        if worker and not worker.removed:
            unchanged = (worker.capacity, worker.rack, worker.available) == reported
            if unchanged:
                return
        self.fleet.add_or_update(vm, *reported)
        self._feasibility_unchecked = True

    def worker_removed(self, vm: VmId, now: float) -> None:
        """Removes a worker; its tasks keep their state until reported or blocked."""
        self.fleet.remove(vm)
        self._feasibility_unchecked = True

    # Jobs

    def submit(self, job: JobSpec, now: float) -> Admitted | Refused:
        """Admits or refuses a job; submitting an admitted job again has no effect."""
        if job.job_id in self.jobs_by_id:
            return Admitted()
        refusal = self._check_feasible(job) or self._check_queue_limit(job, now)
        if refusal:
            return refusal
        self._add_job(job, now)
        return Admitted()

    def restore_job(self, job: JobSpec, now: float) -> None:
        """Adds a previously accepted job without checking limits."""
        if job.job_id not in self.jobs_by_id:
            self._add_job(job, now)
            self._feasibility_unchecked = True

    def cancel(self, job_id: JobId, now: float) -> list[Stop]:
        """Cancels a job and returns the decisions that stop its tasks."""
        job = self.jobs_by_id.get(job_id)
        if job is None or job.ended:
            return []
        return self._end_job(job, JobState.CANCELLED, Reason.CANCELLED)

    def remove_job(self, job_id: JobId) -> None:
        """Removes an ended job as soon as none of its tasks holds capacity."""
        job = self.jobs_by_id.get(job_id)
        if job is None or not job.ended:
            return
        job.removed = True
        self._remove_if_done(job)

    def job_state(self, job_id: JobId) -> JobState | None:
        """Returns the state of a job, or None for an unknown one."""
        job = self.jobs_by_id.get(job_id)
        return job.state if job else None

    def pop_ended_jobs(self) -> list[JobEnded]:
        """Returns the jobs that have ended since the previous call."""
        jobs, self._ended_jobs = self._ended_jobs, []
        return jobs

    # Tasks

    def task_started(self, task_id: TaskId, vm: VmId, now: float) -> None:
        """Marks a task as confirmed by its worker."""
        task = self._find_task(task_id, vm)
        if task is None or task.confirmed:
            return
        task.confirmed = True
        task.started_at = now
        if task.state is TaskState.STARTING:
            task.state = TaskState.RUNNING

    def task_refused(
        self, task_id: TaskId, vm: VmId, reason: Reason, now: float
    ) -> None:
        """Requeues a task whose start did not take effect.

        Ignored for a task that is known to run: then a repeated start was refused.
        """
        task = self._find_task(task_id, vm)
        if task is None or task.confirmed:
            return
        self._release(task)
        self._requeue_task(task)

    def task_ended(
        self, task_id: TaskId, vm: VmId, end: TaskEnd, run_time_s: float, now: float
    ) -> None:
        """Releases the capacity of a task that ended and finishes or retries it."""
        task = self._find_task(task_id, vm)
        if task is None:
            return
        self._release(task)
        if end is TaskEnd.FINISHED:
            self._finish_task(task.job, task.index)
        else:
            self._retry_task(task, counted=not _ended_by_policy(task, end))

    def adopt_task(
        self, job: JobSpec, task_id: TaskId, vm: VmId, resources: Resources, now: float
    ) -> None:
        """Adds a task that was found running on a worker, and its job if unknown."""
        self.restore_job(job, now)
        adopted_job = self.jobs_by_id[job.job_id]
        index = task_index(task_id)
        if index in adopted_job.tasks or index in adopted_job.finished:
            return
        if vm not in self.fleet.workers_by_vm:
            self.fleet.add_or_update(vm, Resources(), "", available=False)
        if not adopted_job.ended:
            adopted_job.state = JobState.RUNNING
            self._remove_waiting(adopted_job, index)
        task = Task(task_id, adopted_job, index, vm, resources, TaskState.RUNNING, now)
        task.confirmed = True
        self._reserve(task)

    def restore_finished_task(self, task_id: TaskId) -> None:
        """Marks a task as finished that ended before a takeover."""
        job = self.jobs_by_id.get(job_id_of(task_id))
        index = task_index(task_id)
        if job is None or job.ended or index in job.finished or index in job.tasks:
            return
        self._remove_waiting(job, index)
        self._finish_task(job, index)

    def block_task(self, task_id: TaskId, until: float, now: float) -> None:
        """Prevents a restart before ``until`` of a task that may still be running."""
        task = self._find_task(task_id, None)
        if task is None:
            return
        task.state = TaskState.BLOCKED
        task.blocked_until = until
        heapq.heappush(self._block_expiries, (until, task_id))

    def usage_reported(self, task_id: TaskId, usage: Resources, now: float) -> None:
        """Records the usage of a task; reports lag behind the actual usage."""
        task = self._find_task(task_id, None)
        if task:
            task.usage = usage
            task.confirmed = True
            if task.state is TaskState.BLOCKED:
                task.state = TaskState.RUNNING

    # Decisions

    def decide(self, now: float, limit: int) -> list[Decision]:
        """Returns at most ``limit`` decisions.

        The capacity of each start is already reserved.
        """
        self._expire_blocks(now)
        if self._feasibility_unchecked and now >= self._next_feasibility_check_at:
            self._next_feasibility_check_at = now + FEASIBILITY_CHECK_INTERVAL_S
            self._refuse_infeasible(now)
        decisions: list[Decision] = []
        while self._pending_decisions and len(decisions) < limit:
            decisions.append(self._pending_decisions.popleft())
        if len(decisions) < limit:
            decisions.extend(self._place(now, limit - len(decisions)))
        return decisions

    def use_preset(
        self, preset: Preset, teams_by_name: dict[TeamName, Team], now: float
    ) -> None:
        """Applies another preset and other teams."""
        self.preset = preset
        self.teams_by_name = teams_by_name
        self._feasibility_unchecked = True

    def summary(self) -> Resources:
        """Returns the free resources of all workers that accept new tasks."""
        return self.fleet.free

    def explain(self, job_id: JobId, now: float) -> JobExplanation | None:
        """Returns why a job is in its state, or None for an unknown job."""
        return explain(self, job_id, now)

    def blocking_reason(self, job: Job, now: float) -> tuple[Reason | None, str]:
        """Returns why a waiting job cannot start, and a remedy."""
        return (Reason.NO_CAPACITY, "wait for running work to end, or add workers")

    def position(self, job: Job) -> int:
        """Returns the position of a waiting job in its class, from 1."""
        position = 1
        for other in self.waiting_by_id.values():
            if other.spec.urgency is job.spec.urgency:
                position += other.sequence < job.sequence
        return position

    def import_state(self, old: "Policy") -> None:
        """Copies every worker, job and task from another policy."""
        for worker in old.fleet.workers_by_vm.values():
            self.fleet.add_or_update(
                worker.vm, worker.capacity, worker.rack, worker.available
            )
            if worker.removed:
                self.fleet.remove(worker.vm)
        self._sequence = old._sequence
        self._block_expiries, self._pending_decisions = (
            old._block_expiries,
            old._pending_decisions,
        )
        self._ended_jobs = old._ended_jobs
        self.waiting_tasks_by_class = old.waiting_tasks_by_class
        for job in old.jobs_by_id.values():
            self.jobs_by_id[job.spec.job_id] = job
            job.queue_key = None
            for task in job.tasks.values():
                self._reserve(task)
        for job in old.waiting_by_id.values():
            self._enter_queue(job)
        self._feasibility_unchecked = True

    # Subclass hooks

    def _place(self, now: float, limit: int) -> list[Decision]:
        """Returns at most ``limit`` new decisions, mostly starts."""
        raise NotImplementedError

    def _check_queue_limit(self, job: JobSpec, now: float) -> Refused | None:
        """Returns a refusal if the queue of the job's class is full."""
        return None

    def _on_queued(self, job: Job) -> None:
        """Called when a job enters the queue."""

    def _on_unqueued(self, job: Job) -> None:
        """Called when a job leaves the queue."""

    def _on_reserved(self, task: Task) -> None:
        """Called after capacity was reserved for a task."""

    def _on_released(self, task: Task) -> None:
        """Called before the reservation of a task ends or changes."""

    # Shared helpers

    def class_policy(self, job: Job | JobSpec) -> ClassPolicy:
        """Returns the settings of a job's urgency class."""
        spec = job.spec if isinstance(job, Job) else job
        return getattr(self.preset, spec.urgency.value)

    def resources_for(
        self, job: JobSpec, min_resources: Resources | None = None
    ) -> Resources:
        """Returns the resources to reserve for one task of a job.

        Args:
            min_resources: Lower bound per resource; this base class ignores it.
        """
        return job.task_resources

    def start_task(
        self, job: Job, worker: Worker, need: Resources, now: float
    ) -> Start:
        """Reserves capacity for the next waiting task and returns its start."""
        index = job.next_waiting()
        self._count_waiting(job, -1)
        task_id = TaskId(f"{job.spec.job_id}/{index}")
        task = Task(task_id, job, index, worker.vm, need, TaskState.STARTING, now)
        job.state = JobState.RUNNING
        self._reserve(task)
        if not job.waiting:
            self._leave_queue(job)
        attempt = job.failures.get(index, 0) + 1
        return Start(task_id, job.spec.job_id, worker.vm, need, attempt)

    def _add_job(self, spec: JobSpec, now: float) -> None:
        """Adds a job whose tasks are all waiting."""
        self._sequence += 1
        job = Job(spec, now, self._sequence)
        self._count_waiting(job, spec.tasks)
        self.jobs_by_id[spec.job_id] = job
        self._enter_queue(job)

    def _count_waiting(self, job: Job, change: int) -> None:
        job.waiting += change
        self.waiting_tasks_by_class[job.spec.urgency] += change

    def _enter_queue(self, job: Job) -> None:
        if job.spec.job_id not in self.waiting_by_id:
            self.waiting_by_id[job.spec.job_id] = job
            self._on_queued(job)

    def _leave_queue(self, job: Job) -> None:
        if self.waiting_by_id.pop(job.spec.job_id, None):
            self._on_unqueued(job)

    def _remove_waiting(self, job: Job, index: int) -> None:
        self._count_waiting(job, -1)
        if index in job.retry_indexes:
            job.retry_indexes.remove(index)
        if not job.waiting:
            self._leave_queue(job)

    def _reserve(self, task: Task) -> None:
        self.fleet.reserve(task.vm, task.task_id, task.resources)
        task.job.tasks[task.index] = task
        self.tasks_by_vm.setdefault(task.vm, {})[task.task_id] = task
        self._on_reserved(task)

    def resize(self, task: Task, amount: Resources) -> None:
        """Changes the amount that is reserved for a task."""
        self._on_released(task)
        self.fleet.reserve(task.vm, task.task_id, amount)
        task.resources = amount
        self._on_reserved(task)

    def _release(self, task: Task) -> None:
        del task.job.tasks[task.index]
        tasks = self.tasks_by_vm[task.vm]
        del tasks[task.task_id]
        if not tasks:
            del self.tasks_by_vm[task.vm]
        self._on_released(task)
        self.fleet.release(task.vm, task.task_id)
        self._remove_if_done(task.job)

    def _remove_if_done(self, job: Job) -> None:
        if job.removed and not job.tasks:
            self.jobs_by_id.pop(job.spec.job_id, None)

    def _find_task(self, task_id: TaskId, vm: VmId | None) -> Task | None:
        """Returns a task that holds capacity, or None.

        Args:
            vm: Worker that must hold the task; None for any worker.
        """
        job = self.jobs_by_id.get(job_id_of(task_id))
        task = job.tasks.get(task_index(task_id)) if job else None
        if task is None or vm not in (None, task.vm):
            return None
        return task

    def _finish_task(self, job: Job, index: int) -> None:
        job.finished.add(index)
        if len(job.finished) == job.spec.tasks and not job.ended:
            self._end_job(job, JobState.FINISHED, None)

    def _requeue_task(self, task: Task) -> None:
        """Makes a released task wait again; a gang restarts as a whole."""
        job = task.job
        if job.ended:
            return
        job.retry_indexes.append(task.index)
        self._count_waiting(job, 1)
        if not job.tasks:
            job.state = JobState.WAITING
        if job.spec.gang and job.tasks:
            self.restart_gang(job)
        else:
            self._enter_queue(job)

    def restart_gang(self, job: Job) -> None:
        """Stops the remaining tasks of a gang, so that it can restart as a whole."""
        self._leave_queue(job)
        for task in job.tasks.values():
            if task.ending is None:
                task.ending = Reason.PREEMPTED
                self._pending_decisions.append(
                    Stop(task.task_id, task.vm, Reason.PREEMPTED)
                )

    def _retry_task(self, task: Task, counted: bool) -> None:
        """Requeues a task that ended, or fails its job if that is not permitted.

        Args:
            counted: Whether the end counts as a failed attempt.
        """
        job = task.job
        if job.ended:
            return
        if not job.spec.idempotent:
            exceeded = task.ending is Reason.USAGE_EXCEEDED
            reason = task.ending if exceeded else Reason.NOT_IDEMPOTENT_RETRY
            self._fail_job(job, reason)
            return
        if counted:
            job.failures[task.index] = job.failures.get(task.index, 0) + 1
        if job.failures.get(task.index, 0) >= job.spec.max_attempts:
            self._fail_job(job, Reason.ATTEMPTS_EXHAUSTED)
            return
        self._requeue_task(task)

    def _fail_job(self, job: Job, reason: Reason) -> None:
        self._pending_decisions.extend(self._end_job(job, JobState.FAILED, reason))

    def _end_job(self, job: Job, state: JobState, reason: Reason | None) -> list[Stop]:
        """Sets the final state of a job and returns the stops of its tasks."""
        self._leave_queue(job)
        job.state = state
        job.reason = reason
        self._count_waiting(job, -job.waiting)
        text = reason.value if reason else ""
        self._ended_jobs.append(JobEnded(job.spec.job_id, state, text))
        stop_reason = reason or Reason.CANCELLED
        return [Stop(t.task_id, t.vm, stop_reason) for t in job.tasks.values()]

    def _expire_blocks(self, now: float) -> None:
        """Releases and retries tasks whose block has expired."""
        while self._block_expiries and self._block_expiries[0][0] <= now:
            _, task_id = heapq.heappop(self._block_expiries)
            task = self._find_task(task_id, None)
            if task is None or task.state is not TaskState.BLOCKED:
                continue
            if task.blocked_until <= now:
                self._release(task)
                self._retry_task(task, counted=True)

    # Feasibility checks

    def _check_feasible(self, job: JobSpec) -> Refused | None:
        """Returns a refusal if the job can never run on the known workers."""
        if not self.fleet.worker_count_by_shape:
            return None
        found = explain_infeasible(self.fleet, job)
        return Refused(*found) if found else None

    def _refuse_infeasible(self, now: float) -> None:
        """Refuses waiting jobs that have been infeasible for the grace period."""
        self._feasibility_unchecked = False
        refusal_by_key: dict[tuple, Refused | None] = {}
        for job in list(self.waiting_by_id.values()):
            key = _feasibility_key(job.spec)
            if key not in refusal_by_key:
                refusal_by_key[key] = self._check_feasible(job.spec)
            refused = refusal_by_key[key]
            if refused is None:
                job.infeasible_since = None
                continue
            self._feasibility_unchecked = True
            if job.infeasible_since is None:
                job.infeasible_since = now
            if now - job.infeasible_since >= INFEASIBLE_GRACE_S:
                self._refuse_job(job, refused)

    def _refuse_job(self, job: Job, refused: Refused) -> None:
        self._pending_decisions.extend(
            self._end_job(job, JobState.REFUSED, refused.reason)
        )
        refusal = Refuse(job.spec.job_id, refused.reason, refused.remedy)
        self._pending_decisions.append(refusal)


def _feasibility_key(job: JobSpec) -> tuple:
    """Returns a cache key: jobs with equal keys are equally feasible."""
    need = shape_of(job.task_resources)
    return (need, job.tasks if job.gang else 1, job.team, job.urgency)


def _ended_by_policy(task: Task, end: TaskEnd) -> bool:
    """Returns whether this policy requested the end of a task."""
    return task.ending is not None and end in (TaskEnd.STOPPED, TaskEnd.CHECKPOINTED)


def load_policy(name: str) -> type[Policy]:
    """Returns the policy class registered under a name.

    Raises:
        ConfigError: No policy has this name.
    """
    path = CLASS_BY_NAME.get(name)
    if path is None:
        known = ", ".join(sorted(CLASS_BY_NAME))
        raise ConfigError(
            "preset", "$.policy", f"unknown policy {name!r}", f"use one of {known}"
        )
    module, _, attribute = path.partition(":")
    return getattr(import_module(module), attribute)


def replace_policy(
    old: Policy, preset: Preset, teams_by_name: dict[TeamName, Team], now: float
) -> Policy:
    """Applies a preset, which may select another policy.

    Returns:
        The same policy, or a new one with every worker, job and task of the old
        one, which must not be used again.
    """
    if load_policy(preset.policy) is type(old):
        old.use_preset(preset, teams_by_name, now)
        return old
    new = make_policy(preset, teams_by_name)
    new.import_state(old)
    return new


def make_policy(preset: Preset, teams_by_name: dict[TeamName, Team]) -> Policy:
    """Creates the policy that a preset names."""
    return load_policy(preset.policy)(preset, teams_by_name)
