"""Tests of the command line against a scripted entry VM."""

import json
import sys
import types
from pathlib import Path

import pytest

from arbutusladder import cmdline, commands
from arbutusladder.httpclient import HttpResponse
from arbutusladder.messages import Header
from arbutusladder.operatorapi import OperatorApi
from arbutusladder.operatormessages import (
    OperationRefused,
    PartAnswer,
    PublishResult,
    PublishState,
)
from arbutusladder.states import JobState, Outcome, Reason
from tests.test_client import (
    UNREACHABLE,
    NoResponse,
    ScriptedEntryVm,
    refused_response,
    run_server,
)
from tests.test_operatorapi import ScriptedBackend

SUVA = str(Path(__file__).parent.parent / "examples/suva/declarations")


@pytest.fixture
def backend():
    return ScriptedBackend()


@pytest.fixture
def run(backend, capfdbinary, monkeypatch):
    """Returns a function that runs a command against the scripted backend.

    It returns the exit code, the standard output and the standard error.
    """
    monkeypatch.delenv("ARBUTUSLADDER_ENTRY", raising=False)
    monkeypatch.setattr(commands, "POLL_INTERVAL_S", 0.01)

    def call(*arguments, entry=None):
        with run_server(entry or OperatorApi(backend).handle) as address:
            extra = ["--entry", UNREACHABLE, "--entry", address]
            code = cmdline.main([arguments[0], *extra, *arguments[1:]])
        captured = capfdbinary.readouterr()
        return code, captured.out.decode(), captured.err.decode()

    return call


class TestReadCommands:
    """Guards against commands that omit results of the entry VM."""

    @pytest.mark.parametrize(
        ("command", "words"),
        [
            ("members", ["seat-1", "ready"]),
            ("shards", ["s1", "owned"]),
            ("owners", ["s1", "seat-1", "3"]),
            ("status j1", ["running=2", "recount"]),
            ("explain j1", ["no_capacity", "1 of 3 fit", "would change it: x"]),
            ("preset list", ["* ordinary", "  peak"]),
            ("preset show peak", ["quarantine_failures"]),
            ("counters", ["refused.queue_full", "1.5"]),
        ],
    )
    def test_table_and_json(self, run, command, words):
        name, *rest = command.split()
        code, out, _ = run(name, *rest)
        assert code == 0
        assert all(word in out for word in words)
        code, out, _ = run(name, *rest, "--json")
        assert (code, bool(json.loads(out))) == (0, True)

    def test_control_characters_in_names_are_escaped(self, run, backend):
        backend.view.workload = "a\x1b[2Jb"
        _, out, _ = run("status", "j1")
        assert "a\\x1b[2Jb" in out

    def test_addresses_from_the_environment(self, backend, monkeypatch, capsys):
        with run_server(OperatorApi(backend).handle) as address:
            monkeypatch.setenv("ARBUTUSLADDER_ENTRY", f"{UNREACHABLE}, {address}")
            assert cmdline.main(["owners"]) == 0


class TestPublish:
    """Guards against publications that are lost, repeated or misreported."""

    def test_only_differences_are_published(self, run, backend):
        code, out, _ = run("publish", "--author", "ben", SUVA)
        assert (code, "revision 8 is accepted" in out) == (0, True)
        change = backend.calls[0][1]
        assert (change.base_revision, change.author) == (7, "ben")
        assert change.changes.active_preset == ""
        assert change.changes.remove == []

    def test_base_revision_option_is_sent(self, run, backend):
        backend.published = PublishResult(PublishState.REFUSED, 7, "ana")
        code, _, err = run("publish", "--author", "ben", "--base", "6", SUVA)
        assert (code, backend.calls[0][1].base_revision) == (1, 6)
        assert "revision 7 by ana is current" in err

    def test_lost_log_response_is_unknown(self, run, backend):
        backend.published = PublishResult(PublishState.UNKNOWN)
        code, _, err = run("publish", "--author", "ben", SUVA)
        assert (code, len(backend.calls)) == (3, 1)
        assert "may be active" in err

    def test_problems_of_declarations_are_printed(self, run, backend, tmp_path):
        path = tmp_path / "a.yaml"
        path.write_text("workloads: [{name: w, team: x, kind: request, service: s}]")
        code, _, err = run("publish", "--author", "ben", str(path))
        assert (code, backend.calls) == (1, [])
        assert "team 'x' of 'w' does not exist" in err

    def test_diff_changes_nothing(self, run, backend):
        code, out, _ = run("diff", "--prune", SUVA)
        assert (code, backend.calls) == (0, [])
        assert "base revision 7 by ana" in out
        assert "+ workload/sign-refresh" in out

    def test_preset_choice(self, run, backend):
        assert run("preset", "choose", "--author", "b", "peak")[0] == 0
        assert backend.calls[0][1].changes.active_preset == "peak"
        assert run("preset", "choose", "ordinary")[:2] == (
            0,
            "ordinary is active already in revision 7\n",
        )
        code, _, err = run("preset", "choose", "none")
        assert (code, len(backend.calls)) == (4, 1)
        assert "known: ordinary, peak" in err


