"""Checks whether a caller may use a job, whose team the cell's records name."""

import math

import curio

from arbutusladder.access.callers import Caller, Unrestricted, may_use_job
from arbutusladder.cell.member import Member
from arbutusladder.clock import Clock
from arbutusladder.errors import LogUnavailable
from arbutusladder.ids import JobId
from arbutusladder.platform.routes import Queue

# Shortest time in seconds between two reads of all progress. Few jobs need one: those
# that ended and were deleted while this entry VM could not read the log.
MIN_RELOAD_INTERVAL_S = 2.0


class JobAccess:
    """Checks access to jobs.

    Args:
        member: Cell member of this entry VM.
        clock: Monotonic time.
    """

    def __init__(self, member: Member, clock: Clock):
        self._member = member
        self._clock = clock
        self._reload_allowed_at = -math.inf

    async def may_use(self, caller: Caller, queue: Queue, job_id: JobId) -> bool:
        """Returns whether a caller may use a job, or no job with the id is stored.

        Raises:
            LogUnavailable: The team is not known here and the log does not answer.
        """
        if caller == Unrestricted():
            return True
        table = self._member.table
        if table.team(job_id) is None:
            await self._member.read_jobs()
        if table.team(job_id) is None and table.phase(job_id) is not None:
            # The owner has relayed a state, and the submission is already deleted.
            await self._reload_progress()
            if table.team(job_id) is None:
                return False
        return self.is_allowed(caller, queue, job_id)

    async def _reload_progress(self) -> None:
        now = self._clock.now()
        if now < self._reload_allowed_at:
            raise LogUnavailable("progress was just read", maybe_applied=False)
        self._reload_allowed_at = now + MIN_RELOAD_INTERVAL_S
        await self._member.reload_progress()

    async def may_submit(
        self, caller: Caller, queue: Queue, job_id: JobId, deadline: float
    ) -> bool:
        """Returns whether a caller may submit a job under an id.

        Another entry VM may have accepted a job with the id a moment ago, so an id that
        is not known here is looked up in the log first.

        Args:
            caller: The caller.
            queue: Queue of the request.
            job_id: The id.
            deadline: Monotonic time in seconds until which to try.

        Raises:
            LogUnavailable: The log does not answer by then.
        """
        if caller == Unrestricted():
            return True
        now = self._clock.now()
        table = self._member.table
        if table.phase(job_id) is None and self._member.appender.in_outage(now):
            raise LogUnavailable("appends to the log fail", maybe_applied=False)
        try:
            async with curio.timeout_after(max(0.0, deadline - now)):
                return await self.may_use(caller, queue, job_id)
        except curio.TaskTimeout as error:
            raise LogUnavailable("no answer in time", maybe_applied=False) from error

    def is_allowed(self, caller: Caller, queue: Queue, job_id: JobId) -> bool:
        """Returns false if the job is known here to be closed to the caller."""
        if caller == Unrestricted():
            return True
        team = self._member.table.team(job_id)
        is_in_queue = self._member.table.is_in_queue(job_id, queue.terms.name)
        return team is None or may_use_job(caller, team, is_in_queue)
