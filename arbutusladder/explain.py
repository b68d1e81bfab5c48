"""Explains why a job waits or was refused, and what would change that.

The functions are pure: they read the state of a scheduling policy and change nothing.
"""

from dataclasses import dataclass

from arbutusladder import reasons
from arbutusladder.fleet import Fleet
from arbutusladder.ids import JobId
from arbutusladder.messages import JobSpec, Resources
from arbutusladder.states import JobState, Reason, Urgency

# `JobAnswer` has an explanation as lines; these prefixes mark its reason and remedy.
REASON_PREFIX = "reason: "
REMEDY_PREFIX = "would change it: "


@dataclass(frozen=True, slots=True)
class JobExplanation:
    """Explanation of one job's state by its scheduling policy.

    Attributes:
        job_id: Id of the job.
        state: State of the job.
        urgency: Class of the job.
        position: Position among the waiting jobs of its class, from 1; 0 if no task
            waits.
        waiting_tasks: Number of waiting tasks.
        running_tasks: Number of tasks that use capacity.
        reason: Why the job waits or ended; None if nothing prevents its start.
        remedy: What would change the state.
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
        """Returns the explanation as lines of text for a `JobAnswer`."""
        lines = [
            f"{self.job_id} is {self.state.value} in class {self.urgency.value}",
            f"{self.waiting_tasks} tasks wait, {self.running_tasks} use capacity",
        ]
        if self.position:
            lines.append(f"position {self.position} in the queue of its class")
        if self.reason:
            lines.append(f"{REASON_PREFIX}{self.reason.value}")
        if self.remedy:
            lines.append(f"{REMEDY_PREFIX}{self.remedy}")
        return lines


def explain(policy, job_id: JobId, now: float) -> JobExplanation | None:
    """Returns an explanation of a job's state, or None for an unknown job.

    Args:
        policy: Scheduling policy that schedules the job.
        job_id: Id of the job.
        now: Monotonic time in seconds.
    """
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
    """Returns the reason and remedy if a job cannot fit the current workers.

    Returns None if the job fits.
    """
    task_resources = job.task_resources
    required_slots = job.tasks if job.gang else 1
    slots = fleet.slots(task_resources, required_slots)
    if slots == 0:
        return (Reason.NEVER_FITS, _smaller_task_remedy(fleet, task_resources))
    if slots < required_slots:
        remedy = f"the shard can run {slots} tasks at once; submit at most that many"
        return (Reason.GANG_NEVER_FITS, remedy)
    return None


def explain_reservation(worker_count: int, seconds: float) -> tuple[Reason, str]:
    """Returns the reason and remedy for a job for which workers are reserved.

    Args:
        worker_count: Number of reserved workers.
        seconds: Expected time until the job starts.
    """
    remedy = (
        f"{worker_count} workers are reserved for it; "
        f"it starts in about {seconds:.0f} s"
    )
    return (Reason.NO_CAPACITY, remedy)


def explain_waiting(job, blocked_by: Reason | None) -> tuple[Reason | None, str]:
    """Returns why a waiting job is not started, and a remedy.

    Args:
        job: Waiting job of a policy.
        blocked_by: Limit that prevents its start; None if it is next in its queue.
    """
    if job.infeasible_since is not None:
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


def _smaller_task_remedy(fleet: Fleet, task_resources: Resources) -> str:
    """Returns a remedy that compares a task's size with the sizes of the workers."""
    sizes = "; ".join(
        f"{cpu:g} cores, {memory:g} MB and {accelerators} accelerators"
        for cpu, memory, accelerators in sorted(
            fleet.worker_count_by_shape, reverse=True
        )
    )
    return (
        f"a task needs {task_resources.cpu:g} cores, "
        f"{task_resources.memory_mb:g} MB and "
        f"{task_resources.accelerators} accelerators; workers have {sizes}; "
        "make the task smaller"
    )
