"""Requests of one shard, as run by the shard's owner.

`ShardRequests` owns the queue of requests, the executors' slots and the table of
idempotency keys. It runs the curio task that serves the queue.
"""

import random
from dataclasses import dataclass, field, replace

import curio

from arbutusladder import events
from arbutusladder.admission import AdmissionController, Ticket
from arbutusladder.clock import TIMER_PAUSE_THRESHOLD_S, Clock, PauseDetector
from arbutusladder.connections import IDLE_TIMEOUT_S
from arbutusladder.declarations import Preset
from arbutusladder.endpointlimits import Slot
from arbutusladder.executors import ExecutorPool
from arbutusladder.httpclient import HttpResponse
from arbutusladder.ids import ShardId, VmId
from arbutusladder.journal import Journal
from arbutusladder.keys import KeyTable, Refuse, Replay, Run, Wait, fingerprint
from arbutusladder.messages import ForwardAnswer, ForwardRequest, KeyEntry, VmRecord
from arbutusladder.metrics import Metrics
from arbutusladder.retries import (
    AttemptResult,
    Done,
    ForwardAnswerBuilder,
    NotRun,
    RetryBudget,
    Unknown,
    backoff_delay_s,
    owner_may_retry,
)
from arbutusladder.settings import Limits, Timing
from arbutusladder.slotqueue import SlotQueue
from arbutusladder.states import Outcome, Reason, Urgency

# Interval between assignments of free slots while requests wait.
ROUND_INTERVAL_S = 0.02
# Without waiting requests a round only closes idle connections.
IDLE_ROUND_INTERVAL_S = 0.1
# An attempt counts as unanswered after this many times the expected service time.
UNANSWERED_FACTOR = 2.0
# Longest idle time of a connection that is used for a non-idempotent request.
NON_IDEMPOTENT_MAX_IDLE_S = 1.0
# Repeated requests with one key that wait for the first one; more get the outcome
# unknown at once.
MAX_WAITING_REPEATS = 16


@dataclass
class RequestSummary:
    """Free capacity for requests, for the shard's summary.

    Attributes:
        free_slots_by_service: Free slots of executors that accept new work.
        queued_requests: Number of waiting requests.
    """

    free_slots_by_service: dict[str, int] = field(default_factory=dict)
    queued_requests: int = 0


@dataclass
class RequestHandover:
    """State of the requests that a successor takes over.

    Attributes:
        keys: Entries of the key table.
        keys_complete_since: Wall clock time in seconds from which every key that was
            created is known.
        slots_by_endpoint: Number of slots that may still be in use.
    """

    keys: list[KeyEntry]
    keys_complete_since: float
    slots_by_endpoint: dict[str, int]


@dataclass(eq=False)
class _PendingRequest:
    """A request without an outcome.

    Attributes:
        request: The request.
        ticket: Its place in the queue.
        finished: Set when ``answer`` is.
        answer: The answer, once there is one.
        is_caller_cancelled: Whether the task that waited for the answer was cancelled.
        waiting_repeats: Number of requests with the same key that wait for the answer.
        retries: Number of retries so far.
        has_retry_token: Whether the retry budget was charged for the next retry.
        unknown_result: Newest result of an attempt that may have run.
    """

    request: ForwardRequest
    ticket: Ticket
    finished: curio.Event = field(default_factory=curio.Event)
    answer: ForwardAnswer | None = None
    is_caller_cancelled: bool = False
    waiting_repeats: int = 0
    retries: int = 0
    has_retry_token: bool = False
    unknown_result: Unknown | None = None

    def is_abandoned(self) -> bool:
        """Returns whether no caller waits for the answer."""
        return self.is_caller_cancelled and not self.waiting_repeats


