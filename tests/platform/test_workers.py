"""Tests of the client of the platform's executors against scripted responses."""

import json
import math

import curio
import msgspec
import pytest
from hypothesis import given, strategies

from arbutusladder.cell.cellstate import CellState
from arbutusladder.cell.interfaces import KeyedRecord, OrderAnswer, WorkerReport
from arbutusladder.cell.jobtable import progress_item
from arbutusladder.cell.states import EndKind, JobPhase, OrderOutcome
from arbutusladder.clock import Clock
from arbutusladder.httpclient import HttpResponse
from arbutusladder.httppool import HttpConnectionPool
from arbutusladder.httpserver import HttpServer
from arbutusladder.messages import JobProgress
from arbutusladder.metrics import Metrics
from arbutusladder.platform.workers import PlatformWorkerClient, decode_registry_entry
from tests.cell import workloads

TASK = f"{workloads.job_id(1)}.0.0.0"


def renew(reply):
    """Returns the result of a lease renewal that an executor answers with a body."""

    async def answer(request):
        body = reply if isinstance(reply, bytes) else json.dumps(reply).encode()
        return HttpResponse(200, [], body)

    async def main():
        server = HttpServer("127.0.0.1:0", answer)
        await curio.spawn(server.run, daemon=True)
        entry = workloads.workers()[0]
        object.__setattr__(entry, "address", server.address)
        client = PlatformWorkerClient(HttpConnectionPool(Clock()), Metrics())
        return await client.renew(entry, 1, 0, 10.0, 0.0, math.inf)

    return curio.run(main)


class TestRoughFigure:
    """The fifth entry of a row is advisory."""

    @pytest.mark.parametrize(
        ("rest", "figure"),
        [([], None), ([180], 180.0), (["x"], None), ([-1], None), ([7, 8], 7.0)],
    )
    def test_row_counts_whatever_its_figure_is(self, rest, figure):
        """Guards against a lost report because of a missing or invalid figure."""
        answer = renew({"clock-ms": 5000, "running": [[TASK, 1, "", 5, *rest]]})
        assert [row.figure for row in answer.running] == [figure]


class TestMalformedReport:
    """Pattern: a report has rows that the published protocol does not describe."""

    @pytest.mark.parametrize(
        "reply",
        [
            {"running": [[TASK, 1, ""]]},
            {"running": [[TASK, "1", "", 5]]},
            {"running": [TASK]},
            {"ended": [[1, TASK, 1, "done"]]},
            {"ended": [["1", TASK, 1, "done", ""]]},
            {"ended": [None]},
        ],
    )
    def test_report_counts_as_unanswered(self, reply):
        """Guards against runs that count as ended because their row is unreadable."""
        answer = renew({"clock-ms": 5000} | reply)
        assert isinstance(answer, OrderAnswer)
        assert answer.outcome is OrderOutcome.MALFORMED

    def test_unknown_kind_of_end_counts_as_lapsed(self):
        """Guards against ends that are never acknowledged."""
        report = renew({"clock-ms": 5000, "ended": [[1, TASK, 1, "vanished", ""]]})
        assert isinstance(report, WorkerReport)
        assert [row.how for row in report.ended] == [EndKind.LAPSED]

    def test_further_fields_of_a_row_are_ignored(self):
        """Guards against rejecting reports of newer executors."""
        report = renew(
            {
                "clock-ms": 5000,
                "running": [[TASK, 1, "", 5, 0.7, "new"]],
                "ended": [[1, TASK, 1, "done", "", "new"]],
            }
        )
        assert report.running[0].percent == 5
        assert report.ended[0].how is EndKind.DONE

    @pytest.mark.parametrize("number", [10**400, -(10**400), 2**64, -1, "1", None, []])
    @pytest.mark.parametrize("place", ["end", "run of an end", "run", "born"])
    def test_report_with_an_unusable_number_counts_as_unanswered(self, place, number):
        """Guards against a number that the progress on the log cannot hold."""
        reply = {
            "end": {"ended": [[number, TASK, 1, "done", ""]]},
            "run of an end": {"ended": [[1, TASK, number, "done", ""]]},
            "run": {"running": [[TASK, number, "", 5]]},
            "born": {"born": number},
        }[place]
        answer = renew({"clock-ms": 5000} | reply)
        assert isinstance(answer, OrderAnswer)
        assert answer.outcome is not OrderOutcome.FENCED

    @pytest.mark.parametrize("percent", [10**300, 10**400, -(10**400), "5", None])
    def test_unusable_percentage_counts_as_unanswered(self, percent):
        """Guards against an overflow in the estimate of the executor's speed."""
        answer = renew({"clock-ms": 5000, "running": [[TASK, 1, "", percent]]})
        assert isinstance(answer, OrderAnswer)

    @pytest.mark.parametrize("clock", [10**400, 10**308, 1e300, -1, "5", []])
    def test_report_with_an_unusable_clock_counts_as_unanswered(self, clock):
        """Guards against the end of a lease that no order can hold."""
        answer = renew({"clock-ms": clock})
        assert isinstance(answer, OrderAnswer)
        assert answer.clock is None

    def test_deeply_nested_report_counts_as_unanswered(self):
        """Guards against an exceeded recursion limit that ends lease renewals."""
        for opening in (b"[", b'{"running":['):
            assert isinstance(renew(opening * 100_000), OrderAnswer)

    def test_largest_numbers_of_a_report_can_be_stored(self):
        """Guards against accepted numbers that overflow later, in the owner."""
        largest = 10**15
        state = CellState(0.0, lambda task: None)
        state.update_registry({e.vm: e for e in workloads.workers(1)}, 0.0)
        (vm,) = state.worker_by_vm
        record = workloads.quote(1)
        job = state.add_job(record, JobProgress(JobPhase.QUEUED), 0.0)
        for percent in (0, 10**9):
            report = renew(
                {
                    "clock-ms": largest,
                    "born": largest,
                    "running": [[f"{job.id}.0.0.1", largest, "", percent]],
                    "ended": [[largest, TASK, largest, "failed", ""]],
                }
            )
            state.apply_report(vm, report, percent, percent)
        assert progress_item(job.id, job.progress())
        worker = state.worker_by_vm[vm]
        lease_end = worker.grant_lease(percent, 5.0)
        assert msgspec.msgpack.encode([int(lease_end * 1000), worker.last_end_number])


