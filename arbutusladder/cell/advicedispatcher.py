"""Spreads calls for placement advice over the entry VMs."""

import itertools
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import curio

from arbutusladder import events
from arbutusladder.cell.advicecalls import LONG_CALL_THRESHOLD_S, AdviceCapacity
from arbutusladder.cell.interfaces import AdviceOrder, Advisor
from arbutusladder.clock import Clock
from arbutusladder.ids import Epoch, RequestId, SeatId, VmId
from arbutusladder.journal import Journal
from arbutusladder.messages import AdviceCall, AdviceReply
from arbutusladder.peers import Peers

# Seconds after its last hello during which an entry VM gets calls.
MEMBER_TIMEOUT_S = 1.6
# Share of the entry VMs that long calls may occupy.
MAX_LONG_CALL_SHARE = 0.7
# Seconds beyond the expected duration after which a call is given up.
TIMEOUT_MARGIN_S = 1.0
# Seconds without calls from an entry VM after one of them failed: about as long as a
# long call takes.
FAILURE_BACKOFF_S = 1.5
# Weight of the newest call in the average of what calls from an entry VM take longer
# than the service itself.
OVERHEAD_SMOOTHING_FACTOR = 0.3


@dataclass
class AdviceUsage:
    """What calls for advice took.

    Attributes:
        calls: Calls that ended.
        expected_s: Seconds that they should have taken.
        taken_s: Seconds that they took.
    """

    calls: int = 0
    expected_s: float = 0.0
    actual_s: float = 0.0


AdviceCallback = Callable[[AdviceOrder, AdviceReply], Awaitable[None]]


class AdviceDispatcher:
    """Gives each entry VM one call at a time.

    Args:
        vm: This entry VM.
        epoch: Epoch of the owner, which keeps calls of its predecessors apart.
        peers: Messages to the others.
        advisor: Advice service as seen from this entry VM.
        clock: Monotonic time.
        journal: Event log.
    """

    def __init__(
        self,
        vm: VmId,
        epoch: Epoch,
        peers: Peers,
        advisor: Advisor,
        clock: Clock,
        journal: Journal,
    ):
        self._journal = journal
        self._vm = vm
        self._epoch = epoch
        self._peers = peers
        self._advisor = advisor
        self._clock = clock
        self._last_hello_at_by_vm: dict[VmId, float] = {}
        self._is_long_by_busy_vm: dict[VmId, bool] = {}
        self._call_numbers = itertools.count(1)
        self._backoff_until_by_vm: dict[VmId, float] = {}
        self._overhead_s_by_vm: dict[VmId, float] = {}
        self._usage = AdviceUsage()
        self._closed = False

    @property
    def calls_in_progress(self) -> int:
        """Calls in progress."""
        return len(self._is_long_by_busy_vm)

    def take_usage(self) -> AdviceUsage:
        """Returns what calls took since the last time that this was asked."""
        usage, self._usage = self._usage, AdviceUsage()
        return usage

    def record_hello(self, vm: VmId, now: float) -> None:
        """Notes that another entry VM can take calls."""
        self._last_hello_at_by_vm[vm] = now

    def available_capacity(self, now: float) -> AdviceCapacity:
        """Returns the calls that may begin now."""
        if self._closed:
            return AdviceCapacity(0, 0)
        members = self._eligible_members(now)
        max_long_calls = max(1, int(len(members) * MAX_LONG_CALL_SHARE))
        long_calls = max_long_calls - sum(self._is_long_by_busy_vm.values())
        return AdviceCapacity(len(self._idle_members(members)), long_calls)

    async def start_call(self, order: AdviceOrder, answered: AdviceCallback) -> None:
        """Begins a call; ``answered`` is called with the reply in any case."""
        idle = self._idle_members(self._eligible_members(self._clock.now()))
        if self._closed or not idle:
            await answered(order, AdviceReply(RequestId(""), False))
            return
        long = order.expected_s > LONG_CALL_THRESHOLD_S
        # A detour of a tenth of a second is nothing to a long call, but most of what
        # an urgent quote may take.
        ranked = sorted(idle, key=lambda vm: self._overhead_s_by_vm.get(vm, 0.0))
        vm = ranked[-1] if long else ranked[0]
        self._is_long_by_busy_vm[vm] = long
        await curio.spawn(self._call, vm, order, answered, daemon=True)

    def close(self) -> None:
        """Begins no further calls."""
        self._closed = True

    def _eligible_members(self, now: float) -> list[VmId]:
        oldest = now - MEMBER_TIMEOUT_S
        members = [vm for vm, at in self._last_hello_at_by_vm.items() if at > oldest]
        backoff_until = self._backoff_until_by_vm.get
        return [vm for vm in (*members, self._vm) if now >= backoff_until(vm, 0.0)]

    def _idle_members(self, members: list[VmId]) -> list[VmId]:
        return [vm for vm in members if vm not in self._is_long_by_busy_vm]

    async def _call(
        self, vm: VmId, order: AdviceOrder, answered: AdviceCallback
    ) -> None:
        request_id = RequestId(
            f"{order.stage}/{self._epoch}/{next(self._call_numbers)}"
        )
        timeout = order.expected_s + TIMEOUT_MARGIN_S
        started_at = self._clock.now()
        try:
            if vm == self._vm:
                reply = await self._advisor.advise(
                    request_id, order.stage, list(order.vms), timeout
                )
            else:
                message = AdviceCall(request_id, order.stage, list(order.vms), timeout)
                reply = await self._peers.call(SeatId(vm), message, timeout)
        finally:
            self._is_long_by_busy_vm.pop(vm, None)
            self._usage.calls += 1
            self._usage.expected_s += order.expected_s
            actual_s = self._clock.now() - started_at
            self._usage.actual_s += actual_s
            self._update_overhead(vm, actual_s - order.expected_s)
        reply = reply or AdviceReply(request_id, False)
        if not reply.answered:
            self._record_failure(vm, order)
        await answered(order, reply)

    def _update_overhead(self, vm: VmId, seconds: float) -> None:
        average = self._overhead_s_by_vm.get(vm, 0.0)
        self._overhead_s_by_vm[vm] = average + OVERHEAD_SMOOTHING_FACTOR * (
            seconds - average
        )

    def _record_failure(self, vm: VmId, order: AdviceOrder) -> None:
        self._journal.write(events.ADVICE_UNANSWERED, step=order.stage, vm=vm)
        self._backoff_until_by_vm[vm] = self._clock.now() + FAILURE_BACKOFF_S
