"""Fold of stream ``jobs``: live jobs by shard.

A job's place is decided by the evidence with the highest offset: its
submission, a move or a snapshot. A fold that starts in the middle of the
stream therefore ends in the same state as one that has read everything, as
soon as it has read a snapshot of each shard.
"""

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

# Copies of a submission arrive within seconds; a job that ended must not
# come back through one.
MAX_ENDED_JOBS = 100_000


@dataclass
class ActiveJob:
    """A job that has not ended.

    Attributes:
        shard: Shard that the job is bound to.
        spec: The job; missing while only a move or ended tasks were read.
        placed_at: Offset of the record that decided the shard.
        ended_tasks: Tasks that ended for good.
    """

    shard: ShardId
    spec: JobSpec | None
    placed_at: int
    ended_tasks: set[TaskId] = field(default_factory=set)


class JobStore:
    """Live jobs by id and by shard."""

    def __init__(self):
        self.next_offset = 0
        self._job_by_id: dict[JobId, ActiveJob] = {}
        self._ids_by_shard: dict[ShardId, set[JobId]] = {}
        self._ended: OrderedDict[JobId, JobEnded] = OrderedDict()
        self._fence_by_shard: dict[ShardId, Epoch] = {}
        self._missed_before = 0
        self._covered: dict[ShardId, int] = {}
        # Ended tasks of jobs whose submission was missed.
        self._early_ends: dict[JobId, set[TaskId]] = {}

    def missed(self, start: int) -> None:
        """Discards the fold, because records before an offset were missed.

        Jobs that ended and fences stay known: they never change back.

        Args:
            start: First offset that the log still retains.
        """
        self._job_by_id.clear()
        self._ids_by_shard.clear()
        self._covered.clear()
        self._early_ends.clear()
        self._missed_before = max(self._missed_before, start)

    def is_complete(self, shard: ShardId) -> bool:
        """Returns whether all live jobs of a shard are known."""
        return self._covered.get(shard, 0) >= self._missed_before

    def fold(self, offset: int, message: Any) -> None:
        """Takes in the next record of the stream; other types are skipped."""
        self.next_offset = max(self.next_offset, offset + 1)
        match message:
            case JobSubmitted():
                self._submit(message, offset)
            case JobMoved():
                self._move(message, offset)
            case TasksEnded():
                self._end_tasks(message, offset)
            case JobEnded():
                self._end(message)
            case ShardFence():
                self._fence(message.shard, message.epoch)
            case JobsSnapshot():
                self._take_snapshot(message)

    def job(self, job_id: JobId) -> ActiveJob | None:
        """Returns a live job."""
        live = self._job_by_id.get(job_id)
        return live if live and live.spec else None

    def ended(self, job_id: JobId) -> JobEnded | None:
        """Returns how a job ended, if that is known."""
        return self._ended.get(job_id)

    def jobs(self, shard: ShardId) -> list[ActiveJob]:
        """Returns the live jobs of a shard, in the order of their placing."""
        ids = self._ids_by_shard.get(shard, ())
        found = [self._job_by_id[job_id] for job_id in ids]
        return sorted((live for live in found if live.spec), key=_order)

    def fence(self, shard: ShardId) -> Epoch:
        """Returns the epoch of the newest owner known from this stream."""
        return self._fence_by_shard.get(shard, Epoch(0))

    def snapshot(self, shard: ShardId, epoch: Epoch) -> JobsSnapshot:
        """Returns what the owner of a complete shard appends again."""
        jobs = self.jobs(shard)
        ended = [
            TasksEnded(live.spec.job_id, sorted(live.ended_tasks))
            for live in jobs
            if live.ended_tasks
        ]
        specs = [live.spec for live in jobs]
        return JobsSnapshot(shard, epoch, self.next_offset, specs, ended)

    def _submit(self, message: JobSubmitted, offset: int) -> None:
        job_id = message.job.job_id
        live = self._job_by_id.get(job_id)
        if live is None:
            self._add(job_id, ActiveJob(message.shard, message.job, offset))
        elif live.spec is None:
            live.spec = message.job

    def _move(self, message: JobMoved, offset: int) -> None:
        if message.epoch < self.fence(message.from_shard):
            # An earlier owner's record; the new owner may run the job.
            return
        live = self._job_by_id.get(message.job_id)
        if live is None:
            if not self.is_complete(message.shard):
                self._add(message.job_id, ActiveJob(message.shard, None, offset))
        elif live.shard == message.from_shard:
            self._relocate(message.job_id, live, message.shard, offset)

    def _end_tasks(self, message: TasksEnded, offset: int) -> None:
        live = self._job_by_id.get(message.job_id)
        if live:
            live.ended_tasks.update(message.tasks)
        elif message.job_id not in self._ended and self._missed_before:
            self._early_ends.setdefault(message.job_id, set()).update(message.tasks)

    def _end(self, message: JobEnded) -> None:
        live = self._job_by_id.pop(message.job_id, None)
        if live:
            self._ids_by_shard[live.shard].discard(message.job_id)
        self._early_ends.pop(message.job_id, None)
        self._ended.setdefault(message.job_id, message)
        if len(self._ended) > MAX_ENDED_JOBS:
            self._ended.popitem(last=False)

    def _take_snapshot(self, message: JobsSnapshot) -> None:
        self._fence(message.shard, message.epoch)
        if self.is_complete(message.shard) or message.upto < self._missed_before:
            return
        # The snapshot shows the state after the record before ``upto``.
        offset = message.upto - 1
        self._drop_unlisted(message, offset)
        for spec in message.jobs:
            live = self._job_by_id.get(spec.job_id)
            if live is None:
                self._add(spec.job_id, ActiveJob(message.shard, spec, offset))
                continue
            live.spec = live.spec or spec
            if offset >= live.placed_at:
                self._relocate(spec.job_id, live, message.shard, offset)
        for ended in message.ended_tasks:
            self._end_tasks(ended, offset)
        self._covered[message.shard] = message.upto

    def _drop_unlisted(self, message: JobsSnapshot, offset: int) -> None:
        """Drops jobs that a copy of their submission brought back.

        Their end was among the missed records. A job that moved away comes
        back with the snapshot of its new shard.
        """
        listed = {spec.job_id for spec in message.jobs}
        for job_id in self._ids_by_shard.get(message.shard, set()) - listed:
            live = self._job_by_id[job_id]
            if live.placed_at <= offset:
                self._ids_by_shard[message.shard].discard(job_id)
                del self._job_by_id[job_id]
                self._early_ends[job_id] = live.ended_tasks

    def _add(self, job_id: JobId, live: ActiveJob) -> None:
        if job_id in self._ended:
            return
        live.ended_tasks |= self._early_ends.pop(job_id, set())
        self._job_by_id[job_id] = live
        self._ids_by_shard.setdefault(live.shard, set()).add(job_id)

    def _relocate(
        self, job_id: JobId, live: ActiveJob, shard: ShardId, offset: int
    ) -> None:
        self._ids_by_shard[live.shard].discard(job_id)
        self._ids_by_shard.setdefault(shard, set()).add(job_id)
        live.shard = shard
        live.placed_at = offset

    def _fence(self, shard: ShardId, epoch: Epoch) -> None:
        self._fence_by_shard[shard] = max(epoch, self.fence(shard))


def _order(live: ActiveJob) -> tuple[int, JobId]:
    return live.placed_at, live.spec.job_id
