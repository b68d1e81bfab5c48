"""How old the owner's knowledge of cancellations and workers may be.

Evidence of the ownership shows that no other entry VM gives orders. It does not show
that the owner has read what was stored while it was paused, cut off or waiting for an
answer of the log: a cancellation that another entry VM has acknowledged, or the entry
of a worker that drains.

So the owner starts tasks only on a recent view, which has one of two proofs:

- a read that reached the end of the topic;
- while the log cannot be reached, hellos of so many entry VMs that these and the owner
  are more than half of the cell. A hello names the cancellations that its sender has
  stored and the owner does not know yet. Of workers nothing is known meanwhile.

Proofs count from the time at which the owner sent what was answered.
"""

import math
from collections.abc import Callable

from arbutusladder.cell.confirmation import OwnershipEvidence
from arbutusladder.cell.topicview import TopicView

# Seconds within which an order reaches a worker or is given up: connecting and the
# response.
ORDER_DELIVERY_S = 1.1
# Shortest time in seconds for which a proof counts: two polls of a topic and a slow
# answer.
MIN_VALIDITY_S = 1.0


class ViewFreshness:
    """Tells the age of what an owner knows.

    All times are monotonic seconds that also pass during suspensions of the VM.

    Args:
        jobs: View of submissions and cancellations.
        registry: View of the worker registry.
        evidence: Heartbeats that the other entry VMs have answered.
        cancellation_limit_s: Seconds after an acknowledged cancellation from which no
            task of its job may start.

    Attributes:
        validity_s: Seconds for which a proof counts.
    """

    def __init__(
        self,
        jobs: TopicView,
        registry: TopicView,
        evidence: OwnershipEvidence,
        cancellation_limit_s: float,
    ):
        self._jobs = jobs
        self._registry = registry
        self._evidence = evidence
        self.validity_s = max(MIN_VALIDITY_S, cancellation_limit_s - ORDER_DELIVERY_S)
        self._members_view_at = -math.inf
        self._registry_lost_at = -math.inf

    def age_s(
        self,
        now: float,
        is_log_reachable: bool,
        count_other_vms: Callable[[], int],
    ) -> float:
        """Returns the age of the oldest part of the owner's knowledge in seconds.

        Args:
            now: The present time.
            is_log_reachable: Whether the log answers this entry VM directly.
            count_other_vms: Returns the number of the other entry VMs of the cell.
        """
        if not is_log_reachable or self._jobs.is_failing:
            members_age_s = self._evidence.members_age_s(count_other_vms())
            self._members_view_at = max(self._members_view_at, now - members_age_s)
        if not is_log_reachable or self._registry.is_failing:
            self._registry_lost_at = now
        jobs_at = max(self._jobs.complete_at, self._members_view_at)
        registry_at = max(self._registry.complete_at, self._registry_lost_at)
        return now - min(jobs_at, registry_at)

    def is_recent(self, age_s: float) -> bool:
        """Returns whether tasks may start on knowledge of an age in seconds."""
        return age_s < self.validity_s
