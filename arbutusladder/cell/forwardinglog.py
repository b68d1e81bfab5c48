"""Log client that forwards calls through other entry VMs when necessary.

The log may refuse single entry VMs, or be unreachable from them, while it serves the
others. Every append of a cell is safe to repeat: jobs and cancellations are idempotent
by key, progress carries sequence numbers, and claims are conditional. A call that
failed on this entry VM can therefore be repeated by another one. `ForwardingLog` owns
only the state of that fallback.
"""

import itertools
import math
from collections.abc import Awaitable, Callable

import curio

from arbutusladder import events
from arbutusladder.cell.interfaces import (
    KeyedLog,
    KeyedRecord,
    LogBatch,
    OffsetDeleted,
    UnexpectedEndOffset,
    WriterFenced,
    WriterPosition,
)
from arbutusladder.cell.states import LogMethod, LogResult
from arbutusladder.clock import Clock
from arbutusladder.errors import LogUnavailable
from arbutusladder.ids import Epoch, RequestId, SeatId
from arbutusladder.journal import Journal
from arbutusladder.messages import LogCall, LogEntry, LogItem, LogReply
from arbutusladder.metrics import Metrics
from arbutusladder.peers import PeerTransport

# Entry VMs that are tried before a forwarded call counts as failed.
MAX_FORWARDING_ATTEMPTS = 2
# Seconds for the answer of another entry VM: its call of the log and the messages in
# both directions.
FORWARDING_TIMEOUT_S = 0.9
# Seconds between probes whether the log can be reached directly again.
PROBE_INTERVAL_S = 0.3
# Duration of a direct call in seconds from which the log counts as slow.
SLOW_ANSWER_S = 0.1
# Seconds after a slow answer within which a call without an answer is not forwarded:
# the log still handles it, and a second one would only wait behind it.
SLOW_ANSWER_VALIDITY_S = 2.5
# Longest wait in seconds before a forwarded read returns without records.
FORWARDED_READ_WAIT_S = 0.1


