"""HTTP/1.1 server on curio and h11; requests and responses are held in memory.

The limits of what clients may use are those of `arbutusladder.httplimits`.
"""

import errno
import time
from collections.abc import Awaitable, Callable

import curio
import h11
from curio.network import tcp_server_socket

from arbutusladder.httpclient import HttpResponse, split_address
from arbutusladder.httplimits.limiter import HttpLimiter, trusted_limiter
from arbutusladder.httplimits.refusals import Limit, RequestRefused
from arbutusladder.serverconnection import HttpRequest, ServerConnection
from arbutusladder.states import Reason

__all__ = ["Handler", "HttpRequest", "HttpServer"]

LISTEN_BACKLOG = 512
# Errors of accept when the process or the machine is short of descriptors or memory.
ACCEPT_SHORTAGES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
ACCEPT_RETRY_S = 0.02

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


class HttpServer:
    """Accepts connections and passes each request to a handler.

    Args:
        address: IP address and port to listen on; port 0 selects a free one.
        handler: Coroutine function that returns the response to a request.
        max_body: Largest accepted request body in bytes, if there is no limiter.
        max_connections: Largest number of open connections, if there is no limiter.
        on_error: Called with an exception of the handler; the connection is
            closed without a response, so the client does not know the outcome.
        limiter: Limits of what clients may use; by default all callers are trusted.

    Attributes:
        address: Address and port on which the server listens.
        open_requests: Requests without a complete response.
        closing: Whether to close each connection after its next response.

    Raises:
        OSError: It cannot listen on the address, which the error names.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        max_body: int = 1024 * 1024,
        max_connections: int = 2000,
        on_error: Callable[[Exception], None] = lambda error: None,
        limiter: HttpLimiter | None = None,
    ):
        self._handler = handler
        self._on_error = on_error
        self._limiter = limiter or trusted_limiter(max_body, max_connections)
        host, port = split_address(address)
        try:
            self._sock = tcp_server_socket(host, port, backlog=LISTEN_BACKLOG)
        except OSError as error:
            # The text of the error ends with the address.
            error.filename = address
            raise
        self.address = "{}:{}".format(*self._sock.getsockname()[:2])
        self._tasks: set[curio.Task] = set()
        self.open_requests = 0
        self.closing = False

    async def run(self) -> None:
        """Accepts connections until cancelled."""
        accepted = 0
        try:
            while True:
                await self._accept()
                accepted += 1
                if accepted % self._limiter.settings.events_per_turn == 0:
                    await curio.sleep(0)
        finally:
            await self._sock.close()

    async def _accept(self) -> None:
        try:
            client, peer = await self._sock.accept()
        except ConnectionAbortedError:
            return
        except OSError as error:
            if error.errno not in ACCEPT_SHORTAGES:
                raise
            # The connection stays in the backlog until there is a descriptor for it.
            now = time.monotonic()
            self._limiter.refused(Limit.DESCRIPTORS, "unknown", now)
            self._limiter.free_connection(now)
            await curio.sleep(ACCEPT_RETRY_S)
            return
        host, name = peer[0], f"{peer[0]}:{peer[1]}"
        now = time.monotonic()
        limit = self._limiter.make_room_for_connection(host, now)
        if limit:
            self._limiter.refused(limit, name, now)
            # Lets the task of the closed connection end, which frees its descriptor.
            await curio.sleep(0)
            if self._limiter.connections.exceeded_limit(host):
                await client.close()
                return
        connection = ServerConnection(client, name, self._limiter)
        task = await curio.spawn(self._serve, connection, daemon=True)
        self._tasks.add(task)

    async def stop(self) -> None:
        """Closes all connections; open requests get no response."""
        for task in list(self._tasks):
            await task.cancel()

    async def _serve(self, connection: ServerConnection) -> None:
        task = await curio.current_task()
        try:
            async with connection:
                while await self._serve_one(connection):
                    pass
        except (OSError, curio.TaskTimeout, h11.RemoteProtocolError):
            pass
        except Exception as error:
            self._on_error(error)
        finally:
            self._tasks.discard(task)

    async def _serve_one(self, connection: ServerConnection) -> bool:
        try:
            request = await connection.read_request()
        except RequestRefused as refusal:
            await connection.refuse(refusal)
            return False
        except h11.RemoteProtocolError as error:
            status = getattr(error, "error_status_hint", 400)
            # What follows a colon quotes the request, which may contain a key.
            detail = str(error).partition(": ")[0]
            await connection.send_error(status, Reason.MALFORMED_REQUEST, detail)
            await connection.discard()
            return False
        if request is None:
            return False
        self.open_requests += 1
        try:
            response = await self._handler(request)
            return await connection.send_response(request, response, self.closing)
        finally:
            self.open_requests -= 1
