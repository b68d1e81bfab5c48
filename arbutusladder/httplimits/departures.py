"""Finds clients that have closed their connection, without reading what they sent.

A read shows the end of a connection only after all data before it. A client that
leaves while its data waits to be parsed would be noticed late.
"""

import select
from collections.abc import Callable

DEPARTED_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR


class DepartureWatch:
    """Watches connections for their end.

    A client that has only closed its sending side is reported, too; the socket does not
    show the difference.
    """

    def __init__(self) -> None:
        self._epoll = select.epoll()
        self._close_by_descriptor: dict[int, Callable[[], bool]] = {}

    def add(self, descriptor: int, close: Callable[[], bool]) -> None:
        """Watches a connection.

        Args:
            descriptor: Descriptor of its socket.
            close: Closes the connection unless its request is being handled, and
                returns whether it did.
        """
        self._epoll.register(descriptor, DEPARTED_EVENTS)
        self._close_by_descriptor[descriptor] = close

    def remove(self, descriptor: int) -> None:
        """Ends the watch of a connection, which must still be open."""
        if self._close_by_descriptor.pop(descriptor, None):
            self._epoll.unregister(descriptor)

    def close_departed(self) -> int:
        """Closes the connections that clients have left.

        Returns:
            Number of them.
        """
        closed = 0
        for descriptor, _ in self._epoll.poll(0):
            closed += self._close_by_descriptor[descriptor]()
        return closed
