"""Order in which a round of decisions places the waiting steps."""

import heapq
from collections.abc import Collection
from enum import IntEnum

from arbutusladder.cell.stages import Stage
from arbutusladder.cell.steppriority import is_urgent, priority_key
from arbutusladder.cell.teamusage.fairness import FairShares


class Rank(IntEnum):
    """Precedence of a step by its team, best first.

    ``OVERDUE`` steps have been too late for long, see `arbutusladder.cell.overdue`.
    """

    OVERDUE = 0
    WITHIN_SHARE = 1
    OVER_SHARE = 2


class StageOrder:
    """Waiting steps by rank, and then by priority, while the usage of teams grows.

    A rank is computed again when its step comes first, so that a start costs nothing
    for the other steps of the team.

    Args:
        stages: Steps that are ready to start.
        now: Monotonic time in seconds.
        shares: Fair shares of the teams; None without teams.
        overdue: Keys of the overdue steps.
    """

    def __init__(
        self,
        stages: list[Stage],
        now: float,
        shares: FairShares | None = None,
        overdue: Collection[str] = (),
    ):
        self._shares = shares
        self._overdue = overdue
        self._heap = [
            (self._rank(stage), priority_key(stage, now), stage) for stage in stages
        ]
        heapq.heapify(self._heap)
        self._current = (Rank.WITHIN_SHARE, ())
        self._popped: Stage | None = None

    def pop(self) -> Stage | None:
        """Removes and returns the first step; None if none is left.

        The step popped before may have been started or planned, which counts as used.
        """
        if self._shares and self._popped:
            self._shares.refresh(self._popped.job.team)
        while self._heap:
            rank, key, stage = self._heap[0]
            newest = self._rank(stage)
            if newest <= rank:
                heapq.heappop(self._heap)
                self._current, self._popped = (rank, key), stage
                return stage
            heapq.heapreplace(self._heap, (newest, key, stage))
        return None

    def is_overtaken(self, stage: Stage) -> bool:
        """Returns whether the step popped last has lost rank by its starts."""
        if self._shares is None:
            return False
        self._shares.refresh(stage.job.team)
        return self._rank(stage) > self._current[0]

    def push_back(self, stage: Stage) -> None:
        """Adds the step popped last again, with its new rank."""
        heapq.heappush(self._heap, (self._rank(stage), self._current[1], stage))

    def _rank(self, stage: Stage) -> Rank:
        if stage.key in self._overdue:
            return Rank.OVERDUE
        if self._shares and self._shares.is_over(stage.job.team, is_urgent(stage)):
            return Rank.OVER_SHARE
        return Rank.WITHIN_SHARE
