"""Runs one request on an executor and returns what is known of it."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from arbutusladder.clock import Clock
from arbutusladder.connections import EndpointConnectionPool, PooledConnection
from arbutusladder.errors import HttpError
from arbutusladder.headernames import LEAVING_HEADER, NOT_RUN_HEADER, REQUEST_ID_HEADER
from arbutusladder.httpclient import HOP_BY_HOP_HEADERS, HttpResponse
from arbutusladder.messages import ForwardRequest, Header, VmRecord
from arbutusladder.retries import AttemptResult, Done, NotRun, Unknown
from arbutusladder.states import Reason

CONNECT_TIMEOUT_S = 0.25
DROPPED_HEADERS = HOP_BY_HOP_HEADERS | {
    "expect",
    "te",
    "trailer",
    "upgrade",
    REQUEST_ID_HEADER.lower(),
}


@dataclass
class Attempt:
    """One attempt to run a request.

    Attributes:
        request: The request.
        record: The executor.
        deadline: Monotonic time by which the answer is needed.
        silence: Seconds without a byte after which the executor is silent.
        max_idle: Seconds since the last answer on an accepted connection.
        may_give_up: Asked when the executor is silent, with whether the
            connection is new; true ends the attempt.
    """

    request: ForwardRequest
    record: VmRecord
    deadline: float
    silence: float
    max_idle: float
    may_give_up: Callable[[bool], bool]


class Dispatcher:
    """Sends requests to executors.

    Args:
        pool: Connections.
        clock: Monotonic time.
        may_send: Asked immediately before each send whether this process may
            still send; it receives the monotonic time.
        max_body: Largest accepted answer in bytes.
        max_request_time: Seconds for which an executor may run a request.
    """

    def __init__(
        self,
        pool: EndpointConnectionPool,
        clock: Clock,
        may_send: Callable[[float], bool],
        max_body: int,
        max_request_time: float,
    ):
        self._pool = pool
        self._clock = clock
        self._may_send = may_send
        self._max_body = max_body
        self._max_request_time = max_request_time

    async def run(self, attempt: Attempt) -> AttemptResult:
        """Runs one attempt."""
        refusal = self._check(attempt)
        if refusal:
            return refusal
        now = self._clock.now()
        try:
            connection = await self._pool.acquire(
                attempt.record.id,
                attempt.record.address,
                attempt.max_idle,
                max(0.001, min(CONNECT_TIMEOUT_S, attempt.deadline - now)),
            )
        except HttpError as error:
            return NotRun(error.reason, str(error))
        refusal = self._check(attempt)
        if refusal:
            await self._pool.discard(connection)
            return refusal
        return await self._exchange(attempt, connection)

    def _check(self, attempt: Attempt) -> NotRun | None:
        now = self._clock.now()
        if now >= attempt.deadline:
            return NotRun(Reason.DEADLINE_PASSED)
        if not self._may_send(now):
            return NotRun(Reason.OWNERSHIP_EXPIRED)
        return None

    async def _exchange(
        self, attempt: Attempt, connection: PooledConnection
    ) -> AttemptResult:
        sent_at = self._clock.now()
        request = attempt.request
        try:
            answer = await connection.http.exchange(
                request.method,
                request.path,
                _request_headers(request),
                request.body,
                attempt.deadline - sent_at,
                self._max_body,
                attempt.silence,
                self._silence_handler(attempt, connection.is_new),
            )
        except HttpError as error:
            return await self._failed(attempt, connection, sent_at, error)
        except BaseException:
            await self._pool.discard(connection, sent_at + self._max_request_time)
            raise
        seconds = self._clock.now() - sent_at
        await self._pool.release(connection)
        return _result(answer, seconds)

    def _silence_handler(
        self, attempt: Attempt, is_new: bool
    ) -> Callable[[], Awaitable[bool]]:
        async def on_silence() -> bool:
            await self._pool.abort_idle(attempt.record.id)
            return attempt.may_give_up(is_new)

        return on_silence

    async def _failed(
        self,
        attempt: Attempt,
        connection: PooledConnection,
        sent_at: float,
        error: HttpError,
    ) -> AttemptResult:
        if not error.sent:
            await self._pool.discard(connection)
            return NotRun(error.reason, str(error))
        await self._pool.discard(connection, sent_at + self._max_request_time)
        if error.reason is Reason.ATTEMPT_TIMEOUT:
            await self._pool.abort_idle(attempt.record.id)
        return Unknown(error.reason, sent_at, connection.is_new, str(error))


def _request_headers(request: ForwardRequest) -> list[Header]:
    kept = [h for h in request.headers if h.name.lower() not in DROPPED_HEADERS]
    return [*kept, Header(REQUEST_ID_HEADER, request.request_id)]


def _result(answer: HttpResponse, seconds: float) -> AttemptResult:
    leaving = answer.header(LEAVING_HEADER).lower() == "true"
    refused = answer.header(NOT_RUN_HEADER)
    if not refused:
        return Done(answer, leaving, seconds)
    reason = Reason.ENDPOINT_LEAVING if leaving else Reason.ENDPOINT_REFUSED
    return NotRun(reason, refused, leaving)
