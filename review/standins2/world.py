"""A small deployment: entry VMs as real processes, and stand-ins for the rest."""

import asyncio
import json
import os
import random
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from .advice import Advisor
from .executors import FAR_FACTOR, Executor
from .http import request
from .store import Store

ROOT = Path(__file__).resolve().parents[2]
METRICS_PORT = 9464
SERVICE = "calc"
# Longest time of a script in seconds; it ends all processes then.
LIMIT_S = 112.0
# Starts and ends of failing services that the record holds in full.
KEPT_ROWS = 500
# Memory of an entry VM in MB, and seconds until the platform starts a process again.
MEMORY_MB = 300
RESTART_S = 0.5
# Bounds of the site rolgeld-sched.
BOUNDS = {
    "contact-ms": 3000,
    "ack-ms": 4000,
    "drain-ms": 2000,
    "grace-s": 6,
    "loss-slack-ms": 200,
    "config-apply-ms": 2000,
    "recovery-s": 12,
    "max-hold-ms": 6000,
    "stop-ms": 400,
    "gang-wait-ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "far-factor": FAR_FACTOR,
    "checkpoint-s": 0.5,
    "restore-ms": 100,
}


class CannotRun(Exception):
    """The case could not be played."""


class Entry:
    """One entry VM: the program of the deploy file as a process."""

    def __init__(self, name, ip, store, advice, folder):
        self.name, self.ip, self.process = name, ip, None
        front, ready, control, peer = _free_ports(ip, 4)
        self.front, self.ready = f"{ip}:{front}", f"{ip}:{ready}"
        self._folder = folder
        self.path = folder / f"{name}.json"
        settings = {
            "node": name,
            "role": "entry",
            "machine-class": "edge",
            "serves": ["edge", "control_plane"],
            "ip": ip,
            "zone": "z1",
            "region": "r",
            "zones": {"z1": "r"},
            "listen": {
                "front": self.front,
                "ready": self.ready,
                "control": f"{ip}:{control}",
            },
            "port-range": [peer, peer],
            "seeds": [],
            "bootstrap": True,
            "loss-counts": False,
            "limits": {
                "cpu-share": 0.537,
                "cores": 2,
                "memory-mb": MEMORY_MB,
                "max-fds": 4100,
                "link-mbps": 1000.0,
                "disk-mb": 0,
            },
            "data-dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat-ms": 1500,
            "contracts": ["base", "drain", "config", "recover", "sched", "platform"],
            "fault-tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "orders": "rpc",
            "advice": advice,
            "platform": {
                "address": store,
                "form": "log",
                "writes-per-s": 800,
                "reads-per-s": 2000,
                "parts": 16,
                "append-ms": 3.0,
                "record-bytes": Store.record_bytes,
                "request-bytes": Store.call_bytes,
                "keep_s": 300,
                "min-ttl-ms": 1000,
            },
        }
        self.path.write_text(json.dumps(settings))

    def start(self):
        """Starts the program as the deploy file says."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        (role,) = deploy["roles"].values()
        kept = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["ARBUTUSLADDER_BOOT"] = str(self.path)
        with open(self._folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(" "), cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def running(self):
        """Returns whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def end(self):
        """Kills the process."""
        if self.running():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()

    def resident_mb(self):
        """Returns the resident memory of the process in MB; 0 if it has ended."""
        try:
            status = Path(f"/proc/{self.process.pid}/statm").read_text()
        except OSError:
            return 0.0
        return int(status.split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


class World:
    """The deployment of a case.

    Args:
        folder: Folder of the case, which gets the record.
        queues: Routes of the operator's configuration without host and prefix.
        executors: Labels of each executor.
        cores: Cores of each executor.
        entries: Number of entry VMs.
        advice: Seconds of a call for advice, further seconds for each executor and
            seconds for which a ticket is valid; None for queues without advice.
    """

    def __init__(self, folder, queues, executors, cores=8, entries=3, advice=None):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.started_at = time.monotonic()
        self._lines = []
        self._record_path = Path(folder) / "record.txt"
        self.store = Store()
        self.jobs, self.work = {}, {}
        self.gangs = {}
        # Jobs whose tasks fail as soon as they have started.
        self.failing_jobs = set()
        self._failing_rows = 0
        self.kills = 0
        self.starts = []
        # Ends that were taken note of: task, run, how, time of the end.
        self.noted_ends = []
        self.executors = [
            Executor(self, f"w{number:02}", SERVICE, labels, cores)
            for number, labels in enumerate(executors)
        ]
        self.advisor = Advisor(self, *advice) if advice else None
        if advice:
            names = ("decision-ms", "each-ms", "validity-ms")
            values = (seconds * 1000 for seconds in advice)
            fields = {"advice": dict(zip(names, values, strict=True))}
            queues = [queue | fields for queue in queues]
        self._queues, self._entry_count = queues, entries
        self.entries, self._ready = [], {}
        self._tasks = []
        self._temporary = Path(tempfile.mkdtemp(prefix="review-"))

    def now(self):
        """Returns the seconds since the start of the script."""
        return time.monotonic() - self.started_at

    def record_run(self, executor, run, *words):
        """Records a start or an end; only each thousandth of a failing service."""
        if self.is_failing(run.task):
            self._failing_rows += 1
            if self._failing_rows > KEPT_ROWS and self._failing_rows % 1000:
                return
            words += (f"({self._failing_rows} starts and ends so far)",)
        self.record(executor.name, "run", words[0], run.task, run.number, *words[1:])

    def record(self, *words):
        """Adds a line to the record."""
        self._lines.append(f"{self.now():8.3f} " + " ".join(map(str, words)))

    async def __aenter__(self):
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def _start(self):
        for executor in self.executors:
            await executor.server.start("127.0.0.1")
            self._tasks.append(asyncio.create_task(executor.run()))
        if self.advisor:
            await self.advisor.server.start("127.0.0.1")
        advice = self.advisor.server.address if self.advisor else ""
        self.configure(1)
        block = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        for number in range(1, self._entry_count + 1):
            ip = f"{block}.{number}"
            _require_free(ip, METRICS_PORT)
            name = f"edge-{number}"
            store = await self.store.listen_for(name)
            entry = Entry(name, ip, store, advice, self._temporary)
            self.entries.append(entry)
            entry.start()
        self._tasks.append(asyncio.create_task(self._check_readiness()))
        await self._wait_until_ready()

    async def __aexit__(self, *_):
        for task in self._tasks:
            task.cancel()
        for entry in self.entries:
            entry.end()
        self._record_path.write_text("\n".join(self._lines) + "\n")
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self._temporary, kept, dirs_exist_ok=True)
        shutil.rmtree(self._temporary, ignore_errors=True)

    def configure(self, version):
        """Writes the operator's configuration."""
        routes = [
            {
                "host": f"{queue['name']}.example",
                "path-prefix": f"/{queue['name']}/",
                "service": SERVICE,
                "timeout-ms": 3000,
            }
            | queue
            for queue in self._queues
        ]
        value = {"version": version, "routes": routes, "services": [], "limits": {}}
        self.store.put("keyed.op", "config", value)

    async def _check_readiness(self):
        while True:
            for entry in self.entries:
                status, _ = await request(entry.ready, "GET", "/v1/readyz", timeout=0.5)
                misses = 0 if status == 200 else self._ready.get(entry.name, 2) + 1
                self._ready[entry.name] = misses
            await asyncio.sleep(1.0)

    async def _wait_until_ready(self):
        async with asyncio.timeout(30):
            while len(self._ready) < len(self.entries) or any(self._ready.values()):
                await asyncio.sleep(0.1)
        # Time for the owner to have heard of all executors.
        await asyncio.sleep(3.0)

    def _entry(self):
        ready = [e for e in self.entries if self._ready.get(e.name, 2) < 2]
        return random.choice(ready or self.entries)

    def follower(self):
        """Returns a node that did not last write under a condition."""
        return next(e for e in self.entries if e.name != self.store.last_writer)

    async def call(self, method, queue, job="", body=None, entry=None):
        """Sends a client's request; returns status and body.

        Args:
            method: HTTP method.
            queue: Name of the queue.
            job: Id of the job, if any.
            body: Body to send as JSON.
            entry: Node of the client; by default any in rotation.
        """
        entry = entry or self._entry()
        path = f"/{queue}/{job}"
        headers = {
            "Host": f"{queue}.example",
            "X-Arbutusladder-Request-Deadline-Ms": "3000",
        }
        status, answer = await request(entry.front, method, path, body, headers)
        sent = json.dumps(body) if body else ""
        self.record(
            f"client {method} {path} {sent} to {entry.name} -> {status} {answer}"
        )
        return status, answer

    async def submit(self, queue, steps, work_s, tries=5, entry=None, **fields):
        """Hands a job in, with the retries of a client.

        Args:
            queue: Name of the queue.
            steps: Its steps.
            work_s: Seconds of work of each task.
            tries: Number of attempts.
            entry: Node of the client; by default any in rotation at each attempt.
            fields: Further fields of the job.

        Returns:
            Its id.
        """
        # Ends with a letter, so that names of tasks don't look like addresses.
        job = secrets.token_hex(8)[:-1] + random.choice("abcdef")
        self.jobs[job], self.work[job] = steps, work_s
        body = {"spec": f"spec of {job}", "steps": steps} | fields
        for _ in range(tries):
            status, _ = await self.call("POST", queue, job, body, entry)
            if status // 100 == 2:
                return job
            await asyncio.sleep(1.0)
        raise CannotRun(f"{job} was not accepted")

    async def submit_patiently(self, queue, steps, work_s):
        """Hands a job in; returns an empty id if all attempts were in vain."""
        try:
            return await self.submit(queue, steps, work_s, tries=3)
        except CannotRun as error:
            self.record(error)
            return ""

    async def enforce_memory(self):
        """Kills each process over its memory, as the platform does; starts it again."""
        while True:
            for entry in self.entries:
                size_mb = entry.resident_mb()
                if not entry.running() or size_mb > MEMORY_MB:
                    self.record(entry.name, f"ended or killed with {size_mb:.0f} MB")
                    self.kills += 1
                    entry.end()
                    await asyncio.sleep(RESTART_S)
                    entry.start()
            await asyncio.sleep(0.1)

    async def state(self, queue, job):
        """Returns the state of a job; empty without an answer."""
        _, answer = await self.call("GET", queue, job)
        return answer.get("state", "")

    def describe(self, task):
        """Returns the step of a task and the seconds of its work."""
        job, _, step, _ = task.split(".")
        if job not in self.jobs:
            self.record("UNASKED", task)
            return {}, 1.0
        return self.jobs[job][int(step)], self.work[job]

    def permits(self, executor, task, ticket):
        """Returns whether an order to start a task has the ticket that it needs."""
        return self.advisor is None or self.advisor.permits(executor, task, ticket)

    def is_failing(self, task):
        """Returns whether a task that lasts fails now."""
        return task.split(".")[0] in self.failing_jobs

    def begin(self, executor, run):
        """Records a start; the work of a gang begins with its last member."""
        self.record_run(executor, run, "started")
        self.starts.append((run.task, run.number, executor.name, self.now()))
        if not run.step.get("gang"):
            return
        members = self.gangs.setdefault(run.gang, [])
        members.append((executor, run))
        if len(members) < run.step.get("count", 1):
            return
        racks = {member.labels[-1] for member, _ in members}
        far = run.step.get("same-rack") and len(racks) > 1
        for _, member in members:
            member.begun_at = time.monotonic()
            member.work_s *= FAR_FACTOR if far else 1

    def leave_gang(self, run, how):
        """Ends the other members of a gang of which one has ended."""
        for executor, member in self.gangs.pop(run.gang, []):
            if member is not run:
                executor.end(member, how)

    def started(self, job):
        """Returns the starts of a job's tasks."""
        return [row for row in self.starts if row[0].startswith(job + ".")]

    async def kill_leader(self, down_s):
        """Kills the machine that last wrote under a condition; starts it again."""
        name = self.store.last_writer
        (entry,) = (entry for entry in self.entries if entry.name == name)
        self.record(name, "is killed")
        entry.process.kill()
        await asyncio.sleep(down_s)
        entry.end()
        entry.start()
        self.record(name, "is started again")

    def used_cores(self):
        """Returns the cores that running tasks use."""
        return sum(
            run.step.get("cpu", 0) / 1000
            for executor in self.executors
            for run in executor.running.values()
        )

    def total_cores(self):
        """Returns the cores of all executors that are up."""
        return sum(e.cores for e in self.executors if not e.down)


def _free_ports(ip, count):
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind((ip, 0))
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


def _require_free(ip, port):
    with socket.socket() as probe:
        probe.bind((ip, port))


def play(case):
    """Runs a case, which returns the broken rules, and exits with its result."""

    async def bounded():
        # Ends all processes also if the script itself is stopped.
        stop = asyncio.current_task().cancel
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop)
        async with asyncio.timeout(LIMIT_S):
            return await case()

    try:
        broken = asyncio.run(bounded())
    except (Exception, asyncio.CancelledError) as error:
        print(f"could not run: {error!r}")
        sys.exit(2)
    for line in broken:
        print(line)
    print(f"{len(broken)} broken" if broken else "held")
    sys.exit(1 if broken else 0)
