"""What each reason means, what to do about it, and its HTTP status."""

from dataclasses import dataclass

from arbutusladder.states import Outcome, Reason

NOT_RUN_STATUS = 503
UNKNOWN_STATUS = 504
LIMIT_STATUS = 429
DEFAULT_REMEDY = "look the reason up in docs/metrics.md"


@dataclass(frozen=True)
class ReasonText:
    """Explanation of one reason.

    Attributes:
        meaning: What happened, as a sentence.
        remedy: What a caller or an operator can do, as part of a sentence.
        status: HTTP status of a refusal as not run. An unknown outcome has
            `UNKNOWN_STATUS` for every reason.
    """

    meaning: str
    remedy: str
    status: int = NOT_RUN_STATUS


TEXT_BY_REASON: dict[Reason, ReasonText] = {
    Reason.QUEUE_FULL: ReasonText(
        "The queue of the class at the shard's owner is full.",
        "repeat it after the given time, or choose the peak preset",
        LIMIT_STATUS,
    ),
    Reason.DEADLINE_UNREACHABLE: ReasonText(
        "The queue is too long for the deadline of the request.",
        "repeat it later or give it a longer deadline",
    ),
    Reason.DEADLINE_PASSED: ReasonText(
        "The deadline passed while the request waited; it was not sent.",
        "repeat it with a longer deadline",
    ),
    Reason.NO_ENDPOINT: ReasonText(
        "No live endpoint can take the work, or a drain names no endpoint.",
        "check that the service has live executors that are not drained",
    ),
    Reason.UNKNOWN_SERVICE: ReasonText(
        "No workload of kind request declares the service.",
        "declare a workload of kind request for the service",
        404,
    ),
    Reason.SHARD_UNOWNED: ReasonText(
        "The shard has no owner at present.",
        "repeat it in 5 s; during a log outage, once the log is back",
    ),
    Reason.NOT_OWNER: ReasonText(
        "The request reached an entry VM that no longer owns the shard.",
        "repeat it; a shard is changing its owner",
    ),
    Reason.OWNERSHIP_EXPIRED: ReasonText(
        "The owner lost the promises of its majority before it sent the work.",
        "repeat it; check the network between entry VMs if this goes on",
    ),
    Reason.OWNER_SILENT: ReasonText(
        "The owner did not answer in time, so the outcome may be unknown.",
        "find out at the endpoint whether it ran before repeating it",
    ),
    Reason.RETRY_BUDGET_EMPTY: ReasonText(
        "Too many requests needed a retry; this one was not tried again.",
        "repeat it after the given time; the counters retried.* show the cause",
    ),
    Reason.CONNECT_FAILED: ReasonText(
        "No connection to the endpoint could be opened; nothing was sent.",
        "repeat it; check the executor if this goes on",
    ),
    Reason.CONNECTION_LOST: ReasonText(
        "The connection broke after the request was sent.",
        "find out whether it ran before repeating it",
    ),
    Reason.ATTEMPT_TIMEOUT: ReasonText(
        "The endpoint was silent for attempt_timeout_s.",
        "find out whether it ran before repeating it",
    ),
    Reason.ANSWER_INCOMPLETE: ReasonText(
        "The answer was cut short or is no HTTP.",
        "find out whether it ran before repeating it",
    ),
    Reason.ANSWER_TOO_LARGE: ReasonText(
        "The answer exceeds the largest body.",
        "raise limits.max_body_bytes or ask for less",
    ),
    Reason.ENDPOINT_REFUSED: ReasonText(
        "The endpoint said that it did not run the request.",
        "repeat it after the given time",
    ),
    Reason.ENDPOINT_LEAVING: ReasonText(
        "The endpoint is leaving.",
        "repeat it; another executor takes it",
    ),
    Reason.CALLER_DISCONNECTED: ReasonText(
        "The caller closed its connection before the answer.",
        "raise the caller's timeout above timing.max_request_time_s",
    ),
    Reason.BODY_TOO_LARGE: ReasonText(
        "The body exceeds max_body_bytes.",
        "send a smaller body or raise limits.max_body_bytes",
        413,
    ),
    Reason.MALFORMED_REQUEST: ReasonText(
        "The request cannot be understood.",
        "correct the request",
        400,
    ),
    Reason.TOO_MANY_CALLERS: ReasonText(
        "The entry VM holds max_callers connections.",
        "repeat it at another entry VM, or raise limits.max_callers",
        LIMIT_STATUS,
    ),
    Reason.KEY_MISSING: ReasonText(
        "The service runs requests at most once and got no Idempotency-Key.",
        "send header Idempotency-Key with a UUIDv7",
        400,
    ),
    Reason.KEY_MALFORMED: ReasonText(
        "The Idempotency-Key is no UUIDv7.",
        "send a UUIDv7 in header Idempotency-Key; request --new-key makes one",
        400,
    ),
    Reason.KEY_EXPIRED: ReasonText(
        "The key is older than key_window_s, so its outcome is not known.",
        "the key is too old to tell; check the result at its source",
    ),
    Reason.KEY_FROM_FUTURE: ReasonText(
        "The key was made later than this VM's clock allows.",
        "correct the caller's clock and make a new key",
        400,
    ),
    Reason.KEY_BEFORE_TAKEOVER: ReasonText(
        "The key is older than the ownership of its shard, whose owner died.",
        "check the result at its source, then use a new key",
    ),
    Reason.KEY_TABLE_FULL: ReasonText(
        "The shard keeps key_table keys.",
        "repeat it after the given time, or raise limits.key_table",
        LIMIT_STATUS,
    ),
    Reason.KEY_REUSED: ReasonText(
        "The key was used for another request.",
        "make a new key for each request",
        422,
    ),
    Reason.KEY_OUTCOME_UNKNOWN: ReasonText(
        "The first request with this key has an unknown outcome.",
        "check the result at its source, then use a new key",
    ),
    Reason.ANSWER_NOT_KEPT: ReasonText(
        "The first request with this key ran, but its answer was not kept.",
        "it ran; its answer is no longer kept, check its source",
    ),
    Reason.UNKNOWN_WORKLOAD: ReasonText(
        "No workload of this name is declared.",
        "publish a declaration of the workload",
        404,
    ),
    Reason.UNKNOWN_JOB: ReasonText(
        "No job of this id is known; ended jobs are forgotten.",
        "check the id; ended jobs are forgotten after a while",
        404,
    ),
    Reason.NEVER_FITS: ReasonText(
        "A task is larger than every worker.",
        "declare smaller tasks or add larger workers",
    ),
    Reason.GANG_NEVER_FITS: ReasonText(
        "The gang is larger than every shard.",
        "declare fewer or smaller tasks, or use larger shards",
    ),
    Reason.OVER_QUOTA: ReasonText(
        "The team is at its quota.",
        "wait for the team's work or raise its quota",
        LIMIT_STATUS,
    ),
    Reason.CLASS_CEILING: ReasonText(
        "The class holds its ceiling in the active preset.",
        "wait, or choose a preset with a higher ceiling",
        LIMIT_STATUS,
    ),
    Reason.NO_CAPACITY: ReasonText(
        "The work fits, but nothing is free now.",
        "wait for running work to end, or add workers",
    ),
    Reason.ATTEMPTS_EXHAUSTED: ReasonText(
        "A task failed max_attempts times.",
        "check the task's own output, then submit again",
    ),
    Reason.NOT_IDEMPOTENT_RETRY: ReasonText(
        "A task that must not run twice may have run, so it is not started again.",
        "check what the task did; submit again only if that is safe",
    ),
    Reason.WORKER_REFUSED: ReasonText(
        "The worker did not start the task.",
        "check the worker if it repeats",
    ),
    Reason.WORKER_SILENT: ReasonText(
        "The worker does not answer.",
        "check the worker; its tasks wait for their leases to expire",
    ),
    Reason.WORKER_QUARANTINED: ReasonText(
        "The worker failed several starts in a row.",
        "check the worker; one successful trial task readmits it",
    ),
    Reason.LEASE_EXPIRED: ReasonText(
        "The lease of the task ended without a renewal, so the worker stopped it.",
        "check the network between the owner and the worker",
    ),
    Reason.USAGE_EXCEEDED: ReasonText(
        "The task used more than it declared.",
        "declare what the task uses, then submit again",
    ),
    Reason.PREEMPTED: ReasonText(
        "The task made room for more urgent work.",
        "nothing; it is placed again",
    ),
    Reason.CANCELLED: ReasonText(
        "The job was cancelled.",
        "nothing",
    ),
    Reason.LOG_UNAVAILABLE: ReasonText(
        "The log service did not take the record; nothing was appended.",
        "repeat it when the log service is back",
    ),
    Reason.LOG_REPLY_LOST: ReasonText(
        "The log service may have taken the record; its reply was lost.",
        "query before repeating it; it may have taken effect",
    ),
    Reason.STALE_BASE: ReasonText(
        "Another change was accepted first.",
        "fetch the current revision, merge and publish again",
        409,
    ),
    Reason.CONFIG_UNCONFIRMED: ReasonText(
        "The entry VM reaches neither the log nor a peer for its revision.",
        "use another entry VM; replace this one if it stays so",
    ),
    Reason.INVALID_DECLARATION: ReasonText(
        "The declarations contradict each other.",
        "correct the declarations and publish again",
        400,
    ),
    Reason.INTERNAL_ERROR: ReasonText(
        "The entry VM failed while it handled the request.",
        "find out whether it ran, and report the log of the VM",
    ),
    Reason.STARTING: ReasonText(
        "The entry VM is starting.",
        "use another entry VM until this one is ready",
    ),
    Reason.PAUSED: ReasonText(
        "The process of the entry VM did not run for a while.",
        "use another entry VM until this one is ready",
    ),
    Reason.DRAINING: ReasonText(
        "The entry VM is shutting down.",
        "use another entry VM",
    ),
}


def remedy(reason: str) -> str:
    """Returns what can be done about a reason.

    Args:
        reason: Value of a `Reason`; another text has a general remedy.
    """
    text = _TEXT_BY_VALUE.get(reason)
    return text.remedy if text else DEFAULT_REMEDY


def meaning(reason: str) -> str:
    """Returns what a reason means, as a sentence.

    Args:
        reason: Value of a `Reason`; another text stands for itself.
    """
    text = _TEXT_BY_VALUE.get(reason)
    return text.meaning if text else reason


def status(reason: str, outcome: Outcome = Outcome.NOT_RUN) -> int:
    """Returns the HTTP status of an answer that is ``not_run`` or ``unknown``.

    Args:
        reason: Value of a `Reason`.
        outcome: What is known of the request.
    """
    if outcome is Outcome.UNKNOWN:
        return UNKNOWN_STATUS
    text = _TEXT_BY_VALUE.get(reason)
    return text.status if text else NOT_RUN_STATUS


_TEXT_BY_VALUE = {reason.value: text for reason, text in TEXT_BY_REASON.items()}
