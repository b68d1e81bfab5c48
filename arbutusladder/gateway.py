"""Answers callers: chooses the shard, asks its owner, tries others."""

import uuid
from collections.abc import Awaitable, Callable

import curio

from arbutusladder.clock import Clock
from arbutusladder.configstore import ConfigState
from arbutusladder.declarations import Workload
from arbutusladder.headernames import (
    DEADLINE_HEADER,
    KEY_HEADER,
    OUTCOME_HEADER,
    REVISION_HEADER,
    WORKLOAD_HEADER,
)
from arbutusladder.httpclient import HttpAnswer
from arbutusladder.httpserver import HttpRequest
from arbutusladder.ids import RequestId, Revision, SeatId, ShardId
from arbutusladder.messages import ForwardAnswer, ForwardRequest, Header
from arbutusladder.metrics import Metrics
from arbutusladder.operatorapi import refusal_answer
from arbutusladder.operatormessages import Refusal
from arbutusladder.reasons import remedy
from arbutusladder.retries import RetryBudget, entry_may_retry
from arbutusladder.routing import RequestRouter, home_shard
from arbutusladder.settings import Settings
from arbutusladder.shardownerview import ShardOwnerView
from arbutusladder.states import Outcome, Reason, Urgency

SERVICE_PREFIX = "/services/"
OWNER_WAIT_S = 0.05
# Two heartbeats are missing: idempotent requests go to other shards, long
# before the owner's promises end and its shard is claimed.
SILENT_OWNER_S = 1.1
# An owner answers at the deadline; its answer needs time to come back.
ANSWER_MARGIN_S = 0.25
OWNER_CHANGE_REASONS = frozenset(
    {
        Reason.SHARD_UNOWNED.value,
        Reason.NOT_OWNER.value,
        Reason.OWNERSHIP_EXPIRED.value,
        Reason.DRAINING.value,
    }
)

AskOwner = Callable[[SeatId, ForwardRequest, float], Awaitable[ForwardAnswer | None]]


