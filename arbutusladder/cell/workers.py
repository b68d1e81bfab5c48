"""Workers as their owner sees them: room, clock, lease and health."""

from dataclasses import dataclass, field

from arbutusladder.cell.interfaces import WorkerEntry
from arbutusladder.cell.speed import SHORTEST_LOOK_S, STANDSTILL_S, Speed
from arbutusladder.cell.states import RunPhase
from arbutusladder.ids import JobId, VmId
from arbutusladder.messages import Resources
from arbutusladder.resources import add, subtract

# Worker clocks may run this much slower than ours (platform's page on leases).
CLOCK_RATE_ERROR = 0.02
# Seconds added to the end of a lease for the kill itself.
LAPSE_MARGIN_S = 0.2
# Failed runs in a row, of different jobs, after which a worker gets one task only.
FAILURES_BEFORE_TRIAL = 3
# Seconds after the last failure until a worker gets a trial task.
TRIAL_PAUSE_S = 1.5

RunKey = tuple[str, int]


@dataclass(slots=True, eq=False)
class Run:
    """One run of a task on a worker.

    Attributes:
        task: Name of the task.
        number: Run number.
        job_id: Job of the task.
        stage: Key of its step and occurrence.
        index: Number of the task in its step.
        vm: Worker.
        need: Resources that it holds there until its end is listed.
        phase: What is known of it.
        changed_at: Monotonic time of the last change of the phase.
        percent: Share of its work that is done.
        moved_at: Monotonic time at which the share last rose.
        looked_at: Monotonic time of the last look at the share.
        stop_wanted: Whether it has to be stopped.
        stop_sent_at: Monotonic time of the last stop order; None before the first.
        stop_answered_at: Monotonic time of the answer to a stop order.
    """

    task: str
    number: int
    job_id: JobId
    stage: str
    index: int
    vm: VmId
    need: Resources
    phase: RunPhase
    changed_at: float
    percent: float = 0.0
    moved_at: float = 0.0
    looked_at: float = 0.0
    stop_wanted: bool = False
    stop_sent_at: float | None = None
    stop_answered_at: float | None = None

    @property
    def key(self) -> RunKey:
        """Name and number, which identify the run."""
        return (self.task, self.number)


@dataclass(slots=True, eq=False)
class Worker:
    """One life of a worker.

    Attributes:
        entry: What it says of itself.
        free: Capacity less the needs of its runs and plans.
        listed: Whether the registry still lists it.
        run_by_key: Runs that hold its resources.
        acknowledged: Highest end that is stored and may be forgotten.
        silent_since: Monotonic send time of the first renewal without an answer.
        paused_until: Monotonic time until which it gets no new tasks.
        failures: Failed runs in a row.
        trial: Task that tries it after failures.
        speed: How fast it works.
    """

    entry: WorkerEntry
    free: Resources
    listed: bool = True
    run_by_key: dict[RunKey, Run] = field(default_factory=dict)
    acknowledged: int = 0
    silent_since: float | None = None
    paused_until: float = 0.0
    failures: int = 0
    failed_jobs: set[JobId] = field(default_factory=set)
    trial: str | None = None
    last_end_number: int = 0
    speed: Speed = field(default_factory=Speed)
    _clock: float | None = None
    _clock_at: float = 0.0
    _lease_until: float | None = None

    @classmethod
    def create(cls, entry: WorkerEntry) -> "Worker":
        """Returns a worker without runs."""
        return cls(entry, entry.capacity)

    def reserve(self, need: Resources) -> None:
        """Takes resources."""
        self.free = subtract(self.free, need)

    def release(self, need: Resources) -> None:
        """Gives resources back."""
        self.free = add(self.free, need)

    def attach(self, run: Run) -> None:
        """Adds a run and takes its resources."""
        self.run_by_key[run.key] = run
        self.reserve(run.need)

    def detach(self, run: Run) -> None:
        """Removes a run and gives its resources back."""
        if self.run_by_key.pop(run.key, None):
            self.release(run.need)
        if self.trial == run.task:
            self.trial = None

    def record_answer(self, clock: float | None, now: float) -> None:
        """Notes an answer and the worker's clock in it."""
        self.silent_since = None
        if clock is not None:
            self._clock, self._clock_at = clock, now

    def record_missed_renewal(self, sent_at: float) -> None:
        """Notes that a renewal got no answer."""
        if self.silent_since is None:
            self.silent_since = sent_at

    def grant_lease(self, now: float, lease: float) -> float | None:
        """Returns the worker's clock at the end of a lease that starts now.

        The end counts as granted, because the order may arrive unanswered. A
        worker that is silent is granted nothing, so that its leases do end.
        """
        if self._clock is None or self.silent_since is not None:
            return None
        until = self._clock + (now - self._clock_at) + lease
        lapse = (until - self._clock) * (1 + CLOCK_RATE_ERROR)
        latest = self._clock_at + lapse + LAPSE_MARGIN_S
        self._lease_until = max(self._lease_until or 0.0, latest)
        return until

    def lapsed(self, now: float) -> bool:
        """Returns whether every lease that was granted has certainly ended."""
        return self._lease_until is None or now > self._lease_until

    def assume_lease(self, until: float) -> None:
        """Notes that a previous owner may have granted a lease."""
        self._lease_until = max(self._lease_until or 0.0, until)

    def clock_known(self) -> bool:
        """Returns whether orders can name times on the worker's clock."""
        return self._clock is not None

    def answers(self, now: float) -> bool:
        """Returns whether the worker has answered of late."""
        return self.silent_since is None and self.clock_known()

    def open(self, now: float) -> bool:
        """Returns whether new tasks may start."""
        return (
            self.listed
            and not self.entry.draining
            and self.answers(now)
            and now >= self.paused_until
            and self.trial is None
        )

    @property
    def on_trial(self) -> bool:
        """Whether it failed so much that it gets one task at a time."""
        return self.failures >= FAILURES_BEFORE_TRIAL and len(self.failed_jobs) > 1

    def look(self, run: Run, percent: float, estimate_s: float, now: float) -> None:
        """Takes the progress of a run.

        Args:
            run: The run.
            percent: Share of its work that is done.
            estimate_s: Estimated duration; 0 for tasks without an end.
            now: Monotonic time in seconds.
        """
        seconds = now - run.looked_at
        if seconds < SHORTEST_LOOK_S:
            return
        gained = percent - run.percent
        if estimate_s > 0:
            share = max(0.0, gained) / 100.0 * estimate_s / seconds
            self.speed.observe(share, seconds, now)
        if gained > 0:
            run.moved_at = now
        run.percent, run.looked_at = percent, now

    def stands_still(self, run: Run, now: float) -> bool:
        """Returns whether a run has made no progress on a stalled worker."""
        return (
            run.phase is RunPhase.RUNNING
            and now - run.moved_at > STANDSTILL_S
            and self.speed.stalled(now)
        )

    def note_failure(self, run: Run, now: float) -> None:
        """Counts a failed run."""
        self.failures += 1
        self.failed_jobs.add(run.job_id)
        if self.on_trial:
            self.paused_until = max(self.paused_until, now + TRIAL_PAUSE_S)

    def note_success(self, run: Run) -> None:
        """Forgets failures after a run that ended well."""
        self.failures = 0
        self.failed_jobs.clear()
