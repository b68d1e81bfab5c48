"""End-to-end tests in one process: clients, entry VMs, fake store and executors."""

import json
from pathlib import Path

import curio
import pytest

from arbutusladder.cell.interfaces import TeamLimits
from arbutusladder.httpclient import request
from arbutusladder.httpserver import HttpRequest
from arbutusladder.messages import Header, Resources, TeamTerms
from arbutusladder.metricspage import MetricsPage
from arbutusladder.platform.__main__ import EXIT_CODE_TASK_FAILED, EntryDaemon
from arbutusladder.platform.routes import RoutingTable
from arbutusladder.platform.settings import load_settings
from tests.platform.fakes import FakeExecutor, FakeStore, free_port, loopback_ip

QUEUE_PREFIX = "/jobs/"
QUEUE_HOST = "q.example"
SERVICE = "svc"


def operator_config(version=1, **route):
    """Returns an operator's configuration with one queue."""
    queue = {
        "name": "q",
        "host": QUEUE_HOST,
        "path-prefix": QUEUE_PREFIX,
        "kind": "non_idempotent",
        "timeout-ms": 3000,
        "slo-ms": 250,
        "priority": 0,
        "service": SERVICE,
        "max-attempts": 2,
        "stretch": 2.0,
    }
    return {"version": version, "routes": [queue | route], "services": [], "limits": {}}


class CellHarness:
    """Runs the entry VMs of one cell with a fake store and fake executors.

    Args:
        settings_directory: Directory for the settings files.
        entry_count: Number of entry VMs.
        executors: Number of executors.
    """

    def __init__(self, settings_directory: Path, entry_count: int, executors: int):
        self.store = FakeStore()
        self.executors = [FakeExecutor(f"i-{n}") for n in range(executors)]
        self.entries: list[EntryDaemon] = []
        self.tasks: list[curio.Task] = []
        self.settings_directory = settings_directory
        self.entry_count = entry_count
        self.client_addresses: list[str] = []

    async def start(self):
        """Starts all servers and waits until every entry VM is ready for requests.

        By then the first owner has read the registry of workers, and each entry VM but
        the first knows others that can forward its calls of the log.
        """
        await curio.spawn(self.store.server.run, daemon=True)
        for executor in self.executors:
            await curio.spawn(executor.server.run, daemon=True)
            self.store.put_record(
                "keyed.servers", executor.name, executor.registry_entry(SERVICE)
            )
        self.store.put_record("keyed.op", "config", operator_config())
        for number in range(self.entry_count):
            await self.start_entry(number)
        await curio.sleep(1.0)
        while any(not entry._member._forwarding_seats() for entry in self.entries[1:]):
            await curio.sleep(0.05)

    async def start_entry(self, number):
        """Starts one entry VM."""
        entry = EntryDaemon(load_settings(str(self._write_settings(number))))
        self.entries.append(entry)
        self.tasks.append(await curio.spawn(entry.run, daemon=True))

    def _write_settings(self, number):
        ip = loopback_ip(number + 2)
        front, ready, peer = (free_port(ip) for _ in range(3))
        self.client_addresses.append(f"{ip}:{front}")
        path = self.settings_directory / f"settings-{number}.json"
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

    async def client_request(self, number, method, path, body=None):
        """Sends a client's request to an entry VM."""
        headers = [Header("Content-Type", "application/json")]
        data = json.dumps(body).encode() if body is not None else b""
        return await request(self.client_addresses[number], method, path, data, headers)

    async def job_state(self, number, job_id):
        """Returns the state of a job as an entry VM reports it, or None."""
        answer = await self.client_request(number, "GET", QUEUE_PREFIX + job_id)
        return json.loads(answer.body)["state"] if answer.status == 200 else None

    async def wait_until_completed(self, number, job_id, seconds=5.0):
        """Waits until an entry VM reports a job as completed.

        Returns:
            Whether it did so in time.
        """
        for _ in range(int(seconds / 0.1)):
            if await self.job_state(number, job_id) == "completed":
                return True
            await curio.sleep(0.1)
        return False


