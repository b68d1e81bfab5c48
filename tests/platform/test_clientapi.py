"""Tests of the client API's handling of request headers."""

from types import SimpleNamespace

import curio
import pytest

from arbutusladder.access.configview import ConfigView
from arbutusladder.cell.joblimits import JobLimits
from arbutusladder.clock import ManualClock
from arbutusladder.errors import NoRoom
from arbutusladder.metrics import Metrics
from arbutusladder.platform.clientapi import RESPONSE_MARGIN_S, ClientApi
from arbutusladder.platform.routes import Queue, RoutingTable
from tests.cell import workloads

QUEUE_TIMEOUT_S = 3.0


class TestDeadline:
    """Pattern: clients send deadlines in forms that the platform does not describe."""

    @pytest.mark.parametrize(
        ("value", "wait_s"),
        [
            ("1000", 1.0),
            ("", QUEUE_TIMEOUT_S),
            ("\u00b2", QUEUE_TIMEOUT_S),
            ("-5", QUEUE_TIMEOUT_S),
            ("1e3", QUEUE_TIMEOUT_S),
            ("9" * 5000, QUEUE_TIMEOUT_S),
        ],
    )
    def test_malformed_deadline_is_ignored(self, value, wait_s):
        """Guards against closing the connection because of a header."""
        clock = ManualClock()
        api = ClientApi(None, ConfigView(2.0), clock, None, None)
        request = SimpleNamespace(header=lambda name: value)
        queue = SimpleNamespace(timeout_s=QUEUE_TIMEOUT_S)
        deadline = api._response_deadline(request, queue)
        assert deadline == pytest.approx(clock.now() + wait_s - RESPONSE_MARGIN_S)


class TestTooLargeJob:
    """Pattern: a client submits a job that no owner can hold or store."""

    def test_it_is_refused_with_the_reason(self):
        """Guards against accepting it, and against an answer that invites a retry."""
        clock, metrics = ManualClock(), Metrics()
        queue = SimpleNamespace(
            path_prefix="/q/",
            timeout_s=QUEUE_TIMEOUT_S,
            terms=workloads.AUDITS,
            public=False,
        )
        view = ConfigView(2.0)
        view.apply(RoutingTable(1, {"q.example": [queue]}), now=0.0)
        member = SimpleNamespace(submit=self._submit)
        api = ClientApi(member, view, clock, None, metrics)
        body = b'{"spec":"s","steps":[{"count":1000000000,"cpu":100}]}'
        request = SimpleNamespace(
            method="POST",
            host="q.example",
            path=f"/q/{workloads.job_id(1)}",
            body=body,
            header=lambda name: "",
        )
        answer = curio.run(api.handle, request)
        assert answer.status == 413
        assert b"several smaller jobs" in answer.body
        assert not any(header.name == "Retry-After" for header in answer.headers)

    async def _submit(self, record, deadline):
        JobLimits().check_tasks(record)


class TestNoRoom:
    """Pattern: a job would end too late to be worth anything."""

    def test_it_is_refused_with_the_time_of_room(self):
        """Guards against a Retry-After from the objective instead of the forecast."""
        clock, metrics = ManualClock(), Metrics()
        queue = Queue(workloads.AUDITS, "q.example", "/q/", QUEUE_TIMEOUT_S)
        view = ConfigView(2.0)
        view.apply(RoutingTable(1, {"q.example": [queue]}), now=0.0)
        journal = SimpleNamespace(write=lambda event, **fields: None)
        member = SimpleNamespace(submit=self._submit)
        api = ClientApi(member, view, clock, journal, metrics)
        request = SimpleNamespace(
            method="POST",
            host="q.example",
            path=f"/q/{workloads.job_id(1)}",
            body=b'{"spec":"s","steps":[{"count":1,"cpu":100}]}',
            header=lambda name: "",
        )
        answer = curio.run(api.handle, request)
        assert (answer.status, answer.body) == (503, b'{"error":"no_room"}')
        retry = [h.value for h in answer.headers if h.name == "Retry-After"]
        assert retry == ["47"]
        assert metrics.count_by_name["refused.no_room"] == 1

    async def _submit(self, record, deadline):
        raise NoRoom(47)
