"""Results of attempts, retry rules, retry budget and exponential backoff.

The only state kept here is the number of tokens of each `RetryBudget`.
"""

import random
from dataclasses import dataclass

from arbutusladder.headernames import LEAVING_HEADER
from arbutusladder.httpclient import HttpResponse
from arbutusladder.messages import ForwardAnswer, ForwardRequest
from arbutusladder.metrics import Metrics
from arbutusladder.states import Outcome, Reason

# Seconds after which the caller of a refused request may retry, by default.
DEFAULT_RETRY_AFTER_S = 0.1

# Tokens of a retry budget: the burst of retries that is allowed at the start, and
# after a time without retries.
INITIAL_TOKENS = 10.0
MAX_TOKENS = 100.0
# Upper bounds in seconds of the wait before the first retry and before any retry.
INITIAL_BACKOFF_S = 0.01
MAX_BACKOFF_S = 0.2


@dataclass(frozen=True)
class Done:
    """The request ran and its answer is complete.

    Attributes:
        answer: Response of the executor.
        leaving: Whether the response announces that the executor is leaving.
        seconds: Seconds from sending the request to the complete response.
    """

    answer: HttpResponse
    leaving: bool
    seconds: float


@dataclass(frozen=True)
class NotRun:
    """It is certain that the request did not run.

    Attributes:
        reason: Why it did not run.
        detail: Text for the log and the answer.
        leaving: Whether the response announces that the executor is leaving.
    """

    reason: Reason
    detail: str = ""
    leaving: bool = False


@dataclass(frozen=True)
class Unknown:
    """The request may have run.

    Attributes:
        reason: Why the outcome is unknown.
        sent_at: Monotonic time of the send in seconds.
        new_connection: Whether the connection carried no request before. A response
            lost on an older connection is no evidence against the executor.
        detail: Text for the log.
    """

    reason: Reason
    sent_at: float
    new_connection: bool = False
    detail: str = ""


AttemptResult = Done | NotRun | Unknown


@dataclass(frozen=True)
class RetryRule:
    """Outcome that a reason implies, and who may retry after it.

    Attributes:
        outcome: Outcome of the request.
        owner_retries: Whether the shard's owner may try another executor.
        entry_retries: Whether the entry VM may try another shard.
    """

    outcome: Outcome
    owner_retries: bool = False
    entry_retries: bool = False


def _not_run(owner_retries=False, entry_retries=False) -> RetryRule:
    return RetryRule(Outcome.NOT_RUN, owner_retries, entry_retries)


def _unknown(owner_retries=False, entry_retries=False) -> RetryRule:
    return RetryRule(Outcome.UNKNOWN, owner_retries, entry_retries)


RETRY_RULE_BY_REASON: dict[Reason, RetryRule] = {
    Reason.QUEUE_FULL: _not_run(entry_retries=True),
    Reason.DEADLINE_UNREACHABLE: _not_run(entry_retries=True),
    Reason.DEADLINE_PASSED: _not_run(),
    Reason.NO_ENDPOINT: _not_run(entry_retries=True),
    Reason.UNKNOWN_SERVICE: _not_run(),
    Reason.SHARD_UNOWNED: _not_run(entry_retries=True),
    Reason.NOT_OWNER: _not_run(entry_retries=True),
    Reason.OWNERSHIP_EXPIRED: _not_run(entry_retries=True),
    Reason.OWNER_SILENT: _unknown(entry_retries=True),
    Reason.CONNECT_FAILED: _not_run(owner_retries=True, entry_retries=True),
    Reason.CONNECTION_LOST: _unknown(owner_retries=True),
    Reason.ATTEMPT_TIMEOUT: _unknown(owner_retries=True),
    Reason.ANSWER_INCOMPLETE: _unknown(owner_retries=True),
    Reason.ANSWER_TOO_LARGE: _unknown(),
    Reason.ENDPOINT_REFUSED: _not_run(owner_retries=True, entry_retries=True),
    Reason.ENDPOINT_LEAVING: _not_run(owner_retries=True, entry_retries=True),
    Reason.CALLER_DISCONNECTED: _not_run(),
    Reason.BODY_TOO_LARGE: _not_run(),
    Reason.MALFORMED_REQUEST: _not_run(),
    Reason.REQUEST_INCOMPLETE: _not_run(),
    Reason.UNFINISHED_BYTES_FULL: _not_run(),
    Reason.TOO_MANY_CALLERS: _not_run(),
    Reason.KEY_MISSING: _not_run(),
    Reason.KEY_MALFORMED: _not_run(),
    Reason.KEY_EXPIRED: _unknown(),
    Reason.KEY_FROM_FUTURE: _not_run(),
    Reason.KEY_REUSED: _not_run(),
    Reason.KEY_BEFORE_TAKEOVER: _unknown(),
    Reason.KEY_TABLE_FULL: _not_run(),
    Reason.KEY_OUTCOME_UNKNOWN: _unknown(),
    Reason.ANSWER_NOT_KEPT: _unknown(),
    Reason.DRAINING: _not_run(entry_retries=True),
}


