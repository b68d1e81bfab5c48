"""Tests of the calculations behind the capacity measurements."""

import pytest

from arbutusladder.capacity import compute_usage, fit_line, percentile
from arbutusladder.capacitycell import (
    CLOCK_TICKS_PER_SECOND,
    UsageSample,
    parse_cpu_seconds,
    parse_rss_kb,
)


class TestFigures:
    """Guards against results from the wrong field, unit or time span."""

    def test_cpu_time_of_a_process_name_with_spaces(self):
        fields = [
            "S",
            *["0"] * 10,
            str(3 * CLOCK_TICKS_PER_SECOND),
            str(CLOCK_TICKS_PER_SECOND),
            "7",
        ]
        assert parse_cpu_seconds(f"12 (python -m x) y) {' '.join(fields)}") == 4.0

    def test_resident_memory(self):
        assert parse_rss_kb("VmPeak:\t9 kB\nVmRSS:\t 2048 kB\n") == 2048

    def test_resident_memory_of_an_ended_process(self):
        with pytest.raises(ValueError, match="has ended"):
            parse_rss_kb("State:\tZ (zombie)\n")

    def test_usage_is_per_second(self):
        before = UsageSample(10.0, 1.0, 1024, {"peers.sent_bytes": 100})
        counters = {"peers.sent_bytes": 300, "peers.received_bytes": 200}
        usage = compute_usage(before, UsageSample(14.0, 1.2, 2048, counters))
        assert usage["cpu"] == pytest.approx(50.0)
        assert usage["rss"] == 2.0
        assert usage["peer"] == 100.0

    def test_regression_line_and_percentile(self):
        assert fit_line([(0, 5), (1, 7), (2, 9)]) == (2.0, 5.0)
        assert percentile([3.0, 1.0, 2.0], 0.99) == 3.0
