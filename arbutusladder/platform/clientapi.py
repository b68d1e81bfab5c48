"""HTTP API for the platform's clients: submits, shows and cancels jobs.

It also reports the length of a queue. The module keeps no state of its own; jobs are
in the cell member, queues and keys in the view of the configuration.
"""

import re
from http import HTTPStatus

import msgspec

from arbutusladder import events
from arbutusladder.access.callers import (
    Caller,
    UnknownCaller,
    Unrestricted,
    identify_caller,
    team_of_new_job,
)
from arbutusladder.access.configview import ConfigView
from arbutusladder.cell.celljobs import critical_path_s
from arbutusladder.cell.member import Member
from arbutusladder.cell.states import SubmissionOutcome
from arbutusladder.clock import Clock
from arbutusladder.errors import JobExceedsCap, JobTooLarge, LogUnavailable, NoRoom
from arbutusladder.httpclient import HttpResponse
from arbutusladder.httpserver import HttpRequest
from arbutusladder.ids import JobId
from arbutusladder.journal import Journal
from arbutusladder.messages import Header, SubmittedJob
from arbutusladder.metrics import Metrics
from arbutusladder.platform.jobaccess import JobAccess
from arbutusladder.platform.jobbody import JOB_ID_PATTERN, decode_job
from arbutusladder.platform.routes import Queue, RoutingTable
from arbutusladder.platform.workers import JSON_HEADER

