"""Tests of what an owner must know of stored cancellations before it starts tasks."""

import curio
import pytest

from arbutusladder.cell.confirmation import OwnershipEvidence
from arbutusladder.cell.freshness import ORDER_DELIVERY_S, ViewFreshness
from arbutusladder.cell.interfaces import KeyedRecord, LogBatch
from arbutusladder.cell.jobtable import (
    JOBS_TOPIC,
    PROGRESS_TOPIC,
    cancellation_item,
    cancellation_key,
    submission_item,
)
from arbutusladder.cell.member import OWNER_JOBS_POLL_INTERVAL_S
from arbutusladder.cell.states import JobPhase, OrderOutcome, SubmissionOutcome
from arbutusladder.cell.storedcancellations import KEPT_S, StoredCancellations
from arbutusladder.cell.topicview import TopicView
from arbutusladder.clock import Clock, ManualClock
from arbutusladder.errors import LogUnavailable
from arbutusladder.httppool import CONNECT_TIMEOUT_S
from arbutusladder.messages import (
    JobsRelay,
    LogCall,
    MemberHello,
    OwnerBeat,
    RelayedState,
)
from arbutusladder.platform.workers import ORDER_TIMEOUT_S
from tests.cell import workloads
from tests.cell.inprocess import REGISTRY_TOPIC, InProcessCell
from tests.cell.test_owner import ScriptedOrders, make_order, make_owner
from tests.virtualtime import run_in_virtual_time

# Seconds after an acknowledged cancellation from which no task of its job may start,
# the shortest bound of the users' sites.
CANCEL_S = 3.0
# Seconds after which no task may start on a worker that drains, the shortest bound.
DRAIN_S = 2.0
DEADLINE_S = 2.0
# Seconds for which the owner's reads get no answer.
FAULT_S = 8.0


def record_read(view, now, next_offset=0, end=0, age_s=0.0):
    """Records a read that was answered at once, or that waited in a socket."""
    view.record_read(LogBatch([], end, next_offset), now - age_s, now - age_s)


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


async def start_with_waiting_job():
    """Starts a cell in which a job waits for room and reads of the owner hang.

    Returns the cell and the job, which each entry VM knows.
    """
    cell = InProcessCell(task_s=CANCEL_S + 1.5)
    await cell.start()
    # The first two jobs occupy both workers.
    jobs = [workloads.quote(number, count=1, cpu=60.0) for number in range(1, 4)]
    for job in jobs:
        await submit(cell.member_by_vm[cell.owner_vm], job)
        await curio.sleep(0.1)
    for member in cell.member_by_vm.values():
        await member.read_jobs()
    cell.access_by_vm[cell.owner_vm].silent_topics.add(JOBS_TOPIC)
    return cell, jobs[-1]


def late_starts(cell, record, cancelled_at):
    """Returns how long after its cancellation tasks of a job started too late."""
    return [
        at - cancelled_at
        for at, _, task in cell.workers.starts
        if task.startswith(record.job_id) and at > cancelled_at + CANCEL_S
    ]


class TestLateCancellation:
    """Pattern: jobs wait for room while the owner's reads of the log get no answer.

    Its appends are answered, so its ownership stays confirmed.
    """

    async def play(self, drops):
        """Cancels a waiting job at another entry VM; returns late starts of it."""
        cell, waiting = await start_with_waiting_job()
        other = cell.member_by_vm[cell.other_vms()[0]]
        cell.bus.drops += drops
        cancelled_at = await cancel(other, waiting)
        await curio.sleep(FAULT_S)
        await cell.stop()
        return late_starts(cell, waiting, cancelled_at)

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
        record_read(view, clock.now_with_suspensions(), age_s=5.0)
        run_in_virtual_time(owner._send_start, make_order(owner, clock, 2))
        assert len(orders.outcomes) == 3
        record_read(view, clock.now_with_suspensions())
        run_in_virtual_time(owner._send_start, make_order(owner, clock, 3))
        assert len(orders.outcomes) == 3
        # Workers may have begun to drain as well.
        record_read(owner.registry_view, clock.now_with_suspensions())
        run_in_virtual_time(owner._send_start, make_order(owner, clock, 4))
        assert len(orders.outcomes) == 2


