"""Tests of following the configuration while the store, links or entry VMs fail."""

import json
import time

import curio
import pytest

from arbutusladder.access.configview import ConfigView, ViewState
from arbutusladder.cell.forwardinglog import ForwardingLog
from arbutusladder.cell.interfaces import OffsetDeleted
from arbutusladder.clock import Clock
from arbutusladder.errors import LogUnavailable
from arbutusladder.journal import Journal
from arbutusladder.metrics import Metrics
from arbutusladder.platform.configfollower import ConfigFollower
from arbutusladder.platform.routes import CONFIG_KEY, CONFIG_TOPIC
from tests.cell.memorylog import MemoryLog
from tests.virtualtime import run_in_virtual_time

POLL_STEP_S = 0.01
# Seconds that an answer of the store or of another entry VM takes.
ANSWER_S = 0.02
# Seconds beyond the wait after which a read without an answer fails.
READ_IDLE_S = 0.4
# Seconds between samples of the view.
SAMPLE_S = 0.01


def config_value(version, teams=True):
    """Returns the record of a version."""
    tenants = {"tenants": [{"name": "red", "api-keys": [f"k{version}"]}]}
    config = {"version": version, "routes": []} | (tenants if teams else {})
    return json.dumps(config).encode()


class StoreLink:
    """The way of one entry VM to the store, with long-polling reads.

    Attributes:
        silent: Whether calls get no answer.
        deleted: Number of the next reads whose offset is deleted.
        first_offset: Offset from which reads are answered at most.
        reads: Number of reads.
    """

    def __init__(self, log):
        self._log = log
        self.silent = False
        self.deleted = 0
        self.first_offset = None
        self.reads = 0

    async def read(self, topic, offset, wait=0.0):
        """See `KeyedLog.read`."""
        self.reads += 1
        if self.deleted:
            self.deleted -= 1
            raise OffsetDeleted
        if self.first_offset is not None:
            offset, self.first_offset = self.first_offset, None
        until = time.monotonic() + wait
        while True:
            await curio.sleep(ANSWER_S)
            if self.silent:
                await curio.sleep(until - time.monotonic() + READ_IDLE_S)
                raise LogUnavailable("silent", maybe_applied=False)
            batch = await self._log.read(topic, offset)
            if batch.records or time.monotonic() >= until:
                return batch

    async def newest(self, topic):
        """See `KeyedLog.newest`."""
        if self.silent:
            await curio.sleep(READ_IDLE_S)
            raise LogUnavailable("silent", maybe_applied=False)
        return await self._log.newest(topic)


class OtherVms:
    """Other entry VMs, which forward reads unless they are silent."""

    def __init__(self, log_by_seat):
        self._log_by_seat = log_by_seat
        self.silent = set()

    async def call(self, seat, message, timeout):
        """Passes a call to an entry VM."""
        if seat in self.silent:
            await curio.sleep(timeout)
            return None
        await curio.sleep(ANSWER_S)
        return await self._log_by_seat[seat].serve_forwarded(message)


class Scene:
    """One entry VM that follows the configuration, and two others.

    Attributes:
        samples: Time, state, version and whether calls are served.
    """

    def __init__(self, limit_s=2.0, teams=True):
        self.log = MemoryLog()
        self.link, self.other_link = StoreLink(self.log), StoreLink(self.log)
        self.view = ConfigView(limit_s)
        self.metrics, self.clock = Metrics(), Clock()
        self.teams = teams
        self.others = OtherVms({"b": self._make_log("b"), "c": self._make_log("c")})
        forwarding_log = self._make_log("a")
        forwarding_log.set_forwarders(self.others, lambda: ["b", "c"])
        self.follower = ConfigFollower(
            forwarding_log, self.view, self.clock, Journal("a"), self.metrics
        )
        self.samples = []

    def _make_log(self, vm):
        link = self.link if vm == "a" else self.other_link
        return ForwardingLog(link, f"{vm}:1", self.clock, Journal(vm), Metrics())

    async def publish(self, version):
        """Stores a version; returns the time of the acknowledgement."""
        item = (CONFIG_KEY, config_value(version, self.teams))
        await self.log.append(CONFIG_TOPIC, [item])
        return self.clock.now_with_suspensions()

    async def _sample(self):
        while True:
            now = self.clock.now_with_suspensions()
            row = now, self.view.state(now), self.view.version, self.view.may_serve(now)
            self.samples.append(row)
            await curio.sleep(SAMPLE_S)

    def run(self, scenario):
        """Runs a scenario once version 1 is in force; returns its result."""

        async def main():
            await self.publish(1)
            tasks = [
                await curio.spawn(task, daemon=True)
                for task in (self.follower.run, self.follower.keep_proof)
            ]
            await curio.sleep(1.0)
            tasks.append(await curio.spawn(self._sample, daemon=True))
            result = await scenario()
            for task in tasks:
                await task.cancel()
            return result

        return run_in_virtual_time(main)

    def states(self):
        """Returns the states that were sampled."""
        return {state for _, state, _, _ in self.samples}

    def served_versions_after(self, at):
        """Returns the versions by which calls were decided after a time."""
        return {row[2] for row in self.samples if row[0] > at and row[3]}


