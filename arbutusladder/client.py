"""HTTP client for entry VMs, used by operators and callers.

The client tries several entry VMs. A request that may have been run is retried only
if it is a read or carries an idempotency key.
"""

import secrets
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, TypeVar
from urllib.parse import quote
from uuid import UUID

import msgspec

from arbutusladder import httpclient
from arbutusladder.clock import Clock
from arbutusladder.codec import to_json
from arbutusladder.declarations import Declarations
from arbutusladder.errors import HttpError, RequestFailed
from arbutusladder.headernames import KEY_HEADER, OUTCOME_HEADER, WORKLOAD_HEADER
from arbutusladder.httpclient import HttpResponse
from arbutusladder.ids import JobId, PresetName, RecordId, Revision, VmId
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
    PartAnswer,
    PresetChoice,
    PresetList,
    PublishResult,
    Readiness,
    Refusal,
    ShardView,
)
from arbutusladder.states import Outcome, Reason

# Above max_request_time (5 s), so that the entry VM responds before the timeout.
DEFAULT_TIMEOUT_S = 10.0
# Refusals that concern one entry VM only, so another one may accept the request.
RETRY_ON_OTHER_ENTRY_VM_REASONS = frozenset(
    reason.value
    for reason in (
        Reason.STARTING,
        Reason.PAUSED,
        Reason.DRAINING,
        Reason.CONFIG_UNCONFIRMED,
        Reason.TOO_MANY_CALLERS,
        Reason.UNFINISHED_BYTES_FULL,
    )
)
SERVICE_PREFIX = "/services/"
# Characters that are not escaped in a path with a query, besides letters and digits.
UNESCAPED_PATH_CHARACTERS = "%/:?[]@!$&'()*+,;=~"
ResultType = TypeVar("ResultType")


class RequestRefused(RequestFailed):
    """An entry VM refused a request or reported an unknown outcome.

    Attributes:
        refusal: Body of the response.
        status: HTTP status of the response.
    """

    def __init__(self, refusal: Refusal, status: int):
        super().__init__(refusal.outcome, refusal.reason, refusal.remedy)
        self.refusal = refusal
        self.status = status


class NoEntryReachable(RequestFailed):
    """No entry VM could be reached, so the request was not run.

    Attributes:
        attempts: Address and error of each attempt.
    """

    def __init__(self, attempts: list[str]):
        remedy = "check --entry and the network; tried " + "; ".join(attempts)
        super().__init__(Outcome.NOT_RUN, Reason.CONNECT_FAILED.value, remedy)
        self.attempts = attempts


@dataclass
class ServiceResponse:
    """The outcome of a caller's request to a service, with the response.

    Attributes:
        outcome: What is known of the request.
        status: HTTP status of the executor's response or of the refusal.
        headers: Header fields of the response.
        body: Complete body of the response.
        refusal: Details if the outcome is not ``done``.
        key: Idempotency key that the request carried.
    """

    outcome: Outcome
    status: int = 0
    headers: list[Header] = field(default_factory=list)
    body: bytes = b""
    refusal: Refusal | None = None
    key: str = ""


@dataclass
class _Call:
    """A request to an entry VM; ``repeatable`` if it may be run more than once."""

    method: str
    path: str
    body: bytes = b""
    headers: list[Header] = field(default_factory=list)
    repeatable: bool = False


def new_uuid7(
    clock: Clock, random_bits: Callable[[int], int] = secrets.randbits
) -> str:
    """Returns a new UUIDv7, for use as an idempotency key or as an id.

    Args:
        clock: Source of the creation time.
        random_bits: Returns a random integer with a number of bits.
    """
    created_at_ms = int(clock.wall_time() * 1000) & (1 << 48) - 1
    value = created_at_ms << 80 | 0x7 << 76 | random_bits(12) << 64
    value |= 0b10 << 62 | random_bits(62)
    return str(UUID(int=value))


