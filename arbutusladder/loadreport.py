"""Outcomes and latencies of a load run."""

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
# Latencies are kept in microseconds with three significant digits.
HIGHEST_LATENCY_US = 600_000_000


class StreamReport(msgspec.Struct):
    """What became of the arrivals of one stream.

    Attributes:
        arrivals: All arrivals, each with exactly one outcome.
        outcomes: Arrivals by outcome: done, not_run, unknown or skipped.
        statuses: Done requests by HTTP status.
        reasons: Other requests by reason.
        markers: Done requests by marker: own, other or missing.
        latency_ms: Percentiles by outcome, from the planned arrival on.
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
    """Result of a run.

    Attributes:
        seconds: Time from the start to the last outcome.
        lateness_ms: Percentiles of how late the tool sent; a high value says
            that the tool itself was overloaded.
    """

    profile: str
    seed: int
    seconds: float
    lateness_ms: dict[str, float]
    streams: list[StreamReport]


@dataclass
class Tally:
    """Counts and latencies of one stream."""

    outcomes: Counter[str] = field(default_factory=Counter)
    statuses: Counter[str] = field(default_factory=Counter)
    reasons: Counter[str] = field(default_factory=Counter)
    markers: Counter[str] = field(default_factory=Counter)
    latency: dict[str, HdrHistogram] = field(default_factory=dict)

    def end(self, outcome: str, seconds: float) -> None:
        """Records the outcome of one request and its latency."""
        self.outcomes[outcome] += 1
        if outcome not in self.latency:
            self.latency[outcome] = _histogram()
        _record(self.latency[outcome], seconds)

    def answer(self, answer: HttpResponse, marker: str, echo: bool) -> str:
        """Records an answer and returns its outcome."""
        outcome = answer.header(OUTCOME_HEADER) or Outcome.DONE.value
        if outcome != Outcome.DONE.value:
            self.reasons[_reason_in(answer)] += 1
            return outcome
        self.statuses[str(answer.status)] += 1
        if echo:
            self.markers[_marker_state(answer.body, marker)] += 1
        return outcome

    def report(self, name: str, seconds: float) -> StreamReport:
        """Returns the counts as a report."""
        done = self.outcomes[Outcome.DONE.value]
        return StreamReport(
            name,
            self.outcomes.total(),
            round(done / seconds, 2),
            dict(self.outcomes),
            dict(self.statuses),
            dict(self.reasons),
            dict(self.markers),
            {outcome: _percentiles(self.latency[outcome]) for outcome in self.latency},
        )


def _marker_state(body: bytes, marker: str) -> str:
    """Returns whether a body holds its own marker and no other."""
    # A marker ends in ".end", so that number 1 is not found in number 12.
    found = body.count(MARKER_PREFIX.encode())
    own = body.count(marker.encode())
    if found > own:
        return "other"
    return "own" if own else "missing"


def _reason_in(answer: HttpResponse) -> str:
    try:
        return msgspec.json.decode(answer.body, type=Refusal).reason
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return "unreadable"


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, HIGHEST_LATENCY_US, 3)


def _record(histogram: HdrHistogram, seconds: float) -> None:
    microseconds = min(max(int(seconds * 1e6), 1), HIGHEST_LATENCY_US)
    histogram.record_value(microseconds)


def _percentiles(histogram: HdrHistogram) -> dict[str, float]:
    values = {
        f"p{percentile:g}": histogram.get_value_at_percentile(percentile) / 1000
        for percentile in PERCENTILES
    }
    return values | {"max": histogram.get_max_value() / 1000}


def _done_latency(name: str) -> render.Column:
    return render.Column(
        f"{name.upper()} MS", lambda row: row.latency_ms.get("done", {}).get(name)
    )


COLUMNS = [
    render.Column("STREAM", "name"),
    render.Column("ARRIVALS", "arrivals"),
    render.Column("DONE/S", "done_per_s"),
    *(_done_latency(name) for name in ("p50", "p99", "max")),
    render.Column("OUTCOMES", "outcomes"),
    render.Column("MARKERS", "markers"),
    render.Column("REASONS", "reasons"),
]


def is_clean(report: Report) -> bool:
    """Returns whether each checked answer belonged to its request."""
    return all(set(stream.markers) <= {"own"} for stream in report.streams)
