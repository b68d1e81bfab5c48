"""A cell whose entry VMs are processes that can be paused, killed and cut off."""

import curio

from arbutusladder import events
from arbutusladder.journal import Journal
from tests.cell import workloads
from tests.cell.explorefaults import FaultsInForce
from tests.cell.exploreplan import WORKER_CORES
from tests.cell.exploreworkers import ExploreWorker, OrderSender
from tests.cell.faultynetwork import FaultyBus, FaultyLogAccess, Network
from tests.cell.inprocess import REGISTRY_TOPIC, InProcessCell
from tests.cell.pausable import PausableProcess

# Events of entry VMs that show the order of what led to a broken rule.
NOTED_EVENTS = (
    events.BACKGROUND_TASK_FAILED,
    events.CELL_CLAIMED,
    events.CELL_TAKEN_OVER,
    events.CELL_LOST,
    events.OWNERSHIP_CONFIRMED,
    events.OWNERSHIP_UNCONFIRMED,
    events.VIEW_RECENT,
    events.VIEW_OUTDATED,
    events.JOB_CANCEL_APPLIED,
    events.LOG_AVAILABLE,
    events.LOG_UNAVAILABLE,
)
POLL_S = 0.05


class NotingJournal(Journal):
    """Event log that passes events to the checker.

    Args:
        process: The process.
        checker: Notes the events.
        noted: Events to note.
    """

    def __init__(self, process, checker, noted=NOTED_EVENTS):
        super().__init__(process.name)
        self._process, self._checker, self._noted = process, checker, noted

    def write(self, event, **fields):
        """Writes one event."""
        if self._process.killed or self._process.closing:
            return
        text = f"{self._process.name}: {event.number} {event.text.format(**fields)}"
        if event in self._noted:
            self._checker.note(text)
        if event in (events.BACKGROUND_TASK_FAILED, events.START_WITHOUT_PROOF):
            self._checker.breaks("FAILURE", text)


class ExploreCell(InProcessCell):
    """Entry VMs, log and workers of one plan.

    Args:
        plan: The plan.
        checker: Checks what workers and clients see.

    Attributes:
        faults: Faults in force.
        process_by_vm: Newest process of each entry VM.
    """

    def __init__(self, plan, checker):
        super().__init__(plan.vms, len(plan.workers), max_lease_s=plan.max_lease_s)
        self._plan = plan
        self.checker = checker
        self.faults = FaultsInForce()
        self.network = Network()
        self.bus = FaultyBus(self.network, self.faults)
        self.access_by_vm = {
            vm: FaultyLogAccess(vm, self.log, self.network, self.faults)
            for vm in plan.vms
        }
        entries = workloads.workers(len(plan.workers), cores=WORKER_CORES)
        self.worker_by_vm = {entry.vm: self._make_worker(entry) for entry in entries}
        checker.workers = list(self.worker_by_vm.values())
        # Read by the base class when it decodes the registry.
        self.workers.entry_by_vm = {entry.vm: entry for entry in entries}
        self.process_by_vm = {}
        self._processes = []

    def _make_worker(self, entry):
        return ExploreWorker(entry, self._plan, self.checker, self.faults)

    async def start(self):
        """Starts network, workers and entry VMs."""
        await curio.spawn(self.network.run, daemon=True)
        await curio.spawn(self._advance_workers, daemon=True)
        await super().start()

    async def stop(self):
        """Ends the entry VMs, the killed ones as well."""
        for process in self._processes:
            process.closing = True
        self.bus.inbox_by_seat.clear()

    async def _advance_workers(self):
        while True:
            for worker in self.worker_by_vm.values():
                worker.advance()
            await curio.sleep(POLL_S)

    async def _start_vm(self, vm):
        process = PausableProcess(vm, len(self._processes))
        self._processes.append(process)
        self.process_by_vm[vm] = process
        await super()._start_vm(vm)

    async def _spawn(self, vm, function, *args):
        process = self.process_by_vm[vm]
        return await curio.spawn(process.run, function, *args, daemon=True)

    def _order_sender(self, vm):
        return OrderSender(self.process_by_vm[vm], self.worker_by_vm, self.network)

    def _journal(self, vm):
        return NotingJournal(self.process_by_vm[vm], self.checker)

    def is_up(self, vm):
        """Returns whether an entry VM runs."""
        return vm in self.member_by_vm

    def owner_vm_or(self, default):
        """Returns the entry VM that owns the cell by the highest epoch it knows."""
        owners = [
            (member.claims.owner.epoch, vm)
            for vm, member in self.member_by_vm.items()
            if member.claims.owner
        ]
        return max(owners, default=(0, default))[1]

    async def call(self, vm, function, *args):
        """Makes a call of a client at an entry VM; without an answer if that dies."""
        task = await self._spawn(vm, function, *args)
        await task.wait()
        return task

    def kill(self, vm):
        """Kills the process of an entry VM."""
        self.process_by_vm[vm].killed = True
        self.bus.inbox_by_seat.pop(vm, None)
        del self.member_by_vm[vm]

    async def restart(self, vm):
        """Starts a process that knows nothing of the one before."""
        await self._start_vm(vm)

    async def restart_worker(self, vm):
        """Starts a crashed worker again, with a new entry in the registry."""
        worker = self.worker_by_vm[vm]
        worker.restart()
        self.workers.entry_by_vm[vm] = worker.entry
        items = [(vm, str(worker.born).encode())]
        await self.network.post(0.0, lambda: self._append_entry(items))

    async def _append_entry(self, items):
        while not self.log.available:
            await curio.sleep(POLL_S)
        await self.log.append(REGISTRY_TOPIC, items)