class EntryClient:
    """Client that sends each request to the first entry VM that accepts it.

    Args:
        addresses: IP addresses and ports of entry VMs, tried in this order.
        timeout: Timeout of one attempt in seconds.
    """

    def __init__(self, addresses: list[str], timeout: float = DEFAULT_TIMEOUT_S):
        self.addresses = addresses
        self._timeout = timeout

    async def config(self) -> CurrentConfig:
        """Returns the current configuration."""
        return await self._read("/v1/config", CurrentConfig)

    async def publish(
        self, change_id: RecordId, base: Revision, author: str, changes: Declarations
    ) -> PublishResult:
        """Publishes a change set.

        Raises:
            RequestFailed: The change was refused, or its outcome is unknown.
        """
        body = ChangeRequest(change_id, base, author, changes)
        return await self._modify("POST", "/v1/config", body, PublishResult)

    async def presets(self) -> PresetList:
        """Returns the names of the presets and the active one."""
        return await self._read("/v1/presets", PresetList)

    async def choose_preset(
        self, change_id: RecordId, base: Revision, author: str, preset: PresetName
    ) -> PublishResult:
        """Publishes the choice of a preset as the active one; like ``publish``."""
        body = PresetChoice(change_id, base, author, preset)
        return await self._modify("POST", "/v1/presets", body, PublishResult)

    async def submit(self, order: JobOrder) -> list[PartAnswer]:
        """Submits a job and returns the result of each part."""
        return (await self._modify("POST", "/v1/jobs", order, JobParts)).parts

    async def job(self, job_id: JobId) -> JobView:
        """Returns the state of a job."""
        return await self._read(f"/v1/jobs/{_quote_path_segment(job_id)}", JobView)

    async def cancel(self, job_id: JobId) -> JobView:
        """Cancels a job and returns its state."""
        return await self._modify(
            "DELETE", f"/v1/jobs/{_quote_path_segment(job_id)}", None, JobView
        )

    async def explain(self, job_id: JobId) -> Explanation:
        """Returns an explanation of the state of a job."""
        return await self._read(
            f"/v1/explain/{_quote_path_segment(job_id)}", Explanation
        )

    async def members(self) -> list[MemberView]:
        """Returns the seats as known to the first entry VM that responds."""
        response = await self._read("/v1/members", dict[str, list[MemberView]])
        return response["members"]

    async def shards(self) -> list[ShardView]:
        """Returns the shards as known to the first entry VM that responds."""
        return (await self._read("/v1/shards", dict[str, list[ShardView]]))["shards"]

    async def counters(self) -> Counters:
        """Returns the counters of the first entry VM that responds."""
        return await self._read("/v1/counters", Counters)

    async def drain(self, vm: VmId, draining: bool) -> DrainView:
        """Starts or ends the drain of an endpoint."""
        path = f"/v1/vms/{_quote_path_segment(vm)}/drain"
        return await self._modify("POST", path, DrainOrder(draining), DrainView)

    async def readiness(self) -> Readiness:
        """Returns whether the first entry VM that responds is ready."""
        response = await self._send(
            _Call("GET", "/readyz", repeatable=True), frozenset()
        )
        return _decode_response(response, Readiness, repeatable=True)

    async def request(
        self,
        service: str,
        method: str,
        path: str,
        body: bytes = b"",
        headers: list[Header] | None = None,
        key: str = "",
        workload: str = "",
    ) -> ServiceResponse:
        """Sends a caller's request to a service.

        Args:
            service: Name of the service.
            method: HTTP method.
            path: Path within the service, with the query.
            body: Body of the request.
            headers: Additional header fields.
            key: Idempotency key; empty for an idempotent request.
            workload: Name of one of the service's workloads; empty for the default.

        Returns:
            The response or the refusal; this method does not raise `RequestFailed`.
        """
        for value in (key, workload):
            # HTTP headers permit latin-1, but valid keys and names are ASCII.
            if not value.isascii():
                return _failed_response(
                    _malformed_request(f"{value!r} is not ASCII"), key
                )
        header_fields = list(headers or [])
        header_fields += [Header(KEY_HEADER, key)] if key else []
        header_fields += [Header(WORKLOAD_HEADER, workload)] if workload else []
        escaped_path = quote(path.removeprefix("/"), safe=UNESCAPED_PATH_CHARACTERS)
        target = f"{SERVICE_PREFIX}{_quote_path_segment(service)}/{escaped_path}"
        repeatable = bool(key) or method in {"GET", "HEAD"}
        call = _Call(method, target, body, header_fields, repeatable)
        try:
            response = await self._send(call)
        except RequestFailed as error:
            return _failed_response(error, key)
        return ServiceResponse(
            Outcome.DONE, response.status, response.headers, response.body, key=key
        )

    async def _read(self, path: str, result_type: type[ResultType]) -> ResultType:
        response = await self._send(_Call("GET", path, repeatable=True))
        return _decode_response(response, result_type, repeatable=True)

    async def _modify(
        self, method: str, path: str, body: Any, result_type: type[ResultType]
    ) -> ResultType:
        encoded_body = b"" if body is None else to_json(body)
        response = await self._send(_Call(method, path, encoded_body))
        return _decode_response(response, result_type, repeatable=False)

    async def _send(
        self,
        call: _Call,
        retry_reasons: frozenset[str] = RETRY_ON_OTHER_ENTRY_VM_REASONS,
    ) -> HttpResponse:
        """Returns the first response whose outcome is ``done``.

        Args:
            call: Request to send.
            retry_reasons: Reasons of refusals after which the next entry VM is tried.
                If empty, a refusal is returned like any other response.

        Raises:
            RequestFailed: No entry VM returned such a response.
        """
        attempts: list[str] = []
        may_have_run = False
        refused: RequestRefused | None = None
        for address in self.addresses:
            try:
                response = await self._attempt(address, call)
            except HttpError as error:
                if error.reason is Reason.MALFORMED_REQUEST:
                    raise _malformed_request(str(error)) from error
                attempts.append(f"{address}: {error}")
                may_have_run |= error.sent
                if error.sent and not call.repeatable:
                    break
                continue
            refused = _parse_refusal(response, call) if retry_reasons else None
            if refused is None:
                return response
            if refused.outcome is Outcome.UNKNOWN:
                raise refused
            attempts.append(f"{address}: {refused.reason}")
            if refused.reason not in retry_reasons:
                break
        raise _combined_failure(call, attempts, may_have_run, refused)

    async def _attempt(self, address: str, call: _Call) -> HttpResponse:
        try:
            return await httpclient.request(
                address, call.method, call.path, call.body, call.headers, self._timeout
            )
        except UnicodeEncodeError as error:
            detail = (
                f"{error.object!r} contains characters that HTTP headers do not permit"
            )
            raise HttpError(Reason.MALFORMED_REQUEST, detail, sent=False) from error


