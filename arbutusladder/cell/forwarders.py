"""Choice of the entry VMs that forward log calls of one of them."""

from arbutusladder.ids import VmId
from arbutusladder.messages import EntryVm

# Entry VMs to which connections are kept for forwarding calls of the log.
MAX_FORWARDING_MEMBERS = 3


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
