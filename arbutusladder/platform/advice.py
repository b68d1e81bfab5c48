"""Client of the platform's placement advice service."""

import msgspec

from arbutusladder.errors import HttpError
from arbutusladder.httppool import HttpConnectionPool
from arbutusladder.ids import RequestId, VmId
from arbutusladder.messages import AdviceReply, AdviceTicket
from arbutusladder.platform.bounds import Duration
from arbutusladder.platform.jsonbody import decode_json
from arbutusladder.platform.workers import JSON_HEADER


class _Advice(msgspec.Struct, rename="kebab"):
    """Reply of the service; ``good`` holds pairs of executor id and ticket."""

    good: list[tuple[str, str]]
    validity_ms: Duration = 0.0


class PlatformAdvisor:
    """Asks the service which executors may run a step.

    Args:
        address: Address of the service; empty if the platform has none.
        pool: Pool of HTTP connections.
    """

    def __init__(self, address: str, pool: HttpConnectionPool):
        self._address = address
        self._pool = pool

    async def advise(
        self, request_id: str, stage: str, workers: list[str], timeout: float
    ) -> AdviceReply:
        """See `arbutusladder.cell.interfaces.Advisor.advise`."""
        body = msgspec.json.encode({"step": stage, "workers": workers})
        try:
            answer = await self._pool.request(
                self._address, "POST", "/v1/advise", [JSON_HEADER], body, timeout
            )
            advice = decode_json(answer.body, _Advice)
        except (HttpError, msgspec.MsgspecError):
            return AdviceReply(RequestId(request_id), False)
        tickets = [AdviceTicket(VmId(vm), ticket) for vm, ticket in advice.good]
        return AdviceReply(
            RequestId(request_id), True, advice.validity_ms / 1000, tickets
        )
