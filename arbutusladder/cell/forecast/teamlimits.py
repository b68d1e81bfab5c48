"""Caps and shares that the teams want to exceed."""

import math
from typing import NamedTuple

from arbutusladder.cell.forecast.cellload import ServiceLoad, added, dominant_share
from arbutusladder.cell.forecast.drain import NOTHING, Amounts
from arbutusladder.ids import TeamName
from arbutusladder.messages import TeamTerms

UNLIMITED: Amounts = (math.inf, math.inf, math.inf)


class TeamLimit(NamedTuple):
    """Limits of a team that wants more than one of them.

    Attributes:
        cap: Resources that it may have running.
        share: Resources that it gets while others wait; infinite if none do.
        demand: Share of the cell that it uses and waits for.
    """

    cap: Amounts
    share: Amounts
    demand: float


def exceeded_limits(
    load: ServiceLoad, terms_by_team: dict[TeamName, TeamTerms]
) -> dict[TeamName, TeamLimit]:
    """Returns the limits of the teams whose running and waiting work exceeds them.

    Shares are those that teams would have if all with demand ran in proportion to their
    weights. They count only while the demand of all exceeds the workers.

    Args:
        load: Load of the service.
        terms_by_team: Weights and caps of the teams.
    """
    demand_by_team = {}
    for team in terms_by_team:
        used = load.used_by_team.get(team, NOTHING)
        wanted = added(used, load.waiting_amounts(team))
        if any(wanted):
            demand_by_team[team] = wanted
    total_weight = sum(terms_by_team[team].weight for team in demand_by_team)
    total = NOTHING
    for wanted in demand_by_team.values():
        total = added(total, wanted)
    is_contended = total_weight > 0 and dominant_share(total, load.capacity) > 1.0
    limits = {}
    for team, wanted in demand_by_team.items():
        share = UNLIMITED
        if is_contended:
            fraction = terms_by_team[team].weight / total_weight
            share = tuple(fraction * amount for amount in load.capacity)
        cap = _cap(terms_by_team[team])
        if _exceeds(wanted, cap) or _exceeds(wanted, share):
            demand = dominant_share(wanted, load.capacity)
            limits[team] = TeamLimit(cap, share, demand)
    return limits


def _exceeds(wanted: Amounts, limit: Amounts) -> bool:
    return any(part > whole for part, whole in zip(wanted, limit, strict=True))


def _cap(terms: TeamTerms) -> Amounts:
    """Returns the cap of a team; infinite where it has none."""
    caps = (terms.cap.cpu, terms.cap.memory_mb, float(terms.cap.accelerators))
    return tuple(cap or math.inf for cap in caps)
