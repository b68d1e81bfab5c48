"""Client of the platform's VM list, and the newest list of a region.

`VmListView` owns the newest list, in memory only.
"""

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

# Seconds for one read of the list, by default.
DEFAULT_TIMEOUT_S = 2.0
ENDPOINT_KINDS = frozenset({VmKind.WORKER, VmKind.EXECUTOR})


class VmListUnavailable(ArbutusladderError):
    """The platform's VM list could not be read."""

    def __init__(self, detail: str):
        super().__init__(
            f"the VM list cannot be read ({detail}); "
            "check the platform; the last known list stays in use"
        )


class VmListClient:
    """Reads the VM list.

    A list of 990 workers has 209 KB and is read every second, so requests are
    conditional (``If-None-Match``) if the platform sends an ETag.

    Args:
        address: IP address and port of the VM list service.
        timeout: Seconds for one request.
        metrics: Counter of the received body bytes.
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
        self._etag = ""
        self._vms: list[VmRecord] = []

    async def fetch(self) -> list[VmRecord]:
        """Returns the current list.

        Raises:
            VmListUnavailable: There is no valid response.
        """
        try:
            return self._parse_response(await self._request())
        except (HttpError, ProtocolError) as error:
            raise VmListUnavailable(str(error)) from error

    async def _request(self) -> HttpResponse:
        headers = [Header("If-None-Match", self._etag)] if self._etag else []
        response = await request(
            self.address, "GET", "/v1/vms", headers=headers, timeout=self._timeout
        )
        self._metrics.count("vm_list.bytes", len(response.body))
        return response

    def _parse_response(self, response: HttpResponse) -> list[VmRecord]:
        if response.status == 304 and self._etag:
            return self._vms
        if response.status != 200:
            raise VmListUnavailable(f"status {response.status}")
        self._vms = codec.from_json(response.body, VmList).vms
        self._etag = response.header("ETag")
        return self._vms


@dataclass
class VmListChange:
    """Changes between two VM lists.

    Attributes:
        added: VMs that are new, or whose kind, address or failure domain changed.
        changed: VMs of which any other field changed.
        leaving: VMs whose state changed to leaving.
        removed: VMs that are no longer listed.
    """

    added: list[VmRecord] = field(default_factory=list)
    changed: list[VmRecord] = field(default_factory=list)
    leaving: list[VmRecord] = field(default_factory=list)
    removed: list[VmRecord] = field(default_factory=list)

    def __bool__(self) -> bool:
        return bool(self.added or self.changed or self.leaving or self.removed)


def shard_index(vm_id: VmId, per_domain: int) -> int:
    """Returns the index of a VM's shard within its failure domain."""
    return xxhash.xxh64_intdigest(vm_id.encode()) % per_domain


def shard_of(vm: VmRecord, per_domain: int) -> ShardId:
    """Returns the id of the shard that an endpoint belongs to."""
    return shard_id(vm.failure_domain, shard_index(vm.id, per_domain))


def shard_id(failure_domain: str, number: int) -> ShardId:
    """Returns the id of the shard with an index within a failure domain."""
    return ShardId(f"{failure_domain}-{number}")


def domains_by_shard(domains: Iterable[str], per_domain: int) -> dict[ShardId, str]:
    """Returns the failure domain of each shard of the given domains."""
    return {
        shard_id(domain, number): domain
        for domain in sorted(set(domains))
        for number in range(per_domain)
    }


class VmListView:
    """The newest VM list of a region.

    Args:
        region: Region whose VMs are kept.
        per_domain: Number of shards in each failure domain.

    Attributes:
        vm_by_id: Listed VMs.
        read_at: Monotonic time in seconds before the list was requested.
    """

    def __init__(self, region: str, per_domain: int):
        self.vm_by_id: dict[VmId, VmRecord] = {}
        self.read_at = float("-inf")
        self._region = region
        self._per_domain = per_domain

    def update(self, vms: Iterable[VmRecord], read_at: float) -> VmListChange:
        """Replaces the list and returns the changes.

        A list that was requested earlier than the current one is ignored.

        Args:
            vms: The whole list.
            read_at: Monotonic time in seconds before the list was requested.
        """
        change = VmListChange()
        if read_at <= self.read_at:
            return change
        self.read_at = read_at
        listed = {vm.id: vm for vm in vms if vm.region == self._region}
        for vm in listed.values():
            self._add_change(change, self.vm_by_id.get(vm.id), vm)
        change.removed = [vm for id, vm in self.vm_by_id.items() if id not in listed]
        self.vm_by_id = listed
        return change

    def age(self, now: float) -> float:
        """Returns the age of the list in seconds."""
        return now - self.read_at

    def endpoints(self, shard: ShardId) -> list[VmRecord]:
        """Returns the workers and executors of a shard, including leaving ones."""
        return self.endpoints_by_shard().get(shard, [])

    def endpoints_by_shard(self) -> dict[ShardId, list[VmRecord]]:
        """Returns the workers and executors of each shard that has any."""
        endpoints_of_shard: dict[ShardId, list[VmRecord]] = {}
        for vm in self.vm_by_id.values():
            if vm.kind in ENDPOINT_KINDS:
                endpoints_of_shard.setdefault(
                    shard_of(vm, self._per_domain), []
                ).append(vm)
        return endpoints_of_shard

    def shards(self) -> dict[ShardId, str]:
        """Returns the failure domain of each shard of the listed failure domains."""
        domains = {vm.failure_domain for vm in self.vm_by_id.values()}
        return domains_by_shard(domains, self._per_domain)

    @staticmethod
    def _add_change(
        change: VmListChange, previous: VmRecord | None, vm: VmRecord
    ) -> None:
        if previous is vm:
            return
        if previous is None or _identity(previous) != _identity(vm):
            change.added.append(vm)
        elif previous != vm:
            change.changed.append(vm)
        was_leaving = previous is not None and previous.state is VmState.LEAVING
        if vm.state is VmState.LEAVING and not was_leaving:
            change.leaving.append(vm)


def _identity(vm: VmRecord) -> tuple:
    return vm.kind, vm.address, vm.failure_domain
