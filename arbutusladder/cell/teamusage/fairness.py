"""Fair shares of the teams of a cell that is short of room.

A team's share is its largest fraction of the cell's cores, memory and accelerators,
divided by its weight (dominant resource fairness).
"""

import math

from arbutusladder.cell.stages import Stage
from arbutusladder.cell.teamusage.ledger import TeamLedger
from arbutusladder.ids import TeamName
from arbutusladder.messages import Resources
from arbutusladder.resources import EPSILON
from arbutusladder.teamshares import weighted_share

# Share of the cell from which on demand counts as more than fits. Some cores are
# reserved for urgent work, and three tasks of 18 cores fill only 84 % of a worker.
USABLE_SHARE = 0.84


class FairShares:
    """Tells which teams use more than their fair share in one round of decisions.

    Args:
        ledger: Charges of the teams, which grow while the round starts tasks.
        total: Resources of all workers that accept tasks.
        waiting: Steps that are ready to start.
    """

    def __init__(self, ledger: TeamLedger, total: Resources, waiting: list[Stage]):
        self._ledger = ledger
        self._total = total
        demands = ledger.demand_by_team(waiting)
        usable = Resources(
            total.cpu * USABLE_SHARE,
            total.memory_mb * USABLE_SHARE,
            total.accelerators * USABLE_SHARE,
        )
        self._level = fair_level(
            [(demand, ledger.weight(team)) for team, demand in demands.items()], usable
        )
        self._level *= USABLE_SHARE
        self._is_over_by_team: dict[tuple[TeamName, bool], bool] = {}

    def is_over(self, team: TeamName, urgent: bool = False) -> bool:
        """Returns whether a team uses more than its fair share of a cell without room.

        For an urgent step only urgent work of the team counts: a batch that takes the
        team's whole share for seconds would otherwise hold up its urgent jobs behind
        the batches of others. The result is kept until the team's usage is refreshed.
        """
        key = (team, urgent)
        known = self._is_over_by_team.get(key)
        if known is None:
            ledger = self._ledger
            used = ledger.urgent_usage.used(team) if urgent else ledger.charged(team)
            share = weighted_share(used, self._total, ledger.weight(team))
            known = self._is_over_by_team[key] = share > self._level + EPSILON
        return known

    def refresh(self, team: TeamName) -> None:
        """Has the share of a team computed again after a start."""
        self._is_over_by_team.pop((team, False), None)
        self._is_over_by_team.pop((team, True), None)


def fair_level(demands: list[tuple[Resources, float]], total: Resources) -> float:
    """Returns the share by weight at which teams fill a total together.

    Teams that demand less get their demand, so that the others share the rest in
    proportion to their weights.

    Args:
        demands: Demand and weight of each team.
        total: Resources to share.

    Returns:
        The weighted dominant share; infinite if the total meets all demands.
    """
    levels = [math.inf]
    shares = [weighted_share(demand, total, weight) for demand, weight in demands]
    for name in ("cpu", "memory_mb", "accelerators"):
        available = getattr(total, name)
        if available <= 0:
            continue
        parts = [getattr(demand, name) / available for demand, _ in demands]
        levels.append(_level_of(sorted(zip(shares, parts, strict=True))))
    return min(levels)


def _level_of(teams: list[tuple[float, float]]) -> float:
    """Returns the level at which the parts of one resource sum up to all of it.

    Args:
        teams: For each team the level that meets its demand, in ascending order, and
            the part of the resource that it then uses. Below this level the part is
            proportional to the level.
    """
    met = 0.0
    slope = sum(part / level for level, part in teams if level > 0)
    for level, part in teams:
        if level <= 0:
            continue
        if met + slope * level > 1.0 + EPSILON:
            return (1.0 - met) / slope
        met += part
        slope -= part / level
    return math.inf
