"""Tests forwarding of log calls through other entry VMs."""

import curio

from arbutusladder.cell.forwardinglog import (
    PROBE_INTERVAL_S,
    PROBE_TOPIC,
    ForwardingLog,
)
from arbutusladder.cell.interfaces import LogBatch
from arbutusladder.cell.states import LogResult
from arbutusladder.clock import ManualClock
from arbutusladder.errors import LogUnavailable
from arbutusladder.journal import Journal
from arbutusladder.messages import LogReply
from arbutusladder.metrics import Metrics
from tests.virtualtime import run_in_virtual_time


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
        return run_in_virtual_time(log.append, "keyed.t", [("k", b"v")])

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


class RecoveringLog:
    """A log with a long topic, which is unreachable at first.

    Attributes:
        reachable: Whether it answers.
        read_offsets: Offsets of the reads.
    """

    def __init__(self):
        self.reachable = True
        self.read_offsets = []

    async def read(self, topic, offset, wait=0.0):
        """Returns the records from an offset to the end at 500."""
        if not self.reachable:
            raise LogUnavailable("unreachable", maybe_applied=False)
        self.read_offsets.append(offset)
        return LogBatch([], 500, 500)


class TestProbe:
    """Pattern: an outage of the log ends while all entry VMs probe it."""

    def test_probe_reads_no_records(self):
        """Guards against probes that fill slow links with old records."""
        direct = RecoveringLog()
        log = ForwardingLog(direct, "a:1", ManualClock(), Journal("a"), Metrics())

        async def main():
            await log.read(PROBE_TOPIC, 0)
            direct.reachable = False
            try:
                await log.read(PROBE_TOPIC, 500)
            except LogUnavailable:
                pass
            direct.reachable, direct.read_offsets = True, []
            task = await curio.spawn(log.run, daemon=True)
            await curio.sleep(2.5 * PROBE_INTERVAL_S)
            await task.cancel()

        run_in_virtual_time(main)
        assert not log.forwarding
        assert direct.read_offsets == [500]


class SlowingLog:
    """A log that answers reads slowly and appends not in time.

    Attributes:
        clock: Clock that its calls advance.
        answer_s: Duration of a read in seconds.
        maybe_applied: Whether an append without an answer may take effect.
    """

    def __init__(self, clock):
        self.clock = clock
        self.answer_s = 0.24
        self.maybe_applied = True

    async def read(self, topic, offset, wait=0.0):
        """Answers slowly."""
        self.clock.advance(self.answer_s)
        return LogBatch([], 5, 5)

    async def append(self, *args, **options):
        """Does not answer in time, or refuses."""
        self.clock.advance(0.8)
        raise LogUnavailable("scripted", maybe_applied=self.maybe_applied)


class TestSlowLog:
    """Pattern: the log takes 60 times as long while many entry VMs append."""

    def append_after_read(self, answer_s, maybe_applied):
        """Appends after a read; returns whether calls are forwarded, and by whom."""
        clock, peers = ManualClock(), ScriptedPeers(set())
        direct = SlowingLog(clock)
        direct.answer_s, direct.maybe_applied = answer_s, maybe_applied
        log = ForwardingLog(direct, "a:1", clock, Journal("a"), Metrics())
        log.set_forwarders(peers, lambda: ["b", "c"])

        async def main():
            await log.read(PROBE_TOPIC, 0)
            try:
                await log.append("keyed.t", [("k", b"v")])
            except LogUnavailable as error:
                assert error.maybe_applied

        run_in_virtual_time(main)
        return log.forwarding, peers.called_seats

    def test_unanswered_append_is_not_sent_again_through_others(self):
        """Guards against more appends at a log that is slow because of appends."""
        assert self.append_after_read(0.24, maybe_applied=True) == (False, [])

    def test_unanswered_append_to_a_log_that_was_fast_is_forwarded(self):
        """Guards against an entry VM that stays cut off from the log."""
        assert self.append_after_read(0.01, maybe_applied=True) == (True, ["b"])

    def test_refused_call_is_forwarded_alone(self):
        """Guards against an owner that counts as cut off while the log is full."""
        assert self.append_after_read(0.24, maybe_applied=False) == (False, ["b"])
