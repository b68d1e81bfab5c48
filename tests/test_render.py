"""Tests of the tables for operators."""

from arbutusladder.operatormessages import MemberView
from arbutusladder.render import MEMBER_COLUMNS
from arbutusladder.states import EntryState


def cells(**fields):
    """Returns the cells of a seat by title."""
    member = MemberView("s1", "10.0.0.1:7100", "r", "d", **fields)
    return {column.title: column.cell_value(member) for column in MEMBER_COLUMNS}


class TestMembers:
    """Guards against a dead or cut-off entry VM that looks ready or just heard."""

    def test_live_seat(self):
        found = cells(live=True, state=EntryState.READY, vm="v1", silent_s=0.2)
        assert (found["STATE"], found["SILENT S"]) == ("ready", 0.2)

    def test_silent_seat_does_not_show_its_last_state(self):
        found = cells(live=False, state=EntryState.READY, vm="v1", silent_s=35.7)
        assert (found["STATE"], found["SILENT S"]) == ("silent", 35.7)

    def test_seat_that_was_never_heard(self):
        found = cells(live=False, state=EntryState.STOPPED)
        assert (found["STATE"], found["SILENT S"]) == ("-", "-")
