"""What a scheduling policy decides, and the jobs and tasks it decides on."""

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
    """Start a task on a worker; the capacity is already reserved."""

    task_id: TaskId
    job_id: JobId
    vm: VmId
    resources: Resources
    attempt: int = 1


@dataclass(frozen=True, slots=True)
class Throttle:
    """Limit a running task to some cores."""

    task_id: TaskId
    vm: VmId
    cpu: float
    reason: Reason = Reason.PREEMPTED


@dataclass(frozen=True, slots=True)
class Resume:
    """Lift the limit of a throttled task."""

    task_id: TaskId
    vm: VmId


@dataclass(frozen=True, slots=True)
class Checkpoint:
    """Checkpoint a task and end it; it is started again later."""

    task_id: TaskId
    vm: VmId
    reason: Reason = Reason.PREEMPTED


@dataclass(frozen=True, slots=True)
class Stop:
    """Stop a task."""

    task_id: TaskId
    vm: VmId
    reason: Reason = Reason.CANCELLED


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse a job that was admitted and can no longer run."""

    job_id: JobId
    reason: Reason
    remedy: str


Decision = Start | Throttle | Resume | Checkpoint | Stop | Refuse


@dataclass(frozen=True, slots=True)
class Admitted:
    """The job waits for its placement."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The job was not accepted and nothing of it ran.

    Attributes:
        retry_after_ms: When to try again; 0 when trying again cannot help.
    """

    reason: Reason
    remedy: str
    retry_after_ms: int = 0


@dataclass(slots=True, eq=False)
class Task:
    """A task that holds capacity on a worker."""

    task_id: TaskId
    job: "Job"
    index: int
    vm: VmId
    resources: Resources
    state: TaskState
    since: float
    blocked_until: float = 0.0
    # Pool and rack under which its capacity is accounted.
    pool: Pool | None = None
    rack: str = ""
    usage: Resources | None = None
    peak: Resources | None = None
    throttled_cpu: float = 0.0
    # Time of the last action against its usage.
    acted_at: float = -math.inf
    # Whether the worker confirmed that it runs.
    confirmed: bool = False
    # Reason of a checkpoint or stop that this policy asked for.
    ending: Reason | None = None


@dataclass(slots=True, eq=False)
class Job:
    """An admitted job; only tasks that hold capacity have a record."""

    spec: JobSpec
    submitted_at: float
    sequence: int
    state: JobState = JobState.WAITING
    reason: Reason | None = None
    waiting: int = 0
    next_index: int = 0
    again: list[int] = field(default_factory=list)
    finished: set[int] = field(default_factory=set)
    failures: dict[int, int] = field(default_factory=dict)
    tasks: dict[int, Task] = field(default_factory=dict)
    failed_vms: set[VmId] = field(default_factory=set)
    impossible_since: float | None = None
    removed: bool = False
    # What the policy knows of a waiting job.
    level: Urgency | None = None
    lane: tuple | None = None
    aged_steps: int = 0
    tried_at: int = -1
    blocked_by: Reason | None = None
    # Usage of a task that was ended because it exceeded its declaration.
    floor: Resources | None = None

    @property
    def ended(self) -> bool:
        """Whether the job has its final state."""
        return self.state in ENDED_STATES

    def next_waiting(self) -> int:
        """Returns the index of the task that is next."""
        if self.again:
            return self.again.pop()
        while self.next_index in self.finished or self.next_index in self.tasks:
            self.next_index += 1
        self.next_index += 1
        return self.next_index - 1


def task_index(task_id: TaskId) -> int:
    """Returns the index in a task id ``job/index``."""
    return int(task_id.rpartition("/")[2])


def job_id_of(task_id: TaskId) -> JobId:
    """Returns the job of a task id ``job/index``."""
    return JobId(task_id.rpartition("/")[0])
