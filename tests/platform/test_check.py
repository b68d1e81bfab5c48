"""Tests of the validation of settings files and of the deploy file."""

import json
from pathlib import Path

import pytest

from arbutusladder.platform import check
from arbutusladder.platform.settings import STATUS_RETENTION_FACTOR, load_settings

ROOT = Path(__file__).parent.parent.parent
SETTINGS = {
    "node": "edge-a-1",
    "ip": "10.1.0.13",
    "listen": {"front": "10.1.0.13:8161", "ready": "10.1.0.13:8167"},
    "port-range": [7720, 7735],
    "platform": {"address": "10.200.1.7:8169"},
    "advice": "10.200.1.9:8169",
    "bounds": {"grace-s": 6, "max-hold-ms": 6000, "status_s": 120},
    "unknown": {"ignored": True},
}


def settings_with(**fields):
    """Returns valid settings with some fields replaced."""
    return SETTINGS | fields


class TestSettings:
    """Guards against entry VMs that start with unusable settings."""

    def run_check(self, tmp_path, settings):
        path = tmp_path / "settings.json"
        path.write_text(json.dumps(settings))
        return check.main([str(path)])

    def test_time_limits_are_read(self, tmp_path):
        """Guards against names of the platform that differ from those expected."""
        path = tmp_path / "settings.json"
        bounds = {"status_s": 30, "cancel_ms": 4500, "max-hold-ms": 5000}
        path.write_text(json.dumps(settings_with(bounds=bounds)))
        settings = load_settings(str(path))
        assert settings.finished_retention_s == 30 * STATUS_RETENTION_FACTOR
        assert settings.cancellation_limit_s == 4.5
        assert settings.max_lease_s == 5.0

    def test_valid_settings_pass(self, tmp_path, capsys):
        assert self.run_check(tmp_path, SETTINGS) == 0
        assert self.run_check(tmp_path, settings_with(advice="")) == 0

    @pytest.mark.parametrize(
        ("fields", "expected_text"),
        [
            ({"advice": "advice.example"}, "advice: 'advice.example'"),
            ({"platform": {"address": "10.0.0.1:70000"}}, "store: '10.0.0.1:70000'"),
            ({"bounds": {"grace-s": 1}}, "bounds.grace-s: 1 s"),
            ({"bounds": {"max-hold-ms": 500}}, "bounds.max-hold-ms: 0.5 s"),
            ({"listen": {"front": "10.1.0.13:8161"}}, "ready"),
        ],
    )
    def test_invalid_settings_are_reported(
        self, tmp_path, capsys, fields, expected_text
    ):
        assert self.run_check(tmp_path, settings_with(**fields)) == 2
        printed = capsys.readouterr().err
        assert expected_text in printed and "settings.json" in printed

    @pytest.mark.parametrize(
        "text", ["9" * 400, "9" * 5000, "-" + "9" * 400, "1e400", "-1", '"6"', "null"]
    )
    @pytest.mark.parametrize(
        ("part", "field"),
        [
            ("bounds", "max-hold-ms"),
            ("bounds", "grace-s"),
            ("bounds", "status_s"),
            ("bounds", "cancel_ms"),
            ("limits", "cpu-share"),
            ("limits", "cores"),
            ("limits", "link-mbps"),
            ("port-range", "port-range"),
        ],
    )
    def test_unusable_number_is_reported(self, tmp_path, capsys, part, field, text):
        """Guards against a traceback instead of the field and the remedy."""
        value = ["VALUE"] if part == field else {field: "VALUE"}
        path = tmp_path / "settings.json"
        content = json.dumps(settings_with(**{part: value}))
        path.write_text(content.replace('"VALUE"', text))
        assert check.main([str(path)]) == 2
        printed = capsys.readouterr().err
        assert field in printed and "make it valid JSON" in printed

    @pytest.mark.parametrize(
        "content",
        [
            b"[" * 100_000,
            b'{"new":' * 100_000,
            b'{"node":"\xff"}',
            json.dumps(settings_with(**{"port-range": []})).encode(),
        ],
        ids=["nested", "nested field", "no UTF-8", "no port"],
    )
    def test_unreadable_file_is_reported(self, tmp_path, capsys, content):
        """Guards against a traceback instead of the file and the remedy."""
        path = tmp_path / "settings.json"
        path.write_bytes(content)
        assert check.main([str(path)]) == 2
        printed = capsys.readouterr().err
        assert "settings.json" in printed and "make it valid JSON" in printed

    def test_missing_file_is_reported(self, capsys):
        assert check.main(["missing.json"]) == 2
        assert "missing.json" in capsys.readouterr().err


class TestDeploy:
    """Guards against roles that the platform cannot start or monitor."""

    def test_deploy_file_of_the_repository_passes(self):
        assert check.main([f"--deploy={ROOT / 'deploy' / 'system.toml'}"]) == 0

    @pytest.mark.parametrize(
        ("text", "expected_text"),
        [
            ("build = 'true'", "roles: no role"),
            ("[roles.a]\nrun = 'x'", "roles.a.on"),
            ("[roles.a]\nrun = 'x'\non = 'edge'\nshare = 2.0", "roles.a.share"),
            ("[roles.a]\nrun = 'x'\non = 'edge'\nmetrics = '1/m'", "--metrics=1/m"),
            ("[roles", "make it a readable, valid TOML file"),
        ],
    )
    def test_invalid_deploy_file_is_reported(
        self, tmp_path, capsys, text, expected_text
    ):
        path = tmp_path / "system.toml"
        path.write_text(text)
        assert check.main([f"--deploy={path}"]) == 2
        assert expected_text in capsys.readouterr().err
