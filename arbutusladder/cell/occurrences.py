"""Set of the finished occurrences of a job, kept as ranges."""

from bisect import bisect_right
from collections.abc import Iterable

from arbutusladder.messages import OccurrenceRange


class FinishedOccurrences:
    """Numbers of finished occurrences.

    Occurrences are opened in order, so there is at most one range more than there are
    open occurrences, whatever the length of the schedule.

    Args:
        ranges: Stored ranges; ranges out of order or out of bounds are left out.
        count: Number of occurrences of the job.
    """

    def __init__(self, ranges: Iterable[OccurrenceRange] = (), count: int = 1):
        self._firsts: list[int] = []
        self._lasts: list[int] = []
        for row in ranges:
            previous = self._lasts[-1] if self._lasts else -1
            if previous < row.first <= row.last < count:
                self._firsts.append(row.first)
                self._lasts.append(row.last)

    def __contains__(self, number: int) -> bool:
        """Returns whether an occurrence has finished."""
        place = bisect_right(self._firsts, number) - 1
        return place >= 0 and number <= self._lasts[place]

    def __len__(self) -> int:
        """Returns the number of finished occurrences."""
        return sum(self._lasts) - sum(self._firsts) + len(self._firsts)

    def add(self, number: int) -> None:
        """Adds an occurrence."""
        if number in self:
            return
        place = bisect_right(self._firsts, number)
        follows = place > 0 and self._lasts[place - 1] == number - 1
        precedes = place < len(self._firsts) and self._firsts[place] == number + 1
        if follows and precedes:
            self._lasts[place - 1] = self._lasts.pop(place)
            del self._firsts[place]
        elif follows:
            self._lasts[place - 1] = number
        elif precedes:
            self._firsts[place] = number
        else:
            self._firsts.insert(place, number)
            self._lasts.insert(place, number)

    def next_unfinished(self, number: int) -> int:
        """Returns the first occurrence from a number on that has not finished."""
        place = bisect_right(self._firsts, number) - 1
        if place >= 0 and number <= self._lasts[place]:
            return self._lasts[place] + 1
        return number

    def ranges(self) -> list[OccurrenceRange]:
        """Returns the ranges in order."""
        return [
            OccurrenceRange(first, last)
            for first, last in zip(self._firsts, self._lasts, strict=True)
        ]
