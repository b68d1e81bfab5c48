"""Tests of the operators' HTTP interface with a scripted backend."""

from pathlib import Path

import curio
import msgspec
import pytest

from arbutusladder.config import load_settings
from arbutusladder.declarations import Amount, Declarations, Preset, Team, Workload
from arbutusladder.httpserver import HttpRequest
from arbutusladder.operatorapi import OperatorApi, OperatorBackend
from arbutusladder.operatormessages import (
    Counters,
    CurrentConfig,
    DrainView,
    Explanation,
    JobView,
    MemberView,
    OperationRefused,
    PartAnswer,
    PublishResult,
    PublishState,
    Readiness,
    Refusal,
    ShardView,
)
from arbutusladder.states import EntryState, JobState, Outcome, Reason, ShardState

EXAMPLES = Path(__file__).parent.parent / "examples"
CHANGE_ID = "01890a5d-ac96-774b-bcce-b302099a8057"


def declarations():
    return Declarations(
        teams=[Team(name="signs", quota=Amount(cpu=1.0))],
        presets=[Preset(name="ordinary"), Preset(name="peak")],
        active_preset="ordinary",
    )


class ScriptedBackend(OperatorBackend):
    """Backend that returns its attributes and records calls that change something."""

    def __init__(self):
        self.calls = []
        self.config = CurrentConfig(7, "ana", 41, declarations())
        self.published = PublishResult(PublishState.ACCEPTED, 8)
        self.parts = [PartAnswer("j1", Outcome.DONE, "s1")]
        self.view = JobView("j1", JobState.RUNNING, "recount", "s1", {"running": 2})
        self.ready = Readiness(True, EntryState.READY, 7)
        self.refusal = None

    def _record(self, *call):
        self.calls.append(call)
        if self.refusal:
            raise self.refusal

    async def publish(self, change):
        self._record("publish", change)
        return self.published

    async def current_config(self):
        return self.config

    async def submit(self, order):
        self._record("submit", order)
        return self.parts

    async def job(self, job_id):
        return self.view if job_id == "j1" else None

    async def cancel(self, job_id):
        self._record("cancel", job_id)
        return self.view if job_id == "j1" else None

    async def explain(self, job_id):
        if job_id != "j1":
            return None
        return Explanation("j1", JobState.WAITING, "no_capacity", ["1 of 3 fit"], ["x"])

    async def members(self):
        return [MemberView("seat-1", "127.0.0.1:1", "r", "d", True, EntryState.READY)]

    async def shards(self):
        return [ShardView("s1", "seat-1", 3, ShardState.OWNED, True)]

    async def counters(self):
        return Counters("vm-1", {"refused.queue_full": 2}, {"queue": 1.5})

    async def drain(self, vm, draining):
        self._record("drain", vm, draining)
        return DrainView(vm, draining, "s1") if vm == "worker-1" else None

    async def readiness(self):
        return self.ready


def change_body(**fields):
    """Returns the body of a valid change request with some fields replaced."""
    body = {
        "change_id": CHANGE_ID,
        "base_revision": 7,
        "author": "ana",
        "changes": {"active_preset": "peak"},
    }
    return body | fields


def send(backend, method, path, body=None, counted=None):
    """Returns the response to a request; appends counted refusals to a list."""
    data = b"" if body is None else msgspec.json.encode(body)
    data = body if isinstance(body, bytes) else data
    count = (counted if counted is not None else []).append
    request = HttpRequest(method, path, path, body=data)
    return curio.run(OperatorApi(backend, count).handle, request)


def check_refusal(response, status, reason):
    """Checks that a response is a refusal and returns its body."""
    refusal = msgspec.json.decode(response.body, type=Refusal)
    assert (response.status, refusal.reason) == (status, reason)
    assert response.header("Arbutusladder-Outcome") == refusal.outcome.value
    assert refusal.remedy
    return refusal


class TestPublish:
    """Guards against lost or misreported configuration changes."""

    def test_accepted(self):
        backend = ScriptedBackend()
        response = send(backend, "POST", "/v1/config", change_body())
        assert response.status == 200
        assert msgspec.json.decode(response.body)["revision"] == 8
        assert backend.calls[0][1].changes.active_preset == "peak"

    def test_stale_base_names_the_accepted_change(self):
        backend = ScriptedBackend()
        backend.published = PublishResult(PublishState.REFUSED, 8, "ben")
        response = send(backend, "POST", "/v1/config", change_body())
        refusal = check_refusal(response, 409, "stale_base")
        assert (refusal.winner, refusal.winner_revision) == ("ben", 8)

    def test_lost_log_response_is_unknown_not_refused(self):
        backend = ScriptedBackend()
        backend.published = PublishResult(PublishState.UNKNOWN)
        response = send(backend, "POST", "/v1/config", change_body())
        assert check_refusal(response, 504, "log_reply_lost").outcome is Outcome.UNKNOWN

    def test_log_outage(self):
        backend = ScriptedBackend()
        backend.published = PublishResult(PublishState.LOG_UNAVAILABLE)
        response = send(backend, "POST", "/v1/config", change_body())
        check_refusal(response, 503, "log_unavailable")
        assert response.header("Retry-After") == "1"

    def test_invalid_declarations_are_not_appended(self):
        backend = ScriptedBackend()
        body = change_body(changes={"active_preset": "none", "remove": ["preset/peak"]})
        refusal = check_refusal(
            send(backend, "POST", "/v1/config", body), 400, "invalid_declaration"
        )
        assert "preset 'none'" in refusal.problems[0]
        assert backend.calls == []

    def test_deadline_above_the_settings_limit_is_refused(self):
        settings = load_settings(EXAMPLES / "suva/settings/entry-1.yaml")
        workload = Workload(
            name="w", team="signs", kind="request", service="s", deadline_ms=5001
        )
        change = change_body(changes=Declarations(workloads=[workload]))
        request = HttpRequest(
            "POST", "/v1/config", "/v1/config", body=msgspec.json.encode(change)
        )
        api = OperatorApi(ScriptedBackend(), settings=settings)
        refusal = check_refusal(
            curio.run(api.handle, request), 400, "invalid_declaration"
        )
        assert "5001 ms exceeds" in refusal.problems[0]

    @pytest.mark.parametrize(
        "fields",
        [
            {"change_id": "7"},
            {"author": " "},
            {"author": "x" * 201},
            {"base_revision": -1},
            {"changes": {"teams": [{"name": "a", "weight": 0}]}},
            {"bogus": 1},
        ],
    )
    def test_malformed_body_changes_nothing(self, fields):
        backend = ScriptedBackend()
        response = send(backend, "POST", "/v1/config", change_body(**fields))
        check_refusal(response, 400, "malformed_request")
        assert backend.calls == []

    def test_preset_choice_is_published(self):
        backend = ScriptedBackend()
        body = change_body(preset="peak")
        del body["changes"]
        assert send(backend, "POST", "/v1/presets", body).status == 200
        assert backend.calls[0][1].changes == Declarations(active_preset="peak")


