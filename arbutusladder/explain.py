"""Why a job waits or was refused, and what would change that."""

from dataclasses import dataclass

from arbutusladder import reasons
from arbutusladder.fleet import Fleet
from arbutusladder.ids import JobId
from arbutusladder.messages import JobSpec, Resources
from arbutusladder.states import JobState, Reason, Urgency

# `JobAnswer` carries an explanation as lines; these mark its reason and remedy.
REASON_PREFIX = "reason: "
REMEDY_PREFIX = "would change it: "


@dataclass(frozen=True, slots=True)
class JobExplanation:
    """State of one job in words and numbers.

    Attributes:
        position: Place among the waiting jobs of its class, from 1; 0 when no
            task waits.
        reason: Why it waits or ended; None when nothing holds it back.
        remedy: What would change it.
    """

    job_id: JobId
    state: JobState
    urgency: Urgency
    position: int
    waiting_tasks: int
    running_tasks: int
    reason: Reason | None
    remedy: str

    def lines(self) -> list[str]:
        """Returns the explanation as lines of text."""
        lines = [
            f"{self.job_id} is {self.state.value} in class {self.urgency.value}",
            f"{self.waiting_tasks} tasks wait, {self.running_tasks} hold capacity",
        ]
        if self.position:
            lines.append(f"position {self.position} in the queue of its class")
        if self.reason:
            lines.append(f"{REASON_PREFIX}{self.reason.value}")
        if self.remedy:
            lines.append(f"{REMEDY_PREFIX}{self.remedy}")
        return lines


def explain(policy, job_id: JobId, now: float) -> JobExplanation | None:
    """Returns why a job is in its state, or None for an unknown job."""
    job = policy.jobs_by_id.get(job_id)
    if job is None:
        return None
    reason, remedy, position = job.reason, "", 0
    if job.waiting:
        reason, remedy = policy.blocking_reason(job, now)
        position = policy.position(job)
    elif job.reason:
        remedy = reasons.remedy(job.reason.value)
    return JobExplanation(
        job_id,
        job.state,
        job.spec.urgency,
        position,
        job.waiting,
        len(job.tasks),
        reason,
        remedy,
    )


def explain_infeasible(fleet: Fleet, job: JobSpec) -> tuple[Reason, str] | None:
    """Returns why a job fits no set of known workers, or None if it does."""
    need = job.task_resources
    wanted = job.tasks if job.gang else 1
    slots = fleet.slots(need, wanted)
    if slots == 0:
        return (Reason.NEVER_FITS, _too_large(fleet, need))
    if slots < wanted:
        remedy = f"the shard holds {slots} tasks at once; submit at most that many"
        return (Reason.GANG_NEVER_FITS, remedy)
    return None


def explain_reservation(workers: int, seconds: float) -> tuple[Reason, str]:
    """Returns the state of a job that has workers held for it."""
    remedy = f"{workers} workers are held for it; it starts in about {seconds:.0f} s"
    return (Reason.NO_CAPACITY, remedy)


def explain_waiting(job, blocked_by: Reason | None) -> tuple[Reason | None, str]:
    """Returns what keeps a waiting job from starting, and what would help."""
    if job.impossible_since is not None:
        return (Reason.NEVER_FITS, "add a worker that is large enough")
    if blocked_by is Reason.OVER_QUOTA:
        return (blocked_by, "wait for work of the team to end, or raise its quota")
    if blocked_by is Reason.CLASS_CEILING:
        urgency = job.spec.urgency.value
        return (blocked_by, f"wait, or raise the ceiling of class {urgency}")
    if blocked_by is None:
        return (None, "it is next in its queue")
    return (
        blocked_by,
        "wait for running work to end, add workers or lower the reserved shares "
        "of other classes",
    )


def _too_large(fleet: Fleet, need: Resources) -> str:
    sizes = "; ".join(
        f"{cpu:g} cores, {memory:g} MB and {accelerators} accelerators"
        for cpu, memory, accelerators in sorted(
            fleet.worker_count_by_shape, reverse=True
        )
    )
    return (
        f"a task needs {need.cpu:g} cores, {need.memory_mb:g} MB and "
        f"{need.accelerators} accelerators; workers have {sizes}; "
        "make the task smaller"
    )
