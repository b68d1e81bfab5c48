"""Admission of submissions by the owner's forecast, on one entry VM."""

from __future__ import annotations

from typing import Protocol

import curio

from arbutusladder import events
from arbutusladder.cell.forecast.admission import (
    ReceivedForecast,
    Refusal,
    find_refusal,
)
from arbutusladder.cell.states import JobPhase
from arbutusladder.clock import Clock
from arbutusladder.errors import LogUnavailable, NoRoom
from arbutusladder.ids import Epoch, JobId
from arbutusladder.journal import Journal
from arbutusladder.messages import StartForecast, SubmittedJob
from arbutusladder.metrics import Metrics

# Longest time in seconds for the read that shows whether a job is stored already. A job
# is accepted if it takes longer, since nobody waits for a refusal.
MAX_LOOKUP_S = 0.7
# Seconds between the starts of such reads, which serve all jobs that came meanwhile.
# Otherwise refusals in a surge would make every entry VM read without a pause.
LOOKUP_INTERVAL_S = 0.2


class KnownJobs(Protocol):
    """Jobs that an entry VM knows."""

    loaded: bool

    async def lookup(self, job_id: JobId) -> JobPhase | None:
        """Returns the state of a job; reads the log if the job is not known yet."""

    def is_in_doubt(self, key: str) -> bool:
        """Returns whether an append of a record may be in progress or take effect."""


class KnownOwner(Protocol):
    """What an entry VM knows of the cell's owner."""

    newest_epoch: Epoch

    def is_owner_silent(self, now: float) -> bool:
        """Returns whether several heartbeats of the owner are missing."""


class AdmissionControl:
    """Keeps the newest forecast and refuses jobs by it.

    Args:
        jobs: Jobs that this entry VM knows.
        owners: What it knows of the owner.
        clock: Clock of this process.
        journal: Event log.
        metrics: Gauges.
    """

    def __init__(
        self,
        jobs: KnownJobs,
        owners: KnownOwner,
        clock: Clock,
        journal: Journal,
        metrics: Metrics,
    ):
        self._jobs = jobs
        self._owners = owners
        self._clock = clock
        self._journal = journal
        self._metrics = metrics
        self._received: ReceivedForecast | None = None
        self._listed_priorities: set[int] = set()

    def receive(
        self, forecast: StartForecast, epoch: Epoch, now: float, own: bool = False
    ) -> None:
        """Keeps a forecast unless it is of an earlier owner than the one kept.

        Args:
            forecast: The forecast.
            epoch: Epoch of the owner that has computed it.
            now: Monotonic time in seconds.
            own: Whether the owner is on this entry VM, which gets no heartbeats of it.
        """
        if self._received and epoch < self._received.epoch:
            return
        self._received = ReceivedForecast(forecast, epoch, now, own)
        if forecast.rows or self._listed_priorities:
            self._set_gauges(forecast)

    def _set_gauges(self, forecast: StartForecast) -> None:
        waits = dict.fromkeys(self._listed_priorities, 0.0)
        for row in forecast.rows:
            waits[row.priority] = max(waits.get(row.priority, 0.0), row.wait_s)
        for priority, wait_s in waits.items():
            self._metrics.gauge(f"forecast.wait_s.priority_{priority}", wait_s)
        self._metrics.gauge("forecast.rows", len(forecast.rows))
        self._listed_priorities = {row.priority for row in forecast.rows}

    async def check(self, record: SubmittedJob) -> None:
        """Refuses a job that has no room, unless it may be stored already.

        A refusal guarantees that the job never runs, so the log is read first: another
        entry VM may have stored an earlier submission of it.

        Args:
            record: The submission.

        Raises:
            NoRoom: The job would end too late to be worth anything.
        """
        if self._find_refusal(record) is None or await self._may_be_stored(record):
            return
        refusal = self._find_refusal(record)
        if refusal:
            self._log_refusal(record, refusal)
            raise NoRoom(refusal.retry_after_s)

    def _find_refusal(self, record: SubmittedJob) -> Refusal | None:
        received, now = self._received, self._clock.now()
        if received is None or not received.is_valid(self._owners.newest_epoch, now):
            return None
        if not received.own and self._owners.is_owner_silent(now):
            return None
        return find_refusal(record, received, now)

    async def _may_be_stored(self, record: SubmittedJob) -> bool:
        if not self._jobs.loaded or self._jobs.is_in_doubt(record.job_id):
            return True
        # Others wait for the same read of the log, so it is not cancelled.
        task = await curio.spawn(self._is_new, record.job_id, daemon=True)
        is_new = False
        async with curio.ignore_after(MAX_LOOKUP_S):
            is_new = await task.join()
        return not is_new or self._jobs.is_in_doubt(record.job_id)

    async def _is_new(self, job_id: JobId) -> bool:
        """Returns whether the log shows that a job was not stored until now."""
        await curio.sleep(LOOKUP_INTERVAL_S - self._clock.now() % LOOKUP_INTERVAL_S)
        try:
            return await self._jobs.lookup(job_id) is None
        except LogUnavailable:
            return False

    def _log_refusal(self, record: SubmittedJob, refusal: Refusal) -> None:
        self._journal.write(
            events.JOB_WITHOUT_ROOM,
            job=record.job_id,
            queue=record.queue.name,
            priority=record.queue.priority,
            team=record.team or "-",
            wait=refusal.wait_s,
            limit=refusal.limit_s,
            age=self._clock.now() - self._received.received_at,
            retry=refusal.retry_after_s,
        )
