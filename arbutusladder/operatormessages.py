"""Structs of the requests and responses of the operators' HTTP interface.

They are sent as JSON, so the names of their fields are part of the interface.
"""

from enum import Enum
from typing import Any

import msgspec

from arbutusladder.declarations import Declarations
from arbutusladder.errors import RequestFailed
from arbutusladder.ids import JobId, PresetName, RecordId, Revision, VmId, WorkloadName
from arbutusladder.states import EntryState, JobState, Outcome, Reason, ShardState


class Refusal(msgspec.Struct):
    """Body of every response whose outcome is ``not_run`` or ``unknown``.

    Attributes:
        outcome: What is known of the request.
        reason: Value of ``Reason``.
        remedy: What the operator or caller can do.
        retry_after_ms: Milliseconds to wait before a retry; zero if not known.
        problems: Errors in declarations, one text each.
        winner: Author of the change that was accepted instead.
        winner_revision: Revision of the change that was accepted instead.
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
        retry_after_ms: Milliseconds to wait before a retry; zero if not known.
        status: HTTP status of the response; zero for the usual status of the reason.
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
    """The configuration that is active on the responding entry VM.

    Attributes:
        revision: Number of the revision; zero before the first change set.
        author: Author of the change set that created the revision.
        offset: Offset of the last applied record of stream ``config``.
        declarations: All workloads, teams and presets, and the active preset.
    """

    revision: Revision
    author: str
    offset: int
    declarations: Declarations


class ChangeRequest(msgspec.Struct, forbid_unknown_fields=True):
    """A change set to publish.

    Attributes:
        change_id: UUID of the change. It is the id of the change's log record, so that
            a change that is appended twice is applied once.
        base_revision: Revision that the change is based on.
        author: Name of the operator who publishes.
        changes: Objects to add or replace, ``remove`` and ``active_preset``.
    """

    change_id: RecordId
    base_revision: Revision
    author: str
    changes: Declarations


class PresetChoice(msgspec.Struct, forbid_unknown_fields=True):
    """A request to activate a preset, which is published as a change set."""

    change_id: RecordId
    base_revision: Revision
    author: str
    preset: PresetName


class PublishState(Enum):
    """Result states of the publication of a change set."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    LOG_UNAVAILABLE = "log_unavailable"


class PublishResult(msgspec.Struct):
    """Result of the publication of a change set.

    Attributes:
        state: ``accepted`` once the log holds it as the next revision; ``refused`` if
            another change was accepted first or the change is invalid; ``unknown`` if
            the append may have taken effect; ``log_unavailable`` if nothing was
            appended.
        revision: The accepted revision, or else the current one.
        winner: Author of the change that was accepted instead.
        problems: Why the change was rejected, if not for its base revision.
    """

    state: PublishState
    revision: Revision = Revision(0)
    winner: str = ""
    problems: list[str] = []


class PresetList(msgspec.Struct):
    """Names of the presets and of the active one."""

    revision: Revision
    author: str
    active: PresetName
    presets: list[PresetName]


class JobOrder(msgspec.Struct, forbid_unknown_fields=True):
    """A request to run a workload as a job.

    Attributes:
        workload: Name of the workload.
        tasks: Number of tasks; zero for the declared number.
        job_id: Id chosen by the submitter; empty to let the entry VM generate one.
    """

    workload: WorkloadName
    tasks: int = 0
    job_id: JobId = JobId("")


class PartAnswer(msgspec.Struct):
    """Result of one part of a submission.

    Attributes:
        job_id: Id of the part's job.
        outcome: ``done`` if the job was accepted.
        shard: Shard that the job is assigned to.
        reason: Value of ``Reason`` if the outcome is not ``done``.
        retry_after_ms: Milliseconds to wait before a retry; zero if not known.
        durable: Whether the job is recorded in the log.
    """

    job_id: JobId
    outcome: Outcome
    shard: str = ""
    reason: str = ""
    retry_after_ms: int = 0
    durable: bool = True


class JobParts(msgspec.Struct):
    """Results of a submission, one per part."""

    parts: list[PartAnswer]


class JobView(msgspec.Struct):
    """State of a job as reported by the owner of its shard.

    Attributes:
        tasks_by_state: Number of tasks in each state.
        workers: VMs that run tasks of the job.
        reason: Value of ``Reason`` that explains the state; empty for none.
    """

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
        reason: Value of ``Reason``; empty for none.
        lines: Sentences, the most important first.
        changes: Actions or events that would change the state.
    """

    job_id: JobId
    state: JobState
    reason: str = ""
    lines: list[str] = []
    changes: list[str] = []


class MemberView(msgspec.Struct):
    """State of one seat as known to the responding entry VM.

    Attributes:
        seat: Id of the seat.
        live: Whether its process sent a heartbeat recently.
        vm: VM of the seat's process; empty if none was seen.
        incarnation: Start time of the process in microseconds.
        silent_s: Seconds since the last heartbeat.
    """

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
    """State of one shard as known to the responding entry VM.

    Attributes:
        owner: Seat of the owner; empty if there is none.
        state: State of the shard on the responding entry VM.
        valid: Whether the owner holds the promises of a majority, as far as the
            responding entry VM knows.
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
    """Counters and gauges of the responding entry VM."""

    vm: VmId
    counters: dict[str, int]
    gauges: dict[str, float]


class DrainOrder(msgspec.Struct, forbid_unknown_fields=True):
    """A request to start or end the drain of an endpoint.

    Attributes:
        draining: True if the endpoint gets no new work, False if it gets work again.
    """

    draining: bool = True


class DrainView(msgspec.Struct):
    """The drain state of an endpoint as reported by the owner of its shard."""

    vm: VmId
    draining: bool
    shard: str = ""


class Readiness(msgspec.Struct):
    """Whether the load balancer may send requests to this entry VM.

    Attributes:
        reasons: Values of ``Reason`` why it may not; empty if ready.
    """

    ready: bool
    state: EntryState
    revision: Revision = Revision(0)
    reasons: list[str] = []
