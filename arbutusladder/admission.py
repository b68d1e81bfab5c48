"""Bounded queues of requests by service and urgency, with deadlines."""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import islice

from arbutusladder.ids import VmId
from arbutusladder.states import Reason, Urgency

# Share of the slots that a class gets while all classes have waiting requests.
SLOT_WEIGHT_BY_URGENCY = {
    Urgency.URGENT: 8,
    Urgency.SERVICE: 4,
    Urgency.NORMAL: 2,
    Urgency.BATCH: 1,
}
QUEUE_SHARE_BY_URGENCY = {
    Urgency.URGENT: 0.4,
    Urgency.SERVICE: 0.25,
    Urgency.NORMAL: 0.2,
    Urgency.BATCH: 0.15,
}
DEFAULT_RESERVE = 0.25
ESTIMATE_GAIN = 0.125
# Without new answers an estimate halves in this time, so that an estimate
# above every deadline cannot refuse all requests for ever.
ESTIMATE_HALF_LIFE_S = 1.0
SHORTEST_HINT_S = 0.05
LONGEST_HINT_S = 30.0
LOOK_AHEAD = 4


@dataclass(eq=False)
class Ticket:
    """One waiting or running request.

    Attributes:
        service: Service that must run it.
        urgency: Class of the request.
        deadline: Monotonic time by which the caller needs the answer.
        excluded: Executors that already failed it.
    """

    service: str
    urgency: Urgency
    deadline: float
    excluded: frozenset[VmId] = frozenset()


@dataclass(frozen=True)
class Refusal:
    """Why a request is not queued.

    Attributes:
        reason: Reason code.
        retry_after: Seconds after which a place is expected.
    """

    reason: Reason
    retry_after_s: float


class ServiceTime:
    """Moving average of the service time from recent answers."""

    def __init__(self):
        self._mean = 0.0
        self._at = 0.0

    def add(self, seconds: float, now: float) -> None:
        """Takes the service time of one answer."""
        known = self.estimate(now)
        self._mean = known + ESTIMATE_GAIN * (seconds - known) if known else seconds
        self._at = now

    def estimate(self, now: float) -> float:
        """Returns the expected service time in seconds, 0 when unknown."""
        age = now - self._at
        if age <= ESTIMATE_HALF_LIFE_S:
            return self._mean
        return self._mean * 0.5 ** (age / ESTIMATE_HALF_LIFE_S - 1)


@dataclass
class _Class:
    waiting: OrderedDict[Ticket, None] = field(default_factory=OrderedDict)
    running: int = 0
    time: ServiceTime = field(default_factory=ServiceTime)


class _Service:
    def __init__(self):
        self.slots = 0
        self.classes = {urgency: _Class() for urgency in Urgency}


