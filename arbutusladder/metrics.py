"""Counters and gauges, kept in memory and sent to statsd."""

from collections import Counter

import statsd
from prometheus_client import CollectorRegistry, Histogram

from arbutusladder.states import Reason


class Metrics:
    """Counts events; a copy goes to statsd when an address is given.

    Args:
        address: Address and port of the statsd server; empty for none.
        prefix: First part of every metric name.
    """

    def __init__(self, address: str = "", prefix: str = "arbutusladder"):
        self.count_by_name: Counter[str] = Counter()
        self.gauge_by_name: dict[str, float] = {}
        self.histograms = CollectorRegistry()
        self._prefix = prefix
        self._histogram_by_name: dict[str, Histogram] = {}
        self._client = _client(address, prefix)

    def count(self, name: str, amount: int = 1) -> None:
        """Adds to a counter."""
        self.count_by_name[name] += amount
        if self._client:
            self._client.incr(name, amount)

    def refused(self, reason: Reason) -> None:
        """Counts a refusal by its reason."""
        self.count(f"refused.{reason.value}")

    def retried(self, reason: Reason) -> None:
        """Counts a retry by its reason."""
        self.count(f"retried.{reason.value}")

    def unknown(self, reason: Reason) -> None:
        """Counts an unknown outcome by its reason."""
        self.count(f"unknown.{reason.value}")

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        self.gauge_by_name[name] = value
        if self._client:
            self._client.gauge(name, value)

    def timing(self, name: str, seconds: float) -> None:
        """Reports a duration in seconds."""
        histogram = self._histogram_by_name.get(name)
        if histogram is None:
            plain = f"{self._prefix}_{name}_seconds".replace(".", "_")
            histogram = Histogram(
                plain, f"Duration of {name}.", registry=self.histograms
            )
            self._histogram_by_name[name] = histogram
        histogram.observe(seconds)
        if self._client:
            self._client.timing(name, seconds * 1000)


def _client(address: str, prefix: str) -> statsd.StatsClient | None:
    if not address:
        return None
    host, _, port = address.rpartition(":")
    return statsd.StatsClient(host, int(port), prefix=prefix)
