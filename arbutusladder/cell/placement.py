"""Where waiting tasks start, and for which steps advice is wanted."""

import math
from dataclasses import dataclass

from arbutusladder import events
from arbutusladder.cell.advicecalls import AdviceCapacity, select_advice_workers
from arbutusladder.cell.cellstate import CellState
from arbutusladder.cell.interfaces import AdviceOrder, StartOrder, StopOrder
from arbutusladder.cell.stages import Stage
from arbutusladder.cell.states import RunPhase
from arbutusladder.cell.steppriority import is_urgent, order_key
from arbutusladder.cell.workers import Run, Worker
from arbutusladder.cell.workerselection import (
    best_worker,
    choose_for_gang,
    could_ever_fit,
    may_run,
    needs_advice,
    suits,
)
from arbutusladder.ids import VmId
from arbutusladder.messages import Resources
from arbutusladder.resources import fits

# Share of the cores that only urgent tasks may use.
URGENT_RESERVE = 0.06
# Gangs that may hold workers at the same time while they wait for room.
MOST_HOLDING_GANGS = 2
# Workers named when only tickets are renewed for tasks that start anywhere.
RENEWED_WORKERS = 6
# Seconds after which an unanswered stop order is repeated.
STOP_RETRY_S = 0.5

Order = StartOrder | StopOrder | AdviceOrder


@dataclass
class Round:
    """What one round of decisions shares.

    Attributes:
        now: Monotonic time in seconds.
        open_workers: Workers that may get tasks.
        spare_cpu: Cores that tasks which are not urgent may still take.
        advice: Calls for advice that may still begin.
        held: Workers that wait for a gang to fit.
        holding: Gangs that hold workers.
    """

    now: float
    open_workers: list[Worker]
    spare_cpu: float
    advice: AdviceCapacity
    held: set[VmId]
    holding: int = 0

    def spare(self, stage: Stage) -> float:
        """Returns the cores that a step may still take."""
        return math.inf if is_urgent(stage) else self.spare_cpu

    def spend(self, stage: Stage, cores: float) -> None:
        """Notes that a step took cores."""
        if not is_urgent(stage):
            self.spare_cpu -= cores


@dataclass(frozen=True)
class Load:
    """How busy the cell was in a round of decisions."""

    jobs: int = 0
    waiting: int = 0
    free: float = 0.0
    total: float = 0.0
    open: int = 0


