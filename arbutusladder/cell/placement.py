"""Placement: decides which waiting tasks start on which workers.

Each round of decisions returns the start and stop orders to send to workers, and
the calls to the advice service that waiting steps need.
"""

from arbutusladder import events
from arbutusladder.cell.advicecalls import AdviceCapacity, select_advice_workers
from arbutusladder.cell.cellstate import CellState
from arbutusladder.cell.decisionround import (
    DecisionRound,
    LoadSummary,
    nonurgent_by_service,
    service_of,
)
from arbutusladder.cell.interfaces import AdviceOrder, PaceOrder, StartOrder, StopOrder
from arbutusladder.cell.overdue import OverdueSteps
from arbutusladder.cell.performance.preference import (
    SpeedPreference,
    speed_preference,
)
from arbutusladder.cell.runends import MAX_NAMED
from arbutusladder.cell.runs import Run
from arbutusladder.cell.stageorder import StageOrder
from arbutusladder.cell.stages import Stage
from arbutusladder.cell.states import RunPhase, WaitCause
from arbutusladder.cell.steppriority import is_urgent
from arbutusladder.cell.teamusage.capwaits import CapWaits
from arbutusladder.cell.teamusage.fairness import FairShares
from arbutusladder.cell.workers import Worker
from arbutusladder.cell.workerselection import (
    fits_idle_workers,
    fits_one_idle_rack,
    is_permitted,
    meets_requirements,
    needs_advice,
    select_gang_workers,
    select_gang_workers_anywhere,
    select_renewal_workers,
    select_worker,
)
from arbutusladder.ids import VmId
from arbutusladder.messages import Resources
from arbutusladder.resources import add, fits, scale

# Waiting gangs that may reserve workers at the same time.
MAX_RESERVING_GANGS = 2
# Seconds for which a waiting gang reserves workers, and of the pause that follows.
RESERVATION_S = 12.0
RESERVATION_PAUSE_S = 3.0
# Seconds that a gang waits for room in one rack while at least a share of the cores of
# its service is idle.
RACK_WAIT_S = 2.0
IDLE_SHARE = 0.5
# Seconds after which an unanswered stop order is sent again.
STOP_RETRY_S = 0.5

Order = StartOrder | StopOrder | PaceOrder | AdviceOrder


