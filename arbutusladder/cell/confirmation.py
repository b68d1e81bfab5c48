"""Evidence that the owner of a cell has not been replaced.

An owner that was paused, suspended or cut off may have been replaced without noticing.
A worker that its successor cannot reach would still obey it. So the owner starts tasks
and extends leases only while recent evidence shows that it is the owner: a stored claim
or progress record, or messages of entry VMs that know it as the owner. The latter keep
the cell working while the log is unavailable. They count if they come from so many
entry VMs that these and the owner are more than half of the cell.

Evidence counts from the time at which the owner sent what was answered. The answer may
have waited in a socket while the owner was paused and replaced.
"""

import math
from collections.abc import Callable

from arbutusladder.cell.claims import CLAIM_TIMEOUT_S
from arbutusladder.clock import Clock
from arbutusladder.ids import Epoch, VmId

# Seconds for which evidence counts. A successor claims the cell CLAIM_TIMEOUT_S after
# the last renewal at the earliest, so an owner that was paused until then has no valid
# evidence when it goes on.
EVIDENCE_VALIDITY_S = CLAIM_TIMEOUT_S - 0.1


class OwnershipEvidence:
    """Remembers the newest evidence.

    All times are monotonic seconds that also pass during suspensions of the VM, see
    `Clock.now_with_suspensions`.

    Args:
        epoch: Epoch of the owner.
        clock: Clock of the process.
        claimed_at: Time at which the owner's claim was sent.
    """

    def __init__(self, epoch: Epoch, clock: Clock, claimed_at: float):
        self._epoch = epoch
        self._clock = clock
        self._confirmed_at = claimed_at
        self._confirmed_at_by_vm: dict[VmId, float] = {}
        self._running_at = claimed_at
        self._paused_at: float | None = None
        self._newest_heartbeat = 0
        self._sent_at_by_heartbeat: dict[int, float] = {}

    def confirm(self, sent_at: float) -> None:
        """Records an answer that shows the ownership.

        Args:
            sent_at: Time at which the owner sent what was answered.
        """
        self._confirmed_at = max(self._confirmed_at, sent_at)
        if self._paused_at is not None and sent_at >= self._paused_at:
            self._paused_at = None

    def next_heartbeat(self) -> int:
        """Returns the number of a heartbeat that is sent now."""
        self._newest_heartbeat += 1
        now = self._clock.now_with_suspensions()
        self._sent_at_by_heartbeat = {
            number: sent_at
            for number, sent_at in self._sent_at_by_heartbeat.items()
            if now - sent_at < EVIDENCE_VALIDITY_S
        }
        self._sent_at_by_heartbeat[self._newest_heartbeat] = now
        return self._newest_heartbeat

    def confirm_heartbeat(self, vm: VmId, epoch: Epoch, number: int) -> None:
        """Records that an entry VM has received a heartbeat.

        Args:
            vm: The entry VM.
            epoch: Epoch of the heartbeat.
            number: Its number.
        """
        sent_at = self._sent_at_by_heartbeat.get(number)
        if epoch == self._epoch and sent_at is not None:
            previous = self._confirmed_at_by_vm.get(vm, sent_at)
            self._confirmed_at_by_vm[vm] = max(previous, sent_at)

    def age_s(self, other_vms: int) -> float:
        """Returns the age of the newest evidence in seconds.

        Args:
            other_vms: Number of the other entry VMs of the cell.
        """
        now = self._clock.now_with_suspensions()
        return now - max(self._confirmed_at, self._members_confirmed_at(other_vms))

    def members_age_s(self, other_vms: int) -> float:
        """Returns the age in seconds of the evidence from entry VMs alone.

        It is 0 without other entry VMs, unless this one was paused.

        Args:
            other_vms: Number of the other entry VMs of the cell.
        """
        if not other_vms and self._paused_at is None:
            return 0.0
        now = self._clock.now_with_suspensions()
        return now - self._members_confirmed_at(other_vms)

    def _members_confirmed_at(self, other_vms: int) -> float:
        newest_first = sorted(self._confirmed_at_by_vm.values(), reverse=True)
        needed = max(1, (other_vms + 1) // 2)
        return newest_first[needed - 1] if len(newest_first) >= needed else -math.inf

    def is_valid(self, count_other_vms: Callable[[], int]) -> bool:
        """Returns whether the owner may rely on still being the owner.

        An owner that knows no other entry VM goes on without evidence, unless it was
        paused itself: another one may have started meanwhile.

        Args:
            count_other_vms: Returns the number of the other entry VMs of the cell.
        """
        now = self._clock.now_with_suspensions()
        if now - self._running_at >= EVIDENCE_VALIDITY_S:
            self._paused_at = now
        self._running_at = now
        if now - self._confirmed_at < EVIDENCE_VALIDITY_S:
            return True
        other_vms = count_other_vms()
        if not other_vms and self._paused_at is None:
            return True
        return self.age_s(other_vms) < EVIDENCE_VALIDITY_S
