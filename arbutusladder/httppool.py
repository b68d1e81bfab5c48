"""HTTP requests over kept connections, by address."""

from arbutusladder.clock import Clock
from arbutusladder.httpclient import HttpConnection, HttpResponse
from arbutusladder.messages import Header

# Idle seconds after which a connection is not used again: something between the
# two ends may have lost track of it.
IDLE_LIMIT_S = 8.0
CONNECT_TIMEOUT_S = 0.7
# Connections kept for one address beyond those in use.
MOST_IDLE = 8


class HttpConnectionPool:
    """Keeps idle connections and closes those that failed.

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
        silence: float | None = None,
    ) -> HttpResponse:
        """Sends one request and returns the whole answer.

        Args:
            address: IP address and port.
            method: HTTP method.
            path: Path with query.
            headers: Header fields.
            body: Body.
            timeout: Seconds for the exchange, after connecting.
            silence: Seconds without a byte of the answer after which it is given up;
                a large answer over a slow link is not silent.

        Raises:
            HttpError: There is no whole answer; ``sent`` tells whether the
                server may have seen the request.
        """
        connection = await self._take(address)
        if connection is None:
            connection = await HttpConnection.connect(address, CONNECT_TIMEOUT_S)
        try:
            answer = await connection.exchange(
                method,
                path,
                headers,
                body,
                timeout,
                silence=silence,
                on_silence=_give_up,
            )
        except BaseException:
            await connection.close()
            await self.close_idle(address)
            raise
        await self._give_back(address, connection)
        return answer

    async def close_idle(self, address: str) -> None:
        """Closes the idle connections to an address."""
        for _, connection in self._idle_by_address.pop(address, []):
            await connection.close()

    async def _take(self, address: str) -> HttpConnection | None:
        idle = self._idle_by_address.get(address, [])
        oldest = self._clock.now() - IDLE_LIMIT_S
        while idle:
            used_at, connection = idle.pop()
            if used_at > oldest and connection.is_reusable():
                return connection
            await connection.close()
        return None

    async def _give_back(self, address: str, connection: HttpConnection) -> None:
        idle = self._idle_by_address.setdefault(address, [])
        if not connection.usable or len(idle) >= MOST_IDLE:
            await connection.close()
            return
        idle.append((self._clock.now(), connection))


async def _give_up() -> bool:
    return True
