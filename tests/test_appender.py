"""Tests of the appender against the fake log service over HTTP."""

import curio

from arbutusladder.appender import Appender, AppendState
from arbutusladder.tailer import Tailer
from tests.helpers_log import CollectedBatches, read_to_end, run_with_log


def run_with_appender(scenario, options=None, **faults):
    async def main(log, client):
        appender = Appender(client, "jobs", **(options or {}))
        task = await curio.spawn(appender.run)
        try:
            return await scenario(log, client, appender)
        finally:
            await task.cancel()

    return run_with_log(main, **faults)


class TestBatches:
    """Guards against one append per record, which exceeds the log's rate limit."""

    def test_records_queued_within_20_ms_share_an_append(self):
        async def scenario(log, client, appender):
            pending = [await appender.submit(f"{i}") for i in range(200)]
            states = {await record.wait() for record in pending}
            appends = [
                logged_call
                for logged_call in log.received_requests
                if logged_call.method == "POST"
            ]
            return states, len(appends), [record.offset for record in pending]

        states, appends, offsets = run_with_appender(scenario)
        assert states == {AppendState.CONFIRMED}
        assert appends == 1
        assert offsets == list(range(200))

    def test_append_holds_at_most_64_kb(self):
        async def scenario(log, client, appender):
            pending = [await appender.submit("x" * 20_000) for _ in range(7)]
            for record in pending:
                await record.wait()
            return [
                len(logged_call.record_ids) for logged_call in log.received_requests
            ]

        assert run_with_appender(scenario) == [3, 3, 1]

    def test_total_size_of_waiting_records_is_bounded(self):
        async def scenario(log, client, appender):
            pending = [await appender.submit("x" * 1000) for _ in range(20)]
            refused = [record.state for record in pending[9:]]
            log.faults.outage = False
            states = [await record.wait() for record in pending[:9]]
            return refused, states, appender.pending_bytes

        options = {"max_pending_bytes": 10_000}
        refused, states, left = run_with_appender(scenario, options, outage=True)
        assert set(refused) == {AppendState.NOT_APPENDED}
        assert set(states) == {AppendState.CONFIRMED}
        assert left == 0


class TestLostReply:
    """Guards against lost or duplicated records after a lost response."""

    def test_record_is_appended_again_with_its_id_and_read_once(self):
        async def scenario(log, client, appender):
            pending = await appender.append("a", give_up_after=5)
            collected = CollectedBatches()
            await read_to_end(Tailer(client, "jobs", collected))
            return pending, [record.id for record in log.records("jobs")], collected.ids

        pending, stored, read = run_with_appender(scenario, lose_replies=1)
        assert pending.state is AppendState.CONFIRMED
        assert stored == [pending.record.id] * 2
        assert read == [pending.record.id]

    def test_reading_back_confirms_while_replies_are_lost(self):
        async def scenario(log, client, appender):
            tailer = Tailer(client, "jobs", lambda b: appender.confirm(b.records))
            follower = await curio.spawn(tailer.run)
            pending = await appender.append("a")
            await follower.cancel()
            return pending.state, pending.offset

        state, offset = run_with_appender(scenario, lose_replies=1000)
        assert (state, offset) == (AppendState.CONFIRMED, 0)

    def test_unconfirmed_record_is_unknown_until_it_is_read(self):
        async def scenario(log, client, appender):
            pending = await appender.append("a", give_up_after=0.05)
            before = pending.state
            log.faults.lose_replies = 0
            await appender.confirm(log.records("jobs"))
            return before, pending.state

        states = run_with_appender(scenario, lose_replies=1000)
        assert states == (AppendState.UNKNOWN, AppendState.CONFIRMED)


class TestOutage:
    """Guards against wrong reports that a record was not appended, and lost records."""

    def test_record_reported_as_not_appended_is_not_in_the_log(self):
        async def scenario(log, client, appender):
            pending = await appender.append("a", give_up_after=0.2)
            log.faults.outage = False
            other = await appender.append("b")
            return pending.state, other.state, log.records("jobs")

        first, second, stored = run_with_appender(scenario, outage=True)
        assert (first, second) == (AppendState.NOT_APPENDED, AppendState.CONFIRMED)
        assert [record.body for record in stored] == ["b"]

    def test_record_without_deadline_is_appended_after_an_outage(self):
        async def scenario(log, client, appender):
            pending = await appender.submit("a")
            await curio.sleep(0.5)
            waiting = pending.state
            log.faults.outage = False
            return waiting, await pending.wait()

        states = run_with_appender(scenario, outage=True)
        assert states == (AppendState.WAITING, AppendState.CONFIRMED)

    def test_deadline_applies_behind_a_record_without_deadline(self):
        async def scenario(log, client, appender):
            await appender.submit("a")
            await curio.sleep(0.1)
            pending = await appender.append("b", give_up_after=0.2)
            return pending.state

        state = run_with_appender(scenario, outage=True)
        assert state is AppendState.NOT_APPENDED

    def test_timeout_is_unknown_not_refused(self):
        async def scenario(log, client, appender):
            pending = await appender.append("a", give_up_after=0.1)
            return pending.state

        state = run_with_appender(scenario, reply_delay_s=3.0)
        assert state is AppendState.UNKNOWN

    def test_order_is_kept_across_refused_appends(self):
        async def scenario(log, client, appender):
            pending = [await appender.submit(f"{i}") for i in range(5)]
            await curio.sleep(0.1)
            pending += [await appender.submit(f"{i}") for i in range(5, 10)]
            log.faults.refuse_appends = False
            for appended in pending:
                await appended.wait()
            return [record.body for record in log.records("jobs")]

        bodies = run_with_appender(scenario, refuse_appends=True)
        assert bodies == [f"{i}" for i in range(10)]

    def test_rate_limit_delays_records_but_loses_none(self):
        async def scenario(log, client, appender):
            for number in range(8):
                await appender.append(f"{number}")
            refused = [
                logged_call
                for logged_call in log.received_requests
                if logged_call.result == "429"
            ]
            return len(refused) > 0, len(log.records("jobs"))

        assert run_with_appender(scenario, rate=4.0) == (True, 8)
