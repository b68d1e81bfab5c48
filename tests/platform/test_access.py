"""End-to-end tests of teams and their keys, in one process."""

import json

import curio
import logbook
import pytest

from arbutusladder.errors import LogUnavailable
from arbutusladder.httpclient import HttpConnection, request
from arbutusladder.httpserver import HttpRequest
from arbutusladder.messages import Header
from arbutusladder.metricspage import MetricsPage
from arbutusladder.platform.routes import CONFIG_KEY, CONFIG_TOPIC
from tests.platform.test_end_to_end import (
    QUEUE_PREFIX,
    CellHarness,
    job_body,
    match_any_host,  # noqa: F401
    operator_config,
)

PUBLIC_PREFIX = "/open/"
KEYS = {"red": "key-of-red-5821", "blue": "key-of-blue-7733"}
UNKNOWN_KEY = "key-of-nobody-1199"
# Default of the time within which a change has to be in force, in seconds.
APPLY_LIMIT_S = 2.0
ID = "a" * 16


def config_with_teams(version, teams=("red", "blue")):
    """Returns a configuration with a private queue, a public one and teams."""
    config = operator_config(version)
    public = {"name": "open", "path-prefix": PUBLIC_PREFIX, "public": True}
    config["routes"].append(config["routes"][0] | public)
    config["tenants"] = [
        {"name": team, "api-keys": [KEYS[team]], "priority": 1, "weight": 2, "cap": {}}
        for team in teams
    ]
    return config


def run_with_teams(tmp_path, scenario):
    """Runs a scenario in a cell of two entry VMs whose configuration has teams."""

    async def main():
        cell = CellHarness(tmp_path, 2, 2)
        await cell.start()
        try:
            publish(cell, 2)
            while {entry._view.version for entry in cell.entries} != {2}:
                await curio.sleep(0.05)
            await curio.sleep(0.3)
            return await scenario(cell)
        finally:
            for entry in cell.entries:
                await entry.close()

    return curio.run(main)


def publish(cell, version, teams=("red", "blue")):
    """Stores a version of the configuration."""
    cell.store.put_record(CONFIG_TOPIC, CONFIG_KEY, config_with_teams(version, teams))


async def call(cell, number, method, path, key="", body=None):
    """Returns the status of a request to an entry VM."""
    headers = [Header("X-Api-Key", key)] if key else []
    data = json.dumps(body).encode() if body else b""
    address = cell.client_addresses[number]
    return (await request(address, method, path, data, headers)).status


class TestAccessRules:
    """Pattern: two teams use the same id, through two entry VMs."""

    def test_job_belongs_to_one_team_everywhere(self, tmp_path):
        """Guards against jobs that other teams see, cancel or take over."""
        red, blue = KEYS["red"], KEYS["blue"]
        path, open_path = QUEUE_PREFIX + ID, PUBLIC_PREFIX + "b" * 16
        steps = [
            (0, "POST", path, "", 401),
            (0, "POST", path, UNKNOWN_KEY, 401),
            (0, "POST", path, red, 200),
            (1, "POST", path, blue, 409),
            (1, "POST", path, red, 200),
            (1, "GET", path, blue, 410),
            (1, "GET", path, "", 401),
            (1, "GET", path, red, 200),
            (0, "DELETE", path, blue, 410),
            (1, "GET", PUBLIC_PREFIX + ID, "", 410),
            (0, "POST", PUBLIC_PREFIX + ID, "", 409),
            (0, "POST", open_path, "", 200),
            (1, "GET", open_path, "", 200),
            (1, "GET", QUEUE_PREFIX + "b" * 16, blue, 200),
            (0, "GET", QUEUE_PREFIX, blue, 200),
            (0, "GET", QUEUE_PREFIX, "", 401),
            (0, "GET", PUBLIC_PREFIX, "", 200),
            (0, "GET", "/elsewhere", "", 401),
            (0, "GET", "/elsewhere", red, 404),
            (1, "DELETE", path, red, 200),
        ]

        async def scenario(cell):
            statuses = []
            for number, method, target, key, _ in steps:
                body = job_body(estimate=1) if method == "POST" else None
                statuses.append(await call(cell, number, method, target, key, body))
            await curio.sleep(0.5)
            entries = [entry._member.table.job_by_id[ID] for entry in cell.entries]
            return statuses, [(entry.team, entry.progress.team) for entry in entries]

        statuses, teams = run_with_teams(tmp_path, scenario)
        assert statuses == [step[-1] for step in steps]
        assert {team for team, _ in teams} == {"red"}

    def test_no_log_line_or_metric_contains_a_key(self, tmp_path):
        """Guards against keys that operators and log collectors can read."""
        with logbook.TestHandler() as handler:

            async def scenario(cell):
                for key in (*KEYS.values(), UNKNOWN_KEY):
                    await call(cell, 0, "POST", QUEUE_PREFIX + ID, key, job_body())
                malformed = f"GET / HTTP/1.1\r\nHost: x\r\nX-Api-Key: {UNKNOWN_KEY}\0"
                sock = await curio.open_connection(
                    *cell.client_addresses[0].rsplit(":", 1)
                )
                await sock.sendall(malformed.encode() + b"\r\n\r\n")
                answer = await sock.recv(65536)
                await sock.close()
                cell.store.put_record(
                    CONFIG_TOPIC,
                    CONFIG_KEY,
                    config_with_teams(3) | {"tenants": [{"api-keys": [UNKNOWN_KEY]}]},
                )
                await curio.sleep(0.3)
                page = MetricsPage(cell.entries[0]._metrics, "/m")
                return answer, (await page.answer(HttpRequest("GET", "/m", "/m"))).body

            answer, metrics = run_with_teams(tmp_path, scenario)
            texts = [f"{row.message} {row.extra}" for row in handler.records]
        assert any("tenants" in text for text in texts)
        for key in (*KEYS.values(), UNKNOWN_KEY):
            assert not any(key in text for text in texts)
            assert key.encode() not in answer + metrics


