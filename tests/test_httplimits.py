"""Tests of the limits of what clients of an HTTP server may use."""

import socket

import curio
import pytest

from arbutusladder.errors import JobTooLarge
from arbutusladder.httpclient import HttpResponse, request
from arbutusladder.httplimits.budget import HeldRequest, RequestBudget
from arbutusladder.httplimits.connections import ConnectionTable, OpenConnection
from arbutusladder.httplimits.departures import DepartureWatch
from arbutusladder.httplimits.limiter import HttpLimiter, RequestLimits, load_limits
from arbutusladder.httplimits.refusals import Limit
from arbutusladder.httplimits.turns import TurnQueue, TurnWork
from arbutusladder.httpserver import HttpServer
from arbutusladder.messages import Header
from arbutusladder.metrics import Metrics
from arbutusladder.platform.jsonbody import MAX_STEPS, check_step_count
from arbutusladder.settings import InputLimits
from tests.virtualtime import run_in_virtual_time


class BudgetHarness:
    """A budget of 1,000 bytes and the requests that gave way."""

    def __init__(self):
        self.budget = RequestBudget(1000)
        self.gave_way = []

    def request(self, name):
        return HeldRequest(lambda: self.gave_way.append(name))


class TestBudget:
    """Guards against unfinished bodies that exceed the memory together."""

    def test_slowest_sender_gives_way(self):
        harness = BudgetHarness()
        slow, fast = harness.request("slow"), harness.request("fast")
        harness.budget.charge(slow, 400, 0.0)
        harness.budget.charge(fast, 100, 0.0)
        harness.budget.charge(fast, 500, 4.5)
        assert harness.budget.charge(harness.request("new"), 200, 5.0)
        assert harness.gave_way == ["slow"]
        assert harness.budget.held == 700

    def test_small_young_request_outlasts_large_ones(self):
        harness = BudgetHarness()
        small = harness.request("small")
        harness.budget.charge(small, 10, 0.0)
        for number in range(5):
            harness.budget.charge(harness.request(number), 400, 0.1)
        assert not small.gave_way
        assert harness.budget.held <= 1000

    def test_single_request_is_admitted_whatever_its_size(self):
        harness = BudgetHarness()
        large = harness.request("large")
        assert harness.budget.charge(large, 5000, 0.0)
        assert harness.budget.settle(large, 5000, 0.0)

    def test_request_that_the_handler_has_seen_does_not_give_way(self):
        """Guards against a refusal of a request that may have run."""
        harness = BudgetHarness()
        seen, late = harness.request("seen"), harness.request("late")
        assert harness.budget.settle(seen, 900, 0.0)
        assert not harness.budget.settle(late, 200, 100.0)
        assert not seen.gave_way
        harness.budget.release(seen)
        assert harness.budget.held == 0


class TestConnectionTable:
    """Guards against clients that take all connections."""

    def test_idle_connection_of_the_largest_client_is_closed_first(self):
        closed = []
        table = ConnectionTable(4)
        for number, host in enumerate("abbb"):
            connection = OpenConnection(host, lambda n=number: closed.append(n))
            table.add(connection, 0.0)
            if number == 1:
                table.set_busy(connection)
        assert table.exceeded_limit("c") is Limit.CONNECTIONS
        assert table.close_idle()
        assert closed == [2]
        assert table.exceeded_limit("c") is None

    def test_new_connection_is_not_idle_at_once(self):
        """Guards against a caller that is disconnected before its head can arrive."""
        closed = []
        table = ConnectionTable(2)
        for number in range(2):
            connection = OpenConnection("a", lambda n=number: closed.append(n))
            table.add(connection, float(number))
        assert not table.close_idle(idle_since=-0.5)
        assert table.close_idle(idle_since=0.5)
        assert not table.close_idle(idle_since=0.5)
        assert closed == [0]

    def test_busy_connections_stay_open(self):
        table = ConnectionTable(1)
        connection = OpenConnection("a", lambda: pytest.fail("closed"))
        table.add(connection, 0.0)
        table.set_busy(connection)
        assert not table.close_idle()
        table.remove(connection)
        assert len(table) == 0


