"""Cell whose fake platform services, executors, workers and entry VMs are processes."""

import itertools
import json
import os
import time
import uuid

from tests.harness import (
    ENTRY_PORT,
    FAKE_PORT,
    PEER_PORT,
    START_TIMEOUT_S,
    Cell,
    http_request,
    wait_for,
)

DECLARATIONS = {
    "active_preset": "ordinary",
    "teams": [
        {"name": "booking", "quota": {"cpu": 64, "memory_mb": 65536}},
        {"name": "residuals", "quota": {"cpu": 64, "memory_mb": 65536}},
    ],
    "presets": [
        {"name": "ordinary", "batch": {"preemptible": True}},
        {"name": "peak", "urgent": {"reserved": 0.5}, "request_reserve": 0.5},
    ],
    "workloads": [
        {
            "name": "quote-check",
            "team": "booking",
            "kind": "request",
            "service": "tarief",
            "urgency": "urgent",
            "idempotent": False,
            "deadline_ms": 1500,
        },
        {
            "name": "rate-lookup",
            "team": "booking",
            "kind": "request",
            "service": "tarief",
            "urgency": "normal",
            "deadline_ms": 1500,
        },
        {
            "name": "residual-batch",
            "team": "residuals",
            "kind": "batch",
            "urgency": "batch",
            "tasks": 2,
            "task": {"cpu": 1, "memory_mb": 512},
            "run_time_s": 1,
            "command": "run=0.5",
        },
        {
            "name": "residual-long",
            "team": "residuals",
            "kind": "batch",
            "urgency": "batch",
            "tasks": 4,
            "task": {"cpu": 1, "memory_mb": 512},
            "run_time_s": 60,
            "command": "run=60",
        },
        {
            "name": "residual-short",
            "team": "residuals",
            "kind": "batch",
            "urgency": "batch",
            "tasks": 60,
            "task": {"cpu": 1, "memory_mb": 512},
            "run_time_s": 2,
            "command": "run=2",
        },
        {
            "name": "reconciliation",
            "team": "residuals",
            "kind": "batch",
            "tasks": 1,
            "task": {"cpu": 1, "memory_mb": 512},
            "run_time_s": 60,
            "idempotent": False,
            "command": "run=60",
        },
    ],
}
TIMING = {"task_lease_s": 6.0, "balancer_notice_s": 0.5, "drain_limit_s": 10.0}


def new_idempotency_key():
    """Returns a UUIDv7 with the current time."""
    milliseconds = time.time_ns() // 1_000_000
    value = (milliseconds << 80) | int.from_bytes(os.urandom(10), "big")
    value = value & ~(0xF << 76) | (7 << 76)
    value = value & ~(3 << 62) | (2 << 62)
    return str(uuid.UUID(int=value))


def log_route_name(seat):
    """Returns the name of the relay route from a seat to the log."""
    return f"{seat} to log"


def peer_route_name(seat, other):
    """Returns the name of the relay route from one seat to another."""
    return f"{seat} to {other}"


