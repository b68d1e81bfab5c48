"""Fake of the platform's VM list for tests, with fault injection over HTTP.

Usage:
    fakevmlist [--listen=ADDRESS] [--lag=SECONDS] [--file=JSON]

Options:
    --listen=ADDRESS   IP address and port [default: 127.0.0.1:7071].
    --lag=SECONDS      Age of the list that clients get [default: 0].
    --file=JSON        JSON file with the initial list.
"""

from collections import deque
from pathlib import Path

import curio
import msgspec
import xxhash
from docopt import docopt

from arbutusladder import codec
from arbutusladder.clock import Clock
from arbutusladder.errors import ProtocolError
from arbutusladder.httpclient import HttpResponse
from arbutusladder.httpserver import HttpRequest, HttpServer
from arbutusladder.ids import VmId
from arbutusladder.messages import Header, VmList, VmRecord

MAX_RECEIVED_REQUESTS = 10_000


class VmListFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults of the fake VM list.

    Attributes:
        outage: Requests for the list are answered with 503.
        delay_s: Delay in seconds before each request is handled.
        lag_s: Age in seconds of the list that clients get.
    """

    outage: bool = False
    delay_s: float = 0.0
    lag_s: float = 0.0


class VmEdits(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /v1/vms``: VMs to add or replace and ids to remove."""

    vms: list[VmRecord] = []
    remove: list[VmId] = []


class FakeVmList:
    """In-memory VM list whose changes become visible after a lag.

    Args:
        address: IP address and port to listen on; port 0 selects a free port.
        vms: VMs in the initial list.
        faults: Initial faults; tests may change them at any time.
        clock: Clock for the lag.
    """

    def __init__(
        self,
        address: str = "127.0.0.1:0",
        vms: list[VmRecord] | None = None,
        faults: VmListFaults | None = None,
        clock: Clock | None = None,
    ):
        self.faults = faults or VmListFaults()
        self.received_requests: deque[tuple[float, str, str]] = deque(
            maxlen=MAX_RECEIVED_REQUESTS
        )
        self._clock = clock or Clock()
        # Time of each change and the VMs by id after it, oldest first.
        self._versions = [(float("-inf"), {vm.id: vm for vm in vms or []})]
        self._server = HttpServer(address, self._handle, max_body=4 * 1024 * 1024)
        self.address = self._server.address

    async def run(self) -> None:
        """Serves requests until cancelled."""
        await self._server.run()

    async def stop(self) -> None:
        """Closes all connections."""
        await self._server.stop()

    def change_vms(self, vms: list[VmRecord] = (), remove: list[VmId] = ()) -> None:
        """Adds, replaces and removes VMs; clients get the change after the lag."""
        latest_vms = dict(self._versions[-1][1])
        latest_vms.update({vm.id: vm for vm in vms})
        for vm_id in remove:
            latest_vms.pop(vm_id, None)
        self._versions.append((self._clock.now(), latest_vms))

    def visible_vms(self) -> list[VmRecord]:
        """Returns the VMs in the list that clients get now, after the lag."""
        latest_visible_at = self._clock.now() - self.faults.lag_s
        while len(self._versions) > 1 and self._versions[1][0] <= latest_visible_at:
            self._versions.pop(0)
        return list(self._versions[0][1].values())

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        self.received_requests.append(
            (self._clock.now(), request.method, request.target)
        )
        match request.method, request.path:
            case "POST", "/v1/faults":
                return self._set_faults(request.body)
            case "POST", "/v1/vms":
                return self._apply_edits(request.body)
            case "GET", "/v1/given":
                return HttpResponse(
                    200, [], codec.to_json(list(self.received_requests))
                )
        await curio.sleep(self.faults.delay_s)
        if self.faults.outage:
            return HttpResponse(503, [], b"outage")
        if (request.method, request.path) == ("GET", "/v1/vms"):
            return self._list_response(request)
        return HttpResponse(404, [], b"no such resource")

    def _list_response(self, request: HttpRequest) -> HttpResponse:
        body = codec.to_json(VmList(self.visible_vms()))
        etag = Header("ETag", f'"{xxhash.xxh64_hexdigest(body)}"')
        if request.header("If-None-Match") == etag.value:
            return HttpResponse(304, [etag])
        return HttpResponse(200, [etag], body)

    def _apply_edits(self, body: bytes) -> HttpResponse:
        try:
            edits = codec.from_json(body, VmEdits)
        except ProtocolError as error:
            return HttpResponse(400, [], str(error).encode())
        self.change_vms(edits.vms, edits.remove)
        return HttpResponse(200, [], codec.to_json(VmList(self.visible_vms())))

    def _set_faults(self, body: bytes) -> HttpResponse:
        try:
            changes = msgspec.json.decode(body)
            merged = msgspec.to_builtins(self.faults) | changes
            self.faults = msgspec.convert(merged, VmListFaults)
        except (msgspec.MsgspecError, TypeError) as error:
            return HttpResponse(400, [], str(error).encode())
        return HttpResponse(200, [], codec.to_json(self.faults))


def main() -> None:
    """Runs the fake VM list from the command line."""
    options = docopt(__doc__)
    vms = []
    if options["--file"]:
        vms = codec.from_json(Path(options["--file"]).read_bytes(), VmList).vms
    faults = VmListFaults(lag_s=float(options["--lag"]))
    vm_list = FakeVmList(options["--listen"], vms, faults)
    print(vm_list.address, flush=True)
    curio.run(vm_list.run)


if __name__ == "__main__":
    main()
