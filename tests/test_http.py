"""Tests of the HTTP client and server on loopback."""

import json
import socket
import subprocess
import sys
import time

import curio
import pytest

from arbutusladder.clock import Clock
from arbutusladder.errors import HttpError
from arbutusladder.httpclient import HttpConnection, HttpResponse, request
from arbutusladder.httpserver import HttpServer
from arbutusladder.messages import Header
from arbutusladder.states import Reason
from tests.virtualtime import run_in_virtual_time

# Sends a request and reports that it is in the send buffer. Arguments: address, bytes
# of the body, seconds.
CLIENT_PROGRAM = """
import sys

import curio

from arbutusladder.clock import Clock
from arbutusladder.httppool import HttpConnectionPool

async def main():
    async def report():
        await curio.sleep(0.3)
        print("sent", flush=True)

    await curio.spawn(report, daemon=True)
    pool = HttpConnectionPool(Clock())
    body = bytes(int(sys.argv[2]))
    await pool.request(sys.argv[1], "POST", "/", [], body, float(sys.argv[3]))

curio.run(main)
"""


async def echo(http_request):
    return HttpResponse(200, [], http_request.method.encode() + http_request.body)


def run_with_server(handler, client, **options):
    async def main():
        server = HttpServer("127.0.0.1:0", handler, **options)
        task = await curio.spawn(server.run)
        try:
            return await client(server.address)
        finally:
            await server.stop()
            await task.cancel()

    return run_in_virtual_time(main)


def run_with_raw_server(script, client):
    """Runs a client against a server that runs a script on each connection."""

    async def main():
        sock = curio.network.tcp_server_socket("127.0.0.1", 0)
        address = "{}:{}".format(*sock.getsockname())

        async def serve():
            async with sock:
                while True:
                    connection, _ = await sock.accept()
                    async with connection:
                        await script(connection)

        task = await curio.spawn(serve)
        try:
            return await client(address)
        finally:
            await task.cancel()

    return run_in_virtual_time(main)


class TestExchange:
    """Guards against lost, confused or truncated responses."""

    def test_body_is_complete(self):
        body = b"x" * 300_000

        async def client(address):
            return await request(address, "POST", "/", body)

        assert run_with_server(echo, client).body == b"POST" + body

    def test_connection_serves_several_requests(self):
        async def client(address):
            connection = await HttpConnection.connect(address, 1)
            bodies = []
            for number in range(3):
                answer = await connection.exchange(
                    "PUT", "/", [], str(number).encode(), 1
                )
                bodies.append(answer.body)
            await connection.close()
            return bodies

        assert run_with_server(echo, client) == [b"PUT0", b"PUT1", b"PUT2"]

    def test_body_over_the_limit_is_refused(self):
        async def client(address):
            return await request(address, "POST", "/", b"x" * 2000)

        answer = run_with_server(echo, client, max_body=1000)
        assert answer.status == 413

    def test_exception_of_the_handler_is_reported_and_gets_no_response(self):
        errors = []

        async def fail(http_request):
            raise RuntimeError("broken handler")

        async def client(address):
            with pytest.raises(HttpError) as caught:
                await request(address, "GET", "/")
            return caught.value

        error = run_with_server(fail, client, on_error=errors.append)
        assert error.sent
        assert [str(error) for error in errors] == ["broken handler"]

    def test_refusal_reaches_a_client_that_is_still_sending(self):
        # 20 MB exceed the socket buffers. If the server doesn't read the rest of the
        # body, the connection is reset and the client loses the response.
        async def client(address):
            return await request(address, "POST", "/", b"x" * 20_000_000)

        answer = run_with_server(echo, client, max_body=1000)
        refusal = json.loads(answer.body)
        assert (answer.status, refusal["reason"]) == (413, "body_too_large")
        assert answer.header("Arbutusladder-Outcome") == "not_run"

    def test_malformed_request_gets_outcome_not_run(self):
        async def client(address):
            sock = await curio.open_connection(*address.split(":"))
            async with sock:
                await sock.sendall(b"GET / HTTP/1.1\r\nbad header\r\n\r\n")
                return await sock.recv(10_000)

        answer = run_with_server(echo, client)
        assert answer.startswith(b"HTTP/1.1 400 ")
        assert b'"reason":"malformed_request"' in answer

    def test_header_value_outside_latin_1_is_refused_before_the_send(self):
        async def client(address):
            with pytest.raises(HttpError) as caught:
                await request(address, "GET", "/", headers=[Header("Name", "\u20ac")])
            return caught.value

        error = run_with_server(echo, client)
        assert (error.reason, error.sent) == (Reason.MALFORMED_REQUEST, False)

    def test_connect_failure_reports_that_nothing_was_sent(self):
        async def client(address):
            with pytest.raises(HttpError) as caught:
                await HttpConnection.connect("127.0.0.1:1", 1)
            return caught.value

        error = run_with_server(echo, client)
        assert (error.reason, error.sent) == (Reason.CONNECT_FAILED, False)

    def test_truncated_body_is_an_error(self):
        async def script(connection):
            await connection.recv(1000)
            await connection.sendall(
                b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc"
            )

        async def client(address):
            with pytest.raises(HttpError) as caught:
                await request(address, "GET", "/")
            return caught.value

        error = run_with_raw_server(script, client)
        assert (error.reason, error.sent) == (Reason.ANSWER_INCOMPLETE, True)

    def test_unresponsive_server_times_out_and_connection_is_not_reused(self):
        async def script(connection):
            await connection.recv(1000)
            await curio.sleep(1)

        async def client(address):
            connection = await HttpConnection.connect(address, 1)
            with pytest.raises(HttpError) as caught:
                await connection.exchange("GET", "/", [], b"", 0.05)
            usable = connection.usable
            await connection.close()
            return caught.value.reason, usable

        assert run_with_raw_server(script, client) == (Reason.ATTEMPT_TIMEOUT, False)


