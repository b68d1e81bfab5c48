"""Keys of appends to the log that got no answer and may still take effect."""

# Seconds for which an append without an answer may still take effect; the faults that
# the bench injects delay one by up to 12 s.
IN_DOUBT_PERIOD_S = 15.0


class InDoubtKeys:
    """Keys whose appends may still take effect, here or at another entry VM."""

    def __init__(self):
        self._until_by_key: dict[str, float] = {}

    def add(self, keys: list[str], now: float) -> None:
        """Adds keys of appends that got no answer until a monotonic time."""
        for key, until in list(self._until_by_key.items()):
            if now > until:
                del self._until_by_key[key]
        self._until_by_key.update(dict.fromkeys(keys, now + IN_DOUBT_PERIOD_S))

    def contains(self, key: str, now: float) -> bool:
        """Returns whether an append of a key may still take effect."""
        return now < self._until_by_key.get(key, 0.0)
