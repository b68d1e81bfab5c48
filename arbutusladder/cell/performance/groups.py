"""Groups of workers of similar speed, in the order in which a step tries them."""

from arbutusladder.cell.performance.preference import SpeedPreference
from arbutusladder.cell.workers import Worker


def speed_groups(
    workers: list[Worker], preference: SpeedPreference | None
) -> list[list[Worker]]:
    """Returns groups of workers for steps whose slowest task decides.

    These are each class on which the step can meet its objective, the slowest first,
    then all of these classes. Further groups add the other classes one by one, the
    fastest first, so that the slowest member is as fast as possible. Each worker is in
    the last group.

    Args:
        workers: Workers that may run the step.
        preference: Classes that it prefers; None for one group.
    """
    if preference is None:
        return [workers]
    by_class: dict[int, list[Worker]] = {}
    for worker in workers:
        by_class.setdefault(worker.speed.speed_class, []).append(worker)
    if len(by_class) < 2:
        return [workers]
    ranked = sorted(by_class, key=preference.rank_by_class.__getitem__)
    sufficient = [number for number in ranked if number in preference.sufficient]
    groups = [by_class[number] for number in sufficient]
    together = [worker for number in sufficient for worker in by_class[number]]
    if len(sufficient) > 1:
        groups.append(together)
    for number in ranked[len(sufficient) :]:
        together = together + by_class[number]
        groups.append(together)
    return groups
