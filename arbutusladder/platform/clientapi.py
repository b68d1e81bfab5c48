"""HTTP API for the platform's clients: submits, shows and cancels jobs.

It also reports the length of a queue. The module keeps no state of its own; jobs are
in the cell member and queues in the routing table.
"""

import re
from collections.abc import Callable
from http import HTTPStatus

import msgspec

from arbutusladder import events
from arbutusladder.cell.celljobs import critical_path_s
from arbutusladder.cell.member import Member
from arbutusladder.cell.states import SubmissionOutcome
from arbutusladder.clock import Clock
from arbutusladder.errors import JobTooLarge, LogUnavailable, NoRoom
from arbutusladder.httpclient import HttpResponse
from arbutusladder.httpserver import HttpRequest
from arbutusladder.ids import JobId
from arbutusladder.journal import Journal
from arbutusladder.messages import Header, SubmittedJob
from arbutusladder.metrics import Metrics
from arbutusladder.platform.jobbody import JOB_ID_PATTERN, decode_job
from arbutusladder.platform.routes import Queue, RoutingTable
from arbutusladder.platform.workers import JSON_HEADER

# Request header with the client's timeout in milliseconds after arrival.
DEADLINE_HEADER = "X-Arbutusladder-Request-Deadline-Ms"
# Milliseconds as they may stand in it; longer numbers exceed every timeout.
DEADLINE_PATTERN = re.compile(r"[0-9]{1,9}")
# Seconds of a client's timeout that are reserved for sending the response.
RESPONSE_MARGIN_S = 0.25
# Bounds in seconds of the Retry-After value of refused requests. Outages of the log
# last seconds and clients retry only a few times, so a client is asked to wait for a
# fraction of its job's time objective, which is longer for a long objective.
MIN_RETRY_AFTER_S = 1
MAX_RETRY_AFTER_S = 3
RETRY_FRACTION_OF_OBJECTIVE = 0.2


