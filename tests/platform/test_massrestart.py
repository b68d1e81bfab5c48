"""Tests reads of the store by many entry VMs that restart at the same time."""

import time
from urllib.parse import parse_qs, urlsplit

import curio
import msgspec
import pytest

from arbutusladder.cell.logretry import retry_until_answered
from arbutusladder.errors import HttpError
from arbutusladder.httpclient import HttpResponse
from arbutusladder.metrics import Metrics
from arbutusladder.platform.store import PlatformLog
from arbutusladder.states import Reason
from tests.virtualtime import run_in_virtual_time

# Bandwidth that all reads of the users' store share, and size of a page, in megabytes.
READ_MB_S = 80.0
PAGE_MB = 1.0
# Seconds after a mass restart within which jobs must start again on the large site.
RECOVERY_S = 15.0
# Seconds over which the processes start.
START_SPREAD_S = 0.3


class BusyStore:
    """A store that sends one page after the other, also those that nobody waits for.

    Stands in for the pool of HTTP connections to it.

    Args:
        pages: Pages of newest records.
    """

    def __init__(self, pages):
        self._pages = pages
        self._free_at = 0.0

    def now(self):
        """Returns the monotonic time in seconds."""
        return time.monotonic()

    async def request(
        self, _address, _method, path, _headers, _body, _timeout, idle_timeout
    ):
        """Returns a page, or raises an error if its first byte comes too late."""
        query = parse_qs(urlsplit(path).query)
        page = int(query.get("after", ["0"])[0]) + 1
        now = self.now()
        starts_at = max(now, self._free_at)
        self._free_at = starts_at + PAGE_MB / READ_MB_S
        if starts_at - now > idle_timeout:
            await curio.sleep(idle_timeout)
            raise HttpError(Reason.ATTEMPT_TIMEOUT, "no byte", sent=True)
        await curio.sleep(self._free_at - now)
        body = {
            "items": [{"key": str(page), "offset": page, "value": ""}],
            "end": self._pages,
            "has-more": page < self._pages,
        }
        return HttpResponse(200, [], msgspec.json.encode(body))


class TestMassRestart:
    """Pattern: 60 % of 297 entry VMs are killed at once and read all jobs again."""

    @pytest.mark.parametrize("pages", [1, 2, 3])
    def test_all_have_read_the_records_in_time(self, pages):
        """Guards against abandoned reads that keep the store busy for good.

        Three pages for each take 6.7 s of the store's bandwidth.
        """
        entry_vms = 178
        store = BusyStore(pages)
        loaded = []

        async def load(number):
            await curio.sleep(number / entry_vms * START_SPREAD_S)
            log = PlatformLog("10.0.0.1:80", store, Metrics())

            async def read():
                await log.newest("keyed.jobs")

            await retry_until_answered(read)
            loaded.append(number)

        async def main():
            async with curio.ignore_after(RECOVERY_S), curio.TaskGroup() as group:
                for number in range(entry_vms):
                    await group.spawn(load, number)

        run_in_virtual_time(main)
        assert len(loaded) == entry_vms
