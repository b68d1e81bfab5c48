"""Table of open connections, which closes idle ones when there are too many.

A connection is idle while its client has sent nothing of its next request. When the
limit is reached, the client address with the most connections gives way first, so that
one client can't displace others by opening many. The head of a new client follows its
connection by a round trip, so a connection counts as idle only some time later.
"""

import math
from collections.abc import Callable

from arbutusladder.httplimits.refusals import Limit

# Seconds without data after which a connection gives way before others that are busy.
MIN_IDLE_S = 1.0


class OpenConnection:
    """One connection.

    Args:
        host: Address of the client, without its port.
        close: Closes it at once.
    """

    def __init__(self, host: str, close: Callable[[], None]):
        self.host = host
        self.close = close


class ConnectionTable:
    """Admits connections, and closes idle ones to admit others.

    Args:
        max_connections: Largest number of open connections.
        max_per_host: Largest number for one client address; 0 for no limit.
    """

    def __init__(self, max_connections: int, max_per_host: int = 0):
        self._max_connections = max_connections
        self._max_per_host = max_per_host
        self._connections_by_host: dict[str, set[OpenConnection]] = {}
        self._idle_by_host: dict[str, dict[OpenConnection, float]] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def exceeded_limit(self, host: str) -> Limit | None:
        """Returns the limit that one more connection of a client would exceed."""
        of_host = len(self._connections_by_host.get(host, ()))
        if self._max_per_host and of_host >= self._max_per_host:
            return Limit.PEER_CONNECTIONS
        return Limit.CONNECTIONS if self._count >= self._max_connections else None

    def add(self, connection: OpenConnection, now: float) -> None:
        """Adds a connection, which is idle at first."""
        of_host = self._connections_by_host.setdefault(connection.host, set())
        of_host.add(connection)
        self._count += 1
        self.set_idle(connection, now)

    def remove(self, connection: OpenConnection) -> None:
        """Removes a connection, if it is in the table."""
        of_host = self._connections_by_host.get(connection.host)
        if of_host is None or connection not in of_host:
            return
        of_host.discard(connection)
        self._count -= 1
        if not of_host:
            del self._connections_by_host[connection.host]
        self.set_busy(connection)

    def set_idle(self, connection: OpenConnection, now: float) -> None:
        """Records that a connection waits for its next request."""
        if connection in self._connections_by_host.get(connection.host, ()):
            self._idle_by_host.setdefault(connection.host, {})[connection] = now

    def set_busy(self, connection: OpenConnection) -> None:
        """Records that a connection has received a part of a request."""
        idle = self._idle_by_host.get(connection.host)
        if idle is not None:
            idle.pop(connection, None)
            if not idle:
                del self._idle_by_host[connection.host]

    def close_idle(self, host: str = "", idle_since: float = math.inf) -> bool:
        """Closes the connection that has been idle for longest.

        Args:
            host: Client address whose connection is closed; by default the one with
                the most connections.
            idle_since: Latest time at which it may have become idle.

        Returns:
            Whether there was such a connection.
        """
        if not host:
            sizes = self._connections_by_host
            hosts = [
                h
                for h, idle in self._idle_by_host.items()
                if next(iter(idle.values())) <= idle_since
            ]
            host = max(hosts, key=lambda h: len(sizes[h]), default="")
        connection, since = next(
            iter(self._idle_by_host.get(host, {}).items()), (None, math.inf)
        )
        if connection is None or since > idle_since:
            return False
        self.remove(connection)
        connection.close()
        return True
