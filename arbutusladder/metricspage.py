"""HTTP page with the metrics of a process in the text format of Prometheus."""

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
    """Serves the metrics of one process.

    It is a collector of prometheus_client, which calls `collect` at each scrape.

    Args:
        metrics: Metrics of the process.
        path: Path of the page; other paths get status 404.
    """

    def __init__(self, metrics: Metrics, path: str):
        self._metrics = metrics
        self._path = path
        self._registry = CollectorRegistry()
        self._registry.register(self)

    def collect(self) -> Iterator[CounterMetricFamily | GaugeMetricFamily]:
        """Yields all counters and gauges.

        Of a counter KIND.REASON, the reason becomes a label.
        """
        family_by_kind: dict[str, CounterMetricFamily] = {}
        for name, value in sorted(self._metrics.count_by_name.items()):
            kind, _, reason = name.partition(".")
            family = family_by_kind.get(kind)
            if family is None:
                family = CounterMetricFamily(
                    PREFIX + kind, f"Events of kind {kind}.", labels=["reason"]
                )
                family_by_kind[kind] = family
            family.add_metric([reason], value)
        yield from family_by_kind.values()
        for name, value in sorted(self._metrics.gauge_by_name.items()):
            metric_name = name.replace(".", "_").replace("-", "_")
            yield GaugeMetricFamily(
                PREFIX + metric_name, f"Newest {name}.", value=value
            )

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Returns the response to a scrape."""
        if request.path != self._path:
            return HttpResponse(404)
        body = generate_latest(self._registry)
        body += generate_latest(self._metrics.histograms)
        return HttpResponse(200, [CONTENT_TYPE], body)
