"""Steps of the occurrences of jobs in the owner's state, with their tasks."""

import math
from dataclasses import dataclass, field

from arbutusladder.cell.interference.observations import StepSlowdowns
from arbutusladder.cell.jobstate import JobState
from arbutusladder.cell.performance.speed import STALL_TIMEOUT_S, expected_duration_s
from arbutusladder.cell.performance.stepruns import StepDurations
from arbutusladder.cell.runends import MAX_KEPT_ENDS, RunEnd
from arbutusladder.cell.runs import Run
from arbutusladder.cell.states import RunPhase, WaitCause
from arbutusladder.ids import JobId, VmId
from arbutusladder.messages import (
    AdviceReply,
    FailedRun,
    Resources,
    StageProgress,
    StepSpec,
)

# Seconds for which the expected duration of a step is not computed again.
DURATION_VALIDITY_S = 0.5
# Longest time in seconds without progress until a run is moved.
MAX_STALL_TIMEOUT_S = 3.0
# Workers on which runs of a lasting step fail until the step itself counts as failing.
FAILING_STEP_WORKERS = 3
# Seconds subtracted from a ticket's validity for the delivery of the start order.
TICKET_MARGIN_S = 0.2


# Worker and number of a run of a task.
RunOnWorker = tuple[VmId, int]


@dataclass(slots=True)
class Task:
    """One task of a step.

    Attributes:
        done: Whether a run ended successfully.
        failed_runs: Numbers of the runs that ended as failed.
        last_run: Highest run number in use; 0 before the first run.
        checkpoint: Newest saved checkpoint; empty without one.
        runs: Runs that have not ended, or that an order may still start.
        ends: Newest ends of its runs, each with its proof; none once it is done.
        unproven: Workers and numbers of the runs without a proof of their end.
        start_refused: Whether it was not started because of those.
    """

    done: bool = False
    failed_runs: set[int] = field(default_factory=set)
    last_run: int = 0
    checkpoint: str = ""
    runs: list[Run] = field(default_factory=list)
    ends: tuple[RunEnd, ...] = ()
    unproven: tuple[RunOnWorker, ...] = ()
    start_refused: bool = False

    def add_run(self, run: Run) -> None:
        """Adds a run."""
        self.runs.append(run)
        self.last_run = max(self.last_run, run.number)
        self._add_unproven((run.vm, run.number))

    def record_end(self, end: RunEnd) -> None:
        """Records the end of a run, or a later proof of it."""
        key = (end.vm, end.number)
        others = [other for other in self.ends if (other.vm, other.number) != key]
        self.ends = (*others, end)[-MAX_KEPT_ENDS:]
        self._remove_unproven(key)

    def revoke_end(self, run: Run) -> None:
        """Removes the end of a run that goes on after all."""
        key = (run.vm, run.number)
        self.ends = tuple(end for end in self.ends if (end.vm, end.number) != key)
        self._add_unproven(key)

    def complete(self) -> None:
        """Records that a run has ended successfully."""
        self.done = True
        self.ends = self.unproven = ()

    def _add_unproven(self, key: RunOnWorker) -> None:
        self._remove_unproven(key)
        self.unproven += (key,)

    def _remove_unproven(self, key: RunOnWorker) -> None:
        self.unproven = tuple(other for other in self.unproven if other != key)
        self.start_refused = False

    @property
    def run_by_worker(self) -> dict[RunOnWorker, Run]:
        """Its runs by worker and number."""
        return {(run.vm, run.number): run for run in self.runs}

    @property
    def is_waiting(self) -> bool:
        """Whether it is not done and has no run, so that it may start anywhere."""
        return not self.done and not self.runs

    def may_start(self, lasting: bool) -> bool:
        """Returns whether no run keeps it from starting, on some worker at least."""
        if not self.runs:
            return not self.done
        return lasting and self.bound_vm is not None

    @property
    def bound_vm(self) -> VmId | None:
        """The worker to which all of its orders in doubt were sent; None without any.

        That worker refuses them, or has a newer run only as long as it refuses them.
        """
        if self.done or not self.runs:
            return None
        vm = self.runs[0].vm
        for run in self.runs:
            if run.phase is not RunPhase.UNSETTLED or run.vm != vm:
                return None
        return vm


@dataclass(slots=True)
class Ticket:
    """Permission of the advice service to run a step on one worker.

    Attributes:
        text: Text to send with the start order.
        valid_until: Monotonic time in seconds until which it may be used.
    """

    text: str
    valid_until: float