class ClientApi:
    """Handles the requests of clients.

    Args:
        member: Cell member of this entry VM.
        get_routes: Returns the routing table in force, or None before the first
            configuration was read.
        clock: Clock of this process.
        journal: Event log.
        metrics: Counters.
    """

    def __init__(
        self,
        member: Member,
        get_routes: Callable[[], RoutingTable | None],
        clock: Clock,
        journal: Journal,
        metrics: Metrics,
    ):
        self._member = member
        self._get_routes = get_routes
        self._clock = clock
        self._journal = journal
        self._metrics = metrics

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handles one request to the path of a queue or of a job in it."""
        table = self._get_routes()
        if table is None:
            return self._refuse("no_configuration")
        queue = table.find_queue(request.host, request.path)
        if queue is None:
            return _json_answer(HTTPStatus.NOT_FOUND, {"error": "no such queue"})
        path_suffix = request.path[len(queue.path_prefix) :]
        if request.method == "GET" and not self._member.loaded:
            return self._refuse("not_loaded")
        if not path_suffix and request.method == "GET":
            pending = self._member.table.waiting_job_count(queue.terms.name)
            return _json_answer(HTTPStatus.OK, {"pending": pending})
        if not JOB_ID_PATTERN.fullmatch(path_suffix):
            return _json_answer(
                HTTPStatus.NOT_FOUND, {"error": "an ID has 16 hex digits"}
            )
        job_id = JobId(path_suffix)
        deadline = self._response_deadline(request, queue)
        match request.method:
            case "POST":
                return await self._submit(request, queue, job_id, deadline)
            case "GET":
                return await self._get_state(job_id)
            case "DELETE":
                return await self._cancel(job_id, deadline)
            case _:
                return _json_answer(
                    HTTPStatus.METHOD_NOT_ALLOWED, {"error": "use POST"}
                )

    async def _submit(
        self, request: HttpRequest, queue: Queue, job_id: JobId, deadline: float
    ) -> HttpResponse:
        try:
            record = decode_job(
                job_id, request.body, queue.terms, self._clock.wall_time()
            )
        except msgspec.MsgspecError as error:
            return _json_answer(HTTPStatus.BAD_REQUEST, {"error": str(error)})
        received_at = self._clock.now()
        retry_s = retry_after_s(record)
        try:
            outcome = await self._member.submit(record, deadline)
        except NoRoom as error:
            outcome, retry_s = SubmissionOutcome.NO_ROOM, error.retry_after_s
        except JobTooLarge as error:
            self._metrics.count("refused.job_too_large")
            return _json_answer(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE, {"error": str(error)}
            )
        self._metrics.timing("submission", self._clock.now() - received_at)
        self._journal.write(
            events.JOB_SUBMITTED,
            job=job_id,
            queue=queue.terms.name,
            outcome=outcome.value,
            seconds=self._clock.now() - received_at,
        )
        return self._answer_for_outcome(outcome, retry_s)

    async def _get_state(self, job_id: JobId) -> HttpResponse:
        try:
            phase = await self._member.lookup(job_id)
        except LogUnavailable:
            return self._refuse("log_unavailable")
        if phase is None:
            return _json_answer(HTTPStatus.GONE, {"error": "no such job"})
        return _json_answer(HTTPStatus.OK, {"state": phase.value})

    async def _cancel(self, job_id: JobId, deadline: float) -> HttpResponse:
        try:
            outcome = await self._member.cancel(job_id, deadline)
        except LogUnavailable:
            return self._refuse("log_unavailable")
        if outcome is None:
            return _json_answer(HTTPStatus.GONE, {"error": "no such job"})
        self._journal.write(
            events.JOB_CANCEL_REQUESTED,
            job=job_id,
            outcome=outcome.value,
            offset=self._member.table.cancel_offset(job_id),
        )
        return self._answer_for_outcome(outcome)

    def _answer_for_outcome(
        self, outcome: SubmissionOutcome, retry_s: int = MIN_RETRY_AFTER_S
    ) -> HttpResponse:
        """Returns the response to a submission or cancellation, and counts it."""
        self._metrics.count(f"submissions.{outcome.value}")
        match outcome:
            case SubmissionOutcome.ACCEPTED:
                return _json_answer(HTTPStatus.OK, {})
            case SubmissionOutcome.NO_ROOM:
                return self._refuse("no_room", retry_s)
            case SubmissionOutcome.NOT_STORED:
                return self._refuse("not_stored", retry_s)
            case SubmissionOutcome.UNKNOWN:
                return _json_answer(HTTPStatus.GATEWAY_TIMEOUT, {"error": "unknown"})

    def _refuse(self, reason: str, retry_s: int = MIN_RETRY_AFTER_S) -> HttpResponse:
        """Returns a 503 response with Retry-After, and counts it by reason."""
        self._metrics.count(f"refused.{reason}")
        return _json_answer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            {"error": reason},
            [Header("Retry-After", str(retry_s))],
        )

    def _response_deadline(self, request: HttpRequest, queue: Queue) -> float:
        """Returns the time by which the outcome of a request must be known."""
        wait_s = queue.timeout_s
        header_value = request.header(DEADLINE_HEADER)
        if DEADLINE_PATTERN.fullmatch(header_value):
            wait_s = min(wait_s, int(header_value) / 1000)
        return self._clock.now() + max(0.0, wait_s - RESPONSE_MARGIN_S)


def retry_after_s(record: SubmittedJob) -> int:
    """Returns the Retry-After value of a refused job in seconds."""
    queue = record.queue
    objective = queue.stretch * critical_path_s(record) + queue.objective_s
    retry_s = int(objective * RETRY_FRACTION_OF_OBJECTIVE)
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, retry_s))


def _json_answer(
    status: HTTPStatus, body: dict, headers: list[Header] | None = None
) -> HttpResponse:
    return HttpResponse(
        int(status), [JSON_HEADER, *(headers or [])], msgspec.json.encode(body)
    )
