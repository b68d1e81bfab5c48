"""Gives free slots of executors to waiting requests."""

import curio

from arbutusladder.admission import AdmissionController, Refusal, Ticket
from arbutusladder.clock import Clock
from arbutusladder.endpointlimits import Slot
from arbutusladder.executors import ExecutorPool
from arbutusladder.states import Reason

# A new executor appears with the next VM list.
NO_ENDPOINT_HINT_S = 1.0


class SlotQueue:
    """Gives free slots of executors to waiting requests.

    Args:
        executors: Executors of the shard.
        admission: Decides the order.
        clock: Monotonic time.
    """

    def __init__(
        self, executors: ExecutorPool, admission: AdmissionController, clock: Clock
    ):
        self._executors = executors
        self._admission = admission
        self._clock = clock
        self._granted_by_ticket: dict[Ticket, curio.Event] = {}
        self._slots_by_ticket: dict[Ticket, Slot] = {}

    def enqueue(self, ticket: Ticket) -> Refusal | None:
        """Queues a request, or tells why it is refused."""
        now = self._clock.now()
        if now >= ticket.deadline:
            return Refusal(Reason.DEADLINE_PASSED, 0.0)
        if not self._executors.serves(ticket.service):
            return Refusal(Reason.NO_ENDPOINT, NO_ENDPOINT_HINT_S)
        free = self._executors.free(ticket.service, now)
        blocked_until = self._executors.limits.blocked_until
        refusal = self._admission.enqueue(ticket, now, free, blocked_until)
        if refusal is None:
            self._granted_by_ticket[ticket] = curio.Event()
        return refusal

    def enqueue_retry(self, ticket: Ticket) -> None:
        """Queues a request again, in front of its class."""
        self._admission.enqueue_retry(ticket)
        self._granted_by_ticket[ticket] = curio.Event()

    async def wait(self, ticket: Ticket) -> Slot | None:
        """Waits for a slot; None when it comes too late or on ``wake``."""
        await self.assign_slots(ticket.service)
        now = self._clock.now()
        limit = ticket.deadline - now - self._admission.estimate(ticket, now)
        async with curio.ignore_after(max(0.0, limit)):
            await self._granted_by_ticket[ticket].wait()
        self.remove(ticket)
        return self._slots_by_ticket.pop(ticket, None)

    async def cancel_wait(self, ticket: Ticket) -> None:
        """Ends the wait of a request whose caller is gone."""
        if ticket in self._granted_by_ticket:
            await self._granted_by_ticket[ticket].set()

    def remove(self, ticket: Ticket) -> None:
        """Removes a request that need not wait any more."""
        if self._granted_by_ticket.pop(ticket, None):
            self._admission.remove(ticket)

    async def end_request(self, ticket: Ticket, seconds: float | None) -> None:
        """Ends a running request and starts waiting ones."""
        self._admission.end_request(ticket, seconds, self._clock.now())
        await self.assign_slots(ticket.service)

    async def cancel_all_waits(self) -> None:
        """Ends all waits."""
        for granted in list(self._granted_by_ticket.values()):
            await granted.set()

    async def assign_all_slots(self) -> None:
        """Gives free slots to waiting requests of all services."""
        self.update_slot_counts()
        for service in self._admission.services():
            await self.assign_slots(service)

    async def assign_slots(self, service: str) -> None:
        """Gives free slots to waiting requests of a service."""
        while granted := self._grant_one(service):
            await granted.set()

    def update_slot_counts(self) -> None:
        """Tells admission how many slots each service has."""
        now = self._clock.now()
        for service in self._executors.services():
            self._admission.set_slots(service, self._executors.slots(service, now))

    def _grant_one(self, service: str) -> curio.Event | None:
        if not self._admission.waiting:
            return None
        now = self._clock.now()
        free = self._executors.free(service, now)
        for ticket in self._admission.candidates(service, free):
            slot = self._executors.acquire(service, now, ticket.excluded)
            if slot:
                self._admission.start(ticket)
                self._slots_by_ticket[ticket] = slot
                return self._granted_by_ticket[ticket]
        return None
