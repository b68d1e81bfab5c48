"""Region of real processes for the capacity measurements.

Starts fake platform services, fake endpoints and entry VMs on a loopback network
of its own, and samples the CPU time, memory and counters of the entry VMs.
"""

import http.client
import json
import os
import random
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import yaml

from arbutusladder.httpclient import split_address

REGION = "capacity"
FAILURE_DOMAINS = ("fd-a", "fd-b", "fd-c")
SERVICE = "tarief"
START_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.05
CALL_TIMEOUT_S = 10.0
ENTRY_PORT = 7000
PEER_PORT = 7100
FAKE_PORT = 7200
NETWORK_LOCK_PORT = 8100
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


class CellError(Exception):
    """A request failed, or the region did not reach a state in time."""


@dataclass
class UsageSample:
    """Cumulative resource usage of one entry VM at one time.

    Attributes:
        at: Monotonic time in seconds.
        cpu_s: User and system CPU time in seconds.
        rss_kb: Resident memory in KB.
        counters: Counters by metric name.
    """

    at: float
    cpu_s: float
    rss_kb: int
    counters: dict[str, int]


def call_json(address: str, method: str, path: str, body: Any = None) -> Any:
    """Sends one request with a JSON body and returns the decoded response.

    Raises:
        CellError: The response status is 300 or above.
    """
    host, port = split_address(address)
    connection = http.client.HTTPConnection(host, port, timeout=CALL_TIMEOUT_S)
    try:
        data = None if body is None else json.dumps(body)
        connection.request(method, path, data)
        response = connection.getresponse()
        content = response.read()
    finally:
        connection.close()
    if response.status >= 300:
        raise CellError(f"{method} {path}: status {response.status}: {content[:200]!r}")
    return json.loads(content) if content else None


def wait_for(
    condition: Callable[[], Any], description: str, timeout_s: float = START_TIMEOUT_S
):
    """Waits until a condition returns a true value, and returns that value.

    Raises:
        CellError: The condition was not true within the timeout in seconds.
    """
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        try:
            value = condition()
        except (OSError, http.client.HTTPException, CellError):
            value = None
        if value:
            return value
        time.sleep(POLL_INTERVAL_S)
    raise CellError(f"timed out after {timeout_s} s: {description}")


def parse_cpu_seconds(text: str) -> float:
    """Returns the CPU time in seconds from the text of ``/proc/PID/stat``."""
    # The process name may contain spaces, so fields are counted after it.
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND


def parse_rss_kb(text: str) -> int:
    """Returns the resident memory in KB from the text of ``/proc/PID/status``."""
    for line in text.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    raise ValueError("no VmRSS in the process status; the process has ended")


@dataclass
class CellSize:
    """Number of VMs and shards in a region.

    Attributes:
        entries: Number of entry VMs.
        workers: Workers in each failure domain.
        executors: Executors in each failure domain.
        per_domain: Shards in each failure domain.
        cpu: Cores of each worker.
    """

    entries: int = 3
    workers: int = 12
    executors: int = 1
    per_domain: int = 1
    cpu: int = 64


