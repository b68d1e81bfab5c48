"""Gateway for callers' HTTP requests to services.

The gateway chooses a shard for each request, forwards the request to the owner of
that shard and retries where that is safe. It owns the retry budget and the router
of its entry VM, both in memory only.
"""

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
from arbutusladder.httpclient import HttpResponse
from arbutusladder.httpserver import HttpRequest
from arbutusladder.ids import RequestId, Revision, SeatId, ShardId
from arbutusladder.messages import ForwardAnswer, ForwardRequest, Header
from arbutusladder.metrics import Metrics
from arbutusladder.operatorapi import make_refusal_response
from arbutusladder.operatormessages import Refusal
from arbutusladder.reasons import remedy
from arbutusladder.retries import RetryBudget, entry_may_retry
from arbutusladder.routing import RequestRouter, home_shard
from arbutusladder.settings import Settings
from arbutusladder.shardownerview import ShardOwnerView
from arbutusladder.states import Outcome, Reason, Urgency

SERVICE_PREFIX = "/services/"
# Pause before a keyed request is sent again to a shard whose owner is changing.
OWNER_RETRY_DELAY_S = 0.05
# Age of an owner's last heartbeat after two missed heartbeats. Idempotent requests then
# go to other shards, long before the owner's promises expire and its shard is claimed.
MAX_HEARTBEAT_AGE_S = 1.1
# Added to the wait for an owner, which may respond as late as the deadline, for the
# transmission of its response.
RESPONSE_MARGIN_S = 0.25
# Refusals during a change of the shard's owner; a keyed request is retried on the
# same shard after them.
OWNER_CHANGE_REASONS = frozenset(
    {
        Reason.SHARD_UNOWNED.value,
        Reason.NOT_OWNER.value,
        Reason.OWNERSHIP_EXPIRED.value,
        Reason.DRAINING.value,
    }
)

ForwardToOwner = Callable[
    [SeatId, ForwardRequest, float], Awaitable[ForwardAnswer | None]
]


