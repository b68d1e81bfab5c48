"""The whole path in one process: clients, entry VMs, store and executors."""

import json
import socket
from pathlib import Path

import curio
import pytest

from arbutusladder.httpclient import request
from arbutusladder.httpserver import HttpRequest
from arbutusladder.messages import Header
from arbutusladder.metricspage import MetricsPage
from arbutusladder.platform.__main__ import Entry
from arbutusladder.platform.boot import load_boot
from arbutusladder.platform.routes import RouteTable
from tests.platform.standins import FakeExecutor, FakeStore

PREFIX = "/jobs/"
HOST = "q.example"
SERVICE = "svc"


def config(version=1, **route):
    """Returns the operator's configuration with one queue."""
    queue = {
        "name": "q",
        "host": HOST,
        "path-prefix": PREFIX,
        "kind": "non_idempotent",
        "timeout-ms": 3000,
        "slo-ms": 250,
        "priority": 0,
        "service": SERVICE,
        "max-attempts": 2,
        "stretch": 2.0,
    }
    return {"version": version, "routes": [queue | route], "services": [], "limits": {}}


class Cell:
    """Entry VMs with their surroundings."""

    def __init__(self, directory: Path, size: int, executors: int):
        self.store = FakeStore()
        self.executors = [FakeExecutor(f"i-{n}") for n in range(executors)]
        self.entries: list[Entry] = []
        self.tasks: list[curio.Task] = []
        self.directory = directory
        self.size = size
        self.fronts: list[str] = []

    async def start(self):
        """Starts everything and waits until the first owner has read the workers."""
        await curio.spawn(self.store.server.run, daemon=True)
        for executor in self.executors:
            await curio.spawn(executor.server.run, daemon=True)
            self.store.put("keyed.servers", executor.name, executor.entry(SERVICE))
        self.store.put("keyed.op", "config", config())
        for number in range(self.size):
            await self.start_entry(number)
        await curio.sleep(1.0)
        while any(not entry._member._forwarding_seats() for entry in self.entries[1:]):
            await curio.sleep(0.05)

    async def start_entry(self, number):
        """Starts one entry VM."""
        entry = Entry(load_boot(str(self._settings(number))))
        self.entries.append(entry)
        self.tasks.append(await curio.spawn(entry.run, daemon=True))

    def _settings(self, number):
        ip = f"127.0.0.{number + 2}"
        front, ready, peer = (free_port(ip) for _ in range(3))
        self.fronts.append(f"{ip}:{front}")
        path = self.directory / f"settings-{number}.json"
        path.write_text(
            json.dumps(
                {
                    "node": f"edge-{number}",
                    "ip": ip,
                    "zone": "z1",
                    "listen": {"front": f"{ip}:{front}", "ready": f"{ip}:{ready}"},
                    "port-range": [peer, peer],
                    "platform": {"address": self.store.address, "form": "log"},
                    "bounds": {"max-hold-ms": 6000, "grace_s": 6},
                    "something-new": True,
                }
            )
        )
        return path

    async def call(self, number, method, path, body=None):
        """Sends a client's request to an entry VM."""
        headers = [Header("Content-Type", "application/json")]
        data = json.dumps(body).encode() if body is not None else b""
        return await request(self.fronts[number], method, path, data, headers)

    async def state(self, number, job):
        """Returns the state of a job as an entry VM tells it."""
        answer = await self.call(number, "GET", PREFIX + job)
        return json.loads(answer.body)["state"] if answer.status == 200 else None

    async def completed(self, number, job, seconds=5.0):
        """Waits until a job is shown as completed."""
        for _ in range(int(seconds / 0.1)):
            if await self.state(number, job) == "completed":
                return True
            await curio.sleep(0.1)
        return False