class TestUnsentBytes:
    """Pattern: the server reads too slowly to take a whole request at once."""

    BODY = bytes(1_000_000)
    BUFFER_BYTES = 8192
    # Real seconds without a byte after which the client has sent what it can.
    QUIET_S = 0.25

    def listen(self):
        """Returns a listener whose connections take few bytes."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.BUFFER_BYTES)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        return listener, "{}:{}".format(*listener.getsockname())

    def drain(self, connection):
        """Returns how many bytes arrive until none does for some time."""
        connection.settimeout(self.QUIET_S)
        size = 0
        try:
            while data := connection.recv(65536):
                size += len(data)
        except (TimeoutError, ConnectionResetError):
            pass
        return size

    def test_rest_of_a_request_is_not_sent_after_a_pause(self):
        """Guards against a request that a pause of the process makes complete late."""
        listener, address = self.listen()

        async def main():
            connection = await HttpConnection.connect(address, 1)
            size = self.BUFFER_BYTES
            connection._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)
            server, _ = listener.accept()

            async def pause():
                assert 0 < self.drain(server) < len(self.BODY)
                time.sleep(20.0)

            await curio.spawn(pause, daemon=True)
            send_by = Clock().now_with_suspensions() + 0.7
            with pytest.raises(HttpError) as caught:
                await connection.exchange(
                    "POST", "/", [], self.BODY, 60.0, send_by=send_by
                )
            rest = self.drain(server)
            await connection.abort()
            server.close()
            return caught.value.sent, rest

        with listener:
            assert run_in_virtual_time(main) == (True, 0)

    @pytest.mark.parametrize("is_killed", [False, True])
    def test_unsent_bytes_are_discarded(self, is_killed):
        """Guards against a request that arrives after it was given up.

        The client gives it up, or its process is killed, while it is in the send
        buffer as a whole.
        """
        listener, address = self.listen()
        size, timeout_s = 100_000, 60.0 if is_killed else 0.6
        command = [
            sys.executable,
            "-c",
            CLIENT_PROGRAM,
            address,
            str(size),
            str(timeout_s),
        ]
        with (
            listener,
            subprocess.Popen(
                command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL
            ) as client,
        ):
            server, _ = listener.accept()
            assert client.stdout.readline() == b"sent\n"
            if is_killed:
                client.kill()
            client.wait()
            with server:
                assert self.drain(server) < size


def answer_script(*parts, pause=0.0):
    async def script(connection):
        await connection.recv(1000)
        for part in parts:
            await connection.sendall(part)
            await curio.sleep(pause)

    return script


class TestHeaders:
    """Guards against requests that fail because of a valid header value."""

    def test_latin_1_values_are_passed_in_both_directions(self):
        async def handler(http_request):
            return HttpResponse(200, [Header("Name", http_request.header("Name"))])

        async def client(address):
            return await request(address, "GET", "/", headers=[Header("Name", "Café")])

        assert run_with_server(handler, client).header("Name") == "Café"


class TestFraming:
    """Guards against truncated or confused responses that are taken as complete."""

    def error_reason(self, script, **options):
        async def client(address):
            with pytest.raises(HttpError) as caught:
                await request(address, "GET", "/", **options)
            return caught.value.reason

        return run_with_raw_server(script, client)

    def test_body_delimited_by_the_end_of_the_connection_is_an_error(self):
        script = answer_script(b"HTTP/1.1 200 OK\r\n\r\nmaybe cut")
        assert self.error_reason(script) is Reason.ANSWER_INCOMPLETE

    def test_truncated_chunked_body_is_an_error(self):
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        script = answer_script(head + b"5\r\nabcde\r\n")
        assert self.error_reason(script) is Reason.ANSWER_INCOMPLETE

    def test_close_before_a_response_is_a_lost_connection(self):
        assert self.error_reason(answer_script()) is Reason.CONNECTION_LOST

    def test_connection_with_bytes_after_a_response_is_not_reused(self):
        whole = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

        async def client(address):
            connection = await HttpConnection.connect(address, 1)
            answer = await connection.exchange("GET", "/", [], b"", 1)
            usable = connection.usable
            await connection.close()
            return answer.body, usable

        found = run_with_raw_server(answer_script(whole + whole), client)
        assert found == (b"ok", False)


class TestListen:
    """Pattern: another process holds the port of a server."""

    def test_error_names_the_address(self):
        """Guards against a process of several ports that ends without naming one."""
        with socket.create_server(("127.0.0.1", 0)) as holder:
            address = f"127.0.0.1:{holder.getsockname()[1]}"
            with pytest.raises(OSError, match=f"already in use: '{address}'"):
                HttpServer(address, echo)


class TestIdleTimeoutHandler:
    """Guards against ending an attempt that is slow but still receives bytes."""

    def exchange(self, script, give_up):
        calls = []

        async def on_idle_timeout():
            calls.append(1)
            return give_up

        async def client(address):
            connection = await HttpConnection.connect(address, 1)
            try:
                answer = await connection.exchange(
                    "GET",
                    "/",
                    [],
                    b"",
                    1,
                    idle_timeout=0.1,
                    on_idle_timeout=on_idle_timeout,
                )
                return answer.body, len(calls)
            except HttpError as error:
                return error.reason, len(calls)
            finally:
                await connection.abort()

        return run_with_raw_server(script, client)

    def test_slow_response_with_steady_bytes_does_not_time_out(self):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n"
        script = answer_script(head, b"ab", b"cd", b"ef", pause=0.06)
        assert self.exchange(script, True) == (b"abcdef", 0)

    def test_handler_determines_whether_to_give_up(self):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
        script = answer_script(head, b"ab", pause=0.25)
        assert self.exchange(script, True) == (Reason.ATTEMPT_TIMEOUT, 1)
        assert self.exchange(script, False) == (b"ab", 2)

    def test_pause_of_the_own_process_does_not_count_as_idle_time(self):
        # The server runs in the same process, so the pause stops both sides.
        async def script(sock):
            await sock.recv(1000)
            time.sleep(0.4)
            await curio.sleep(0.02)
            await sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

        assert self.exchange(script, True) == (b"ok", 0)

    def test_idle_timeout_after_a_pause_of_the_own_process_is_detected(self):
        async def script(sock):
            await sock.recv(1000)
            time.sleep(0.4)
            await curio.sleep(5)

        assert self.exchange(script, True) == (Reason.ATTEMPT_TIMEOUT, 1)
