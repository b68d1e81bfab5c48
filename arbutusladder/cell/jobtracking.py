"""Transfer of stored jobs to the owner's state."""

from arbutusladder.cell.cellstate import CellState
from arbutusladder.cell.jobtable import JobTable
from arbutusladder.ids import JobId
from arbutusladder.messages import RelayedState


def track_job(
    state: CellState, table: JobTable, job_id: JobId, now: float, inherited: bool
) -> None:
    """Adds an unfinished job to the state, and applies its end or cancellation.

    Args:
        state: The owner's state.
        table: Stored jobs.
        job_id: The job.
        now: Monotonic time in seconds.
        inherited: Whether a previous owner may have started tasks of it.
    """
    entry = table.job_by_id[job_id]
    if entry.record is None:
        return
    if entry.progress.state.is_final:
        if inherited:
            state.inherit_queue(entry.record.queue)
        return
    if job_id not in state.job_by_id:
        state.add_job(entry.record, entry.progress, now, inherited)
    if entry.reported_end:
        state.apply_reported_end(RelayedState(job_id, entry.reported_end))
    elif entry.cancelled:
        state.cancel(job_id)
