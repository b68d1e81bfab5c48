"""Tests of the text tables for operators."""

from arbutusladder.operatormessages import MemberView
from arbutusladder.render import MEMBER_COLUMNS
from arbutusladder.states import EntryState


def displayed_cells(**fields):
    """Returns the cells of a seat's row in the member table, by column title."""
    member = MemberView("s1", "10.0.0.1:7100", "r", "d", **fields)
    return {column.title: column.cell_value(member) for column in MEMBER_COLUMNS}


class TestMemberTable:
    """Guards against a failed or disconnected entry VM that is shown as ready."""

    def test_live_seat_shows_its_state(self):
        displayed = displayed_cells(
            live=True, state=EntryState.READY, vm="v1", silent_s=0.2
        )
        assert (displayed["STATE"], displayed["SILENT S"]) == ("ready", 0.2)

    def test_silent_seat_does_not_show_its_last_state(self):
        displayed = displayed_cells(
            live=False, state=EntryState.READY, vm="v1", silent_s=35.7
        )
        assert (displayed["STATE"], displayed["SILENT S"]) == ("silent", 35.7)

    def test_seat_without_heartbeats_shows_no_state(self):
        displayed = displayed_cells(live=False, state=EntryState.STOPPED)
        assert (displayed["STATE"], displayed["SILENT S"]) == ("-", "-")
