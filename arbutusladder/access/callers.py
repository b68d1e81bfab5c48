"""Decides for which team a caller acts, and which jobs it may use.

All functions are pure. Keys are kept as digests only, so that no log line, error or
trace can contain one.
"""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TypeAlias

from arbutusladder.ids import TeamName


@dataclass(frozen=True)
class Unrestricted:
    """A caller under a configuration without teams."""


@dataclass(frozen=True)
class PublicCaller:
    """A caller of a queue that needs no key."""


@dataclass(frozen=True)
class TeamCaller:
    """A caller with a key of a team."""

    team: TeamName


@dataclass(frozen=True)
class UnknownCaller:
    """A caller without a key that the configuration knows."""


Caller: TypeAlias = Unrestricted | PublicCaller | TeamCaller | UnknownCaller


@dataclass(frozen=True)
class KeyTable:
    """The keys of all teams of one version of the configuration."""

    _team_by_digest: dict[bytes, TeamName] = field(default_factory=dict, repr=False)

    @classmethod
    def from_teams(
        cls, keys_by_team: Iterable[tuple[TeamName, Iterable[bytes]]]
    ) -> "KeyTable":
        """Returns the table of teams and their keys.

        An empty key belongs to nobody. A key of several teams belongs to the first.
        """
        team_by_digest: dict[bytes, TeamName] = {}
        for team, keys in keys_by_team:
            for key in filter(None, keys):
                team_by_digest.setdefault(_digest(key), team)
        return cls(team_by_digest)

    def find_team(self, key: bytes) -> TeamName | None:
        """Returns the team of a key, or None for an unknown key."""
        return self._team_by_digest.get(_digest(key))


def _digest(key: bytes) -> bytes:
    return hashlib.sha256(key).digest()


def identify_caller(keys: KeyTable | None, key: bytes, is_public: bool) -> Caller:
    """Returns the caller of a request.

    Args:
        keys: Keys of the configuration in force; None if it has no teams.
        key: Key of the request; empty without one.
        is_public: Whether the queue of the request needs no key. A key is then ignored.
    """
    if keys is None:
        return Unrestricted()
    if is_public:
        return PublicCaller()
    team = keys.find_team(key)
    return UnknownCaller() if team is None else TeamCaller(team)


def team_of_new_job(caller: Caller) -> TeamName:
    """Returns the team to which a job of a caller belongs; empty for none."""
    match caller:
        case TeamCaller(team):
            return team
        case _:
            return TeamName("")


def may_use_job(caller: Caller, team: TeamName, is_in_queue: bool) -> bool:
    """Returns whether a caller may see, repeat and cancel a job.

    Args:
        caller: The caller.
        team: Team of the job; empty for a job without one.
        is_in_queue: Whether the job is known to be one of the queue of the request.
    """
    match caller:
        case Unrestricted():
            return True
        case TeamCaller(own_team):
            return team in {own_team, ""}
        case PublicCaller():
            return is_in_queue or not team
        case UnknownCaller():
            return False
