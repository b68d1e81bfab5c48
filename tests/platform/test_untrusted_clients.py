"""Tests of the platform daemon's process against clients that ignore limits.

They check only what does not depend on the speed of the machine: the process lives,
its memory and descriptors stay under a bound, and an ordinary request is answered.
"""

import json
import os
import resource
import subprocess
import sys
import threading
import time
from pathlib import Path

import curio
import pytest

from tests.platform import untrustedclients
from tests.platform.fakes import FakeStore, free_port
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
IP = "127.0.0.1"
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


class EntryProcess:
    """Runs the platform daemon in a process, with a fake store in a thread.

    Attributes:
        front: Address for clients.
        process: Process of the daemon.
        descriptors: Largest number of open descriptors that was seen.
    """

    def __init__(self, directory, max_descriptors):
        self._stopping = False
        self._store_ready = threading.Event()
        self._store_thread = threading.Thread(target=curio.run, args=(self._store,))
        self._store_thread.start()
        self._store_ready.wait()
        self.front, ready, peer = (free_port(IP) for _ in range(3))
        settings = {
            "node": "edge-0",
            "ip": IP,
            "listen": {"front": f"{IP}:{self.front}", "ready": f"{IP}:{ready}"},
            "port-range": [peer, peer],
            "platform": {"address": self._store_address, "form": "log"},
        }
        path = directory / "settings.json"
        path.write_text(json.dumps(settings))
        self._output = (directory / "output").open("wb")
        self.process = subprocess.Popen(
            [sys.executable, "-m", "arbutusladder.platform"],
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

    async def ordinary_status(self):
        """Returns the status of the response to an ordinary request, or None."""
        async with curio.ignore_after(ANSWER_S):
            try:
                sock = await curio.open_connection(IP, self.front)
                async with sock:
                    await sock.sendall(request_head("GET", "/jobs/"))
                    answer = await sock.recv(1000)
                    return int(answer.split()[1]) if answer else None
            except OSError:
                return None
        return None

    async def wait_until_ready(self):
        """Waits until the daemon answers ordinary requests."""
        give_up_at = time.monotonic() + START_S
        while await self.ordinary_status() != 200:
            assert time.monotonic() < give_up_at, "the daemon did not start"
            await curio.sleep(POLL_S)

    def close(self):
        """Ends the process and the store."""
        self._stopping = True
        self.process.kill()
        self.process.wait()
        self._observer.join()
        self._store_thread.join()
        self._output.close()


# One group, so that pytest-xdist runs them one at a time.
@pytest.mark.xdist_group("untrusted_clients")
class TestUntrustedClients:
    """Pattern: many clients whose requests are oversized, slow or never end.

    Guards against a process that runs out of memory or descriptors, ends or hangs.
    """

    @pytest.mark.parametrize("load", LOADS.values(), ids=LOADS.keys())
    def test_process_stays_within_its_bounds(self, tmp_path, load):
        entry = EntryProcess(tmp_path, load.max_descriptors)

        async def main():
            await entry.wait_until_ready()
            address = f"{IP}:{entry.front}"
            return await run_load(address, load, LOAD_S, entry.ordinary_status)

        try:
            status = curio.run(main)
            assert entry.process.poll() is None, "the process has ended"
            resident_mb = entry.peak_resident_mb()
            measured = f"status {status}, {resident_mb:.0f} MB, {entry.descriptors} fds"
            print(measured)
            assert resident_mb <= MAX_RESIDENT_MB, measured
            assert entry.descriptors <= load.max_descriptors - MIN_FREE_DESCRIPTORS
            assert status == 200, measured
        finally:
            entry.close()
