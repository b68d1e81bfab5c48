"""The operators' HTTP resources of an entry VM.

``OperatorApi`` decodes and checks requests and encodes answers. The daemon
implements ``OperatorBackend``. Every refusal has the body and the header of
section 2.5 of docs/design.md.
"""

import re
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import unquote
from uuid import UUID

import msgspec

from arbutusladder import configchecks, reasons
from arbutusladder.codec import to_json
from arbutusladder.declarations import Declarations
from arbutusladder.headernames import OUTCOME_HEADER
from arbutusladder.httpclient import HttpAnswer
from arbutusladder.httpserver import HttpRequest
from arbutusladder.ids import JobId, VmId
from arbutusladder.messages import Header
from arbutusladder.operatormessages import (
    ChangeRequest,
    Counters,
    CurrentConfig,
    DrainOrder,
    DrainView,
    Explanation,
    JobOrder,
    JobParts,
    JobView,
    MemberView,
    OperationRefused,
    PartAnswer,
    PresetChoice,
    PresetList,
    PublishResult,
    PublishState,
    Readiness,
    Refusal,
    ShardView,
)
from arbutusladder.settings import Settings
from arbutusladder.states import Outcome, Reason

MAX_AUTHOR_CHARACTERS = 200
JOB_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}\Z")
UNAVAILABLE_RETRY_MS = 1000
# A drain of an endpoint that is not known differs from a service without one.
UNKNOWN_VM_STATUS = 404


class OperatorBackend(ABC):
    """The operations that an entry VM offers to operators.

    Every method may raise ``OperationRefused``: with outcome ``not_run`` only
    when the operation certainly had no effect, else with ``unknown``.
    """

    @abstractmethod
    async def publish(self, change: ChangeRequest) -> PublishResult:
        """Appends a change set and waits for its place in the log.

        The change was checked against the current configuration. The same
        ``change_id`` must never take effect twice; a repetition is answered
        with what became of the first.
        """

    @abstractmethod
    async def current_config(self) -> CurrentConfig:
        """Returns the newest configuration of this entry VM."""

    @abstractmethod
    async def submit(self, order: JobOrder) -> list[PartAnswer]:
        """Submits a job; returns one answer for each part, at least one.

        A job id that exists already must not create a second job. The id of
        each part starts with the id of the order when that has one, so that the
        parts can be found after a lost answer.
        """

    @abstractmethod
    async def job(self, job_id: JobId) -> JobView | None:
        """Returns the state of a job; none when it certainly does not exist."""

    @abstractmethod
    async def cancel(self, job_id: JobId) -> JobView | None:
        """Cancels a job and returns its state; none when it does not exist."""

    @abstractmethod
    async def explain(self, job_id: JobId) -> Explanation | None:
        """Explains the state of a job; none when it does not exist."""

    @abstractmethod
    async def members(self) -> list[MemberView]:
        """Returns all seats of the region."""

    @abstractmethod
    async def shards(self) -> list[ShardView]:
        """Returns all shards of the region."""

    @abstractmethod
    async def counters(self) -> Counters:
        """Returns the counters and gauges of this entry VM."""

    @abstractmethod
    async def drain(self, vm: VmId, draining: bool) -> DrainView | None:
        """Starts or ends a drain; none when no such endpoint is known."""

    @abstractmethod
    async def readiness(self) -> Readiness:
        """Returns whether requests may come to this entry VM."""


