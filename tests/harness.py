"""Starts entry VMs and fake services as separate processes for scenario tests.

Each cell reserves loopback addresses of its own, so that concurrent test runs do
not interfere. Closing a cell kills each of its processes by process id.
"""

import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import yaml

ROOT = Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 20.0
CALL_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.05
ENTRY_PORT = 7000
PEER_PORT = 7100
FAKE_PORT = 7200
RELAY_PORT = 8000
LOCK_PORT = 8100
# Chooses the network to try first; no test depends on the choice.
_RANDOM = random.Random(os.getpid())


class HttpAnswer:
    """Response to an HTTP request, with lower-case header names."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = {name.lower(): value for name, value in headers}
        self.body = body

    def json(self):
        """Returns the body decoded from JSON."""
        return json.loads(self.body)


def http_request(
    address, method, path, body=None, headers=None, timeout=CALL_TIMEOUT_S
):
    """Sends one HTTP request; a dict or list as body is sent as JSON.

    Args:
        address: IP address and port of the server.
        method: HTTP method.
        path: Request target.
        body: Request body.
        headers: Request headers.
        timeout: Timeout of each socket operation in seconds.
    """
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    data = json.dumps(body) if isinstance(body, dict | list) else body
    try:
        connection.request(method, path, data, headers or {})
        response = connection.getresponse()
        return HttpAnswer(response.status, response.getheaders(), response.read())
    finally:
        connection.close()


def wait_for(condition, timeout_s, description):
    """Polls a condition until it returns a true value, and returns that value.

    Connection and HTTP errors of the condition count as a false value.

    Raises:
        AssertionError: The condition was not met before the timeout.
    """
    deadline = time.monotonic() + timeout_s
    while True:
        try:
            value = condition()
        except (OSError, http.client.HTTPException):
            value = None
        if value:
            return value
        if time.monotonic() > deadline:
            raise AssertionError(f"timed out after {timeout_s} s: {description}")
        time.sleep(POLL_INTERVAL_S)


def reserve_network():
    """Reserves a loopback /24 network that no other test run uses.

    Returns:
        The first three octets of the network, and a bound socket that reserves
        the network until it is closed.
    """
    while True:
        network = f"127.{_RANDOM.randrange(64, 250)}.{_RANDOM.randrange(250)}"
        lock = socket.socket()
        try:
            lock.bind((f"{network}.254", LOCK_PORT))
            return network, lock
        except OSError:
            lock.close()


class Process:
    """Process started by a test, with its output in a log file.

    Args:
        name: Name of the process within its cell.
        arguments: Module to run and its arguments.
        log_path: File that receives standard output and standard error.
    """

    def __init__(self, name, arguments, log_path):
        self.name = name
        self.arguments = arguments
        self._log = open(log_path, "ab")  # noqa: SIM115
        self.log_path = log_path
        self._popen = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdout=self._log,
            stderr=self._log,
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
        )

    @property
    def running(self):
        """Whether the process has not ended."""
        return self._popen.poll() is None

    @property
    def pid(self):
        """Process id."""
        return self._popen.pid

    def send_signal(self, number):
        """Sends a signal unless the process has ended."""
        if self.running:
            self._popen.send_signal(number)

    def kill(self):
        """Kills the process with SIGKILL and waits for its end."""
        self.send_signal(signal.SIGKILL)
        self._popen.wait(timeout=10)
        self._log.close()

    def pause(self):
        """Pauses the process with SIGSTOP."""
        self.send_signal(signal.SIGSTOP)

    def resume(self):
        """Resumes a paused process with SIGCONT."""
        self.send_signal(signal.SIGCONT)

    def terminate(self):
        """Requests a graceful shutdown with SIGTERM."""
        self.send_signal(signal.SIGTERM)

    def wait(self, timeout):
        """Waits up to a timeout in seconds for the end; returns the exit code."""
        code = self._popen.wait(timeout=timeout)
        self._log.close()
        return code


class Cell:
    """One region whose fake services and entry VMs run as processes.

    Args:
        directory: Directory for settings and logs.
        entries: Number of entry VMs.
        domains: Names of the failure domains.
        timing: Overrides for the ``timing`` settings.
    """

    def __init__(self, directory, entries=3, domains=("fd-a", "fd-b"), timing=None):
        self.directory = Path(directory)
        self.domains = domains
        self.timing = timing or {}
        self._network, self._network_lock = reserve_network()
        self._allocated_hosts = 0
        self.process_by_name = {}
        self.address_by_name = {}
        self.vm_by_name = {}
        self.relay_control = None
        self.seats = [f"seat-{number}" for number in range(entries)]

    def allocate_host(self):
        """Returns an IP address that nothing else in this cell uses."""
        self._allocated_hosts += 1
        return f"{self._network}.{self._allocated_hosts}"

    def start_process(self, name, *arguments):
        """Starts a Python module as a process with a name."""
        log_path = self.directory / f"{name}.log"
        process = Process(name, arguments, log_path)
        self.process_by_name[name] = process
        return process

    def close(self):
        """Kills every process that this cell started."""
        for process in self.process_by_name.values():
            if process.running:
                process.resume()
                process.kill()
        self._network_lock.close()

    def start_relay(self, targets_by_name):
        """Starts a fault relay with one route for each target.

        Args:
            targets_by_name: Address that each named route forwards to.
        """
        control = f"{self.allocate_host()}:{RELAY_PORT}"
        arguments = [control]
        for name, target in targets_by_name.items():
            listen = f"{self.allocate_host()}:{RELAY_PORT}"
            self.address_by_name[name] = listen
            arguments += [listen, target]
        self.start_process("relay", "tests.relay", *arguments)
        wait_for(
            lambda: http_request(control, "POST", "/", {}).status == 200,
            START_TIMEOUT_S,
            "the relay answers",
        )
        self.relay_control = control

    def cut_routes(self, names):
        """Drops all traffic of routes, without closing connections."""
        self._set_route_faults(names, cut=True)

    def silence_connections(self, names):
        """Drops traffic of the open connections of routes; new ones work."""
        self._set_route_faults(names, silent=True)

    def restore_routes(self, names):
        """Forwards new connections of routes again."""
        self._set_route_faults(names, cut=False)

    def _set_route_faults(self, names, **fault):
        routes = [self.address_by_name[name] for name in names]
        answer = http_request(
            self.relay_control, "POST", "/", {"routes": routes, **fault}
        )
        assert answer.status == 200, answer.body

    def write_yaml(self, name, value):
        """Writes a YAML file into the cell's directory and returns its path."""
        path = self.directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(value, sort_keys=False))
        return path
