"""Storing jobs on a log that refuses, loses answers or goes silent."""

import curio
import pytest

from arbutusladder.cell.appender import OUTAGE_THRESHOLD_S, JobAppender
from arbutusladder.cell.states import SubmissionOutcome
from arbutusladder.clock import Clock
from arbutusladder.errors import LogUnavailable


class ScriptedLog:
    """A log whose appends fail in a given way; None succeeds.

    Attributes:
        failures: ``maybe_applied`` of each failing append, in order.
    """

    def __init__(self, *failures, rest=None):
        self.failures = list(failures)
        self.rest = rest
        self.appended = []

    async def append(self, topic, items, timeout=1.0):
        """Appends or fails as scripted."""
        failure = self.failures.pop(0) if self.failures else self.rest
        if failure is not None:
            raise LogUnavailable("scripted", maybe_applied=failure)
        self.appended += [key for key, _ in items]
        return len(self.appended) - len(items)


def store(log, wait=1.0, in_doubt=False, first=None):
    """Returns the outcome of one item, and the keys told to be in doubt."""

    async def main():
        clock, doubted = Clock(), []

        async def stored(records):
            pass

        async def note(keys):
            doubted.extend(keys)

        appender = JobAppender(log, clock, stored, note)
        task = await curio.spawn(appender.run, daemon=True)
        if first:
            appender._failing_since = clock.now() - first
        outcome = await appender.store(("k", b"v"), clock.now() + wait, in_doubt)
        await task.cancel()
        return outcome, doubted

    return curio.run(main)


class TestStore:
    """Outcomes of handing an item in."""

    def test_refused_append_is_tried_again(self):
        """Guards against a refusal after a single busy answer."""
        log = ScriptedLog(False, False)
        assert store(log) == (SubmissionOutcome.ACCEPTED, [])
        assert log.appended == ["k"]

    def test_item_that_was_only_refused_is_not_stored(self):
        """Guards against an unclear answer where a clear one is possible."""
        assert store(ScriptedLog(rest=False)) == (SubmissionOutcome.NOT_STORED, [])

    @pytest.mark.parametrize("after", [True, False])
    def test_unanswered_append_is_never_called_not_stored(self, after):
        """Guards against a refusal of a job that runs after all."""
        log = ScriptedLog(True, rest=after)
        assert store(log, wait=0.4) == (SubmissionOutcome.UNKNOWN, ["k"])

    def test_outage_refuses_at_once(self):
        """Guards against clients held until their deadline."""
        log = ScriptedLog(rest=False)
        assert (
            store(log, first=OUTAGE_THRESHOLD_S + 1)[0] is SubmissionOutcome.NOT_STORED
        )
        assert log.appended == []

    def test_item_in_doubt_is_tried_during_an_outage(self):
        """Guards against 'never runs' for an id that another entry VM appended."""
        log = ScriptedLog(rest=False)
        outcome, _ = store(log, wait=0.3, in_doubt=True, first=OUTAGE_THRESHOLD_S + 1)
        assert outcome is SubmissionOutcome.UNKNOWN
