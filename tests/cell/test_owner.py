"""Tests the owner's start orders and its handling of jobs during a takeover."""

import curio
import pytest

from arbutusladder.cell.cellstate import CellState
from arbutusladder.cell.interfaces import OrderAnswer, StartOrder
from arbutusladder.cell.owner import Owner
from arbutusladder.cell.states import OrderOutcome
from arbutusladder.clock import ManualClock
from arbutusladder.metrics import Metrics
from tests.cell import workloads


class ScriptedOrders:
    """Stands in for workers; answers start orders with given outcomes in turn."""

    def __init__(self, *outcomes):
        self.outcomes = list(outcomes)

    async def start(self, worker, order, epoch, until):
        """Answers with the next outcome."""
        return OrderAnswer(self.outcomes.pop(0))


class StubDependencies:
    """The dependencies that a start order uses."""

    def __init__(self, orders):
        self.orders = orders
        self.metrics = Metrics()


def answered_start(*outcomes):
    """Returns the owner's outcome of a start whose orders get the given answers."""
    owner = Owner.__new__(Owner)
    owner.epoch = 1
    owner._dependencies = StubDependencies(ScriptedOrders(*outcomes))
    entry = workloads.workers()[0]
    order = StartOrder(entry.vm, "task", 1, "payload")
    return curio.run(owner._start_with_retry, entry, order, 10.0).outcome


class TestUnansweredStart:
    """A start order without an answer is repeated."""

    @pytest.mark.parametrize(
        "second",
        [
            OrderOutcome.NOT_SENT,
            OrderOutcome.NO_ROOM,
            OrderOutcome.TOO_LATE,
            OrderOutcome.TICKET_INVALID,
            OrderOutcome.UNHEALTHY,
            OrderOutcome.UNKNOWN,
        ],
    )
    def test_failed_second_order_leaves_the_first_in_doubt(self, second):
        """Guards against placing a task again while its first run may go on."""
        assert answered_start(OrderOutcome.UNKNOWN, second) is OrderOutcome.UNKNOWN

    def test_accepted_second_order_shows_that_the_first_arrived(self):
        """Guards against stopping a run that the first order started."""
        assert answered_start(OrderOutcome.UNKNOWN, OrderOutcome.ACCEPTED) is (
            OrderOutcome.ACCEPTED
        )

    def test_answered_start_is_sent_once(self):
        """Guards against repeating orders that were answered."""
        assert answered_start(OrderOutcome.NO_ROOM) is OrderOutcome.NO_ROOM


class TestJobsDuringTakeover:
    """Jobs read during or shortly after a takeover.

    The predecessor may have run their tasks, or may still start them.
    """

    def test_job_waits_for_the_predecessors_progress(self):
        """Guards against running tasks again that the predecessor has finished."""
        owner = Owner.__new__(Owner)
        owner._taken_over_at = None
        owner._track_job = None  # Must not be called.
        curio.run(owner.handle_job_changes, [workloads.job_id(1)])

    @pytest.mark.parametrize("unread", [True, False])
    def test_job_read_after_a_takeover_is_inherited_before_workers_report(self, unread):
        """Guards against a second run of a task that a replaced owner still starts."""
        clock = ManualClock()
        inherited_flags = []
        owner = Owner.__new__(Owner)
        owner._clock = clock
        owner._decisions_needed = curio.Event()
        owner._taken_over_at = clock.now()
        owner._track_job = lambda job_id, now, inherited: inherited_flags.append(
            inherited
        )
        owner.state = CellState(0.0, lambda task: None)
        if unread:
            owner.state.unreported_until_by_vm = {"w-001": clock.now() + 9.0}
        clock.advance(1.0)
        curio.run(owner.handle_job_changes, [workloads.job_id(1)])
        clock.advance(5.0)
        curio.run(owner.handle_job_changes, [workloads.job_id(2)])
        assert inherited_flags == [unread, False]
