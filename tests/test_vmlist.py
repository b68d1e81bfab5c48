"""Tests of the VM list: fake service, client and newest list."""

import curio
import pytest

from arbutusladder import codec
from arbutusladder.clock import ManualClock
from arbutusladder.fakevmlist import FakeVmList, VmListFaults
from arbutusladder.httpclient import request
from arbutusladder.messages import VmRecord
from arbutusladder.states import VmKind, VmState
from arbutusladder.vmlist import (
    VmListClient,
    VmListUnavailable,
    VmListView,
    domains_by_shard,
    shard_of,
)


def vm(vm_id, kind=VmKind.WORKER, state=VmState.LIVE, **fields):
    values = {"address": "10.0.0.1:80", "region": "r", "failure_domain": "d0"}
    return VmRecord(vm_id, kind, state=state, **(values | fields))


def run_with_vm_list(scenario, vms=(), **options):
    async def main():
        fake = FakeVmList(vms=list(vms), **options)
        server = await curio.spawn(fake.run)
        try:
            return await scenario(fake, VmListClient(fake.address, timeout=0.5))
        finally:
            await fake.stop()
            await server.cancel()

    return curio.run(main)


class TestClient:
    """Guards against an outage that is treated as an empty list."""

    def test_edited_list_is_fetched(self):
        async def scenario(fake, client):
            body = codec.to_json({"vms": [vm("b")], "remove": ["a"]})
            await request(fake.address, "POST", "/v1/vms", body)
            return await client.fetch()

        assert run_with_vm_list(scenario, [vm("a")]) == [vm("b")]

    def test_unchanged_list_is_not_sent_again(self):
        async def scenario(fake, client):
            lists = [await client.fetch(), await client.fetch()]
            sent = client._metrics.count_by_name["vm_list.bytes"]
            fake.change_vms(remove=["a"])
            return lists, sent, await client.fetch()

        lists, sent, changed = run_with_vm_list(scenario, [vm("a")])
        assert lists == [[vm("a")], [vm("a")]]
        assert sent == len(codec.to_json({"vms": [vm("a")]}))
        assert changed == []

    @pytest.mark.parametrize("faults", [{"outage": True}, {"delay_s": 2.0}])
    def test_outage_raises_an_error(self, faults):
        async def scenario(fake, client):
            await request(fake.address, "POST", "/v1/faults", codec.to_json(faults))
            with pytest.raises(VmListUnavailable, match="last known list"):
                await client.fetch()

        run_with_vm_list(scenario, [vm("a")])

    def test_lag_hides_recent_edits(self):
        clock = ManualClock()
        fake = FakeVmList(faults=VmListFaults(lag_s=5.0), clock=clock)
        fake.change_vms([vm("a")])
        clock.advance(4.0)
        fake.change_vms([vm("b")])
        assert fake.visible_vms() == []
        clock.advance(1.0)
        assert fake.visible_vms() == [vm("a")]
        clock.advance(4.0)
        assert fake.visible_vms() == [vm("a"), vm("b")]


class TestView:
    """Guards against work for leaving VMs, and against endpoints in two shards."""

    def test_added_leaving_and_removed(self):
        view = VmListView("r", 1)
        assert view.update([vm("a"), vm("x", region="q")], 1.0).added == [vm("a")]
        leaving = vm("a", state=VmState.LEAVING)
        assert view.update([leaving], 2.0).leaving == [leaving]
        assert not view.update([leaving], 3.0)
        assert view.update([], 4.0).removed == [leaving]

    def test_older_list_changes_nothing(self):
        view = VmListView("r", 1)
        view.update([vm("a")], 2.0)
        assert not view.update([], 1.0)
        assert list(view.vm_by_id) == ["a"]

    def test_each_endpoint_belongs_to_one_shard(self):
        view = VmListView("r", 3)
        vms = [vm(f"w{i}", failure_domain=f"d{i % 2}") for i in range(60)]
        view.update([*vms, vm("e", VmKind.ENTRY)], 1.0)
        found = view.endpoints_by_shard()
        assert sorted(v.id for vms in found.values() for v in vms) == sorted(
            v.id for v in vms
        )
        assert set(found) == set(domains_by_shard(["d0", "d1"], 3))
        assert all(shard_of(v, 3) == shard for shard in found for v in found[shard])
