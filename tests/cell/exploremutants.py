"""Mutants of the cell, each without one safety mechanism.

The search must detect them; one that passes shows what the search would miss.
"""

from unittest import mock

from arbutusladder.cell.claims import ClaimView
from arbutusladder.cell.confirmation import OwnershipEvidence
from arbutusladder.cell.freshness import ViewFreshness
from arbutusladder.cell.owner import Owner
from arbutusladder.cell.storedcancellations import StoredCancellations
from arbutusladder.messages import JobsRelay
from tests.cell.explorefaults import FaultsInForce


def view_always_recent():
    """The owner starts tasks on a view of any age."""
    return [mock.patch.object(ViewFreshness, "is_recent", lambda *args: True)]


def claim_always_held():
    """An owner renews the claim although the newest one is another's."""
    return [mock.patch.object(ClaimView, "holds", lambda view, epoch: True)]


def evidence_always_valid():
    """An owner gives orders without recent evidence."""

    def is_valid(evidence, count_other_vms):
        return True

    return [mock.patch.object(OwnershipEvidence, "is_valid", is_valid)]


def cancellations_not_repeated():
    """Relays are lost, and hellos do not repeat what the owner does not know."""
    message_delay_s = FaultsInForce.message_delay_s

    def lose_relays(faults, sender, receiver, message):
        if isinstance(message, JobsRelay):
            return None
        return message_delay_s(faults, sender, receiver, message)

    def unknown_to_owner(cancellations, heartbeat, now):
        return []

    return [
        mock.patch.object(StoredCancellations, "unknown_to_owner", unknown_to_owner),
        mock.patch.object(FaultsInForce, "message_delay_s", lose_relays),
    ]


def workers_not_awaited():
    """A successor does not wait for workers that have not reported."""

    def await_reports(owner, now):
        pass

    return [mock.patch.object(Owner, "_await_reports", await_reports)]


MUTANTS = {
    mutant.__name__: mutant
    for mutant in (
        view_always_recent,
        claim_always_held,
        evidence_always_valid,
        cancellations_not_repeated,
        workers_not_awaited,
    )
}
