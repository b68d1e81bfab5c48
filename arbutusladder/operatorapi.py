"""HTTP interface of an entry VM for operators and the load balancer.

``OperatorApi`` decodes and validates requests and encodes responses. The daemon
implements ``OperatorBackend``, which carries the operations out. Every refusal has a
`Refusal` as JSON body and its outcome in a header, as in section 2.5 of
docs/design.md.
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
from arbutusladder.httpclient import HttpResponse
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

# Longest name of the author of a change, in characters.
MAX_AUTHOR_CHARACTERS = 200
JOB_ID_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}\Z")
# Wait in milliseconds proposed to operators while the log service is unavailable.
UNAVAILABLE_RETRY_MS = 1000
# HTTP status for the drain of an unknown endpoint. Its reason, no_endpoint, has another
# status when a service has no endpoint.
UNKNOWN_VM_STATUS = 404


class OperatorBackend(ABC):
    """The operations that an entry VM offers to operators.

    Every method may raise ``OperationRefused``. Its outcome is ``not_run`` only if the
    operation certainly had no effect, and ``unknown`` otherwise.
    """

    @abstractmethod
    async def publish(self, change: ChangeRequest) -> PublishResult:
        """Appends a change set and waits until it is accepted or rejected.

        The change was validated against the current configuration. The same
        ``change_id`` must never take effect twice; a repetition returns the result of
        the first publication.
        """

    @abstractmethod
    async def current_config(self) -> CurrentConfig:
        """Returns the newest configuration that this entry VM has."""

    @abstractmethod
    async def submit(self, order: JobOrder) -> list[PartAnswer]:
        """Submits a job and returns one answer per part, at least one.

        A job id that already exists must not create a second job. If the order has an
        id, the id of each part starts with it, so that the parts can be found after
        the response was lost.
        """

    @abstractmethod
    async def job(self, job_id: JobId) -> JobView | None:
        """Returns the state of a job, or None if it certainly does not exist."""

    @abstractmethod
    async def cancel(self, job_id: JobId) -> JobView | None:
        """Cancels a job and returns its state, or None if it does not exist."""

    @abstractmethod
    async def explain(self, job_id: JobId) -> Explanation | None:
        """Explains the state of a job, or returns None if it does not exist."""

    @abstractmethod
    async def members(self) -> list[MemberView]:
        """Returns the membership state of all seats of the region."""

    @abstractmethod
    async def shards(self) -> list[ShardView]:
        """Returns the owner and the load of all shards of the region."""

    @abstractmethod
    async def counters(self) -> Counters:
        """Returns the counters and gauges of this entry VM."""

    @abstractmethod
    async def drain(self, vm: VmId, draining: bool) -> DrainView | None:
        """Starts or ends a drain; returns None if the endpoint is not known."""

    @abstractmethod
    async def readiness(self) -> Readiness:
        """Returns whether the load balancer may send requests to this entry VM."""


def make_refusal_response(refusal: Refusal, status: int = 0) -> HttpResponse:
    """Returns the HTTP response for a refusal (section 2.5 of docs/design.md).

    Args:
        refusal: Body of the response.
        status: HTTP status; zero for the usual status of the refusal's reason.
    """
    status = status or reasons.status(refusal.reason, refusal.outcome)
    headers = [
        Header("Content-Type", "application/json"),
        Header(OUTCOME_HEADER, refusal.outcome.value),
    ]
    if status in {429, 503}:
        # Retry-After is in whole seconds, rounded up and at least 1.
        seconds = max(1, -(-refusal.retry_after_ms // 1000))
        headers.append(Header("Retry-After", str(seconds)))
    return HttpResponse(status, headers, to_json(refusal))


def json_response(
    value: Any, status: int = 200, outcome: Outcome = Outcome.DONE
) -> HttpResponse:
    """Returns an HTTP response with a JSON body and the outcome header."""
    headers = [
        Header("Content-Type", "application/json"),
        Header(OUTCOME_HEADER, outcome.value),
    ]
    return HttpResponse(status, headers, to_json(value))


@dataclass(frozen=True)
class Route:
    """Method and path of requests, and the `OperatorApi` method that handles them.

    The handler is called with the request and the groups of the path pattern.
    """

    method: str
    pattern: re.Pattern[str]
    handler: str


def _make_route(method: str, path: str, handler: str) -> Route:
    return Route(method, re.compile(path.replace("{}", "([^/]+)") + r"\Z"), handler)


ROUTES = (
    _make_route("GET", "/livez", "_livez"),
    _make_route("GET", "/readyz", "_readyz"),
    _make_route("GET", "/v1/config", "_config"),
    _make_route("POST", "/v1/config", "_publish"),
    _make_route("GET", "/v1/presets", "_presets"),
    _make_route("POST", "/v1/presets", "_choose_preset"),
    _make_route("POST", "/v1/jobs", "_submit"),
    _make_route("GET", "/v1/jobs/{}", "_job"),
    _make_route("DELETE", "/v1/jobs/{}", "_cancel"),
    _make_route("GET", "/v1/explain/{}", "_explain"),
    _make_route("GET", "/v1/members", "_members"),
    _make_route("GET", "/v1/shards", "_shards"),
    _make_route("GET", "/v1/counters", "_counters"),
    _make_route("POST", "/v1/vms/{}/drain", "_drain"),
)


class OperatorApi:
    """Handles HTTP requests of operators and of the load balancer.

    Args:
        backend: Carries out the operations.
        count_refusal: Called with the reason of each refusal.
        settings: Settings against which published deadlines are checked; None to
            skip that check.
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
    def handles_path(path: str) -> bool:
        """Returns whether a path is handled here rather than by the gateway."""
        return path.startswith("/v1/") or path in {"/livez", "/readyz"}

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handles a request; a HEAD request is treated like GET, with a body."""
        method = "GET" if request.method == "HEAD" else request.method
        allowed_methods = []
        for route in ROUTES:
            path_match = route.pattern.match(request.path)
            if not path_match:
                continue
            allowed_methods.append(route.method)
            if route.method == method:
                path_arguments = [unquote(group) for group in path_match.groups()]
                return await self._run_handler(
                    getattr(self, route.handler), request, path_arguments
                )
        return self._route_not_found(request, allowed_methods)

    async def _run_handler(
        self,
        handler: Callable[..., Awaitable[HttpResponse]],
        request: HttpRequest,
        path_arguments: list[str],
    ) -> HttpResponse:
        """Calls a handler; a refused operation becomes its HTTP response."""
        try:
            return await handler(request, *path_arguments)
        except OperationRefused as error:
            self._count_refusal(Reason(error.reason))
            refusal = Refusal(
                error.outcome,
                error.reason,
                error.remedy,
                error.retry_after_ms,
                **error.detail,
            )
            return make_refusal_response(refusal, error.status)

    def _route_not_found(
        self, request: HttpRequest, allowed_methods: list[str]
    ) -> HttpResponse:
        """Returns status 405 if the path permits other methods, else 404."""
        self._count_refusal(Reason.MALFORMED_REQUEST)
        remedy = f"{request.path} does not exist; see docs/cli.md for the resources"
        if allowed_methods:
            remedy = f"use {' or '.join(allowed_methods)} on {request.path}"
        reason = Reason.MALFORMED_REQUEST.value
        response = make_refusal_response(Refusal(Outcome.NOT_RUN, reason, remedy))
        response.status = 405 if allowed_methods else 404
        if allowed_methods:
            response.headers.append(Header("Allow", ", ".join(allowed_methods)))
        return response

    async def _livez(self, request: HttpRequest) -> HttpResponse:
        return json_response({"live": True})

    async def _readyz(self, request: HttpRequest) -> HttpResponse:
        readiness = await self._backend.readiness()
        if readiness.ready:
            return json_response(readiness)
        return json_response(readiness, 503, Outcome.NOT_RUN)

    async def _config(self, request: HttpRequest) -> HttpResponse:
        return json_response(await self._backend.current_config())

    async def _publish(self, request: HttpRequest) -> HttpResponse:
        return await self._publish_change(_decode_body(request, ChangeRequest))

    async def _choose_preset(self, request: HttpRequest) -> HttpResponse:
        choice = _decode_body(request, PresetChoice)
        if not choice.preset:
            raise _malformed_request("name the preset")
        changes = Declarations(active_preset=choice.preset)
        change = ChangeRequest(
            choice.change_id, choice.base_revision, choice.author, changes
        )
        return await self._publish_change(change)

    async def _publish_change(self, change: ChangeRequest) -> HttpResponse:
        _check_change_metadata(change)
        current = await self._backend.current_config()
        # A repetition of an accepted change also has an old base revision. Only the
        # configuration store, which knows the accepted ids, can distinguish it from a
        # change that lost a race against another one.
        if change.base_revision == current.revision:
            self._check_changes(current.declarations, change.changes)
        result = await self._backend.publish(change)
        match result.state:
            case PublishState.ACCEPTED:
                return json_response(result)
            case PublishState.REFUSED:
                raise _refused_publication(result)
            case PublishState.UNKNOWN:
                remedy = (
                    "the change may be active; read the current configuration "
                    "before another attempt"
                )
                raise OperationRefused(Reason.LOG_REPLY_LOST, remedy, Outcome.UNKNOWN)
            case PublishState.LOG_UNAVAILABLE:
                remedy = (
                    "nothing was published; retry when the log service is available"
                )
                raise OperationRefused(
                    Reason.LOG_UNAVAILABLE, remedy, retry_after_ms=UNAVAILABLE_RETRY_MS
                )

    def _check_changes(self, current: Declarations, changes: Declarations) -> None:
        """Raises `OperationRefused` if the changed declarations would be invalid."""
        problems = configchecks.check_change_set(changes)
        if not problems:
            result = configchecks.apply_changes(current, changes)
            problems = configchecks.check_configuration(result)
        if self._settings:
            problems += configchecks.check_deadlines(changes, self._settings)
        if problems:
            problem_texts = [
                f"{item.path}: {item.text}; {item.remedy}" for item in problems
            ]
            remedy = "correct the declarations and publish again"
            raise OperationRefused(
                Reason.INVALID_DECLARATION, remedy, problems=problem_texts
            )

    async def _presets(self, request: HttpRequest) -> HttpResponse:
        current = await self._backend.current_config()
        names = sorted(preset.name for preset in current.declarations.presets)
        active = current.declarations.active_preset
        return json_response(
            PresetList(current.revision, current.author, active, names)
        )

    async def _submit(self, request: HttpRequest) -> HttpResponse:
        order = _decode_body(request, JobOrder)
        if order.tasks < 0:
            raise _malformed_request("set the number of tasks to at least 1")
        if order.job_id and not JOB_ID_PATTERN.match(order.job_id):
            raise _malformed_request(
                "use a job id of 1 to 100 letters, digits, '.', '_' or '-'"
            )
        parts = await self._backend.submit(order)
        return json_response(JobParts(parts), _submission_status(parts))

    async def _job(self, request: HttpRequest, job: str) -> HttpResponse:
        return _job_response(await self._backend.job(JobId(job)), job)

    async def _cancel(self, request: HttpRequest, job: str) -> HttpResponse:
        return _job_response(await self._backend.cancel(JobId(job)), job)

    async def _explain(self, request: HttpRequest, job: str) -> HttpResponse:
        return _job_response(await self._backend.explain(JobId(job)), job)

    async def _members(self, request: HttpRequest) -> HttpResponse:
        return json_response({"members": await self._backend.members()})

    async def _shards(self, request: HttpRequest) -> HttpResponse:
        return json_response({"shards": await self._backend.shards()})

    async def _counters(self, request: HttpRequest) -> HttpResponse:
        return json_response(await self._backend.counters())

    async def _drain(self, request: HttpRequest, vm: str) -> HttpResponse:
        order = _decode_body(request, DrainOrder) if request.body else DrainOrder()
        view = await self._backend.drain(VmId(vm), order.draining)
        if view is None:
            remedy = f"endpoint {vm!r} does not exist; check the id in the VM list"
            raise OperationRefused(Reason.NO_ENDPOINT, remedy, status=UNKNOWN_VM_STATUS)
        return json_response(view)


def _decode_body(request: HttpRequest, body_type: type) -> Any:
    """Returns the request's JSON body as a struct.

    Raises:
        OperationRefused: The body is not valid JSON of this type.
    """
    try:
        return msgspec.json.decode(request.body, type=body_type)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise _malformed_request(f"correct the body ({error})") from error


def _malformed_request(remedy: str) -> OperationRefused:
    return OperationRefused(Reason.MALFORMED_REQUEST, remedy)


def _check_change_metadata(change: ChangeRequest) -> None:
    """Raises `OperationRefused` for an invalid id, author or base revision."""
    try:
        UUID(change.change_id)
    except ValueError as error:
        raise _malformed_request("set change_id to a UUID, such as a UUIDv7") from error
    if not change.author.strip() or len(change.author) > MAX_AUTHOR_CHARACTERS:
        raise _malformed_request(
            f"use an author name of 1 to {MAX_AUTHOR_CHARACTERS} characters"
        )
    if change.base_revision < 0:
        raise _malformed_request(
            "set base_revision to the revision that the change is based on"
        )


def _refused_publication(result: PublishResult) -> OperationRefused:
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


def _submission_status(parts: list[PartAnswer]) -> int:
    """Returns 200, the HTTP status of a submission with an accepted part.

    Raises:
        OperationRefused: No part was accepted. If the outcome of a part is unknown,
            so is that of the submission.
    """
    if any(part.outcome is Outcome.DONE for part in parts):
        return 200
    unknown_parts = [part for part in parts if part.outcome is Outcome.UNKNOWN]
    first_failed = (unknown_parts or parts)[0]
    reason = Reason(first_failed.reason) if first_failed.reason else Reason.NO_CAPACITY
    jobs = ", ".join(part.job_id for part in unknown_parts)
    remedy = reasons.remedy(reason.value)
    if unknown_parts:
        remedy = f"query the jobs {jobs} first"
    raise OperationRefused(
        reason, remedy, first_failed.outcome, max(part.retry_after_ms for part in parts)
    )


def _job_response(value: Any, job: str) -> HttpResponse:
    if value is None:
        remedy = (
            f"job {job!r} does not exist; check the id; refused jobs are not stored, "
            "and ended jobs are removed after a while"
        )
        raise OperationRefused(Reason.UNKNOWN_JOB, remedy)
    return json_response(value)
