"""Workers that do all that the users' pages allow, and a cell with them.

A call without an answer may be executed up to `MAX_DELAY_S` after it was sent, by the
incarnation that runs then. Requests wait for the end of a cut or of a crash. Answers on
different connections overtake each other. The worker does not guard its capacity, a
stopped run ends a little later, and its clock is slow. The start time of an incarnation
is in milliseconds since 1970, by a wall clock that differs from those of entry VMs.
"""

import random
import time
from dataclasses import dataclass, replace

import curio

from arbutusladder import events
from arbutusladder.cell.interfaces import OrderAnswer
from arbutusladder.cell.states import EndKind, OrderOutcome
from arbutusladder.clock import Clock
from arbutusladder.platform.workers import ORDER_TIMEOUT_S
from tests.cell import explorefaults as faults
from tests.cell.explorecell import (
    NOTED_EVENTS,
    POLL_S,
    ExploreCell,
    NotingJournal,
)
from tests.cell.exploretickets import AdviceService
from tests.cell.exploretrace import RUN_TAKEN_FOR_ENDED
from tests.cell.exploreworkers import ExploreWorker, OrderSender
from tests.cell.inprocess import LATENCY_S, REGISTRY_TOPIC
from tests.cell.pausable import FOREVER_S

# Shortest and longest time after which a delayed call is executed.
LATE_CALL_S = (2.0, 12.0)
# Longest time between a call and its execution.
MAX_DELAY_S = 11.9
# Longest time that a request or an answer takes, and the share of those that take it.
SLOW_S = 0.15
SLOW_SHARE = 0.2
# Longest time from the end of a cut until a request that waited for it arrives.
RESEND_S = 1.0
# Share of the requests to a worker that is down which wait for its restart.
WAITING_SHARE = 0.5
STOP_S = 0.4
# Lowest rate of the clock of a worker.
CLOCK_RATE = (0.98, 1.0)
# Largest difference of a wall clock from the time.
WALL_CLOCK_ERROR_S = 1.9
# Time after which another worker may have the address of one that has crashed.
ADDRESS_REUSED_S = 2.0
# Longest time after a restart until a worker writes its entry, and the time without
# contact after which its entry lapses.
REGISTER_S = 1.0
ENTRY_LAPSES_S = 3.0

NOTED_HOSTILE_EVENTS = (
    *NOTED_EVENTS,
    RUN_TAKEN_FOR_ENDED,
    events.RUNS_LOST,
    events.START_FAILED,
    events.WORKER_INCARNATION_BEGAN,
    events.WORKER_RESPONSIVE,
    events.WORKER_UNRESPONSIVE,
    events.UNNEEDED_RUN_STOPPED,
)


class WallClock(Clock):
    """Clock whose wall time differs from that of others.

    Args:
        error_s: The difference in seconds.
    """

    def __init__(self, error_s):
        self._error_s = error_s

    def wall_time(self):
        """Returns its wall time."""
        return super().wall_time() + self._error_s


@dataclass(frozen=True)
class _Call:
    """A call that is executed.

    Attributes:
        name: Name of the sender.
        vm: Entry VM of the sender.
        sent_at: Monotonic time at which it was sent.
        born: Incarnation of the worker then.
        address: Address to which it was sent.
    """

    name: str
    vm: str
    sent_at: float
    born: int
    address: str

    @property
    def age_s(self):
        """Seconds since it was sent."""
        return time.monotonic() - self.sent_at

    def describe(self):
        """Returns when and for which incarnation it was sent, for the events."""
        return f"sent {self.age_s:.3f} s ago by {self.name} to {self.born}"


