"""Tests of daemon tasks whose failure is logged."""

import logging

import curio
import pytest

from arbutusladder import journal
from arbutusladder.backgroundtasks import spawn_logged
from arbutusladder.events import BACKGROUND_TASK_FAILED


class Lines:
    """A journal that keeps what is written."""

    def __init__(self):
        self.written = []

    def write(self, event, **fields):
        self.written.append((event, fields))


async def fail(text):
    raise ValueError(text)


class TestSpawnLogged:
    """Guards against tasks that die without a line in the log."""

    def test_failure_is_logged_without_a_join(self):
        lines = Lines()

        async def scene():
            await spawn_logged(lines, "claim of s1", fail, "lost")
            await curio.sleep(0.01)

        curio.run(scene)
        [(event, fields)] = lines.written
        assert (event, fields["task"]) == (BACKGROUND_TASK_FAILED, "claim of s1")
        assert "in fail" in fields["error"] and "lost" in fields["error"]

    def test_join_raises_the_failure(self):
        async def scene():
            task = await spawn_logged(Lines(), "name", fail, "lost")
            await task.join()

        with pytest.raises(curio.TaskError):
            curio.run(scene)

    def test_cancellation_is_no_failure(self):
        lines = Lines()

        async def scene():
            task = await spawn_logged(lines, "name", curio.sleep, 100)
            await curio.sleep(0)
            await task.cancel()

        curio.run(scene)
        assert lines.written == []


class TestCurioLogger:
    """Guards against lines of curio that are no JSON and need no action."""

    def test_warnings_are_left_out(self, monkeypatch):
        monkeypatch.setattr(journal.JsonHandler, "push_application", lambda self: None)
        journal.configure("info")
        logger = logging.getLogger("curio.timequeue")
        assert not logger.isEnabledFor(logging.WARNING)
        assert logger.isEnabledFor(logging.ERROR)
