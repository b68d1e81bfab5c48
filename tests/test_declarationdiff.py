"""Tests of the comparison of declarations with the current configuration."""

from arbutusladder.declarationdiff import compare_declarations
from arbutusladder.declarations import Amount, Declarations, Preset, Team


class TestCompareDeclarations:
    """Guards against removing or resetting objects that the files do not declare."""

    current = Declarations(
        teams=[Team(name="a"), Team(name="b"), Team(name="c")],
        presets=[Preset(name="p"), Preset(name="q")],
        active_preset="q",
    )
    wanted = Declarations(
        teams=[Team(name="a", quota=Amount(cpu=2.0)), Team(name="b"), Team(name="d")],
        presets=[Preset(name="p")],
        active_preset="p",
        remove=["team/c", "team/gone"],
    )

    def test_without_prune(self):
        diff = compare_declarations(self.current, self.wanted)
        assert diff.lines == ["~ team/a quota.cpu: 0.0 -> 2.0", "+ team/d", "- team/c"]
        assert [team.name for team in diff.changes.teams] == ["a", "d"]
        assert diff.kept == ["preset/q"]
        assert diff.changes.active_preset == ""

    def test_with_prune(self):
        diff = compare_declarations(self.current, self.wanted, prune=True)
        assert diff.changes.remove == ["team/c", "preset/q"]
        assert diff.kept == []

    def test_first_publication_sets_the_active_preset(self):
        diff = compare_declarations(Declarations(), self.wanted)
        assert diff.changes.active_preset == "p"
