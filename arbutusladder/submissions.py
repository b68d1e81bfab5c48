"""Submission of jobs to the owner of a shard.

The starts of a durable job are held until its record is confirmed on the log.
`Submissions` owns the held starts, the appends in progress and the ends of jobs that
ended during their append.
"""

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

# Shortest time between two submissions that are tried while the log is unavailable.
LOG_PROBE_INTERVAL_S = 1.0
# Wait proposed to a caller whose job could not be appended.
LOG_RETRY_AFTER_MS = 1000
# Reason in the answer to an accepted job that is not durable.
IN_MEMORY = "in_memory"


class Submissions:
    """Accepts or refuses jobs and appends the durable ones to the log.

    The policy admits a job before it is appended, so that a refusal costs no
    append during a load surge.

    Args:
        shard: The shard.
        control: Controller of the shard's tasks.
        end_recorder: Appends the ends of jobs whose submission may be on the log.
        append: Appends one record.
        clock: Monotonic time.
        metrics: Counters.
        journal: Event log.
        on_settled: Called with a job whose append has an outcome, and with its held
            starts; there are none unless the append is confirmed.
    """

    def __init__(
        self,
        shard: ShardId,
        control: TaskController,
        end_recorder: EndRecorder,
        append: AppendFunction,
        clock: Clock,
        metrics: Metrics,
        journal: Journal,
        on_settled: Callable[[JobSpec, list[tuple[VmId, StartTask]]], Awaitable[None]],
    ):
        self._shard = shard
        self._control = control
        self._end_recorder = end_recorder
        self._append = append
        self._clock = clock
        self._metrics = metrics
        self._journal = journal
        self._on_settled = on_settled
        self._held_starts_by_job: dict[JobId, dict[TaskId, tuple[VmId, StartTask]]] = {}
        self._append_tasks_by_job: dict[JobId, curio.Task] = {}
        self._deferred_ends_by_job: dict[JobId, JobEnded] = {}
        self._next_log_probe_at = float("-inf")

    async def submit(self, spec: JobSpec) -> SubmitAnswer:
        """Accepts or refuses a job; submitting the same job again is safe."""
        known_job = self._control.table.job(spec.job_id)
        if known_job:
            return await self._submit_answer(known_job)
        now = self._clock.now()
        if spec.durable and not self._may_append(now):
            return self.refuse(spec, Reason.LOG_UNAVAILABLE, LOG_RETRY_AFTER_MS)
        admitted = self._control.policy.submit(spec, now)
        if isinstance(admitted, Refused):
            return self.refuse(spec, admitted.reason, admitted.retry_after_ms)
        job = self._control.table.add(spec)
        if spec.durable:
            self._held_starts_by_job[spec.job_id] = {}
            # In a task of its own, so that the job is not lost when the caller is
            # cancelled.
            name = f"submission of {spec.job_id}"
            task = await spawn_logged(
                self._journal, name, self._append_submission, spec
            )
            self._append_tasks_by_job[spec.job_id] = task
        return await self._submit_answer(job)

    def refuse(
        self, spec: JobSpec, reason: Reason, retry_after_ms: int = 0
    ) -> SubmitAnswer:
        """Counts and returns the refusal of a job of which nothing ran.

        Args:
            spec: The job.
            reason: Why it is refused.
            retry_after_ms: Milliseconds after which to submit it again, 0 when that
                cannot help.
        """
        self._metrics.count_refusal(reason)
        return SubmitAnswer(
            "", Outcome.NOT_RUN, spec.job_id, reason.value, retry_after_ms
        )

    def hold_start(self, vm: VmId, start: StartTask) -> bool:
        """Holds a start while its job is not on the log; returns whether it did."""
        held = self._held_starts_by_job.get(start.job_id)
        if held is None:
            return False
        held[start.task_id] = (vm, start)
        return True

    def withdraw_start(self, task_id: TaskId) -> bool:
        """Removes a held start; returns whether there was one."""
        held = self._held_starts_by_job.get(job_id_of(task_id))
        return bool(held and held.pop(task_id, None))

    def withdraw_worker_starts(self, vm: VmId) -> list[TaskId]:
        """Removes and returns the held starts for a worker."""
        found = []
        for held in self._held_starts_by_job.values():
            worker_starts = [
                task_id for task_id, (start_vm, _) in held.items() if start_vm == vm
            ]
            for task_id in worker_starts:
                del held[task_id]
            found += worker_starts
        return found

    def defer_end(self, record: JobEnded) -> bool:
        """Defers a job's end while its submission is being appended.

        Returns:
            Whether the end was deferred.
        """
        is_deferred = record.job_id in self._held_starts_by_job
        if is_deferred:
            self._deferred_ends_by_job[record.job_id] = record
        return is_deferred

    def _may_append(self, now: float) -> bool:
        # While the log is unavailable, one submission a second probes it.
        if self._end_recorder.log_available or now >= self._next_log_probe_at:
            self._next_log_probe_at = now + LOG_PROBE_INTERVAL_S
            return True
        return False

    async def _submit_answer(self, job: Job) -> SubmitAnswer:
        task = self._append_tasks_by_job.get(job.spec.job_id)
        if task:
            return await task.join()
        if job.state is JobState.REFUSED:
            return self.refuse(job.spec, Reason(job.reason))
        reason = "" if job.spec.durable else IN_MEMORY
        return SubmitAnswer("", Outcome.DONE, job.spec.job_id, reason)

    async def _append_submission(self, spec: JobSpec) -> SubmitAnswer:
        try:
            outcome = await self._append(JobSubmitted(self._shard, spec))
        finally:
            self._append_tasks_by_job.pop(spec.job_id, None)
        self._end_recorder.log_available = outcome is Outcome.DONE
        if outcome is Outcome.DONE:
            self._journal.write(JOB_ACCEPTED, job=spec.job_id, shard=self._shard)
            answer = SubmitAnswer("", Outcome.DONE, spec.job_id)
        else:
            answer = self._refuse_unconfirmed(spec, outcome)
        held = self._held_starts_by_job.pop(spec.job_id)
        self._record_deferred_end(spec.job_id, outcome)
        await self._on_settled(spec, list(held.values()))
        return answer

    def _refuse_unconfirmed(self, spec: JobSpec, outcome: Outcome) -> SubmitAnswer:
        reason = Reason.LOG_UNAVAILABLE
        if outcome is Outcome.UNKNOWN:
            reason = Reason.LOG_REPLY_LOST
        now = self._clock.now()
        self._control.end_job(spec.job_id, JobState.REFUSED, reason, now)
        answer = self.refuse(spec, reason, LOG_RETRY_AFTER_MS)
        answer.outcome = outcome
        return answer

    def _record_deferred_end(self, job_id: JobId, outcome: Outcome) -> None:
        record = self._deferred_ends_by_job.pop(job_id, None)
        if record and outcome is Outcome.NOT_RUN:
            self._control.job_end_recorded(job_id)
        elif record:
            self._end_recorder.add(record, [])
