"""Which entry VM makes a call for advice."""

import curio

from arbutusladder.cell.advicedispatcher import FAILURE_BACKOFF_S, AdviceDispatcher
from arbutusladder.cell.interfaces import AdviceOrder
from arbutusladder.clock import ManualClock
from arbutusladder.journal import Journal
from arbutusladder.messages import AdviceReply

SHORT_S, LONG_S = 0.02, 1.0


class Callers:
    """Entry VMs, each with the seconds that calls take longer from there.

    It stands for the messages to the others and for the service itself; an
    overhead of None means that no answer comes.
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

    async def ask(self, expected_s, count=1):
        """Makes calls one after the other."""
        for _ in range(count):
            order = AdviceOrder("stage", ("w",), expected_s)
            await self.dispatcher.start_call(order, self.record_reply)
            await curio.sleep(0)
            await curio.sleep(0)
            for vm in self.overhead_by_vm:
                self.dispatcher.record_hello(vm, self.clock.now())

    async def record_reply(self, order, reply):
        """Takes a reply."""
        self.answered.append(reply.answered)


class TestChoice:
    """Pattern: some entry VMs sit behind slow links, and all callers are needed."""

    def test_short_calls_go_where_they_take_the_least(self):
        """Guards against quotes that wait for an entry VM behind a slow link."""
        callers = Callers({"a": 0.2, "b": 0.01, "own": 0.1})
        curio.run(callers.ask, SHORT_S, 12)
        assert set(callers.called[3:]) == {"b"}

    def test_long_calls_leave_the_fast_ones_to_short_calls(self):
        """Guards against long calls that occupy the fast entry VMs."""
        callers = Callers({"a": 0.2, "b": 0.01, "own": 0.1})
        curio.run(callers.ask, SHORT_S, 12)
        callers.called.clear()
        curio.run(callers.ask, LONG_S, 3)
        assert set(callers.called) == {"a"}

    def test_caller_without_an_answer_is_left_alone_for_a_while(self):
        """Guards against every other call being lost to a silent entry VM."""
        callers = Callers({"a": None, "own": 0.1})
        curio.run(callers.ask, SHORT_S, 8)
        assert callers.called.count("a") == 1
        assert callers.answered.count(False) == 1
        callers.clock.advance(FAILURE_BACKOFF_S)
        assert callers.dispatcher.available_capacity(callers.clock.now()).calls >= 1

    def test_call_without_a_free_caller_is_answered_at_once(self):
        """Guards against a step that waits for ever for its advice."""
        callers = Callers({"own": None})
        curio.run(callers.ask, SHORT_S, 1)
        callers.dispatcher.close()
        curio.run(callers.ask, SHORT_S, 1)
        assert callers.answered == [False, False]
