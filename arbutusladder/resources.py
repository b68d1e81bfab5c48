"""Arithmetic on resource amounts."""

from arbutusladder.messages import Resources

# Tolerance in comparisons; rounding errors of summed amounts are smaller.
EPSILON = 1e-6


def add(left: Resources, right: Resources) -> Resources:
    """Returns the sum of two amounts."""
    return Resources(
        left.cpu + right.cpu,
        left.memory_mb + right.memory_mb,
        left.accelerators + right.accelerators,
    )


def subtract(left: Resources, right: Resources) -> Resources:
    """Returns the difference of two amounts."""
    return Resources(
        left.cpu - right.cpu,
        left.memory_mb - right.memory_mb,
        left.accelerators - right.accelerators,
    )


def scale(amount: Resources, factor: float) -> Resources:
    """Returns an amount multiplied by a factor."""
    return Resources(
        amount.cpu * factor,
        amount.memory_mb * factor,
        int(amount.accelerators * factor),
    )


def fits(need: Resources, free: Resources) -> bool:
    """Returns whether a need fits into free resources."""
    return (
        need.cpu <= free.cpu + EPSILON
        and need.memory_mb <= free.memory_mb + EPSILON
        and need.accelerators <= free.accelerators
    )


def dominant_share(amount: Resources, total: Resources) -> float:
    """Returns the largest fraction of any resource of a total that an amount takes."""
    shares = (
        _fraction(amount.cpu, total.cpu),
        _fraction(amount.memory_mb, total.memory_mb),
        _fraction(amount.accelerators, total.accelerators),
    )
    return max(shares)


def _fraction(part: float, whole: float) -> float:
    if part <= 0:
        return 0.0
    return part / whole if whole > 0 else float("inf")
