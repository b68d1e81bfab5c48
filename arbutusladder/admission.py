"""Admission control for requests.

Keeps bounded queues by service and urgency class, refuses requests that cannot meet
their deadline and decides which waiting request gets the next free slot.
"""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import islice

from arbutusladder.ids import VmId
from arbutusladder.states import Reason, Urgency

# Relative share of the slots of a class while all classes have waiting requests.
SLOT_WEIGHT_BY_URGENCY = {
    Urgency.URGENT: 8,
    Urgency.SERVICE: 4,
    Urgency.NORMAL: 2,
    Urgency.BATCH: 1,
}
# Fraction of the queue limit that the waiting requests of a class may fill.
QUEUE_SHARE_BY_URGENCY = {
    Urgency.URGENT: 0.4,
    Urgency.SERVICE: 0.25,
    Urgency.NORMAL: 0.2,
    Urgency.BATCH: 0.15,
}
# Fraction of the slots kept free for urgent requests.
DEFAULT_URGENT_RESERVE = 0.25
# Weight of the newest sample in the moving average of service times.
SMOOTHING_FACTOR = 0.125
# Half-life of an estimate without new samples. Without decay, an estimate above
# every deadline would refuse all requests forever.
ESTIMATE_HALF_LIFE_S = 1.0
# Bounds of the retry hints sent with refusals.
MIN_WAIT_HINT_S = 0.05
MAX_WAIT_HINT_S = 30.0
# Waiting requests of a class that are considered for a free slot.
MAX_CANDIDATES_PER_CLASS = 4


@dataclass(eq=False)
class Ticket:
    """A waiting or running request as the admission controller tracks it.

    Attributes:
        service: Service that handles it.
        urgency: Urgency class of the request.
        deadline: Monotonic time in seconds by which the caller needs the answer.
        excluded: Executors on which an earlier attempt failed.
    """

    service: str
    urgency: Urgency
    deadline: float
    excluded: frozenset[VmId] = frozenset()


@dataclass(frozen=True)
class Refusal:
    """Refusal to queue a request.

    Attributes:
        reason: Reason code.
        retry_after_s: Seconds after which a retry is expected to be admitted.
    """

    reason: Reason
    retry_after_s: float


class ServiceTime:
    """Exponential moving average of the service time of recent requests."""

    def __init__(self):
        self._mean_s = 0.0
        self._updated_at = 0.0

    def add(self, seconds: float, now: float) -> None:
        """Adds the service time of one request in seconds."""
        mean = self.estimate(now)
        self._mean_s = mean + SMOOTHING_FACTOR * (seconds - mean) if mean else seconds
        self._updated_at = now

    def estimate(self, now: float) -> float:
        """Returns the expected service time in seconds, 0 if unknown."""
        age = now - self._updated_at
        if age <= ESTIMATE_HALF_LIFE_S:
            return self._mean_s
        return self._mean_s * 0.5 ** (age / ESTIMATE_HALF_LIFE_S - 1)


@dataclass
class _ClassQueue:
    """Waiting and running requests of one service and urgency class."""

    waiting: OrderedDict[Ticket, None] = field(default_factory=OrderedDict)
    running: int = 0
    service_time: ServiceTime = field(default_factory=ServiceTime)


class _ServiceQueues:
    """Slots and class queues of one service."""

    def __init__(self):
        self.slots = 0
        self.classes = {urgency: _ClassQueue() for urgency in Urgency}


