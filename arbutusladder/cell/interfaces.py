"""Interfaces of a cell to the log, its workers and the advice service."""

from dataclasses import dataclass, field
from typing import Protocol

from arbutusladder.cell.states import EndKind, OrderOutcome
from arbutusladder.ids import Epoch, FencingToken, TeamName, VmId
from arbutusladder.messages import AdviceReply, Resources, TeamTerms


@dataclass(frozen=True)
class KeyedRecord:
    """One record of a compacted topic.

    Attributes:
        offset: Offset in the topic.
        key: Key; compaction retains the newest record of each key.
        value: Content; empty in a tombstone, which deletes the key.
    """

    offset: int
    key: str
    value: bytes


@dataclass(frozen=True)
class LogBatch:
    """Records of one read.

    Attributes:
        records: Records in order of their offsets.
        end: Offset that the next record will get.
        next_offset: Offset to read from next.
    """

    records: list[KeyedRecord]
    end: int
    next_offset: int


@dataclass(frozen=True)
class TeamLimits:
    """Shares and limits of the teams by the configurations that may be in force.

    Attributes:
        terms_by_name: Terms of each team, with the lowest cap of these configurations;
            empty where callers belong to no teams.
    """

    terms_by_name: dict[TeamName, TeamTerms] = field(default_factory=dict)


class OffsetDeleted(Exception):
    """The records at an offset are deleted.

    The reader has to continue from the newest record of each key.
    """


class WriterFenced(Exception):
    """Another writer uses a higher epoch for the topic."""


class UnexpectedEndOffset(Exception):
    """The topic's end offset is not the one that the writer expected.

    Attributes:
        end: End offset of the topic.
    """

    def __init__(self, end: int):
        super().__init__(f"the topic ends at {end}; read it and decide again")
        self.end = end


@dataclass(frozen=True)
class WriterPosition:
    """Identity and sequence number of a writer with idempotent, fenced appends.

    Attributes:
        producer: Name of the writer.
        epoch: Epoch; the log rejects appends under lower ones.
        sequence: Number of the append, by which the log detects repetitions.
    """

    producer: str
    epoch: Epoch
    sequence: int


class KeyedLog(Protocol):
    """Log with compacted topics, which retain the newest record of each key.

    All calls raise `arbutusladder.errors.LogUnavailable` if the log gave no answer
    or refused the call; the error's ``maybe_applied`` distinguishes the two.
    """

    async def append(
        self,
        topic: str,
        items: list[tuple[str, bytes]],
        expected_end: int | None = None,
        writer: WriterPosition | None = None,
        timeout: float = 2.0,
    ) -> int:
        """Appends records to a topic.

        Args:
            topic: The topic.
            items: Key and value of each record.
            expected_end: Required end offset of the topic; None for any.
            writer: Identity for an idempotent, fenced append; None for a plain one.
            timeout: Seconds to wait for the log.

        Returns:
            The offset of the first record.

        Raises:
            UnexpectedEndOffset: The topic does not end at ``expected_end``.
            WriterFenced: The topic has a higher epoch than the writer.
        """

    async def set_epoch(self, topic: str, writer: WriterPosition) -> None:
        """Sets the epoch of a topic, which fences writers of lower epochs."""

    async def read(self, topic: str, offset: int, wait: float = 0.0) -> LogBatch:
        """Reads records from an offset on.

        Args:
            topic: The topic.
            offset: Offset of the first record to read.
            wait: Seconds to wait for the first record.

        Returns:
            The records and the offsets at which to continue.

        Raises:
            OffsetDeleted: The records at the offset are deleted.
        """

    async def newest(self, topic: str) -> LogBatch:
        """Reads the newest record of each key."""


@dataclass(frozen=True)
class WorkerEntry:
    """Entry of a worker in the registry.

    Attributes:
        vm: Id of the worker.
        born: Start time of this incarnation; a restarted worker may have the same id.
        address: Address for orders.
        service: Service whose tasks it runs.
        failure_domain: Its failure domain.
        capacity: Its total resources.
        labels: Its type and, last, its rack.
        draining: Whether it accepts no new tasks.
    """

    vm: VmId
    born: int
    address: str
    service: str
    failure_domain: str
    capacity: Resources
    labels: tuple[str, ...] = ()
    draining: bool = False

    @property
    def rack(self) -> str:
        """Rack of the worker, which is its last label; empty without labels."""
        return self.labels[-1] if self.labels else ""


