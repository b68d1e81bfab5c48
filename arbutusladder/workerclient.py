"""Client of one worker: batched exchanges over a persistent connection.

`WorkerClient` owns the connection and the work that is not sent yet.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import curio

from arbutusladder.clock import Clock
from arbutusladder.codec import from_json, to_json
from arbutusladder.errors import HttpError, ProtocolError
from arbutusladder.gzipbody import ACCEPT_GZIP, decompress
from arbutusladder.httpclient import (
    DEFAULT_MAX_BODY_BYTES,
    HttpConnection,
    HttpResponse,
)
from arbutusladder.ids import TaskId, VmId
from arbutusladder.leases import LeaseTable
from arbutusladder.messages import (
    Header,
    RenewLease,
    StartTask,
    TaskAction,
    WorkerExchange,
    WorkerReport,
)
from arbutusladder.metrics import Metrics
from arbutusladder.settings import Timing
from arbutusladder.states import Reason, TaskActionKind

# Reports list every running task: 164 bytes per second and task without compression.
EXCHANGE_HEADERS = [Header("Content-Type", "application/json"), ACCEPT_GZIP]
CONNECT_TIMEOUT_S = 0.5
# Together with the connect timeout: an unresponsive connection is replaced within 1 s.
RESPONSE_TIMEOUT_S = 0.75
# A slow worker gets more time after a connection has failed.
SLOW_RESPONSE_TIMEOUT_S = 2.0
# Delay of starts and actions that are not urgent, so that they share an exchange.
BATCH_DELAY_S = 0.1
# Seconds before the next exchange after a failure; doubled after each further one, up
# to the maximum.
INITIAL_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 1.0
# Seconds before the next exchange while the ownership of the shard has expired.
OWNERSHIP_POLL_INTERVAL_S = 0.1
# Reports are requested more often for this time after a stop or a start without a
# reply: the end of a checkpoint frees capacity that other work waits for, and a task
# whose start had no reply may run and then needs a renewal before its lease ends.
FOLLOW_UP_DURATION_S = 3.0
FOLLOW_UP_INTERVAL_S = 0.1
ENDING_ACTIONS = frozenset({TaskActionKind.CHECKPOINT, TaskActionKind.STOP})
MAX_STARTS_PER_EXCHANGE = 200


@dataclass
class Outbox:
    """Work that waits for the next exchange with a worker.

    Attributes:
        starts: Starts by task.
        actions: Newest action for each task.
        acks: Ended tasks to acknowledge, in order.
        urgent: Whether a start or an action is urgent.
    """

    starts: dict[TaskId, StartTask] = field(default_factory=dict)
    actions: dict[TaskId, TaskAction] = field(default_factory=dict)
    acks: dict[TaskId, None] = field(default_factory=dict)
    urgent: bool = False

    def interval(self, timing: Timing) -> float:
        """Returns the longest time in seconds between exchanges for this work."""
        if self.urgent and (self.starts or self.actions):
            return timing.urgent_exchange_s
        if self.starts or self.actions:
            return min(BATCH_DELAY_S, timing.worker_exchange_s)
        return timing.worker_exchange_s

    def take(self) -> "Outbox":
        """Removes and returns the work for one exchange."""
        starts = dict(list(self.starts.items())[:MAX_STARTS_PER_EXCHANGE])
        for task_id in starts:
            del self.starts[task_id]
        batch = Outbox(starts, self.actions, self.acks, self.urgent)
        self.actions, self.acks = {}, {}
        self.urgent = self.urgent and bool(self.starts)
        return batch


class WorkerListener(Protocol):
    """Receives the results of a client's exchanges; implemented by the shard."""

    async def worker_reported(
        self, vm: VmId, sent: WorkerExchange, sent_at: float, report: WorkerReport
    ) -> None:
        """Called with each complete report.

        Args:
            vm: The worker.
            sent: The exchange that the report answers.
            sent_at: Monotonic time in seconds just before the send.
            report: The report.
        """

    async def worker_failed(
        self, vm: VmId, sent: WorkerExchange | None, error: HttpError
    ) -> None:
        """Called after each exchange without a valid response.

        Args:
            vm: The worker.
            sent: What may have reached the worker; None if nothing was sent.
            error: Cause of the failure.
        """


