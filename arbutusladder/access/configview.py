"""Which version of the configuration is in force in this process.

`ConfigView` is the only owner of this fact. All times are monotonic seconds that also
pass during suspensions of the VM.
"""

import math
from enum import Enum
from typing import Generic, Protocol, TypeVar

from arbutusladder.access.callers import KeyTable
from arbutusladder.cell.interfaces import TeamLimits
from arbutusladder.ids import TeamName
from arbutusladder.messages import Resources, TeamTerms

# Seconds of the time limit for a change that are left for the response to a call.
RESPONSE_MARGIN_S = 0.25
# Shortest time in seconds for which a proof counts.
MIN_VALIDITY_S = 0.5


class ViewState(Enum):
    """Whether the newest version that is known is the one in force.

    ``APPLYING`` means that another entry VM has announced a newer version, and
    ``UNKNOWN`` that the newest proof is too old, so a newer version may be in force.
    """

    IN_FORCE = "in_force"
    APPLYING = "applying"
    UNKNOWN = "unknown"


class VersionedConfig(Protocol):
    """What the view needs of a version of the configuration.

    Attributes:
        version: Number of the version, which increases with each change.
        keys: Keys of the teams; None for a configuration without teams.
        terms_by_team: Terms of each team.
    """

    version: int
    keys: KeyTable | None
    terms_by_team: dict[TeamName, TeamTerms]


Config = TypeVar("Config", bound=VersionedConfig)


class ConfigView(Generic[Config]):
    """The newest version of the configuration and the proof that it is the newest.

    Args:
        apply_limit_s: Seconds after the log has acknowledged a change within which it
            has to be in force.

    Attributes:
        config: The newest version read; None before the first.
        validity_s: Seconds for which a proof counts.
    """

    def __init__(self, apply_limit_s: float):
        self._apply_limit_s = apply_limit_s
        self.config: Config | None = None
        self.validity_s = max(MIN_VALIDITY_S, apply_limit_s - RESPONSE_MARGIN_S)
        self._proven_at = -math.inf
        self._announced_version = 0
        self._announced_at: float | None = None
        # Earlier versions and the times until which they may be in force elsewhere.
        self._superseded: list[tuple[Config, float]] = []
        self._limits: TeamLimits | None = None

    @property
    def version(self) -> int:
        """The newest version read; 0 before the first."""
        return self.config.version if self.config else 0

    @property
    def has_teams(self) -> bool:
        """Whether the newest version read has teams."""
        return self.config is not None and self.config.keys is not None

    def apply(self, config: Config, now: float) -> bool:
        """Applies a version that was read; an older one than the newest is ignored.

        Returns:
            Whether it is the newest.
        """
        if self.config is not None:
            if config.version <= self.config.version:
                return False
            self._superseded = [row for row in self._superseded if row[1] > now]
            self._superseded.append((self.config, now + self._apply_limit_s))
        self.config = config
        self._limits = None
        return True

    def prove(self, sent_at: float) -> None:
        """Records that no other version than the ones applied was stored at a time.

        This also settles an announcement before that time: a version that was stored
        then, but not applied, cannot be read.

        Args:
            sent_at: Time at which the read was sent that has reached the end.
        """
        self._proven_at = max(self._proven_at, sent_at)
        if self._announced_at is not None and sent_at >= self._announced_at:
            self._announced_at = None

    def announce(self, version: int, now: float) -> bool:
        """Records that another entry VM has read a version.

        Returns:
            Whether the version is newer than the newest one known here.
        """
        if version <= max(self.version, self._announced_version):
            return False
        self._announced_version, self._announced_at = version, now
        return True

    @property
    def is_newer_announced(self) -> bool:
        """Whether a version has been announced that may still have to be read."""
        is_unread = self._announced_version > self.version
        return is_unread and self._announced_at is not None

    def proof_age_s(self, now: float) -> float:
        """Returns the age of the newest proof in seconds; infinite without one."""
        return now - self._proven_at

    def state(self, now: float) -> ViewState:
        """Returns whether the newest version read is in force."""
        if self.proof_age_s(now) > self.validity_s:
            return ViewState.UNKNOWN
        return ViewState.APPLYING if self.is_newer_announced else ViewState.IN_FORCE

    def may_serve(self, now: float) -> bool:
        """Returns whether calls may be decided by the newest version read.

        Without teams a version counts until the next one is read.
        """
        if self.config is None:
            return False
        return not self.has_teams or self.state(now) is ViewState.IN_FORCE

    def team_limits(self, now: float) -> TeamLimits:
        """Returns the terms of the teams by the versions that may be in force.

        The result is the same object until it changes.
        """
        kept = [row for row in self._superseded if row[1] > now]
        if self._limits is None or len(kept) < len(self._superseded):
            self._superseded = kept
            self._limits = self._merge_limits()
        return self._limits

    def _merge_limits(self) -> TeamLimits:
        versions = [config for config, _ in self._superseded]
        if self.config is not None:
            versions.append(self.config)
        terms_by_name: dict[TeamName, TeamTerms] = {}
        for config in versions:
            for name, terms in config.terms_by_team.items():
                earlier = terms_by_name.get(name, terms)
                cap = lowest_cap(earlier.cap, terms.cap)
                terms_by_name[name] = TeamTerms(name, terms.weight, cap)
        return TeamLimits(terms_by_name)


def lowest_cap(first: Resources, second: Resources) -> Resources:
    """Returns the lower limit of each resource, where 0 stands for no limit."""
    return Resources(
        _lower_limit(first.cpu, second.cpu),
        _lower_limit(first.memory_mb, second.memory_mb),
        _lower_limit(first.accelerators, second.accelerators),
    )


def _lower_limit(first: float, second: float) -> float:
    return min(first, second) if first and second else first or second
