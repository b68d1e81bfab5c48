"""Table of all jobs, built from the log's job and progress topics.

Every entry VM keeps a table. It answers queries and is the starting point of a
new owner.
"""

from dataclasses import dataclass, field

import msgspec

from arbutusladder.cell.interfaces import KeyedRecord, LogBatch
from arbutusladder.cell.states import JobPhase
from arbutusladder.cell.tasknames import job_id_of_task, parse_task_name
from arbutusladder.ids import JobId, TeamName
from arbutusladder.messages import (
    JobProgress,
    RelayedState,
    Resources,
    StepSpec,
    SubmittedJob,
)

# Compacted topics. All entry VMs append submissions and cancellations to the first;
# only the owner appends progress to the second.
JOBS_TOPIC = "keyed.jobs"
PROGRESS_TOPIC = "keyed.progress"
# Suffix of a cancellation's key, so that it does not replace the job's record.
CANCEL_SUFFIX = "!"

_ENCODER = msgspec.msgpack.Encoder()
_JOB_DECODER = msgspec.msgpack.Decoder(SubmittedJob)
_PROGRESS_DECODER = msgspec.msgpack.Decoder(JobProgress)


@dataclass(slots=True)
class JobEntry:
    """A job as recorded in the log.

    Attributes:
        record: The submission; None if only other records were read, or if the
            submission of a finished job was deleted.
        record_offset: Offset of the submission; -1 before it.
        progress: Newest known progress.
        progress_offset: Offset of the record with that progress; -1 before the first.
        cancelled: Whether a cancellation is stored.
        cancel_offset: Offset of its first known record; -1 before it.
        reported_end: Final state that an owner reported and that is not stored yet.
        team: Team of the job, also once its submission is deleted; empty for a job
            without one, None while only its state is known.
        queue: Name of its queue, once its submission was read here.
    """

    record: SubmittedJob | None = None
    record_offset: int = -1
    progress: JobProgress = field(default_factory=lambda: JobProgress(JobPhase.QUEUED))
    progress_offset: int = -1
    cancelled: bool = False
    cancel_offset: int = -1
    reported_end: JobPhase | None = None
    team: TeamName | None = None
    queue: str = ""

    @property
    def phase(self) -> JobPhase:
        """State shown to callers; a stored final state overrides a cancellation.

        An end that is not stored is not shown: after a loss of power nobody knows it,
        and the job runs again.
        """
        if self.progress.state.is_final:
            return self.progress.state
        return JobPhase.CANCELLED if self.cancelled else self.progress.state


def submission_item(record: SubmittedJob) -> tuple[str, bytes]:
    """Returns key and value of a submission."""
    return record.job_id, _ENCODER.encode(record)


def cancellation_key(job_id: JobId) -> str:
    """Returns the key of a cancellation."""
    return job_id + CANCEL_SUFFIX


def cancellation_item(job_id: JobId) -> tuple[str, bytes]:
    """Returns key and value of a cancellation."""
    return cancellation_key(job_id), b"1"


def cancelled_job_id(record: KeyedRecord) -> JobId | None:
    """Returns the job of a cancellation's record; None for other records."""
    if not record.value or not record.key.endswith(CANCEL_SUFFIX):
        return None
    return JobId(record.key.removesuffix(CANCEL_SUFFIX))


def progress_item(job_id: JobId, progress: JobProgress) -> tuple[str, bytes]:
    """Returns key and value of a progress record."""
    return job_id, _ENCODER.encode(progress)


