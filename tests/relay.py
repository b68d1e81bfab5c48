"""TCP relay that can go silent without closing its connections.

Run as ``python -m tests.relay CONTROL LISTEN TARGET [LISTEN TARGET ...]``. A POST
to the control address with ``{"routes": [LISTEN, ...], "cut": true}`` stops the
bytes of all open connections of these routes, in both directions, and swallows
new ones; ``{"routes": [...], "silent": true}`` stops only the open ones.
``{"routes": [...], "cut": false}`` lets new connections through; silent ones
stay silent.
"""

import sys

import curio
import msgspec

from arbutusladder.httpclient import HttpResponse, split_address
from arbutusladder.httpserver import HttpServer

READ_SIZE_BYTES = 65536
SILENCE_S = 3600


class Route:
    """Forwards connections from one address to another."""

    def __init__(self, listen, target):
        self._listen = split_address(listen)
        self._target = split_address(target)
        self._generation = 0
        self._cut = False

    def switch(self, cut, silent):
        """Changes the fault of the route."""
        if cut or silent:
            self._generation += 1
        self._cut = cut

    async def run(self):
        """Forwards until cancelled."""
        await curio.tcp_server(*self._listen, self._serve)

    async def _serve(self, client, _address):
        generation = self._generation
        if self._cut:
            await curio.sleep(SILENCE_S)
        try:
            server = await curio.open_connection(*self._target)
        except OSError:
            return
        async with server, curio.TaskGroup(wait=any) as group:
            await group.spawn(self._pump, client, server, generation)
            await group.spawn(self._pump, server, client, generation)

    async def _pump(self, source, sink, generation):
        while True:
            data = await source.recv(READ_SIZE_BYTES)
            if generation != self._generation:
                await curio.sleep(SILENCE_S)
            if not data:
                return
            await sink.sendall(data)


async def main(control, *addresses):
    """Runs the routes and the control address."""
    pairs = zip(addresses[::2], addresses[1::2], strict=True)
    route_by_listen = {listen: Route(listen, target) for listen, target in pairs}

    async def change(request):
        fault = msgspec.json.decode(request.body)
        for listen in fault.get("routes", ()):
            route = route_by_listen[listen]
            route.switch(fault.get("cut", False), fault.get("silent", False))
        return HttpResponse(200, [], b"{}")

    server = HttpServer(control, change)
    async with curio.TaskGroup() as group:
        await group.spawn(server.run)
        for route in route_by_listen.values():
            await group.spawn(route.run)


if __name__ == "__main__":
    curio.run(main, *sys.argv[1:])
