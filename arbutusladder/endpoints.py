"""State of each executor from the VM list, its own signal and failures."""

from dataclasses import dataclass, field
from enum import Enum

from arbutusladder.ids import VmId
from arbutusladder.messages import VmRecord
from arbutusladder.states import VmKind, VmState

SUSPECT_FAILURES = 3
FIRST_PAUSE_S = 0.5
LONGEST_PAUSE_S = 5.0


class EndpointState(Enum):
    """Whether an executor may receive new work."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass
class Endpoint:
    """One executor.

    Attributes:
        record: Newest record in the VM list.
        listed: Whether the newest VM list has the executor.
        replaced: Whether a newer executor is listed at the same address.
        signalled_leaving: Whether the executor said that it leaves.
        drained: Whether an operator drains it.
        failures: Failures in a row.
        paused_until: Time before which a suspect executor gets no work.
        trial_open: Whether the one trial request of a suspect executor runs.
    """

    record: VmRecord
    listed: bool = True
    replaced: bool = False
    signalled_leaving: bool = False
    drained: bool = False
    failures: int = 0
    paused_until: float = 0.0
    trial_open: bool = False

    @property
    def vm(self) -> VmId:
        """Id of the VM."""
        return self.record.id

    @property
    def leaving(self) -> bool:
        """Whether any source says that the executor leaves."""
        return (
            self.record.state is VmState.LEAVING
            or self.signalled_leaving
            or self.drained
        )

    @property
    def suspect(self) -> bool:
        """Whether the executor failed several times in a row."""
        return self.failures >= SUSPECT_FAILURES

    def state(self) -> EndpointState:
        """Returns the state that results from all sources."""
        if not self.listed:
            return EndpointState.GONE
        if self.leaving:
            return EndpointState.LEAVING
        return EndpointState.SUSPECT if self.suspect else EndpointState.LIVE

    def accepts(self, now: float) -> bool:
        """Tells whether the executor may receive a request now."""
        if not self.suspect:
            return self.listed and not self.replaced and not self.leaving
        return now >= self.paused_until and self.accepts_trial()

    def accepts_trial(self) -> bool:
        """Tells whether a suspect executor may receive its one trial request."""
        present = self.listed and not self.replaced and not self.leaving
        return present and self.suspect and not self.trial_open


@dataclass
class ListChange:
    """What a new VM list changed.

    Attributes:
        added: Executors that are new.
        removed: Executors that are no longer listed.
        left: Executors that became leaving.
    """

    added: list[Endpoint] = field(default_factory=list)
    removed: list[Endpoint] = field(default_factory=list)
    left: list[Endpoint] = field(default_factory=list)


class EndpointRegistry:
    """Executors of one shard by VM id.

    An executor that comes back at the address of an earlier one under another
    VM id is a new executor with no history.

    Attributes:
        version: Changes with everything that ``usable`` depends on but time.
    """

    def __init__(self):
        self.version = 0
        self._endpoints_by_vm: dict[VmId, Endpoint] = {}
        self._vms_by_service: dict[str, list[VmId]] = {}
        self._drained: set[VmId] = set()

    def set_records(self, records: list[VmRecord]) -> ListChange:
        """Takes a new VM list; records of other kinds are ignored."""
        change = ListChange()
        executors = [r for r in records if r.kind is VmKind.EXECUTOR]
        listed = {record.id for record in executors}
        for vm in [vm for vm in self._endpoints_by_vm if vm not in listed]:
            endpoint = self._endpoints_by_vm.pop(vm)
            endpoint.listed = False
            change.removed.append(endpoint)
        for record in executors:
            self._take_record(record, change)
        self.version += 1
        self._use_one_per_address()
        self._index()
        return change

    def get(self, vm: VmId) -> Endpoint | None:
        """Returns a listed executor."""
        return self._endpoints_by_vm.get(vm)

    def all(self) -> list[Endpoint]:
        """Returns all listed executors."""
        return list(self._endpoints_by_vm.values())

    def services(self) -> list[str]:
        """Returns the services that listed executors serve."""
        return list(self._vms_by_service)

    def usable(
        self, service: str, now: float, excluded: frozenset[VmId] = frozenset()
    ) -> list[VmId]:
        """Returns the executors that may receive a request of a service."""
        known = [
            self._endpoints_by_vm[vm]
            for vm in self._vms_by_service.get(service, ())
            if vm not in excluded
        ]
        usable = [endpoint.vm for endpoint in known if endpoint.accepts(now)]
        # When all are suspect, a trial is better than a refusal.
        return usable or [endpoint.vm for endpoint in known if endpoint.accepts_trial()]

    def serves(self, service: str) -> bool:
        """Tells whether an executor of a service is not leaving."""
        known = (
            self._endpoints_by_vm[vm] for vm in self._vms_by_service.get(service, ())
        )
        return any(not e.leaving and not e.replaced for e in known)

    def signal_leaving(self, vm: VmId) -> bool:
        """Takes an executor's own signal; returns whether it is news."""
        endpoint = self._endpoints_by_vm.get(vm)
        if endpoint is None or endpoint.leaving:
            return False
        endpoint.signalled_leaving = True
        self.version += 1
        return True

    def drain(self, vm: VmId, draining: bool) -> bool:
        """Takes an operator's command; returns whether the executor is listed.

        The command is kept for executors that the lagging list does not show.
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

    def sent(self, vm: VmId) -> None:
        """Notes that a request goes to an executor."""
        endpoint = self._endpoints_by_vm.get(vm)
        if endpoint and endpoint.suspect:
            endpoint.trial_open = True
            self.version += 1

    def answered(self, vm: VmId) -> None:
        """Notes a whole answer."""
        endpoint = self._endpoints_by_vm.get(vm)
        if endpoint and endpoint.failures:
            endpoint.failures = 0
            endpoint.trial_open = False
            self.version += 1

    def failed(self, vm: VmId, now: float) -> bool:
        """Notes a failed attempt; returns whether the executor became suspect."""
        endpoint = self._endpoints_by_vm.get(vm)
        if endpoint is None:
            return False
        self.version += 1
        trial, endpoint.trial_open = endpoint.trial_open, False
        if now < endpoint.paused_until and not trial:
            # Sent before the pause: the same failure seen by several requests.
            return False
        endpoint.failures += 1
        if not endpoint.suspect:
            return False
        steps = endpoint.failures - SUSPECT_FAILURES
        pause = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2 ** min(steps, 10))
        endpoint.paused_until = now + pause
        return endpoint.failures == SUSPECT_FAILURES

    def trial_ended(self, vm: VmId) -> None:
        """Notes the end of a request that tells nothing about the executor."""
        endpoint = self._endpoints_by_vm.get(vm)
        if endpoint and endpoint.trial_open:
            endpoint.trial_open = False
            self.version += 1

    def next_readmission(self, now: float) -> float:
        """Returns when the next suspect executor may have its trial."""
        pauses = (e.paused_until for e in self._endpoints_by_vm.values() if e.suspect)
        return min((until for until in pauses if until > now), default=float("inf"))

    def _take_record(self, record: VmRecord, change: ListChange) -> None:
        endpoint = self._endpoints_by_vm.get(record.id)
        if endpoint is None:
            endpoint = Endpoint(record, drained=record.id in self._drained)
            self._endpoints_by_vm[record.id] = endpoint
            change.added.append(endpoint)
            return
        was_leaving = endpoint.leaving
        came_back = (
            endpoint.record.state is VmState.LEAVING and record.state is VmState.LIVE
        )
        if came_back:
            endpoint.signalled_leaving = False
        endpoint.record = record
        if endpoint.leaving and not was_leaving:
            change.left.append(endpoint)

    def _use_one_per_address(self) -> None:
        # A lagging list can show an executor next to the one that replaced it;
        # using both would exceed the slots of the process at the address.
        newest: dict[str, Endpoint] = {}
        for endpoint in self._endpoints_by_vm.values():
            other = newest.get(endpoint.record.address)
            if other is None or other.leaving or not endpoint.leaving:
                newest[endpoint.record.address] = endpoint
        for endpoint in self._endpoints_by_vm.values():
            endpoint.replaced = newest[endpoint.record.address] is not endpoint

    def _index(self) -> None:
        self._vms_by_service = {}
        for vm, endpoint in self._endpoints_by_vm.items():
            self._vms_by_service.setdefault(endpoint.record.service, []).append(vm)
