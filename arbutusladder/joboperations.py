"""Operations on jobs: submit, query, cancel and explain, through the shards' owners.

The only state kept here is the random generator for the choice of shards.
"""

import random
import uuid
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass

import curio

from arbutusladder.clock import Clock
from arbutusladder.declarations import Workload
from arbutusladder.explain import REASON_PREFIX, REMEDY_PREFIX
from arbutusladder.feeds import ConfigFeed
from arbutusladder.ids import JobId, RequestId, SeatId, ShardId, TeamName, VmId
from arbutusladder.jobstore import JobStore
from arbutusladder.messages import (
    Acknowledgement,
    CancelJob,
    JobAnswer,
    JobSpec,
    QueryJob,
    Resources,
    SubmitAnswer,
    SubmitJob,
)
from arbutusladder.metrics import Metrics
from arbutusladder.operatormessages import (
    Explanation,
    JobOrder,
    JobView,
    OperationRefused,
    PartAnswer,
)
from arbutusladder.reasons import meaning, remedy
from arbutusladder.routing import choose_job_shard, home_shard
from arbutusladder.shardownerview import ShardOwnerView
from arbutusladder.states import JobState, Outcome, Reason, Urgency

# Longest wait for the answer of an owner.
OWNER_CALL_TIMEOUT_S = 4.0
# Longest wait until the shard of a known job has an owner.
OWNER_WAIT_TIMEOUT_S = 5.0
OWNER_POLL_INTERVAL_S = 0.05
# Shards that a part of a submission is sent to at most.
MAX_SUBMIT_ATTEMPTS = 3
# Refusals after which another shard may still accept the job.
RETRY_ON_OTHER_SHARD_REASONS = frozenset(
    {
        Reason.NOT_OWNER.value,
        Reason.STARTING.value,
        Reason.DRAINING.value,
        Reason.OWNERSHIP_EXPIRED.value,
        Reason.SHARD_UNOWNED.value,
        Reason.QUEUE_FULL.value,
        Reason.NEVER_FITS.value,
        Reason.GANG_NEVER_FITS.value,
    }
)

CallOwner = Callable[[SeatId, object, float], Awaitable[object | None]]


@dataclass
class JobPart:
    """One part of a submission, which becomes a job of its own.

    Attributes:
        spec: Specification of the part's job.
        failure_domain: Failure domain to run in; empty for any.
        shard: Shard to submit to; empty to choose one by its free capacity.
    """

    spec: JobSpec
    failure_domain: str = ""
    shard: ShardId = ShardId("")