@dataclass(frozen=True)
class RunningTask:
    """A run that a worker reports as running.

    Attributes:
        task: Name of the task.
        run: Run number.
        saved: Newest checkpoint; empty without one.
        percent: Completed percentage of its work.
        figure: Rough figure for the last half second: of a serving task the tail of its
            response times in milliseconds, of any other one the cores in use in
            thousandths; None if the worker gives none.
    """

    task: str
    run: int
    saved: str
    percent: float
    figure: float | None = None


@dataclass(frozen=True)
class EndedTask:
    """A run that a worker reports as ended.

    Attributes:
        number: Number of the end, which counts up on each worker.
        task: Name of the task.
        run: Run number.
        how: How it ended.
        saved: Newest checkpoint; empty without one.
    """

    number: int
    task: str
    run: int
    how: EndKind
    saved: str


@dataclass(frozen=True)
class WorkerReport:
    """Answer of a worker to a lease renewal.

    Attributes:
        born: Start time of the worker's incarnation; 0 if unknown.
        clock: The worker's clock in seconds.
        running: Runs in progress.
        ended: Ended runs whose ends have not been acknowledged.
        token_number: Number of the token of the renewal that it answers, see
            `arbutusladder.cell.fencing`.
    """

    born: int
    clock: float
    running: list[RunningTask] = field(default_factory=list)
    ended: list[EndedTask] = field(default_factory=list)
    token_number: int = 0


@dataclass(frozen=True)
class OrderAnswer:
    """Answer to a start or stop order.

    Attributes:
        outcome: Outcome of the order.
        clock: The worker's clock in seconds; None if unknown.
        in_doubt: Whether an earlier copy of the order got no answer.
    """

    outcome: OrderOutcome
    clock: float | None = None
    in_doubt: bool = False


@dataclass(frozen=True)
class StartOrder:
    """Order to start a task on a worker.

    Attributes:
        vm: The worker.
        task: Name of the task.
        run: Run number.
        payload: Payload of the job.
        saved: Checkpoint to resume from; empty without one.
        ticket: Ticket of the advice service; empty if none is needed.
    """

    vm: VmId
    task: str
    run: int
    payload: str
    saved: str = ""
    ticket: str = ""


@dataclass(frozen=True)
class StopOrder:
    """Order to stop a run on a worker."""

    vm: VmId
    task: str
    run: int


@dataclass(frozen=True)
class PaceOrder:
    """Order to let a run work at a share of its speed.

    Attributes:
        vm: The worker.
        task: Name of the task.
        run: Run number.
        percent: The share in percent.
    """

    vm: VmId
    task: str
    run: int
    percent: int


@dataclass(frozen=True)
class AdviceOrder:
    """Request for tickets of the advice service.

    Attributes:
        stage: Key of the step.
        vms: Workers to ask about.
        expected_s: Expected duration of the call in seconds.
    """

    stage: str
    vms: tuple[VmId, ...]
    expected_s: float


class OrderSender(Protocol):
    """Sends orders and lease renewals to workers."""

    async def start(
        self,
        worker: WorkerEntry,
        order: StartOrder,
        token: FencingToken,
        until: float,
        send_by: float,
    ) -> OrderAnswer:
        """Starts a task under a lease.

        Args:
            worker: The worker.
            order: The order.
            token: Fencing token.
            until: End of the lease in seconds on the worker's clock.
            send_by: Latest time at which a byte of the call may be sent, see
                `Clock.now_with_suspensions`.
        """

    async def stop(
        self, worker: WorkerEntry, order: StopOrder, token: FencingToken
    ) -> OrderAnswer:
        """Stops a run."""

    async def pace(
        self, worker: WorkerEntry, order: PaceOrder, token: FencingToken
    ) -> OrderAnswer:
        """Lets a run work at a share of its speed."""

    async def renew(
        self,
        worker: WorkerEntry,
        token: FencingToken,
        acknowledged: int,
        until: float | None,
        wait: float,
        send_by: float,
    ) -> WorkerReport | OrderAnswer:
        """Renews the lease of a worker and reads its report.

        Args:
            worker: The worker.
            token: Fencing token.
            acknowledged: Number of the newest end that is stored.
            until: New end of the lease in seconds on the worker's clock; None to
                grant no lease.
            wait: Seconds that the worker may wait for a change to report.
            send_by: As for `start`.

        Returns:
            The report, or the outcome if there is none.
        """


class Advisor(Protocol):
    """Advice service, which decides which workers may run a step."""

    async def advise(
        self, request_id: str, stage: str, workers: list[str], timeout: float
    ) -> AdviceReply:
        """Requests tickets for a step.

        Args:
            request_id: Id of the call.
            stage: Key of the step.
            workers: Workers to ask about.
            timeout: Seconds to wait for the reply.
        """