def _quote_path_segment(segment: str) -> str:
    return quote(segment, safe="")


def _parse_refusal(response: HttpResponse, call: _Call) -> RequestRefused | None:
    """Returns the refusal that a response contains, or None."""
    outcome = response.header(OUTCOME_HEADER)
    if outcome in {"", Outcome.DONE.value}:
        if call.path.startswith("/v1/") and response.status >= 400:
            return _refusal_from_http_error(response, call)
        return None
    try:
        refusal = msgspec.json.decode(response.body, type=Refusal)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        certainly_not_run = outcome == Outcome.NOT_RUN.value
        refusal = Refusal(
            Outcome.NOT_RUN if certainly_not_run else Outcome.UNKNOWN,
            Reason.ANSWER_INCOMPLETE.value,
            "the body of the refusal is invalid; run the same version on all VMs",
        )
    return RequestRefused(refusal, response.status)


def _refusal_from_http_error(response: HttpResponse, call: _Call) -> RequestRefused:
    """Returns a refusal for an HTTP error without the outcome header of entry VMs."""
    # The HTTP server responds with 4xx before the request reaches a handler.
    certainly_not_run = call.method == "GET" or response.status < 500
    outcome = Outcome.NOT_RUN if certainly_not_run else Outcome.UNKNOWN
    text = response.body[:200].decode("utf-8", "replace")
    remedy = f"check that --entry names an entry VM; it sent {response.status} {text!r}"
    return RequestRefused(Refusal(outcome, "http_error", remedy), response.status)


def _combined_failure(
    call: _Call, attempts: list[str], may_have_run: bool, refused: RequestRefused | None
) -> RequestFailed:
    """Returns the error for a failed request, which covers all of its attempts.

    Its outcome is unknown if any attempt may have been run and may have had an effect.
    """
    # A read from an entry VM has no effect; a request to a service may have one.
    may_have_effect = not call.repeatable or call.path.startswith(SERVICE_PREFIX)
    if may_have_run and may_have_effect:
        remedy = "it may have been run; query its result before a retry: "
        return RequestFailed(
            Outcome.UNKNOWN,
            Reason.CONNECTION_LOST.value,
            remedy + "; ".join(attempts),
        )
    return refused or NoEntryReachable(attempts)


def _malformed_request(detail: str) -> RequestFailed:
    remedy = f"correct the path and the headers ({detail})"
    return RequestFailed(Outcome.NOT_RUN, Reason.MALFORMED_REQUEST.value, remedy)


def _failed_response(error: RequestFailed, key: str) -> ServiceResponse:
    refusal = Refusal(error.outcome, error.reason, error.remedy)
    status = 0
    if isinstance(error, RequestRefused):
        refusal, status = error.refusal, error.status
    return ServiceResponse(error.outcome, status, refusal=refusal, key=key)


def _decode_response(
    response: HttpResponse, result_type: type[ResultType], repeatable: bool
) -> ResultType:
    try:
        return msgspec.json.decode(response.body, type=result_type)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        outcome = Outcome.NOT_RUN if repeatable else Outcome.UNKNOWN
        remedy = f"check that --entry names an entry VM of this version ({error})"
        reason = Reason.ANSWER_INCOMPLETE.value
        raise RequestFailed(outcome, reason, remedy) from error
