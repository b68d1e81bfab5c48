"""Tests of loading settings and declarations."""

import contextlib
import random
from pathlib import Path

import pytest

from arbutusladder import config

EXAMPLES = Path(__file__).parent.parent / "examples"
SEED = 5
TEAM_YAML = "teams: [{name: a, quota: {cpu: 1}}]\n"


def collect_errors(function, *args, **options):
    """Calls a function that must fail; returns the errors in its exception group."""
    with pytest.raises(ExceptionGroup) as raised:
        function(*args, **options)
    return raised.value.exceptions


def write_yaml(directory, text, name="a.yaml"):
    """Writes a file into a directory; returns its path."""
    path = directory / name
    path.write_text(text)
    return path


class TestExamples:
    """Guards against examples that an entry VM would reject."""

    @pytest.mark.parametrize("name", ["rolgeld", "suva"])
    def test_settings_and_declarations_are_valid_together(self, name):
        files = sorted((EXAMPLES / name / "settings").iterdir())
        settings = [config.load_settings(file) for file in files]
        assert len(settings) == 9
        assert {item.seat for item in settings} == {
            seat.name for seat in settings[0].seats
        }
        assert len({item.listen for item in settings}) == 9
        declarations = config.load_declarations(
            [EXAMPLES / name / "declarations"], is_complete=True, settings=settings[0]
        )
        presets = {preset.name: preset for preset in declarations.presets}
        assert set(presets) == {"ordinary", "peak", "maintenance"}
        assert presets["peak"].urgent.reserved > presets["ordinary"].urgent.reserved
        assert presets["peak"].batch.ceiling < presets["ordinary"].batch.ceiling
        assert "stop" not in presets["maintenance"].preemption


class TestFileErrors:
    """Guards against using part of a bad file, and against errors without a line."""

    @pytest.mark.parametrize(
        ("text", "line", "message"),
        [
            ("teams: [\n", ":2", "expected"),
            ("teams: []\nteams: []\n", ":2", "occurs twice"),
            ("teams:\n- name: a\n  quota: {}\n  wieght: 1\n", ":4", "'weight'"),
            ("teams:\n- {name: A, quota: {cpu: 1}}\n", ":2", "matching regex"),
            ("teams:\n- {name: no, quota: {cpu: 1}}\n", ":2", "put the word in quotes"),
            ("teams:\n- {name: a, quota: {cpu: .inf}}\n", ":2", "finite"),
            ("teams:\n- {name: a, quota: {cpu: 1e3}}\n", ":2", "plain number"),
            ("teams:\n- {quota: {cpu: 1}}\n", ":2", "'name' is missing"),
            ("teams:\n- {name: a, quota: {}}\n", ":2", "no quota"),
            ("teams: {}\n", ":1", "array"),
            ("a: &x [1]\nb: *x\n", ":2", "aliases"),
            ("a: !!bool x\n", ":1", "tag"),
            ("teams: [{name: 2024-13-45}]\n", ":1", "no quota"),
            ("- 1\n", ":1", "object"),
            ("\x00", "", "not valid YAML"),
            ("[" * 5000, "", "not valid YAML"),
        ],
    )
    def test_error_contains_line_and_remedy(self, tmp_path, text, line, message):
        path = write_yaml(tmp_path, text)
        (error,) = collect_errors(config.load_declarations, [path])
        assert error.source == f"{path}{line}"
        assert message in str(error)

    def test_all_errors_of_all_files_are_reported(self, tmp_path):
        write_yaml(tmp_path, "teams:\n- {name: A, weight: 0, quota: {cpu: -1}}\n")
        write_yaml(tmp_path, "presets: 5\nbogus: 1\n", "b.yml")
        errors = collect_errors(config.load_declarations, [tmp_path])
        paths = {error.path for error in errors}
        assert paths == {
            "$.teams[0].name",
            "$.teams[0].weight",
            "$.teams[0].quota.cpu",
            "$.presets",
            "$.bogus",
        }

    def test_missing_file_and_empty_directory(self, tmp_path):
        missing = tmp_path / "none.yaml"
        errors = collect_errors(config.load_declarations, [missing, tmp_path])
        assert {error.problem for error in errors} == {
            "cannot be read (No such file or directory)",
            "no YAML file in this directory",
        }


class TestDamagedFiles:
    """Guards against exceptions other than exception groups for corrupted files."""

    fragments = (b"null", b"[]", b"-1", b".nan", b"!!int x", b"&a ", b"*a", b'"', b":")
    fragments += (
        b"\n",
        b"\t",
        b"\xff",
        b"{",
        b"? ",
        b"|\n",
        b"- ",
        b"2024-13-45",
        b"=",
    )

    def test_corrupted_examples(self, tmp_path):
        rng = random.Random(SEED)
        files = sorted(EXAMPLES.glob("*/declarations/*.yaml"))
        path = tmp_path / "a.yaml"
        for _ in range(300):
            data = bytearray(rng.choice(files).read_bytes())
            for _ in range(rng.randint(1, 4)):
                start = rng.randrange(len(data))
                data[start : start + rng.randint(0, 12)] = rng.choice(self.fragments)
            path.write_bytes(data)
            with contextlib.suppress(ExceptionGroup):
                config.load_declarations([path], is_complete=True)


class TestMerge:
    """Guards against an object of one file overriding that of another file."""

    def test_duplicate_name_is_reported_with_its_file(self, tmp_path):
        write_yaml(tmp_path, TEAM_YAML)
        second = write_yaml(tmp_path, "\n\n" + TEAM_YAML, "b.yaml")
        (error,) = collect_errors(config.load_declarations, [tmp_path])
        assert (error.source, error.path) == (f"{second}:3", "$.teams[0].name")

    def test_contradicting_active_presets(self, tmp_path):
        write_yaml(tmp_path, "active_preset: a\n")
        write_yaml(tmp_path, "active_preset: b\n", "b.yaml")
        (error,) = collect_errors(config.load_declarations, [tmp_path])
        assert "contradicts" in error.problem

    def test_file_given_twice_is_read_once(self, tmp_path):
        path = write_yaml(tmp_path, TEAM_YAML)
        assert len(config.load_declarations([tmp_path, path]).teams) == 1