class WorkerClient:
    """Exchanges starts, renewals, actions and acknowledgements with one worker.

    Exchanges do not overlap. After a lost reply, the renewals, actions and
    acknowledgements of an exchange are sent again, but never its starts, because
    they may have taken effect.

    Args:
        vm: The worker.
        address: Its IP address and port.
        listener: Receives reports and failures.
        lease_table: Leases of the shard.
        timing: Intervals.
        clock: Monotonic and wall-clock time.
        metrics: Counters.
        valid_until: Returns the monotonic time in seconds until which this process
            owns the shard.

    Attributes:
        vm: The worker.
        address: Its IP address and port; may be changed at any time.
        failures: Consecutive failed exchanges.
        stopping: Whether no further exchange will be sent.
    """

    def __init__(
        self,
        vm: VmId,
        address: str,
        listener: WorkerListener,
        lease_table: LeaseTable,
        timing: Timing,
        clock: Clock,
        metrics: Metrics,
        valid_until: Callable[[], float],
    ):
        self.vm = vm
        self.address = address
        self.failures = 0
        self._listener = listener
        self._lease_table = lease_table
        self._timing = timing
        self._clock = clock
        self._metrics = metrics
        self._valid_until = valid_until
        self._outbox = Outbox()
        self._connection: HttpConnection | None = None
        self._last_sent = float("-inf")
        self._retry_at = float("-inf")
        self._report_requested = False
        # Tasks that were ordered to end, and tasks whose start had no reply, each with
        # the time until which reports are requested more often.
        self._follow_ending_until: dict[TaskId, float] = {}
        self._follow_unconfirmed_until: dict[TaskId, float] = {}
        self._wake_event = curio.Event()
        self.stopping = False
        self._last_exchange_requested = False

    def start(self, task: StartTask, urgent: bool = False) -> None:
        """Queues a start; its lease is granted when it is sent."""
        self._outbox.starts[task.task_id] = task
        self._outbox.urgent |= urgent

    def act(self, action: TaskAction, urgent: bool = False) -> None:
        """Queues an action; it replaces an earlier one on the same task."""
        self._outbox.actions[action.task_id] = action
        self._outbox.urgent |= urgent

    def acknowledge(self, task_id: TaskId) -> None:
        """Queues the acknowledgement of an ended task."""
        self._outbox.acks[task_id] = None

    def withdraw(self, task_id: TaskId) -> bool:
        """Removes a queued start; returns whether there was one."""
        return self._outbox.starts.pop(task_id, None) is not None

    def withdraw_starts(self) -> list[TaskId]:
        """Removes all queued starts and returns their tasks."""
        task_ids = list(self._outbox.starts)
        self._outbox.starts.clear()
        return task_ids

    def request_report(self) -> None:
        """Requests a report without waiting for the regular interval."""
        self._report_requested = True

    async def run(self) -> None:
        """Runs exchanges with the worker until stopped."""
        try:
            while not self.stopping:
                await self._wait_until_due()
                is_last = self._last_exchange_requested
                if not self.stopping:
                    await self.exchange()
                self.stopping = self.stopping or is_last
        finally:
            await self._close()

    async def stop(self) -> None:
        """Stops after the exchange in progress."""
        self.stopping = True
        await self._wake_event.set()

    async def finish(self) -> None:
        """Sends a last exchange with all queued and due work, then stops.

        The exchange renews the short first leases of tasks that were just started,
        which would otherwise expire before the shard's next owner renews them.
        """
        self._last_exchange_requested = True
        await self._wake_event.set()

    async def wake(self) -> None:
        """Schedules the next exchange again; call it after queueing work."""
        await self._wake_event.set()

    async def exchange(self) -> None:
        """Performs one exchange, unless the ownership of the shard has expired."""
        try:
            await self._ensure_connected()
        except HttpError as error:
            await self._failed(None, error)
            return
        now = self._clock.now()
        if now >= self._valid_until():
            self._retry_at = now + OWNERSHIP_POLL_INTERVAL_S
            return
        self._report_requested = False
        self._last_sent = now
        sent, body = self._build_exchange(now)
        if self._clock.now() >= self._valid_until():
            self._put_back(sent)
            return
        await self._send(sent, body, now)

    async def _send(self, sent: WorkerExchange, body: bytes, now: float) -> None:
        timeout = SLOW_RESPONSE_TIMEOUT_S if self.failures > 1 else RESPONSE_TIMEOUT_S
        bytes_before = self._connection.bytes_transferred
        try:
            response = await self._connection.exchange(
                "POST", "/v1/exchange", EXCHANGE_HEADERS, body, timeout
            )
            exchanged_bytes = self._connection.bytes_transferred - bytes_before
            self._metrics.count("worker.bytes", exchanged_bytes)
            report = _decode(response, self.address)
        except HttpError as error:
            await self._failed(sent, error)
            return
        await self._handle_report(sent, now, report)

    def _build_exchange(self, now: float) -> tuple[WorkerExchange, bytes]:
        batch = self._outbox.take()
        wall_time = self._clock.wall_time()
        sent = WorkerExchange(
            actions=list(batch.actions.values()), acks=list(batch.acks)
        )
        # After a failure no lease is granted or renewed until the worker answers:
        # a worker that receives but cannot answer must not keep its tasks forever.
        if self.failures:
            self._outbox.starts = batch.starts | self._outbox.starts
        else:
            sent.starts = self._grant(batch.starts, now, wall_time)
            lead_time = self._timing.worker_exchange_s
            due = self._lease_table.renew_due_leases(self.vm, now, wall_time, lead_time)
            sent.renewals = [RenewLease(task_id, expiry) for task_id, expiry in due]
        return sent, to_json(sent)

    def _grant(
        self, queued: dict[TaskId, StartTask], now: float, wall_time: float
    ) -> list[StartTask]:
        granted = []
        for task_id, start in queued.items():
            expiry = self._lease_table.grant_first_lease(
                task_id, self.vm, now, wall_time, self._valid_until()
            )
            if expiry is None:
                self._outbox.starts[task_id] = start
            else:
                start.lease_expires_at = expiry
                granted.append(start)
        return granted

    async def _handle_report(
        self, sent: WorkerExchange, sent_at: float, report: WorkerReport
    ) -> None:
        self.failures = 0
        self._retry_at = float("-inf")
        self._metrics.count("worker.exchanges")
        self._update_follow_ups(sent, sent_at, report)
        await self._listener.worker_reported(self.vm, sent, sent_at, report)

    def _update_follow_ups(
        self, sent: WorkerExchange, sent_at: float, report: WorkerReport
    ) -> None:
        for action in sent.actions:
            if action.action in ENDING_ACTIONS:
                self._follow_ending_until.setdefault(
                    action.task_id, sent_at + FOLLOW_UP_DURATION_S
                )
        reported = {task.task_id for task in report.tasks}
        self._follow_unconfirmed_until = {
            task_id: until
            for task_id, until in self._follow_unconfirmed_until.items()
            if task_id not in reported and sent_at < until
        }
        self._follow_ending_until = {
            task_id: until
            for task_id, until in self._follow_ending_until.items()
            if task_id in reported and sent_at < until
        }

    async def _failed(self, sent: WorkerExchange | None, error: HttpError) -> None:
        self.failures += 1
        self._metrics.count_retry(error.reason)
        delay = min(MAX_RETRY_DELAY_S, INITIAL_RETRY_DELAY_S * 2 ** (self.failures - 1))
        self._retry_at = self._clock.now() + delay
        self._report_requested = True
        if sent:
            until = self._clock.now() + FOLLOW_UP_DURATION_S
            self._follow_unconfirmed_until.update(
                (start.task_id, until) for start in sent.starts
            )
            self._requeue(sent)
        await self._listener.worker_failed(self.vm, sent, error)

    def _put_back(self, sent: WorkerExchange) -> None:
        for start in sent.starts:
            self._lease_table.release(start.task_id)
            self._outbox.starts[start.task_id] = start
        self._requeue(sent)
        self._retry_at = self._clock.now() + OWNERSHIP_POLL_INTERVAL_S

    def _requeue(self, sent: WorkerExchange) -> None:
        for action in sent.actions:
            self._outbox.actions.setdefault(action.task_id, action)
        for task_id in sent.acks:
            self._outbox.acks[task_id] = None
        self._lease_table.mark_renewals_due(self.vm, self._clock.now())

    def _next_exchange_at(self) -> float:
        due = self._last_sent + self._outbox.interval(self._timing)
        if self._report_requested:
            due = self._last_sent + self._timing.urgent_exchange_s
        if self._follow_ending_until or self._follow_unconfirmed_until:
            due = min(due, self._last_sent + FOLLOW_UP_INTERVAL_S)
        earliest = self._last_sent + self._timing.urgent_exchange_s
        due = min(due, max(earliest, self._lease_table.next_renewal(self.vm)))
        return max(due, self._retry_at)

    async def _wait_until_due(self) -> None:
        while not self.stopping and not self._last_exchange_requested:
            delay = self._next_exchange_at() - self._clock.now()
            if delay <= 0:
                return
            self._wake_event.clear()
            async with curio.ignore_after(delay):
                await self._wake_event.wait()

    async def _ensure_connected(self) -> None:
        connection = self._connection
        if connection and connection.usable and connection.address == self.address:
            return
        await self._close()
        self._connection = await HttpConnection.connect(self.address, CONNECT_TIMEOUT_S)

    async def _close(self) -> None:
        if self._connection:
            await self._connection.close()
            self._connection = None


def _decode(response: HttpResponse, address: str) -> WorkerReport:
    if response.status != 200:
        detail = f"{address}: status {response.status}"
        raise HttpError(Reason.ANSWER_INCOMPLETE, detail, sent=True)
    try:
        body = response.body
        if response.header("Content-Encoding") == "gzip":
            body = decompress(body, DEFAULT_MAX_BODY_BYTES)
        return from_json(body, WorkerReport)
    except ProtocolError as error:
        raise HttpError(Reason.ANSWER_INCOMPLETE, str(error), sent=True) from error
