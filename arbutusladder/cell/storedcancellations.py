"""Cancellations that an entry VM knows to be stored, until the owner knows them too.

The relay of a stored cancellation may be lost, or sent to an owner that was replaced,
and the entry VM that stored it may restart. So each entry VM repeats in its hellos all
cancellations that the newest owner's position in the jobs topic does not cover.
"""

from arbutusladder.ids import JobId
from arbutusladder.messages import OwnerBeat

# Seconds for which a cancellation that the owner knows is kept. A successor may know
# less; until its first heartbeat arrives, the position is that of its predecessor.
KEPT_S = 15.0


class StoredCancellations:
    """Remembers the records of cancellations."""

    def __init__(self):
        self._record_by_job: dict[JobId, tuple[int, float]] = {}

    def add(self, job_id: JobId, offset: int, now: float) -> None:
        """Adds a cancellation.

        Args:
            job_id: The job.
            offset: Offset of the cancellation's record.
            now: Monotonic time in seconds.
        """
        self._record_by_job[job_id] = (offset, now)

    def unknown_to_owner(self, heartbeat: OwnerBeat | None, now: float) -> list[JobId]:
        """Returns the cancelled jobs that a heartbeat does not cover.

        Args:
            heartbeat: Newest heartbeat of the newest owner; None without one.
            now: Monotonic time in seconds.
        """
        position = heartbeat.jobs_position if heartbeat else 0
        for job_id, (offset, added_at) in list(self._record_by_job.items()):
            if offset < position and now - added_at > KEPT_S:
                del self._record_by_job[job_id]
        return [
            job_id
            for job_id, (offset, _) in self._record_by_job.items()
            if offset >= position
        ]
