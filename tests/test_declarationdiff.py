"""Tests of the comparison of declarations."""

from arbutusladder.declarationdiff import compare_declarations
from arbutusladder.declarations import Amount, Declarations, Preset, Team


class TestDifference:
    """Guards against a publication that removes or resets unnamed things."""

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
        found = compare_declarations(self.current, self.wanted)
        assert found.lines == ["~ team/a quota.cpu: 0.0 -> 2.0", "+ team/d", "- team/c"]
        assert [team.name for team in found.changes.teams] == ["a", "d"]
        assert found.kept == ["preset/q"]
        assert found.changes.active_preset == ""

    def test_with_prune(self):
        found = compare_declarations(self.current, self.wanted, prune=True)
        assert found.changes.remove == ["team/c", "preset/q"]
        assert found.kept == []

    def test_first_publication_sets_the_active_preset(self):
        found = compare_declarations(Declarations(), self.wanted)
        assert found.changes.active_preset == "p"
