"""Virtual-time model of workers and advice around the decisions of a cell.

It drives `CellState` and `Placer` without network or clocks, so that a load
can be replayed in milliseconds and its waits compared between versions.
"""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

from arbutusladder.cell.advicecalls import LONG_CALL_THRESHOLD_S, AdviceCapacity
from arbutusladder.cell.advicedispatcher import MAX_LONG_CALL_SHARE
from arbutusladder.cell.cellstate import CellState
from arbutusladder.cell.interfaces import (
    AdviceOrder,
    EndedTask,
    OrderAnswer,
    RunningTask,
    StartOrder,
    StopOrder,
    WorkerEntry,
    WorkerReport,
)
from arbutusladder.cell.placement import Placer
from arbutusladder.cell.states import EndKind, JobPhase, OrderOutcome
from arbutusladder.ids import JobId, RequestId, VmId
from arbutusladder.messages import (
    AdviceReply,
    AdviceTicket,
    JobProgress,
    Resources,
    SubmittedJob,
)

# Seconds of one way between an owner and a worker in another failure domain.
ONE_WAY_S = 0.004
# Longest time between two reports of a worker.
RENEW_S = 0.5
# Seconds between two rounds of decisions.
STEP_S = 0.01

Duration = Callable[[str, VmId], float]
Verdict = Callable[[str, VmId], EndKind]


@dataclass
class _Running:
    task: str
    run: int
    need: Resources
    started_at: float
    ends_at: float

    def percent(self, now: float) -> float:
        """Returns the share of the work that is done."""
        whole = self.ends_at - self.started_at
        return min(100.0, 100.0 * (now - self.started_at) / whole)


@dataclass
class SimulatedWorker:
    """A worker that runs what it is told.

    Attributes:
        entry: What it says of itself.
        overloaded: Starts that brought it over its capacity.
        answers: Whether it answers.
        stalled_until: Time until which its tasks stand still.
    """

    entry: WorkerEntry
    running: dict[tuple[str, int], _Running] = field(default_factory=dict)
    ended: list[EndedTask] = field(default_factory=list)
    overloaded: int = 0
    answers: bool = True
    stalled_until: float = 0.0
    _numbers: itertools.count = field(default_factory=lambda: itertools.count(1))

    def start(
        self, order: StartOrder, need: Resources, now: float, takes: float
    ) -> None:
        """Starts a task that takes so many seconds."""
        starts_at = max(now, self.stalled_until)
        self.running[(order.task, order.run)] = _Running(
            order.task, order.run, need, starts_at, starts_at + takes
        )
        cpu = sum(run.need.cpu for run in self.running.values())
        memory = sum(run.need.memory_mb for run in self.running.values())
        capacity = self.entry.capacity
        if cpu > capacity.cpu + 1e-6 or memory > capacity.memory_mb + 1e-6:
            self.overloaded += 1

    def stall(self, now: float, seconds: float) -> None:
        """Lets all tasks stand still for a while."""
        self.stalled_until = now + seconds
        for run in self.running.values():
            run.started_at += seconds
            run.ends_at += seconds

    def end(self, key: tuple[str, int], how: EndKind) -> None:
        """Ends a run and lists its end."""
        if self.running.pop(key, None):
            self.ended.append(EndedTask(next(self._numbers), *key, how, ""))

    def report(self, now: float) -> WorkerReport:
        """Returns what it would answer to a renewal."""
        running = [
            RunningTask(run.task, run.run, "", max(0.0, run.percent(now)))
            for run in self.running.values()
        ]
        return WorkerReport(self.entry.born, now, running, list(self.ended))


