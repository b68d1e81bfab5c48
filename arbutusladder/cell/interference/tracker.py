"""Interference between the tasks of a cell: what is learnt, and paces of fillers."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from arbutusladder import events
from arbutusladder.cell.interfaces import OrderAnswer, PaceOrder
from arbutusladder.cell.interference.observations import overlaps
from arbutusladder.cell.interference.pacing import FULL_PACE, WorkerPacing
from arbutusladder.cell.interference.pairs import ImagePairs
from arbutusladder.cell.runs import Run, RunKey
from arbutusladder.cell.stages import Stage
from arbutusladder.cell.states import OrderOutcome, RunPhase
from arbutusladder.cell.workers import Worker
from arbutusladder.ids import VmId
from arbutusladder.metrics import Metrics

# Default limit on the seconds for which a serving task may be over its target.
DEFAULT_HARM_S = 4.0
# Seconds between two figures of a serving task from which effects are learnt; each is
# of the last half second.
TAIL_INTERVAL_S = 1.0
# Seconds until an order for a pace that got no answer is repeated.
PACE_RETRY_S = 0.5
# Seconds after which the order for a reduced pace is repeated although it was accepted:
# an earlier, unanswered one may have been executed after it.
PACE_REPEAT_S = 2.0
# Outcomes after which the pace of a run is unknown.
_UNKNOWN_OUTCOMES = frozenset({OrderOutcome.UNKNOWN, OrderOutcome.NOT_SENT})


@dataclass(frozen=True, slots=True)
class Disturbance:
    """How much the tasks of a step and those of a worker would disturb each other.

    Attributes:
        level_by_image: Level of each image that the step's image disturbs, or that
            disturbs it.
        throttled_vms: Workers that throttle the step's tasks.
    """

    level_by_image: Mapping[str, int]
    throttled_vms: frozenset[VmId]

    def level(self, worker: Worker) -> int:
        """Returns the level for a worker; 0 is undisturbed."""
        levels = self.level_by_image
        found = max(
            (
                levels.get(run.spec.image, 0)
                for run in worker.run_by_key.values()
                if run.spec
            ),
            default=0,
        )
        return found + (worker.entry.vm in self.throttled_vms)


class InterferenceTracker:
    """Learns which images disturb each other, and paces fillers beside serving tasks.

    Args:
        record_event: Queues an event for the event log.

    Attributes:
        pairs: Learnt effects by pair of images.
        harm_s: Limit on the seconds for which a serving task may be over its target.
    """

    def __init__(self, record_event: Callable[..., None]):
        self.pairs = ImagePairs(record_event)
        self.harm_s = DEFAULT_HARM_S
        self._record_event = record_event
        self._pacing_by_vm: dict[VmId, WorkerPacing] = {}
        self._run_to_pace: dict[RunKey, Run] = {}

    def record_running(
        self, worker: Worker, run: Run, figure: float | None, now: float
    ) -> None:
        """Applies the rough figure that a worker reports with a run.

        Args:
            worker: The worker.
            run: The run.
            figure: Tail of a serving task in milliseconds; other figures and None are
                ignored.
            now: Monotonic time in seconds.
        """
        spec = run.spec
        if spec is None:
            return
        if spec.fills and self._needs_pace(run, now):
            self._run_to_pace[run.key] = run
        if spec.target_s > 0 and figure is not None:
            ratio = figure / 1000.0 / spec.target_s
            self._record_tail(worker, run, ratio, now)

    def disturbance(self, stage: Stage) -> Disturbance | None:
        """Returns what placement of a step has to avoid if it can; None for nothing."""
        image = stage.spec.image
        levels = self.pairs.levels(image) if image else {}
        throttled = self._throttled_vms() if stage.spec.fills else frozenset()
        return Disturbance(levels, throttled) if levels or throttled else None

    def due_paces(
        self, worker_by_vm: Mapping[VmId, Worker], now: float
    ) -> list[PaceOrder]:
        """Returns the orders for paces to send now.

        Args:
            worker_by_vm: All workers of the cell.
            now: Monotonic time in seconds.
        """
        self._update_levels(worker_by_vm, now)
        orders = []
        for key, run in list(self._run_to_pace.items()):
            worker = worker_by_vm.get(run.vm)
            if worker is None or worker.run_by_key.get(key) is not run:
                del self._run_to_pace[key]
            elif not self._needs_pace(run, now):
                if run.pace is not None:
                    del self._run_to_pace[key]
            elif (
                run.phase is RunPhase.RUNNING and now - run.pace_sent_at > PACE_RETRY_S
            ):
                run.pace_sent_at = now
                percent = self._percent(run.vm)
                orders.append(PaceOrder(run.vm, run.task, run.number, percent))
        return orders

    def apply_answer(self, order: PaceOrder, answer: OrderAnswer) -> None:
        """Applies the answer to an order for a pace."""
        run = self._run_to_pace.get((order.task, order.run))
        if run is None:
            return
        # A worker that refuses the pace does not have the run any more, which its next
        # report shows.
        unknown = answer.outcome in _UNKNOWN_OUTCOMES
        run.pace = None if unknown else order.percent

    def report(self, metrics: Metrics) -> None:
        """Sets the gauges of what was learnt."""
        metrics.gauge("interference.pairs", len(self.pairs))
        metrics.gauge("interference.worst_slowdown", self.pairs.worst())
        metrics.gauge("interference.throttled_workers", len(self._throttled_vms()))

    def _throttled_vms(self) -> frozenset[VmId]:
        return frozenset(vm for vm, row in self._pacing_by_vm.items() if row.level)

    def _percent(self, vm: VmId) -> int:
        pacing = self._pacing_by_vm.get(vm)
        return pacing.percent if pacing else FULL_PACE

    def _needs_pace(self, run: Run, now: float) -> bool:
        """Returns whether a filler has to be told its pace, perhaps once more."""
        wanted = self._percent(run.vm)
        if run.pace != wanted:
            return True
        return wanted < FULL_PACE and now - run.pace_sent_at > PACE_REPEAT_S

    def _record_tail(self, worker: Worker, run: Run, ratio: float, now: float) -> None:
        pacing = self._pacing_by_vm.setdefault(worker.entry.vm, WorkerPacing())
        pacing.record_tail(run.key, ratio, now)
        if run.spec.image and now - run.tail_learnt_at >= TAIL_INTERVAL_S:
            run.tail_learnt_at = now
            others = overlaps(worker, run, TAIL_INTERVAL_S, now)
            self.pairs.learn_tail(run.spec.image, others, ratio, now)

    def _update_levels(self, worker_by_vm: Mapping[VmId, Worker], now: float) -> None:
        for vm, pacing in list(self._pacing_by_vm.items()):
            if vm not in worker_by_vm or pacing.is_idle(now):
                del self._pacing_by_vm[vm]
            elif pacing.update(self.harm_s, now):
                self._change_paces(worker_by_vm[vm], pacing)

    def _change_paces(self, worker: Worker, pacing: WorkerPacing) -> None:
        fillers = [
            run for run in worker.run_by_key.values() if run.spec and run.spec.fills
        ]
        for run in fillers:
            self._run_to_pace[run.key] = run
        self._record_event(
            events.FILLERS_PACED,
            worker=worker.entry.vm,
            percent=pacing.percent,
            ratio=pacing.worst_ratio,
            fillers=len(fillers),
        )
