"""Tests of the client of the platform's executors against scripted responses."""

import json

import curio
import pytest

from arbutusladder.cell.interfaces import KeyedRecord, OrderAnswer, WorkerReport
from arbutusladder.cell.states import EndKind, OrderOutcome
from arbutusladder.clock import Clock
from arbutusladder.httpclient import HttpResponse
from arbutusladder.httppool import HttpConnectionPool
from arbutusladder.httpserver import HttpServer
from arbutusladder.metrics import Metrics
from arbutusladder.platform.workers import PlatformWorkerClient, decode_registry_entry
from tests.cell import workloads

TASK = f"{workloads.job_id(1)}.0.0.0"


def renew(reply):
    """Returns the result of a lease renewal that an executor answers with a body."""

    async def answer(request):
        return HttpResponse(200, [], json.dumps(reply).encode())

    async def main():
        server = HttpServer("127.0.0.1:0", answer)
        await curio.spawn(server.run, daemon=True)
        entry = workloads.workers()[0]
        object.__setattr__(entry, "address", server.address)
        client = PlatformWorkerClient(HttpConnectionPool(Clock()), Metrics())
        return await client.renew(entry, 1, 0, 10.0, 0.0)

    return curio.run(main)


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


class TestMalformedRegistryEntry:
    """Pattern: another program writes an entry that names no executor."""

    @pytest.mark.parametrize(
        "address",
        ["10.0.0.1", "10.0.0.1:http", "10.0.0.1:0", "host:80", ":80", "a:b:c"],
    )
    def test_entry_with_an_unusable_address_is_ignored(self, address):
        """Guards against a worker that never reports and so delays each takeover."""
        entry = {
            "service": "svc",
            "address": address,
            "state": "ready",
            "capacity": {"cpu": 1000},
        }
        record = KeyedRecord(0, "i-1", json.dumps(entry).encode())
        assert decode_registry_entry(record) is None