class JobOperations:
    """Carries out the operations on jobs for `Operations`.

    Args:
        view: Owners of the shards.
        config: State of stream ``config`` as read by this entry VM.
        jobs: State of stream ``jobs`` as read by this entry VM.
        call_owner: Sends a message to a seat and returns the answer, or None if no
            answer arrives within a timeout in seconds.
        clock: Clock of this process.
        metrics: Counters of this process.
        seed: Seed of the random choice of shards.
    """

    def __init__(
        self,
        view: ShardOwnerView,
        config: ConfigFeed,
        jobs: JobStore,
        call_owner: CallOwner,
        clock: Clock,
        metrics: Metrics,
        seed: int = 0,
    ):
        self._view = view
        self._config = config
        self._jobs = jobs
        self._call_owner = call_owner
        self._clock = clock
        self._metrics = metrics
        self._random = random.Random(seed)

    async def submit(self, order: JobOrder) -> list[PartAnswer]:
        """Submits a job and returns one answer per part."""
        workload = self._config.store.state.workload_by_name.get(order.workload)
        if workload is None or workload.kind == "request":
            raise refused_operation(Reason.UNKNOWN_WORKLOAD)
        answers = []
        for part in self._split_order(order, workload):
            answers.append(await self._submit_part(part))
        return answers

    def _split_order(self, order: JobOrder, workload: Workload) -> Iterator[JobPart]:
        """Yields one part, or one per failure domain if the workload is spread."""
        job_id = order.job_id or JobId(uuid.uuid4().hex)
        tasks = order.tasks or workload.tasks
        if workload.spread != "failure_domain":
            # A repeated submission with the same id must reach the same shard, where
            # the job is recognized.
            shard = home_shard(job_id, self._sorted_shards()) if order.job_id else ""
            yield JobPart(self._job_spec(job_id, workload, tasks), shard=ShardId(shard))
            return
        domains = sorted(set(self._view.domain_by_shard.values()))
        for index, domain in enumerate(domains):
            part_tasks = tasks // len(domains) + (index < tasks % len(domains))
            if part_tasks:
                part_id = JobId(f"{job_id}-{domain}")
                shards = [
                    s
                    for s in self._sorted_shards()
                    if self._failure_domain_of(s) == domain
                ]
                shard = home_shard(part_id, shards) if order.job_id else ""
                spec = self._job_spec(part_id, workload, part_tasks)
                yield JobPart(spec, domain, ShardId(shard))

    def _sorted_shards(self) -> list[ShardId]:
        return sorted(self._view.domain_by_shard)

    def _failure_domain_of(self, shard: ShardId) -> str:
        return self._view.domain_by_shard[shard]

    def _job_spec(self, job_id: JobId, workload: Workload, tasks: int) -> JobSpec:
        resources = workload.task
        return JobSpec(
            job_id=job_id,
            workload=workload.name,
            team=TeamName(workload.team),
            urgency=Urgency(workload.urgency),
            tasks=tasks,
            task_resources=Resources(
                resources.cpu, resources.memory_mb, resources.accelerators
            ),
            gang=workload.kind == "gang",
            service=workload.kind == "service",
            run_time_s=workload.run_time_s,
            max_attempts=workload.max_attempts,
            idempotent=workload.idempotent,
            durable=workload.durable,
            submitted_at=self._clock.wall_time(),
            command=workload.command,
        )

    async def _submit_part(self, part: JobPart) -> PartAnswer:
        """Submits one part, on other shards too if the first ones refuse it."""
        job_id = part.spec.job_id
        known_job = self._jobs.job(job_id)
        if known_job:
            return PartAnswer(job_id, Outcome.DONE, known_job.shard)
        if self._jobs.ended(job_id):
            return PartAnswer(job_id, Outcome.DONE)
        tried: set[ShardId] = set()
        answer = PartAnswer(
            job_id,
            Outcome.NOT_RUN,
            reason=Reason.SHARD_UNOWNED.value,
            retry_after_ms=1000,
        )
        while len(tried) < MAX_SUBMIT_ATTEMPTS:
            shard = part.shard or self._choose_shard(part, tried)
            if shard is None or shard in tried:
                break
            tried.add(shard)
            answer = await self._submit_to_shard(shard, part.spec)
            if answer.reason not in RETRY_ON_OTHER_SHARD_REASONS:
                break
        if answer.outcome is Outcome.NOT_RUN:
            self._metrics.count_refusal(Reason(answer.reason))
        return answer

    def _choose_shard(self, part: JobPart, tried: set[ShardId]) -> ShardId | None:
        """Returns a shard that was not tried, preferably one with free capacity."""
        owned = self._view.owned(self._clock.now())
        summaries = [
            owned_shard.summary
            for shard, owned_shard in owned.items()
            if part.failure_domain in {"", self._failure_domain_of(shard)}
        ]
        spec = part.spec
        return choose_job_shard(
            summaries, spec.task_resources, spec.tasks, spec.gang, self._random, tried
        )

    async def _submit_to_shard(self, shard: ShardId, spec: JobSpec) -> PartAnswer:
        """Sends a job to the owner of a shard and returns the result."""
        owner = self._view.owner(shard, self._clock.now())
        if owner is None:
            return PartAnswer(
                spec.job_id,
                Outcome.NOT_RUN,
                shard,
                Reason.SHARD_UNOWNED.value,
                1000,
            )
        message = SubmitJob(RequestId(uuid.uuid4().hex), shard, spec)
        answer = await self._call_owner(owner, message, OWNER_CALL_TIMEOUT_S)
        if not isinstance(answer, SubmitAnswer):
            return PartAnswer(
                spec.job_id, Outcome.UNKNOWN, shard, Reason.OWNER_SILENT.value
            )
        reason = "" if answer.outcome is Outcome.DONE else answer.reason
        return PartAnswer(
            spec.job_id,
            answer.outcome,
            shard,
            reason,
            answer.retry_after_ms,
            spec.durable,
        )

    async def job(self, job_id: JobId) -> JobView | None:
        """Returns the state of a job, or None if it certainly does not exist."""
        answer, shard = await self._query_owners(job_id, explain=False)
        if answer is None:
            return self._ended_job_view(job_id)
        known_job = self._jobs.job(job_id)
        return JobView(
            job_id,
            JobState(answer.state),
            known_job.spec.workload if known_job else "",
            shard,
            answer.tasks_by_state,
            [VmId(vm) for vm in answer.workers],
            answer.reason,
        )

    async def cancel(self, job_id: JobId) -> JobView | None:
        """Cancels a job and returns its state, or None if it does not exist."""
        for shard, owner in await self._candidate_owners(job_id):
            message = CancelJob(RequestId(uuid.uuid4().hex), job_id)
            answer = await self._call_owner(owner, message, OWNER_CALL_TIMEOUT_S)
            if not isinstance(answer, Acknowledgement):
                raise unknown_operation(Reason.OWNER_SILENT)
            if answer.accepted:
                return JobView(
                    job_id, JobState.CANCELLED, shard=shard, reason=answer.reason
                )
        ended = self._ended_job_view(job_id)
        if ended is None:
            self._require_all_shards_owned()
        return ended

    async def explain(self, job_id: JobId) -> Explanation | None:
        """Explains the state of a job, or returns None if it does not exist."""
        answer, _ = await self._query_owners(job_id, explain=True)
        if answer is None:
            view = self._ended_job_view(job_id)
            return view and _explain_ended_job(view)
        return _explain_active_job(job_id, answer)

    async def _query_owners(
        self, job_id: JobId, explain: bool
    ) -> tuple[JobAnswer | None, ShardId]:
        """Returns the owner's answer about a job and its shard.

        The answer is None if the job has ended or does not exist.

        Raises:
            OperationRefused: An owner did not answer, or a shard has no owner.
        """
        if self._jobs.ended(job_id):
            return None, ShardId("")
        for shard, owner in await self._candidate_owners(job_id):
            message = QueryJob(RequestId(uuid.uuid4().hex), job_id, explain)
            answer = await self._call_owner(owner, message, OWNER_CALL_TIMEOUT_S)
            if not isinstance(answer, JobAnswer):
                raise unknown_operation(Reason.OWNER_SILENT)
            if answer.found:
                return answer, shard
        self._require_all_shards_owned()
        return None, ShardId("")

    async def _candidate_owners(self, job_id: JobId) -> list[tuple[ShardId, SeatId]]:
        """Returns the shards, with their owners, that may hold a job.

        If the job's shard is known, this waits up to `OWNER_WAIT_TIMEOUT_S` for its
        owner. A job that is not in the log may be in the memory of any owner.

        Raises:
            OperationRefused: The shard of the job still has no owner.
        """
        known_job = self._jobs.job(job_id)
        give_up_at = self._clock.now() + OWNER_WAIT_TIMEOUT_S
        while True:
            now = self._clock.now()
            if known_job is None:
                owned = self._view.owned(now)
                return [
                    (shard, owned_shard.owner) for shard, owned_shard in owned.items()
                ]
            owner = self._view.owner(known_job.shard, now)
            if owner:
                return [(known_job.shard, owner)]
            if now >= give_up_at:
                raise refused_operation(Reason.SHARD_UNOWNED)
            await curio.sleep(OWNER_POLL_INTERVAL_S)

    def _require_all_shards_owned(self) -> None:
        """Raises `OperationRefused` if a shard, which may hold the job, has no owner.

        A job must not be reported as unknown then: during a log outage this entry VM
        may not have read the job's record.
        """
        if len(self._view.owned(self._clock.now())) < len(self._sorted_shards()):
            raise refused_operation(Reason.SHARD_UNOWNED)

    def _ended_job_view(self, job_id: JobId) -> JobView | None:
        """Returns the state of an ended job, or None if the job is not known.

        Raises:
            OperationRefused: The log holds the job, but its owner does not.
        """
        ended = self._jobs.ended(job_id)
        if ended is None and self._jobs.job(job_id):
            # The job is being moved to another shard.
            raise refused_operation(Reason.NOT_OWNER)
        if ended is None:
            return None
        return JobView(job_id, ended.state, reason=ended.reason)


