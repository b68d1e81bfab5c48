"""Many short tasks on one executor end just after the owner was killed."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins2.judge import find_repeated  # noqa: E402
from standins2.world import CannotRun, World, play  # noqa: E402

EXECUTORS, RACK_SIZE, CORES = 24, 6, 64
QUEUES = [
    {
        "name": "audit",
        "priority": 2,
        "max-attempts": 2,
        "stretch": 4.0,
        "slo-ms": 3000,
    }
]
# All of them fit on one executor, and the owner fills one before the next.
STEP = {"count": 60, "cpu": 50, "mem-mb": 50, "estimate-ms": 6000}
JOBS = 21
WORK_S = 6.0
# Seconds between two jobs, so that an executor gets at most 64 orders at a time.
GAP_S = 0.05
# Seconds before the first end at which the owner is killed, and until it is back.
AHEAD_S, DOWN_S = 0.1, 3.5


async def case():
    """Plays the case; returns the broken rules."""
    labels = [["a", f"r1-{number // RACK_SIZE}"] for number in range(EXECUTORS)]
    async with World(FOLDER, QUEUES, labels, CORES) as world:
        jobs = []
        for _ in range(JOBS):
            jobs.append(await world.submit("audit", [STEP], WORK_S))
            await asyncio.sleep(GAP_S)
        while len(world.starts) < JOBS * STEP["count"]:
            await asyncio.sleep(0.02)
        kill_at = world.starts[0][3] + WORK_S - AHEAD_S
        if world.now() > kill_at:
            raise CannotRun("the tasks were not started in time")
        await asyncio.sleep(kill_at - world.now())
        if world.trouble:
            await world.kill_leader(DOWN_S)
        await asyncio.sleep(15.0)
        for job in jobs:
            await world.state("audit", job)
        return find_repeated(world)


play(case)