@dataclass(slots=True)
class Advice:
    """Replies of the advice service for one step.

    Attributes:
        asked_vms: Workers that calls have named.
        ticket_by_vm: Newest ticket of each permitted worker.
        call_pending: Whether a call is in progress; each call ends with a reply, which
            may be a failure.
        renewals: Calls since the last start that only renewed tickets.
    """

    asked_vms: set[VmId] = field(default_factory=set)
    ticket_by_vm: dict[VmId, Ticket] = field(default_factory=dict)
    call_pending: bool = False
    renewals: int = 0

    def apply_reply(
        self, named_vms: tuple[VmId, ...], reply: AdviceReply, now: float
    ) -> None:
        """Stores the tickets of a reply; a worker without one is not permitted.

        Args:
            named_vms: Workers that the call named.
            reply: The reply.
            now: Monotonic time in seconds.
        """
        self.asked_vms.update(named_vms)
        for vm in named_vms:
            self.ticket_by_vm.pop(vm, None)
        until = now + reply.validity_s - TICKET_MARGIN_S
        for row in reply.tickets:
            self.ticket_by_vm[row.worker] = Ticket(row.ticket, until)

    def forget_worker(self, vm: VmId) -> None:
        """Drops what is known of a worker, whose next incarnation is to be asked."""
        self.asked_vms.discard(vm)
        self.ticket_by_vm.pop(vm, None)

    def valid_ticket(self, vm: VmId, now: float) -> str | None:
        """Returns the text of a worker's ticket, or None without a valid one."""
        ticket = self.ticket_by_vm.get(vm)
        return ticket.text if ticket and now < ticket.valid_until else None


