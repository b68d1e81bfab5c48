"""Tests of the platform daemon's process against clients that ignore limits.

They check only what does not depend on the speed of the machine: the process lives,
its memory and descriptors stay under a bound, and an ordinary request is answered.
"""

import json
import os
import resource
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

import curio
import pytest

from tests.platform import untrustedclients
from tests.platform.fakes import FakeStore, free_port, loopback_ip
from tests.platform.test_end_to_end import operator_config
from tests.platform.untrustedclients import Load, request_head, run_load

# The smallest VM has 160 MB, of which 32 MB are left to its operating system.
MAX_RESIDENT_MB = 128
# Descriptors of a process that no client may take: 200 are reserved, of which the
# process of one entry VM without workers uses less than half.
MIN_FREE_DESCRIPTORS = 100
# Time for which the clients send before the ordinary request.
LOAD_S = 10.0
# The ordinary request may take this long: it guards against a process that hangs.
ANSWER_S = 60.0
START_S = 30.0
POLL_S = 0.05
# Newest part of the output of a process that an error shows.
SHOWN_CHARACTERS = 4000
LIMITS = {
    "max-header-bytes": 16384,
    "max-body-bytes": 1048576,
    "header-timeout-ms": 3000,
    "idle-timeout-ms": 15000,
}

LOADS = {
    "announced bodies over the limit": Load(untrustedclients.announce_oversized_body),
    "bodies without end": Load(untrustedclients.send_body_without_end),
    "slow bodies under the limit": Load(untrustedclients.send_slow_body),
    "chunks of two bytes": Load(untrustedclients.send_small_chunks, clients=40),
    "chunks of one byte": Load(untrustedclients.send_one_byte_chunks, clients=60),
    "heads over the limit": Load(untrustedclients.send_large_head),
    "heads of many fields": Load(untrustedclients.send_many_fields, clients=300),
    "jobs of many steps": Load(untrustedclients.send_empty_steps, clients=5),
    "deeply nested jobs": Load(untrustedclients.send_nested_lists, clients=20),
    "jobs of a billion tasks": Load(untrustedclients.send_large_count, clients=20),
    "idle connections": Load(
        untrustedclients.stay_idle, clients=500, max_descriptors=400
    ),
}


# Places for clients in the tests of clients that come again. They are more than the
# clients, so an ordinary caller finds one if none is held for a client that has left.
PLACES = 100
# Clients that come again, and the time after which each opens a new connection.
RETURNING_CLIENTS = 60
STAY_S = 1.0
# Ordinary callers, one after the other, and the time from connection to head of each.
ORDINARY_CALLERS = 5
HEAD_DELAY_S = 0.5
# Refused clients that are read on, and descriptors that the process has itself.
OTHER_DESCRIPTORS = 16 + MIN_FREE_DESCRIPTORS

RETURNING_LOADS = {
    "chunks of one byte": untrustedclients.send_one_byte_chunks,
    "chunk extensions": untrustedclients.send_chunk_extensions,
    "pipelined small requests": untrustedclients.pipeline_small_requests,
    "pipelined heads of many fields": untrustedclients.pipeline_heads_of_many_fields,
}

PEER_LOADS = {
    "silent connections": Load(untrustedclients.stay_idle, clients=250),
    "connections without messages": Load(
        untrustedclients.open_peer_connection, clients=250, stay_s=1.0
    ),
    "incomplete messages": Load(
        untrustedclients.send_part_of_peer_message, clients=120, stay_s=3.0
    ),
    "messages without end": Load(
        untrustedclients.send_peer_message_without_end, clients=2
    ),
    "junk messages": Load(untrustedclients.send_junk_peer_messages, clients=20),
    "junk messages of clients that leave": Load(
        untrustedclients.send_junk_peer_messages, clients=20, stay_s=1.0
    ),
    "pings among junk of clients that leave": Load(
        untrustedclients.send_pings_among_peer_messages, clients=20, stay_s=1.0
    ),
}
# Descriptors of the process in the tests of the port for other entry VMs, and how many
# other entry VMs it may know.
PEER_TEST_DESCRIPTORS = 300
PEER_TEST_ENTRY_VMS = 40


