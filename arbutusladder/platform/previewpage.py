"""HTTP page for operators that tells where a job would be placed now.

It is on the port of the metrics, which clients must not reach: a preview names workers
and what teams have running.
"""

from collections.abc import Iterable
from http import HTTPStatus

import msgspec

from arbutusladder.access.configview import ConfigView
from arbutusladder.cell.preview.decision import PREVIEW_JOB_ID
from arbutusladder.cell.preview.service import PreviewService
from arbutusladder.clock import Clock
from arbutusladder.errors import (
    ArbutusladderError,
    JobExceedsCap,
    JobTooLarge,
    PreviewUnavailable,
)
from arbutusladder.httpclient import HttpResponse
from arbutusladder.httpserver import Handler, HttpRequest
from arbutusladder.ids import TeamName
from arbutusladder.messages import SubmittedJob
from arbutusladder.platform.jobbody import decode_job
from arbutusladder.platform.jsonbody import decode_json
from arbutusladder.platform.routes import Queue, RoutingTable
from arbutusladder.platform.workers import JSON_HEADER

PREVIEW_PATH = "/preview"
# Largest question in bytes: a job of the usual size limit, and the names beside it.
MAX_QUESTION_BYTES = 262144 + 4096


class PreviewQuestion(msgspec.Struct, forbid_unknown_fields=True):
    """Question of an operator.

    Attributes:
        job: Body of the submission as clients send it.
        queue: Name of the queue; empty if host and path tell it.
        host: Host under which clients reach the queue.
        path: Path under which they do.
        team: Team of the caller; empty for none.
    """

    job: msgspec.Raw
    queue: str = ""
    host: str = ""
    path: str = ""
    team: TeamName = TeamName("")


class UnknownName(ArbutusladderError):
    """A question names a queue or team that the configuration does not have."""


class PreviewPage:
    """Serves previews, and passes requests for other paths on.

    Args:
        previews: Previews on this entry VM.
        view: View of the configuration.
        clock: Clock of this process.
        other_pages: Handler of requests for other paths.
    """

    def __init__(
        self,
        previews: PreviewService,
        view: ConfigView[RoutingTable],
        clock: Clock,
        other_pages: Handler,
    ):
        self._previews = previews
        self._view = view
        self._clock = clock
        self._other_pages = other_pages

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Returns the response to a request."""
        if request.path != PREVIEW_PATH:
            return await self._other_pages(request)
        if request.method != "POST":
            return _refusal(HTTPStatus.METHOD_NOT_ALLOWED, "use POST")
        try:
            record = self._decode(request.body)
            preview = await self._previews.preview(record)
        except msgspec.MsgspecError as error:
            return _refusal(HTTPStatus.BAD_REQUEST, str(error))
        except UnknownName as error:
            return _refusal(HTTPStatus.NOT_FOUND, str(error))
        except JobTooLarge as error:
            return _refusal(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, str(error))
        except JobExceedsCap as error:
            return _refusal(HTTPStatus.UNPROCESSABLE_ENTITY, str(error))
        except PreviewUnavailable as error:
            return _refusal(HTTPStatus.SERVICE_UNAVAILABLE, str(error))
        return HttpResponse(200, [JSON_HEADER], msgspec.json.encode(preview))

    def _decode(self, body: bytes) -> SubmittedJob:
        question = decode_json(body, PreviewQuestion)
        table = self._view.config
        if table is None:
            raise PreviewUnavailable("this entry VM has not read the configuration yet")
        if question.team and question.team not in table.terms_by_team:
            raise UnknownName(
                f"no team {question.team!r} in version {table.version} of the "
                f"configuration; its teams are {_listed(table.terms_by_team)}"
            )
        terms = _find_queue(table, question).terms
        wall_time = self._clock.wall_time()
        job = bytes(question.job)
        return decode_job(PREVIEW_JOB_ID, job, terms, wall_time, question.team)


def _find_queue(table: RoutingTable, question: PreviewQuestion) -> Queue:
    queue_by_name = {
        queue.terms.name: queue
        for queues in table.queues_by_host.values()
        for queue in queues
    }
    queue = queue_by_name.get(question.queue)
    if not question.queue:
        queue = table.find_queue(question.host, question.path)
    if queue is None:
        what = question.queue or question.host + question.path
        raise UnknownName(
            f"no queue {what!r} in version {table.version} of the configuration; "
            f"its queues are {_listed(queue_by_name)}"
        )
    return queue


def _listed(names: Iterable[str]) -> str:
    return ", ".join(sorted(names)) or "none"


def _refusal(status: HTTPStatus, problem: str) -> HttpResponse:
    return HttpResponse(
        int(status), [JSON_HEADER], msgspec.json.encode({"error": problem})
    )
