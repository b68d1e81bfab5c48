"""A job with a long schedule is accepted among small jobs."""

import asyncio
import sys
import time
from pathlib import Path

from standins.case import run_case
from standins.checks import FINISH_S, check_stalls
from standins.executors import TaskSpec
from standins.world import World

EXECUTORS = 4
CPU = 16000
# Every three minutes for a year, from one hour after its submission on.
TIMES = 175_200
INTERVAL_MS = 180_000
FIRST_AFTER_S = 3600.0
STEP = {"count": 1, "cpu": 1000, "mem-mb": 64, "estimate-ms": 500}
SMALL = {"count": 2, "cpu": 1400, "mem-mb": 256, "estimate-ms": 800}
SMALL_JOBS = 16
SMALL_INTERVAL_S = 0.5
WATCH_S = 8.0


def make_world(record) -> World:
    """Returns the deployment: three entry VMs and four executors in one rack."""
    return World(record, 3, EXECUTORS, CPU, lambda number: ["a", "r1-0"])


async def play(world: World, trouble: bool) -> None:
    """Submits the jobs, and looks at the small ones after the bound of the rule."""
    first_ids = [await submit_small(world, number) for number in range(3)]
    await asyncio.sleep(2.0)
    if trouble:
        schedule = {
            "times": TIMES,
            "first-ms": int((time.time() + FIRST_AFTER_S) * 1000),
            "interval-ms": INTERVAL_MS,
        }
        await world.submit("plain", [STEP], [TaskSpec(1000, 0.5)], 0, schedule)
        await asyncio.sleep(1.0)
    async with asyncio.TaskGroup() as group:
        submissions = []
        for number in range(SMALL_JOBS):
            submission = group.create_task(submit_small(world, number))
            submissions.append(submission)
            await asyncio.sleep(SMALL_INTERVAL_S)
    await asyncio.sleep(FINISH_S)
    small_ids = first_ids + [submission.result() for submission in submissions]
    accepted = [job_id for job_id in small_ids if job_id]
    world.record.write(f"{len(accepted)} of {len(small_ids)} small jobs are accepted")
    stalled_since = dict.fromkeys(accepted, time.monotonic())
    ends_at = time.monotonic() + WATCH_S
    while time.monotonic() < ends_at:
        check_stalls(world.fleet, stalled_since, SMALL["count"], SMALL["cpu"])
        await asyncio.sleep(0.1)
    for job_id in accepted:
        world.record.write(f"state   {job_id} {await world.state('plain', job_id)}")


async def submit_small(world: World, number: int) -> str | None:
    """Submits a small job."""
    return await world.submit("plain", [SMALL], [TaskSpec(1400, 0.8)], number)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, make_world, play))