class TestSilentStore:
    """Pattern: the store stops answering one entry VM, and a change is stored."""

    @pytest.mark.parametrize("limit_s", [2.0, 3.0])
    @pytest.mark.parametrize("silent_after_s", [0.0, 0.15, 0.3, 0.45, 0.6, 0.75, 0.9])
    @pytest.mark.parametrize("silent_vms", [set(), {"b"}, {"c"}])
    def test_version_is_proven_through_another(
        self, limit_s, silent_after_s, silent_vms
    ):
        """Guards against refusing calls that another entry VM's reads can prove."""
        scene = Scene(limit_s)

        async def scenario():
            await curio.sleep(silent_after_s)
            scene.link.silent, scene.others.silent = True, silent_vms
            await curio.sleep(3.0)
            stored_at = await scene.publish(2)
            await curio.sleep(limit_s + 2.0)
            return stored_at

        stored_at = scene.run(scenario)
        assert scene.states() == {ViewState.IN_FORCE}
        assert scene.served_versions_after(stored_at + limit_s) == {2}

    def test_announced_version_is_read_at_once(self):
        """Guards against waiting for a read that gets no answer."""
        scene = Scene()

        async def scenario():
            scene.link.silent = True
            await scene.publish(2)
            await scene.follower.announce(2)
            announced_at = scene.clock.now_with_suspensions()
            await curio.sleep(0.2)
            return announced_at

        announced_at = scene.run(scenario)
        assert scene.served_versions_after(announced_at) == {2}
        assert scene.view.version == 2

    @pytest.mark.parametrize("limit_s", [2.0, 3.0])
    def test_calls_are_refused_while_nobody_reads(self, limit_s):
        """Guards against deciding by removed keys, and a version that reverts."""
        scene = Scene(limit_s)

        async def scenario():
            scene.link.silent = scene.other_link.silent = True
            stored_at = await scene.publish(2)
            await curio.sleep(5.0)
            outdated = not scene.view.may_serve(scene.clock.now_with_suspensions())
            scene.link.silent = scene.other_link.silent = False
            await curio.sleep(2.0)
            return stored_at, outdated

        stored_at, outdated = scene.run(scenario)
        assert outdated
        assert scene.served_versions_after(stored_at + limit_s) == {2}
        versions = [version for _, _, version, _ in scene.samples]
        assert versions == sorted(versions)


class TestHistory:
    """Pattern: the store compacts its history, or answers from an earlier offset."""

    def test_compacted_history_is_read_again(self):
        """Guards against an entry VM that stops following the configuration."""
        scene = Scene()

        async def scenario():
            scene.link.deleted = 1
            await scene.publish(2)
            await curio.sleep(1.0)
            scene.link.deleted = scene.other_link.deleted = 1
            await curio.sleep(3.0)
            await scene.publish(3)
            await curio.sleep(1.0)

        scene.run(scenario)
        assert scene.view.version == 3
        assert scene.states() == {ViewState.IN_FORCE}

    def test_earlier_records_change_nothing(self):
        """Guards against an earlier version that is applied again."""
        scene = Scene()

        async def scenario():
            stored_at = await scene.publish(2)
            await curio.sleep(1.0)
            scene.link.first_offset = 0
            await curio.sleep(2.0)
            return stored_at + 1.0

        assert scene.served_versions_after(scene.run(scenario)) == {2}


class TestCalm:
    """Pattern: nothing changes and everything answers."""

    @pytest.mark.parametrize(
        ("limit_s", "teams", "reads_per_s"),
        [(2.0, False, 1.2), (3.0, True, 1.2), (2.0, True, 2.2)],
    )
    def test_no_read_goes_through_others(self, limit_s, teams, reads_per_s):
        """Guards against more calls of the log than the proof needs."""
        scene = Scene(limit_s, teams)

        async def scenario():
            before = scene.link.reads, scene.other_link.reads
            await curio.sleep(20.0)
            return scene.link.reads - before[0], scene.other_link.reads - before[1]

        own_reads, other_reads = scene.run(scenario)
        assert own_reads <= 20 * reads_per_s
        assert other_reads == 0


class TestSuspension:
    """Pattern: the VM is suspended; its monotonic clock stands still."""

    def test_proof_is_too_old_at_once(self):
        """Guards against answering by removed keys right after a suspension."""
        scene = Scene()
        suspended_s = [0.0]
        scene.clock.now_with_suspensions = lambda: time.monotonic() + suspended_s[0]

        async def scenario():
            suspended_s[0] = 5.0
            state = scene.view.state(scene.clock.now_with_suspensions())
            await curio.sleep(1.0)
            return state, scene.view.state(scene.clock.now_with_suspensions())

        expected = ViewState.UNKNOWN, ViewState.IN_FORCE
        assert scene.run(scenario) == expected
