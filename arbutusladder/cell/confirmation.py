"""Evidence that the owner of a cell has not been replaced.

An owner that was paused, suspended or cut off may have been replaced without noticing.
A worker that its successor cannot reach would still obey it. So the owner starts tasks
and extends leases only while recent evidence shows that it is the owner: a stored claim
or progress record, or a message of an entry VM that knows it as the owner. The latter
keeps the cell working while the log is unavailable.

Evidence counts from the time at which the owner sent what was answered. The answer may
have waited in a socket while the owner was paused and replaced.
"""

from arbutusladder.clock import Clock
from arbutusladder.ids import Epoch

# Seconds for which evidence counts. With the delivery of an order it stays below the
# time that a successor allows its predecessor to go on.
EVIDENCE_VALIDITY_S = 2.0


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
        self._newest_heartbeat = 0
        self._sent_at_by_heartbeat: dict[int, float] = {}

    def confirm(self, sent_at: float) -> None:
        """Records an answer that shows the ownership.

        Args:
            sent_at: Time at which the owner sent what was answered.
        """
        self._confirmed_at = max(self._confirmed_at, sent_at)

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

    def confirm_heartbeat(self, epoch: Epoch, number: int) -> None:
        """Records that an entry VM has received a heartbeat.

        Args:
            epoch: Epoch of the heartbeat.
            number: Its number.
        """
        sent_at = self._sent_at_by_heartbeat.get(number)
        if epoch == self._epoch and sent_at is not None:
            self.confirm(sent_at)

    def age_s(self) -> float:
        """Returns the age of the newest evidence in seconds."""
        return self._clock.now_with_suspensions() - self._confirmed_at

    def is_valid(self) -> bool:
        """Returns whether the owner may rely on still being the owner."""
        return self.age_s() < EVIDENCE_VALIDITY_S
