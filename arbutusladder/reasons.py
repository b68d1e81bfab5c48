"""Meaning, remedy and HTTP status of each `Reason`."""

from dataclasses import dataclass

from arbutusladder.states import Outcome, Reason

# HTTP statuses of refusals and unknown outcomes.
NOT_RUN_STATUS = 503
UNKNOWN_STATUS = 504
LIMIT_STATUS = 429
DEFAULT_REMEDY = "see docs/metrics.md for this reason"


@dataclass(frozen=True)
class ReasonText:
    """Explanation of one reason, for people.

    Attributes:
        meaning: What happened, as a sentence.
        remedy: What a caller or an operator can do, as part of a sentence.
        status: HTTP status of a request that was not run. Unknown outcomes have
            `UNKNOWN_STATUS`, whatever the reason.
    """

    meaning: str
    remedy: str
    status: int = NOT_RUN_STATUS


TEXT_BY_REASON: dict[Reason, ReasonText] = {
    Reason.QUEUE_FULL: ReasonText(
        "The shard's queue for this class is full.",
        "retry after the given time, or choose the peak preset",
        LIMIT_STATUS,
    ),
    Reason.DEADLINE_UNREACHABLE: ReasonText(
        "The queue is too long for the deadline of the request.",
        "retry later or use a longer deadline",
    ),
    Reason.DEADLINE_PASSED: ReasonText(
        "The deadline passed while the request waited; it was not sent.",
        "retry with a longer deadline",
    ),
    Reason.NO_ENDPOINT: ReasonText(
        "No available endpoint can run the work, or a drain names no endpoint.",
        "check that the service has running executors that are not drained",
    ),
    Reason.UNKNOWN_SERVICE: ReasonText(
        "No workload of kind request declares the service.",
        "declare a workload of kind request for the service",
        404,
    ),
    Reason.SHARD_UNOWNED: ReasonText(
        "The shard has no owner at present.",
        "retry in 5 s; during a log outage, retry when the log service is available",
    ),
    Reason.NOT_OWNER: ReasonText(
        "The request reached an entry VM that no longer owns the shard.",
        "retry; the shard is changing its owner",
    ),
    Reason.OWNERSHIP_EXPIRED: ReasonText(
        "The owner's promises of a majority expired before it sent the work.",
        "retry; check the network between entry VMs if this persists",
    ),
    Reason.OWNER_SILENT: ReasonText(
        "The owner did not answer in time, so the outcome may be unknown.",
        "check at the endpoint whether it was run before a retry",
    ),
    Reason.RETRY_BUDGET_EMPTY: ReasonText(
        "Too many requests needed a retry; this one was not retried.",
        "retry after the given time; the counters retried.* show the cause",
    ),
    Reason.CONNECT_FAILED: ReasonText(
        "No connection to the endpoint could be opened; nothing was sent.",
        "retry; check the executor if this persists",
    ),
    Reason.CONNECTION_LOST: ReasonText(
        "The connection broke after the request was sent.",
        "check whether it was run before a retry",
    ),
    Reason.ATTEMPT_TIMEOUT: ReasonText(
        "The endpoint sent nothing for attempt_timeout_s.",
        "check whether it was run before a retry",
    ),
    Reason.ANSWER_INCOMPLETE: ReasonText(
        "The response is truncated or is not valid HTTP.",
        "check whether it was run before a retry",
    ),
    Reason.ANSWER_TOO_LARGE: ReasonText(
        "The response exceeds max_body_bytes.",
        "raise limits.max_body_bytes or request less data",
    ),
    Reason.ENDPOINT_REFUSED: ReasonText(
        "The endpoint reported that it did not run the request.",
        "retry after the given time",
    ),
    Reason.ENDPOINT_LEAVING: ReasonText(
        "The endpoint is shutting down.",
        "retry; another executor will run it",
    ),
    Reason.CALLER_DISCONNECTED: ReasonText(
        "The caller closed its connection before the response.",
        "raise the caller's timeout above timing.max_request_time_s",
    ),
    Reason.BODY_TOO_LARGE: ReasonText(
        "The body exceeds max_body_bytes.",
        "send a smaller body or raise limits.max_body_bytes",
        413,
    ),
    Reason.MALFORMED_REQUEST: ReasonText(
        "The request is malformed.",
        "correct the request",
        400,
    ),
    Reason.REQUEST_INCOMPLETE: ReasonText(
        "The request did not arrive in time.",
        "send the whole request within the timeouts of input_limits",
        408,
    ),
    Reason.UNFINISHED_BYTES_FULL: ReasonText(
        "Too many large or slow requests are being received together.",
        "retry after the given time",
    ),
    Reason.TOO_MANY_CALLERS: ReasonText(
        "The entry VM has max_callers open connections.",
        "retry at another entry VM, or raise limits.max_callers",
        LIMIT_STATUS,
    ),
    Reason.KEY_MISSING: ReasonText(
        "The service runs requests at most once; the request has no Idempotency-Key.",
        "send a UUIDv7 in header Idempotency-Key",
        400,
    ),
    Reason.KEY_MALFORMED: ReasonText(
        "The Idempotency-Key is not a UUIDv7.",
        "send a UUIDv7 in header Idempotency-Key; request --new-key generates one",
        400,
    ),
    Reason.KEY_EXPIRED: ReasonText(
        "The key is older than key_window_s, so its outcome is not known.",
        "the key is too old; check the result in the system that the request changes",
    ),
    Reason.KEY_FROM_FUTURE: ReasonText(
        "The key's creation time is in the future, beyond the permitted clock skew.",
        "correct the caller's clock and use a new key",
        400,
    ),
    Reason.KEY_BEFORE_TAKEOVER: ReasonText(
        "The key is older than the ownership of its shard, whose last owner failed.",
        "check the result in the changed system, then use a new key",
    ),
    Reason.KEY_TABLE_FULL: ReasonText(
        "The shard's key table is full (key_table keys).",
        "retry after the given time, or raise limits.key_table",
        LIMIT_STATUS,
    ),
    Reason.KEY_REUSED: ReasonText(
        "The key was used for another request.",
        "use a new key for each request",
        422,
    ),
    Reason.KEY_OUTCOME_UNKNOWN: ReasonText(
        "The first request with this key has an unknown outcome.",
        "check the result in the changed system, then use a new key",
    ),
    Reason.ANSWER_NOT_KEPT: ReasonText(
        "The first request with this key was run, but its response was not stored.",
        "it was run; check the result in the system that the request changes",
    ),
    Reason.UNKNOWN_WORKLOAD: ReasonText(
        "No workload with this name is declared.",
        "publish a declaration of the workload",
        404,
    ),
    Reason.UNKNOWN_JOB: ReasonText(
        "No job with this id exists; records of ended jobs are removed after a while.",
        "check the id; ended jobs are removed after a while",
        404,
    ),
    Reason.NEVER_FITS: ReasonText(
        "A task needs more resources than any worker has.",
        "declare smaller tasks or add larger workers",
    ),
    Reason.GANG_NEVER_FITS: ReasonText(
        "The gang needs more resources than any shard has.",
        "declare fewer or smaller tasks, or use larger shards",
    ),
    Reason.OVER_QUOTA: ReasonText(
        "The team has reached its quota.",
        "wait until work of the team ends, or raise its quota",
        LIMIT_STATUS,
    ),
    Reason.CLASS_CEILING: ReasonText(
        "The class has reached its ceiling in the active preset.",
        "wait, or choose a preset with a higher ceiling",
        LIMIT_STATUS,
    ),
    Reason.NO_CAPACITY: ReasonText(
        "The work fits the workers, but not enough capacity is free now.",
        "wait until running work ends, or add workers",
    ),
    Reason.ATTEMPTS_EXHAUSTED: ReasonText(
        "A task failed max_attempts times.",
        "check the output of the task, then submit again",
    ),
    Reason.NOT_IDEMPOTENT_RETRY: ReasonText(
        "A task that is not idempotent may have run, so it is not started again.",
        "check what the task did; submit again only if that is safe",
    ),
    Reason.WORKER_REFUSED: ReasonText(
        "The worker did not start the task.",
        "check the worker if this repeats",
    ),
    Reason.WORKER_SILENT: ReasonText(
        "The worker does not respond.",
        "check the worker; its tasks are blocked until their leases expire",
    ),
    Reason.WORKER_QUARANTINED: ReasonText(
        "Several consecutive starts on the worker failed.",
        "check the worker; one successful trial task readmits it",
    ),
    Reason.LEASE_EXPIRED: ReasonText(
        "The lease of the task expired without a renewal, so the worker stopped it.",
        "check the network between the owner and the worker",
    ),
    Reason.USAGE_EXCEEDED: ReasonText(
        "The task used more resources than declared.",
        "declare the resources that the task uses, then submit again",
    ),
    Reason.PREEMPTED: ReasonText(
        "The task was preempted by more urgent work.",
        "nothing; the task is rescheduled",
    ),
    Reason.CANCELLED: ReasonText(
        "The job was cancelled.",
        "nothing",
    ),
    Reason.LOG_UNAVAILABLE: ReasonText(
        "The log service did not accept the record; nothing was appended.",
        "retry when the log service is available",
    ),
    Reason.LOG_REPLY_LOST: ReasonText(
        "The log service may have appended the record; its response was lost.",
        "query the result before a retry; it may have taken effect",
    ),
    Reason.STALE_BASE: ReasonText(
        "Another change was accepted first.",
        "fetch the current revision, merge and publish again",
        409,
    ),
    Reason.CONFIG_UNCONFIRMED: ReasonText(
        "The entry VM can confirm its revision neither with the log nor with peers.",
        "use another entry VM; replace this one if this persists",
    ),
    Reason.INVALID_DECLARATION: ReasonText(
        "The declarations are invalid or contradict each other.",
        "correct the declarations and publish again",
        400,
    ),
    Reason.INTERNAL_ERROR: ReasonText(
        "The entry VM failed while it handled the request.",
        "check whether it was run, and report the error with the log of the VM",
    ),
    Reason.STARTING: ReasonText(
        "The entry VM is starting.",
        "use another entry VM until this one is ready",
    ),
    Reason.PAUSED: ReasonText(
        "The process of the entry VM was paused.",
        "use another entry VM until this one is ready",
    ),
    Reason.DRAINING: ReasonText(
        "The entry VM is shutting down.",
        "use another entry VM",
    ),
}


def remedy(reason: str) -> str:
    """Returns what a caller or an operator can do about a reason.

    Args:
        reason: Value of a `Reason`; an unknown value has the default remedy.
    """
    text = _TEXT_BY_VALUE.get(reason)
    return text.remedy if text else DEFAULT_REMEDY


def meaning(reason: str) -> str:
    """Returns the meaning of a reason as a sentence.

    Args:
        reason: Value of a `Reason`; an unknown value is returned unchanged.
    """
    text = _TEXT_BY_VALUE.get(reason)
    return text.meaning if text else reason


def status(reason: str, outcome: Outcome = Outcome.NOT_RUN) -> int:
    """Returns the HTTP status of a response that is ``not_run`` or ``unknown``.

    Args:
        reason: Value of a `Reason`.
        outcome: What is known of the request.
    """
    if outcome is Outcome.UNKNOWN:
        return UNKNOWN_STATUS
    text = _TEXT_BY_VALUE.get(reason)
    return text.status if text else NOT_RUN_STATUS


_TEXT_BY_VALUE = {reason.value: text for reason, text in TEXT_BY_REASON.items()}
