"""A cell whose entry VMs run in one curio kernel, with faults between them and the log.

The entry VMs are the real ones of `arbutusladder.cell`; messages, the log and the
workers are in memory. Run it in virtual time.
"""

import curio

from arbutusladder.cell.cellsettings import CellSettings
from arbutusladder.cell.interfaces import (
    EndedTask,
    OrderAnswer,
    RunningTask,
    WorkerReport,
)
from arbutusladder.cell.member import CellDependencies, Member
from arbutusladder.cell.states import EndKind, OrderOutcome
from arbutusladder.clock import Clock
from arbutusladder.errors import LogUnavailable
from arbutusladder.ids import SeatId, VmId
from arbutusladder.journal import Journal
from arbutusladder.messages import AdviceReply
from arbutusladder.metrics import Metrics
from arbutusladder.peers import PeerTransport, ReceivedMessage
from tests.cell import workloads
from tests.cell.memorylog import MemoryLog

REGISTRY_TOPIC = "workers"
# Seconds after which a read without an answer is given up.
READ_TIMEOUT_S = 1.5
# Longest lease in seconds that a worker accepts.
MAX_LEASE_S = 6.0
# Seconds that a message takes.
LATENCY_S = 0.003


class Bus:
    """Passes messages between entry VMs.

    Attributes:
        drops: Predicates of sender, receiver and message; a message is lost if one of
            them is true.
    """

    def __init__(self):
        self.drops = []
        self.inbox_by_seat = {}

    async def pass_on(self, sender, seat, message):
        """Passes a message to its receiver, unless it is lost."""
        inbox = self.inbox_by_seat.get(seat)
        lost = any(drop(sender, seat, message) for drop in self.drops)
        if inbox is not None and not lost:
            await inbox.put(ReceivedMessage(sender, 0.0, message))


class InMemoryPeers(PeerTransport):
    """Connections of one entry VM over a bus instead of sockets."""

    def __init__(self, seat, handler, bus):
        # The sockets of the base class are left out.
        self._seat, self._handler, self._bus = seat, handler, bus
        self._clock, self._metrics = Clock(), Metrics()
        self._on_error = _raise
        self._pending_reply_by_id = {}
        self._cancellable_calls_by_seat = {}
        bus.inbox_by_seat[seat] = self._inbox = curio.Queue()

    async def run(self):
        """Handles messages until cancelled."""
        while True:
            received = await self._inbox.get()
            await curio.sleep(LATENCY_S)
            await self._handle(received)

    async def connect(self, seat, address):
        """Accepts each address."""
        return True

    async def send(self, seat, message):
        """Sends a message; it may be lost."""
        await self._bus.pass_on(self._seat, seat, message)
        return True

    async def broadcast(self, seats, message):
        """Sends a message to several seats."""
        for seat in seats:
            await self.send(seat, message)


def _raise(error):
    raise error


class LogAccess:
    """The way of one entry VM to the log.

    Attributes:
        silent_topics: Topics of which reads get no answer.
        cut: Whether no call gets an answer.
    """

    def __init__(self, log):
        self._log = log
        self.silent_topics = set()
        self.cut = False

    async def append(self, topic, items, expected_end=None, writer=None, timeout=2.0):
        """See `KeyedLog.append`."""
        if self.cut:
            await curio.sleep(timeout)
            raise LogUnavailable("no answer", maybe_applied=False)
        return await self._log.append(topic, items, expected_end, writer, timeout)

    async def set_epoch(self, topic, writer):
        """See `KeyedLog.set_epoch`."""
        await self._check(topic)
        await self._log.set_epoch(topic, writer)

    async def read(self, topic, offset, wait=0.0):
        """See `KeyedLog.read`."""
        await self._check(topic)
        return await self._log.read(topic, offset, wait)

    async def newest(self, topic):
        """See `KeyedLog.newest`."""
        await self._check(topic)
        return await self._log.newest(topic)

    async def _check(self, topic):
        if self.cut or topic in self.silent_topics:
            await curio.sleep(READ_TIMEOUT_S)
            raise LogUnavailable("no answer", maybe_applied=False)


