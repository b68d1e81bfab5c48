"""The owner's forecast of when new jobs start.

It is a pure function of the cell's state. A new job can still meet its objective, so
only work precedes it that can, too, and that has no lower priority; once it has waited
too long for that, it also waits for the late work. Work that is too late yields, so it
never precedes.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from arbutusladder.cell.forecast.cellload import (
    GroupKey,
    ServiceLoad,
    dominant_share,
    loads_by_service,
)
from arbutusladder.cell.forecast.drain import Amounts, Group, start_waits_s
from arbutusladder.cell.interfaces import TeamLimits
from arbutusladder.cell.placement import URGENT_RESERVE
from arbutusladder.cell.steppriority import URGENT_PRIORITY, Timeliness
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

_ENCODER = msgspec.msgpack.Encoder()


def start_forecast(cell: CellState, teams: TeamLimits, now: float) -> StartForecast:
    """Returns the expected waits of new jobs, without those that are short.

    A forecast is empty until all workers have reported after a takeover: their free
    resources are not known before.

    Args:
        cell: State of the cell.
        teams: Weights and caps of the teams.
        now: Monotonic time in seconds.
    """
    rows: list[StartWait] = []
    if cell.unreported.vms:
        return StartForecast()
    for service, load in loads_by_service(cell, now).items():
        if load.waiting_by_key:
            rows += _rows_of_service(service, load, teams.terms_by_name)
    return _limited(rows)


def _rows_of_service(
    service: str, load: ServiceLoad, terms_by_team: dict[TeamName, TeamTerms]
) -> list[StartWait]:
    in_time = _probe_waits(load, _order(load, Timeliness.IN_TIME))
    with_late = _probe_waits(load, _order(load, Timeliness.LATE))
    wait_by_priority = {
        priority: _expected_wait_s(load, priority, wait_s, with_late[priority])
        for priority, wait_s in in_time.items()
    }
    rows = [
        StartWait(service, priority, round(wait_s, 1))
        for priority, wait_s in wait_by_priority.items()
        if wait_s >= MIN_WAIT_S
    ]
    # No team waits longer for its share than until all work has started.
    longest_s = max(with_late.values())
    for team, waits in _waits_by_team(
        load, terms_by_team, bool(rows), longest_s
    ).items():
        rows += [
            StartWait(service, priority, round(wait_s, 1), team)
            for priority, wait_s in waits.items()
            if wait_s >= max(MIN_WAIT_S, wait_by_priority[priority])
        ]
    return rows


def _expected_wait_s(
    load: ServiceLoad, priority: int, in_time_s: float, with_late_s: float
) -> float:
    """Returns the expected wait of a new job of a priority in seconds.

    New work of higher priority keeps arriving; it is assumed to go on taking what such
    work holds now.

    Args:
        load: Load of the service.
        priority: The priority.
        in_time_s: Seconds until the work has started that is in time.
        with_late_s: Seconds until the late work has started, too.
    """
    is_in_time = in_time_s <= load.slack_s_by_priority[priority]
    held = min(MAX_HELD_SHARE, load.held_share(priority))
    return (in_time_s if is_in_time else with_late_s) / (1.0 - held)


def _limited(rows: list[StartWait]) -> StartForecast:
    """Returns a forecast of the longest waits that fit into the size limit."""
    rows = sorted(rows, key=lambda row: (bool(row.team), -row.wait_s))
    while rows and len(_ENCODER.encode(rows)) > MAX_FORECAST_BYTES:
        rows = rows[: len(rows) * 3 // 4]
    return StartForecast(rows)


def _order(load: ServiceLoad, latest: Timeliness) -> list[GroupKey]:
    """Returns the groups up to a timeliness in the order of their priorities."""
    keys = [key for key in load.waiting_by_key if key.timeliness <= latest]
    return sorted(keys, key=lambda key: key.priority)


def _probe_waits(
    load: ServiceLoad,
    keys: list[GroupKey],
    team: TeamName = "",
    free: Amounts | None = None,
) -> dict[int, float]:
    """Returns the seconds until a task starts behind the groups, by priority.

    Args:
        load: Load of the service.
        keys: Groups in the order in which they start.
        team: Team whose running work alone counts; empty for all work.
        free: Free resources; by default those of the workers.
    """
    groups: list[Group] = []
    probes: list[tuple[int, int]] = []
    for kind in sorted(load.tasks_by_kind):
        priority, _ = kind
        urgent = priority <= URGENT_PRIORITY
        while keys and keys[0].priority <= priority:
            groups.append(load.waiting_by_key[keys[0]].group(urgent))
            keys = keys[1:]
        probes.append((len(groups), priority))
        groups.append(load.tasks_by_kind[kind].mean_task(urgent))
    releases = [
        (row.seconds, row.amounts)
        for row in load.releases
        if not team or row.team == team
    ]
    reserved_cpu = 0.0 if team else load.capacity[0] * URGENT_RESERVE
    waits_s = start_waits_s(
        load.free if free is None else free, releases, groups, reserved_cpu
    )
    shortest: dict[int, float] = {}
    for index, priority in probes:
        wait_s = waits_s[index]
        shortest[priority] = min(wait_s, shortest.get(priority, wait_s))
    return shortest


def _waits_by_team(
    load: ServiceLoad,
    terms_by_team: dict[TeamName, TeamTerms],
    is_contended: bool,
    longest_s: float,
) -> dict[TeamName, dict[int, float]]:
    """Returns the waits by priority of the teams for their own cap or share.

    Args:
        load: Load of the service.
        terms_by_team: Weights and caps of the teams.
        is_contended: Whether teams wait for each other, so that shares count.
        longest_s: Longest wait in seconds for a share.
    """
    waiting = {key.team for key in load.waiting_by_key} & terms_by_team.keys()
    running = {release.team for release in load.releases} & terms_by_team.keys()
    total_weight = sum(terms_by_team[team].weight for team in waiting | running)
    waits_by_team = {}
    for team in sorted(waiting):
        terms = terms_by_team[team]
        waits = _waits_within(load, team, _cap(terms))
        fraction = terms.weight / total_weight if total_weight else 1.0
        used = [row.amounts for row in load.releases if row.team == team]
        if is_contended and dominant_share(used, load.capacity) > fraction:
            share = tuple(fraction * amount for amount in load.capacity)
            for priority, wait_s in _waits_within(load, team, share).items():
                waits[priority] = max(waits[priority], min(longest_s, wait_s))
        waits_by_team[team] = waits
    return waits_by_team


def _waits_within(
    load: ServiceLoad, team: TeamName, limit: Amounts
) -> dict[int, float]:
    """Returns the waits by priority of a team that may use resources up to a limit."""
    used = [row.amounts for row in load.releases if row.team == team]
    free = tuple(
        amount - sum(amounts[column] for amounts in used)
        for column, amount in enumerate(limit)
    )
    keys = [key for key in _order(load, Timeliness.IN_TIME) if key.team == team]
    return _probe_waits(load, keys, team, free)


def _cap(terms: TeamTerms) -> Amounts:
    """Returns the cap of a team; infinite where it has none."""
    caps = (terms.cap.cpu, terms.cap.memory_mb, float(terms.cap.accelerators))
    return tuple(cap or math.inf for cap in caps)
