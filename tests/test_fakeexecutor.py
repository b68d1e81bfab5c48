"""Tests of the fake executor's control endpoints."""

import curio

from arbutusladder.codec import from_json
from arbutusladder.fakeexecutor import ExecutorRecord, FakeExecutor
from arbutusladder.httpclient import request


def run_with_executor(scenario):
    async def main():
        executor = FakeExecutor()
        task = await curio.spawn(executor.run)
        try:
            return await scenario(executor.address)
        finally:
            await task.cancel()

    return curio.run(main)


class TestControl:
    """Guards against faults that HTTP does not set and records it does not return."""

    def test_faults_and_record_over_http(self):
        async def scenario(address):
            await request(address, "POST", "/quote?work_ms=1")
            faults = b'{"refuse": "busy"}'
            set_response = await request(address, "POST", "/v1/faults", faults)
            refused_response = await request(address, "POST", "/quote")
            record = await request(address, "GET", "/v1/record")
            invalid_response = await request(
                address, "POST", "/v1/faults", b'{"slow_s": "x"}'
            )
            return (
                set_response,
                refused_response,
                from_json(record.body, ExecutorRecord),
                invalid_response,
            )

        set_response, refused_response, record, invalid_response = run_with_executor(
            scenario
        )
        assert (set_response.status, invalid_response.status) == (204, 400)
        assert refused_response.header("Arbutusladder-Not-Run") == "busy"
        assert (len(record.runs), record.refused) == (1, 1)
        assert (record.highest_slots, record.highest_connections) == (1, 1)
        assert record.connections == 2