def refusal_answer(refusal: Refusal, status: int = 0) -> HttpAnswer:
    """Returns the HTTP answer of section 2.5 for a refusal.

    Args:
        refusal: Body of the answer.
        status: HTTP status; zero for that of the reason.
    """
    status = status or reasons.status(refusal.reason, refusal.outcome)
    headers = [
        Header("Content-Type", "application/json"),
        Header(OUTCOME_HEADER, refusal.outcome.value),
    ]
    if status in {429, 503}:
        # Retry-After counts whole seconds.
        seconds = max(1, -(-refusal.retry_after_ms // 1000))
        headers.append(Header("Retry-After", str(seconds)))
    return HttpAnswer(status, headers, to_json(refusal))


def json_answer(
    value: Any, status: int = 200, outcome: Outcome = Outcome.DONE
) -> HttpAnswer:
    """Returns an HTTP answer with a JSON body and an outcome."""
    headers = [
        Header("Content-Type", "application/json"),
        Header(OUTCOME_HEADER, outcome.value),
    ]
    return HttpAnswer(status, headers, to_json(value))


@dataclass(frozen=True)
class Route:
    """One resource: method, pattern of the path, and the handler's name."""

    method: str
    pattern: re.Pattern[str]
    handler: str


def _route(method: str, path: str, handler: str) -> Route:
    return Route(method, re.compile(path.replace("{}", "([^/]+)") + r"\Z"), handler)


ROUTES = (
    _route("GET", "/livez", "_livez"),
    _route("GET", "/readyz", "_readyz"),
    _route("GET", "/v1/config", "_config"),
    _route("POST", "/v1/config", "_publish"),
    _route("GET", "/v1/presets", "_presets"),
    _route("POST", "/v1/presets", "_choose_preset"),
    _route("POST", "/v1/jobs", "_submit"),
    _route("GET", "/v1/jobs/{}", "_job"),
    _route("DELETE", "/v1/jobs/{}", "_cancel"),
    _route("GET", "/v1/explain/{}", "_explain"),
    _route("GET", "/v1/members", "_members"),
    _route("GET", "/v1/shards", "_shards"),
    _route("GET", "/v1/counters", "_counters"),
    _route("POST", "/v1/vms/{}/drain", "_drain"),
)


class OperatorApi:
    """Answers the requests of operators and of the balancer.

    Args:
        backend: Carries out the operations.
        count_refusal: Called with the reason of each refusal.
        settings: Settings that published deadlines must suit; none for no
            such check.
    """

    def __init__(
        self,
        backend: OperatorBackend,
        count_refusal: Callable[[Reason], None] = lambda reason: None,
        settings: Settings | None = None,
    ):
        self._backend = backend
        self._settings = settings
        self._count_refusal = count_refusal

    @staticmethod
    def serves(path: str) -> bool:
        """Returns whether a path belongs to the operators or the balancer."""
        return path.startswith("/v1/") or path in {"/livez", "/readyz"}

    async def handle(self, request: HttpRequest) -> HttpAnswer:
        """Answers a request; the answer to a HEAD request has a body, too."""
        method = "GET" if request.method == "HEAD" else request.method
        allowed = []
        for route in ROUTES:
            found = route.pattern.match(request.path)
            if not found:
                continue
            allowed.append(route.method)
            if route.method == method:
                parts = [unquote(part) for part in found.groups()]
                return await self._run(getattr(self, route.handler), request, parts)
        return self._no_route(request, allowed)

    async def _run(
        self,
        handler: Callable[..., Awaitable[HttpAnswer]],
        request: HttpRequest,
        parts: list[str],
    ) -> HttpAnswer:
        try:
            return await handler(request, *parts)
        except OperationRefused as error:
            self._count_refusal(Reason(error.reason))
            refusal = Refusal(
                error.outcome,
                error.reason,
                error.remedy,
                error.retry_after_ms,
                **error.detail,
            )
            return refusal_answer(refusal, error.status)

    def _no_route(self, request: HttpRequest, allowed: list[str]) -> HttpAnswer:
        self._count_refusal(Reason.MALFORMED_REQUEST)
        remedy = f"{request.path} does not exist; see docs/cli.md for the resources"
        if allowed:
            remedy = f"use {' or '.join(allowed)} on {request.path}"
        reason = Reason.MALFORMED_REQUEST.value
        answer = refusal_answer(Refusal(Outcome.NOT_RUN, reason, remedy))
        answer.status = 405 if allowed else 404
        if allowed:
            answer.headers.append(Header("Allow", ", ".join(allowed)))
        return answer

    async def _livez(self, request: HttpRequest) -> HttpAnswer:
        return json_answer({"live": True})

    async def _readyz(self, request: HttpRequest) -> HttpAnswer:
        readiness = await self._backend.readiness()
        if readiness.ready:
            return json_answer(readiness)
        return json_answer(readiness, 503, Outcome.NOT_RUN)

    async def _config(self, request: HttpRequest) -> HttpAnswer:
        return json_answer(await self._backend.current_config())

    async def _publish(self, request: HttpRequest) -> HttpAnswer:
        return await self._publish_change(_body(request, ChangeRequest))

    async def _choose_preset(self, request: HttpRequest) -> HttpAnswer:
        choice = _body(request, PresetChoice)
        if not choice.preset:
            raise _malformed("name the preset")
        changes = Declarations(active_preset=choice.preset)
        change = ChangeRequest(
            choice.change_id, choice.base_revision, choice.author, changes
        )
        return await self._publish_change(change)

    async def _publish_change(self, change: ChangeRequest) -> HttpAnswer:
        _check_change_head(change)
        current = await self._backend.current_config()
        # A repetition of an accepted change has an old base; only the fold of
        # the log can tell it from a change that lost a race.
        if change.base_revision == current.revision:
            self._check_changes(current.declarations, change.changes)
        result = await self._backend.publish(change)
        match result.state:
            case PublishState.ACCEPTED:
                return json_answer(result)
            case PublishState.REFUSED:
                raise _refused_change(result)
            case PublishState.UNKNOWN:
                remedy = (
                    "the change may be active; read the current configuration "
                    "before another attempt"
                )
                raise OperationRefused(Reason.LOG_REPLY_LOST, remedy, Outcome.UNKNOWN)
            case PublishState.LOG_UNAVAILABLE:
                remedy = "nothing was published; repeat it once the log is back"
                raise OperationRefused(
                    Reason.LOG_UNAVAILABLE, remedy, retry_after_ms=UNAVAILABLE_RETRY_MS
                )

    def _check_changes(self, current: Declarations, changes: Declarations) -> None:
        problems = configchecks.check_change_set(changes)
        if not problems:
            result = configchecks.apply_changes(current, changes)
            problems = configchecks.check_configuration(result)
        if self._settings:
            problems += configchecks.check_deadlines(changes, self._settings)
        if problems:
            texts = [f"{item.path}: {item.text}; {item.remedy}" for item in problems]
            remedy = "correct the declarations and publish again"
            raise OperationRefused(Reason.INVALID_DECLARATION, remedy, problems=texts)

    async def _presets(self, request: HttpRequest) -> HttpAnswer:
        current = await self._backend.current_config()
        names = sorted(preset.name for preset in current.declarations.presets)
        active = current.declarations.active_preset
        return json_answer(PresetList(current.revision, current.author, active, names))

    async def _submit(self, request: HttpRequest) -> HttpAnswer:
        order = _body(request, JobOrder)
        if order.tasks < 0:
            raise _malformed("give a number of tasks of at least 1")
        if order.job_id and not JOB_ID.match(order.job_id):
            raise _malformed("give a job id of 1 to 100 letters, digits, '.', '_', '-'")
        parts = await self._backend.submit(order)
        return json_answer(JobParts(parts), _parts_status(parts))

    async def _job(self, request: HttpRequest, job: str) -> HttpAnswer:
        return _found(await self._backend.job(JobId(job)), job)

    async def _cancel(self, request: HttpRequest, job: str) -> HttpAnswer:
        return _found(await self._backend.cancel(JobId(job)), job)

    async def _explain(self, request: HttpRequest, job: str) -> HttpAnswer:
        return _found(await self._backend.explain(JobId(job)), job)

    async def _members(self, request: HttpRequest) -> HttpAnswer:
        return json_answer({"members": await self._backend.members()})

    async def _shards(self, request: HttpRequest) -> HttpAnswer:
        return json_answer({"shards": await self._backend.shards()})

    async def _counters(self, request: HttpRequest) -> HttpAnswer:
        return json_answer(await self._backend.counters())

    async def _drain(self, request: HttpRequest, vm: str) -> HttpAnswer:
        order = _body(request, DrainOrder) if request.body else DrainOrder()
        view = await self._backend.drain(VmId(vm), order.draining)
        if view is None:
            remedy = f"no endpoint {vm!r} is known; check the id in the VM list"
            raise OperationRefused(Reason.NO_ENDPOINT, remedy, status=UNKNOWN_VM_STATUS)
        return json_answer(view)


def _body(request: HttpRequest, kind: type) -> Any:
    try:
        return msgspec.json.decode(request.body, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise _malformed(f"correct the body ({error})") from error


def _malformed(remedy: str) -> OperationRefused:
    return OperationRefused(Reason.MALFORMED_REQUEST, remedy)


def _check_change_head(change: ChangeRequest) -> None:
    try:
        UUID(change.change_id)
    except ValueError as error:
        raise _malformed("give change_id a UUID, such as a UUIDv7") from error
    if not change.author.strip() or len(change.author) > MAX_AUTHOR_CHARACTERS:
        raise _malformed(f"give an author of 1 to {MAX_AUTHOR_CHARACTERS} characters")
    if change.base_revision < 0:
        raise _malformed("give the revision that the change was made for")


def _refused_change(result: PublishResult) -> OperationRefused:
    if result.problems:
        remedy = "correct the declarations and publish again"
        return OperationRefused(
            Reason.INVALID_DECLARATION, remedy, problems=result.problems
        )
    remedy = (
        f"revision {result.revision} by {result.winner or 'another operator'} is "
        "current; compare with it and publish again"
    )
    return OperationRefused(
        Reason.STALE_BASE,
        remedy,
        winner=result.winner,
        winner_revision=result.revision,
    )


def _parts_status(parts: list[PartAnswer]) -> int:
    """Returns 200, or the status that a submission with no accepted part has.

    Raises:
        OperationRefused: No part was accepted.
    """
    if any(part.outcome is Outcome.DONE for part in parts):
        return 200
    unknown = [part for part in parts if part.outcome is Outcome.UNKNOWN]
    worst = (unknown or parts)[0]
    reason = Reason(worst.reason) if worst.reason else Reason.NO_CAPACITY
    jobs = ", ".join(part.job_id for part in unknown)
    remedy = reasons.remedy(reason.value)
    if unknown:
        remedy = f"query the jobs {jobs} first"
    raise OperationRefused(
        reason, remedy, worst.outcome, max(part.retry_after_ms for part in parts)
    )


def _found(value: Any, job: str) -> HttpAnswer:
    if value is None:
        remedy = (
            f"no job {job!r} is known; check the id; refused jobs are not kept, "
            "and ended jobs are forgotten after a while"
        )
        raise OperationRefused(Reason.UNKNOWN_JOB, remedy)
    return json_answer(value)
