"""Tests of the bodies of job submissions, which clients write."""

import json
from types import SimpleNamespace

import curio
import msgspec
import pytest
from hypothesis import given, strategies

from arbutusladder.access.configview import ConfigView
from arbutusladder.cell import jobtable
from arbutusladder.cell.advicecalls import AdviceCapacity
from arbutusladder.cell.cellstate import CellState
from arbutusladder.cell.interfaces import KeyedRecord
from arbutusladder.cell.placement import Placer
from arbutusladder.cell.states import JobPhase, SubmissionOutcome
from arbutusladder.clock import ManualClock
from arbutusladder.httpserver import HttpRequest
from arbutusladder.messages import JobProgress, QueueTerms
from arbutusladder.metrics import Metrics
from arbutusladder.platform.clientapi import ClientApi, retry_after_s
from arbutusladder.platform.jobbody import decode_job
from arbutusladder.platform.routes import Queue, RoutingTable
from tests.cell import workloads

JOB_ID = workloads.job_id(1)
TERMS = QueueTerms("q", "svc", 1, stretch=2.0, objective_s=1.0)
STEP_FIELDS = [
    "count",
    "cpu",
    "mem-mb",
    "gpu",
    "estimate-ms",
    "max-per-server",
    "target-ms",
    "allow-miss",
]
JOB_FIELDS = ["times", "first-ms", "interval-ms"]
# JSON texts of values that are no usable number, by the name of their test.
UNUSABLE = {
    "hundreds of digits": "9" * 400,
    "thousands of digits": "9" * 5000,
    "negative, hundreds of digits": "-" + "9" * 400,
    "above 64 bits": str(2**64),
    "infinite": "1e400",
    "negative infinite": "-1e400",
    "near the largest float": "1e308",
    "negative": "-1",
    "text": '"8"',
    "text of NaN": '"NaN"',
    "null": "null",
    "truth value": "true",
    "list": "[1]",
    "object": "{}",
}
UNUSABLE_PARAMS = [pytest.param(text, id=name) for name, text in UNUSABLE.items()]


def body_with(field, text):
    """Returns a body in which a field of the job or its second step has a JSON text."""
    first = '"spec": "x", "steps": [{"cpu": 500}, {"after": [0]'
    if field in JOB_FIELDS:
        return f'{{{first}}}], "{field}": {text}}}'.encode()
    if field == "after":
        return f'{{"steps": [{{}}, {{"after": [{text}]}}]}}'.encode()
    return f'{{{first}, "{field}": {text}}}]}}'.encode()


def decode(body):
    """Returns the job of a body, submitted at time 0 of the wall clock."""
    return decode_job(JOB_ID, body, TERMS, 0.0)


def submit(body):
    """Returns the status, the decoded body and the jobs stored for a submission."""
    stored = []

    async def store(record, deadline):
        stored.append(jobtable.submission_item(record))
        return SubmissionOutcome.ACCEPTED

    queue = Queue(TERMS, "q.example", "/jobs/", 3.0)
    view = ConfigView(2.0)
    view.apply(RoutingTable(1, {"q.example": [queue]}), now=0.0)
    api = ClientApi(
        SimpleNamespace(submit=store, loaded=True),
        view,
        ManualClock(),
        SimpleNamespace(write=lambda event, **fields: None),
        Metrics(),
    )
    path = f"/jobs/{JOB_ID}"
    request = HttpRequest("POST", path, path, body=body, host="q.example")
    answer = curio.run(api.handle, request)
    return answer.status, json.loads(answer.body), stored


class TestUnusableNumber:
    """Pattern: a client sends a number that no job can have."""

    @pytest.mark.parametrize("field", [*STEP_FIELDS, *JOB_FIELDS, "after"])
    @pytest.mark.parametrize("text", UNUSABLE_PARAMS)
    def test_submission_is_answered_with_the_field_and_the_remedy(self, field, text):
        """Guards against a connection that is closed without a response."""
        status, answer, stored = submit(body_with(field, text))
        assert (status, stored) == (400, [])
        assert field in answer["error"]
        assert "submit the job again" in answer["error"]

    @pytest.mark.parametrize("text", ["NaN", "Infinity", "-Infinity"])
    @pytest.mark.parametrize("field", [*STEP_FIELDS, *JOB_FIELDS, "after"])
    def test_number_that_json_lacks_is_answered_with_the_remedy(self, field, text):
        """Guards against no response; the error names the byte instead of the field."""
        status, answer, stored = submit(body_with(field, text))
        assert (status, stored) == (400, [])
        assert "(byte " in answer["error"]
        assert "submit the job again" in answer["error"]


