"""The owner of a cell: sends orders to workers and stores what they report."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import curio

from arbutusladder import events
from arbutusladder.cell.advicedispatcher import MEMBER_TIMEOUT_S, AdviceDispatcher
from arbutusladder.cell.cellstate import CellState
from arbutusladder.cell.interfaces import (
    AdviceOrder,
    OrderAnswer,
    StartOrder,
    StopOrder,
    WorkerEntry,
    WriterFenced,
)
from arbutusladder.cell.leaserenewer import LeaseRenewer
from arbutusladder.cell.logretry import retry_until_answered
from arbutusladder.cell.placement import Placer
from arbutusladder.cell.progresswriter import Progress, ProgressWriter
from arbutusladder.cell.pruning import FinishedJobPruner
from arbutusladder.cell.registry import WorkerRegistry
from arbutusladder.cell.states import OrderOutcome
from arbutusladder.cell.workers import CLOCK_RATE_ERROR
from arbutusladder.errors import LogUnavailable
from arbutusladder.ids import JobId, SeatId, VmId
from arbutusladder.messages import (
    AdviceReply,
    CellClaim,
    MemberHello,
    MemberList,
    OwnerBeat,
    ProgressRelay,
    RelayedState,
)
from arbutusladder.tasks import log_failure

if TYPE_CHECKING:
    from arbutusladder.cell.member import CellDependencies, Member

# Seconds of a lease; long enough for a successor to renew it after a kill.
TARGET_LEASE_S = 5.0
# Seconds between the beats by which others notice the owner's end.
HEARTBEAT_INTERVAL_S = 0.25
# Beats between two lines on the load.
HEARTBEATS_PER_LOAD_EVENT = 4
# Seconds between looks at the registry of workers.
REGISTRY_POLL_INTERVAL_S = 0.5
# Seconds after which decisions are made even if nothing was heard.
MAX_DECISION_INTERVAL_S = 0.2
# Seconds for which events gather before decisions are made.
EVENT_BATCHING_DELAY_S = 0.005
# Seconds by which a replaced owner may still extend leases before it notices.
PREDECESSOR_RENEWAL_WINDOW_S = 3.0
# Seconds after a takeover until a replaced owner that runs has met a worker that
# knows the new one: a renewal's wait and its answer.
FENCING_NOTICE_S = 1.2

# Answers to a repeated start that also tell what became of the first one.
CONCLUSIVE_OUTCOMES = frozenset(
    {
        OrderOutcome.ACCEPTED,
        OrderOutcome.FENCED,
        OrderOutcome.OLD_RUN,
        OrderOutcome.WORKER_REPLACED,
    }
)


class Owner:
    """Owns the workers of a cell under one epoch.

    Args:
        claim: The claim on the log.
        member: Entry VM that runs it.
        around: Log, workers and clocks.
    """

    def __init__(
        self, claim: CellClaim, member: Member, dependencies: CellDependencies
    ):
        self.epoch = claim.epoch
        self.released = False
        self.failed = False
        self._member = member
        self._dependencies = dependencies
        self._clock = dependencies.clock
        self._log = member.log
        now = self._clock.now()
        self.state = CellState(self._clock.wall() - now, member.table.task_need)
        self._placer = Placer(self.state)
        self._predecessor_silent_workers = claim.silent_workers
        self.lease_s = min(TARGET_LEASE_S, dependencies.settings.max_lease_s)
        self._taken_over_at: float | None = None
        self._max_delay_s = 0.0
        self._decisions_needed = curio.Event()
        self.writer = ProgressWriter(
            member.log,
            claim.epoch,
            dependencies.clock,
            dependencies.metrics,
            self._collect_progress,
            self._on_progress_stored,
        )
        self._end_cause: curio.Result = curio.Result()
        self._lease_renewer = LeaseRenewer(self, self.state, member, dependencies)
        self._worker_registry = WorkerRegistry(
            member.log, dependencies.settings.registry_topic, dependencies.decode_worker
        )
        self._last_hello_by_vm: dict[VmId, tuple[float, MemberHello]] = {}
        self.advice_dispatcher = AdviceDispatcher(
            member.vm,
            claim.epoch,
            member.peers,
            dependencies.advisor,
            self._clock,
            dependencies.journal,
        )

    async def run(self) -> str:
        """Owns the cell until it is lost or released; returns the cause."""
        group = curio.TaskGroup()
        try:
            await self._take_over()
            pruner = FinishedJobPruner(
                self.state, self._member, self.writer, self._dependencies
            )
            for part in (
                self._decision_loop,
                self.writer.run,
                self._registry_loop,
                self._heartbeat_loop,
                pruner.run,
            ):
                await group.spawn(self._run_guarded, part)
            return await self._end_cause.unwrap()
        except WriterFenced as error:
            return str(error)
        finally:
            self.advice_dispatcher.close()
            await self._lease_renewer.close()
            await group.cancel_remaining()

    @property
    def ended(self) -> bool:
        """Whether the ownership has ended."""
        return self._end_cause.is_set()

    async def request_decisions(self) -> None:
        """Has decisions made soon."""
        await self._decisions_needed.set()

    async def end_ownership(self, cause: str) -> None:
        """Ends the ownership."""
        if not self.ended:
            await self._end_cause.set_value(cause)

    async def release(self) -> None:
        """Ends the ownership so that another entry VM may claim at once."""
        self.released = True
        await self.end_ownership("released")

    def silent_workers(self) -> list[str]:
        """Returns workers that may run tasks although they do not answer."""
        return [
            vm
            for vm, worker in self.state.worker_by_vm.items()
            if worker.run_by_key and worker.silent_since is not None
        ] + list(self.state.unreported_until_by_vm)

    async def handle_job_changes(self, job_ids: list[JobId]) -> None:
        """Takes new jobs and cancellations from the log.

        During the takeover they wait in the table: the predecessor may have run
        them, which only the progress read then tells. Shortly after it the
        predecessor may still start new ones on workers that were not read.
        """
        if self._taken_over_at is None:
            return
        now = self._clock.now()
        recent = now - self._taken_over_at < FENCING_NOTICE_S
        inherited = recent and bool(self.state.unreported_until_by_vm)
        for job_id in job_ids:
            self._track_job(job_id, now, inherited)
        await self._decisions_needed.set()

    async def handle_hello(self, hello: MemberHello) -> None:
        """Takes the hello of an entry VM and answers it."""
        seat = SeatId(hello.vm)
        now = self._clock.now()
        await self._register_member(hello, now)
        oldest = now - MEMBER_TIMEOUT_S
        live_members = [
            hello for at, hello in self._last_hello_by_vm.values() if at > oldest
        ]
        await self._member.update_members(live_members)
        own_hello = MemberHello(self._member.vm, self._member.listen)
        await self._member.peers.send(seat, MemberList([own_hello, *live_members]))

    async def _register_member(self, hello: MemberHello, now: float) -> None:
        await self._member.peers.connect(SeatId(hello.vm), hello.listen)
        self._last_hello_by_vm[hello.vm] = (now, hello)
        self.advice_dispatcher.record_hello(hello.vm, now)

    async def _heartbeat_loop(self) -> None:
        heartbeats = itertools.count(1)
        while True:
            await self._broadcast(OwnerBeat(self.epoch))
            due_at = self._clock.now() + HEARTBEAT_INTERVAL_S
            await curio.sleep(HEARTBEAT_INTERVAL_S)
            self._max_delay_s = max(self._max_delay_s, self._clock.now() - due_at)
            if next(heartbeats) % HEARTBEATS_PER_LOAD_EVENT == 0:
                self._log_load()

    def _log_load(self) -> None:
        load = self._placer.load
        usage = self.advice_dispatcher.take_usage()
        self._dependencies.journal.write(
            events.OWNER_LOAD,
            jobs=load.jobs,
            waiting=load.waiting,
            free=load.free,
            total=load.total,
            open=load.open,
            workers=len(self.state.worker_by_vm),
            advising=self.advice_dispatcher.calls_in_progress,
            advised=usage.calls,
            taken=usage.actual_s,
            expected=usage.expected_s,
            append=self.writer.append_s,
            late=self._max_delay_s,
        )
        self._max_delay_s = 0.0

    async def _broadcast(self, message: OwnerBeat | ProgressRelay) -> None:
        for vm in self._last_hello_by_vm:
            await self._member.peers.send(SeatId(vm), message)

    async def announce_release(self) -> None:
        """Tells the other entry VMs that the claim is free."""
        await self._broadcast(OwnerBeat(self.epoch, released=True))

    async def _run_guarded(self, part) -> None:
        try:
            await part()
        except WriterFenced as error:
            await self.end_ownership(str(error))
        except Exception as error:
            # Without one of its parts the owner would hold the cell and do nothing.
            log_failure(self._dependencies.journal, part.__name__, error)
            self.failed = True
            await self.release()

    async def _take_over(self) -> None:
        """Fences the predecessor off and reads what it left."""
        # Members greet a new owner only once they have noticed it; until then the
        # predecessor's list tells who can call for advice.
        for hello in self._member.members:
            await self._register_member(hello, self._clock.now())
        await retry_until_answered(self.writer.fence)
        await retry_until_answered(self._member.reload_progress)
        await retry_until_answered(self._member.read_jobs)
        await retry_until_answered(self._read_registry)
        now = self._clock.now()
        leases_end_by = now + PREDECESSOR_RENEWAL_WINDOW_S
        leases_end_by += self._dependencies.settings.max_lease_s * (
            1 + CLOCK_RATE_ERROR
        )
        for job_id in list(self._member.table.job_by_id):
            self._track_job(job_id, now, inherited=True)
        has_inherited_jobs = bool(self.state.job_by_id)
        if has_inherited_jobs:
            vms = {*self.state.worker_by_vm, *self._predecessor_silent_workers}
            self.state.unreported_until_by_vm = {VmId(vm): leases_end_by for vm in vms}
        for worker in self.state.worker_by_vm.values():
            worker.assume_lease(leases_end_by)
        self._taken_over_at = now
        await self._lease_renewer.start_renewals()
        self._dependencies.journal.write(
            events.CELL_READ,
            epoch=self.epoch,
            jobs=len(self.state.job_by_id),
            workers=len(self.state.worker_by_vm),
        )

    def _track_job(self, job_id: JobId, now: float, inherited: bool) -> None:
        entry = self._member.table.job_by_id[job_id]
        if entry.record is None or entry.progress.state.is_final:
            return
        if job_id not in self.state.job_by_id:
            self.state.add_job(entry.record, entry.progress, now, inherited)
        if entry.cancelled:
            self.state.cancel(job_id)

    async def _decision_loop(self) -> None:
        while True:
            async with curio.ignore_after(MAX_DECISION_INTERVAL_S):
                await self._decisions_needed.wait()
            await curio.sleep(EVENT_BATCHING_DELAY_S)
            self._decisions_needed.clear()
            now = self._clock.now()
            self.state.expire_leases(now)
            for order in self._placer.decide(
                now, self.advice_dispatcher.available_capacity(now)
            ):
                await self._send_order(order)
            self.state.remove_finished_jobs()
            await self.flush()

    async def flush(self) -> None:
        """Logs what was decided, and has what has changed stored."""
        changes = self.state.changes
        for event, fields in changes.pending_events:
            self._dependencies.journal.write(event, **fields)
        changes.pending_events.clear()
        if changes.fenced:
            await self.end_ownership("a worker has seen a higher epoch")
        if changes.dirty:
            await self.writer.notify_changes()

    async def _send_order(self, order: StartOrder | StopOrder | AdviceOrder) -> None:
        match order:
            case StartOrder():
                await curio.spawn(self._send_start, order, daemon=True)
            case StopOrder():
                await curio.spawn(self._send_stop, order, daemon=True)
            case AdviceOrder():
                await self.advice_dispatcher.start_call(order, self._on_advice)

    async def _send_start(self, order: StartOrder) -> None:
        worker = self.state.worker_by_vm.get(order.vm)
        now = self._clock.now()
        grant_lease = worker.grant_lease(now, self.lease_s) if worker else None
        if grant_lease is None or self.ended:
            answer = OrderAnswer(OrderOutcome.NOT_SENT)
        else:
            answer = await self._start_with_retry(worker.entry, order, grant_lease)
        self._dependencies.metrics.count(f"starts.{answer.outcome.value}")
        self.state.apply_start_answer(order, answer, self._clock.now())
        await self._decisions_needed.set()

    async def _start_with_retry(
        self, entry: WorkerEntry, order: StartOrder, grant_lease: float
    ) -> OrderAnswer:
        """Sends a start, and again if it gets no answer.

        A worker accepts a run that is already there, so the second order tells
        whether the first one arrived.
        """
        orders = self._dependencies.orders
        first = await orders.start(entry, order, self.epoch, grant_lease)
        if first.outcome is not OrderOutcome.UNKNOWN:
            return first
        self._dependencies.metrics.count("starts.repeated")
        second = await orders.start(entry, order, self.epoch, grant_lease)
        if second.outcome in CONCLUSIVE_OUTCOMES:
            return second
        # What the second order met says nothing of the first, which may still arrive.
        return first

    async def _send_stop(self, order: StopOrder) -> None:
        worker = self.state.worker_by_vm.get(order.vm)
        if worker is None or self.ended:
            return
        answer = await self._dependencies.orders.stop(worker.entry, order, self.epoch)
        self._dependencies.metrics.count(f"stops.{answer.outcome.value}")
        self.state.apply_stop_answer(order, answer, self._clock.now())
        await self._decisions_needed.set()

    async def _on_advice(self, order: AdviceOrder, reply: AdviceReply) -> None:
        if not reply.answered:
            self._dependencies.metrics.count("advice.unanswered")
        self.state.apply_advice(order.stage, order.vms, reply, self._clock.now())
        await self._decisions_needed.set()

    async def _registry_loop(self) -> None:
        while True:
            await curio.sleep(REGISTRY_POLL_INTERVAL_S)
            try:
                await self._read_registry()
            except LogUnavailable:
                continue
            await self._lease_renewer.start_renewals()
            await self._decisions_needed.set()

    async def _read_registry(self) -> None:
        entry_by_vm = await self._worker_registry.read()
        self.state.update_registry(entry_by_vm, self._clock.now())

    def _collect_progress(self) -> Progress:
        changes = self.state.changes
        changes.storing, changes.dirty = changes.dirty, set()
        jobs = [self.state.job_by_id.get(job_id) for job_id in changes.storing]
        return [(job.id, job.progress()) for job in jobs if job]

    async def _on_progress_stored(self, offset: int, progress: Progress) -> None:
        phases = [RelayedState(job_id, row.state) for job_id, row in progress]
        self._member.apply_relayed_phases(offset, phases)
        self.state.changes.storing = set()
        await self._broadcast(ProgressRelay(offset, phases))