class Placer:
    """Decides which orders to send to workers and the advice service.

    Args:
        cell: State of the cell.

    Attributes:
        load: Load of the cell in the last round of decisions.
        cap_waits: Teams that wait for their caps.
    """

    def __init__(self, cell: CellState):
        self._cell = cell
        self.load = LoadSummary()
        self.cap_waits = CapWaits()
        self._overdue = OverdueSteps()
        self._last_round_at: float | None = None

    def decide(
        self, now: float, advice: AdviceCapacity, view_age_s: float = 0.0
    ) -> list[Order]:
        """Returns the orders to send now and reserves resources for every start.

        A step that finds no idle entry VM for a call to the advice service tries
        again in a later round. Queued calls would not be made in order of urgency,
        and some would be for steps that have started or ended in the meantime.

        Args:
            now: Monotonic time in seconds.
            advice: Calls to the advice service that may begin.
            view_age_s: Age in seconds of what is known of submissions and
                cancellations, for the event log.

        Returns:
            The orders: stops first, then the others by the priority of their steps.
        """
        orders = self.due_run_orders(now)
        workers = [
            worker
            for worker in self._cell.worker_by_vm.values()
            if self._cell.accepts_tasks(worker, now)
        ]
        self._cell.performance.update_classes(self._cell.worker_by_vm.values(), now)
        total = sum(worker.entry.capacity.cpu for worker in workers)
        free = sum(worker.free.cpu for worker in workers)
        self._charge_inherited_jobs()
        waiting = self._waiting_stages(now)
        sound = {service_of(stage) for stage in waiting if not stage.is_failing}
        this_round = DecisionRound(
            now,
            workers,
            nonurgent_by_service(workers),
            advice,
            self._order(waiting, workers, now),
            sound_services=frozenset(sound),
        )
        since_last_round_s = now - (self._last_round_at or now)
        self._last_round_at = now
        while stage := this_round.order.pop():
            placed = self._place_stage(stage, this_round)
            orders += placed
            starts = [order for order in placed if isinstance(order, StartOrder)]
            if starts:
                self._cell.record_event(
                    events.STEP_STARTED,
                    step=stage.key,
                    tasks=len(starts),
                    seconds=now - stage.job.accepted_at,
                    waiting=len(waiting),
                    placed=_format_starts(starts),
                    earlier=_format_earlier_runs(stage, starts, now),
                    waits=_format_waits(stage.take_waits()),
                    view=view_age_s,
                )
                if this_round.order.is_overtaken(stage) and stage.waiting_tasks():
                    this_round.order.push_back(stage)
            else:
                cause = _wait_cause(stage, this_round)
                stage.record_wait(cause, since_last_round_s)
        for event, fields in self.cap_waits.finish_round(self._cell.team_ledger, now):
            self._cell.record_event(event, **fields)
        self.load = LoadSummary(
            len(self._cell.job_by_id), len(waiting), free, total, len(workers)
        )
        return orders

    def _charge_inherited_jobs(self) -> None:
        """Charges the teams for what workers without a report may run."""
        ledger = self._cell.team_ledger
        waits = ledger.has_teams and self._cell.unreported
        jobs = self._cell.job_by_id.values() if waits else ()
        ledger.set_inherited(job for job in jobs if self._cell.is_blocked(job))

    def _waiting_stages(self, now: float) -> list[Stage]:
        found = []
        for job in self._cell.job_by_id.values():
            if job.phase.is_final or self._cell.is_blocked(job):
                continue
            job.open_due_occurrences(now)
            for stage in job.stage_by_key.values():
                if (
                    stage.due_at <= now
                    and stage.waiting_tasks()
                    and job.dependencies_done(stage)
                ):
                    found.append(stage)
        return found

    def _order(
        self, waiting: list[Stage], workers: list[Worker], now: float
    ) -> StageOrder:
        """Returns the order of the waiting steps; only teams change it in a round."""
        ledger = self._cell.team_ledger
        if not ledger.has_teams or not waiting:
            return StageOrder(waiting, now)
        total = Resources()
        for worker in workers:
            total = add(total, worker.entry.capacity)
        overdue = self._overdue.select(waiting, ledger, total.cpu, now)
        return StageOrder(waiting, now, FairShares(ledger, total, waiting), overdue)

    def due_run_orders(self, now: float) -> list[Order]:
        """Returns the orders for runs in progress: stops, then paces.

        Args:
            now: Monotonic time in seconds.
        """
        worker_by_vm = self._cell.worker_by_vm
        paces = self._cell.interference.due_paces(worker_by_vm, now)
        return [*self.due_stops(now), *paces]

    def due_stops(self, now: float) -> list[StopOrder]:
        """Returns the stop orders to send now.

        Args:
            now: Monotonic time in seconds.
        """
        orders = []
        for worker in self._cell.worker_by_vm.values():
            for run in worker.run_by_key.values():
                if _stop_due(run, now):
                    run.stop_sent_at = now
                    orders.append(StopOrder(run.vm, run.task, run.number))
        return orders

    def _place_stage(self, stage: Stage, this_round: DecisionRound) -> list[Order]:
        if stage.advice.call_pending:
            return []
        if stage.plan:
            return self._start_planned_gang(stage, this_round)
        if self._is_capped(stage, this_round):
            return []
        if needs_advice(stage) and not stage.advice.asked_vms:
            return self._request_more_advice(stage, this_round)
        candidates = self._candidates(stage, this_round)
        if stage.spec.gang:
            orders = self._place_gang(stage, candidates, this_round)
        else:
            orders = self._place_tasks(stage, candidates, this_round)
        if not orders and needs_advice(stage):
            # No permitted worker has enough free resources; others may have.
            return self._request_more_advice(stage, this_round)
        return orders

    def _is_capped(self, stage: Stage, this_round: DecisionRound) -> bool:
        """Returns whether the cap of its team keeps a step from starting now."""
        if self._cell.team_ledger.may_start(stage):
            return False
        this_round.capped_stages.add(stage.key)
        self.cap_waits.record(stage.job.team)
        return True

    def _candidates(self, stage: Stage, this_round: DecisionRound) -> list[Worker]:
        urgent = is_urgent(stage)
        no_trials = stage.is_failing and service_of(stage) in this_round.sound_services
        found = [
            worker
            for worker in this_round.available_workers
            if is_permitted(stage, worker)
            and (urgent or worker.entry.vm not in this_round.reserved_vms)
            and not (no_trials and worker.on_trial)
            and fits(stage.spec.need, worker.free)
        ]
        return [w for w in found if not w.speed.is_slow(this_round.now)]

    def _place_tasks(
        self, stage: Stage, candidates: list[Worker], this_round: DecisionRound
    ) -> list[Order]:
        now, need = this_round.now, stage.spec.need
        orders: list[Order] = []
        needs_ticket = False
        preference = self._speed_preference(stage, now)
        disturbance = self._cell.interference.disturbance(stage)
        for index in stage.waiting_tasks():
            if not this_round.may_use(stage, need):
                break
            if orders and self._is_capped(stage, this_round):
                break
            bound_vm, usable = stage.tasks[index].bound_vm, candidates
            if bound_vm:
                usable = [w for w in candidates if w.entry.vm == bound_vm]
            worker = select_worker(stage, usable, now, preference, disturbance)
            if worker is None and bound_vm:
                continue
            if worker is None:
                break
            ticket = stage.advice.valid_ticket(worker.entry.vm, now)
            needs_ticket = needs_advice(stage) and ticket is None
            if needs_ticket:
                break
            order = self._start(stage, index, worker, ticket or "", now)
            if order is None:
                continue
            orders.append(order)
            this_round.consume(stage, need)
            if this_round.order.is_overtaken(stage):
                break
        if needs_ticket:
            vms = select_renewal_workers(stage, worker, candidates, preference)
            renewal = self._request_advice(stage, vms, this_round)
            stage.advice.renewals += len(renewal)
            orders += renewal
        return orders

    def _place_gang(
        self, stage: Stage, candidates: list[Worker], this_round: DecisionRound
    ) -> list[Order]:
        now = this_round.now
        preference = self._speed_preference(stage, now)
        disturbance = self._cell.interference.disturbance(stage)
        chosen = select_gang_workers(stage, candidates, now, preference, disturbance)
        if chosen is None and self._may_leave_rack(stage, this_round):
            chosen = select_gang_workers_anywhere(
                stage, candidates, now, preference, disturbance
            )
        need = scale(stage.spec.need, len(stage.tasks))
        if chosen is None or not this_round.may_use(stage, need):
            self._reserve_for_gang(stage, this_round)
            return []
        this_round.consume(stage, need)
        if not needs_advice(stage):
            return self._start_gang(stage, chosen, now)
        missing = {
            w.entry.vm for w in chosen if not stage.advice.valid_ticket(w.entry.vm, now)
        }
        if not missing:
            return self._start_gang(stage, chosen, now)
        vms = tuple(dict.fromkeys(w.entry.vm for w in chosen))
        orders = self._request_advice(stage, vms, this_round)
        if not orders:
            self._reserve_for_gang(stage, this_round)
            return []
        for worker in chosen:
            worker.reserve(stage.spec.need)
        stage.plan = [(index, w.entry.vm) for index, w in enumerate(chosen)]
        self._cell.team_ledger.charge_plan(stage)
        return orders

    def _speed_preference(self, stage: Stage, now: float) -> SpeedPreference | None:
        speed_by_class = self._cell.performance.speed_by_class
        return speed_preference(stage, speed_by_class, now)

    def _may_leave_rack(self, stage: Stage, this_round: DecisionRound) -> bool:
        """Returns whether a gang that prefers one rack may use several.

        They cost it time, so it waits for room in a rack that could hold it, unless
        most of the cell is idle.
        """
        if not stage.spec.one_rack:
            return False
        workers = [
            worker
            for worker in this_round.available_workers
            if meets_requirements(stage, worker)
        ]
        if not fits_one_idle_rack(stage, workers):
            return True
        free = sum(worker.free.cpu for worker in workers)
        total = sum(worker.entry.capacity.cpu for worker in workers)
        return stage.waited_s > RACK_WAIT_S and free >= total * IDLE_SHARE

    def _start_planned_gang(
        self, stage: Stage, this_round: DecisionRound
    ) -> list[Order]:
        """Starts a gang on its planned workers if all still accept it.

        Otherwise the plan is dropped and a later round places the gang again. The cap
        of its team may have been lowered since it was planned.
        """
        now = this_round.now
        workers = self._cell.release_plan(stage)
        if self._is_capped(stage, this_round):
            return []
        can_start = all(
            w and self._cell.accepts_tasks(w, now) and fits(stage.spec.need, w.free)
            for w in workers
        )
        if not can_start or not all(
            stage.advice.valid_ticket(w.entry.vm, now) for w in workers
        ):
            return []
        return self._start_gang(stage, workers, now)

    def _start_gang(
        self, stage: Stage, chosen: list[Worker], now: float
    ) -> list[Order]:
        number = stage.next_run_number(0)
        checkpoint = stage.gang_checkpoint()
        refused = [
            index
            for index, worker in enumerate(chosen)
            if self._refuses_start(stage, index, worker.entry.vm)
        ]
        if refused:
            return []
        orders: list[Order] = []
        for index, worker in enumerate(chosen):
            ticket = stage.advice.valid_ticket(worker.entry.vm, now) or ""
            orders.append(
                self._start(stage, index, worker, ticket, now, number, checkpoint)
            )
        return orders

    def _start(
        self,
        stage: Stage,
        index: int,
        worker: Worker,
        ticket: str,
        now: float,
        number: int | None = None,
        checkpoint: str | None = None,
    ) -> StartOrder | None:
        """Returns an order to start a task, and creates its run.

        Returns:
            None if nothing shows that an earlier run of the task has ended.
        """
        if self._refuses_start(stage, index, worker.entry.vm):
            return None
        if number is None:
            number = stage.next_run_number(index)
        if checkpoint is None:
            checkpoint = stage.tasks[index].checkpoint
        vm = worker.entry.vm
        run = self._cell.create_run(stage, index, number, vm, RunPhase.SENT, now)
        if worker.on_trial:
            worker.trial_task = run.task
        stage.advice.renewals = 0
        return StartOrder(
            vm, run.task, number, stage.job.record.payload, checkpoint, ticket
        )

    def _refuses_start(self, stage: Stage, index: int, vm: VmId) -> bool:
        """Returns whether an earlier run without a proof of its end forbids a start.

        A task with such a run does not wait to be started. This is a second check, for
        a fault by which a run is removed from its task.
        """
        unproven = stage.unproven_runs(index, vm)
        task = stage.tasks[index]
        if unproven and not task.start_refused:
            task.start_refused = True
            self._cell.record_event(
                events.START_WITHOUT_PROOF,
                task=stage.task_name(index),
                worker=vm,
                runs=" ".join(f"{number}@{former}" for former, number in unproven),
            )
        return bool(unproven)

    def _reserve_for_gang(self, stage: Stage, this_round: DecisionRound) -> None:
        """Keeps non-urgent steps of lower priority off workers until the gang fits.

        The reservation pauses from time to time, so that a gang for which no room
        comes does not keep the workers from others for good.
        """
        if this_round.reserving_gangs >= MAX_RESERVING_GANGS:
            return
        if stage.waited_s % (RESERVATION_S + RESERVATION_PAUSE_S) >= RESERVATION_S:
            return
        permitted = [w for w in this_round.available_workers if is_permitted(stage, w)]
        if not fits_idle_workers(stage, permitted):
            return
        this_round.reserving_gangs += 1
        this_round.reserved_vms.update(worker.entry.vm for worker in permitted)

    def _request_more_advice(
        self, stage: Stage, this_round: DecisionRound
    ) -> list[Order]:
        """Requests advice on workers that no earlier call for the step named."""
        if this_round.advice.calls < 1:
            return []
        unasked = [
            worker
            for worker in self._cell.worker_by_vm.values()
            if worker.registered
            and not worker.entry.draining
            and worker.entry.vm not in stage.advice.asked_vms
            and meets_requirements(stage, worker)
            and fits(stage.spec.need, self._resources_to_match(stage, worker))
        ]
        demand = self._cell.advice_demand
        preference = self._speed_preference(stage, this_round.now)
        vms = select_advice_workers(stage, unasked, demand, preference)
        orders = self._request_advice(stage, vms, this_round) if vms else []
        if orders:
            demand.begin_call(stage, vms)
        return orders

    def _resources_to_match(self, stage: Stage, worker: Worker) -> Resources:
        """Returns the resources that must fit a task for a call to name the worker."""
        # If the permitted workers are full, permission for more full workers does
        # not help, and the call occupies an entry VM that another step could use. A
        # gang benefits: the more workers it may reserve, the sooner it fits.
        first_call = not stage.advice.asked_vms
        return worker.entry.capacity if first_call or stage.spec.gang else worker.free

    def _request_advice(
        self, stage: Stage, vms: tuple[VmId, ...], this_round: DecisionRound
    ) -> list[Order]:
        queue = stage.job.record.queue
        expected_s = queue.advice_s + queue.advice_each_s * len(vms)
        if not this_round.advice.reserve(expected_s):
            return []
        stage.advice.call_pending = True
        return [AdviceOrder(stage.key, vms, expected_s)]


