"""Capacity for advice calls, and the choice of the workers that a call names."""

from dataclasses import dataclass

from arbutusladder.cell.performance.groups import speed_groups
from arbutusladder.cell.performance.preference import SpeedPreference
from arbutusladder.cell.stages import Stage
from arbutusladder.cell.workers import Worker
from arbutusladder.cell.workerselection import count_fitting_tasks
from arbutusladder.ids import VmId
from arbutusladder.messages import Resources

# Advice calls expected to take longer than this many seconds are long calls, which may
# not occupy all entry VMs: urgent calls need an idle one at once.
LONG_CALL_THRESHOLD_S = 0.25
# Largest number of workers that the advice service accepts in one call.
MAX_WORKERS_PER_CALL = 100
# Number of workers that a call names at least, if there are enough: about the number
# that the users' latency objective takes into account.
MIN_WORKERS_PER_CALL = 24
# Conservative estimate of the share of named workers that the advice permits for a
# step.
EXPECTED_APPROVAL_SHARE = 0.25


@dataclass
class AdviceCapacity:
    """Number of advice calls that may be started in this scheduling round.

    Attributes:
        calls: Number of idle entry VMs.
        long_calls: How many of them may make a long call.
    """

    calls: int
    long_calls: int

    def reserve(self, expected_s: float) -> bool:
        """Reserves an entry VM for one call.

        Args:
            expected_s: Expected duration of the call in seconds.

        Returns:
            Whether there was an idle entry VM for it.
        """
        long = expected_s > LONG_CALL_THRESHOLD_S
        if self.calls < 1 or (long and self.long_calls < 1):
            return False
        self.calls -= 1
        self.long_calls -= long
        return True


class AdviceDemand:
    """Cores of each worker that steps with a call in progress are expected to use.

    A call takes about a second, in which many others begin. Without their demand all of
    them would name the same workers, and most steps would find these full afterwards.
    """

    def __init__(self):
        self._cpu_by_vm: dict[VmId, float] = {}
        self._share_by_stage: dict[str, tuple[tuple[VmId, ...], float]] = {}

    def begin_call(self, stage: Stage, vms: tuple[VmId, ...]) -> None:
        """Adds the demand of a step, spread evenly over the workers that a call names.

        Args:
            stage: The step.
            vms: The workers.
        """
        cpu = stage.spec.need.cpu * len(stage.waiting_tasks()) / len(vms)
        self._share_by_stage[stage.key] = (vms, cpu)
        for vm in vms:
            self._cpu_by_vm[vm] = self._cpu_by_vm.get(vm, 0.0) + cpu

    def end_call(self, key: str) -> None:
        """Removes the demand of a step, if it has any.

        Args:
            key: Key of the step.
        """
        vms, cpu = self._share_by_stage.pop(key, ((), 0.0))
        for vm in vms:
            self._cpu_by_vm[vm] -= cpu

    def remaining(self, worker: Worker) -> Resources:
        """Returns the free resources of a worker beyond the expected demand."""
        free = worker.free
        cpu = free.cpu - self._cpu_by_vm.get(worker.entry.vm, 0.0)
        return Resources(max(0.0, cpu), free.memory_mb, free.accelerators)


def select_advice_workers(
    stage: Stage,
    candidates: list[Worker],
    demand: AdviceDemand,
    preference: SpeedPreference | None = None,
) -> tuple[VmId, ...]:
    """Returns the workers that an advice call should name, most remaining CPU first.

    Each worker named makes the call longer, so only enough for the step's tasks are
    named. They are of one speed class if that has enough room, so that a gang need not
    use several.

    Args:
        stage: Step that needs advice.
        candidates: Workers for which the step has no advice yet.
        demand: Demand of the steps with a call in progress.
        preference: Classes of workers that the step prefers by their speed.
    """
    wanted_slots = len(stage.tasks) / EXPECTED_APPROVAL_SHARE
    groups = speed_groups(candidates, preference)
    for group in groups:
        selected, slots = _select_from_group(stage, group, demand, wanted_slots)
        if slots >= wanted_slots and len(selected) >= MIN_WORKERS_PER_CALL:
            break
    return tuple(selected)


def _select_from_group(
    stage: Stage, group: list[Worker], demand: AdviceDemand, wanted_slots: float
) -> tuple[list[VmId], float]:
    """Returns the workers to name of a group, and the expected slots on them."""
    selected: list[VmId] = []
    expected_slots = 0.0
    ranked = [(demand.remaining(worker), worker) for worker in group]
    ranked.sort(key=lambda pair: -pair[0].cpu)
    for remaining, worker in ranked:
        if len(selected) >= MAX_WORKERS_PER_CALL:
            break
        if len(selected) >= MIN_WORKERS_PER_CALL and expected_slots >= wanted_slots:
            break
        selected.append(worker.entry.vm)
        expected_slots += count_fitting_tasks(stage, remaining)
    return selected, expected_slots
