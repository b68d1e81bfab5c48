"""Which finished jobs may leave the log, and when."""

from dataclasses import dataclass, field

from arbutusladder.cell.jobtable import JobTable, cancellation_key
from arbutusladder.ids import JobId

# Seconds after its end for which a submission stays: clients repeat one for about as
# long as they wait for its answer.
SUBMISSION_RETENTION_S = 3.0
# Keys dropped in one append, which keeps it short.
MAX_JOBS_PER_APPEND = 500


@dataclass(frozen=True)
class ExpiredRecords:
    """Jobs to drop.

    Attributes:
        submissions: Jobs whose submissions are not needed any more.
        jobs: Jobs whose states are not needed any more.
    """

    submissions: list[JobId]
    jobs: list[JobId]


@dataclass
class Retention:
    """Remembers when jobs were first seen finished.

    Attributes:
        keep_s: Seconds for which the state of a finished job can be asked for.
    """

    retention_s: float
    _final_since_by_id: dict[JobId, float] = field(default_factory=dict)
    _deleted_submission_ids: set[JobId] = field(default_factory=set)

    def find_expired(
        self, table: JobTable, open_ids: set[JobId], now: float
    ) -> ExpiredRecords:
        """Returns what may be dropped now.

        Args:
            table: All known jobs.
            open_ids: Jobs with runs that may still go on.
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
        """Notes that submissions were dropped."""
        self._deleted_submission_ids.update(job_ids)

    def forget_jobs(self, job_ids: list[JobId]) -> None:
        """Forgets jobs that were dropped."""
        for job_id in job_ids:
            self._final_since_by_id.pop(job_id, None)
            self._deleted_submission_ids.discard(job_id)


def submission_tombstones(job_ids: list[JobId]) -> list[tuple[str, bytes]]:
    """Returns the records that drop submissions and cancellations."""
    keys = [key for job_id in job_ids for key in (job_id, cancellation_key(job_id))]
    return [(key, b"") for key in keys]


def progress_tombstones(job_ids: list[JobId]) -> list[tuple[str, bytes]]:
    """Returns the records that drop states."""
    return [(job_id, b"") for job_id in job_ids]
