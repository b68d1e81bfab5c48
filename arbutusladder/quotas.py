"""Fair-share accounting and queues.

Tracks usage by team against quotas and by class against reserved shares and ceilings,
and orders waiting jobs by the dominant share of their team.
"""

import math
from dataclasses import dataclass, field
from itertools import islice

from sortedcontainers import SortedDict, SortedList

from arbutusladder.declarations import Preset, Team
from arbutusladder.fleet import Pool, shape_of
from arbutusladder.ids import TeamName
from arbutusladder.messages import Resources
from arbutusladder.resources import EPSILON, add, fits, subtract
from arbutusladder.states import Reason, Urgency
from arbutusladder.teamshares import TeamUsage, exceeds_limit, weighted_share

# Dominant shares are rounded down to multiples of this fraction. Teams with equal
# rounded shares are ordered by task size or arrival.
SHARE_STEP = 0.01
# Aging steps after which batch jobs compete with normal jobs.
AGING_STEPS = 4


class TeamShares(TeamUsage):
    """Usage of each team relative to its quota.

    A quota of zero means no limit for that resource; the share is then relative to
    the whole fleet. An undeclared team has no limits.
    """

    def __init__(self, teams_by_name: dict[TeamName, Team]):
        super().__init__()
        self.teams_by_name = teams_by_name

    def share(self, team: TeamName, total: Resources) -> float:
        """Returns the dominant share of a team divided by its weight."""
        used = self.used_by_team.get(team)
        if used is None:
            return 0.0
        declared = self.teams_by_name.get(team)
        if declared is None:
            return weighted_share(used, total, 1.0)
        quota = declared.quota
        whole = Resources(
            quota.cpu or total.cpu,
            quota.memory_mb or total.memory_mb,
            quota.accelerators or total.accelerators,
        )
        return weighted_share(used, whole, declared.weight)

    def exceeds(self, team: TeamName, need: Resources, empty: bool = False) -> bool:
        """Returns whether a need would exceed the quota of a team.

        Args:
            empty: Whether to ignore the current usage of the team.
        """
        declared = self.teams_by_name.get(team)
        if declared is None:
            return False
        used = Resources() if empty else self.used(team)
        return exceeds_limit(used, need, declared.quota)


class ClassShares:
    """Usage of each class and pool relative to reserved shares and ceilings."""

    def __init__(self, preset: Preset):
        self._used: dict[tuple[Urgency, bool], Resources] = {}
        self.use_preset(preset)

    def use_preset(self, preset: Preset) -> None:
        """Applies the reserved shares and ceilings of a preset."""
        self._policy_by_class = {u: getattr(preset, u.value) for u in Urgency}
        policies = self._policy_by_class.items()
        self._reserved = [(u, p.reserved) for u, p in policies if p.reserved]

    def adjust(self, urgency: Urgency, pool: Pool, amount: Resources) -> None:
        """Adds an amount, which may be negative, to the usage of a class."""
        key = (urgency, pool.accelerated)
        self._used[key] = add(self.used(urgency, pool), amount)

    def used(self, urgency: Urgency, pool: Pool) -> Resources:
        """Returns the usage of a class in a pool."""
        return self._used.get((urgency, pool.accelerated)) or Resources()

    def blocking_reason(
        self,
        urgency: Urgency,
        need: Resources,
        pool: Pool,
        aged: bool = False,
        held_free: Resources | None = None,
    ) -> Reason | None:
        """Returns why a class may not use more resources now, or None if it may.

        Args:
            aged: Whether the job competes with normal jobs and may use the share
                reserved for them.
            held_free: Free resources of the workers that are reserved for the job.
        """
        ceiling = self._policy_by_class[urgency].ceiling
        if ceiling < 1.0:
            used = add(self.used(urgency, pool), need)
            if not fits(used, _scaled(pool.total, ceiling)):
                return Reason.CLASS_CEILING
        left = subtract(pool.free, need)
        if held_free:
            left = add(left, held_free)
        for other, reserved in self._reserved:
            if other is urgency or (aged and other is Urgency.NORMAL):
                continue
            left = subtract(left, self._unused(other, reserved, pool))
        if fits(Resources(), left):
            return None
        return Reason.NO_CAPACITY

    def max_fraction(self, urgency: Urgency) -> float:
        """Returns the largest fraction of the fleet that a class may use."""
        others = (
            reserved for other, reserved in self._reserved if other is not urgency
        )
        return min(self._policy_by_class[urgency].ceiling, 1.0 - sum(others))

    def _unused(self, urgency: Urgency, reserved: float, pool: Pool) -> Resources:
        """Returns the unused part of the reserved share of a class."""
        total, used = pool.total, self.used(urgency, pool)
        return Resources(
            max(0.0, total.cpu * reserved - used.cpu),
            max(0.0, total.memory_mb * reserved - used.memory_mb),
            max(0.0, total.accelerators * reserved - used.accelerators),
        )

    def keeps_reserve(self, urgency: Urgency, pool: Pool, amount: Resources) -> bool:
        """Returns whether a class keeps its reserved cores after losing an amount."""
        reserved = self._policy_by_class[urgency].reserved * pool.total.cpu
        left = self.used(urgency, pool).cpu - amount.cpu
        return reserved <= 0 or left >= reserved - EPSILON