class Gateway:
    """Answers the callers of one entry VM.

    Args:
        settings: Settings of the entry VM.
        view: Owners of the shards.
        current_config: Returns the configuration in force.
        ask_owner: Sends a request to the owner in a seat and returns its
            answer, or None when none came within a time in seconds.
        clock: Clock of this process.
        metrics: Counters.
        seed: Seed of the random choices.
    """

    def __init__(
        self,
        settings: Settings,
        view: ShardOwnerView,
        current_config: Callable[[], ConfigState],
        ask_owner: AskOwner,
        clock: Clock,
        metrics: Metrics,
        seed: int = 0,
    ):
        self._view = view
        self._current_config = current_config
        self._ask_owner = ask_owner
        self._clock = clock
        self._metrics = metrics
        self._budget = RetryBudget(settings.limits.retry_ratio)
        self._router = RequestRouter(settings.failure_domain, seed)
        self._max_request_time = settings.timing.max_request_time_s

    def update_routes(self, now: float) -> None:
        """Takes the newest owners and summaries from the view."""
        owned = self._view.owned(now, SILENT_OWNER_S) or self._view.owned(now)
        for shard, domain in self._view.domain_by_shard.items():
            known = owned.get(shard)
            if known:
                self._router.update(domain, known.summary)
            else:
                self._router.remove(shard)

    async def handle(self, request: HttpRequest) -> HttpAnswer:
        """Answers one request of a caller."""
        service, _, rest = request.target[len(SERVICE_PREFIX) :].partition("/")
        name = request.header(WORKLOAD_HEADER)
        workload = self._workload(service.partition("?")[0], name)
        if workload is None:
            return self._refuse(Reason.UNKNOWN_SERVICE)
        try:
            forward = self._forward_request(request, workload, "/" + rest)
        except ValueError:
            return self._refuse(Reason.MALFORMED_REQUEST)
        revision = self._current_config().revision
        deadline = self._clock.now() + forward.remaining_ms / 1000
        self._budget.request()
        if forward.idempotent:
            answer = await self._run_anywhere(forward, deadline)
        else:
            answer = await self._run_at_home(forward, deadline)
        return _caller_answer(answer, revision)

    def _workload(self, service: str, name: str) -> Workload | None:
        """Returns the workload of a request.

        Without a name it is the one that is called like the service, or else
        the first one that the service serves.
        """
        served = [
            workload
            for workload in self._current_config().workload_by_name.values()
            if workload.kind == "request"
            and service in {workload.service, workload.name}
        ]
        wanted = name or service
        named = [workload for workload in served if workload.name == wanted]
        candidates = named if name else named or served
        return candidates[0] if candidates else None

    def _forward_request(
        self, request: HttpRequest, workload: Workload, path: str
    ) -> ForwardRequest:
        key = request.header(KEY_HEADER)
        limit = min(workload.deadline_ms, int(self._max_request_time * 1000))
        wanted = request.header(DEADLINE_HEADER)
        return ForwardRequest(
            request_id=RequestId(uuid.uuid4().hex),
            shard=ShardId(""),
            service=workload.service or workload.name,
            method=request.method,
            path=path,
            headers=[h for h in request.headers if h.name.lower() != "expect"],
            body=request.body,
            remaining_ms=min(limit, max(1, int(wanted))) if wanted else limit,
            urgency=Urgency(workload.urgency),
            idempotent=workload.idempotent and not key,
            idempotency_key=key,
        )

    async def _run_anywhere(
        self, forward: ForwardRequest, deadline: float
    ) -> ForwardAnswer:
        tried: set[ShardId] = set()
        lost = answer = None
        while True:
            self.update_routes(self._clock.now())
            shard = self._router.choose(forward.service, tried)
            if shard is None:
                return lost or answer or self._no_shard(forward)
            tried.add(shard)
            answer = await self._ask(forward, shard, deadline)
            if answer.outcome is Outcome.UNKNOWN:
                # A later refusal does not prove that this attempt was not run.
                lost = answer
            if not self._may_retry(forward, answer, deadline):
                return answer if answer.outcome is Outcome.DONE else lost or answer

    async def _run_at_home(
        self, forward: ForwardRequest, deadline: float
    ) -> ForwardAnswer:
        shard = home_shard(forward.idempotency_key, self._view.domain_by_shard)
        while True:
            answer = await self._ask(forward, shard, deadline)
            if answer.outcome is not Outcome.NOT_RUN:
                return answer
            if answer.reason not in OWNER_CHANGE_REASONS:
                return answer
            if self._clock.now() + OWNER_WAIT_S >= deadline:
                return answer
            await curio.sleep(OWNER_WAIT_S)

    async def _ask(
        self, forward: ForwardRequest, shard: ShardId, deadline: float
    ) -> ForwardAnswer:
        now = self._clock.now()
        owner = self._view.owner(shard, now)
        if owner is None:
            return _not_run(forward, Reason.SHARD_UNOWNED)
        remaining = deadline - now
        if remaining <= 0:
            return _not_run(forward, Reason.DEADLINE_PASSED)
        forward.request_id = RequestId(uuid.uuid4().hex)
        forward.shard = shard
        forward.remaining_ms = int(remaining * 1000)
        self._router.sent(shard, forward.service)
        answer = await self._ask_owner(owner, forward, remaining + ANSWER_MARGIN_S)
        if answer is None:
            self._metrics.unknown(Reason.OWNER_SILENT)
            return ForwardAnswer(
                forward.request_id, Outcome.UNKNOWN, reason=Reason.OWNER_SILENT.value
            )
        return answer

    def _may_retry(
        self, forward: ForwardRequest, answer: ForwardAnswer, deadline: float
    ) -> bool:
        if answer.outcome is Outcome.DONE or self._clock.now() >= deadline:
            return False
        reason = Reason(answer.reason)
        if not entry_may_retry(reason, forward.idempotent):
            return False
        if not self._budget.take():
            self._metrics.refused(Reason.RETRY_BUDGET_EMPTY)
            return False
        self._metrics.retried(reason)
        return True

    def _no_shard(self, forward: ForwardRequest) -> ForwardAnswer:
        owned = self._view.owned(self._clock.now())
        reason = Reason.NO_ENDPOINT if owned else Reason.SHARD_UNOWNED
        self._metrics.refused(reason)
        return _not_run(forward, reason)

    def _refuse(self, reason: Reason) -> HttpAnswer:
        self._metrics.refused(reason)
        return not_run_answer(reason)


def not_run_answer(reason: Reason, retry_after_ms: int = 0) -> HttpAnswer:
    """Returns the HTTP answer for a request that was not run."""
    return refusal_answer(
        Refusal(Outcome.NOT_RUN, reason.value, remedy(reason.value), retry_after_ms)
    )


def _not_run(forward: ForwardRequest, reason: Reason) -> ForwardAnswer:
    return ForwardAnswer(
        forward.request_id, Outcome.NOT_RUN, reason=reason.value, retry_after_ms=1000
    )


def _caller_answer(answer: ForwardAnswer, revision: Revision) -> HttpAnswer:
    match answer.outcome:
        case Outcome.DONE:
            headers = [
                *answer.headers,
                Header(OUTCOME_HEADER, Outcome.DONE.value),
                Header(REVISION_HEADER, str(revision)),
            ]
            return HttpAnswer(answer.status, headers, answer.body)
        case Outcome.NOT_RUN:
            return not_run_answer(Reason(answer.reason), answer.retry_after_ms)
        case Outcome.UNKNOWN:
            return refusal_answer(
                Refusal(Outcome.UNKNOWN, answer.reason, remedy(answer.reason))
            )
