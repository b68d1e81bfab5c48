"""Evidence that the owner of a cell has not been replaced.

An owner that was paused, suspended or cut off may have been replaced without noticing.
A worker that its successor cannot reach would still obey it. So the owner starts tasks
and extends leases only while recent evidence shows that it is the owner: a stored claim
or progress record, or a message of an entry VM that knows it as the owner. The latter
keeps the cell working while the log is unavailable.
"""

from arbutusladder.clock import Clock

# Seconds for which evidence counts. With the delivery of an order it stays below the
# time that a successor allows its predecessor to go on.
EVIDENCE_VALIDITY_S = 2.0


class OwnershipEvidence:
    """Remembers the newest evidence.

    Args:
        clock: Clock of the process, which also counts suspensions of the VM.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._confirmed_at = clock.now_with_suspensions()

    def confirm(self) -> None:
        """Records evidence from now."""
        self._confirmed_at = self._clock.now_with_suspensions()

    def age_s(self) -> float:
        """Returns the age of the newest evidence in seconds."""
        return self._clock.now_with_suspensions() - self._confirmed_at

    def is_valid(self) -> bool:
        """Returns whether the owner may rely on still being the owner."""
        return self.age_s() < EVIDENCE_VALIDITY_S
