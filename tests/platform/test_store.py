"""Tests of the log client against a fake store."""

import json
import time

import curio
import pytest

from arbutusladder.cell.interfaces import (
    OffsetDeleted,
    UnexpectedEndOffset,
    WriterFenced,
    WriterPosition,
)
from arbutusladder.clock import Clock
from arbutusladder.errors import LogUnavailable
from arbutusladder.httpclient import HttpResponse
from arbutusladder.httppool import HttpConnectionPool
from arbutusladder.metrics import Metrics
from arbutusladder.platform import store as store_client
from arbutusladder.platform.store import PlatformLog
from tests.platform.fakes import FakeStore

TOPIC = "keyed.t"


def run_with_store(scenario):
    """Runs a scenario with a fake store and a client of it."""

    async def main():
        store = FakeStore()
        await curio.spawn(store.server.run, daemon=True)
        log = PlatformLog(store.address, HttpConnectionPool(Clock()), Metrics())
        return await scenario(store, log)

    return curio.run(main)


class TestAppend:
    """Results of appends."""

    def test_appended_records_are_read_back(self):
        """Guards against framing that corrupts records."""

        async def scenario(store, log):
            await log.append(TOPIC, [("a", b"1"), ("b", b"")])
            offset = await log.append(TOPIC, [("a", b"\x00\xff" * 300)])
            batch = await log.read(TOPIC, 0)
            return offset, [(r.offset, r.key, r.value) for r in batch.records], batch

        offset, records, batch = run_with_store(scenario)
        assert offset == 2
        assert records == [(0, "a", b"1"), (1, "b", b""), (2, "a", b"\x00\xff" * 300)]
        assert (batch.end, batch.next_offset) == (3, 3)

    def test_only_one_of_two_conditional_appends_takes_effect(self):
        """Guards against two claimants that both become owner."""

        async def scenario(store, log):
            await log.append(TOPIC, [("a", b"1")], expected_end=0)
            with pytest.raises(UnexpectedEndOffset) as error:
                await log.append(TOPIC, [("a", b"2")], expected_end=0)
            return error.value.end

        assert run_with_store(scenario) == 1

    def test_lower_epoch_is_fenced(self):
        """Guards against writes by an owner that was replaced."""

        async def scenario(store, log):
            await log.set_epoch(TOPIC, WriterPosition("owner", 2, 0))
            with pytest.raises(WriterFenced):
                await log.append(
                    TOPIC, [("a", b"1")], writer=WriterPosition("owner", 1, 5)
                )
            return store.topics[TOPIC].end

        assert run_with_store(scenario) == 0

    def test_unanswered_append_takes_effect_once_when_repeated(self):
        """Guards against records that are stored twice after a lost response."""

        async def scenario(store, log):
            store.lose_replies = 1
            writer = WriterPosition("owner", 1, 1)
            with pytest.raises(LogUnavailable) as error:
                await log.append(TOPIC, [("a", b"1")], writer=writer, timeout=0.2)
            repeated_offset = await log.append(TOPIC, [("a", b"1")], writer=writer)
            return error.value.maybe_applied, repeated_offset, store.topics[TOPIC].end

        assert run_with_store(scenario) == (True, 0, 1)

    @pytest.mark.parametrize("status", [400, 403, 404, 413, 429, 503, 507])
    def test_refused_append_is_known_not_applied(self, status):
        """Guards against a refused append whose outcome is reported as unknown.

        It must not be reported as stored either.
        """

        async def scenario(store, log):
            store.refusal_status = status
            with pytest.raises(LogUnavailable) as error:
                await log.append(TOPIC, [("a", b"1")])
            return error.value.maybe_applied

        assert run_with_store(scenario) is False


