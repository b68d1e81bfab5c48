"""Position up to which an entry VM knows the progress topic.

The owner relays the states that it stores, so that the other entry VMs need not read
them. A read is needed only for records whose relay was lost.
"""

from dataclasses import dataclass


@dataclass
class ProgressPosition:
    """Position in the topic, from reads and relays.

    Attributes:
        offset: Offset of the first record that is not known.
    """

    offset: int = 0
    _relayed_from: int = 0
    _relayed_to: int = 0

    def record_read(self, next_offset: int) -> None:
        """Records that all records before an offset were read."""
        self.offset = max(self.offset, next_offset)
        self._skip_relayed()

    def restart(self, offset: int) -> None:
        """Requires all records from an offset on to be read, also relayed ones."""
        self.offset = offset
        self._relayed_from = self._relayed_to = 0

    def record_relay(self, offset: int, count: int) -> None:
        """Records the relay of a number of records from an offset on.

        A relay often arrives while a read of the records before it is in progress, so
        the newest relays without a gap between them are remembered.
        """
        if offset != self._relayed_to:
            self._relayed_from = offset
        self._relayed_to = offset + count
        self._skip_relayed()

    def _skip_relayed(self) -> None:
        if self._relayed_from <= self.offset < self._relayed_to:
            self.offset = self._relayed_to
