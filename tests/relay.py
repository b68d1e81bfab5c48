"""TCP relay that can drop traffic without closing its connections.

Run as ``python -m tests.relay CONTROL LISTEN TARGET [LISTEN TARGET ...]``. A POST
to the control address sets the fault of routes:

- ``{"routes": [LISTEN, ...], "cut": true}`` drops the traffic of open connections
  in both directions, and accepts new connections without forwarding them.
- ``{"routes": [...], "silent": true}`` drops the traffic of open connections only.
- ``{"routes": [...], "cut": false}`` forwards new connections; connections whose
  traffic was dropped stay without traffic.
"""

import sys

import curio
import msgspec

from arbutusladder.httpclient import HttpResponse, split_address
from arbutusladder.httpserver import HttpServer

READ_SIZE_BYTES = 65536
STALL_S = 3600


class Route:
    """Forwards connections from one address to another.

    Each fault begins a new generation; connections of older generations forward
    nothing more.
    """

    def __init__(self, listen, target):
        self._listen = split_address(listen)
        self._target = split_address(target)
        self._generation = 0
        self._cut = False

    def set_fault(self, cut, silent):
        """Sets the fault of the route.

        Args:
            cut: Drops the traffic of open and new connections.
            silent: Drops the traffic of open connections.
        """
        if cut or silent:
            self._generation += 1
        self._cut = cut

    async def run(self):
        """Accepts and forwards connections until cancelled."""
        await curio.tcp_server(*self._listen, self._forward_connection)

    async def _forward_connection(self, client, _address):
        generation = self._generation
        if self._cut:
            await curio.sleep(STALL_S)
        try:
            server = await curio.open_connection(*self._target)
        except OSError:
            return
        async with server, curio.TaskGroup(wait=any) as group:
            await group.spawn(self._forward_bytes, client, server, generation)
            await group.spawn(self._forward_bytes, server, client, generation)

    async def _forward_bytes(self, source, sink, generation):
        while True:
            data = await source.recv(READ_SIZE_BYTES)
            if generation != self._generation:
                await curio.sleep(STALL_S)
            if not data:
                return
            await sink.sendall(data)


async def main(control, *addresses):
    """Runs the routes and the control server.

    Args:
        control: Address of the control server.
        addresses: Listen and target addresses in turn, two for each route.
    """
    pairs = zip(addresses[::2], addresses[1::2], strict=True)
    route_by_listen = {listen: Route(listen, target) for listen, target in pairs}

    async def handle_control_request(request):
        fault = msgspec.json.decode(request.body)
        for listen in fault.get("routes", ()):
            route = route_by_listen[listen]
            route.set_fault(fault.get("cut", False), fault.get("silent", False))
        return HttpResponse(200, [], b"{}")

    server = HttpServer(control, handle_control_request)
    async with curio.TaskGroup() as group:
        await group.spawn(server.run)
        for route in route_by_listen.values():
            await group.spawn(route.run)


if __name__ == "__main__":
    curio.run(main, *sys.argv[1:])
