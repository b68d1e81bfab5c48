"""HTTP client of entry VMs for operators and callers.

The client tries several entry VMs. A request that may have run is sent again
only when it is a read or carries an idempotency key.
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

# Above max_request_time (5 s), so that the entry VM answers first.
DEFAULT_TIMEOUT_S = 10.0
# These refusals concern one entry VM, so another one may accept the request.
LOCAL_REASONS = frozenset(
    reason.value
    for reason in (
        Reason.STARTING,
        Reason.PAUSED,
        Reason.DRAINING,
        Reason.CONFIG_UNCONFIRMED,
        Reason.TOO_MANY_CALLERS,
    )
)
SERVICE_PREFIX = "/services/"
# Characters that a path with a query may hold; all others are escaped.
PATH_CHARACTERS = "%/:?[]@!$&'()*+,;=~"
T = TypeVar("T")


class RequestRefused(RequestFailed):
    """An entry VM refused a request or does not know its outcome.

    Attributes:
        refusal: Body of the answer.
        status: HTTP status of the answer.
    """

    def __init__(self, refusal: Refusal, status: int):
        super().__init__(refusal.outcome, refusal.reason, refusal.remedy)
        self.refusal = refusal
        self.status = status


class NoEntryReachable(RequestFailed):
    """No entry VM was reached, so nothing was run.

    Attributes:
        attempts: What each entry VM did, one text each.
    """

    def __init__(self, attempts: list[str]):
        remedy = "check --entry and the network; tried " + "; ".join(attempts)
        super().__init__(Outcome.NOT_RUN, Reason.CONNECT_FAILED.value, remedy)
        self.attempts = attempts


@dataclass
class ServiceAnswer:
    """The outcome of a caller's request to a service.

    Attributes:
        outcome: What is known of the request.
        status: Status of the executor, or of the refusal.
        headers: Header fields of the answer.
        body: Whole body of the answer.
        refusal: Details when the outcome is not ``done``.
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
    method: str
    path: str
    body: bytes = b""
    headers: list[Header] = field(default_factory=list)
    repeatable: bool = False


def new_uuid7(
    clock: Clock, random_bits: Callable[[int], int] = secrets.randbits
) -> str:
    """Returns a UUIDv7 whose creation time is now."""
    milliseconds = int(clock.wall() * 1000) & (1 << 48) - 1
    value = milliseconds << 80 | 0x7 << 76 | random_bits(12) << 64
    value |= 0b10 << 62 | random_bits(62)
    return str(UUID(int=value))


class EntryClient:
    """Sends requests to the first entry VM that takes them.

    Args:
        addresses: IP addresses and ports of entry VMs, tried in this order.
        timeout: Seconds for one attempt.
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
            RequestFailed: It was refused, or its outcome is unknown.
        """
        body = ChangeRequest(change_id, base, author, changes)
        return await self._act("POST", "/v1/config", body, PublishResult)

    async def presets(self) -> PresetList:
        """Returns the names of the presets and the active one."""
        return await self._read("/v1/presets", PresetList)

    async def choose_preset(
        self, change_id: RecordId, base: Revision, author: str, preset: PresetName
    ) -> PublishResult:
        """Makes a preset active; like ``publish``."""
        body = PresetChoice(change_id, base, author, preset)
        return await self._act("POST", "/v1/presets", body, PublishResult)

    async def submit(self, order: JobOrder) -> list[PartAnswer]:
        """Submits a job; returns what became of each part."""
        return (await self._act("POST", "/v1/jobs", order, JobParts)).parts

    async def job(self, job_id: JobId) -> JobView:
        """Returns the state of a job."""
        return await self._read(f"/v1/jobs/{_quoted(job_id)}", JobView)

    async def cancel(self, job_id: JobId) -> JobView:
        """Cancels a job and returns its state."""
        return await self._act("DELETE", f"/v1/jobs/{_quoted(job_id)}", None, JobView)

    async def explain(self, job_id: JobId) -> Explanation:
        """Returns why a job is in its state."""
        return await self._read(f"/v1/explain/{_quoted(job_id)}", Explanation)

    async def members(self) -> list[MemberView]:
        """Returns the seats as one entry VM sees them."""
        answer = await self._read("/v1/members", dict[str, list[MemberView]])
        return answer["members"]

    async def shards(self) -> list[ShardView]:
        """Returns the shards as one entry VM sees them."""
        return (await self._read("/v1/shards", dict[str, list[ShardView]]))["shards"]

    async def counters(self) -> Counters:
        """Returns the counters of the first entry VM that answers."""
        return await self._read("/v1/counters", Counters)

    async def drain(self, vm: VmId, draining: bool) -> DrainView:
        """Starts or ends the drain of an endpoint."""
        path = f"/v1/vms/{_quoted(vm)}/drain"
        return await self._act("POST", path, DrainOrder(draining), DrainView)

    async def readiness(self) -> Readiness:
        """Returns whether the first entry VM that answers is ready."""
        answer = await self._send(_Call("GET", "/readyz", repeatable=True), frozenset())
        return _decoded(answer, Readiness, repeatable=True)

    async def request(
        self,
        service: str,
        method: str,
        path: str,
        body: bytes = b"",
        headers: list[Header] | None = None,
        key: str = "",
        workload: str = "",
    ) -> ServiceAnswer:
        """Sends a caller's request to a service.

        Args:
            service: Name of the service.
            method: HTTP method.
            path: Path below the service, with query.
            body: Body of the request.
            headers: Further header fields.
            key: Idempotency key; empty for an idempotent request.
            workload: Workload of the service; empty for the service's own.
        """
        for value in (key, workload):
            # HTTP would carry latin-1, but no key or name holds such letters.
            if not value.isascii():
                return _failed_answer(_malformed(f"{value!r} is not ASCII"), key)
        fields = list(headers or [])
        fields += [Header(KEY_HEADER, key)] if key else []
        fields += [Header(WORKLOAD_HEADER, workload)] if workload else []
        tail = quote(path.removeprefix("/"), safe=PATH_CHARACTERS)
        target = f"{SERVICE_PREFIX}{_quoted(service)}/{tail}"
        repeatable = bool(key) or method in {"GET", "HEAD"}
        call = _Call(method, target, body, fields, repeatable)
        try:
            answer = await self._send(call)
        except RequestFailed as error:
            return _failed_answer(error, key)
        return ServiceAnswer(
            Outcome.DONE, answer.status, answer.headers, answer.body, key=key
        )

    async def _read(self, path: str, kind: type[T]) -> T:
        answer = await self._send(_Call("GET", path, repeatable=True))
        return _decoded(answer, kind, repeatable=True)

    async def _act(self, method: str, path: str, body: Any, kind: type[T]) -> T:
        data = b"" if body is None else to_json(body)
        answer = await self._send(_Call(method, path, data))
        return _decoded(answer, kind, repeatable=False)

    async def _send(
        self, call: _Call, elsewhere: frozenset[str] = LOCAL_REASONS
    ) -> HttpResponse:
        """Returns the first answer with outcome ``done``.

        Args:
            call: What to send.
            elsewhere: Reasons of refusals after which the next entry VM is asked.

        Raises:
            RequestFailed: No entry VM gave such an answer.
        """
        attempts: list[str] = []
        maybe_run = False
        refused: RequestRefused | None = None
        for address in self.addresses:
            try:
                answer = await self._attempt(address, call)
            except HttpError as error:
                if error.reason is Reason.MALFORMED_REQUEST:
                    raise _malformed(str(error)) from error
                attempts.append(f"{address}: {error}")
                maybe_run |= error.sent
                if error.sent and not call.repeatable:
                    break
                continue
            refused = _refusal_in(answer, call) if elsewhere else None
            if refused is None:
                return answer
            if refused.outcome is Outcome.UNKNOWN:
                raise refused
            attempts.append(f"{address}: {refused.reason}")
            if refused.reason not in elsewhere:
                break
        raise _failure(call, attempts, maybe_run, refused)

    async def _attempt(self, address: str, call: _Call) -> HttpResponse:
        try:
            return await httpclient.request(
                address, call.method, call.path, call.body, call.headers, self._timeout
            )
        except UnicodeEncodeError as error:
            detail = f"{error.object!r} holds letters that HTTP fields do not permit"
            raise HttpError(Reason.MALFORMED_REQUEST, detail, sent=False) from error


