"""One entry VM of a cell.

A member replicates the cell's jobs and their progress from the log, stores submissions
and cancellations, and may own the cell. It exchanges messages with the other members
and makes calls of the log and of the advice service for them.
"""

import itertools

import curio

from arbutusladder import events
from arbutusladder.backgroundtasks import log_failure, spawn_logged
from arbutusladder.cell.appender import (
    FORWARDING_MARGIN_S,
    JobAppender,
    OwnerStoreReply,
)
from arbutusladder.cell.claimmanager import ClaimManager
from arbutusladder.cell.dependencies import CellDependencies
from arbutusladder.cell.forecast.admissioncontrol import AdmissionControl
from arbutusladder.cell.forwardinglog import ForwardingLog
from arbutusladder.cell.indoubt import InDoubtKeys
from arbutusladder.cell.interfaces import KeyedRecord, LogBatch, OffsetDeleted
from arbutusladder.cell.jobtable import (
    JOBS_TOPIC,
    PROGRESS_TOPIC,
    JobTable,
    cancellation_item,
    cancelled_job_id,
    submission_item,
)
from arbutusladder.cell.logretry import retry_until_answered
from arbutusladder.cell.memberregistry import select_forwarders
from arbutusladder.cell.owner import Owner
from arbutusladder.cell.preview.service import PreviewService
from arbutusladder.cell.progressposition import ProgressPosition
from arbutusladder.cell.sharedread import SharedRead
from arbutusladder.cell.states import JobPhase, JobsSource, SubmissionOutcome
from arbutusladder.cell.storedcancellations import StoredCancellations
from arbutusladder.cell.teamusage.caps import check_caps
from arbutusladder.cell.topicview import TopicView
from arbutusladder.errors import LogUnavailable
from arbutusladder.ids import Epoch, JobId, RequestId, SeatId, VmId
from arbutusladder.messages import (
    AdviceCall,
    AdviceReply,
    EndedJobs,
    EntryVm,
    JobsInDoubt,
    JobsRelay,
    LogCall,
    LogEntry,
    LogReply,
    MemberHello,
    MemberList,
    OwnerBeat,
    PreviewCall,
    PreviewReply,
    ProgressRelay,
    StoreCall,
    StoreItem,
    StoreReply,
    SubmittedJob,
)
from arbutusladder.peers import PeerTransport, ReceivedMessage

# Seconds between reads of the jobs topic by an entry VM that does not own the cell.
JOBS_POLL_INTERVAL_S = 1.0
# Seconds between reads of the progress topic; the owner also relays its records.
PROGRESS_POLL_INTERVAL_S = 1.0
# Seconds between reads of the jobs topic by the owner, which find the jobs that other
# entry VMs could not relay.
OWNER_JOBS_POLL_INTERVAL_S = 0.3
# Seconds between hellos to the owner.
HELLO_INTERVAL_S = 0.5
# Seconds between hellos until the owner has sent the list of members.
INITIAL_HELLO_INTERVAL_S = 0.1
# Seconds before a read of the log is repeated after a failure.
RETRY_DELAY_S = 0.2
# Seconds between checks, while waiting for the next read, whether it is due at once.
POLL_STEP_S = 0.1


