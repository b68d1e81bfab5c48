"""Tests of the workers of a shard and the search for placements."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from arbutusladder.fleet import Fleet
from arbutusladder.messages import Resources
from arbutusladder.resources import fits


def new_fleet(*sizes):
    fleet = Fleet()
    for number, size in enumerate(sizes):
        fleet.add_or_update(f"w{number}", Resources(*size), f"r{number // 2}", True)
    return fleet


class TestFindWorker:
    """Guards against placements that do not fit, and free capacity that is missed."""

    def test_best_fit(self):
        fleet = new_fleet((16, 16), (8, 8), (4, 4))
        assert fleet.find_worker(Resources(4, 4)).vm == "w2"
        assert fleet.find_worker(Resources(5, 5)).vm == "w1"

    def test_failed_search_is_repeated_after_capacity_is_released(self):
        fleet = new_fleet((8, 8))
        fleet.reserve("w0", "task", Resources(8, 8))
        assert fleet.find_worker(Resources(1, 1)) is None
        fleet.release("w0", "task")
        assert fleet.find_worker(Resources(1, 1)).vm == "w0"

    def test_held_and_quarantined_workers_are_not_found(self):
        fleet = new_fleet((8, 8))
        for close in (fleet.set_held, fleet.set_quarantined):
            close("w0", True)
            assert fleet.find_worker(Resources(1, 1)) is None
            close("w0", False)
            assert fleet.find_worker(Resources(1, 1)).vm == "w0"

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(seed=st.integers())
    def test_result_matches_a_full_scan(self, seed):
        rng = random.Random(seed)
        fleet = new_fleet(*[(rng.randint(1, 8), rng.randint(1, 8)) for _ in range(20)])
        for number in range(100):
            vm = f"w{rng.randrange(20)}"
            worker = fleet.workers_by_vm[vm]
            if worker.reserved_by_task and rng.random() < 0.5:
                fleet.release(vm, rng.choice(sorted(worker.reserved_by_task)))
            need = Resources(rng.randint(1, 5), rng.randint(1, 5))
            found = fleet.find_worker(need)
            workers = fleet.workers_by_vm.values()
            assert (found is not None) == any(fits(need, w.free) for w in workers)
            if found:
                assert fits(need, found.free)
                fleet.reserve(found.vm, f"t{number}", need)
        free = sum(worker.free.cpu for worker in fleet.workers_by_vm.values())
        assert fleet.free.cpu == free


class TestChanges:
    """Guards against capacity that is counted twice or lost."""

    def test_removed_worker_is_kept_until_its_tasks_end(self):
        fleet = new_fleet((8, 8))
        fleet.reserve("w0", "task", Resources(2, 2))
        fleet.remove("w0")
        assert fleet.total == Resources()
        assert fleet.find_worker(Resources(1, 1)) is None
        fleet.add_or_update("w0", Resources(8, 8), "r", True)
        assert fleet.free.cpu == 6
        fleet.remove("w0")
        fleet.release("w0", "task")
        assert not fleet.workers_by_vm

    def test_overcommitted_worker_after_shrinking_gets_no_task(self):
        fleet = new_fleet((8, 8))
        fleet.reserve("w0", "task", Resources(6, 6))
        fleet.add_or_update("w0", Resources(4, 4), "r", True)
        assert fleet.find_worker(Resources(0.5, 0.5)) is None

    def test_slots_exclude_accelerator_workers(self):
        fleet = new_fleet((8, 8), (64, 64, 4))
        assert fleet.slots(Resources(4, 4), 100) == 2
        assert fleet.slots(Resources(32, 32), 100) == 2
        assert fleet.slots(Resources(1, 1, 1), 100) == 4