@pytest.fixture(autouse=True)
def match_any_host(monkeypatch):
    """Makes the queue match every host: the client sends the address as its host."""
    find_queue = RoutingTable.find_queue
    monkeypatch.setattr(
        RoutingTable,
        "find_queue",
        lambda self, host, path: find_queue(self, QUEUE_HOST, path),
    )


def run_scenario(tmp_path, scenario, entry_count=2, executors=2):
    """Runs a scenario in a new cell and closes its entry VMs."""

    async def main():
        cell = CellHarness(tmp_path, entry_count, executors)
        await cell.start()
        try:
            return await scenario(cell)
        finally:
            for entry in cell.entries:
                await entry.close()

    return curio.run(main)


def job_body(count=2, **fields):
    """Returns the request body of a job with one step."""
    step = {"count": count, "cpu": 1000, "mem-mb": 100, "estimate-ms": 200}
    return {"spec": "work", "steps": [step | fields]}


class TestMainTaskFailure:
    """Pattern: a main task of the process ends with an unexpected error."""

    def test_process_ends(self, tmp_path):
        """Guards against a process that is ready, but refuses all jobs for good."""

        async def scenario(cell):
            entry = cell.entries[0]
            await entry._tasks[0].cancel()
            await curio.sleep(0.5)
            return cell.tasks[0].terminated, entry.exit_code, cell.tasks[1].terminated

        assert run_scenario(tmp_path, scenario) == (True, EXIT_CODE_TASK_FAILED, False)


