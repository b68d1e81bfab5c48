"""Plays a plan of the search on a cell and returns what broke."""

import time
from dataclasses import dataclass, replace

import curio

from arbutusladder.clock import Clock
from arbutusladder.errors import LogUnavailable
from tests.cell import explorefaults as faults
from tests.cell.explorecell import ExploreCell
from tests.cell.explorehostile import HostileCell
from tests.cell.exploreplan import Cancel, Read, Submit
from tests.cell.explorerules import RuleChecker
from tests.cell.repeatable import run_repeatably

# Seconds that an entry VM gets for a request.
DEADLINE_S = 3.0
# Attempts of a client to submit or cancel, each at another entry VM.
ATTEMPTS = 3
RETRY_S = 0.5
# Seconds after the last fault and request within which each accepted job has to end.
END_BOUND_S = 90.0
END_POLL_S = 0.5
# Seconds after which a cell without faults must have an owner.
START_S = 30.0


@dataclass(frozen=True)
class Result:
    """What one seed has shown.

    Attributes:
        seed: The seed.
        broken: Rule and text of each time that a rule was broken.
        events: Time and text of each event.
        starts: Number of starts.
        accepted: Number of accepted jobs.
    """

    seed: int
    broken: list
    events: list
    starts: int
    accepted: int


