"""Tests of what an owner must know of stored cancellations before it starts tasks."""

import curio
import pytest

from arbutusladder.cell.interfaces import KeyedRecord
from arbutusladder.cell.jobtable import (
    JOBS_TOPIC,
    cancellation_key,
    submission_item,
)
from arbutusladder.cell.states import JobPhase, OrderOutcome, SubmissionOutcome
from arbutusladder.clock import Clock
from arbutusladder.messages import (
    JobsRelay,
    LogCall,
    MemberHello,
    RelayedState,
)
from tests.cell import workloads
from tests.cell.inprocess import InProcessCell
from tests.cell.test_owner import ScriptedOrders, make_order, make_owner
from tests.virtualtime import run_in_virtual_time

# Seconds after an acknowledged cancellation from which no task of its job may start,
# the shortest bound of the users' sites.
CANCEL_S = 3.0
DEADLINE_S = 2.0
# Seconds for which the owner's reads get no answer.
FAULT_S = 8.0


def lose_relays(sender, seat, message):
    """Whether a message is a relay of stored submissions and cancellations."""
    return isinstance(message, JobsRelay)


def lose_forwarded_reads(sender, seat, message):
    """Whether a message is a read of the jobs for another entry VM."""
    return isinstance(message, LogCall) and message.topic == JOBS_TOPIC


async def submit(member, record):
    """Submits a job."""
    deadline = Clock().now() + DEADLINE_S
    assert await member.submit(record, deadline) is SubmissionOutcome.ACCEPTED


async def cancel(member, record):
    """Cancels a job; returns the time of the acknowledgement."""
    deadline = Clock().now() + DEADLINE_S
    outcome = await member.cancel(record.job_id, deadline)
    assert outcome is SubmissionOutcome.ACCEPTED
    return Clock().now()


class TestLateCancellation:
    """Pattern: jobs wait for room while the owner's reads of the log get no answer.

    Its appends are answered, so its ownership stays confirmed.
    """

    async def play(self, drops):
        """Cancels a waiting job at another entry VM; returns late starts of it."""
        cell = InProcessCell(task_s=CANCEL_S + 1.5)
        await cell.start()
        owner = cell.member_by_vm[cell.owner_vm]
        other = cell.member_by_vm[cell.other_vms()[0]]
        # The first two jobs occupy both workers.
        jobs = [workloads.quote(number, count=1, cpu=60.0) for number in range(1, 4)]
        for job in jobs:
            await submit(owner, job)
            await curio.sleep(0.1)
        await other.read_jobs()
        cell.access_by_vm[cell.owner_vm].silent_topics.add(JOBS_TOPIC)
        cell.bus.drops += drops
        cancelled_at = await cancel(other, jobs[2])
        await curio.sleep(FAULT_S)
        await cell.stop()
        return [
            at - cancelled_at
            for at, _, task in cell.workers.starts
            if task.startswith(jobs[2].job_id) and at > cancelled_at + CANCEL_S
        ]

    @pytest.mark.parametrize(
        "drops",
        [[lose_relays], [lose_forwarded_reads], [lose_relays, lose_forwarded_reads]],
        ids=["relay", "read", "relay and read"],
    )
    def test_no_task_of_a_cancelled_job_starts(self, drops):
        """Guards against an owner that acts on a view of unknown age."""
        assert run_in_virtual_time(self.play, drops) == []


class TestUnstoredEnd:
    """Pattern: the log is slow, the owner announces an end and is then replaced."""

    @staticmethod
    async def announce_end(cell, vm, record):
        """Lets an entry VM hear of an end that the log does not contain."""
        member = cell.member_by_vm[vm]
        await submit(member, record)
        ended = RelayedState(record.job_id, JobPhase.FAILED)
        member.table.apply_reported_ends([ended])
        return member

    def test_cancellation_is_stored(self):
        """Guards against a successor that runs a job whose cancellation it never sees.

        The end was announced by an owner that did not store it.
        """

        async def main():
            cell = InProcessCell(task_s=60.0)
            await cell.start()
            record = workloads.quote(1)
            vm = cell.other_vms()[0]
            member = await self.announce_end(cell, vm, record)
            await cancel(member, record)
            await cell.stop()
            keys = [row.key for row in cell.log.records_by_topic[JOBS_TOPIC]]
            assert cancellation_key(record.job_id) in keys

        run_in_virtual_time(main)

    def test_cancellation_is_refused_without_the_log(self):
        """Guards against an acknowledged cancellation that is stored nowhere."""

        async def main():
            cell = InProcessCell(task_s=60.0)
            await cell.start()
            record = workloads.quote(1)
            vm = cell.other_vms()[0]
            member = await self.announce_end(cell, vm, record)
            cell.log.available = False
            deadline = Clock().now() + DEADLINE_S
            outcome = await member.cancel(record.job_id, deadline)
            await cell.stop()
            assert outcome is SubmissionOutcome.NOT_STORED

        run_in_virtual_time(main)

    def test_end_that_is_reported_during_the_takeover_counts(self):
        """Guards against a job that runs again although callers saw its end."""

        async def main():
            cell = InProcessCell()
            await cell.start()
            member = cell.member_by_vm[cell.owner_vm]
            owner = member.claims.owner
            record = workloads.quote(1)
            item = submission_item(record)
            owner._taken_over_at = None
            member.table.apply_jobs([KeyedRecord(0, *item)])
            ended = [RelayedState(record.job_id, JobPhase.COMPLETED)]
            await owner.handle_hello(MemberHello("z", "z:1", ended))
            owner._track_job(record.job_id, Clock().now(), inherited=True)
            phase = owner.state.job_by_id[record.job_id].phase
            await cell.stop()
            assert phase is JobPhase.COMPLETED

        run_in_virtual_time(main)


class TestAfterAPause:
    """Pattern: an owner that was paused is confirmed by the first stored renewal."""

    @pytest.mark.parametrize("pause", ["advance", "suspend"])
    def test_no_task_starts_before_the_jobs_are_read(self, pause):
        """Guards against starts of jobs that were cancelled during the pause."""
        orders = ScriptedOrders(*[OrderOutcome.ACCEPTED] * 3)
        owner, clock = make_owner(["b"], orders)
        view = owner._member.jobs_view
        getattr(clock, pause)(5.0)
        owner.evidence.confirm(clock.now_with_suspensions())
        order = make_order(owner, clock)
        run_in_virtual_time(owner._send_start, order)
        assert len(orders.outcomes) == 3
        # An answer to a read from before the pause shows nothing.
        view.record_read(0, 0, clock.now_with_suspensions() - 5.0)
        run_in_virtual_time(owner._send_start, make_order(owner, clock, 2))
        assert len(orders.outcomes) == 3
        view.record_read(0, 0, clock.now_with_suspensions())
        run_in_virtual_time(owner._send_start, make_order(owner, clock, 3))
        assert len(orders.outcomes) == 2
