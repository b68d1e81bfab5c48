"""Resources in use by each team, compared with limits and with those of others.

Both schedulers use it: that of the native interface (`arbutusladder.quotas`) and that
of the cell (`arbutusladder.cell.teamusage`).
"""

from typing import Protocol

from arbutusladder.ids import TeamName
from arbutusladder.messages import Resources
from arbutusladder.resources import EPSILON, add


class Limit(Protocol):
    """Limit of each resource, where 0 means no limit."""

    cpu: float
    memory_mb: float
    accelerators: int


class TeamUsage:
    """Resources in use by each team."""

    def __init__(self):
        self.used_by_team: dict[TeamName, Resources] = {}

    def adjust(self, team: TeamName, amount: Resources) -> None:
        """Adds an amount, which may be negative, to the usage of a team."""
        used = self.used_by_team.get(team)
        self.used_by_team[team] = add(used, amount) if used else amount

    def used(self, team: TeamName) -> Resources:
        """Returns the usage of a team."""
        return self.used_by_team.get(team) or Resources()


def exceeds_limit(used: Resources, need: Resources, limit: Limit) -> bool:
    """Returns whether a need on top of a usage exceeds a limit."""
    return (
        _exceeds(used.cpu + need.cpu, limit.cpu)
        or _exceeds(used.memory_mb + need.memory_mb, limit.memory_mb)
        or _exceeds(used.accelerators + need.accelerators, limit.accelerators)
    )


def weighted_share(used: Resources, whole: Resources, weight: float) -> float:
    """Returns the dominant share of a usage divided by a weight.

    Resources of which there are none do not count.
    """
    shares = (
        used.cpu / whole.cpu if whole.cpu > 0 else 0.0,
        used.memory_mb / whole.memory_mb if whole.memory_mb > 0 else 0.0,
        used.accelerators / whole.accelerators if whole.accelerators > 0 else 0.0,
    )
    return max(0.0, *shares) / weight


def _exceeds(amount: float, limit: float) -> bool:
    return limit > 0 and amount > limit + EPSILON
