"""Refusals of requests and connections that reach a limit, with their counters."""

import enum
from collections import Counter
from http import HTTPStatus

from arbutusladder import events
from arbutusladder.errors import ArbutusladderError
from arbutusladder.journal import Journal
from arbutusladder.metrics import Metrics
from arbutusladder.states import Reason

# Seconds after which a client may try again when the server is short of memory.
RETRY_AFTER_S = 1
# Shortest time between two log lines about the same limit.
LOG_INTERVAL_S = 10.0


class Limit(enum.Enum):
    """A limit; the value is its name in the counter ``input_limits.NAME``."""

    BODY_BYTES = "body_bytes"
    HEAD_BYTES = "head_bytes"
    HEAD_FIELDS = "head_fields"
    HEAD_TIME = "head_time"
    READ_TIME = "read_time"
    CHUNKS = "chunks"
    UNFINISHED_BYTES = "unfinished_bytes"
    PROCESSOR_TIME = "processor_time"
    CONNECTIONS = "connections"
    PEER_CONNECTIONS = "peer_connections"
    DESCRIPTORS = "descriptors"
    DISCARDS = "discards"


# Status and reason of the refusal of a request that reaches a limit.
STATUS_BY_LIMIT = {
    Limit.BODY_BYTES: (HTTPStatus.REQUEST_ENTITY_TOO_LARGE, Reason.BODY_TOO_LARGE),
    Limit.HEAD_BYTES: (
        HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
        Reason.MALFORMED_REQUEST,
    ),
    Limit.HEAD_FIELDS: (
        HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
        Reason.MALFORMED_REQUEST,
    ),
    Limit.HEAD_TIME: (HTTPStatus.REQUEST_TIMEOUT, Reason.REQUEST_INCOMPLETE),
    Limit.READ_TIME: (HTTPStatus.REQUEST_TIMEOUT, Reason.REQUEST_INCOMPLETE),
    Limit.CHUNKS: (HTTPStatus.BAD_REQUEST, Reason.MALFORMED_REQUEST),
    Limit.UNFINISHED_BYTES: (
        HTTPStatus.SERVICE_UNAVAILABLE,
        Reason.UNFINISHED_BYTES_FULL,
    ),
    Limit.PROCESSOR_TIME: (
        HTTPStatus.SERVICE_UNAVAILABLE,
        Reason.UNFINISHED_BYTES_FULL,
    ),
}


class RequestRefused(ArbutusladderError):
    """A request reaches a limit before the handler has seen it.

    Attributes:
        limit: The limit.
        status: Status of the response.
        reason: Reason in the response.
        retry_after_s: Seconds after which the client may try again; 0 if the fault
            is its own.
    """

    def __init__(self, limit: Limit, detail: str):
        super().__init__(detail)
        self.limit = limit
        self.status, self.reason = STATUS_BY_LIMIT[limit]
        is_shortage = self.status is HTTPStatus.SERVICE_UNAVAILABLE
        self.retry_after_s = RETRY_AFTER_S if is_shortage else 0


def memory_shortage() -> RequestRefused:
    """Returns the refusal of a request for which there is no memory."""
    return RequestRefused(
        Limit.UNFINISHED_BYTES,
        "the server is short of memory for requests; retry after the given time",
    )


def processor_shortage() -> RequestRefused:
    """Returns the refusal of a request for which there is no processor time."""
    return RequestRefused(
        Limit.PROCESSOR_TIME,
        "the server is short of processor time for requests; retry after the given "
        "time, with fewer and larger parts",
    )


class RefusalLog:
    """Counts refusals, and logs them at a bounded rate.

    Args:
        metrics: Counters.
        journal: Event log; None to log nothing.
    """

    def __init__(self, metrics: Metrics, journal: Journal | None):
        self._metrics = metrics
        self._journal = journal
        self._unlogged: Counter[Limit] = Counter()
        self._next_line_at: dict[Limit, float] = {}

    def add(self, limit: Limit, peer: str, now: float) -> None:
        """Counts a refused request or a closed connection.

        Args:
            limit: Limit that was reached.
            peer: Address of the client.
            now: Present monotonic time in seconds.
        """
        self._metrics.count(f"input_limits.{limit.value}")
        self._unlogged[limit] += 1
        if self._journal is None or now < self._next_line_at.get(limit, now):
            return
        self._next_line_at[limit] = now + LOG_INTERVAL_S
        self._journal.write(
            events.CLIENT_LIMIT_REACHED,
            limit=limit.value,
            count=self._unlogged.pop(limit),
            peer=peer,
        )
