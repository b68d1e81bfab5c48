"""Retention of finished jobs in the log.

`Retention` owns the times since which jobs are known to be finished, in memory only.
"""

from dataclasses import dataclass, field

from arbutusladder.cell.jobtable import JobTable, cancellation_key
from arbutusladder.ids import JobId

# Seconds for which the submission of a finished job is kept: clients retry a submission
# for about as long as they wait for its answer.
SUBMISSION_RETENTION_S = 3.0
# Largest number of jobs of a kind that are deleted in one append, to keep it short.
MAX_JOBS_PER_APPEND = 500


@dataclass(frozen=True)
class ExpiredRecords:
    """Jobs whose records may be deleted.

    Attributes:
        submissions: Jobs whose submissions are no longer needed.
        jobs: Jobs whose states are no longer needed either.
    """

    submissions: list[JobId]
    jobs: list[JobId]


@dataclass
class Retention:
    """Tracks since when jobs are known to be finished.

    Attributes:
        retention_s: Seconds for which the state of a finished job is kept.
    """

    retention_s: float
    _final_since_by_id: dict[JobId, float] = field(default_factory=dict)
    _deleted_submission_ids: set[JobId] = field(default_factory=set)

    def find_expired(
        self, table: JobTable, open_ids: set[JobId], now: float
    ) -> ExpiredRecords:
        """Returns the jobs whose records may be deleted now.

        Args:
            table: All known jobs.
            open_ids: Jobs with runs that may not have ended, whose records are kept.
            now: Monotonic time in seconds.
        """
        submissions, jobs = [], []
        for job_id in table.final_ids:
            age_s = now - self._final_since_by_id.setdefault(job_id, now)
            if job_id in open_ids or age_s < SUBMISSION_RETENTION_S:
                continue
            if age_s >= self.retention_s:
                jobs.append(job_id)
            elif job_id not in self._deleted_submission_ids:
                submissions.append(job_id)
        return ExpiredRecords(
            submissions[:MAX_JOBS_PER_APPEND], jobs[:MAX_JOBS_PER_APPEND]
        )

    def mark_submissions_deleted(self, job_ids: list[JobId]) -> None:
        """Records that the submissions of these jobs were deleted."""
        self._deleted_submission_ids.update(job_ids)

    def forget_jobs(self, job_ids: list[JobId]) -> None:
        """Forgets jobs whose states were deleted."""
        for job_id in job_ids:
            self._final_since_by_id.pop(job_id, None)
            self._deleted_submission_ids.discard(job_id)


def submission_tombstones(job_ids: list[JobId]) -> list[tuple[str, bytes]]:
    """Returns tombstones for the submissions and cancellations of jobs."""
    keys = [key for job_id in job_ids for key in (job_id, cancellation_key(job_id))]
    return [(key, b"") for key in keys]


def progress_tombstones(job_ids: list[JobId]) -> list[tuple[str, bytes]]:
    """Returns tombstones for the states of jobs."""
    return [(job_id, b"") for job_id in job_ids]