class HostileWorker(ExploreWorker):
    """A worker that does all that the users' pages allow.

    Attributes:
        address_reused_at: Monotonic time from which another worker answers at its
            former address.
    """

    def __init__(self, entry, plan, checker, faults_in_force):
        self._wall_clock = WallClock(_draw_error_s())
        self._rate = random.uniform(*CLOCK_RATE)
        super().__init__(entry, plan, checker, faults_in_force)
        self.entry = replace(self.entry, born=self._wall_ms())
        self.address_reused_at = 0.0

    def _wall_ms(self):
        return int(self._wall_clock.wall_time() * 1000)

    @property
    def fence_scope(self):
        """An incarnation, since the next one has seen no fencing token."""
        return self.name, self.born

    def clock(self):
        """Returns its own clock, which is slow."""
        return time.monotonic() * self._rate + self._clock_offset_s

    def _monotonic_at(self, clock):
        return (clock - self._clock_offset_s) / self._rate

    def crash(self):
        """Ends its incarnation; nothing is left of it."""
        super().crash()
        self._checker.note(f"{self.name} crashes, incarnation {self.born}")

    def move(self):
        """Ends its incarnation; the next one has another address."""
        self.crash()
        self.entry = replace(self.entry, address=f"{self.name}-{self.born}:80")
        self.address_reused_at = time.monotonic() + ADDRESS_REUSED_S

    def restart(self):
        """Begins a new incarnation under the same id."""
        born = max(self.born + 1, self._wall_ms())
        super().restart()
        self.entry = replace(self.entry, born=born)
        self._checker.note(f"{self.name} restarts, incarnation {self.born}")

    async def handle(self, sender, function, *args):
        """Carries a request out, late or without an answer if faults say so."""
        name, method = self.name, function.__name__
        sent_at = time.monotonic() - LATENCY_S
        call = _Call(sender.name, sender.vm, sent_at, self.born, self.entry.address)
        refused = random.random() < self._faults.call_share(faults.CallsRefused, name)
        unanswered = random.random() < self._faults.call_share(
            faults.CallsUnanswered, name
        )
        late_share = self._faults.call_share(faults.CallsLate, name, method)
        if method == "start":
            late_share = max(late_share, self._faults.late_share(name))
        late = random.random() < late_share
        await curio.sleep(_latency_s())
        if not await self._arrives(call):
            return OrderAnswer(OrderOutcome.NOT_SENT)
        if refused:
            return OrderAnswer(OrderOutcome.UNHEALTHY)
        if late:
            # Once it has arrived, a cut does not keep the worker from executing it.
            await curio.sleep(random.uniform(*LATE_CALL_S))
            await self._wait_until_up()
        if call.age_s > MAX_DELAY_S or call.address != self.entry.address:
            await curio.sleep(FOREVER_S)
        born = self.born
        answer = await function(*args, call)
        if late or unanswered or self.down or self.born != born:
            await curio.sleep(FOREVER_S)
        await curio.sleep(_latency_s())
        if any(cut.answers for cut in self._faults.cuts(name, call.vm)):
            await curio.sleep(FOREVER_S)
        return answer

    async def _arrives(self, call):
        """Waits until a request arrives; returns whether it was not refused at once."""
        while True:
            cuts = [c for c in self._faults.cuts(self.name, call.vm) if c.requests]
            if cuts:
                if random.random() >= min(cut.held_share for cut in cuts):
                    await curio.sleep(FOREVER_S)
                await self._wait_for_end_of(cuts)
                await curio.sleep(random.uniform(0.0, RESEND_S))
            elif self.down:
                if random.random() >= WAITING_SHARE:
                    return False
                await self._wait_until_up()
            else:
                break
        return True

    async def _wait_for_end_of(self, cuts):
        while any(cut in self._faults.faults for cut in cuts):
            await curio.sleep(POLL_S)

    async def start(self, order, token, until, sender):
        """Starts a run."""
        late = sender.age_s > ORDER_TIMEOUT_S
        fence = self._fence
        answer = self._start(order, token, until, sender, late)
        self._checker.note(
            f"{order.task} run {order.run} on {self.name}: start is {answer.outcome}, "
            f"{sender.describe()}, executed by {self.born}, token {token}, "
            f"fence was {fence}"
        )
        return answer

    async def stop(self, order, token, sender):
        """Stops a run, which ends a little later."""
        if self._is_fenced(token, sender):
            return self._answer(OrderOutcome.FENCED)
        task, number = order.task, order.run
        run = self.running.get((task, number))
        ends_at = time.monotonic() + random.uniform(0.0, STOP_S)
        if run and ends_at < run.ends_at:
            run.ends_at, run.how = ends_at, EndKind.STOPPED
        self._ended_runs[task] = max(number, self._ended_runs.get(task, 0))
        self._checker.note(
            f"{task} run {number} on {self.name}: stop, {sender.describe()}, "
            f"executed by {self.born}, token {token}, runs {run is not None}"
        )
        return self._answer(OrderOutcome.ACCEPTED)

    async def renew(self, token, acknowledged, until, wait, sender):
        """Extends the lease and reports the runs, at the latest after a wait."""
        is_late = sender.age_s > ORDER_TIMEOUT_S
        if is_late or token > self._fence or sender.born != self.born:
            self._checker.note(
                f"{self.name}: renewal until {until}, acknowledges {acknowledged}, "
                f"{sender.describe()}, executed by {self.born}, token {token}, "
                f"fence was {self._fence}, clock {self.clock():.3f}"
            )
        return await super().renew(token, acknowledged, until, wait, sender)


