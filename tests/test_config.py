"""Tests of loading settings and declarations."""

import contextlib
import random
from pathlib import Path

import pytest

from arbutusladder import config

EXAMPLES = Path(__file__).parent.parent / "examples"
SEED = 5
TEAM = "teams: [{name: a, quota: {cpu: 1}}]\n"


def problems_of(call, *args, **options):
    with pytest.raises(ExceptionGroup) as caught:
        call(*args, **options)
    return caught.value.exceptions


def write(directory, text, name="a.yaml"):
    path = directory / name
    path.write_text(text)
    return path


class TestExamples:
    """Guards against examples that an entry VM would refuse."""

    @pytest.mark.parametrize("name", ["rolgeld", "suva"])
    def test_settings_and_declarations_fit_together(self, name):
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
    """Guards against a bad file being taken in part or without its place."""

    @pytest.mark.parametrize(
        ("text", "place", "words"),
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
    def test_place_and_remedy(self, tmp_path, text, place, words):
        path = write(tmp_path, text)
        (error,) = problems_of(config.load_declarations, [path])
        assert error.source == f"{path}{place}"
        assert words in str(error)

    def test_all_errors_of_all_files_are_reported(self, tmp_path):
        write(tmp_path, "teams:\n- {name: A, weight: 0, quota: {cpu: -1}}\n")
        write(tmp_path, "presets: 5\nbogus: 1\n", "b.yml")
        errors = problems_of(config.load_declarations, [tmp_path])
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
        errors = problems_of(config.load_declarations, [missing, tmp_path])
        assert {error.problem for error in errors} == {
            "cannot be read (No such file or directory)",
            "no YAML file here",
        }


class TestDamagedFiles:
    """Guards against damage that ends in an error without a place or remedy."""

    pieces = (b"null", b"[]", b"-1", b".nan", b"!!int x", b"&a ", b"*a", b'"', b":")
    pieces += (b"\n", b"\t", b"\xff", b"{", b"? ", b"|\n", b"- ", b"2024-13-45", b"=")

    def test_damaged_examples(self, tmp_path):
        source = random.Random(SEED)
        files = sorted(EXAMPLES.glob("*/declarations/*.yaml"))
        path = tmp_path / "a.yaml"
        for _ in range(300):
            data = bytearray(source.choice(files).read_bytes())
            for _ in range(source.randint(1, 4)):
                start = source.randrange(len(data))
                data[start : start + source.randint(0, 12)] = source.choice(self.pieces)
            path.write_bytes(data)
            with contextlib.suppress(ExceptionGroup):
                config.load_declarations([path], is_complete=True)


class TestMerge:
    """Guards against an object of one file hiding that of another."""

    def test_repeated_name_is_placed_in_its_file(self, tmp_path):
        write(tmp_path, TEAM)
        second = write(tmp_path, "\n\n" + TEAM, "b.yaml")
        (error,) = problems_of(config.load_declarations, [tmp_path])
        assert (error.source, error.path) == (f"{second}:3", "$.teams[0].name")

    def test_contradicting_active_presets(self, tmp_path):
        write(tmp_path, "active_preset: a\n")
        write(tmp_path, "active_preset: b\n", "b.yaml")
        (error,) = problems_of(config.load_declarations, [tmp_path])
        assert "contradicts" in error.problem

    def test_file_named_twice_is_read_once(self, tmp_path):
        path = write(tmp_path, TEAM)
        assert len(config.load_declarations([tmp_path, path]).teams) == 1