class AdmissionController:
    """Decides which requests are queued, started and refused.

    A free slot goes to the waiting class with the fewest running requests relative
    to its weight, so a flood of one class does not starve the others. A fraction of
    the slots is kept free for urgent requests.

    Args:
        queue_limit: Maximum number of waiting requests of one shard.
        reserve: Fraction of the slots kept for urgent requests.
    """

    def __init__(self, queue_limit: int, reserve: float = DEFAULT_URGENT_RESERVE):
        self._queue_limit = queue_limit
        self._reserve = reserve
        self._services: dict[str, _ServiceQueues] = {}
        self.waiting = 0

    def set_urgent_reserve(self, reserve: float) -> None:
        """Sets the fraction of the slots kept for urgent requests."""
        self._reserve = reserve

    def set_slots(self, service: str, slots: int) -> None:
        """Sets the number of slots on executors that accept new requests."""
        self._service(service).slots = slots

    def services(self) -> list[str]:
        """Returns the services with waiting requests."""
        return [
            name
            for name, service in self._services.items()
            if any(c.waiting for c in service.classes.values())
        ]

    def enqueue(
        self, ticket: Ticket, now: float, free: int, not_before: float = 0.0
    ) -> Refusal | None:
        """Queues a request or refuses it.

        Args:
            ticket: The request.
            now: Monotonic time in seconds.
            free: Free slots of the service.
            not_before: Monotonic time before which no slot can become free.

        Returns:
            The refusal, or None if the request was queued.
        """
        service = self._service(ticket.service)
        class_queue = service.classes[ticket.urgency]
        wait = self._expected_wait_s(service, ticket.urgency, now, free)
        wait = max(wait, not_before - now)
        if len(class_queue.waiting) >= self._class_limit(ticket.urgency):
            return Refusal(Reason.QUEUE_FULL, _bounded_wait_s(wait))
        excess = now + wait + class_queue.service_time.estimate(now) - ticket.deadline
        if excess > 0:
            return Refusal(Reason.DEADLINE_UNREACHABLE, _bounded_wait_s(excess))
        self._append(class_queue, ticket)
        return None

    def enqueue_retry(self, ticket: Ticket) -> None:
        """Queues a request for a retry, at the front of its class."""
        class_queue = self._class_queue(ticket)
        self._append(class_queue, ticket)
        class_queue.waiting.move_to_end(ticket, last=False)

    def remove(self, ticket: Ticket) -> bool:
        """Removes a request from its queue; returns whether it was waiting."""
        waiting = self._class_queue(ticket).waiting
        if ticket not in waiting:
            return False
        del waiting[ticket]
        self.waiting -= 1
        return True

    def candidates(self, service: str, free: int) -> Iterator[Ticket]:
        """Yields the first waiting requests of each class in order of precedence.

        Several requests of a class are candidates, because the first can be a retry
        that excludes the executor with the free slot.

        Args:
            service: Name of the service.
            free: Free slots of the service.
        """
        if free <= 0:
            return
        service_queues = self._service(service)
        reserved = self._free_reserved_slots(service_queues)
        for urgency in sorted(Urgency, key=lambda u: _weighted_use(service_queues, u)):
            if urgency is not Urgency.URGENT and free <= reserved:
                continue
            yield from islice(
                service_queues.classes[urgency].waiting, MAX_CANDIDATES_PER_CLASS
            )

    def start(self, ticket: Ticket) -> None:
        """Counts a waiting request as running."""
        self.remove(ticket)
        self._class_queue(ticket).running += 1

    def end_request(self, ticket: Ticket, seconds: float | None, now: float) -> None:
        """Ends a running request.

        Args:
            ticket: The request.
            seconds: Service time, or None if it is not representative.
            now: Monotonic time in seconds.
        """
        class_queue = self._class_queue(ticket)
        class_queue.running -= 1
        if seconds is not None:
            class_queue.service_time.add(seconds, now)

    def is_late(self, ticket: Ticket, now: float) -> bool:
        """Returns whether a waiting request can no longer meet its deadline."""
        return now + self.estimate(ticket, now) >= ticket.deadline

    def estimate(self, ticket: Ticket, now: float) -> float:
        """Returns the expected service time of a request in seconds."""
        return self._class_queue(ticket).service_time.estimate(now)

    def wait_hint_s(self, ticket: Ticket, now: float, free: int) -> float:
        """Returns the seconds after which a slot for a request is expected."""
        service = self._service(ticket.service)
        return _bounded_wait_s(
            self._expected_wait_s(service, ticket.urgency, now, free)
        )

    def _append(self, class_queue: _ClassQueue, ticket: Ticket) -> None:
        class_queue.waiting[ticket] = None
        self.waiting += 1

    def _service(self, name: str) -> _ServiceQueues:
        if name not in self._services:
            self._services[name] = _ServiceQueues()
        return self._services[name]

    def _class_queue(self, ticket: Ticket) -> _ClassQueue:
        return self._service(ticket.service).classes[ticket.urgency]

    def _class_limit(self, urgency: Urgency) -> int:
        share = self._queue_limit * QUEUE_SHARE_BY_URGENCY[urgency]
        return max(1, int(share / max(1, len(self._services))))

    def _reserved_slots(self, service: _ServiceQueues) -> int:
        return min(int(service.slots * self._reserve), max(0, service.slots - 1))

    def _free_reserved_slots(self, service: _ServiceQueues) -> int:
        """Returns the number of slots that are kept free for urgent requests."""
        running = service.classes[Urgency.URGENT].running
        return max(0, self._reserved_slots(service) - running)

    def _expected_wait_s(
        self, service: _ServiceQueues, urgency: Urgency, now: float, free: int
    ) -> float:
        class_queue = service.classes[urgency]
        reserved = (
            0 if urgency is Urgency.URGENT else self._free_reserved_slots(service)
        )
        if free - reserved > len(class_queue.waiting):
            return 0.0
        share = self._slot_share(service, urgency)
        return (
            (len(class_queue.waiting) + 1)
            * class_queue.service_time.estimate(now)
            / share
        )

    def _slot_share(self, service: _ServiceQueues, urgency: Urgency) -> float:
        """Returns the number of slots that a class can expect to use."""
        slots = service.slots
        if urgency is not Urgency.URGENT:
            slots -= self._reserved_slots(service)
        contending = [
            u for u, c in service.classes.items() if c.waiting or u is urgency
        ]
        weight = SLOT_WEIGHT_BY_URGENCY[urgency]
        by_weight = slots * weight / sum(SLOT_WEIGHT_BY_URGENCY[u] for u in contending)
        others = sum(c.running for u, c in service.classes.items() if u is not urgency)
        return max(by_weight, slots - others, 1.0)


def _weighted_use(service: _ServiceQueues, urgency: Urgency) -> float:
    """Returns the running requests of a class divided by its slot weight."""
    return service.classes[urgency].running / SLOT_WEIGHT_BY_URGENCY[urgency]


def _bounded_wait_s(seconds: float) -> float:
    return min(MAX_WAIT_HINT_S, max(MIN_WAIT_HINT_S, seconds))
