"""Tests of reads that concurrent callers share."""

import curio
import pytest

from arbutusladder.cell.sharedread import SharedRead
from arbutusladder.errors import LogUnavailable
from tests.virtualtime import run_in_virtual_time

READ_S = 0.05


class SlowReader:
    """Reads slowly over one link.

    Attributes:
        begun: Number of reads begun.
        active: Number of reads in progress.
        most_active: Highest number of reads in progress at the same time.
        failing: Whether reads fail.
    """

    def __init__(self):
        self.begun = self.active = self.most_active = 0
        self.failing = False

    async def read(self):
        """Reads, or fails after as long."""
        self.begun += 1
        self.active += 1
        self.most_active = max(self.most_active, self.active)
        await curio.sleep(READ_S)
        self.active -= 1
        if self.failing:
            raise LogUnavailable("scripted", maybe_applied=False)


class TestManyLookups:
    """Pattern: clients ask an entry VM behind a slow link for unknown jobs."""

    def run_lookups(self, reader, count):
        """Makes concurrent reads; returns their errors."""
        shared = SharedRead(reader.read, LogUnavailable)

        async def main():
            tasks = []
            for _ in range(count):
                tasks.append(await curio.spawn(shared.run))
                await curio.sleep(READ_S / 10)
            errors = []
            for task in tasks:
                try:
                    await task.join()
                except curio.TaskError as error:
                    errors.append(error.__cause__)
            return errors

        return run_in_virtual_time(main)

    def test_concurrent_lookups_share_reads(self):
        """Guards against transferring the same records once for each lookup."""
        reader = SlowReader()
        assert self.run_lookups(reader, 20) == []
        assert reader.most_active == 1
        assert reader.begun <= 4

    def test_read_begins_after_the_call_that_it_answers(self):
        """Guards against a job that is unknown although it was stored before."""
        reader = SlowReader()
        shared = SharedRead(reader.read, LogUnavailable)

        async def main():
            first = await curio.spawn(shared.run)
            await curio.sleep(READ_S / 2)
            await shared.run()
            await first.join()

        run_in_virtual_time(main)
        assert reader.begun == 2

    def test_failure_ends_all_calls_that_wait_for_the_read(self):
        """Guards against lookups that time out one after the other in an outage."""
        reader = SlowReader()
        reader.failing = True
        errors = self.run_lookups(reader, 10)
        assert len(errors) == 10
        assert all(isinstance(error, LogUnavailable) for error in errors)
        assert reader.begun <= 3

    def test_read_after_a_failed_one_succeeds(self):
        """Guards against an error that outlives its read."""
        reader = SlowReader()
        shared = SharedRead(reader.read, LogUnavailable)

        async def main():
            reader.failing = True
            with pytest.raises(LogUnavailable):
                await shared.run()
            reader.failing = False
            await shared.run()

        run_in_virtual_time(main)
        assert reader.begun == 2


class TestCancelledSharedRead:
    """Pattern: the renewal tasks of an owner that ends are cancelled during a read."""

    def test_waiting_caller_gets_its_own_read(self):
        """Guards against 410 for a stored job, because no read was made."""

        async def main():
            ended, may_end = [], [curio.Event() for _ in range(3)]
            begun = []

            async def read():
                number = len(begun)
                begun.append(number)
                await may_end[number].wait()
                ended.append(number)

            shared = SharedRead(read, LogUnavailable)
            poll = await curio.spawn(shared.run)
            await curio.sleep(0.1)
            renewal = await curio.spawn(shared.run)
            await curio.sleep(0.1)
            lookup = await curio.spawn(shared.run)
            await curio.sleep(0.1)
            await may_end[0].set()
            await poll.join()
            await curio.sleep(0.1)
            await renewal.cancel()
            await may_end[1].set()
            await may_end[2].set()
            await lookup.join()
            return begun, ended

        begun, ended = run_in_virtual_time(main)
        # The second read, which the lookup waits for as well, was cancelled.
        assert begun == [0, 1, 2]
        assert ended == [0, 2]
