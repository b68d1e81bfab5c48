"""Measures decisions about requests, calm and in a flood, in virtual time.

Usage:
  requestbench [--seed=N] [--seconds=S] [--executors=N]
  requestbench -h | --help

Options:
  --seed=N       Seed of arrivals and service times [default: 1].
  --seconds=S    Virtual seconds of arrivals [default: 30].
  --executors=N  Executors of the service, with 8 slots each [default: 24].

Arrivals and service times are drawn from the seed and played against the
admission queue, slot limits and shard choice, and against a plain FIFO queue of
the same length. Time in the queue and the rates are virtual; the time of a
decision is measured.
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
SLOTS = 8
CONNECTIONS = 64
QUEUE_LIMIT = 500
FLOOD_FACTOR = 10.0
SUMMARY_INTERVAL_S = 0.5
DOMAINS = 4
LONGEST_NS = 1_000_000_000


@dataclass(frozen=True)
class Kind:
    """One kind of request.

    Attributes:
        name: Name in the report.
        urgency: Class of the request.
        work_s: Mean service time in seconds.
        deadline_s: Seconds from arrival to deadline.
        load: Offered load as a fraction of all slots.
    """

    name: str
    urgency: Urgency
    work_s: float
    deadline_s: float
    load: float


QUOTE_CHECK = Kind("quote check", Urgency.URGENT, 0.02, 2.0, 0.2)
SIGN_REFRESH = Kind("sign refresh", Urgency.SERVICE, 0.03, 2.0, 0.2)
COUNTING = Kind("counting", Urgency.BATCH, 0.2, 5.0, 0.2)
COUNTING_FLOOD = Kind("counting", Urgency.BATCH, 0.2, 5.0, FLOOD_FACTOR)
URGENT_FLOOD = Kind("urgent counting", Urgency.URGENT, 0.2, 5.0, FLOOD_FACTOR)
SCENARIOS = {
    "calm": (QUOTE_CHECK, SIGN_REFRESH, COUNTING),
    "flood of the least urgent": (QUOTE_CHECK, SIGN_REFRESH, COUNTING_FLOOD),
    "flood of the most urgent": (SIGN_REFRESH, COUNTING, URGENT_FLOOD),
}


@dataclass(eq=False)
class Arrival:
    """One request of a run.

    Attributes:
        kind: Kind of the request.
        at: Virtual time of the arrival in seconds.
        work_s: Service time in seconds.
        ticket: The request as admission sees it.
        slot: Slot in which it runs.
    """

    kind: Kind
    at: float
    work_s: float
    ticket: Ticket
    slot: Slot | None = None


def arrivals(kinds: tuple[Kind, ...], slots: int, seconds: float, seed: int):
    """Returns the requests of a scenario in order of arrival."""
    found = []
    for number, kind in enumerate(kinds):
        generator = random.Random(f"{seed}/{number}")
        rate = kind.load * slots / kind.work_s
        now = generator.expovariate(rate)
        while now < seconds:
            work = generator.gammavariate(4.0, kind.work_s / 4.0)
            ticket = Ticket(SERVICE, kind.urgency, now + kind.deadline_s)
            found.append(Arrival(kind, now, work, ticket))
            now += generator.expovariate(rate)
    return sorted(found, key=lambda arrival: arrival.at)


class OwnQueue:
    """Shard choice, admission and slot limits of this package."""

    name = "admission"

    def __init__(self, executors: int, seed: int):
        self._endpoints = [VmId(f"x{number}") for number in range(executors)]
        self._slots = executors * SLOTS
        self._limits = EndpointLimits()
        self._admission = AdmissionController(QUEUE_LIMIT)
        self._admission.set_slots(SERVICE, self._slots)
        self._router = RequestRouter("d0", seed)
        self._arrivals_by_ticket: dict[Ticket, Arrival] = {}
        self._summary_at = 0.0
        for endpoint in self._endpoints:
            self._limits.set_endpoint(endpoint, SLOTS, CONNECTIONS)
        self._limits.set_group(SERVICE, self._endpoints)

    def tick(self, now: float) -> None:
        """Sends new summaries, as heartbeats do."""
        if now < self._summary_at:
            return
        self._summary_at = now + SUMMARY_INTERVAL_S
        for number in range(DOMAINS):
            free = {SERVICE: self._limits.free_slots(SERVICE, now)}
            shard = ShardId(f"d{number}/0")
            waiting = self._admission.waiting
            self._router.update_summary(
                f"d{number}", ShardSummary(shard, 1, free, waiting)
            )

    def enqueue(self, arrival: Arrival, now: float) -> bool:
        """Chooses a shard and queues a request; returns whether it waits."""
        self._router.record_sent(self._router.choose_shard(SERVICE), SERVICE)
        free = self._limits.free_slots(SERVICE, now)
        refusal = self._admission.enqueue(arrival.ticket, now, free)
        if refusal is None:
            self._arrivals_by_ticket[arrival.ticket] = arrival
        return refusal is None

    def start(self, now: float) -> Arrival | None:
        """Starts the next waiting request in a free slot."""
        free = self._limits.free_slots(SERVICE, now)
        for ticket in self._admission.candidates(SERVICE, free):
            if self._admission.is_late(ticket, now):
                self._admission.remove(ticket)
                del self._arrivals_by_ticket[ticket]
                return self.start(now)
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
    """Plain bounded queue: first come, first served, late requests dropped."""

    name = "fifo"

    def __init__(self, executors: int, seed: int):
        self._free = executors * SLOTS
        self._waiting: deque[Arrival] = deque()

    def tick(self, now: float) -> None:
        """Needs no summaries."""

    def enqueue(self, arrival: Arrival, now: float) -> bool:
        """Queues a request unless the queue is full."""
        if len(self._waiting) >= QUEUE_LIMIT:
            return False
        self._waiting.append(arrival)
        return True

    def start(self, now: float) -> Arrival | None:
        """Starts the oldest request that is not late."""
        while self._free and self._waiting:
            arrival = self._waiting.popleft()
            if now < arrival.ticket.deadline:
                self._free -= 1
                return arrival
        return None

    def end_request(self, arrival: Arrival, now: float) -> None:
        """Ends a running request."""
        self._free += 1


@dataclass
class KindResult:
    """What became of the requests of one kind.

    Attributes:
        offered: Requests that arrived.
        in_time: Requests that ended by their deadline.
        waits: Virtual time from arrival to start in microseconds.
    """

    offered: int = 0
    in_time: int = 0
    waits: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, LONGEST_NS, 3))

    @property
    def kept(self) -> float:
        """Fraction of the offered requests that ended in time."""
        return self.in_time / self.offered if self.offered else 1.0


@dataclass
class Result:
    """Result of one run.

    Attributes:
        decisions: Measured time of each decision in nanoseconds.
        kinds: Results by name of the kind.
        highest_running: Most requests that ran at the same time.
    """

    decisions: HdrHistogram
    kinds: dict[str, KindResult]
    highest_running: int = 0


class Run:
    """Plays arrivals against a queue in virtual time."""

    def __init__(self, queue: OwnQueue | FifoQueue, requests: list[Arrival]):
        self._queue = queue
        self._requests = requests
        self._running: list[tuple[float, int, Arrival]] = []
        self._sequence = 0
        kinds = {arrival.kind.name: KindResult() for arrival in requests}
        self.result = Result(HdrHistogram(1, LONGEST_NS, 3), kinds)

    def play(self) -> Result:
        """Returns the result once all requests have ended."""
        for arrival in self._requests:
            self._end_until(arrival.at)
            self._queue.tick(arrival.at)
            self.result.kinds[arrival.kind.name].offered += 1
            self._decide(arrival, arrival.at)
        self._end_until(float("inf"))
        return self.result

    def _end_until(self, limit: float) -> None:
        while self._running and self._running[0][0] <= limit:
            now, _, arrival = heapq.heappop(self._running)
            known = self.result.kinds[arrival.kind.name]
            known.in_time += now <= arrival.ticket.deadline
            self._queue.end_request(arrival, now)
            self._start(now)

    def _decide(self, arrival: Arrival, now: float) -> None:
        started_at = time.perf_counter_ns()
        self._queue.enqueue(arrival, now)
        self._start(now)
        elapsed = time.perf_counter_ns() - started_at
        self.result.decisions.record_value(min(max(1, elapsed), LONGEST_NS))

    def _start(self, now: float) -> None:
        while arrival := self._queue.start(now):
            self._sequence += 1
            ends_at = now + arrival.work_s
            heapq.heappush(self._running, (ends_at, self._sequence, arrival))
            waited = int((now - arrival.at) * 1e6)
            self.result.kinds[arrival.kind.name].waits.record_value(max(1, waited))
        self.result.highest_running = max(
            self.result.highest_running, len(self._running)
        )


def run_scenario(
    kinds: tuple[Kind, ...],
    queue_type: type[OwnQueue] | type[FifoQueue],
    executors: int,
    seconds: float,
    seed: int,
) -> Result:
    """Plays one scenario against one kind of queue."""
    requests = arrivals(kinds, executors * SLOTS, seconds, seed)
    return Run(queue_type(executors, seed), requests).play()


def report(scenario: str, queue: str, result: Result) -> list[str]:
    """Returns the result as lines of a table."""
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
            f"| {100 * kind.kept:.2f} % | {' | '.join(waits)} ms |"
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
        for queue_type in (OwnQueue, FifoQueue):
            result = run_scenario(kinds, queue_type, executors, seconds, seed)
            for line in report(scenario, queue_type.name, result):
                print(line, flush=True)


if __name__ == "__main__":
    main()
