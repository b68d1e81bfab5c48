"""Client of the platform's executors, and decoder of their registry.

The platform's executors are the workers of the cell: they run tasks on the orders of
the owner, under a lease that the owner renews.
"""

import math
import re
from http import HTTPStatus
from typing import get_args

import msgspec

from arbutusladder.cell.interfaces import (
    EndedTask,
    KeyedRecord,
    OrderAnswer,
    PaceOrder,
    RunningTask,
    StartOrder,
    StopOrder,
    WorkerEntry,
    WorkerReport,
)
from arbutusladder.cell.states import EndKind, OrderOutcome
from arbutusladder.errors import HttpError
from arbutusladder.httppool import HttpConnectionPool
from arbutusladder.ids import FencingToken, VmId
from arbutusladder.messages import Header, Resources
from arbutusladder.metrics import Metrics
from arbutusladder.platform.addresses import is_address
from arbutusladder.platform.bounds import Amount, Counter, Duration, Factor
from arbutusladder.platform.jsonbody import decode_json

# Seconds for the response to an order, and to a lease renewal beyond its long-polling
# wait. The latency between failure domains is 10 ms, and an unresponsive connection
# must not delay an urgent task.
ORDER_TIMEOUT_S = 0.4
RENEW_TIMEOUT_S = 0.5
# Header with the id of the executor that the request is meant for; another executor at
# the same address answers 421.
INSTANCE_HEADER = "X-Arbutusladder-Target-Instance"
JSON_HEADER = Header("Content-Type", "application/json")
# Id of an executor, which becomes part of a header.
ID_PATTERN = re.compile(r"[!-~]{1,64}")
# Index of the rough figure in a row of a running task; not all executors give it.
FIGURE_INDEX = 4
# Topic of the platform's log in which executors register.
REGISTRY_TOPIC = "keyed.servers"

# Outcomes by the reason that an executor gives with status 409.
OUTCOME_BY_REASON = {
    "fence": OrderOutcome.FENCED,
    "old": OrderOutcome.OLD_RUN,
    "late": OrderOutcome.TOO_LATE,
    "room": OrderOutcome.NO_ROOM,
    "ticket": OrderOutcome.TICKET_INVALID,
}
# Outcomes by status other than 409.
OUTCOME_BY_STATUS = {
    HTTPStatus.OK: OrderOutcome.ACCEPTED,
    HTTPStatus.BAD_REQUEST: OrderOutcome.MALFORMED,
    HTTPStatus.MISDIRECTED_REQUEST: OrderOutcome.WORKER_REPLACED,
    HTTPStatus.TOO_MANY_REQUESTS: OrderOutcome.UNHEALTHY,
    HTTPStatus.SERVICE_UNAVAILABLE: OrderOutcome.UNHEALTHY,
}


class _Room(msgspec.Struct, rename="kebab"):
    """Capacity of an executor; ``cpu`` is in thousandths of a core."""

    cpu: Amount
    mem_mb: Amount
    gpu: Amount


class _Server(msgspec.Struct, rename="kebab"):
    """Registry entry of an executor, which has all these fields.

    ``state`` is ready or draining, ``zone`` the failure domain, ``born`` the start time
    of the process in milliseconds since 1970 and ``seq`` the number of the entry.
    """

    service: str
    address: str
    zone: str
    version: str
    slots: Amount
    state: str
    cold_left_ms: Duration
    seq: Counter
    capacity: _Room
    labels: list[str]
    born: Counter


class _Reply(msgspec.Struct, rename="kebab"):
    """Response of an executor.

    ``clock-ms`` is its own monotonic clock, ``running`` has rows of task, run, saved
    point, percent and rough figure, and ``ended`` rows of number, task, run, kind of
    end and saved point.
    """

    clock_ms: Duration | None = None
    reason: str = ""
    born: Counter = 0
    running: list = []
    ended: list = []


# Rows of `_Reply`; executors may add fields.
_RunningRow = tuple[str, Counter, str, Factor]
_EndedRow = tuple[Counter, str, Counter, str, str]


def decode_registry_entry(record: KeyedRecord) -> WorkerEntry | None:
    """Decodes the registry entry of a worker.

    Other programs write the registry, so fields may be missing or have another type.

    Args:
        record: Record of the registry topic.

    Returns:
        The entry, or None if it is incomplete or unusable.
    """
    try:
        entry = decode_json(record.value, _Server)
    except msgspec.MsgspecError:
        return None
    if entry.state not in {"ready", "draining"} or not is_address(entry.address):
        return None
    if not ID_PATTERN.fullmatch(record.key):
        return None
    return WorkerEntry(
        vm=VmId(record.key),
        born=entry.born,
        address=entry.address,
        service=entry.service,
        failure_domain=entry.zone,
        capacity=Resources(
            entry.capacity.cpu / 1000, entry.capacity.mem_mb, entry.capacity.gpu
        ),
        labels=tuple(entry.labels),
        draining=entry.state == "draining",
    )


