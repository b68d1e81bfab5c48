"""Fold of stream ``jobs``: the active jobs of each shard.

The shard of a job is decided by the record with the highest offset among its
submission, its moves and the snapshots that list it. A fold that starts in the middle
of the stream therefore reaches the same state as one that has read all of it, as soon
as it has read a snapshot of each shard.
"""

import itertools
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Any

from arbutusladder.ids import Epoch, JobId, ShardId, TaskId
from arbutusladder.messages import (
    JobEnded,
    JobMoved,
    JobSpec,
    JobsSnapshot,
    JobSubmitted,
    ShardFence,
    TasksEnded,
)

# Ended jobs to remember. Copies of a submission arrive within seconds and must not
# restore a job that has ended.
MAX_ENDED_JOBS = 100_000
# Newest of them that a snapshot lists, about 60 bytes each.
MAX_ENDED_JOBS_IN_SNAPSHOT = 1_000


@dataclass
class ActiveJob:
    """A job that has not ended.

    Attributes:
        shard: Shard to which the job is assigned.
        spec: The job; none while its submission was not read.
        assigned_at: Offset of the record that decided the shard.
        ended_tasks: Tasks that have ended and are not started again.
    """

    shard: ShardId
    spec: JobSpec | None
    assigned_at: int
    ended_tasks: set[TaskId] = field(default_factory=set)


