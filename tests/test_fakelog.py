"""Tests of the fake log service in a separate process."""

import subprocess
import sys

import curio
import pytest

from arbutusladder.codec import to_json
from arbutusladder.errors import LogUnavailable
from arbutusladder.httpclient import request
from arbutusladder.logclient import LogClient
from arbutusladder.messages import NewRecord


@pytest.fixture
def log_address():
    command = [sys.executable, "-m", "arbutusladder.fakelog", "--listen=127.0.0.1:0"]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    yield process.stdout.readline().strip()
    process.terminate()
    process.wait(10)
    process.stdout.close()


class TestProcess:
    """Guards against faults that have no effect when set over HTTP."""

    def test_faults_over_http(self, log_address):
        async def scenario():
            client = LogClient(log_address, timeout=2.0)

            async def outcome(**faults):
                body = to_json(faults)
                response = await request(log_address, "POST", "/v1/faults", body)
                try:
                    await client.append("jobs", [NewRecord("a", "1")])
                    return response.status, "confirmed"
                except LogUnavailable as error:
                    return response.status, error.maybe_applied

            outcomes = [
                await outcome(outage=True),
                await outcome(outage=False, refuse_appends=True),
                await outcome(refuse_appends=False, lose_replies=1),
                await outcome(),
                await outcome(unknown_switch=1),
            ]
            result = await client.read("jobs", 0)
            await client.close()
            return outcomes, [record.offset for record in result.records]

        outcomes, offsets = curio.run(scenario)
        assert outcomes == [
            (200, False),
            (200, False),
            (200, True),
            (200, "confirmed"),
            (400, "confirmed"),
        ]
        assert offsets == [0, 1, 2]
