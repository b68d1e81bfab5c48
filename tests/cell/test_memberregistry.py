"""Tests of the list of entry VMs that the owner distributes."""

from arbutusladder.cell.memberregistry import (
    MEMBER_TIMEOUT_S,
    MEMBERSHIP_TIMEOUT_S,
    MemberRegistry,
)
from arbutusladder.messages import EntryVm, MemberHello

OWN_ENTRY = EntryVm("owner", "a:1")
# Seconds between the hellos of an entry VM.
HELLO_INTERVAL_S = 0.5


def entry_vms(count):
    """Returns entry VMs with names and addresses of their own."""
    return [EntryVm(f"vm-{number}", f"a:{number}") for number in range(count)]


class Cell:
    """Entry VMs that say hello to one owner and keep the lists that it answers with.

    Attributes:
        rows_sent: Number of rows in all answers.
    """

    def __init__(self, epoch=1):
        self.registry = MemberRegistry(OWN_ENTRY, epoch)
        self.version_by_vm = {}
        self.vms_by_receiver = {}
        self.rows_sent = 0

    def say_hello(self, entry, now):
        """Handles a hello as the owner does."""
        self.registry.add(entry, now)
        if not self.registry.is_listed(entry):
            self.registry.refresh(now)
        version = self.version_by_vm.get(entry.vm, "")
        hello = MemberHello(entry.vm, entry.listen, list_version=version)
        answer = self.registry.answer(hello)
        if answer:
            self.rows_sent += len(answer.members)
            self.version_by_vm[entry.vm] = answer.version
            self.vms_by_receiver[entry.vm] = {row.vm for row in answer.members}


class TestLists:
    """Pattern: 97 entry VMs say hello twice a second."""

    def test_unchanged_list_is_sent_once(self):
        """Guards against answers whose size grows with the square of the entry VMs.

        With a list in each answer the owner sent 1.8 MB/s.
        """
        cell, entries = Cell(), entry_vms(97)
        for second in range(20):
            for entry in entries:
                cell.say_hello(entry, second * HELLO_INTERVAL_S)
        assert cell.rows_sent <= 2 * 98 * 97
        all_vms = {"owner", *(entry.vm for entry in entries)}
        assert all(vms == all_vms for vms in cell.vms_by_receiver.values())

    def test_silent_entry_vm_leaves_the_list(self):
        """Guards against forwarding through an entry VM that is gone."""
        cell, (first, second) = Cell(), entry_vms(2)
        cell.say_hello(first, 0.0)
        cell.say_hello(second, 0.0)
        now = MEMBER_TIMEOUT_S + HELLO_INTERVAL_S
        cell.registry.add(first, now)
        assert cell.registry.refresh(now)
        cell.say_hello(first, now)
        assert cell.vms_by_receiver[first.vm] == {"owner", first.vm}

    def test_changed_address_is_sent_to_all(self):
        """Guards against calls to the address of a process that has ended."""
        cell, (first, second) = Cell(), entry_vms(2)
        cell.say_hello(first, 0.0)
        cell.say_hello(second, 0.0)
        cell.say_hello(first, 0.1)
        cell.say_hello(EntryVm(second.vm, "b:7"), 0.2)
        sent = cell.rows_sent
        cell.say_hello(first, 0.3)
        assert cell.rows_sent > sent

    def test_list_of_another_owner_is_replaced(self):
        """Guards against an old list whose number a new owner uses as well."""
        old, (entry,) = Cell(epoch=1), entry_vms(1)
        old.say_hello(entry, 0.0)
        new = Cell(epoch=2)
        new.version_by_vm = dict(old.version_by_vm)
        new.say_hello(entry, 0.1)
        assert new.rows_sent == 2


class TestCount:
    """Pattern: a process starts anew and becomes the owner before it hears others."""

    def test_entry_vms_of_the_predecessor_count(self):
        """Guards against an owner that takes those it has heard for the whole cell."""
        (entry,) = entry_vms(1)
        registry = MemberRegistry(OWN_ENTRY, 2, other_vms=7, began_at=100.0)
        assert registry.count(100.0) == 7
        registry.add(entry, 101.0)
        assert registry.count(101.0) == 7
        registry.add(entry, 129.0)
        assert registry.count(100.1 + MEMBERSHIP_TIMEOUT_S) == 1

    def test_an_owner_that_hears_nobody_is_not_the_whole_cell(self):
        """Guards against an isolated owner that goes on after a while."""
        registry = MemberRegistry(OWN_ENTRY, 2, other_vms=7, began_at=100.0)
        assert registry.count(1000.0) == 1

    def test_single_entry_vm_needs_no_other(self):
        """Guards against a cell of one entry VM that stands still without the log."""
        assert MemberRegistry(OWN_ENTRY, 2, 0, 100.0).count(100.0) == 0