class TestUnreadableBody:
    """Pattern: a client sends a body that is no job."""

    @pytest.mark.parametrize("opening", ["[", '{"a":', '{"steps":[', '{"new":['])
    def test_deeply_nested_body_is_answered(self, opening):
        """Guards against an exceeded recursion limit and no response."""
        status, answer, stored = submit(opening.encode() * 100_000)
        assert (status, stored) == (400, [])
        assert "submit the job again" in answer["error"]

    @pytest.mark.parametrize(
        "body",
        [b"", b"null", b"[]", b"{}", b'{"steps":[]}', b'{"steps":{}}', b"\xff"]
        + [rb'{"spec":"\ud800","steps":[{}]}', b'{"spec":"\xff","steps":[{}]}']
        + [b'{"steps":[null]}', b'{"steps":[{"count":0}]}'],
    )
    def test_other_value_is_answered(self, body):
        """Guards against no response to a body of another type."""
        status, answer, stored = submit(body)
        assert (status, stored) == (400, [])
        assert "submit the job again" in answer["error"]

    @given(strategies.binary(max_size=200))
    def test_any_bytes_are_read(self, body):
        """Guards against an exception for bytes that nobody has thought of."""
        with pytest.raises(msgspec.MsgspecError):
            decode(body)


class TestPermittedNumbers:
    """Pattern: numbers at the edges of what the published protocol permits."""

    def test_examples_of_the_protocol_are_accepted(self):
        """Guards against bounds that refuse ordinary jobs."""
        record = decode(
            b'{"spec":"(text)","steps":[{"count":4,"cpu":500,"mem-mb":256,'
            b'"estimate-ms":900,"affinity":"r1-3"},{"count":20,"cpu":2000,'
            b'"mem-mb":1024,"estimate-ms":7000,"after":[0],"checkpoints":true}],'
            b'"times":3,"first-ms":1786672645061.5,"interval-ms":250}'
        )
        assert [step.count for step in record.steps] == [4, 20]
        assert record.first_at == pytest.approx(1786672645.0615)

    @pytest.mark.parametrize("field", [*STEP_FIELDS, *JOB_FIELDS])
    def test_zero_is_accepted(self, field):
        """Guards against refusing a value that clients may also omit."""
        if field != "count":
            decode(body_with(field, "0"))

    @pytest.mark.parametrize("stretch", [0.0, 10.0**9])
    def test_largest_numbers_can_be_stored_and_scheduled(self, stretch):
        """Guards against accepted numbers that overflow later, in an entry VM or owner.

        ``count`` and ``times`` are small, as tasks are held in memory.
        """
        step = dict.fromkeys(STEP_FIELDS, 10**9) | {"count": 2}
        step |= {"estimate-ms": 10**15, "target-ms": 10**15}
        job = {"steps": [step, step | {"after": [0]}, step | {"gang": True}]}
        job |= {"times": 2, "first-ms": 10**15, "interval-ms": 10**15}
        terms = QueueTerms("q", "svc", 1, stretch=stretch, objective_s=10.0**12)
        record = decode_job(JOB_ID, json.dumps(job).encode(), terms, 0.0)
        assert 1 <= retry_after_s(record) <= 3
        table = jobtable.JobTable()
        key, value = jobtable.submission_item(record)
        assert table.apply_jobs([KeyedRecord(0, key, value)]) == [JOB_ID]
        state = CellState(0.0, table.task_need)
        state.update_registry({e.vm: e for e in workloads.workers(2)}, 0.0)
        for worker in state.worker_by_vm.values():
            worker.record_answer(0.0, 0.0)
        stored = table.job_by_id[JOB_ID].record
        state.add_job(stored, JobProgress(JobPhase.QUEUED), 0.0, inherited=True)
        assert Placer(state).decide(2.0 * 10**12 + 1, AdviceCapacity(8, 6)) == []
