"""The owner's forecast of when new jobs start.

It is a pure function of the cell's state. For each priority it follows some new jobs
with different objectives through a simulation of the backlog in the order of
`arbutusladder.cell.steppriority`; the one that starts first counts. Before it is late,
a job with a short objective waits for less work; one with a long objective becomes late
last. Work that is too late yields, so it does not count.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

import msgspec

from arbutusladder.cell.celljobs import LATE_OBJECTIVE_FACTOR
from arbutusladder.cell.decisionround import URGENT_RESERVE
from arbutusladder.cell.forecast.cellload import (
    GroupKey,
    JobTerms,
    ServiceLoad,
    add_jobs,
    empty_loads,
)
from arbutusladder.cell.forecast.drain import NOTHING, Amounts, start_waits_s
from arbutusladder.cell.forecast.teamlimits import TeamLimit, exceeded_limits
from arbutusladder.cell.interfaces import TeamLimits
from arbutusladder.ids import TeamName
from arbutusladder.messages import StartForecast, StartWait, TeamTerms

if TYPE_CHECKING:
    from arbutusladder.cell.cellstate import CellState

# Waits in seconds below this one are not listed: tasks of the shortest queue take
# longer, and no objective is missed by them alone.
MIN_WAIT_S = 0.5
# Largest size in bytes of an encoded forecast, which goes to each entry VM four times
# a second.
MAX_FORECAST_BYTES = 2000
# Largest share of the cell that more urgent work is assumed to go on taking. A surge
# of it may end before the wait does.
MAX_HELD_SHARE = 0.5

# Teams for which waits are computed, so that the cost has a bound; the others count as
# having room.
MAX_TEAMS = 8
# New jobs of a priority whose start is simulated.
PROBES = 3

_ENCODER = msgspec.msgpack.Encoder()


def start_forecast(
    cell: CellState, teams: TeamLimits, has_waiting: bool, now: float
) -> StartForecast:
    """Returns the expected waits of new jobs, without those that are short.

    A forecast is empty until all workers have reported after a takeover: their free
    resources are not known before.

    Args:
        cell: State of the cell.
        teams: Weights and caps of the teams.
        has_waiting: Whether any step waits to start.
        now: Monotonic time in seconds.
    """
    rows: list[StartWait] = []
    load_by_service = empty_loads(cell, now)
    is_full = any(load.is_full for load in load_by_service.values())
    if cell.unreported.vms or not (has_waiting or is_full):
        return StartForecast()
    add_jobs(load_by_service, cell, now)
    for service, load in load_by_service.items():
        if load.waiting_by_key or load.is_full:
            rows += _rows_of_service(service, load, teams.terms_by_name)
    return _limited(rows)


def _rows_of_service(
    service: str, load: ServiceLoad, terms_by_team: dict[TeamName, TeamTerms]
) -> list[StartWait]:
    limits_by_team = exceeded_limits(load, terms_by_team)
    # What a team wants beyond its cap or share does not precede work of others.
    preceding = [key for key in load.waiting_by_key if key.team not in limits_by_team]
    wait_by_priority = {
        priority: _with_arrivals(load, priority, wait_s)
        for priority, wait_s in _probe_waits(load, preceding).items()
    }
    rows = [
        StartWait(service, priority, round(wait_s, 1))
        for priority, wait_s in wait_by_priority.items()
        if wait_s >= MIN_WAIT_S
    ]
    for team, waits in _waits_by_team(load, limits_by_team):
        rows += [
            StartWait(service, priority, round(wait_s, 1), team)
            for priority, wait_s in waits.items()
            if wait_s >= max(MIN_WAIT_S, wait_by_priority[priority])
        ]
    return rows


def _with_arrivals(load: ServiceLoad, priority: int, wait_s: float) -> float:
    """Returns a wait with the work of higher priority that keeps arriving.

    It is assumed to go on taking what such work holds now.
    """
    held = min(MAX_HELD_SHARE, load.held_share(priority))
    return wait_s / (1.0 - held)


def _limited(rows: list[StartWait]) -> StartForecast:
    """Returns a forecast of the longest waits that fit into the size limit."""
    rows = sorted(rows, key=lambda row: (bool(row.team), -row.wait_s))
    while rows and len(_ENCODER.encode(rows)) > MAX_FORECAST_BYTES:
        rows = rows[: len(rows) * 3 // 4]
    return StartForecast(rows)


def _probe_waits(
    load: ServiceLoad,
    keys: list[GroupKey],
    team: TeamName = "",
    free: Amounts | None = None,
    goes_last: bool = False,
) -> dict[int, float]:
    """Returns the seconds until a new job starts behind waiting tasks, by priority.

    Args:
        load: Load of the service.
        keys: Waiting tasks.
        team: Team whose running work alone counts; empty for all work.
        free: Free resources; by default those of the workers.
        goes_last: Whether all waiting tasks precede the new job.
    """
    groups = [load.waiting_by_key[key].group(key) for key in keys]
    for (priority, uses_accelerators), totals in load.tasks_by_kind.items():
        for objective_s, path_s in _samples(load.terms_by_priority[priority]):
            key = GroupKey(
                priority,
                team,
                uses_accelerators,
                objective_s,
                in_time_s=objective_s - path_s,
                credit_s=LATE_OBJECTIVE_FACTOR * objective_s - path_s,
            )
            if goes_last:
                key = key._replace(in_time_s=-1.0, credit_s=-1.0)
            groups.append(totals.group(key, is_probe=True))
    releases = [
        (row.seconds, row.amounts)
        for row in load.releases
        if not team or row.team == team
    ]
    waits_by_probe = start_waits_s(
        load.free if free is None else free,
        releases,
        groups,
        0.0 if team else load.capacity[0] * URGENT_RESERVE,
    )
    shortest: dict[int, float] = {}
    for probe, wait_s in waits_by_probe.items():
        previous_s = shortest.get(probe.priority, wait_s)
        shortest[probe.priority] = min(wait_s, previous_s)
    return shortest


def _samples(terms: list[JobTerms]) -> list[JobTerms]:
    """Returns jobs from the shortest to the longest objective, evenly chosen."""
    ordered = sorted(terms)
    last = len(ordered) - 1
    indexes = {round(last * n / (PROBES - 1)) for n in range(PROBES)}
    return [ordered[index] for index in sorted(indexes)]


def _waits_by_team(
    load: ServiceLoad, limits_by_team: dict[TeamName, TeamLimit]
) -> Iterator[tuple[TeamName, dict[int, float]]]:
    """Yields the waits by priority of the teams that want most beyond a limit.

    Beyond its share a team gets what others leave, so it waits at most for all waiting
    work.
    """
    if not limits_by_team:
        return
    behind_all = _probe_waits(load, list(load.waiting_by_key), goes_last=True)
    largest = sorted(limits_by_team, key=lambda team: -limits_by_team[team].demand)
    for team in largest[:MAX_TEAMS]:
        limit = limits_by_team[team]
        waits = _waits_within(load, team, limit.cap)
        for priority, wait_s in _waits_within(load, team, limit.share).items():
            wait_s = min(wait_s, behind_all[priority])
            waits[priority] = max(waits.get(priority, 0.0), wait_s)
        yield team, waits


def _waits_within(
    load: ServiceLoad, team: TeamName, limit: Amounts
) -> dict[int, float]:
    """Returns the waits by priority of a team that may use resources up to a limit.

    They are empty if all of its waiting tasks are within the limit.
    """
    used = load.used_by_team.get(team, NOTHING)
    free = tuple(amount - part for amount, part in zip(limit, used, strict=True))
    wanted = load.waiting_amounts(team)
    if all(part <= room for part, room in zip(wanted, free, strict=True)):
        return {}
    keys = [key for key in load.waiting_by_key if key.team == team]
    return _probe_waits(load, keys, team, free)
