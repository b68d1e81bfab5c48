"""Workers in the owner's state: free resources, runs, leases and health."""

import math
from collections import deque
from dataclasses import dataclass, field

from arbutusladder.cell.interfaces import WorkerEntry
from arbutusladder.cell.performance.longterm import WorkerSpeed
from arbutusladder.cell.performance.speed import FINISHED_PERCENT, MIN_OBSERVATION_S
from arbutusladder.cell.runs import MAX_ORDER_DELAY_S, Run, RunKey
from arbutusladder.cell.states import RunPhase
from arbutusladder.ids import JobId
from arbutusladder.messages import QueueTerms, Resources
from arbutusladder.resources import add, subtract

# Largest share by which a worker's clock may run slower than the owner's.
CLOCK_RATE_ERROR = 0.02
# Difference in seconds up to which two answers show one clock: their delays.
CLOCK_TOLERANCE_S = 0.2
# Seconds that a worker may take to kill its tasks after a lease has ended.
LEASE_END_MARGIN_S = 0.2
# Consecutive failed runs, of more than one job, after which a worker is on trial:
# it gets one task at a time.
FAILURES_BEFORE_TRIAL = 3
# Seconds after the last failure until a worker on trial gets a task.
TRIAL_PAUSE_S = 1.5
# Seconds since the last failure after which a worker on trial may take several members
# of a gang that fits nowhere else. Single tasks have tried it long before, if any came.
GANG_TRIAL_AFTER_S = 6.0
# Seconds that a run has to last to make room for the next task on a worker on trial; a
# run of a task that lasts then also counts as a success, since it never ends as one.
PROVING_S = 2.0

# Incarnations of a worker that are remembered beside the newest one; reports and
# entries of earlier ones are too old to arrive.
FORMER_BORNS = 8


def longest_lease_s(lease_s: float) -> float:
    """Returns the seconds after which a lease has ended on the slowest clock.

    Args:
        lease_s: Duration of the lease in seconds of the worker's clock.
    """
    return lease_s * (1 + CLOCK_RATE_ERROR) + LEASE_END_MARGIN_S


def order_delay_s(queue: QueueTerms) -> float:
    """Returns the seconds after which no order to start a task of a queue is executed.

    A worker rejects an order whose ticket is no longer valid.
    """
    if queue.advice_s > 0 and queue.advice_validity_s > 0:
        return min(queue.advice_validity_s, MAX_ORDER_DELAY_S)
    return MAX_ORDER_DELAY_S


def latest_order_end_s(max_lease_s: float) -> float:
    """Returns the seconds after which a run by an order without an answer has ended.

    Args:
        max_lease_s: Longest lease in seconds that a worker accepts.
    """
    return MAX_ORDER_DELAY_S + longest_lease_s(max_lease_s)


