"""Calls of the log that have to succeed before anything else can go on."""

from collections.abc import Awaitable, Callable

import curio

from arbutusladder.errors import LogUnavailable

# Seconds before a call of the log without an answer is made again.
RETRY_DELAY_S = 0.2


async def retry_until_answered(call: Callable[[], Awaitable[None]]) -> None:
    """Makes a call of the log until it is answered."""
    while True:
        try:
            await call()
            return
        except LogUnavailable:
            await curio.sleep(RETRY_DELAY_S)
