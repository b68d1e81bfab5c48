"""Tests of the claims of entry VMs that are paused, slow or cut off from the log."""

import contextlib
from types import SimpleNamespace

import curio
import msgspec
import pytest

from arbutusladder.cell.claimmanager import ClaimManager
from arbutusladder.cell.claims import (
    OWNER_KEY,
    OWNER_TOPIC,
    WORKERS_KEY,
    claim_item,
)
from arbutusladder.clock import Clock
from arbutusladder.errors import LogUnavailable
from arbutusladder.journal import Journal
from arbutusladder.messages import CellClaim, OwnerBeat, SilentWorker
from arbutusladder.metrics import Metrics
from tests.cell.memorylog import MemoryLog
from tests.virtualtime import run_in_virtual_time

OWNER_EPOCH = 1


class StubOwner:
    """Stands in for `Owner`; records what the claim manager tells it.

    Attributes:
        ended: Whether its ownership has ended. Its tasks then still run.
        renewed: Claims that it was told are stored.
        silent: Workers that it wants the claim to list.
        workers: Workers that it wants to use.
        recorded: Workers that it was last told are recorded.
    """

    def __init__(self, epoch=OWNER_EPOCH):
        self.epoch = epoch
        self.ended = self.failed = self.released = False
        self.renewed = []
        self.silent = []
        self.workers = frozenset()
        self.recorded = None

    def silent_workers(self):
        return self.silent

    def confirmed_restarts(self):
        return []

    def count_other_vms(self):
        return 2

    def workers_to_record(self):
        return self.workers

    def handle_claim_renewed(self, claim, recorded_vms, sent_at):
        self.renewed.append(claim)
        self.recorded = recorded_vms

    async def end_ownership(self, cause):
        self.ended = True

    async def release_after_failure(self):
        self.failed = self.ended = self.released = True

    async def announce_release(self):
        pass


def make_manager(log, vm="a"):
    """Returns the claim manager of an entry VM that has read the log."""
    dependencies = SimpleNamespace(
        clock=Clock(),
        settings=SimpleNamespace(undersized=False),
        metrics=Metrics(),
        journal=Journal("test"),
    )
    member = SimpleNamespace(vm=vm, listen=f"{vm}:1", log=log, loaded=True)
    return ClaimManager(member, dependencies)


async def make_owning_manager(log, owner):
    """Returns a manager whose claim is stored, with the given owner."""
    claim = CellClaim(owner.epoch, "a", "a:1", 0)
    await log.append(OWNER_TOPIC, [claim_item(claim)])
    manager = make_manager(log)
    await manager.load()
    manager.owner = owner
    return manager


async def append_successor(log):
    """Stores the claim of another entry VM with the next epoch and returns it."""
    claim = CellClaim(OWNER_EPOCH + 1, "b", "b:1", 0)
    await log.append(OWNER_TOPIC, [claim_item(claim)])
    return claim


def stored_claims(log):
    """Returns all claims on the log."""
    return [
        msgspec.msgpack.decode(record.value, type=CellClaim)
        for record in log.records_by_topic[OWNER_TOPIC]
        if record.key == OWNER_KEY
    ]


async def read_workers(log):
    """Returns the workers that an entry VM finds recorded on the log."""
    manager = make_manager(log, "z")
    await manager.load()
    return manager._view.workers


def silent_worker(vm):
    """Returns a silent worker as a claim lists it."""
    return SilentWorker(vm, 8.0, True, [], False)


class TestWokenOwner:
    """Pattern: an owner is paused until a successor has claimed the cell."""

    def test_claim_of_the_successor_is_not_replaced(self):
        """Guards against two owners under one epoch.

        A heartbeat of the successor waits in the socket and causes another renewal
        before the tasks of the replaced owner are cancelled.
        """

        async def main():
            log, owner = MemoryLog(), StubOwner()
            manager = await make_owning_manager(log, owner)
            successor = await append_successor(log)
            for _ in range(3):
                await manager._renew()
            assert owner.ended
            assert owner.renewed == []
            assert stored_claims(log)[-1] == successor

        run_in_virtual_time(main)

    def test_successors_claim_is_not_released(self):
        """Guards against a third owner that claims beside the successor."""

        async def main():
            log, owner = MemoryLog(), StubOwner()
            manager = await make_owning_manager(log, owner)
            successor = await append_successor(log)
            await manager._renew()
            await manager._release(owner)
            assert stored_claims(log)[-1] == successor

        run_in_virtual_time(main)

    def test_no_epoch_is_claimed_twice(self):
        """Guards against two processes with one fencing token at the workers."""

        async def main():
            log, owner = MemoryLog(), StubOwner()
            woken = await make_owning_manager(log, owner)
            holders_by_epoch = {}
            for vm in ("b", "c"):
                other = make_manager(log, vm)
                await other.load()
                claim = other._view.next_claim(other._member.listen)
                assert await other._append(claim)
                await woken._renew()
                await woken._renew()
            for claim in stored_claims(log):
                holders_by_epoch.setdefault(claim.epoch, set()).add(claim.holder)
            assert all(len(holders) == 1 for holders in holders_by_epoch.values())

        run_in_virtual_time(main)

    def test_heartbeat_of_a_later_epoch_ends_the_ownership(self):
        """Guards against orders of a replaced owner that the log does not answer."""

        async def main():
            log, owner = MemoryLog(), StubOwner()
            manager = await make_owning_manager(log, owner)
            log.available = False
            await manager.handle_heartbeat(OwnerBeat(OWNER_EPOCH + 1))
            assert owner.ended

        run_in_virtual_time(main)

    def test_ended_ownership_is_not_renewed(self):
        """Guards against a renewal that takes back a release."""

        async def main():
            log, owner = MemoryLog(), StubOwner()
            manager = await make_owning_manager(log, owner)
            owner.ended = True
            await manager._release(owner)
            await manager._renew()
            assert stored_claims(log)[-1].released

        run_in_virtual_time(main)


