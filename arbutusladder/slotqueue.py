"""Queue of requests that wait for a free slot of an executor.

`SlotQueue` owns the slots that are assigned but not yet in use; the order of the queue
is decided by `arbutusladder.admission`.
"""

import curio

from arbutusladder.admission import AdmissionController, Refusal, Ticket
from arbutusladder.clock import Clock
from arbutusladder.endpointlimits import Slot
from arbutusladder.executors import ExecutorPool
from arbutusladder.states import Reason

# Seconds; a new executor becomes known with the next VM list.
NO_ENDPOINT_RETRY_AFTER_S = 1.0


class SlotQueue:
    """Assigns free slots of executors to waiting requests.

    Args:
        executors: Executors of the shard.
        admission: Determines the order and refuses requests.
        clock: Monotonic time.
    """

    def __init__(
        self, executors: ExecutorPool, admission: AdmissionController, clock: Clock
    ):
        self._executors = executors
        self._admission = admission
        self._clock = clock
        self._wake_event_by_ticket: dict[Ticket, curio.Event] = {}
        self._slot_by_ticket: dict[Ticket, Slot] = {}

    def enqueue(self, ticket: Ticket) -> Refusal | None:
        """Queues a request; returns a refusal if it cannot be queued."""
        now = self._clock.now()
        if now >= ticket.deadline:
            return Refusal(Reason.DEADLINE_PASSED, 0.0)
        if not self._executors.serves(ticket.service):
            return Refusal(Reason.NO_ENDPOINT, NO_ENDPOINT_RETRY_AFTER_S)
        free = self._executors.free(ticket.service, now)
        blocked_until = self._executors.limits.blocked_until
        refusal = self._admission.enqueue(ticket, now, free, blocked_until)
        if refusal is None:
            self._wake_event_by_ticket[ticket] = curio.Event()
        return refusal

    def enqueue_retry(self, ticket: Ticket) -> None:
        """Queues a request for a retry, ahead of its urgency class."""
        self._admission.enqueue_retry(ticket)
        self._wake_event_by_ticket[ticket] = curio.Event()

    async def wait(self, ticket: Ticket) -> Slot | None:
        """Waits for a slot.

        Returns:
            The slot, or None if none is free in time or the wait was cancelled.
        """
        await self.assign_slots(ticket.service)
        now = self._clock.now()
        max_wait_s = ticket.deadline - now - self._admission.estimate(ticket, now)
        async with curio.ignore_after(max(0.0, max_wait_s)):
            await self._wake_event_by_ticket[ticket].wait()
        self.remove(ticket)
        return self._slot_by_ticket.pop(ticket, None)

    async def cancel_wait(self, ticket: Ticket) -> None:
        """Ends the wait of a request whose caller disconnected."""
        if ticket in self._wake_event_by_ticket:
            await self._wake_event_by_ticket[ticket].set()

    def remove(self, ticket: Ticket) -> None:
        """Removes a request from the queue if it is still waiting."""
        if self._wake_event_by_ticket.pop(ticket, None):
            self._admission.remove(ticket)

    async def end_request(self, ticket: Ticket, seconds: float | None) -> None:
        """Records the end of a running request and assigns its slot.

        Args:
            ticket: Ticket of the request.
            seconds: Service time in seconds, or None if it is not known.
        """
        self._admission.end_request(ticket, seconds, self._clock.now())
        await self.assign_slots(ticket.service)

    async def cancel_all_waits(self) -> None:
        """Ends the waits of all requests."""
        for wake_event in list(self._wake_event_by_ticket.values()):
            await wake_event.set()

    async def assign_all_slots(self) -> None:
        """Assigns free slots to waiting requests of all services."""
        self.update_slot_counts()
        for service in self._admission.services():
            await self.assign_slots(service)

    async def assign_slots(self, service: str) -> None:
        """Assigns free slots to waiting requests of a service."""
        while wake_event := self._assign_one(service):
            await wake_event.set()

    def update_slot_counts(self) -> None:
        """Passes the usable slots of each service to admission control."""
        now = self._clock.now()
        for service in self._executors.services():
            self._admission.set_slots(
                service, self._executors.usable_slots(service, now)
            )

    def _assign_one(self, service: str) -> curio.Event | None:
        if not self._admission.waiting:
            return None
        now = self._clock.now()
        free = self._executors.free(service, now)
        for ticket in self._admission.candidates(service, free):
            slot = self._executors.acquire_slot(service, now, ticket.excluded)
            if slot:
                self._admission.start(ticket)
                self._slot_by_ticket[ticket] = slot
                return self._wake_event_by_ticket[ticket]
        return None
