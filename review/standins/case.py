"""Runs one case and returns its exit code."""

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from enum import IntEnum
from pathlib import Path

from standins.record import Record
from standins.world import World

LIMIT_S = 110.0


class ExitCode(IntEnum):
    """Exit codes of a case."""

    HELD = 0
    BROKEN = 1
    COULD_NOT_RUN = 2


def run_case(
    folder: Path,
    make_world: Callable[[Record], World],
    play: Callable[[World, bool], Awaitable[None]],
) -> int:
    """Plays a case; see `ExitCode` for the result.

    Args:
        folder: Folder of the case, for its record.
        make_world: Returns the deployment.
        play: Coroutine function that plays the case; its second argument says whether
            to cause the disruption. It raises an exception if the case cannot run.
    """
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"disruption: {trouble}")
    return asyncio.run(_run(record, make_world, play, trouble))


async def _run(record, make_world, play, trouble) -> int:
    world = make_world(record)
    main_task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, main_task.cancel)
    try:
        async with asyncio.timeout(LIMIT_S):
            await world.start()
            await play(world, trouble)
        await _require_running(world)
    except Exception:
        record.write(traceback.format_exc())
        if not record.broken:
            traceback.print_exc()
            return ExitCode.COULD_NOT_RUN
    finally:
        world.close(os.environ.get("KEEP_LOGS"))
    for line in record.broken[:10]:
        print(line, file=sys.stderr)
    print(f"starts: {world.fleet.starts}, broken rules: {len(record.broken)}")
    return ExitCode.BROKEN if record.broken else ExitCode.HELD


async def _require_running(world: World) -> None:
    for entry in world.entries:
        if entry.process.poll() is not None:
            raise RuntimeError(f"{entry.name} has ended by itself")