class Simulation:
    """Runs jobs on simulated workers.

    Args:
        workers: Their entries.
        duration: Returns the real duration of a task on a worker in seconds.
        verdict: Returns how a run ends.
        good: Returns whether the advice service lets a worker run a step.
        callers: Calls for advice that are served side by side.
    """

    def __init__(
        self,
        workers: list[WorkerEntry],
        duration: Duration,
        verdict: Verdict = lambda task, vm: EndKind.DONE,
        good: Callable[[str, VmId], bool] = lambda stage, vm: True,
        callers: int = 8,
    ):
        self.now = 1000.0
        self.state = CellState(0.0, lambda task: None)
        self.placer = Placer(self.state)
        self.worker_by_vm = {e.vm: SimulatedWorker(e) for e in workers}
        self.state.update_registry({e.vm: e for e in workers}, self.now)
        self.ended_at_by_job: dict[JobId, float] = {}
        self.phase_by_job: dict[JobId, JobPhase] = {}
        self.submitted_at_by_job: dict[JobId, float] = {}
        self.started: list[StartOrder] = []
        self._duration = duration
        self._verdict = verdict
        self._good = good
        self._callers = callers
        self._advising = 0
        self._long_advising = 0
        self.advice_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        for vm in self.worker_by_vm:
            self._renew(vm)

    def stall_at(self, when: float, vm: VmId, seconds: float) -> None:
        """Plans that a worker's tasks stand still for a while."""
        self.at(when, lambda: self.worker_by_vm[vm].stall(self.now, seconds))

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Plans an action at a time after the start in seconds."""
        heapq.heappush(self._events, (1000.0 + when, next(self._order), action))

    def submit_at(self, when: float, record: SubmittedJob) -> None:
        """Plans the arrival of a job."""
        self.at(when, lambda: self._submit(record))

    def run(self, seconds: float) -> None:
        """Plays until a time after the start in seconds."""
        while self.now < 1000.0 + seconds:
            self.now += STEP_S
            while self._events and self._events[0][0] <= self.now:
                heapq.heappop(self._events)[2]()
            self.state.expire_leases(self.now)
            for order in self.placer.decide(self.now, self._advice_room()):
                self._carry_out(order)
            self._note_ends()

    def wait_of(self, job_id: str) -> float | None:
        """Returns the seconds from the arrival of a job to its end."""
        ended = self.ended_at_by_job.get(JobId(job_id))
        if ended is None:
            return None
        return ended - self.submitted_at_by_job[JobId(job_id)]

    @property
    def overloaded(self) -> int:
        """Starts that brought a worker over its capacity."""
        return sum(worker.overloaded for worker in self.worker_by_vm.values())

    def _submit(self, record: SubmittedJob) -> None:
        record.accepted_at = self.now
        self.submitted_at_by_job[record.job_id] = self.now
        self.state.add_job(record, JobProgress(JobPhase.QUEUED), self.now)

    def _later(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + delay, next(self._order), action))

    def _carry_out(self, order: StartOrder | StopOrder | AdviceOrder) -> None:
        match order:
            case StartOrder():
                self.started.append(order)
                self._later(ONE_WAY_S, lambda: self._start(order))
            case StopOrder():
                self._later(ONE_WAY_S, lambda: self._stop(order))
            case AdviceOrder():
                self._begin_advice(order)

    def _start(self, order: StartOrder) -> None:
        worker = self.worker_by_vm[order.vm]
        stage = self.state.stage(order.task.rpartition(".")[0])
        if not worker.answers or stage is None:
            return
        takes = self._duration(order.task, order.vm)
        worker.start(order, stage.spec.need, self.now, takes)
        key = (order.task, order.run)
        self._later(takes, lambda: self._end(order.vm, key))
        answer = OrderAnswer(OrderOutcome.ACCEPTED, self.now)
        self._later(
            ONE_WAY_S, lambda: self.state.apply_start_answer(order, answer, self.now)
        )

    def _stop(self, order: StopOrder) -> None:
        self.worker_by_vm[order.vm].end((order.task, order.run), EndKind.STOPPED)
        answer = OrderAnswer(OrderOutcome.ACCEPTED, self.now)
        self.state.apply_stop_answer(order, answer, self.now)
        self._later(ONE_WAY_S, lambda: self._report(order.vm))

    def _end(self, vm: VmId, key: tuple[str, int]) -> None:
        worker = self.worker_by_vm[vm]
        run = worker.running.get(key)
        if run and run.ends_at > self.now + STEP_S:
            self._later(run.ends_at - self.now, lambda: self._end(vm, key))
            return
        worker.end(key, self._verdict(key[0], vm))
        self._later(ONE_WAY_S, lambda: self._report(vm))

    def _renew(self, vm: VmId) -> None:
        self._report(vm)
        self._later(RENEW_S, lambda: self._renew(vm))

    def _report(self, vm: VmId) -> None:
        worker = self.worker_by_vm[vm]
        if worker.answers:
            self.state.report(vm, worker.report(self.now), self.now, self.now)

    def _advice_room(self) -> AdviceCapacity:
        most_long = max(1, int(self._callers * MAX_LONG_CALL_SHARE))
        return AdviceCapacity(
            self._callers - self._advising,
            most_long - self._long_advising,
        )

    def _begin_advice(self, order: AdviceOrder) -> None:
        self.advice_s += order.expected_s
        self._advising += 1
        self._long_advising += order.expected_s > LONG_CALL_THRESHOLD_S
        self._later(order.expected_s, lambda: self._advise(order))

    def _advise(self, order: AdviceOrder) -> None:
        self._advising -= 1
        self._long_advising -= order.expected_s > LONG_CALL_THRESHOLD_S
        tickets = [
            AdviceTicket(vm, f"t-{vm}")
            for vm in order.vms
            if self._good(order.stage, vm)
        ]
        stage = self.state.stage(order.stage)
        validity = stage.job.record.queue.advice_validity_s if stage else 0.0
        reply = AdviceReply(RequestId(""), True, validity, tickets)
        self.state.apply_advice(order.stage, order.vms, reply, self.now)

    def _note_ends(self) -> None:
        self.state.changes.pending_events.clear()
        for job in self.state.job_by_id.values():
            if job.phase.is_final and job.id not in self.ended_at_by_job:
                self.ended_at_by_job[job.id] = self.now
                self.phase_by_job[job.id] = job.phase
        self.state.changes.dirty.clear()
        self.state.remove_finished_jobs()