class Workers:
    """Workers that run each task that they are ordered to run.

    Attributes:
        starts: Time, worker and task of each start, in order.
        task_s: Seconds that a task takes.
        seen_tasks: Tasks that have been started.
    """

    def __init__(self, entries, task_s):
        self.entry_by_vm = {entry.vm: entry for entry in entries}
        self.task_s = task_s
        self.starts = []
        self._clock = Clock()
        self._fence_by_vm = dict.fromkeys(self.entry_by_vm, 0)
        self._running_by_vm = {vm: {} for vm in self.entry_by_vm}
        self._ended_by_vm = {vm: [] for vm in self.entry_by_vm}
        self._end_count_by_vm = dict.fromkeys(self.entry_by_vm, 0)

    def started_jobs(self):
        """Returns the ids of the jobs of which tasks have started."""
        return {task.partition(".")[0] for _, _, task in self.starts}

    async def start(self, worker, order, token, until, send_by):
        """See `OrderSender.start`."""
        now, vm = self._clock.now(), worker.vm
        if token < self._fence_by_vm[vm]:
            return OrderAnswer(OrderOutcome.FENCED, now)
        self._fence_by_vm[vm] = token
        if until <= now:
            return OrderAnswer(OrderOutcome.TOO_LATE, now)
        self._running_by_vm[vm][order.task, order.run] = now + self.task_s
        self.starts.append((now, vm, order.task))
        return OrderAnswer(OrderOutcome.ACCEPTED, now)

    async def stop(self, worker, order, token):
        """See `OrderSender.stop`."""
        self._end(worker.vm, (order.task, order.run), EndKind.STOPPED)
        return OrderAnswer(OrderOutcome.ACCEPTED, self._clock.now())

    async def pace(self, worker, order, token):
        """See `OrderSender.pace`."""
        return OrderAnswer(OrderOutcome.ACCEPTED, self._clock.now())

    async def renew(self, worker, token, acknowledged, until, wait, send_by):
        """See `OrderSender.renew`."""
        vm = worker.vm
        if token < self._fence_by_vm[vm]:
            return OrderAnswer(OrderOutcome.FENCED, self._clock.now())
        self._fence_by_vm[vm] = token
        ended = self._ended_by_vm[vm]
        ended[:] = [row for row in ended if row.number > acknowledged]
        await curio.sleep(min(wait, 0.05))
        running = self._running_by_vm[vm]
        for run, ends_at in list(running.items()):
            if ends_at <= self._clock.now():
                self._end(vm, run, EndKind.DONE)
        rows = [
            RunningTask(*run, "", self._percent(ends_at))
            for run, ends_at in running.items()
        ]
        return WorkerReport(worker.born, self._clock.now(), rows, list(ended))

    def _percent(self, ends_at):
        return 100.0 * (1.0 - (ends_at - self._clock.now()) / self.task_s)

    def _end(self, vm, run, how):
        if self._running_by_vm[vm].pop(run, None) is None:
            return
        self._end_count_by_vm[vm] += 1
        ended = EndedTask(self._end_count_by_vm[vm], *run, how, "")
        self._ended_by_vm[vm].append(ended)


class NoAdvisor:
    """Advice service that does not answer."""

    async def advise(self, request_id, stage, workers, timeout):
        """See `Advisor.advise`."""
        return AdviceReply(request_id, False)


class InProcessCell:
    """Entry VMs, their log and their workers.

    Args:
        vms: Names of the entry VMs.
        worker_count: Number of workers.
        task_s: Seconds that a task takes.
        max_lease_s: Longest lease in seconds that a worker accepts.

    Attributes:
        log: The log.
        access_by_vm: Way of each entry VM to it.
        bus: Messages between entry VMs.
        workers: The workers.
        member_by_vm: The entry VMs.
    """

    def __init__(self, vms="abc", worker_count=2, task_s=0.5, max_lease_s=MAX_LEASE_S):
        self._settings = CellSettings(REGISTRY_TOPIC, max_lease_s, 120.0)
        self.log = MemoryLog()
        self.bus = Bus()
        self.workers = Workers(workloads.workers(worker_count), task_s)
        self.access_by_vm = {vm: LogAccess(self.log) for vm in vms}
        self.member_by_vm = {}
        self._tasks = []

    async def start(self):
        """Starts the entry VMs; returns once one of them owns the cell."""
        await self.log.append(REGISTRY_TOPIC, self._registry_items())
        for vm in self.access_by_vm:
            await self._start_vm(vm)
        while not any(member.claims.owner for member in self.member_by_vm.values()):
            await curio.sleep(0.05)
        await curio.sleep(2.0)

    def _registry_items(self):
        """Returns the first records of the registry."""
        return [(vm, b"1") for vm in self.workers.entry_by_vm]

    def _decode_worker(self, record):
        """Returns the registry entry of a record."""
        return self.workers.entry_by_vm.get(record.key)

    async def _start_vm(self, vm):
        member = self._make_member(vm, self.access_by_vm[vm])
        self.member_by_vm[vm] = member
        self._tasks.append(await self._spawn(vm, member.run))

    async def _spawn(self, vm, function, *args):
        """Spawns a task of an entry VM."""
        return await curio.spawn(function, *args, daemon=True)

    async def stop(self):
        """Ends the entry VMs."""
        for member in self.member_by_vm.values():
            await member.close()
        for task in self._tasks:
            await task.cancel()

    @property
    def owner_vm(self):
        """Name of the entry VM that owns the cell."""
        (vm,) = [vm for vm, m in self.member_by_vm.items() if m.claims.owner]
        return vm

    def other_vms(self):
        """Returns the names of the entry VMs that do not own the cell."""
        return [vm for vm in self.member_by_vm if vm != self.owner_vm]

    def _order_sender(self, vm):
        """Returns the way of an entry VM to the workers."""
        return self.workers

    def _advisor(self, vm):
        """Returns the way of an entry VM to the advice service."""
        return NoAdvisor()

    def _journal(self, vm):
        """Returns the event log of an entry VM."""
        return Journal(vm)

    def _clock(self, vm):
        """Returns the clock of an entry VM."""
        return Clock()

    def _make_member(self, vm, access):
        dependencies = CellDependencies(
            access,
            self._order_sender(vm),
            self._advisor(vm),
            self._decode_worker,
            self._clock(vm),
            self._journal(vm),
            Metrics(),
            self._settings,
        )
        member = Member(VmId(vm), "127.0.0.1:0", dependencies)
        member.peers._close()
        member.peers = InMemoryPeers(SeatId(vm), member._handle_message, self.bus)
        member.log.set_forwarders(member.peers, member._forwarding_seats)
        return member
