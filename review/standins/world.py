"""A small deployment on loopback addresses: entry processes and stand-ins."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

from standins.executors import Executor, Fleet, TaskSpec
from standins.http import Request, Response, Server, json_response, send_request
from standins.record import Record
from standins.senders import find_sender
from standins.store import Store

ROOT = Path(__file__).resolve().parents[2]
HOST = "queue.example"
SERVICE = "count"
START_TIMEOUT_S = 25.0
DEADLINE_MS = 3000
# Figures of the deployment suva-parksigns.
MAX_HOLD_MS = 10000
STOP_MS = 900
ADVICE_MS = 630.0
ADVICE_EACH_MS = 9.0
ADVICE_VALIDITY_MS = 2500.0


class CannotRun(Exception):
    """The case could not be played."""


@dataclass
class Advice:
    """Stand-in of the advice service, which permits every executor.

    Attributes:
        calls: Event that is set at each call.
    """

    executors: list[Executor]
    record: Record
    calls: asyncio.Queue = field(default_factory=asyncio.Queue)

    def __post_init__(self):
        self.server = Server(self._handle)

    async def _handle(self, request: Request) -> Response:
        body = request.json()
        step, workers = body["step"], body["workers"]
        self.record.write(f"advice  {step} names {' '.join(workers)}")
        self.calls.put_nowait((step, workers))
        await asyncio.sleep((ADVICE_MS + ADVICE_EACH_MS * len(workers)) / 1000)
        good = []
        for executor in self.executors:
            if executor.name in workers:
                ticket = f"{step}/{executor.name}/{executor.life}"
                executor.tickets[ticket] = step
                good.append([executor.name, ticket])
        return json_response(200, {"good": good, "validity-ms": ADVICE_VALIDITY_MS})


@dataclass
class Entry:
    """One entry VM, which runs the program of the deploy file."""

    name: str
    ip: str
    front: str
    ready: str
    settings: Path
    log: Path
    process: subprocess.Popen | None = None

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["ARBUTUSLADDER_BOOT"] = str(self.settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def end(self) -> None:
        """Kills the process."""
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class World:
    """The deployment.

    Args:
        record: Record of the case.
        entries: Number of entry VMs.
        executors: Number of executors.
        cpu: Thousandths of a core of each executor.
        labels: Labels of each executor by its number.
        identifies: Whether to find the process that has opened each connection. That
            takes long on a machine with many sockets.
    """

    def __init__(
        self,
        record: Record,
        entries: int,
        executors: int,
        cpu: int,
        labels,
        identifies: bool = False,
    ):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        network = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
        self.store = Store()
        self.fleet = Fleet(self.store, record, MAX_HOLD_MS / 1000)
        for number in range(executors):
            executor = Executor(
                self.fleet, f"i-{number:04d}", SERVICE, cpu, labels(number)
            )
            self.fleet.executors.append(executor)
        self.advice = Advice(self.fleet.executors, record)
        self._platform_ip = f"{network}.1"
        self._ips = [f"{network}.{10 + number}" for number in range(entries)]
        self.entries: list[Entry] = []
        if identifies:
            for server in (self.store.server, *(e.server for e in self.executors)):
                server.identify = self._find_sender
        self._tasks: list[asyncio.Task] = []
        self._job_numbers = iter(range(1, 1 << 30))

    @property
    def executors(self) -> list[Executor]:
        """All executors."""
        return self.fleet.executors

    async def start(self) -> None:
        """Starts everything and waits until each entry VM is ready."""
        await self.store.server.start(self._platform_ip)
        await self.advice.server.start(self._platform_ip)
        for executor in self.executors:
            await executor.server.start(self._platform_ip)
            self._tasks.append(asyncio.create_task(executor.run()))
        self.store.put("keyed.op", "config", json.dumps(_config()).encode())
        for number, ip in enumerate(self._ips):
            entry = self._new_entry(number, ip)
            self.entries.append(entry)
            entry.start()
        async with asyncio.timeout(START_TIMEOUT_S):
            for entry in self.entries:
                while not await self._is_ready(entry):
                    if entry.process.poll() is not None:
                        raise CannotRun(f"{entry.name} has ended")
                    await asyncio.sleep(0.1)
        # Time for the owner to read the registry and for all to know each other.
        await asyncio.sleep(3.0)

    def close(self, kept_logs: str | None = None) -> None:
        """Ends all processes and removes the temporary folder.

        Args:
            kept_logs: Folder to which the event logs are copied; None for none.
        """
        for task in self._tasks:
            task.cancel()
        for entry in self.entries:
            entry.end()
            if kept_logs and entry.log.exists():
                shutil.copy(entry.log, kept_logs)
        shutil.rmtree(self.folder, ignore_errors=True)

    def new_job_id(self) -> str:
        """Returns an unused job id.

        It ends with a letter, so that no task name in a record looks like an address.
        """
        return f"{random.getrandbits(32):08x}{next(self._job_numbers):07x}f"

    async def submit(
        self,
        queue: str,
        steps: list[dict],
        specs: list[TaskSpec],
        entry: int = 0,
        schedule: dict | None = None,
    ) -> str | None:
        """Submits a job as a client does, with up to four further attempts.

        Args:
            queue: Name of the queue.
            steps: Steps as the body of the request holds them.
            specs: What the executors must know of the tasks of each step.
            entry: Number of the entry VM for the first attempt.
            schedule: Fields of a job that runs at set times.

        Returns:
            Its id, or None if it was not accepted.
        """
        job_id = self.new_job_id()
        for number, spec in enumerate(specs):
            self.fleet.specs[(job_id, number)] = spec
        for attempt in range(5):
            node = self.entries[(entry + attempt) % len(self.entries)]
            response = await send_request(
                node.front,
                "POST",
                f"/{queue}/{job_id}",
                {"spec": "text", "steps": steps} | (schedule or {}),
                {
                    "Host": HOST,
                    "X-Arbutusladder-Request-Deadline-Ms": str(DEADLINE_MS),
                },
            )
            status = response.status if response else 0
            self.record.write(f"submit  {job_id} to {queue} at {node.name}: {status}")
            if status == 200:
                return job_id
            if status in {429, 503}:
                await asyncio.sleep(int(response.headers.get("retry-after", "1")))
        return None

    async def state(self, queue: str, job_id: str, entry: int = 0) -> str | None:
        """Returns the state of a job; None without an answer."""
        response = await send_request(
            self.entries[entry].front,
            "GET",
            f"/{queue}/{job_id}",
            headers={"Host": HOST},
        )
        if response is None or response.status != 200:
            return None
        return response.json()["state"]

    def _find_sender(self, port: int, server_port: int) -> str:
        pid_by_name = {
            entry.name: entry.process.pid for entry in self.entries if entry.process
        }
        return find_sender(port, server_port, pid_by_name)

    async def _is_ready(self, entry: Entry) -> bool:
        response = await send_request(entry.ready, "GET", "/v1/readyz", timeout=1.0)
        return response is not None and response.status == 200

    def _new_entry(self, number: int, ip: str) -> Entry:
        name = f"edge-z{number + 1}-1"
        front, ready, control, peer = (free_port(ip) for _ in range(4))
        bounds = {
            "contact-ms": 3000,
            "grace-s": 6,
            "max-hold-ms": MAX_HOLD_MS,
            "stop-ms": STOP_MS,
            "gang-wait-ms": 3000,
            "status_s": 120,
        }
        settings = {
            "node": name,
            "role": "entry",
            "machine-class": "edge",
            "serves": ["edge", "control_plane"],
            "ip": ip,
            "zone": f"z{number + 1}",
            "region": "r",
            "listen": {
                "front": f"{ip}:{front}",
                "ready": f"{ip}:{ready}",
                "control": f"{ip}:{control}",
            },
            "port-range": [peer, peer],
            "bootstrap": True,
            "limits": {"cpu-share": 0.537, "cores": 2, "link-mbps": 1000.0},
            "heartbeat-ms": 1500,
            "bounds": bounds,
            "orders": "rpc",
            "advice": self.advice.server.address,
            "platform": {"address": self.store.server.address, "form": "log"},
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        log = self.folder / f"{name}.log"
        return Entry(name, ip, f"{ip}:{front}", f"{ip}:{ready}", path, log)


def _config() -> dict:
    queue = {
        "host": HOST,
        "service": SERVICE,
        "timeout-ms": DEADLINE_MS,
        "priority": 0,
        "max-attempts": 2,
        "stretch": 2.2,
        "slo-ms": 1000,
    }
    advice = {
        "decision-ms": ADVICE_MS,
        "each-ms": ADVICE_EACH_MS,
        "validity-ms": ADVICE_VALIDITY_MS,
    }
    routes = [
        queue | {"name": "plain", "path-prefix": "/plain/"},
        queue | {"name": "batch", "path-prefix": "/batch/", "priority": 1},
        queue | {"name": "serving", "path-prefix": "/serving/", "priority": 2},
        queue | {"name": "advised", "path-prefix": "/advised/", "advice": advice},
    ]
    services = [{"name": SERVICE, "rejects-overload": False}]
    return {"version": 3, "routes": routes, "services": services, "limits": {}}


def free_port(ip: str) -> int:
    """Returns a port that is free at the moment."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]