class PlatformWorkerClient:
    """Sends orders and lease renewals to executors.

    Args:
        pool: Pool of HTTP connections.
        metrics: Counters.
    """

    def __init__(self, pool: HttpConnectionPool, metrics: Metrics):
        self._pool = pool
        self._metrics = metrics

    async def start(
        self,
        worker: WorkerEntry,
        order: StartOrder,
        token: FencingToken,
        until: float,
        send_by: float,
    ) -> OrderAnswer:
        """See `arbutusladder.cell.interfaces.OrderSender.start`."""
        body: dict[str, object] = {
            "task": order.task,
            "run": order.run,
            "spec": order.payload,
            "deadline-ms": int(until * 1000),
            "fence": token,
        }
        if order.saved:
            body["saved"] = order.saved
        if order.ticket:
            body["ticket"] = order.ticket
        return await self._send_order(worker, "/v1/run-start", body, send_by)

    async def stop(
        self, worker: WorkerEntry, order: StopOrder, token: FencingToken
    ) -> OrderAnswer:
        """See `arbutusladder.cell.interfaces.OrderSender.stop`."""
        body = {"task": order.task, "run": order.run, "fence": token}
        return await self._send_order(worker, "/v1/run-stop", body)

    async def pace(
        self, worker: WorkerEntry, order: PaceOrder, token: FencingToken
    ) -> OrderAnswer:
        """See `arbutusladder.cell.interfaces.OrderSender.pace`."""
        body = {
            "task": order.task,
            "run": order.run,
            "percent": order.percent,
            "fence": token,
        }
        return await self._send_order(worker, "/v1/pace", body)

    async def renew(
        self,
        worker: WorkerEntry,
        token: FencingToken,
        acknowledged: int,
        until: float | None,
        wait: float,
        send_by: float,
    ) -> WorkerReport | OrderAnswer:
        """See `arbutusladder.cell.interfaces.OrderSender.renew`."""
        body: dict[str, object] = {"fence": token, "observed": acknowledged}
        if until is not None:
            body["deadline-ms"] = int(until * 1000)
        if wait:
            body["wait-ms"] = int(wait * 1000)
        try:
            status, reply = await self._call(
                worker, "/v1/hold", body, wait + RENEW_TIMEOUT_S, send_by
            )
        except HttpError as error:
            return OrderAnswer(_failure_outcome(error))
        if status != HTTPStatus.OK or reply.clock_ms is None:
            return _order_answer(status, reply)
        try:
            running = [
                RunningTask(*_convert_row(row, _RunningRow), _figure(row))
                for row in reply.running
            ]
            ended = [_ended_task(*_convert_row(row, _EndedRow)) for row in reply.ended]
        except msgspec.ValidationError:
            # Runs without a readable row must not count as ended, so the whole report
            # is dropped, and the worker's lease expires if this goes on.
            self._metrics.count("workers.malformed_report")
            return OrderAnswer(OrderOutcome.MALFORMED)
        return WorkerReport(reply.born, reply.clock_ms / 1000, running, ended)

    async def _send_order(
        self, worker: WorkerEntry, path: str, body: dict, send_by: float = math.inf
    ) -> OrderAnswer:
        try:
            status, reply = await self._call(
                worker, path, body, ORDER_TIMEOUT_S, send_by
            )
        except HttpError as error:
            return OrderAnswer(_failure_outcome(error))
        return _order_answer(status, reply)

    async def _call(
        self,
        worker: WorkerEntry,
        path: str,
        body: dict,
        timeout: float,
        send_by: float,
    ) -> tuple[int, _Reply]:
        """Sends a request; an undecodable body counts as an empty reply."""
        headers = [JSON_HEADER, Header(INSTANCE_HEADER, worker.vm)]
        answer = await self._pool.request(
            worker.address,
            "POST",
            path,
            headers,
            msgspec.json.encode(body),
            timeout,
            send_by=send_by,
        )
        try:
            return answer.status, decode_json(answer.body, _Reply)
        except msgspec.MsgspecError:
            return answer.status, _Reply()


def _convert_row(row: object, row_type: type[tuple]) -> tuple:
    """Checks the types of a row and drops further fields.

    Args:
        row: Decoded row of a list of runs or of ends.
        row_type: Types of the fields to return.

    Raises:
        msgspec.ValidationError: The row is too short, or a field has another type or is
            out of bounds.
    """
    size = len(get_args(row_type))
    if not isinstance(row, list) or len(row) < size:
        raise msgspec.ValidationError(f"row with fewer than {size} fields")
    return msgspec.convert(row[:size], type=row_type)


def _figure(row: list) -> float | None:
    """Returns the rough figure of a run, or None without a valid one.

    It is only advisory, so that an invalid one does not make the report malformed.
    """
    try:
        return msgspec.convert(row[FIGURE_INDEX], type=Factor)
    except (IndexError, msgspec.ValidationError):
        return None


def _ended_task(
    number: int, task: str, run: int, end_kind: str, saved: str
) -> EndedTask:
    try:
        how = EndKind(end_kind)
    except ValueError:
        # The run has ended, but neither successfully nor as a counted failure.
        how = EndKind.LAPSED
    return EndedTask(number, task, run, how, saved)


def _failure_outcome(error: HttpError) -> OrderOutcome:
    """Returns the outcome of an order that got no whole response."""
    return OrderOutcome.UNKNOWN if error.sent else OrderOutcome.NOT_SENT


def _order_answer(status: int, reply: _Reply) -> OrderAnswer:
    clock = None if reply.clock_ms is None else reply.clock_ms / 1000
    if status == HTTPStatus.CONFLICT:
        outcome = OUTCOME_BY_REASON.get(reply.reason, OrderOutcome.MALFORMED)
    else:
        outcome = OUTCOME_BY_STATUS.get(status, OrderOutcome.UNKNOWN)
    return OrderAnswer(outcome, clock)
