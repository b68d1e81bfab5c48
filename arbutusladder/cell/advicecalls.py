"""Capacity for advice calls, and the choice of the workers that a call names."""

from dataclasses import dataclass

from arbutusladder.cell.stages import Stage
from arbutusladder.cell.workers import Worker
from arbutusladder.cell.workerselection import count_fitting_tasks
from arbutusladder.ids import VmId

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


def select_advice_workers(stage: Stage, candidates: list[Worker]) -> tuple[VmId, ...]:
    """Returns the workers that an advice call should name, most free CPU first.

    Each worker named makes the call longer, so only enough for the step's tasks are
    named. They are ordered by free CPU because calls that named the same workers
    regardless of free resources would place all work on these.

    Args:
        stage: Step that needs advice.
        candidates: Workers for which the step has no advice yet.
    """
    wanted_slots = len(stage.tasks) / EXPECTED_APPROVAL_SHARE
    selected: list[VmId] = []
    expected_slots = 0.0
    for worker in sorted(candidates, key=lambda worker: -worker.free.cpu):
        if len(selected) >= MAX_WORKERS_PER_CALL:
            break
        if len(selected) >= MIN_WORKERS_PER_CALL and expected_slots >= wanted_slots:
            break
        selected.append(worker.entry.vm)
        expected_slots += count_fitting_tasks(stage, worker.free)
    return tuple(selected)
