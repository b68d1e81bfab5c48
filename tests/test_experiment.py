"""Tests of the policy simulations and their targets."""

from arbutusladder.experiment import FleetSize, run_packing, run_waits
from arbutusladder.states import Urgency

SMALL_FLEET = FleetSize("small", 4, 16.0, 32_768.0, 2)


class TestTargets:
    """Guards against a fair share policy that misses its targets.

    In a batch flood, urgent work keeps 95 % of its starts and waits at most 1.1 s
    (p99). Packing reaches 90 % of the fractional bound.
    """

    def test_urgent_jobs_in_a_batch_flood(self):
        for seed in (1, 2, 3):
            calm_starts = run_waits("fairshare", "calm", SMALL_FLEET, seed, 90.0)[1]
            flood_fleet, flood_starts = run_waits(
                "fairshare", "batch flood", SMALL_FLEET, seed, 90.0
            )
            assert flood_starts[Urgency.URGENT] >= 0.95 * calm_starts[Urgency.URGENT]
            p99_wait_ms = flood_fleet.waits[Urgency.URGENT].get_value_at_percentile(99)
            assert p99_wait_ms <= 1_100

    def test_packing_reaches_the_bound(self):
        for seed in (1, 2):
            used_share = run_packing(
                "fairshare", SMALL_FLEET, seed, False, backlog_s=150.0
            )
            assert used_share >= 0.9


class TestRepeatability:
    """Guards against results that differ between runs with the same seed."""

    def test_same_seed_gives_same_starts(self):
        runs = [run_waits("fairshare", "calm", SMALL_FLEET, 7, 30.0) for _ in range(2)]
        assert runs[0][0].started == runs[1][0].started
        assert runs[0][0].decisions == runs[1][0].decisions
