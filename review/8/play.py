"""One job with a long schedule, and small jobs beside it."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins2.judge import find_idle  # noqa: E402
from standins2.world import World, play  # noqa: E402

EXECUTORS, RACK_SIZE, CORES = 24, 6, 64
QUEUES = [
    {
        "name": "residual",
        "priority": 1,
        "max-attempts": 3,
        "stretch": 2.2,
        "slo-ms": 1000,
    },
    {
        "name": "quote",
        "priority": 0,
        "max-attempts": 2,
        "stretch": 1.5,
        "slo-ms": 250,
    },
]
# Every three minutes, for a year or for a day.
INTERVAL_MS = 180_000
YEAR, DAY = 365 * 480, 480
STEP = {"count": 8, "cpu": 1000, "mem-mb": 500, "estimate-ms": 6200}
QUOTE = {"count": 2, "cpu": 5600, "mem-mb": 5600, "estimate-ms": 800}
QUOTES = 12


async def case():
    """Plays the case; returns the broken rules."""
    labels = [["a", f"r1-{number // RACK_SIZE}"] for number in range(EXECUTORS)]
    async with World(FOLDER, QUEUES, labels, CORES) as world:
        watch = asyncio.create_task(world.enforce_memory())
        schedule = {
            "times": YEAR if world.trouble else DAY,
            "first-ms": int(time.time() * 1000) + INTERVAL_MS,
            "interval-ms": INTERVAL_MS,
        }
        # At once answered only by a node that is not busy with it itself.
        client_node = world.follower()
        await world.submit("residual", [STEP], 6.2, entry=client_node, **schedule)
        clients = [world.submit_patiently("quote", [QUOTE], 0.8) for _ in range(QUOTES)]
        jobs = {job: "quote" for job in await asyncio.gather(*clients) if job}
        broken = await find_idle(world, jobs)
        watch.cancel()
        print(f"{len(jobs)} of {QUOTES} quotes were accepted; {world.kills} kills")
        return broken


play(case)
