"""Clients of a simulated cell whose submissions pass through admission control.

An entry VM decides by a forecast that is as old as in operation: the owner computes it
at each heartbeat, and it arrives some time later.
"""

from dataclasses import dataclass, field
from functools import partial

from arbutusladder.cell.forecast.admission import (
    ReceivedForecast,
    Refusal,
    find_refusal,
)
from arbutusladder.cell.forecast.startforecast import start_forecast
from arbutusladder.cell.interfaces import TeamLimits
from arbutusladder.cell.owner import HEARTBEAT_INTERVAL_S
from arbutusladder.cell.simulation import Simulation
from arbutusladder.ids import Epoch, JobId
from arbutusladder.messages import StartForecast, SubmittedJob

# Seconds from the computation of a forecast until entry VMs decide by it, on a busy
# owner and a slow link.
DELIVERY_S = 0.1
# Seconds from a submission until the owner knows of it, while other entry VMs go on
# accepting jobs by a forecast without it: an append to the log and its relay.
STORING_S = 0.1
# Number of times that a client returns after a refusal.
MAX_RETURNS = 4

_EPOCH = Epoch(1)


@dataclass
class SimulatedClients:
    """Submits jobs to a simulation and returns after refusals.

    Attributes:
        simulation: The simulated cell.
        admits: Whether the admission control is on; otherwise all jobs are accepted.
        teams: Weights and caps of the teams.
        refusals_by_job: Time in seconds since the start and refusal of each attempt.
        first_submitted_by_job: Seconds from the start to the first submission.
        forecasts: Time in seconds and content of each forecast that had rows.
    """

    simulation: Simulation
    admits: bool = True
    teams: TeamLimits = field(default_factory=TeamLimits)
    refusals_by_job: dict[JobId, list[tuple[float, Refusal]]] = field(
        default_factory=dict
    )
    first_submitted_by_job: dict[JobId, float] = field(default_factory=dict)
    forecasts: list[tuple[float, StartForecast]] = field(default_factory=list)
    _received: ReceivedForecast | None = None
    _gone: set[JobId] = field(default_factory=set)

    def __post_init__(self):
        self._started_at = self.simulation.now
        if self.admits:
            self._beat()

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return self.simulation.now - self._started_at

    def submit_at(self, when: float, record: SubmittedJob) -> None:
        """Schedules the first submission of a job.

        Args:
            when: Seconds after the start.
            record: The submission.
        """
        self.first_submitted_by_job[record.job_id] = when
        self.simulation.schedule(when, partial(self._submit, record))

    def cancel_at(self, when: float, job_id: JobId) -> None:
        """Schedules that a client gives up: it cancels and does not return.

        Args:
            when: Seconds after the start.
            job_id: Its job.
        """
        self.simulation.schedule(when, partial(self._give_up, job_id))

    def ended_s(self, job_id: JobId) -> float | None:
        """Returns the seconds from the first submission to the end, or None."""
        ended_at = self.simulation.ended_at_by_job.get(job_id)
        if ended_at is None:
            return None
        return ended_at - self._started_at - self.first_submitted_by_job[job_id]

    def _give_up(self, job_id: JobId) -> None:
        self._gone.add(job_id)
        self.simulation.state.cancel(job_id)

    def _beat(self) -> None:
        simulation = self.simulation
        has_waiting = simulation.placer.load.waiting > 0
        forecast = start_forecast(
            simulation.state, self.teams, has_waiting, simulation.now
        )
        if forecast.rows:
            self.forecasts.append((self.now, forecast))
        self.simulation.schedule(
            self.now + DELIVERY_S, partial(self._receive, forecast)
        )
        self.simulation.schedule(self.now + HEARTBEAT_INTERVAL_S, self._beat)

    def _receive(self, forecast: StartForecast) -> None:
        self._received = ReceivedForecast(forecast, _EPOCH, self.simulation.now)

    def _submit(self, record: SubmittedJob) -> None:
        if record.job_id in self._gone:
            return
        refusal = None
        if self._received and self._received.is_valid(_EPOCH, self.simulation.now):
            refusal = find_refusal(record, self._received, self.simulation.now)
        if refusal is None:
            self.simulation.submit_at(self.now + STORING_S, record)
            return
        refusals = self.refusals_by_job.setdefault(record.job_id, [])
        refusals.append((self.now, refusal))
        if len(refusals) <= MAX_RETURNS:
            returns_at = self.now + refusal.retry_after_s
            self.simulation.schedule(returns_at, partial(self._submit, record))