class TestProof:
    """Patterns: the log is up, slow, down for all or for the owner alone."""

    OTHERS = 4

    def make(self, limit_s=CANCEL_S):
        """Returns the freshness of a view that was read now, its parts and a clock."""
        clock = ManualClock()
        now = clock.now_with_suspensions()
        evidence = OwnershipEvidence(1, clock, now)
        jobs, registry = TopicView(complete_at=now), TopicView(complete_at=now)
        freshness = ViewFreshness(jobs, registry, evidence, limit_s, DRAIN_S)
        return freshness, jobs, registry, evidence, clock

    def is_recent(self, freshness, clock, reachable=True, others=OTHERS):
        """Returns whether tasks may start."""
        now = clock.now_with_suspensions()
        return freshness.is_recent(now, reachable, lambda: others)

    def test_proof_ends_before_an_order_can_arrive_too_late(self):
        """Guards against an order that is sent in time and arrives after the limit."""
        freshness, *_ = self.make()
        assert freshness.jobs_validity_s + ORDER_DELIVERY_S <= CANCEL_S
        assert freshness.registry_validity_s + ORDER_DELIVERY_S <= DRAIN_S
        assert ORDER_DELIVERY_S >= CONNECT_TIMEOUT_S + ORDER_TIMEOUT_S

    def test_a_short_limit_leaves_time_for_reads(self):
        """Guards against a cell that never starts a task."""
        freshness, *_ = self.make(limit_s=0.5)
        assert freshness.jobs_validity_s > 2 * OWNER_JOBS_POLL_INTERVAL_S

    @pytest.mark.parametrize("topic", ["jobs", "registry"])
    def test_each_topic_must_have_been_read(self, topic):
        """Guards against starts after a read that hangs while others are answered."""
        freshness, jobs, registry, _, clock = self.make()
        clock.advance(freshness.jobs_validity_s + 0.01)
        read = {"jobs": registry, "registry": jobs}[topic]
        record_read(read, clock.now_with_suspensions())
        assert not self.is_recent(freshness, clock)

    def test_read_that_does_not_reach_the_end_is_no_proof(self):
        """Guards against starts while most of a long outage's records are unread."""
        freshness, jobs, registry, _, clock = self.make()
        clock.advance(freshness.jobs_validity_s + 0.01)
        now = clock.now_with_suspensions()
        record_read(registry, now)
        record_read(jobs, now, 500, 900)
        assert not self.is_recent(freshness, clock)
        record_read(jobs, now, 900, 900)
        assert self.is_recent(freshness, clock)

    def test_majority_is_the_proof_while_the_log_is_down(self):
        """Guards against a cell that stops in an outage of the log."""
        freshness, _, _, evidence, clock = self.make()
        for _ in range(60):
            clock.advance(0.5)
            number = evidence.next_heartbeat()
            for vm in "bc":
                evidence.confirm_heartbeat(vm, 1, number)
            assert self.is_recent(freshness, clock, reachable=False)

    def test_minority_is_no_proof(self):
        """Guards against an owner that is cut off together with one entry VM."""
        freshness, _, _, evidence, clock = self.make()
        clock.advance(freshness.jobs_validity_s + 0.01)
        evidence.confirm_heartbeat("b", 1, evidence.next_heartbeat())
        assert not self.is_recent(freshness, clock, reachable=False)

    def test_entry_vms_are_no_proof_while_the_log_can_be_read(self):
        """Guards against a cancellation by one that the owner does not hear of."""
        freshness, _, _, evidence, clock = self.make()
        clock.advance(freshness.jobs_validity_s + 0.01)
        number = evidence.next_heartbeat()
        for vm in "bcde":
            evidence.confirm_heartbeat(vm, 1, number)
        assert not self.is_recent(freshness, clock)

    def test_reads_have_time_after_an_outage(self):
        """Guards against a pause of all starts when the log returns."""
        freshness, _, _, evidence, clock = self.make()
        clock.advance(5.0)
        number = evidence.next_heartbeat()
        for vm in "bc":
            evidence.confirm_heartbeat(vm, 1, number)
        assert self.is_recent(freshness, clock, reachable=False)
        clock.advance(freshness.registry_validity_s / 2)
        assert self.is_recent(freshness, clock)

    @pytest.mark.parametrize("pause", ["advance", "suspend"])
    def test_single_entry_vm_goes_on_without_the_log(self, pause):
        """Guards against a stop of a cell whose only entry VM stores cancellations."""
        freshness, _, _, evidence, clock = self.make()
        for _ in range(60):
            clock.advance(0.5)
            evidence.is_valid(lambda: 0)
            assert self.is_recent(freshness, clock, reachable=False, others=0)
        getattr(clock, pause)(5.0)
        evidence.is_valid(lambda: 0)
        assert not self.is_recent(freshness, clock, reachable=False, others=0)


