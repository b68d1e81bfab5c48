"""Claims the cell when it has no active owner, and renews the claim while owning it.

`ClaimManager` owns the newest claim read from the log and, on the owner, the `Owner`.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import curio

from arbutusladder import events
from arbutusladder.backgroundtasks import log_failure
from arbutusladder.cell.claims import (
    OWNER_TOPIC,
    RENEWAL_INTERVAL_S,
    UNDERSIZED_CLAIM_DELAY_S,
    ClaimView,
    claim_item,
    workers_item,
)
from arbutusladder.cell.interfaces import OffsetDeleted, UnexpectedEndOffset
from arbutusladder.cell.owner import HEARTBEAT_INTERVAL_S, Owner
from arbutusladder.errors import LogUnavailable
from arbutusladder.ids import Epoch, VmId
from arbutusladder.messages import CellClaim, OwnerBeat

if TYPE_CHECKING:
    from arbutusladder.cell.member import CellDependencies, Member

# Seconds without a heartbeat after which the owner is suspected to have failed.
HEARTBEAT_TIMEOUT_S = 2.2 * HEARTBEAT_INTERVAL_S
# Seconds between reads of the claim while the owner is suspected or there is none.
SUSPECT_POLL_INTERVAL_S = 0.25
# Seconds between reads of the claim while the owner's heartbeats arrive.
NORMAL_POLL_INTERVAL_S = 2.0
# Attempts to append a release; after them successors have to wait for the claim to time
# out.
MAX_RELEASE_ATTEMPTS = 3
# Seconds without claims after a task of the owner failed on this entry VM: time for
# another one to detect the release and to claim.
FAILURE_BACKOFF_S = 3.0
# Seconds between checks, while waiting for the next read of the claim, whether a
# heartbeat requires an earlier one.
WAIT_STEP_S = 0.05


class ClaimManager:
    """Watches the claim on the log and runs the owner while this entry VM holds it.

    Args:
        member: This entry VM.
        dependencies: Services and settings of the entry VM.

    Attributes:
        owner: The owner while this entry VM owns the cell.
    """

    def __init__(self, member: Member, dependencies: CellDependencies):
        self._member = member
        self._dependencies = dependencies
        self._clock = dependencies.clock
        undersized = dependencies.settings.undersized
        self._view = ClaimView(
            member.vm, claim_delay_s=UNDERSIZED_CLAIM_DELAY_S if undersized else 0.0
        )
        self._stopping = False
        self._last_heartbeat_at = -math.inf
        self._poll_now = False
        self._backoff_until = 0.0
        self._renewal: CellClaim | None = None
        self._renewal_sent_at = 0.0
        self._owner_task: curio.Task | None = None
        self.owner: Owner | None = None

    @property
    def current(self) -> CellClaim | None:
        """The newest claim read; None before the first."""
        return self._view.claim

    def sequence_of(self, epoch: Epoch) -> int:
        """Returns the number of the newest claim read if it has an epoch, or -1."""
        claim = self.current
        return claim.sequence if claim and claim.epoch == epoch else -1

    @property
    def newest_epoch(self) -> Epoch:
        """Highest epoch of a claim or a heartbeat; 0 before the first."""
        return self._view.newest_epoch

    @property
    def malformed(self) -> int:
        """Number of claims that could not be decoded."""
        return self._view.malformed

    @property
    def newest_heartbeat(self) -> OwnerBeat | None:
        """The newest heartbeat of an owner; None before the first."""
        return self._view.heartbeat

    async def load(self) -> None:
        """Reads the newest claim."""
        batch = await self._member.log.newest(OWNER_TOPIC)
        self._view.apply(batch.records, batch.end, self._clock.now())

    async def run(self) -> None:
        """Polls, claims and renews the claim until cancelled."""
        while True:
            self._poll_now = False
            try:
                if self.owner is None:
                    await self._poll_claim()
                else:
                    await self._renew()
            except LogUnavailable:
                self._dependencies.metrics.count("claims.log_unavailable")
            except Exception as error:
                # Another entry VM must be able to own the cell, and this one to follow.
                log_failure(self._dependencies.journal, "claims", error)
                self._backoff_until = self._clock.now() + FAILURE_BACKOFF_S
                if self.owner:
                    await self.owner.release_after_failure()
            await self._wait_for_next_poll()

    def is_owner_silent(self, now: float) -> bool:
        """Returns whether several heartbeats of the owner are missing."""
        return now - self._last_heartbeat_at > HEARTBEAT_TIMEOUT_S

    def poll_soon(self) -> None:
        """Reads the claim at once instead of at the next poll."""
        self._poll_now = True

    async def handle_heartbeat(self, heartbeat: OwnerBeat) -> None:
        """Handles a heartbeat of the owner; ignores one of an earlier epoch.

        An epoch exists only once its claim is stored, so the heartbeat of a later one
        ends an ownership of this entry VM even if the log does not answer it.
        """
        claim = self._view.claim
        if heartbeat.epoch < self._view.newest_epoch:
            return
        if self.owner and heartbeat.epoch > self.owner.epoch:
            await self.owner.end_ownership("another entry VM has a higher epoch")
        self._last_heartbeat_at = self._clock.now()
        self._view.record_heartbeat(heartbeat, self._last_heartbeat_at)
        self._poll_now |= (
            heartbeat.released or claim is None or heartbeat.epoch > claim.epoch
        )

    async def stop(self) -> None:
        """Releases the claim, and does not claim again."""
        self._stopping = True
        if self.owner:
            await self.owner.release()

    async def close(self) -> None:
        """Cancels the owner's tasks without releasing the claim."""
        self._stopping = True
        if self._owner_task:
            await self._owner_task.cancel()

    async def _wait_for_next_poll(self) -> None:
        now = self._clock.now()
        until = now + (RENEWAL_INTERVAL_S if self.owner else self._poll_interval(now))
        while now < until and not self._poll_now:
            await curio.sleep(WAIT_STEP_S)
            now = self._clock.now()
            if self.owner is None:
                until = min(until, now + self._poll_interval(now))

    def _poll_interval(self, now: float) -> float:
        unowned = self._view.claim is None or self._view.claim.released
        suspect = unowned or self.is_owner_silent(now)
        return SUSPECT_POLL_INTERVAL_S if suspect else NORMAL_POLL_INTERVAL_S

    async def _poll_claim(self) -> None:
        await self._read()
        now = self._clock.now()
        if self._stopping or not self._member.loaded or now < self._backoff_until:
            return
        if not self._view.may_claim(now):
            return
        claim = self._view.next_claim(self._member.listen)
        claim_age_s = now - self._view.changed_at
        sent_at = self._clock.now_with_suspensions()
        if await self._append(claim):
            self.owner = Owner(
                claim,
                self._view.workers,
                claim_age_s,
                sent_at,
                self._member,
                self._dependencies,
            )
            self._owner_task = await curio.spawn(
                self._run_owner, self.owner, daemon=True
            )

    async def _read(self) -> None:
        try:
            batch = await self._member.log.read(OWNER_TOPIC, self._view.end)
        except OffsetDeleted:
            batch = await self._member.log.newest(OWNER_TOPIC)
        self._view.apply(batch.records, batch.end, self._clock.now())

    async def _append(
        self, claim: CellClaim, workers: frozenset[VmId] | None = None
    ) -> bool:
        """Appends a claim if no other record was appended since the last read.

        Args:
            claim: The claim.
            workers: List of workers to store with it; None to keep the stored one.

        Returns:
            Whether the newest claim on the log is this one. If not, the view shows the
            one that is, and the caller must decide again.

        Raises:
            LogUnavailable: The log refused or did not answer.
        """
        view = self._view
        items = [claim_item(claim)]
        if workers is not None:
            items.append(workers_item(claim.epoch, workers))
        try:
            offset = await self._member.log.append(
                OWNER_TOPIC, items, expected_end=view.end
            )
        except UnexpectedEndOffset:
            # The end may have been moved by an earlier attempt of this entry VM that
            # got no answer. Another claim of the same epoch does not count: it may list
            # other silent workers.
            await self._read()
            return view.claim == claim
        end = offset + len(items)
        if end > view.end:
            view.claim, view.end, view.changed_at = claim, end, self._clock.now()
            if workers is not None:
                view.workers = workers
        return view.claim == claim

    async def _renew(self) -> None:
        """Renews the claim, or ends the ownership if the newest claim is another's.

        The append is conditional on the end of the topic only, and a failed append
        reads the end that the claim of a successor has moved. So the claim read with
        that end decides whether there is anything to renew.
        """
        owner = self.owner
        if owner.ended:
            return
        if not self._view.holds(owner.epoch):
            await owner.end_ownership("another entry VM has claimed the cell")
            return
        claim = self._renewed_claim(owner)
        workers = owner.workers_to_record()
        if claim != self._renewal:
            # A renewal without an answer may be stored, and successors count from then.
            self._renewal = claim
            self._renewal_sent_at = self._clock.now_with_suspensions()
        changed = workers if workers != self._view.workers else None
        if await self._append(claim, changed):
            sent_at = self._renewal_sent_at
            owner.handle_claim_renewed(claim, self._view.workers, sent_at)
        else:
            self._poll_now = True

    def _renewed_claim(self, owner: Owner, released: bool = False) -> CellClaim:
        sequence = self._view.claim.sequence + 1 if self._view.claim else 0
        silent = owner.silent_workers()
        return CellClaim(
            owner.epoch,
            self._member.vm,
            self._member.listen,
            sequence,
            released,
            [row.vm for row in silent],
            silent,
            owner.confirmed_restarts(),
            owner.count_other_vms(),
        )

    async def _run_owner(self, owner: Owner) -> None:
        journal = self._dependencies.journal
        journal.write(events.CELL_CLAIMED, epoch=owner.epoch)
        cause = "failed"
        try:
            cause = await owner.run()
        finally:
            journal.write(events.CELL_LOST, epoch=owner.epoch, reason=cause)
            if owner.failed:
                self._backoff_until = self._clock.now() + FAILURE_BACKOFF_S
            if owner.released:
                await self._release(owner)
            self.owner = None

    async def _release(self, owner: Owner) -> None:
        await owner.announce_release()
        for _ in range(MAX_RELEASE_ATTEMPTS):
            if not self._view.holds(owner.epoch):
                return
            try:
                # A renewal in flight may have moved the end, so this is repeated.
                if await self._append(self._renewed_claim(owner, released=True)):
                    return
            except LogUnavailable:
                self._dependencies.metrics.count("claims.log_unavailable")
