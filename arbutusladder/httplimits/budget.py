"""Budget of the memory that unfinished requests of all connections hold together.

A request is charged for its incomplete head, the received part of its body and, once
it is complete, for what the handler makes of it, until its response is sent. When the
budget is exceeded, the requests that are still being received give way, the slowest
first; a request that the handler has seen never does.
"""

from collections.abc import Callable

# After a shortage, requests give way until this share of the budget is in use, so that
# the search for the slowest is not repeated with every read.
TARGET_SHARE = 0.875
# Seconds over which the rate of a sender is measured. A request that is younger gives
# way after all older ones, since its rate is not known.
RATE_WINDOW_S = 1.0


class HeldRequest:
    """What one connection holds of a request that is not answered yet.

    Args:
        give_way: Called to free the memory and to interrupt the wait for more data.

    Attributes:
        size: Bytes that are charged.
        gave_way: Whether the request must be refused.
        is_received: Whether the request is complete, so that it can't give way.
    """

    def __init__(self, give_way: Callable[[], None]):
        self._give_way = give_way
        self.size = 0
        self.gave_way = False
        self.is_received = False
        self._started_at = 0.0
        self._window_started_at = 0.0
        self._window_bytes = 0
        self._previous_window_bytes = 0

    def start(self, now: float) -> None:
        """Begins the measurement of the sender's rate."""
        self._started_at = self._window_started_at = now
        self._window_bytes = self._previous_window_bytes = 0
        self.is_received = False

    def add_progress(self, received: int, now: float) -> None:
        """Records that bytes were received."""
        elapsed = now - self._window_started_at
        if elapsed >= RATE_WINDOW_S:
            is_adjacent = elapsed < 2 * RATE_WINDOW_S
            self._previous_window_bytes = self._window_bytes if is_adjacent else 0
            self._window_started_at, self._window_bytes = now, 0
        self._window_bytes += received

    def rank(self, now: float) -> tuple[bool, int, int]:
        """Returns the rank by which requests give way, the lowest first.

        Old requests come before young ones, slow senders before fast ones, and of
        equal ones the one that holds most.
        """
        is_young = now - self._started_at < RATE_WINDOW_S
        recent = 0
        elapsed = now - self._window_started_at
        if not is_young and elapsed < 2 * RATE_WINDOW_S:
            recent = self._window_bytes
            if elapsed < RATE_WINDOW_S:
                recent += self._previous_window_bytes
        return is_young, recent, -self.size

    def yield_memory(self) -> None:
        """Makes the request give way."""
        self.gave_way = True
        self._give_way()


class RequestBudget:
    """Charges requests, and lets the slowest senders give way when it is exceeded.

    Args:
        capacity: Bytes that all requests may hold together. One request is always
            admitted, however large it is.

    Attributes:
        held: Bytes that are charged now.
    """

    def __init__(self, capacity: int):
        self._capacity = capacity
        self._requests: dict[HeldRequest, None] = {}
        self.held = 0

    def charge(self, request: HeldRequest, size: int, now: float) -> bool:
        """Sets the charge of a request that is still being received.

        Args:
            request: Request.
            size: Bytes that it holds now.
            now: Present monotonic time in seconds.

        Returns:
            Whether it may go on; otherwise it has given way.
        """
        if request.gave_way:
            return False
        if request not in self._requests:
            self._requests[request] = None
            request.start(now)
        received = size - request.size
        self._set_size(request, size)
        if received > 0:
            request.add_progress(received, now)
        self._make_room(now)
        return not request.gave_way

    def settle(self, request: HeldRequest, size: int, now: float) -> bool:
        """Sets the charge of a complete request, which can't give way any more.

        Args:
            request: Request.
            size: Bytes that it takes until its response is sent.
            now: Present monotonic time in seconds.

        Returns:
            Whether the handler may see it; otherwise it must be refused.
        """
        if request.gave_way:
            return False
        self._requests[request] = None
        request.is_received = True
        self._set_size(request, size)
        self._make_room(now)
        if self.held <= max(self._capacity, size):
            return True
        self.release(request)
        request.gave_way = True
        return False

    def release(self, request: HeldRequest) -> None:
        """Removes the charge of a request."""
        if request in self._requests:
            self._set_size(request, 0)
            del self._requests[request]

    def shed_slowest(self, now: float) -> bool:
        """Makes the slowest sender give way.

        Returns:
            Whether there was one.
        """
        slowest = min(self._receiving(), key=lambda r: r.rank(now), default=None)
        if slowest is None:
            return False
        self._shed(slowest)
        return True

    def _set_size(self, request: HeldRequest, size: int) -> None:
        self.held += size - request.size
        request.size = size

    def _receiving(self) -> list[HeldRequest]:
        return [request for request in self._requests if not request.is_received]

    def _make_room(self, now: float) -> None:
        if self.held <= self._capacity or len(self._requests) == 1:
            return
        target = self._capacity * TARGET_SHARE
        for request in sorted(self._receiving(), key=lambda r: r.rank(now)):
            if self.held <= target or len(self._requests) == 1:
                return
            self._shed(request)

    def _shed(self, request: HeldRequest) -> None:
        self.release(request)
        request.yield_memory()