class TestChange:
    """Pattern: the operator removes a team's key while clients are connected."""

    def test_removed_key_is_refused_on_an_open_connection(self, tmp_path):
        """Guards against keys that stay valid for as long as a connection."""

        async def scenario(cell):
            connection = await HttpConnection.connect(cell.client_addresses[1], 1.0)
            key = [Header("X-Api-Key", KEYS["blue"])]

            async def get():
                path = QUEUE_PREFIX
                return (await connection.exchange("GET", path, key, b"", 5.0)).status

            before = await get()
            publish(cell, 3, ("red",))
            await curio.sleep(APPLY_LIMIT_S)
            after = await get()
            await connection.close()
            return before, after

        assert run_with_teams(tmp_path, scenario) == (200, 401)

    @pytest.mark.parametrize("lost", ["owner", "other"])
    def test_change_outlives_a_killed_entry_vm(self, tmp_path, lost):
        """Guards against the old version after a kill at the acknowledgement."""

        async def scenario(cell):
            owners = [n for n, e in enumerate(cell.entries) if e._member.claims.owner]
            killed = owners[0] if lost == "owner" else 1 - owners[0]
            publish(cell, 3, ("red",))
            await cell.tasks[killed].cancel()
            await cell.entries[killed].close()
            await curio.sleep(APPLY_LIMIT_S)
            survivor = await call(cell, 1 - killed, "GET", QUEUE_PREFIX, KEYS["blue"])
            await cell.start_entry(2)
            statuses = set()
            for _ in range(20):
                statuses.add(await call(cell, 2, "GET", QUEUE_PREFIX, KEYS["blue"]))
                await curio.sleep(0.05)
            return survivor, statuses

        survivor, statuses = run_with_teams(tmp_path, scenario)
        assert survivor == 401
        assert statuses - {503} == {401}

    def test_old_version_beside_a_newer_one_refuses_truthfully(self, tmp_path):
        """Guards against two entry VMs that decide by different versions for long."""

        async def scenario(cell):
            owner = next(e for e in cell.entries if e._member.claims.owner)
            number = 1 - cell.entries.index(owner)
            log = cell.entries[number]._member.log
            cell.entries[number]._follower._log = FailingReads()
            await curio.sleep(1.2)
            publish(cell, 3, ("red",))
            await curio.sleep(0.9)
            versions = owner._view.version, cell.entries[number]._view.version
            answers = [
                await call(cell, number, method, QUEUE_PREFIX + ID, key, body)
                for method, key, body in (
                    ("POST", KEYS["red"], job_body()),
                    ("GET", UNKNOWN_KEY, None),
                    ("GET", KEYS["blue"], None),
                )
            ]
            cell.entries[number]._follower._log = log
            await curio.sleep(1.0)
            blue = await call(cell, number, "GET", QUEUE_PREFIX, KEYS["blue"])
            red = await call(cell, number, "GET", QUEUE_PREFIX + ID, KEYS["red"])
            return versions, answers, blue, red

        expected = (3, 2), [503, 503, 503], 401, 410
        assert run_with_teams(tmp_path, scenario) == expected


class FailingReads:
    """A log whose reads fail, also through other entry VMs."""

    async def read(self, *args):
        """Fails like a log that nobody reaches."""
        raise LogUnavailable("unreachable", maybe_applied=False)

    read_through_others = newest = read
