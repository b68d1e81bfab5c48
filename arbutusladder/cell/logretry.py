"""Retries of log calls that must succeed before their caller can continue."""

from collections.abc import Awaitable, Callable

import curio

from arbutusladder.errors import LogUnavailable

# Seconds before a failed call is repeated.
RETRY_DELAY_S = 0.2


async def retry_until_answered(call: Callable[[], Awaitable[None]]) -> None:
    """Repeats a call of the log until the log answers it."""
    while True:
        try:
            await call()
            return
        except LogUnavailable:
            await curio.sleep(RETRY_DELAY_S)
