"""Counters, gauges and histograms, kept in memory and also sent to statsd."""

from collections import Counter

import statsd
from prometheus_client import CollectorRegistry, Histogram

from arbutusladder.states import Reason


class Metrics:
    """Metrics of one process since its start.

    Args:
        address: Address and port of the statsd server; empty to send nothing.
        prefix: First part of every metric name.

    Attributes:
        count_by_name: Counters.
        gauge_by_name: Newest values of the gauges.
        histograms: Registry of the histograms of durations.
    """

    def __init__(self, address: str = "", prefix: str = "arbutusladder"):
        self.count_by_name: Counter[str] = Counter()
        self.gauge_by_name: dict[str, float] = {}
        self.histograms = CollectorRegistry()
        self._prefix = prefix
        self._histogram_by_name: dict[str, Histogram] = {}
        self._client = _connect_statsd(address, prefix)

    def count(self, name: str, amount: int = 1) -> None:
        """Increments a counter."""
        self.count_by_name[name] += amount
        if self._client:
            self._client.incr(name, amount)

    def count_refusal(self, reason: Reason) -> None:
        """Increments the counter of refusals for a reason."""
        self.count(f"refused.{reason.value}")

    def count_retry(self, reason: Reason) -> None:
        """Increments the counter of retries for a reason."""
        self.count(f"retried.{reason.value}")

    def count_unknown_outcome(self, reason: Reason) -> None:
        """Increments the counter of unknown outcomes for a reason."""
        self.count(f"unknown.{reason.value}")

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge to a value."""
        self.gauge_by_name[name] = value
        if self._client:
            self._client.gauge(name, value)

    def timing(self, name: str, seconds: float) -> None:
        """Adds a duration in seconds to a histogram, created at its first use."""
        histogram = self._histogram_by_name.get(name)
        if histogram is None:
            full_name = f"{self._prefix}_{name}_seconds".replace(".", "_")
            histogram = Histogram(
                full_name, f"Duration of {name}.", registry=self.histograms
            )
            self._histogram_by_name[name] = histogram
        histogram.observe(seconds)
        if self._client:
            self._client.timing(name, seconds * 1000)


def _connect_statsd(address: str, prefix: str) -> statsd.StatsClient | None:
    if not address:
        return None
    host, _, port = address.rpartition(":")
    return statsd.StatsClient(host, int(port), prefix=prefix)
