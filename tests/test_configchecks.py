"""Tests of the checks of settings and declarations."""

import pytest

from arbutusladder import config, configchecks
from arbutusladder.declarations import Declarations, Preset, Team
from tests.test_config import EXAMPLES, TEAM_YAML, collect_errors, write_yaml


class TestCrossChecks:
    """Guards against declarations that are only valid on their own."""

    @pytest.mark.parametrize(
        ("text", "message"),
        [
            ("workloads: [{name: w, team: b, kind: request, service: s}]", "team 'b'"),
            ("active_preset: none", "preset 'none'"),
            ("workloads: [{name: w, team: a, kind: batch}]", "declares no resources"),
            ("workloads: [{name: w, team: a, kind: request}]", "has no service"),
            (
                "workloads: [{name: w, team: a, kind: request, service: s, "
                "deadline_ms: 5001}]",
                "exceeds max_request_time_s",
            ),
            ("remove: [team/a]", "same change set"),
            ("remove: [teams/a]", "is not the path of an object"),
            ("presets: [{name: q, policy: lifo}]", "policy 'lifo'"),
            (
                "presets: [{name: q, urgent: {reserved: 0.6}, batch: {reserved: 0.5}}]",
                "sum to 1.1",
            ),
            (
                "presets: [{name: q, urgent: {reserved: 0.6, ceiling: 0.5}}]",
                "exceeds ceiling",
            ),
        ],
    )
    def test_rejected_declarations(self, tmp_path, text, message):
        settings = config.load_settings(EXAMPLES / "suva/settings/entry-1.yaml")
        write_yaml(tmp_path, TEAM_YAML)
        write_yaml(tmp_path, text, "b.yaml")
        options = {"is_complete": True, "settings": settings}
        errors = collect_errors(config.load_declarations, [tmp_path], **options)
        assert any(message in str(error) for error in errors)

    def test_shares_that_sum_to_one_are_accepted(self):
        shares = dict.fromkeys(configchecks.URGENCY_CLASSES, {"reserved": 0.1})
        shares["urgent"] = {"reserved": 0.7}
        value = {"presets": [{"name": "p"} | shares]}
        declarations = config.msgspec.convert(value, Declarations)
        assert configchecks.check_change_set(declarations) == []


class TestSettings:
    """Guards against settings that break ownership or leases."""

    @pytest.mark.parametrize(
        ("old", "new", "path"),
        [
            ("seat: seat-1\n", "seat: seat-10\n", "$.seat"),
            ("failure_domain: suva-a\n", "failure_domain: x\n", "$.failure_domain"),
            ("log: 127.0.0.1:8000", "log: 127.0.0.999:8000", "$.log"),
            ("log: 127.0.0.1:8000", "log: 127.0.0.1:70000", "$.log"),
            ("127.0.0.1:8202", "127.0.0.1:8203", "$.seats[2].address"),
            ("name: seat-3", "name: seat-2", "$.seats[2].name"),
            ("peer_listen: 127.0.0.1:8201", "peer_listen: 0.0.0.0:1", "$.peer_listen"),
            ("attempt_timeout_s: 0.5", "attempt_timeout_s: 5", None),
            ("max_request_time_s: 5.0", "max_request_time_s: 30", None),
        ],
    )
    def test_rejected_settings(self, tmp_path, old, new, path):
        text = (EXAMPLES / "suva/settings/entry-1.yaml").read_text()
        assert old in text
        file = write_yaml(tmp_path, text.replace(old, new, 1))
        errors = collect_errors(config.load_settings, file)
        assert [error.path for error in errors] == [
            path or f"$.timing.{old.partition(':')[0]}"
        ]


class TestSettingsOfOneCell:
    """Guards against entry VMs with different seats or shards, or equal identities."""

    def load_settings(self, name, number):
        return config.load_settings(EXAMPLES / name / f"settings/entry-{number}.yaml")

    def test_example_files_agree(self):
        loaded = {
            str(number): self.load_settings("suva", number) for number in range(1, 10)
        }
        assert configchecks.find_settings_conflicts(loaded) == []

    def test_contradictions(self):
        loaded = {name: self.load_settings("suva", 1) for name in ("a", "b")}
        loaded["b"].shards.per_domain = 2
        errors = configchecks.find_settings_conflicts(loaded)
        assert [(error.source, error.path) for error in errors] == [
            ("b", "$.shards"),
            ("b", "$.vm"),
            ("b", "$.seat"),
            ("b", "$.listen"),
        ]


class TestApplyChanges:
    """Guards against losing an object or restoring a removed one."""

    def test_add_replace_and_remove(self):
        current = Declarations(
            teams=[Team(name="a"), Team(name="b")],
            presets=[Preset(name="p")],
            active_preset="p",
        )
        changes = Declarations(
            teams=[Team(name="b", weight=2.0), Team(name="c")],
            remove=["team/a", "team/none"],
        )
        result = configchecks.apply_changes(current, changes)
        assert [(team.name, team.weight) for team in result.teams] == [
            ("b", 2.0),
            ("c", 1.0),
        ]
        assert (result.active_preset, result.remove) == ("p", [])
        assert [team.name for team in current.teams] == ["a", "b"]
