"""Rules of a cell as its workers and clients can check them."""

import time
from collections import defaultdict
from dataclasses import dataclass

from arbutusladder.cell.states import JobPhase, SubmissionOutcome
from arbutusladder.cell.tasknames import parse_task_name

# Seconds after an acknowledged cancellation until which tasks of the job may start.
CANCEL_S = 3.0
# Seconds after a final state was shown until which tasks of the job may start.
SHOWN_S = 1.0
# Final states after which no task may start; a cancelled job has a bound of its own.
SHOWN_ENDS = (JobPhase.COMPLETED, JobPhase.FAILED)


@dataclass(eq=False)
class Done:
    """A run that has ended as done on one incarnation of a worker."""

    worker: str
    born: int
    number: int
    ended_at: float
    acknowledged: bool = False
    lapsed: bool = False


class RuleChecker:
    """Checks what workers and clients see.

    Args:
        jobs: Submissions by number.

    Attributes:
        events: Time and text of each event, in order.
        broken: Rule and text of each time that a rule was broken.
        starts: Number of starts.
        accepted: Jobs whose submission was acknowledged.
    """

    def __init__(self, jobs):
        self.events, self.broken = [], []
        self.starts = 0
        self.accepted = set()
        self.workers = []
        self._record_by_job = {record.job_id: record for record in jobs.values()}
        self._sent = set()
        self._cancelled_at_by_job = {}
        self._shown_at_by_job = {}
        self._done_by_task = defaultdict(list)
        self._started_at_by_task = defaultdict(list)
        self._holder_by_epoch = {}
        self._highest_epoch_by_worker = defaultdict(int)

    def note(self, text):
        """Records an event."""
        self.events.append((time.monotonic(), text))

    def breaks(self, rule, text):
        """Records that a rule was broken."""
        self.broken.append((rule, text))
        self.note(f"BROKEN {rule}: {text}")

    def need(self, task):
        """Returns the cores that a task needs."""
        name = parse_task_name(task)
        return self._record_by_job[name.job_id].steps[name.step].need.cpu

    def record_submission(self, job_id, outcome=None):
        """Records that a client has sent a job, or the outcome."""
        self._sent.add(job_id)
        if outcome is SubmissionOutcome.ACCEPTED:
            self.accepted.add(job_id)

    def record_cancellation(self, job_id):
        """Records that a cancellation was acknowledged."""
        self._cancelled_at_by_job.setdefault(job_id, time.monotonic())

    def record_state(self, job_id, phase):
        """Records the state of a job as shown to a client."""
        if phase in SHOWN_ENDS:
            self._shown_at_by_job.setdefault(job_id, time.monotonic())

    def check_order(self, worker, epoch, sender):
        """Checks the holder of the epoch of an order that has arrived."""
        holder = self._holder_by_epoch.setdefault(epoch, sender)
        if holder != sender:
            self.breaks("ONE", f"epoch {epoch} is used by {holder} and {sender}")
        highest = self._highest_epoch_by_worker[worker.fence_scope]
        self._highest_epoch_by_worker[worker.fence_scope] = max(highest, epoch)

    def check_start(self, worker, task, number, epoch, late):
        """Checks a run that begins."""
        now = time.monotonic()
        self.starts += 1
        self._started_at_by_task[task].append(now)
        place = f"{task} run {number} on {worker.name} under epoch {epoch}"
        self.note(f"{place} starts{' late' if late else ''}")
        highest = self._highest_epoch_by_worker[worker.fence_scope]
        if epoch < highest:
            self.breaks("ONE", f"{place} after epoch {highest}")
        for other in self.workers:
            other.advance()
            if task in other.running_tasks() and not other.down:
                self.breaks("TWICE", f"{place} while it runs on {other.name}")
        if any(done.acknowledged for done in self._done_by_task[task]):
            self.breaks("TWICE", f"{place} after an acknowledged end as done")
        used = sum(map(self.need, worker.running_tasks()), self.need(task))
        if used > worker.cores:
            self.breaks("LIMIT", f"{place}: {used} cores of {worker.cores}")
        self._check_job(place, parse_task_name(task), now, late)

    def _check_job(self, place, name, now, late):
        job_id = name.job_id
        if job_id not in self._sent:
            self.breaks("UNASKED", f"{place}: no client has sent the job")
        steps = self._record_by_job[job_id].steps
        for step in steps[name.step].after:
            for index in range(steps[step].count):
                earlier = f"{job_id}.{name.occurrence}.{step}.{index}"
                if not self._done_by_task[earlier]:
                    self.breaks("ORDER", f"{place} before {earlier} was done")
        bounds = (
            ("UNASKED", self._cancelled_at_by_job, CANCEL_S, "its cancellation"),
            ("TWICE", self._shown_at_by_job, SHOWN_S, "its end was shown"),
        )
        for rule, at_by_job, bound_s, what in bounds:
            age_s = now - at_by_job.get(job_id, now)
            if age_s > bound_s and not late:
                self.breaks(rule, f"{place} {age_s:.3f} s after {what}")

    def record_done(self, task, done):
        """Records that a run has ended as done."""
        self._done_by_task[task].append(done)

    def acknowledge(self, worker, task, number):
        """Records that an end is acknowledged, and checks the starts after it."""
        for done in self._done_by_task[task]:
            place = (done.worker, done.born, done.number)
            if place != (worker.name, worker.born, number):
                continue
            if done.acknowledged or done.lapsed:
                continue
            done.acknowledged = True
            if any(at > done.ended_at for at in self._started_at_by_task[task]):
                self.breaks("TWICE", f"{task} started after an end as done")

    def record_lapse(self, worker):
        """Records that a worker's lease has ended; its earlier ends stay unnoted."""
        for done in (done for rows in self._done_by_task.values() for done in rows):
            if done.worker == worker.name and not done.acknowledged:
                done.lapsed = True
