"""Bounds the processor time that requests being received need for one turn each.

Small parts of requests, such as chunks of one byte, take much processor time for few
bytes. A connection that processes such parts lets others run after each turn; the sum
of the turns that wait is the time by which these requests delay everything else in
the process.
"""

from collections.abc import Callable

# After a shortage, requests give way until this share is in use.
TARGET_SHARE = 0.875
# Processor time after which a turn ends, however few parts it had.
TURN_S = 0.001


class TurnWork:
    """Processor time that one connection has taken since it was idle.

    Args:
        give_way: Called to free what the request holds.

    Attributes:
        spent_s: Processor time in seconds.
        gave_way: Whether the request must be refused.
    """

    def __init__(self, give_way: Callable[[], None]):
        self.give_way = give_way
        self.spent_s = 0.0
        self.gave_way = False


class TurnQueue:
    """Sums the turns of the connections that wait for their next one.

    Args:
        capacity_s: Processor time of all these turns together. One connection is always
            admitted.
    """

    def __init__(self, capacity_s: float):
        self._capacity_s = capacity_s
        self._cost_by_work: dict[TurnWork, float] = {}
        self._waiting_s = 0.0

    def begin_wait(self, work: TurnWork, cost_s: float) -> bool:
        """Adds a connection that waits for its next turn.

        Args:
            work: Work of the connection.
            cost_s: Processor time of its last turn in seconds.

        Returns:
            Whether all turns are within the limit.
        """
        work.spent_s += cost_s
        self._cost_by_work[work] = cost_s
        self._waiting_s += cost_s
        return self._waiting_s <= self._capacity_s or len(self._cost_by_work) == 1

    def end_wait(self, work: TurnWork) -> None:
        """Removes a connection, if it waits."""
        self._waiting_s -= self._cost_by_work.pop(work, 0.0)
        if not self._cost_by_work:
            # Drops what rounding has left.
            self._waiting_s = 0.0

    def shed_heaviest(self) -> None:
        """Makes the requests give way that have taken most, until the rest fits."""
        if self._waiting_s <= self._capacity_s:
            return
        target_s = self._capacity_s * TARGET_SHARE
        for work in sorted(self._cost_by_work, key=lambda w: -w.spent_s):
            if self._waiting_s <= target_s or len(self._cost_by_work) == 1:
                return
            self.end_wait(work)
            work.gave_way = True
            work.give_way()
