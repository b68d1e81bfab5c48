"""Decision of an entry VM whether to accept a job, by the newest forecast."""

from __future__ import annotations

import math
from dataclasses import dataclass

import xxhash

from arbutusladder.cell.celljobs import LATE_OBJECTIVE_FACTOR, critical_path_s
from arbutusladder.ids import Epoch
from arbutusladder.messages import StartForecast, SubmittedJob

# Seconds after which a forecast has no effect: four heartbeats of the owner.
MAX_FORECAST_AGE_S = 1.0
# Share of the expected wait, and of the estimated duration of a job, that it certainly
# takes. Estimates of single jobs are wrong by up to 90 %; the wait is a sum over many
# jobs, whose errors cancel out in part, and at most doubled for work that may come.
CERTAIN_WAIT_SHARE = 0.5
CERTAIN_DURATION_SHARE = 0.1
# Part of the expected wait over which returning clients are spread after it, at least
# this many seconds.
SPREAD_SHARE = 0.5
MIN_SPREAD_S = 1.0


@dataclass(frozen=True)
class ReceivedForecast:
    """A forecast as an entry VM has received it.

    Attributes:
        forecast: The forecast.
        epoch: Epoch of the owner that has sent it.
        received_at: Monotonic time in seconds.
        own: Whether that owner is on this entry VM.
    """

    forecast: StartForecast
    epoch: Epoch
    received_at: float
    own: bool = False

    def is_valid(self, newest_epoch: Epoch, now: float) -> bool:
        """Returns whether it is recent and of the newest known owner."""
        age_s = now - self.received_at
        return self.epoch == newest_epoch and age_s <= MAX_FORECAST_AGE_S


@dataclass(frozen=True)
class Refusal:
    """Why a job has no room, and when it is expected to have some.

    Attributes:
        wait_s: Expected seconds until it would start.
        limit_s: Seconds from now after which its end is worth nothing.
        retry_after_s: Whole seconds after which the client should try again.
    """

    wait_s: float
    limit_s: float
    retry_after_s: int


def find_refusal(
    record: SubmittedJob, received: ReceivedForecast, now: float
) -> Refusal | None:
    """Returns the refusal of a job that certainly ends too late to be worth anything.

    The objective counts from now: an earlier submission by the client is not known.

    Args:
        record: The submission.
        received: A valid forecast.
        now: Monotonic time in seconds.

    Returns:
        The refusal; None if the job is to be accepted.
    """
    wait_s = expected_wait_s(record, received.forecast)
    wait_s -= now - received.received_at
    path_s = critical_path_s(record)
    objective_s = record.queue.stretch * path_s + record.queue.objective_s
    limit_s = LATE_OBJECTIVE_FACTOR * objective_s
    certain_s = CERTAIN_WAIT_SHARE * wait_s + CERTAIN_DURATION_SHARE * path_s
    is_endless = record.times or any(step.lasting for step in record.steps)
    if wait_s <= 0.0 or is_endless or certain_s <= limit_s:
        return None
    retry_after_s = _retry_after_s(record, wait_s, objective_s)
    return Refusal(wait_s, limit_s, retry_after_s)


def expected_wait_s(record: SubmittedJob, forecast: StartForecast) -> float:
    """Returns the longest wait that applies to a job; 0 if there is room."""
    queue = record.queue
    return max(
        (
            row.wait_s
            for row in forecast.rows
            if row.service == queue.service
            and row.priority == queue.priority
            and row.team in ("", record.team)
        ),
        default=0.0,
    )


def _retry_after_s(record: SubmittedJob, wait_s: float, objective_s: float) -> int:
    """Returns when to try again: from the end of the wait on, spread over some time.

    Shorter objectives come earlier. The place within the spread is the same at every
    entry VM, so that a client that asks several of them does not return in all places.
    """
    spread_s = max(MIN_SPREAD_S, SPREAD_SHARE * wait_s)
    rank = objective_s / (objective_s + wait_s)
    chance = xxhash.xxh32_intdigest(record.job_id.encode()) / 2**32
    return max(1, math.ceil(wait_s + spread_s * (rank + chance) / 2))
