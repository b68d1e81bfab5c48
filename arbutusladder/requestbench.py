"""Measures request admission in virtual time, with and without floods.

Usage:
  requestbench [--seed=N] [--seconds=S] [--executors=N]
  requestbench -h | --help

Options:
  --seed=N       Seed of arrivals and service times [default: 1].
  --seconds=S    Duration of the arrivals in virtual seconds [default: 30].
  --executors=N  Executors of the service, with 8 slots each [default: 24].

Seeded random arrivals and service times are simulated with the shard choice,
admission queue and slot limits of this package, and with a plain FIFO queue of the
same length. Queueing times and rates are virtual; the duration of each decision is
measured in real time.
"""

import heapq
import random
import time
from collections import deque
from dataclasses import dataclass, field

import docopt
from hdrh.histogram import HdrHistogram

from arbutusladder.admission import AdmissionController, Ticket
from arbutusladder.endpointlimits import EndpointLimits, Slot
from arbutusladder.ids import ShardId, VmId
from arbutusladder.messages import ShardSummary
from arbutusladder.routing import RequestRouter
from arbutusladder.states import Urgency

SERVICE = "parkcount"
SLOTS_PER_EXECUTOR = 8
CONNECTIONS_PER_EXECUTOR = 64
QUEUE_LIMIT = 500  # requests
FLOOD_FACTOR = 10.0  # offered load as a multiple of all slots
SUMMARY_INTERVAL_S = 0.5
FAILURE_DOMAIN_COUNT = 4
MAX_HISTOGRAM_VALUE = 1_000_000_000  # ns for decisions, us for waits


@dataclass(frozen=True)
class RequestKind:
    """One kind of request and its load.

    Attributes:
        name: Name in the report.
        urgency: Urgency class.
        work_s: Mean service time in seconds.
        deadline_s: Time from arrival to deadline in seconds.
        load: Offered load as a multiple of the slots of all executors.
    """

    name: str
    urgency: Urgency
    work_s: float
    deadline_s: float
    load: float


QUOTE_CHECK = RequestKind("quote check", Urgency.URGENT, 0.02, 2.0, 0.2)
SIGN_REFRESH = RequestKind("sign refresh", Urgency.SERVICE, 0.03, 2.0, 0.2)
COUNTING = RequestKind("counting", Urgency.BATCH, 0.2, 5.0, 0.2)
COUNTING_FLOOD = RequestKind("counting", Urgency.BATCH, 0.2, 5.0, FLOOD_FACTOR)
URGENT_FLOOD = RequestKind("urgent counting", Urgency.URGENT, 0.2, 5.0, FLOOD_FACTOR)
SCENARIOS = {
    "calm": (QUOTE_CHECK, SIGN_REFRESH, COUNTING),
    "flood of the least urgent": (QUOTE_CHECK, SIGN_REFRESH, COUNTING_FLOOD),
    "flood of the most urgent": (SIGN_REFRESH, COUNTING, URGENT_FLOOD),
}


@dataclass(eq=False)
class Arrival:
    """One simulated request.

    Attributes:
        kind: Kind of the request.
        arrived_at: Virtual time of the arrival in seconds.
        work_s: Service time in seconds.
        ticket: Ticket of the request in the admission queue.
        slot: Executor slot in which it runs.
    """

    kind: RequestKind
    arrived_at: float
    work_s: float
    ticket: Ticket
    slot: Slot | None = None


def generate_arrivals(
    kinds: tuple[RequestKind, ...], slots: int, seconds: float, seed: int
):
    """Returns the requests of a scenario in order of arrival."""
    requests = []
    for number, kind in enumerate(kinds):
        rng = random.Random(f"{seed}/{number}")
        rate = kind.load * slots / kind.work_s
        now = rng.expovariate(rate)
        while now < seconds:
            work = rng.gammavariate(4.0, kind.work_s / 4.0)
            ticket = Ticket(SERVICE, kind.urgency, now + kind.deadline_s)
            requests.append(Arrival(kind, now, work, ticket))
            now += rng.expovariate(rate)
    return sorted(requests, key=lambda arrival: arrival.arrived_at)


