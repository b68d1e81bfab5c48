"""Background curio tasks whose failure is logged."""

import traceback
from collections.abc import Awaitable, Callable
from typing import Any

import curio

from arbutusladder.events import BACKGROUND_TASK_FAILED
from arbutusladder.journal import Journal


def log_failure(journal: Journal, name: str, error: Exception) -> None:
    """Logs the failure of a curio task with its traceback."""
    detail = "".join(traceback.format_exception(error))
    journal.write(BACKGROUND_TASK_FAILED, task=name, error=detail)


async def spawn_logged(
    journal: Journal,
    name: str,
    function: Callable[..., Awaitable[Any]],
    *arguments: Any,
) -> curio.Task:
    """Spawns a daemon task whose failure is logged without a join.

    Args:
        journal: Event log.
        name: Name of the task in the log.
        function: Coroutine function to run.
        arguments: Its positional arguments.

    Returns:
        The task; joining it raises its failure.
    """
    return await curio.spawn(
        _run_logged, journal, name, function, arguments, daemon=True
    )


async def _run_logged(
    journal: Journal,
    name: str,
    function: Callable[..., Awaitable[Any]],
    arguments: tuple[Any, ...],
) -> Any:
    try:
        return await function(*arguments)
    except Exception as error:
        log_failure(journal, name, error)
        raise
