"""Tests of the pool of connections to executors."""

import curio
import pytest

from arbutusladder.clock import ManualClock
from arbutusladder.connections import IDLE_TIMEOUT_S, EndpointConnectionPool
from arbutusladder.endpointlimits import EndpointLimits
from arbutusladder.errors import HttpError
from arbutusladder.fakeexecutor import FakeExecutor, Faults
from arbutusladder.states import Reason
from tests.virtualtime import run_in_virtual_time


def run_with_pool(script, connections=8):
    async def main():
        executor = FakeExecutor()
        task = await curio.spawn(executor.run)
        limits, clock = EndpointLimits(), ManualClock()
        limits.set_endpoint("x", 8, connections)
        pool = EndpointConnectionPool(limits, clock, linger_s=5.0)

        async def take(max_connection_idle=IDLE_TIMEOUT_S):
            return await pool.acquire("x", executor.address, max_connection_idle, 1.0)

        try:
            return await script(pool, take, clock, limits, executor)
        finally:
            await pool.close_all()
            await task.cancel()

    return run_in_virtual_time(main)


async def use(pool, connection):
    await connection.http.exchange("GET", "/", [], b"", 1.0)
    await pool.release(connection)


class TestReuse:
    """Guards against requests on connections that no longer work."""

    def test_recent_connection_is_reused_and_an_old_one_replaced(self):
        async def script(pool, take, clock, limits, executor):
            first = await take()
            await use(pool, first)
            clock.advance(4.9)
            second = await take()
            await use(pool, second)
            clock.advance(1.0)
            third = await take(max_connection_idle=1.0)
            await use(pool, third)
            await use(pool, fourth := await take(max_connection_idle=0.0))
            return first is second, second is third, third is fourth

        assert run_with_pool(script) == (True, False, False)

    def test_expired_idle_connections_are_closed(self):
        async def script(pool, take, clock, limits, executor):
            await use(pool, await take())
            clock.advance(IDLE_TIMEOUT_S)
            await pool.close_expired()
            return pool.idle_count("x"), limits.connections_used("x", clock.now())

        assert run_with_pool(script) == (0, 0)

    def test_idle_connection_with_unread_bytes_is_replaced(self):
        async def script(pool, take, clock, limits, executor):
            executor.set_faults(Faults(double_answer=1))
            first = await take()
            await use(pool, first)
            await curio.sleep(0.05)
            second = await take()
            return first is second, second.is_new

        assert run_with_pool(script) == (False, True)

    def test_aborted_connections_count_until_the_executor_has_closed_them(self):
        async def script(pool, take, clock, limits, executor):
            connections_taken = [await take() for _ in range(4)]
            for connection in connections_taken:
                await use(pool, connection)
            closed = await pool.abort_idle("x")
            with pytest.raises(HttpError) as caught:
                await take()
            clock.advance(5.0)
            return closed, caught.value, (await take()).is_new

        closed, error, is_new = run_with_pool(script)
        assert (closed, is_new) == (4, True)
        assert (error.reason, error.sent) == (Reason.CONNECT_FAILED, False)

    def test_idle_connection_is_closed_for_a_new_one_at_the_limit(self):
        async def script(pool, take, clock, limits, executor):
            await use(pool, await take())
            await take(max_connection_idle=0.0)
            return limits.connections_used("x", clock.now())

        assert run_with_pool(script, connections=2) == 1

    def test_failed_connect_does_not_count_as_a_connection(self):
        async def script(pool, take, clock, limits, executor):
            with pytest.raises(HttpError):
                await pool.acquire("x", "127.0.0.1:1", 0.0, 1.0)
            return limits.connections_used("x", clock.now())

        assert run_with_pool(script) == 0
