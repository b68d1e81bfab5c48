"""Shapes of the operators' requests and answers."""

from enum import Enum
from typing import Any

import msgspec

from arbutusladder.declarations import Declarations
from arbutusladder.errors import RequestFailed
from arbutusladder.ids import JobId, PresetName, RecordId, Revision, VmId, WorkloadName
from arbutusladder.states import EntryState, JobState, Outcome, Reason, ShardState


class Refusal(msgspec.Struct):
    """Body of every answer that is ``not_run`` or ``unknown``.

    Attributes:
        outcome: What is known of the request.
        reason: Value of ``Reason``.
        remedy: What the operator or caller can do.
        retry_after_ms: Milliseconds to wait before a repetition; zero for none.
        problems: Problems of declarations, one text each.
        winner: Author of the change that won a race, with its revision.
    """

    outcome: Outcome
    reason: str
    remedy: str
    retry_after_ms: int = 0
    problems: list[str] = []
    winner: str = ""
    winner_revision: Revision = Revision(0)


class OperationRefused(RequestFailed):
    """Raised by a backend that cannot carry out an operation.

    Attributes:
        retry_after_ms: Milliseconds to wait before a repetition.
        status: HTTP status of the answer; zero for that of the reason.
        detail: Further fields of ``Refusal`` by name.
    """

    def __init__(
        self,
        reason: Reason,
        remedy: str,
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after_ms: int = 0,
        status: int = 0,
        **detail: Any,
    ):
        super().__init__(outcome, reason.value, remedy)
        self.retry_after_ms = retry_after_ms
        self.status = status
        self.detail = detail


class CurrentConfig(msgspec.Struct):
    """The configuration that is active on the answering entry VM.

    Attributes:
        revision: Its number; zero before the first change set.
        author: Author of its change set.
        offset: Offset of the last record of stream config that was folded.
        declarations: All workloads, teams and presets, and the active preset.
    """

    revision: Revision
    author: str
    offset: int
    declarations: Declarations


class ChangeRequest(msgspec.Struct, forbid_unknown_fields=True):
    """A change set to publish.

    Attributes:
        change_id: UUID of the change, used as the id of its log record, so that
            the same change appended twice counts once.
        base_revision: Revision that the change was made for.
        author: Who publishes.
        changes: Objects to put, ``remove`` and ``active_preset``.
    """

    change_id: RecordId
    base_revision: Revision
    author: str
    changes: Declarations


class PresetChoice(msgspec.Struct, forbid_unknown_fields=True):
    """The choice of another active preset; published as a change set."""

    change_id: RecordId
    base_revision: Revision
    author: str
    preset: PresetName


class PublishState(Enum):
    """What became of a change set."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    LOG_UNAVAILABLE = "log_unavailable"


class PublishResult(msgspec.Struct):
    """What became of a change set.

    Attributes:
        state: ``accepted`` once the log holds it as the next revision;
            ``refused`` when another change won; ``unknown`` when the append may
            have taken effect; ``log_unavailable`` when nothing was appended.
        revision: The accepted revision, else the current one.
        winner: Author of the change that won.
        problems: Why the fold refused the change, if not for its base.
    """

    state: PublishState
    revision: Revision = Revision(0)
    winner: str = ""
    problems: list[str] = []


class PresetList(msgspec.Struct):
    """The presets and the active one."""

    revision: Revision
    author: str
    active: PresetName
    presets: list[PresetName]


class JobOrder(msgspec.Struct, forbid_unknown_fields=True):
    """An order to run a workload.

    Attributes:
        workload: Name of the workload.
        tasks: Number of tasks; zero for the declared number.
        job_id: Id that the submitter gives; empty for one made by the entry VM.
    """

    workload: WorkloadName
    tasks: int = 0
    job_id: JobId = JobId("")


class PartAnswer(msgspec.Struct):
    """What became of one part of a submission.

    Attributes:
        job_id: Id of the part's job.
        outcome: ``done`` when the job is accepted.
        shard: Shard that the job is bound to.
        reason: Value of ``Reason`` when the outcome is not ``done``.
        retry_after_ms: Milliseconds to wait before a repetition.
        durable: Whether the log holds the job.
    """

    job_id: JobId
    outcome: Outcome
    shard: str = ""
    reason: str = ""
    retry_after_ms: int = 0
    durable: bool = True


class JobParts(msgspec.Struct):
    """What became of a submission, part by part."""

    parts: list[PartAnswer]


class JobView(msgspec.Struct):
    """State of a job at the owner of its shard."""

    job_id: JobId
    state: JobState
    workload: str = ""
    shard: str = ""
    tasks_by_state: dict[str, int] = {}
    workers: list[VmId] = []
    reason: str = ""


class Explanation(msgspec.Struct):
    """Why a job is in its state.

    Attributes:
        lines: Sentences, the most important first.
        changes: What would change the state.
    """

    job_id: JobId
    state: JobState
    reason: str = ""
    lines: list[str] = []
    changes: list[str] = []


class MemberView(msgspec.Struct):
    """One seat as the answering entry VM sees it."""

    seat: str
    address: str
    region: str
    failure_domain: str
    live: bool
    state: EntryState
    vm: VmId = VmId("")
    incarnation: int = 0
    config_revision: Revision = Revision(0)
    silent_s: float = 0.0


class ShardView(msgspec.Struct):
    """One shard as the answering entry VM sees it.

    Attributes:
        owner: Seat of the owner; empty when there is none.
        state: State of the shard on the answering entry VM.
        valid: Whether the owner holds the promises of a majority, as far as
            the answering entry VM knows.
    """

    shard: str
    owner: str
    epoch: int
    state: ShardState
    valid: bool = False
    free_slots_by_service: dict[str, int] = {}
    queued_requests: int = 0
    free_cpu: float = 0.0
    free_memory_mb: float = 0.0
    free_accelerators: int = 0
    queued_tasks: int = 0


class Counters(msgspec.Struct):
    """Counters and gauges of the answering entry VM."""

    vm: VmId
    counters: dict[str, int]
    gauges: dict[str, float]


class DrainOrder(msgspec.Struct, forbid_unknown_fields=True):
    """An order that an endpoint receives no new work, or does so again."""

    draining: bool = True


class DrainView(msgspec.Struct):
    """The drain state of an endpoint at the owner of its shard."""

    vm: VmId
    draining: bool
    shard: str = ""


class Readiness(msgspec.Struct):
    """Whether the balancer may send requests to this entry VM.

    Attributes:
        reasons: Values of ``Reason`` that speak against it.
    """

    ready: bool
    state: EntryState
    revision: Revision = Revision(0)
    reasons: list[str] = []