class TestUnexpectedError:
    """Pattern: a renewal fails with an error that nobody has expected."""

    def test_ownership_is_released_and_claims_are_followed(self):
        """Guards against an entry VM that serves clients without its cell member."""

        async def main():
            log, owner = MemoryLog(), StubOwner()
            manager = await make_owning_manager(log, owner)
            owner.workers_to_record = None
            run = await curio.spawn(manager.run, daemon=True)
            await curio.sleep(1.0)
            assert owner.failed and owner.released
            manager.owner = None
            successor = await append_successor(log)
            await curio.sleep(1.0)
            assert manager.current == successor
            await run.cancel()

        run_in_virtual_time(main)


class TestUnansweredRenewal:
    """Pattern: a renewal is stored, but its answer is lost."""

    def test_only_the_stored_list_of_silent_workers_counts(self):
        """Guards against starts on a worker that the stored claim lists as silent.

        A successor runs the tasks elsewhere that the claim does not list for it.
        """

        async def main():
            log, owner = MemoryLog(), StubOwner()
            manager = await make_owning_manager(log, owner)
            owner.silent = [silent_worker("w-1")]
            log.lost_answers = 1
            run = await curio.spawn(manager.run, daemon=True)
            await curio.sleep(0.1)
            owner.silent = []
            await curio.sleep(2.0)
            await run.cancel()
            claims = stored_claims(log)
            assert claims[1].silent
            assert not owner.ended
            assert owner.renewed == claims[2:]

        run_in_virtual_time(main)


class TestRecordedWorkers:
    """Pattern: entries of workers lapse before the owner is killed.

    A successor cannot learn from the registry on which workers its predecessor has
    started tasks, so the log lists them.
    """

    def test_workers_are_recorded_before_the_owner_may_use_them(self):
        """Guards against tasks on a worker that no successor would wait for."""

        async def main():
            log, owner = MemoryLog(), StubOwner()
            manager = await make_owning_manager(log, owner)
            owner.workers = frozenset({"w-1", "w-2"})
            assert owner.recorded is None
            await manager._renew()
            assert owner.recorded == owner.workers == await read_workers(log)

        run_in_virtual_time(main)

    def test_unchanged_list_is_not_stored_again(self):
        """Guards against a list of all workers in each renewal, which all read."""

        async def main():
            log, owner = MemoryLog(), StubOwner()
            manager = await make_owning_manager(log, owner)
            owner.workers = frozenset({"w-1"})
            for _ in range(4):
                await manager._renew()
            keys = [record.key for record in log.records_by_topic[OWNER_TOPIC]]
            assert keys.count(WORKERS_KEY) == 1
            assert owner.recorded == owner.workers

        run_in_virtual_time(main)

    def test_replaced_owner_records_no_workers(self):
        """Guards against a list that a successor has not read before its takeover."""

        async def main():
            log, owner = MemoryLog(), StubOwner()
            manager = await make_owning_manager(log, owner)
            await append_successor(log)
            owner.workers = frozenset({"w-1"})
            await manager._renew()
            assert owner.recorded is await read_workers(log) is None

        run_in_virtual_time(main)

    def test_list_without_an_answer_counts_once_it_is_read(self):
        """Guards against a list in memory that differs from the one on the log."""

        async def main():
            log, owner = MemoryLog(), StubOwner()
            manager = await make_owning_manager(log, owner)
            owner.workers = frozenset({"w-1"})
            log.lost_answers = 1
            with contextlib.suppress(LogUnavailable):
                await manager._renew()
            owner.workers = frozenset({"w-2"})
            await manager._renew()
            await manager._renew()
            assert owner.recorded == frozenset({"w-2"}) == await read_workers(log)

        run_in_virtual_time(main)


class TestTwoOwnersHeard:
    """Pattern: an entry VM that cannot read the log hears two owners in turn."""

    def test_heartbeat_of_a_replaced_owner_does_not_count(self):
        """Guards against hellos that confirm an owner after its successor was heard."""

        async def main():
            log = MemoryLog()
            await log.append(OWNER_TOPIC, [claim_item(CellClaim(5, "a", "a:1", 0))])
            manager = make_manager(log, vm="b")
            await manager.load()
            await manager.handle_heartbeat(OwnerBeat(6, number=1))
            await manager.handle_heartbeat(OwnerBeat(5, number=70))
            return manager.newest_heartbeat.epoch

        assert run_in_virtual_time(main) == 6


class TestLateRenewal:
    """Pattern: a renewal is stored without an answer and repeated unchanged."""

    def test_evidence_counts_from_the_stored_attempt(self):
        """Guards against evidence that outlasts the 1.1 s which a successor waits."""

        async def main():
            log, owner = MemoryLog(), StubOwner()
            manager = await make_owning_manager(log, owner)
            confirmed_at = []

            def handle_claim_renewed(claim, recorded_vms, sent_at):
                confirmed_at.append(sent_at)

            owner.handle_claim_renewed = handle_claim_renewed
            log.lost_answers = 1
            with pytest.raises(LogUnavailable):
                await manager._renew()
            stored_at = Clock().now_with_suspensions()
            await curio.sleep(0.9)
            await manager._renew()
            return confirmed_at[-1] - stored_at

        assert run_in_virtual_time(main) <= 0.0
