"""Another writer puts an incomplete entry into the registry of executors."""

import asyncio
import json
import random
import sys
import time
from pathlib import Path

from standins.case import run_case
from standins.executors import SERVERS_TOPIC, TaskSpec
from standins.world import SERVICE, World

EXECUTORS = 8
CPU = 16000
JOBS_PER_S = 8.0
STEP = {"count": 2, "cpu": 1400, "mem-mb": 256, "estimate-ms": 800}
SPEC = TaskSpec(1400, 1.6)
WARM_UP_S = 4.0
PLAY_S = 16.0


def make_world(record) -> World:
    """Returns the deployment: three entry VMs and eight executors in two racks."""
    return World(record, 3, EXECUTORS, CPU, lambda number: ["a", f"r1-{number // 4}"])


async def play(world: World, trouble: bool) -> None:
    """Submits small jobs at a steady rate; an incomplete entry comes meanwhile."""
    async with asyncio.TaskGroup() as group:
        group.create_task(submit_jobs(world, group))
        await asyncio.sleep(WARM_UP_S)
        if trouble:
            # Lacks zone, version, slots, cold-left-ms, seq and labels.
            executor = max(world.executors, key=lambda row: len(row.running))
            entry = {
                "service": SERVICE,
                "address": executor.server.address,
                "state": "ready",
                "capacity": {"cpu": CPU, "mem-mb": 32768, "gpu": 0},
                "born": int(time.time() * 1000),
            }
            world.record.write(f"entry   x-0001 {json.dumps(entry)}")
            world.store.put(SERVERS_TOPIC, "x-0001", json.dumps(entry).encode())
    await asyncio.sleep(8.0)


async def submit_jobs(world: World, group: asyncio.TaskGroup) -> None:
    """Submits jobs at a steady rate."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + PLAY_S
    while loop.time() < ends_at:
        entry = random.randrange(len(world.entries))
        group.create_task(world.submit("plain", [STEP], [SPEC], entry))
        await asyncio.sleep(1 / JOBS_PER_S)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, make_world, play))
