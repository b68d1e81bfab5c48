"""Simulation of how a backlog starts in a pool of resources.

The pool is the sum of the resources of all workers, so that the result is optimistic:
it ignores that free resources are spread over workers, and that a gang that waits keeps
some of them from others. The order is that of `arbutusladder.cell.steppriority`, which
changes as work becomes late.
"""

import math
from dataclasses import dataclass

from arbutusladder.cell.steppriority import Timeliness

# Length in seconds of the time steps; waits that matter are at least two of them.
STEP_S = 0.25
# Longest wait in seconds that is computed; longer ones count as this long.
HORIZON_S = 60.0
# Share of the tasks of a group whose start is awaited no longer: a remainder without
# room would otherwise count as a wait of the whole group.
NEGLIGIBLE_SHARE = 0.02
# Cores and MB of memory below which nothing more starts in a time step.
MIN_FREE_CPU, MIN_FREE_MEMORY_MB = 0.1, 10.0

# Cores, memory in MB and accelerators.
Amounts = tuple[float, float, float]

NOTHING: Amounts = (0.0, 0.0, 0.0)


@dataclass(eq=False)
class Group:
    """Tasks that start in one place of the order.

    Attributes:
        amounts: Resources of all its tasks together.
        duration_s: Mean duration of its tasks in seconds.
        priority: Priority of their queue.
        objective_s: Seconds until the objective of their job.
        in_time_s: Seconds for which they can still start in time.
        credit_s: Seconds for which they can still start so that their job earns credit.
        urgent: Whether they may use the cores that are reserved for urgent tasks.
        is_probe: Whether it stands for a new job, whose wait is wanted.
        is_gang: Whether all its tasks start together or none.
    """

    amounts: Amounts
    duration_s: float
    priority: int
    objective_s: float = math.inf
    in_time_s: float = math.inf
    credit_s: float = math.inf
    urgent: bool = False
    is_probe: bool = False
    is_gang: bool = False

    def timeliness(self, seconds: float) -> Timeliness:
        """Returns its timeliness if it starts after a number of seconds."""
        if seconds <= self.in_time_s:
            return Timeliness.IN_TIME
        return Timeliness.LATE if seconds <= self.credit_s else Timeliness.TOO_LATE


def start_waits_s(
    free: Amounts,
    releases: list[tuple[float, Amounts]],
    groups: list[Group],
    reserved_cpu: float = 0.0,
) -> dict[Group, float]:
    """Returns the seconds until each probe has started.

    Groups without a probe that become too late are dropped, since they yield. A group
    that lacks a resource does not keep the next ones from starting with the others, as
    placement does not.

    Args:
        free: Free resources; infinite ones are not limited.
        releases: Seconds until running work ends, and what it releases.
        groups: Waiting tasks and probes.
        reserved_cpu: Cores that only urgent groups may use.
    """
    released_by_step: dict[int, Amounts] = {}
    for seconds, amounts in releases:
        _release(released_by_step, math.ceil(seconds / STEP_S), amounts)
    left_by_group = dict.fromkeys(groups, 1.0)
    wait_by_probe = {group: HORIZON_S for group in groups if group.is_probe}
    waiting_probes = len(wait_by_probe)
    order, sorted_until_s = groups, -math.inf
    for step in range(round(HORIZON_S / STEP_S)):
        seconds = step * STEP_S
        if seconds > sorted_until_s:
            order, sorted_until_s = _sorted(left_by_group, seconds)
        elif step not in released_by_step:
            continue
        free = _sum(free, released_by_step.pop(step, NOTHING))
        for group in order:
            if free[0] < MIN_FREE_CPU or free[1] < MIN_FREE_MEMORY_MB:
                break
            left = left_by_group.get(group)
            reserved = 0.0 if group.urgent else reserved_cpu
            if left is None or free[0] - reserved < MIN_FREE_CPU:
                continue
            share = min(left, _startable_share(group, free, reserved))
            if share <= 0.0 or (group.is_gang and share < left):
                continue
            started = _scaled(group.amounts, share)
            free = _sum(free, _scaled(started, -1.0))
            end = step + max(1, math.ceil(group.duration_s / STEP_S))
            _release(released_by_step, end, started)
            left_by_group[group] = left - share
            if left - share <= NEGLIGIBLE_SHARE:
                del left_by_group[group]
                if group.is_probe:
                    wait_by_probe[group] = seconds
                    waiting_probes -= 1
        if not waiting_probes:
            break
    return wait_by_probe


def _sorted(
    left_by_group: dict[Group, float], seconds: float
) -> tuple[list[Group], float]:
    """Returns the order in which groups start, and the seconds until it changes."""
    timeliness_by_group = {group: group.timeliness(seconds) for group in left_by_group}
    order = [
        group
        for group, timeliness in timeliness_by_group.items()
        if group.is_probe or timeliness is not Timeliness.TOO_LATE
    ]
    order.sort(key=lambda g: (timeliness_by_group[g], g.priority, g.objective_s))
    changes = [
        limit_s
        for group in order
        for limit_s in (group.in_time_s, group.credit_s)
        if limit_s >= seconds
    ]
    return order, min(changes, default=math.inf)


def _startable_share(group: Group, free: Amounts, reserved_cpu: float) -> float:
    """Returns the share of a group that the scarcest of its resources allows."""
    share = 1.0
    cpu, memory, accelerators = group.amounts
    if cpu > 0.0:
        share = min(share, (free[0] - reserved_cpu) / cpu)
    if memory > 0.0:
        share = min(share, free[1] / memory)
    if accelerators > 0.0:
        share = min(share, free[2] / accelerators)
    return share


def _release(by_step: dict[int, Amounts], step: int, amounts: Amounts) -> None:
    by_step[step] = _sum(by_step.get(step, NOTHING), amounts)


def _sum(left: Amounts, right: Amounts) -> Amounts:
    return (left[0] + right[0], left[1] + right[1], left[2] + right[2])


def _scaled(amounts: Amounts, factor: float) -> Amounts:
    return (amounts[0] * factor, amounts[1] * factor, amounts[2] * factor)
