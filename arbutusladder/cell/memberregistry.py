"""Entry VMs that have announced themselves to the owner of the cell.

Each hello names the version of the list of entry VMs that its sender has. The owner
answers with the list only if that version is out of date: with N entry VMs the answers
to all hellos would otherwise have a size of N squared.
"""

import math
from dataclasses import dataclass

from arbutusladder.ids import Epoch, VmId
from arbutusladder.messages import EntryVm, MemberHello, MemberList

# Seconds after its last hello for which an entry VM counts as active; hellos are 0.5 s
# apart.
MEMBER_TIMEOUT_S = 1.6
# Seconds after its last hello for which an entry VM still counts as one of the cell. An
# owner that lost sight of most others must not take the rest for the whole cell; log
# outages, during which that matters, are shorter.
MEMBERSHIP_TIMEOUT_S = 30.0
# Entry VMs to which connections are kept for forwarding calls of the log.
MAX_FORWARDING_MEMBERS = 3


@dataclass(frozen=True)
class _Member:
    """An entry VM and the monotonic time of its newest hello in seconds."""

    entry: EntryVm
    hello_at: float


class MemberRegistry:
    """The entry VMs known to one owner.

    Args:
        own_entry: The owner's entry VM, which every list contains.
        epoch: Epoch of the owner.
        other_vms: Number of entry VMs of the cell that its predecessor knew.
        began_at: Monotonic time in seconds at which it became the owner.
    """

    def __init__(
        self,
        own_entry: EntryVm,
        epoch: Epoch,
        other_vms: int = 0,
        began_at: float = -math.inf,
    ):
        self._listed_by_vm: dict[VmId, EntryVm] = {}
        self._own_entry = own_entry
        self._epoch = epoch
        self._number = 0
        self._inherited_count = other_vms
        self._began_at = began_at
        self._member_by_vm: dict[VmId, _Member] = {}

    @property
    def vms(self) -> list[VmId]:
        """All entry VMs that have announced themselves, listed or not."""
        return list(self._member_by_vm)

    def count(self, now: float) -> int:
        """Returns the number of entry VMs of the cell, without the owner.

        It is at least 1 once another one has announced itself, also to a predecessor:
        an owner that hears nobody must not take itself for the whole cell. A new owner
        may not have heard all of them.

        Args:
            now: Monotonic time in seconds.
        """
        oldest = now - MEMBERSHIP_TIMEOUT_S
        members = self._member_by_vm.values()
        count = sum(row.hello_at > oldest for row in members)
        if self._began_at > oldest:
            count = max(count, self._inherited_count)
        return max(count, min(1, len(members) + self._inherited_count))

    def add(self, entry: EntryVm, now: float) -> None:
        """Adds an entry VM or records that it is active.

        Args:
            entry: The entry VM.
            now: Monotonic time in seconds.
        """
        self._member_by_vm[entry.vm] = _Member(entry, now)

    def refresh(self, now: float) -> bool:
        """Updates the list; returns whether it has changed.

        Args:
            now: Monotonic time in seconds.
        """
        oldest = now - MEMBER_TIMEOUT_S
        listed_by_vm = {
            vm: member.entry
            for vm, member in self._member_by_vm.items()
            if member.hello_at > oldest
        }
        if listed_by_vm == self._listed_by_vm:
            return False
        self._listed_by_vm = listed_by_vm
        self._number += 1
        return True

    @property
    def listed(self) -> list[EntryVm]:
        """Entry VMs of the newest list, without the owner."""
        return list(self._listed_by_vm.values())

    def is_listed(self, entry: EntryVm) -> bool:
        """Returns whether the newest list contains an entry VM as it is now."""
        return self._listed_by_vm.get(entry.vm) == entry

    def answer(self, hello: MemberHello) -> MemberList | None:
        """Returns the list if the sender of a hello has another version of it."""
        version = f"{self._epoch}.{self._number}"
        if hello.list_version == version:
            return None
        return MemberList([self._own_entry, *self.listed], version)


def select_forwarders(vm: VmId, members: list[EntryVm]) -> list[EntryVm]:
    """Returns the entry VMs that should forward log calls of one of them.

    Undersized ones come last: a forwarded read takes the bandwidth of both links. Among
    the others, those that follow in the order of names come first, so that the calls
    spread over them.
    """
    ranked = sorted(
        members, key=lambda member: (member.undersized, member.vm < vm, member.vm)
    )
    return ranked[:MAX_FORWARDING_MEMBERS]