class TestRead:
    """Results of reads."""

    def test_read_at_deleted_offset_raises_offset_deleted(self):
        """Guards against readers that silently skip deleted records."""

        async def scenario(store, log):
            await log.append(TOPIC, [("a", b"1"), ("b", b"2")])
            store.topics[TOPIC].first_offset = 1
            with pytest.raises(OffsetDeleted):
                await log.read(TOPIC, 0)
            return [(r.key, r.value) for r in (await log.newest(TOPIC)).records]

        assert run_with_store(scenario) == [("a", b"1"), ("b", b"2")]

    def test_newest_reads_all_pages(self):
        """Guards against a restarted process that misses jobs of later pages."""

        async def scenario(store, log):
            items = [(f"{number:05}", b"x") for number in range(1200)]
            await log.append(TOPIC, items)
            batch = await log.newest(TOPIC)
            return len(batch.records), batch.next_offset

        assert run_with_store(scenario) == (1200, 1200)

    def test_newest_goes_on_at_the_page_that_failed(self):
        """Guards against a busy store that sends the same pages again and again.

        A record of an earlier page that is written between the calls must be part of
        the next read of the topic.
        """

        async def scenario(store, log):
            items = [(f"{number:05}", b"x") for number in range(1200)]
            await log.append(TOPIC, items)
            store.refused_pages = 1
            with pytest.raises(LogUnavailable):
                await log.newest(TOPIC)
            await log.append(TOPIC, [("00001", b"y")])
            batch = await log.newest(TOPIC)
            later = await log.read(TOPIC, batch.next_offset)
            again = await log.newest(TOPIC)
            return store.pages, batch, later, len(again.records)

        pages, batch, later, again_count = run_with_store(scenario)
        last_keys = ["00499", "00999"]
        assert pages == ["", last_keys[0], *last_keys, "", *last_keys]
        assert [record.key for record in batch.records] == [
            f"{number:05}" for number in range(1200)
        ]
        assert [(r.key, r.value) for r in later.records] == [("00001", b"y")]
        assert again_count == 1200

    def test_old_pages_are_read_again(self, monkeypatch):
        """Guards against a read from an offset that the store has deleted meanwhile."""
        monkeypatch.setattr(store_client, "MAX_PAGES_AGE_S", 0.0)

        async def scenario(store, log):
            await log.append(TOPIC, [(f"{n:05}", b"x") for n in range(600)])
            store.refused_pages = 1
            with pytest.raises(LogUnavailable):
                await log.newest(TOPIC)
            await log.newest(TOPIC)
            return store.pages

        assert run_with_store(scenario) == ["", "00499", "", "00499"]

    def test_unanswered_reads_do_not_extend_later_timeouts(self):
        """Guards against detecting seconds late that the store is available again.

        The timeout of a read follows the average duration of reads; failed reads must
        not raise it.
        """

        async def scenario(store, log):
            await log.append(TOPIC, [("a", b"1")])
            await log.read(TOPIC, 0)
            store.unresponsive = True
            durations = []
            for _ in range(4):
                started_at = time.monotonic()
                with pytest.raises(LogUnavailable):
                    await log.read(TOPIC, 0)
                durations.append(time.monotonic() - started_at)
            return durations

        assert max(run_with_store(scenario)) < 0.8


class TestSlowLink:
    """Reads of megabytes after a restart, over a link of a few Mbit/s."""

    def test_slow_answer_is_read_to_the_end(self, monkeypatch):
        """Guards against restarts that never finish reading the jobs.

        Only the idle timeout applies while bytes arrive, not that of short calls.
        """
        monkeypatch.setattr("arbutusladder.platform.store.ANSWER_TIMEOUT_S", 0.3)

        async def serve(client, _address):
            body = json.dumps({"items": [], "end": 5}).encode()
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode()
            await client.recv(1000)
            await client.sendall(head)
            for index in range(len(body)):
                await curio.sleep(0.05)
                await client.sendall(body[index : index + 1])

        async def main():
            sock = curio.network.tcp_server_socket("127.0.0.1", 0)
            address = "{}:{}".format(*sock.getsockname())
            await curio.spawn(curio.network.run_server, sock, serve, daemon=True)
            log = PlatformLog(address, HttpConnectionPool(Clock()), Metrics())
            return await log.newest(TOPIC)

        assert curio.run(main).end == 5


class TestMalformedRecords:
    """Pattern: a value of the newest records cannot be decoded."""

    def test_other_records_are_read(self):
        """Guards against one record that ends every process that reads the topic."""

        async def scenario(store, log):
            await log.append(TOPIC, [("a", b"1"), ("b", b"2")])
            store.malformed_keys = {"a"}
            return await log.newest(TOPIC)

        batch = run_with_store(scenario)
        assert [(r.key, r.value) for r in batch.records] == [("b", b"2")]


class TestUnusableResponse:
    """Pattern: the store answers with a number or a form that no reader can use."""

    @pytest.mark.parametrize(
        "body",
        [
            pytest.param(b'{"offset":' + b"9" * 400 + b"}", id="hundreds of digits"),
            pytest.param(b'{"offset":' + b"9" * 5000 + b"}", id="thousands of digits"),
            b'{"offset":18446744073709551616}',
            b'{"offset":-1}',
            b'{"offset":1e400}',
            b'{"offset":NaN}',
            b'{"offset":"1"}',
            pytest.param(b"[" * 100_000, id="deeply nested"),
            pytest.param(b'{"new":' * 100_000, id="deeply nested field"),
        ],
    )
    def test_append_counts_as_unanswered(self, body):
        """Guards against an offset that no message to the owner can hold."""

        async def scenario(store, log):
            store.server._handler = answer_with(body)
            with pytest.raises(LogUnavailable) as error:
                await log.append(TOPIC, [("a", b"1")])
            return error.value.maybe_applied

        assert run_with_store(scenario) is True

    @pytest.mark.parametrize(
        "body",
        [
            b'{"items":[],"end":' + b"9" * 400 + b"}",
            b'{"items":[],"end":-1}',
            b'{"items":[{"key":"a","offset":' + b"9" * 400 + b'}],"end":1}',
            b'{"items":[{"key":"a","offset":-1}],"end":1}',
            b'{"items":' + b"[" * 100_000,
        ],
        ids=["end", "negative end", "offset", "negative offset", "deeply nested"],
    )
    def test_page_counts_as_unanswered(self, body):
        """Guards against an offset that ends the process which reads it."""

        async def scenario(store, log):
            store.server._handler = answer_with(body)
            with pytest.raises(LogUnavailable):
                await log.newest(TOPIC)

        run_with_store(scenario)


def answer_with(body):
    """Returns a handler that answers every request with a body."""

    async def handle(request):
        return HttpResponse(200, [], body)

    return handle
