"""Workers of the search, which crash, fall silent and carry orders out late."""

import itertools
import random
import time
from dataclasses import dataclass, replace

import curio

from arbutusladder.cell.fencing import token_epoch
from arbutusladder.cell.interfaces import (
    EndedTask,
    OrderAnswer,
    RunningTask,
    WorkerReport,
)
from arbutusladder.cell.states import EndKind, OrderOutcome
from arbutusladder.platform.workers import ORDER_TIMEOUT_S, RENEW_TIMEOUT_S
from tests.cell.explorerules import Done
from tests.cell.exploretickets import is_valid
from tests.cell.faultynetwork import NoAnswer
from tests.cell.inprocess import LATENCY_S
from tests.cell.pausable import FOREVER_S

# Shortest and longest time after which a delayed order is carried out.
LATE_ORDER_S = (0.5, 5.0)
# Shortest and longest run of a task.
RUN_S = (0.2, 5.0)
FAILED_SHARE = 0.08
POLL_S = 0.05
# Share of restarts after which the clock is behind that of the former incarnation, and
# the shortest and longest difference in seconds.
CLOCK_BEHIND_SHARE = 0.75
CLOCK_STEP_S = (5.0, 100.0)


@dataclass
class _Run:
    began_at: float
    ends_at: float
    how: EndKind


class ExploreWorker:
    """A worker with a fence and a lease, through all its incarnations.

    Args:
        entry: Its entry in the registry.
        plan: The plan; its seed is also that of the durations and outcomes of the runs.
        checker: Checks its starts.
        faults: Faults in force.

    Attributes:
        running: Runs in progress by task and number.
        down: Whether it has crashed and not started again.
    """

    def __init__(self, entry, plan, checker, faults):
        self.entry = entry
        self.name, self.cores = entry.vm, entry.capacity.cpu
        self.running = {}
        self.down = False
        self._seed, self._max_lease_s = plan.seed, plan.max_lease_s
        self._needs_tickets = plan.tickets
        self._long_share, self._long_run_s = plan.long_share, plan.long_run_s
        self._checker, self._faults = checker, faults
        self._clock_offset_s = random.uniform(-100.0, 100.0)
        self._begin_incarnation()

    @property
    def fence_scope(self):
        """What epochs of orders must not fall on: the worker, through all restarts."""
        return self.name

    @property
    def born(self):
        """Start time of its incarnation."""
        return self.entry.born

    def is_mute(self, sender):
        """Returns whether nothing that a process sends to it arrives."""
        return self._faults.is_silent(self.name, sender.vm)

    async def _wait_until_up(self):
        while self.down:
            await curio.sleep(POLL_S)

    def _begin_incarnation(self):
        self._fence, self._lease_end = 0, None
        self._ended, self._ended_runs = [], {}
        self._end_numbers = itertools.count(1)

    def clock(self):
        """Returns its own clock, which starts anew at each restart."""
        return time.monotonic() + self._clock_offset_s

    def _monotonic_at(self, clock):
        """Returns the monotonic time at which its own clock shows a time."""
        return clock - self._clock_offset_s

    def running_tasks(self):
        """Returns the task of each run in progress."""
        return [task for task, _ in self.running]

    def crash(self):
        """Ends its incarnation; nothing is left of it."""
        self.advance()
        self.down = True
        self.running.clear()

    def restart(self):
        """Begins a new incarnation under the same id."""
        self.entry = replace(self.entry, born=self.born + 1)
        step_s = random.uniform(*CLOCK_STEP_S)
        is_behind = random.random() < CLOCK_BEHIND_SHARE
        self._clock_offset_s += -step_s if is_behind else step_s
        self._begin_incarnation()
        self.down = False

    async def handle(self, sender, function, *args):
        """Carries a request out; it gets no answer across a cut or a crash.

        The next incarnation takes the requests that arrive while it is down, and orders
        that are carried out late: nothing in them tells the two apart.
        """
        if self.is_mute(sender):
            await curio.sleep(FOREVER_S)
        await self._wait_until_up()
        born = self.born
        answer = await function(*args, sender)
        if self.is_mute(sender) or self.down or self.born != born:
            await curio.sleep(FOREVER_S)
        return answer

    def _is_fenced(self, token, sender):
        self.advance()
        self._checker.check_order(self, token_epoch(token), sender.name)
        if token < self._fence:
            return True
        self._fence = token
        return False

    def _answer(self, outcome):
        return OrderAnswer(outcome, self.clock())

    async def start(self, order, token, until, sender):
        """Starts a run."""
        late = random.random() < self._faults.late_share(self.name)
        if late:
            await curio.sleep(random.uniform(*LATE_ORDER_S))
            await self._wait_until_up()
        answer = self._start(order, token, until, sender, late)
        if late:
            await curio.sleep(FOREVER_S)
        return answer

    def _start(self, order, token, until, sender, late):
        if self._is_fenced(token, sender):
            return self._answer(OrderOutcome.FENCED)
        if until <= self.clock():
            return self._answer(OrderOutcome.TOO_LATE)
        if self._needs_tickets and not is_valid(order, self.born):
            return self._answer(OrderOutcome.TICKET_INVALID)
        self._extend_lease(until)
        task, number = order.task, order.run
        if number <= self._ended_runs.get(task, 0):
            return self._answer(OrderOutcome.OLD_RUN)
        if (task, number) in self.running:
            return self._answer(OrderOutcome.ACCEPTED)
        # It does not guard its capacity, so it also starts a second run of a task.
        self._checker.check_start(self, task, number, token_epoch(token), late)
        draw = random.Random(f"{self._seed}/{task}/{number}")
        now = time.monotonic()
        failed = draw.random() < FAILED_SHARE
        how = EndKind.FAILED if failed else EndKind.DONE
        is_long = draw.random() < self._long_share
        length = draw.uniform(*self._long_run_s if is_long else RUN_S)
        self.running[task, number] = _Run(now, now + length, how)
        return self._answer(OrderOutcome.ACCEPTED)

    async def stop(self, order, token, sender):
        """Stops a run."""
        if self._is_fenced(token, sender):
            return self._answer(OrderOutcome.FENCED)
        task, number = order.task, order.run
        if (task, number) in self.running:
            self._end((task, number), EndKind.STOPPED)
        self._ended_runs[task] = max(number, self._ended_runs.get(task, 0))
        return self._answer(OrderOutcome.ACCEPTED)

    async def pace(self, order, token, sender):
        """Accepts any pace."""
        fenced = self._is_fenced(token, sender)
        return self._answer(OrderOutcome.FENCED if fenced else OrderOutcome.ACCEPTED)

    async def renew(self, token, acknowledged, until, wait, sender):
        """Extends the lease and reports the runs, at the latest after a wait."""
        if self._is_fenced(token, sender):
            return self._answer(OrderOutcome.FENCED)
        for row in self._ended:
            if row.number <= acknowledged and row.how is EndKind.DONE:
                self._checker.acknowledge(self, row.task, row.number)
        self._ended = [row for row in self._ended if row.number > acknowledged]
        if until is not None and until > self.clock():
            self._extend_lease(until)
        due_at = time.monotonic() + wait
        while not self._ended and time.monotonic() < due_at and not self.down:
            await curio.sleep(POLL_S)
            self.advance()
        now = time.monotonic()
        rows = [
            RunningTask(
                task,
                number,
                "",
                100.0 * (now - run.began_at) / (run.ends_at - run.began_at),
            )
            for (task, number), run in self.running.items()
        ]
        return WorkerReport(self.born, self.clock(), rows, list(self._ended))

    def _extend_lease(self, until):
        until = min(until, self.clock() + self._max_lease_s)
        self._lease_end = max(self._lease_end or until, until)

    def advance(self):
        """Ends the runs that have ended by now, each at its own time."""
        if self.down:
            return
        now = time.monotonic()
        lapsed = self._lease_end is not None and self.clock() > self._lease_end
        lapsed_at = self._monotonic_at(self._lease_end) if lapsed else now
        for key, run in list(self.running.items()):
            if run.ends_at <= lapsed_at:
                self._end(key, run.how)
            elif lapsed:
                self._end(key, EndKind.LAPSED)
        if lapsed:
            self._lease_end = None
            self._checker.record_lapse(self)

    def _end(self, key, how):
        run = self.running.pop(key)
        task, run_number = key
        self._ended_runs[task] = max(run_number, self._ended_runs.get(task, 0))
        number = next(self._end_numbers)
        self._ended.append(EndedTask(number, task, run_number, how, ""))
        self._checker.note(f"{task} run {run_number} on {self.name} ends {how.value}")
        if how is EndKind.DONE:
            done = Done(self.name, self.born, number, run.ends_at)
            self._checker.record_done(task, done)


