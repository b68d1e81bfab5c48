"""Submits, finds, cancels and explains jobs through the owners of the shards."""

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

OWNER_LIMIT_S = 4.0
OWNER_WAIT_LIMIT_S = 5.0
OWNER_POLL_S = 0.05
SUBMIT_TRIES = 3
TRY_ELSEWHERE = frozenset(
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
    """One part of a submission.

    Attributes:
        spec: The job of this part.
        failure_domain: Failure domain to run in; empty for any.
        shard: Shard that must take it; empty for the best.
    """

    spec: JobSpec
    failure_domain: str = ""
    shard: ShardId = ShardId("")


class JobOperations:
    """Operations on jobs; a part of `Operations`.

    Args:
        view: Owners of the shards.
        config: Fold of stream ``config``.
        jobs: Fold of stream ``jobs``.
        call_owner: Sends a message to a seat and returns its answer, or None
            when none came within a time in seconds.
        clock: Clock of this process.
        metrics: Counters.
        seed: Seed of the random choices.
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
        """Submits a job; returns one answer for each part."""
        workload = self._config.store.state.workload_by_name.get(order.workload)
        if workload is None or workload.kind == "request":
            raise refused(Reason.UNKNOWN_WORKLOAD)
        answers = []
        for part in self._parts(order, workload):
            answers.append(await self._submit_part(part))
        return answers

    def _parts(self, order: JobOrder, workload: Workload) -> Iterator[JobPart]:
        job_id = order.job_id or JobId(uuid.uuid4().hex)
        tasks = order.tasks or workload.tasks
        if workload.spread != "failure_domain":
            # A repeated id must reach the same shard, which then knows the job.
            shard = home_shard(job_id, self._shards()) if order.job_id else ""
            yield JobPart(self._spec(job_id, workload, tasks), shard=ShardId(shard))
            return
        domains = sorted(set(self._view.domain_by_shard.values()))
        for number, domain in enumerate(domains):
            share = tasks // len(domains) + (number < tasks % len(domains))
            if share:
                part_id = JobId(f"{job_id}-{domain}")
                shards = [s for s in self._shards() if self._domain(s) == domain]
                shard = home_shard(part_id, shards) if order.job_id else ""
                spec = self._spec(part_id, workload, share)
                yield JobPart(spec, domain, ShardId(shard))

    def _shards(self) -> list[ShardId]:
        return sorted(self._view.domain_by_shard)

    def _domain(self, shard: ShardId) -> str:
        return self._view.domain_by_shard[shard]

    def _spec(self, job_id: JobId, workload: Workload, tasks: int) -> JobSpec:
        need = workload.task
        return JobSpec(
            job_id=job_id,
            workload=workload.name,
            team=TeamName(workload.team),
            urgency=Urgency(workload.urgency),
            tasks=tasks,
            task_resources=Resources(need.cpu, need.memory_mb, need.accelerators),
            gang=workload.kind == "gang",
            service=workload.kind == "service",
            run_time_s=workload.run_time_s,
            max_attempts=workload.max_attempts,
            idempotent=workload.idempotent,
            durable=workload.durable,
            submitted_at=self._clock.wall(),
            command=workload.command,
        )

    async def _submit_part(self, part: JobPart) -> PartAnswer:
        job_id = part.spec.job_id
        known = self._jobs.job(job_id)
        if known:
            return PartAnswer(job_id, Outcome.DONE, known.shard)
        if self._jobs.ended(job_id):
            return PartAnswer(job_id, Outcome.DONE)
        tried: set[ShardId] = set()
        answer = PartAnswer(
            job_id,
            Outcome.NOT_RUN,
            reason=Reason.SHARD_UNOWNED.value,
            retry_after_ms=1000,
        )
        while len(tried) < SUBMIT_TRIES:
            shard = part.shard or self._choose_shard(part, tried)
            if shard is None or shard in tried:
                break
            tried.add(shard)
            answer = await self._submit_to(shard, part.spec)
            if answer.reason not in TRY_ELSEWHERE:
                break
        if answer.outcome is Outcome.NOT_RUN:
            self._metrics.refused(Reason(answer.reason))
        return answer

    def _choose_shard(self, part: JobPart, tried: set[ShardId]) -> ShardId | None:
        owned = self._view.owned(self._clock.now())
        summaries = [
            known.summary
            for shard, known in owned.items()
            if part.failure_domain in {"", self._domain(shard)}
        ]
        spec = part.spec
        return choose_job_shard(
            summaries, spec.task_resources, spec.tasks, spec.gang, self._random, tried
        )

    async def _submit_to(self, shard: ShardId, spec: JobSpec) -> PartAnswer:
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
        answer = await self._call_owner(owner, message, OWNER_LIMIT_S)
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
        """Returns the state of a job; none when it certainly does not exist."""
        answer, shard = await self._query(job_id, explain=False)
        if answer is None:
            return self._ended_view(job_id)
        known = self._jobs.job(job_id)
        return JobView(
            job_id,
            JobState(answer.state),
            known.spec.workload if known else "",
            shard,
            answer.tasks_by_state,
            [VmId(vm) for vm in answer.workers],
            answer.reason,
        )

    async def cancel(self, job_id: JobId) -> JobView | None:
        """Cancels a job and returns its state; none when it does not exist."""
        for shard, owner in await self._places(job_id):
            message = CancelJob(RequestId(uuid.uuid4().hex), job_id)
            answer = await self._call_owner(owner, message, OWNER_LIMIT_S)
            if not isinstance(answer, Acknowledgement):
                raise unknown(Reason.OWNER_SILENT)
            if answer.accepted:
                return JobView(
                    job_id, JobState.CANCELLED, shard=shard, reason=answer.reason
                )
        ended = self._ended_view(job_id)
        if ended is None:
            self._require_owners()
        return ended

    async def explain(self, job_id: JobId) -> Explanation | None:
        """Explains the state of a job; none when it does not exist."""
        answer, _ = await self._query(job_id, explain=True)
        if answer is None:
            view = self._ended_view(job_id)
            return view and _ended_explanation(view)
        return _live_explanation(job_id, answer)

    async def _query(
        self, job_id: JobId, explain: bool
    ) -> tuple[JobAnswer | None, ShardId]:
        if self._jobs.ended(job_id):
            return None, ShardId("")
        for shard, owner in await self._places(job_id):
            message = QueryJob(RequestId(uuid.uuid4().hex), job_id, explain)
            answer = await self._call_owner(owner, message, OWNER_LIMIT_S)
            if not isinstance(answer, JobAnswer):
                raise unknown(Reason.OWNER_SILENT)
            if answer.found:
                return answer, shard
        self._require_owners()
        return None, ShardId("")

    async def _places(self, job_id: JobId) -> list[tuple[ShardId, SeatId]]:
        """Returns where a job can be, waiting a while for an owner.

        A job that the log does not hold may be in memory of any owner.
        """
        known = self._jobs.job(job_id)
        end = self._clock.now() + OWNER_WAIT_LIMIT_S
        while True:
            now = self._clock.now()
            if known is None:
                owned = self._view.owned(now)
                return [(shard, one.owner) for shard, one in owned.items()]
            owner = self._view.owner(known.shard, now)
            if owner:
                return [(known.shard, owner)]
            if now >= end:
                raise refused(Reason.SHARD_UNOWNED)
            await curio.sleep(OWNER_POLL_S)

    def _require_owners(self) -> None:
        """Refuses to call a job unknown while an owner that may know it is away.

        During a log outage this entry VM may not have read the job's record.
        """
        if len(self._view.owned(self._clock.now())) < len(self._shards()):
            raise refused(Reason.SHARD_UNOWNED)

    def _ended_view(self, job_id: JobId) -> JobView | None:
        ended = self._jobs.ended(job_id)
        if ended is None and self._jobs.job(job_id):
            # The job is on its way to another shard.
            raise refused(Reason.NOT_OWNER)
        if ended is None:
            return None
        return JobView(job_id, ended.state, reason=ended.reason)


def _ended_explanation(view: JobView) -> Explanation:
    if not view.reason:
        return Explanation(view.job_id, view.state)
    found = Explanation(view.job_id, view.state, view.reason, [meaning(view.reason)])
    if view.reason != Reason.CANCELLED.value:
        found.changes.append(remedy(view.reason))
    return found


def _live_explanation(job_id: JobId, answer: JobAnswer) -> Explanation:
    """Returns an owner's explanation with its reason and its remedies apart.

    The job itself has a reason only once it has ended or lost a task; why it
    waits stands in the lines of the policy.
    """
    found = Explanation(job_id, JobState(answer.state), answer.reason)
    for line in answer.explanation:
        if line.startswith(REASON_PREFIX):
            found.reason = line.removeprefix(REASON_PREFIX)
        elif line.startswith(REMEDY_PREFIX):
            found.changes.append(line.removeprefix(REMEDY_PREFIX))
        else:
            found.lines.append(line)
    if found.reason and not found.changes:
        found.changes.append(remedy(found.reason))
    return found


def refused(reason: Reason) -> OperationRefused:
    """Returns the error for an operation that had no effect."""
    return OperationRefused(reason, remedy(reason.value), retry_after_ms=1000)


def unknown(reason: Reason) -> OperationRefused:
    """Returns the error for an operation that may have had an effect."""
    return OperationRefused(reason, remedy(reason.value), Outcome.UNKNOWN)
