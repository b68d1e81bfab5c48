"""Orders of the owner to workers that answer badly."""

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
    """Workers that answer starts from a list."""

    def __init__(self, *outcomes):
        self.outcomes = list(outcomes)

    async def start(self, worker, order, epoch, until):
        """Returns the next outcome."""
        return OrderAnswer(self.outcomes.pop(0))


class StubDependencies:
    """The surroundings that a start needs."""

    def __init__(self, orders):
        self.orders = orders
        self.metrics = Metrics()


def answered_start(*outcomes):
    """Returns the outcome of a start whose orders are answered one by one."""
    owner = Owner.__new__(Owner)
    owner.epoch = 1
    owner._dependencies = StubDependencies(ScriptedOrders(*outcomes))
    entry = workloads.workers()[0]
    order = StartOrder(entry.vm, "task", 1, "payload")
    return curio.run(owner._start_with_retry, entry, order, 10.0).outcome


class TestUnansweredStart:
    """A start without an answer is sent again."""

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
    def test_second_order_that_fails_leaves_the_first_in_doubt(self, second):
        """Guards against a task placed again while its first run goes on."""
        assert answered_start(OrderOutcome.UNKNOWN, second) is OrderOutcome.UNKNOWN

    def test_second_order_tells_that_the_first_arrived(self):
        """Guards against stopping a run that was started."""
        assert answered_start(OrderOutcome.UNKNOWN, OrderOutcome.ACCEPTED) is (
            OrderOutcome.ACCEPTED
        )

    def test_answered_start_is_sent_once(self):
        """Guards against needless orders."""
        assert answered_start(OrderOutcome.NO_ROOM) is OrderOutcome.NO_ROOM


class TestJobsDuringTakeover:
    """Jobs that are read while the predecessor's progress is not."""

    def test_job_waits_for_the_progress_of_the_predecessor(self):
        """Guards against a second run of tasks that the predecessor finished."""
        owner = Owner.__new__(Owner)
        owner._taken_over_at = None
        owner._track_job = None  # Must not be called.
        curio.run(owner.handle_job_changes, [workloads.job_id(1)])

    @pytest.mark.parametrize("unread", [True, False])
    def test_job_read_after_a_slow_takeover_waits_for_unread_workers(self, unread):
        """Guards against a second run while the replaced owner still starts tasks."""
        clock = ManualClock()
        taken = []
        owner = Owner.__new__(Owner)
        owner._clock = clock
        owner._decisions_needed = curio.Event()
        owner._taken_over_at = clock.now()
        owner._track_job = lambda job_id, now, inherited: taken.append(inherited)
        owner.state = CellState(0.0, lambda task: None)
        if unread:
            owner.state.unreported_until_by_vm = {"w-001": clock.now() + 9.0}
        clock.advance(1.0)
        curio.run(owner.handle_job_changes, [workloads.job_id(1)])
        clock.advance(5.0)
        curio.run(owner.handle_job_changes, [workloads.job_id(2)])
        assert taken == [unread, False]
