"""Enumerations of states, outcomes and reasons; their values are sent and stored."""

from enum import Enum


class VmKind(Enum):
    """Kind of a VM in the platform's list."""

    ENTRY = "entry"
    WORKER = "worker"
    EXECUTOR = "executor"


class VmState(Enum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class EntryState(Enum):
    """State of an entry VM's process."""

    STARTING = "starting"
    READY = "ready"
    PAUSED = "paused"
    DRAINING = "draining"
    STOPPED = "stopped"


class ShardState(Enum):
    """State of a shard at one entry VM."""

    UNOWNED = "unowned"
    FOLLOWING = "following"
    CLAIMING = "claiming"
    REBUILDING = "rebuilding"
    OWNED = "owned"
    HANDING_OVER = "handing_over"


class JobState(Enum):
    """State of a job."""

    WAITING = "waiting"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"
    REFUSED = "refused"


class TaskState(Enum):
    """State of a task at the owner of its shard."""

    WAITING = "waiting"
    STARTING = "starting"
    RUNNING = "running"
    BLOCKED = "blocked"
    STOPPING = "stopping"
    ENDED = "ended"


class TaskEnd(Enum):
    """How a task ended on its worker."""

    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"
    CHECKPOINTED = "checkpointed"
    LEASE_EXPIRED = "lease_expired"


class TaskActionKind(Enum):
    """Action of a worker on a running task."""

    THROTTLE = "throttle"
    RESUME = "resume"
    CHECKPOINT = "checkpoint"
    STOP = "stop"


class KeyState(Enum):
    """State of an idempotency key."""

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"


class Outcome(Enum):
    """Outcome of a request or of an operation on the log.

    ``NOT_RUN`` means that it certainly had no effect, ``UNKNOWN`` that it may have.
    """

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Urgency(Enum):
    """Urgency class, most urgent first."""

    URGENT = "urgent"
    SERVICE = "service"
    NORMAL = "normal"
    BATCH = "batch"


class Reason(Enum):
    """Why something was refused or retried, or why its outcome is unknown."""

    # Requests
    QUEUE_FULL = "queue_full"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_PASSED = "deadline_passed"
    NO_ENDPOINT = "no_endpoint"
    UNKNOWN_SERVICE = "unknown_service"
    SHARD_UNOWNED = "shard_unowned"
    NOT_OWNER = "not_owner"
    OWNERSHIP_EXPIRED = "ownership_expired"
    OWNER_SILENT = "owner_silent"
    RETRY_BUDGET_EMPTY = "retry_budget_empty"
    CONNECT_FAILED = "connect_failed"
    CONNECTION_LOST = "connection_lost"
    ATTEMPT_TIMEOUT = "attempt_timeout"
    ANSWER_INCOMPLETE = "answer_incomplete"
    ANSWER_TOO_LARGE = "answer_too_large"
    ENDPOINT_REFUSED = "endpoint_refused"
    ENDPOINT_LEAVING = "endpoint_leaving"
    CALLER_DISCONNECTED = "caller_gone"
    BODY_TOO_LARGE = "body_too_large"
    MALFORMED_REQUEST = "malformed_request"
    REQUEST_INCOMPLETE = "request_incomplete"
    UNFINISHED_BYTES_FULL = "unfinished_bytes_full"
    TOO_MANY_CALLERS = "too_many_callers"
    # Idempotency keys
    KEY_MISSING = "key_missing"
    KEY_MALFORMED = "key_malformed"
    KEY_EXPIRED = "key_expired"
    KEY_FROM_FUTURE = "key_from_future"
    KEY_BEFORE_TAKEOVER = "key_before_takeover"
    KEY_TABLE_FULL = "key_table_full"
    KEY_REUSED = "key_reused"
    KEY_OUTCOME_UNKNOWN = "key_outcome_unknown"
    ANSWER_NOT_KEPT = "answer_not_kept"
    # Jobs
    UNKNOWN_WORKLOAD = "unknown_workload"
    UNKNOWN_JOB = "unknown_job"
    NEVER_FITS = "never_fits"
    GANG_NEVER_FITS = "gang_never_fits"
    OVER_QUOTA = "over_quota"
    CLASS_CEILING = "class_ceiling"
    NO_CAPACITY = "no_capacity"
    ATTEMPTS_EXHAUSTED = "attempts_exhausted"
    NOT_IDEMPOTENT_RETRY = "not_idempotent_retry"
    WORKER_REFUSED = "worker_refused"
    WORKER_SILENT = "worker_silent"
    WORKER_QUARANTINED = "worker_quarantined"
    LEASE_EXPIRED = "lease_expired"
    USAGE_EXCEEDED = "usage_exceeded"
    PREEMPTED = "preempted"
    CANCELLED = "cancelled"
    # Log and configuration
    LOG_UNAVAILABLE = "log_unavailable"
    LOG_REPLY_LOST = "log_reply_lost"
    STALE_BASE = "stale_base"
    CONFIG_UNCONFIRMED = "config_unconfirmed"
    INVALID_DECLARATION = "invalid_declaration"
    # Process
    INTERNAL_ERROR = "internal_error"
    STARTING = "starting"
    PAUSED = "paused"
    DRAINING = "draining"
