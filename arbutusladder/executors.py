"""Runs requests on the executors of one shard, within their limits.

`ExecutorPool` owns the executors' states, slots and connections.
"""

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
    """Executors of one shard with their state, slots and connections.

    Args:
        clock: Monotonic time.
        may_send: Called with the monotonic time immediately before each send;
            returns whether this process may still send.
        max_body: Largest accepted response body in bytes.
        max_request_time: Seconds for which an executor may run a request.
        journal: Receives state changes of executors.
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
        self._vms_to_disconnect: list[VmId] = []
        self._slots_by_service: dict[str, int] = {}
        self._groups_version = -1
        self._groups_valid_until = 0.0

    def set_records(self, records: list[VmRecord]) -> None:
        """Applies the records of the shard's executors from a new VM list."""
        changes = self._endpoints.set_records(records)
        for endpoint in changes.removed:
            self.limits.remove_endpoint(endpoint.vm)
            self._vms_to_disconnect.append(endpoint.vm)
        for endpoint in changes.now_leaving:
            self._on_leaving(endpoint)
        for endpoint in self._endpoints.list_all():
            record = endpoint.record
            self.limits.set_endpoint(record.id, record.slots, record.connections)

    def drain(self, vm: VmId, draining: bool) -> bool:
        """Starts or ends a drain; returns whether the VM is listed."""
        listed = self._endpoints.set_drained(vm, draining)
        if listed and draining:
            self._on_leaving(self._endpoints.get(vm))
        return listed

    def services(self) -> list[str]:
        """Returns the services of the listed executors."""
        return self._endpoints.services()

    def serves(self, service: str) -> bool:
        """Returns whether any executor of a service is not leaving."""
        return self._endpoints.serves(service)

    def usable_slots(self, service: str, now: float) -> int:
        """Returns the slots of executors that may receive requests of a service."""
        self._update_groups(now)
        return self._slots_by_service.get(service, 0)

    def free(self, service: str, now: float) -> int:
        """Returns the number of free slots of a service."""
        self._update_groups(now)
        return self.limits.free_slots(service, now)

    def has_usable_executor(
        self, service: str, now: float, excluded: frozenset[VmId]
    ) -> bool:
        """Returns whether an executor that is not excluded may receive a request."""
        return bool(self._endpoints.find_usable(service, now, excluded))

    def acquire_slot(
        self, service: str, now: float, excluded: frozenset[VmId]
    ) -> Slot | None:
        """Acquires a slot of an executor that is not excluded, if one is free."""
        self._update_groups(now)
        slot = self.limits.acquire(service, now, excluded)
        if slot:
            self._endpoints.record_sent(slot.endpoint)
        return slot

    def release_unused(self, slot: Slot) -> None:
        """Releases a slot that was not used."""
        self._endpoints.end_trial(slot.endpoint)
        self.limits.release(slot, self._clock.now())

    async def run(
        self,
        slot: Slot,
        request: ForwardRequest,
        deadline: float,
        idle_timeout: float,
        max_connection_idle: float,
        should_give_up: Callable[[bool], bool],
    ) -> AttemptResult:
        """Runs a request in an acquired slot.

        The slot is released, or stays occupied while the executor may still run
        the request.

        Args:
            slot: Slot of the executor.
            request: The request.
            deadline: Monotonic time by which the response is needed.
            idle_timeout: Seconds without a received byte after which
                ``should_give_up`` is called.
            max_connection_idle: Longest time in seconds for which a reused
                connection may have been idle; 0 requires a new one.
            should_give_up: Called with whether the connection is new; returns
                whether to end the attempt.
        """
        endpoint = self._endpoints.get(slot.endpoint)
        if endpoint is None or endpoint.leaving:
            self.release_unused(slot)
            return NotRun(Reason.ENDPOINT_LEAVING)
        record = endpoint.record
        result = Unknown(Reason.CONNECTION_LOST, self._clock.now())
        try:
            result = await self._dispatcher.run(
                Attempt(
                    request,
                    record,
                    deadline,
                    idle_timeout,
                    max_connection_idle,
                    should_give_up,
                )
            )
        finally:
            self._record_result(slot, result, idle_timeout)
        return result

    def _update_groups(self, now: float) -> None:
        """Passes the usable executors to the limits if they have changed."""
        unchanged = self._groups_version == self._endpoints.version
        if unchanged and now < self._groups_valid_until:
            return
        for service in {*self._slots_by_service, *self._endpoints.services()}:
            usable_vms = self._endpoints.find_usable(service, now)
            self.limits.set_group(service, usable_vms)
            self._slots_by_service[service] = sum(
                self._endpoints.get(vm).record.slots for vm in usable_vms
            )
        self._groups_version = self._endpoints.version
        self._groups_valid_until = self._endpoints.next_trial_at(now)

    async def close_unneeded_connections(self) -> None:
        """Closes expired connections and those to leaving or removed executors."""
        while self._vms_to_disconnect:
            await self._pool.close_idle(self._vms_to_disconnect.pop())
        await self._pool.close_expired()

    async def close(self) -> None:
        """Closes all idle connections."""
        await self._pool.close_all()

    def _record_result(
        self, slot: Slot, result: AttemptResult, idle_timeout: float
    ) -> None:
        now = self._clock.now()
        vm = slot.endpoint
        match result:
            case Done():
                self.limits.release(slot, now)
                self._endpoints.record_success(vm)
            case NotRun(Reason.CONNECT_FAILED):
                self.limits.release(slot, now)
                self._record_failure(vm, result.reason, now)
            case NotRun():
                self.limits.release(slot, now)
                self._endpoints.end_trial(vm)
            case Unknown():
                self.limits.release_at(slot, result.sent_at + self._max_request_time)
                # A short deadline of the caller, or a failure on a reused
                # connection, does not count as a failure of the executor.
                ended_early = result.reason is Reason.ATTEMPT_TIMEOUT and (
                    now - result.sent_at < idle_timeout
                )
                if result.new_connection and not ended_early:
                    self._record_failure(vm, result.reason, now)
                else:
                    self._endpoints.end_trial(vm)
        if not isinstance(result, Unknown) and result.leaving:
            self._mark_leaving(vm)

    def _record_failure(self, vm: VmId, reason: Reason, now: float) -> None:
        if self._endpoints.record_failure(vm, now):
            self._journal.write(
                events.ENDPOINT_SUSPECT, endpoint=vm, reason=reason.value
            )

    def _mark_leaving(self, vm: VmId) -> None:
        if self._endpoints.mark_leaving(vm):
            self._on_leaving(self._endpoints.get(vm))

    def _on_leaving(self, endpoint: Endpoint) -> None:
        self._journal.write(events.ENDPOINT_LEAVING, endpoint=endpoint.vm)
        self._vms_to_disconnect.append(endpoint.vm)