ENTRY = {
    "service": "svc",
    "address": "10.0.0.1:8080",
    "zone": "z1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold-left-ms": 0,
    "capacity": {"cpu": 16000, "mem-mb": 32768, "gpu": 0},
    "labels": ["a", "r1-1"],
    "seq": 4,
    "born": 1786672645061,
}
HUGE_PARAM = pytest.param(int("9" * 400), id="huge")


def decode(entry, key="i-1"):
    """Returns the worker that an entry of the registry names; None for none."""
    value = entry if isinstance(entry, bytes) else json.dumps(entry).encode()
    return decode_registry_entry(KeyedRecord(0, key, value))


class TestMalformedRegistryEntry:
    """Pattern: another program writes an entry that names no executor."""

    def test_complete_entry_names_a_worker(self):
        """Guards against rejecting the entries of executors."""
        worker = decode(ENTRY | {"machine": "m-1", "clock-ms": 5})
        assert (worker.vm, worker.address) == ("i-1", "10.0.0.1:8080")
        assert worker.capacity.cpu == 16.0

    @pytest.mark.parametrize("field", list(ENTRY))
    @pytest.mark.parametrize("wrong", ["missing", None, [], {}, -1, True, HUGE_PARAM])
    def test_incomplete_entry_is_ignored(self, field, wrong):
        """Guards against a worker that only a fragment of an entry names."""
        entry = ENTRY | {field: wrong}
        if wrong == "missing":
            del entry[field]
        if (field, wrong) != ("labels", []):
            assert decode(entry) is None

    @pytest.mark.parametrize("field", list(ENTRY["capacity"]))
    @pytest.mark.parametrize("wrong", ["missing", "8", -1, HUGE_PARAM, 1e300, 0.5])
    def test_entry_with_an_unusable_capacity_is_ignored(self, field, wrong):
        """Guards against numbers that end every process which reads the registry."""
        capacity = ENTRY["capacity"] | {field: wrong}
        if wrong == "missing":
            del capacity[field]
        assert decode(ENTRY | {"capacity": capacity}) is None

    @pytest.mark.parametrize(
        "address",
        [
            "10.0.0.1",
            "10.0.0.1:http",
            "10.0.0.1:0",
            "10.0.0.1:65536",
            pytest.param("10.0.0.1:" + "9" * 5000, id="long port"),
            "10.0.0.1:-80",
            "10.0.0.1:8_0",
            "10.0.0.1: 80",
            "10.0.0.1:\u0668\u0660",
            "10.0.0.256:80",
            "host:80",
            ":80",
            "a:b:c",
            "",
        ],
    )
    def test_entry_with_an_unusable_address_is_ignored(self, address):
        """Guards against a worker that never reports, and errors of the socket."""
        assert decode(ENTRY | {"address": address}) is None

    @pytest.mark.parametrize("opening", ["[", '{"a":'])
    def test_deeply_nested_entry_is_ignored(self, opening):
        """Guards against an exceeded recursion limit that ends the owner."""
        text = json.dumps(ENTRY)[:-1] + ', "new": ' + opening * 100_000
        assert decode(text.encode()) is None
        closing = "]" if opening == "[" else "}"
        value = "1" if opening != "[" else ""
        assert decode((text + value + closing * 100_000 + "}").encode()) is None

    @pytest.mark.parametrize("key", ["", "i\r\nX: 1", "i 1", "\ufffd", "i" * 65])
    def test_key_that_no_header_can_hold_is_ignored(self, key):
        """Guards against an id that makes every order to the worker fail."""
        assert decode(ENTRY, key) is None

    @given(strategies.binary(max_size=200))
    def test_any_bytes_are_read(self, value):
        """Guards against an exception for bytes that nobody has thought of."""
        assert decode(value) is None
