"""One entry VM of a cell: follows the log, takes jobs in, may own the workers."""

from collections.abc import Callable
from dataclasses import dataclass

import curio

from arbutusladder import events
from arbutusladder.cell.appender import JobAppender
from arbutusladder.cell.claims import (
    OWNER_TOPIC,
    RENEW_S,
    ClaimView,
    claim_item,
)
from arbutusladder.cell.interfaces import (
    Advisor,
    EndMoved,
    KeyedLog,
    KeyedRecord,
    LogBatch,
    PositionLost,
    WorkerEntry,
    WorkerOrders,
)
from arbutusladder.cell.jobtable import (
    JOBS_TOPIC,
    PROGRESS_TOPIC,
    JobTable,
    cancel_item,
    job_item,
)
from arbutusladder.cell.owner import Owner
from arbutusladder.cell.states import JobPhase, Submission
from arbutusladder.clock import Clock
from arbutusladder.errors import LogUnavailable
from arbutusladder.ids import JobId, SeatId, VmId
from arbutusladder.journal import Journal
from arbutusladder.messages import (
    AdviceCall,
    AdviceReply,
    CellClaim,
    MemberHello,
    OwnerBeat,
    ProgressRelay,
    SubmittedJob,
)
from arbutusladder.metrics import Metrics
from arbutusladder.peers import Peers, Received

# Seconds between reads of the jobs topic by entry VMs that do not own the cell.
FOLLOW_JOBS_S = 1.0
# Seconds between reads of the progress topic, which the owner also relays.
FOLLOW_PROGRESS_S = 1.0
# Seconds for which the owner's read waits for the next job; a silent connection is
# noticed after it.
OWNER_WAIT_S = 1.0
WATCH_CLAIM_S = 0.4
HELLO_S = 0.5
RETRY_S = 0.2


@dataclass(frozen=True)
class CellSettings:
    """Limits that the surroundings set.

    Attributes:
        registry_topic: Topic in which workers register.
        longest_lease_s: Longest lease that a worker grants.
    """

    registry_topic: str
    longest_lease_s: float


@dataclass
class Surroundings:
    """What an entry VM works with."""

    log: KeyedLog
    orders: WorkerOrders
    advisor: Advisor
    decode_worker: Callable[[KeyedRecord], WorkerEntry | None]
    clock: Clock
    journal: Journal
    metrics: Metrics
    settings: CellSettings