class TestJobs:
    """Guards against submissions whose response hides a refused or unknown part."""

    def test_submission_with_an_accepted_part_is_not_refused(self):
        backend = ScriptedBackend()
        backend.parts.append(PartAnswer("j2", Outcome.NOT_RUN, reason="shard_unowned"))
        response = send(backend, "POST", "/v1/jobs", {"workload": "recount"})
        parts = msgspec.json.decode(response.body)["parts"]
        assert [part["outcome"] for part in parts] == ["done", "not_run"]

    def test_unknown_part_takes_precedence_over_refused_parts(self):
        backend = ScriptedBackend()
        backend.parts = [
            PartAnswer("j1", Outcome.NOT_RUN, reason="queue_full"),
            PartAnswer("j2", Outcome.UNKNOWN, reason="owner_silent"),
        ]
        response = send(backend, "POST", "/v1/jobs", {"workload": "recount"})
        assert "j2" in check_refusal(response, 504, "owner_silent").remedy

    def test_full_queue_is_429_with_retry_after(self):
        backend = ScriptedBackend()
        backend.parts = [
            PartAnswer("", Outcome.NOT_RUN, "s1", "queue_full", retry_after_ms=2100)
        ]
        response = send(backend, "POST", "/v1/jobs", {"workload": "recount"})
        check_refusal(response, 429, "queue_full")
        assert response.header("Retry-After") == "3"

    @pytest.mark.parametrize(
        ("method", "path"),
        [("GET", "/v1/jobs/x"), ("DELETE", "/v1/jobs/x"), ("GET", "/v1/explain/x")],
    )
    def test_unknown_job(self, method, path):
        check_refusal(send(ScriptedBackend(), method, path), 404, "unknown_job")

    def test_job_id_is_decoded(self):
        backend = ScriptedBackend()
        send(backend, "DELETE", "/v1/jobs/a%2Fb%20c")
        assert backend.calls == [("cancel", "a/b c")]


class TestResources:
    """Guards against missing resources and wrongly accepted methods."""

    @pytest.mark.parametrize(
        "path",
        [
            "/livez",
            "/readyz",
            "/v1/config",
            "/v1/presets",
            "/v1/jobs/j1",
            "/v1/explain/j1",
            "/v1/members",
            "/v1/shards",
            "/v1/counters",
        ],
    )
    def test_read_resources(self, path):
        assert OperatorApi.handles_path(path)
        assert send(ScriptedBackend(), "GET", path).status == 200
        response = send(ScriptedBackend(), "PATCH", path)
        check_refusal(response, 405, "malformed_request")
        assert "GET" in response.header("Allow")

    def test_not_ready_is_503_with_reasons(self):
        backend = ScriptedBackend()
        backend.ready = Readiness(False, EntryState.READY, 7, ["config_unconfirmed"])
        response = send(backend, "HEAD", "/readyz")
        assert (response.status, b"config_unconfirmed" in response.body) == (503, True)

    def test_drain_and_undrain(self):
        backend = ScriptedBackend()
        send(backend, "POST", "/v1/vms/worker-1/drain")
        send(backend, "POST", "/v1/vms/worker-1/drain", {"draining": False})
        assert [call[2] for call in backend.calls] == [True, False]
        response = send(backend, "POST", "/v1/vms/worker-9/drain")
        check_refusal(response, 404, "no_endpoint")

    def test_refusal_of_the_backend_is_counted(self):
        backend = ScriptedBackend()
        backend.refusal = OperationRefused(Reason.SHARD_UNOWNED, "wait")
        counted = []
        response = send(backend, "DELETE", "/v1/jobs/j1", counted=counted)
        check_refusal(response, 503, "shard_unowned")
        assert counted == [Reason.SHARD_UNOWNED]

    def test_unknown_path_and_invalid_json(self):
        response = send(ScriptedBackend(), "GET", "/v1/none")
        check_refusal(response, 404, "malformed_request")
        response = send(ScriptedBackend(), "POST", "/v1/jobs", b'{"workload": "\xff"}')
        check_refusal(response, 400, "malformed_request")
