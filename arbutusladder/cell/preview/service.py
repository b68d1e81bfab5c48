"""Previews on an entry VM: the owner decides, the others pass the question on."""

from __future__ import annotations

import itertools
import math
from typing import TYPE_CHECKING, Protocol

import curio
import msgspec

from arbutusladder.cell.jobtable import submission_item
from arbutusladder.cell.preview.answer import Preview
from arbutusladder.cell.preview.decision import preview_job
from arbutusladder.cell.teamusage.caps import check_caps
from arbutusladder.errors import PreviewUnavailable
from arbutusladder.ids import RequestId, SeatId
from arbutusladder.messages import PreviewCall, PreviewReply, SubmittedJob

if TYPE_CHECKING:
    from arbutusladder.cell.advicedispatcher import AdviceDispatcher
    from arbutusladder.cell.cellstate import CellState
    from arbutusladder.cell.dependencies import CellDependencies
    from arbutusladder.ids import VmId
    from arbutusladder.messages import CellClaim
    from arbutusladder.peers import PeerTransport

# Seconds to wait for the answer of the owner: a few of its rounds of decisions, and the
# largest delay of a link.
OWNER_TIMEOUT_S = 3.0
# Seconds between two decisions about previews, each of which may take the owner as long
# as a round of decisions.
MIN_INTERVAL_S = 0.5
# Largest number of questions that wait for that, all within the timeout.
MAX_WAITING = 4


class PreviewingOwner(Protocol):
    """Owner of the cell as a preview uses it; see `arbutusladder.cell.owner`."""

    state: CellState
    advice_dispatcher: AdviceDispatcher
    ended: bool
    taken_over: bool
    starts_tasks: bool


class KnownClaims(Protocol):
    """Claim that an entry VM knows, and the owner that it runs."""

    current: CellClaim | None
    owner: PreviewingOwner | None


class PreviewingEntryVm(Protocol):
    """Entry VM as a preview uses it."""

    vm: VmId
    listen: str
    peers: PeerTransport
    claims: KnownClaims


class PreviewService:
    """Tells where jobs would be placed now.

    Args:
        member: Entry VM.
        dependencies: Its services and settings.
    """

    def __init__(self, member: PreviewingEntryVm, dependencies: CellDependencies):
        self._member = member
        self._dependencies = dependencies
        self._clock = dependencies.clock
        self._call_numbers = itertools.count(1)
        self._lock = curio.Lock()
        self._allowed_at = -math.inf
        self._waiting = 0

    async def preview(self, record: SubmittedJob) -> Preview:
        """Returns where a job would be placed now.

        Args:
            record: The job, with the id `PREVIEW_JOB_ID`.

        Raises:
            JobTooLarge: The job exceeds a limit of its size.
            JobExceedsCap: A step can never run below the cap of its team.
            PreviewUnavailable: No owner answers.
        """
        limits = self._dependencies.settings.job_limits
        limits.check_submission(len(submission_item(record)[1]))
        limits.check_tasks(record)
        check_caps(record, self._dependencies.teams())
        return await self._decide(record) or await self._ask_owner(record)

    async def serve(self, sender: SeatId, call: PreviewCall) -> None:
        """Answers the call of another entry VM."""
        reply = PreviewReply(call.request_id, b"")
        try:
            preview = await self._decide(call.record)
        except PreviewUnavailable as error:
            reply.problem = error.problem
        else:
            if preview:
                reply.preview = msgspec.json.encode(preview)
            else:
                reply.problem = f"{self._member.vm} does not own the cell, or not yet"
        await self._member.peers.connect(sender, call.listen)
        await self._member.peers.send(sender, reply)

    async def _decide(self, record: SubmittedJob) -> Preview | None:
        """Returns the preview; None if this entry VM does not own the cell.

        Raises:
            PreviewUnavailable: Too many other questions wait.
        """
        if self._running_owner() is None:
            return None
        if self._waiting >= MAX_WAITING:
            raise PreviewUnavailable("the owner has other previews to make")
        self._waiting += 1
        try:
            async with self._lock:
                await curio.sleep(max(0.0, self._allowed_at - self._clock.now()))
                preview = self._decide_now(record)
                self._allowed_at = self._clock.now() + MIN_INTERVAL_S
                return preview
        finally:
            self._waiting -= 1

    def _running_owner(self) -> PreviewingOwner | None:
        owner = self._member.claims.owner
        return owner if owner and owner.taken_over and not owner.ended else None

    def _decide_now(self, record: SubmittedJob) -> Preview | None:
        owner = self._running_owner()
        if owner is None:
            return None
        now = self._clock.now()
        preview = preview_job(
            owner.state,
            record,
            self._dependencies.teams(),
            owner.advice_dispatcher.available_capacity(now),
            now,
            owner=self._member.vm,
            wall_offset=self._clock.wall_time() - now,
            admits_by_forecast=self._dependencies.admits_by_forecast,
        )
        preview.starts_paused = not owner.starts_tasks
        return preview

    async def _ask_owner(self, record: SubmittedJob) -> Preview:
        claim, peers = self._member.claims.current, self._member.peers
        if claim is None or claim.released or claim.holder == self._member.vm:
            raise PreviewUnavailable("no entry VM owns the cell now")
        seat = SeatId(claim.holder)
        listen = self._member.listen
        request_id = RequestId(f"{listen}/preview/{next(self._call_numbers)}")
        await peers.connect(seat, claim.address)
        call = PreviewCall(request_id, listen, record)
        reply = await peers.call(seat, call, OWNER_TIMEOUT_S)
        if reply is None:
            raise PreviewUnavailable(
                f"the owner {claim.holder} did not answer in {OWNER_TIMEOUT_S:g} s"
            )
        if not reply.preview:
            raise PreviewUnavailable(reply.problem)
        return msgspec.json.decode(reply.preview, type=Preview)