class Member:
    """Follows the log and answers for the jobs on it.

    Args:
        vm: Name of this entry VM.
        listen: Address for other entry VMs.
        surroundings: Log, workers and clocks.
    """

    def __init__(self, vm: VmId, listen: str, surroundings: Surroundings):
        self.vm = vm
        self.table = JobTable()
        self.listen = listen
        self._around = surroundings
        self._clock = surroundings.clock
        self._log = surroundings.log
        self.peers = Peers(
            SeatId(vm),
            listen,
            {},
            self._received,
            surroundings.clock,
            surroundings.metrics,
        )
        self.appender = JobAppender(self._log, self._clock, self._apply_jobs)
        self._jobs_offset = 0
        self._progress_offset = 0
        self._claims = ClaimView(vm)
        self._owner: Owner | None = None
        self._stopping = False
        self.loaded = False
        self._heard_log_at = self._clock.now()

    async def run(self) -> None:
        """Runs until cancelled."""
        async with curio.TaskGroup() as group:
            await group.spawn(self.peers.run)
            await group.spawn(self.appender.run)
            await group.spawn(self.appender.probe)
            await self._load()
            await group.spawn(self._follow_jobs)
            await group.spawn(self._follow_progress)
            await group.spawn(self._watch_claims)
            await group.spawn(self._greet_owner)

    async def stop(self) -> None:
        """Gives the cell up so that another entry VM claims it at once."""
        self._stopping = True
        if self._owner:
            await self._owner.release()

    def healthy(self, now: float) -> bool:
        """Returns whether this entry VM can store jobs."""
        return self.loaded and not self.appender.in_outage(now)

    async def submit(self, record: SubmittedJob, deadline: float) -> Submission:
        """Stores a job; a job with a known id is accepted as it is."""
        if self.table.phase(record.job_id) is not None:
            return Submission.ACCEPTED
        return await self.appender.store(job_item(record), deadline)

    async def cancel(self, job_id: JobId, deadline: float) -> Submission | None:
        """Stores a cancellation; returns None if there is no such job."""
        phase = await self.lookup(job_id)
        if phase is None:
            return None
        if phase.is_final:
            return Submission.ACCEPTED
        return await self.appender.store(cancel_item(job_id), deadline)

    async def lookup(self, job_id: JobId) -> JobPhase | None:
        """Returns the state of a job, reading the log if it is not known yet.

        Raises:
            LogUnavailable: The job is not known here and the log does not answer.
        """
        phase = self.table.phase(job_id)
        if phase is None:
            await self.read_jobs()
            phase = self.table.phase(job_id)
        return phase

    async def _load(self) -> None:
        while not self.loaded:
            try:
                jobs = await self._log.newest(JOBS_TOPIC)
                progress = await self._log.newest(PROGRESS_TOPIC)
                await self._read_claims(await self._log.newest(OWNER_TOPIC))
            except LogUnavailable:
                await curio.sleep(RETRY_S)
                continue
            await self._apply_jobs(jobs.records)
            self.table.apply_progress(progress.records)
            self._jobs_offset = jobs.next_offset
            self._progress_offset = progress.next_offset
            self.loaded = True

    async def _apply_jobs(self, records: list[KeyedRecord]) -> None:
        changed = self.table.apply_jobs(records)
        if changed and self._owner:
            await self._owner.jobs_changed(changed)

    async def _follow_jobs(self) -> None:
        while True:
            owns = self._owner is not None
            try:
                await self.read_jobs(OWNER_WAIT_S if owns else 0.0)
            except LogUnavailable:
                await curio.sleep(RETRY_S)
                continue
            if not owns:
                await self._sleep_unless_owner(FOLLOW_JOBS_S)

    async def _sleep_unless_owner(self, seconds: float) -> None:
        until = self._clock.now() + seconds
        while self._owner is None and self._clock.now() < until:
            await curio.sleep(RETRY_S)

    async def read_jobs(self, wait: float = 0.0) -> None:
        """Reads the jobs topic to its end.

        Args:
            wait: Seconds to wait for the first record.
        """
        while True:
            try:
                batch = await self._log.read(JOBS_TOPIC, self._jobs_offset, wait)
            except PositionLost:
                batch = await self._log.newest(JOBS_TOPIC)
            self._heard_log_at = self._clock.now()
            await self._apply_jobs(batch.records)
            self._jobs_offset = max(self._jobs_offset, batch.next_offset)
            if self._jobs_offset >= batch.end or not batch.records:
                return
            wait = 0.0

    async def _follow_progress(self) -> None:
        while True:
            try:
                await self.read_progress()
            except LogUnavailable:
                await curio.sleep(RETRY_S)
            await curio.sleep(FOLLOW_PROGRESS_S)

    async def read_progress(self) -> None:
        """Reads the progress topic to its end."""
        while True:
            start = self._progress_offset
            try:
                batch = await self._log.read(PROGRESS_TOPIC, start)
            except PositionLost:
                batch = await self._log.newest(PROGRESS_TOPIC)
            self.table.apply_progress(batch.records)
            self._progress_offset = max(self._progress_offset, batch.next_offset)
            if self._progress_offset >= batch.end or not batch.records:
                return

    def apply_own_progress(self, records: list[KeyedRecord]) -> None:
        """Takes progress that this entry VM appended itself."""
        self.table.apply_progress(records)
        if records and records[0].offset == self._progress_offset:
            self._progress_offset += len(records)

    async def _watch_claims(self) -> None:
        while True:
            try:
                if self._owner is None:
                    await self._read_claims()
                    await self._claim_if_free()
                else:
                    await self._renew()
            except LogUnavailable as error:
                self._around.metrics.count("claims.log_unavailable")
                del error
            owned = self._owner is not None
            await curio.sleep(RENEW_S if owned else WATCH_CLAIM_S)

    async def _read_claims(self, batch: LogBatch | None = None) -> None:
        if batch is None:
            try:
                batch = await self._log.read(OWNER_TOPIC, self._claims.end)
            except PositionLost:
                batch = await self._log.newest(OWNER_TOPIC)
        self._claims.apply(batch.records, batch.end, self._clock.now())

    async def _claim_if_free(self) -> None:
        now = self._clock.now()
        if self._stopping or not self._claims.may_claim(now):
            return
        claim = self._claims.next_claim(self.listen)
        if await self._append_claim(claim):
            await self._start_owner(claim)

    async def _append_claim(self, claim: CellClaim) -> bool:
        view = self._claims
        try:
            offset = await self._log.append(
                OWNER_TOPIC, [claim_item(claim)], expected_end=view.end
            )
        except EndMoved:
            # An append of ours without an answer may be what moved the end.
            await self._read_claims()
            return view.held_by_me(claim.epoch)
        view.claim, view.end, view.changed_at = claim, offset + 1, self._clock.now()
        return True

    async def _renew(self) -> None:
        owner = self._owner
        claim = self._claims.claim
        renewed = CellClaim(
            owner.epoch,
            self.vm,
            self.listen,
            claim.sequence + 1,
            silent_workers=owner.silent_workers(),
        )
        if not await self._append_claim(renewed):
            await owner.lose("another entry VM has claimed the cell")

    async def _start_owner(self, claim: CellClaim) -> None:
        self._owner = Owner(claim, self, self._around)
        await curio.spawn(self._run_owner, self._owner, daemon=True)

    async def _run_owner(self, owner: Owner) -> None:
        journal = self._around.journal
        journal.write(events.CELL_CLAIMED, epoch=owner.epoch)
        try:
            cause = await owner.run()
        finally:
            if self._owner is owner:
                self._owner = None
        journal.write(events.CELL_LOST, epoch=owner.epoch, reason=cause)
        if owner.released:
            await self._append_release(owner)

    async def _append_release(self, owner: Owner) -> None:
        released = CellClaim(
            owner.epoch,
            self.vm,
            self.listen,
            0,
            released=True,
            silent_workers=owner.silent_workers(),
        )
        try:
            await self._append_claim(released)
        except LogUnavailable:
            self._around.metrics.count("claims.log_unavailable")

    async def _greet_owner(self) -> None:
        while True:
            claim = self._claims.claim
            if claim and not claim.released and claim.holder != self.vm:
                seat = SeatId(claim.holder)
                await self.peers.connect(seat, claim.address)
                await self.peers.send(seat, MemberHello(self.vm, self.listen))
            await curio.sleep(HELLO_S)

    async def _received(self, received: Received) -> None:
        match received.message:
            case MemberHello() as hello:
                if self._owner:
                    await self._owner.greeted(hello)
            case ProgressRelay() as relay:
                await self._take_relay(relay)
            case AdviceCall() as call:
                await curio.spawn(self._advise, received.sender, call, daemon=True)
            case AdviceReply() as reply:
                await self.peers.resolve(reply)
            case OwnerBeat():
                pass

    async def _take_relay(self, relay: ProgressRelay) -> None:
        # A gap is filled by the next read of the topic.
        records = [
            KeyedRecord(relay.offset + number, key.decode(), value)
            for number, (key, value) in enumerate(
                zip(relay.records[::2], relay.records[1::2], strict=True)
            )
        ]
        self.table.apply_progress(records)
        if relay.offset == self._progress_offset:
            self._progress_offset += len(records)

    async def _advise(self, sender: SeatId, call: AdviceCall) -> None:
        reply = await self._around.advisor.advise(
            call.request_id, call.stage, call.workers, call.timeout_s
        )
        await self.peers.send(sender, reply)
