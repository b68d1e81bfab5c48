"""Ownership claims of a cell.

An entry VM claims the cell by a conditional append to the claims topic: it succeeds
only if no other entry VM has appended since the topic was last read.

The holder of the claim appends the list of its workers to the same topic, in the same
way. So a successor has read the complete list: a list of its predecessor that is
appended later does not meet its condition.
"""

from dataclasses import dataclass

import msgspec

from arbutusladder.cell.interfaces import KeyedRecord
from arbutusladder.ids import Epoch, VmId
from arbutusladder.messages import CellClaim, CellWorkers, OwnerBeat

OWNER_TOPIC = "keyed.owner"
OWNER_KEY = "owner"
WORKERS_KEY = "workers"
FIRST_EPOCH = Epoch(1)
# Seconds between renewals of the claim by the owner.
RENEWAL_INTERVAL_S = 0.35
# Seconds without a renewal after which another entry VM may claim: two missed renewals
# and the calls of the log that read them.
CLAIM_TIMEOUT_S = 1.1
# Seconds without a renewal that an entry VM has to observe itself, even if the owner's
# last heartbeat shows that there was none for longer.
MIN_OBSERVED_S = 0.5
# Seconds for which an undersized entry VM lets others claim first: time for them to
# read the claim and to append theirs.
UNDERSIZED_CLAIM_DELAY_S = 1.0

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(CellClaim)
_WORKERS_DECODER = msgspec.msgpack.Decoder(CellWorkers)


@dataclass
class ClaimView:
    """The newest claim as one entry VM has read it.

    Attributes:
        vm: This entry VM.
        end: End offset of the topic as last read.
        claim: Newest claim; None before the first.
        changed_at: Monotonic time in seconds at which the end last moved.
        workers: Workers on which the owner may start tasks and extend leases; None
            before the first list.
        malformed: Number of records that could not be decoded.
        heartbeat: Newest heartbeat of the owner.
        released_epoch: Epoch whose owner has announced its release.
        claim_delay_s: Seconds for which this entry VM lets others claim first.
    """

    vm: VmId
    end: int = 0
    claim: CellClaim | None = None
    changed_at: float = 0.0
    released_epoch: int = 0
    claim_delay_s: float = 0.0
    workers: frozenset[VmId] | None = None
    malformed: int = 0
    heartbeat: OwnerBeat | None = None
    _heartbeat_at: float = 0.0

    def apply(self, records: list[KeyedRecord], end: int, now: float) -> None:
        """Applies records read from the claims topic.

        Args:
            records: New records in order.
            end: End offset of the topic.
            now: Monotonic time in seconds.
        """
        if end != self.end or self.changed_at == 0.0:
            self.changed_at = now
        self.end = end
        for record in records:
            if not record.value:
                continue
            try:
                self._apply_record(record)
            except msgspec.MsgspecError:
                self.malformed += 1

    def _apply_record(self, record: KeyedRecord) -> None:
        if record.key == OWNER_KEY:
            self.claim = _DECODER.decode(record.value)
        elif record.key == WORKERS_KEY:
            self.workers = frozenset(_WORKERS_DECODER.decode(record.value).vms)

    def record_heartbeat(self, heartbeat: OwnerBeat, now: float) -> None:
        """Records a heartbeat of the owner.

        Args:
            heartbeat: The heartbeat.
            now: Monotonic time in seconds.
        """
        self.heartbeat, self._heartbeat_at = heartbeat, now
        if heartbeat.released:
            self.released_epoch = heartbeat.epoch

    @property
    def newest_epoch(self) -> Epoch:
        """Highest epoch of a claim or a heartbeat; 0 before the first."""
        claimed = self.claim.epoch if self.claim else Epoch(0)
        heard = self.heartbeat.epoch if self.heartbeat else Epoch(0)
        return max(claimed, heard)

    def holds(self, epoch: Epoch) -> bool:
        """Returns whether this entry VM holds the claim of an epoch."""
        claim = self.claim
        return claim is not None and claim.holder == self.vm and claim.epoch == epoch

    def may_claim(self, now: float) -> bool:
        """Returns whether the claim is released or timed out, so it may be replaced."""
        unchanged_s = now - self.changed_at
        if self._is_unowned():
            return unchanged_s >= self.claim_delay_s
        timeout_s = CLAIM_TIMEOUT_S + self.claim_delay_s
        if unchanged_s >= timeout_s:
            return True
        return (
            self._is_unrenewed_since_heartbeat()
            and unchanged_s >= MIN_OBSERVED_S + self.claim_delay_s
            and now - self._heartbeat_at >= timeout_s
        )

    def _is_unrenewed_since_heartbeat(self) -> bool:
        """Returns whether the last heartbeat already reported the newest renewal.

        Then the owner has not renewed the claim since, although this entry VM may have
        read it for the first time much later.
        """
        heartbeat, claim = self.heartbeat, self.claim
        return (
            heartbeat is not None
            and claim is not None
            and heartbeat.epoch == claim.epoch
            and heartbeat.claim_sequence >= claim.sequence
        )

    def _is_unowned(self) -> bool:
        if self.claim is None or self.claim.released:
            return True
        if self.claim.epoch <= self.released_epoch:
            return True
        # The holder is this entry VM, so an earlier process of it made the claim and
        # has ended.
        return self.claim.holder == self.vm

    def next_claim(self, address: str) -> CellClaim:
        """Returns a claim of the next epoch for this entry VM.

        Args:
            address: Address that other entry VMs connect to.
        """
        epoch = self.claim.epoch + 1 if self.claim else FIRST_EPOCH
        silent_workers = list(self.claim.silent_workers) if self.claim else []
        silent = list(self.claim.silent) if self.claim else []
        return CellClaim(
            Epoch(epoch),
            self.vm,
            address,
            0,
            silent_workers=silent_workers,
            silent=silent,
            restarted=list(self.claim.restarted) if self.claim else [],
            other_vms=self.claim.other_vms if self.claim else 0,
        )


def claim_item(claim: CellClaim) -> tuple[str, bytes]:
    """Returns the key and value of a claim's record."""
    return OWNER_KEY, _ENCODER.encode(claim)


def workers_item(epoch: Epoch, vms: frozenset[VmId]) -> tuple[str, bytes]:
    """Returns the key and value of the record that lists an owner's workers."""
    return WORKERS_KEY, _ENCODER.encode(CellWorkers(epoch, sorted(vms)))
