"""Loads of contending teams in virtual time, with and without the order by teams."""

import dataclasses
from collections import defaultdict
from dataclasses import dataclass

from arbutusladder.cell.celljobs import critical_path_s
from arbutusladder.cell.interfaces import TeamLimits
from arbutusladder.cell.simulation import Simulation
from arbutusladder.messages import TeamTerms
from tests.cell import workloads


@dataclass
class Outcome:
    """Jobs of one team and priority: all, those in time, and their total wait."""

    jobs: int = 0
    in_time: int = 0
    waited_s: float = 0.0

    @property
    def in_time_share(self):
        """Share of the jobs that ended within their objective."""
        return self.in_time / self.jobs

    @property
    def mean_wait_s(self):
        """Mean seconds beyond the work itself; of unended jobs, to the end."""
        return self.waited_s / self.jobs


class Load:
    """Jobs of several teams that arrive at given rates."""

    def __init__(self):
        self.arrivals = []

    def add(self, team, make, rate, seconds, start=0.0):
        """Adds jobs of a team, which arrive at a rate per second."""
        seed = f"{team}/{make.__name__}/{start}"
        for when in workloads.arrivals(seed, rate, seconds, start):
            record = make(len(self.arrivals) + 1)
            self.arrivals.append((when, dataclasses.replace(record, team=team)))

    def play(self, seconds, by_team, workers=24, losses=()):
        """Plays the load.

        Args:
            seconds: Duration.
            by_team: Whether the teams are configured, each with the same weight.
            workers: Number of workers.
            losses: Time in seconds and worker of each loss.

        Returns:
            The outcome by team and priority.
        """
        teams = {record.team for _, record in self.arrivals} if by_team else ()
        limits = TeamLimits({team: TeamTerms(team) for team in teams})
        estimate_by_job = {r.job_id: r.steps[0].estimate_s for _, r in self.arrivals}
        simulation = Simulation(
            workloads.workers(workers),
            lambda task, vm: estimate_by_job[task.split(".")[0]],
            limits=limits,
        )
        for when, record in self.arrivals:
            simulation.submit_at(when, record)
        for when, vm in losses:
            simulation.schedule(when, lambda vm=vm: simulation.lose_worker(vm))
        simulation.run(seconds)
        assert simulation.overload_count == 0
        self.simulation = simulation
        return self._outcomes(seconds)

    def _outcomes(self, seconds):
        outcomes = defaultdict(Outcome)
        for when, record in self.arrivals:
            path_s = critical_path_s(record)
            objective_s = record.queue.stretch * path_s + record.queue.objective_s
            turnaround = self.simulation.turnaround_s(record.job_id)
            outcome = outcomes[record.team, record.queue.priority]
            outcome.jobs += 1
            outcome.in_time += turnaround is not None and turnaround <= objective_s
            outcome.waited_s += (turnaround or seconds - when) - path_s
        return outcomes

    def compare(self, seconds, **fields):
        """Returns the outcomes with teams, and those without, and prints both."""
        teams = self.play(seconds, True, **fields)
        plain = self.play(seconds, False, **fields)
        for key in sorted(teams):
            new, old = teams[key], plain[key]
            print(
                f"team {key[0]} priority {key[1]}: {new.jobs} jobs, in time "
                f"{old.in_time} -> {new.in_time}, mean wait "
                f"{old.mean_wait_s:.2f} -> {new.mean_wait_s:.2f} s"
            )
        return teams, plain