class JobTable:
    """All jobs recorded in the log.

    Attributes:
        job_by_id: Jobs by id.
        final_ids: Ids of finished jobs, in the order in which their final states were
            read.
        malformed: Number of records that could not be decoded.
    """

    def __init__(self):
        self.job_by_id: dict[JobId, JobEntry] = {}
        self.final_ids: dict[JobId, None] = {}
        self.malformed = 0
        self._reported_ids: set[JobId] = set()
        self._waiting_ids_by_queue: dict[str, set[JobId]] = {}

    def apply_jobs(self, records: list[KeyedRecord]) -> list[JobId]:
        """Applies submissions and cancellations.

        Args:
            records: Records of the jobs topic in offset order.

        Returns:
            Ids of the jobs that were added or cancelled.
        """
        changed = []
        for record in records:
            job_id = JobId(record.key.removesuffix(CANCEL_SUFFIX))
            if not record.value:
                self._discard_submission(job_id)
                continue
            job = self.job_by_id.setdefault(job_id, JobEntry())
            if record.key.endswith(CANCEL_SUFFIX):
                if job.cancel_offset < 0:
                    job.cancel_offset = record.offset
                if not job.cancelled:
                    job.cancelled = True
                    changed.append(job_id)
            elif job.record is None and self._decode_submission(job, record):
                changed.append(job_id)
            self._update_indexes(job_id, job)
        return changed

    def discard_deleted(self, newest: LogBatch) -> None:
        """Discards submissions that the newest records no longer contain.

        Submissions are deleted after the ends of their jobs are stored. An entry VM
        that was away for longer than the records are kept has missed all of that.

        Args:
            newest: Newest record of each key of the jobs topic. Records from its
                ``next_offset`` on may be missing.
        """
        kept = {record.key for record in newest.records}
        for job_id, job in list(self.job_by_id.items()):
            if job_id in kept or not 0 <= job.record_offset < newest.next_offset:
                continue
            if job.progress.state.is_final:
                job.record = None
            else:
                self._forget(job_id)

    def apply_cancellations(self, job_ids: list[JobId]) -> list[JobId]:
        """Applies stored cancellations whose records were not read yet.

        Returns:
            Ids of the jobs that were not known to be cancelled.
        """
        changed = []
        for job_id in job_ids:
            job = self.job_by_id.setdefault(job_id, JobEntry())
            if not job.cancelled:
                job.cancelled = True
                changed.append(job_id)
                self._update_indexes(job_id, job)
        return changed

    def apply_progress(self, records: list[KeyedRecord]) -> None:
        """Applies progress records."""
        for record in records:
            job_id = JobId(record.key)
            if not record.value:
                self._delete_job(job_id, record.offset)
                continue
            job = self.job_by_id.setdefault(job_id, JobEntry())
            # A relayed state has the offset of the record with the full progress, so
            # a record with the same offset still replaces it.
            if record.offset < job.progress_offset:
                continue
            try:
                job.progress = _PROGRESS_DECODER.decode(record.value)
            except msgspec.MsgspecError:
                self.malformed += 1
                continue
            job.progress_offset = record.offset
            if job.team is None:
                job.team = job.progress.team
            self._update_indexes(job_id, job)

    def apply_relayed_states(self, offset: int, states: list[RelayedState]) -> None:
        """Applies states that the owner sent before their records were read.

        The states carry no finished steps; the records replace them later.

        Args:
            offset: Offset of the first record of the append. It also stands for that
                of the other states, so that each record still replaces its state.
            states: Job states.
        """
        for state in states:
            job = self.job_by_id.setdefault(state.job_id, JobEntry())
            if offset > job.progress_offset:
                job.progress = JobProgress(state.state, team=job.progress.team)
                job.progress_offset = offset
                self._update_indexes(state.job_id, job)

    def apply_reported_ends(self, states: list[RelayedState]) -> None:
        """Applies final states that the owner has not stored yet.

        The submissions of the jobs may not have been read yet.
        """
        for state in states:
            job = self.job_by_id.setdefault(state.job_id, JobEntry())
            if job.progress.state.is_final:
                continue
            job.reported_end = state.state
            self._reported_ids.add(state.job_id)

    def unstored_ends(self) -> list[RelayedState]:
        """Returns the reported ends that are not known to be stored."""
        return [
            RelayedState(job_id, self.job_by_id[job_id].reported_end)
            for job_id in self._reported_ids
            if self.job_by_id[job_id].record
        ]

    def phase(self, job_id: JobId) -> JobPhase | None:
        """Returns the state of a job, or None for an unknown one."""
        job = self.job_by_id.get(job_id)
        if job is None or (job.record is None and job.progress_offset < 0):
            return None
        return job.phase

    def team(self, job_id: JobId) -> TeamName | None:
        """Returns the team of a job; None for an unknown job or team."""
        job = self.job_by_id.get(job_id)
        return job.team if job else None

    def is_in_queue(self, job_id: JobId, queue: str) -> bool:
        """Returns whether a job is known to be one of a queue."""
        job = self.job_by_id.get(job_id)
        return job is not None and job.queue == queue

    def cancel_offset(self, job_id: JobId) -> int:
        """Returns the offset of a job's cancellation; -1 if none is known here."""
        job = self.job_by_id.get(job_id)
        return job.cancel_offset if job else -1

    def has_jobs_of_tasks(self, tasks: list[str]) -> bool:
        """Returns whether the job of each named task was read or is finished."""
        return all(self._is_known(task) for task in tasks)

    def _is_known(self, task: str) -> bool:
        job = self.job_by_id.get(job_id_of_task(task))
        return job is not None and (job.record is not None or job.phase.is_final)

    def task_need(self, task: str) -> Resources | None:
        """Returns the resource requirements of a task, if its submission is known."""
        step = self._find_step(task)
        return step.need if step else None

    def job_team(self, job_id: JobId) -> TeamName:
        """Returns the team of a job; empty without one or for an unknown job."""
        job = self.job_by_id.get(job_id)
        if job is None:
            return TeamName("")
        return job.record.team if job.record else job.progress.team

    def _find_step(self, task: str) -> StepSpec | None:
        name = parse_task_name(task)
        job = self.job_by_id.get(name.job_id) if name else None
        if job is None or job.record is None:
            return None
        steps = job.record.steps
        return steps[name.step] if name.step < len(steps) else None

    def waiting_job_count(self, queue: str) -> int:
        """Returns the number of jobs of a queue that have not started."""
        return len(self._waiting_ids_by_queue.get(queue, ()))

    def _decode_submission(self, job: JobEntry, record: KeyedRecord) -> bool:
        try:
            job.record = _JOB_DECODER.decode(record.value)
        except msgspec.MsgspecError:
            self.malformed += 1
            return False
        job.record_offset = record.offset
        job.team, job.queue = job.record.team, job.record.queue.name
        return True

    def _discard_submission(self, job_id: JobId) -> None:
        job = self.job_by_id.get(job_id)
        if job and job.phase.is_final:
            job.record = None

    def _delete_job(self, job_id: JobId, offset: int) -> None:
        job = self.job_by_id.get(job_id)
        if job and job.phase.is_final and offset > job.progress_offset:
            self._forget(job_id)

    def _forget(self, job_id: JobId) -> None:
        job = self.job_by_id.pop(job_id)
        self.final_ids.pop(job_id, None)
        self._reported_ids.discard(job_id)
        if job.record:
            queue = job.record.queue.name
            self._waiting_ids_by_queue.get(queue, set()).discard(job_id)

    def _update_indexes(self, job_id: JobId, job: JobEntry) -> None:
        if job.progress.state.is_final:
            self.final_ids.setdefault(job_id)
            self._reported_ids.discard(job_id)
        if job.record is None:
            return
        waiting_ids = self._waiting_ids_by_queue.setdefault(
            job.record.queue.name, set()
        )
        if job.phase is JobPhase.QUEUED:
            waiting_ids.add(job_id)
        else:
            waiting_ids.discard(job_id)
