"""Control loop of a cell's owner.

The owner is the entry VM that holds the cell's claim. It takes over from its
predecessor, places tasks, sends start and stop orders to workers and writes job
progress to the log under its epoch. The jobs and workers that it tracks are in
`arbutusladder.cell.cellstate.CellState`.
"""

from __future__ import annotations

import itertools
from dataclasses import replace
from typing import TYPE_CHECKING

import curio

from arbutusladder import events
from arbutusladder.backgroundtasks import log_failure
from arbutusladder.cell import claimlists
from arbutusladder.cell.advicedispatcher import AdviceDispatcher
from arbutusladder.cell.appender import OWNER_SLOW_APPEND_S, SLOW_APPEND_S
from arbutusladder.cell.cellstate import CellState
from arbutusladder.cell.claims import FIRST_EPOCH
from arbutusladder.cell.confirmation import OwnershipEvidence
from arbutusladder.cell.fencing import fencing_token
from arbutusladder.cell.forecast.startforecast import start_forecast
from arbutusladder.cell.freshness import ViewFreshness
from arbutusladder.cell.interfaces import (
    AdviceOrder,
    OrderAnswer,
    PaceOrder,
    StartOrder,
    StopOrder,
    WriterFenced,
)
from arbutusladder.cell.jobtracking import track_job
from arbutusladder.cell.leaserenewer import LeaseRenewer
from arbutusladder.cell.loadreport import report_load
from arbutusladder.cell.logretry import retry_until_answered
from arbutusladder.cell.memberregistry import MemberRegistry
from arbutusladder.cell.placement import Order, Placer
from arbutusladder.cell.progresswriter import ProgressBatch, ProgressWriter
from arbutusladder.cell.pruning import FinishedJobPruner
from arbutusladder.cell.registry import WorkerRegistry
from arbutusladder.cell.runorders import RunOrderSender
from arbutusladder.cell.runs import MAX_SEND_DELAY_S
from arbutusladder.cell.states import OrderOutcome
from arbutusladder.cell.workers import longest_lease_s
from arbutusladder.errors import LogUnavailable
from arbutusladder.ids import JobId, SeatId, VmId
from arbutusladder.messages import (
    AdviceReply,
    CellClaim,
    EndedJobs,
    EntryVm,
    MemberHello,
    OwnerBeat,
    ProgressRelay,
    RelayedState,
    SilentWorker,
    StartForecast,
    WorkerIncarnation,
)

if TYPE_CHECKING:
    from arbutusladder.cell.member import CellDependencies, Member

# Length of a worker's lease in seconds, unless workers only grant shorter ones. Long
# enough for a successor to renew it after the owner was killed.
TARGET_LEASE_S = 5.0
# Seconds between heartbeats, by which the other entry VMs detect a failed owner.
HEARTBEAT_INTERVAL_S = 0.25
# Seconds between checks, while waiting for the next heartbeat, whether the log has
# become slow.
APPEND_CHECK_INTERVAL_S = 0.03
# Times that tasks of the owner have to be scheduled for an append: to send it, to read
# the answer and to handle it.
APPEND_WAKEUPS = 3
# Heartbeats between two load events in the event log.
HEARTBEATS_PER_LOAD_EVENT = 4
# Seconds between reads of the worker registry.
REGISTRY_POLL_INTERVAL_S = 0.5
# Longest time in seconds between two scheduling rounds, also without new events.
MAX_DECISION_INTERVAL_S = 0.2
# Seconds that a scheduling round waits to handle concurrent events together.
EVENT_BATCHING_DELAY_S = 0.005
# Repeats of a start order that gets no answer, each after the timeout of an order.
MAX_START_REPEATS = 4
# Seconds for which a replaced owner may go on starting tasks and extending leases
# before it detects that it was replaced.
PREDECESSOR_RENEWAL_WINDOW_S = 3.0
# Seconds for which it may go on sending orders.
PREDECESSOR_ORDER_WINDOW_S = 1.5


