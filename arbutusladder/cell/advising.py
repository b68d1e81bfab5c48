"""Spreads calls for placement advice over the entry VMs."""

import itertools
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import curio

from arbutusladder.cell.interfaces import AdviceOrder, Advisor
from arbutusladder.clock import Clock
from arbutusladder.ids import Epoch, RequestId, SeatId, VmId
from arbutusladder.messages import AdviceCall, AdviceReply
from arbutusladder.peers import Peers

# Seconds after its last hello during which an entry VM gets calls.
MEMBER_SILENCE_S = 1.6
# Calls that take longer may not occupy all entry VMs: urgent ones need one at once.
LONG_CALL_S = 0.25
# Share of the entry VMs that long calls may occupy.
LONG_SHARE = 0.7
# Seconds beyond the expected duration after which a call is given up.
GRACE_S = 1.0

Answered = Callable[[AdviceOrder, AdviceReply], Awaitable[None]]


@dataclass(eq=False)
class _Call:
    order: AdviceOrder
    answered: Answered
    rank: tuple = field(default=())


class AdviceDispatcher:
    """Gives each entry VM one call at a time, urgent and short calls first.

    Args:
        vm: This entry VM.
        epoch: Epoch of the owner, which keeps calls of its predecessors apart.
        peers: Messages to the others.
        advisor: Advice service as seen from this entry VM.
        clock: Monotonic time.
    """

    def __init__(
        self, vm: VmId, epoch: Epoch, peers: Peers, advisor: Advisor, clock: Clock
    ):
        self._vm = vm
        self._epoch = epoch
        self._peers = peers
        self._advisor = advisor
        self._clock = clock
        self._seen_at_by_vm: dict[VmId, float] = {}
        self._long_by_busy_vm: dict[VmId, bool] = {}
        self._waiting: list[_Call] = []
        self._numbers = itertools.count(1)
        self._closed = False

    @property
    def waiting(self) -> int:
        """Calls that no entry VM is free for."""
        return len(self._waiting)

    def member_seen(self, vm: VmId, now: float) -> None:
        """Notes that another entry VM can take calls."""
        self._seen_at_by_vm[vm] = now

    async def ask(self, order: AdviceOrder, answered: Answered) -> None:
        """Queues a call; ``answered`` is called with the reply."""
        long = order.expected_s > LONG_CALL_S
        rank = (not order.urgent, long, next(self._numbers))
        self._waiting.append(_Call(order, answered, rank))
        self._waiting.sort(key=lambda call: call.rank)
        await self._dispatch()

    def close(self) -> None:
        """Begins no further calls."""
        self._closed = True
        self._waiting.clear()

    async def _dispatch(self) -> None:
        if self._closed:
            return
        now = self._clock.now()
        oldest = now - MEMBER_SILENCE_S
        members = [vm for vm, at in self._seen_at_by_vm.items() if at > oldest]
        members.append(self._vm)
        most_long = max(1, int(len(members) * LONG_SHARE))
        for call in list(self._waiting):
            free = [vm for vm in members if vm not in self._long_by_busy_vm]
            if not free:
                return
            long = call.order.expected_s > LONG_CALL_S
            if long and sum(self._long_by_busy_vm.values()) >= most_long:
                continue
            # Short calls stay here, which saves the way to another entry VM.
            vm = free[0] if long else free[-1]
            self._waiting.remove(call)
            self._long_by_busy_vm[vm] = long
            await curio.spawn(self._call, vm, call, daemon=True)

    async def _call(self, vm: VmId, call: _Call) -> None:
        order = call.order
        request_id = RequestId(f"{order.stage}/{self._epoch}/{next(self._numbers)}")
        timeout = order.expected_s + GRACE_S
        try:
            if vm == self._vm:
                reply = await self._advisor.advise(
                    request_id, order.stage, list(order.vms), timeout
                )
            else:
                message = AdviceCall(request_id, order.stage, list(order.vms), timeout)
                reply = await self._peers.call(SeatId(vm), message, timeout)
        finally:
            self._long_by_busy_vm.pop(vm, None)
        if reply is None:
            self._seen_at_by_vm.pop(vm, None)
            reply = AdviceReply(request_id, False)
        await call.answered(order, reply)
        await self._dispatch()
