"""Tests of the coordinator's input handling."""

import curio
import msgspec

from arbutusladder.clock import ManualClock
from arbutusladder.coordinator import Coordinator, Tick
from arbutusladder.journal import Journal
from arbutusladder.messages import HeartbeatAck
from arbutusladder.metrics import Metrics
from arbutusladder.peers import ReceivedMessage
from arbutusladder.settings import Settings
from arbutusladder.shardownerview import ShardOwnerView

SEATS = ["seat-0", "seat-1", "seat-2"]
DOMAINS = {"fd-a-0": "fd-a"}


class DroppingPeers:
    """Transport that drops every message."""

    async def send(self, seat, message):
        return False


class EmptyHost:
    """Host without shards."""

    def summaries(self):
        return []


def new_coordinator():
    seats = [
        {
            "name": seat,
            "address": "127.0.0.1:1",
            "region": "r",
            "failure_domain": "fd-a",
        }
        for seat in SEATS
    ]
    address = "127.0.0.1:1"
    values = {"vm": "vm-0", "seat": SEATS[0], "region": "r", "failure_domain": "fd-a"}
    values |= {"listen": address, "peer_listen": address}
    values |= {"log": address, "vm_list": address, "seats": seats}
    coordinator = Coordinator(
        msgspec.convert(values, Settings),
        1,
        DOMAINS,
        DroppingPeers(),
        None,
        ShardOwnerView(DOMAINS, 3.0),
        ManualClock(),
        Metrics(),
        Journal("vm-0"),
    )
    coordinator.host = EmptyHost()
    return coordinator


def count_ticks(items):
    """Returns how often inputs call `Ownership.tick`."""
    coordinator = new_coordinator()
    calls = []
    tick = coordinator.ownership.tick
    coordinator.ownership.tick = lambda now: calls.append(now) or tick(now)

    async def run():
        # The first input also sends the first heartbeat, which is not counted.
        await coordinator.inbox.put(Tick())
        task = await curio.spawn(coordinator._handle_inputs)
        await curio.sleep(0)
        while not coordinator.inbox.empty():
            await curio.sleep(0)
        calls.clear()
        for item in items:
            await coordinator.inbox.put(item)
        while not coordinator.inbox.empty():
            await curio.sleep(0)
        await curio.sleep(0)
        await task.cancel()

    curio.run(run)
    return len(calls)


class TestInputs:
    """Guards against advancing every shard twice for each message of a peer."""

    def test_acknowledgement_ticks_once(self):
        ack = HeartbeatAck("seat-1", 1, 1, 0, [])
        assert count_ticks([ReceivedMessage("seat-1", 0.0, ack)] * 5) <= 5

    def test_each_tick_input_ticks_once(self):
        assert count_ticks([Tick()] * 3) == 3
