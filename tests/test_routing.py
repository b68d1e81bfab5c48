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


class TestRequests:
    """Guards against costly links and full shards."""

    def test_own_failure_domain_comes_first_while_it_has_room(self):
        router = new_router([2, 90, 90])
        taken = []
        for _ in range(3):
            taken.append(router.choose_shard("tarief"))
            router.record_sent(taken[-1], "tarief")
        assert taken[:2] == ["d0/0", "d0/0"] and taken[2] != "d0/0"

    def test_better_of_two_others(self):
        router = new_router([0, 1, 50])
        assert router.choose_shard("tarief") == "d2/0"

    def test_others_share_the_load(self):
        router = new_router([0, 50, 50, 50])
        taken = Counter(router.choose_shard("tarief") for _ in range(300))
        assert min(taken["d1/0"], taken["d2/0"], taken["d3/0"]) > 50

    def test_tried_unowned_and_other_services_are_left_out(self):
        router = new_router([1, 1])
        router.remove_shard("d1/0")
        assert router.choose_shard("tarief", {"d0/0"}) is None
        assert router.choose_shard("parkcount") is None

    def test_queued_requests_count(self):
        router = new_router([5, 1])
        router.update_summary("d0", summary("d0/0", 5, queued=5))
        assert router.choose_shard("tarief") == "d1/0"


class TestHome:
    """Guards against a key that runs on two shards."""

    def test_home_is_stable_and_spread(self):
        shards = [f"d{n}/0" for n in range(4)]
        homes = {f"k{n}": home_shard(f"k{n}", shards) for n in range(400)}
        assert all(home_shard(k, reversed(shards)) == h for k, h in homes.items())
        assert min(Counter(homes.values()).values()) > 70
        assert all(home_shard(k.upper(), shards) == h for k, h in homes.items())

    def test_only_keys_of_a_removed_shard_move(self):
        shards = [f"d{n}/0" for n in range(4)]
        moved = [
            f"k{n}"
            for n in range(200)
            if home_shard(f"k{n}", shards) != home_shard(f"k{n}", shards[:3])
        ]
        assert all(home_shard(key, shards) == "d3/0" for key in moved)


class TestJobs:
    """Guards against a job on a shard that cannot start it."""

    def test_gang_goes_where_it_fits(self):
        small = summary("a", 0, free_cpu=4, largest_free_cpu=4, free_memory_mb=99)
        large = summary("b", 0, free_cpu=40, largest_free_cpu=8, free_memory_mb=99)
        task = Resources(cpu=4, memory_mb=1)
        for seed in range(5):
            generator = random.Random(seed)
            args = ([small, large], task, 4, True, generator)
            assert choose_job_shard(*args) == "b"
            assert choose_job_shard(*args, tried={"b"}) == "a"
