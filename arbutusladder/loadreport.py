"""Statistics and report of a load run: outcomes, markers and latencies."""

from collections import Counter
from dataclasses import dataclass, field

import msgspec
from hdrh.histogram import HdrHistogram

from arbutusladder import render
from arbutusladder.headernames import OUTCOME_HEADER
from arbutusladder.httpclient import HttpResponse
from arbutusladder.operatormessages import Refusal
from arbutusladder.states import Outcome

MARKER_PREFIX = "arbutusladder-load"
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
# Histograms store microseconds with three significant digits.
HIGHEST_LATENCY_US = 600_000_000


class StreamReport(msgspec.Struct):
    """Results of one stream.

    Attributes:
        arrivals: Number of arrivals, each with exactly one outcome.
        done_per_s: Done requests per second.
        outcomes: Number of arrivals by outcome: done, not_run, unknown or skipped.
        statuses: Number of done requests by HTTP status.
        reasons: Number of other requests by reason.
        markers: Number of done requests by the marker in the response: own, other
            or missing.
        latency_ms: Latency percentiles by outcome, measured from the planned arrival.
    """

    name: str
    arrivals: int
    done_per_s: float
    outcomes: dict[str, int]
    statuses: dict[str, int]
    reasons: dict[str, int]
    markers: dict[str, int]
    latency_ms: dict[str, dict[str, float]]


class Report(msgspec.Struct):
    """Report of a load run.

    Attributes:
        seconds: Time from the start to the last outcome.
        lateness_ms: Percentiles of the delay between planned arrival and sending;
            high values mean that the load generator itself was overloaded.
    """

    profile: str
    seed: int
    seconds: float
    lateness_ms: dict[str, float]
    streams: list[StreamReport]


@dataclass
class StreamStatistics:
    """Counts and latency histograms of one stream."""

    outcomes: Counter[str] = field(default_factory=Counter)
    statuses: Counter[str] = field(default_factory=Counter)
    reasons: Counter[str] = field(default_factory=Counter)
    markers: Counter[str] = field(default_factory=Counter)
    latency: dict[str, HdrHistogram] = field(default_factory=dict)

    def record_outcome(self, outcome: str, seconds: float) -> None:
        """Records the outcome of one request and its latency in seconds."""
        self.outcomes[outcome] += 1
        if outcome not in self.latency:
            self.latency[outcome] = new_histogram()
        record_seconds(self.latency[outcome], seconds)

    def record_response(self, response: HttpResponse, marker: str, echo: bool) -> str:
        """Records a response and returns its outcome."""
        outcome = response.header(OUTCOME_HEADER) or Outcome.DONE.value
        if outcome != Outcome.DONE.value:
            self.reasons[_refusal_reason(response)] += 1
            return outcome
        self.statuses[str(response.status)] += 1
        if echo:
            self.markers[classify_marker(response.body, marker)] += 1
        return outcome

    def build_report(self, name: str, seconds: float) -> StreamReport:
        """Returns the report of the stream over a duration in seconds."""
        done = self.outcomes[Outcome.DONE.value]
        return StreamReport(
            name,
            self.outcomes.total(),
            round(done / seconds, 2),
            dict(self.outcomes),
            dict(self.statuses),
            dict(self.reasons),
            dict(self.markers),
            {
                outcome: percentiles_ms(self.latency[outcome])
                for outcome in self.latency
            },
        )


def classify_marker(body: bytes, marker: str) -> str:
    """Returns own, other or missing, depending on the markers in a body."""
    # Markers end in ".end", so that number 1 does not match number 12.
    marker_count = body.count(MARKER_PREFIX.encode())
    own_count = body.count(marker.encode())
    if marker_count > own_count:
        return "other"
    return "own" if own_count else "missing"


def _refusal_reason(response: HttpResponse) -> str:
    try:
        return msgspec.json.decode(response.body, type=Refusal).reason
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return "unreadable"


def new_histogram() -> HdrHistogram:
    """Returns an empty latency histogram."""
    return HdrHistogram(1, HIGHEST_LATENCY_US, 3)


def record_seconds(histogram: HdrHistogram, seconds: float) -> None:
    """Records a duration, limited to the range of the histogram."""
    microseconds = min(max(int(seconds * 1e6), 1), HIGHEST_LATENCY_US)
    histogram.record_value(microseconds)


def percentiles_ms(histogram: HdrHistogram) -> dict[str, float]:
    """Returns percentiles and maximum of a histogram in milliseconds."""
    latency_by_name = {
        f"p{percentile:g}": histogram.get_value_at_percentile(percentile) / 1000
        for percentile in PERCENTILES
    }
    return latency_by_name | {"max": histogram.get_max_value() / 1000}


def _done_latency_column(name: str) -> render.Column:
    return render.Column(
        f"{name.upper()} MS", lambda row: row.latency_ms.get("done", {}).get(name)
    )


COLUMNS = [
    render.Column("STREAM", "name"),
    render.Column("ARRIVALS", "arrivals"),
    render.Column("DONE/S", "done_per_s"),
    *(_done_latency_column(name) for name in ("p50", "p99", "max")),
    render.Column("OUTCOMES", "outcomes"),
    render.Column("MARKERS", "markers"),
    render.Column("REASONS", "reasons"),
]


def all_markers_match(report: Report) -> bool:
    """Returns whether each checked response belonged to its request."""
    return all(set(stream.markers) <= {"own"} for stream in report.streams)
