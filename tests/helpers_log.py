"""Helpers for tests against the fake log service."""

import curio

from arbutusladder.fakelog import FakeLog, Faults
from arbutusladder.logclient import LogClient

TEST_TIMEOUT_S = 30


def run_with_log(scenario, **faults):
    """Runs ``scenario(log, client)`` against a fake log service over HTTP."""

    async def main():
        log = FakeLog(faults=Faults(**faults))
        server = await curio.spawn(log.run)
        client = LogClient(log.address, timeout=1.0)
        try:
            async with curio.timeout_after(TEST_TIMEOUT_S):
                return await scenario(log, client)
        finally:
            await client.close()
            await log.stop()
            await server.cancel()

    return curio.run(main)


async def read_to_end(tailer, count=10):
    """Reads batches until the end of the stream is reached."""
    for _ in range(count):
        if (await tailer.read_once(0)).caught_up:
            return


class CollectedBatches:
    """Batch handler that collects the records of a tailer."""

    def __init__(self):
        self.records = []
        self.lost = 0

    async def __call__(self, batch):
        self.lost += batch.lost
        self.records += batch.records

    @property
    def ids(self):
        return [record.id for record in self.records]
