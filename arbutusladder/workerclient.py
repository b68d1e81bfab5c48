"""One batched exchange per worker over one kept connection."""

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

# Reports repeat every running task: 164 bytes a second each without a coding.
EXCHANGE_HEADERS = [Header("Content-Type", "application/json"), ACCEPT_GZIP]
CONNECT_TIMEOUT_S = 0.5
# With the connect timeout a silent connection is replaced within 1 s.
ANSWER_TIMEOUT_S = 0.75
# A worker that is alive but slow gets more time once a connection has failed.
SLOW_ANSWER_TIMEOUT_S = 2.0
# Starts that are not urgent wait this long for others to share the exchange.
WORK_EXCHANGE_S = 0.1
RETRY_FIRST_S = 0.05
RETRY_LIMIT_S = 1.0
VALIDITY_POLL_S = 0.1
# A checkpoint takes a while; its end frees capacity that other work waits for. A
# start without a reply may run and then needs a renewal before its lease ends.
FOLLOW_UP_S = 3.0
FOLLOW_UP_INTERVAL_S = 0.1
ENDING_ACTIONS = frozenset({TaskActionKind.CHECKPOINT, TaskActionKind.STOP})
MAX_STARTS = 200


@dataclass
class Outbox:
    """Work that waits for the next exchange with a worker."""

    starts: dict[TaskId, StartTask] = field(default_factory=dict)
    actions: dict[TaskId, TaskAction] = field(default_factory=dict)
    acks: dict[TaskId, None] = field(default_factory=dict)
    urgent: bool = False

    def interval(self, timing: Timing) -> float:
        """Returns the seconds between exchanges that the work asks for."""
        if self.urgent and (self.starts or self.actions):
            return timing.urgent_exchange_s
        if self.starts or self.actions:
            return min(WORK_EXCHANGE_S, timing.worker_exchange_s)
        return timing.worker_exchange_s

    def take(self) -> "Outbox":
        """Removes and returns the work of one exchange."""
        starts = dict(list(self.starts.items())[:MAX_STARTS])
        for task_id in starts:
            del self.starts[task_id]
        taken = Outbox(starts, self.actions, self.acks, self.urgent)
        self.actions, self.acks = {}, {}
        self.urgent = self.urgent and bool(self.starts)
        return taken


class WorkerListener(Protocol):
    """What a client tells the owner of its shard."""

    async def worker_reported(
        self, vm: VmId, sent: WorkerExchange, sent_at: float, report: WorkerReport
    ) -> None:
        """A whole report was received.

        Args:
            vm: The worker.
            sent: The exchange that the report answers.
            sent_at: Monotonic time just before the send in seconds.
            report: The report.
        """

    async def worker_failed(
        self, vm: VmId, sent: WorkerExchange | None, error: HttpError
    ) -> None:
        """An exchange has no answer.

        Args:
            vm: The worker.
            sent: What may have reached the worker; none when nothing was sent.
            error: What failed.
        """


