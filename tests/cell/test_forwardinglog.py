"""Calls of the log through other entry VMs."""

import curio

from arbutusladder.cell.forwardinglog import ForwardingLog
from arbutusladder.cell.states import LogResult
from arbutusladder.clock import ManualClock
from arbutusladder.errors import LogUnavailable
from arbutusladder.journal import Journal
from arbutusladder.messages import LogReply
from arbutusladder.metrics import Metrics


class CutLog:
    """A log that this entry VM does not reach."""

    async def append(self, *args, **options):
        """Refuses every append."""
        raise LogUnavailable("cut off", maybe_applied=False)


class ScriptedPeers:
    """Other entry VMs, some of which never answer."""

    def __init__(self, silent):
        self.silent = silent
        self.called_seats = []

    async def call(self, seat, message, timeout):
        """Notes who was asked."""
        self.called_seats.append(seat)
        if seat in self.silent:
            return None
        return LogReply(message.request_id, LogResult.DONE, 7)


class TestHelpers:
    """Pattern: an owner without the log whose first helper is gone."""

    def forwarding_log(self, silent):
        """Returns a log on a detour and the peers that it asks."""
        clock = ManualClock()
        peers = ScriptedPeers(silent)
        log = ForwardingLog(CutLog(), "a:1", clock, Journal("a"), Metrics())
        log.set_forwarders(peers, lambda: ["b", "c", "d"])
        return log, peers, clock

    def append(self, log, clock):
        """Appends once, a moment later."""
        clock.advance(1.0)
        return curio.run(log.append, "keyed.t", [("k", b"v")])

    def test_silent_helper_costs_its_timeout_once(self):
        """Guards against appends that each wait for the same silent entry VM."""
        log, peers, clock = self.forwarding_log({"b"})
        for _ in range(3):
            assert self.append(log, clock) == 7
        assert peers.called_seats == ["b", "c", "c", "c"]

    def test_helpers_are_asked_again_when_all_have_failed(self):
        """Guards against giving up a helper for good."""
        log, peers, clock = self.forwarding_log({"b", "c", "d"})
        for _ in range(2):
            try:
                self.append(log, clock)
            except LogUnavailable as error:
                assert error.maybe_applied
        peers.silent = set()
        assert self.append(log, clock) == 7
