"""How many calls for advice may begin, and which workers a call names."""

from dataclasses import dataclass

from arbutusladder.cell.stages import Stage
from arbutusladder.cell.workers import Worker
from arbutusladder.cell.workerselection import count_fitting_tasks
from arbutusladder.ids import VmId

# Calls for advice that take longer may not occupy all callers: urgent ones need one
# at once.
LONG_CALL_THRESHOLD_S = 0.25
# Workers that one call for advice may name (PROTOCOL, advise).
MAX_WORKERS_PER_CALL = 100
# Workers that a call names at least: about what the users' objective counts.
MIN_WORKERS_PER_CALL = 24
# Share of the named workers that may run a step, as a cautious guess.
EXPECTED_APPROVAL_SHARE = 0.25


@dataclass
class AdviceCapacity:
    """Calls for advice that may begin now.

    Attributes:
        calls: Entry VMs that are free for a call.
        long_calls: How many of them may take a long one.
    """

    calls: int
    long_calls: int

    def reserve(self, expected_s: float) -> bool:
        """Takes a caller for a call of so many seconds, if one is free."""
        long = expected_s > LONG_CALL_THRESHOLD_S
        if self.calls < 1 or (long and self.long_calls < 1):
            return False
        self.calls -= 1
        self.long_calls -= long
        return True


def select_advice_workers(stage: Stage, candidates: list[Worker]) -> tuple[VmId, ...]:
    """Returns the workers that a call for advice should name, roomiest first.

    Each worker named makes the call longer, and all calls together would send
    all work to the same workers if they named those without regard to room.
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