def _draw_error_s():
    return random.uniform(-WALL_CLOCK_ERROR_S, WALL_CLOCK_ERROR_S)


def _latency_s():
    return random.uniform(0.0, SLOW_S) if random.random() < SLOW_SHARE else 0.0


class _FormerAddress:
    """What answers at a former address of a worker."""

    start = stop = pace = renew = None

    def __init__(self, reused_at):
        self._reused_at = reused_at

    async def handle(self, sender, function, *args):
        """Returns the answer of another worker; refuses before there is one."""
        await curio.sleep(_latency_s())
        if time.monotonic() < self._reused_at:
            return OrderAnswer(OrderOutcome.NOT_SENT)
        return OrderAnswer(OrderOutcome.WORKER_REPLACED)


class _OrderSender(OrderSender):
    def _target(self, worker):
        target = super()._target(worker)
        if worker.address == target.entry.address:
            return target
        return _FormerAddress(target.address_reused_at)


class HostileCell(ExploreCell):
    """Cell with such workers, which write the registry themselves."""

    def __init__(self, plan, checker):
        self._wall_error_by_vm = {vm: _draw_error_s() for vm in plan.vms}
        super().__init__(plan, checker)
        self._entry_by_record = {}
        self._recorded_born_by_vm = {}
        self._contact_at_by_vm = {}
        self._register_at_by_vm = {}

    def _make_worker(self, entry):
        return HostileWorker(entry, self._plan, self.checker, self.faults)

    def _order_sender(self, vm):
        return _OrderSender(self.process_by_vm[vm], self.worker_by_vm, self.network)

    def _advisor(self, vm):
        if self._plan.tickets:
            return AdviceService(self.worker_by_vm)
        return super()._advisor(vm)

    def _clock(self, vm):
        return WallClock(self._wall_error_by_vm[vm])

    def _journal(self, vm):
        process = self.process_by_vm[vm]
        return NotingJournal(process, self.checker, NOTED_HOSTILE_EVENTS)

    def _record(self, worker):
        """Returns the record of a worker's present entry."""
        self._entry_by_record[worker.name, str(worker.born)] = worker.entry
        self._recorded_born_by_vm[worker.name] = worker.born
        return worker.name, str(worker.born).encode()

    def _registry_items(self):
        return [self._record(worker) for worker in self.worker_by_vm.values()]

    def _decode_worker(self, record):
        return self._entry_by_record.get((record.key, record.value.decode()))

    async def restart_worker(self, vm):
        """Starts a crashed worker again, which then writes its entry."""
        self.worker_by_vm[vm].restart()
        self._register_at_by_vm[vm] = time.monotonic() + random.uniform(0, REGISTER_S)

    async def _advance_workers(self):
        while True:
            for worker in self.worker_by_vm.values():
                worker.advance()
                await self._advance_entry(worker, time.monotonic())
            await curio.sleep(POLL_S)

    async def _advance_entry(self, worker, now):
        """Writes or removes the entry of a worker."""
        vm, recorded = worker.name, self._recorded_born_by_vm.get(worker.name)
        if not self.log.available:
            return
        if worker.down or not self.faults.reaches_registry(vm):
            lapses_at = self._contact_at_by_vm.get(vm, now) + ENTRY_LAPSES_S
            if recorded and now > lapses_at:
                self._recorded_born_by_vm[vm] = None
                self.checker.note(f"the entry of {vm} lapses")
                await self.log.append(REGISTRY_TOPIC, [(vm, b"")])
            return
        self._contact_at_by_vm[vm] = now
        if recorded != worker.born and now >= self._register_at_by_vm.get(vm, 0.0):
            self.checker.note(f"{vm} writes its entry, incarnation {worker.born}")
            await self.log.append(REGISTRY_TOPIC, [self._record(worker)])
