"""Teams of the fault soak: keys and caps by version, and what callers see of them."""

import math
import random
import time
from collections import Counter
from dataclasses import dataclass, field

import curio

from tests.platform.soakworkers import MAX_ATTEMPTS, SERVICE

STRETCH, OBJECTIVE_S = 2.0, 0.25
TIMEOUT_MS = 3000
# Time limit of the settings after which an acknowledged change is in force.
APPLY_MS = 3000
# Seconds between two looks whether the store serves again.
POLL_S = 0.05
# Objectives after which a completed job is of no use to its caller.
USEFUL_OBJECTIVES = 3.0
# Path and priority of the queues; the jobs of the public one have no team.
URGENT, USUAL, PUBLIC = ("/urgent/", 0), ("/jobs/", 2), ("/open/", 2)
# Statuses that a caller with an unknown key may get: refused, limited, cannot tell.
UNKNOWN_KEY_STATUSES = {0, 401, 429, 503}
# Statuses after which a job that was never accepted may not run.
REFUSALS = {401, 422, 429, 503}
# Share of requests with the key that a team always has, of jobs of a caller that never
# has a key, and of reads that are preceded by one with the key of another team.
LASTING_KEY_SHARE, STRANGER_SHARE, FOREIGN_SHARE = 0.4, 0.03, 0.15
STRANGER = "stranger"
# Newest changed keys that callers of a team use, and share of keys that come back.
USED_KEYS, RETURNING_SHARE = 4, 0.3
# Shortest and longest time between two changes of keys.
KEY_CHANGE_S = (0.3, 3.5)
# Smallest lowered cap in cores; each task needs one.
SMALLEST_CAP = 3
FLOODING_TEAM, FLOOD_FACTOR = "green", 7.0


@dataclass(frozen=True)
class SoakTeam:
    """A team: its weight, its cap in cores and its share of the jobs."""

    weight: float
    cap: int
    share: float


# Shares leave the rest to the public queue. Each cap holds the usual load of its team.
TEAMS = {
    "red": SoakTeam(1.0, 24, 0.4),
    "blue": SoakTeam(2.0, 16, 0.25),
    FLOODING_TEAM: SoakTeam(1.0, 16, 0.25),
}


@dataclass(frozen=True)
class ConfigVersion:
    """What a stored version says of teams, and the time of its acknowledgement."""

    team_by_key: dict[str, str]
    cap_by_team: dict[str, int]
    acknowledged_at: float


@dataclass
class SoakJob:
    """A job as its caller knows it.

    Attributes:
        statuses: Statuses of the responses to its submissions; 0 without a response.
    """

    team: str
    path: str
    priority: int
    critical_path_s: float
    submitted_at: float = field(default_factory=time.monotonic)
    statuses: set[int] = field(default_factory=set)