def _scaled(total: Resources, fraction: float) -> Resources:
    return Resources(
        total.cpu * fraction,
        total.memory_mb * fraction,
        total.accelerators * fraction,
    )


@dataclass(slots=True, eq=False)
class ShapeQueue:
    """Waiting jobs of one urgency class whose tasks have the same shape.

    Attributes:
        key: Shape and urgency class.
        need: Resources of one task.
        size: Largest fraction of any resource of the pool that a task takes.
        teams: Teams in scheduling order.
        blocked_at_version: Fleet version at which no job could start.
        blocked_by: Why no job could start.
        class_full: Whether the class has no capacity left, whatever is free on
            individual workers.
        exclusive_at_version: Fleet version at which all other queues of the level
            wait for capacity for this one.
        preempted_at: Time of the last preemption attempt without result.
    """

    key: tuple
    need: Resources
    urgency: Urgency
    size: float
    teams: SortedList = field(default_factory=SortedList)
    key_by_team: dict[TeamName, tuple] = field(default_factory=dict)
    jobs_by_team: dict[TeamName, SortedDict] = field(default_factory=dict)
    blocked_at_version: int = -1
    blocked_by: Reason | None = None
    class_full: bool = False
    exclusive_at_version: int = -1
    preempted_at: float = -1.0

    def head(self):
        """Returns the next job, or None."""
        if not self.teams:
            return None
        return self.jobs_by_team[self.teams[0][1]].peekitem(0)[1]

    def first_jobs(self, count: int) -> list:
        """Returns the first jobs in scheduling order, team by team."""
        found = []
        for _, team in self.teams:
            jobs = self.jobs_by_team[team].values()
            found.extend(islice(jobs, count - len(found)))
            if len(found) >= count:
                break
        return found

    def count_waiting(self, enough: int) -> int:
        """Returns the number of waiting tasks; counting ends once there are enough."""
        tasks = 0
        for jobs in self.jobs_by_team.values():
            for job in jobs.values():
                tasks += job.waiting
                if tasks >= enough:
                    return tasks
        return tasks


