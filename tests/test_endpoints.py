"""Tests of the registry of executors and their states."""

from arbutusladder.endpoints import EndpointRegistry, EndpointState
from arbutusladder.messages import VmRecord
from arbutusladder.states import VmKind, VmState


def record(vm, address="h:1", state=VmState.LIVE):
    kind = VmKind.EXECUTOR
    return VmRecord(vm, kind, address, "r", "d", state, service="s", slots=8)


def new_endpoints(*records):
    endpoints = EndpointRegistry()
    endpoints.set_records(list(records) or [record("a")])
    return endpoints


class TestLeaving:
    """Guards against new requests for an executor that is leaving."""

    def test_each_source_alone_stops_new_requests(self):
        signals = (
            lambda e: e.set_records([record("a", state=VmState.LEAVING)]),
            lambda e: e.mark_leaving("a"),
            lambda e: e.set_drained("a", True),
            lambda e: e.set_records([]),
        )
        for signal in signals:
            endpoints = new_endpoints()
            assert endpoints.find_usable("s", 0) == ["a"]
            signal(endpoints)
            assert endpoints.find_usable("s", 0) == []

    def test_outdated_list_does_not_reset_the_announced_leaving(self):
        endpoints = new_endpoints()
        endpoints.mark_leaving("a")
        endpoints.set_records([record("a")])
        assert endpoints.get("a").state() is EndpointState.LEAVING

    def test_executor_that_returns_with_the_same_id_is_usable(self):
        endpoints = new_endpoints()
        endpoints.mark_leaving("a")
        endpoints.set_records([record("a", state=VmState.LEAVING)])
        endpoints.set_records([record("a")])
        assert endpoints.find_usable("s", 0) == ["a"]

    def test_drain_of_an_unlisted_executor_applies_when_it_is_listed(self):
        endpoints = new_endpoints(record("b", "h:2"))
        assert not endpoints.set_drained("a", True)
        endpoints.set_records([record("a")])
        assert endpoints.find_usable("s", 0) == []
        endpoints.set_drained("a", False)
        assert endpoints.find_usable("s", 0) == ["a"]

    def test_new_id_at_the_same_address_is_a_new_executor(self):
        endpoints = new_endpoints()
        endpoints.mark_leaving("a")
        change = endpoints.set_records([record("a"), record("b")])
        assert [e.vm for e in change.added] == ["b"]
        assert endpoints.find_usable("s", 0) == ["b"]

    def test_only_one_executor_per_address_is_usable(self):
        endpoints = new_endpoints()
        endpoints.set_records([record("b"), record("a")])
        assert endpoints.find_usable("s", 0) == ["b"]


class TestSuspect:
    """Guards against sending all requests to an executor that fails them."""

    def test_consecutive_failures_pause_it_and_a_successful_trial_readmits_it(self):
        endpoints = new_endpoints(record("a"), record("b", "h:2"))
        assert [endpoints.record_failure("a", 0) for _ in range(3)] == [
            False,
            False,
            True,
        ]
        assert endpoints.find_usable("s", 0.4) == ["b"]
        assert endpoints.find_usable("s", 0.5) == ["a", "b"]
        endpoints.record_sent("a")
        assert endpoints.find_usable("s", 0.6) == ["b"]
        endpoints.record_success("a")
        assert endpoints.find_usable("s", 0.6) == ["a", "b"]

    def test_requests_that_fail_together_do_not_extend_the_pause(self):
        endpoints = new_endpoints(record("a"), record("b", "h:2"))
        for _ in range(8):
            endpoints.record_failure("a", 0)
        assert endpoints.find_usable("s", 0.5) == ["a", "b"]

    def test_if_all_are_suspect_each_gets_one_trial(self):
        endpoints = new_endpoints()
        for _ in range(3):
            endpoints.record_failure("a", 0)
        assert endpoints.find_usable("s", 0.1) == ["a"]
        endpoints.record_sent("a")
        assert endpoints.find_usable("s", 0.1) == []

    def test_pause_grows_up_to_its_limit(self):
        endpoints = new_endpoints(record("a"), record("b", "h:2"))
        for _ in range(20):
            endpoints.record_sent("a")
            endpoints.record_failure("a", 0)
        assert endpoints.find_usable("s", 4.9) == ["b"]
        assert endpoints.find_usable("s", 5) == ["a", "b"]
