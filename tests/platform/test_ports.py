"""Tests of the addresses and ports that stand-ins and processes under test get."""

import socket
import subprocess
import sys

import pytest

from tests.harness import ROOT
from tests.platform.fakes import free_port, loopback_ip

# Prints an address, and keeps it until the input ends. Each process tries the same
# networks in the same order.
HOLD_ADDRESS = """
import random, sys
from tests import harness
harness._RANDOM = random.Random(1)
from tests.platform.fakes import loopback_ip
print(loopback_ip(1), flush=True)
sys.stdin.read()
"""


class TestLoopbackIp:
    """Pattern: several test processes of one run."""

    def test_no_two_processes_get_the_same_address(self):
        """Guards against two processes that listen on the same ports."""
        processes = [
            subprocess.Popen(
                [sys.executable, "-c", HOLD_ADDRESS],
                cwd=ROOT,
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            for _ in range(3)
        ]
        addresses = {process.stdout.readline().strip() for process in processes}
        for process in processes:
            process.communicate()
        assert "" not in addresses
        assert len(addresses) == len(processes)


class TestFreePort:
    """Pattern: a port that its process binds some time after it was chosen."""

    def test_shared_address_is_refused(self):
        """Guards against a port that another process takes before it is bound."""
        with pytest.raises(ValueError, match=r"127\.0\.0\.1 is not reserved"):
            free_port("127.0.0.1")

    def test_bound_ports_are_skipped(self, monkeypatch):
        """Guards against the port of a process that an earlier run has left."""
        ip = loopback_ip(1)
        with socket.create_server((ip, free_port(ip))) as server:
            _, port = server.getsockname()
            monkeypatch.setattr("tests.platform.fakes._ports", iter([port, port + 1]))
            assert free_port(ip) == port + 1