class AdmissionQueue:
    """Shard choice, admission and slot limits of this package, on one shard."""

    name = "admission"

    def __init__(self, executors: int, seed: int):
        self._endpoints = [VmId(f"x{number}") for number in range(executors)]
        self._slots = executors * SLOTS_PER_EXECUTOR
        self._limits = EndpointLimits()
        self._admission = AdmissionController(QUEUE_LIMIT)
        self._admission.set_slots(SERVICE, self._slots)
        self._router = RequestRouter("d0", seed)
        self._arrivals_by_ticket: dict[Ticket, Arrival] = {}
        self._next_summary_at = 0.0
        for endpoint in self._endpoints:
            self._limits.set_endpoint(
                endpoint, SLOTS_PER_EXECUTOR, CONNECTIONS_PER_EXECUTOR
            )
        self._limits.set_group(SERVICE, self._endpoints)

    def update_summaries(self, now: float) -> None:
        """Updates the router's shard summaries at intervals, as heartbeats do."""
        if now < self._next_summary_at:
            return
        self._next_summary_at = now + SUMMARY_INTERVAL_S
        for number in range(FAILURE_DOMAIN_COUNT):
            free = {SERVICE: self._limits.free_slots(SERVICE, now)}
            shard = ShardId(f"d{number}/0")
            waiting = self._admission.waiting
            self._router.update_summary(
                f"d{number}", ShardSummary(shard, 1, free, waiting)
            )

    def enqueue(self, arrival: Arrival, now: float) -> bool:
        """Chooses a shard and queues a request; returns whether it was admitted."""
        self._router.record_sent(self._router.choose_shard(SERVICE), SERVICE)
        free = self._limits.free_slots(SERVICE, now)
        refusal = self._admission.enqueue(arrival.ticket, now, free)
        if refusal is None:
            self._arrivals_by_ticket[arrival.ticket] = arrival
        return refusal is None

    def start_next(self, now: float) -> Arrival | None:
        """Starts the next waiting request in a free slot and removes late ones."""
        free = self._limits.free_slots(SERVICE, now)
        for ticket in self._admission.candidates(SERVICE, free):
            if self._admission.is_late(ticket, now):
                self._admission.remove(ticket)
                del self._arrivals_by_ticket[ticket]
                return self.start_next(now)
            arrival = self._arrivals_by_ticket.pop(ticket)
            arrival.slot = self._limits.acquire(SERVICE, now)
            self._admission.start(ticket)
            return arrival
        return None

    def end_request(self, arrival: Arrival, now: float) -> None:
        """Ends a running request."""
        self._limits.release(arrival.slot, now)
        self._admission.end_request(arrival.ticket, arrival.work_s, now)


class FifoQueue:
    """Bounded first-in, first-out queue that drops late requests."""

    name = "fifo"

    def __init__(self, executors: int, seed: int):
        self._free_slots = executors * SLOTS_PER_EXECUTOR
        self._waiting: deque[Arrival] = deque()

    def update_summaries(self, now: float) -> None:
        """Does nothing; the queue uses no summaries."""

    def enqueue(self, arrival: Arrival, now: float) -> bool:
        """Queues a request; returns False if the queue is full."""
        if len(self._waiting) >= QUEUE_LIMIT:
            return False
        self._waiting.append(arrival)
        return True

    def start_next(self, now: float) -> Arrival | None:
        """Starts the oldest request that is not late, if a slot is free."""
        while self._free_slots and self._waiting:
            arrival = self._waiting.popleft()
            if now < arrival.ticket.deadline:
                self._free_slots -= 1
                return arrival
        return None

    def end_request(self, arrival: Arrival, now: float) -> None:
        """Ends a running request."""
        self._free_slots += 1


@dataclass
class KindResult:
    """Results of the requests of one kind.

    Attributes:
        offered: Number of requests that arrived.
        in_time: Number of requests that ended by their deadline.
        waits: Virtual time from arrival to start in microseconds.
    """

    offered: int = 0
    in_time: int = 0
    waits: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, MAX_HISTOGRAM_VALUE, 3)
    )

    @property
    def in_time_fraction(self) -> float:
        """Fraction of the offered requests that ended in time."""
        return self.in_time / self.offered if self.offered else 1.0


