"""Pool of HTTP connections to executors.

All idle connections to an endpoint are closed when one connection to it stalls.
`EndpointConnectionPool` owns the idle connections.
"""

from dataclasses import dataclass

from arbutusladder.clock import Clock
from arbutusladder.endpointlimits import EndpointLimits
from arbutusladder.errors import HttpError
from arbutusladder.httpclient import HttpConnection
from arbutusladder.ids import VmId
from arbutusladder.states import Reason

# Idle time after which a connection is closed.
IDLE_TIMEOUT_S = 5.0


@dataclass(eq=False)
class PooledConnection:
    """One connection of the pool.

    Attributes:
        endpoint: The endpoint.
        http: The HTTP connection.
        answered_at: Monotonic time in seconds of the last response, or of the
            connect.
        is_new: Whether it has carried no request yet.
    """

    endpoint: VmId
    http: HttpConnection
    answered_at: float
    is_new: bool = True


class EndpointConnectionPool:
    """Reuses idle connections and opens new ones within the limits of endpoints.

    Args:
        limits: Counts and limits open connections by endpoint.
        clock: Monotonic time.
        linger_s: Seconds for which a connection that was closed while it stalled
            may still be open at the endpoint, and so counts against its limit.
    """

    def __init__(self, limits: EndpointLimits, clock: Clock, linger_s: float):
        self._limits = limits
        self._clock = clock
        self._linger_s = linger_s
        self._idle_by_endpoint: dict[VmId, list[PooledConnection]] = {}

    def idle_count(self, endpoint: VmId) -> int:
        """Returns the number of idle connections to an endpoint."""
        return len(self._idle_by_endpoint.get(endpoint, ()))

    async def acquire(
        self, endpoint: VmId, address: str, max_connection_idle: float, timeout: float
    ) -> PooledConnection:
        """Returns an idle connection or a new one.

        Args:
            endpoint: The endpoint.
            address: Its address and port.
            max_connection_idle: Longest accepted time in seconds since the last
                response on a reused connection; with 0 the connection is new.
            timeout: Seconds to wait for a new connection.

        Raises:
            HttpError: No connection could be opened; nothing was sent.
        """
        connection = await self._take_idle(endpoint, address, max_connection_idle)
        if connection is None:
            connection = await self._open(endpoint, address, timeout)
        return connection

    async def release(self, connection: PooledConnection) -> None:
        """Returns a connection to the pool, or closes it if it is not usable."""
        connection.answered_at = self._clock.now()
        connection.is_new = False
        if not connection.http.usable:
            await self._close(connection)
            return
        self._idle_by_endpoint.setdefault(connection.endpoint, []).append(connection)

    async def discard(self, connection: PooledConnection, until: float = 0.0) -> None:
        """Closes a connection whose request has no response.

        Args:
            connection: The connection.
            until: Monotonic time in seconds until which it may still be open at
                the endpoint, and so counts against its limit.
        """
        self._limits.close_connection(connection.endpoint, until)
        await connection.http.abort()

    async def abort_idle(self, endpoint: VmId) -> int:
        """Aborts all idle connections to an endpoint of which one stalled.

        Returns:
            The number of aborted connections.
        """
        idle = self._idle_by_endpoint.pop(endpoint, [])
        until = self._clock.now() + self._linger_s
        for connection in idle:
            await self.discard(connection, until)
        return len(idle)

    async def close_idle(self, endpoint: VmId) -> None:
        """Closes all idle connections to an endpoint."""
        for connection in self._idle_by_endpoint.pop(endpoint, []):
            await self._close(connection)

    async def close_all(self) -> None:
        """Closes all idle connections."""
        for endpoint in list(self._idle_by_endpoint):
            await self.close_idle(endpoint)

    async def close_expired(self) -> None:
        """Closes connections whose idle time has expired."""
        oldest_usable = self._clock.now() - IDLE_TIMEOUT_S
        for endpoint, idle in list(self._idle_by_endpoint.items()):
            expired = [c for c in idle if c.answered_at <= oldest_usable]
            idle[:] = [c for c in idle if c.answered_at > oldest_usable]
            if not idle:
                self._idle_by_endpoint.pop(endpoint, None)
            for connection in expired:
                await self._close(connection)

    async def _take_idle(
        self, endpoint: VmId, address: str, limit: float
    ) -> PooledConnection | None:
        idle = self._idle_by_endpoint.get(endpoint, [])
        oldest_usable = self._clock.now() - limit
        while idle and idle[-1].answered_at > oldest_usable:
            connection = idle.pop()
            if connection.http.address == address and connection.http.is_reusable():
                return connection
            await self._close(connection)
        return None

    async def _open(
        self, endpoint: VmId, address: str, timeout: float
    ) -> PooledConnection:
        if not await self._reserve_connection(endpoint):
            detail = f"{address}: the endpoint's connection limit is reached"
            raise HttpError(Reason.CONNECT_FAILED, detail, sent=False)
        try:
            http = await HttpConnection.connect(address, timeout)
        except BaseException:
            self._limits.close_connection(endpoint)
            raise
        return PooledConnection(endpoint, http, self._clock.now())

    async def _reserve_connection(self, endpoint: VmId) -> bool:
        if self._limits.open_connection(endpoint, self._clock.now()):
            return True
        idle = self._idle_by_endpoint.get(endpoint)
        if not idle:
            return False
        await self._close(idle.pop(0))
        return self._limits.open_connection(endpoint, self._clock.now())

    async def _close(self, connection: PooledConnection) -> None:
        self._limits.close_connection(connection.endpoint)
        await connection.http.close()
