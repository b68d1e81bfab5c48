"""Counters, gauges and the event that show the load of an owner to operators."""

from dataclasses import asdict

from arbutusladder import events
from arbutusladder.cell.advicedispatcher import AdviceDispatcher
from arbutusladder.cell.cellstate import CellState
from arbutusladder.cell.placement import Placer
from arbutusladder.journal import Journal
from arbutusladder.metrics import Metrics


def report_load(
    state: CellState,
    placer: Placer,
    dispatcher: AdviceDispatcher,
    metrics: Metrics,
    journal: Journal,
    **delays: float,
) -> None:
    """Reports the load since the last report.

    Args:
        state: State of the cell.
        placer: The owner's placement, with the load of its last round of decisions.
        dispatcher: The owner's calls for advice.
        metrics: Counters and gauges.
        journal: Event log.
        delays: Further fields of the event, in seconds.
    """
    for team in placer.cap_waits.teams:
        metrics.count(f"cap_waits.{team}")
    for tracker in (state.performance, state.interference):
        tracker.report(metrics)
    usage = dispatcher.take_usage()
    journal.write(
        events.OWNER_LOAD,
        **asdict(placer.load),
        workers=len(state.worker_by_vm),
        advising=dispatcher.calls_in_progress,
        advised=usage.calls,
        taken=usage.actual_s,
        expected=usage.expected_s,
        **delays,
    )
