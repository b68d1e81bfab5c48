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


def explain_job(answer=None, ended=None, shards=("s1",)):
    """Returns the result of `explain` for a job.

    Args:
        answer: Answer of the owner; by default the job is not found.
        ended: The job's end in the log, if it has ended.
        shards: Shards of the region, of which only s1 has an owner.
    """

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
    """Guards against explanations without a remedy."""

    def test_reason_and_remedy_of_a_waiting_job_are_separated(self):
        policy_explanation = JobExplanation(
            "j1",
            JobState.WAITING,
            Urgency.BATCH,
            2,
            3,
            0,
            Reason.NO_CAPACITY,
            "add workers",
        )
        answer = JobAnswer(
            "r1", True, state="waiting", explanation=policy_explanation.lines()
        )
        explanation = explain_job(answer)
        assert (explanation.reason, explanation.changes) == (
            "no_capacity",
            ["add workers"],
        )
        assert len(explanation.lines) == 3
        assert not any("reason" in line for line in explanation.lines)

    @pytest.mark.parametrize("reason", ["never_fits", "attempts_exhausted"])
    def test_ended_job_has_lines_and_remedies(self, reason):
        ended = SimpleNamespace(state=JobState.FAILED, reason=reason)
        explanation = explain_job(ended=ended)
        assert (explanation.state, explanation.reason) == (JobState.FAILED, reason)
        assert explanation.lines and explanation.changes

    def test_cancelled_job_has_no_remedies(self):
        ended = SimpleNamespace(state=JobState.CANCELLED, reason="cancelled")
        explanation = explain_job(ended=ended)
        assert (len(explanation.lines), explanation.changes) == (1, [])

    def test_finished_job_has_no_explanation_lines(self):
        explanation = explain_job(
            ended=SimpleNamespace(state=JobState.FINISHED, reason="")
        )
        assert (explanation.lines, explanation.changes) == ([], [])

    def test_unknown_job(self):
        assert explain_job() is None

    def test_job_is_not_reported_unknown_while_a_shard_has_no_owner(self):
        with pytest.raises(OperationRefused) as caught:
            explain_job(shards=("s1", "s2"))
        assert caught.value.reason == "shard_unowned"