class FairQueue:
    """Waiting jobs of one level, by task shape and then by dominant share of the team.

    A shape queue without a startable job is skipped as a whole, so the cost of a
    scheduling round grows with the number of shapes and not of jobs.

    Args:
        share: Function that returns the dominant share of a team.
        large_first: Whether large tasks precede small ones at equal shares, so that
            small ones fill the gaps between large ones.
    """

    def __init__(self, share, large_first: bool = False):
        self.shape_queues: dict[tuple, ShapeQueue] = {}
        self._share = share
        self._large_first = large_first
        self._keys_by_team: dict[TeamName, set[tuple]] = {}
        # Dominant share of each team in units of SHARE_STEP.
        self._bucket_by_team: dict[TeamName, int] = {}
        # Teams that are skipped in at least one shape queue.
        self._skipped_teams: set[TeamName] = set()

    def add(self, job, need: Resources, size: float) -> tuple:
        """Adds a job to the queue for its task shape; returns the key of that queue."""
        key = (shape_of(need), job.spec.urgency)
        shape_queue = self.shape_queues.get(key)
        if shape_queue is None:
            shape_queue = self.shape_queues[key] = ShapeQueue(
                key, need, job.spec.urgency, size
            )
        team = job.spec.team
        jobs = shape_queue.jobs_by_team.get(team)
        if jobs is None:
            jobs = shape_queue.jobs_by_team[team] = SortedDict()
            self._keys_by_team.setdefault(team, set()).add(key)
        jobs[job.sequence] = job
        if team not in self._bucket_by_team:
            self._bucket_by_team[team] = int(self._share(team) / SHARE_STEP)
        shape_queue.blocked_at_version = -1
        self._reposition_team(shape_queue, team)
        return key

    def remove(self, job, key: tuple) -> None:
        """Removes a job from the shape queue with a key."""
        shape_queue = self.shape_queues[key]
        team = job.spec.team
        jobs = shape_queue.jobs_by_team[team]
        del jobs[job.sequence]
        if jobs:
            self._reposition_team(shape_queue, team)
            return
        self._remove_team(shape_queue, team)
        del shape_queue.jobs_by_team[team]
        self._keys_by_team[team].discard(key)
        if not self._keys_by_team[team]:
            del self._keys_by_team[team]
            del self._bucket_by_team[team]
            self._skipped_teams.discard(team)
        if not shape_queue.jobs_by_team:
            del self.shape_queues[key]

    def team_changed(self, team: TeamName) -> None:
        """Reorders the queues after the usage of a team changed."""
        bucket = int(self._share(team) / SHARE_STEP)
        if self._bucket_by_team.get(team) == bucket and team not in self._skipped_teams:
            return
        self._bucket_by_team[team] = bucket
        self._skipped_teams.discard(team)
        for key in self._keys_by_team.get(team, ()):
            self._reposition_team(self.shape_queues[key], team)

    def skip_team(self, shape_queue: ShapeQueue, team: TeamName) -> None:
        """Skips a team in a shape queue until its usage changes."""
        self._skipped_teams.add(team)
        self._remove_team(shape_queue, team)

    def _remove_team(self, shape_queue: ShapeQueue, team: TeamName) -> None:
        key = shape_queue.key_by_team.pop(team, None)
        if key is not None:
            shape_queue.teams.remove((key, team))

    def _reposition_team(self, shape_queue: ShapeQueue, team: TeamName) -> None:
        head = shape_queue.jobs_by_team[team].peekitem(0)[1]
        aged = head.aged_steps / AGING_STEPS
        share = self._bucket_by_team[team] * (1 - aged) - aged
        key = (share, -shape_queue.size if self._large_first else 0.0, head.sequence)
        if shape_queue.key_by_team.get(team) == key:
            return
        self._remove_team(shape_queue, team)
        shape_queue.key_by_team[team] = key
        shape_queue.teams.add((key, team))


class DrainRate:
    """Rate of task starts per second: the lower one of the last two windows.

    Taking the lower rate ignores a single burst, such as one into an empty fleet,
    which does not predict the rate of a full fleet.
    """

    WINDOW_S = 1.0

    def __init__(self):
        self._since: float | None = None
        self._count = 0
        self._rate = self._last_rate = 0.0

    def started(self, now: float) -> None:
        """Counts one start."""
        self._roll(now)
        self._count += 1

    def seconds_for(self, jobs: int, now: float) -> float:
        """Returns the seconds in which a number of tasks starts; may be infinite."""
        self._roll(now)
        if not jobs:
            return 0.0
        return jobs / self._rate if self._rate > 0 else math.inf

    def _roll(self, now: float) -> None:
        if self._since is None:
            self._since = now
        elapsed = now - self._since
        if elapsed < self.WINDOW_S:
            return
        rate = self._count / elapsed
        self._rate, self._last_rate = min(rate, self._last_rate), rate
        self._since, self._count = now, 0
