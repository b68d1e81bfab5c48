"""Tests of a takeover whose read of the progress was begun before the claim."""

import base64
from urllib.parse import parse_qs, urlsplit

import msgspec
import pytest

from arbutusladder.cell.jobtable import PROGRESS_TOPIC, JobTable, progress_item
from arbutusladder.cell.states import JobPhase
from arbutusladder.clock import Clock
from arbutusladder.errors import HttpError, LogUnavailable
from arbutusladder.httpclient import HttpResponse
from arbutusladder.messages import (
    JobProgress,
    ProgressRelay,
    RelayedState,
    StageProgress,
)
from arbutusladder.metrics import Metrics
from arbutusladder.platform.store import PlatformLog
from arbutusladder.states import Reason
from tests.cell import workloads
from tests.cell.inprocess import InProcessCell
from tests.virtualtime import run_in_virtual_time


class PagedStore:
    """Stands in for the connections to a store; serves two newest records a page.

    Attributes:
        failing: Whether the next page after the first gets no answer.
    """

    def __init__(self):
        self.records = []
        self.failing = False

    def now(self):
        return Clock().now()

    async def request(
        self, address, method, path, headers, body, timeout, idle_timeout=None
    ):
        url = urlsplit(path)
        query = {key: value[0] for key, value in parse_qs(url.query).items()}
        if url.path == "/v1/log-newest":
            return self._newest(query.get("after", ""))
        offset = int(query["from"])
        answer = len(self.records).to_bytes(8, "big") + bytes(8)
        for key, value in self.records[offset:]:
            content = bytes((len(key),)) + key.encode() + value
            answer += len(content).to_bytes(4, "big") + content
        return HttpResponse(200, [], answer)

    def _newest(self, after):
        if after and self.failing:
            raise HttpError(Reason.ATTEMPT_TIMEOUT, "no answer", sent=True)
        offset_by_key = {key: n for n, (key, _) in enumerate(self.records)}
        keys = sorted(key for key in offset_by_key if key > after)
        items = [
            {
                "key": key,
                "offset": offset_by_key[key],
                "value": base64.b64encode(self.records[offset_by_key[key]][1]).decode(),
            }
            for key in keys[:2]
        ]
        page = {"items": items, "end": len(self.records), "has-more": len(keys) > 2}
        return HttpResponse(200, [], msgspec.json.encode(page))


class TestResumedPages:
    """Pattern: pages of the progress were begun before the claim, and one failed."""

    def test_successor_knows_the_finished_tasks(self):
        """Guards against a successor that starts finished tasks again.

        The first page was read before the predecessor stored the end; the later page
        was answered by another entry VM, so that the first one is kept for 8 s. The
        relay of the end carries no tasks, but moves the position.
        """

        async def main():
            cell = InProcessCell(vms="a")
            await cell.start()
            member = cell.member_by_vm["a"]
            store = PagedStore()
            ids = [workloads.job_id(number) for number in range(1, 5)]
            running = JobProgress(JobPhase.RUNNING)
            store.records += [progress_item(job_id, running) for job_id in ids]
            platform = PlatformLog("store", store, Metrics())
            helper = PlatformLog("store", store, Metrics())
            store.failing = True
            with pytest.raises(LogUnavailable):
                await platform.newest(PROGRESS_TOPIC)
            store.failing = False
            # The read at the start, as another entry VM answers it.
            batch = await helper.newest(PROGRESS_TOPIC)
            member.table = JobTable()
            member._progress_position.offset = 0
            member.table.apply_progress(batch.records)
            member._progress_position.record_read(batch.next_offset)
            done = JobProgress(JobPhase.RUNNING, [StageProgress(0, 0, done=[0])])
            offset = len(store.records)
            store.records.append(progress_item(ids[0], done))
            state = RelayedState(ids[0], JobPhase.RUNNING)
            member.apply_relay(ProgressRelay(offset, [state], 1))
            # The takeover.
            member.log = platform
            await member.reload_progress()
            await cell.stop()
            return member.table.job_by_id[ids[0]].progress

        progress = run_in_virtual_time(main)
        assert [stage.done for stage in progress.stages] == [[0]]