class AdmissionController:
    """Decides which requests wait, which start next and which are refused.

    A free slot goes to the waiting class that uses the least of its weight, so
    a flood of one class leaves every other class its share. A fraction of the
    slots is kept free for urgent requests.

    Args:
        queue_limit: Waiting requests of one shard.
        reserve: Fraction of the slots kept for urgent requests.
    """

    def __init__(self, queue_limit: int, reserve: float = DEFAULT_RESERVE):
        self._queue_limit = queue_limit
        self._reserve = reserve
        self._services: dict[str, _Service] = {}
        self.waiting = 0

    def set_urgent_reserve(self, reserve: float) -> None:
        """Sets the fraction of the slots kept for urgent requests."""
        self._reserve = reserve

    def set_slots(self, service: str, slots: int) -> None:
        """Sets the number of slots of the executors that take new work."""
        self._service(service).slots = slots

    def services(self) -> list[str]:
        """Returns the services with waiting requests."""
        return [
            name
            for name, service in self._services.items()
            if any(c.waiting for c in service.classes.values())
        ]

    def offer(
        self, ticket: Ticket, now: float, free: int, not_before: float = 0.0
    ) -> Refusal | None:
        """Queues a request, or tells why it is refused.

        Args:
            ticket: The request.
            now: Monotonic time in seconds.
            free: Free slots of the service.
            not_before: Time before which no slot can become free.
        """
        service = self._service(ticket.service)
        own = service.classes[ticket.urgency]
        wait = self._wait(service, ticket.urgency, now, free)
        wait = max(wait, not_before - now)
        if len(own.waiting) >= self._class_limit(ticket.urgency):
            return Refusal(Reason.QUEUE_FULL, _hint(wait))
        excess = now + wait + own.time.estimate(now) - ticket.deadline
        if excess > 0:
            return Refusal(Reason.DEADLINE_UNREACHABLE, _hint(excess))
        self._enqueue(own, ticket)
        return None

    def offer_retry(self, ticket: Ticket) -> None:
        """Queues a request again, in front of its class."""
        own = self._class(ticket)
        self._enqueue(own, ticket)
        own.waiting.move_to_end(ticket, last=False)

    def withdraw(self, ticket: Ticket) -> bool:
        """Removes a waiting request; returns whether it was waiting."""
        waiting = self._class(ticket).waiting
        if ticket not in waiting:
            return False
        del waiting[ticket]
        self.waiting -= 1
        return True

    def candidates(self, service: str, free: int) -> Iterator[Ticket]:
        """Yields the first waiting requests of each class, best class first.

        More than one of a class, because the first can be a retry that waits
        for another executor than the one that is free.

        Args:
            service: The service.
            free: Free slots of the service.
        """
        if free <= 0:
            return
        known = self._service(service)
        kept = self._kept_for_urgent(known)
        for urgency in sorted(Urgency, key=lambda u: _use(known, u)):
            if urgency is not Urgency.URGENT and free <= kept:
                continue
            yield from islice(known.classes[urgency].waiting, LOOK_AHEAD)

    def start(self, ticket: Ticket) -> None:
        """Moves a waiting request to running."""
        self.withdraw(ticket)
        self._class(ticket).running += 1

    def end(self, ticket: Ticket, seconds: float | None, now: float) -> None:
        """Ends a running request.

        Args:
            ticket: The request.
            seconds: Service time, or None if it says nothing.
            now: Monotonic time in seconds.
        """
        own = self._class(ticket)
        own.running -= 1
        if seconds is not None:
            own.time.add(seconds, now)

    def is_late(self, ticket: Ticket, now: float) -> bool:
        """Tells whether a waiting request can no longer be answered in time."""
        return now + self.estimate(ticket, now) >= ticket.deadline

    def estimate(self, ticket: Ticket, now: float) -> float:
        """Returns the expected service time of a request in seconds."""
        return self._class(ticket).time.estimate(now)

    def wait_hint_s(self, ticket: Ticket, now: float, free: int) -> float:
        """Returns the seconds after which a place for a request is expected."""
        service = self._service(ticket.service)
        return _hint(self._wait(service, ticket.urgency, now, free))

    def _enqueue(self, own: _Class, ticket: Ticket) -> None:
        own.waiting[ticket] = None
        self.waiting += 1

    def _service(self, name: str) -> _Service:
        if name not in self._services:
            self._services[name] = _Service()
        return self._services[name]

    def _class(self, ticket: Ticket) -> _Class:
        return self._service(ticket.service).classes[ticket.urgency]

    def _class_limit(self, urgency: Urgency) -> int:
        share = self._queue_limit * QUEUE_SHARE_BY_URGENCY[urgency]
        return max(1, int(share / max(1, len(self._services))))

    def _reserved(self, service: _Service) -> int:
        return min(int(service.slots * self._reserve), max(0, service.slots - 1))

    def _kept_for_urgent(self, service: _Service) -> int:
        used = service.classes[Urgency.URGENT].running
        return max(0, self._reserved(service) - used)

    def _wait(
        self, service: _Service, urgency: Urgency, now: float, free: int
    ) -> float:
        own = service.classes[urgency]
        kept = 0 if urgency is Urgency.URGENT else self._kept_for_urgent(service)
        if free - kept > len(own.waiting):
            return 0.0
        share = self._slot_share(service, urgency)
        return (len(own.waiting) + 1) * own.time.estimate(now) / share

    def _slot_share(self, service: _Service, urgency: Urgency) -> float:
        slots = service.slots
        if urgency is not Urgency.URGENT:
            slots -= self._reserved(service)
        busy = [u for u, c in service.classes.items() if c.waiting or u is urgency]
        weight = SLOT_WEIGHT_BY_URGENCY[urgency]
        by_weight = slots * weight / sum(SLOT_WEIGHT_BY_URGENCY[u] for u in busy)
        others = sum(c.running for u, c in service.classes.items() if u is not urgency)
        return max(by_weight, slots - others, 1.0)


def _use(service: _Service, urgency: Urgency) -> float:
    return service.classes[urgency].running / SLOT_WEIGHT_BY_URGENCY[urgency]


def _hint(seconds: float) -> float:
    return min(LONGEST_HINT_S, max(SHORTEST_HINT_S, seconds))