class Member:
    """Replicates the jobs of a cell from the log and stores new ones.

    Args:
        vm: Name of this entry VM.
        listen: Address that other entry VMs connect to.
        dependencies: Services and settings of the entry VM.

    Attributes:
        table: Jobs and their progress as last read.
        log: Log client that forwards calls through other entry VMs if necessary.
        peers: Connections to the other entry VMs.
        appender: Stores submissions and cancellations.
        members: The other entry VMs, as the owner last listed them.
        claims: Watches the claim and runs the owner.
        admission: Decides by the owner's forecast which jobs have room.
        previews: Tells where jobs would be placed now.
        loaded: Whether the jobs and their progress were read once.
    """

    def __init__(self, vm: VmId, listen: str, dependencies: CellDependencies):
        self.vm = vm
        self.table = JobTable()
        self.listen = listen
        self._dependencies = dependencies
        self._clock = dependencies.clock
        self.log = ForwardingLog(
            dependencies.log,
            listen,
            dependencies.clock,
            dependencies.journal,
            dependencies.metrics,
        )
        self.peers = PeerTransport(
            SeatId(vm),
            listen,
            {},
            self._handle_message,
            dependencies.clock,
            dependencies.metrics,
            lambda error: log_failure(dependencies.journal, "message handler", error),
            dependencies.settings.peer_limits,
        )
        self.appender = JobAppender(self.log, self._clock, self)
        self.log.set_forwarders(self.peers, self._forwarding_seats)
        self.members: list[EntryVm] = []
        self._list_version = ""
        self._owner_reaches_log = True
        self._store_call_seats: set[SeatId] = set()
        self._in_doubt = InDoubtKeys()
        self._address_by_forwarding_vm: dict[VmId, str] = {}
        self._call_numbers = itertools.count(1)
        self.jobs_view = TopicView()
        self._stored_cancellations = StoredCancellations()
        self._jobs_read_wanted = False
        self._shared_jobs_read = SharedRead(self._read_jobs, LogUnavailable)
        self._progress_position = ProgressPosition()
        self.claims = ClaimManager(self, dependencies)
        self.admission = AdmissionControl(
            self, self.claims, self._clock, dependencies.journal, dependencies.metrics
        )
        self.previews = PreviewService(self, dependencies)
        self.loaded = False

    async def run(self) -> None:
        """Runs until cancelled."""
        async with curio.TaskGroup() as group:
            await group.spawn(self.peers.run)
            await group.spawn(self.appender.run)
            await group.spawn(self.appender.run_passing)
            await group.spawn(self.appender.probe)
            await group.spawn(self.log.run)
            await retry_until_answered(self.claims.load)
            # These start before the jobs are read, which takes long over a slow link:
            # the owner needs members for advice calls before that.
            await group.spawn(self.claims.run)
            await group.spawn(self._send_hellos)
            await self._load_from_log()
            await group.spawn(self._poll_jobs)
            await group.spawn(self._poll_progress)

    async def stop(self) -> None:
        """Releases the claim so that another entry VM can claim the cell at once."""
        await self.claims.stop()

    async def close(self) -> None:
        """Ends an ownership without releasing the claim; call it after `run`."""
        await self.claims.close()

    @property
    def _owner(self) -> Owner | None:
        return self.claims.owner

    def _forwarding_seats(self) -> list[SeatId]:
        return [SeatId(vm) for vm in self._address_by_forwarding_vm]

    def healthy(self, now: float) -> bool:
        """Returns whether this entry VM can store jobs."""
        return self.loaded and not self.appender.in_outage(now)

    async def submit(self, record: SubmittedJob, deadline: float) -> SubmissionOutcome:
        """Stores a job; a job whose id is already known is accepted unchanged.

        Raises:
            JobTooLarge: The job exceeds a limit of `arbutusladder.cell.joblimits`.
            JobExceedsCap: A step can never run below the cap of its team.
            NoRoom: The job would end too late to be worth anything.
        """
        if self.table.phase(record.job_id) is not None:
            return SubmissionOutcome.ACCEPTED
        item = submission_item(record)
        limits = self._dependencies.settings.job_limits
        limits.check_submission(len(item[1]))
        limits.check_tasks(record)
        if not self._in_doubt.contains(item[0], self._clock.now()):
            check_caps(record, self._dependencies.teams())
        if self._dependencies.admits_by_forecast:
            await self.admission.check(record)
        return await self._store(item, deadline)

    async def cancel(self, job_id: JobId, deadline: float) -> SubmissionOutcome | None:
        """Stores a cancellation.

        Returns:
            The outcome; None if the job does not exist.

        Raises:
            LogUnavailable: The job is not known here and the log does not answer.
        """
        phase = await self.lookup(job_id)
        if phase is None:
            return None
        if phase.is_final:
            return SubmissionOutcome.ACCEPTED
        return await self._store(cancellation_item(job_id), deadline)

    async def _store(
        self, item: tuple[str, bytes], deadline: float
    ) -> SubmissionOutcome:
        in_doubt = self._in_doubt.contains(item[0], self._clock.now())
        return await self.appender.store(item, deadline, in_doubt)

    def is_in_doubt(self, key: str) -> bool:
        """Returns whether an append of a key may be in progress or take effect."""
        in_doubt = self._in_doubt.contains(key, self._clock.now())
        return in_doubt or self.appender.is_storing(key)

    async def on_in_doubt(self, keys: list[str]) -> None:
        """Announces appends that may still take effect to all entry VMs.

        Otherwise another entry VM could answer a client's retry with "not stored"
        although the job runs once the first append takes effect.
        """
        self._in_doubt.add(keys, self._clock.now())
        for member in self.members:
            await self.peers.connect(SeatId(member.vm), member.listen)
            await self.peers.send(SeatId(member.vm), JobsInDoubt(keys))

    async def lookup(self, job_id: JobId) -> JobPhase | None:
        """Returns the state of a job; reads the log if the job is not known yet.

        Raises:
            LogUnavailable: The job is not known here and the log does not answer.
        """
        phase = self.table.phase(job_id)
        if phase is None:
            await self.read_jobs()
            phase = self.table.phase(job_id)
        return phase

    async def _load_from_log(self) -> None:
        while not self.loaded:
            sent_at = self._clock.now_with_suspensions()
            try:
                jobs = await self.log.newest(JOBS_TOPIC)
                progress = await self.log.newest(PROGRESS_TOPIC)
            except LogUnavailable:
                await curio.sleep(RETRY_DELAY_S)
                continue
            await self._apply_jobs(jobs.records, JobsSource.READ)
            self.table.apply_progress(progress.records)
            self.jobs_view.record_read(
                jobs, sent_at, self._clock.now_with_suspensions()
            )
            self._progress_position.record_read(progress.next_offset)
            self.loaded = True
            # This entry VM may claim the cell from now on.
            self.claims.poll_soon()

    async def _apply_jobs(self, records: list[KeyedRecord], source: JobsSource) -> None:
        changed = self.table.apply_jobs(records)
        now = self._clock.now()
        for record in records:
            job_id = cancelled_job_id(record)
            if job_id is not None:
                self._stored_cancellations.add(job_id, record.offset, now)
        await self.appender.confirm(record.key for record in records if record.value)
        await self._handle_job_changes(changed, source)

    async def _handle_job_changes(
        self, job_ids: list[JobId], source: JobsSource
    ) -> None:
        if job_ids and self._owner:
            await self._owner.handle_job_changes(job_ids)
            self._log_cancellations(job_ids, source)

    def _log_cancellations(self, job_ids: list[JobId], source: JobsSource) -> None:
        age_s = self._clock.now_with_suspensions() - self.jobs_view.complete_at
        for job_id in job_ids:
            entry = self.table.job_by_id[job_id]
            if entry.cancelled:
                self._dependencies.journal.write(
                    events.JOB_CANCEL_APPLIED,
                    job=job_id,
                    offset=entry.cancel_offset,
                    source=source.value,
                    position=self.jobs_view.offset,
                    seconds=age_s,
                )

    async def on_stored(self, records: list[KeyedRecord]) -> None:
        """Applies records that this entry VM appended and relays them to the owner."""
        await self._apply_appended_jobs(records, JobsSource.OWN_APPEND)
        claim = self.claims.current
        if claim and claim.holder != self.vm:
            entries = [LogEntry(r.offset, r.key, r.value) for r in records]
            await self.peers.send(SeatId(claim.holder), JobsRelay(entries))

    async def read_back(self) -> bool:
        """Reads the jobs topic to its end; returns whether the log answered."""
        try:
            await self.read_jobs()
        except LogUnavailable:
            return False
        return True

    def has_other_owner(self) -> bool:
        """Returns whether items may be passed on; see `AppenderPeers`."""
        claim = self.claims.current
        return (
            claim is not None
            and not claim.released
            and claim.holder != self.vm
            and self._owner_reaches_log
            and not self.claims.is_owner_silent(self._clock.now())
        )

    async def store_at_owner(
        self, items: list[StoreItem], wait_s: float
    ) -> OwnerStoreReply | None:
        """Passes items to the owner; see `AppenderPeers.store_at_owner`."""
        claim = self.claims.current
        if claim is None:
            return None
        self._dependencies.metrics.count("store.passed_to_owner", len(items))
        request_id = RequestId(f"{self.listen}/store/{next(self._call_numbers)}")
        call = StoreCall(request_id, self.listen, items, wait_s)
        owner = SeatId(claim.holder)
        self._store_call_seats.add(owner)
        timeout_s = wait_s + FORWARDING_MARGIN_S
        reply = await self.peers.call(owner, call, timeout_s, cancellable=True)
        return OwnerStoreReply(reply.outcomes, reply.append_s) if reply else None

    async def abandon_store_calls(self) -> None:
        """Ends the store calls to earlier owners; see `AppenderPeers`."""
        while self._store_call_seats:
            await self.peers.cancel_calls(self._store_call_seats.pop())

    async def _serve_store_call(self, sender: SeatId, call: StoreCall) -> None:
        await self.peers.connect(sender, call.listen)
        now = self._clock.now()
        tasks = [
            await curio.spawn(
                self.appender.store,
                (item.key, item.value),
                now + (item.wait_s or call.wait_s),
                item.in_doubt,
                True,
            )
            for item in call.items
        ]
        outcomes = [await task.join() for task in tasks]
        reply = StoreReply(call.request_id, outcomes, self.appender.append_s)
        await self.peers.send(sender, reply)

    async def _apply_appended_jobs(
        self, records: list[KeyedRecord], source: JobsSource
    ) -> None:
        self.jobs_view.record_records(records[0].offset, len(records))
        await self._apply_jobs(records, source)

    async def apply_reported_cancellations(self, job_ids: list[JobId]) -> None:
        """Applies cancellations that another entry VM has stored."""
        changed = self.table.apply_cancellations(job_ids)
        await self._handle_job_changes(changed, JobsSource.HELLO)

    async def _poll_jobs(self) -> None:
        while True:
            try:
                await self.read_jobs()
            except LogUnavailable:
                await curio.sleep(RETRY_DELAY_S)
            self._jobs_read_wanted = False
            due_at = self._clock.now() + self._jobs_poll_interval()
            while self._clock.now() < due_at and not self._jobs_read_wanted:
                await curio.sleep(POLL_STEP_S)

    def read_jobs_soon(self) -> None:
        """Reads the jobs topic at once instead of at the next poll."""
        self._jobs_read_wanted = True

    def _jobs_poll_interval(self) -> float:
        return OWNER_JOBS_POLL_INTERVAL_S if self._owner else JOBS_POLL_INTERVAL_S

    async def read_jobs(self) -> None:
        """Reads the jobs topic to its end."""
        await self._shared_jobs_read.run()

    async def _read_jobs(self) -> None:
        while True:
            sent_at = self._clock.now_with_suspensions()
            self.jobs_view.begin_read(sent_at)
            try:
                batch = await self._read_jobs_batch()
            except LogUnavailable:
                self.jobs_view.record_failure()
                raise
            await self._apply_jobs(batch.records, JobsSource.READ)
            answered_at = self._clock.now_with_suspensions()
            self.jobs_view.record_read(batch, sent_at, answered_at)
            if self.jobs_view.offset >= batch.end or not batch.records:
                return

    async def _read_jobs_batch(self) -> LogBatch:
        try:
            return await self.log.read(JOBS_TOPIC, self.jobs_view.offset)
        except OffsetDeleted:
            batch = await self.log.newest(JOBS_TOPIC)
            self.table.discard_deleted(batch)
            return batch

    async def _poll_progress(self) -> None:
        while True:
            try:
                await self.read_progress()
            except LogUnavailable:
                await curio.sleep(RETRY_DELAY_S)
            await curio.sleep(PROGRESS_POLL_INTERVAL_S)

    async def read_progress(self) -> None:
        """Reads the progress topic to its end."""
        while True:
            try:
                batch = await self.log.read(
                    PROGRESS_TOPIC, self._progress_position.offset
                )
            except OffsetDeleted:
                batch = await self.log.newest(PROGRESS_TOPIC)
            self.table.apply_progress(batch.records)
            await self.appender.confirm(record.key for record in batch.records)
            self._progress_position.record_read(batch.next_offset)
            if self._progress_position.offset >= batch.end or not batch.records:
                return

    async def reload_progress(self) -> None:
        """Reads the complete progress; the owner relays only job states.

        Pages of the newest records may have been read seconds before the call, so the
        records since then are read whatever was relayed.
        """
        batch = await self.log.newest(PROGRESS_TOPIC)
        self.table.apply_progress(batch.records)
        self._progress_position.restart(batch.next_offset)
        await self.read_progress()

    def apply_relay(self, relay: ProgressRelay) -> None:
        """Applies job states that the owner relayed."""
        self.table.apply_relayed_states(relay.offset, relay.states)
        count = relay.count or len(relay.states)
        self._progress_position.record_relay(relay.offset, count)

    async def _send_hellos(self) -> None:
        while True:
            self._report_malformed_records()
            claim = self.claims.current
            if claim and not claim.released and claim.holder != self.vm:
                seat = SeatId(claim.holder)
                await self.peers.connect(seat, claim.address)
                await self.peers.send(seat, self._hello())
            await curio.sleep(
                HELLO_INTERVAL_S if self.members else INITIAL_HELLO_INTERVAL_S
            )

    def _report_malformed_records(self) -> None:
        metrics = self._dependencies.metrics
        metrics.gauge("records.malformed", self.table.malformed)
        metrics.gauge("claims.malformed", self.claims.malformed)

    def _hello(self) -> MemberHello:
        heartbeat = self.claims.newest_heartbeat
        return MemberHello(
            self.vm,
            self.listen,
            self.table.unstored_ends(),
            self._dependencies.settings.undersized,
            heartbeat.epoch if heartbeat else Epoch(0),
            heartbeat.number if heartbeat else 0,
            self._list_version,
            self._stored_cancellations.unknown_to_owner(heartbeat, self._clock.now()),
        )

    def own_entry(self) -> EntryVm:
        """Returns this entry VM as lists of entry VMs contain it."""
        return EntryVm(self.vm, self.listen, self._dependencies.settings.undersized)

    async def update_members(self, members: list[EntryVm]) -> None:
        """Stores the list of members and connects to those that forward log calls."""
        self.members = [member for member in members if member.vm != self.vm]
        forwarders = select_forwarders(self.vm, self.members)
        self._address_by_forwarding_vm = {
            member.vm: member.listen for member in forwarders
        }
        for vm, listen in self._address_by_forwarding_vm.items():
            await self.peers.connect(SeatId(vm), listen)

    async def _serve_log_call(self, sender: SeatId, call: LogCall) -> None:
        await self.peers.connect(sender, call.listen)
        await self.peers.send(sender, await self.log.serve_forwarded(call))

    async def _handle_message(self, received: ReceivedMessage) -> None:
        sender = received.sender
        match received.message:
            case MemberHello() as hello:
                if self._owner:
                    await self._owner.handle_hello(hello)
            case MemberList() as listed:
                self._list_version = listed.version
                await self.update_members(listed.members)
            case LogCall() as call:
                await curio.spawn(self._serve_log_call, sender, call, daemon=True)
            case JobsRelay() as relay:
                await self._apply_appended_jobs(
                    [KeyedRecord(r.offset, r.key, r.value) for r in relay.records],
                    JobsSource.RELAY,
                )
            case JobsInDoubt() as doubt:
                self._in_doubt.add(doubt.keys, self._clock.now())
            case EndedJobs() as ended:
                self.table.apply_reported_ends(ended.states)
            case ProgressRelay() as relay:
                self.apply_relay(relay)
                await self.appender.confirm(state.job_id for state in relay.states)
            case AdviceCall() as call:
                await curio.spawn(self._serve_advice_call, sender, call, daemon=True)
            case StoreCall() as call:
                await spawn_logged(
                    self._dependencies.journal,
                    "store call",
                    self._serve_store_call,
                    sender,
                    call,
                )
            case PreviewCall() as call:
                await spawn_logged(
                    self._dependencies.journal,
                    "preview",
                    self.previews.serve,
                    sender,
                    call,
                )
            case AdviceReply() | LogReply() | PreviewReply() | StoreReply() as reply:
                await self.peers.resolve_call(reply)
            case OwnerBeat() as beat:
                self.appender.owner_append_s = beat.append_s
                self._owner_reaches_log = beat.reaches_log
                await self._dependencies.on_config_version(beat.config_version)
                await self.claims.handle_heartbeat(beat)
                self.admission.receive(beat.forecast, beat.epoch, self._clock.now())

    async def _serve_advice_call(self, sender: SeatId, call: AdviceCall) -> None:
        reply = await self._dependencies.advisor.advise(
            call.request_id, call.stage, call.workers, call.timeout_s
        )
        await self.peers.send(sender, reply)