class CapacityCell:
    """One region whose fakes and entry VMs run as processes.

    Args:
        directory: Directory for settings and logs.
        size: Size of the region.
        seed: Seed of the fakes and of the choice of addresses.
        profile: Directory for profiles of the entry VMs; None disables them.
    """

    def __init__(
        self, directory: Path, size: CellSize, seed: int, profile: Path | None = None
    ):
        self.size = size
        self.seats = [f"seat-{number}" for number in range(size.entries)]
        self.address_by_seat: dict[str, str] = {}
        self.worker_addresses: list[str] = []
        self._directory = directory
        self._seed = seed
        self._profile = profile
        self._process_by_name: dict[str, subprocess.Popen] = {}
        self._allocated_hosts = 0
        self._network, self._network_lock = _reserve_network(
            random.Random(f"{seed}/{os.getpid()}")
        )

    def __enter__(self) -> "CapacityCell":
        try:
            self._start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        """Terminates the processes that this cell started."""
        for process in self._process_by_name.values():
            if process.poll() is None:
                process.terminate() if self._profile else process.kill()
        for process in self._process_by_name.values():
            process.wait(timeout=CALL_TIMEOUT_S * 3)
        self._network_lock.close()

    def sample(self) -> dict[str, UsageSample]:
        """Returns a usage sample of each entry VM by seat."""
        return {seat: self._sample_entry_vm(seat) for seat in self.seats}

    def records(self) -> list[dict]:
        """Returns the record of each fake worker."""
        return [call_json(a, "GET", "/v1/record") for a in self.worker_addresses]

    def shards(self) -> list[dict]:
        """Returns the shards according to the first entry VM."""
        return call_json(self.address_by_seat[self.seats[0]], "GET", "/v1/shards")[
            "shards"
        ]

    def owners(self) -> set[str]:
        """Returns the seats that own a shard."""
        return {shard["owner"] for shard in self.shards()}

    def revision(self, seat: str) -> int:
        """Returns the revision in force on an entry VM."""
        return call_json(self.address_by_seat[seat], "GET", "/v1/config")["revision"]

    def publish(self, changes: dict, base: int, change_id: str) -> None:
        """Publishes a change set through the first entry VM."""
        body = {
            "change_id": change_id,
            "base_revision": base,
            "author": "capacity",
            "changes": changes,
        }
        call_json(self.address_by_seat[self.seats[0]], "POST", "/v1/config", body)

    def wait_for_revision(self, revision: int) -> None:
        """Waits until a revision is in force on every entry VM."""
        for seat in self.seats:
            wait_for(
                lambda s=seat: self.revision(s) >= revision,
                f"revision {revision} on {seat}",
            )

    def submit(self, seat: str, workload: str, tasks: int = 0) -> None:
        """Submits a job through an entry VM."""
        order = {"workload": workload, "tasks": tasks}
        call_json(self.address_by_seat[seat], "POST", "/v1/jobs", order)

    def _sample_entry_vm(self, seat: str) -> UsageSample:
        process = self._process_by_name[seat]
        directory = Path("/proc") / str(process.pid)
        counters = call_json(self.address_by_seat[seat], "GET", "/v1/counters")[
            "counters"
        ]
        return UsageSample(
            time.monotonic(),
            parse_cpu_seconds((directory / "stat").read_text()),
            parse_rss_kb((directory / "status").read_text()),
            counters,
        )

    def _start(self) -> None:
        self._log = self._start_fake("log", "fakelog")
        self._vm_list = self._start_fake("vms", "fakevmlist")
        vms = [
            vm
            for failure_domain in FAILURE_DOMAINS
            for vm in self._start_fake_endpoints(failure_domain)
        ]
        for address in [self._log, self._vm_list, *self.worker_addresses]:
            wait_for(
                lambda a=address: _accepts_connections(a),
                f"{address} accepts connections",
            )
        call_json(self._vm_list, "POST", "/v1/vms", {"vms": vms, "remove": []})
        host_by_seat = {seat: self._allocate_host() for seat in self.seats}
        for number in range(self.size.entries):
            self._start_entry_vm(number, host_by_seat)
        for address in self.address_by_seat.values():
            wait_for(lambda a=address: _is_ready(a), f"{address} is ready")
        wait_for(self._all_shards_owned, "every shard has an owner")

    def _start_fake(self, name: str, module: str, *options: str) -> str:
        address = f"{self._allocate_host()}:{FAKE_PORT}"
        self._start_process(
            name, f"arbutusladder.{module}", f"--listen={address}", *options
        )
        return address

    def _start_fake_endpoints(self, failure_domain: str) -> list[dict]:
        size = self.size
        address = self._start_fake(
            f"workers-{failure_domain}",
            "fakeworker",
            f"--count={size.workers}",
            f"--prefix=worker-{failure_domain}",
            f"--cpu={size.cpu}",
            f"--seed={self._seed}",
        )
        host, port = split_address(address)
        vms = []
        for number in range(size.workers):
            self.worker_addresses.append(f"{host}:{port + number}")
            vm = _make_vm_record(
                f"worker-{failure_domain}-{number}", "worker", f"{host}:{port + number}"
            )
            resources = {"cpu": size.cpu, "memory_mb": 131072, "accelerators": 0}
            vms.append(vm | {"resources": resources, "failure_domain": failure_domain})
            vms[-1]["rack"] = f"rack-{failure_domain}-{number // 8}"
        for number in range(size.executors):
            name = f"executor-{failure_domain}-{number}"
            address = self._start_fake(name, "fakeexecutor", f"--vm={name}")
            service_limits = {"service": SERVICE, "slots": 8, "connections": 64}
            vm = _make_vm_record(name, "executor", address) | service_limits
            vms.append(vm | {"failure_domain": failure_domain})
        return vms

    def _start_entry_vm(self, number: int, host_by_seat: dict[str, str]) -> None:
        seat = self.seats[number]
        listen = f"{host_by_seat[seat]}:{ENTRY_PORT}"
        settings = {
            "vm": f"vm-{seat}",
            "seat": seat,
            "region": REGION,
            "failure_domain": FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
            "listen": listen,
            "peer_listen": f"{host_by_seat[seat]}:{PEER_PORT}",
            "log": self._log,
            "vm_list": self._vm_list,
            "shards": {"per_domain": self.size.per_domain},
            "seats": [
                {
                    "name": other,
                    "address": f"{host_by_seat[other]}:{PEER_PORT}",
                    "region": REGION,
                    "failure_domain": FAILURE_DOMAINS[index % len(FAILURE_DOMAINS)],
                }
                for index, other in enumerate(self.seats)
            ],
            "timing": {"balancer_notice_s": 0.0, "drain_limit_s": 15.0},
        }
        path = self._directory / f"{seat}.yaml"
        path.write_text(yaml.safe_dump(settings))
        self.address_by_seat[seat] = listen
        self._start_process(seat, "arbutusladder.entry", f"--settings={path}")

    def _start_process(self, name: str, module: str, *options: str) -> None:
        profile = []
        if self._profile and module.endswith(".entry"):
            profile_path = self._profile / f"{name}.prof"
            profile = ["-m", "cProfile", "-o", str(profile_path)]
        with open(self._directory / f"{name}.log", "ab") as log:
            self._process_by_name[name] = subprocess.Popen(
                [sys.executable, *profile, "-m", module, *options],
                stdout=log,
                stderr=log,
                env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
            )

    def _all_shards_owned(self) -> bool:
        shards = self.shards()
        return bool(shards) and all(shard["owner"] for shard in shards)

    def _allocate_host(self) -> str:
        self._allocated_hosts += 1
        return f"{self._network}.{self._allocated_hosts}"


def _make_vm_record(name: str, kind: str, address: str) -> dict:
    return {
        "id": name,
        "kind": kind,
        "address": address,
        "region": REGION,
        "state": "live",
    }


def _accepts_connections(address: str) -> bool:
    with socket.create_connection(split_address(address), timeout=1.0):
        return True


def _is_ready(address: str) -> bool:
    call_json(address, "GET", "/readyz")
    return True


def _reserve_network(rng: random.Random) -> tuple[str, socket.socket]:
    """Reserves a loopback network that no other run uses.

    Returns:
        The first three parts of its addresses, and a bound socket that marks the
        network as in use until it is closed.
    """
    while True:
        network = f"127.{rng.randrange(64, 250)}.{rng.randrange(250)}"
        lock = socket.socket()
        try:
            lock.bind((f"{network}.254", NETWORK_LOCK_PORT))
            return network, lock
        except OSError:
            lock.close()
