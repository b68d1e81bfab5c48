"""Notes why the owner takes a run for ended, and what it knew of the run."""

import sys
from pathlib import Path
from unittest import mock

from arbutusladder.cell.cellstate import CellState
from arbutusladder.clock import Clock
from arbutusladder.events import Event, Level

RUN_TAKEN_FOR_ENDED = Event(
    0, Level.DEBUG, "takes {task} run {run} on {worker} for ended: {calls}; {known}"
)
CALLERS = 3


def trace_ends_of_runs():
    """Returns a patch that adds an event for each run that is taken for ended."""
    original = CellState.end_run

    def end_run(cell, worker, run, evidence):
        if run.key in worker.run_by_key:
            cell.record_event(
                RUN_TAKEN_FOR_ENDED,
                task=run.task,
                run=run.number,
                worker=run.vm,
                calls=" < ".join(_callers()),
                known=_describe(worker, run, Clock().now()),
            )
        return original(cell, worker, run, evidence)

    return mock.patch.object(CellState, "end_run", end_run)


def _callers():
    frame = sys._getframe(2)
    for _ in range(CALLERS):
        code = frame.f_code
        yield f"{code.co_name} ({Path(code.co_filename).name}:{frame.f_lineno})"
        frame = frame.f_back


def _describe(worker, run, now):
    ordered = "never"
    if run.ordered_at is not None:
        ordered = f"{now - run.ordered_at:.3f} s ago for {run.ordered_born}"
    stopped = "never"
    if run.stop_answered_at is not None:
        stopped = f"{now - run.stop_answered_at:.3f} s ago"
    return (
        f"phase {run.phase.value}, in doubt {run.in_doubt}, listed {run.listed}, "
        f"ordered {ordered} under {run.token_number}, stop answered {stopped}, "
        f"worker {worker.born} under {worker.token_number}"
    )
