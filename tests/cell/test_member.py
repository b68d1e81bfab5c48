"""Tests of an entry VM's choice of others that forward its log calls."""

from arbutusladder.cell.forwarders import MAX_FORWARDING_MEMBERS, select_forwarders
from arbutusladder.messages import EntryVm


def names(vm, members):
    """Returns the names of the entry VMs that forward calls of one of them."""
    return [member.vm for member in select_forwarders(vm, members)]


class TestForwarders:
    """Pattern: the log refuses a third of the entry VMs, most with slow links."""

    def test_undersized_entry_vms_forward_only_if_there_are_no_others(self):
        """Guards against reads of several entry VMs over one slow link."""
        members = [EntryVm(f"w{n}", "a:1", undersized=True) for n in range(9)]
        strong = [EntryVm(f"s{n}", "a:1") for n in range(4)]
        chosen = names("m", members + strong)
        assert len(chosen) == MAX_FORWARDING_MEMBERS
        assert all(name.startswith("s") for name in chosen)
        assert names("m", members[:2] + strong[:1]) == ["s0", "w0", "w1"]

    def test_calls_spread_over_the_others(self):
        """Guards against one entry VM that forwards for all."""
        members = [EntryVm(f"s{n}", "a:1") for n in range(6)]
        firsts = {names(f"s{n}", members[:n] + members[n + 1 :])[0] for n in range(6)}
        assert len(firsts) == 6
