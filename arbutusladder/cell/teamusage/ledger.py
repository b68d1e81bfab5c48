"""Resources charged to each team for what it may have running."""

from collections.abc import Iterable

from arbutusladder.cell.celljobs import Job
from arbutusladder.cell.interfaces import TeamLimits
from arbutusladder.cell.runs import Run
from arbutusladder.cell.stages import Stage
from arbutusladder.cell.teamusage.caps import smallest_start
from arbutusladder.ids import TeamName
from arbutusladder.messages import Resources
from arbutusladder.resources import add, scale, subtract
from arbutusladder.teamshares import TeamUsage, exceeds_limit


class TeamLedger(TeamUsage):
    """Charges by team for runs and planned gangs, compared with the caps.

    Jobs without a team are charged to the empty name, which has no cap.

    A run is charged from its creation, before its order is sent, to its proven end.
    While workers have not reported after a takeover, tasks that they may run are
    charged as well.

    Attributes:
        limits: Shares and caps of the teams, which the owner refreshes each round.
        urgent_usage: The part of the charges for runs of urgent queues.
    """

    def __init__(self):
        super().__init__()
        self.limits = TeamLimits()
        self.urgent_usage = TeamUsage()
        self._inherited_by_team: dict[TeamName, Resources] = {}

    @property
    def has_teams(self) -> bool:
        """Whether the configuration has teams."""
        return bool(self.limits.terms_by_name)

    def charge(self, run: Run) -> None:
        """Charges a new run to its team."""
        self._adjust_for(run, run.charge)

    def release(self, run: Run) -> None:
        """Releases the charge of a run that has ended."""
        self._adjust_for(run, subtract(Resources(), run.charge))

    def _adjust_for(self, run: Run, amount: Resources) -> None:
        self.adjust(run.team, amount)
        if run.urgent:
            self.urgent_usage.adjust(run.team, amount)

    def charge_plan(self, stage: Stage) -> None:
        """Charges the planned starts of a gang."""
        self.adjust(stage.job.team, _plan_charge(stage))

    def release_plan(self, stage: Stage) -> None:
        """Releases the charge of planned starts."""
        self.adjust(stage.job.team, subtract(Resources(), _plan_charge(stage)))

    def set_inherited(self, jobs: Iterable[Job]) -> None:
        """Charges what jobs of a predecessor may run on workers without a report.

        Args:
            jobs: Jobs that such a worker may run. Their tasks with a known run are
                charged by that run.
        """
        self._inherited_by_team = {}
        for job in jobs:
            charged = self._inherited_by_team.get(job.team, Resources())
            self._inherited_by_team[job.team] = add(charged, _waiting_need(job))

    def charged(self, team: TeamName) -> Resources:
        """Returns all that a team may have running, with its planned gangs."""
        used = self.used(team)
        inherited = self._inherited_by_team.get(team)
        return add(used, inherited) if inherited else used

    def weight(self, team: TeamName) -> float:
        """Returns the weight of a team; 1 for one that is not configured."""
        terms = self.limits.terms_by_name.get(team)
        return terms.weight if terms else 1.0

    def demand_by_team(self, waiting: list[Stage]) -> dict[TeamName, Resources]:
        """Returns what each team would use if all ready work ran, up to its cap.

        Args:
            waiting: Steps that are ready to start.
        """
        demands = {team: self.charged(team) for team in self.used_by_team}
        for stage in waiting:
            team = stage.job.team
            need = scale(stage.spec.need, len(stage.waiting_tasks()))
            demands[team] = add(demands.get(team, Resources()), need)
        for team, terms in self.limits.terms_by_name.items():
            if team in demands:
                demands[team] = _up_to(demands[team], terms.cap)
        return demands

    def may_start(self, stage: Stage) -> bool:
        """Returns whether the cap allows a task of a step, or its whole gang, to start.

        A team that is not configured, such as a removed one, has no cap.
        """
        team = stage.job.team
        terms = self.limits.terms_by_name.get(team)
        if terms is None:
            return True
        need = smallest_start(stage.spec)
        return not exceeds_limit(self.charged(team), need, terms.cap)


def recount(
    runs: Iterable[Run], planned: Iterable[Stage] = ()
) -> dict[TeamName, Resources]:
    """Returns the charges by team from the runs, against which tests check the ledger.

    Args:
        runs: All runs that have not ended.
        planned: Gangs with planned starts.
    """
    usage = TeamUsage()
    for run in runs:
        usage.adjust(run.team, run.charge)
    for stage in planned:
        usage.adjust(stage.job.team, _plan_charge(stage))
    return usage.used_by_team


def _up_to(amount: Resources, cap: Resources) -> Resources:
    """Returns an amount limited by a cap, where 0 is no limit."""
    return Resources(
        min(amount.cpu, cap.cpu or amount.cpu),
        min(amount.memory_mb, cap.memory_mb or amount.memory_mb),
        min(amount.accelerators, cap.accelerators or amount.accelerators),
    )


def _plan_charge(stage: Stage) -> Resources:
    return scale(stage.spec.need, len(stage.plan))


def _waiting_need(job: Job) -> Resources:
    """Returns the need of the unfinished tasks of a job without a known run."""
    need = Resources()
    for stage in job.stage_by_key.values():
        tasks = sum(task.is_waiting for task in stage.tasks)
        need = add(need, scale(stage.spec.need, tasks))
    return need
