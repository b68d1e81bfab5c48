"""An executor loses power for a moment and starts again under its id."""

import asyncio
import random
import sys
from pathlib import Path

from standins.case import run_case
from standins.executors import TaskSpec
from standins.world import World

EXECUTORS = 8
CPU = 16000
JOBS_PER_S = 17.0
STEP = {"count": 2, "cpu": 1400, "mem-mb": 256, "estimate-ms": 800}
SPEC = TaskSpec(1400, 0.8)
PLAY_S = 36.0
WARM_UP_S = 4.0
CRASH_INTERVAL_S = 5.0
DOWN_S = 0.5
CRASHES = 6
# Runs of an executor that has room for more.
MAX_RUNS = 8


def make_world(record) -> World:
    """Returns the deployment: three entry VMs and eight executors in two racks."""
    return World(record, 3, EXECUTORS, CPU, lambda number: ["a", f"r1-{number // 4}"])


async def play(world: World, trouble: bool) -> None:
    """Submits small jobs at a steady rate while executors crash in turn."""
    async with asyncio.TaskGroup() as group:
        group.create_task(submit_jobs(world, group))
        if trouble:
            group.create_task(crash_in_turn(world))
    await asyncio.sleep(8.0)


async def submit_jobs(world: World, group: asyncio.TaskGroup) -> None:
    """Submits jobs at a steady rate."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + PLAY_S
    while loop.time() < ends_at:
        entry = random.randrange(len(world.entries))
        group.create_task(world.submit("plain", [STEP], [SPEC], entry))
        await asyncio.sleep(1 / JOBS_PER_S)


def newest_start(executor) -> float:
    """Returns the time of the newest start of an executor."""
    return max((run.started_at for run in executor.running.values()), default=0.0)


async def crash_in_turn(world: World) -> None:
    """Crashes executors in turn; each is silent until it starts again."""
    await asyncio.sleep(WARM_UP_S)
    for _ in range(CRASHES):
        executor = max(
            (row for row in world.executors if len(row.running) <= MAX_RUNS),
            key=newest_start,
        )
        executor.server.dark = True
        executor.crash()
        await asyncio.sleep(DOWN_S)
        executor.server.dark = False
        executor.restart()
        await asyncio.sleep(CRASH_INTERVAL_S)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, make_world, play))