def _wait_cause(stage: Stage, this_round: DecisionRound) -> WaitCause:
    """Returns what a step waits for that was not started in a round."""
    if stage.key in this_round.capped_stages:
        return WaitCause.CAP
    if stage.plan:
        return WaitCause.TICKETS
    if stage.advice.call_pending:
        return WaitCause.ADVICE
    if needs_advice(stage) and not stage.advice.ticket_by_vm:
        return WaitCause.CALLER
    return WaitCause.ROOM


def _format_waits(wait_s_by_cause: dict[WaitCause, float]) -> str:
    """Formats the seconds waited for each cause for the event log."""
    return " ".join(
        f"{cause.value}={seconds:.2f}" for cause, seconds in wait_s_by_cause.items()
    )


def _format_starts(starts: list[StartOrder]) -> str:
    """Formats task index, run number and worker of each start for the event log."""
    return " ".join(
        f"{order.task.rpartition('.')[2]}:{order.run}@{order.vm}" for order in starts
    )


def _format_earlier_runs(stage: Stage, starts: list[StartOrder], now: float) -> str:
    """Formats the newest earlier run of started tasks for the event log.

    Each has the form index:run@worker(proof,age of its evidence), with a question mark
    if an order was in doubt. A predecessor's run that this owner has not seen has the
    form index:run(inherited).
    """
    parts = []
    for order in starts:
        index = order.task.rpartition(".")[2]
        ends = stage.tasks[int(index)].ends[-1:]
        if order.run > 1 and not ends:
            parts.append(f"{index}:{order.run - 1}(inherited)")
        for end in ends:
            evidence = f"{end.evidence.proof.value},{end.age_s(now):.3f}s"
            doubt = "?" if end.in_doubt else ""
            parts.append(f"{index}:{end.number}@{end.vm}({evidence}{doubt})")
    if not parts:
        return "none"
    omitted = len(parts) - MAX_NAMED
    return " ".join(parts[:MAX_NAMED]) + (f" and {omitted} others" * (omitted > 0))


def _stop_due(run: Run, now: float) -> bool:
    if not run.stop_wanted or run.phase is RunPhase.SENT:
        return False
    if run.stop_answered_at is not None:
        return False
    return run.stop_sent_at is None or now - run.stop_sent_at >= STOP_RETRY_S
