"""Learnt effects of tasks on one another, by pair of images."""

import math
from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from arbutusladder import events

# Standard deviation of the logarithm of an unknown slowdown.
UNKNOWN_SPREAD = 0.3
# Expected logarithm of the ratio of tail to target of an undisturbed serving task, and
# its standard deviation, before it is observed.
UNDISTURBED_LOG_RATIO, UNDISTURBED_SPREAD = -0.7, 1.0
# Seconds after which an effect that is not observed any more has lost half its size.
HALF_LIFE_S = 600.0
# Largest number of pairs; the one unobserved for longest is dropped.
MAX_PAIRS = 2000
# Slowdowns, certain to one standard deviation, from which a pair has level 1 or 2.
LEVEL_THRESHOLDS = (math.log(1.1), math.log(1.3))
# Part of a threshold below which a pair loses the level.
LEVEL_HYSTERESIS = 0.5
# Name that stands for the undisturbed state of a serving task.
_ALONE = ""


@dataclass(slots=True)
class _Effect:
    """Normal distribution of the logarithm of a slowdown."""

    mean: float
    variance: float
    seen_at: float
    level: int = 0


class ImagePairs:
    """Learns by how much tasks of one image slow down those of another.

    A slowdown is the sum of the effects of the images beside a task, on a logarithmic
    scale. Each effect has a normal distribution, which observations narrow.

    Args:
        record_event: Queues an event for the event log.
    """

    def __init__(self, record_event: Callable[..., None]):
        self._record_event = record_event
        self._effect_by_pair: OrderedDict[tuple[str, str], _Effect] = OrderedDict()
        self._level_by_image: dict[str, dict[str, int]] = {}

    def levels(self, image: str) -> Mapping[str, int]:
        """Returns the images that disturb an image, or that it disturbs, with levels.

        Level 1 is a slowdown of at least a tenth, level 2 of at least 30 %.
        """
        return self._level_by_image.get(image, {})

    def expected(self, image: str, overlap_by_image: Mapping[str, float]) -> float:
        """Returns the expected logarithm of the slowdown of a task.

        Args:
            image: Image of the task.
            overlap_by_image: Share of its run, for each image beside it.
        """
        total = 0.0
        for other, overlap in overlap_by_image.items():
            effect = self._effect_by_pair.get((image, other))
            total += overlap * effect.mean if effect else 0.0
        return total

    def learn(
        self,
        image: str,
        overlap_by_image: Mapping[str, float],
        slowdown: float,
        variance: float,
        now: float,
    ) -> None:
        """Updates the effects on a task.

        Args:
            image: Image of the task.
            overlap_by_image: Share of its run, for each image beside it.
            slowdown: Logarithm of its slowdown.
            variance: Variance of that value without any effects.
            now: Monotonic time in seconds.
        """
        rows = [
            (other, overlap, self._effect(image, other, now))
            for other, overlap in overlap_by_image.items()
        ]
        rest = slowdown - sum(overlap * effect.mean for _, overlap, effect in rows)
        total = variance + sum(o * o * effect.variance for _, o, effect in rows)
        for other, overlap, effect in rows:
            gain = overlap * effect.variance / total
            effect.mean += gain * rest
            effect.variance *= 1.0 - gain * overlap
            if other != _ALONE:
                self._update_level(image, other, effect)

    def learn_tail(
        self, image: str, others: Mapping[str, float], ratio: float, now: float
    ) -> None:
        """Updates the effects on a serving task.

        Args:
            image: Its image.
            others: Share of the observed time, for each image beside it.
            ratio: Tail of its response times as a multiple of the target.
            now: Monotonic time in seconds.
        """
        if (image, _ALONE) not in self._effect_by_pair:
            alone = _Effect(UNDISTURBED_LOG_RATIO, UNDISTURBED_SPREAD**2, now)
            self._effect_by_pair[image, _ALONE] = alone
        log_ratio = math.log(min(100.0, max(0.01, ratio)))
        self.learn(image, {_ALONE: 1.0, **others}, log_ratio, UNKNOWN_SPREAD**2, now)

    def worst(self) -> float:
        """Returns the largest slowdown of a pair that has a level; 1 without one."""
        rows = self._effect_by_pair.items()
        known = [effect.mean for pair, effect in rows if pair[1] and effect.level]
        return math.exp(max(known, default=0.0))

    def __len__(self) -> int:
        return len(self._effect_by_pair)

    def _effect(self, image: str, other: str, now: float) -> _Effect:
        """Returns the effect of one image on another after its decay."""
        pair = (image, other)
        effect = self._effect_by_pair.get(pair)
        if effect is None:
            effect = self._effect_by_pair[pair] = _Effect(0.0, UNKNOWN_SPREAD**2, now)
        elif other != _ALONE:
            kept = 0.5 ** ((now - effect.seen_at) / HALF_LIFE_S)
            effect.mean *= kept
            grown = effect.variance * kept + UNKNOWN_SPREAD**2 * (1.0 - kept)
            effect.variance = min(UNKNOWN_SPREAD**2, grown)
        effect.seen_at = now
        self._effect_by_pair.move_to_end(pair)
        if len(self._effect_by_pair) > MAX_PAIRS:
            (former, by), _ = self._effect_by_pair.popitem(last=False)
            self._set_level(former, by)
        return effect

    def _update_level(self, image: str, other: str, effect: _Effect) -> None:
        certain = effect.mean - math.sqrt(effect.variance)
        level = sum(certain >= threshold for threshold in LEVEL_THRESHOLDS)
        if level < effect.level:
            kept = LEVEL_THRESHOLDS[effect.level - 1] * LEVEL_HYSTERESIS
            level = effect.level if certain >= kept else level
        if level == effect.level:
            return
        effect.level = level
        self._set_level(image, other)
        self._record_event(
            events.INTERFERENCE_LEARNT,
            image=image,
            other=other,
            level=level,
            slowdown=math.exp(effect.mean),
            spread=math.sqrt(effect.variance),
        )

    def _set_level(self, image: str, other: str) -> None:
        """Sets the level of a pair to that of the stronger of its two effects."""
        effects = (
            self._effect_by_pair.get((image, other)),
            self._effect_by_pair.get((other, image)),
        )
        level = max((effect.level for effect in effects if effect), default=0)
        for one, two in ((image, other), (other, image)):
            levels = self._level_by_image.setdefault(one, {})
            levels[two] = level
            if not level:
                del levels[two]
            if not levels:
                del self._level_by_image[one]
