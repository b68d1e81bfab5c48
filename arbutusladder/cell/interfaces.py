"""What a cell needs of its surroundings: a log, workers and placement advice."""

from dataclasses import dataclass, field
from typing import Protocol

from arbutusladder.cell.states import EndKind, OrderOutcome
from arbutusladder.ids import Epoch, VmId
from arbutusladder.messages import AdviceReply, Resources


@dataclass(frozen=True)
class KeyedRecord:
    """One record of a keyed topic.

    Attributes:
        offset: Position in the topic.
        key: Key; the newest record of a key is kept for good.
        value: Content; empty when the key was dropped.
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


class OffsetDeleted(Exception):
    """The records at a position are deleted; read the newest of each key."""


class WriterFenced(Exception):
    """Another writer has appended under a higher epoch."""


class UnexpectedEndOffset(Exception):
    """The topic does not end where the writer expected.

    Attributes:
        end: Where it ends.
    """

    def __init__(self, end: int):
        super().__init__(f"the topic ends at {end}; read it and decide again")
        self.end = end


@dataclass(frozen=True)
class WriterPosition:
    """Identity of a writer whose appends are repeatable and fenced."""

    producer: str
    epoch: Epoch
    sequence: int


class KeyedLog(Protocol):
    """Topics whose newest record of each key is kept for good.

    All calls raise `arbutusladder.errors.LogUnavailable` when the log gave no
    answer or refused; its ``maybe_applied`` tells the two apart.
    """

    async def append(
        self,
        topic: str,
        items: list[tuple[str, bytes]],
        expected_end: int | None = None,
        writer: WriterPosition | None = None,
        timeout: float = 2.0,
    ) -> int:
        """Appends records and returns the offset of the first one.

        Raises:
            EndMoved: The topic does not end at ``expected_end``.
            Fenced: A higher epoch was seen.
        """

    async def set_epoch(self, topic: str, writer: WriterPosition) -> None:
        """Fences off writers of lower epochs without appending."""

    async def read(self, topic: str, offset: int, wait: float = 0.0) -> LogBatch:
        """Reads records from an offset on, waiting for the first one.

        Raises:
            PositionLost: Records at the offset are deleted.
        """

    async def newest(self, topic: str) -> LogBatch:
        """Reads the newest record of each key."""


@dataclass(frozen=True)
class WorkerEntry:
    """What a worker says of itself in the registry.

    Attributes:
        vm: Id of this life of the worker.
        born: Time of its start; a restart may keep the id.
        address: Where it takes orders.
        service: Service whose tasks it runs.
        failure_domain: Where it stands.
        capacity: What it has.
        labels: Its kind and its rack.
        draining: Whether it takes no new tasks.
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
        """Label of the rack, which is the last one."""
        return self.labels[-1] if self.labels else ""


@dataclass(frozen=True)
class RunningTask:
    """A run that a worker lists as running."""

    task: str
    run: int
    saved: str
    percent: float


@dataclass(frozen=True)
class EndedTask:
    """A run that a worker lists as ended."""

    number: int
    task: str
    run: int
    how: EndKind
    saved: str


@dataclass(frozen=True)
class WorkerReport:
    """Answer of a worker to a lease renewal.

    Attributes:
        born: Time of the start of this life; 0 when not said.
        clock: The worker's clock in seconds.
        running: Runs in progress.
        ended: Ends that have not been acknowledged.
    """

    born: int
    clock: float
    running: list[RunningTask] = field(default_factory=list)
    ended: list[EndedTask] = field(default_factory=list)


@dataclass(frozen=True)
class OrderAnswer:
    """Answer to a start or stop order.

    Attributes:
        outcome: What the worker said.
        clock: The worker's clock in seconds; None when not said.
    """

    outcome: OrderOutcome
    clock: float | None = None


@dataclass(frozen=True)
class StartOrder:
    """A task to start on a worker."""

    vm: VmId
    task: str
    run: int
    payload: str
    saved: str = ""
    ticket: str = ""


@dataclass(frozen=True)
class StopOrder:
    """A run to stop on a worker."""

    vm: VmId
    task: str
    run: int


@dataclass(frozen=True)
class AdviceOrder:
    """A step for which tickets are wanted."""

    stage: str
    vms: tuple[VmId, ...]
    expected_s: float


class OrderSender(Protocol):
    """Sends orders to workers."""

    async def start(
        self, worker: WorkerEntry, order: StartOrder, epoch: Epoch, until: float
    ) -> OrderAnswer:
        """Starts a task under a lease that ends at ``until`` on its clock."""

    async def stop(
        self, worker: WorkerEntry, order: StopOrder, epoch: Epoch
    ) -> OrderAnswer:
        """Stops a run."""

    async def renew(
        self,
        worker: WorkerEntry,
        epoch: Epoch,
        acknowledged: int,
        until: float | None,
        wait: float,
    ) -> WorkerReport | OrderAnswer:
        """Renews the lease, acknowledges ends and reads what runs."""


class Advisor(Protocol):
    """Tells which workers may run a step."""

    async def advise(
        self, request_id: str, stage: str, workers: list[str], timeout: float
    ) -> AdviceReply:
        """Asks for tickets."""