class TestEndToEnd:
    """Jobs from submission to completion, with faults in between."""

    def test_job_is_accepted_run_once_and_shown_everywhere(self, tmp_path):
        """Guards against faults anywhere between client and executor."""

        async def scenario(cell):
            first = await cell.client_request(
                0, "POST", QUEUE_PREFIX + "a" * 16, job_body()
            )
            second = await cell.client_request(
                1, "POST", QUEUE_PREFIX + "a" * 16, job_body()
            )
            done = [await cell.wait_until_completed(n, "a" * 16) for n in (0, 1)]
            starts = [task for e in cell.executors for task, _, _ in e.starts]
            unknown = await cell.client_request(1, "GET", QUEUE_PREFIX + "b" * 16)
            return first.status, second.status, done, sorted(starts), unknown.status

        first, second, done, starts, unknown = run_scenario(tmp_path, scenario)
        assert (first, second, unknown) == (200, 200, 410)
        assert done == [True, True]
        assert starts == ["a" * 16 + ".0.0.0", "a" * 16 + ".0.0.1"]

    def test_unusable_registry_entries_stop_nothing(self, tmp_path):
        """Guards against owners that end in turn while such an entry exists."""

        async def scenario(cell):
            usable = cell.executors[0].registry_entry(SERVICE)
            capacity = {"cpu": int("9" * 400), "mem-mb": 1, "gpu": 0}
            for key, entry in {
                "x-1": b"[" * 100_000,
                "x-2": usable | {"capacity": capacity},
                "x-3": usable | {"address": "127.0.0.1:70000"},
                "x-4": usable | {"address": "127.0.0.1:1"},
                "x\r\n-5": usable,
                "x-6": usable | {"born": usable["born"] + 1},
            }.items():
                cell.store.put_record("keyed.servers", key, entry)
            await curio.sleep(1.2)
            job_id = "e" * 16
            await cell.client_request(0, "POST", QUEUE_PREFIX + job_id, job_body())
            done = await cell.wait_until_completed(1, job_id)
            return done, [task.terminated for task in cell.tasks]

        assert run_scenario(tmp_path, scenario) == (True, [False, False])

    def test_entry_vm_refused_by_the_store_uses_another(self, tmp_path):
        """Guards against refusing requests that could be served.

        The store refuses the calls of one entry VM only, which can call the log
        through another one.
        """

        async def scenario(cell):
            refusing_store = FakeStore()
            refusing_store.refusal_status = 503
            await curio.spawn(refusing_store.server.run, daemon=True)
            cell.entries[1]._log._address = refusing_store.address
            first = await cell.client_request(
                1, "POST", QUEUE_PREFIX + "c" * 16, job_body()
            )
            return first.status, await cell.wait_until_completed(1, "c" * 16)

        assert run_scenario(tmp_path, scenario) == (200, True)

    def test_slow_store_gets_few_appends(self, tmp_path):
        """Guards against appends of many entry VMs that wait for each other.

        Pattern: each append takes 0.25 s while jobs arrive at all entry VMs.
        """

        async def scenario(cell):
            cell.store.append_s = 0.25
            tasks = []
            for number in range(24):
                path = f"{QUEUE_PREFIX}{number:016x}"
                tasks.append(
                    await curio.spawn(
                        cell.client_request, number % 3, "POST", path, job_body(count=1)
                    )
                )
                await curio.sleep(0.05)
            statuses = [(await task.join()).status for task in tasks]
            cell.store.append_s = 0.0
            done = [
                await cell.wait_until_completed(0, f"{number:016x}", 8.0)
                for number in range(24)
            ]
            passed = sum(
                entry._metrics.count_by_name["store.passed_to_owner"]
                for entry in cell.entries
            )
            return statuses, done, passed

        statuses, done, passed = run_scenario(tmp_path, scenario, entry_count=3)
        assert statuses == [200] * 24
        assert all(done)
        assert passed > 0

    def test_end_is_shown_everywhere_once_it_is_stored(self, tmp_path):
        """Guards against an end that is shown in an outage and lost with the power."""

        async def scenario(cell):
            for executor in cell.executors:
                executor.task_s = 1.0
            path = QUEUE_PREFIX + "6" * 16
            await cell.client_request(0, "POST", path, job_body(count=1))
            await curio.sleep(0.5)
            cell.store.refusal_status = 503
            await curio.sleep(3.0)
            shown = [await cell.job_state(n, "6" * 16) for n in (0, 1)]
            cell.store.refusal_status = 0
            ended = [await cell.wait_until_completed(n, "6" * 16) for n in (0, 1)]
            states = [await cell.job_state(n, "6" * 16) for n in (0, 1)]
            starts = [task for e in cell.executors for task, _, _ in e.starts]
            return shown, ended, states, len(starts)

        shown, ended, states, starts = run_scenario(tmp_path, scenario)
        assert shown == ["running", "running"]
        assert ended == [True, True]
        assert states == ["completed", "completed"]
        assert starts == 1

    def test_unusable_configuration_leaves_the_last_one_in_force(self, tmp_path):
        """Guards against an entry VM that ends, or refuses each job of a queue."""

        async def scenario(cell):
            huge = int("9" * 400)
            versions = []
            for config in (
                operator_config(2, priority=huge),
                operator_config(huge),
                operator_config(3),
            ):
                cell.store.put_record("keyed.op", "config", config)
                await curio.sleep(0.2)
                versions.append(cell.entries[0]._view.version)
            path = QUEUE_PREFIX + "9" * 16
            answer = await cell.client_request(0, "POST", path, job_body(count=1))
            return versions, answer.status

        assert run_scenario(tmp_path, scenario) == ([1, 1, 3], 200)

    def test_unusable_number_is_refused_and_the_next_job_runs(self, tmp_path):
        """Guards against a closed connection, and an entry VM that serves no more."""

        async def scenario(cell):
            path = QUEUE_PREFIX + "8" * 16
            body = job_body(count=1, cpu=int("9" * 400))
            refused = await cell.client_request(0, "POST", path, body)
            accepted = await cell.client_request(0, "POST", path, job_body(count=1))
            done = await cell.wait_until_completed(0, "8" * 16)
            return refused, accepted.status, done

        refused, accepted_status, done = run_scenario(tmp_path, scenario)
        assert refused.status == 400
        assert "cpu" in json.loads(refused.body)["error"]
        assert (accepted_status, done) == (200, True)

    def test_new_job_during_an_outage_is_refused_and_never_runs(self, tmp_path):
        """Guards against running a job whose submission was refused."""

        async def scenario(cell):
            cell.store.refusal_status = 503
            refused = await cell.client_request(
                0, "POST", QUEUE_PREFIX + "d" * 16, job_body()
            )
            cell.store.refusal_status = 0
            await curio.sleep(1.5)
            starts = [task for e in cell.executors for task, _, _ in e.starts]
            return refused.status, refused.header("Retry-After"), starts

        status, retry_after, starts = run_scenario(tmp_path, scenario)
        assert (status, starts) == (503, [])
        assert int(retry_after) >= 1

    def test_job_with_unknown_outcome_is_not_refused_by_another_entry_vm(
        self, tmp_path
    ):
        """Guards against refusing a job that may still be stored and run.

        An append without a response may take effect later, so a submission of the same
        job through another entry VM must not be answered 503, which means not stored.
        """

        async def scenario(cell):
            await cell.client_request(0, "POST", QUEUE_PREFIX + "9" * 16, job_body())
            cell.store.unresponsive = True
            first = await cell.client_request(
                0, "POST", QUEUE_PREFIX + "8" * 16, job_body()
            )
            second = await cell.client_request(
                1, "POST", QUEUE_PREFIX + "8" * 16, job_body()
            )
            other = await cell.client_request(
                1, "POST", QUEUE_PREFIX + "7" * 16, job_body()
            )
            return first.status, second.status, other.status

        assert run_scenario(tmp_path, scenario) == (504, 504, 503)

    def test_unanswered_start_is_not_run_twice_at_once(self, tmp_path):
        """Guards against a second run beside one whose start got no response."""

        async def scenario(cell):
            for executor in cell.executors:
                executor.lose_starts, executor.task_s = 1, 1.5
            await cell.client_request(
                0, "POST", QUEUE_PREFIX + "e" * 16, job_body(count=1)
            )
            done = await cell.wait_until_completed(0, "e" * 16, 12.0)
            return done, [e.duplicate_starts for e in cell.executors]

        done, duplicate_starts = run_scenario(tmp_path, scenario)
        assert done
        assert duplicate_starts == [[], []]

    def test_successor_finishes_jobs_of_a_stopped_owner(self, tmp_path):
        """Guards against jobs that stall or run twice after a handover."""

        async def scenario(cell):
            for executor in cell.executors:
                executor.task_s = 2.0
            await cell.client_request(0, "POST", QUEUE_PREFIX + "f" * 16, job_body())
            await curio.sleep(0.5)
            for entry in cell.entries:
                if entry._member.claims.owner:
                    entry.request_stop()
                    stopped = cell.entries.index(entry)
            done = await cell.wait_until_completed(1 - stopped, "f" * 16, 8.0)
            starts = [task for e in cell.executors for task, _, _ in e.starts]
            return done, len(starts)

        assert run_scenario(tmp_path, scenario) == (True, 2)

    def test_metrics_page_counts_submissions(self, tmp_path):
        """Guards against counters that are missing from the metrics page."""

        async def scenario(cell):
            await cell.client_request(0, "POST", QUEUE_PREFIX + "1" * 16, job_body())
            page = MetricsPage(cell.entries[0]._metrics, "/metrics")
            found = await page.answer(HttpRequest("GET", "/metrics", "/metrics"))
            missing = await page.answer(HttpRequest("GET", "/x", "/x"))
            return found.body.decode(), missing.status

        text, missing = run_scenario(tmp_path, scenario, entry_count=1)
        assert 'arbutusladder_submissions_total{reason="accepted"} 1.0' in text
        assert "arbutusladder_submission_seconds_bucket" in text
        assert missing == 404


class TestTeamCap:
    """Pattern: a caller submits a job that can never run below its team's cap."""

    def test_job_is_refused_unless_it_may_be_stored(self, tmp_path):
        """Guards against a job that waits for ever, and a refusal of one that runs."""
        limits = TeamLimits({"": TeamTerms("", cap=Resources(2.0))})

        async def scenario(cell):
            member = cell.entries[0]._member
            gang = job_body(3, gang=True)
            known, in_doubt, new = (QUEUE_PREFIX + digit * 16 for digit in "abc")
            first = await cell.client_request(0, "POST", known, gang)
            member._dependencies.teams = lambda: limits
            member._in_doubt.add(["b" * 16], member._clock.now())
            answers = [
                await cell.client_request(0, "POST", path, gang)
                for path in (known, in_doubt, new)
            ]
            return [first.status, *(answer.status for answer in answers)], answers[-1]

        statuses, refusal = run_scenario(tmp_path, scenario, entry_count=1)
        assert (statuses[0], statuses[1], statuses[3]) == (200, 200, 422)
        assert statuses[2] != 422
        assert b"a gang takes 3 cores, 300 MB" in refusal.body