class Gateway:
    """Handles callers' requests on one entry VM.

    Args:
        settings: Settings of the entry VM.
        view: Owners of the shards.
        current_config: Returns the active configuration.
        forward_to_owner: Sends a request to the owner in a seat and returns its
            answer, or None if no answer arrives within a timeout in seconds.
        clock: Clock of this process.
        metrics: Counters of this process.
        seed: Seed of the random choice of shards.
    """

    def __init__(
        self,
        settings: Settings,
        view: ShardOwnerView,
        current_config: Callable[[], ConfigState],
        forward_to_owner: ForwardToOwner,
        clock: Clock,
        metrics: Metrics,
        seed: int = 0,
    ):
        self._view = view
        self._current_config = current_config
        self._forward_to_owner = forward_to_owner
        self._clock = clock
        self._metrics = metrics
        self._retry_budget = RetryBudget(settings.limits.retry_ratio)
        self._router = RequestRouter(settings.failure_domain, seed)
        self._max_request_time_s = settings.timing.max_request_time_s

    def update_routes(self, now: float) -> None:
        """Updates the router with the current owners and their shard summaries.

        Owners without a recent heartbeat are left out, unless no owner has one.

        Args:
            now: Current time in seconds.
        """
        owned = self._view.owned(now, MAX_HEARTBEAT_AGE_S) or self._view.owned(now)
        for shard, domain in self._view.domain_by_shard.items():
            owned_shard = owned.get(shard)
            if owned_shard:
                self._router.update_summary(domain, owned_shard.summary)
            else:
                self._router.remove_shard(shard)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Runs one request of a caller and returns its HTTP response."""
        service, _, path_suffix = request.target[len(SERVICE_PREFIX) :].partition("/")
        name = request.header(WORKLOAD_HEADER)
        workload = self._find_workload(service.partition("?")[0], name)
        if workload is None:
            return self._refuse(Reason.UNKNOWN_SERVICE)
        try:
            forward = self._build_forward_request(request, workload, "/" + path_suffix)
        except ValueError:
            return self._refuse(Reason.MALFORMED_REQUEST)
        revision = self._current_config().revision
        deadline = self._clock.now() + forward.remaining_ms / 1000
        self._retry_budget.request()
        if forward.idempotent:
            answer = await self._run_on_any_shard(forward, deadline)
        else:
            answer = await self._run_on_home_shard(forward, deadline)
        return _http_response(answer, revision)

    def _find_workload(self, service: str, name: str) -> Workload | None:
        """Returns the workload that a request belongs to, or None if there is none.

        Args:
            service: Name of the service or of the workload in the request's path.
            name: Workload that the request names. If empty, the workload with the
                service's name is used, or else the first one of the service.
        """
        served = [
            workload
            for workload in self._current_config().workload_by_name.values()
            if workload.kind == "request"
            and service in {workload.service, workload.name}
        ]
        requested_name = name or service
        matches = [workload for workload in served if workload.name == requested_name]
        candidates = matches if name else matches or served
        return candidates[0] if candidates else None

    def _build_forward_request(
        self, request: HttpRequest, workload: Workload, path: str
    ) -> ForwardRequest:
        """Returns the message to an owner for a caller's request.

        Raises:
            ValueError: The deadline header is not an integer.
        """
        key = request.header(KEY_HEADER)
        limit_ms = min(workload.deadline_ms, int(self._max_request_time_s * 1000))
        requested_ms = request.header(DEADLINE_HEADER)
        return ForwardRequest(
            request_id=RequestId(uuid.uuid4().hex),
            shard=ShardId(""),
            service=workload.service or workload.name,
            method=request.method,
            path=path,
            headers=[h for h in request.headers if h.name.lower() != "expect"],
            body=request.body,
            remaining_ms=(
                min(limit_ms, max(1, int(requested_ms))) if requested_ms else limit_ms
            ),
            urgency=Urgency(workload.urgency),
            idempotent=workload.idempotent and not key,
            idempotency_key=key,
        )

    async def _run_on_any_shard(
        self, forward: ForwardRequest, deadline: float
    ) -> ForwardAnswer:
        """Runs an idempotent request, retrying on shards that it has not tried."""
        tried: set[ShardId] = set()
        unknown_answer = answer = None
        while True:
            self.update_routes(self._clock.now())
            shard = self._router.choose_shard(forward.service, tried)
            if shard is None:
                return unknown_answer or answer or self._refuse_without_shard(forward)
            tried.add(shard)
            answer = await self._forward_to_shard(forward, shard, deadline)
            if answer.outcome is Outcome.UNKNOWN:
                # A later refusal does not rule out that this attempt was run.
                unknown_answer = answer
            if not self._may_retry(forward, answer, deadline):
                return (
                    answer
                    if answer.outcome is Outcome.DONE
                    else unknown_answer or answer
                )

    async def _run_on_home_shard(
        self, forward: ForwardRequest, deadline: float
    ) -> ForwardAnswer:
        """Runs a request that is keyed or not idempotent on the home shard of its key.

        While the owner of that shard changes, the request is sent again until its
        deadline.
        """
        shard = home_shard(forward.idempotency_key, self._view.domain_by_shard)
        while True:
            answer = await self._forward_to_shard(forward, shard, deadline)
            if answer.outcome is not Outcome.NOT_RUN:
                return answer
            if answer.reason not in OWNER_CHANGE_REASONS:
                return answer
            if self._clock.now() + OWNER_RETRY_DELAY_S >= deadline:
                return answer
            await curio.sleep(OWNER_RETRY_DELAY_S)

    async def _forward_to_shard(
        self, forward: ForwardRequest, shard: ShardId, deadline: float
    ) -> ForwardAnswer:
        """Sends a request to the owner of a shard and returns the outcome."""
        now = self._clock.now()
        owner = self._view.owner(shard, now)
        if owner is None:
            return _not_run_forward_answer(forward, Reason.SHARD_UNOWNED)
        remaining = deadline - now
        if remaining <= 0:
            return _not_run_forward_answer(forward, Reason.DEADLINE_PASSED)
        forward.request_id = RequestId(uuid.uuid4().hex)
        forward.shard = shard
        forward.remaining_ms = int(remaining * 1000)
        self._router.record_sent(shard, forward.service)
        answer = await self._forward_to_owner(
            owner, forward, remaining + RESPONSE_MARGIN_S
        )
        if answer is None:
            self._metrics.count_unknown_outcome(Reason.OWNER_SILENT)
            return ForwardAnswer(
                forward.request_id, Outcome.UNKNOWN, reason=Reason.OWNER_SILENT.value
            )
        return answer

    def _may_retry(
        self, forward: ForwardRequest, answer: ForwardAnswer, deadline: float
    ) -> bool:
        """Returns whether to retry a request; a retry consumes retry budget."""
        if answer.outcome is Outcome.DONE or self._clock.now() >= deadline:
            return False
        reason = Reason(answer.reason)
        if not entry_may_retry(reason, forward.idempotent):
            return False
        if not self._retry_budget.try_spend():
            self._metrics.count_refusal(Reason.RETRY_BUDGET_EMPTY)
            return False
        self._metrics.count_retry(reason)
        return True

    def _refuse_without_shard(self, forward: ForwardRequest) -> ForwardAnswer:
        """Returns the refusal of a request for which no shard is left."""
        owned = self._view.owned(self._clock.now())
        reason = Reason.NO_ENDPOINT if owned else Reason.SHARD_UNOWNED
        self._metrics.count_refusal(reason)
        return _not_run_forward_answer(forward, reason)

    def _refuse(self, reason: Reason) -> HttpResponse:
        self._metrics.count_refusal(reason)
        return not_run_response(reason)


def not_run_response(reason: Reason, retry_after_ms: int = 0) -> HttpResponse:
    """Returns the HTTP response for a request that was not run.

    Args:
        reason: Why it was not run.
        retry_after_ms: Milliseconds to wait before a retry; zero if not known.
    """
    return make_refusal_response(
        Refusal(Outcome.NOT_RUN, reason.value, remedy(reason.value), retry_after_ms)
    )


def _not_run_forward_answer(forward: ForwardRequest, reason: Reason) -> ForwardAnswer:
    return ForwardAnswer(
        forward.request_id, Outcome.NOT_RUN, reason=reason.value, retry_after_ms=1000
    )


def _http_response(answer: ForwardAnswer, revision: Revision) -> HttpResponse:
    match answer.outcome:
        case Outcome.DONE:
            headers = [
                *answer.headers,
                Header(OUTCOME_HEADER, Outcome.DONE.value),
                Header(REVISION_HEADER, str(revision)),
            ]
            return HttpResponse(answer.status, headers, answer.body)
        case Outcome.NOT_RUN:
            return not_run_response(Reason(answer.reason), answer.retry_after_ms)
        case Outcome.UNKNOWN:
            return make_refusal_response(
                Refusal(Outcome.UNKNOWN, answer.reason, remedy(answer.reason))
            )