class TestJobs:
    """Guards against job commands that misreport the outcome."""

    def test_submit_and_wait(self, run, backend):
        backend.view.state = JobState.FINISHED
        code, out, _ = run("submit", "--tasks", "3", "--wait", "recount")
        order = backend.calls[0][1]
        assert (code, order.workload, order.tasks) == (0, "recount", 3)
        assert "finished" in out

    def test_refused_part_determines_the_exit_code(self, run, backend):
        backend.parts.append(PartAnswer("j2", Outcome.NOT_RUN, reason="never_fits"))
        code, out, _ = run("submit", "recount")
        assert (code, "never_fits" in out) == (1, True)

    def test_unknown_submission_prints_the_job_id(self, run):
        entry = ScriptedEntryVm(NoResponse())
        code, _, err = run("submit", "--job-id", "job-7", "recount", entry=entry)
        assert (code, "job-7" in err, len(entry.requests)) == (3, True, 1)

    def test_failure_for_one_job_does_not_stop_others(self, run, backend):
        code, out, err = run("cancel", "none", "j1")
        assert (code, "j1" in out, "'none'" in err) == (4, True, True)
        assert [call[1] for call in backend.calls] == ["none", "j1"]

    @pytest.mark.parametrize(
        ("state", "code"),
        [("finished", 0), ("failed", 1), ("cancelled", 1), ("running", 3)],
    )
    def test_wait(self, run, backend, state, code):
        backend.view.state = JobState(state)
        assert run("wait", "--limit", "0.05", "j1")[0] == code

    def test_wait_continues_after_a_refusal(self, run, backend):
        backend.view.state = JobState.FINISHED
        api = OperatorApi(backend)
        reactions = [refused_response("shard_unowned"), NoResponse()]

        async def entry(request):
            if reactions:
                return await ScriptedEntryVm(reactions.pop(0))(request)
            return await api.handle(request)

        assert run("wait", "j1", entry=entry)[0] == 0

    def test_job_removed_while_waiting_is_unknown(self, run, backend):
        views = [backend.view, None]

        async def job(job_id):
            return views.pop(0)

        backend.job = job
        assert run("wait", "j1")[0] == 3

    def test_drain(self, run, backend):
        assert run("drain", "worker-1")[0] == 0
        assert run("undrain", "worker-1")[0] == 0
        assert run("drain", "worker-9")[0] == 4
        assert [call[2] for call in backend.calls] == [True, False, True]


class TestRequest:
    """Guards against service responses that are altered or misinterpreted."""

    def test_body_is_printed_unchanged(self, capfdbinary):
        entry = ScriptedEntryVm(HttpResponse(404, [Header("A", "b")], b"\xff\n"))
        with run_server(entry) as address:
            assert cmdline.main(["request", "--entry", address, "s", "/x"]) == 0
        assert capfdbinary.readouterr() == (b"\xff\n", b"status 404\n")
        sent = entry.requests[0]
        assert (sent.method, sent.target) == ("GET", "/services/s/x")

    def test_body_from_a_file(self, run, tmp_path):
        path = tmp_path / "body"
        path.write_bytes(b"\x00\xff")
        entry = ScriptedEntryVm(HttpResponse(200))
        options = ["--data-file", str(path), "--workload", "w", "--header", "A: b"]
        assert run("request", *options, "s", "x", entry=entry)[0] == 0
        sent = entry.requests[0]
        assert (sent.method, sent.body, sent.header("a")) == ("POST", b"\x00\xff", "b")
        assert sent.header("Arbutusladder-Workload") == "w"

    def test_generated_key_is_sent_and_printed(self, run):
        entry = ScriptedEntryVm(NoResponse())
        code, _, err = run(
            "request", "--new-key", "--data", "x", "s", "/x", entry=entry
        )
        key = entry.requests[0].header("Idempotency-Key")
        assert (code, key in err, len(key)) == (3, True, 36)

    def test_refusal(self, run):
        entry = ScriptedEntryVm(refused_response("queue_full"))
        code, _, err = run("request", "--json", "s", "/x", entry=entry)
        assert (code, "queue_full" in err) == (1, True)

    @pytest.mark.parametrize("option", ["--key", "--workload", "--method"])
    def test_non_ascii_header_field_is_refused(self, run, option):
        entry = ScriptedEntryVm()
        code, _, err = run("request", option, "é", "s", "/x", entry=entry)
        assert (code, entry.requests) == (1, [])
        assert "correct the path and the headers" in err

    def test_binary_body_as_json(self, run):
        entry = ScriptedEntryVm(HttpResponse(200, [], b"\xff"))
        _, out, _ = run("request", "--json", "s", "/x", entry=entry)
        assert json.loads(out)["body_base64"] == "/w=="