class Owner:
    """Schedules tasks on the workers of a cell under one epoch.

    Args:
        claim: The claim that this owner holds. It lists the workers that did not answer
            the predecessor.
        recorded_vms: Workers on which predecessors may have started tasks; None if
            they have recorded none.
        claim_age_s: Seconds for which the predecessor had at least not renewed its
            claim, and so the list, when this owner claimed.
        claimed_at: Time at which the claim was sent, see `OwnershipEvidence`.
        member: Entry VM that runs the owner.
        dependencies: Services and settings of the entry VM.

    Attributes:
        epoch: Fencing token of all orders and progress records.
        released: Whether the claim was given up on purpose.
        failed: Whether one of the owner's tasks failed.
        state: Jobs and workers of the cell.
        lease_s: Length of a worker's lease in seconds.
        writer: Writes job progress to the log.
        evidence: Evidence that this owner has not been replaced.
        advice_dispatcher: Distributes advice calls over the entry VMs.
    """

    def __init__(
        self,
        claim: CellClaim,
        recorded_vms: frozenset[VmId] | None,
        claim_age_s: float,
        claimed_at: float,
        member: Member,
        dependencies: CellDependencies,
    ):
        self.epoch = claim.epoch
        self.released = self.failed = False
        self._member = member
        self._dependencies = dependencies
        self._clock = dependencies.clock
        self._log = member.log
        now = self._clock.now()
        self.state = CellState(
            self._clock.wall_time() - now, member.table.task_need, member.table.job_team
        )
        self.state.recorded_vms = recorded_vms or frozenset()
        self._inherited_vms = recorded_vms
        self.state.max_lease_s = dependencies.settings.max_lease_s
        self.state.job_limits = dependencies.settings.job_limits
        self.state.interference.harm_s = dependencies.settings.harm_s
        self._placer = Placer(self.state)
        self._run_orders = RunOrderSender(
            self.epoch,
            self.state,
            dependencies.orders,
            dependencies.metrics,
            self._clock,
        )
        self.evidence = OwnershipEvidence(claim.epoch, dependencies.clock, claimed_at)
        self._is_confirmed = True
        self._claim = claim
        self._claim_age_s = claim_age_s
        self.lease_s = min(TARGET_LEASE_S, dependencies.settings.max_lease_s)
        self._taken_over_at: float | None = None
        self._timer_delay_s = 0.0
        self._max_heartbeat_delay_s = 0.0
        self._decisions_needed = curio.Event()
        self.writer = ProgressWriter(
            member.log,
            claim.epoch,
            dependencies.clock,
            dependencies.metrics,
            self._collect_progress,
            self._on_progress_stored,
            dependencies.journal,
            dependencies.settings.job_limits.record_bytes,
        )
        self._end_cause: curio.Result = curio.Result()
        self._lease_renewer = LeaseRenewer(self, self.state, member, dependencies)
        self._worker_registry = WorkerRegistry(
            member.log,
            dependencies.settings.registry_topic,
            dependencies.decode_worker,
            dependencies.metrics,
            dependencies.clock,
        )
        self._freshness = ViewFreshness(
            member.jobs_view,
            self._worker_registry.view,
            self.evidence,
            dependencies.settings.cancellation_limit_s,
            dependencies.settings.drain_limit_s,
        )
        self._is_view_recent = True
        self._members = MemberRegistry(
            member.own_entry(), claim.epoch, claim.other_vms, now
        )
        self.advice_dispatcher = AdviceDispatcher(
            member.vm,
            claim.epoch,
            member.peers,
            dependencies.advisor,
            self._clock,
            dependencies.journal,
        )

    async def run(self) -> str:
        """Runs the owner until the claim is lost or released; returns the cause."""
        group = curio.TaskGroup()
        try:
            await self._take_over()
            pruner = FinishedJobPruner(
                self.state, self._member, self.writer, self._dependencies
            )
            for loop in (
                self._decision_loop,
                self.writer.run,
                self._registry_loop,
                self._heartbeat_loop,
                pruner.run,
            ):
                await group.spawn(self._run_guarded, loop)
            return await self._end_cause.unwrap()
        except WriterFenced as error:
            return str(error)
        except Exception as error:
            # Releases the claim, so that another entry VM takes over; claiming again at
            # once could fail in the same way.
            log_failure(self._dependencies.journal, "takeover", error)
            self.failed = self.released = True
            return f"failed: {type(error).__name__}"
        finally:
            self.advice_dispatcher.close()
            await self._lease_renewer.close()
            await group.cancel_remaining()

    @property
    def ended(self) -> bool:
        """Whether the ownership has ended."""
        return self._end_cause.is_set()

    @property
    def taken_over(self) -> bool:
        """Whether the predecessor's state is restored."""
        return self._taken_over_at is not None

    @property
    def starts_tasks(self) -> bool:
        """Whether the newest check allowed to start tasks, see `may_start_tasks`."""
        return self._is_confirmed and self._is_view_recent

    async def request_decisions(self) -> None:
        """Triggers a scheduling round."""
        await self._decisions_needed.set()

    async def end_ownership(self, cause: str) -> None:
        """Ends the ownership."""
        if not self.ended:
            await self._end_cause.set_value(cause)

    async def release(self) -> None:
        """Ends the ownership and lets another entry VM claim the cell at once."""
        self.released = True
        await self.end_ownership("released")

    async def release_after_failure(self) -> None:
        """Releases the ownership; this entry VM then lets others claim first."""
        self.failed = True
        await self.release()

    def silent_workers(self) -> list[SilentWorker]:
        """Returns the workers to list in the claim, and starts nothing on them.

        Until the takeover has ended, these are the ones of the predecessor.
        """
        if self._taken_over_at is None:
            return self._claim.silent
        silent = claimlists.silent_workers(
            self.state, self._clock.now(), self._max_lease_s
        )
        self.state.list_silent_workers(silent, stored=False)
        return silent

    def confirmed_restarts(self) -> list[WorkerIncarnation]:
        """Returns the restarted workers to list in the claim.

        Until the takeover has ended, these are the ones of the predecessor.
        """
        if self._taken_over_at is None:
            return self._claim.restarted
        return claimlists.confirmed_restarts(self.state, self._clock.now())

    def workers_to_record(self) -> frozenset[VmId] | None:
        """Returns the workers to list on the log, and uses no others from now on.

        Until the takeover has ended, these are the ones of the predecessors.
        """
        if self._taken_over_at is None:
            return self._inherited_vms
        vms = claimlists.workers_to_record(self.state)
        self.state.recorded_vms &= vms
        return vms

    def handle_claim_renewed(
        self, claim: CellClaim, recorded_vms: frozenset[VmId] | None, sent_at: float
    ) -> None:
        """Allows tasks on recorded workers that the claim does not list as silent.

        Args:
            claim: The claim.
            recorded_vms: Workers that are recorded on the log; None before the first
                record.
            sent_at: Time at which it was sent, see `OwnershipEvidence`.
        """
        self.evidence.confirm(sent_at)
        self.state.list_silent_workers(claim.silent, stored=True)
        self.state.recorded_vms = recorded_vms or frozenset()

    @property
    def _max_lease_s(self) -> float:
        """Seconds after which the leases of an owner replaced now have ended.

        They are leases by the clock of an incarnation that has answered it.
        """
        return PREDECESSOR_RENEWAL_WINDOW_S + self._lease_end_s

    @property
    def _lease_end_s(self) -> float:
        """Seconds after which a lease granted now has ended on the slowest clock."""
        return longest_lease_s(self.lease_s)

    async def handle_job_changes(self, job_ids: list[JobId]) -> None:
        """Adds new jobs and applies cancellations that are stored in the log.

        Changes during the takeover stay in the job table until the predecessor's
        progress is read, because the predecessor may have run these jobs. While it may
        still act, a job counts as inherited too if workers have not reported: the
        predecessor may start its tasks on them.
        """
        if self._taken_over_at is None:
            return
        now = self._clock.now()
        may_act = now - self._taken_over_at < PREDECESSOR_RENEWAL_WINDOW_S
        inherited = may_act and bool(self.state.unreported)
        for job_id in job_ids:
            self._track_job(job_id, now, inherited)
        if inherited:
            leases_end_at = self._taken_over_at + self._predecessor_wait_s()
            self.state.unreported.extend(leases_end_at)
        await self._decisions_needed.set()

    async def handle_hello(self, hello: MemberHello) -> None:
        """Registers the sender of a hello and updates its list of entry VMs."""
        self.evidence.confirm_heartbeat(
            hello.vm, hello.heartbeat_epoch, hello.heartbeat_number
        )
        # Jobs are tracked from the end of the takeover on; the table keeps their ends.
        self._member.table.apply_reported_ends(hello.ended)
        for state in hello.ended:
            self.state.apply_reported_end(state)
        await self._member.apply_reported_cancellations(hello.cancelled)
        now = self._clock.now()
        entry = EntryVm(hello.vm, hello.listen, hello.undersized)
        await self._register_member(entry, now)
        if not self._members.is_listed(entry):
            await self._refresh_members(now)
        answer = self._members.answer(hello)
        if answer:
            await self._member.peers.send(SeatId(hello.vm), answer)

    async def _register_member(self, entry: EntryVm, now: float) -> None:
        await self._member.peers.connect(SeatId(entry.vm), entry.listen)
        self._members.add(entry, now)
        self.advice_dispatcher.record_hello(entry.vm, now)

    async def _refresh_members(self, now: float) -> None:
        if self._members.refresh(now):
            await self._member.update_members(self._members.listed)

    async def _heartbeat_loop(self) -> None:
        heartbeats = itertools.count(1)
        while True:
            now = self._clock.now()
            await self._refresh_members(now)
            append_s = self._newest_append_s(now)
            reaches_log = not self._member.log.forwarding
            await self._broadcast(
                OwnerBeat(
                    self.epoch,
                    append_s=append_s if reaches_log else 0.0,
                    reaches_log=reaches_log,
                    claim_sequence=self._member.claims.sequence_of(self.epoch),
                    number=self.evidence.next_heartbeat(),
                    jobs_position=self._member.jobs_view.offset,
                    config_version=self._dependencies.config_version(),
                    forecast=self._start_forecast(now),
                )
            )
            await self._wait_for_next_heartbeat(now + HEARTBEAT_INTERVAL_S, append_s)
            if next(heartbeats) % HEARTBEATS_PER_LOAD_EVENT == 0:
                self._log_load()

    def _start_forecast(self, now: float) -> StartForecast:
        if not self._dependencies.admits_by_forecast:
            return StartForecast()
        teams, waiting = self._dependencies.teams(), self._placer.load.waiting
        forecast = start_forecast(self.state, teams, waiting > 0, now)
        self._member.admission.receive(forecast, self.epoch, now, own=True)
        return forecast

    async def _wait_for_next_heartbeat(self, due_at: float, append_s: float) -> None:
        """Waits until a heartbeat is due, or until the log has become slow.

        Until entry VMs know that it is slow, each of them appends jobs itself, and a
        slow log takes seconds for these appends.

        Args:
            due_at: Monotonic time in seconds.
            append_s: Duration of an append that the last heartbeat reported.
        """
        now = self._clock.now()
        self._timer_delay_s = 0.0
        while now < due_at:
            check_at = min(now + APPEND_CHECK_INTERVAL_S, due_at)
            await curio.sleep(check_at - now)
            now = self._clock.now()
            self._timer_delay_s = max(self._timer_delay_s, now - check_at)
            if append_s <= OWNER_SLOW_APPEND_S < self._newest_append_s(now):
                return
        self._max_heartbeat_delay_s = max(self._max_heartbeat_delay_s, now - due_at)

    def _newest_append_s(self, now: float) -> float:
        """Returns the seconds that the newest append took at the log.

        An owner short of processor time must not take its own delays for those of the
        log: it would get the appends of all entry VMs as well.
        """
        newest_s = max(
            self.writer.newest_append_s(now), self._member.appender.in_flight_s(now)
        )
        return max(0.0, newest_s - APPEND_WAKEUPS * self._timer_delay_s)

    def _log_load(self) -> None:
        report_load(
            self.state,
            self._placer,
            self.advice_dispatcher,
            self._dependencies.metrics,
            self._dependencies.journal,
            append=self.writer.append_s,
            late=self._max_heartbeat_delay_s,
            view=self._view_age_s(),
        )
        self._max_heartbeat_delay_s = 0.0

    async def _broadcast(self, message: OwnerBeat | ProgressRelay | EndedJobs) -> None:
        await self._member.peers.broadcast(map(SeatId, self._members.vms), message)

    async def announce_release(self) -> None:
        """Announces to the other entry VMs that the claim is released."""
        await self._broadcast(OwnerBeat(self.epoch, released=True))

    async def _run_guarded(self, loop) -> None:
        try:
            await loop()
        except WriterFenced as error:
            await self.end_ownership(str(error))
        except Exception as error:
            # An owner that lacks one of its tasks would block the cell, so it releases
            # the claim.
            log_failure(self._dependencies.journal, loop.__name__, error)
            await self.release_after_failure()

    async def _take_over(self) -> None:
        """Fences the predecessor and restores its state from the log."""
        # Members send a hello only after they have detected the new owner. Until then
        # the predecessor's list of members is used for advice calls.
        for entry in self._member.members:
            await self._register_member(entry, self._clock.now())
        await retry_until_answered(self.writer.fence)
        await retry_until_answered(self._member.reload_progress)
        await retry_until_answered(self._member.read_jobs)
        await retry_until_answered(self._read_registry)
        now = self._clock.now()
        for job_id in list(self._member.table.job_by_id):
            self._track_job(job_id, now, inherited=True)
        self.state.inherited_lease_s = self._lease_end_s
        # Also without open jobs: a predecessor may still start tasks of jobs that are
        # accepted now.
        self._await_reports(now)
        for worker in self.state.worker_by_vm.values():
            worker.assume_lease(self._predecessor_leases_end_at(worker.entry.vm, now))
        self._taken_over_at = now
        await self._lease_renewer.start_renewals()
        self._dependencies.journal.write(
            events.CELL_TAKEN_OVER,
            epoch=self.epoch,
            jobs=len(self.state.job_by_id),
            workers=len(self.state.worker_by_vm),
        )

    def _await_reports(self, now: float) -> None:
        """Blocks jobs on workers until they report or their leases have ended."""
        unreported = self.state.unreported
        # Entries of the registry may lapse while the workers run on, so the workers
        # count that predecessors have recorded.
        vms = self._inherited_vms
        if vms is None:
            has_predecessor = self.epoch > FIRST_EPOCH
            vms = frozenset(self.state.worker_by_vm if has_predecessor else ())
        for vm in vms.union(map(VmId, self._claim.silent_workers)):
            unreported.add(vm, self._predecessor_leases_end_at(vm, now))
        for row in self._claim.silent:
            # A lease that was not extended has also run since the claim was renewed.
            age_s = 0.0 if row.is_extended else self._claim_age_s
            until = now + row.lease_s - age_s
            until = max(until, self._former_calls_end_at(row.vm, now))
            unreported.add(row.vm, until, None if row.any_job else row.job_ids)
        self.state.stop_awaiting_expired(now)
        self.state.list_silent_workers(self._claim.silent, stored=True)

    def _predecessor_leases_end_at(self, vm: VmId, now: float) -> float:
        """Returns the monotonic time in seconds at which a predecessor's leases end.

        The worker may have restarted unseen. Calls for the clock of its former
        incarnation give it the longest lease.
        """
        leases_end_at = now + self._predecessor_wait_s()
        return max(leases_end_at, self._former_calls_end_at(vm, now))

    def _predecessor_wait_s(self) -> float:
        """Returns the seconds from a takeover until a predecessor's leases have ended.

        An order that is executed late may start a task, and extends the leases of all
        runs on its worker.
        """
        orders_end_s = PREDECESSOR_ORDER_WINDOW_S + self.state.order_delay_s
        calls_end_s = max(PREDECESSOR_RENEWAL_WINDOW_S, orders_end_s)
        return calls_end_s + longest_lease_s(self.state.max_lease_s)

    def _former_calls_end_at(self, vm: VmId, now: float) -> float:
        """Returns when leases by calls to former incarnations of a worker have ended.

        If the predecessor has listed the present incarnation as confirmed, no such call
        was executed after it made its claim. It may have heard one that the registry
        does not show.
        """
        worker = self.state.worker_by_vm.get(vm)
        ends_at = self.state.former_calls_end_at(worker) if worker else now
        born_by_vm = {row.vm: row.born for row in self._claim.restarted}
        if vm not in born_by_vm:
            return ends_at
        longest_end = now + longest_lease_s(self.state.max_lease_s)
        if worker and worker.born == born_by_vm[vm]:
            return min(ends_at, longest_end)
        return max(ends_at, longest_end)

    def _track_job(self, job_id: JobId, now: float, inherited: bool) -> None:
        track_job(self.state, self._member.table, job_id, now, inherited)

    async def _decision_loop(self) -> None:
        while True:
            async with curio.ignore_after(MAX_DECISION_INTERVAL_S):
                await self._decisions_needed.wait()
            await curio.sleep(EVENT_BATCHING_DELAY_S)
            self._decisions_needed.clear()
            now = self._clock.now()
            self.state.expire_leases(now)
            for order in self._decide(now):
                await self._send_order(order)
            self.state.remove_finished_jobs()
            await self.flush_changes()

    def _decide(self, now: float) -> list[Order]:
        if self.may_start_tasks():
            self.state.team_ledger.limits = self._dependencies.teams()
            capacity = self.advice_dispatcher.available_capacity(now)
            return self._placer.decide(now, capacity, self._view_age_s())
        return self._placer.due_run_orders(now) if self.may_give_orders() else []

    def may_start_tasks(self) -> bool:
        """Returns whether the ownership is confirmed and what it knows is recent."""
        if not self.may_give_orders():
            return False
        recent = self._freshness.is_recent(
            self._clock.now_with_suspensions(),
            not self._member.log.forwarding,
            self.count_other_vms,
        )
        if not recent:
            self._member.read_jobs_soon()
        if recent != self._is_view_recent:
            self._is_view_recent = recent
            self._dependencies.metrics.count("owner.view_changes")
            self._dependencies.journal.write(
                events.VIEW_RECENT if recent else events.VIEW_OUTDATED,
                epoch=self.epoch,
                seconds=self._view_age_s(),
                position=self._member.jobs_view.offset,
            )
        return recent

    def _view_age_s(self) -> float:
        """Returns the age of the proof that cancellations are known, in seconds."""
        return self._freshness.jobs_age_s(self._clock.now_with_suspensions())

    def may_give_orders(self) -> bool:
        """Returns whether leases may be extended and tasks be stopped now."""
        if self.ended:
            return False
        confirmed = self.evidence.is_valid(self.count_other_vms)
        if confirmed != self._is_confirmed:
            self._is_confirmed = confirmed
            self._dependencies.metrics.count("owner.confirmation_changes")
            event = events.OWNERSHIP_UNCONFIRMED
            if confirmed:
                event = events.OWNERSHIP_CONFIRMED
            self._dependencies.journal.write(
                event,
                epoch=self.epoch,
                seconds=self.evidence.age_s(self.count_other_vms()),
            )
        return confirmed

    def count_other_vms(self) -> int:
        """Returns the number of entry VMs of the cell, without this one."""
        return self._members.count(self._clock.now())

    async def flush_changes(self) -> None:
        """Writes pending events and triggers storing of changed job progress."""
        changes = self.state.changes
        for event, fields in changes.pending_events:
            self._dependencies.journal.write(event, **fields)
        changes.pending_events.clear()
        if changes.fenced:
            await self.end_ownership("a worker has seen a higher epoch")
        if changes.dirty:
            await self.writer.notify_changes()
        await self._announce_unstored_ends()

    async def _announce_unstored_ends(self) -> None:
        """Tells the other entry VMs of ended jobs while the log is slow.

        They show an end only once it is stored, but pass it on to a successor, which
        need not learn of it from a worker that may be lost.
        """
        now = self._clock.now()
        if self.writer.newest_append_s(now) < SLOW_APPEND_S:
            return
        if not self.may_give_orders():
            return
        states = self.state.changes.take_unannounced()
        if states:
            self._member.table.apply_reported_ends(states)
            await self._broadcast(EndedJobs(states))

    async def _send_order(self, order: Order) -> None:
        match order:
            case StartOrder():
                await curio.spawn(self._send_start, order, daemon=True)
            case StopOrder() | PaceOrder():
                await curio.spawn(self._send_run_order, order, daemon=True)
            case AdviceOrder():
                await self.advice_dispatcher.start_call(order, self._on_advice)

    async def _send_start(self, order: StartOrder) -> None:
        if self.state.is_start_wanted(order):
            answer = await self._start_with_retry(order)
        else:
            answer = OrderAnswer(OrderOutcome.NOT_WANTED)
        self._dependencies.metrics.count(f"starts.{answer.outcome.value}")
        self.state.apply_start_answer(order, answer, self._clock.now())
        await self._decisions_needed.set()

    async def _start_with_retry(self, order: StartOrder) -> OrderAnswer:
        """Sends a start order, and repeats it a few times if it gets no answer.

        Starts are idempotent: a worker accepts an order for a run that it already
        runs, so the answer to a repeat shows whether an earlier one arrived. Until the
        first one can no longer be executed, the task can run only there.
        """
        first = await self._start_once(order)
        answer = first
        for _ in range(MAX_START_REPEATS):
            if answer.outcome is not OrderOutcome.UNKNOWN:
                break
            if not self.state.is_start_wanted(order):
                break
            answer = await self._start_once(order)
            if answer.outcome is not OrderOutcome.NOT_SENT:
                self._dependencies.metrics.count("starts.repeated")
        if answer is first:
            return first
        if answer.outcome.is_conclusive:
            return replace(answer, in_doubt=True)
        # Other outcomes of a repeat do not determine that of the first order, which may
        # still arrive.
        return first

    async def _start_once(self, order: StartOrder) -> OrderAnswer:
        """Sends a start order under a lease if this owner may start tasks now.

        A silent worker gets no lease, nor does one whose restart is known and that has
        not reported since.
        """
        worker = self.state.worker_by_vm.get(order.vm)
        run = worker and worker.run_by_key.get((order.task, order.run))
        send_by = self._clock.now_with_suspensions() + MAX_SEND_DELAY_S
        if run is None or worker.entry.draining or not self.may_start_tasks():
            return OrderAnswer(OrderOutcome.NOT_SENT)
        now = self._clock.now()
        lease_end = worker.grant_lease(now, self.lease_s)
        if lease_end is None:
            return OrderAnswer(OrderOutcome.NOT_SENT)
        worker.record_order(run, now)
        number, entry = worker.token_number, worker.entry
        token = fencing_token(self.epoch, number)
        copies = run.copies
        answer = await self._dependencies.orders.start(
            entry, order, token, lease_end, send_by
        )
        if answer.outcome is OrderOutcome.UNKNOWN:
            self._dependencies.journal.write(
                events.ORDER_UNANSWERED,
                copy=copies,
                task=order.task,
                run=order.run,
                worker=order.vm,
                seconds=self._clock.now() - now,
                token=number,
                born=run.ordered_born,
            )
        return self.state.resolve_refusal(entry, answer, number)

    async def _send_run_order(self, order: StopOrder | PaceOrder) -> None:
        if not self.ended:
            await self._run_orders.send(order)
            await self._decisions_needed.set()

    async def _on_advice(self, order: AdviceOrder, reply: AdviceReply) -> None:
        if not reply.answered:
            self._dependencies.metrics.count("advice.unanswered")
        self.state.apply_advice(order.stage, order.vms, reply, self._clock.now())
        await self._decisions_needed.set()

    async def _registry_loop(self) -> None:
        due_at = self._clock.now()
        while True:
            # Counted from the previous read, however long its answer took.
            due_at = max(due_at + REGISTRY_POLL_INTERVAL_S, self._clock.now())
            await curio.sleep(due_at - self._clock.now())
            try:
                await self._read_registry()
            except LogUnavailable:
                continue
            await self._lease_renewer.start_renewals()
            await self._decisions_needed.set()

    def record_worker(self, vm: VmId) -> None:
        """Renews the claim at once if a worker has to be recorded before its use."""
        if not self.state.is_recorded(vm):
            self._member.claims.poll_soon()

    async def _read_registry(self) -> None:
        entry_by_vm = await self._worker_registry.read()
        self.state.update_registry(entry_by_vm, self._clock.now())

    def _collect_progress(self) -> ProgressBatch:
        changes = self.state.changes
        jobs = [self.state.job_by_id.get(job_id) for job_id in changes.dirty]
        batch = [(job.id, job.progress()) for job in jobs if job]
        changes.storing, changes.dirty = {job_id for job_id, _ in batch}, set()
        return batch

    async def _on_progress_stored(
        self, offset: int, progress: ProgressBatch, sent_at: float
    ) -> None:
        self.evidence.confirm(sent_at)
        changes = self.state.changes
        states = [RelayedState(job_id, row.state) for job_id, row in progress]
        changed = changes.select_changed(states)
        changes.storing.difference_update(row.job_id for row in states)
        changes.mark_stored(row.job_id for row in states if row.state.is_final)
        relay = ProgressRelay(offset, changed, len(states))
        self._member.apply_relay(relay)
        await self._broadcast(relay)
