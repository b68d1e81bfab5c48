"""Counters and histograms as text, for a scraper."""

from collections.abc import Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

from arbutusladder.httpclient import HttpResponse
from arbutusladder.httpserver import HttpRequest
from arbutusladder.messages import Header
from arbutusladder.metrics import Metrics

CONTENT_TYPE = Header("Content-Type", "text/plain; version=0.0.4")
PREFIX = "arbutusladder_"


class MetricsPage:
    """Serves one process's metrics.

    Args:
        metrics: The process's metrics.
        path: Path of the page; others are not found.
    """

    def __init__(self, metrics: Metrics, path: str):
        self._metrics = metrics
        self._path = path
        self._registry = CollectorRegistry()
        self._registry.register(self)

    def collect(self) -> Iterator[CounterMetricFamily | GaugeMetricFamily]:
        """Yields all counters and gauges; a reason becomes a label."""
        families: dict[str, CounterMetricFamily] = {}
        for name, value in sorted(self._metrics.count_by_name.items()):
            kind, _, reason = name.partition(".")
            family = families.get(kind)
            if family is None:
                family = CounterMetricFamily(
                    PREFIX + kind, f"Events of kind {kind}.", labels=["reason"]
                )
                families[kind] = family
            family.add_metric([reason], value)
        yield from families.values()
        for name, value in sorted(self._metrics.gauge_by_name.items()):
            plain = name.replace(".", "_").replace("-", "_")
            yield GaugeMetricFamily(PREFIX + plain, f"Newest {name}.", value=value)

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Answers a scrape."""
        if request.path != self._path:
            return HttpResponse(404)
        body = generate_latest(self._registry)
        body += generate_latest(self._metrics.histograms)
        return HttpResponse(200, [CONTENT_TYPE], body)
