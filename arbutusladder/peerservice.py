"""Handles the messages of other entry VMs.

`PeerService` owns the transport; it passes each message to the component that handles
it and sends the answer.
"""

from collections.abc import Callable

import curio

from arbutusladder.clock import Clock
from arbutusladder.feeds import ConfigFeed
from arbutusladder.ids import SeatId
from arbutusladder.messages import (
    Acknowledgement,
    CancelJob,
    ConfigOffer,
    DrainVm,
    FetchConfig,
    ForwardAnswer,
    ForwardRequest,
    Handover,
    HandoverAck,
    Heartbeat,
    HeartbeatAck,
    JobAnswer,
    QueryJob,
    SubmitAnswer,
    SubmitJob,
)
from arbutusladder.metrics import Metrics
from arbutusladder.peers import PeerLimits, PeerTransport, ReceivedMessage
from arbutusladder.settings import Settings
from arbutusladder.shardhost import ShardHost
from arbutusladder.states import Outcome, Reason

# Messages that answer a call of this entry VM.
REPLY_TYPES = (
    ForwardAnswer,
    SubmitAnswer,
    JobAnswer,
    ConfigOffer,
    HandoverAck,
    Acknowledgement,
)


class PeerService:
    """Handles messages of other entry VMs and sends the answers.

    Args:
        settings: Settings of the entry VM.
        config: Configuration built from stream ``config``.
        clock: Clock of this process.
        metrics: Counters.
        on_failure: Called with the name of a task and its error.

    Attributes:
        peers: Transport to the other entry VMs.
        host: Shards of this entry VM; set before the transport runs.
        inbox: Queue of the coordinator; set before the transport runs.
    """

    host: ShardHost
    inbox: curio.Queue

    def __init__(
        self,
        settings: Settings,
        config: ConfigFeed,
        clock: Clock,
        metrics: Metrics,
        on_failure: Callable[[str, Exception], None],
    ):
        self._settings = settings
        self._config = config
        self._clock = clock
        self._metrics = metrics
        self._on_failure = on_failure
        self.peers = self._create_transport()

    def _create_transport(self) -> PeerTransport:
        address_by_seat = {
            SeatId(seat.name): seat.address
            for seat in self._settings.seats
            if seat.name != self._settings.seat
        }
        limits = self._settings.input_limits
        return PeerTransport(
            SeatId(self._settings.seat),
            self._settings.peer_listen,
            address_by_seat,
            self.receive,
            self._clock,
            self._metrics,
            lambda error: self._on_failure("message handler", error),
            PeerLimits(limits.message_bytes, limits.entry_vms),
        )

    async def call(self, seat: SeatId, message, timeout: float):
        """Sends a message to a seat and returns its answer.

        Messages to the own seat are handled without the transport.
        """
        if seat == self._settings.seat:
            return await self._handle(message)
        cancellable = isinstance(message, ForwardRequest) and message.idempotent
        return await self.peers.call(seat, message, timeout, cancellable)

    async def receive(self, received: ReceivedMessage) -> None:
        """Dispatches a message of another entry VM."""
        match received.message:
            case Heartbeat() | HeartbeatAck():
                await self.inbox.put(received)
            case message if isinstance(message, REPLY_TYPES):
                await self.peers.resolve_call(message)
            case _:
                await curio.spawn(self._handle_and_reply, received, daemon=True)

    async def _handle_and_reply(self, received: ReceivedMessage) -> None:
        message = received.message
        if isinstance(message, ForwardRequest):
            # The message may have waited in a stalled connection.
            age = max(0.0, received.age - self._settings.timing.clock_skew_s)
            message.remaining_ms -= int(age * 1000)
        try:
            answer = await self._handle(message)
        except Exception as error:
            self._metrics.count("peers.handler_failures")
            self._on_failure("message of a peer", error)
            return
        if answer is not None:
            await self.peers.send(received.sender, answer)

    async def _handle(self, message):
        match message:
            case ForwardRequest():
                if message.remaining_ms <= 0:
                    return _deadline_passed(message)
                return await self.host.handle(message)
            case SubmitJob():
                return await self._submit(message)
            case CancelJob():
                return await self._cancel(message)
            case QueryJob():
                return self._query(message)
            case DrainVm(request_id, vm, draining):
                return Acknowledgement(request_id, self.host.drain_vm(vm, draining))
            case Handover():
                return await self.host.receive_handover(message)
            case FetchConfig(request_id):
                revision, offset, body = self._config.store.encode_offer()
                return ConfigOffer(request_id, revision, offset, body)
        return None

    async def _submit(self, message: SubmitJob) -> SubmitAnswer:
        shard = self.host.shard_by_id.get(message.shard)
        if shard is None or not shard.serving:
            reason = Reason.NOT_OWNER
            return SubmitAnswer(
                message.request_id,
                Outcome.NOT_RUN,
                message.job.job_id,
                reason.value,
                1000,
            )
        answer = await shard.jobs.submit(message.job)
        answer.request_id = message.request_id
        return answer

    async def _cancel(self, message: CancelJob) -> Acknowledgement:
        for shard in list(self.host.shard_by_id.values()):
            if shard.serving and shard.jobs.query(message.job_id).found:
                answer = await shard.jobs.cancel(message.job_id)
                answer.request_id = message.request_id
                return answer
        return Acknowledgement(message.request_id, False, Reason.UNKNOWN_JOB.value)

    def _query(self, message: QueryJob) -> JobAnswer:
        for shard in self.host.shard_by_id.values():
            answer = shard.jobs.query(message.job_id, message.explain)
            if shard.serving and answer.found:
                answer.request_id = message.request_id
                return answer
        return JobAnswer(message.request_id, False)


def _deadline_passed(message: ForwardRequest) -> ForwardAnswer:
    return ForwardAnswer(
        message.request_id, Outcome.NOT_RUN, reason=Reason.DEADLINE_PASSED.value
    )
