"""Checks of the rules that look at whole jobs."""

import time

from standins.executors import Fleet

# The rule's bounds: finish_s after the end of the traffic, for 3 s.
FINISH_S = 14.0
STALLED_S = 3.0


def check_stalls(
    fleet: Fleet, stalled_since: dict[str, float], count: int, cpu: int
) -> None:
    """Checks for how long each unfinished job has had nothing running.

    Args:
        fleet: The executors.
        stalled_since: Time since which each job that is still watched has had nothing
            running; changed here.
        count: Number of tasks of each job, which has one step.
        cpu: Thousandths of a core of each task.
    """
    now = time.monotonic()
    runs = [run for row in fleet.executors for run in row.running.values()]
    used = sum(run.spec.cpu for run in runs)
    total = sum(row.cpu for row in fleet.executors)
    has_room = total - used >= 2 * count * cpu and used < total / 2
    for job_id in list(stalled_since):
        names = [f"{job_id}.0.0.{index}" for index in range(count)]
        if all(name in fleet.done_by_task for name in names):
            del stalled_since[job_id]
        elif any(run.task in names for run in runs) or not has_room:
            stalled_since[job_id] = now
        elif now - stalled_since[job_id] > STALLED_S:
            del stalled_since[job_id]
            fleet.record.breaks(
                "LOST",
                f"{job_id} has nothing running for {STALLED_S:g} s; "
                f"{used} of {total} thousandths of a core are in use",
            )
