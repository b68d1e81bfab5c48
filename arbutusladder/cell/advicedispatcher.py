"""Distributes calls of the placement advice service over the entry VMs.

Each entry VM makes one call at a time, so the number of concurrent calls is limited by
the number of active entry VMs. `AdviceDispatcher` owns the calls in progress and
the measured overhead of each entry VM.
"""

import itertools
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import curio

from arbutusladder import events
from arbutusladder.cell.advicecalls import LONG_CALL_THRESHOLD_S, AdviceCapacity
from arbutusladder.cell.interfaces import AdviceOrder, Advisor
from arbutusladder.cell.memberregistry import MEMBER_TIMEOUT_S
from arbutusladder.clock import Clock
from arbutusladder.ids import Epoch, RequestId, SeatId, VmId
from arbutusladder.journal import Journal
from arbutusladder.messages import AdviceCall, AdviceReply
from arbutusladder.peers import PeerTransport

# Largest share of the entry VMs that may make long calls at the same time.
MAX_LONG_CALL_SHARE = 0.7
# Seconds beyond a call's expected duration after which it times out.
TIMEOUT_MARGIN_S = 1.0
# Seconds for which an entry VM gets no calls after one of its calls failed: about as
# long as a long call takes.
FAILURE_BACKOFF_S = 1.5
# Weight of the newest call in the moving average of an entry VM's overhead, the time
# that its calls take beyond the time of the service itself.
OVERHEAD_SMOOTHING_FACTOR = 0.3


@dataclass
class AdviceUsage:
    """Number and duration of advice calls that have ended.

    Attributes:
        calls: Calls that ended.
        expected_s: Sum of their expected durations in seconds.
        actual_s: Sum of their actual durations in seconds.
    """

    calls: int = 0
    expected_s: float = 0.0
    actual_s: float = 0.0


AdviceCallback = Callable[[AdviceOrder, AdviceReply], Awaitable[None]]


class AdviceDispatcher:
    """Assigns advice calls to idle entry VMs.

    Args:
        vm: This entry VM.
        epoch: Epoch of the owner; keeps request ids distinct from its predecessors'.
        peers: Connections to the other entry VMs.
        advisor: Client of the advice service.
        clock: Monotonic time.
        journal: Event log.
    """

    def __init__(
        self,
        vm: VmId,
        epoch: Epoch,
        peers: PeerTransport,
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
        """Number of calls in progress."""
        return len(self._is_long_by_busy_vm)

    def take_usage(self) -> AdviceUsage:
        """Returns the usage since the previous call of this method, and resets it."""
        usage, self._usage = self._usage, AdviceUsage()
        return usage

    def record_hello(self, vm: VmId, now: float) -> None:
        """Records that another entry VM is active and can make calls.

        Args:
            vm: The entry VM.
            now: Monotonic time in seconds.
        """
        self._last_hello_at_by_vm[vm] = now

    def available_capacity(self, now: float) -> AdviceCapacity:
        """Returns how many calls may be started now."""
        if self._closed:
            return AdviceCapacity(0, 0)
        members = self._eligible_members(now)
        max_long_calls = max(1, int(len(members) * MAX_LONG_CALL_SHARE))
        long_calls = max_long_calls - sum(self._is_long_by_busy_vm.values())
        return AdviceCapacity(len(self._idle_members(members)), long_calls)

    async def start_call(self, order: AdviceOrder, on_reply: AdviceCallback) -> None:
        """Starts a call on an idle entry VM.

        Args:
            order: The step and the workers to ask about.
            on_reply: Called with the reply in any case; without an idle entry VM, at
                once and with an unanswered reply.
        """
        idle = self._idle_members(self._eligible_members(self._clock.now()))
        if self._closed or not idle:
            await on_reply(order, AdviceReply(RequestId(""), False))
            return
        long = order.expected_s > LONG_CALL_THRESHOLD_S
        # Long calls go to the entry VM with the highest overhead: a tenth of a second
        # is negligible for them, but most of the time budget of an urgent quote.
        ranked = sorted(idle, key=lambda vm: self._overhead_s_by_vm.get(vm, 0.0))
        vm = ranked[-1] if long else ranked[0]
        self._is_long_by_busy_vm[vm] = long
        await curio.spawn(self._call, vm, order, on_reply, daemon=True)

    def close(self) -> None:
        """Starts no further calls; calls in progress go on."""
        self._closed = True

    def _eligible_members(self, now: float) -> list[VmId]:
        oldest = now - MEMBER_TIMEOUT_S
        members = [vm for vm, at in self._last_hello_at_by_vm.items() if at > oldest]
        backoff_until = self._backoff_until_by_vm.get
        return [vm for vm in (*members, self._vm) if now >= backoff_until(vm, 0.0)]

    def _idle_members(self, members: list[VmId]) -> list[VmId]:
        return [vm for vm in members if vm not in self._is_long_by_busy_vm]

    async def _call(
        self, vm: VmId, order: AdviceOrder, on_reply: AdviceCallback
    ) -> None:
        request_id = RequestId(
            f"{order.stage}/{self._epoch}/{next(self._call_numbers)}"
        )
        timeout = order.expected_s + TIMEOUT_MARGIN_S
        started_at = self._clock.now()
        reply = None
        try:
            if vm == self._vm:
                reply = await self._advisor.advise(
                    request_id, order.stage, list(order.vms), timeout
                )
            else:
                message = AdviceCall(request_id, order.stage, list(order.vms), timeout)
                reply = await self._peers.call(SeatId(vm), message, timeout)
        except Exception as error:
            # Without a reply the step would wait for it until the next takeover.
            self._journal.write(
                events.BACKGROUND_TASK_FAILED, task="advice call", error=repr(error)
            )
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
        await on_reply(order, reply)

    def _update_overhead(self, vm: VmId, seconds: float) -> None:
        average = self._overhead_s_by_vm.get(vm, 0.0)
        self._overhead_s_by_vm[vm] = average + OVERHEAD_SMOOTHING_FACTOR * (
            seconds - average
        )

    def _record_failure(self, vm: VmId, order: AdviceOrder) -> None:
        self._journal.write(events.ADVICE_UNANSWERED, step=order.stage, vm=vm)
        self._backoff_until_by_vm[vm] = self._clock.now() + FAILURE_BACKOFF_S
