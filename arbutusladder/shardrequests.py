"""The curio task that owns the request side of one shard."""

import random
from dataclasses import dataclass, field, replace

import curio

from arbutusladder import events
from arbutusladder.admission import AdmissionController, Ticket
from arbutusladder.clock import Clock
from arbutusladder.connections import IDLE_LIMIT_S
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

TICK_S = 0.02
# Without waiting requests a tick only closes idle connections.
IDLE_TICK_S = 0.1
SILENCE_FACTOR = 2.0
# A connection that answered this recently carries a non-idempotent request.
FRESH_LIMIT_S = 1.0
# Repeats of one key that wait for its first request; more get unknown at once.
MAX_FOLLOWERS = 16


@dataclass
class RequestSummary:
    """Free capacity of the request side, for the shard's summary.

    Attributes:
        free_slots_by_service: Free slots of executors that take new work.
        queued_requests: Waiting requests.
    """

    free_slots_by_service: dict[str, int] = field(default_factory=dict)
    queued_requests: int = 0


@dataclass
class RequestHandover:
    """State that a successor adopts.

    Attributes:
        keys: Entries of the key table.
        keys_complete_since: Creation time from which every key is known.
        slots_by_endpoint: Slots that may still be in use.
    """

    keys: list[KeyEntry]
    keys_complete_since: float
    slots_by_endpoint: dict[str, int]


@dataclass(eq=False)
class _Job:
    request: ForwardRequest
    ticket: Ticket
    finished: curio.Event = field(default_factory=curio.Event)
    answer: ForwardAnswer | None = None
    caller_gone: bool = False
    followers: int = 0
    retries: int = 0
    retry_paid: bool = False
    lost: Unknown | None = None

    def is_abandoned(self) -> bool:
        """Tells whether nobody waits for the answer."""
        return self.caller_gone and not self.followers