# Request header with the key of a team.
API_KEY_HEADER = "X-Api-Key"
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
        view: View of the configuration.
        clock: Clock of this process.
        journal: Event log.
        metrics: Counters.
    """

    def __init__(
        self,
        member: Member,
        view: ConfigView[RoutingTable],
        clock: Clock,
        journal: Journal,
        metrics: Metrics,
    ):
        self._member = member
        self._view = view
        self._access = JobAccess(member, clock)
        self._clock = clock
        self._journal = journal
        self._metrics = metrics

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handles one request to the path of a queue or of a job in it.

        While the version of the configuration in force is not known, no key can be
        checked, and nothing else is done.
        """
        table = self._view.config
        if table is None:
            return self._refuse("no_configuration")
        if not self._view.may_serve(self._clock.now_with_suspensions()):
            return self._refuse("configuration_outdated")
        queue = table.find_queue(request.host, request.path)
        key = request.header(API_KEY_HEADER).encode("latin-1")
        caller = identify_caller(table.keys, key, queue is not None and queue.public)
        if isinstance(caller, UnknownCaller):
            self._metrics.count("refused.unknown_key")
            return _json_answer(
                HTTPStatus.UNAUTHORIZED,
                {"error": "unknown key"},
                [Header("WWW-Authenticate", API_KEY_HEADER)],
            )
        if queue is None:
            return _json_answer(HTTPStatus.NOT_FOUND, {"error": "no such queue"})
        path_suffix = request.path[len(queue.path_prefix) :]
        needs_jobs = request.method == "GET" or caller != Unrestricted()
        if needs_jobs and not self._member.loaded:
            return self._refuse("not_loaded")
        if not path_suffix and request.method == "GET":
            pending = self._member.table.waiting_job_count(queue.terms.name)
            return _json_answer(HTTPStatus.OK, {"pending": pending})
        if not JOB_ID_PATTERN.fullmatch(path_suffix):
            return _json_answer(
                HTTPStatus.NOT_FOUND, {"error": "an ID has 16 hex digits"}
            )
        return await self._handle_job(request, caller, queue, JobId(path_suffix))

    async def _handle_job(
        self, request: HttpRequest, caller: Caller, queue: Queue, job_id: JobId
    ) -> HttpResponse:
        deadline = self._response_deadline(request, queue)
        match request.method:
            case "POST":
                return await self._submit(request, caller, queue, job_id, deadline)
            case "GET":
                return await self._get_state(caller, queue, job_id)
            case "DELETE":
                return await self._cancel(caller, queue, job_id, deadline)
            case _:
                return _json_answer(
                    HTTPStatus.METHOD_NOT_ALLOWED, {"error": "use POST"}
                )

    async def _submit(
        self,
        request: HttpRequest,
        caller: Caller,
        queue: Queue,
        job_id: JobId,
        deadline: float,
    ) -> HttpResponse:
        team = team_of_new_job(caller)
        wall_time = self._clock.wall_time()
        try:
            record = decode_job(job_id, request.body, queue.terms, wall_time, team)
        except msgspec.MsgspecError as error:
            return _json_answer(HTTPStatus.BAD_REQUEST, {"error": str(error)})
        except JobTooLarge as error:
            return self._refuse_too_large(error)
        received_at = self._clock.now()
        retry_s = retry_after_s(record)
        try:
            outcome = await self._store(caller, queue, record, deadline)
        except NoRoom as error:
            outcome, retry_s = SubmissionOutcome.NO_ROOM, error.retry_after_s
        except JobTooLarge as error:
            return self._refuse_too_large(error)
        except JobExceedsCap as error:
            self._metrics.count("refused.job_exceeds_cap")
            return _json_answer(HTTPStatus.UNPROCESSABLE_ENTITY, {"error": str(error)})
        # Also after the store: two teams may have used a new id at the same time.
        if not self._access.is_allowed(caller, queue, job_id):
            self._metrics.count("refused.id_of_other_team")
            return _json_answer(HTTPStatus.CONFLICT, {"error": "id in use"})
        self._metrics.timing("submission", self._clock.now() - received_at)
        self._journal.write(
            events.JOB_SUBMITTED,
            job=job_id,
            queue=queue.terms.name,
            outcome=outcome.value,
            seconds=self._clock.now() - received_at,
        )
        return self._answer_for_outcome(outcome, retry_s)

    async def _store(
        self, caller: Caller, queue: Queue, record: SubmittedJob, deadline: float
    ) -> SubmissionOutcome:
        """Stores a job, unless its id is found to belong to another team."""
        job_id = record.job_id
        try:
            if not await self._access.may_submit(caller, queue, job_id, deadline):
                return SubmissionOutcome.NOT_STORED
        except LogUnavailable:
            # Nothing was appended, unless an earlier submission of the job was.
            if not self._member.is_in_doubt(job_id):
                return SubmissionOutcome.NOT_STORED
        return await self._member.submit(record, deadline)

    async def _get_state(
        self, caller: Caller, queue: Queue, job_id: JobId
    ) -> HttpResponse:
        try:
            if not await self._access.may_use(caller, queue, job_id):
                return self._hide_job()
            phase = await self._member.lookup(job_id)
        except LogUnavailable:
            return self._refuse("log_unavailable")
        if phase is None:
            return _no_such_job()
        return _json_answer(HTTPStatus.OK, {"state": phase.value})

    async def _cancel(
        self, caller: Caller, queue: Queue, job_id: JobId, deadline: float
    ) -> HttpResponse:
        try:
            if not await self._access.may_use(caller, queue, job_id):
                return self._hide_job()
            outcome = await self._member.cancel(job_id, deadline)
        except LogUnavailable:
            return self._refuse("log_unavailable")
        if outcome is None:
            return _no_such_job()
        self._journal.write(
            events.JOB_CANCEL_REQUESTED,
            job=job_id,
            outcome=outcome.value,
            offset=self._member.table.cancel_offset(job_id),
        )
        return self._answer_for_outcome(outcome)

    def _hide_job(self) -> HttpResponse:
        """Returns the response for an unknown job, and counts a job of another team."""
        self._metrics.count("refused.job_of_other_team")
        return _no_such_job()

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

    def _refuse_too_large(self, error: JobTooLarge) -> HttpResponse:
        self._metrics.count("refused.job_too_large")
        return _json_answer(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, {"error": str(error)})

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


def _no_such_job() -> HttpResponse:
    return _json_answer(HTTPStatus.GONE, {"error": "no such job"})


def _json_answer(
    status: HTTPStatus, body: dict, headers: list[Header] | None = None
) -> HttpResponse:
    return HttpResponse(
        int(status), [JSON_HEADER, *(headers or [])], msgspec.json.encode(body)
    )