class TestDepartures:
    """Guards against places that are held for clients that have left."""

    @pytest.mark.parametrize("is_closed", [True, False])
    def test_client_that_has_left_is_found_before_its_data_is_read(self, is_closed):
        watch = DepartureWatch()
        found = []
        client, server = socket.socketpair()
        with client, server:
            watch.add(server.fileno(), lambda: not found.append("closed"))
            client.sendall(b"data")
            if is_closed:
                client.close()
            assert watch.close_departed() == len(found) == is_closed
            watch.remove(server.fileno())
            assert watch.close_departed() == 0

    def test_request_that_the_handler_has_seen_is_answered(self):
        """Guards against a lost answer to a client that has only ended sending."""

        async def client(address):
            host, port = address.split(":")
            first = await curio.open_connection(host, int(port))
            async with first:
                await first.sendall(HEAD + b"Content-Length: 1\r\n\r\nx")
                await first.shutdown(socket.SHUT_WR)
                await curio.sleep(0.5)
                last = await curio.open_connection(host, int(port))
                async with last:
                    return await first.recv(10_000)

        async def wait_and_echo(http_request):
            await curio.sleep(2.0)
            return await echo(http_request)

        settings = InputLimits(max_connections=1)
        answer, _ = serve(client, settings, handler=wait_and_echo)
        assert answer.startswith(b"HTTP/1.1 200 ")


async def echo(http_request):
    return HttpResponse(200, [], http_request.body)


def serve(client, settings=None, get_limits=lambda: None, handler=echo):
    """Runs a client against a server and returns its result and the counters."""
    metrics = Metrics()

    async def main():
        limiter = HttpLimiter(settings or InputLimits(), metrics, get_limits=get_limits)
        server = HttpServer("127.0.0.1:0", handler, limiter=limiter)
        task = await curio.spawn(server.run)
        try:
            return await client(server.address)
        finally:
            await server.stop()
            await task.cancel()

    return run_in_virtual_time(main), metrics.count_by_name


def send_raw(*parts):
    """Returns a client that sends parts, one second apart, and reads the response."""

    async def client(address):
        host, port = address.split(":")
        sock = await curio.open_connection(host, int(port))
        async with sock:
            for part in parts:
                await sock.sendall(part)
                await curio.sleep(1)
            return await sock.recv(10_000)

    return client


HEAD = b"POST / HTTP/1.1\r\nHost: a\r\n"
END = b"0\r\n\r\n"


class TestServer:
    """Guards against requests beyond the limits, each with its status and counter."""

    @pytest.mark.parametrize(
        ("parts", "status", "counter"),
        [
            ([HEAD + b"Content-Length: 262145\r\n\r\n"], 413, "body_bytes"),
            ([HEAD + b"a: " + b"x" * 16384 + b"\r\n\r\n"], 431, "head_bytes"),
            ([HEAD + b"a: " + b"x" * 40000], 431, "head_bytes"),
            ([HEAD + b"a:\r\n" * 500 + b"\r\n"], 431, "head_fields"),
            ([HEAD, b"a: b\r\n", b"a: b\r\n", b"a: b\r\n"], 408, "head_time"),
            ([HEAD + b"Content-Length: 9\r\n\r\n", *[b""] * 15], 408, "read_time"),
            (
                [HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 8193],
                400,
                "chunks",
            ),
        ],
    )
    def test_request_is_refused(self, parts, status, counter):
        settings = InputLimits(head_fields=500, chunks=8192)
        answer, counts = serve(send_raw(*parts), settings)
        assert answer.startswith(f"HTTP/1.1 {status} ".encode())
        assert b'"outcome":"not_run"' in answer
        assert counts[f"input_limits.{counter}"] == 1

    @pytest.mark.parametrize(
        "request_bytes",
        [
            HEAD + b"a:\r\n" * 4000 + b"\r\n",
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 9000 + END,
        ],
        ids=["fields", "chunks"],
    )
    def test_small_parts_are_served(self, request_bytes):
        """Guards against defaults that a request of the documented size reaches."""
        answer, _ = serve(send_raw(request_bytes))
        assert answer.startswith(b"HTTP/1.1 200 ")

    def test_request_at_the_limits_is_served(self):
        """Guards against limits that an ordinary client reaches."""

        async def client(address):
            headers = [Header(f"n{i}", "x" * 100) for i in range(140)]
            return await request(address, "POST", "/", b"x" * 262144, headers)

        answer, counts = serve(client)
        assert answer.status == 200
        assert not counts

    def test_limits_in_force_apply_to_open_connections(self):
        limits = RequestLimits(100, 16384, 3.0, 15.0)
        in_force = []

        async def client(address):
            host, port = address.split(":")
            sock = await curio.open_connection(host, int(port))
            async with sock:
                answers = []
                for _ in range(2):
                    body = b"Content-Length: 101\r\n\r\n" + b"x" * 101
                    await sock.sendall(HEAD + body)
                    answers.append((await sock.recv(10_000)).split()[1])
                    in_force.append(limits)
                return answers

        answers, _ = serve(client, get_limits=lambda: (in_force or [None])[0])
        assert answers == [b"200", b"413"]

    def test_slow_bodies_give_way_with_a_time_to_retry(self):
        """Guards against a refusal that does not tell when to try again."""
        settings = InputLimits(body_bytes=2**21, unfinished_bytes=2**20)
        part = HEAD + b"Content-Length: 1000000\r\n\r\n" + b"x" * 700_000

        async def client(address):
            first = await curio.spawn(send_raw(part, b"", b""), address)
            await curio.sleep(1.5)
            await curio.spawn(send_raw(part, b"", b""), address, daemon=True)
            return await first.join()

        answer, counts = serve(client, settings)
        assert answer.startswith(b"HTTP/1.1 503 ")
        assert b"Retry-After: 1" in answer
        assert counts["input_limits.unfinished_bytes"] == 1

    def test_number_that_no_integer_holds_is_refused(self):
        """Guards against an exception for a length of thousands of digits."""
        digits = b"9" * 5000
        answer, _ = serve(send_raw(HEAD + b"Content-Length: " + digits + b"\r\n\r\n"))
        assert answer.startswith(b"HTTP/1.1 4")


