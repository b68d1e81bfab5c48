"""Tests of the client against entry VMs that fail in scripted ways."""

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
from arbutusladder.operatorapi import OperatorApi, refusal_answer
from arbutusladder.operatormessages import JobOrder, Refusal
from arbutusladder.states import Outcome
from tests.test_operatorapi import ScriptedBackend

DEAD = "127.0.0.1:1"


class Silence(Exception):
    """Raised by a handler to close the connection without an answer."""


@contextlib.contextmanager
def served(handler):
    """Runs a server in a thread of its own and yields its address."""
    started = threading.Event()
    stop = curio.UniversalEvent()
    found = []

    async def answer(request):
        try:
            return await handler(request)
        except Silence as error:
            raise OSError("scripted") from error

    async def main():
        server = HttpServer("127.0.0.1:0", answer)
        task = await curio.spawn(server.run)
        found.append(server.address)
        started.set()
        await stop.wait()
        await server.stop()
        await task.cancel()

    thread = threading.Thread(target=curio.run, args=(main,))
    thread.start()
    started.wait()
    try:
        yield found[0]
    finally:
        stop.set()
        thread.join()


class ScriptedEntry:
    """Plays one reaction to each request and records the requests."""

    def __init__(self, *reactions):
        self.reactions = list(reactions)
        self.requests = []

    async def __call__(self, request):
        self.requests.append(request)
        reaction = self.reactions.pop(0) if self.reactions else Silence()
        if isinstance(reaction, Exception):
            raise reaction
        return reaction


def refused(reason, outcome=Outcome.NOT_RUN):
    return refusal_answer(Refusal(outcome, reason, "wait"))


def call_two(first, second, call):
    """Runs a client call with two entry VMs; returns its result or error."""
    with served(first) as one, served(second) as two:
        try:
            return curio.run(call, EntryClient([DEAD, one, two], 2.0))
        except RequestFailed as error:
            return error


def keyed(client):
    return client.request("tarief", "POST", "/quote", b"x", key="k")


def unkeyed(client):
    return client.request("tarief", "POST", "/quote", b"x")


def read(client):
    return client.request("tarief", "GET", "/rate")


def submit(client):
    return client.submit(JobOrder("recount"))


def job(client):
    return client.job("j1")


class TestRepetition:
    """Guards against a request that runs twice, or a false not_run."""

    def test_keyed_request_goes_on_with_the_same_key(self):
        second = ScriptedEntry(HttpResponse(200, [], b"done"))
        answer = call_two(ScriptedEntry(Silence()), second, keyed)
        assert (answer.outcome, answer.body) == (Outcome.DONE, b"done")
        assert second.requests[0].header("Idempotency-Key") == "k"

    @pytest.mark.parametrize("call", [unkeyed, submit])
    def test_lost_answer_without_a_key_is_unknown(self, call):
        second = ScriptedEntry()
        result = call_two(ScriptedEntry(Silence()), second, call)
        assert result.outcome is Outcome.UNKNOWN
        assert second.requests == []

    @pytest.mark.parametrize("call", [keyed, read])
    def test_refusal_after_a_lost_answer_is_unknown(self, call):
        second = ScriptedEntry(refused("queue_full"))
        result = call_two(ScriptedEntry(Silence()), second, call)
        assert result.outcome is Outcome.UNKNOWN

    def test_lost_answer_to_a_read_is_asked_elsewhere(self):
        api = OperatorApi(ScriptedBackend())
        assert call_two(ScriptedEntry(Silence()), api.handle, job).job_id == "j1"

    @pytest.mark.parametrize("call", [keyed, unkeyed, submit])
    def test_draining_entry_vm_is_left_for_another(self, call):
        first, second = ScriptedEntry(refused("draining")), ScriptedEntry()
        assert call_two(first, second, call).outcome is Outcome.UNKNOWN
        assert len(second.requests) == 1

    @pytest.mark.parametrize("call", [keyed, unkeyed, submit])
    @pytest.mark.parametrize("outcome", [Outcome.NOT_RUN, Outcome.UNKNOWN])
    def test_other_refusals_are_final(self, call, outcome):
        first = ScriptedEntry(refused("queue_full", outcome))
        second = ScriptedEntry()
        assert call_two(first, second, call).outcome is outcome
        assert second.requests == []


class TestErrors:
    """Guards against answers that are taken for something else."""

    def test_no_entry_vm(self):
        async def main():
            with pytest.raises(NoEntryReachable) as caught:
                await EntryClient([DEAD]).members()
            return caught.value

        assert DEAD in curio.run(main).attempts[0]

    @pytest.mark.parametrize("status", [200, 404, 502])
    def test_answer_of_another_server(self, status):
        other = ScriptedEntry(HttpResponse(status, [], b"<html>"))
        result = call_two(other, ScriptedEntry(), submit)
        expected = Outcome.NOT_RUN if status == 404 else Outcome.UNKNOWN
        assert result.outcome is expected

    def test_status_of_the_executor_is_no_refusal(self):
        first = ScriptedEntry(HttpResponse(503, [Header("X", "1")], b"busy"))
        answer = call_two(first, ScriptedEntry(), unkeyed)
        assert (answer.outcome, answer.status) == (Outcome.DONE, 503)

    def test_unreadable_refusal_keeps_its_outcome(self):
        headers = [Header("Arbutusladder-Outcome", "not_run")]
        first = ScriptedEntry(HttpResponse(503, headers, b"?"))
        answer = call_two(first, ScriptedEntry(), unkeyed)
        assert answer.outcome is Outcome.NOT_RUN

    def test_header_with_a_line_break_is_not_sent(self):
        def call(client):
            return client.request("s", "GET", "/", headers=[Header("A", "b\r\nC: d")])

        first = ScriptedEntry()
        answer = call_two(first, ScriptedEntry(), call)
        assert answer.refusal.reason == "malformed_request"
        assert first.requests == []

    def test_path_is_escaped(self):
        first = ScriptedEntry(HttpResponse(200, [], b""))

        def call(client):
            return client.request("a/b", "GET", "/ü x?q=1&r=2")

        call_two(first, ScriptedEntry(), call)
        assert first.requests[0].target == "/services/a%2Fb/%C3%BC%20x?q=1&r=2"


class TestKey:
    """Guards against a key that an entry VM refuses as malformed or expired."""

    def test_time_and_version(self):
        key = UUID(new_uuid7(ManualClock(wall=1_700_000_000.123), lambda bits: 0))
        assert (key.version, key.variant) == (7, "specified in RFC 4122")
        assert key.int >> 80 == 1_700_000_000_123

    def test_keys_of_one_moment_differ(self):
        clock = ManualClock()
        assert len({new_uuid7(clock) for _ in range(1000)}) == 1000
