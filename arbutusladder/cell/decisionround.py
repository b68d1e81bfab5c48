"""State of one round of decisions, and the load of the cell that it found."""

from dataclasses import dataclass, field

from arbutusladder.cell.advicecalls import AdviceCapacity
from arbutusladder.cell.stageorder import StageOrder
from arbutusladder.cell.stages import Stage
from arbutusladder.cell.steppriority import is_urgent
from arbutusladder.cell.workers import Worker
from arbutusladder.ids import VmId
from arbutusladder.messages import Resources
from arbutusladder.resources import EPSILON

# Share of the cores, and of the memory, of each service that is reserved for urgent
# tasks.
URGENT_RESERVE = 0.06


@dataclass
class NonurgentRoom:
    """Free cores and memory of a service beyond the reserve for urgent tasks.

    Attributes:
        cpu: Cores that tasks which are not urgent may still use.
        memory_mb: The same in megabytes of memory.
        is_idle: Whether the service runs nothing. Then one start may use the reserve,
            so that a task which needs the whole service is not kept from it.
    """

    cpu: float = 0.0
    memory_mb: float = 0.0
    is_idle: bool = True

    def add_worker(self, worker: Worker) -> None:
        """Adds the room of a worker."""
        capacity, free = worker.entry.capacity, worker.free
        self.cpu += free.cpu - capacity.cpu * URGENT_RESERVE
        self.memory_mb += free.memory_mb - capacity.memory_mb * URGENT_RESERVE
        self.is_idle = self.is_idle and not worker.run_by_key

    def allows(self, need: Resources) -> bool:
        """Returns whether tasks that are not urgent may use resources."""
        return self.is_idle or (
            need.cpu <= self.cpu + EPSILON
            and need.memory_mb <= self.memory_mb + EPSILON
        )

    def consume(self, need: Resources) -> None:
        """Deducts what tasks that are not urgent use."""
        self.cpu -= need.cpu
        self.memory_mb -= need.memory_mb
        self.is_idle = False


@dataclass
class DecisionRound:
    """State shared by the placements of one round of decisions.

    Attributes:
        now: Monotonic time in seconds.
        available_workers: Workers that accept new tasks.
        nonurgent_by_service: Room of each service for tasks that are not urgent.
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
    nonurgent_by_service: dict[str, NonurgentRoom]
    advice: AdviceCapacity
    order: StageOrder
    reserved_vms: set[VmId] = field(default_factory=set)
    reserving_gangs: int = 0
    sound_services: frozenset[str] = frozenset()
    capped_stages: set[str] = field(default_factory=set)

    def may_use(self, stage: Stage, need: Resources) -> bool:
        """Returns whether a step may use resources beside the urgent reserve."""
        if is_urgent(stage):
            return True
        usable = self.nonurgent_by_service.get(service_of(stage))
        return usable is not None and usable.allows(need)

    def consume(self, stage: Stage, need: Resources) -> None:
        """Deducts resources that a step uses; those of urgent steps are not limited."""
        if not is_urgent(stage):
            self.nonurgent_by_service[service_of(stage)].consume(need)


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


def nonurgent_by_service(workers: list[Worker]) -> dict[str, NonurgentRoom]:
    """Returns the room of each service for tasks that are not urgent."""
    room_by_service: dict[str, NonurgentRoom] = {}
    for worker in workers:
        room = room_by_service.setdefault(worker.entry.service, NonurgentRoom())
        room.add_worker(worker)
    return room_by_service
