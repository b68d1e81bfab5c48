"""Tests when an entry VM may claim the cell."""

import pytest

from arbutusladder.cell.claims import (
    CLAIM_TIMEOUT_S,
    UNDERSIZED_CLAIM_DELAY_S,
    ClaimView,
    claim_item,
)
from arbutusladder.cell.interfaces import KeyedRecord
from arbutusladder.ids import Epoch
from arbutusladder.messages import CellClaim

NOW = 64.0
# Seconds added to a limit to exceed it in spite of rounding.
EPSILON_S = 0.01


def view(vm="a", claim_delay_s=0.0, **claim):
    """Returns the view of an entry VM that has just read a claim held by ``b``."""
    claim_view = ClaimView(vm, claim_delay_s=claim_delay_s)
    record = CellClaim(Epoch(3), "b", "10.0.0.1:1", 0, **claim)
    claim_view.apply([KeyedRecord(0, *claim_item(record))], 1, NOW)
    return claim_view


class TestUndersizedEntryVms:
    """The owner fails in a cell where most entry VMs are undersized."""

    @pytest.mark.parametrize("released", [False, True])
    def test_undersized_entry_vm_lets_others_claim_first(self, released):
        """Guards against an owner with too few resources for the cell."""
        wait = 0.0 if released else CLAIM_TIMEOUT_S
        normal = view(released=released)
        undersized = view(released=released, claim_delay_s=UNDERSIZED_CLAIM_DELAY_S)
        assert normal.may_claim(NOW + wait + EPSILON_S)
        assert not undersized.may_claim(NOW + wait + EPSILON_S)

    def test_undersized_entry_vm_claims_when_no_other_does(self):
        """Guards against a cell without an owner if all entry VMs are undersized."""
        undersized = view(claim_delay_s=UNDERSIZED_CLAIM_DELAY_S)
        assert undersized.may_claim(
            NOW + CLAIM_TIMEOUT_S + UNDERSIZED_CLAIM_DELAY_S + EPSILON_S
        )

    def test_restarted_undersized_holder_lets_others_claim_first(self):
        """Guards against an undersized owner that claims again after each restart."""
        undersized = view("b", claim_delay_s=UNDERSIZED_CLAIM_DELAY_S)
        assert not undersized.may_claim(NOW)
        assert view("b").may_claim(NOW)

    def test_claim_of_another_entry_vm_restarts_the_delay(self):
        """Guards against replacing the new owner right after its claim."""
        undersized = view(claim_delay_s=UNDERSIZED_CLAIM_DELAY_S)
        record = CellClaim(Epoch(4), "c", "10.0.0.2:1", 0)
        later = NOW + CLAIM_TIMEOUT_S + UNDERSIZED_CLAIM_DELAY_S
        undersized.apply([KeyedRecord(1, *claim_item(record))], 2, later)
        assert not undersized.may_claim(later + CLAIM_TIMEOUT_S)