class ShardRequests:
    """Runs requests on the executors of one shard, within their limits.

    Before the first request the owner must call ``start_without_handover`` or
    ``adopt_handover``. Otherwise a request that a previous owner ran could run again
    under the same idempotency key.

    Args:
        shard: The shard.
        metrics: Counters of refusals, retries and unknown outcomes.
        clock: Monotonic and wall clock time.
        limits: Bounds on queues, bodies and the key table.
        timing: Timeouts.
        is_valid_at: Returns whether the ownership is valid at a monotonic time in
            seconds.
        seed: Seed of the jitter of retry delays.
    """

    def __init__(
        self,
        shard: ShardId,
        metrics: Metrics,
        clock: Clock,
        limits: Limits,
        timing: Timing,
        is_valid_at,
        seed: int = 0,
    ):
        self.shard = shard
        self._metrics = metrics
        self._clock = clock
        self._limits = limits
        self._timing = timing
        self._is_valid_at = is_valid_at
        self._random = random.Random(seed)
        self._journal = Journal(shard)
        self._executors = ExecutorPool(
            clock,
            self._may_send,
            limits.max_body_bytes,
            timing.max_request_time_s,
            self._journal,
        )
        self._admission = AdmissionController(limits.request_queue)
        self._queue = SlotQueue(self._executors, self._admission, clock)
        self._answers = ForwardAnswerBuilder(metrics)
        self._retry_budget = RetryBudget(limits.retry_ratio)
        self._keys = KeyTable(**self._key_table_options())
        self._pending_requests: set[_PendingRequest] = set()
        self._pending_by_key: dict[str, _PendingRequest] = {}
        self._stopping = False
        self._handed_over = False
        self._sleep_detector: PauseDetector | None = None
        self._pause_ended_at = float("-inf")

    # Interface for the entry VM

    async def run(self) -> None:
        """Starts waiting requests as slots become free, until cancelled."""
        while True:
            await self._queue.assign_all_slots()
            await self._executors.close_unneeded_connections()
            interval_s = (
                ROUND_INTERVAL_S if self._admission.waiting else IDLE_ROUND_INTERVAL_S
            )
            self._sleep_detector = PauseDetector(
                interval_s, TIMER_PAUSE_THRESHOLD_S, self._clock.now()
            )
            await curio.sleep(interval_s)
            if self._is_paused():
                self._pause_ended_at = self._clock.now()
            self._sleep_detector = None

    async def handle(self, request: ForwardRequest) -> ForwardAnswer:
        """Runs one request and returns its answer.

        If the calling task is cancelled, a request that was sent runs on until its
        outcome is known, and a waiting one is withdrawn.
        """
        refusal = self._immediate_refusal()
        if refusal:
            return self._answers.refused(request, refusal)
        pending = _PendingRequest(request, self._make_ticket(request))
        # Under overload a refusal must not cost a curio task.
        refusal = self._enqueue(pending) if request.idempotent else None
        if refusal:
            return refusal
        self._pending_requests.add(pending)
        # Free slots are assigned at once, so that a burst does not fill the queue.
        await self._queue.assign_slots(request.service)
        await curio.spawn(self._process, pending, daemon=True)
        try:
            await pending.finished.wait()
        except curio.CancelledError:
            pending.is_caller_cancelled = True
            if pending.is_abandoned():
                await self._queue.cancel_wait(pending.ticket)
            raise
        return pending.answer

    def set_endpoints(self, vm_records: list[VmRecord]) -> None:
        """Sets the executors of the shard from a new VM list."""
        self._executors.set_records(vm_records)
        self._queue.update_slot_counts()

    def set_preset(self, preset: Preset) -> None:
        """Applies the active preset."""
        self._admission.set_urgent_reserve(preset.request_reserve)

    def drain(self, vm: VmId, draining: bool) -> bool:
        """Starts or ends an operator's drain of an executor.

        Returns:
            Whether the VM is an executor of the shard.
        """
        listed = self._executors.drain(vm, draining)
        self._queue.update_slot_counts()
        return listed

    def summary(self) -> RequestSummary:
        """Returns the free capacity for requests."""
        now = self._clock.now()
        services = self._executors.services()
        free = {service: self._executors.free(service, now) for service in services}
        return RequestSummary(free, self._admission.waiting)

    @property
    def open_requests(self) -> int:
        """Number of requests without an outcome."""
        return len(self._pending_requests)

    def start_without_handover(self, at: float) -> None:
        """Takes over the shard without the state of its previous owner.

        Sends nothing until requests of the previous owner can no longer use slots.

        Args:
            at: Monotonic time in seconds after which the previous owner sends nothing.
        """
        self._executors.limits.block_all_until(at + self._timing.max_request_time_s)
        self._keys.start_after_takeover(
            self._clock.wall_time() + at - self._clock.now()
        )

    async def export_handover(self) -> RequestHandover:
        """Stops sending requests permanently and returns the state for a successor."""
        self._handed_over = True
        await self._queue.cancel_all_waits()
        now = self._clock.now()
        return RequestHandover(
            self._keys.export(),
            self._keys.complete_since,
            self._executors.limits.used_slots_by_endpoint(now),
        )

    def adopt_handover(self, state: RequestHandover) -> None:
        """Takes over the state that the previous owner exported."""
        self._keys.merge(state.keys)
        self._keys.complete_since = max(
            self._keys.complete_since, state.keys_complete_since
        )
        until = self._clock.now() + self._timing.max_request_time_s
        for vm, slots in state.slots_by_endpoint.items():
            self._executors.limits.occupy_slots(VmId(vm), slots, until)

    async def stop(self) -> None:
        """Refuses new requests, finishes all open ones and closes connections."""
        self._stopping = True
        while self._pending_requests:
            await self._queue.assign_all_slots()
            await curio.sleep(ROUND_INTERVAL_S)
        await self._executors.close()

    # One request

    async def _process(self, pending: _PendingRequest) -> None:
        try:
            pending.answer = await self._execute(pending)
        except Exception as error:
            self._journal.write(
                events.BACKGROUND_TASK_FAILED, task="request", error=repr(error)
            )
            pending.answer = self._internal_error_answer(pending)
        finally:
            self._queue.remove(pending.ticket)
            self._pending_requests.discard(pending)
            await pending.finished.set()

    async def _execute(self, pending: _PendingRequest) -> ForwardAnswer:
        if pending.request.idempotent:
            return await self._run_attempts(pending)
        return await self._run_non_idempotent(pending)

    async def _run_non_idempotent(self, pending: _PendingRequest) -> ForwardAnswer:
        key = pending.request.idempotency_key.lower()
        wall_time = self._clock.wall_time()
        match self._keys.begin(key, wall_time, fingerprint(pending.request)):
            case Run():
                return await self._run_with_key(pending, key)
            case Wait():
                return await self._wait_for_first(pending, self._pending_by_key[key])
            case Replay(answer):
                self._metrics.count("replayed")
                return self._answers.done(pending.request, answer)
            case Refuse(Outcome.UNKNOWN, reason):
                return self._answers.unknown(pending.request, reason)
            case Refuse(_, reason):
                return self._answers.refused(pending.request, reason)

    async def _run_with_key(self, pending: _PendingRequest, key: str) -> ForwardAnswer:
        self._pending_by_key[key] = pending
        answer = None
        try:
            answer = self._enqueue(pending) or await self._run_attempts(pending)
        finally:
            del self._pending_by_key[key]
            self._record_key_outcome(pending, key, answer)
        return answer

    def _record_key_outcome(
        self, pending: _PendingRequest, key: str, answer: ForwardAnswer | None
    ) -> None:
        wall_time = self._clock.wall_time()
        if answer is None:
            answer = self._internal_error_answer(pending)
        match answer.outcome:
            case Outcome.DONE:
                self._keys.record_answer(key, _http_answer(answer), wall_time)
            case Outcome.NOT_RUN:
                self._keys.remove_not_run(key, wall_time)
            case Outcome.UNKNOWN:
                self._keys.mark_unknown(key, wall_time)

    async def _wait_for_first(
        self, pending: _PendingRequest, first_request: _PendingRequest
    ) -> ForwardAnswer:
        if first_request.waiting_repeats >= MAX_WAITING_REPEATS:
            return self._answers.unknown(pending.request, Reason.KEY_OUTCOME_UNKNOWN)
        first_request.waiting_repeats += 1
        remaining_s = max(0.0, pending.ticket.deadline - self._clock.now())
        try:
            async with curio.timeout_after(remaining_s):
                await first_request.finished.wait()
        except curio.TaskTimeout:
            return self._answers.unknown(pending.request, Reason.KEY_OUTCOME_UNKNOWN)
        finally:
            first_request.waiting_repeats -= 1
        if first_request.answer is None:
            return self._internal_error_answer(pending)
        return replace(first_request.answer, request_id=pending.request.request_id)

    async def _run_attempts(self, pending: _PendingRequest) -> ForwardAnswer:
        while True:
            slot = await self._queue.wait(pending.ticket)
            if slot and pending.is_abandoned():
                self._executors.release_unused(slot)
                await self._queue.end_request(pending.ticket, None)
                slot = None
            if slot is None:
                return self._answer_without_slot(pending)
            result = await self._attempt(pending, slot)
            if not await self._enqueue_retry(pending, result):
                return self._final_answer(pending, result)

    def _final_answer(
        self, pending: _PendingRequest, result: AttemptResult
    ) -> ForwardAnswer:
        # An earlier attempt may have run even if the last one did not.
        if pending.unknown_result and not isinstance(result, Done):
            result = pending.unknown_result
        return self._answers.from_result(pending.request, result)

    def _enqueue(self, pending: _PendingRequest) -> ForwardAnswer | None:
        refusal = self._queue.enqueue(pending.ticket)
        if refusal is None:
            self._retry_budget.request()
            return None
        return self._answers.refused(
            pending.request, refusal.reason, refusal.retry_after_s
        )

    def _answer_without_slot(self, pending: _PendingRequest) -> ForwardAnswer:
        if pending.unknown_result:
            return self._answers.from_result(pending.request, pending.unknown_result)
        if self._handed_over:
            return self._answers.refused(pending.request, Reason.NOT_OWNER)
        if pending.is_abandoned():
            return self._answers.refused(pending.request, Reason.CALLER_DISCONNECTED)
        now = self._clock.now()
        free = self._executors.free(pending.ticket.service, now)
        wait_hint_s = self._admission.wait_hint_s(pending.ticket, now, free)
        return self._answers.refused(
            pending.request, Reason.DEADLINE_UNREACHABLE, wait_hint_s
        )

    async def _attempt(self, pending: _PendingRequest, slot: Slot) -> AttemptResult:
        service_time_s = None
        try:
            result = await self._executors.run(
                slot,
                pending.request,
                pending.ticket.deadline,
                self._answer_timeout_s(pending),
                self._max_idle_s(pending),
                lambda is_new_connection: self._may_abandon_attempt(
                    pending, slot.endpoint, is_new_connection
                ),
            )
            service_time_s = self._measured_service_time_s(pending, result)
        finally:
            await self._queue.end_request(pending.ticket, service_time_s)
        pending.ticket.excluded |= {slot.endpoint}
        pending.unknown_result = (
            result if isinstance(result, Unknown) else pending.unknown_result
        )
        return result

    def _measured_service_time_s(
        self, pending: _PendingRequest, result: AttemptResult
    ) -> float | None:
        if self._was_paused_since(result):
            # The sample would be the duration of the pause, and the next requests would
            # wait as long for silent executors, or be refused.
            return None
        match result:
            case Done():
                return result.seconds
            case Unknown(Reason.ATTEMPT_TIMEOUT, new_connection=True):
                # Without this sample the estimate would never rise for a service that
                # has become slower than every deadline.
                return self._clock.now() - result.sent_at
        return None

    def _is_paused(self) -> bool:
        """Returns whether this process was paused and is late for its next round."""
        detector = self._sleep_detector
        return detector is not None and detector.is_late(self._clock.now())

    def _was_paused_since(self, result: AttemptResult) -> bool:
        """Returns whether this process was paused during an attempt."""
        match result:
            case Done():
                started_at = self._clock.now() - result.seconds
            case Unknown():
                started_at = result.sent_at
            case _:
                return False
        return self._is_paused() or self._pause_ended_at > started_at

    def _answer_timeout_s(self, pending: _PendingRequest) -> float:
        now = self._clock.now()
        slow_answer_s = UNANSWERED_FACTOR * self._admission.estimate(
            pending.ticket, now
        )
        half_remaining_s = (pending.ticket.deadline - now) / 2
        return max(self._timing.attempt_timeout_s, min(slow_answer_s, half_remaining_s))

    def _max_idle_s(self, pending: _PendingRequest) -> float:
        if pending.unknown_result:
            return 0.0
        return (
            IDLE_TIMEOUT_S if pending.request.idempotent else NON_IDEMPOTENT_MAX_IDLE_S
        )

    def _may_abandon_attempt(
        self, pending: _PendingRequest, vm: VmId, is_new_connection: bool
    ) -> bool:
        """Returns whether to give up an unanswered attempt and to retry.

        If so, the retry budget is charged.
        """
        excluded = pending.ticket.excluded | {vm}
        if not pending.request.idempotent:
            return False
        if not self._has_alternative(pending, excluded, is_new_connection):
            return False
        pending.has_retry_token = self._retry_budget.try_spend()
        return pending.has_retry_token

    def _has_alternative(
        self,
        pending: _PendingRequest,
        excluded: frozenset[VmId],
        was_new_connection: bool,
    ) -> bool:
        now = self._clock.now()
        if pending.is_abandoned() or self._handed_over:
            return False
        if self._admission.is_late(pending.ticket, now):
            return False
        if self._executors.has_usable_executor(pending.ticket.service, now, excluded):
            return True
        # A new connection to the same executor can work after an old one was lost.
        return not was_new_connection

    def _has_untried_executor(self, pending: _PendingRequest) -> bool:
        ticket = pending.ticket
        now = self._clock.now()
        return self._executors.has_usable_executor(ticket.service, now, ticket.excluded)

    async def _enqueue_retry(
        self, pending: _PendingRequest, result: AttemptResult
    ) -> bool:
        if isinstance(result, Done) or not self._may_retry(pending, result):
            return False
        pending.retries += 1
        pending.has_retry_token = False
        self._metrics.count_retry(result.reason)
        await curio.sleep(backoff_delay_s(pending.retries, self._random))
        if not self._has_untried_executor(pending):
            pending.ticket.excluded = frozenset()
        self._queue.enqueue_retry(pending.ticket)
        return True

    def _may_retry(self, pending: _PendingRequest, result: NotRun | Unknown) -> bool:
        if not owner_may_retry(result.reason, pending.request.idempotent):
            return False
        was_new_connection = not isinstance(result, Unknown) or result.new_connection
        if not self._has_alternative(
            pending, pending.ticket.excluded, was_new_connection
        ):
            return False
        if pending.has_retry_token or self._retry_budget.try_spend():
            return True
        self._metrics.count_refusal(Reason.RETRY_BUDGET_EMPTY)
        return False

    # Answers

    def _make_ticket(self, request: ForwardRequest) -> Ticket:
        remaining_s = min(request.remaining_ms / 1000, self._timing.max_request_time_s)
        # The default in the generated message class is the value, not the member.
        urgency = Urgency(request.urgency)
        return Ticket(request.service, urgency, self._clock.now() + remaining_s)

    def _immediate_refusal(self) -> Reason | None:
        if self._handed_over:
            return Reason.NOT_OWNER
        if self._stopping:
            return Reason.DRAINING
        if not self._is_valid_at(self._clock.now()):
            return Reason.OWNERSHIP_EXPIRED
        return None

    def _may_send(self, now: float) -> bool:
        return not self._handed_over and self._is_valid_at(now)

    def _internal_error_answer(self, pending: _PendingRequest) -> ForwardAnswer:
        """Returns the answer after an internal error: it may have been sent."""
        return self._answers.unknown(pending.request, Reason.CONNECTION_LOST)

    def _key_table_options(self) -> dict:
        return {
            "window": self._timing.key_window_s,
            "skew": self._timing.clock_skew_s,
            "max_keys": self._limits.key_table,
            "max_bytes": self._limits.key_answer_bytes,
        }


def _http_answer(answer: ForwardAnswer) -> HttpResponse:
    return HttpResponse(answer.status, answer.headers, answer.body)
