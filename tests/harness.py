"""Starts the daemons and the stand-ins as separate processes for scenarios.

Each cell gets loopback addresses of its own, so that test runs do not meet.
Processes are ended by their id when the cell is closed.
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
START_LIMIT_S = 20.0
CALL_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.05
ENTRY_PORT = 7000
PEER_PORT = 7100
STAND_IN_PORT = 7200
RELAY_PORT = 8000
LOCK_PORT = 8100
# Where the search for free addresses begins; no test depends on the result.
_NETS = random.Random(os.getpid())


class Answer:
    """Answer of an HTTP call."""

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
    """Sends one HTTP request; a mapping as body is sent as JSON."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    data = json.dumps(body) if isinstance(body, dict | list) else body
    try:
        connection.request(method, path, data, headers or {})
        response = connection.getresponse()
        return Answer(response.status, response.getheaders(), response.read())
    finally:
        connection.close()


def wait_for(condition, limit, what):
    """Waits until a condition returns a true value, and returns it.

    Raises:
        AssertionError: The condition did not hold within the limit in seconds.
    """
    end = time.monotonic() + limit
    while True:
        try:
            value = condition()
        except (OSError, http.client.HTTPException):
            value = None
        if value:
            return value
        if time.monotonic() > end:
            raise AssertionError(f"not within {limit} s: {what}")
        time.sleep(POLL_INTERVAL_S)


def reserve_network():
    """Takes loopback addresses that no other test run uses.

    Returns:
        The first three parts of the addresses, and a socket whose bound port
        keeps other runs away until it is closed.
    """
    while True:
        net = f"127.{_NETS.randrange(64, 250)}.{_NETS.randrange(250)}"
        lock = socket.socket()
        try:
            lock.bind((f"{net}.254", LOCK_PORT))
            return net, lock
        except OSError:
            lock.close()


class Process:
    """One process started by a test."""

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
        return self._popen.poll() is None

    @property
    def pid(self):
        return self._popen.pid

    def signal(self, number):
        if self.running:
            self._popen.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self._popen.wait(timeout=10)
        self._log.close()

    def pause(self):
        self.signal(signal.SIGSTOP)

    def resume(self):
        self.signal(signal.SIGCONT)

    def terminate(self):
        self.signal(signal.SIGTERM)

    def wait(self, timeout):
        code = self._popen.wait(timeout=timeout)
        self._log.close()
        return code


class Cell:
    """One region with its stand-ins and entry VMs as processes.

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
        self._net, self._net_lock = reserve_network()
        self._hosts = 0
        self.process_by_name = {}
        self.address_by_name = {}
        self.vm_by_name = {}
        self.relay_control = None
        self.seats = [f"seat-{number}" for number in range(entries)]

    def allocate_host(self):
        """Returns an IP address that nothing else in this cell uses."""
        self._hosts += 1
        return f"{self._net}.{self._hosts}"

    def start_process(self, name, *arguments):
        """Starts a process under a name."""
        log_path = self.directory / f"{name}.log"
        process = Process(name, arguments, log_path)
        self.process_by_name[name] = process
        return process

    def close(self):
        """Ends every process that this cell started."""
        for process in self.process_by_name.values():
            if process.running:
                process.resume()
                process.kill()
        self._net_lock.close()

    def start_relay(self, targets_by_name):
        """Starts one relay with a route for each name."""
        control = f"{self.allocate_host()}:{RELAY_PORT}"
        arguments = [control]
        for name, target in targets_by_name.items():
            listen = f"{self.allocate_host()}:{RELAY_PORT}"
            self.address_by_name[name] = listen
            arguments += [listen, target]
        self.start_process("relay", "tests.relay", *arguments)
        wait_for(
            lambda: http_request(control, "POST", "/", {}).status == 200,
            START_LIMIT_S,
            "the relay answers",
        )
        self.relay_control = control

    def cut_routes(self, names):
        """Makes routes of the relay swallow everything."""
        self._switch(names, cut=True)

    def silence_connections(self, names):
        """Makes the open connections of routes silent."""
        self._switch(names, silent=True)

    def restore_routes(self, names):
        """Lets new connections through routes again."""
        self._switch(names, cut=False)

    def _switch(self, names, **fault):
        routes = [self.address_by_name[name] for name in names]
        answer = http_request(
            self.relay_control, "POST", "/", {"routes": routes, **fault}
        )
        assert answer.status == 200, answer.body

    def write_yaml(self, name, value):
        """Writes a YAML file into the cell's directory."""
        path = self.directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(value, sort_keys=False))
        return path
