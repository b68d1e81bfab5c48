"""TCP relay that can drop traffic without closing its connections.

Run as ``python -m tests.relay CONTROL LISTEN TARGET [LISTEN TARGET ...]``. A POST
to the control address sets the fault of routes:

- ``{"routes": [LISTEN, ...], "cut": true}`` drops the traffic of open connections
  in both directions, and accepts new connections without forwarding them.
- ``{"routes": [...], "silent": true}`` drops the traffic of open connections only.
- ``{"routes": [...], "cut": false}`` forwards new connections; connections whose
  traffic was dropped stay without traffic.
"""

import contextlib
import random
import socket
import struct
import sys

import curio
import msgspec

from arbutusladder.httpclient import HttpResponse, split_address
from arbutusladder.httpserver import HttpServer

READ_SIZE_BYTES = 65536
STALL_S = 3600
# Lets a socket close with a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Route:
    """Forwards connections from one address to another.

    Each fault begins a new generation; connections of older generations forward
    nothing more.

    Args:
        listen: Address on which it accepts connections.
        target: Address to which it forwards them.

    Attributes:
        address: Address on which it accepts connections.
        answer_delay_s: Longest delay of the data of the target, drawn for each piece.
        loses_answers: Whether data of the target is dropped. A connection that has
            lost data gets none later.
        lost_request: Text; a connection whose client sends a piece with it is not
            forwarded from then on. None forwards all.
    """

    def __init__(self, listen, target):
        self.answer_delay_s = 0.0
        self.loses_answers = False
        self.lost_request: bytes | None = None
        self.address = listen
        self._listen = split_address(listen)
        self._target = split_address(target)
        self._generation = 0
        self._cut = False
        self._sockets_by_task: dict[curio.Task, list] = {}

    def set_fault(self, cut, silent):
        """Sets the fault of the route.

        Args:
            cut: Drops the traffic of open and new connections.
            silent: Drops the traffic of open connections.
        """
        if cut or silent:
            self._generation += 1
        self._cut = cut

    async def set_target(self, target):
        """Forwards to another address, and resets the open connections."""
        self._target = split_address(target)
        await self.reset()

    async def reset(self):
        """Closes all open connections with a reset on both sides."""
        for task, sockets in list(self._sockets_by_task.items()):
            for sock in sockets:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            await task.cancel(blocking=False)

    async def run(self):
        """Accepts and forwards connections until cancelled."""
        await curio.tcp_server(*self._listen, self._forward_connection)

    async def _forward_connection(self, client, _address):
        task = await curio.current_task()
        self._sockets_by_task[task] = sockets = [client]
        try:
            with contextlib.suppress(OSError):
                await self._forward(client, sockets)
        finally:
            del self._sockets_by_task[task]

    async def _forward(self, client, sockets):
        generation = self._generation
        if self._cut:
            await curio.sleep(STALL_S)
        # An open_connection of curio looks the address up in a thread.
        server = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sockets.append(server)
        async with server, curio.TaskGroup(wait=any) as group:
            await server.connect(self._target)
            await group.spawn(self._forward_requests, client, server, generation)
            await group.spawn(self._forward_answers, server, client, generation)

    async def _forward_requests(self, client, server, generation):
        with contextlib.suppress(OSError):
            while data := await self._receive(client, generation):
                if self.lost_request is not None and self.lost_request in data:
                    await curio.sleep(STALL_S)
                await server.sendall(data)

    async def _forward_answers(self, server, client, generation):
        has_lost_data = False
        with contextlib.suppress(OSError):
            while data := await self._receive(server, generation):
                if self.answer_delay_s:
                    await curio.sleep(random.uniform(0.0, self.answer_delay_s))
                has_lost_data = has_lost_data or self.loses_answers
                if not has_lost_data:
                    await client.sendall(data)

    async def _receive(self, source, generation):
        """Returns what a side has sent next; stalls once a fault has begun."""
        data = await source.recv(READ_SIZE_BYTES)
        if generation != self._generation:
            await curio.sleep(STALL_S)
        return data


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
