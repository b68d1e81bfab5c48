"""Sends a request to an executor and classifies the outcome of the attempt."""

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

# Longest wait in seconds for a connection to an executor.
CONNECT_TIMEOUT_S = 0.25
# Header fields that are not forwarded to executors.
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
        deadline: Monotonic time in seconds by which the response is needed.
        idle_timeout: Seconds without a received byte after which
            ``should_give_up`` is called.
        max_connection_idle: Longest time in seconds for which a reused connection
            may have been idle; 0 requires a new one.
        should_give_up: Called with whether the connection is new; returns whether
            to end the attempt.
    """

    request: ForwardRequest
    record: VmRecord
    deadline: float
    idle_timeout: float
    max_connection_idle: float
    should_give_up: Callable[[bool], bool]


class Dispatcher:
    """Sends requests to executors.

    Args:
        pool: Connections to executors.
        clock: Monotonic time.
        may_send: Called with the monotonic time immediately before each send;
            returns whether this process may still send.
        max_body: Largest accepted response body in bytes.
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
        """Runs one attempt and returns its result."""
        refusal = self._expired_refusal(attempt)
        if refusal:
            return refusal
        now = self._clock.now()
        try:
            connection = await self._pool.acquire(
                attempt.record.id,
                attempt.record.address,
                attempt.max_connection_idle,
                max(0.001, min(CONNECT_TIMEOUT_S, attempt.deadline - now)),
            )
        except HttpError as error:
            return NotRun(error.reason, str(error))
        refusal = self._expired_refusal(attempt)
        if refusal:
            await self._pool.discard(connection)
            return refusal
        return await self._exchange(attempt, connection)

    def _expired_refusal(self, attempt: Attempt) -> NotRun | None:
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
            response = await connection.http.exchange(
                request.method,
                request.path,
                _request_headers(request),
                request.body,
                attempt.deadline - sent_at,
                self._max_body,
                attempt.idle_timeout,
                self._idle_timeout_handler(attempt, connection.is_new),
            )
        except HttpError as error:
            return await self._handle_failure(attempt, connection, sent_at, error)
        except BaseException:
            await self._pool.discard(connection, sent_at + self._max_request_time)
            raise
        seconds = self._clock.now() - sent_at
        await self._pool.release(connection)
        return _result_from_response(response, seconds)

    def _idle_timeout_handler(
        self, attempt: Attempt, is_new: bool
    ) -> Callable[[], Awaitable[bool]]:
        async def on_idle_timeout() -> bool:
            await self._pool.abort_idle(attempt.record.id)
            return attempt.should_give_up(is_new)

        return on_idle_timeout

    async def _handle_failure(
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
    forwarded = [h for h in request.headers if h.name.lower() not in DROPPED_HEADERS]
    return [*forwarded, Header(REQUEST_ID_HEADER, request.request_id)]


def _result_from_response(response: HttpResponse, seconds: float) -> AttemptResult:
    leaving = response.header(LEAVING_HEADER).lower() == "true"
    not_run_detail = response.header(NOT_RUN_HEADER)
    if not not_run_detail:
        return Done(response, leaving, seconds)
    reason = Reason.ENDPOINT_LEAVING if leaving else Reason.ENDPOINT_REFUSED
    return NotRun(reason, not_run_detail, leaving)