class SoakTeams:
    """The teams, as their operator configures them and as their callers use them.

    Args:
        store: Store that holds the configuration.
        checker: Checks that are told what broke.
        teams: Teams by name; without any, the configuration has no teams.
        advice: Times of the advice service as in the configuration; None if no queue
            uses it.

    Attributes:
        versions: All stored versions, in order.
    """

    def __init__(self, store, checker, teams, advice=None):
        self.versions: list[ConfigVersion] = []
        self._store = store
        self._checker = checker
        self._teams = teams
        self._advice = advice
        self._hosts: list[str] = []
        self._cap_by_team = {name: team.cap for name, team in teams.items()}
        self._keys_by_team = {name: [f"{name}-0"] for name in teams}
        self._used_keys_by_team = {name: [f"{name}-0"] for name in teams}

    def store_first(self, hosts):
        """Stores the first version, for these hosts."""
        self._hosts = hosts
        self._store_version()

    async def store(self):
        """Stores a version as soon as the store serves calls."""
        while self._store.unresponsive or self._store.refusal_status:
            await curio.sleep(POLL_S)
        self._store_version()

    def _store_version(self):
        names = [USUAL, URGENT, PUBLIC] if self._teams else [USUAL]
        config = {
            "version": len(self.versions) + 1,
            "routes": [
                {
                    "name": path.strip("/"),
                    "host": host,
                    "path-prefix": path,
                    "timeout-ms": TIMEOUT_MS,
                    "slo-ms": OBJECTIVE_S * 1000,
                    "service": SERVICE,
                    "max-attempts": MAX_ATTEMPTS,
                    "stretch": STRETCH,
                    "priority": priority if self._teams else 0,
                    "public": path == PUBLIC[0],
                    "advice": self._advice,
                }
                for host in self._hosts
                for path, priority in names
            ],
        }
        if self._teams:
            config["tenants"] = [
                {
                    "name": name,
                    "api-keys": self._keys_by_team[name],
                    "weight": team.weight,
                    "cap": {"cpu": self._cap_by_team[name] * 1000},
                }
                for name, team in self._teams.items()
            ]
        self._store.put_record("keyed.op", "config", config)
        team_by_key = {
            key: name for name, keys in self._keys_by_team.items() for key in keys
        }
        version = ConfigVersion(team_by_key, dict(self._cap_by_team), time.monotonic())
        self.versions.append(version)

    def change_key(self, draw):
        """Adds a new or an earlier key to a team, or removes a key of it."""
        team = draw.choice(list(self._teams))
        keys, used = self._keys_by_team[team], self._used_keys_by_team[team]
        removed = [key for key in used if key not in keys]
        if len(keys) > 1 and draw.random() < 0.5:
            keys.remove(draw.choice(keys[1:]))
        elif removed and draw.random() < RETURNING_SHARE:
            keys.append(draw.choice(removed))
        else:
            keys.append(f"{team}-{len(used)}")
            used.append(keys[-1])

    async def lower_cap(self, draw, seconds):
        """Lowers the cap of a team for some time."""
        team = draw.choice(list(self._teams))
        self._cap_by_team[team] = draw.randint(SMALLEST_CAP, self._teams[team].cap // 2)
        await self.store()
        await curio.sleep(seconds)
        self._cap_by_team[team] = self._teams[team].cap
        await self.store()

    def versions_between(self, start, end):
        """Returns the versions of which each was the newest for a part of a time."""
        ends = [version.acknowledged_at for version in self.versions[1:]] + [math.inf]
        return [
            version
            for version, superseded_at in zip(self.versions, ends, strict=True)
            if version.acknowledged_at <= end and superseded_at >= start
        ]

    def highest_cap(self, team, ordered_at):
        """Returns the highest cap that may be in force for an order, in cores."""
        versions = self.versions_between(ordered_at - APPLY_MS / 1000, math.inf)
        return max(version.cap_by_team.get(team, 0) for version in versions)

    def new_job(self, kind_is_urgent, critical_path_s, team=None):
        """Returns a new job of a team, by default of one that is drawn."""
        if not self._teams:
            return SoakJob("", *USUAL, critical_path_s)
        team = self._draw_team() if team is None else team
        queue = (URGENT if kind_is_urgent else USUAL) if team else PUBLIC
        return SoakJob(team, *queue, critical_path_s)

    def _draw_team(self):
        if random.random() < STRANGER_SHARE:
            return STRANGER
        shares = [team.share for team in self._teams.values()]
        names = [*self._teams, ""]
        return random.choices(names, [*shares, 1.0 - sum(shares)])[0]

    def draw_key(self, team):
        """Returns a key of a team, which may not be known yet or any more."""
        if team not in self._teams:
            return team
        used = self._used_keys_by_team[team]
        if random.random() < LASTING_KEY_SHARE:
            return used[0]
        return random.choice(used[-USED_KEYS:])

    def draw_foreign_key(self, team):
        """Returns the lasting key of another team for some reads of a team's job."""
        if team not in self._teams or random.random() >= FOREIGN_SHARE:
            return ""
        others = [name for name in self._teams if name != team]
        return self._keys_by_team[random.choice(others)][0]

    def check_answer(self, key, sent_at, status, place):
        """Checks a response against the versions that may have been in force.

        A version may be in force until the time limit after its successor, whatever
        happens to the entry VM: without a recent proof it refuses to tell.
        """
        if not key:
            return
        versions = self.versions_between(sent_at - APPLY_MS / 1000, time.monotonic())
        is_known = {key in version.team_by_key for version in versions}
        if is_known == {False} and status not in UNKNOWN_KEY_STATUSES:
            self._checker.breaks("KEY", f"{place}: {status} with unknown key {key}")
        if is_known == {True} and status == 401:
            self._checker.breaks("KEY", f"{place}: 401 with known key {key}")
        if status == 409:
            self._checker.breaks("KEY", f"{place}: 409 with key {key}")

    def backlog_s(self, work_s_by_team, cores):
        """Returns how long the caps let work last that is given in core seconds."""
        if not self._teams:
            return 0.0
        all_s = sum(work_s_by_team.values()) / cores
        caps = self._cap_by_team.items()
        return max(all_s, *(work_s_by_team.get(t, 0.0) / cap for t, cap in caps))


def count_outcomes(jobs: dict[str, SoakJob], checker) -> dict[tuple, Counter]:
    """Returns what became of the jobs, by team and priority.

    A job counts as completed once a caller was shown that; the ends at the workers tell
    whether it was in time, since callers look seldom. Of a job without an accepting
    response it counts whether all responses were refusals.
    """
    outcomes: dict[tuple, Counter] = {}
    for job_id, job in jobs.items():
        by_outcome = outcomes.setdefault((job.team, job.priority), Counter())
        by_outcome[_outcome(job_id, job, checker)] += 1
    return dict(sorted(outcomes.items()))


def _outcome(job_id, job, checker):
    if 200 not in job.statuses:
        return "refused" if job.statuses <= REFUSALS else "unanswered"
    state, _ = checker.shown_by_job.get(job_id, ("not ended", 0.0))
    if state != "completed":
        return state
    ended_at = max(
        min(end.ended_at for end in ends)
        for task, ends in checker.done_by_task.items()
        if task.startswith(job_id)
    )
    objective_s = STRETCH * job.critical_path_s + OBJECTIVE_S
    objectives = (ended_at - job.submitted_at) / objective_s
    if objectives <= 1.0:
        return "in time"
    return "late" if objectives <= USEFUL_OBJECTIVES else "too late"
