"""Decisions of a scheduling policy, and its records of jobs and tasks."""

import math
from dataclasses import dataclass, field

from arbutusladder.fleet import Pool
from arbutusladder.ids import JobId, TaskId, VmId
from arbutusladder.messages import JobSpec, Resources
from arbutusladder.states import JobState, Reason, TaskState, Urgency

ENDED_STATES = frozenset(
    {JobState.FINISHED, JobState.FAILED, JobState.CANCELLED, JobState.REFUSED}
)


@dataclass(frozen=True, slots=True)
class Start:
    """Starts a task on a worker; the capacity is already reserved."""

    task_id: TaskId
    job_id: JobId
    vm: VmId
    resources: Resources
    attempt: int = 1


@dataclass(frozen=True, slots=True)
class Throttle:
    """Limits a running task to a number of cores."""

    task_id: TaskId
    vm: VmId
    cpu: float
    reason: Reason = Reason.PREEMPTED


@dataclass(frozen=True, slots=True)
class Resume:
    """Lifts the limit of a throttled task."""

    task_id: TaskId
    vm: VmId


@dataclass(frozen=True, slots=True)
class Checkpoint:
    """Checkpoints and ends a task, which is started again later."""

    task_id: TaskId
    vm: VmId
    reason: Reason = Reason.PREEMPTED


@dataclass(frozen=True, slots=True)
class Stop:
    """Stops a task."""

    task_id: TaskId
    vm: VmId
    reason: Reason = Reason.CANCELLED


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuses an admitted job that can no longer run."""

    job_id: JobId
    reason: Reason
    remedy: str


Decision = Start | Throttle | Resume | Checkpoint | Stop | Refuse


@dataclass(frozen=True, slots=True)
class Admitted:
    """The job was accepted and waits for placement."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The job was not accepted; none of its tasks ran.

    Attributes:
        retry_after_ms: Milliseconds after which to retry; 0 if a retry cannot succeed.
    """

    reason: Reason
    remedy: str
    retry_after_ms: int = 0


@dataclass(slots=True, eq=False)
class Task:
    """A task that holds capacity on a worker.

    Attributes:
        started_at: Time of the start in seconds; set again once confirmed.
        blocked_until: Time until which a blocked task keeps its capacity.
        usage: Latest reported usage.
        peak: Highest recorded usage.
        throttled_cpu: Core limit while throttled, otherwise 0.
    """

    task_id: TaskId
    job: "Job"
    index: int
    vm: VmId
    resources: Resources
    state: TaskState
    started_at: float
    blocked_until: float = 0.0
    # Pool and rack whose usage includes this task.
    pool: Pool | None = None
    rack: str = ""
    usage: Resources | None = None
    peak: Resources | None = None
    throttled_cpu: float = 0.0
    # Time of the last throttle, checkpoint or stop because of its usage.
    last_action_at: float = -math.inf
    # Whether the worker confirmed that the task runs.
    confirmed: bool = False
    # Reason of a checkpoint or stop that the policy requested.
    ending: Reason | None = None


@dataclass(slots=True, eq=False)
class Job:
    """An admitted job; only tasks that hold capacity have a record.

    Attributes:
        waiting: Number of waiting tasks.
        next_index: Next index to consider for a first start.
        retry_indexes: Indexes of tasks that wait for another start.
        finished: Indexes of finished tasks.
        failures: Number of failed attempts by task index.
        tasks: Tasks that hold capacity, by index.
        failed_vms: Workers on which tasks of the job failed.
        infeasible_since: Time since which the job fits no known worker.
        removed: Whether the owner has removed the job.
    """

    spec: JobSpec
    submitted_at: float
    sequence: int
    state: JobState = JobState.WAITING
    reason: Reason | None = None
    waiting: int = 0
    next_index: int = 0
    retry_indexes: list[int] = field(default_factory=list)
    finished: set[int] = field(default_factory=set)
    failures: dict[int, int] = field(default_factory=dict)
    tasks: dict[int, Task] = field(default_factory=dict)
    failed_vms: set[VmId] = field(default_factory=set)
    infeasible_since: float | None = None
    removed: bool = False
    # Queue state of a waiting job: level, key of its shape queue, number of aging
    # steps, and fleet version of the last attempt to start it as a gang.
    level: Urgency | None = None
    queue_key: tuple | None = None
    aged_steps: int = 0
    tried_at_version: int = -1
    blocked_by: Reason | None = None
    # Highest usage of tasks that were ended for exceeding their declaration.
    min_resources: Resources | None = None

    @property
    def ended(self) -> bool:
        """Whether the job is in a final state."""
        return self.state in ENDED_STATES

    def next_waiting(self) -> int:
        """Removes and returns the index of the next waiting task."""
        if self.retry_indexes:
            return self.retry_indexes.pop()
        while self.next_index in self.finished or self.next_index in self.tasks:
            self.next_index += 1
        self.next_index += 1
        return self.next_index - 1


def task_index(task_id: TaskId) -> int:
    """Returns the index in a task ID of the form ``job/index``."""
    return int(task_id.rpartition("/")[2])


def job_id_of(task_id: TaskId) -> JobId:
    """Returns the job ID in a task ID of the form ``job/index``."""
    return JobId(task_id.rpartition("/")[0])
