"""Tests of the tailer against the fake log service over HTTP."""

import curio
import pytest

from arbutusladder.errors import LogUnavailable
from arbutusladder.messages import NewRecord
from arbutusladder.tailer import RecentRecordIds, Tailer
from tests.helpers_log import CollectedBatches, read_to_end, run_with_log


class TestFollowing:
    """Guards against missed records and against an understated age of the data."""

    def test_long_poll_delivers_a_record_without_delay(self):
        async def scenario(log, client):
            collected = CollectedBatches()
            follower = await curio.spawn(Tailer(client, "jobs", collected).run)
            await curio.sleep(0.1)
            reads = len(log.received_requests)
            await client.append("jobs", [NewRecord("a", "1")])
            await curio.sleep(0.1)
            await follower.cancel()
            return collected.ids, reads

        ids, reads = run_with_log(scenario)
        assert ids == ["a"]
        assert reads <= 3

    def test_age_counts_from_the_send_of_the_last_complete_read(self):
        async def scenario(log, client):
            tailer = Tailer(client, "jobs", CollectedBatches())
            before = tailer.age(tailer._clock.now())
            log.faults.delay_s = 0.2
            await tailer.read_once(0)
            return before, tailer.age(tailer._clock.now())

        before, after = run_with_log(scenario)
        assert before == float("inf")
        assert after >= 0.2

    def test_outage_raises_and_delivers_no_batch(self):
        async def scenario(log, client):
            collected = CollectedBatches()
            tailer = Tailer(client, "jobs", collected)
            with pytest.raises(LogUnavailable) as caught:
                await tailer.read_once(0)
            log.faults.outage = False
            await read_to_end(tailer)
            return caught.value.maybe_applied, tailer.caught_up_at is not None

        assert run_with_log(scenario, outage=True) == (False, True)


class TestLostPosition:
    """Guards against records that are missed without notice."""

    def test_dropped_records_are_reported(self):
        async def scenario(log, client):
            collected = CollectedBatches()
            tailer = Tailer(client, "jobs", collected)
            await client.append("jobs", [NewRecord("a", "1")])
            await read_to_end(tailer)
            await client.append("jobs", [NewRecord("b", "2")])
            await curio.sleep(0.3)
            await client.append("jobs", [NewRecord("c", "3")])
            batch = await tailer.read_once(0)
            return collected.lost, collected.ids, batch.start, batch.next

        lost, ids, start, end = run_with_log(scenario, retention_s=0.25)
        assert (lost, ids) == (1, ["a", "c"])
        assert (start, end) == (2, 3)

    def test_first_read_of_a_trimmed_stream_reports_lost_records(self):
        async def scenario(log, client):
            await client.append("jobs", [NewRecord("a", "1")])
            await curio.sleep(0.3)
            await client.append("jobs", [NewRecord("b", "2")])
            collected = CollectedBatches()
            await read_to_end(Tailer(client, "jobs", collected))
            return collected.lost, collected.ids

        assert run_with_log(scenario, retention_s=0.25) == (1, ["b"])


class TestRecentRecordIds:
    """Guards against unbounded memory for record ids."""

    def test_oldest_ids_are_dropped(self):
        recent_ids = RecentRecordIds(limit=3)
        assert all(recent_ids.is_new(str(number)) for number in range(10))
        assert len(recent_ids) == 3
        assert not recent_ids.is_new("9")
        assert recent_ids.is_new("0")
