"""Tests of the choice of a shard."""

import random
from collections import Counter

from arbutusladder.messages import Resources, ShardSummary
from arbutusladder.routing import RequestRouter, choose_job_shard, home_shard


def summary(shard, free, queued=0, **more):
    return ShardSummary(shard, 1, {"tarief": free}, queued, **more)


def new_router(free_by_shard, seed=1):
    router = RequestRouter("d0", seed)
    for number, free in enumerate(free_by_shard):
        router.update_summary(f"d{number}", summary(f"d{number}/0", free))
    return router


class TestRequestRouter:
    """Guards against needless traffic between failure domains, and full shards."""

    def test_own_failure_domain_is_preferred_while_it_has_free_slots(self):
        router = new_router([2, 90, 90])
        chosen = []
        for _ in range(3):
            chosen.append(router.choose_shard("tarief"))
            router.record_sent(chosen[-1], "tarief")
        assert chosen[:2] == ["d0/0", "d0/0"] and chosen[2] != "d0/0"

    def test_less_loaded_of_two_remote_shards_is_chosen(self):
        router = new_router([0, 1, 50])
        assert router.choose_shard("tarief") == "d2/0"

    def test_remote_shards_share_the_load(self):
        router = new_router([0, 50, 50, 50])
        chosen = Counter(router.choose_shard("tarief") for _ in range(300))
        assert min(chosen["d1/0"], chosen["d2/0"], chosen["d3/0"]) > 50

    def test_tried_and_unowned_shards_and_other_services_are_excluded(self):
        router = new_router([1, 1])
        router.remove_shard("d1/0")
        assert router.choose_shard("tarief", {"d0/0"}) is None
        assert router.choose_shard("parkcount") is None

    def test_queued_requests_reduce_the_free_slots(self):
        router = new_router([5, 1])
        router.update_summary("d0", summary("d0/0", 5, queued=5))
        assert router.choose_shard("tarief") == "d1/0"


class TestHomeShard:
    """Guards against a key whose request runs on two shards."""

    def test_home_shard_is_stable_and_keys_are_spread(self):
        shards = [f"d{n}/0" for n in range(4)]
        home_by_key = {f"k{n}": home_shard(f"k{n}", shards) for n in range(400)}
        assert all(home_shard(k, reversed(shards)) == h for k, h in home_by_key.items())
        assert min(Counter(home_by_key.values()).values()) > 70
        assert all(home_shard(k.upper(), shards) == h for k, h in home_by_key.items())

    def test_only_keys_of_a_removed_shard_move(self):
        shards = [f"d{n}/0" for n in range(4)]
        moved = [
            f"k{n}"
            for n in range(200)
            if home_shard(f"k{n}", shards) != home_shard(f"k{n}", shards[:3])
        ]
        assert all(home_shard(key, shards) == "d3/0" for key in moved)


class TestChooseJobShard:
    """Guards against a job on a shard that cannot start it."""

    def test_gang_is_submitted_to_a_shard_that_fits_it(self):
        small = summary("a", 0, free_cpu=4, largest_free_cpu=4, free_memory_mb=99)
        large = summary("b", 0, free_cpu=40, largest_free_cpu=8, free_memory_mb=99)
        task = Resources(cpu=4, memory_mb=1)
        for seed in range(5):
            rng = random.Random(seed)
            args = ([small, large], task, 4, True, rng)
            assert choose_job_shard(*args) == "b"
            assert choose_job_shard(*args, tried={"b"}) == "a"
