"""A gang that prefers one rack, and small jobs, after one loss in each rack."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins2.judge import find_idle  # noqa: E402
from standins2.world import World, play  # noqa: E402

RACKS, RACK_SIZE, CORES = 3, 8, 16
QUEUES = [
    {
        "name": "recon",
        "priority": 1,
        "max-attempts": 3,
        "stretch": 2.2,
        "slo-ms": 1000,
    },
    {
        "name": "rollup",
        "priority": 2,
        "max-attempts": 3,
        "stretch": 4.0,
        "slo-ms": 3000,
    },
]
# Two tasks fit on an executor, so the gang fits into one whole rack.
GANG = {
    "count": 2 * RACK_SIZE,
    "cpu": 7500,
    "mem-mb": 2000,
    "estimate-ms": 12000,
    "gang": True,
    "same-rack": True,
}
GANG_WORK_S = 6.0
SMALL = {"count": 2, "cpu": 1000, "mem-mb": 500, "estimate-ms": 2200}
SMALL_JOBS = 4
# Three heartbeats, after which the store removes the entry of a silent executor.
LAPSE_S = 4.5


async def lose_one_of_each_rack(world):
    """Loses the first executor of each rack for good; their entries lapse."""
    lost = world.executors[::RACK_SIZE]
    for executor in lost:
        executor.lose()
    await asyncio.sleep(LAPSE_S)
    for executor in lost:
        world.store.put("keyed.servers", executor.name, None)


async def case():
    """Plays the case; returns the broken rules."""
    labels = [["a", f"r1-{rack}"] for rack in range(RACKS) for _ in range(RACK_SIZE)]
    async with World(FOLDER, QUEUES, labels, CORES) as world:
        if world.trouble:
            await lose_one_of_each_rack(world)
        await asyncio.sleep(3.0)
        jobs = {await world.submit("recon", [GANG], GANG_WORK_S): "recon"}
        await asyncio.sleep(0.5)
        for _ in range(SMALL_JOBS):
            jobs[await world.submit("rollup", [SMALL], 2.2)] = "rollup"
            await asyncio.sleep(0.3)
        return await find_idle(world, jobs)


play(case)
