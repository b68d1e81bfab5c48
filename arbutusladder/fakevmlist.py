"""Stand-in of the platform's VM list for tests, with a lag and faults.

Usage:
    fakevmlist [--listen=ADDRESS] [--lag=SECONDS] [--file=JSON]

Options:
    --listen=ADDRESS   IP address and port [default: 127.0.0.1:7071].
    --lag=SECONDS      Age of the list that callers see [default: 0].
    --file=JSON        File with the initial list.
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

MAX_HISTORY = 10_000


class VmListFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Switches of the fake VM list.

    Attributes:
        outage: The list gets 503.
        delay_s: Seconds that every request waits.
        lag_s: Age in seconds of the list that callers see.
    """

    outage: bool = False
    delay_s: float = 0.0
    lag_s: float = 0.0


class VmEdits(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /v1/vms``: VMs to set and ids to remove."""

    vms: list[VmRecord] = []
    remove: list[VmId] = []


class FakeVmList:
    """The VM list with a lag.

    Args:
        address: IP address and port to listen on; port 0 takes a free one.
        vms: Initial list.
        faults: Initial switches; tests may change them at any time.
        clock: Source of time for the lag.
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
            maxlen=MAX_HISTORY
        )
        self._clock = clock or Clock()
        self._versions = [(float("-inf"), {vm.id: vm for vm in vms or []})]
        self._server = HttpServer(address, self._handle, max_body=4 * 1024 * 1024)
        self.address = self._server.address

    async def run(self) -> None:
        """Serves until cancelled."""
        await self._server.run()

    async def stop(self) -> None:
        """Closes all connections."""
        await self._server.stop()

    def change_vms(self, vms: list[VmRecord] = (), remove: list[VmId] = ()) -> None:
        """Changes the list; callers see the change after the lag."""
        newest = dict(self._versions[-1][1])
        newest.update({vm.id: vm for vm in vms})
        for vm_id in remove:
            newest.pop(vm_id, None)
        self._versions.append((self._clock.now(), newest))

    def visible_vms(self) -> list[VmRecord]:
        """Returns the list that callers see now."""
        limit = self._clock.now() - self.faults.lag_s
        while len(self._versions) > 1 and self._versions[1][0] <= limit:
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
                return self._edit(request.body)
            case "GET", "/v1/given":
                return HttpResponse(
                    200, [], codec.to_json(list(self.received_requests))
                )
        await curio.sleep(self.faults.delay_s)
        if self.faults.outage:
            return HttpResponse(503, [], b"outage")
        if (request.method, request.path) == ("GET", "/v1/vms"):
            return self._list(request)
        return HttpResponse(404, [], b"no such resource")

    def _list(self, request: HttpRequest) -> HttpResponse:
        body = codec.to_json(VmList(self.visible_vms()))
        tag = Header("ETag", f'"{xxhash.xxh64_hexdigest(body)}"')
        if request.header("If-None-Match") == tag.value:
            return HttpResponse(304, [tag])
        return HttpResponse(200, [tag], body)

    def _edit(self, body: bytes) -> HttpResponse:
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
    """Runs the fake VM list as a process."""
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
