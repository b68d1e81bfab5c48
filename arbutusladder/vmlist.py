"""Client and pure view of the platform's VM list."""

from collections.abc import Iterable
from dataclasses import dataclass, field

import xxhash

from arbutusladder import codec
from arbutusladder.errors import ArbutusladderError, HttpError, ProtocolError
from arbutusladder.httpclient import HttpResponse, request
from arbutusladder.ids import ShardId, VmId
from arbutusladder.messages import Header, VmList, VmRecord
from arbutusladder.metrics import Metrics
from arbutusladder.states import VmKind, VmState

DEFAULT_TIMEOUT_S = 2.0
ENDPOINT_KINDS = frozenset({VmKind.WORKER, VmKind.EXECUTOR})


class VmListUnavailable(ArbutusladderError):
    """The platform's VM list could not be read."""

    def __init__(self, detail: str):
        super().__init__(
            f"the VM list cannot be read ({detail}); "
            "check the platform, the last known list stays in use"
        )


class VmListClient:
    """Reads the VM list.

    The list of 990 workers has 209 KB and is read every second, so the client
    asks only for a list that differs from the last one, when the platform gives
    its lists an ETag.

    Args:
        address: IP address and port of the VM list.
        timeout: Seconds for one request.
        metrics: Counts the bytes of bodies.
    """

    def __init__(
        self,
        address: str,
        timeout: float = DEFAULT_TIMEOUT_S,
        metrics: Metrics | None = None,
    ):
        self.address = address
        self._timeout = timeout
        self._metrics = metrics or Metrics()
        self._tag = ""
        self._vms: list[VmRecord] = []

    async def fetch(self) -> list[VmRecord]:
        """Returns the current list.

        Raises:
            VmListUnavailable: There is no valid answer.
        """
        try:
            return self._take(await self._request())
        except (HttpError, ProtocolError) as error:
            raise VmListUnavailable(str(error)) from error

    async def _request(self) -> HttpResponse:
        headers = [Header("If-None-Match", self._tag)] if self._tag else []
        answer = await request(
            self.address, "GET", "/v1/vms", headers=headers, timeout=self._timeout
        )
        self._metrics.count("vm_list.bytes", len(answer.body))
        return answer

    def _take(self, answer: HttpResponse) -> list[VmRecord]:
        if answer.status == 304 and self._tag:
            return self._vms
        if answer.status != 200:
            raise VmListUnavailable(f"status {answer.status}")
        self._vms = codec.from_json(answer.body, VmList).vms
        self._tag = answer.header("ETag")
        return self._vms


@dataclass
class VmListChange:
    """What one reading of the list changed.

    Attributes:
        added: VMs that are new, or came back under another address.
        changed: VMs with new data, in the same place.
        leaving: VMs that are leaving since this reading.
        gone: VMs that are no longer listed.
    """

    added: list[VmRecord] = field(default_factory=list)
    changed: list[VmRecord] = field(default_factory=list)
    leaving: list[VmRecord] = field(default_factory=list)
    removed: list[VmRecord] = field(default_factory=list)

    def __bool__(self) -> bool:
        return bool(self.added or self.changed or self.leaving or self.removed)


def shard_index(vm_id: VmId, per_domain: int) -> int:
    """Returns the number of a VM's shard inside its failure domain."""
    return xxhash.xxh64_intdigest(vm_id.encode()) % per_domain


def shard_of(vm: VmRecord, per_domain: int) -> ShardId:
    """Returns the shard of an endpoint."""
    return shard_id(vm.failure_domain, shard_index(vm.id, per_domain))


def shard_id(failure_domain: str, number: int) -> ShardId:
    """Returns the id of a shard."""
    return ShardId(f"{failure_domain}-{number}")


def domains_by_shard(domains: Iterable[str], per_domain: int) -> dict[ShardId, str]:
    """Returns the failure domain of each shard."""
    return {
        shard_id(domain, number): domain
        for domain in sorted(set(domains))
        for number in range(per_domain)
    }


class VmListView:
    """The newest VM list of a region.

    A VM that is no longer listed is gone. A list that is older than the view,
    or that cannot be read, changes nothing.

    Args:
        region: Region whose VMs are kept.
        per_domain: Shards in each failure domain.
    """

    def __init__(self, region: str, per_domain: int):
        self.vm_by_id: dict[VmId, VmRecord] = {}
        self.read_at = float("-inf")
        self._region = region
        self._per_domain = per_domain

    def update(self, vms: Iterable[VmRecord], read_at: float) -> VmListChange:
        """Takes in a list.

        Args:
            vms: The whole list.
            read_at: Monotonic time in seconds before the list was asked for.
        """
        change = VmListChange()
        if read_at <= self.read_at:
            return change
        self.read_at = read_at
        listed = {vm.id: vm for vm in vms if vm.region == self._region}
        for vm in listed.values():
            self._note(change, self.vm_by_id.get(vm.id), vm)
        change.removed = [vm for id, vm in self.vm_by_id.items() if id not in listed]
        self.vm_by_id = listed
        return change

    def age(self, now: float) -> float:
        """Returns the age of the view in seconds."""
        return now - self.read_at

    def endpoints(self, shard: ShardId) -> list[VmRecord]:
        """Returns the workers and executors of a shard, also leaving ones."""
        return self.endpoints_by_shard().get(shard, [])

    def endpoints_by_shard(self) -> dict[ShardId, list[VmRecord]]:
        """Returns the workers and executors of each shard that has any."""
        found: dict[ShardId, list[VmRecord]] = {}
        for vm in self.vm_by_id.values():
            if vm.kind in ENDPOINT_KINDS:
                found.setdefault(shard_of(vm, self._per_domain), []).append(vm)
        return found

    def shards(self) -> dict[ShardId, str]:
        """Returns the failure domain of each shard of listed domains."""
        domains = {vm.failure_domain for vm in self.vm_by_id.values()}
        return domains_by_shard(domains, self._per_domain)

    @staticmethod
    def _note(change: VmListChange, known: VmRecord | None, vm: VmRecord) -> None:
        if known is vm:
            return
        if known is None or _place(known) != _place(vm):
            change.added.append(vm)
        elif known != vm:
            change.changed.append(vm)
        was_leaving = known is not None and known.state is VmState.LEAVING
        if vm.state is VmState.LEAVING and not was_leaving:
            change.leaving.append(vm)


def _place(vm: VmRecord) -> tuple:
    return vm.kind, vm.address, vm.failure_domain
