"""Tests of the arrivals that load profiles generate."""

import msgspec

from arbutusladder.loadprofile import generate_arrivals
from tests.test_loadgen import new_profile


class TestArrivals:
    """Guards against runs that are not reproducible or comparable."""

    def test_same_seed_gives_same_arrivals(self):
        profile = new_profile(duration=10)
        first, second = (
            list(generate_arrivals(profile)),
            list(generate_arrivals(profile)),
        )
        assert first == second
        assert len(first) == 1000

    def test_rate_and_time_range(self):
        profile = new_profile(20, 10_000, start_s=5.0, stop_s=15.0)
        planned = list(generate_arrivals(profile))
        assert all(5 <= arrival.offset_s < 15 for arrival in planned)
        # Five standard deviations of a Poisson count with mean 2000.
        assert abs(len(planned) - 2000) < 224

    def test_streams_are_independent(self):
        profile = new_profile()
        alone = [arrival.offset_s for arrival in generate_arrivals(profile)]
        profile.streams.append(msgspec.structs.replace(profile.streams[0], name="b"))
        both = [
            arrival.offset_s
            for arrival in generate_arrivals(profile)
            if arrival.stream_index == 0
        ]
        assert both == alone