def owner_may_retry(reason: Reason, idempotent: bool) -> bool:
    """Returns whether the shard's owner may try a request on another executor."""
    rule = RETRY_RULE_BY_REASON[reason]
    return rule.owner_retries and (idempotent or rule.outcome is Outcome.NOT_RUN)


def entry_may_retry(reason: Reason, idempotent: bool) -> bool:
    """Returns whether an entry VM may try a request at another shard.

    A non-idempotent request is sent only to the home shard of its key.
    """
    return idempotent and RETRY_RULE_BY_REASON[reason].entry_retries


class RetryBudget:
    """Token bucket: each request adds a fraction of a token, a retry spends one.

    Args:
        ratio: Retries allowed per request; 0 forbids retries.
    """

    def __init__(self, ratio: float):
        self._ratio = ratio
        self._tokens = min(INITIAL_TOKENS, MAX_TOKENS) if ratio else 0.0

    @property
    def tokens(self) -> float:
        """Number of retries that are allowed now."""
        return self._tokens

    def request(self) -> None:
        """Adds the tokens that the first attempt of a request earns."""
        self._tokens = min(MAX_TOKENS, self._tokens + self._ratio)

    def try_spend(self) -> bool:
        """Spends a token for a retry; returns whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def backoff_delay_s(retry: int, rng: random.Random) -> float:
    """Returns the seconds to wait before a retry, with full jitter.

    Args:
        retry: Number of the retry, from 1.
        rng: Seeded random generator.
    """
    max_delay_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** (retry - 1))
    return rng.uniform(0, max_delay_s)


class ForwardAnswerBuilder:
    """Builds the answers to entry VMs and counts them by outcome and reason.

    Args:
        metrics: Counters.
    """

    def __init__(self, metrics: Metrics):
        self._metrics = metrics

    def from_result(
        self, request: ForwardRequest, result: AttemptResult
    ) -> ForwardAnswer:
        """Returns the answer for the result of the last attempt."""
        match result:
            case Done():
                return self.done(request, result.answer)
            case NotRun():
                return self.refused(request, result.reason)
            case Unknown():
                return self.unknown(request, result.reason)

    def done(self, request: ForwardRequest, answer: HttpResponse) -> ForwardAnswer:
        """Returns a complete answer, without the executor's leaving header."""
        leaving_header = LEAVING_HEADER.lower()
        headers = [h for h in answer.headers if h.name.lower() != leaving_header]
        self._metrics.count("done")
        return ForwardAnswer(
            request.request_id, Outcome.DONE, answer.status, headers, answer.body
        )

    def refused(
        self,
        request: ForwardRequest,
        reason: Reason,
        retry_after: float = DEFAULT_RETRY_AFTER_S,
    ) -> ForwardAnswer:
        """Returns an answer for a request that certainly did not run."""
        self._metrics.count_refusal(reason)
        return ForwardAnswer(
            request.request_id,
            Outcome.NOT_RUN,
            body=b"",
            reason=reason.value,
            retry_after_ms=int(retry_after * 1000),
        )

    def unknown(self, request: ForwardRequest, reason: Reason) -> ForwardAnswer:
        """Returns an answer for a request that may have run."""
        self._metrics.count_unknown_outcome(reason)
        return ForwardAnswer(
            request.request_id, Outcome.UNKNOWN, body=b"", reason=reason.value
        )
