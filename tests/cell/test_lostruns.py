"""Tests of what the event log says of runs that counted as ended."""

import pytest

from arbutusladder import events
from arbutusladder.cell.interfaces import OrderAnswer
from arbutusladder.cell.lostruns import MAX_LOST_RUNS, LostRuns
from arbutusladder.cell.runs import Run
from arbutusladder.cell.states import OrderOutcome, RunPhase
from arbutusladder.ids import JobId, VmId
from arbutusladder.messages import Resources
from tests.cell.test_restartedworker import ACCEPTED, NEW, NOW, RestartingWorker


def written(cell, event):
    """Returns the fields of each event of a kind that is queued."""
    return [
        fields
        for queued, fields in cell.state.changes.pending_events
        if queued is event
    ]


class TestListedAgain:
    """Pattern: a worker lists a run that the owner took for ended."""

    def test_event_tells_why_the_run_counted_as_ended(self):
        """Guards against a log that does not tell how a task came to run twice."""
        cell = RestartingWorker()
        cell.answer(ACCEPTED, NOW + 0.1)
        cell.restart("report", NOW + 0.6)
        cell.report(NEW, NOW + 1.6, running=[1])
        (fields,) = written(cell, events.LOST_RUN_LISTED)
        assert (fields["cause"], fields["former"]) == ("missing", NEW)
        assert fields["seconds"] == pytest.approx(1.0)
        assert not fields["unanswered"]

    def test_run_whose_end_is_known_is_not_reported(self):
        """Guards against warnings about runs that took their usual course."""
        cell = RestartingWorker()
        cell.answer(ACCEPTED, NOW + 0.1)
        cell.report(cell.worker.born, NOW + 0.2, running=[1])
        cell.report(cell.worker.born, NOW + 0.9, ended=[1])
        assert not written(cell, events.LOST_RUN_LISTED)


class TestNamedRuns:
    """The event of lost runs names the runs and what is known of their orders."""

    def test_run_with_an_unanswered_order_is_marked(self):
        """Guards against a log that hides which orders may still be executed."""
        cell = RestartingWorker()
        cell.worker.grant_lease(NOW, 5.0)
        cell.answer(OrderAnswer(OrderOutcome.UNKNOWN), NOW + 0.8)
        cell.worker.record_missed_renewal(NOW + 0.5)
        cell.state.expire_leases(NOW + 60.0)
        (fields,) = written(cell, events.RUNS_LOST)
        assert fields["named"] == f"{cell.order.task}:1(doubtful?,60.000s)"


class TestBound:
    """Runs are remembered up to a number, so that memory stays bounded."""

    def test_oldest_runs_are_dropped(self):
        """Guards against memory that grows with the number of lost runs."""
        lost, vm = LostRuns(), VmId("i-1")
        for number in range(MAX_LOST_RUNS + 1):
            run = Run(
                "t", number, JobId("j"), "", 0, vm, Resources(), RunPhase.SENT, NOW
            )
            lost.add(run, "lapsed", 1, NOW)
        assert lost.take(vm, ("t", 0)) is None
        assert lost.take(vm, ("t", MAX_LOST_RUNS)) is not None
