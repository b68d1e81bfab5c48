"""Tests of the state of executors."""

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
    """Guards against new work for an executor that leaves."""

    def test_each_signal_alone_stops_new_work(self):
        signals = (
            lambda e: e.set_records([record("a", state=VmState.LEAVING)]),
            lambda e: e.signal_leaving("a"),
            lambda e: e.drain("a", True),
            lambda e: e.set_records([]),
        )
        for signal in signals:
            endpoints = new_endpoints()
            assert endpoints.usable("s", 0) == ["a"]
            signal(endpoints)
            assert endpoints.usable("s", 0) == []

    def test_lagging_list_does_not_undo_the_own_signal(self):
        endpoints = new_endpoints()
        endpoints.signal_leaving("a")
        endpoints.set_records([record("a")])
        assert endpoints.get("a").state() is EndpointState.LEAVING

    def test_return_under_the_same_id_after_leaving_is_live(self):
        endpoints = new_endpoints()
        endpoints.signal_leaving("a")
        endpoints.set_records([record("a", state=VmState.LEAVING)])
        endpoints.set_records([record("a")])
        assert endpoints.usable("s", 0) == ["a"]

    def test_drain_of_an_unlisted_executor_holds_when_it_appears(self):
        endpoints = new_endpoints(record("b", "h:2"))
        assert not endpoints.drain("a", True)
        endpoints.set_records([record("a")])
        assert endpoints.usable("s", 0) == []
        endpoints.drain("a", False)
        assert endpoints.usable("s", 0) == ["a"]

    def test_same_address_under_a_new_id_is_new(self):
        endpoints = new_endpoints()
        endpoints.signal_leaving("a")
        change = endpoints.set_records([record("a"), record("b")])
        assert [e.vm for e in change.added] == ["b"]
        assert endpoints.usable("s", 0) == ["b"]

    def test_one_executor_per_address_gets_work(self):
        endpoints = new_endpoints()
        endpoints.set_records([record("b"), record("a")])
        assert endpoints.usable("s", 0) == ["b"]


class TestSuspect:
    """Guards against sending everything to an executor that fails it."""

    def test_failures_in_a_row_pause_it_and_one_trial_readmits_it(self):
        endpoints = new_endpoints(record("a"), record("b", "h:2"))
        assert [endpoints.failed("a", 0) for _ in range(3)] == [False, False, True]
        assert endpoints.usable("s", 0.4) == ["b"]
        assert endpoints.usable("s", 0.5) == ["a", "b"]
        endpoints.sent("a")
        assert endpoints.usable("s", 0.6) == ["b"]
        endpoints.answered("a")
        assert endpoints.usable("s", 0.6) == ["a", "b"]

    def test_requests_that_fail_together_count_as_one_pause(self):
        endpoints = new_endpoints(record("a"), record("b", "h:2"))
        for _ in range(8):
            endpoints.failed("a", 0)
        assert endpoints.usable("s", 0.5) == ["a", "b"]

    def test_when_all_are_suspect_one_trial_goes_to_each(self):
        endpoints = new_endpoints()
        for _ in range(3):
            endpoints.failed("a", 0)
        assert endpoints.usable("s", 0.1) == ["a"]
        endpoints.sent("a")
        assert endpoints.usable("s", 0.1) == []

    def test_pause_grows_to_its_bound(self):
        endpoints = new_endpoints(record("a"), record("b", "h:2"))
        for _ in range(20):
            endpoints.sent("a")
            endpoints.failed("a", 0)
        assert endpoints.usable("s", 4.9) == ["b"]
        assert endpoints.usable("s", 5) == ["a", "b"]
