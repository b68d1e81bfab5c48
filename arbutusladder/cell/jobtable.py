"""Jobs folded from the log; every entry VM keeps one."""

from dataclasses import dataclass, field

import msgspec

from arbutusladder.cell.interfaces import KeyedRecord
from arbutusladder.cell.states import JobPhase
from arbutusladder.ids import JobId
from arbutusladder.messages import (
    JobProgress,
    RelayedState,
    Resources,
    StepSpec,
    SubmittedJob,
)

# Keyed topics: submissions and cancellations by all entry VMs, progress by the owner.
JOBS_TOPIC = "keyed.jobs"
PROGRESS_TOPIC = "keyed.progress"
# Marks the key of a cancellation, which stands beside the key of the job.
CANCEL_SUFFIX = "!"

_ENCODER = msgspec.msgpack.Encoder()
_JOB_DECODER = msgspec.msgpack.Decoder(SubmittedJob)
_PROGRESS_DECODER = msgspec.msgpack.Decoder(JobProgress)


@dataclass(slots=True)
class KnownJob:
    """What the log says of a job.

    Attributes:
        record: The submission; None when only progress was read so far.
        progress: Newest progress.
        progress_offset: Offset of the newest progress.
        cancelled: Whether a cancellation is stored.
    """

    record: SubmittedJob | None = None
    progress: JobProgress = field(default_factory=lambda: JobProgress(JobPhase.QUEUED))
    progress_offset: int = -1
    cancelled: bool = False

    @property
    def phase(self) -> JobPhase:
        """State as a caller sees it; an end goes before a cancellation."""
        if self.progress.state.is_final or not self.cancelled:
            return self.progress.state
        return JobPhase.CANCELLED


def submission_item(record: SubmittedJob) -> tuple[str, bytes]:
    """Returns key and value of a submission."""
    return record.job_id, _ENCODER.encode(record)


def cancellation_key(job_id: JobId) -> str:
    """Returns the key of a cancellation."""
    return job_id + CANCEL_SUFFIX


def cancellation_item(job_id: JobId) -> tuple[str, bytes]:
    """Returns key and value of a cancellation."""
    return cancellation_key(job_id), b"1"


def progress_item(job_id: JobId, progress: JobProgress) -> tuple[str, bytes]:
    """Returns key and value of a progress record."""
    return job_id, _ENCODER.encode(progress)


class JobTable:
    """All jobs that the log knows.

    Attributes:
        job_by_id: Jobs by id.
        final_ids: Jobs that are over, in the order in which that was learned.
        malformed: Records that could not be decoded.
    """

    def __init__(self):
        self.job_by_id: dict[JobId, KnownJob] = {}
        self.final_ids: dict[JobId, None] = {}
        self.malformed = 0
        self._waiting_ids_by_queue: dict[str, set[JobId]] = {}

    def apply_jobs(self, records: list[KeyedRecord]) -> list[JobId]:
        """Folds submissions and cancellations; returns the ids that changed."""
        changed = []
        for record in records:
            job_id = JobId(record.key.removesuffix(CANCEL_SUFFIX))
            if not record.value:
                self._drop_submission(job_id)
                continue
            job = self.job_by_id.setdefault(job_id, KnownJob())
            if record.key.endswith(CANCEL_SUFFIX):
                if not job.cancelled:
                    job.cancelled = True
                    changed.append(job_id)
            elif job.record is None and self._fold_submission(job, record):
                changed.append(job_id)
            self._index(job_id, job)
        return changed

    def apply_progress(self, records: list[KeyedRecord]) -> None:
        """Folds progress records."""
        for record in records:
            job_id = JobId(record.key)
            if not record.value:
                self._drop_job(job_id, record.offset)
                continue
            job = self.job_by_id.setdefault(job_id, KnownJob())
            # A state that was relayed has the offset of the record that holds all.
            if record.offset < job.progress_offset:
                continue
            try:
                job.progress = _PROGRESS_DECODER.decode(record.value)
            except msgspec.MsgspecError:
                self.malformed += 1
                continue
            job.progress_offset = record.offset
            self._index(job_id, job)

    def apply_relayed_states(self, offset: int, states: list[RelayedState]) -> None:
        """Takes states whose records begin at an offset, without what is done."""
        for number, state in enumerate(states):
            job = self.job_by_id.setdefault(state.job_id, KnownJob())
            if offset + number > job.progress_offset:
                job.progress = JobProgress(state.state)
                job.progress_offset = offset + number
                self._index(state.job_id, job)

    def phase(self, job_id: JobId) -> JobPhase | None:
        """Returns the state of a job, or None for an unknown one."""
        job = self.job_by_id.get(job_id)
        if job is None or (job.record is None and job.progress_offset < 0):
            return None
        return job.phase

    def knows_tasks(self, tasks: list[str]) -> bool:
        """Returns whether the jobs of all tasks, by name, were read or are over."""
        return all(self._knows(task) for task in tasks)

    def _knows(self, task: str) -> bool:
        job = self.job_by_id.get(JobId(task.split(".", 1)[0]))
        return job is not None and (job.record is not None or job.phase.is_final)

    def task_need(self, task: str) -> Resources | None:
        """Returns what a task needs, by its name, if its submission is known."""
        step = self._step_of(task)
        return step.need if step else None

    def _step_of(self, task: str) -> StepSpec | None:
        job_id, _occurrence, step, _index = task.split(".")
        job = self.job_by_id.get(JobId(job_id))
        if job is None or job.record is None:
            return None
        return job.record.steps[int(step)]

    def waiting_job_count(self, queue: str) -> int:
        """Returns the number of a queue's jobs of which no task has started."""
        return len(self._waiting_ids_by_queue.get(queue, ()))

    def _fold_submission(self, job: KnownJob, record: KeyedRecord) -> bool:
        try:
            job.record = _JOB_DECODER.decode(record.value)
        except msgspec.MsgspecError:
            self.malformed += 1
            return False
        return True

    def _drop_submission(self, job_id: JobId) -> None:
        job = self.job_by_id.get(job_id)
        if job and job.phase.is_final:
            job.record = None

    def _drop_job(self, job_id: JobId, offset: int) -> None:
        job = self.job_by_id.get(job_id)
        if job and job.phase.is_final and offset > job.progress_offset:
            del self.job_by_id[job_id]
            self.final_ids.pop(job_id, None)

    def _index(self, job_id: JobId, job: KnownJob) -> None:
        if job.progress.state.is_final:
            self.final_ids.setdefault(job_id)
        if job.record is None:
            return
        waiting_ids = self._waiting_ids_by_queue.setdefault(
            job.record.queue.name, set()
        )
        if job.phase is JobPhase.QUEUED:
            waiting_ids.add(job_id)
        else:
            waiting_ids.discard(job_id)
