"""Tests of the generated reference pages."""

import re
from collections import Counter

import pytest

from arbutusladder import docgen, events
from arbutusladder.cmdcontext import EXIT_CODE_DESCRIPTIONS, ExitCode


class TestPages:
    """Guards against pages that describe an earlier version."""

    @pytest.mark.parametrize("name", docgen.PAGE_BUILDERS)
    def test_page_is_current(self, name):
        page = (docgen.ROOT / "docs" / name).read_text(encoding="utf-8")
        assert page == docgen.PAGE_BUILDERS[name](docgen.ROOT), (
            "run python -m arbutusladder.docgen"
        )

    def test_main_writes_every_page(self, tmp_path):
        (tmp_path / "docs").mkdir()
        (tmp_path / "schema").symlink_to(docgen.ROOT / "schema")
        assert docgen.main([str(tmp_path)]) == 0
        assert {file.name for file in (tmp_path / "docs").iterdir()} == set(
            docgen.PAGE_BUILDERS
        )


class TestTables:
    """Guards against codes and events without an explanation."""

    def test_every_code_has_a_text(self):
        assert set(EXIT_CODE_DESCRIPTIONS) == set(ExitCode)

    def test_event_numbers_are_unique_and_have_a_part(self):
        numbers = Counter(event.number for event in events.all_events())
        assert [number for number, count in numbers.items() if count > 1] == []
        assert {number // 100 for number in numbers} <= set(docgen.EVENT_GROUP_TITLES)

    def test_severe_events_name_a_remedy(self):
        page = docgen.events_page(docgen.ROOT)
        severe = [e for e in events.all_events() if e.level is events.Level.ERROR]
        assert all(event.remedy in page for event in severe if event.remedy)
        assert [event.number for event in severe if not event.remedy] == []


class TestOperatorsPage:
    """Guards against a hand-written page that names what does not exist."""

    page = (docgen.ROOT / "docs/operators.md").read_text(encoding="utf-8")

    def test_events_exist(self):
        numbers = {event.number for event in events.all_events()}
        named = {int(text) for text in re.findall(r"\bevent (\d{3})\b", self.page)}
        assert named <= numbers
        assert named

    def test_commands_exist(self):
        used = set(re.findall(r"\barbutusladder ([a-z][a-z-]*)", self.page))
        known = set(docgen.cmdline.COMMANDS) | set(docgen.cmdline.MODULES)
        assert used <= known
        assert used

    def test_each_procedure_says_whether_it_was_tried(self):
        procedures = re.findall(r"^## Procedure: .*\n\n(.*)", self.page, re.M)
        assert len(procedures) >= 6
        for status in procedures:
            assert status.startswith(("Not yet tried.", "Tried"))
