"""Jobs at work: occurrences, steps and tasks."""

from dataclasses import dataclass, field

from arbutusladder.cell.states import JobPhase
from arbutusladder.cell.workers import Run
from arbutusladder.ids import JobId, VmId
from arbutusladder.messages import (
    AdviceReply,
    FailedRun,
    JobProgress,
    StageProgress,
    StepSpec,
    SubmittedJob,
)

# Workers that the users' time objective counts for one call for advice (RULES).
OBJECTIVE_ADVICE_WORKERS = 30
# A job is worth something until this multiple of its objective (RULES, credit).
LATE_OBJECTIVE_FACTOR = 3.0
# Seconds taken off the validity of a ticket for the way of the start order.
TICKET_MARGIN_S = 0.2


@dataclass(slots=True)
class Task:
    """One task of a step.

    Attributes:
        done: Whether a run of it ended successfully.
        failed_runs: Numbers of the runs that ended as failed.
        last_run: Highest run number used.
        saved: Newest saved point.
        runs: Runs that are not over.
    """

    done: bool = False
    failed_runs: set[int] = field(default_factory=set)
    last_run: int = 0
    saved: str = ""
    runs: list[Run] = field(default_factory=list)

    @property
    def waits(self) -> bool:
        """Whether it has to be started."""
        return not self.done and not self.runs


@dataclass(slots=True)
class Ticket:
    """Permission of the advice service."""

    text: str
    valid_until: float


@dataclass(slots=True)
class Advice:
    """What the advice service said of a step.

    Attributes:
        known: Workers that were asked about.
        ticket_by_vm: Newest ticket of each worker that may run the step.
        asking: Whether a call is in progress; it always ends with an answer.
    """

    known: set[VmId] = field(default_factory=set)
    ticket_by_vm: dict[VmId, Ticket] = field(default_factory=dict)
    asking: bool = False

    def take(self, asked: tuple[VmId, ...], reply: AdviceReply, now: float) -> None:
        """Takes an answer about some workers."""
        self.known.update(asked)
        until = now + reply.validity_s - TICKET_MARGIN_S
        for row in reply.tickets:
            self.ticket_by_vm[row.worker] = Ticket(row.ticket, until)

    def ticket(self, vm: VmId, now: float) -> str | None:
        """Returns a ticket that is still valid."""
        ticket = self.ticket_by_vm.get(vm)
        return ticket.text if ticket and now < ticket.valid_until else None


@dataclass(slots=True, eq=False)
class Stage:
    """One step of one occurrence of a job.

    Attributes:
        key: Name, which starts the names of its tasks.
        due_at: Monotonic time before which it must not start.
        plan: Workers whose room is held for tasks that wait for tickets.
    """

    key: str
    job: "Job"
    occurrence: int
    step: int
    spec: StepSpec
    due_at: float
    tasks: list[Task]
    advice: Advice = field(default_factory=Advice)
    plan: list[tuple[int, VmId]] = field(default_factory=list)

    @property
    def done(self) -> bool:
        """Whether all tasks are done."""
        return all(task.done for task in self.tasks)

    @property
    def active(self) -> list[Run]:
        """Runs that are not over."""
        return [run for task in self.tasks for run in task.runs]

    def waiting(self) -> list[int]:
        """Returns the tasks to start; a gang starts whole or not at all."""
        if self.spec.gang:
            if self.done or any(task.runs for task in self.tasks):
                return []
            return list(range(len(self.tasks)))
        return [index for index, task in enumerate(self.tasks) if task.waits]

    def next_run(self, index: int) -> int:
        """Returns the number of the next run; members of a gang share it."""
        if self.spec.gang:
            return max(task.last_run for task in self.tasks) + 1
        return self.tasks[index].last_run + 1

    def task_name(self, index: int) -> str:
        """Returns the name of a task."""
        return f"{self.key}.{index}"

    def gang_saved(self) -> str:
        """Returns the newest saved point of any member."""
        points = [task.saved for task in self.tasks if task.saved]
        return points[-1] if points else ""


@dataclass(slots=True, eq=False)
class Job:
    """A job that is not over.

    Attributes:
        record: The submission.
        accepted_at: Monotonic time of the submission.
        inherited: Whether it was accepted before this owner took over.
        stage_by_key: Steps of the occurrences that are due or done.
    """

    record: SubmittedJob
    accepted_at: float
    phase: JobPhase = JobPhase.QUEUED
    inherited: bool = False
    cancelled: bool = False
    stage_by_key: dict[str, Stage] = field(default_factory=dict)
    objective_at: float = 0.0

    @property
    def id(self) -> JobId:
        """Id of the job."""
        return self.record.job_id

    @property
    def lasts(self) -> bool:
        """Whether a step runs until the job is cancelled."""
        return any(step.lasting for step in self.record.steps)

    def ready(self, stage: Stage) -> bool:
        """Returns whether all steps that a step waits for are done."""
        return all(
            self.stage_by_key[stage_key(self.id, stage.occurrence, earlier)].done
            for earlier in stage.spec.after
        )

    def progress(self) -> JobProgress:
        """Returns the record of what is done."""
        if self.phase.is_final:
            return JobProgress(self.phase)
        stages = [_stage_progress(stage) for stage in self.stage_by_key.values()]
        return JobProgress(self.phase, [stage for stage in stages if stage])


def stage_key(job_id: JobId, occurrence: int, step: int) -> str:
    """Returns the name of a step of an occurrence."""
    return f"{job_id}.{occurrence}.{step}"


def critical_path_s(record: SubmittedJob) -> float:
    """Returns the estimated seconds of the longest chain of steps."""
    queue = record.queue
    advice = queue.advice_s
    if advice:
        advice += queue.advice_each_s * OBJECTIVE_ADVICE_WORKERS
    ends: list[float] = []
    for step in record.steps:
        start = max((ends[i] for i in step.after if i < len(ends)), default=0.0)
        ends.append(start + step.estimate_s + advice)
    return max(ends, default=0.0)


def new_stage(job: Job, occurrence: int, step: int, due_at: float) -> Stage:
    """Creates a step of an occurrence with none of its tasks started."""
    spec = job.record.steps[step]
    key = stage_key(job.id, occurrence, step)
    tasks = [Task() for _ in range(spec.count)]
    stage = Stage(key, job, occurrence, step, spec, due_at, tasks)
    job.stage_by_key[key] = stage
    return stage


def restore_stage(stage: Stage, progress: StageProgress) -> None:
    """Applies stored progress to a new step."""
    for index in progress.done:
        stage.tasks[index].done = True
    for failed in progress.failed:
        stage.tasks[failed.index].failed_runs.add(failed.run)
    for task, run in zip(stage.tasks, progress.runs, strict=False):
        task.last_run = run
    for task, saved in zip(stage.tasks, progress.saved, strict=False):
        task.saved = saved


def _stage_progress(stage: Stage) -> StageProgress | None:
    tasks = stage.tasks
    done = [index for index, task in enumerate(tasks) if task.done]
    failed = [
        FailedRun(index, run)
        for index, task in enumerate(tasks)
        for run in sorted(task.failed_runs)
    ]
    runs = [task.last_run for task in tasks]
    saved = [task.saved for task in tasks]
    if not done and not any(runs):
        return None
    finished = len(done) == len(tasks)
    return StageProgress(
        stage.occurrence,
        stage.step,
        done,
        failed if not finished else [],
        runs if not finished else [],
        saved if any(saved) and not finished else [],
    )
