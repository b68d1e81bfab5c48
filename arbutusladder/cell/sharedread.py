"""Reads that concurrent callers share.

Many callers may need the newest records of a topic at the same time. Each of them needs
a read that begins after its call, but one such read serves all who wait. Without this,
every caller transfers the same records over the same link.
"""

from collections.abc import Awaitable, Callable

import curio


class SharedRead:
    """Makes one read at a time.

    Args:
        read: Coroutine function that reads.
        shared_error: Error of a read that also ends the calls which wait for it.
    """

    def __init__(
        self, read: Callable[[], Awaitable[None]], shared_error: type[Exception]
    ):
        self._read = read
        self._shared_error = shared_error
        self._lock = curio.Lock()
        self._begun = 0
        self._ended = 0
        self._error: Exception | None = None

    async def run(self) -> None:
        """Returns once a read that began after this call has ended.

        Raises:
            Exception: The read failed.
        """
        needed = self._begun + 1
        async with self._lock:
            if self._ended >= needed:
                if self._error:
                    raise self._error
                return
            self._begun += 1
            number, self._error = self._begun, None
            try:
                await self._read()
            except self._shared_error as error:
                self._error = error
                self._ended = number
                raise
            # A read that was cancelled or failed otherwise serves nobody.
            self._ended = number
