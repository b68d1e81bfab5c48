"""Faults of the search, and which of them are in force.

`OWNER` as an entry VM stands for the one that owns the cell when the fault begins.
"""

import random
from dataclasses import dataclass, field

OWNER = "owner"
ANY = "*"


@dataclass(frozen=True)
class Fault:
    """A fault in force from `at` for `seconds`, both counted from the plan's start."""

    at: float
    seconds: float


@dataclass(frozen=True)
class MessagesLost(Fault):
    """A share of the messages of one type, or of all, is lost on a link."""

    sender: str
    receiver: str
    share: float
    kind: str = ANY


@dataclass(frozen=True)
class MessagesDelayed(Fault):
    """Messages of a link take up to a number of seconds."""

    sender: str
    receiver: str
    delay_s: float


@dataclass(frozen=True)
class LogCut(Fault):
    """No log call of an entry VM arrives."""

    vm: str


@dataclass(frozen=True)
class ReadsSilent(Fault):
    """Reads of one topic, or of all, by one entry VM or any get no answer."""

    vm: str
    topic: str


@dataclass(frozen=True)
class LogSlow(Fault):
    """Log calls of an entry VM take up to a number of seconds."""

    vm: str
    delay_s: float


@dataclass(frozen=True)
class AppendsLate(Fault):
    """A share of the appends is applied seconds later, without an answer."""

    vm: str
    share: float


@dataclass(frozen=True)
class AnswersLost(Fault):
    """A share of the appends is applied without an answer."""

    vm: str
    share: float


@dataclass(frozen=True)
class LogDown(Fault):
    """The log refuses all calls."""


@dataclass(frozen=True)
class VmKilled(Fault):
    """An entry VM is killed and starts again empty."""

    vm: str


@dataclass(frozen=True)
class VmPaused(Fault):
    """An entry VM runs none of its tasks."""

    vm: str


@dataclass(frozen=True)
class WorkerRestarted(Fault):
    """A worker crashes and starts again under its id."""

    worker: str


@dataclass(frozen=True)
class WorkerMoved(Fault):
    """A worker crashes and starts again under its id at another address."""

    worker: str


@dataclass(frozen=True)
class WorkerSilent(Fault):
    """Nothing that one entry VM, or any, sends to a worker arrives."""

    worker: str
    vm: str = ANY


@dataclass(frozen=True)
class WorkerOfOneVm(Fault):
    """Only what one entry VM sends to a worker arrives."""

    worker: str
    vm: str


@dataclass(frozen=True)
class OrdersLate(Fault):
    """A worker carries a share of the start orders out late, without an answer."""

    worker: str
    share: float


@dataclass(frozen=True)
class VmKilledTwice(Fault):
    """An entry VM is killed, starts again, and is killed again after `up_s` seconds."""

    vm: str
    up_s: float


@dataclass(frozen=True)
class CallsLate(Fault):
    """A worker carries a share of the calls out late, without an answer."""

    worker: str
    share: float
    kinds: tuple


@dataclass(frozen=True)
class CallsUnanswered(Fault):
    """A worker carries a share of the calls out in time, without an answer."""

    worker: str
    share: float


@dataclass(frozen=True)
class CallsRefused(Fault):
    """A worker refuses a share of the calls and does nothing for them."""

    worker: str
    share: float


@dataclass(frozen=True)
class WorkerCut(Fault):
    """Requests to a worker, or its answers, do not arrive.

    A share of the requests arrives when the cut ends. With `registry` the worker does
    not reach the registry either, so that its entry lapses.
    """

    worker: str
    vm: str = ANY
    requests: bool = True
    answers: bool = True
    registry: bool = False
    held_share: float = 0.0


@dataclass
class LogFaults:
    """Faults between one entry VM and the log."""

    cut: bool = False
    silent_reads: bool = False
    silent_topics: set[str] = field(default_factory=set)
    slow_s: float = 0.0
    late_share: float = 0.0
    lost_share: float = 0.0

    def delay_s(self):
        """Returns the delay of a call in seconds."""
        return random.uniform(0.0, self.slow_s) if self.slow_s else 0.0


class FaultsInForce:
    """The faults in force, with `OWNER` replaced by an entry VM.

    Attributes:
        faults: These faults.
    """

    def __init__(self):
        self.faults = []

    def of_log(self, vm):
        """Returns the faults between an entry VM and the log."""
        combined = LogFaults()
        for fault in self.faults:
            match fault:
                case LogCut(vm=at):
                    combined.cut |= at == vm
                case ReadsSilent(vm=at, topic=topic) if at in (vm, ANY):
                    combined.silent_reads |= topic == ANY
                    combined.silent_topics.add(topic)
                case LogSlow(vm=at, delay_s=delay_s) if at in (vm, ANY):
                    combined.slow_s = max(combined.slow_s, delay_s)
                case AppendsLate(vm=at, share=share) if at == vm:
                    combined.late_share = max(combined.late_share, share)
                case AnswersLost(vm=at, share=share) if at == vm:
                    combined.lost_share = max(combined.lost_share, share)
        return combined

    def message_delay_s(self, sender, receiver, message):
        """Returns the seconds that a message takes; None if it is lost."""
        delay_s = 0.0
        for fault in self.faults:
            match fault:
                case MessagesLost() if _is_on_link(fault, sender, receiver):
                    is_kind = fault.kind in (ANY, type(message).__name__)
                    if is_kind and random.random() < fault.share:
                        return None
                case MessagesDelayed() if _is_on_link(fault, sender, receiver):
                    delay_s = max(delay_s, random.uniform(0.0, fault.delay_s))
        # Receivers add LATENCY_S themselves.
        return delay_s

    def late_share(self, worker):
        """Returns the share of start orders that a worker carries out late."""
        shares = [
            fault.share
            for fault in self.faults
            if isinstance(fault, OrdersLate) and fault.worker == worker
        ]
        return max(shares, default=0.0)

    def call_share(self, kind, worker, method=ANY):
        """Returns the share of calls to a worker that a kind of fault applies to."""
        shares = [
            fault.share
            for fault in self.faults
            if isinstance(fault, kind) and fault.worker == worker
            if method in (ANY, *getattr(fault, "kinds", (method,)))
        ]
        return max(shares, default=0.0)

    def cuts(self, worker, vm):
        """Returns the cuts between a worker and an entry VM."""
        cuts = [
            fault
            for fault in self.faults
            if isinstance(fault, WorkerCut)
            and fault.worker == worker
            and fault.vm in (vm, ANY)
        ]
        if self.is_silent(worker, vm):
            cuts.append(WorkerCut(0.0, 0.0, worker))
        return cuts

    def reaches_registry(self, worker):
        """Returns whether a worker reaches the registry."""
        return not any(
            isinstance(fault, WorkerCut) and fault.worker == worker and fault.registry
            for fault in self.faults
        )

    def is_silent(self, worker, vm):
        """Returns whether nothing that an entry VM sends to a worker arrives."""
        for fault in self.faults:
            match fault:
                case WorkerSilent(worker=at, vm=sender) if at == worker:
                    if sender in (vm, ANY):
                        return True
                case WorkerOfOneVm(worker=at, vm=sender) if at == worker:
                    if sender != vm:
                        return True
        return False


def _is_on_link(fault, sender, receiver):
    return fault.sender in (sender, ANY) and fault.receiver in (receiver, ANY)
