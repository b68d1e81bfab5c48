"""Settings of a cell, from the configuration of the platform."""

from dataclasses import dataclass

from arbutusladder.cell.interference.tracker import DEFAULT_HARM_S
from arbutusladder.cell.joblimits import JobLimits
from arbutusladder.peers import PeerLimits


@dataclass(frozen=True)
class CellSettings:
    """Settings of a cell, from the configuration of the platform.

    Attributes:
        registry_topic: Topic in which workers register.
        max_lease_s: Longest lease in seconds that a worker grants.
        finished_retention_s: Seconds for which the state of a finished job is kept.
        cancellation_limit_s: Seconds after an acknowledged cancellation from which no
            task of its job may start.
        drain_limit_s: Seconds after a worker's entry says that it drains from which no
            task may start on it.
        undersized: Whether this entry VM has too few resources to own a large cell.
        job_limits: Limits of the size of a job.
        harm_s: Limit on the seconds for which filler tasks may keep a serving task over
            its target.
        peer_limits: Limits of messages between entry VMs.
        admission: Whether jobs that would end too late are refused also without teams.
    """

    registry_topic: str
    max_lease_s: float
    finished_retention_s: float
    cancellation_limit_s: float = 3.0
    drain_limit_s: float = 2.0
    undersized: bool = False
    job_limits: JobLimits = JobLimits()
    harm_s: float = DEFAULT_HARM_S
    peer_limits: PeerLimits = PeerLimits()
    admission: bool = False
