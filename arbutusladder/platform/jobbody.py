"""Decodes the JSON body of a job submission."""

import re

import msgspec

from arbutusladder.ids import JobId, TeamName
from arbutusladder.messages import QueueTerms, Resources, StepSpec, SubmittedJob
from arbutusladder.platform.bounds import Amount, Duration
from arbutusladder.platform.jsonbody import check_step_count, decode_json

# Form of the job ids, which clients choose.
JOB_ID_PATTERN = re.compile(r"[0-9a-fA-F]{16}")
# Remedy of an invalid body; the problem before it names the field, or the position in
# text that is no JSON.
REMEDY = "correct this part of the JSON body and submit the job again"


class _Step(msgspec.Struct, rename="kebab"):
    """A step; clients omit fields that are 0, false or empty.

    ``cpu`` is in thousandths of a core. ``fills`` tasks reserve no ``cpu`` and use what
    others leave idle. ``same-rack`` is a preference with a cost for violating it, and
    ``max-per-server`` limits the tasks on one executor.
    """

    count: Amount = 1
    cpu: Amount = 0
    mem_mb: Amount = 0
    gpu: Amount = 0
    estimate_ms: Duration = 0.0
    after: list[Amount] = []
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    requires: str = ""
    affinity: str = ""
    max_per_server: Amount = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: Duration = 0.0
    fills: bool = False
    allow_miss: Amount = 0


class _Job(msgspec.Struct, rename="kebab"):
    """A job.

    ``times``, ``first-ms`` and ``interval-ms`` describe a scheduled job; ``first-ms``
    is the wall clock time of its first occurrence in milliseconds since 1970.
    """

    steps: list[_Step]
    spec: str = ""
    times: Amount = 0
    first_ms: Duration = 0.0
    interval_ms: Duration = 0.0


def decode_job(
    job_id: JobId,
    body: bytes,
    terms: QueueTerms,
    wall_time: float,
    team: TeamName = "",
) -> SubmittedJob:
    """Decodes and validates a submitted job.

    Args:
        job_id: Id chosen by the client.
        body: JSON body of the request.
        terms: Terms of the queue that takes the job.
        wall_time: Wall clock time of the submission in seconds.
        team: Team of the caller; empty for none.

    Raises:
        msgspec.ValidationError: The body is not a valid job.
        JobTooLarge: The job has too many steps.
    """
    try:
        check_step_count(body)
        job = decode_json(body, _Job)
        _check_steps(job.steps)
    except msgspec.MsgspecError as error:
        raise msgspec.ValidationError(f"{error}; {REMEDY}") from error
    return SubmittedJob(
        job_id=job_id,
        queue=terms,
        payload=job.spec,
        steps=[_step_spec(step) for step in job.steps],
        accepted_at=wall_time,
        team=team,
        times=job.times,
        first_at=job.first_ms / 1000,
        interval_s=job.interval_ms / 1000,
    )


def _check_steps(steps: list[_Step]) -> None:
    if not steps:
        raise msgspec.ValidationError("a job needs at least one step")
    for index, step in enumerate(steps):
        if step.count < 1 or any(i >= index for i in step.after):
            raise msgspec.ValidationError(
                f"step {index}: count is at least 1 and after names earlier steps"
            )


def _step_spec(step: _Step) -> StepSpec:
    return StepSpec(
        count=step.count,
        need=Resources(step.cpu / 1000, step.mem_mb, step.gpu),
        estimate_s=step.estimate_ms / 1000,
        after=step.after,
        gang=step.gang,
        one_rack=step.same_rack,
        checkpoints=step.checkpoints,
        required_label=step.requires,
        near_rack=step.affinity,
        max_per_worker=step.max_per_server,
        speculative=step.speculative,
        lasting=step.long_running,
        fills=step.fills,
        image=step.image,
        target_s=step.target_ms / 1000,
        allow_miss=step.allow_miss,
    )
