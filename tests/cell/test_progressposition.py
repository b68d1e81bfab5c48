"""Tests of the position up to which an entry VM knows the progress topic."""

from arbutusladder.cell.progressposition import ProgressPosition


class TestRelays:
    """Pattern: the owner relays many records a second, and some relays are lost."""

    def test_successive_relays_need_no_read(self):
        """Guards against entry VMs that all read what was relayed to them."""
        position = ProgressPosition(10)
        position.record_relay(10, 3)
        position.record_relay(13, 1)
        assert position.offset == 14

    def test_lost_relay_leaves_a_gap(self):
        """Guards against states that an entry VM never learns of."""
        position = ProgressPosition(10)
        position.record_relay(12, 3)
        assert position.offset == 10

    def test_read_continues_after_relays_that_arrived_meanwhile(self):
        """Guards against reading all records for good after one lost relay.

        The read returns records up to offset 13, and relays overtake its answer.
        """
        position = ProgressPosition(10)
        position.record_relay(12, 3)
        position.record_relay(15, 2)
        position.record_read(13)
        assert position.offset == 17
        position.record_relay(17, 1)
        assert position.offset == 18

    def test_relays_after_another_gap_do_not_hide_it(self):
        """Guards against skipping the records between two separate relays."""
        position = ProgressPosition(10)
        position.record_relay(12, 2)
        position.record_relay(16, 2)
        position.record_read(13)
        assert position.offset == 13