class PlanPlayer:
    """Plays one plan.

    Args:
        plan: The plan.
    """

    def __init__(self, plan):
        self._plan = plan
        self._checker = RuleChecker(plan.jobs)
        self._cell = None
        self._accepted_cancellations = 0

    async def play(self):
        """Returns the result of the plan."""
        plan, checker = self._plan, self._checker
        self._cell = (HostileCell if plan.widened else ExploreCell)(plan, checker)
        async with curio.timeout_after(START_S):
            await self._cell.start()
        began_at = time.monotonic()
        checker.events.clear()
        steps = [(request.at, self._request, request) for request in plan.requests]
        steps += [(fault.at, self._fault, fault) for fault in plan.faults]
        tasks = []
        for at, function, step in sorted(steps, key=lambda row: row[0]):
            await curio.sleep(max(0.0, began_at + at - time.monotonic()))
            tasks.append(await curio.spawn(function, step, daemon=True))
        ends_at = max(plan.faults_end_at, plan.requests[-1].at) + began_at
        await curio.sleep(max(0.0, ends_at - time.monotonic()) + DEADLINE_S)
        await self._wait_for_ends()
        await self._cell.stop()
        events = [(at - began_at, text) for at, text in checker.events]
        accepted = len(checker.accepted)
        return Result(plan.seed, checker.broken, events, checker.starts, accepted)

    async def _request(self, request):
        match request:
            case Submit(job=number):
                await self._submit(request, self._plan.jobs[number])
            case Cancel(job=number):
                await self._cancel(request, self._plan.jobs[number].job_id)
            case Read(job=number):
                await self._read(request.vm, self._plan.jobs[number].job_id)

    def _vms_from(self, vm):
        """Returns the entry VMs that a client tries in turn."""
        vms = self._plan.vms
        index = vms.index(vm)
        return [vms[(index + attempt) % len(vms)] for attempt in range(ATTEMPTS)]

    async def _submit(self, request, record):
        self._checker.record_submission(record.job_id)
        for vm in self._vms_from(request.vm):
            outcome = await self._ask(vm, "submit", record)
            self._checker.note(f"submission of {record.job_id} at {vm}: {outcome}")
            if _is_accepted(outcome):
                self._checker.record_submission(record.job_id, outcome)
                return
            await curio.sleep(RETRY_S)

    async def _cancel(self, request, job_id):
        for vm in self._vms_from(request.vm):
            outcome = await self._ask(vm, "cancel", job_id)
            self._checker.note(f"cancellation of {job_id} at {vm}: {outcome}")
            if _is_accepted(outcome):
                self._checker.record_cancellation(job_id)
                return
            await curio.sleep(RETRY_S)

    async def _ask(self, vm, method, argument):
        if not self._cell.is_up(vm):
            return None
        deadline = Clock().now() + DEADLINE_S
        function = getattr(self._cell.member_by_vm[vm], method)
        return await self._call(vm, function, argument, deadline)

    async def _read(self, vm, job_id):
        if not self._cell.is_up(vm):
            return None
        function = self._cell.member_by_vm[vm].lookup
        phase = await self._call(vm, function, job_id)
        if phase is not None:
            self._checker.note(f"{job_id} is shown as {phase.value} by {vm}")
            self._checker.record_state(job_id, phase)
        return phase

    async def _call(self, vm, function, *args):
        """Returns the answer of an entry VM; None for an error or no answer."""

        async def call():
            try:
                return await function(*args)
            except LogUnavailable:
                return None

        async with curio.ignore_after(2 * DEADLINE_S):
            task = await self._cell.call(vm, call)
            return task.result
        return None

    async def _fault(self, fault):
        cell = self._cell
        target = getattr(fault, "vm", "")
        if target == faults.OWNER:
            fault = replace(fault, vm=cell.owner_vm_or(self._plan.vms[0]))
        for end in ("sender", "receiver"):
            if getattr(fault, end, "") == faults.OWNER:
                owner = cell.owner_vm_or(self._plan.vms[0])
                fault = replace(fault, **{end: owner})
        self._checker.note(f"begins: {fault}")
        cell.faults.faults.append(fault)
        match fault:
            case faults.LogDown():
                cell.log.available = False
            case faults.VmKilled(vm=vm) if cell.is_up(vm):
                cell.kill(vm)
            case faults.VmKilledTwice(vm=vm) if cell.is_up(vm):
                await self._kill_twice(fault)
                return
            case faults.VmPaused(vm=vm) if cell.is_up(vm):
                cell.process_by_vm[vm].pause(fault.seconds)
            case faults.WorkerRestarted(worker=vm) if not cell.worker_by_vm[vm].down:
                cell.worker_by_vm[vm].crash()
            case faults.WorkerMoved(worker=vm) if not cell.worker_by_vm[vm].down:
                cell.worker_by_vm[vm].move()
        await curio.sleep(fault.seconds)
        self._checker.note(f"ends: {fault}")
        cell.faults.faults.remove(fault)
        match fault:
            case faults.LogDown():
                downs = (isinstance(f, faults.LogDown) for f in cell.faults.faults)
                cell.log.available = not any(downs)
            case faults.VmKilled(vm=vm) if not cell.is_up(vm):
                await cell.restart(vm)
            case faults.WorkerRestarted(worker=vm) | faults.WorkerMoved(worker=vm) if (
                cell.worker_by_vm[vm].down
            ):
                await cell.restart_worker(vm)

    async def _kill_twice(self, fault):
        cell, vm = self._cell, fault.vm
        down_s = (fault.seconds - fault.up_s) / 2
        for up_s in (fault.up_s, 0.0):
            if cell.is_up(vm):
                cell.kill(vm)
            await curio.sleep(down_s)
            if not cell.is_up(vm):
                await cell.restart(vm)
            await curio.sleep(up_s)
        self._checker.note(f"ends: {fault}")
        cell.faults.faults.remove(fault)

    async def _wait_for_ends(self):
        open_jobs = sorted(self._checker.accepted)
        due_at = time.monotonic() + END_BOUND_S
        while open_jobs and time.monotonic() < due_at:
            await curio.sleep(END_POLL_S)
            still_open = []
            for job_id in open_jobs:
                phases = [await self._read(vm, job_id) for vm in self._plan.vms]
                if not all(phase and phase.is_final for phase in phases):
                    still_open.append(job_id)
            open_jobs = still_open
        for job_id in open_jobs:
            self._checker.breaks("END", f"{job_id} has not ended everywhere")


def _is_accepted(outcome):
    return outcome is not None and outcome.name == "ACCEPTED"


def play_plan(plan):
    """Plays a plan in virtual time; returns its result."""
    return run_repeatably(plan.seed, PlanPlayer(plan).play)