class OrderSender:
    """Orders of one process; see `arbutusladder.cell.interfaces.OrderSender`.

    Args:
        process: The process.
        worker_by_vm: The workers.
        network: Carries the orders.
    """

    def __init__(self, process, worker_by_vm, network):
        self._process, self._worker_by_vm = process, worker_by_vm
        self._network = network

    async def start(self, worker, order, token, until, send_by):
        """See `OrderSender.start`."""
        target = self._target(worker)
        args = (target.start, order, token, until)
        return await self._send(target, ORDER_TIMEOUT_S, args)

    async def stop(self, worker, order, token):
        """See `OrderSender.stop`."""
        target = self._target(worker)
        args = (target.stop, order, token)
        return await self._send(target, ORDER_TIMEOUT_S, args)

    async def pace(self, worker, order, token):
        """See `OrderSender.pace`."""
        target = self._target(worker)
        return await self._send(target, ORDER_TIMEOUT_S, (target.pace, order, token))

    async def renew(self, worker, token, acknowledged, until, wait, send_by):
        """See `OrderSender.renew`."""
        target = self._target(worker)
        args = (target.renew, token, acknowledged, until, wait)
        return await self._send(target, wait + RENEW_TIMEOUT_S, args)

    def _target(self, worker):
        """Returns what answers at the address of a registry entry."""
        return self._worker_by_vm[worker.vm]

    async def _send(self, target, timeout_s, args):
        try:
            return await self._network.call(
                LATENCY_S, lambda: target.handle(self._process, *args), timeout_s
            )
        except NoAnswer:
            return OrderAnswer(OrderOutcome.UNKNOWN)
