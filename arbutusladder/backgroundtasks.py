"""Starts daemon tasks whose failure is logged."""

import traceback
from collections.abc import Awaitable, Callable
from typing import Any

import curio

from arbutusladder.events import TASK_FAILED
from arbutusladder.journal import Journal


def log_failure(journal: Journal, name: str, error: Exception) -> None:
    """Writes the failure of a task with its traceback."""
    detail = "".join(traceback.format_exception(error))
    journal.write(TASK_FAILED, task=name, error=detail)


async def spawn_logged(
    journal: Journal, name: str, part: Callable[..., Awaitable[Any]], *arguments: Any
) -> curio.Task:
    """Starts a daemon task; nobody need join it to hear of its failure.

    Args:
        journal: Event log.
        name: Name of the task in the log.
        part: Coroutine function of the task.
        arguments: Its arguments.
    """
    return await curio.spawn(_logged, journal, name, part, arguments, daemon=True)


async def _logged(
    journal: Journal,
    name: str,
    part: Callable[..., Awaitable[Any]],
    arguments: tuple[Any, ...],
) -> Any:
    try:
        return await part(*arguments)
    except Exception as error:
        log_failure(journal, name, error)
        raise
