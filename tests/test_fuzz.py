"""Runs the ownership fuzzing, also on code that lacks one mechanism."""

import pytest

from arbutusladder import fuzz
from tests import mutants

STEPS = 40_000


class TestOwnershipRun:
    """Guards against two valid holders, reused epochs and late starts."""

    @pytest.mark.parametrize("seed", range(1, 5))
    def test_properties_hold(self, seed):
        world = fuzz.run_ownership(seed, STEPS)
        assert world.count_by_event["owner"] > 0

    def test_same_seed_gives_the_same_run(self):
        first, second = (fuzz.run_ownership(3, 5_000) for _ in range(2))
        assert first.count_by_event == second.count_by_event
        assert first.time == second.time


class TestMutants:
    """Guards against a check that would not notice a missing mechanism.

    Each seed is one that reports the mutant.
    """

    @pytest.mark.parametrize(
        ("mutant", "seed", "report"),
        [
            (mutants.no_wait_at_start, 11, "are valid for"),
            (mutants.promises_to_several_holders, 4, "accepts a start"),
            (mutants.half_counts_as_majority, 2, "are valid for"),
            (mutants.validity_counted_from_ack, 147, "are valid for"),
            (mutants.both_claimants_win, 42, "is used by"),
            (mutants.acts_before_claim_is_read_back, 2, "is used by"),
            (mutants.lease_beyond_validity, 1, "accepts a start"),
            (mutants.lease_without_skew, 5, "accepts a start"),
            (mutants.wall_clock_read_after_monotonic, 40, "accepts a start"),
            (mutants.release_with_open_starts, 2, "accepts a start"),
            (mutants.handover_with_open_starts, 3, "accepts a start"),
            (mutants.in_flight_starts_ignored, 2, "accepts a start"),
        ],
        ids=lambda value: getattr(value, "__name__", str(value)),
    )
    def test_is_reported(self, monkeypatch, mutant, seed, report):
        mutant(monkeypatch)
        with pytest.raises(fuzz.PropertyViolated, match=report):
            fuzz.run_ownership(seed, STEPS)


class TestTakeover:
    """Guards against shards that stay unowned for longer than the design says."""

    LIMIT_S = 4.5

    @pytest.mark.parametrize("seed", range(1, 11))
    def test_shards_of_a_dead_owner_have_a_new_one_in_time(self, seed):
        world = fuzz.World(seed)
        world.faults_on = False
        while world.time < 40:
            world.step()
        for shard in world.domains:
            # A handover to a preferred seat may be under way.
            while not (owner := world.owner(shard)):
                world.step()
            world.process_by_seat[owner.seat] = None
            end = world.time + self.LIMIT_S
            while world.time < end and not world.owner(shard):
                world.step()
            assert world.owner(shard)
            assert world.owner(shard) is not owner
            world.start_process(owner.seat)
