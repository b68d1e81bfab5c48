"""Bound on the wait of steps whose jobs are too late to earn credit.

Such steps yield to work that can be in time, which may arrive without end. Steps that
have been too late for long get a turn to come first, the oldest first, on a small part
of the cell.
"""

from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass

from arbutusladder.cell.stages import Stage
from arbutusladder.cell.steppriority import too_late_at
from arbutusladder.cell.teamusage.ledger import TeamLedger

# Seconds for which a step that is too late yields to others: five times the longest
# usual surge, whose backlog is gone by then.
MAX_TOO_LATE_WAIT_S = 30.0
# Share of the cores that steps with a turn may use, or one step that takes more. Their
# jobs earn nothing, and in a lasting overload they would make all others late.
OVERDUE_SHARE = 0.05
# Seconds after which a step without a run loses its turn to the next one: a gang may
# fit nowhere. It has then reserved workers for one period, see `Placer`.
TURN_S = 15.0


@dataclass(frozen=True)
class _Turn:
    """Turn of a step since a monotonic time in seconds."""

    stage: Stage
    since: float


class OverdueSteps:
    """Selects the overdue steps that come before all others."""

    def __init__(self):
        self._turn_by_key: dict[str, _Turn] = {}
        self._turns_lost: Counter[str] = Counter()

    def select(
        self, waiting: list[Stage], ledger: TeamLedger, cpu: float, now: float
    ) -> Collection[str]:
        """Returns the keys of the steps that have a turn.

        Args:
            waiting: Steps that are ready to start.
            ledger: Charges and caps of the teams; steps that wait for a cap get no
                turn.
            cpu: Cores of the workers that accept tasks.
            now: Monotonic time in seconds.
        """
        self._end_turns(ledger, now)
        overdue = [
            stage
            for stage in waiting
            if now - too_late_at(stage.job, stage.step) > MAX_TOO_LATE_WAIT_S
            and stage.key not in self._turn_by_key
            and ledger.may_start(stage)
        ]
        if not overdue:
            return self._turn_by_key
        lost = Counter({stage.key: self._turns_lost[stage.key] for stage in overdue})
        self._turns_lost = lost
        overdue.sort(key=lambda s: (lost[s.key], too_late_at(s.job, s.step), s.key))
        used = sum(_unfinished_cpu(row.stage) for row in self._turn_by_key.values())
        for stage in overdue:
            used += _unfinished_cpu(stage)
            if self._turn_by_key and used > cpu * OVERDUE_SHARE:
                break
            self._turn_by_key[stage.key] = _Turn(stage, now)
        return self._turn_by_key

    def _end_turns(self, ledger: TeamLedger, now: float) -> None:
        for key, turn in list(self._turn_by_key.items()):
            stage = turn.stage
            ended = stage.done or stage.job.phase.is_final
            idle = not stage.active_runs
            if idle and now - turn.since > TURN_S:
                self._turns_lost[key] += 1
                ended = True
            if ended or (idle and not ledger.may_start(stage)):
                del self._turn_by_key[key]


def _unfinished_cpu(stage: Stage) -> float:
    return stage.spec.need.cpu * sum(not task.done for task in stage.tasks)