class WorkerClient:
    """Exchanges starts, renewals, actions and acknowledgements with one worker.

    Exchanges are strictly one after the other. An exchange whose reply was lost
    is never sent again; only its renewals and actions are.

    Args:
        vm: The worker.
        address: Its IP address and port.
        owner: Receives reports and failures.
        book: Leases of the shard.
        timing: Intervals.
        clock: Time.
        metrics: Counters.
        valid_until: Returns the monotonic end of the owner's validity.
    """

    def __init__(
        self,
        vm: VmId,
        address: str,
        owner: WorkerListener,
        book: LeaseTable,
        timing: Timing,
        clock: Clock,
        metrics: Metrics,
        valid_until: Callable[[], float],
    ):
        self.vm = vm
        self.address = address
        self.failures = 0
        self._owner = owner
        self._book = book
        self._timing = timing
        self._clock = clock
        self._metrics = metrics
        self._valid_until = valid_until
        self._outbox = Outbox()
        self._connection: HttpConnection | None = None
        self._last_sent = float("-inf")
        self._retry_at = float("-inf")
        self._probe_soon = False
        # Tasks that shall end, and starts without a reply, each with the time
        # until which the worker is asked more often.
        self._ending: dict[TaskId, float] = {}
        self._lost: dict[TaskId, float] = {}
        self._wake = curio.Event()
        self.stopping = False
        self._finishing = False

    def start(self, task: StartTask, urgent: bool = False) -> None:
        """Queues a start; its lease is granted at the time of sending."""
        self._outbox.starts[task.task_id] = task
        self._outbox.urgent |= urgent

    def act(self, action: TaskAction, urgent: bool = False) -> None:
        """Queues an action; a later action on the task replaces it."""
        self._outbox.actions[action.task_id] = action
        self._outbox.urgent |= urgent

    def acknowledge(self, task_id: TaskId) -> None:
        """Queues the acknowledgement of an ended task."""
        self._outbox.acks[task_id] = None

    def withdraw(self, task_id: TaskId) -> bool:
        """Returns whether a start was still queued, and removes it."""
        return self._outbox.starts.pop(task_id, None) is not None

    def withdraw_starts(self) -> list[TaskId]:
        """Removes and returns the starts that were not sent."""
        task_ids = list(self._outbox.starts)
        self._outbox.starts.clear()
        return task_ids

    def request_report(self) -> None:
        """Asks for a report without waiting for the regular interval."""
        self._probe_soon = True

    async def run(self) -> None:
        """Exchanges with the worker until stopped."""
        try:
            while not self.stopping:
                await self._wait_until_due()
                last = self._finishing
                if not self.stopping:
                    await self.exchange()
                self.stopping = self.stopping or last
        finally:
            await self._close()

    async def stop(self) -> None:
        """Lets the exchange in progress end and sends no other."""
        self.stopping = True
        await self._wake.set()

    async def finish(self) -> None:
        """Sends a last exchange with what is queued and due, then stops.

        It renews the first leases of tasks that were just started, which would
        otherwise end before a successor renews them.
        """
        self._finishing = True
        await self._wake.set()

    async def wake(self) -> None:
        """Looks at the queued work again; call it after queueing."""
        await self._wake.set()

    async def exchange(self) -> None:
        """Carries out one exchange; does nothing without validity."""
        try:
            await self._connect()
        except HttpError as error:
            await self._failed(None, error)
            return
        now = self._clock.now()
        if now >= self._valid_until():
            self._retry_at = now + VALIDITY_POLL_S
            return
        self._probe_soon = False
        self._last_sent = now
        sent, body = self._build(now)
        if self._clock.now() >= self._valid_until():
            self._put_back(sent)
            return
        await self._send(sent, body, now)

    async def _send(self, sent: WorkerExchange, body: bytes, now: float) -> None:
        timeout = SLOW_ANSWER_TIMEOUT_S if self.failures > 1 else ANSWER_TIMEOUT_S
        before = self._connection.bytes_transferred
        try:
            answer = await self._connection.exchange(
                "POST", "/v1/exchange", EXCHANGE_HEADERS, body, timeout
            )
            exchanged_bytes = self._connection.bytes_transferred - before
            self._metrics.count("worker.bytes", exchanged_bytes)
            report = _decode(answer, self.address)
        except HttpError as error:
            await self._failed(sent, error)
            return
        await self._succeeded(sent, now, report)

    def _build(self, now: float) -> tuple[WorkerExchange, bytes]:
        taken = self._outbox.take()
        wall = self._clock.wall()
        sent = WorkerExchange(
            actions=list(taken.actions.values()), acks=list(taken.acks)
        )
        # After a failure nothing is granted before the worker has answered:
        # a worker that only receives must not keep its tasks for ever.
        if self.failures:
            self._outbox.starts = taken.starts | self._outbox.starts
        else:
            sent.starts = self._grant(taken.starts, now, wall)
            ahead = self._timing.worker_exchange_s
            due = self._book.renewals(self.vm, now, wall, ahead)
            sent.renewals = [RenewLease(task_id, expiry) for task_id, expiry in due]
        return sent, to_json(sent)

    def _grant(
        self, queued: dict[TaskId, StartTask], now: float, wall: float
    ) -> list[StartTask]:
        granted = []
        for task_id, start in queued.items():
            expiry = self._book.grant_first_lease(
                task_id, self.vm, now, wall, self._valid_until()
            )
            if expiry is None:
                self._outbox.starts[task_id] = start
            else:
                start.lease_expires_at = expiry
                granted.append(start)
        return granted

    async def _succeeded(
        self, sent: WorkerExchange, sent_at: float, report: WorkerReport
    ) -> None:
        self.failures = 0
        self._retry_at = float("-inf")
        self._metrics.count("worker.exchanges")
        self._follow_up(sent, sent_at, report)
        await self._owner.worker_reported(self.vm, sent, sent_at, report)

    def _follow_up(
        self, sent: WorkerExchange, sent_at: float, report: WorkerReport
    ) -> None:
        for action in sent.actions:
            if action.action in ENDING_ACTIONS:
                self._ending.setdefault(action.task_id, sent_at + FOLLOW_UP_S)
        listed = {task.task_id for task in report.tasks}
        self._lost = {
            task_id: until
            for task_id, until in self._lost.items()
            if task_id not in listed and sent_at < until
        }
        self._ending = {
            task_id: until
            for task_id, until in self._ending.items()
            if task_id in listed and sent_at < until
        }

    async def _failed(self, sent: WorkerExchange | None, error: HttpError) -> None:
        self.failures += 1
        self._metrics.retried(error.reason)
        delay = min(RETRY_LIMIT_S, RETRY_FIRST_S * 2 ** (self.failures - 1))
        self._retry_at = self._clock.now() + delay
        self._probe_soon = True
        if sent:
            until = self._clock.now() + FOLLOW_UP_S
            self._lost.update((start.task_id, until) for start in sent.starts)
            self._keep_for_repetition(sent)
        await self._owner.worker_failed(self.vm, sent, error)

    def _put_back(self, sent: WorkerExchange) -> None:
        for start in sent.starts:
            self._book.release(start.task_id)
            self._outbox.starts[start.task_id] = start
        self._keep_for_repetition(sent)
        self._retry_at = self._clock.now() + VALIDITY_POLL_S

    def _keep_for_repetition(self, sent: WorkerExchange) -> None:
        for action in sent.actions:
            self._outbox.actions.setdefault(action.task_id, action)
        for task_id in sent.acks:
            self._outbox.acks[task_id] = None
        self._book.mark_renewals_due(self.vm, self._clock.now())

    def _due_at(self) -> float:
        due = self._last_sent + self._outbox.interval(self._timing)
        if self._probe_soon:
            due = self._last_sent + self._timing.urgent_exchange_s
        if self._ending or self._lost:
            due = min(due, self._last_sent + FOLLOW_UP_INTERVAL_S)
        earliest = self._last_sent + self._timing.urgent_exchange_s
        due = min(due, max(earliest, self._book.next_renewal(self.vm)))
        return max(due, self._retry_at)

    async def _wait_until_due(self) -> None:
        while not self.stopping and not self._finishing:
            delay = self._due_at() - self._clock.now()
            if delay <= 0:
                return
            self._wake.clear()
            async with curio.ignore_after(delay):
                await self._wake.wait()

    async def _connect(self) -> None:
        connection = self._connection
        if connection and connection.usable and connection.address == self.address:
            return
        await self._close()
        self._connection = await HttpConnection.connect(self.address, CONNECT_TIMEOUT_S)

    async def _close(self) -> None:
        if self._connection:
            await self._connection.close()
            self._connection = None


def _decode(answer: HttpResponse, address: str) -> WorkerReport:
    if answer.status != 200:
        detail = f"{address}: status {answer.status}"
        raise HttpError(Reason.ANSWER_INCOMPLETE, detail, sent=True)
    try:
        body = answer.body
        if answer.header("Content-Encoding") == "gzip":
            body = decompress(body, DEFAULT_MAX_BODY_BYTES)
        return from_json(body, WorkerReport)
    except ProtocolError as error:
        raise HttpError(Reason.ANSWER_INCOMPLETE, str(error), sent=True) from error