def free_port(ip):
    """Returns a port that nothing listens on."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


@pytest.fixture(autouse=True)
def any_host(monkeypatch):
    """Lets the queue match the address, which the client sends as its host."""
    find = RouteTable.find
    monkeypatch.setattr(
        RouteTable, "find", lambda self, host, path: find(self, HOST, path)
    )


def play(tmp_path, scenario, size=2, executors=2):
    """Runs a scenario in a new cell."""

    async def main():
        cell = Cell(tmp_path, size, executors)
        await cell.start()
        try:
            return await scenario(cell)
        finally:
            for entry in cell.entries:
                await entry.close()

    return curio.run(main)


def job(count=2, **fields):
    """Returns the body of a job of one step."""
    step = {"count": count, "cpu": 1000, "mem-mb": 100, "estimate-ms": 200}
    return {"spec": "work", "steps": [step | fields]}


class TestWholePath:
    """A job from its client to the executors and back."""

    def test_job_is_accepted_run_once_and_shown_everywhere(self, tmp_path):
        """Guards against a path that is broken anywhere."""

        async def scenario(cell):
            posted = await cell.call(0, "POST", PREFIX + "a" * 16, job())
            again = await cell.call(1, "POST", PREFIX + "a" * 16, job())
            done = [await cell.completed(n, "a" * 16) for n in (0, 1)]
            starts = [task for e in cell.executors for task, _, _ in e.starts]
            unknown = await cell.call(1, "GET", PREFIX + "b" * 16)
            return posted.status, again.status, done, sorted(starts), unknown.status

        posted, again, done, starts, unknown = play(tmp_path, scenario)
        assert (posted, again, unknown) == (200, 200, 410)
        assert done == [True, True]
        assert starts == ["a" * 16 + ".0.0.0", "a" * 16 + ".0.0.1"]

    def test_entry_vm_that_the_store_turns_away_goes_on(self, tmp_path):
        """Guards against refusals by one entry VM that others could serve."""

        async def scenario(cell):
            turned_away = FakeStore()
            turned_away.refuse = 503
            await curio.spawn(turned_away.server.run, daemon=True)
            cell.entries[1]._log._address = turned_away.address
            posted = await cell.call(1, "POST", PREFIX + "c" * 16, job())
            return posted.status, await cell.completed(1, "c" * 16)

        assert play(tmp_path, scenario) == (200, True)

    def test_new_job_during_an_outage_is_refused_and_never_runs(self, tmp_path):
        """Guards against a refusal of a job that runs after all."""

        async def scenario(cell):
            cell.store.refuse = 503
            refused = await cell.call(0, "POST", PREFIX + "d" * 16, job())
            cell.store.refuse = 0
            await curio.sleep(1.5)
            starts = [task for e in cell.executors for task, _, _ in e.starts]
            return refused.status, refused.header("Retry-After"), starts

        status, retry_after, starts = play(tmp_path, scenario)
        assert (status, starts) == (503, [])
        assert int(retry_after) >= 1

    def test_id_in_doubt_is_not_refused_by_another_entry_vm(self, tmp_path):
        """Guards against 'never runs' for a job whose append may still arrive."""

        async def scenario(cell):
            await cell.call(0, "POST", PREFIX + "9" * 16, job())
            cell.store.silent = True
            first = await cell.call(0, "POST", PREFIX + "8" * 16, job())
            second = await cell.call(1, "POST", PREFIX + "8" * 16, job())
            other = await cell.call(1, "POST", PREFIX + "7" * 16, job())
            return first.status, second.status, other.status

        assert play(tmp_path, scenario) == (504, 504, 503)

    def test_start_without_an_answer_is_not_run_twice_at_once(self, tmp_path):
        """Guards against a second run while the first, unanswered, goes on."""

        async def scenario(cell):
            for executor in cell.executors:
                executor.lose_starts, executor.task_s = 1, 1.5
            await cell.call(0, "POST", PREFIX + "e" * 16, job(count=1))
            done = await cell.completed(0, "e" * 16, 12.0)
            return done, [e.twice for e in cell.executors]

        done, twice = play(tmp_path, scenario)
        assert done
        assert twice == [[], []]

    def test_successor_finishes_what_a_stopped_owner_began(self, tmp_path):
        """Guards against jobs that stall or run twice after a handover."""

        async def scenario(cell):
            for executor in cell.executors:
                executor.task_s = 2.0
            await cell.call(0, "POST", PREFIX + "f" * 16, job())
            await curio.sleep(0.5)
            for entry in cell.entries:
                if entry._member.claims.owner:
                    entry.ask_to_stop()
                    stopped = cell.entries.index(entry)
            done = await cell.completed(1 - stopped, "f" * 16, 8.0)
            starts = [task for e in cell.executors for task, _, _ in e.starts]
            return done, len(starts)

        assert play(tmp_path, scenario) == (True, 2)

    def test_metrics_page_counts_submissions(self, tmp_path):
        """Guards against counters that on-call engineers cannot read."""

        async def scenario(cell):
            await cell.call(0, "POST", PREFIX + "1" * 16, job())
            page = MetricsPage(cell.entries[0]._metrics, "/metrics")
            found = await page.answer(HttpRequest("GET", "/metrics", "/metrics"))
            missing = await page.answer(HttpRequest("GET", "/x", "/x"))
            return found.body.decode(), missing.status

        text, missing = play(tmp_path, scenario, size=1)
        assert 'arbutusladder_submissions_total{reason="accepted"} 1.0' in text
        assert "arbutusladder_submission_seconds_bucket" in text
        assert missing == 404
