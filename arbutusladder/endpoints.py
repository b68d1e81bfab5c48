"""State of a shard's executors.

An executor's state combines the VM list, the leaving header of its responses, drains
by operators and consecutive failures.
"""

from dataclasses import dataclass, field
from enum import Enum

from arbutusladder.ids import VmId
from arbutusladder.messages import VmRecord
from arbutusladder.states import VmKind, VmState

# Consecutive failures after which an executor is suspect.
SUSPECT_AFTER_FAILURES = 3
# Seconds before a suspect executor gets a trial request; doubled after each further
# failure, up to the maximum.
INITIAL_PAUSE_S = 0.5
MAX_PAUSE_S = 5.0


class EndpointState(Enum):
    """Whether an executor may receive new requests."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    REMOVED = "gone"


@dataclass
class Endpoint:
    """State of one executor.

    Attributes:
        record: Newest record in the VM list.
        listed: Whether the newest VM list contains the executor.
        replaced: Whether a newer executor is listed at the same address.
        signalled_leaving: Whether a response of the executor announced that it is
            leaving.
        drained: Whether an operator drains it.
        failures: Consecutive failures.
        paused_until: Monotonic time in seconds before which a suspect executor gets
            no requests.
        trial_running: Whether the single trial request of a suspect executor is
            running.
    """

    record: VmRecord
    listed: bool = True
    replaced: bool = False
    signalled_leaving: bool = False
    drained: bool = False
    failures: int = 0
    paused_until: float = 0.0
    trial_running: bool = False

    @property
    def vm(self) -> VmId:
        """Id of the VM."""
        return self.record.id

    @property
    def leaving(self) -> bool:
        """Whether the executor is leaving according to any source."""
        return (
            self.record.state is VmState.LEAVING
            or self.signalled_leaving
            or self.drained
        )

    @property
    def suspect(self) -> bool:
        """Whether the executor reached the limit of consecutive failures."""
        return self.failures >= SUSPECT_AFTER_FAILURES

    def state(self) -> EndpointState:
        """Returns the combined state."""
        if not self.listed:
            return EndpointState.REMOVED
        if self.leaving:
            return EndpointState.LEAVING
        return EndpointState.SUSPECT if self.suspect else EndpointState.LIVE

    def accepts_requests(self, now: float) -> bool:
        """Returns whether the executor may receive a request now."""
        if not self.suspect:
            return self.listed and not self.replaced and not self.leaving
        return now >= self.paused_until and self.accepts_trial()

    def accepts_trial(self) -> bool:
        """Returns whether a suspect executor may receive a trial request."""
        present = self.listed and not self.replaced and not self.leaving
        return present and self.suspect and not self.trial_running


@dataclass
class EndpointChanges:
    """Changes between two VM lists.

    Attributes:
        added: Executors that are new.
        removed: Executors that are no longer listed.
        now_leaving: Executors whose state changed to leaving.
    """

    added: list[Endpoint] = field(default_factory=list)
    removed: list[Endpoint] = field(default_factory=list)
    now_leaving: list[Endpoint] = field(default_factory=list)


class EndpointRegistry:
    """Executors of one shard by VM id.

    An executor with a new VM id at the address of an earlier one is a new executor
    without history.

    Attributes:
        version: Incremented by each change of state that affects ``find_usable``;
            the passing of time is not counted.
    """

    def __init__(self):
        self.version = 0
        self._endpoints_by_vm: dict[VmId, Endpoint] = {}
        self._vms_by_service: dict[str, list[VmId]] = {}
        self._drained: set[VmId] = set()

    def set_records(self, records: list[VmRecord]) -> EndpointChanges:
        """Applies a new VM list; VMs that are not executors are ignored."""
        changes = EndpointChanges()
        executors = [r for r in records if r.kind is VmKind.EXECUTOR]
        listed = {record.id for record in executors}
        for vm in [vm for vm in self._endpoints_by_vm if vm not in listed]:
            endpoint = self._endpoints_by_vm.pop(vm)
            endpoint.listed = False
            changes.removed.append(endpoint)
        for record in executors:
            self._update_record(record, changes)
        self.version += 1
        self._mark_replaced()
        self._rebuild_service_index()
        return changes

    def get(self, vm: VmId) -> Endpoint | None:
        """Returns a listed executor."""
        return self._endpoints_by_vm.get(vm)

    def list_all(self) -> list[Endpoint]:
        """Returns all listed executors."""
        return list(self._endpoints_by_vm.values())

    def services(self) -> list[str]:
        """Returns the services that listed executors serve."""
        return list(self._vms_by_service)

    def find_usable(
        self, service: str, now: float, excluded: frozenset[VmId] = frozenset()
    ) -> list[VmId]:
        """Returns the executors that may receive a request of a service now."""
        candidates = [
            self._endpoints_by_vm[vm]
            for vm in self._vms_by_service.get(service, ())
            if vm not in excluded
        ]
        usable = [
            endpoint.vm for endpoint in candidates if endpoint.accepts_requests(now)
        ]
        # If all are suspect, a trial before the end of the pause is better than a
        # refusal.
        return usable or [
            endpoint.vm for endpoint in candidates if endpoint.accepts_trial()
        ]

    def serves(self, service: str) -> bool:
        """Returns whether any executor of a service is not leaving."""
        candidates = (
            self._endpoints_by_vm[vm] for vm in self._vms_by_service.get(service, ())
        )
        return any(
            not endpoint.leaving and not endpoint.replaced for endpoint in candidates
        )

    def mark_leaving(self, vm: VmId) -> bool:
        """Records that an executor announced its leaving; returns whether it is new."""
        endpoint = self._endpoints_by_vm.get(vm)
        if endpoint is None or endpoint.leaving:
            return False
        endpoint.signalled_leaving = True
        self.version += 1
        return True

    def set_drained(self, vm: VmId, draining: bool) -> bool:
        """Starts or ends a drain; returns whether the executor is listed.

        A drain also applies to an executor that appears in a later VM list.
        """
        self.version += 1
        if draining:
            self._drained.add(vm)
        else:
            self._drained.discard(vm)
        endpoint = self._endpoints_by_vm.get(vm)
        if endpoint:
            endpoint.drained = draining
        return endpoint is not None

    def record_sent(self, vm: VmId) -> None:
        """Records that a request is sent to an executor."""
        endpoint = self._endpoints_by_vm.get(vm)
        if endpoint and endpoint.suspect:
            endpoint.trial_running = True
            self.version += 1

    def record_success(self, vm: VmId) -> None:
        """Records a complete response, which resets the failures."""
        endpoint = self._endpoints_by_vm.get(vm)
        if endpoint and endpoint.failures:
            endpoint.failures = 0
            endpoint.trial_running = False
            self.version += 1

    def record_failure(self, vm: VmId, now: float) -> bool:
        """Records a failed attempt; returns whether the executor became suspect."""
        endpoint = self._endpoints_by_vm.get(vm)
        if endpoint is None:
            return False
        self.version += 1
        trial, endpoint.trial_running = endpoint.trial_running, False
        if now < endpoint.paused_until and not trial:
            # The request was sent before the pause, so it is not a further failure.
            return False
        endpoint.failures += 1
        if not endpoint.suspect:
            return False
        steps = endpoint.failures - SUSPECT_AFTER_FAILURES
        pause = min(MAX_PAUSE_S, INITIAL_PAUSE_S * 2 ** min(steps, 10))
        endpoint.paused_until = now + pause
        return endpoint.failures == SUSPECT_AFTER_FAILURES

    def end_trial(self, vm: VmId) -> None:
        """Ends a trial whose result is no evidence about the executor."""
        endpoint = self._endpoints_by_vm.get(vm)
        if endpoint and endpoint.trial_running:
            endpoint.trial_running = False
            self.version += 1

    def next_trial_at(self, now: float) -> float:
        """Returns the monotonic time of the next trial of a suspect executor."""
        pauses = (
            endpoint.paused_until
            for endpoint in self._endpoints_by_vm.values()
            if endpoint.suspect
        )
        return min((until for until in pauses if until > now), default=float("inf"))

    def _update_record(self, record: VmRecord, changes: EndpointChanges) -> None:
        endpoint = self._endpoints_by_vm.get(record.id)
        if endpoint is None:
            endpoint = Endpoint(record, drained=record.id in self._drained)
            self._endpoints_by_vm[record.id] = endpoint
            changes.added.append(endpoint)
            return
        was_leaving = endpoint.leaving
        returned = (
            endpoint.record.state is VmState.LEAVING and record.state is VmState.LIVE
        )
        if returned:
            endpoint.signalled_leaving = False
        endpoint.record = record
        if endpoint.leaving and not was_leaving:
            changes.now_leaving.append(endpoint)

    def _mark_replaced(self) -> None:
        # An outdated list can contain an executor and its replacement; using both
        # would exceed the slots of the process at the address.
        newest: dict[str, Endpoint] = {}
        for endpoint in self._endpoints_by_vm.values():
            other = newest.get(endpoint.record.address)
            if other is None or other.leaving or not endpoint.leaving:
                newest[endpoint.record.address] = endpoint
        for endpoint in self._endpoints_by_vm.values():
            endpoint.replaced = newest[endpoint.record.address] is not endpoint

    def _rebuild_service_index(self) -> None:
        self._vms_by_service = {}
        for vm, endpoint in self._endpoints_by_vm.items():
            self._vms_by_service.setdefault(endpoint.record.service, []).append(vm)
