"""Base class of scheduling policies, their decisions and their registry."""

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

# A worker that is replaced comes back within this time, so a job that fits no
# known worker is refused only after it.
IMPOSSIBLE_GRACE_S = 60.0
IMPOSSIBLE_INTERVAL_S = 1.0

CLASS_BY_NAME = {
    "fairshare": "arbutusladder.fairshare:FairShare",
    "firstfit": "arbutusladder.firstfit:FirstFit",
}


class Policy:
    """Decides what the owner of one shard does with jobs.

    The owner reports every change through the methods below, calls ``decide``
    and carries the decisions out. The contract:

    * A ``Start`` reserves its capacity when it is decided. The owner answers it
      with exactly one of ``task_started``, ``task_refused`` (the start did not
      take effect) or ``block_task`` (it may have taken effect).
    * The reservation ends with ``task_ended``, ``task_refused`` or the end of a
      block, and with nothing else.
    * Decisions are carried out in their order. A ``Throttle`` or ``Resume`` changes
      the reservation at once, so it reaches a worker before, or together with,
      the starts that follow it.
    * ``limit`` may be exceeded by the tasks of one gang, which start together.
    * A task holds capacity on at most one worker.
    * A task of a job that is not idempotent is started again only after
      ``task_refused``.
    * ``take_ended`` returns each job that ended, once. Tasks of such a job may
      still hold capacity until their own end is reported.
    * Reports about unknown jobs or tasks are ignored.

    Subclasses implement ``_place`` and may extend the hooks ``_queued``,
    ``_unqueued``, ``_reserved``, ``_released`` and ``_limit``.
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
        self._blocked: list[tuple[float, TaskId]] = []
        self._pending: deque[Decision] = deque()
        self._ended: list[JobEnded] = []
        self._check_waiting = False
        self._next_check_at = -math.inf

    # Workers

    def worker_changed(
        self, vm: VmId, resources: Resources, rack: str, available: bool, now: float
    ) -> None:
        """Adds or changes a worker; only an available one gets new tasks."""
        known = self.fleet.workers_by_vm.get(vm)
        changed = (resources, rack, available)
        if known and not known.removed:
            same = (known.capacity, known.rack, known.available) == changed
            if same:
                return
        self.fleet.add_or_update(vm, *changed)
        self._check_waiting = True

    def worker_removed(self, vm: VmId, now: float) -> None:
        """Removes a worker; its tasks keep their state until reported or blocked."""
        self.fleet.remove(vm)
        self._check_waiting = True

    # Jobs

    def submit(self, job: JobSpec, now: float) -> Admitted | Refused:
        """Admits a job or says why not; admitting the same job again is safe."""
        if job.job_id in self.jobs_by_id:
            return Admitted()
        refused = self._impossible(job) or self._limit(job, now)
        if refused:
            return refused
        self._add(job, now)
        return Admitted()

    def restore_job(self, job: JobSpec, now: float) -> None:
        """Adds a job that was accepted before, without any limit."""
        if job.job_id not in self.jobs_by_id:
            self._add(job, now)
            self._check_waiting = True

    def cancel(self, job_id: JobId, now: float) -> list[Stop]:
        """Cancels a job and returns the stops of its tasks."""
        job = self.jobs_by_id.get(job_id)
        if job is None or job.ended:
            return []
        return self._end(job, JobState.CANCELLED, Reason.CANCELLED)

    def remove_job(self, job_id: JobId) -> None:
        """Drops an ended job, once none of its tasks holds capacity."""
        job = self.jobs_by_id.get(job_id)
        if job is None or not job.ended:
            return
        job.removed = True
        self._drop_if_done(job)

    def job_state(self, job_id: JobId) -> JobState | None:
        """Returns the state of a job, or None for an unknown one."""
        job = self.jobs_by_id.get(job_id)
        return job.state if job else None

    def pop_ended_jobs(self) -> list[JobEnded]:
        """Returns the jobs that ended since the last call."""
        ended, self._ended = self._ended, []
        return ended

    # Tasks

    def task_started(self, task_id: TaskId, vm: VmId, now: float) -> None:
        """The worker runs a task that was decided."""
        task = self._task(task_id, vm)
        if task is None or task.confirmed:
            return
        task.confirmed = True
        task.since = now
        if task.state is TaskState.STARTING:
            task.state = TaskState.RUNNING

    def task_refused(
        self, task_id: TaskId, vm: VmId, reason: Reason, now: float
    ) -> None:
        """A start did not take effect; the task waits again.

        Ignored for a task that is known to run: a repeated start was refused.
        """
        task = self._task(task_id, vm)
        if task is None or task.confirmed:
            return
        self._release(task)
        self._wait_again(task)

    def task_ended(
        self, task_id: TaskId, vm: VmId, end: TaskEnd, run_time_s: float, now: float
    ) -> None:
        """A task ended on its worker and no longer holds capacity."""
        task = self._task(task_id, vm)
        if task is None:
            return
        self._release(task)
        if end is TaskEnd.FINISHED:
            self._finish(task.job, task.index)
        else:
            self._start_again(task, counted=not _asked_for(task, end))

    def adopt_task(
        self, job: JobSpec, task_id: TaskId, vm: VmId, resources: Resources, now: float
    ) -> None:
        """Takes over a task that was found running on a worker."""
        self.restore_job(job, now)
        record = self.jobs_by_id[job.job_id]
        index = task_index(task_id)
        if index in record.tasks or index in record.finished:
            return
        if vm not in self.fleet.workers_by_vm:
            self.fleet.add_or_update(vm, Resources(), "", available=False)
        if not record.ended:
            record.state = JobState.RUNNING
            self._take_waiting(record, index)
        task = Task(task_id, record, index, vm, resources, TaskState.RUNNING, now)
        task.confirmed = True
        self._reserve(task)

    def restore_finished_task(self, task_id: TaskId) -> None:
        """Marks a task as finished before a takeover."""
        job = self.jobs_by_id.get(job_id_of(task_id))
        index = task_index(task_id)
        if job is None or job.ended or index in job.finished or index in job.tasks:
            return
        self._take_waiting(job, index)
        self._finish(job, index)

    def block_task(self, task_id: TaskId, until: float, now: float) -> None:
        """Keeps a task that may still run from being started before ``until``."""
        task = self._task(task_id, None)
        if task is None:
            return
        task.state = TaskState.BLOCKED
        task.blocked_until = until
        heapq.heappush(self._blocked, (until, task_id))

    def usage_reported(self, task_id: TaskId, usage: Resources, now: float) -> None:
        """Notes what a task uses; a lagging figure."""
        task = self._task(task_id, None)
        if task:
            task.usage = usage
            task.confirmed = True
            if task.state is TaskState.BLOCKED:
                task.state = TaskState.RUNNING

    # Decisions

    def decide(self, now: float, limit: int) -> list[Decision]:
        """Returns at most ``limit`` decisions; starts are already reserved."""
        self._expire_blocks(now)
        if self._check_waiting and now >= self._next_check_at:
            self._next_check_at = now + IMPOSSIBLE_INTERVAL_S
            self._refuse_impossible(now)
        decisions: list[Decision] = []
        while self._pending and len(decisions) < limit:
            decisions.append(self._pending.popleft())
        if len(decisions) < limit:
            decisions.extend(self._place(now, limit - len(decisions)))
        return decisions

    def use_preset(
        self, preset: Preset, teams_by_name: dict[TeamName, Team], now: float
    ) -> None:
        """Puts another preset and other teams into force."""
        self.preset = preset
        self.teams_by_name = teams_by_name
        self._check_waiting = True

    def summary(self) -> Resources:
        """Returns what is free on workers in use."""
        return self.fleet.free

    def explain(self, job_id: JobId, now: float) -> JobExplanation | None:
        """Returns why a job is in its state, or None for an unknown job."""
        return explain(self, job_id, now)

    def blocking_reason(self, job: Job, now: float) -> tuple[Reason | None, str]:
        """Returns what keeps a waiting job from starting, and what would help."""
        return (Reason.NO_CAPACITY, "wait for running work to end, or add workers")

    def position(self, job: Job) -> int:
        """Returns the place of a waiting job in its class, from 1."""
        ahead = 1
        for other in self.waiting_by_id.values():
            if other.spec.urgency is job.spec.urgency:
                ahead += other.sequence < job.sequence
        return ahead

    def import_state(self, old: "Policy") -> None:
        """Takes every worker, job and task of another policy."""
        for worker in old.fleet.workers_by_vm.values():
            self.fleet.add_or_update(
                worker.vm, worker.capacity, worker.rack, worker.available
            )
            if worker.removed:
                self.fleet.remove(worker.vm)
        self._sequence = old._sequence
        self._blocked, self._pending = old._blocked, old._pending
        self._ended = old._ended
        self.waiting_tasks_by_class = old.waiting_tasks_by_class
        for job in old.jobs_by_id.values():
            self.jobs_by_id[job.spec.job_id] = job
            job.lane = None
            for task in job.tasks.values():
                self._reserve(task)
        for job in old.waiting_by_id.values():
            self._enter_queue(job)
        self._check_waiting = True

    # Hooks of subclasses

    def _place(self, now: float, limit: int) -> list[Decision]:
        raise NotImplementedError

    def _limit(self, job: JobSpec, now: float) -> Refused | None:
        """Returns a refusal when a queue is full."""
        return None

    def _queued(self, job: Job) -> None:
        """The job has waiting tasks."""

    def _unqueued(self, job: Job) -> None:
        """The job has no waiting tasks any more."""

    def _reserved(self, task: Task) -> None:
        """The task holds capacity."""

    def _released(self, task: Task) -> None:
        """The task holds no capacity any more."""

    # Shared steps

    def class_policy(self, job: Job | JobSpec) -> ClassPolicy:
        """Returns the part of the preset for a job's class."""
        spec = job.spec if isinstance(job, Job) else job
        return getattr(self.preset, spec.urgency.value)

    def need_of(self, job: JobSpec, floor: Resources | None = None) -> Resources:
        """Returns what one task of a job is given, at least a floor."""
        return job.task_resources

    def start_task(
        self, job: Job, worker: Worker, need: Resources, now: float
    ) -> Start:
        """Reserves capacity for the next waiting task of a job."""
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

    def _add(self, spec: JobSpec, now: float) -> None:
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
            self._queued(job)

    def _leave_queue(self, job: Job) -> None:
        if self.waiting_by_id.pop(job.spec.job_id, None):
            self._unqueued(job)

    def _take_waiting(self, job: Job, index: int) -> None:
        self._count_waiting(job, -1)
        if index in job.again:
            job.again.remove(index)
        if not job.waiting:
            self._leave_queue(job)

    def _reserve(self, task: Task) -> None:
        self.fleet.reserve(task.vm, task.task_id, task.resources)
        task.job.tasks[task.index] = task
        self.tasks_by_vm.setdefault(task.vm, {})[task.task_id] = task
        self._reserved(task)

    def resize(self, task: Task, amount: Resources) -> None:
        """Changes the reservation of a task."""
        self._released(task)
        self.fleet.reserve(task.vm, task.task_id, amount)
        task.resources = amount
        self._reserved(task)

    def _release(self, task: Task) -> None:
        del task.job.tasks[task.index]
        tasks = self.tasks_by_vm[task.vm]
        del tasks[task.task_id]
        if not tasks:
            del self.tasks_by_vm[task.vm]
        self._released(task)
        self.fleet.release(task.vm, task.task_id)
        self._drop_if_done(task.job)

    def _drop_if_done(self, job: Job) -> None:
        if job.removed and not job.tasks:
            self.jobs_by_id.pop(job.spec.job_id, None)

    def _task(self, task_id: TaskId, vm: VmId | None) -> Task | None:
        job = self.jobs_by_id.get(job_id_of(task_id))
        task = job.tasks.get(task_index(task_id)) if job else None
        if task is None or vm not in (None, task.vm):
            return None
        return task

    def _finish(self, job: Job, index: int) -> None:
        job.finished.add(index)
        if len(job.finished) == job.spec.tasks and not job.ended:
            self._end(job, JobState.FINISHED, None)

    def _wait_again(self, task: Task) -> None:
        job = task.job
        if job.ended:
            return
        job.again.append(task.index)
        self._count_waiting(job, 1)
        if not job.tasks:
            job.state = JobState.WAITING
        if job.spec.gang and job.tasks:
            self.restart_gang(job)
        else:
            self._enter_queue(job)

    def restart_gang(self, job: Job) -> None:
        """Stops what is left of a gang, so that all of it can start together."""
        self._leave_queue(job)
        for task in job.tasks.values():
            if task.ending is None:
                task.ending = Reason.PREEMPTED
                self._pending.append(Stop(task.task_id, task.vm, Reason.PREEMPTED))

    def _start_again(self, task: Task, counted: bool) -> None:
        job = task.job
        if job.ended:
            return
        if not job.spec.idempotent:
            exceeded = task.ending is Reason.USAGE_EXCEEDED
            reason = task.ending if exceeded else Reason.NOT_IDEMPOTENT_RETRY
            self._fail(job, reason)
            return
        if counted:
            job.failures[task.index] = job.failures.get(task.index, 0) + 1
        if job.failures.get(task.index, 0) >= job.spec.max_attempts:
            self._fail(job, Reason.ATTEMPTS_EXHAUSTED)
            return
        self._wait_again(task)

    def _fail(self, job: Job, reason: Reason) -> None:
        self._pending.extend(self._end(job, JobState.FAILED, reason))

    def _end(self, job: Job, state: JobState, reason: Reason | None) -> list[Stop]:
        self._leave_queue(job)
        job.state = state
        job.reason = reason
        self._count_waiting(job, -job.waiting)
        text = reason.value if reason else ""
        self._ended.append(JobEnded(job.spec.job_id, state, text))
        stop_reason = reason or Reason.CANCELLED
        return [Stop(t.task_id, t.vm, stop_reason) for t in job.tasks.values()]

    def _expire_blocks(self, now: float) -> None:
        while self._blocked and self._blocked[0][0] <= now:
            _, task_id = heapq.heappop(self._blocked)
            task = self._task(task_id, None)
            if task is None or task.state is not TaskState.BLOCKED:
                continue
            if task.blocked_until <= now:
                self._release(task)
                self._start_again(task, counted=True)

    # Jobs that can never run

    def _impossible(self, job: JobSpec) -> Refused | None:
        if not self.fleet.worker_count_by_shape:
            return None
        found = explain_infeasible(self.fleet, job)
        return Refused(*found) if found else None

    def _refuse_impossible(self, now: float) -> None:
        self._check_waiting = False
        found_by_kind: dict[tuple, Refused | None] = {}
        for job in list(self.waiting_by_id.values()):
            kind = _kind(job.spec)
            if kind not in found_by_kind:
                found_by_kind[kind] = self._impossible(job.spec)
            refused = found_by_kind[kind]
            if refused is None:
                job.impossible_since = None
                continue
            self._check_waiting = True
            if job.impossible_since is None:
                job.impossible_since = now
            if now - job.impossible_since >= IMPOSSIBLE_GRACE_S:
                self._refuse(job, refused)

    def _refuse(self, job: Job, refused: Refused) -> None:
        self._pending.extend(self._end(job, JobState.REFUSED, refused.reason))
        refusal = Refuse(job.spec.job_id, refused.reason, refused.remedy)
        self._pending.append(refusal)


def _kind(job: JobSpec) -> tuple:
    """Returns what decides whether a job can ever run."""
    need = shape_of(job.task_resources)
    return (need, job.tasks if job.gang else 1, job.team, job.urgency)


def _asked_for(task: Task, end: TaskEnd) -> bool:
    """Returns whether this policy caused the end of a task."""
    return task.ending is not None and end in (TaskEnd.STOPPED, TaskEnd.CHECKPOINTED)


def load_policy(name: str) -> type[Policy]:
    """Returns the class of a policy.

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
    """Puts a preset into force that may name another policy.

    Returns:
        The same policy, or a new one that has taken over every worker, job and
        task. The old one must not be used again.
    """
    if load_policy(preset.policy) is type(old):
        old.use_preset(preset, teams_by_name, now)
        return old
    new = make_policy(preset, teams_by_name)
    new.import_state(old)
    return new


def make_policy(preset: Preset, teams_by_name: dict[TeamName, Team]) -> Policy:
    """Returns the policy that a preset names."""
    return load_policy(preset.policy)(preset, teams_by_name)
