"""Accepts jobs; starts of a durable job are held until it is on the log."""

from collections.abc import Awaitable, Callable

import curio

from arbutusladder.backgroundtasks import spawn_logged
from arbutusladder.clock import Clock
from arbutusladder.decisions import Refused
from arbutusladder.endrecorder import AppendFunction, EndRecorder
from arbutusladder.events import JOB_ACCEPTED
from arbutusladder.ids import JobId, ShardId, TaskId, VmId
from arbutusladder.jobs import Job, job_id_of
from arbutusladder.journal import Journal
from arbutusladder.messages import (
    JobEnded,
    JobSpec,
    JobSubmitted,
    StartTask,
    SubmitAnswer,
)
from arbutusladder.metrics import Metrics
from arbutusladder.states import JobState, Outcome, Reason
from arbutusladder.taskcontrol import TaskController

LOG_PROBE_S = 1.0
LOG_RETRY_MS = 1000
# Reason in the answer to an accepted job that is kept in memory only.
IN_MEMORY = "in_memory"


class Submissions:
    """Jobs on their way to being accepted.

    The policy admits a job before it is appended, so that a refusal costs no
    append in a load surge.

    Args:
        shard: The shard.
        control: Tasks of the shard.
        ends: Receives the ends of jobs whose record may be on the log.
        append: Appends one record.
        clock: Time.
        metrics: Counters.
        journal: Log of events.
        confirmed: Called with a job that is on the log and its held starts.
    """

    def __init__(
        self,
        shard: ShardId,
        control: TaskController,
        ends: EndRecorder,
        append: AppendFunction,
        clock: Clock,
        metrics: Metrics,
        journal: Journal,
        confirmed: Callable[[JobSpec, list[tuple[VmId, StartTask]]], Awaitable[None]],
    ):
        self._shard = shard
        self._control = control
        self._ends = ends
        self._append = append
        self._clock = clock
        self._metrics = metrics
        self._journal = journal
        self._confirmed = confirmed
        self._held: dict[JobId, dict[TaskId, tuple[VmId, StartTask]]] = {}
        self._tasks: dict[JobId, curio.Task] = {}
        self._late_ends: dict[JobId, JobEnded] = {}
        self._log_probe_at = float("-inf")

    async def submit(self, spec: JobSpec) -> SubmitAnswer:
        """Accepts a job, or says why not; submitting it again is safe."""
        known = self._control.table.job(spec.job_id)
        if known:
            return await self._answer(known)
        now = self._clock.now()
        if spec.durable and not self._may_append(now):
            return self.refuse(spec, Reason.LOG_UNAVAILABLE, LOG_RETRY_MS)
        admitted = self._control.policy.submit(spec, now)
        if isinstance(admitted, Refused):
            return self.refuse(spec, admitted.reason, admitted.retry_after_ms)
        job = self._control.table.add(spec)
        if spec.durable:
            self._held[spec.job_id] = {}
            # A task of its own, so that a caller who gives up loses no job.
            name = f"submission of {spec.job_id}"
            task = await spawn_logged(self._journal, name, self._confirm, spec)
            self._tasks[spec.job_id] = task
        return await self._answer(job)

    def refuse(
        self, spec: JobSpec, reason: Reason, retry_after_ms: int = 0
    ) -> SubmitAnswer:
        """Counts and returns a refusal; nothing of the job ran."""
        self._metrics.refused(reason)
        return SubmitAnswer(
            "", Outcome.NOT_RUN, spec.job_id, reason.value, retry_after_ms
        )

    def hold(self, vm: VmId, start: StartTask) -> bool:
        """Returns whether a start is held because its job is not on the log."""
        held = self._held.get(start.job_id)
        if held is None:
            return False
        held[start.task_id] = (vm, start)
        return True

    def withdraw(self, task_id: TaskId) -> bool:
        """Returns whether a start was held, and removes it."""
        held = self._held.get(job_id_of(task_id))
        return bool(held and held.pop(task_id, None))

    def withdraw_worker(self, vm: VmId) -> list[TaskId]:
        """Removes and returns the held starts for a worker."""
        found = []
        for held in self._held.values():
            here = [task_id for task_id, (other, _) in held.items() if other == vm]
            for task_id in here:
                del held[task_id]
            found += here
        return found

    def keep_end(self, record: JobEnded) -> bool:
        """Returns whether an end must wait for the record of its job."""
        waits = record.job_id in self._held
        if waits:
            self._late_ends[record.job_id] = record
        return waits

    def _may_append(self, now: float) -> bool:
        # One submission a second finds out whether the log is back.
        if self._ends.log_answers or now >= self._log_probe_at:
            self._log_probe_at = now + LOG_PROBE_S
            return True
        return False

    async def _answer(self, job: Job) -> SubmitAnswer:
        task = self._tasks.get(job.spec.job_id)
        if task:
            return await task.join()
        if job.state is JobState.REFUSED:
            return self.refuse(job.spec, Reason(job.reason))
        reason = "" if job.spec.durable else IN_MEMORY
        return SubmitAnswer("", Outcome.DONE, job.spec.job_id, reason)

    async def _confirm(self, spec: JobSpec) -> SubmitAnswer:
        try:
            outcome = await self._append(JobSubmitted(self._shard, spec))
        finally:
            self._tasks.pop(spec.job_id, None)
        self._ends.log_answers = outcome is Outcome.DONE
        if outcome is Outcome.DONE:
            self._journal.write(JOB_ACCEPTED, job=spec.job_id, shard=self._shard)
            answer = SubmitAnswer("", Outcome.DONE, spec.job_id)
        else:
            answer = self._drop(spec, outcome)
        held = self._held.pop(spec.job_id)
        self._record_late_end(spec.job_id, outcome)
        await self._confirmed(spec, list(held.values()))
        return answer

    def _drop(self, spec: JobSpec, outcome: Outcome) -> SubmitAnswer:
        reason = Reason.LOG_UNAVAILABLE
        if outcome is Outcome.UNKNOWN:
            reason = Reason.LOG_REPLY_LOST
        now = self._clock.now()
        self._control.end_job(spec.job_id, JobState.REFUSED, reason, now)
        answer = self.refuse(spec, reason, LOG_RETRY_MS)
        answer.outcome = outcome
        return answer

    def _record_late_end(self, job_id: JobId, outcome: Outcome) -> None:
        record = self._late_ends.pop(job_id, None)
        if record and outcome is Outcome.NOT_RUN:
            self._control.job_end_recorded(job_id)
        elif record:
            self._ends.add(record, [])
