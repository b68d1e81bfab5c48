"""Tests when an entry VM may claim the cell."""

from types import SimpleNamespace

import pytest

from arbutusladder.cell.claimmanager import SUSPECT_POLL_INTERVAL_S, ClaimManager
from arbutusladder.cell.claims import (
    CLAIM_TIMEOUT_S,
    OWNER_KEY,
    UNDERSIZED_CLAIM_DELAY_S,
    ClaimView,
    claim_item,
)
from arbutusladder.cell.interfaces import KeyedRecord
from arbutusladder.clock import Clock
from arbutusladder.ids import Epoch
from arbutusladder.messages import CellClaim, OwnerBeat

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


class TestOwnerKilled:
    """Pattern: the owner is killed; heartbeats stop, then the claim is read."""

    @pytest.mark.parametrize("renewed", [False, True])
    def test_claim_times_out_from_the_last_heartbeat(self, renewed):
        """Guards against a second without an owner because reads start late.

        The first read after the owner's death shows the renewal that its last heartbeat
        reported, or a later one.
        """
        claim_view = ClaimView("a")
        heartbeat_at = NOW - 0.6
        heartbeat = OwnerBeat(Epoch(3), claim_sequence=7)
        claim_view.record_heartbeat(heartbeat, heartbeat_at)
        claim = CellClaim(Epoch(3), "b", "10.0.0.1:1", 8 if renewed else 7)
        claim_view.apply([KeyedRecord(0, *claim_item(claim))], 1, NOW)
        due_at = heartbeat_at + CLAIM_TIMEOUT_S + EPSILON_S
        assert claim_view.may_claim(due_at) is not renewed
        assert claim_view.may_claim(NOW + CLAIM_TIMEOUT_S + EPSILON_S)

    def test_renewal_after_the_heartbeat_keeps_the_claim(self):
        """Guards against replacing an owner whose heartbeats alone are lost."""
        claim_view = ClaimView("a")
        claim_view.record_heartbeat(OwnerBeat(Epoch(3), claim_sequence=7), NOW - 0.6)
        for number in range(6):
            claim = CellClaim(Epoch(3), "b", "10.0.0.1:1", 7 + number)
            record = KeyedRecord(number, *claim_item(claim))
            claim_view.apply([record], number + 1, NOW + number * 0.4)
            assert not claim_view.may_claim(NOW + number * 0.4 + 0.39)


class TestRestart:
    """Pattern: all entry VMs are killed at once and restart."""

    def test_claim_is_polled_often_until_the_first_heartbeat(self):
        """Guards against a second without an owner after every restart."""
        manager = ClaimManager(
            SimpleNamespace(vm="a"),
            SimpleNamespace(clock=Clock(), settings=SimpleNamespace(undersized=False)),
        )
        claim = CellClaim(Epoch(3), "b", "10.0.0.1:1", 0)
        manager._view.apply([KeyedRecord(0, *claim_item(claim))], 1, NOW)
        assert manager._poll_interval(Clock().now()) == SUSPECT_POLL_INTERVAL_S


class TestMalformedClaim:
    """Pattern: a record of the claims topic cannot be decoded."""

    def test_newest_readable_claim_remains(self):
        """Guards against one malformed record that ends the whole process."""
        claim_view = view()
        claim_view.apply([KeyedRecord(1, OWNER_KEY, b"\xc1")], 2, NOW + 0.1)
        assert claim_view.claim.holder == "b"
        assert (claim_view.end, claim_view.malformed) == (2, 1)
