"""Keys of records whose append may still take effect although it got no answer."""

# Seconds for which an append without an answer may still take effect; the faults that
# the bench injects delay one by up to 12 s.
IN_DOUBT_PERIOD_S = 15.0


class KeysInDoubt:
    """Keys whose appends are in doubt at any entry VM."""

    def __init__(self):
        self._until_by_key: dict[str, float] = {}

    def mark(self, keys: list[str], now: float) -> None:
        """Records appends that got no answer, and forgets those that have ended."""
        for key, until in list(self._until_by_key.items()):
            if now > until:
                del self._until_by_key[key]
        self._until_by_key.update(dict.fromkeys(keys, now + IN_DOUBT_PERIOD_S))

    def contains(self, key: str, now: float) -> bool:
        """Returns whether an append of a key may still take effect."""
        return now < self._until_by_key.get(key, 0.0)
