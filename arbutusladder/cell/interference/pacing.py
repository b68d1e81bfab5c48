"""Pace of filler tasks beside serving tasks, with hysteresis."""

import math
from dataclasses import dataclass, field

from arbutusladder.cell.runs import RunKey

# Pace of a run at its start, in percent.
FULL_PACE = 100
# Paces of filler tasks in percent, by level of throttling.
PERCENT_BY_LEVEL = (FULL_PACE, 50, 20, 0)
# Tails, as multiples of the target, from which fillers are throttled by a level, and
# below which they are restored.
THROTTLE_RATIO, RESTORE_RATIO = 0.9, 0.7
# Part of the limit on the time over the target between two levels: the last one is
# reached after a quarter of the limit, and shows in figures of the last half second.
LEVEL_TIME_SHARE = 0.125
# Seconds below the restoring tail after which fillers get faster by a level. The time
# doubles with each throttling that follows a restoration, up to the longest one.
RESTORE_AFTER_S = 3.0
MAX_RESTORE_AFTER_S = 60.0
# Seconds after a restoration in which a throttling counts as its consequence.
RELAPSE_S = 6.0
# Seconds after which the figure of a serving task no longer counts.
FIGURE_VALIDITY_S = 3.0


@dataclass(slots=True)
class WorkerPacing:
    """Pace of the filler tasks on one worker.

    Attributes:
        level: Level of throttling; 0 is the full pace.
        changed_at: Monotonic time in seconds of the last change.
    """

    level: int = 0
    changed_at: float = -math.inf
    _ratio_by_run: dict[RunKey, tuple[float, float]] = field(default_factory=dict)
    _calm_since: float | None = None
    _restore_after_s: float = RESTORE_AFTER_S
    _restored_at: float = -math.inf

    @property
    def percent(self) -> int:
        """Pace of the filler tasks in percent."""
        return PERCENT_BY_LEVEL[self.level]

    def record_tail(self, key: RunKey, ratio: float, now: float) -> None:
        """Records the tail of a serving task.

        Args:
            key: Its run.
            ratio: Tail as a multiple of its target.
            now: Monotonic time in seconds.
        """
        self._ratio_by_run[key] = (ratio, now)

    def update(self, harm_s: float, now: float) -> bool:
        """Throttles or restores the filler tasks by a level if that is due.

        Args:
            harm_s: Limit on the seconds that a serving task may be over its target.
            now: Monotonic time in seconds.

        Returns:
            Whether the pace has changed.
        """
        self._drop_old_figures(now)
        ratio = self.worst_ratio
        if ratio < RESTORE_RATIO:
            self._calm_since = now if self._calm_since is None else self._calm_since
            return self._restore(now)
        self._calm_since = None
        if ratio < THROTTLE_RATIO or self.level == len(PERCENT_BY_LEVEL) - 1:
            return False
        if now - self.changed_at < harm_s * LEVEL_TIME_SHARE:
            return False
        self._adapt_restoration(now - self._restored_at)
        self.level += 1
        self.changed_at = now
        return True

    def _adapt_restoration(self, since_restored_s: float) -> None:
        """Delays the next restoration if the last one did harm."""
        if since_restored_s < RELAPSE_S:
            doubled_s = 2.0 * self._restore_after_s
            self._restore_after_s = min(MAX_RESTORE_AFTER_S, doubled_s)
            self._restored_at = -math.inf
        elif since_restored_s > MAX_RESTORE_AFTER_S and not self.level:
            self._restore_after_s = RESTORE_AFTER_S

    def is_idle(self, now: float) -> bool:
        """Returns whether it has nothing to remember any more."""
        return (
            not self.level
            and self.worst_ratio == 0.0
            and (now - self.changed_at > MAX_RESTORE_AFTER_S)
        )

    def _restore(self, now: float) -> bool:
        if not self.level or now - self._calm_since < self._restore_after_s:
            return False
        self.level -= 1
        self.changed_at = self._restored_at = self._calm_since = now
        return True

    @property
    def worst_ratio(self) -> float:
        """Largest tail as a multiple of its target; 0 without serving tasks."""
        return max((ratio for ratio, _ in self._ratio_by_run.values()), default=0.0)

    def _drop_old_figures(self, now: float) -> None:
        for key, (_, seen_at) in list(self._ratio_by_run.items()):
            if now - seen_at > FIGURE_VALIDITY_S:
                del self._ratio_by_run[key]