class ForwardingLog:
    """Implements `arbutusladder.cell.interfaces.KeyedLog` with forwarding.

    Args:
        direct: Client that calls the log directly.
        listen: Address that other entry VMs connect to.
        clock: Monotonic time.
        journal: Event log.
        metrics: Counters.

    Attributes:
        forwarding: Whether calls are forwarded because the log cannot be reached.
    """

    def __init__(
        self,
        direct: KeyedLog,
        listen: str,
        clock: Clock,
        journal: Journal,
        metrics: Metrics,
    ):
        self._clock = clock
        self._direct = direct
        self._journal = journal
        self._listen = listen
        self._metrics = metrics
        self._peers: PeerTransport | None = None
        self._forwarders: Callable[[], list[SeatId]] = list
        self._call_numbers = itertools.count(1)
        self._failed_at_by_forwarder: dict[SeatId, float] = {}
        self._end_by_topic: dict[str, int] = {}
        self._answered_at = -math.inf
        self._answer_s = 0.0
        self.forwarding = False

    def set_forwarders(
        self, peers: PeerTransport, forwarders: Callable[[], list[SeatId]]
    ) -> None:
        """Sets the entry VMs to which calls are forwarded.

        Args:
            peers: Connections to the other entry VMs.
            forwarders: Returns the entry VMs that may be called.
        """
        self._peers = peers
        self._forwarders = forwarders

    async def run(self) -> None:
        """Probes the log while calls are forwarded, until cancelled."""
        while True:
            await curio.sleep(PROBE_INTERVAL_S)
            if self.forwarding and await self._is_log_reachable():
                self.forwarding = False
                self._journal.write(events.LOG_AVAILABLE)

    async def append(
        self,
        topic: str,
        items: list[tuple[str, bytes]],
        expected_end: int | None = None,
        writer: WriterPosition | None = None,
        timeout: float = 2.0,
    ) -> int:
        """See `arbutusladder.cell.interfaces.KeyedLog.append`."""
        call = self._new_call(LogMethod.APPEND, topic, writer)
        call.items = [LogItem(*item) for item in items]
        call.expected_end = -1 if expected_end is None else expected_end
        reply = await self._call_or_forward(
            lambda: self._direct.append(topic, items, expected_end, writer, timeout),
            call,
        )
        offset = reply.offset if isinstance(reply, LogReply) else reply
        self._end_by_topic[topic] = offset + len(items)
        return offset

    async def set_epoch(self, topic: str, writer: WriterPosition) -> None:
        """See `arbutusladder.cell.interfaces.KeyedLog.set_epoch`."""
        call = self._new_call(LogMethod.SET_EPOCH, topic, writer)
        await self._call_or_forward(lambda: self._direct.set_epoch(topic, writer), call)

    async def read(self, topic: str, offset: int, wait: float = 0.0) -> LogBatch:
        """See `arbutusladder.cell.interfaces.KeyedLog.read`."""
        call = self._new_call(LogMethod.READ, topic, None)
        call.offset = offset
        reply = await self._call_or_forward(
            lambda: self._direct.read(topic, offset, wait), call, wait
        )
        batch = reply if isinstance(reply, LogBatch) else _batch(reply)
        self._end_by_topic[topic] = batch.end
        if isinstance(reply, LogBatch):
            return batch
        if wait and not reply.records:
            await curio.sleep(min(wait, FORWARDED_READ_WAIT_S))
        return batch

    async def newest(self, topic: str) -> LogBatch:
        """See `arbutusladder.cell.interfaces.KeyedLog.newest`."""
        call = self._new_call(LogMethod.NEWEST, topic, None)
        reply = await self._call_or_forward(lambda: self._direct.newest(topic), call)
        batch = reply if isinstance(reply, LogBatch) else _batch(reply)
        self._end_by_topic[topic] = batch.end
        return batch

    async def read_through_others(
        self, topic: str, offset: int, next_delay_s: float
    ) -> LogBatch:
        """Reads through other entry VMs, without a call of the log from this one.

        Args:
            topic: The topic.
            offset: Offset of the first record to read.
            next_delay_s: Seconds without an answer after which the next one is asked
                as well; the first answer counts.

        Raises:
            LogUnavailable: None of them has read the topic.
            OffsetDeleted: The records at the offset are deleted.
        """
        async with curio.TaskGroup(wait=object) as group:
            for number, forwarder in enumerate(self._ranked_forwarders()):
                call = self._new_call(LogMethod.READ, topic, None)
                call.offset = offset
                delay_s = number * next_delay_s
                await group.spawn(self._read_through, forwarder, call, delay_s)
        reply = group.result if group.completed else None
        if reply is None:
            raise LogUnavailable("no other entry VM has read it", maybe_applied=False)
        if reply.result is LogResult.POSITION_LOST:
            raise OffsetDeleted(f"{topic}: offset {offset} is deleted")
        return _batch(reply)

    async def _read_through(
        self, forwarder: SeatId, call: LogCall, delay_s: float
    ) -> LogReply | None:
        await curio.sleep(delay_s)
        reply = await self._call_forwarder(forwarder, call)
        is_read = reply and reply.result in {LogResult.DONE, LogResult.POSITION_LOST}
        return reply if is_read else None

    async def serve_forwarded(self, call: LogCall) -> LogReply:
        """Makes a call for another entry VM; does not forward it again."""
        request_id = call.request_id
        if self.forwarding:
            return LogReply(request_id, LogResult.NOT_DONE)
        self._metrics.count("log.helped")
        try:
            return await self._serve(call)
        except LogUnavailable as error:
            in_doubt = error.maybe_applied and call.method is LogMethod.APPEND
            result = LogResult.UNKNOWN if in_doubt else LogResult.NOT_DONE
            return LogReply(request_id, result)
        except UnexpectedEndOffset as error:
            return LogReply(request_id, LogResult.END_MOVED, end=error.end)
        except WriterFenced:
            return LogReply(request_id, LogResult.FENCED)
        except OffsetDeleted:
            return LogReply(request_id, LogResult.POSITION_LOST)

    async def _serve(self, call: LogCall) -> LogReply:
        writer = None
        if call.producer:
            writer = WriterPosition(call.producer, Epoch(call.epoch), call.sequence)
        match call.method:
            case LogMethod.APPEND:
                items = [(item.key, item.value) for item in call.items]
                end = call.expected_end if call.expected_end >= 0 else None
                offset = await self._direct.append(
                    call.topic, items, end, writer, FORWARDING_TIMEOUT_S
                )
                return LogReply(call.request_id, LogResult.DONE, offset)
            case LogMethod.SET_EPOCH:
                await self._direct.set_epoch(call.topic, writer)
                return LogReply(call.request_id, LogResult.DONE)
            case LogMethod.READ:
                batch = await self._direct.read(call.topic, call.offset)
            case LogMethod.NEWEST:
                batch = await self._direct.newest(call.topic)
        records = [LogEntry(r.offset, r.key, r.value) for r in batch.records]
        return LogReply(
            call.request_id, LogResult.DONE, batch.next_offset, batch.end, records
        )

    def _new_call(
        self, method: LogMethod, topic: str, writer: WriterPosition | None
    ) -> LogCall:
        call = LogCall(RequestId(""), self._listen, method, topic)
        if writer:
            call.producer, call.epoch = writer.producer, writer.epoch
            call.sequence = writer.sequence
        return call

    async def _call_or_forward(
        self, direct: Callable[[], Awaitable], call: LogCall, wait: float = 0.0
    ):
        if self.forwarding:
            return await self._forward(call, maybe_applied=False)
        started_at = self._clock.now()
        try:
            answer = await direct()
        except LogUnavailable as error:
            if not self._is_slow():
                self._start_forwarding(error)
            elif error.maybe_applied:
                self._metrics.count("log.slow")
                raise
            return await self._forward(call, error.maybe_applied)
        if not wait:
            self._answered_at = self._clock.now()
            self._answer_s = self._answered_at - started_at
        return answer

    def _is_slow(self) -> bool:
        """Returns whether the log answered recently, but slowly."""
        age_s = self._clock.now() - self._answered_at
        return self._answer_s > SLOW_ANSWER_S and age_s < SLOW_ANSWER_VALIDITY_S

    def _start_forwarding(self, error: LogUnavailable) -> None:
        if not self.forwarding:
            self.forwarding = True
            self._metrics.count("log.detours")
            self._journal.write(events.LOG_UNAVAILABLE, error=error)

    async def _forward(self, call: LogCall, maybe_applied: bool) -> LogReply:
        for forwarder in self._ranked_forwarders():
            reply = await self._call_forwarder(forwarder, call)
            match reply.result if reply else LogResult.UNKNOWN:
                case LogResult.DONE:
                    return reply
                case LogResult.END_MOVED:
                    raise UnexpectedEndOffset(reply.end)
                case LogResult.FENCED:
                    raise WriterFenced(
                        f"{call.topic}: another writer has a higher epoch"
                    )
                case LogResult.POSITION_LOST:
                    raise OffsetDeleted(
                        f"{call.topic}: offset {call.offset} is deleted"
                    )
                case LogResult.UNKNOWN:
                    maybe_applied = True
                case _:
                    pass
        raise LogUnavailable(
            "neither reachable directly nor through other entry VMs", maybe_applied
        )

    async def _call_forwarder(
        self, forwarder: SeatId, call: LogCall
    ) -> LogReply | None:
        call.request_id = RequestId(f"{self._listen}/log/{next(self._call_numbers)}")
        reply = await self._peers.call(forwarder, call, FORWARDING_TIMEOUT_S)
        self._record_reply(forwarder, reply)
        return reply

    def _ranked_forwarders(self) -> list[SeatId]:
        """Returns the entry VMs to try; the most recently failed come last."""
        ranked = sorted(
            self._forwarders(),
            key=lambda seat: self._failed_at_by_forwarder.get(seat, 0.0),
        )
        return ranked[:MAX_FORWARDING_ATTEMPTS]

    def _record_reply(self, forwarder: SeatId, reply: LogReply | None) -> None:
        if reply and reply.result is not LogResult.NOT_DONE:
            self._failed_at_by_forwarder.pop(forwarder, None)
        else:
            self._failed_at_by_forwarder[forwarder] = self._clock.now()

    async def _is_log_reachable(self) -> bool:
        # Reads at the end of the topic: the records before it would take a second over
        # the slowest links, which then are too busy for calls of the log.
        offset = self._end_by_topic.get(PROBE_TOPIC, 0)
        try:
            await self._direct.read(PROBE_TOPIC, offset)
        except LogUnavailable:
            return False
        except OffsetDeleted:
            return True
        return True


# Topic that probes read: the claims topic, which exists from the first claim on and
# stays small.
PROBE_TOPIC = "keyed.owner"


def _batch(reply: LogReply) -> LogBatch:
    records = [KeyedRecord(r.offset, r.key, r.value) for r in reply.records]
    return LogBatch(records, reply.end, reply.offset)
