"""Discrete-time simulation of a cell's workers and advice service.

It drives `CellState` and `Placer` in virtual time, without network or clocks, so
that a load runs in milliseconds and turnaround times of versions can be compared.
"""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from arbutusladder.cell.advicecalls import LONG_CALL_THRESHOLD_S, AdviceCapacity
from arbutusladder.cell.advicedispatcher import MAX_LONG_CALL_SHARE
from arbutusladder.cell.cellstate import CellState
from arbutusladder.cell.interfaces import (
    AdviceOrder,
    EndedTask,
    OrderAnswer,
    PaceOrder,
    RunningTask,
    StartOrder,
    StopOrder,
    TeamLimits,
    WorkerEntry,
    WorkerReport,
)
from arbutusladder.cell.placement import Order, Placer
from arbutusladder.cell.states import EndKind, JobPhase, OrderOutcome
from arbutusladder.ids import JobId, RequestId, VmId
from arbutusladder.messages import (
    AdviceReply,
    AdviceTicket,
    JobProgress,
    Resources,
    SubmittedJob,
)

# One-way latency in seconds between an owner and a worker in another failure domain.
ONE_WAY_S = 0.004
# Longest time in seconds between two reports of a worker.
RENEWAL_INTERVAL_S = 0.5
# Seconds between two rounds of decisions.
TIME_STEP_S = 0.01

# Returns the rough figure that a worker reports with a run; None for none.
FigureFunction = Callable[["SimulatedWorker", str], float | None]
DurationFunction = Callable[[str, VmId], float]
EndKindFunction = Callable[[str, VmId], EndKind]


@dataclass
class _SimulatedRun:
    task: str
    run: int
    need: Resources
    started_at: float
    ends_at: float
    gang: tuple[str, int] | None = None
    pace: int = 100

    def percent(self, now: float) -> float:
        """Returns the completed percentage of the work."""
        total = self.ends_at - self.started_at
        return min(100.0, 100.0 * (now - self.started_at) / total)


@dataclass
class SimulatedWorker:
    """A simulated worker, which accepts every start order.

    Attributes:
        entry: Its entry in the registry.
        running: Runs by task name and run number.
        ended: Ends to report.
        overload_count: Number of starts that exceeded its capacity.
        responsive: Whether it answers.
        stalled_until: Time in seconds until which its tasks make no progress.
        figure: Returns the rough figure to report with a task.
    """

    entry: WorkerEntry
    running: dict[tuple[str, int], _SimulatedRun] = field(default_factory=dict)
    ended: list[EndedTask] = field(default_factory=list)
    overload_count: int = 0
    responsive: bool = True
    stalled_until: float = 0.0
    figure: FigureFunction = lambda worker, task: None
    _end_numbers: itertools.count = field(default_factory=lambda: itertools.count(1))

    def start(
        self,
        order: StartOrder,
        need: Resources,
        now: float,
        duration: float,
        gang: tuple[str, int] | None = None,
    ) -> None:
        """Starts a task.

        Args:
            order: The start order.
            need: Resources of the task.
            now: Virtual time in seconds.
            duration: Duration of the task in seconds.
            gang: Step and run number that the members of a gang share.
        """
        starts_at = max(now, self.stalled_until)
        self.running[(order.task, order.run)] = _SimulatedRun(
            order.task, order.run, need, starts_at, starts_at + duration, gang
        )
        cpu = sum(run.need.cpu for run in self.running.values())
        memory = sum(run.need.memory_mb for run in self.running.values())
        capacity = self.entry.capacity
        if cpu > capacity.cpu + 1e-6 or memory > capacity.memory_mb + 1e-6:
            self.overload_count += 1

    def stall(self, now: float, seconds: float) -> None:
        """Stalls all tasks for a number of seconds."""
        self.stalled_until = now + seconds
        for run in self.running.values():
            run.started_at += seconds
            run.ends_at += seconds

    def end(self, key: tuple[str, int], how: EndKind) -> None:
        """Ends a run and adds its end to the reports."""
        if self.running.pop(key, None):
            self.ended.append(EndedTask(next(self._end_numbers), *key, how, ""))

    def report(self, now: float) -> WorkerReport:
        """Returns its answer to a lease renewal."""
        running = [
            RunningTask(
                run.task,
                run.run,
                "",
                max(0.0, run.percent(now)),
                self.figure(self, run.task),
            )
            for run in self.running.values()
        ]
        return WorkerReport(self.entry.born, now, running, list(self.ended))