def _quoted(part: str) -> str:
    return quote(part, safe="")


def _refusal_in(answer: HttpResponse, call: _Call) -> RequestRefused | None:
    """Returns the refusal that an answer holds, if any."""
    outcome = answer.header(OUTCOME_HEADER)
    if outcome in {"", Outcome.DONE.value}:
        if call.path.startswith("/v1/") and answer.status >= 400:
            return _foreign_refusal(answer, call)
        return None
    try:
        refusal = msgspec.json.decode(answer.body, type=Refusal)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        known = outcome == Outcome.NOT_RUN.value
        refusal = Refusal(
            Outcome.NOT_RUN if known else Outcome.UNKNOWN,
            Reason.ANSWER_INCOMPLETE.value,
            "the body of the refusal is unreadable; run one version everywhere",
        )
    return RequestRefused(refusal, answer.status)


def _foreign_refusal(answer: HttpResponse, call: _Call) -> RequestRefused:
    """Returns a refusal for an error that is not in the form of entry VMs."""
    # The HTTP layer answers 4xx before the request reaches a handler.
    known = call.method == "GET" or answer.status < 500
    outcome = Outcome.NOT_RUN if known else Outcome.UNKNOWN
    text = answer.body[:200].decode("utf-8", "replace")
    remedy = f"check that --entry names an entry VM; it said {answer.status} {text!r}"
    return RequestRefused(Refusal(outcome, "http_error", remedy), answer.status)


def _failure(
    call: _Call, attempts: list[str], maybe_run: bool, refused: RequestRefused | None
) -> RequestFailed:
    """Returns the error that tells the truth about all attempts together."""
    # A read of an entry VM has no effect; a request to a service may have one.
    effect = not call.repeatable or call.path.startswith(SERVICE_PREFIX)
    if maybe_run and effect:
        remedy = "it may have run; query before another attempt: "
        return RequestFailed(
            Outcome.UNKNOWN,
            Reason.CONNECTION_LOST.value,
            remedy + "; ".join(attempts),
        )
    return refused or NoEntryReachable(attempts)


def _malformed(detail: str) -> RequestFailed:
    remedy = f"correct the path and the headers ({detail})"
    return RequestFailed(Outcome.NOT_RUN, Reason.MALFORMED_REQUEST.value, remedy)


def _failed_answer(error: RequestFailed, key: str) -> ServiceAnswer:
    refusal = Refusal(error.outcome, error.reason, error.remedy)
    status = 0
    if isinstance(error, RequestRefused):
        refusal, status = error.refusal, error.status
    return ServiceAnswer(error.outcome, status, refusal=refusal, key=key)


def _decoded(answer: HttpResponse, kind: type[T], repeatable: bool) -> T:
    try:
        return msgspec.json.decode(answer.body, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        outcome = Outcome.NOT_RUN if repeatable else Outcome.UNKNOWN
        remedy = f"check that --entry names an entry VM of this version ({error})"
        reason = Reason.ANSWER_INCOMPLETE.value
        raise RequestFailed(outcome, reason, remedy) from error
