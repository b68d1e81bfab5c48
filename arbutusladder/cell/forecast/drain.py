"""Time at which each part of a backlog has started in a pool of resources.

The pool is the sum of the free resources of all workers, so that the result is
optimistic: it ignores that free resources are spread over workers and that the members
of a gang start together.
"""

import math
from dataclasses import dataclass

# Length in seconds of the time steps; waits that matter are at least five of them.
BUCKET_S = 0.1
# Longest wait in seconds that is computed; longer ones count as this long.
HORIZON_S = 60.0
# Share of the tasks of a group whose start is awaited no longer: a remainder without
# room would otherwise count as a wait of the whole group.
NEGLIGIBLE_SHARE = 0.02

# Cores, memory in MB and accelerators.
Amounts = tuple[float, float, float]

_BUCKETS = round(HORIZON_S / BUCKET_S)


@dataclass
class Group:
    """Tasks that start in one place of the order.

    Attributes:
        amounts: Resources of all its tasks together.
        duration_s: Mean duration of its tasks in seconds.
        urgent: Whether it may use the cores that are reserved for urgent tasks.
    """

    amounts: Amounts
    duration_s: float
    urgent: bool = False


def start_waits_s(
    free: Amounts,
    releases: list[tuple[float, Amounts]],
    groups: list[Group],
    reserved_cpu: float = 0.0,
) -> list[float]:
    """Returns the seconds until each group has started.

    A group that lacks a resource does not keep the next ones from starting with the
    others, as placement does not.

    Args:
        free: Free resources; infinite ones are not limited.
        releases: Seconds until running work ends, and what it releases.
        groups: Groups in the order in which they start.
        reserved_cpu: Cores that only urgent groups may use.
    """
    released_by_bucket: dict[int, Amounts] = {}
    for seconds, amounts in releases:
        _release(released_by_bucket, math.ceil(seconds / BUCKET_S), amounts)
    waits = [HORIZON_S] * len(groups)
    waiting = [(index, group, 1.0) for index, group in enumerate(groups)]
    for bucket in range(_BUCKETS):
        free = _sum(free, released_by_bucket.pop(bucket, (0.0, 0.0, 0.0)))
        still_waiting = []
        for index, group, left in waiting:
            reserved = 0.0 if group.urgent else reserved_cpu
            share = min(left, _startable_share(group, free, reserved))
            if share > 0.0:
                started = _scaled(group.amounts, share)
                free = _sum(free, _scaled(started, -1.0))
                end = bucket + max(1, math.ceil(group.duration_s / BUCKET_S))
                _release(released_by_bucket, end, started)
                left -= share
            if left <= NEGLIGIBLE_SHARE:
                waits[index] = bucket * BUCKET_S
            else:
                still_waiting.append((index, group, left))
        if not still_waiting:
            break
        waiting = still_waiting
    return waits


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


def _release(by_bucket: dict[int, Amounts], bucket: int, amounts: Amounts) -> None:
    by_bucket[bucket] = _sum(by_bucket.get(bucket, (0.0, 0.0, 0.0)), amounts)


def _sum(left: Amounts, right: Amounts) -> Amounts:
    return (left[0] + right[0], left[1] + right[1], left[2] + right[2])


def _scaled(amounts: Amounts, factor: float) -> Amounts:
    return (amounts[0] * factor, amounts[1] * factor, amounts[2] * factor)
