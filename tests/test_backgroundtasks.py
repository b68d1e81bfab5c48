"""Tests of background tasks whose failure is logged."""

import logging

import curio
import pytest

from arbutusladder import journal
from arbutusladder.backgroundtasks import spawn_logged
from arbutusladder.events import BACKGROUND_TASK_FAILED
from tests.virtualtime import run_in_virtual_time


class FakeJournal:
    """Journal that records the events that are written."""

    def __init__(self):
        self.events = []

    def write(self, event, **fields):
        self.events.append((event, fields))


async def fail(text):
    raise ValueError(text)


class TestSpawnLogged:
    """Guards against tasks that fail without a line in the log."""

    def test_failure_is_logged_without_a_join(self):
        fake_journal = FakeJournal()

        async def scenario():
            await spawn_logged(fake_journal, "claim of s1", fail, "lost")
            await curio.sleep(0.01)

        run_in_virtual_time(scenario)
        [(event, fields)] = fake_journal.events
        assert (event, fields["task"]) == (BACKGROUND_TASK_FAILED, "claim of s1")
        assert "in fail" in fields["error"] and "lost" in fields["error"]

    def test_join_raises_the_failure(self):
        async def scenario():
            task = await spawn_logged(FakeJournal(), "name", fail, "lost")
            await task.join()

        with pytest.raises(curio.TaskError):
            run_in_virtual_time(scenario)

    def test_cancellation_is_not_logged_as_failure(self):
        fake_journal = FakeJournal()

        async def scenario():
            task = await spawn_logged(fake_journal, "name", curio.sleep, 100)
            await curio.sleep(0)
            await task.cancel()

        run_in_virtual_time(scenario)
        assert fake_journal.events == []


class TestCurioLogger:
    """Guards against log lines of curio that are not JSON and need no action."""

    def test_warnings_are_left_out(self, monkeypatch):
        monkeypatch.setattr(journal.JsonHandler, "push_application", lambda self: None)
        journal.configure("info")
        logger = logging.getLogger("curio.timequeue")
        assert not logger.isEnabledFor(logging.WARNING)
        assert logger.isEnabledFor(logging.ERROR)