class Simulation:
    """Simulation of jobs on the workers of one cell.

    Args:
        workers: Registry entries of the workers.
        duration: Returns the actual duration of a task on a worker in seconds.
        end_kind: Returns how a run of a task on a worker ends.
        is_permitted: Returns whether the advice service permits a step on a worker.
        callers: Number of concurrent calls to the advice service.
        limits: Shares and caps of the teams; none by default.
        figure: Returns the rough figure that a worker reports with a task.
    """

    def __init__(
        self,
        workers: list[WorkerEntry],
        duration: DurationFunction,
        end_kind: EndKindFunction = lambda task, vm: EndKind.DONE,
        is_permitted: Callable[[str, VmId], bool] = lambda stage, vm: True,
        callers: int = 8,
        limits: TeamLimits | None = None,
        figure: FigureFunction = lambda worker, task: None,
    ):
        self.now = 1000.0
        self.state = CellState(0.0, lambda task: None)
        self.state.team_ledger.limits = limits or TeamLimits()
        self.placer = Placer(self.state)
        self.worker_by_vm = {e.vm: SimulatedWorker(e, figure=figure) for e in workers}
        self.state.update_registry({e.vm: e for e in workers}, self.now)
        self.ended_at_by_job: dict[JobId, float] = {}
        self.phase_by_job: dict[JobId, JobPhase] = {}
        self.submitted_at_by_job: dict[JobId, float] = {}
        self.started: list[StartOrder] = []
        self.paced: list[tuple[float, PaceOrder]] = []
        self._duration = duration
        self._end_kind = end_kind
        self._is_permitted = is_permitted
        self._callers = callers
        self._active_calls = 0
        self._active_long_calls = 0
        self.advice_s = 0.0
        self._vms_by_gang: dict[tuple[str, int], set[VmId]] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        for vm in self.worker_by_vm:
            self._renew_lease(vm)

    def stall_at(self, when: float, vm: VmId, seconds: float) -> None:
        """Schedules a stall of a worker.

        Args:
            when: Seconds after the start.
            vm: The worker.
            seconds: Duration of the stall.
        """
        self.schedule(when, lambda: self.worker_by_vm[vm].stall(self.now, seconds))

    def lose_worker(self, vm: VmId) -> None:
        """Loses a worker for good; its leases end at once."""
        worker = self.worker_by_vm[vm]
        worker.responsive = False
        for run in list(worker.running.values()):
            if run.gang:
                self._end_gang(run.gang, EndKind.BROKEN)
        worker.running.clear()
        self.state.worker_by_vm[vm].record_missed_renewal(self.now)

    def schedule(self, when: float, action: Callable[[], None]) -> None:
        """Schedules an action at a number of seconds after the start."""
        heapq.heappush(self._events, (1000.0 + when, next(self._sequence), action))

    def submit_at(self, when: float, record: SubmittedJob) -> None:
        """Schedules the submission of a job at a number of seconds after the start."""
        self.schedule(when, lambda: self._submit(record))

    def run(self, seconds: float) -> None:
        """Runs the simulation until a number of seconds after the start."""
        while self.now < 1000.0 + seconds:
            self.now += TIME_STEP_S
            while self._events and self._events[0][0] <= self.now:
                heapq.heappop(self._events)[2]()
            self.state.expire_leases(self.now)
            for order in self.placer.decide(self.now, self._advice_capacity()):
                self._execute(order)
            self._record_ended_jobs()

    def turnaround_s(self, job_id: str) -> float | None:
        """Returns the seconds from a job's submission to its end, or None."""
        ended = self.ended_at_by_job.get(JobId(job_id))
        if ended is None:
            return None
        return ended - self.submitted_at_by_job[JobId(job_id)]

    @property
    def overload_count(self) -> int:
        """Number of starts that exceeded the capacity of a worker."""
        return sum(worker.overload_count for worker in self.worker_by_vm.values())

    def _submit(self, record: SubmittedJob) -> None:
        record.accepted_at = self.now
        self.submitted_at_by_job[record.job_id] = self.now
        self.state.add_job(record, JobProgress(JobPhase.QUEUED), self.now)

    def _schedule_after(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + delay, next(self._sequence), action))

    def _execute(self, order: Order) -> None:
        match order:
            case StartOrder():
                self.started.append(order)
                self._schedule_after(ONE_WAY_S, lambda: self._start(order))
            case StopOrder():
                self._schedule_after(ONE_WAY_S, lambda: self._stop(order))
            case PaceOrder():
                self.paced.append((self.now, order))
                self._schedule_after(ONE_WAY_S, lambda: self._pace(order))
            case AdviceOrder():
                self._begin_advice(order)

    def _start(self, order: StartOrder) -> None:
        worker = self.worker_by_vm[order.vm]
        stage = self.state.stage(order.task.rpartition(".")[0])
        if not worker.responsive or stage is None:
            return
        duration = self._duration(order.task, order.vm)
        gang = (stage.key, order.run) if stage.spec.gang else None
        worker.start(order, stage.spec.need, self.now, duration, gang)
        key = (order.task, order.run)
        if gang:
            self._vms_by_gang.setdefault(gang, set()).add(order.vm)
        self._schedule_after(duration, lambda: self._end(order.vm, key))
        answer = OrderAnswer(OrderOutcome.ACCEPTED, self.now)
        self._schedule_after(
            ONE_WAY_S, lambda: self.state.apply_start_answer(order, answer, self.now)
        )

    def _stop(self, order: StopOrder) -> None:
        worker = self.worker_by_vm[order.vm]
        run = worker.running.get((order.task, order.run))
        worker.end((order.task, order.run), EndKind.STOPPED)
        if run and run.gang:
            self._end_gang(run.gang, EndKind.BROKEN)
        answer = OrderAnswer(OrderOutcome.ACCEPTED, self.now)
        self.state.apply_stop_answer(order, answer, self.now)
        self._schedule_after(ONE_WAY_S, lambda: self._report(order.vm))

    def _pace(self, order: PaceOrder) -> None:
        run = self.worker_by_vm[order.vm].running.get((order.task, order.run))
        if run:
            run.pace = order.percent
        outcome = OrderOutcome.ACCEPTED if run else OrderOutcome.MALFORMED
        self.state.interference.apply_answer(order, OrderAnswer(outcome, self.now))

    def _end(self, vm: VmId, key: tuple[str, int]) -> None:
        """Ends a run, or reschedules its end if a stall has delayed it.

        The members of a gang end together, once the slowest of them has finished.
        """
        worker = self.worker_by_vm[vm]
        run = worker.running.get(key)
        if run is None:
            return
        ends_at = run.ends_at
        if run.gang:
            ends_at = max(other.ends_at for _, other in self._gang_members(run.gang))
        if ends_at > self.now + TIME_STEP_S:
            self._schedule_after(ends_at - self.now, lambda: self._end(vm, key))
            return
        worker.end(key, self._end_kind(key[0], vm))
        self._schedule_after(ONE_WAY_S, lambda: self._report(vm))

    def _gang_members(self, gang: tuple[str, int]) -> list[tuple[VmId, _SimulatedRun]]:
        return [
            (vm, run)
            for vm in self._vms_by_gang[gang]
            for run in self.worker_by_vm[vm].running.values()
            if run.gang == gang
        ]

    def _end_gang(self, gang: tuple[str, int], how: EndKind) -> None:
        for vm, run in self._gang_members(gang):
            self.worker_by_vm[vm].end((run.task, run.run), how)
            self._schedule_after(ONE_WAY_S, partial(self._report, vm))

    def _renew_lease(self, vm: VmId) -> None:
        self._report(vm)
        self._schedule_after(RENEWAL_INTERVAL_S, lambda: self._renew_lease(vm))

    def _report(self, vm: VmId) -> None:
        worker = self.worker_by_vm[vm]
        if worker.responsive:
            self.state.apply_report(vm, worker.report(self.now), self.now, self.now)

    def _advice_capacity(self) -> AdviceCapacity:
        max_long = max(1, int(self._callers * MAX_LONG_CALL_SHARE))
        return AdviceCapacity(
            self._callers - self._active_calls,
            max_long - self._active_long_calls,
        )

    def _begin_advice(self, order: AdviceOrder) -> None:
        self.advice_s += order.expected_s
        self._active_calls += 1
        self._active_long_calls += order.expected_s > LONG_CALL_THRESHOLD_S
        self._schedule_after(order.expected_s, lambda: self._finish_advice(order))

    def _finish_advice(self, order: AdviceOrder) -> None:
        self._active_calls -= 1
        self._active_long_calls -= order.expected_s > LONG_CALL_THRESHOLD_S
        tickets = [
            AdviceTicket(vm, f"t-{vm}")
            for vm in order.vms
            if self._is_permitted(order.stage, vm)
        ]
        stage = self.state.stage(order.stage)
        validity_s = stage.job.record.queue.advice_validity_s if stage else 0.0
        reply = AdviceReply(RequestId(""), True, validity_s, tickets)
        self.state.apply_advice(order.stage, order.vms, reply, self.now)

    def _record_ended_jobs(self) -> None:
        self.state.changes.pending_events.clear()
        for job in self.state.job_by_id.values():
            if job.phase.is_final and job.id not in self.ended_at_by_job:
                self.ended_at_by_job[job.id] = self.now
                self.phase_by_job[job.id] = job.phase
        self.state.changes.dirty.clear()
        self.state.remove_finished_jobs()
