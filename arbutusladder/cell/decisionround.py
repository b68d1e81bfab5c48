"""State of one round of decisions, and the load of the cell that it found."""

import math
from dataclasses import dataclass, field

from arbutusladder.cell.advicecalls import AdviceCapacity
from arbutusladder.cell.stageorder import StageOrder
from arbutusladder.cell.stages import Stage
from arbutusladder.cell.steppriority import is_urgent
from arbutusladder.cell.workers import Worker
from arbutusladder.ids import VmId

# Share of the cores of each service that is reserved for urgent tasks.
URGENT_RESERVE = 0.06


@dataclass
class DecisionRound:
    """State shared by the placements of one round of decisions.

    Attributes:
        now: Monotonic time in seconds.
        available_workers: Workers that accept new tasks.
        nonurgent_cpu_by_service: Free cores of each service that non-urgent tasks may
            still use.
        advice: Calls to the advice service that may still begin.
        reserved_vms: Workers reserved for a waiting gang.
        reserving_gangs: Number of gangs that have reserved workers.
        sound_services: Services with a waiting step whose runs do not fail everywhere.
            Workers on trial are left to these steps.
        order: Steps that are ready to start.
        capped_stages: Keys of the steps that wait for the cap of their team.
    """

    now: float
    available_workers: list[Worker]
    nonurgent_cpu_by_service: dict[str, float]
    advice: AdviceCapacity
    order: StageOrder
    reserved_vms: set[VmId] = field(default_factory=set)
    reserving_gangs: int = 0
    sound_services: frozenset[str] = frozenset()
    capped_stages: set[str] = field(default_factory=set)

    def available_cpu(self, stage: Stage) -> float:
        """Returns the number of cores that a step may still use."""
        if is_urgent(stage):
            return math.inf
        return self.nonurgent_cpu_by_service.get(service_of(stage), 0.0)

    def consume_cpu(self, stage: Stage, cores: float) -> None:
        """Deducts cores that a step uses; those of urgent steps are not limited."""
        if not is_urgent(stage):
            self.nonurgent_cpu_by_service[service_of(stage)] -= cores


@dataclass(frozen=True)
class LoadSummary:
    """Load of the cell in a round of decisions.

    Attributes:
        jobs: Jobs in the state.
        waiting: Steps that were ready to start.
        free: Free cores of workers that accepted tasks.
        total: Cores of workers that accepted tasks.
        open: Number of workers that accepted tasks.
    """

    jobs: int = 0
    waiting: int = 0
    free: float = 0.0
    total: float = 0.0
    open: int = 0


def service_of(stage: Stage) -> str:
    """Returns the service whose workers run a step."""
    return stage.job.record.queue.service


def nonurgent_cpu_by_service(workers: list[Worker]) -> dict[str, float]:
    """Returns the free cores of each service beyond those for urgent tasks."""
    cores: dict[str, float] = {}
    for worker in workers:
        service, entry = worker.entry.service, worker.entry
        usable = worker.free.cpu - entry.capacity.cpu * URGENT_RESERVE
        cores[service] = cores.get(service, 0.0) + usable
    return cores
