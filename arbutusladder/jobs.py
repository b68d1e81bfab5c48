"""State machine of jobs and tasks at the owner of a shard; performs no I/O."""

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from arbutusladder.ids import JobId, TaskId, VmId
from arbutusladder.messages import JobSpec, Resources
from arbutusladder.states import JobState, TaskState

# States in which a task may be running on a worker.
MAY_RUN = frozenset(
    {TaskState.STARTING, TaskState.RUNNING, TaskState.BLOCKED, TaskState.STOPPING}
)
FINAL_JOB_STATES = frozenset(
    {JobState.FINISHED, JobState.FAILED, JobState.CANCELLED, JobState.REFUSED}
)


class TaskEvent(Enum):
    """Event that changes the state of a task at the owner of its shard."""

    SENT = "sent"
    STARTED = "started"
    REFUSED = "refused"
    FOUND = "found"
    LOST = "lost"
    STOP_REQUESTED = "stop_asked"
    RETRY = "retry"
    ENDED = "ended"


_WAITING = TaskState.WAITING
_STARTING = TaskState.STARTING
_RUNNING = TaskState.RUNNING
_BLOCKED = TaskState.BLOCKED
_STOPPING = TaskState.STOPPING
_ENDED = TaskState.ENDED

TRANSITIONS: dict[tuple[TaskState, TaskEvent], TaskState] = {
    (_WAITING, TaskEvent.SENT): _STARTING,
    (_WAITING, TaskEvent.FOUND): _RUNNING,
    (_WAITING, TaskEvent.LOST): _BLOCKED,
    (_WAITING, TaskEvent.RETRY): _WAITING,
    (_WAITING, TaskEvent.ENDED): _ENDED,
    (_STARTING, TaskEvent.STARTED): _RUNNING,
    (_STARTING, TaskEvent.FOUND): _RUNNING,
    (_STARTING, TaskEvent.REFUSED): _WAITING,
    (_STARTING, TaskEvent.LOST): _BLOCKED,
    (_STARTING, TaskEvent.STOP_REQUESTED): _STOPPING,
    (_STARTING, TaskEvent.RETRY): _WAITING,
    (_STARTING, TaskEvent.ENDED): _ENDED,
    (_RUNNING, TaskEvent.STARTED): _RUNNING,
    (_RUNNING, TaskEvent.FOUND): _RUNNING,
    (_RUNNING, TaskEvent.LOST): _BLOCKED,
    (_RUNNING, TaskEvent.STOP_REQUESTED): _STOPPING,
    (_RUNNING, TaskEvent.RETRY): _WAITING,
    (_RUNNING, TaskEvent.ENDED): _ENDED,
    (_BLOCKED, TaskEvent.FOUND): _RUNNING,
    (_BLOCKED, TaskEvent.LOST): _BLOCKED,
    (_BLOCKED, TaskEvent.REFUSED): _WAITING,
    (_BLOCKED, TaskEvent.STOP_REQUESTED): _STOPPING,
    (_BLOCKED, TaskEvent.RETRY): _WAITING,
    (_BLOCKED, TaskEvent.ENDED): _ENDED,
    (_STOPPING, TaskEvent.STARTED): _STOPPING,
    (_STOPPING, TaskEvent.FOUND): _STOPPING,
    (_STOPPING, TaskEvent.LOST): _STOPPING,
    (_STOPPING, TaskEvent.STOP_REQUESTED): _STOPPING,
    (_STOPPING, TaskEvent.REFUSED): _WAITING,
    (_STOPPING, TaskEvent.RETRY): _WAITING,
    (_STOPPING, TaskEvent.ENDED): _ENDED,
}


class IllegalTransition(Exception):
    """An event is not valid in the state of its task; indicates a bug."""


@dataclass(slots=True)
class Task:
    """One task of a job.

    Attributes:
        attempt: Number of the latest start that was sent.
        vm: Worker that may run the task.
        may_have_run: Whether a start may have taken effect; a task that is not
            idempotent is then never started again.
        usage: Latest reported usage.
    """

    task_id: TaskId
    job_id: JobId
    state: TaskState = TaskState.WAITING
    attempt: int = 0
    vm: VmId | None = None
    may_have_run: bool = False
    usage: Resources | None = None

    @property
    def may_run(self) -> bool:
        """Whether the task may be running, or may be started by a message in flight."""
        return self.state in MAY_RUN


