"""Limits of the size of a job, which bound what the cell holds and stores of it.

The log refuses a record that is too large for good. The progress of a job is one
record, so its open occurrences are limited to those whose progress always fits.
"""

from __future__ import annotations

from dataclasses import dataclass

from arbutusladder.errors import JobTooLarge
from arbutusladder.messages import StageProgress, StepSpec, SubmittedJob

# Largest sizes in bytes of parts of a progress record in MessagePack, with their field
# names: index and highest run number of a task, a failed run, a step of an occurrence
# without its tasks, and a range of finished occurrences.
TASK_BYTES = 8
FAILED_RUN_BYTES = 19
STAGE_BYTES = 64
RANGE_BYTES = 28
# Bytes of a record for the key, the state of the job and the names of lists.
RESERVED_BYTES = 1024
# Bytes of a checkpoint beside its text.
CHECKPOINT_HEADER_BYTES = 5


@dataclass(frozen=True)
class JobLimits:
    """Limits that follow from the size of a record of the log.

    Attributes:
        record_bytes: Largest record that the log accepts, in bytes.
    """

    record_bytes: int = 262144

    @property
    def max_submission_bytes(self) -> int:
        """Largest submission in bytes."""
        return self.record_bytes - RESERVED_BYTES

    @property
    def max_progress_bytes(self) -> int:
        """Largest progress of the open occurrences of a job without checkpoints."""
        return self.record_bytes * 3 // 4

    @property
    def max_checkpoint_bytes(self) -> int:
        """Largest total size in bytes of the stored checkpoints of a job."""
        return self.record_bytes // 4 - RESERVED_BYTES

    def check_submission(self, size: int) -> None:
        """Checks the size of a submission's record.

        Args:
            size: Its size in bytes.

        Raises:
            JobTooLarge: The submission exceeds the limit.
        """
        if size > self.max_submission_bytes:
            raise JobTooLarge(
                f"the submission takes {size} bytes of {self.max_submission_bytes}"
            )

    def check_tasks(self, record: SubmittedJob) -> None:
        """Checks the number of the tasks of a job.

        Args:
            record: Its submission.

        Raises:
            JobTooLarge: The job exceeds a limit.
        """
        size = occurrence_bytes(record)
        if size > self.max_progress_bytes:
            raise JobTooLarge(
                f"the progress of its tasks may take {size} bytes of "
                f"{self.max_progress_bytes}"
            )
        lasts = any(step.lasting for step in record.steps)
        limit = self.max_open_occurrences(record)
        if lasts and record.times > limit:
            raise JobTooLarge(
                f"{record.times} occurrences with tasks that run until they are "
                f"cancelled, where {limit} can run at once"
            )

    def max_open_occurrences(self, record: SubmittedJob) -> int:
        """Returns how many occurrences of a job may be open at the same time."""
        return max(1, self.max_progress_bytes // occurrence_bytes(record))

    def drop_excess_checkpoints(self, stages: list[StageProgress]) -> None:
        """Removes checkpoints that do not fit; their tasks begin again if they move."""
        left = self.max_checkpoint_bytes
        for stage in stages:
            size = sum(
                CHECKPOINT_HEADER_BYTES + len(text.encode()) for text in stage.saved
            )
            if size > left:
                stage.saved = []
            else:
                left -= size


def occurrence_bytes(record: SubmittedJob) -> int:
    """Returns the largest size in bytes of the progress of one occurrence of a job."""
    attempts = record.queue.max_attempts
    return RANGE_BYTES + sum(_stage_bytes(step, attempts) for step in record.steps)


def _stage_bytes(step: StepSpec, max_attempts: int) -> int:
    # The job ends with the last failed run, and a gang fails as a whole.
    failing_tasks = 0 if step.lasting else 1 if step.gang else step.count
    failed_runs = failing_tasks * max(0, max_attempts - 1)
    return STAGE_BYTES + TASK_BYTES * step.count + FAILED_RUN_BYTES * failed_runs