class TestStoredCancellations:
    """Pattern: relays are lost, and the owner changes."""

    def test_repeated_until_the_newest_owner_knows_them(self):
        """Guards against a cancellation that only a replaced owner has heard of."""
        cancellations = StoredCancellations()
        cancellations.add("j", 7, 0.0)
        assert cancellations.unknown_to_owner(None, 1.0) == ["j"]
        knowing = OwnerBeat(1, jobs_position=8)
        assert cancellations.unknown_to_owner(knowing, 2.0) == []
        successor = OwnerBeat(2, jobs_position=7)
        assert cancellations.unknown_to_owner(successor, 3.0) == ["j"]

    def test_known_ones_are_forgotten(self):
        """Guards against hellos that grow, and against forgetting unknown ones."""
        cancellations = StoredCancellations()
        cancellations.add("j", 7, 0.0)
        later = KEPT_S + 1.0
        behind, knowing = OwnerBeat(1, jobs_position=7), OwnerBeat(1, jobs_position=8)
        assert cancellations.unknown_to_owner(behind, later) == ["j"]
        assert cancellations.unknown_to_owner(knowing, later) == []
        assert cancellations.unknown_to_owner(behind, later) == []


class TestRepeatedCancellation:
    """Pattern: the entry VM that stored a cancellation ended; the client repeats it."""

    async def play(self):
        """Returns the late starts of a job that a second entry VM says is cancelled."""
        cell, waiting = await start_with_waiting_job()
        other = cell.member_by_vm[cell.other_vms()[0]]
        cell.bus.drops += [lose_relays, lose_forwarded_reads]
        # Appended by an entry VM that ended before it answered and relayed.
        await cell.log.append(JOBS_TOPIC, [cancellation_item(waiting.job_id)])
        await other.read_jobs()
        cancelled_at = await cancel(other, waiting)
        await curio.sleep(FAULT_S)
        await cell.stop()
        return late_starts(cell, waiting, cancelled_at)

    def test_no_task_of_the_job_starts(self):
        """Guards against hellos without a cancellation that this entry VM confirmed."""
        assert run_in_virtual_time(self.play) == []


class TestRestartAfterCancellation:
    """Pattern: an entry VM restarts before its next hello after a cancellation."""

    async def play(self):
        """Returns the late starts of the cancelled job."""
        cell, waiting = await start_with_waiting_job()
        vm = cell.other_vms()[0]
        cell.bus.drops += [lose_relays, lose_forwarded_reads]
        cell.bus.drops.append(lambda sender, seat, message: sender == vm)
        cancelled_at = await cancel(cell.member_by_vm[vm], waiting)
        await cell.member_by_vm[vm].close()
        await cell._tasks[list(cell.access_by_vm).index(vm)].cancel()
        cell.bus.drops.pop()
        restarted = cell._make_member(vm, cell.access_by_vm[vm])
        cell.member_by_vm[vm] = restarted
        cell._tasks.append(await curio.spawn(restarted.run, daemon=True))
        await curio.sleep(FAULT_S)
        known = restarted.table.phase(waiting.job_id) is JobPhase.CANCELLED
        await cell.stop()
        late = late_starts(cell, waiting, cancelled_at)
        return late, known

    def test_no_task_of_the_job_starts(self):
        """Guards against a cancellation that only an ended process would repeat."""
        late, known = run_in_virtual_time(self.play)
        assert known
        assert late == []


