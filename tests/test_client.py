"""Tests of the client against entry VMs with scripted responses and failures."""

import contextlib
import threading
from uuid import UUID

import curio
import pytest

from arbutusladder.client import EntryClient, NoEntryReachable, new_uuid7
from arbutusladder.clock import ManualClock
from arbutusladder.errors import RequestFailed
from arbutusladder.httpclient import HttpResponse
from arbutusladder.httpserver import HttpServer
from arbutusladder.messages import Header
from arbutusladder.operatorapi import OperatorApi, make_refusal_response
from arbutusladder.operatormessages import JobOrder, Refusal
from arbutusladder.states import Outcome
from tests.test_operatorapi import ScriptedBackend

# Nothing listens on port 1.
UNREACHABLE = "127.0.0.1:1"


class NoResponse(Exception):
    """Raised by a handler to close the connection without a response."""


@contextlib.contextmanager
def run_server(handler):
    """Runs an HTTP server in a separate thread and yields its address."""
    started = threading.Event()
    stop = curio.UniversalEvent()
    addresses = []

    async def close_or_handle(request):
        try:
            return await handler(request)
        except NoResponse as error:
            raise OSError("scripted") from error

    async def main():
        server = HttpServer("127.0.0.1:0", close_or_handle)
        task = await curio.spawn(server.run)
        addresses.append(server.address)
        started.set()
        await stop.wait()
        await server.stop()
        await task.cancel()

    thread = threading.Thread(target=curio.run, args=(main,))
    thread.start()
    started.wait()
    try:
        yield addresses[0]
    finally:
        stop.set()
        thread.join()


class ScriptedEntryVm:
    """Returns or raises one scripted reaction per request; records the requests."""

    def __init__(self, *reactions):
        self.reactions = list(reactions)
        self.requests = []

    async def __call__(self, request):
        self.requests.append(request)
        reaction = self.reactions.pop(0) if self.reactions else NoResponse()
        if isinstance(reaction, Exception):
            raise reaction
        return reaction


def refused_response(reason, outcome=Outcome.NOT_RUN):
    return make_refusal_response(Refusal(outcome, reason, "wait"))


def call_client(first, second, call):
    """Runs a client call with an unreachable and two scripted entry VMs.

    Returns:
        The result of the call, or its error.
    """
    with run_server(first) as one, run_server(second) as two:
        try:
            return curio.run(call, EntryClient([UNREACHABLE, one, two], 2.0))
        except RequestFailed as error:
            return error


def keyed_request(client):
    return client.request("tarief", "POST", "/quote", b"x", key="k")


def unkeyed_request(client):
    return client.request("tarief", "POST", "/quote", b"x")


def read_request(client):
    return client.request("tarief", "GET", "/rate")


def submit_request(client):
    return client.submit(JobOrder("recount"))


def job_request(client):
    return client.job("j1")


class TestRetries:
    """Guards against requests that are run twice or wrongly reported as not_run."""

    def test_keyed_request_is_retried_with_the_same_key(self):
        second = ScriptedEntryVm(HttpResponse(200, [], b"done"))
        response = call_client(ScriptedEntryVm(NoResponse()), second, keyed_request)
        assert (response.outcome, response.body) == (Outcome.DONE, b"done")
        assert second.requests[0].header("Idempotency-Key") == "k"

    @pytest.mark.parametrize("call", [unkeyed_request, submit_request])
    def test_lost_response_without_a_key_is_unknown(self, call):
        second = ScriptedEntryVm()
        result = call_client(ScriptedEntryVm(NoResponse()), second, call)
        assert result.outcome is Outcome.UNKNOWN
        assert second.requests == []

    @pytest.mark.parametrize("call", [keyed_request, read_request])
    def test_refusal_after_a_lost_response_is_unknown(self, call):
        second = ScriptedEntryVm(refused_response("queue_full"))
        result = call_client(ScriptedEntryVm(NoResponse()), second, call)
        assert result.outcome is Outcome.UNKNOWN

    def test_read_with_a_lost_response_is_retried_on_another_entry_vm(self):
        api = OperatorApi(ScriptedBackend())
        assert (
            call_client(ScriptedEntryVm(NoResponse()), api.handle, job_request).job_id
            == "j1"
        )

    @pytest.mark.parametrize("call", [keyed_request, unkeyed_request, submit_request])
    def test_request_refused_by_a_draining_entry_vm_is_retried_on_another(self, call):
        first, second = ScriptedEntryVm(refused_response("draining")), ScriptedEntryVm()
        assert call_client(first, second, call).outcome is Outcome.UNKNOWN
        assert len(second.requests) == 1

    @pytest.mark.parametrize("call", [keyed_request, unkeyed_request, submit_request])
    @pytest.mark.parametrize("outcome", [Outcome.NOT_RUN, Outcome.UNKNOWN])
    def test_other_refusals_are_final(self, call, outcome):
        first = ScriptedEntryVm(refused_response("queue_full", outcome))
        second = ScriptedEntryVm()
        assert call_client(first, second, call).outcome is outcome
        assert second.requests == []


class TestErrorResponses:
    """Guards against misinterpreted responses, such as errors of an executor."""

    def test_unreachable_entry_vm_is_reported(self):
        async def main():
            with pytest.raises(NoEntryReachable) as caught:
                await EntryClient([UNREACHABLE]).members()
            return caught.value

        assert UNREACHABLE in curio.run(main).attempts[0]

    @pytest.mark.parametrize("status", [200, 404, 502])
    def test_response_of_another_server(self, status):
        other = ScriptedEntryVm(HttpResponse(status, [], b"<html>"))
        result = call_client(other, ScriptedEntryVm(), submit_request)
        expected = Outcome.NOT_RUN if status == 404 else Outcome.UNKNOWN
        assert result.outcome is expected

    def test_error_status_of_the_executor_is_not_a_refusal(self):
        first = ScriptedEntryVm(HttpResponse(503, [Header("X", "1")], b"busy"))
        response = call_client(first, ScriptedEntryVm(), unkeyed_request)
        assert (response.outcome, response.status) == (Outcome.DONE, 503)

    def test_invalid_refusal_body_keeps_the_outcome(self):
        headers = [Header("Arbutusladder-Outcome", "not_run")]
        first = ScriptedEntryVm(HttpResponse(503, headers, b"?"))
        response = call_client(first, ScriptedEntryVm(), unkeyed_request)
        assert response.outcome is Outcome.NOT_RUN

    def test_header_with_a_line_break_is_not_sent(self):
        def call(client):
            return client.request("s", "GET", "/", headers=[Header("A", "b\r\nC: d")])

        first = ScriptedEntryVm()
        response = call_client(first, ScriptedEntryVm(), call)
        assert response.refusal.reason == "malformed_request"
        assert first.requests == []

    def test_path_is_escaped(self):
        first = ScriptedEntryVm(HttpResponse(200, [], b""))

        def call(client):
            return client.request("a/b", "GET", "/ü x?q=1&r=2")

        call_client(first, ScriptedEntryVm(), call)
        assert first.requests[0].target == "/services/a%2Fb/%C3%BC%20x?q=1&r=2"


class TestUuid7:
    """Guards against generated keys that an entry VM refuses."""

    def test_creation_time_and_version(self):
        key = UUID(new_uuid7(ManualClock(wall_time=1_700_000_000.123), lambda bits: 0))
        assert (key.version, key.variant) == (7, "specified in RFC 4122")
        assert key.int >> 80 == 1_700_000_000_123

    def test_keys_with_the_same_creation_time_differ(self):
        clock = ManualClock()
        assert len({new_uuid7(clock) for _ in range(1000)}) == 1000