class ShardRequests:
    """Runs requests on the executors of one shard, within their limits.

    Before the first request the owner calls ``start_without_handover`` or
    ``adopt_handover``; otherwise a key that a predecessor ran could run again.

    Args:
        shard: The shard.
        metrics: Counters of refusals, retries and unknown outcomes.
        clock: Monotonic and wall clock time.
        limits: Bounds on queues, bodies and the key table.
        timing: Timeouts.
        validity: Tells whether the ownership holds at a monotonic time.
        seed: Seed of the back-off.
    """

    def __init__(
        self,
        shard: ShardId,
        metrics: Metrics,
        clock: Clock,
        limits: Limits,
        timing: Timing,
        validity,
        seed: int = 0,
    ):
        self.shard = shard
        self._metrics = metrics
        self._clock = clock
        self._settings = limits
        self._timing = timing
        self._validity = validity
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
        self._budget = RetryBudget(limits.retry_ratio)
        self._keys = KeyTable(**self._key_options())
        self._jobs: set[_Job] = set()
        self._jobs_by_key: dict[str, _Job] = {}
        self._closing = False
        self._handed_over = False

    # Interface of the entry VM

    async def run(self) -> None:
        """Starts waiting requests as held slots come back; until cancelled."""
        while True:
            await self._queue.assign_all_slots()
            await self._executors.close_unneeded_connections()
            await curio.sleep(TICK_S if self._admission.waiting else IDLE_TICK_S)

    async def handle(self, request: ForwardRequest) -> ForwardAnswer:
        """Runs one request and returns its outcome.

        When the caller is cancelled, a request that was sent goes on until its
        outcome is known, and a waiting one is withdrawn.
        """
        refusal = self._refusal_at_once()
        if refusal:
            return self._answers.refused(request, refusal)
        job = _Job(request, self._ticket(request))
        # A refusal under a flood must not cost a task.
        refusal = self._offer(job) if request.idempotent else None
        if refusal:
            return refusal
        self._jobs.add(job)
        # A free slot is taken now, or a burst would find the queue full.
        await self._queue.assign_slots(request.service)
        await curio.spawn(self._process, job, daemon=True)
        try:
            await job.finished.wait()
        except curio.CancelledError:
            job.caller_gone = True
            if job.is_abandoned():
                await self._queue.cancel_wait(job.ticket)
            raise
        return job.answer

    def set_endpoints(self, vm_records: list[VmRecord]) -> None:
        """Takes the executors of the shard from a new VM list."""
        self._executors.set_records(vm_records)
        self._queue.update_slot_counts()

    def set_preset(self, preset: Preset) -> None:
        """Takes the active preset."""
        self._admission.set_urgent_reserve(preset.request_reserve)

    def drain(self, vm: VmId, draining: bool) -> bool:
        """Takes an operator's command; returns whether the VM is listed."""
        listed = self._executors.drain(vm, draining)
        self._queue.update_slot_counts()
        return listed

    def summary(self) -> RequestSummary:
        """Returns the free capacity of the request side."""
        now = self._clock.now()
        services = self._executors.services()
        free = {service: self._executors.free(service, now) for service in services}
        return RequestSummary(free, self._admission.waiting)

    @property
    def open_requests(self) -> int:
        """Requests without an outcome."""
        return len(self._jobs)

    def start_without_handover(self, at: float) -> None:
        """Takes the shard without its predecessor's state.

        Args:
            at: Monotonic time after which the predecessor sends nothing.
        """
        self._executors.limits.block_all_until(at + self._timing.max_request_time_s)
        self._keys.taken_over(self._clock.wall() + at - self._clock.now())

    async def export_handover(self) -> RequestHandover:
        """Stops sending for good and returns the state for a successor."""
        self._handed_over = True
        await self._queue.cancel_all_waits()
        now = self._clock.now()
        return RequestHandover(
            self._keys.export(),
            self._keys.complete_since,
            self._executors.limits.used_slots_by_endpoint(now),
        )

    def adopt_handover(self, state: RequestHandover) -> None:
        """Takes over the state that a predecessor exported."""
        self._keys.merge(state.keys)
        self._keys.complete_since = max(
            self._keys.complete_since, state.keys_complete_since
        )
        until = self._clock.now() + self._timing.max_request_time_s
        for vm, slots in state.slots_by_endpoint.items():
            self._executors.limits.occupy_slots(VmId(vm), slots, until)

    async def stop(self) -> None:
        """Takes no new requests, finishes all open ones, closes connections."""
        self._closing = True
        while self._jobs:
            await self._queue.assign_all_slots()
            await curio.sleep(TICK_S)
        await self._executors.close()

    # One request

    async def _process(self, job: _Job) -> None:
        try:
            job.answer = await self._outcome(job)
        except Exception as error:
            self._journal.write(events.TASK_FAILED, task="request", error=repr(error))
            job.answer = self._lost(job)
        finally:
            self._queue.remove(job.ticket)
            self._jobs.discard(job)
            await job.finished.set()

    async def _outcome(self, job: _Job) -> ForwardAnswer:
        if job.request.idempotent:
            return await self._run(job)
        return await self._run_once(job)

    async def _run_once(self, job: _Job) -> ForwardAnswer:
        key = job.request.idempotency_key.lower()
        wall = self._clock.wall()
        match self._keys.begin(key, wall, fingerprint(job.request)):
            case Run():
                return await self._run_keyed(job, key)
            case Wait():
                return await self._follow(job, self._jobs_by_key[key])
            case Replay(answer):
                self._metrics.count("replayed")
                return self._answers.done(job.request, answer)
            case Refuse(Outcome.UNKNOWN, reason):
                return self._answers.unknown(job.request, reason)
            case Refuse(_, reason):
                return self._answers.refused(job.request, reason)

    async def _run_keyed(self, job: _Job, key: str) -> ForwardAnswer:
        self._jobs_by_key[key] = job
        answer = None
        try:
            answer = self._offer(job) or await self._run(job)
        finally:
            del self._jobs_by_key[key]
            self._record_key(job, key, answer)
        return answer

    def _record_key(self, job: _Job, key: str, answer: ForwardAnswer | None) -> None:
        wall = self._clock.wall()
        if answer is None:
            answer = self._lost(job)
        match answer.outcome:
            case Outcome.DONE:
                self._keys.record_answer(key, _http_answer(answer), wall)
            case Outcome.NOT_RUN:
                self._keys.remove_not_run(key, wall)
            case Outcome.UNKNOWN:
                self._keys.mark_unknown(key, wall)

    async def _follow(self, job: _Job, first: _Job) -> ForwardAnswer:
        if first.followers >= MAX_FOLLOWERS:
            return self._answers.unknown(job.request, Reason.KEY_OUTCOME_UNKNOWN)
        first.followers += 1
        remaining = max(0.0, job.ticket.deadline - self._clock.now())
        try:
            async with curio.timeout_after(remaining):
                await first.finished.wait()
        except curio.TaskTimeout:
            return self._answers.unknown(job.request, Reason.KEY_OUTCOME_UNKNOWN)
        finally:
            first.followers -= 1
        if first.answer is None:
            return self._lost(job)
        return replace(first.answer, request_id=job.request.request_id)

    async def _run(self, job: _Job) -> ForwardAnswer:
        while True:
            slot = await self._queue.wait(job.ticket)
            if slot and job.is_abandoned():
                self._executors.release_unused(slot)
                await self._queue.end_request(job.ticket, None)
                slot = None
            if slot is None:
                return self._not_started(job)
            result = await self._attempt(job, slot)
            if not await self._prepare_retry(job, result):
                return self._answer(job, result)

    def _answer(self, job: _Job, result: AttemptResult) -> ForwardAnswer:
        # An earlier attempt may have run although the last one did not.
        if job.lost and not isinstance(result, Done):
            result = job.lost
        return self._answers.from_result(job.request, result)

    def _offer(self, job: _Job) -> ForwardAnswer | None:
        refusal = self._queue.enqueue(job.ticket)
        if refusal is None:
            self._budget.request()
            return None
        return self._answers.refused(job.request, refusal.reason, refusal.retry_after_s)

    def _not_started(self, job: _Job) -> ForwardAnswer:
        if job.lost:
            return self._answers.from_result(job.request, job.lost)
        if self._handed_over:
            return self._answers.refused(job.request, Reason.NOT_OWNER)
        if job.is_abandoned():
            return self._answers.refused(job.request, Reason.CALLER_DISCONNECTED)
        now = self._clock.now()
        free = self._executors.free(job.ticket.service, now)
        wait_hint_s = self._admission.wait_hint_s(job.ticket, now, free)
        return self._answers.refused(
            job.request, Reason.DEADLINE_UNREACHABLE, wait_hint_s
        )

    async def _attempt(self, job: _Job, slot: Slot) -> AttemptResult:
        seconds = None
        try:
            result = await self._executors.run(
                slot,
                job.request,
                job.ticket.deadline,
                self._silence(job),
                self._max_idle(job),
                lambda is_new: self._may_give_up(job, slot.endpoint, is_new),
            )
            seconds = self._service_time(job, result)
        finally:
            await self._queue.end_request(job.ticket, seconds)
        job.ticket.excluded |= {slot.endpoint}
        job.lost = result if isinstance(result, Unknown) else job.lost
        return result

    def _service_time(self, job: _Job, result: AttemptResult) -> float | None:
        match result:
            case Done():
                return result.seconds
            case Unknown(Reason.ATTEMPT_TIMEOUT, new_connection=True):
                # Without this sample the estimate of a service that became
                # slower than every deadline would never rise.
                return self._clock.now() - result.sent_at
        return None

    def _silence(self, job: _Job) -> float:
        now = self._clock.now()
        slow = SILENCE_FACTOR * self._admission.estimate(job.ticket, now)
        half = (job.ticket.deadline - now) / 2
        return max(self._timing.attempt_timeout_s, min(slow, half))

    def _max_idle(self, job: _Job) -> float:
        if job.lost:
            return 0.0
        return IDLE_LIMIT_S if job.request.idempotent else FRESH_LIMIT_S

    def _may_give_up(self, job: _Job, vm: VmId, is_new: bool) -> bool:
        excluded = job.ticket.excluded | {vm}
        if not job.request.idempotent:
            return False
        if not self._has_alternative(job, excluded, is_new):
            return False
        job.retry_paid = self._budget.try_spend()
        return job.retry_paid

    def _has_alternative(
        self, job: _Job, excluded: frozenset[VmId], tried_new: bool
    ) -> bool:
        now = self._clock.now()
        if job.is_abandoned() or self._handed_over:
            return False
        if self._admission.is_late(job.ticket, now):
            return False
        if self._executors.has_usable_executor(job.ticket.service, now, excluded):
            return True
        # A new connection to the same executor can work when an old one is lost.
        return not tried_new

    def _has_other(self, job: _Job) -> bool:
        ticket = job.ticket
        now = self._clock.now()
        return self._executors.has_usable_executor(ticket.service, now, ticket.excluded)

    async def _prepare_retry(self, job: _Job, result: AttemptResult) -> bool:
        if isinstance(result, Done) or not self._may_retry(job, result):
            return False
        job.retries += 1
        job.retry_paid = False
        self._metrics.retried(result.reason)
        await curio.sleep(backoff_delay_s(job.retries, self._random))
        if not self._has_other(job):
            job.ticket.excluded = frozenset()
        self._queue.enqueue_retry(job.ticket)
        return True

    def _may_retry(self, job: _Job, result: NotRun | Unknown) -> bool:
        if not owner_may_retry(result.reason, job.request.idempotent):
            return False
        tried_new = not isinstance(result, Unknown) or result.new_connection
        if not self._has_alternative(job, job.ticket.excluded, tried_new):
            return False
        if job.retry_paid or self._budget.try_spend():
            return True
        self._metrics.refused(Reason.RETRY_BUDGET_EMPTY)
        return False

    # Answers

    def _ticket(self, request: ForwardRequest) -> Ticket:
        remaining = min(request.remaining_ms / 1000, self._timing.max_request_time_s)
        # The generated default is the text of the value.
        urgency = Urgency(request.urgency)
        return Ticket(request.service, urgency, self._clock.now() + remaining)

    def _refusal_at_once(self) -> Reason | None:
        if self._handed_over:
            return Reason.NOT_OWNER
        if self._closing:
            return Reason.DRAINING
        if not self._validity(self._clock.now()):
            return Reason.OWNERSHIP_EXPIRED
        return None

    def _may_send(self, now: float) -> bool:
        return not self._handed_over and self._validity(now)

    def _lost(self, job: _Job) -> ForwardAnswer:
        """Returns the answer after an internal error: it may have been sent."""
        return self._answers.unknown(job.request, Reason.CONNECTION_LOST)

    def _key_options(self) -> dict:
        return {
            "window": self._timing.key_window_s,
            "skew": self._timing.clock_skew_s,
            "max_keys": self._settings.key_table,
            "max_bytes": self._settings.key_answer_bytes,
        }


def _http_answer(answer: ForwardAnswer) -> HttpResponse:
    return HttpResponse(answer.status, answer.headers, answer.body)
