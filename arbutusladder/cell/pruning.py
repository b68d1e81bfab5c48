"""Deletes finished jobs from the log, because every restart reads the whole log."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

from arbutusladder.cell.cellstate import CellState
from arbutusladder.cell.jobtable import JOBS_TOPIC
from arbutusladder.cell.progresswriter import ProgressWriter
from arbutusladder.cell.retention import (
    ExpiredRecords,
    Retention,
    submission_tombstones,
)
from arbutusladder.errors import LogUnavailable

if TYPE_CHECKING:
    from arbutusladder.cell.member import CellDependencies, Member

# Seconds between two prunings.
PRUNE_INTERVAL_S = 1.0


class FinishedJobPruner:
    """Deletes the records that `arbutusladder.cell.retention` finds expired.

    Args:
        state: Open jobs, whose records are kept.
        member: Entry VM that runs the owner.
        writer: Writes job progress under the owner's epoch.
        dependencies: Services and settings of the entry VM.
    """

    def __init__(
        self,
        state: CellState,
        member: Member,
        writer: ProgressWriter,
        dependencies: CellDependencies,
    ):
        self._state = state
        self._table = member.table
        self._log = member.log
        self._writer = writer
        self._clock = dependencies.clock
        self._metrics = dependencies.metrics
        self._retention = Retention(dependencies.settings.finished_retention_s)

    async def run(self) -> None:
        """Prunes periodically until cancelled."""
        while True:
            await curio.sleep(PRUNE_INTERVAL_S)
            open_ids = set(self._state.job_by_id)
            expired = self._retention.find_expired(
                self._table, open_ids, self._clock.now()
            )
            try:
                await self._prune(expired)
            except LogUnavailable:
                self._metrics.count("retention.log_unavailable")

    async def _prune(self, expired: ExpiredRecords) -> None:
        submissions = expired.submissions + expired.jobs
        if submissions:
            # Submissions are deleted first: a submission without its final state would
            # run again.
            await self._log.append(JOBS_TOPIC, submission_tombstones(submissions))
            self._retention.mark_submissions_deleted(submissions)
        if expired.jobs:
            await self._writer.delete(expired.jobs)
            self._retention.forget_jobs(expired.jobs)
