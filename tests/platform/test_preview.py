"""Tests of the preview command and page, with entry VMs, fake store and executors."""

import json

import curio
import pytest

from arbutusladder import cmdline
from arbutusladder.cell.jobtable import JOBS_TOPIC, PROGRESS_TOPIC
from arbutusladder.cmdcontext import ExitCode
from arbutusladder.httpclient import request
from arbutusladder.messages import Header
from arbutusladder.platform import previewpage
from tests.platform import test_end_to_end
from tests.platform.fakes import free_port, loopback_ip
from tests.platform.test_end_to_end import CellHarness, job_body, operator_config

TENANT = {"name": "t", "api-keys": ["k"], "cap": {"cpu": 2500}}


class OperatedCell(CellHarness):
    """Cell with a team, whose entry VMs serve metrics."""

    async def start_entry(self, number):
        """Starts one entry VM with a metrics port."""
        config = operator_config(2) | {"tenants": [TENANT]}
        self.store.put_record("keyed.op", "config", config)
        ip = loopback_ip(number + 2)
        port = free_port(ip)
        self.metrics_addresses = [
            *getattr(self, "metrics_addresses", []),
            f"{ip}:{port}",
        ]
        path = str(self._write_settings(number))
        settings = test_end_to_end.load_settings(path)
        entry = test_end_to_end.EntryDaemon(settings, f"{port}/metrics")
        self.entries.append(entry)
        self.tasks.append(await curio.spawn(entry.run, daemon=True))


@pytest.fixture
def run_command(tmp_path, monkeypatch, capsys):
    """Returns a function that runs the command in a new cell.

    It returns the exit code, the output and the errors of each run.
    """
    monkeypatch.setattr(test_end_to_end, "CellHarness", OperatedCell)

    def run(*runs):
        async def scenario(cell):
            owner = cell.entries[0]._member.claims.owner
            while not (owner.taken_over and owner.starts_tasks):
                await curio.sleep(0.05)
            results = []
            for number, arguments, body in runs:
                path = tmp_path / "job.json"
                path.write_text(json.dumps(body))
                address = cell.metrics_addresses[number]
                argv = ["platform-preview", f"--entry={address}", *arguments, str(path)]
                code = await curio.run_in_thread(cmdline.main, argv)
                results.append((code, *capsys.readouterr()))
            stored = [
                cell.store.topics[name].end for name in (JOBS_TOPIC, PROGRESS_TOPIC)
            ]
            client_answer = await request(
                cell.client_addresses[0],
                "POST",
                previewpage.PREVIEW_PATH,
                json.dumps({"job": job_body(), "queue": "q"}).encode(),
                [Header("X-Api-Key", "k")],
            )
            starts = [start for e in cell.executors for start in e.starts]
            return results, starts, stored, client_answer.status

        return test_end_to_end.run_scenario(tmp_path, scenario)

    return run


class TestPreviewOfAPlatform:
    """Pattern: an operator asks each entry VM, of which one owns the cell."""

    def test_every_entry_vm_answers_and_nothing_runs(self, run_command):
        """Guards against previews that are sent, and entry VMs that do not ask."""
        as_json = ["--queue=q", "--team=t", "--json"]
        results, starts, stored, client_status = run_command(
            (0, as_json, job_body()),
            (1, as_json, job_body()),
            (1, ["--route=q.example/jobs/"], job_body()),
            (0, ["--queue=x"], job_body()),
            (0, ["--queue=q", "--team=x"], job_body()),
            (0, ["--queue=q", "--team=t"], job_body(count=3, gang=True)),
            (0, ["--queue=q"], {"steps": []}),
            (0, ["--queue=q"], job_body(count=100_000)),
        )
        first, second, table, *refused = results
        owners = []
        for code, output, errors in (first, second):
            assert (errors, code) == ("", ExitCode.DONE)
            answer = json.loads(output)
            assert answer["team"]["cap"]["cpu"] == 2.5
            assert len(answer["steps"][0]["starts"]) == 2
            owners.append(answer["owner"])
        assert owners[0] == owners[1] in ("edge-0", "edge-1")
        assert table[0] == ExitCode.DONE and "i-0" in table[1] + table[2]
        assert [code for code, _, _ in refused] == [
            ExitCode.NOT_FOUND,
            ExitCode.NOT_FOUND,
            ExitCode.REFUSED,
            ExitCode.REFUSED,
            ExitCode.REFUSED,
        ]
        for (_, _, errors), text in zip(
            refused,
            [
                "no queue 'x'",
                "its teams are t",
                "a gang takes 3 cores, 300 MB; the cap of team t is 2.5 cores",
                "a job needs at least one step",
                "too large",
            ],
            strict=True,
        ):
            assert text in errors
        assert starts == [] and stored == [0, 0] and client_status == 404
