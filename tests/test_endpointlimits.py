"""Tests of slot and connection limits of endpoints."""

from hypothesis import given, settings
from hypothesis import strategies as st

from arbutusladder.endpointlimits import EndpointLimits

STEPS = st.lists(
    st.tuples(
        st.sampled_from(["acquire", "release", "hold", "list", "unlist"]),
        st.integers(0, 3),
    ),
    max_size=60,
)


def new_limits(endpoints=("a",), slots=2, connections=8):
    limits = EndpointLimits()
    for endpoint in endpoints:
        limits.set_endpoint(endpoint, slots, connections)
    limits.set_group("s", endpoints)
    return limits


class TestSlots:
    """Guards against more concurrent requests than an endpoint has slots."""

    def test_no_slot_of_a_full_endpoint(self):
        limits = new_limits()
        assert limits.acquire("s", 0) and limits.acquire("s", 0)
        assert limits.acquire("s", 0) is None

    def test_endpoint_with_most_free_slots_is_chosen(self):
        limits = new_limits("ab")
        taken = [limits.acquire("s", 0).endpoint for _ in range(4)]
        assert sorted(taken) == ["a", "a", "b", "b"]

    def test_scheduled_release_frees_a_slot_at_its_time(self):
        limits = new_limits(slots=1)
        limits.release_at(limits.acquire("s", 0), 5)
        assert limits.acquire("s", 4.99) is None
        assert limits.acquire("s", 5) is not None

    def test_second_release_has_no_effect(self):
        limits = new_limits(slots=1)
        slot = limits.acquire("s", 0)
        limits.release(slot, 0)
        limits.release(slot, 0)
        limits.release_at(slot, 0)
        assert limits.acquire("s", 1) and limits.acquire("s", 1) is None

    def test_block_applies_to_known_and_later_endpoints(self):
        limits = new_limits()
        limits.block_all_until(5)
        limits.set_endpoint("b", 2, 8)
        limits.set_group("s", "ab")
        assert limits.free_slots("s", 4.9) == 0
        assert limits.free_slots("s", 5) == 4

    def test_slots_of_the_former_owner_count_when_the_endpoint_is_added_later(self):
        limits = EndpointLimits()
        limits.occupy_slots("a", 1, 5)
        limits.set_endpoint("a", 2, 8)
        limits.set_group("s", "a")
        assert limits.free_slots("s", 0) == 1
        assert limits.free_slots("s", 5) == 2

    def test_endpoint_that_is_removed_and_added_again_keeps_its_counts(self):
        limits = new_limits()
        limits.acquire("s", 0)
        limits.remove_endpoint("a")
        limits.set_group("s", ())
        limits.set_endpoint("a", 2, 8)
        limits.set_group("s", "a")
        assert limits.free_slots("s", 0) == 1

    def test_excluded_endpoint_is_not_chosen(self):
        limits = new_limits("ab")
        taken = [limits.acquire("s", 0, {"a"}) for _ in range(3)]
        assert [slot and slot.endpoint for slot in taken] == ["b", "b", None]

    @settings(derandomize=True)
    @given(STEPS)
    def test_usage_never_exceeds_the_limits(self, steps):
        limits = new_limits("ab")
        running, now = [], 0.0
        for action, number in steps:
            now += 0.5
            endpoint = "ab"[number % 2]
            if action == "acquire":
                slot = limits.acquire("s", now)
                running += [(slot, None)] if slot else []
            elif action == "list":
                limits.set_endpoint(endpoint, 2, 8)
                limits.set_group("s", "ab")
            elif action == "unlist":
                limits.set_group("s", "ab".replace(endpoint, ""))
                limits.remove_endpoint(endpoint)
            elif (free := [r for r in running if r[1] is None]) and action == "release":
                limits.release(free[0][0], now)
                running.remove(free[0])
            elif free:
                limits.release_at(free[0][0], now + number)
                running[running.index(free[0])] = (free[0][0], now + number)
            running = [r for r in running if r[1] is None or r[1] > now]
            for name in "ab":
                assert sum(r[0].endpoint == name for r in running) <= 2


class TestConnections:
    """Guards against more connections than the limit of an endpoint."""

    def test_owner_uses_at_most_half_of_the_connections(self):
        limits = new_limits(connections=8)
        assert [limits.open_connection("a", 0) for _ in range(5)] == [True] * 4 + [
            False
        ]

    def test_closed_connection_counts_until_its_release_time(self):
        limits = new_limits(connections=2)
        limits.open_connection("a", 0)
        limits.close_connection("a", 5)
        assert not limits.open_connection("a", 4.9)
        assert limits.open_connection("a", 5)