class TestTurns:
    """Guards against requests in small parts that delay everything else."""

    BODY = HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 2000 + END

    def test_heaviest_request_gives_way(self):
        gave_way = []
        turns = TurnQueue(1.0)
        for name, cost_s in [("a", 0.3), ("b", 0.5), ("c", 0.1)]:
            work = TurnWork(lambda n=name: gave_way.append(n))
            assert turns.begin_wait(work, cost_s)
            turns.shed_heaviest()
        assert gave_way == []
        last = TurnWork(lambda: gave_way.append("last"))
        assert not turns.begin_wait(last, 0.2)
        turns.shed_heaviest()
        assert gave_way == ["b"]
        turns.end_wait(last)
        assert turns.begin_wait(last, 0.5)

    def test_single_request_is_served_whatever_it_takes(self):
        """Guards against a refusal of a request inside the limits in calm times."""
        answer, counts = serve(
            send_raw(self.BODY), InputLimits(waiting_turns_s=0.000001)
        )
        assert answer.startswith(b"HTTP/1.1 200 ")
        assert not counts

    def test_one_of_two_requests_is_refused_with_a_time_to_retry(self):
        async def client(address):
            tasks = [await curio.spawn(send_raw(self.BODY), address) for _ in range(2)]
            return [await task.join() for task in tasks]

        answers, counts = serve(client, InputLimits(waiting_turns_s=0.000001))
        refused, served = sorted(answers, reverse=True)
        assert served.startswith(b"HTTP/1.1 200 ")
        assert refused.startswith(b"HTTP/1.1 503 ")
        assert b"Retry-After: 1" in refused
        assert b'"outcome":"not_run"' in refused
        assert counts["input_limits.processor_time"] == 1


class TestSettings:
    """Guards against a file of limits that the daemon does not read."""

    def test_file_of_limits(self, tmp_path):
        path = tmp_path / "limits.yaml"
        path.write_text("chunks: 5\nhead_timeout_s: 1.5\n")
        limits = load_limits(str(path))
        assert (limits.chunks, limits.head_timeout_s) == (5, 1.5)
        path.write_text("chunk: 5\n")
        with pytest.raises(ExceptionGroup):
            load_limits(str(path))


class TestSteps:
    """Guards against jobs whose steps take far more memory than their text."""

    def test_too_many_steps_are_refused(self):
        body = b'{"steps":[' + b"{}," * MAX_STEPS + b"{}]}"
        with pytest.raises(JobTooLarge):
            check_step_count(body)

    def test_braces_in_text_are_no_steps(self):
        check_step_count(b'{"spec":"' + b"{" * 10_000 + b'","steps":[{}]}')
