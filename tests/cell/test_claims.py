"""Who claims the cell, and when."""

import pytest

from arbutusladder.cell.claims import (
    CLAIM_TIMEOUT_S,
    LOW_CAPACITY_CLAIM_DELAY_S,
    ClaimView,
    claim_item,
)
from arbutusladder.cell.interfaces import KeyedRecord
from arbutusladder.ids import Epoch
from arbutusladder.messages import CellClaim

NOW = 64.0
# Beyond the rounding of times.
MOMENT_S = 0.01


def view(vm="a", claim_delay_s=0.0, **claim):
    """Returns the view of an entry VM that has just read a claim of ``b``."""
    found = ClaimView(vm, claim_delay_s=claim_delay_s)
    record = CellClaim(Epoch(3), "b", "10.0.0.1:1", 0, **claim)
    found.apply([KeyedRecord(0, *claim_item(record))], 1, NOW)
    return found


class TestWeakEntryVms:
    """Pattern: an owner dies in a fleet of few strong and many weak entry VMs."""

    @pytest.mark.parametrize("released", [False, True])
    def test_weak_one_lets_the_strong_ones_claim_first(self, released):
        """Guards against an owner that is too slow for the cell."""
        wait = 0.0 if released else CLAIM_TIMEOUT_S
        strong = view(released=released)
        low_capacity = view(released=released, claim_delay_s=LOW_CAPACITY_CLAIM_DELAY_S)
        assert strong.may_claim(NOW + wait + MOMENT_S)
        assert not low_capacity.may_claim(NOW + wait + MOMENT_S)

    def test_weak_one_claims_when_nobody_else_does(self):
        """Guards against a cell without an owner where all are weak."""
        low_capacity = view(claim_delay_s=LOW_CAPACITY_CLAIM_DELAY_S)
        assert low_capacity.may_claim(
            NOW + CLAIM_TIMEOUT_S + LOW_CAPACITY_CLAIM_DELAY_S + MOMENT_S
        )

    def test_restarted_weak_holder_lets_others_go_first_too(self):
        """Guards against a weak owner that claims again after each restart."""
        low_capacity = view("b", claim_delay_s=LOW_CAPACITY_CLAIM_DELAY_S)
        assert not low_capacity.may_claim(NOW)
        assert view("b").may_claim(NOW)

    def test_claim_of_another_starts_the_wait_anew(self):
        """Guards against a weak one that replaces the strong one at once."""
        low_capacity = view(claim_delay_s=LOW_CAPACITY_CLAIM_DELAY_S)
        record = CellClaim(Epoch(4), "c", "10.0.0.2:1", 0)
        later = NOW + CLAIM_TIMEOUT_S + LOW_CAPACITY_CLAIM_DELAY_S
        low_capacity.apply([KeyedRecord(1, *claim_item(record))], 2, later)
        assert not low_capacity.may_claim(later + CLAIM_TIMEOUT_S)