@dataclass
class SimulationResult:
    """Result of one simulation.

    Attributes:
        decisions: Measured duration of each decision in nanoseconds.
        kinds: Results by name of the request kind.
        highest_running: Highest number of requests that ran at the same time.
    """

    decisions: HdrHistogram
    kinds: dict[str, KindResult]
    highest_running: int = 0


class Simulation:
    """Simulates requests with a queue in virtual time."""

    def __init__(self, queue: AdmissionQueue | FifoQueue, requests: list[Arrival]):
        self._queue = queue
        self._requests = requests
        self._running: list[tuple[float, int, Arrival]] = []
        self._sequence = 0
        kinds = {arrival.kind.name: KindResult() for arrival in requests}
        self.result = SimulationResult(HdrHistogram(1, MAX_HISTOGRAM_VALUE, 3), kinds)

    def run(self) -> SimulationResult:
        """Runs until all requests have ended and returns the result."""
        for arrival in self._requests:
            self._end_requests_until(arrival.arrived_at)
            self._queue.update_summaries(arrival.arrived_at)
            self.result.kinds[arrival.kind.name].offered += 1
            self._measure_decision(arrival, arrival.arrived_at)
        self._end_requests_until(float("inf"))
        return self.result

    def _end_requests_until(self, limit: float) -> None:
        while self._running and self._running[0][0] <= limit:
            now, _, arrival = heapq.heappop(self._running)
            kind_result = self.result.kinds[arrival.kind.name]
            kind_result.in_time += now <= arrival.ticket.deadline
            self._queue.end_request(arrival, now)
            self._start_waiting_requests(now)

    def _measure_decision(self, arrival: Arrival, now: float) -> None:
        started_at = time.perf_counter_ns()
        self._queue.enqueue(arrival, now)
        self._start_waiting_requests(now)
        elapsed = time.perf_counter_ns() - started_at
        self.result.decisions.record_value(min(max(1, elapsed), MAX_HISTOGRAM_VALUE))

    def _start_waiting_requests(self, now: float) -> None:
        while arrival := self._queue.start_next(now):
            self._sequence += 1
            ends_at = now + arrival.work_s
            heapq.heappush(self._running, (ends_at, self._sequence, arrival))
            wait_us = int((now - arrival.arrived_at) * 1e6)
            self.result.kinds[arrival.kind.name].waits.record_value(max(1, wait_us))
        self.result.highest_running = max(
            self.result.highest_running, len(self._running)
        )


def run_scenario(
    kinds: tuple[RequestKind, ...],
    queue_type: type[AdmissionQueue] | type[FifoQueue],
    executors: int,
    seconds: float,
    seed: int,
) -> SimulationResult:
    """Simulates one scenario with one type of queue."""
    requests = generate_arrivals(kinds, executors * SLOTS_PER_EXECUTOR, seconds, seed)
    return Simulation(queue_type(executors, seed), requests).run()


def format_rows(scenario: str, queue: str, result: SimulationResult) -> list[str]:
    """Returns the rows of the result table."""
    percentiles = [50, 99, 99.9]
    decision = [
        f"{result.decisions.get_value_at_percentile(p) / 1000:.1f}" for p in percentiles
    ]
    lines = [
        f"| {scenario} | {queue} | decision | {result.decisions.total_count} "
        f"| | {' | '.join(decision)} us |"
    ]
    for name, kind in result.kinds.items():
        waits = [
            f"{kind.waits.get_value_at_percentile(p) / 1000:.1f}" for p in percentiles
        ]
        lines.append(
            f"| {scenario} | {queue} | {name} | {kind.offered} "
            f"| {100 * kind.in_time_fraction:.2f} % | {' | '.join(waits)} ms |"
        )
    return lines


def main() -> None:
    """Runs all scenarios and prints a table."""
    options = docopt.docopt(__doc__)
    seed, seconds = int(options["--seed"]), float(options["--seconds"])
    executors = int(options["--executors"])
    print("| scenario | queue | what | offered | in time | p50 | p99 | p99.9 |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for scenario, kinds in SCENARIOS.items():
        for queue_type in (AdmissionQueue, FifoQueue):
            result = run_scenario(kinds, queue_type, executors, seconds, seed)
            for line in format_rows(scenario, queue_type.name, result):
                print(line, flush=True)


if __name__ == "__main__":
    main()
