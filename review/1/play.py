"""The entry VM that gives the orders freezes for three seconds and wakes again."""

import asyncio
import random
import signal
import sys
from pathlib import Path

from standins.case import run_case
from standins.executors import TaskSpec
from standins.world import World

EXECUTORS = 4
CPU = 16000
STEP = {"count": 2, "cpu": 1400, "mem-mb": 256, "estimate-ms": 800}
SPEC = TaskSpec(1400, 0.8)
JOBS_PER_S = 1.0
FREEZES = 9
FREEZE_S = 3.0
PAUSE_S = 5.0
WARM_UP_S = 3.0


def make_world(record) -> World:
    """Returns the deployment: three entry VMs and four executors in one rack."""
    return World(record, 3, EXECUTORS, CPU, lambda number: ["a", "r1-0"], True)


async def play(world: World, trouble: bool) -> None:
    """Submits small jobs at a steady rate while the leader freezes repeatedly."""
    async with asyncio.TaskGroup() as group:
        group.create_task(submit_jobs(world, group))
        await asyncio.sleep(WARM_UP_S)
        for _ in range(FREEZES):
            leader = next(e for e in world.entries if e.name == world.store.leader)
            if trouble:
                world.record.write(f"freeze  {leader.name}")
                leader.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(FREEZE_S)
            if trouble:
                leader.process.send_signal(signal.SIGCONT)
                world.record.write(f"wake    {leader.name}")
            await asyncio.sleep(PAUSE_S)
    await asyncio.sleep(4.0)


async def submit_jobs(world: World, group: asyncio.TaskGroup) -> None:
    """Submits jobs at a steady rate."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + WARM_UP_S + FREEZES * (FREEZE_S + PAUSE_S)
    while loop.time() < ends_at:
        entry = random.randrange(len(world.entries))
        group.create_task(world.submit("plain", [STEP], [SPEC], entry))
        await asyncio.sleep(1 / JOBS_PER_S)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, make_world, play))
