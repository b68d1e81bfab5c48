"""HTTP connections by endpoint, closed when one goes silent."""

from dataclasses import dataclass

from arbutusladder.clock import Clock
from arbutusladder.endpointlimits import EndpointLimits
from arbutusladder.errors import HttpError
from arbutusladder.httpclient import HttpConnection
from arbutusladder.ids import VmId
from arbutusladder.states import Reason

IDLE_LIMIT_S = 5.0


@dataclass(eq=False)
class PooledConnection:
    """One connection of the pool.

    Attributes:
        endpoint: The endpoint.
        http: The HTTP connection.
        answered_at: Monotonic time of the last answer or of the connect.
        is_new: Whether it carried no request yet.
    """

    endpoint: VmId
    http: HttpConnection
    answered_at: float
    is_new: bool = True


class EndpointConnectionPool:
    """Keeps idle connections and opens new ones within the limits.

    Args:
        limits: Counts open connections by endpoint.
        clock: Monotonic time.
        linger: Seconds for which the endpoint may still see a connection that
            was closed while silent.
    """

    def __init__(self, limits: EndpointLimits, clock: Clock, linger: float):
        self._limits = limits
        self._clock = clock
        self._linger = linger
        self._idle_by_endpoint: dict[VmId, list[PooledConnection]] = {}

    def idle(self, endpoint: VmId) -> int:
        """Returns the number of idle connections to an endpoint."""
        return len(self._idle_by_endpoint.get(endpoint, ()))

    async def acquire(
        self, endpoint: VmId, address: str, max_idle: float, timeout: float
    ) -> PooledConnection:
        """Returns an idle connection or a new one.

        Args:
            endpoint: The endpoint.
            address: Its address and port.
            max_idle: Seconds since the last answer that are accepted; with 0
                the connection is new.
            timeout: Seconds to wait for a new connection.

        Raises:
            HttpError: No connection could be opened; nothing was sent.
        """
        connection = await self._take_idle(endpoint, address, max_idle)
        if connection is None:
            connection = await self._open(endpoint, address, timeout)
        return connection

    async def release(self, connection: PooledConnection) -> None:
        """Keeps a connection for the next request, if it can carry one."""
        connection.answered_at = self._clock.now()
        connection.is_new = False
        if not connection.http.usable:
            await self._close(connection)
            return
        self._idle_by_endpoint.setdefault(connection.endpoint, []).append(connection)

    async def discard(self, connection: PooledConnection, until: float = 0.0) -> None:
        """Closes a connection whose request has no answer.

        Args:
            connection: The connection.
            until: Time until which the endpoint may still see it.
        """
        self._limits.close_connection(connection.endpoint, until)
        await connection.http.abort()

    async def abort_idle(self, endpoint: VmId) -> int:
        """Closes all idle connections to an endpoint that went silent."""
        idle = self._idle_by_endpoint.pop(endpoint, [])
        until = self._clock.now() + self._linger
        for connection in idle:
            await self.discard(connection, until)
        return len(idle)

    async def close_idle(self, endpoint: VmId) -> None:
        """Closes all idle connections to an endpoint that needs none."""
        for connection in self._idle_by_endpoint.pop(endpoint, []):
            await self._close(connection)

    async def close_all(self) -> None:
        """Closes all idle connections."""
        for endpoint in list(self._idle_by_endpoint):
            await self.close_idle(endpoint)

    async def close_expired(self) -> None:
        """Closes connections that were idle for too long."""
        oldest = self._clock.now() - IDLE_LIMIT_S
        for endpoint, idle in list(self._idle_by_endpoint.items()):
            expired = [c for c in idle if c.answered_at <= oldest]
            idle[:] = [c for c in idle if c.answered_at > oldest]
            if not idle:
                self._idle_by_endpoint.pop(endpoint, None)
            for connection in expired:
                await self._close(connection)

    async def _take_idle(
        self, endpoint: VmId, address: str, limit: float
    ) -> PooledConnection | None:
        idle = self._idle_by_endpoint.get(endpoint, [])
        oldest = self._clock.now() - limit
        while idle and idle[-1].answered_at > oldest:
            connection = idle.pop()
            if connection.http.address == address and connection.http.is_reusable():
                return connection
            await self._close(connection)
        return None

    async def _open(
        self, endpoint: VmId, address: str, timeout: float
    ) -> PooledConnection:
        if not await self._make_room(endpoint):
            detail = f"{address}: all connections that the endpoint permits are open"
            raise HttpError(Reason.CONNECT_FAILED, detail, sent=False)
        try:
            http = await HttpConnection.connect(address, timeout)
        except BaseException:
            self._limits.close_connection(endpoint)
            raise
        return PooledConnection(endpoint, http, self._clock.now())

    async def _make_room(self, endpoint: VmId) -> bool:
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
