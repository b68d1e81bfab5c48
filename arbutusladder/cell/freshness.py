"""How old the owner's knowledge of cancellations and workers may be.

Evidence of the ownership shows that no other entry VM gives orders. It does not show
that the owner has read what was stored while it was paused, cut off or waiting for an
answer of the log: a cancellation that another entry VM has acknowledged, or the entry
of a worker that drains.

So the owner starts tasks only on a recent view, which has one of two proofs:

- a read that reached the end of the topic;
- while reads of the log fail or are slow, hellos of so many entry VMs that these and
  the owner are more than half of the cell. A hello names the stored cancellations that
  its sender knows and the owner does not. Of workers nothing is known meanwhile.

Proofs count from the time at which the owner sent what was answered.
"""

import math
from collections.abc import Callable

from arbutusladder.cell.confirmation import OwnershipEvidence
from arbutusladder.cell.topicview import TopicView

# Seconds within which an order reaches a worker or is given up: connecting and the
# response.
ORDER_DELIVERY_S = 1.1
# Shortest time in seconds for which a proof counts: a poll of a topic and its answer.
MIN_VALIDITY_S = 0.9


class ViewFreshness:
    """Tells whether what an owner knows is recent enough to start tasks.

    All times are monotonic seconds that also pass during suspensions of the VM.

    Args:
        jobs: View of submissions and cancellations.
        registry: View of the worker registry.
        evidence: Heartbeats that the other entry VMs have answered.
        cancellation_limit_s: Seconds after an acknowledged cancellation from which no
            task of its job may start.
        drain_limit_s: Seconds after a worker's entry says that it drains from which no
            task may start on it.

    Attributes:
        jobs_validity_s: Seconds for which a proof counts that cancellations are known.
        registry_validity_s: The same for workers.
    """

    def __init__(
        self,
        jobs: TopicView,
        registry: TopicView,
        evidence: OwnershipEvidence,
        cancellation_limit_s: float,
        drain_limit_s: float,
    ):
        self._jobs = jobs
        self._registry = registry
        self._evidence = evidence
        self.jobs_validity_s = _validity_s(cancellation_limit_s)
        self.registry_validity_s = _validity_s(drain_limit_s)
        self._members_view_at = -math.inf
        self._registry_lost_at = -math.inf

    def is_recent(
        self,
        now: float,
        is_log_reachable: bool,
        count_other_vms: Callable[[], int],
    ) -> bool:
        """Returns whether tasks may start.

        Args:
            now: The present time.
            is_log_reachable: Whether the log answers this entry VM directly.
            count_other_vms: Returns the number of the other entry VMs of the cell.
        """
        if not is_log_reachable or self._jobs.is_slow(now):
            members_age_s = self._evidence.members_age_s(count_other_vms())
            self._members_view_at = max(self._members_view_at, now - members_age_s)
        if not is_log_reachable or self._registry.is_slow(now):
            self._registry_lost_at = now
        registry_at = max(self._registry.complete_at, self._registry_lost_at)
        return (
            self.jobs_age_s(now) < self.jobs_validity_s
            and now - registry_at < self.registry_validity_s
        )

    def jobs_age_s(self, now: float) -> float:
        """Returns the age of the newest proof that cancellations are known.

        Args:
            now: The present time.
        """
        return now - max(self._jobs.complete_at, self._members_view_at)


def _validity_s(limit_s: float) -> float:
    return max(MIN_VALIDITY_S, limit_s - ORDER_DELIVERY_S)
