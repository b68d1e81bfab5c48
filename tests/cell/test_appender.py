"""Tests storing jobs while the log refuses appends or does not answer."""

import curio
import pytest

from arbutusladder.cell.appender import OUTAGE_THRESHOLD_S, JobAppender
from arbutusladder.cell.states import SubmissionOutcome
from arbutusladder.clock import Clock
from arbutusladder.errors import LogUnavailable


class ScriptedLog:
    """A log with scripted results of its appends.

    Attributes:
        failures: Result of each append in turn: None for success, otherwise
            ``maybe_applied`` of the error.
        rest: Result of all further appends.
        appended: Keys of the appended records.
    """

    def __init__(self, *failures, rest=None):
        self.failures = list(failures)
        self.rest = rest
        self.appended = []

    async def append(self, topic, items, timeout=1.0):
        """Appends, or fails with the next scripted result."""
        failure = self.failures.pop(0) if self.failures else self.rest
        if failure is not None:
            raise LogUnavailable("scripted", maybe_applied=failure)
        self.appended += [key for key, _ in items]
        return len(self.appended) - len(items)


def store(log, wait=1.0, in_doubt=False, failing_for=None):
    """Stores one item; returns its outcome and the keys reported as in doubt.

    Args:
        log: Log to append to.
        wait: Seconds until the deadline.
        in_doubt: Whether an earlier append of the key may take effect.
        failing_for: Seconds for which appends have failed already; None for none.
    """

    async def main():
        clock, in_doubt_keys = Clock(), []

        async def on_stored(records):
            pass

        async def record_in_doubt(keys):
            in_doubt_keys.extend(keys)

        appender = JobAppender(log, clock, on_stored, record_in_doubt)
        task = await curio.spawn(appender.run, daemon=True)
        if failing_for:
            appender._failing_since = clock.now() - failing_for
        outcome = await appender.store(("k", b"v"), clock.now() + wait, in_doubt)
        await task.cancel()
        return outcome, in_doubt_keys

    return curio.run(main)


class TestStore:
    """Outcomes of storing an item."""

    def test_refused_append_is_retried(self):
        """Guards against refusing an item after a single refused append."""
        log = ScriptedLog(False, False)
        assert store(log) == (SubmissionOutcome.ACCEPTED, [])
        assert log.appended == ["k"]

    def test_item_refused_on_every_append_is_not_stored(self):
        """Guards against answering ``UNKNOWN`` where the outcome is certain."""
        assert store(ScriptedLog(rest=False)) == (SubmissionOutcome.NOT_STORED, [])

    @pytest.mark.parametrize("after", [True, False])
    def test_unanswered_append_is_never_reported_as_not_stored(self, after):
        """Guards against refusing a job that runs after all."""
        log = ScriptedLog(True, rest=after)
        assert store(log, wait=0.4) == (SubmissionOutcome.UNKNOWN, ["k"])

    def test_outage_refuses_at_once(self):
        """Guards against making clients wait until their deadline."""
        log = ScriptedLog(rest=False)
        assert (
            store(log, failing_for=OUTAGE_THRESHOLD_S + 1)[0]
            is SubmissionOutcome.NOT_STORED
        )
        assert log.appended == []

    def test_item_in_doubt_is_tried_during_an_outage(self):
        """Guards against ``NOT_STORED`` for an id that another entry VM appended."""
        log = ScriptedLog(rest=False)
        outcome, _ = store(
            log, wait=0.3, in_doubt=True, failing_for=OUTAGE_THRESHOLD_S + 1
        )
        assert outcome is SubmissionOutcome.UNKNOWN
