"""Names of tasks, which consist of job, occurrence, step and index."""

import re
from dataclasses import dataclass

from arbutusladder.ids import JobId

# Numbers of more digits than this are not names that an owner has given.
_PATTERN = re.compile(r"([^.]+)\.([0-9]{1,9})\.([0-9]{1,9})\.([0-9]{1,9})")


@dataclass(frozen=True)
class TaskName:
    """Parts of a task's name.

    Attributes:
        job_id: Its job.
        occurrence: Number of the job's occurrence.
        step: Number of the step.
        index: Number of the task in the step.
    """

    job_id: JobId
    occurrence: int
    step: int
    index: int


def job_id_of_task(name: str) -> JobId:
    """Returns the job that the name of a task, or of a step, begins with."""
    return JobId(name.split(".", 1)[0])


def parse_task_name(name: str) -> TaskName | None:
    """Returns the parts of a task's name, or None if it is not one.

    Workers report names, so any text may be given.
    """
    match = _PATTERN.fullmatch(name)
    if match is None:
        return None
    job_id, *numbers = match.groups()
    return TaskName(JobId(job_id), *map(int, numbers))