@dataclass
class Job:
    """One job and its tasks.

    Attributes:
        tasks_by_id: Tasks that were accessed; a task without an entry is waiting.
        previously_started: Tasks that a previous owner may have started; None if it
            may have started any of them.
        counts: Number of tasks by state.
        reason: Why the job failed or was refused.
        end_recorded: Whether the log has confirmed the end, or the job is not durable.
        unacknowledged_ends: Ended tasks whose workers keep the result until the end
            of the job is recorded.
    """

    spec: JobSpec
    tasks_by_id: dict[TaskId, Task]
    counts: Counter[TaskState]
    state: JobState = JobState.WAITING
    reason: str = ""
    previously_started: frozenset[TaskId] | None = frozenset()
    end_recorded: bool = False
    unacknowledged_ends: list[tuple[VmId, TaskId]] = field(default_factory=list)

    @property
    def is_final(self) -> bool:
        """Whether the job has ended; its tasks may still be stopping."""
        return self.state in FINAL_JOB_STATES

    @property
    def is_idle(self) -> bool:
        """Whether no task of the job can be running."""
        idle = self.counts[TaskState.WAITING] + self.counts[TaskState.ENDED]
        return idle == self.spec.tasks


def task_id_of(job_id: JobId, index: int) -> TaskId:
    """Returns the ID of a task from its index in the job."""
    return TaskId(f"{job_id}/{index}")


def job_id_of(task_id: TaskId) -> JobId:
    """Returns the ID of the job of a task."""
    return JobId(task_id.rpartition("/")[0])


class JobTable:
    """Jobs and tasks of one shard.

    Attributes:
        counts: Number of tasks of all jobs by state.
    """

    def __init__(self):
        self.jobs_by_id: dict[JobId, Job] = {}
        self.counts: Counter[TaskState] = Counter()

    def add(
        self, spec: JobSpec, previously_started: frozenset[TaskId] | None = frozenset()
    ) -> Job:
        """Adds a job whose tasks are all waiting."""
        job = Job(spec, {}, Counter({TaskState.WAITING: spec.tasks}))
        job.previously_started = previously_started
        job.end_recorded = not spec.durable
        self.counts[TaskState.WAITING] += spec.tasks
        self.jobs_by_id[spec.job_id] = job
        return job

    def remove(self, job_id: JobId) -> None:
        """Removes a job and its tasks."""
        job = self.jobs_by_id.pop(job_id, None)
        if job:
            self.counts.subtract(job.counts)

    def job(self, job_id: JobId) -> Job | None:
        """Returns a job, or None if it is unknown."""
        return self.jobs_by_id.get(job_id)

    def task(self, task_id: TaskId) -> Task | None:
        """Returns a task, or None if it is unknown."""
        job = self.jobs_by_id.get(job_id_of(task_id))
        return self._task(job, task_id) if job else None

    def all_tasks(self, job: Job) -> list[Task]:
        """Returns all tasks of a job, in order of their index."""
        job_id = job.spec.job_id
        ids = (task_id_of(job_id, index) for index in range(job.spec.tasks))
        return [self._task(job, task_id) for task_id in ids]

    def apply_event(self, task: Task, event: TaskEvent) -> None:
        """Applies an event to a task and updates the task counts and the job state.

        Raises:
            IllegalTransition: The event is not valid in the state of the task.
        """
        state = TRANSITIONS.get((task.state, event))
        if state is None:
            raise IllegalTransition(
                f"task {task.task_id} is in state {task.state.value}, in which event "
                f"{event.value} is not valid; this is a bug, report it with the journal"
            )
        job = self.jobs_by_id[task.job_id]
        for counts in (job.counts, self.counts):
            counts[task.state] -= 1
            counts[state] += 1
        task.state = state
        if not job.is_final:
            job.state = state_from_counts(job)

    def _task(self, job: Job, task_id: TaskId) -> Task | None:
        task = job.tasks_by_id.get(task_id)
        if task is None and _in_range(task_id, job.spec.tasks):
            before = job.previously_started
            may_have_run = before is None or task_id in before
            task = Task(task_id, job.spec.job_id, may_have_run=may_have_run)
            job.tasks_by_id[task_id] = task
        return task

    def end(self, job: Job, state: JobState, reason: str = "") -> None:
        """Ends a job; has no effect if the job has already ended."""
        if not job.is_final:
            job.state = state
            job.reason = reason


def state_from_counts(job: Job) -> JobState:
    """Returns the state of a job that has not ended, from its task counts."""
    waiting = job.counts[TaskState.WAITING] == job.spec.tasks
    return JobState.WAITING if waiting else JobState.RUNNING


def _in_range(task_id: TaskId, tasks: int) -> bool:
    index = task_id.rpartition("/")[2]
    return index.isdecimal() and int(index) < tasks
