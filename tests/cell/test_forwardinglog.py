"""Tests forwarding of log calls through other entry VMs."""

import curio

from arbutusladder.cell.forwardinglog import ForwardingLog
from arbutusladder.cell.states import LogResult
from arbutusladder.clock import ManualClock
from arbutusladder.errors import LogUnavailable
from arbutusladder.journal import Journal
from arbutusladder.messages import LogReply
from arbutusladder.metrics import Metrics


class UnreachableLog:
    """A log that this entry VM cannot reach."""

    async def append(self, *args, **options):
        """Fails every append."""
        raise LogUnavailable("unreachable", maybe_applied=False)


class ScriptedPeers:
    """Other entry VMs, some of which never answer."""

    def __init__(self, silent):
        self.silent = silent
        self.called_seats = []

    async def call(self, seat, message, timeout):
        """Records the entry VM called, and answers unless it is silent."""
        self.called_seats.append(seat)
        if seat in self.silent:
            return None
        return LogReply(message.request_id, LogResult.DONE, 7)


class TestForwarders:
    """An owner cannot reach the log, and entry VMs that it forwards to fail."""

    def forwarding_log(self, silent):
        """Returns a log that forwards its calls, its peers and its clock."""
        clock = ManualClock()
        peers = ScriptedPeers(silent)
        log = ForwardingLog(UnreachableLog(), "a:1", clock, Journal("a"), Metrics())
        log.set_forwarders(peers, lambda: ["b", "c", "d"])
        return log, peers, clock

    def append(self, log, clock):
        """Appends once, a second later."""
        clock.advance(1.0)
        return curio.run(log.append, "keyed.t", [("k", b"v")])

    def test_silent_forwarder_is_tried_only_once(self):
        """Guards against appends that each time out on the same silent entry VM."""
        log, peers, clock = self.forwarding_log({"b"})
        for _ in range(3):
            assert self.append(log, clock) == 7
        assert peers.called_seats == ["b", "c", "c", "c"]

    def test_forwarders_are_retried_after_all_have_failed(self):
        """Guards against never calling an entry VM again that failed once."""
        log, peers, clock = self.forwarding_log({"b", "c", "d"})
        for _ in range(2):
            try:
                self.append(log, clock)
            except LogUnavailable as error:
                assert error.maybe_applied
        peers.silent = set()
        assert self.append(log, clock) == 7
