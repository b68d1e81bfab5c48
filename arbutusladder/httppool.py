"""HTTP requests over a pool of persistent connections, by address.

`HttpConnectionPool` owns the idle connections.
"""

import math

from arbutusladder.clock import Clock
from arbutusladder.httpclient import HttpConnection, HttpResponse
from arbutusladder.messages import Header

# Idle time after which a connection is not used again: a device between the two ends
# may have dropped its state.
IDLE_TIMEOUT_S = 8.0
# Longest wait for a new connection.
CONNECT_TIMEOUT_S = 0.7
# Largest number of idle connections kept for one address.
MAX_IDLE_PER_ADDRESS = 8


class HttpConnectionPool:
    """Sends requests over reused connections and closes those that failed.

    Args:
        clock: Monotonic time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._idle_by_address: dict[str, list[tuple[float, HttpConnection]]] = {}

    def now(self) -> float:
        """Returns monotonic time in seconds."""
        return self._clock.now()

    async def request(
        self,
        address: str,
        method: str,
        path: str,
        headers: list[Header],
        body: bytes,
        timeout: float,
        idle_timeout: float | None = None,
        send_by: float = math.inf,
    ) -> HttpResponse:
        """Sends one request and returns the complete response.

        Args:
            address: IP address and port.
            method: HTTP method.
            path: Path with query.
            headers: Header fields.
            body: Body.
            timeout: Seconds for the exchange, after connecting.
            idle_timeout: Seconds without a byte of the response after which the
                exchange is ended with an error; a large response over a slow link keeps
                sending bytes and may take longer.
            send_by: Latest time at which a byte of the request may be sent, see
                `Clock.now_with_suspensions`.

        Raises:
            HttpError: There is no complete response; ``sent`` is true if the
                server may have received the request.
        """
        connection = await self._take_idle(address)
        if connection is None:
            connection = await HttpConnection.connect(address, CONNECT_TIMEOUT_S)
        try:
            response = await connection.exchange(
                method,
                path,
                headers,
                body,
                timeout,
                idle_timeout=idle_timeout,
                on_idle_timeout=_give_up,
                send_by=send_by,
            )
        except BaseException:
            await connection.close()
            await self.close_idle(address)
            raise
        await self._release(address, connection)
        return response

    async def close_idle(self, address: str) -> None:
        """Closes the idle connections to an address."""
        for _, connection in self._idle_by_address.pop(address, []):
            await connection.close()

    async def _take_idle(self, address: str) -> HttpConnection | None:
        idle = self._idle_by_address.get(address, [])
        oldest_usable = self._clock.now() - IDLE_TIMEOUT_S
        while idle:
            used_at, connection = idle.pop()
            if used_at > oldest_usable and connection.is_reusable():
                return connection
            await connection.close()
        return None

    async def _release(self, address: str, connection: HttpConnection) -> None:
        idle = self._idle_by_address.setdefault(address, [])
        if not connection.usable or len(idle) >= MAX_IDLE_PER_ADDRESS:
            await connection.close()
            return
        idle.append((self._clock.now(), connection))


async def _give_up() -> bool:
    return True