def _explain_ended_job(view: JobView) -> Explanation:
    if not view.reason:
        return Explanation(view.job_id, view.state)
    explanation = Explanation(
        view.job_id, view.state, view.reason, [meaning(view.reason)]
    )
    if view.reason != Reason.CANCELLED.value:
        explanation.changes.append(remedy(view.reason))
    return explanation


def _explain_active_job(job_id: JobId, answer: JobAnswer) -> Explanation:
    """Parses an owner's explanation lines into reason, remedies and other lines.

    The job itself has a reason only after it has ended or lost a task. The reason
    why it waits is given in the lines of the scheduling policy.
    """
    explanation = Explanation(job_id, JobState(answer.state), answer.reason)
    for line in answer.explanation:
        if line.startswith(REASON_PREFIX):
            explanation.reason = line.removeprefix(REASON_PREFIX)
        elif line.startswith(REMEDY_PREFIX):
            explanation.changes.append(line.removeprefix(REMEDY_PREFIX))
        else:
            explanation.lines.append(line)
    if explanation.reason and not explanation.changes:
        explanation.changes.append(remedy(explanation.reason))
    return explanation


def refused_operation(reason: Reason) -> OperationRefused:
    """Returns the error for an operation that had no effect."""
    return OperationRefused(reason, remedy(reason.value), retry_after_ms=1000)


def unknown_operation(reason: Reason) -> OperationRefused:
    """Returns the error for an operation that may have had an effect."""
    return OperationRefused(reason, remedy(reason.value), Outcome.UNKNOWN)
