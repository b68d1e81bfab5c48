"""Simulated entry VM process for the fuzzing of ownership.

Each process has its own clocks and runs the real `Membership`, `PromiseTable` and
`Ownership`.
"""

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
    from arbutusladder.fuzz import Simulation

# Timing of the simulated processes.
PROMISE_DURATION_S = 3.0
HEARTBEAT_INTERVAL_S = 0.5
TICK_INTERVAL_S = 0.1
PAUSE_THRESHOLD_S = 2.0
TASK_LEASE_S = 30.0
# Clocks, faults and log appends of the simulation.
CLOCK_SKEWS_S = (0.25, 1.0, 2.0)
MAX_CLOCK_RATE_ERROR = 0.0005
MEAN_FAULT_INTERVAL_S = 1.5
MAX_MESSAGE_DELAYS_S = (1.0, 3.0, 8.0)
CLAIM_ATTEMPTS = 4
APPEND_TIMEOUT_S = 1.0
# Seconds after the last fault within which every shard must have an owner, and the
# additional time for handovers.
RECOVERY_TIMEOUT_S = 20.0
HANDOVER_GRACE_S = 5.0
INITIAL_WALL_TIME_S = 1_700_000_000.0


class PropertyViolated(AssertionError):
    """Raised when a checked property does not hold."""


@dataclass
class FaultConditions:
    """Active faults.

    Attributes:
        loss_probability: Probability that a message is lost.
        delay_probability: Probability that a message is delayed by seconds.
        duplicate_probability: Probability that a message arrives twice.
        cut_links: Pairs of sender and receiver whose messages are lost.
        slow_seats: Seats that receive messages seconds late.
        log_down: Whether every exchange with the log fails.
        log_cut_seats: Seats that cannot reach the log.
        log_delay: Maximum delay of the log in seconds.
        log_loss_probability: Probability that a reply of the log is lost.
    """

    loss_probability: float = 0.0
    delay_probability: float = 0.0
    duplicate_probability: float = 0.0
    cut_links: set[tuple[SeatId, SeatId]] = field(default_factory=set)
    slow_seats: set[SeatId] = field(default_factory=set)
    log_down: bool = False
    log_cut_seats: set[SeatId] = field(default_factory=set)
    log_delay: float = 0.02
    log_loss_probability: float = 0.0


@dataclass
class StartMessage:
    """Task start that is sent to a worker."""

    holder: Holder
    shard: ShardId
    epoch: Epoch
    lease_end: float


