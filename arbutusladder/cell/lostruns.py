"""Runs that counted as ended although their worker has not reported an end.

A worker that lists such a run later shows that the owner was wrong, or that an order
was executed after it could be. The event log then tells why the run counted as ended.
"""

from dataclasses import dataclass, field

from arbutusladder.cell.runs import Run, RunKey
from arbutusladder.ids import VmId

# Runs that are remembered; the oldest are dropped first.
MAX_LOST_RUNS = 2000
# Runs that one event names.
MAX_NAMED_RUNS = 10


@dataclass(frozen=True, slots=True)
class LostRun:
    """Why a run counted as ended.

    Attributes:
        cause: Cause, as in the event log.
        born: Incarnation of the worker that was known then.
        lost_at: Monotonic time in seconds.
        unanswered: Whether an order to start it had no answer.
    """

    cause: str
    born: int
    lost_at: float
    unanswered: bool


@dataclass
class LostRuns:
    """The newest of these runs."""

    _lost_by_run: dict[tuple[VmId, RunKey], LostRun] = field(default_factory=dict)

    def add(self, run: Run, cause: str, born: int, now: float) -> None:
        """Adds a run.

        Args:
            run: The run.
            cause: Why it counts as ended.
            born: Newest known incarnation of its worker.
            now: Monotonic time in seconds.
        """
        if len(self._lost_by_run) >= MAX_LOST_RUNS:
            del self._lost_by_run[next(iter(self._lost_by_run))]
        self._lost_by_run[run.vm, run.key] = LostRun(cause, born, now, run.in_doubt)

    def take(self, vm: VmId, key: RunKey) -> LostRun | None:
        """Removes and returns a run that its worker has listed after all."""
        return self._lost_by_run.pop((vm, key), None)


def describe_runs(runs: list[Run], now: float) -> str:
    """Returns task, number, phase and age of the last order of some runs.

    Args:
        runs: The runs; only the first few are described.
        now: Monotonic time in seconds.
    """
    parts = []
    for run in runs[:MAX_NAMED_RUNS]:
        doubt = "?" if run.in_doubt else ""
        age = "" if run.ordered_at is None else f",{now - run.ordered_at:.3f}s"
        parts.append(f"{run.task}:{run.number}({run.phase.value}{doubt}{age})")
    return " ".join(parts)
