"""One entry VM's process in the fuzzing of ownership, with faults of its own."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from arbutusladder.ids import Epoch, SeatId, ShardId, VmId
from arbutusladder.membership import Membership
from arbutusladder.messages import (
    ClaimRecord,
    Handover,
    HandoverAck,
    Heartbeat,
    HeartbeatAck,
)
from arbutusladder.ownership import (
    Action,
    AppendClaim,
    BecomeOwner,
    Ownership,
    OwnershipTiming,
    RelinquishShard,
    RequestPromises,
    SendHandover,
    StartRebuild,
)
from arbutusladder.promises import Holder, PromiseTable, Validity
from arbutusladder.states import EntryState

if TYPE_CHECKING:
    from arbutusladder.fuzz import World

DURATION_S = 3.0
HEARTBEAT_S = 0.5
TICK_S = 0.1
PAUSE_THRESHOLD_S = 2.0
TASK_LEASE_S = 30.0
CLOCK_SKEWS_S = (0.25, 1.0, 2.0)
MAX_CLOCK_RATE_ERROR = 0.0005
MEAN_FAULT_INTERVAL_S = 1.5
LATE_MESSAGES_S = (1.0, 3.0, 8.0)
CLAIM_ATTEMPTS = 4
APPEND_TIMEOUT_S = 1.0
SETTLE_S = 20.0
HANDOVER_S = 5.0
START_WALL_S = 1_700_000_000.0


class PropertyViolated(AssertionError):
    """A checked property does not hold."""


@dataclass
class Conditions:
    """Faults in force.

    Attributes:
        loss: Probability that a message is lost.
        late: Probability that a message is delayed by seconds.
        copies: Probability that a message arrives twice.
        cut: Pairs of seats whose messages, one way, are lost.
        slow: Seats that receive messages seconds late.
        log_down: Every exchange with the log fails.
        log_cut: Seats that cannot reach the log.
        log_delay: Largest delay of the log in seconds.
        log_loss: Probability that a reply of the log is lost.
    """

    loss: float = 0.0
    late: float = 0.0
    copies: float = 0.0
    cut: set[tuple[SeatId, SeatId]] = field(default_factory=set)
    slow: set[SeatId] = field(default_factory=set)
    log_down: bool = False
    log_cut: set[SeatId] = field(default_factory=set)
    log_delay: float = 0.02
    log_loss: float = 0.0


@dataclass
class StartMessage:
    """A start on its way to a worker."""

    holder: Holder
    shard: ShardId
    epoch: Epoch
    lease_end: float


class Process:
    """One entry VM's process, with clocks of its own."""

    def __init__(self, world: World, seat: SeatId):
        rng = world.rng
        self.world = world
        self.seat = seat
        self.rate = 1 + rng.uniform(-MAX_CLOCK_RATE_ERROR, MAX_CLOCK_RATE_ERROR)
        self.offset = rng.uniform(0, 1e6)
        self.skew = world.wall_skew()
        self.holder = Holder(seat, int(self.wall() * 1e6))
        self.paused_until = 0.0
        self.deferred: list[Callable[[], None]] = []
        self.deferred_first: list[Callable[[], None]] = []
        self.sequence = 0
        self.position = 0
        self.known_ids: set[int] = set()
        self.reading = False
        self.draining = False
        self.open_starts: dict[ShardId, set[int]] = {}
        self.answered: set[ShardId] = set()
        self.validity_by_shard: dict[ShardId, tuple[Epoch, Validity]] = {}
        self.handed_out: dict[ShardId, Validity] = {}
        self.last_tick = self.now()
        self.book = PromiseTable(self.now(), DURATION_S)
        self.members = Membership(world.seats, "r", seat, DURATION_S)
        timing = OwnershipTiming(
            DURATION_S, min_successor_ready=world.min_successor_ready
        )
        self.ownership = Ownership(
            self.holder, world.domains, self.members, self.book, timing, self.now()
        )
        self.do(self.ownership.set_active(True, self.now()))

    def now(self) -> float:
        """Returns this process's monotonic time in seconds."""
        return self.offset + self.rate * self.world.time

    def wall(self) -> float:
        """Returns this process's wall clock time in seconds."""
        return START_WALL_S + self.world.time + self.skew

    def running(self) -> bool:
        """Returns whether this process is in its seat and not paused."""
        current = self.world.process_by_seat.get(self.seat) is self
        return current and self.world.time >= self.paused_until

    # Periodic work

    def tick(self) -> None:
        """Advances the state machine, sends a start now and then, reads the log."""
        late = self.now() - self.last_tick - TICK_S
        self.last_tick = self.now()
        if late >= PAUSE_THRESHOLD_S and self.world.rng.random() < 0.5:
            self.do(self.ownership.paused(self.now()))
        self.do(self.ownership.tick(self.now()))
        self.read_log()
        for shard, (epoch, validity) in list(self.validity_by_shard.items()):
            self.begin_start(shard, epoch, validity)
            if self.world.rng.random() < 0.02:
                own = self.holder
                again = ClaimRecord(shard, epoch, own.seat, own.incarnation)
                self.world.log_append(self, again, attempts=1)

    def beat(self) -> None:
        """Sends a heartbeat to every seat, also to its own."""
        self.sequence += 1
        asked = self.ownership.prepare_heartbeat(self.sequence, self.now())
        state = EntryState.DRAINING if self.draining else EntryState.READY
        heartbeat = Heartbeat(
            seat=self.seat,
            vm=VmId(self.seat),
            incarnation=self.holder.incarnation,
            sequence=self.sequence,
            state=state,
            config_revision=0,
            claims=asked.claims,
            probes=asked.probes,
            released=asked.released,
        )
        for seat in self.world.seat_ids:
            self.world.send(self.seat, seat, "heartbeat", heartbeat)

    # Messages

    def receive_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Answers a heartbeat with promises."""
        promised = self.book.answer_heartbeat(heartbeat, self.now())
        ack = HeartbeatAck(
            self.seat, heartbeat.incarnation, heartbeat.sequence, 0, promised
        )
        self.world.send(self.seat, heartbeat.seat, "ack", ack)
        if self.members.record_heartbeat(heartbeat, self.now()):
            self.do(self.ownership.handle_heartbeat(heartbeat, self.now()))

    def receive_ack(self, ack: HeartbeatAck) -> None:
        """Counts promises."""
        self.do(self.ownership.handle_heartbeat_ack(ack, self.now()))

    def receive_handover(self, message: Handover) -> None:
        """Takes over a shard's state."""
        accepted = self.ownership.accept_handover(message.shard, message.new_epoch)
        ack = HandoverAck(message.request_id, message.shard, accepted)
        self.world.send(self.seat, SeatId(message.request_id), "handover_ack", ack)

    def receive_handover_ack(self, ack: HandoverAck) -> None:
        """Ends a handover once no exchange is open."""
        self.answered.add(ack.shard)
        self.finish_handover(ack.shard)

    def finish_handover(self, shard: ShardId) -> None:
        """Releases a shard when the successor answered and all is settled."""
        if shard in self.answered and not self.open_starts.get(shard):
            self.answered.discard(shard)
            self.do(self.ownership.complete_handover(shard, self.now()))

    # Starts

    def begin_start(self, shard: ShardId, epoch: Epoch, validity: Validity) -> None:
        """Reads the wall clock first; a pause may follow each reading."""
        wall = self.wall()
        self.world.interrupt(self, lambda: self.check_start(shard, epoch, wall))

    def check_start(self, shard: ShardId, epoch: Epoch, wall: float) -> None:
        """Checks validity, then sends; a pause may come in between."""
        owned = self.validity_by_shard.get(shard)
        if not owned or owned[0] != epoch or not owned[1].is_valid(self.now()):
            return
        skew = self.world.clock_skew
        end = owned[1].first_lease_end(wall, self.now(), TASK_LEASE_S, skew)
        start = StartMessage(self.holder, shard, epoch, end)
        number = self.world.next_number()
        self.open_starts.setdefault(shard, set()).add(number)
        self.world.interrupt(self, lambda: self.world.send_start(start, self, number))

    def start_answered(self, shard: ShardId, number: int) -> None:
        """Notes the worker's answer to an exchange."""
        self.open_starts.get(shard, set()).discard(number)
        self.finish_handover(shard)

    # Log

    def read_log(self) -> None:
        """Reads the next records, one read at a time."""
        if self.reading:
            return
        self.reading = True
        self.world.log_read(self, self.position)

    def take_records(self, result: tuple[int, list, bool] | None) -> None:
        """Folds what a read returned."""
        self.reading = False
        if result is None:
            self.do(self.ownership.set_log_available(False, self.now()))
            return
        start, records, at_end = result
        if self.position < start:
            if self.position > 0:
                self.world.note("position lost")
                self.do(self.ownership.handle_position_lost(self.now()))
            self.position = start
        for offset, record_id, claim in records:
            self.position = offset + 1
            if record_id not in self.known_ids:
                self.known_ids.add(record_id)
                self.do(self.ownership.handle_claim(claim, self.now()))
        self.do(self.ownership.set_log_available(True, self.now()))
        if at_end:
            self.do(self.ownership.mark_caught_up(self.now()))

    # Actions

    def do(self, actions: list[Action]) -> None:
        """Carries out actions."""
        for action in actions:
            match action:
                case AppendClaim(claim):
                    self.world.note("claim")
                    self.world.disturb_claim(self)
                    self.world.log_append(self, claim)
                case RequestPromises(asked):
                    self.beat()
                    if asked.probes:
                        self.world.disturb_probe(self)
                case StartRebuild(shard, epoch, validity=validity):
                    self.world.note("rebuild")
                    self.handed_out[shard] = validity
                    self.world.after(
                        self.world.rng.uniform(0, 0.5),
                        self,
                        lambda s=shard, e=epoch: self.do(
                            self.ownership.finish_rebuild(s, e, self.now())
                        ),
                    )
                case BecomeOwner(shard, epoch, validity):
                    self.validity_by_shard[shard] = (epoch, validity)
                    self.world.acts(self.holder, shard, epoch)
                    self.world.disturb_owner(self)
                case SendHandover(shard, epoch, new_epoch, successor):
                    self.world.note("handover")
                    self.stop_starts(shard, epoch)
                    sender = SeatId(self.seat)
                    message = Handover(sender, shard, epoch, new_epoch, successor)
                    self.world.send(self.seat, successor, "handover", message)
                case RelinquishShard(shard, epoch, reason):
                    self.world.note(f"gave up: {reason.value}")
                    self.stop_starts(shard, epoch)
                    self.answered.discard(shard)

    def stop_starts(self, shard: ShardId, epoch: Epoch) -> None:
        """Ends the sending of starts, as late as another task would notice."""

        def stop() -> None:
            if self.validity_by_shard.get(shard, (0,))[0] == epoch:
                del self.validity_by_shard[shard]

        self.world.after(self.world.rng.uniform(0, 0.05), self, stop)
