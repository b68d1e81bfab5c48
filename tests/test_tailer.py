"""Tests of the tailer against the fake log service over HTTP."""

import curio
import pytest

from arbutusladder.errors import LogUnavailable
from arbutusladder.messages import NewRecord
from arbutusladder.tailer import RecentRecordIds, Tailer
from tests.helpers_log import Folded, run_with_log, settle


class TestFollowing:
    """Guards against missed records and a fold that looks fresher than it is."""

    def test_long_poll_delivers_without_delay(self):
        async def scenario(log, client):
            folded = Folded()
            follower = await curio.spawn(Tailer(client, "jobs", folded).run)
            await curio.sleep(0.1)
            reads = len(log.given)
            await client.append("jobs", [NewRecord("a", "1")])
            await curio.sleep(0.1)
            await follower.cancel()
            return folded.ids, reads

        ids, reads = run_with_log(scenario)
        assert ids == ["a"]
        assert reads <= 3

    def test_age_counts_from_the_send_of_the_last_complete_read(self):
        async def scenario(log, client):
            tailer = Tailer(client, "jobs", Folded())
            before = tailer.age(tailer._clock.now())
            log.faults.delay_s = 0.2
            await tailer.read_once(0)
            return before, tailer.age(tailer._clock.now())

        before, after = run_with_log(scenario)
        assert before == float("inf")
        assert after >= 0.2

    def test_outage_raises_and_hands_over_nothing(self):
        async def scenario(log, client):
            folded = Folded()
            tailer = Tailer(client, "jobs", folded)
            with pytest.raises(LogUnavailable) as caught:
                await tailer.read_once(0)
            log.faults.outage = False
            await settle(tailer)
            return caught.value.maybe_applied, tailer.caught_up_at is not None

        assert run_with_log(scenario, outage=True) == (False, True)


class TestLostPosition:
    """Guards against a fold that misses records without noticing."""

    def test_dropped_records_are_reported(self):
        async def scenario(log, client):
            folded = Folded()
            tailer = Tailer(client, "jobs", folded)
            await client.append("jobs", [NewRecord("a", "1")])
            await settle(tailer)
            await client.append("jobs", [NewRecord("b", "2")])
            await curio.sleep(0.3)
            await client.append("jobs", [NewRecord("c", "3")])
            batch = await tailer.read_once(0)
            return folded.lost, folded.ids, batch.start, batch.next

        lost, ids, start, end = run_with_log(scenario, retention_s=0.25)
        assert (lost, ids) == (1, ["a", "c"])
        assert (start, end) == (2, 3)

    def test_first_read_of_a_trimmed_stream_tells_the_fold(self):
        async def scenario(log, client):
            await client.append("jobs", [NewRecord("a", "1")])
            await curio.sleep(0.3)
            await client.append("jobs", [NewRecord("b", "2")])
            folded = Folded()
            await settle(Tailer(client, "jobs", folded))
            return folded.lost, folded.ids

        assert run_with_log(scenario, retention_s=0.25) == (1, ["b"])


class TestKnownIds:
    """Guards against unbounded memory for record ids."""

    def test_oldest_ids_are_forgotten(self):
        known = RecentRecordIds(limit=3)
        assert all(known.is_new(str(number)) for number in range(10))
        assert len(known) == 3
        assert not known.is_new("9")
        assert known.is_new("0")