class TestUsage:
    """Guards against invalid input that is sent, ignored or shown as a traceback."""

    @pytest.mark.parametrize(
        ("line", "words"),
        [
            ("", ""),
            ("memebrs", "did you mean 'members'"),
            ("members --bogus", "Usage"),
            ("members", "no entry VM is named"),
            ("members --entry localhost:80", "IPv4"),
            ("members --entry 127.0.0.1:99999", "port"),
            (f"members --entry {UNREACHABLE} --timeout 0", "--timeout"),
            (f"members --entry {UNREACHABLE} --timeout nan", "--timeout"),
            (f"submit --entry {UNREACHABLE} --tasks 0 w", "--tasks"),
            (f"submit --entry {UNREACHABLE} --tasks ² w", "--tasks"),
            (f"submit --entry {UNREACHABLE} --tasks {'9' * 19} w", "--tasks"),
            (f"status --entry {UNREACHABLE} \udcff", "UTF-8"),
            (f"wait --entry {UNREACHABLE} --limit x j", "--limit"),
            (f"request --entry {UNREACHABLE} --header bad s /", "--header"),
            (
                f"request --entry {UNREACHABLE} --data-file /nowhere/x s /",
                "--data-file",
            ),
            (f"publish --entry {UNREACHABLE} --base -1 {SUVA}", "--base"),
            (f"publish --entry {UNREACHABLE} /nowhere", "cannot be read"),
            ("validate", "Usage"),
            ("validate /nowhere", "cannot be read"),
            ("validate --settings /nowhere", "cannot be read"),
        ],
    )
    def test_usage_error_exits_with_2_and_a_remedy(
        self, capsys, monkeypatch, line, words
    ):
        monkeypatch.delenv("ARBUTUSLADDER_ENTRY", raising=False)
        assert cmdline.main(line.split()) == 2
        assert words in capsys.readouterr().err

    @pytest.mark.parametrize("command", ["members", "request s /x", "submit w"])
    def test_unreachable_entry_vm_exits_with_5(self, capsys, command):
        name, *rest = command.split()
        assert cmdline.main([name, "--entry", UNREACHABLE, *rest]) == 5
        assert UNREACHABLE in capsys.readouterr().err

    def test_validate_complete_and_partial_declarations(self, capsys, tmp_path):
        assert cmdline.main(["validate", SUVA]) == 0
        part = f"{SUVA}/workloads.yaml"
        assert cmdline.main(["validate", part]) == 2
        assert cmdline.main(["validate", "--partial", part]) == 0
        files = sorted(Path(SUVA).parent.glob("settings/*.yaml"))
        options = [word for file in files for word in ("--settings", str(file))]
        assert cmdline.main(["validate", *options, SUVA]) == 0
        assert "9 settings files, 12 objects" in capsys.readouterr().out
        assert cmdline.main(["validate", *options]) == 0

    def test_backend_refusal_as_json(self, run, backend):
        backend.refusal = OperationRefused(Reason.OWNER_SILENT, "wait")
        code, _, err = run("cancel", "--json", "j1")
        assert (code, json.loads(err)["reason"]) == (1, "owner_silent")

    def test_help_of_every_command(self, capsys):
        assert cmdline.main(["--help"]) == 0
        for name in commands.COMMANDS:
            assert cmdline.main([name, "--help"]) == 0
        assert cmdline.usage_by_command().keys() == commands.COMMANDS.keys()

    def test_module_command(self, monkeypatch):
        calls = []
        module = types.SimpleNamespace(main=calls.append)
        monkeypatch.setitem(sys.modules, "arbutusladder.embedded", module)
        assert cmdline.main(["demo", "--json", "x"]) == 0
        assert calls == [["--json", "x"]]

    def test_missing_module(self, capsys, monkeypatch):
        monkeypatch.setitem(cmdline.MODULES, "demo", ("arbutusladder.none", ""))
        assert cmdline.main(["demo"]) == 2
        assert "arbutusladder.none is missing" in capsys.readouterr().err