class EntryProcess:
    """Runs the platform daemon in a process, with a fake store in a thread.

    Attributes:
        ip: Address of its ports.
        front: Port for clients.
        ready: Port for readiness checks.
        peer: Port for other entry VMs.
        process: Process of the daemon.
        descriptors: Largest number of open descriptors that was seen.
    """

    def __init__(self, directory, max_descriptors, **input_limits):
        self._stopping = False
        self._store_ready = threading.Event()
        self._store_thread = threading.Thread(target=curio.run, args=(self._store,))
        self._store_thread.start()
        self._store_ready.wait()
        self.ip = loopback_ip(1)
        self.front, self.ready, self.peer = (free_port(self.ip) for _ in range(3))
        settings = {
            "node": "edge-0",
            "ip": self.ip,
            "listen": {
                "front": f"{self.ip}:{self.front}",
                "ready": f"{self.ip}:{self.ready}",
            },
            "port-range": [self.peer, self.peer],
            "platform": {"address": self._store_address, "form": "log"},
        }
        path = directory / "settings.json"
        path.write_text(json.dumps(settings))
        limits_path = directory / "limits.yaml"
        # JSON is YAML, too.
        limits_path.write_text(json.dumps(input_limits))
        self._output = (directory / "output").open("wb")
        self.process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "arbutusladder.platform",
                f"--limits={limits_path}",
            ],
            env=os.environ | {"ARBUTUSLADDER_BOOT": str(path)},
            stdout=self._output,
            stderr=subprocess.STDOUT,
            preexec_fn=lambda: resource.setrlimit(
                resource.RLIMIT_NOFILE, (max_descriptors, max_descriptors)
            ),
        )
        self.descriptors = 0
        self._observer = threading.Thread(target=self._observe)
        self._observer.start()

    async def _store(self):
        store = FakeStore()
        store.put_record("keyed.op", "config", operator_config() | {"limits": LIMITS})
        self._store_address = store.address
        task = await curio.spawn(store.server.run)
        self._store_ready.set()
        while not self._stopping:
            await curio.sleep(POLL_S)
        await store.server.stop()
        await task.cancel()

    def _observe(self):
        while not self._stopping:
            try:
                found = len(os.listdir(f"/proc/{self.process.pid}/fd"))
            except OSError:
                return
            self.descriptors = max(self.descriptors, found)
            time.sleep(POLL_S)

    def peak_resident_mb(self):
        """Returns the largest resident memory of the process so far in MB."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        fields = dict(line.split(":", 1) for line in status.splitlines())
        return int(fields["VmHWM"].split()[0]) / 1024

    async def ordinary_status(self, head_delay_s=0.0):
        """Returns the status of the response to an ordinary request, or None.

        Args:
            head_delay_s: Seconds from the connection to the head.
        """
        async with curio.ignore_after(ANSWER_S):
            try:
                sock = await curio.open_connection(self.ip, self.front)
                async with sock:
                    await curio.sleep(head_delay_s)
                    await sock.sendall(request_head("GET", "/jobs/"))
                    answer = await sock.recv(1000)
                    return int(answer.split()[1]) if answer else None
            except OSError:
                return None
        return None

    async def wait_until_ready(self):
        """Waits until the daemon answers ordinary requests.

        Raises:
            AssertionError: It has ended, or has not answered with 200 in time.
        """
        status = "none"
        async with curio.ignore_after(START_S):
            while self.process.poll() is None:
                status = await self.ordinary_status()
                if status == 200:
                    return
                await curio.sleep(POLL_S)
        raise AssertionError(
            f"the daemon did not start: exit code {self.process.poll()}, last status "
            f"{status}, output:\n{self.output()}"
        )

    def output(self):
        """Returns the newest output of the process."""
        return Path(self._output.name).read_text()[-SHOWN_CHARACTERS:]

    def close(self):
        """Ends the process and the store."""
        self._stopping = True
        self.process.kill()
        self.process.wait()
        self._observer.join()
        self._store_thread.join()
        self._output.close()


class TestStart:
    """Pattern: the daemon ends while a test waits for its first answer."""

    def test_ended_process_is_reported(self, tmp_path, monkeypatch):
        """Guards against a wait until the time limit that does not name the cause."""
        with socket.socket() as holder:
            holder.bind((loopback_ip(1), 0))
            port = holder.getsockname()[1]
            monkeypatch.setattr(f"{__name__}.free_port", lambda _ip: port)
            entry = EntryProcess(tmp_path, 1000)
            try:
                with pytest.raises(AssertionError, match="Address already in use"):
                    curio.run(entry.wait_until_ready)
            finally:
                entry.close()


# One group, so that pytest-xdist runs them one at a time.
@pytest.mark.xdist_group("untrusted_clients")
class TestUntrustedClients:
    """Pattern: many clients whose requests are oversized, slow or never end.

    Guards against a process that runs out of memory or descriptors, ends or hangs.
    """

    @pytest.mark.parametrize("load", LOADS.values(), ids=LOADS.keys())
    def test_process_stays_within_its_bounds(self, tmp_path, load):
        entry = EntryProcess(tmp_path, load.max_descriptors)
        max_descriptors = load.max_descriptors - MIN_FREE_DESCRIPTORS
        check_bounds(entry, load, entry.front, max_descriptors)


@pytest.mark.xdist_group("untrusted_clients")
class TestReturningClients:
    """Pattern: clients whose requests take much work, and who leave and come again.

    Guards against places that are held for clients who have left, and against
    connections that delay all others.
    """

    @pytest.mark.parametrize(
        "client", RETURNING_LOADS.values(), ids=RETURNING_LOADS.keys()
    )
    def test_ordinary_caller_finds_a_place(self, tmp_path, client):
        load = Load(client, RETURNING_CLIENTS, stay_s=STAY_S)
        entry = EntryProcess(tmp_path, load.max_descriptors, max_connections=PLACES)

        async def first_failure():
            for _ in range(ORDINARY_CALLERS):
                status = await entry.ordinary_status(HEAD_DELAY_S)
                if status != 200:
                    break
            return status

        max_descriptors = PLACES + OTHER_DESCRIPTORS
        check_bounds(entry, load, entry.front, max_descriptors, first_failure)


@pytest.mark.xdist_group("untrusted_clients")
class TestPeerPort:
    """Pattern: clients that reach the port for other entry VMs.

    Guards against connections and messages there that end or delay the process.
    """

    @pytest.mark.parametrize("load", PEER_LOADS.values(), ids=PEER_LOADS.keys())
    def test_process_stays_within_its_bounds(self, tmp_path, load):
        entry = EntryProcess(
            tmp_path,
            PEER_TEST_DESCRIPTORS,
            entry_vms=PEER_TEST_ENTRY_VMS,
            message_bytes=1048576,
        )
        max_descriptors = PEER_TEST_DESCRIPTORS - MIN_FREE_DESCRIPTORS
        check_bounds(entry, load, entry.peer, max_descriptors)


def check_bounds(entry, load, port, max_descriptors, get_status=None):
    """Runs a load against a port, and checks the process and an ordinary request.

    Args:
        entry: Process to check; it is ended.
        load: Clients to run.
        port: Port to which they connect.
        max_descriptors: Largest number of open descriptors that is allowed.
        get_status: Returns the status of an ordinary request.
    """
    get_status = get_status or entry.ordinary_status

    async def main():
        await entry.wait_until_ready()
        return await run_load(f"{entry.ip}:{port}", load, LOAD_S, get_status)

    try:
        status = curio.run(main)
        has_ended = entry.process.poll() is not None
        assert not has_ended, f"the process has ended, output:\n{entry.output()}"
        resident_mb = entry.peak_resident_mb()
        measured = f"status {status}, {resident_mb:.0f} MB, {entry.descriptors} fds"
        print(measured)
        assert resident_mb <= MAX_RESIDENT_MB, measured
        assert entry.descriptors <= max_descriptors, measured
        assert status == 200, measured
    finally:
        entry.close()