class JobStore:
    """Active jobs by id and by shard.

    Attributes:
        next_offset: Offset after the last record that was read.
    """

    def __init__(self):
        self.next_offset = 0
        self._jobs_by_id: dict[JobId, ActiveJob] = {}
        self._ids_by_shard: dict[ShardId, set[JobId]] = {}
        self._ended_jobs: OrderedDict[JobId, JobEnded] = OrderedDict()
        self._fence_by_shard: dict[ShardId, Epoch] = {}
        # Records before this offset were missed.
        self._first_read_offset = 0
        # Offset after the last record that is part of the snapshot read for a shard.
        self._snapshot_offset_by_shard: dict[ShardId, int] = {}
        # Ended tasks of jobs whose submission was not read.
        self._ended_tasks_by_unknown_job: dict[JobId, set[TaskId]] = {}

    def missed(self, start: int) -> None:
        """Discards the active jobs, because records before an offset were missed.

        Ended jobs and fences are kept, because later records cannot revert them.

        Args:
            start: First offset that the log still retains.
        """
        self._jobs_by_id.clear()
        self._ids_by_shard.clear()
        self._snapshot_offset_by_shard.clear()
        self._ended_tasks_by_unknown_job.clear()
        self._first_read_offset = max(self._first_read_offset, start)

    def is_complete(self, shard: ShardId) -> bool:
        """Returns whether all active jobs of a shard are known."""
        return self._snapshot_offset_by_shard.get(shard, 0) >= self._first_read_offset

    def fold(self, offset: int, message: Any) -> None:
        """Applies the next record of the stream; other types are skipped."""
        self.next_offset = max(self.next_offset, offset + 1)
        match message:
            case JobSubmitted():
                self._apply_submission(message, offset)
            case JobMoved():
                self._apply_move(message, offset)
            case TasksEnded():
                self._apply_task_ends(message, offset)
            case JobEnded():
                self._apply_end(message)
            case ShardFence():
                self._apply_fence(message.shard, message.epoch)
            case JobsSnapshot():
                self._apply_snapshot(message)

    def job(self, job_id: JobId) -> ActiveJob | None:
        """Returns an active job whose submission is known, or none."""
        active_job = self._jobs_by_id.get(job_id)
        return active_job if active_job and active_job.spec else None

    def ended(self, job_id: JobId) -> JobEnded | None:
        """Returns the end of a job, or none when it is not known."""
        return self._ended_jobs.get(job_id)

    def jobs(self, shard: ShardId) -> list[ActiveJob]:
        """Returns the active jobs of a shard, in the order of their assignment."""
        ids = self._ids_by_shard.get(shard, ())
        found = [self._jobs_by_id[job_id] for job_id in ids]
        return sorted(
            (active_job for active_job in found if active_job.spec),
            key=_assignment_order,
        )

    def fence(self, shard: ShardId) -> Epoch:
        """Returns the epoch of the newest owner of a shard that the stream shows."""
        return self._fence_by_shard.get(shard, Epoch(0))

    def snapshot(self, shard: ShardId, epoch: Epoch) -> JobsSnapshot:
        """Returns the snapshot that the owner of a completely known shard appends."""
        jobs = self.jobs(shard)
        ended = [
            TasksEnded(active_job.spec.job_id, sorted(active_job.ended_tasks))
            for active_job in jobs
            if active_job.ended_tasks
        ]
        ended += [
            TasksEnded(job_id, sorted(tasks))
            for job_id, tasks in self._ended_tasks_by_unknown_job.items()
        ]
        specs = [active_job.spec for active_job in jobs]
        newest_ends = itertools.islice(
            reversed(self._ended_jobs.values()), MAX_ENDED_JOBS_IN_SNAPSHOT
        )
        return JobsSnapshot(
            shard, epoch, self.next_offset, specs, ended, list(newest_ends)[::-1]
        )

    def _apply_submission(self, message: JobSubmitted, offset: int) -> None:
        job_id = message.job.job_id
        active_job = self._jobs_by_id.get(job_id)
        if active_job is None:
            self._add(job_id, ActiveJob(message.shard, message.job, offset))
        elif active_job.spec is None:
            active_job.spec = message.job

    def _apply_move(self, message: JobMoved, offset: int) -> None:
        if message.epoch < self.fence(message.from_shard):
            # A record of a previous owner; the new owner may already run the job.
            return
        active_job = self._jobs_by_id.get(message.job_id)
        if active_job is None:
            if not self.is_complete(message.shard):
                self._add(message.job_id, ActiveJob(message.shard, None, offset))
        elif active_job.shard == message.from_shard:
            self._assign(message.job_id, active_job, message.shard, offset)

    def _apply_task_ends(self, message: TasksEnded, offset: int) -> None:
        active_job = self._jobs_by_id.get(message.job_id)
        if active_job:
            active_job.ended_tasks.update(message.tasks)
        elif message.job_id not in self._ended_jobs:
            self._ended_tasks_by_unknown_job.setdefault(message.job_id, set()).update(
                message.tasks
            )

    def _apply_end(self, message: JobEnded) -> None:
        active_job = self._jobs_by_id.pop(message.job_id, None)
        if active_job:
            self._ids_by_shard[active_job.shard].discard(message.job_id)
        self._ended_tasks_by_unknown_job.pop(message.job_id, None)
        self._ended_jobs.setdefault(message.job_id, message)
        if len(self._ended_jobs) > MAX_ENDED_JOBS:
            self._ended_jobs.popitem(last=False)

    def _apply_snapshot(self, message: JobsSnapshot) -> None:
        self._apply_fence(message.shard, message.epoch)
        for end in message.ended_jobs:
            self._apply_end(end)
        if self.is_complete(message.shard) or message.upto < self._first_read_offset:
            return
        # The snapshot is the state after the record just before ``upto``.
        offset = message.upto - 1
        self._drop_unlisted(message, offset)
        for spec in message.jobs:
            active_job = self._jobs_by_id.get(spec.job_id)
            if active_job is None:
                self._add(spec.job_id, ActiveJob(message.shard, spec, offset))
                continue
            active_job.spec = active_job.spec or spec
            if offset >= active_job.assigned_at:
                self._assign(spec.job_id, active_job, message.shard, offset)
        for ended in message.ended_tasks:
            self._apply_task_ends(ended, offset)
        self._snapshot_offset_by_shard[message.shard] = message.upto

    def _drop_unlisted(self, message: JobsSnapshot, offset: int) -> None:
        """Drops jobs that were restored by a copy of their submission.

        Their end is among the missed records. A job that has moved to another shard
        is restored by the snapshot of that shard.
        """
        listed = {spec.job_id for spec in message.jobs}
        for job_id in self._ids_by_shard.get(message.shard, set()) - listed:
            active_job = self._jobs_by_id[job_id]
            if active_job.assigned_at <= offset:
                self._ids_by_shard[message.shard].discard(job_id)
                del self._jobs_by_id[job_id]
                self._ended_tasks_by_unknown_job[job_id] = active_job.ended_tasks

    def _add(self, job_id: JobId, active_job: ActiveJob) -> None:
        if job_id in self._ended_jobs:
            return
        active_job.ended_tasks |= self._ended_tasks_by_unknown_job.pop(job_id, set())
        self._jobs_by_id[job_id] = active_job
        self._ids_by_shard.setdefault(active_job.shard, set()).add(job_id)

    def _assign(
        self, job_id: JobId, active_job: ActiveJob, shard: ShardId, offset: int
    ) -> None:
        self._ids_by_shard[active_job.shard].discard(job_id)
        self._ids_by_shard.setdefault(shard, set()).add(job_id)
        active_job.shard = shard
        active_job.assigned_at = offset

    def _apply_fence(self, shard: ShardId, epoch: Epoch) -> None:
        self._fence_by_shard[shard] = max(epoch, self.fence(shard))


def _assignment_order(active_job: ActiveJob) -> tuple[int, JobId]:
    return active_job.assigned_at, active_job.spec.job_id
