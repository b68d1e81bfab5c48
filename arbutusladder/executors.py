"""Executors of one shard: state, limits and connections."""

from collections.abc import Callable

from arbutusladder import events
from arbutusladder.clock import Clock
from arbutusladder.connections import EndpointConnectionPool
from arbutusladder.dispatch import Attempt, Dispatcher
from arbutusladder.endpointlimits import EndpointLimits, Slot
from arbutusladder.endpoints import Endpoint, EndpointRegistry
from arbutusladder.ids import VmId
from arbutusladder.journal import Journal
from arbutusladder.messages import ForwardRequest, VmRecord
from arbutusladder.retries import AttemptResult, Done, NotRun, Unknown
from arbutusladder.states import Reason


class ExecutorPool:
    """Executors of one shard with their state, limits and connections.

    Args:
        clock: Monotonic time.
        may_send: Asked immediately before each send.
        max_body: Largest accepted answer in bytes.
        max_request_time: Seconds for which an executor may run a request.
        journal: Receives changes of state.
    """

    def __init__(
        self,
        clock: Clock,
        may_send: Callable[[float], bool],
        max_body: int,
        max_request_time: float,
        journal: Journal,
    ):
        self._clock = clock
        self._journal = journal
        self._max_request_time = max_request_time
        self._endpoints = EndpointRegistry()
        self.limits = EndpointLimits()
        self._pool = EndpointConnectionPool(self.limits, clock, max_request_time)
        self._dispatcher = Dispatcher(
            self._pool, clock, may_send, max_body, max_request_time
        )
        self._unneeded: list[VmId] = []
        self._slots_by_service: dict[str, int] = {}
        self._grouped_version = -1
        self._grouped_until = 0.0

    def set_records(self, records: list[VmRecord]) -> None:
        """Takes the executors of the shard from a new VM list."""
        change = self._endpoints.set_records(records)
        for endpoint in change.removed:
            self.limits.remove_endpoint(endpoint.vm)
            self._unneeded.append(endpoint.vm)
        for endpoint in change.left:
            self._left(endpoint)
        for endpoint in self._endpoints.all():
            record = endpoint.record
            self.limits.set_endpoint(record.id, record.slots, record.connections)

    def drain(self, vm: VmId, draining: bool) -> bool:
        """Takes an operator's command; returns whether the VM is listed."""
        listed = self._endpoints.drain(vm, draining)
        if listed and draining:
            self._left(self._endpoints.get(vm))
        return listed

    def services(self) -> list[str]:
        """Returns the services of the listed executors."""
        return self._endpoints.services()

    def serves(self, service: str) -> bool:
        """Tells whether an executor takes work of a service, now or later."""
        return self._endpoints.serves(service)

    def slots(self, service: str, now: float) -> int:
        """Returns the slots of executors that take new work of a service."""
        self._group(now)
        return self._slots_by_service.get(service, 0)

    def free(self, service: str, now: float) -> int:
        """Returns the free slots of a service."""
        self._group(now)
        return self.limits.free_slots(service, now)

    def has_usable_executor(
        self, service: str, now: float, excluded: frozenset[VmId]
    ) -> bool:
        """Tells whether an executor takes work that is not excluded."""
        return bool(self._endpoints.usable(service, now, excluded))

    def acquire(
        self, service: str, now: float, excluded: frozenset[VmId]
    ) -> Slot | None:
        """Takes a slot of an executor that is not excluded."""
        self._group(now)
        slot = self.limits.acquire(service, now, excluded)
        if slot:
            self._endpoints.sent(slot.endpoint)
        return slot

    def release_unused(self, slot: Slot) -> None:
        """Gives back a slot that was not used."""
        self._endpoints.trial_ended(slot.endpoint)
        self.limits.release(slot, self._clock.now())

    async def run(
        self,
        slot: Slot,
        request: ForwardRequest,
        deadline: float,
        silence: float,
        max_idle: float,
        may_give_up: Callable[[bool], bool],
    ) -> AttemptResult:
        """Runs a request in a slot and gives the slot back or holds it."""
        endpoint = self._endpoints.get(slot.endpoint)
        if endpoint is None or endpoint.leaving:
            self.release_unused(slot)
            return NotRun(Reason.ENDPOINT_LEAVING)
        record = endpoint.record
        result = Unknown(Reason.CONNECTION_LOST, self._clock.now())
        try:
            result = await self._dispatcher.run(
                Attempt(request, record, deadline, silence, max_idle, may_give_up)
            )
        finally:
            self._ended(slot, result, silence)
        return result

    def _group(self, now: float) -> None:
        """Tells the limits which executors take work, when that has changed."""
        unchanged = self._grouped_version == self._endpoints.version
        if unchanged and now < self._grouped_until:
            return
        for service in {*self._slots_by_service, *self._endpoints.services()}:
            usable = self._endpoints.usable(service, now)
            self.limits.set_group(service, usable)
            self._slots_by_service[service] = sum(
                self._endpoints.get(vm).record.slots for vm in usable
            )
        self._grouped_version = self._endpoints.version
        self._grouped_until = self._endpoints.next_readmission(now)

    async def close_unneeded_connections(self) -> None:
        """Closes connections that are not needed or idle for too long."""
        while self._unneeded:
            await self._pool.close_idle(self._unneeded.pop())
        await self._pool.close_expired()

    async def close(self) -> None:
        """Closes all idle connections."""
        await self._pool.close_all()

    def _ended(self, slot: Slot, result: AttemptResult, silence: float) -> None:
        now = self._clock.now()
        vm = slot.endpoint
        match result:
            case Done():
                self.limits.release(slot, now)
                self._endpoints.answered(vm)
            case NotRun(Reason.CONNECT_FAILED):
                self.limits.release(slot, now)
                self._failed(vm, result.reason, now)
            case NotRun():
                self.limits.release(slot, now)
                self._endpoints.trial_ended(vm)
            case Unknown():
                self.limits.release_at(slot, result.sent_at + self._max_request_time)
                # A caller's short deadline or an old connection is no fault of
                # the executor.
                in_haste = result.reason is Reason.ATTEMPT_TIMEOUT and (
                    now - result.sent_at < silence
                )
                if result.new_connection and not in_haste:
                    self._failed(vm, result.reason, now)
                else:
                    self._endpoints.trial_ended(vm)
        if not isinstance(result, Unknown) and result.leaving:
            self._signalled_leaving(vm)

    def _failed(self, vm: VmId, reason: Reason, now: float) -> None:
        if self._endpoints.failed(vm, now):
            self._journal.write(
                events.ENDPOINT_SUSPECT, endpoint=vm, reason=reason.value
            )

    def _signalled_leaving(self, vm: VmId) -> None:
        if self._endpoints.signal_leaving(vm):
            self._left(self._endpoints.get(vm))

    def _left(self, endpoint: Endpoint) -> None:
        self._journal.write(events.ENDPOINT_LEAVING, endpoint=endpoint.vm)
        self._unneeded.append(endpoint.vm)