class ProcessCell(Cell):
    """A region with one log, one VM list, executors, workers and entry VMs.

    Args:
        directory: Directory for settings and logs.
        entries: Number of entry VMs.
        executors: Executors in each failure domain.
        workers: Workers in each failure domain.
        cpu: Cores of each worker.
        work_ms: Service time of an executor in milliseconds.
        relayed: Whether all connections to the log and between entry VMs pass
            through a fault relay.
        options: Further arguments of ``Cell``.
    """

    def __init__(
        self,
        directory,
        entries=3,
        executors=1,
        workers=2,
        cpu=8,
        work_ms=5,
        relayed=False,
        **options,
    ):
        super().__init__(directory, entries, **options)
        self.executors = []
        self.workers = []
        self.relayed = relayed
        self._start_platform(executors, workers, cpu, work_ms)
        self._host_by_seat = {seat: self.allocate_host() for seat in self.seats}
        if relayed:
            self.start_relay(self._targets_by_route_name())
        for number in range(entries):
            self.start_entry(number)

    def _start_platform(self, executors, workers, cpu, work_ms):
        self.log = f"{self.allocate_host()}:{FAKE_PORT}"
        self.vm_list = f"{self.allocate_host()}:{FAKE_PORT}"
        self.start_process("log", "arbutusladder.fakelog", f"--listen={self.log}")
        self.start_process(
            "vms", "arbutusladder.fakevmlist", f"--listen={self.vm_list}"
        )
        for domain in self.domains:
            for number in range(executors):
                self._start_executor(f"executor-{domain}-{number}", domain, work_ms)
            for number in range(workers):
                self._start_worker(f"worker-{domain}", number, domain, cpu)
        for name in [*self.executors, *self.workers]:
            address = self.address_by_name[name]
            wait_for(
                lambda a=address: http_request(a, "GET", "/v1/record").status == 200,
                START_TIMEOUT_S,
                f"{name} answers",
            )
        self.update_vm_list(list(self.vm_by_name.values()))

    def _start_executor(self, name, domain, work_ms):
        address = f"{self.allocate_host()}:{FAKE_PORT}"
        self.start_process(
            name,
            "arbutusladder.fakeexecutor",
            f"--listen={address}",
            f"--vm={name}",
            f"--work-ms={work_ms}",
        )
        self.executors.append(name)
        self._add_vm(name, "executor", address, domain)
        self.vm_by_name[name].update(service="tarief", slots=8, connections=64)

    def _start_worker(self, prefix, number, domain, cpu):
        name = f"{prefix}-{number}"
        address = f"{self.allocate_host()}:{FAKE_PORT}"
        self.start_process(
            name,
            "arbutusladder.fakeworker",
            f"--listen={address}",
            f"--prefix={prefix}",
            f"--first={number}",
            f"--cpu={cpu}",
            "--memory=16384",
        )
        self.workers.append(name)
        self._add_vm(name, "worker", address, domain)
        resources = {"cpu": cpu, "memory_mb": 16384, "accelerators": 0}
        self.vm_by_name[name].update(resources=resources, rack=f"rack-{domain}")

    def _add_vm(self, name, kind, address, domain):
        self.address_by_name[name] = address
        self.vm_by_name[name] = {
            "id": name,
            "kind": kind,
            "address": address,
            "region": "nl-midden",
            "failure_domain": domain,
            "state": "live",
        }

    def update_vm_list(self, vms=(), remove=()):
        """Adds, replaces or removes records of the platform's VM list."""
        update = {"vms": list(vms), "remove": list(remove)}
        wait_for(
            lambda: http_request(self.vm_list, "POST", "/v1/vms", update).status == 200,
            START_TIMEOUT_S,
            "the VM list accepts the update",
        )

    def start_entry(self, number):
        """Starts or restarts the entry VM of a seat."""
        seat = self.seats[number]
        host = self._host_by_seat[seat]
        log = self.address_by_name[log_route_name(seat)] if self.relayed else self.log
        settings = {
            "vm": f"vm-{seat}",
            "seat": seat,
            "region": "nl-midden",
            "failure_domain": self._seat_domain(number),
            "listen": f"{host}:{ENTRY_PORT}",
            "peer_listen": f"{host}:{PEER_PORT}",
            "log": log,
            "vm_list": self.vm_list,
            "seats": [
                {
                    "name": other,
                    "address": self._peer_address(seat, other),
                    "region": "nl-midden",
                    "failure_domain": self._seat_domain(index),
                }
                for index, other in enumerate(self.seats)
            ],
            "timing": {**TIMING, **self.timing},
        }
        path = self.write_yaml(seat, settings)
        self.address_by_name[seat] = settings["listen"]
        self.start_process(seat, "arbutusladder.entry", f"--settings={path}")

    def _peer_address(self, seat, other):
        if self.relayed and seat != other:
            return self.address_by_name[peer_route_name(seat, other)]
        return f"{self._host_by_seat[other]}:{PEER_PORT}"

    def _targets_by_route_name(self):
        targets = {log_route_name(seat): self.log for seat in self.seats}
        for seat, other in itertools.permutations(self.seats, 2):
            address = f"{self._host_by_seat[other]}:{PEER_PORT}"
            targets[peer_route_name(seat, other)] = address
        return targets

    def peer_route_names(self, seat):
        """Returns the names of the routes between a seat and all others."""
        others = [other for other in self.seats if other != seat]
        return [
            route
            for other in others
            for route in (peer_route_name(seat, other), peer_route_name(other, seat))
        ]

    def _seat_domain(self, number):
        return self.domains[number % len(self.domains)]

    # Waiting

    def wait_until_ready(self, seats=None):
        """Waits until entry VMs report that they are ready."""
        for seat in seats or self.seats:
            address = self.address_by_name[seat]
            wait_for(
                lambda a=address: http_request(a, "GET", "/readyz").status == 200,
                START_TIMEOUT_S,
                f"{seat} is ready",
            )

    def fetch_shards(self, seat):
        """Returns the shards as reported by one entry VM."""
        answer = http_request(self.address_by_name[seat], "GET", "/v1/shards")
        return answer.json()["shards"]

    def wait_until_owned(self, seat=None, timeout_s=START_TIMEOUT_S):
        """Waits until one entry VM reports an owner of each shard."""
        seat = seat or self.seats[0]
        return wait_for(
            lambda: (
                (shards := self.fetch_shards(seat))
                and all(shard["owner"] for shard in shards)
                and shards
            ),
            timeout_s,
            "every shard has an owner",
        )

    def fetch_owner_by_shard(self, seat=None):
        """Returns the owner of each shard as reported by one entry VM."""
        return {
            s["shard"]: s["owner"] for s in self.fetch_shards(seat or self.seats[0])
        }

    # Operations

    def publish_config(
        self, changes, base=0, author="operator", seat=None, change_id=None
    ):
        """Publishes a configuration change and returns the answer."""
        body = {
            "change_id": change_id or str(uuid.uuid4()),
            "base_revision": base,
            "author": author,
            "changes": changes,
        }
        address = self.address_by_name[seat or self.seats[0]]
        return http_request(address, "POST", "/v1/config", body)

    def fetch_revision(self, seat):
        """Returns the active configuration revision of an entry VM."""
        return http_request(self.address_by_name[seat], "GET", "/v1/config").json()[
            "revision"
        ]

    def start_and_configure(self):
        """Waits for owners, publishes the declarations and waits for free slots."""
        self.wait_until_ready()
        self.wait_until_owned()
        answer = self.publish_config(DECLARATIONS)
        assert answer.status in {200, 204}, answer.body
        for seat in self.seats:
            wait_for(
                lambda s=seat: self.fetch_revision(s) == 1, 16, f"revision on {seat}"
            )
        wait_for(
            lambda: all(
                s["free_slots_by_service"] for s in self.fetch_shards(self.seats[0])
            ),
            START_TIMEOUT_S,
            "every shard has free slots",
        )

    def send_request(
        self, body, seat=None, key=None, workload=None, query="", **options
    ):
        """Sends a request to the service through an entry VM."""
        headers = {}
        if key:
            headers["Idempotency-Key"] = key
        headers["Arbutusladder-Workload"] = workload or (
            "quote-check" if key else "rate-lookup"
        )
        address = self.address_by_name[seat or self.seats[0]]
        path = f"/services/tarief/check{query}"
        return http_request(address, "POST", path, body, headers, **options)

    def submit_job(self, workload, seat=None, **fields):
        """Submits a job and returns the decoded answer."""
        address = self.address_by_name[seat or self.seats[0]]
        answer = http_request(
            address, "POST", "/v1/jobs", {"workload": workload, **fields}
        )
        return answer.json()

    def job(self, job_id, seat=None):
        """Returns a job as reported by an entry VM."""
        address = self.address_by_name[seat or self.seats[0]]
        return http_request(address, "GET", f"/v1/jobs/{job_id}").json()

    # Fault injection and records of the fakes

    def set_faults(self, name, **switches):
        """Sets fault switches of a fake."""
        address = getattr(self, name, None) or self.address_by_name[name]
        answer = http_request(address, "POST", "/v1/faults", switches)
        assert answer.status in {200, 204}, answer.body

    def fetch_records(self, names):
        """Returns the record that each fake keeps of what it received and ran."""
        record_by_name = {}
        for name in names:
            answer = http_request(self.address_by_name[name], "GET", "/v1/record")
            value = json.loads(answer.body)
            record_by_name[name] = value[0] if isinstance(value, list) else value
        return record_by_name
