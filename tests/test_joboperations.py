"""Tests of the operations on jobs."""

from types import SimpleNamespace

import curio
import pytest

from arbutusladder.clock import Clock
from arbutusladder.explain import JobExplanation
from arbutusladder.joboperations import JobOperations
from arbutusladder.messages import JobAnswer
from arbutusladder.metrics import Metrics
from arbutusladder.operatormessages import OperationRefused
from arbutusladder.states import JobState, Reason, Urgency


def explained(answer=None, ended=None, shards=("s1",)):
    """Returns what `explain` says of a job that an owner or the log knows."""

    async def call_owner(seat, message, timeout):
        return answer or JobAnswer(message.request_id, False)

    owned = {"s1": SimpleNamespace(owner="seat-1")}
    operations = JobOperations(
        SimpleNamespace(owned=lambda now: owned, domain_by_shard=dict.fromkeys(shards)),
        None,
        SimpleNamespace(job=lambda job: None, ended=lambda job: ended),
        call_owner,
        Clock(),
        Metrics(),
    )
    return curio.run(operations.explain, "j1")


class TestExplain:
    """Guards against explanations that do not say what to do."""

    def test_waiting_job_has_its_reason_and_remedy_apart(self):
        policy = JobExplanation(
            "j1",
            JobState.WAITING,
            Urgency.BATCH,
            2,
            3,
            0,
            Reason.NO_CAPACITY,
            "add workers",
        )
        answer = JobAnswer("r1", True, state="waiting", explanation=policy.lines())
        found = explained(answer)
        assert (found.reason, found.changes) == ("no_capacity", ["add workers"])
        assert len(found.lines) == 3
        assert not any("reason" in line for line in found.lines)

    @pytest.mark.parametrize("reason", ["never_fits", "attempts_exhausted"])
    def test_ended_job_says_what_happened(self, reason):
        ended = SimpleNamespace(state=JobState.FAILED, reason=reason)
        found = explained(ended=ended)
        assert (found.state, found.reason) == (JobState.FAILED, reason)
        assert found.lines and found.changes

    def test_cancelled_job_needs_nothing(self):
        ended = SimpleNamespace(state=JobState.CANCELLED, reason="cancelled")
        found = explained(ended=ended)
        assert (len(found.lines), found.changes) == (1, [])

    def test_finished_job_needs_nothing(self):
        found = explained(ended=SimpleNamespace(state=JobState.FINISHED, reason=""))
        assert (found.lines, found.changes) == ([], [])

    def test_unknown_job(self):
        assert explained() is None

    def test_job_is_not_called_unknown_while_a_shard_has_no_owner(self):
        with pytest.raises(OperationRefused) as caught:
            explained(shards=("s1", "s2"))
        assert caught.value.reason == "shard_unowned"
