"""HTTP client of the log service, and encoding of record bodies.

`LogClient` owns its idle connections.
"""

from collections.abc import Iterable
from typing import Any

import msgspec

from arbutusladder import codec, messages
from arbutusladder.errors import HttpError, LogUnavailable, ProtocolError
from arbutusladder.httpclient import HttpConnection, HttpResponse
from arbutusladder.messages import AppendRecords, AppendResult, NewRecord, ReadResult
from arbutusladder.metrics import Metrics
from arbutusladder.states import Reason

STREAM_CONFIG = "config"
STREAM_OWNERSHIP = "ownership"
STREAM_JOBS = "jobs"

# Seconds for one exchange by default, without the wait of a long poll.
DEFAULT_TIMEOUT_S = 5.0
# Idle connections that are kept for reuse.
MAX_IDLE_CONNECTIONS = 4
# Default limit of the records in one read.
MAX_READ_RECORDS = 1000
# Error statuses by which the log service reports that it did not apply the request.
NOT_APPLIED_STATUSES = frozenset({400, 403, 404, 413, 429, 503})


def encode_body(message: Any) -> str:
    """Encodes a message with its type name as a record body."""
    return codec.to_json((type(message).__name__, message)).decode()


def decode_body(body: str, extra_types: Iterable[type] = ()) -> Any:
    """Decodes a record body.

    Args:
        body: Body written by `encode_body`.
        extra_types: Message types that are not defined in the messages module.

    Raises:
        ProtocolError: The body is not a message of this version.
    """
    name, encoded_fields = codec.from_json(body, tuple[str, msgspec.Raw])
    types_by_name = {extra.__name__: extra for extra in extra_types}
    message_type = types_by_name.get(name) or getattr(messages, name, None)
    if not isinstance(message_type, type):
        raise ProtocolError(f"record of unknown type {name!r}; upgrade this node")
    return codec.from_json(bytes(encoded_fields), message_type)


class LogClient:
    """Appends to and reads from streams of the log service.

    Concurrent curio tasks may share one client; each exchange takes a connection
    from a small pool.

    Args:
        address: IP address and port of the log service.
        timeout: Seconds for one exchange, without the wait of a long poll.
        metrics: Counters of exchanges and bytes.
    """

    def __init__(
        self,
        address: str,
        timeout: float = DEFAULT_TIMEOUT_S,
        metrics: Metrics | None = None,
    ):
        self.address = address
        self._timeout = timeout
        self._metrics = metrics or Metrics()
        self._idle: list[HttpConnection] = []

    async def append(self, stream: str, records: list[NewRecord]) -> list[int]:
        """Appends records in order.

        Returns:
            The offset of each record.

        Raises:
            LogUnavailable: The append was not confirmed; ``maybe_applied`` is
                true if it may have taken effect.
        """
        body = codec.to_json(AppendRecords(records))
        response = await self._exchange(
            "POST", _records_path(stream), body, self._timeout
        )
        _raise_for_status(response)
        return _decode(response, AppendResult).offsets

    async def read(
        self,
        stream: str,
        start: int,
        max_records: int = MAX_READ_RECORDS,
        wait_s: float = 0.0,
    ) -> ReadResult:
        """Reads records, starting at an offset.

        Args:
            stream: Name of the stream.
            start: First offset to read.
            max_records: Largest number of records in the response.
            wait_s: Seconds that the log service waits for a new record if there
                is none.

        Raises:
            LogUnavailable: There is no valid response.
        """
        query = f"?from={start}&max={max_records}&wait_ms={int(wait_s * 1000)}"
        timeout = self._timeout + wait_s
        response = await self._exchange(
            "GET", _records_path(stream) + query, b"", timeout
        )
        _raise_for_status(response)
        return _decode(response, ReadResult)

    async def close(self) -> None:
        """Closes the idle connections."""
        while self._idle:
            await self._idle.pop().close()

    async def _exchange(
        self, method: str, path: str, body: bytes, timeout: float
    ) -> HttpResponse:
        connection = None
        try:
            connection = await self._take_connection()
            bytes_before = connection.bytes_transferred
            response = await connection.exchange(method, path, [], body, timeout)
            self._metrics.count("log.exchanges")
            self._metrics.count(
                "log.bytes", connection.bytes_transferred - bytes_before
            )
            return response
        except HttpError as error:
            raise LogUnavailable(str(error), maybe_applied=error.sent) from error
        finally:
            if connection is not None:
                await self._return_connection(connection)

    async def _take_connection(self) -> HttpConnection:
        if self._idle:
            return self._idle.pop()
        return await HttpConnection.connect(self.address, self._timeout)

    async def _return_connection(self, connection: HttpConnection) -> None:
        if connection.usable and len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append(connection)
        else:
            await connection.close()


def _records_path(stream: str) -> str:
    return f"/v1/streams/{stream}/records"


def _raise_for_status(response: HttpResponse) -> None:
    if response.status == 200:
        return
    detail = f"status {response.status}: {response.body[:200].decode(errors='replace')}"
    may_be_applied = response.status not in NOT_APPLIED_STATUSES
    raise LogUnavailable(detail, maybe_applied=may_be_applied)


def _decode(response: HttpResponse, message_type: type) -> Any:
    try:
        return codec.from_json(response.body, message_type)
    except ProtocolError as error:
        detail = f"{Reason.ANSWER_INCOMPLETE.value}: {error}"
        raise LogUnavailable(detail, maybe_applied=True) from error