@dataclass(slots=True, eq=False)
class Worker:
    """A worker, through all its incarnations.

    Attributes:
        entry: Its entry in the registry, which may be of an earlier incarnation.
        born: Start time of the newest known incarnation.
        born_known_at: Monotonic time in seconds from which on nobody answers calls for
            an earlier one.
        former_borns: Start times of the last incarnations before it. They may be later
            ones, since the wall clock of the worker may be set back.
        free: Capacity less the resources reserved for runs and planned starts.
        registered: Whether the registry still lists it.
        run_by_key: Runs that have not ended.
        lasting_need: Resources reserved for those of them that last.
        acknowledged: Number of the newest end that is stored, so that the worker may
            remove it.
        silent_since: Monotonic time in seconds at which the first of the unanswered
            renewals was sent; None after an answer.
        paused_until: Monotonic time in seconds until which it gets no new tasks.
        failures: Number of consecutive failed runs.
        failed_jobs: Jobs of those runs.
        failed_at: Monotonic time in seconds of the last of them.
        trial_task: Task that runs while the worker is on trial.
        last_end_number: Number of the newest end that was reported.
        job_by_end: Job of each reported end that is not acknowledged, by its number.
        held_until_by_end: Monotonic time in seconds before which an end, by its number,
            may not be acknowledged.
        speed: Estimate of its speed, in the short and the long term.
        token_number: Number of the fencing token of calls to it.
        token_used: Whether a call under this number may still start a run, extend a
            lease or acknowledge an end.
        listed_all_at: Monotonic time in seconds at which the newest complete report was
            requested.
        restart_confirmed: Whether it has restarted and has answered a call that
            excludes all calls to its former incarnations.
    """

    entry: WorkerEntry
    free: Resources
    born: int
    born_known_at: float = -math.inf
    former_borns: deque[int] = field(default_factory=lambda: deque(maxlen=FORMER_BORNS))
    registered: bool = True
    run_by_key: dict[RunKey, Run] = field(default_factory=dict)
    lasting_need: Resources = field(default_factory=Resources)
    acknowledged: int = 0
    silent_since: float | None = None
    paused_until: float = 0.0
    failures: int = 0
    failed_jobs: set[JobId] = field(default_factory=set)
    failed_at: float = -math.inf
    trial_task: str | None = None
    last_end_number: int = 0
    job_by_end: dict[int, JobId] = field(default_factory=dict)
    held_until_by_end: dict[int, float] = field(default_factory=dict)
    speed: WorkerSpeed = field(default_factory=WorkerSpeed)
    token_number: int = 0
    token_used: bool = False
    listed_all_at: float = -math.inf
    restart_confirmed: bool = False
    _confirmed_born: int = 0
    _heard_born: int = 0
    _heard_address: str = ""
    _ended_borns: deque[int] = field(default_factory=lambda: deque(maxlen=FORMER_BORNS))
    _restarted: bool = False
    _called_at: float = -math.inf
    _clock: float | None = None
    _clock_received_at: float = 0.0
    _leases_expire_at: float | None = None
    _inherited_leases_expire_at: float = -math.inf

    @classmethod
    def create(cls, entry: WorkerEntry) -> "Worker":
        """Returns a worker without runs."""
        return cls(entry, entry.capacity, entry.born, _confirmed_born=entry.born)

    def update_entry(self, entry: WorkerEntry) -> None:
        """Replaces the entry; its capacity may have changed after a restart."""
        self.free = add(subtract(self.free, self.entry.capacity), entry.capacity)
        self.entry = entry
        self.registered = True

    def is_next_incarnation(self, born: int, sent_at: float) -> bool:
        """Returns whether a report shows an incarnation after the newest known one.

        The newest known one had begun when it became known, and incarnations do not
        overlap. So another one that answers a call which was sent after that has begun
        later, also if a registry entry with a later start time has replaced it.

        Args:
            born: Start time in the report; 0 if it has none.
            sent_at: Monotonic time in seconds at which the report was requested.
        """
        if born in (0, self.born) or born in self._ended_borns:
            return False
        began_later = born > self.born and born not in self.former_borns
        return began_later or sent_at > self.born_known_at

    def contradicts_entry(self, born: int) -> bool:
        """Returns whether a report is of an incarnation that the entry has replaced.

        Args:
            born: Start time in the report.
        """
        return born in self.former_borns and born != self.entry.born

    def begin_incarnation(self, born: int, now: float) -> None:
        """Records a restart, after which the worker knows nothing of before.

        The runs are kept. The new incarnation may have accepted an order that was sent
        to the old one, and only its report shows which runs it has. A stop that the old
        one accepted does not keep the new one from starting the run. The worker gets
        neither tasks nor leases before its present incarnation is confirmed.

        Args:
            born: Start time of the new incarnation.
            now: Monotonic time in seconds.
        """
        if born in self.former_borns:
            self.former_borns.remove(born)
        self.former_borns.append(self.born)
        self.born, self.born_known_at = born, now
        self.acknowledged = self.last_end_number = 0
        self.job_by_end.clear()
        self.held_until_by_end.clear()
        self.failures = 0
        self.failed_jobs.clear()
        self.speed = WorkerSpeed()
        self._clock = None
        self._restarted, self.restart_confirmed = True, False
        self.raise_token()
        for run in self.run_by_key.values():
            if run.in_doubt and run.phase is not RunPhase.SENT:
                run.phase, run.stop_wanted = RunPhase.DOUBTFUL, True
                run.stop_sent_at = run.stop_answered_at = None

    def raise_token(self) -> None:
        """Excludes what was sent so far, once the worker has answered a later call."""
        if self.token_used:
            self.token_number += 1
            self.token_used = False

    def record_order(self, run: Run, now: float) -> None:
        """Records that an order to start a run is sent."""
        self.token_used = True
        self._called_at = run.ordered_at = now
        run.copies += 1
        run.unanswered += 1
        run.ordered_born, run.token_number = self.born, self.token_number

    def record_heard(self) -> None:
        """Records a report of the present incarnation.

        Reports are requested one after the other, so another incarnation that has sent
        the last one before it has ended.
        """
        if self._heard_born not in (0, self.born):
            self._ended_borns.append(self._heard_born)
        self._heard_born, self._heard_address = self.born, self.entry.address

    @property
    def has_answered_elsewhere(self) -> bool:
        """Whether it has sent its last report from another address than the present.

        The entry with the present address may be that of a former incarnation.
        """
        return self._heard_address not in ("", self.entry.address)

    def is_replaceable_by(self, entry: WorkerEntry) -> bool:
        """Returns whether the registry shows an entry that the silent worker may have.

        It is ignored as that of a former incarnation, but the one that counts as the
        present does not answer.
        """
        return entry.born != self.entry.born and self.silent_since is not None

    def confirm(self, clock: float, now: float, max_lease_s: float) -> None:
        """Records a report that was requested under the present token.

        Calls that were sent under an earlier one can no longer take effect. Those that
        the present incarnation executed before were made for the clock of a former one,
        so they may have given it the longest lease.

        Args:
            clock: The worker's clock in seconds.
            now: Monotonic time in seconds.
            max_lease_s: Longest lease in seconds that a worker accepts.
        """
        if self._restarted:
            self._restarted, self.restart_confirmed = False, True
            self._confirmed_born = self.born
            latest = now + longest_lease_s(max_lease_s)
            self._leases_expire_at = max(self._leases_expire_at or latest, latest)
        self.record_answer(clock, now)

    def record_complete_report(self, sent_at: float) -> None:
        """Records that the worker has listed all, and ends doubts of that time.

        Args:
            sent_at: Monotonic time in seconds at which the report was requested.
        """
        self.listed_all_at = max(self.listed_all_at, sent_at)
        for run in self.run_by_key.values():
            if run.in_doubt and run.doubt_ends_at < sent_at:
                run.unanswered = 0

    def reserve(self, need: Resources) -> None:
        """Reserves resources."""
        self.free = subtract(self.free, need)

    def release(self, need: Resources) -> None:
        """Releases reserved resources."""
        self.free = add(self.free, need)

    def add_run(self, run: Run) -> None:
        """Adds a run and reserves its resources."""
        self.run_by_key[run.key] = run
        self.reserve(run.need)
        if run.lasting:
            self.lasting_need = add(self.lasting_need, run.need)

    def remove_run(self, run: Run) -> None:
        """Removes a run and releases its resources."""
        self.detach_run(run)
        self.release_run(run)

    def detach_run(self, run: Run) -> None:
        """Removes a run whose resources stay reserved."""
        del self.run_by_key[run.key]
        if self.trial_task == run.task:
            self.trial_task = None

    def release_run(self, run: Run) -> None:
        """Releases the resources of a run."""
        self.release(run.need)
        if run.lasting:
            self.lasting_need = subtract(self.lasting_need, run.need)

    def record_end(self, number: int, job_id: JobId) -> None:
        """Records that the worker has reported an end of a run of a job."""
        self.last_end_number = number
        self.job_by_end[number] = job_id

    def hold_end(self, number: int, until: float) -> None:
        """Records that an end may not be acknowledged before a monotonic time."""
        self.held_until_by_end[number] = until

    def newest_free_end(self, now: float) -> int:
        """Returns the newest reported end up to which none is held back any more."""
        held = (end for end, until in self.held_until_by_end.items() if now < until)
        return min(held, default=self.last_end_number + 1) - 1

    def acknowledge_ends(self, number: int) -> None:
        """Records that the ends up to a number are stored and may be forgotten."""
        self.acknowledged = max(self.acknowledged, number)
        for by_end in self.job_by_end, self.held_until_by_end:
            for stored in [end for end in by_end if end <= number]:
                del by_end[stored]

    @property
    def lasting_free(self) -> Resources:
        """Resources that are free once all tasks that end have ended."""
        return subtract(self.entry.capacity, self.lasting_need)

    @property
    def job_ids_to_await(self) -> set[JobId]:
        """Jobs with a run on the worker, or with an end that may not be stored."""
        running = {run.job_id for run in self.run_by_key.values()}
        return running.union(self.job_by_end.values())

    def record_answer(self, clock: float | None, now: float) -> None:
        """Records an answer of the worker.

        Args:
            clock: Clock of its present incarnation in seconds; None if the answer may
                be of an earlier one.
            now: Monotonic time in seconds.
        """
        self.silent_since = None
        if clock is not None:
            self._clock, self._clock_received_at = clock, now

    def record_missed_renewal(self, sent_at: float) -> None:
        """Records that a renewal sent at a monotonic time got no answer."""
        if self.silent_since is None:
            self.silent_since = sent_at
            self.raise_token()

    def grant_lease(self, now: float, lease_s: float) -> float | None:
        """Grants a lease and returns the time on the worker's clock at which it ends.

        The lease counts as granted even without an answer, because the order may
        have arrived. A silent worker is granted no lease, so that its leases expire.

        Args:
            now: Monotonic time in seconds.
            lease_s: Duration of the lease in seconds.

        Returns:
            Seconds on the worker's clock; None if that clock is not known or the
            worker is silent.
        """
        if self._clock is None or self.silent_since is not None:
            return None
        lease_end = self._clock + (now - self._clock_received_at) + lease_s
        max_duration_s = longest_lease_s(lease_end - self._clock)
        expires_at = self._clock_received_at + max_duration_s
        self._leases_expire_at = max(self._leases_expire_at or 0.0, expires_at)
        self._called_at = now
        self.token_used = True
        return lease_end

    def leases_expired(self, now: float) -> bool:
        """Returns whether every granted lease has ended, even on the slowest clock."""
        return self.own_leases_expired(now) and now > self._inherited_leases_expire_at

    def is_forgettable(self, now: float, max_lease_s: float) -> bool:
        """Returns whether no lease depends on what is known of the worker.

        Its next incarnation may execute a late call, which gives it the longest lease.

        Args:
            now: Monotonic time in seconds.
            max_lease_s: Longest lease in seconds that a worker accepts.
        """
        calls_end_at = self._called_at + latest_order_end_s(max_lease_s)
        return self.leases_expired(now) and now > calls_end_at

    def lease_s_left(self, now: float) -> float:
        """Returns the seconds until every lease has ended, for the event log."""
        own = self._leases_expire_at or -math.inf
        return max(0.0, own - now, self._inherited_leases_expire_at - now)

    def own_leases_expired(self, now: float) -> bool:
        """Returns whether every lease that this owner granted has ended."""
        return self._leases_expire_at is None or now > self._leases_expire_at

    def is_run_over(self, run: Run, now: float, max_lease_s: float) -> bool:
        """Returns whether a run on the silent worker has ended, or never begins.

        Args:
            run: The run.
            now: Monotonic time in seconds.
            max_lease_s: Longest lease in seconds that a worker accepts.
        """
        return self.leases_expired(now) and now > self.calls_end_at(run, max_lease_s)

    def calls_end_at(self, run: Run, max_lease_s: float) -> float:
        """Returns when calls that a former incarnation was meant to get have no effect.

        A run that a confirmed incarnation is known to have ends with the leases, and
        any run ends with its incarnation. A registry entry does not show that: it may
        be that of a former one. An order without an answer may be executed by an
        incarnation that has begun since, known or not. Such an incarnation may also
        have accepted an order, and any call that was sent for the former clock may give
        it the longest lease. A ticket does not show which incarnation accepts its
        order: it may have been given after a restart that nobody has seen.

        Args:
            run: A run on this worker.
            max_lease_s: Longest lease in seconds that a worker accepts.

        Returns:
            Monotonic time in seconds; -inf if the leases alone decide.
        """
        born = run.confirmed_born
        ends_with_leases = born in (self._confirmed_born, *self._ended_borns)
        if born and not run.in_doubt and ends_with_leases:
            return -math.inf
        return self._called_at + latest_order_end_s(max_lease_s)

    def assume_lease(self, expires_at: float) -> None:
        """Records that a previous owner may have granted a lease.

        Args:
            expires_at: Monotonic time in seconds at which it has certainly ended.
        """
        self._inherited_leases_expire_at = expires_at

    def limit_inherited_leases(self, expires_at: float) -> None:
        """Records that no previous owner can extend its leases any longer.

        Args:
            expires_at: Monotonic time in seconds at which leases granted until now have
                certainly ended.
        """
        self._inherited_leases_expire_at = min(
            self._inherited_leases_expire_at, expires_at
        )

    def is_own_clock(self, clock: float | None, now: float) -> bool:
        """Returns whether an answer has the clock of the present incarnation.

        The clock starts anew with each incarnation. One by whose clock leases last as
        long as on the present one counts as this one.

        Args:
            clock: Clock in the answer in seconds; None without one.
            now: Monotonic time in seconds.
        """
        if clock is None or self._clock is None:
            return False
        age_s = now - self._clock_received_at
        tolerance_s = CLOCK_TOLERANCE_S + age_s * CLOCK_RATE_ERROR
        return abs(clock - self._clock - age_s) <= tolerance_s

    def clock_known(self) -> bool:
        """Returns whether the worker's clock is known, which lease times require."""
        return self._clock is not None

    def is_responsive(self, now: float) -> bool:
        """Returns whether the worker has answered and did not miss a renewal since."""
        return self.silent_since is None and self.clock_known()

    def accepts_tasks(self, now: float) -> bool:
        """Returns whether new tasks may start on the worker."""
        return (
            self.registered
            and self.entry.born == self.born
            and not self.entry.draining
            and self.is_responsive(now)
            and now >= self.paused_until
            and self.trial_task is None
        )

    @property
    def on_trial(self) -> bool:
        """Whether it gets one task at a time because of repeated failures."""
        return self.failures >= FAILURES_BEFORE_TRIAL and len(self.failed_jobs) > 1

    def record_progress(
        self, run: Run, percent: float, expected_s: float, now: float
    ) -> None:
        """Records the progress of a run and updates the worker's speed.

        Observations that follow the previous one too closely are ignored, and so is a
        finished run, which may wait for the other members of its gang.

        Args:
            run: The run.
            percent: Completed percentage of its work.
            expected_s: Expected duration in seconds; 0 if the run has no expected end.
            now: Monotonic time in seconds.
        """
        seconds = now - run.observed_at
        if seconds < MIN_OBSERVATION_S:
            return
        gained = percent - run.percent
        finished = percent >= FINISHED_PERCENT
        if expected_s > 0 and not finished:
            speed = max(0.0, gained) / 100.0 * expected_s / seconds
            self.speed.observe(speed, seconds, now)
        if gained > 0 or finished:
            run.progressed_at = now
        run.percent, run.observed_at = percent, now

    def is_run_stalled(self, run: Run, timeout_s: float, now: float) -> bool:
        """Returns whether a run makes no progress and its worker is stalled.

        Args:
            run: The run.
            timeout_s: Seconds without progress from which it counts as stalled.
            now: Monotonic time in seconds.
        """
        return (
            run.phase is RunPhase.RUNNING
            and now - run.progressed_at > timeout_s
            and self.speed.is_stalled(now)
        )

    def record_running(self, run: Run, lasting: bool, now: float) -> None:
        """Records that a run is still in progress, which may end a trial.

        Args:
            run: The run.
            lasting: Whether its task runs until the job is cancelled.
            now: Monotonic time in seconds.
        """
        if run.proven or now - run.changed_at < PROVING_S:
            return
        if self.trial_task == run.task:
            self.trial_task = None
        if lasting:
            run.proven = True
            self.record_success(run)

    def record_failure(self, run: Run, now: float) -> None:
        """Counts a failed run, unless it ran long enough to count as a success."""
        if run.proven:
            return
        self.failures += 1
        self.failed_jobs.add(run.job_id)
        self.failed_at = now
        if self.on_trial:
            self.paused_until = max(self.paused_until, now + TRIAL_PAUSE_S)

    def record_success(self, run: Run) -> None:
        """Resets the failure counts after a successful run."""
        self.failures = 0
        self.failed_jobs.clear()
