"""A task near its data whose executor is lost after its tickets have expired."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins2.judge import find_idle  # noqa: E402
from standins2.world import World, play  # noqa: E402

EXECUTORS, RACK_SIZE, CORES = 24, 6, 64
# Decision, each executor and validity of a ticket, as for the site's scale audits.
ADVICE = (0.053, 0.00075, 1.5)
QUEUES = [
    {
        "name": "audit",
        "priority": 2,
        "max-attempts": 2,
        "stretch": 4.0,
        "slo-ms": 3000,
    }
]
STEP = {
    "count": 1,
    "cpu": 3900,
    "mem-mb": 5600,
    "estimate-ms": 4000,
    "affinity": "r1-3",
}
WORK_S = 4.0
# Seconds after the start at which the executor is lost.
RUNNING_S = 2.5
# Three heartbeats, after which the store removes the entry of a silent executor.
LAPSE_S = 4.5


async def case():
    """Plays the case; returns the broken rules."""
    labels = [["a", f"r1-{number // RACK_SIZE}"] for number in range(EXECUTORS)]
    async with World(FOLDER, QUEUES, labels, CORES, advice=ADVICE) as world:
        job = await world.submit("audit", [STEP], WORK_S)
        while not world.started(job):
            await asyncio.sleep(0.05)
        await asyncio.sleep(RUNNING_S)
        if world.trouble:
            name = world.started(job)[0][2]
            (executor,) = (e for e in world.executors if e.name == name)
            executor.lose()
            await asyncio.sleep(LAPSE_S)
            world.store.put("keyed.servers", executor.name, None)
        return await find_idle(world, {job: "audit"})


play(case)
