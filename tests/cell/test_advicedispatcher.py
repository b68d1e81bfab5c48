"""Tests which entry VM the dispatcher assigns an advice call to."""

import curio

from arbutusladder.cell.advicedispatcher import FAILURE_BACKOFF_S, AdviceDispatcher
from arbutusladder.cell.interfaces import AdviceOrder
from arbutusladder.clock import ManualClock
from arbutusladder.journal import Journal
from arbutusladder.messages import AdviceReply
from tests.virtualtime import run_in_virtual_time

SHORT_S, LONG_S = 0.02, 1.0


class FakeEntryVms:
    """Entry VMs that make advice calls with a given overhead each.

    Stands in for the connections to the other entry VMs and for the advice service.

    Attributes:
        overhead_by_vm: Seconds added to calls from an entry VM; None for no answer.
        called: Entry VMs in the order of the calls made from them.
        answered: Whether each call was answered.
    """

    def __init__(self, overhead_by_vm):
        self.overhead_by_vm = overhead_by_vm
        self.clock = ManualClock()
        self.called = []
        self.answered = []
        self.dispatcher = AdviceDispatcher(
            "own", 1, self, self, self.clock, Journal("own")
        )
        for vm in overhead_by_vm:
            if vm != "own":
                self.dispatcher.record_hello(vm, self.clock.now())

    async def call(self, seat, message, timeout):
        """Makes a call from another entry VM."""
        self.called.append(seat)
        overhead = self.overhead_by_vm[seat]
        if overhead is None:
            self.clock.advance(timeout)
            return None
        self.clock.advance(timeout - 1.0 + overhead)
        return AdviceReply(message.request_id, True)

    async def advise(self, request_id, stage, workers, timeout):
        """Makes a call from this entry VM."""
        return await self.call("own", AdviceReply(request_id, True), timeout)

    async def start_calls(self, expected_s, count=1):
        """Starts calls one after the other."""
        for _ in range(count):
            order = AdviceOrder("stage", ("w",), expected_s)
            await self.dispatcher.start_call(order, self.record_reply)
            await curio.sleep(0)
            await curio.sleep(0)
            for vm in self.overhead_by_vm:
                self.dispatcher.record_hello(vm, self.clock.now())

    async def record_reply(self, order, reply):
        """Records whether a reply was answered."""
        self.answered.append(reply.answered)


class TestAssignment:
    """Some entry VMs are behind slow links, but all are needed for calls."""

    def test_short_calls_use_the_entry_vm_with_the_lowest_overhead(self):
        """Guards against urgent quotes delayed by an entry VM behind a slow link."""
        entry_vms = FakeEntryVms({"a": 0.2, "b": 0.01, "own": 0.1})
        run_in_virtual_time(entry_vms.start_calls, SHORT_S, 12)
        assert set(entry_vms.called[3:]) == {"b"}

    def test_long_calls_use_the_entry_vm_with_the_highest_overhead(self):
        """Guards against long calls that occupy the entry VMs with low overhead."""
        entry_vms = FakeEntryVms({"a": 0.2, "b": 0.01, "own": 0.1})
        run_in_virtual_time(entry_vms.start_calls, SHORT_S, 12)
        entry_vms.called.clear()
        run_in_virtual_time(entry_vms.start_calls, LONG_S, 3)
        assert set(entry_vms.called) == {"a"}

    def test_entry_vm_without_an_answer_gets_no_calls_for_a_while(self):
        """Guards against losing every other call to a silent entry VM."""
        entry_vms = FakeEntryVms({"a": None, "own": 0.1})
        run_in_virtual_time(entry_vms.start_calls, SHORT_S, 8)
        assert entry_vms.called.count("a") == 1
        assert entry_vms.answered.count(False) == 1
        entry_vms.clock.advance(FAILURE_BACKOFF_S)
        assert entry_vms.dispatcher.available_capacity(entry_vms.clock.now()).calls >= 1

    def test_call_without_an_idle_entry_vm_is_rejected_at_once(self):
        """Guards against a step that waits indefinitely for advice."""
        entry_vms = FakeEntryVms({"own": None})
        run_in_virtual_time(entry_vms.start_calls, SHORT_S, 1)
        entry_vms.dispatcher.close()
        run_in_virtual_time(entry_vms.start_calls, SHORT_S, 1)
        assert entry_vms.answered == [False, False]


class TestUnexpectedError:
    """Guards against a step that waits for ever for the reply of a failed call."""

    def test_call_that_raises_ends_unanswered(self):
        entry_vms = FakeEntryVms({"own": 0.0})

        async def fail(*_):
            raise ValueError("an error that no client of the service expects")

        entry_vms.advise = fail
        run_in_virtual_time(entry_vms.start_calls, SHORT_S)
        assert entry_vms.answered == [False]
        assert entry_vms.dispatcher.calls_in_progress == 0