class TestSlowReads:
    """Pattern: the log answers each read, but late."""

    @pytest.mark.parametrize("delay_s", [0.3, 0.6, 0.9, 1.2])
    def test_owner_starts_tasks_most_of_the_time(self, delay_s):
        """Guards against a cell that stands still while its log is only slow."""

        async def main():
            cell = InProcessCell(task_s=60.0)
            await cell.start()
            owner = cell.member_by_vm[cell.owner_vm].claims.owner
            for access in cell.access_by_vm.values():
                check = access._check

                async def slow_check(topic, check=check):
                    await curio.sleep(delay_s)
                    await check(topic)

                access._check = slow_check
            await curio.sleep(3.0)
            allowed = []
            for _ in range(400):
                await curio.sleep(0.05)
                allowed.append(owner.may_start_tasks())
            still_owner = not owner.ended
            await cell.stop()
            return sum(allowed) / len(allowed), still_owner

        share, still_owner = run_in_virtual_time(main)
        assert still_owner
        assert share > 0.9

    @pytest.mark.parametrize("delay_s", [1.2, 2.5])
    @pytest.mark.parametrize("topic", [JOBS_TOPIC, REGISTRY_TOPIC])
    def test_slow_link_of_the_owner_does_not_stop_the_cell(self, topic, delay_s):
        """Guards against an owner that renews its claim and starts nothing.

        Large answers need long over a squeezed link, renewals do not.
        """

        async def main():
            cell = InProcessCell(task_s=60.0)
            await cell.start()
            first = cell.owner_vm
            access = cell.access_by_vm[first]
            check = access._check

            async def slow_check(asked):
                await curio.sleep(delay_s if asked == topic else 0.0)
                await check(asked)

            access._check = slow_check
            await curio.sleep(3.0)
            allowed = []
            for _ in range(400):
                await curio.sleep(0.05)
                owners = [m.claims.owner for m in cell.member_by_vm.values()]
                allowed.append(any(o and o.may_start_tasks() for o in owners))
            last = cell.owner_vm
            await cell.stop()
            return sum(allowed) / len(allowed), first, last

        share, first, last = run_in_virtual_time(main)
        assert share > 0.9


class TestRegistryView:
    """Pattern: a worker drains, and the owner has not read that yet."""

    def make(self):
        """Returns the freshness of two views that were read now, both and a clock."""
        clock = ManualClock()
        now = clock.now_with_suspensions()
        evidence = OwnershipEvidence(1, clock, now)
        jobs, registry = TopicView(complete_at=now), TopicView(complete_at=now)
        freshness = ViewFreshness(jobs, registry, evidence, CANCEL_S, DRAIN_S)
        return freshness, jobs, registry, clock

    def test_order_arrives_within_the_limit_for_draining_workers(self):
        """Guards against a start 2 s after a worker is known to drain (`drain-ms`)."""
        freshness, jobs, _, clock = self.make()
        clock.advance(DRAIN_S - ORDER_DELIVERY_S + 0.05)
        now = clock.now_with_suspensions()
        record_read(jobs, now)
        assert not freshness.is_recent(now, True, lambda: 4)

    def test_starts_go_on_while_the_registry_alone_cannot_be_read(self):
        """Guards against a cell that stops in an outage of one topic of the log."""
        freshness, jobs, registry, clock = self.make()
        for _ in range(60):
            clock.advance(0.5)
            now = clock.now_with_suspensions()
            record_read(jobs, now)
            registry.record_failure()
            assert freshness.is_recent(now, True, lambda: 4)


def refuse_progress(append):
    """Returns an append that the log refuses for the progress topic."""

    async def append_or_refuse(topic, items, *args, **options):
        if topic == PROGRESS_TOPIC:
            await curio.sleep(0.05)
            raise LogUnavailable("refused", maybe_applied=False)
        return await append(topic, items, *args, **options)

    return append_or_refuse


class TestPowerFailureAfterAnnouncedEnd:
    """Pattern: progress is not stored, an end is shown, and all machines lose power."""

    def test_shown_job_does_not_run_again(self):
        """Guards against a start over a second after the job was shown as completed."""

        async def main():
            cell = InProcessCell()
            await cell.start()
            record = workloads.quote(1, count=1)
            for access in cell.access_by_vm.values():
                access.append = refuse_progress(access.append)
            other = cell.member_by_vm[cell.other_vms()[0]]
            await submit(other, record)
            await curio.sleep(4.0)
            shown = other.table.phase(record.job_id)
            shown_at, starts = Clock().now(), len(cell.workers.starts)
            await cell.stop()
            await curio.sleep(3.0)
            after = InProcessCell()
            after.log = cell.log
            after.access_by_vm = {
                vm: type(a)(cell.log) for vm, a in after.access_by_vm.items()
            }
            await after.start()
            await curio.sleep(10.0)
            await after.stop()
            late = [
                at - shown_at for at, *_ in after.workers.starts if at > shown_at + 1
            ]
            return shown, starts, late

        shown, _, late = run_in_virtual_time(main)
        assert shown is not JobPhase.COMPLETED or late == []