class Placer:
    """Decides starts, stops and calls for advice.

    Args:
        cell: Jobs and workers.

    Attributes:
        load: What the last round of decisions found.
    """

    def __init__(self, cell: CellState):
        self._cell = cell
        self.load = Load()

    def decide(self, now: float, advice: AdviceCapacity) -> list[Order]:
        """Returns the orders to send now; room is taken for every start.

        Steps that find no free caller for advice ask in a later round, so that the
        most urgent one is always next and no call is queued for a step that has
        meanwhile started or ended.
        """
        orders: list[Order] = list(self._stops(now))
        workers = [w for w in self._cell.worker_by_vm.values() if w.open(now)]
        total = sum(worker.entry.capacity.cpu for worker in workers)
        free = sum(worker.free.cpu for worker in workers)
        spare = free - total * URGENT_RESERVE
        this_round = Round(now, workers, spare, advice, set())
        waiting = self._waiting(now)
        for stage in waiting:
            placed = self._place(stage, this_round)
            orders += placed
            starts = [order for order in placed if isinstance(order, StartOrder)]
            if starts:
                self._cell.note(
                    events.STEP_STARTED,
                    step=stage.key,
                    tasks=len(starts),
                    seconds=now - stage.job.accepted_at,
                    waiting=len(waiting),
                    placed=_placed(starts),
                )
        self.load = Load(
            len(self._cell.job_by_id), len(waiting), free, total, len(workers)
        )
        return orders

    def _waiting(self, now: float) -> list[Stage]:
        found = []
        blocked = bool(self._cell.unreported_until_by_vm)
        for job in self._cell.job_by_id.values():
            if job.phase.is_final or (blocked and job.inherited):
                continue
            for stage in job.stage_by_key.values():
                if stage.due_at <= now and stage.waiting() and job.ready(stage):
                    found.append(stage)
        return sorted(found, key=lambda stage: order_key(stage, now))

    def _stops(self, now: float) -> list[StopOrder]:
        orders = []
        for worker in self._cell.worker_by_vm.values():
            for run in worker.run_by_key.values():
                if _stop_due(run, now):
                    run.stop_sent_at = now
                    orders.append(StopOrder(run.vm, run.task, run.number))
        return orders

    def _place(self, stage: Stage, this_round: Round) -> list[Order]:
        now = this_round.now
        if stage.advice.asking:
            return []
        if stage.plan:
            return self._carry_out_plan(stage, now)
        if needs_advice(stage) and not stage.advice.known:
            return self._ask_about_more(stage, this_round)
        candidates = self._candidates(stage, this_round)
        if stage.spec.gang:
            orders = self._place_gang(stage, candidates, this_round)
        else:
            orders = self._place_tasks(stage, candidates, this_round)
        if not orders and needs_advice(stage):
            # Nothing fits where the step may run: others may have room.
            return self._ask_about_more(stage, this_round)
        return orders

    def _candidates(self, stage: Stage, this_round: Round) -> list[Worker]:
        urgent = is_urgent(stage)
        found = [
            worker
            for worker in this_round.open_workers
            if may_run(stage, worker)
            and (urgent or worker.entry.vm not in this_round.held)
            and fits(stage.spec.need, worker.free)
        ]
        return [w for w in found if not w.speed.slow(this_round.now)]

    def _place_tasks(
        self, stage: Stage, candidates: list[Worker], this_round: Round
    ) -> list[Order]:
        now, need = this_round.now, stage.spec.need
        orders: list[Order] = []
        needs_ticket = False
        for index in stage.waiting():
            if need.cpu > this_round.spare(stage):
                break
            worker = best_worker(stage, candidates, now)
            if worker is None:
                break
            ticket = stage.advice.ticket(worker.entry.vm, now)
            needs_ticket = needs_advice(stage) and ticket is None
            if needs_ticket:
                break
            orders.append(self._start(stage, index, worker, ticket or "", now))
            this_round.spend(stage, need.cpu)
        if needs_ticket:
            ranked = sorted(candidates, key=lambda w: -w.free.cpu)[:RENEWED_WORKERS]
            vms = [worker.entry.vm for worker in ranked]
            orders += self._ask(stage, tuple(vms), this_round)
        return orders

    def _place_gang(
        self, stage: Stage, candidates: list[Worker], this_round: Round
    ) -> list[Order]:
        now = this_round.now
        chosen = choose_for_gang(stage, candidates, now)
        need_cpu = stage.spec.need.cpu * len(stage.tasks)
        if chosen is None or need_cpu > this_round.spare(stage):
            self._hold_for_gang(stage, this_round)
            return []
        this_round.spend(stage, need_cpu)
        if not needs_advice(stage):
            return self._start_gang(stage, chosen, now)
        missing = {
            w.entry.vm for w in chosen if not stage.advice.ticket(w.entry.vm, now)
        }
        if not missing:
            return self._start_gang(stage, chosen, now)
        vms = tuple(dict.fromkeys(w.entry.vm for w in chosen))
        orders = self._ask(stage, vms, this_round)
        if not orders:
            self._hold_for_gang(stage, this_round)
            return []
        for worker in chosen:
            worker.reserve(stage.spec.need)
        stage.plan = [(index, w.entry.vm) for index, w in enumerate(chosen)]
        return orders

    def _carry_out_plan(self, stage: Stage, now: float) -> list[Order]:
        workers = self._cell.drop_plan(stage)
        sound = all(
            w and w.open(now) and fits(stage.spec.need, w.free) for w in workers
        )
        if not sound or not all(stage.advice.ticket(w.entry.vm, now) for w in workers):
            return []
        return self._start_gang(stage, workers, now)

    def _start_gang(
        self, stage: Stage, chosen: list[Worker], now: float
    ) -> list[Order]:
        number = stage.next_run(0)
        saved = stage.gang_saved()
        orders: list[Order] = []
        for index, worker in enumerate(chosen):
            ticket = stage.advice.ticket(worker.entry.vm, now) or ""
            orders.append(self._start(stage, index, worker, ticket, now, number, saved))
        return orders

    def _start(
        self,
        stage: Stage,
        index: int,
        worker: Worker,
        ticket: str,
        now: float,
        number: int | None = None,
        saved: str | None = None,
    ) -> StartOrder:
        if number is None:
            number = stage.next_run(index)
        if saved is None:
            saved = stage.tasks[index].saved
        vm = worker.entry.vm
        run = self._cell.attach_run(stage, index, number, vm, RunPhase.SENT, now)
        if worker.on_trial:
            worker.trial = run.task
        return StartOrder(vm, run.task, number, stage.job.record.payload, saved, ticket)

    def _hold_for_gang(self, stage: Stage, this_round: Round) -> None:
        """Keeps workers free of less urgent tasks until the gang fits."""
        if this_round.holding >= MOST_HOLDING_GANGS:
            return
        usable = [w for w in this_round.open_workers if may_run(stage, w)]
        if not could_ever_fit(stage, usable):
            return
        this_round.holding += 1
        this_round.held.update(worker.entry.vm for worker in usable)

    def _ask_about_more(self, stage: Stage, this_round: Round) -> list[Order]:
        """Asks about workers that the step's advice has not named yet."""
        if this_round.advice.calls < 1:
            return []
        unknown = [
            worker
            for worker in self._cell.worker_by_vm.values()
            if worker.listed
            and not worker.entry.draining
            and worker.entry.vm not in stage.advice.known
            and suits(stage, worker)
            and fits(stage.spec.need, self._room_to_name(stage, worker))
        ]
        vms = select_advice_workers(stage, unknown)
        return self._ask(stage, vms, this_round) if vms else []

    def _room_to_name(self, stage: Stage, worker: Worker) -> Resources:
        # A step that knows workers which are full gains nothing from others which
        # are full as well, but takes a caller from a step that could start. A gang
        # does: the more workers it may hold, the sooner it fits.
        first = not stage.advice.known
        return worker.entry.capacity if first or stage.spec.gang else worker.free

    def _ask(
        self, stage: Stage, vms: tuple[VmId, ...], this_round: Round
    ) -> list[Order]:
        queue = stage.job.record.queue
        expected = queue.advice_s + queue.advice_each_s * len(vms)
        if not this_round.advice.reserve(expected):
            return []
        stage.advice.asking = True
        return [AdviceOrder(stage.key, vms, expected)]


def _placed(starts: list[StartOrder]) -> str:
    """Returns index, run and worker of each start for the event log."""
    return " ".join(
        f"{order.task.rpartition('.')[2]}:{order.run}@{order.vm}" for order in starts
    )


def _stop_due(run: Run, now: float) -> bool:
    if not run.stop_wanted or run.phase is RunPhase.SENT:
        return False
    if run.stop_answered_at is not None:
        return False
    return run.stop_sent_at is None or now - run.stop_sent_at >= STOP_RETRY_S