class SimulatedProcess:
    """Process of an entry VM with its own monotonic and wall clock."""

    def __init__(self, simulation: Simulation, seat: SeatId):
        rng = simulation.rng
        self.simulation = simulation
        self.seat = seat
        self.clock_rate = 1 + rng.uniform(-MAX_CLOCK_RATE_ERROR, MAX_CLOCK_RATE_ERROR)
        self.clock_offset = rng.uniform(0, 1e6)
        self.wall_skew = simulation.random_wall_skew()
        self.holder = Holder(seat, int(self.wall_time() * 1e6))
        self.paused_until = 0.0
        self.deferred: list[Callable[[], None]] = []
        self.deferred_before_others: list[Callable[[], None]] = []
        self.sequence = 0
        self.log_position = 0
        self.seen_record_ids: set[int] = set()
        self.read_in_progress = False
        self.draining = False
        self.in_flight_starts: dict[ShardId, set[int]] = {}
        self.answered_handovers: set[ShardId] = set()
        self.owned_by_shard: dict[ShardId, tuple[Epoch, Validity]] = {}
        self.granted_validity_by_shard: dict[ShardId, Validity] = {}
        self.last_tick_at = self.now()
        self.promises = PromiseTable(self.now(), PROMISE_DURATION_S)
        self.membership = Membership(simulation.seats, "r", seat, PROMISE_DURATION_S)
        timing = OwnershipTiming(
            PROMISE_DURATION_S, min_successor_ready=simulation.min_successor_ready
        )
        self.ownership = Ownership(
            self.holder,
            simulation.domain_by_shard,
            self.membership,
            self.promises,
            timing,
            self.now(),
        )
        self.execute(self.ownership.set_active(True, self.now()))

    def now(self) -> float:
        """Returns the monotonic time of this process in seconds."""
        return self.clock_offset + self.clock_rate * self.simulation.time

    def wall_time(self) -> float:
        """Returns the wall clock time of this process in seconds."""
        return INITIAL_WALL_TIME_S + self.simulation.time + self.wall_skew

    def is_running(self) -> bool:
        """Returns whether this process still occupies its seat and is not paused."""
        current = self.simulation.process_by_seat.get(self.seat) is self
        return current and self.simulation.time >= self.paused_until

    # Periodic work

    def tick(self) -> None:
        """Advances the state machine, reads the log and sends starts as an owner."""
        lateness = self.now() - self.last_tick_at - TICK_INTERVAL_S
        self.last_tick_at = self.now()
        if lateness >= PAUSE_THRESHOLD_S and self.simulation.rng.random() < 0.5:
            self.execute(self.ownership.paused(self.now()))
        self.execute(self.ownership.tick(self.now()))
        self.read_next_records()
        for shard, (epoch, validity) in list(self.owned_by_shard.items()):
            self.prepare_start(shard, epoch, validity)
            if self.simulation.rng.random() < 0.02:
                own = self.holder
                duplicate_claim = ClaimRecord(shard, epoch, own.seat, own.incarnation)
                self.simulation.append_claim(self, duplicate_claim, attempts=1)

    def send_heartbeat(self) -> None:
        """Sends a heartbeat to every seat, including its own."""
        self.sequence += 1
        claims = self.ownership.prepare_heartbeat(self.sequence, self.now())
        state = EntryState.DRAINING if self.draining else EntryState.READY
        heartbeat = Heartbeat(
            seat=self.seat,
            vm=VmId(self.seat),
            incarnation=self.holder.incarnation,
            sequence=self.sequence,
            state=state,
            config_revision=0,
            claims=claims.claims,
            probes=claims.probes,
            released=claims.released,
        )
        for seat in self.simulation.seat_ids:
            self.simulation.send(self.seat, seat, "heartbeat", heartbeat)

    # Messages

    def receive_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Acknowledges a heartbeat with promises and records it."""
        promised = self.promises.answer_heartbeat(heartbeat, self.now())
        ack = HeartbeatAck(
            self.seat, heartbeat.incarnation, heartbeat.sequence, 0, promised
        )
        self.simulation.send(self.seat, heartbeat.seat, "ack", ack)
        if self.membership.record_heartbeat(heartbeat, self.now()):
            self.execute(self.ownership.handle_heartbeat(heartbeat, self.now()))

    def receive_ack(self, ack: HeartbeatAck) -> None:
        """Counts the promises of an acknowledgement."""
        self.execute(self.ownership.handle_heartbeat_ack(ack, self.now()))

    def receive_handover(self, message: Handover) -> None:
        """Answers a handover."""
        accepted = self.ownership.accept_handover(message.shard, message.new_epoch)
        ack = HandoverAck(message.request_id, message.shard, accepted)
        self.simulation.send(self.seat, SeatId(message.request_id), "handover_ack", ack)

    def receive_handover_ack(self, ack: HandoverAck) -> None:
        """Records the answer to a handover."""
        self.answered_handovers.add(ack.shard)
        self.finish_handover(ack.shard)

    def finish_handover(self, shard: ShardId) -> None:
        """Releases a shard once the successor answered and no start is in flight."""
        if shard in self.answered_handovers and not self.in_flight_starts.get(shard):
            self.answered_handovers.discard(shard)
            self.execute(self.ownership.complete_handover(shard, self.now()))

    # Starts

    def prepare_start(self, shard: ShardId, epoch: Epoch, validity: Validity) -> None:
        """Reads the wall clock for a start; a pause may follow."""
        wall_time = self.wall_time()
        self.simulation.run_with_random_pause(
            self, lambda: self.send_start_if_valid(shard, epoch, wall_time)
        )

    def send_start_if_valid(
        self, shard: ShardId, epoch: Epoch, wall_time: float
    ) -> None:
        """Sends a start if the ownership is valid; a pause may follow the check."""
        ownership_entry = self.owned_by_shard.get(shard)
        if (
            not ownership_entry
            or ownership_entry[0] != epoch
            or not ownership_entry[1].is_valid(self.now())
        ):
            return
        clock_skew = self.simulation.clock_skew
        end = ownership_entry[1].first_lease_end(
            wall_time, self.now(), TASK_LEASE_S, clock_skew
        )
        start = StartMessage(self.holder, shard, epoch, end)
        start_id = self.simulation.next_id()
        self.in_flight_starts.setdefault(shard, set()).add(start_id)
        self.simulation.run_with_random_pause(
            self, lambda: self.simulation.send_start(start, self, start_id)
        )

    def handle_start_answer(self, shard: ShardId, start_id: int) -> None:
        """Handles the answer of a worker to a start."""
        self.in_flight_starts.get(shard, set()).discard(start_id)
        self.finish_handover(shard)

    # Log

    def read_next_records(self) -> None:
        """Reads the next log records unless a read is in progress."""
        if self.read_in_progress:
            return
        self.read_in_progress = True
        self.simulation.read_log(self, self.log_position)

    def handle_records(self, result: tuple[int, list, bool] | None) -> None:
        """Handles the result of a read; None stands for a failed read.

        Args:
            result: Offset of the first available record, the records, and whether
                they reach the end of the log.
        """
        self.read_in_progress = False
        if result is None:
            self.execute(self.ownership.set_log_available(False, self.now()))
            return
        start, records, is_at_end = result
        if self.log_position < start:
            if self.log_position > 0:
                self.simulation.count_event("position lost")
                self.execute(self.ownership.handle_claim_gap(self.now()))
            self.log_position = start
        for offset, record_id, claim in records:
            self.log_position = offset + 1
            if record_id not in self.seen_record_ids:
                self.seen_record_ids.add(record_id)
                self.execute(self.ownership.handle_claim(claim, self.now()))
        self.execute(self.ownership.set_log_available(True, self.now()))
        if is_at_end:
            self.execute(self.ownership.mark_caught_up(self.now()))

    # Actions

    def execute(self, actions: list[Action]) -> None:
        """Carries out the actions of the state machine."""
        for action in actions:
            match action:
                case AppendClaim(claim):
                    self.simulation.count_event("claim")
                    self.simulation.inject_claim_fault(self)
                    self.simulation.append_claim(self, claim)
                case RequestPromises(claims):
                    self.send_heartbeat()
                    if claims.probes:
                        self.simulation.inject_probe_fault(self)
                case StartRebuild(shard, epoch, validity=validity):
                    self.simulation.count_event("rebuild")
                    self.granted_validity_by_shard[shard] = validity
                    self.simulation.schedule_on(
                        self.simulation.rng.uniform(0, 0.5),
                        self,
                        lambda s=shard, e=epoch: self.execute(
                            self.ownership.finish_rebuild(s, e, self.now())
                        ),
                    )
                case BecomeOwner(shard, epoch, validity):
                    self.owned_by_shard[shard] = (epoch, validity)
                    self.simulation.record_owner(self.holder, shard, epoch)
                    self.simulation.inject_owner_fault(self)
                case SendHandover(shard, epoch, new_epoch, successor):
                    self.simulation.count_event("handover")
                    self.stop_sending_starts(shard, epoch)
                    sender = SeatId(self.seat)
                    message = Handover(sender, shard, epoch, new_epoch, successor)
                    self.simulation.send(self.seat, successor, "handover", message)
                case RelinquishShard(shard, epoch, reason):
                    self.simulation.count_event(f"relinquished: {reason.value}")
                    self.stop_sending_starts(shard, epoch)
                    self.answered_handovers.discard(shard)

    def stop_sending_starts(self, shard: ShardId, epoch: Epoch) -> None:
        """Stops sending starts after a short delay, as a separate task would."""

        def stop() -> None:
            if self.owned_by_shard.get(shard, (0,))[0] == epoch:
                del self.owned_by_shard[shard]

        self.simulation.schedule_on(self.simulation.rng.uniform(0, 0.05), self, stop)