@dataclass(slots=True, eq=False)
class Stage:
    """One step of one occurrence of a job.

    Attributes:
        key: Key, which is the prefix of its tasks' names.
        due_at: Monotonic time in seconds before which it must not start.
        plan: Index and worker of each task of a gang that waits for tickets; the
            workers' resources are reserved.
        restart_wait_s: Seconds that its last start waited for room, which a restart is
            expected to wait again.
        wait_s_by_cause: Seconds waited since the last start of the step, by cause.
        failed_vms: Workers on which runs of a step that lasts have failed since one of
            them counted as a success.
        slowdowns: Runs that show which images slow each other down.
        durations: Durations of its runs, which show the speeds of their workers.
    """

    key: str
    job: JobState
    occurrence: int
    step: int
    spec: StepSpec
    due_at: float
    tasks: list[Task]
    advice: Advice = field(default_factory=Advice)
    plan: list[tuple[int, VmId]] = field(default_factory=list)
    restart_wait_s: float = 0.0
    wait_s_by_cause: dict[WaitCause, float] = field(default_factory=dict)
    failed_vms: set[VmId] = field(default_factory=set)
    slowdowns: StepSlowdowns = field(default_factory=StepSlowdowns)
    durations: StepDurations = field(default_factory=StepDurations)
    _expected_s: float = 0.0
    _expected_at: float = -math.inf

    @property
    def done(self) -> bool:
        """Whether all tasks are done."""
        return all(task.done for task in self.tasks)

    @property
    def is_failing(self) -> bool:
        """Whether its runs fail wherever they run, which is not a worker's fault.

        Steps that end run out of attempts instead.
        """
        return len(self.failed_vms) >= FAILING_STEP_WORKERS

    @property
    def active_runs(self) -> list[Run]:
        """Runs that have not ended."""
        return [
            run
            for task in self.tasks
            for run in task.runs
            if run.phase is not RunPhase.UNSETTLED
        ]

    def waiting_tasks(self) -> list[int]:
        """Returns the indexes of the tasks to start; all or none of a gang.

        A task whose order is in doubt waits until that cannot be executed any more. One
        that lasts may not be without a run for so long, and may start where the order
        was sent.
        """
        if self.spec.gang:
            if self.done or any(task.runs for task in self.tasks):
                return []
            return list(range(len(self.tasks)))
        lasting = self.spec.lasting
        return [i for i, task in enumerate(self.tasks) if task.may_start(lasting)]

    def unproven_runs(self, index: int, vm: VmId) -> list[RunOnWorker]:
        """Returns the runs of a task that forbid its start on a worker.

        A task that lasts may start on the worker to which an order in doubt was sent.
        """
        task = self.tasks[index]
        run_by_worker = task.run_by_worker
        return [
            key
            for key in dict.fromkeys((*task.unproven, *run_by_worker))
            if not (
                self.spec.lasting
                and key[0] == vm
                and key in run_by_worker
                and run_by_worker[key].phase is RunPhase.UNSETTLED
            )
        ]

    def next_run_number(self, index: int) -> int:
        """Returns the next run number of a task; members of a gang share it."""
        if self.spec.gang:
            return max(task.last_run for task in self.tasks) + 1
        return self.tasks[index].last_run + 1

    def record_wait(self, cause: WaitCause, seconds: float) -> None:
        """Adds to the time that the step has waited for a cause."""
        self.wait_s_by_cause[cause] = self.wait_s_by_cause.get(cause, 0.0) + seconds

    @property
    def waited_s(self) -> float:
        """Seconds waited since the last start of the step."""
        return sum(self.wait_s_by_cause.values())

    def take_waits(self) -> dict[WaitCause, float]:
        """Returns the seconds waited since the last start by cause, and resets them."""
        waits, self.wait_s_by_cause = self.wait_s_by_cause, {}
        self.restart_wait_s = waits.get(WaitCause.ROOM, 0.0)
        return waits

    def expected_duration_s(self, now: float) -> float:
        """Returns the seconds that a sound worker may take; 0 without expected end."""
        if self.spec.lasting:
            return 0.0
        if now - self._expected_at > DURATION_VALIDITY_S:
            self._expected_s = expected_duration_s(
                self.spec.estimate_s, self.active_runs
            )
            self._expected_at = now
        return self._expected_s

    def stall_timeout_s(self, run: Run) -> float:
        """Returns the seconds without progress after which a run should be moved.

        A move costs the work that is not saved and, for a gang, another wait for room.
        A stall is assumed to last as long again as it has lasted, so that a run is
        moved only once the stall has lost as much time as the move would.
        """
        lost_s = 0.0 if self.spec.checkpoints else run.progressed_at - run.changed_at
        if self.spec.gang:
            lost_s += self.restart_wait_s
        return min(MAX_STALL_TIMEOUT_S, max(STALL_TIMEOUT_S, lost_s))

    @property
    def reserved_need(self) -> Resources:
        """Resources of a task to reserve on its worker.

        Tasks that fill idle cores reserve none of them.
        """
        if not self.spec.fills:
            return self.spec.need
        return Resources(0.0, self.spec.need.memory_mb, self.spec.need.accelerators)

    def task_name(self, index: int) -> str:
        """Returns the name of a task."""
        return f"{self.key}.{index}"

    def resumes(self, index: int) -> bool:
        """Returns whether the next run of a task resumes from a checkpoint."""
        checkpoint = self.tasks[index].checkpoint
        return bool(self.gang_checkpoint() if self.spec.gang else checkpoint)

    def gang_checkpoint(self) -> str:
        """Returns the checkpoint from which all members resume; empty without one."""
        checkpoints = [task.checkpoint for task in self.tasks if task.checkpoint]
        return checkpoints[-1] if checkpoints else ""


def stage_key(job_id: JobId, occurrence: int, step: int) -> str:
    """Returns the key of a step of an occurrence."""
    return f"{job_id}.{occurrence}.{step}"


def restore_stage(stage: Stage, progress: StageProgress) -> None:
    """Restores a new step from stored progress.

    Tasks that the step does not have are left out. They are stored if another entry VM
    accepted a different job under the same id.
    """
    count = len(stage.tasks)
    for index in progress.done:
        if 0 <= index < count:
            stage.tasks[index].done = True
    for failed in progress.failed:
        if 0 <= failed.index < count and not stage.spec.lasting:
            stage.tasks[failed.index].failed_runs.add(failed.run)
    for task, run in zip(stage.tasks, progress.runs, strict=False):
        task.last_run = run
    for task, saved in zip(stage.tasks, progress.saved, strict=False):
        task.checkpoint = saved


def stage_progress(stage: Stage) -> StageProgress | None:
    """Returns the progress of a step to store; None before its first start."""
    tasks = stage.tasks
    done = [index for index, task in enumerate(tasks) if task.done]
    failed = [
        FailedRun(index, run)
        for index, task in enumerate(tasks)
        for run in sorted(task.failed_runs)
    ]
    runs = [task.last_run for task in tasks]
    saved = [task.checkpoint for task in tasks]
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
