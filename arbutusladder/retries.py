"""Outcomes of attempts, what may be retried, retry budget and back-off."""

import random
from dataclasses import dataclass

from arbutusladder.headernames import LEAVING_HEADER
from arbutusladder.httpclient import HttpResponse
from arbutusladder.messages import ForwardAnswer, ForwardRequest
from arbutusladder.metrics import Metrics
from arbutusladder.states import Outcome, Reason

HINT_S = 0.1

# Tokens at start and at most: a burst that an idle shard may retry.
FIRST_TOKENS = 10.0
MOST_TOKENS = 100.0
FIRST_BACKOFF_S = 0.01
LONGEST_BACKOFF_S = 0.2


@dataclass(frozen=True)
class Done:
    """The request ran and its answer is complete.

    Attributes:
        answer: The answer.
        leaving: Whether the executor said that it is leaving.
        seconds: Time from send to answer.
    """

    answer: HttpResponse
    leaving: bool
    seconds: float


@dataclass(frozen=True)
class NotRun:
    """The request was proved not run.

    Attributes:
        reason: Why.
        detail: Text for the log and the answer.
        leaving: Whether the executor said that it is leaving.
    """

    reason: Reason
    detail: str = ""
    leaving: bool = False


@dataclass(frozen=True)
class Unknown:
    """The request may have run.

    Attributes:
        reason: Why nothing more is known.
        sent_at: Monotonic time of the send.
        new_connection: Whether the connection carried no request before. A lost
            answer on an older one tells nothing about the executor.
        detail: Text for the log.
    """

    reason: Reason
    sent_at: float
    new_connection: bool = False
    detail: str = ""


AttemptResult = Done | NotRun | Unknown


@dataclass(frozen=True)
class RetryRule:
    """What is known after one reason, and who may retry.

    Attributes:
        outcome: What is known of the request.
        owner: Whether the shard's owner may try another executor.
        entry: Whether the entry VM may try another shard.
    """

    outcome: Outcome
    owner: bool = False
    entry: bool = False


def _not_run(owner=False, entry=False) -> RetryRule:
    return RetryRule(Outcome.NOT_RUN, owner, entry)


def _unknown(owner=False, entry=False) -> RetryRule:
    return RetryRule(Outcome.UNKNOWN, owner, entry)


RETRY_RULE_BY_REASON: dict[Reason, RetryRule] = {
    Reason.QUEUE_FULL: _not_run(entry=True),
    Reason.DEADLINE_UNREACHABLE: _not_run(entry=True),
    Reason.DEADLINE_PASSED: _not_run(),
    Reason.NO_ENDPOINT: _not_run(entry=True),
    Reason.UNKNOWN_SERVICE: _not_run(),
    Reason.SHARD_UNOWNED: _not_run(entry=True),
    Reason.NOT_OWNER: _not_run(entry=True),
    Reason.OWNERSHIP_EXPIRED: _not_run(entry=True),
    Reason.OWNER_SILENT: _unknown(entry=True),
    Reason.CONNECT_FAILED: _not_run(owner=True, entry=True),
    Reason.CONNECTION_LOST: _unknown(owner=True),
    Reason.ATTEMPT_TIMEOUT: _unknown(owner=True),
    Reason.ANSWER_INCOMPLETE: _unknown(owner=True),
    Reason.ANSWER_TOO_LARGE: _unknown(),
    Reason.ENDPOINT_REFUSED: _not_run(owner=True, entry=True),
    Reason.ENDPOINT_LEAVING: _not_run(owner=True, entry=True),
    Reason.CALLER_DISCONNECTED: _not_run(),
    Reason.BODY_TOO_LARGE: _not_run(),
    Reason.MALFORMED_REQUEST: _not_run(),
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
    Reason.DRAINING: _not_run(entry=True),
}


def owner_may_retry(reason: Reason, idempotent: bool) -> bool:
    """Tells whether the owner may try a request on another executor."""
    rule = RETRY_RULE_BY_REASON[reason]
    return rule.owner and (idempotent or rule.outcome is Outcome.NOT_RUN)


def entry_may_retry(reason: Reason, idempotent: bool) -> bool:
    """Tells whether an entry VM may try a request at another shard.

    A non-idempotent request has one home shard and is never sent to another.
    """
    return idempotent and RETRY_RULE_BY_REASON[reason].entry


class RetryBudget:
    """Token bucket: each request adds a fraction of a token, a retry takes one.

    Args:
        ratio: Retries allowed per request.
    """

    def __init__(self, ratio: float):
        self._ratio = ratio
        self._tokens = min(FIRST_TOKENS, MOST_TOKENS) if ratio else 0.0

    @property
    def tokens(self) -> float:
        """Retries that are allowed now."""
        return self._tokens

    def request(self) -> None:
        """Counts a first attempt."""
        self._tokens = min(MOST_TOKENS, self._tokens + self._ratio)

    def try_spend(self) -> bool:
        """Takes a token for a retry, if there is one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def backoff_delay_s(retry: int, generator: random.Random) -> float:
    """Returns the seconds to wait before a retry, with full jitter.

    Args:
        retry: Number of the retry, from 1.
        generator: Seeded random generator.
    """
    longest = min(LONGEST_BACKOFF_S, FIRST_BACKOFF_S * 2 ** (retry - 1))
    return generator.uniform(0, longest)


class ForwardAnswerBuilder:
    """Builds the answers to entry VMs and counts them by reason.

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
        """Returns a complete answer without the executor's signal to us."""
        signal = LEAVING_HEADER.lower()
        headers = [h for h in answer.headers if h.name.lower() != signal]
        self._metrics.count("done")
        return ForwardAnswer(
            request.request_id, Outcome.DONE, answer.status, headers, answer.body
        )

    def refused(
        self, request: ForwardRequest, reason: Reason, retry_after: float = HINT_S
    ) -> ForwardAnswer:
        """Returns an answer for a request that was proved not run."""
        self._metrics.refused(reason)
        return ForwardAnswer(
            request.request_id,
            Outcome.NOT_RUN,
            body=b"",
            reason=reason.value,
            retry_after_ms=int(retry_after * 1000),
        )

    def unknown(self, request: ForwardRequest, reason: Reason) -> ForwardAnswer:
        """Returns an answer for a request that may have run."""
        self._metrics.unknown(reason)
        return ForwardAnswer(
            request.request_id, Outcome.UNKNOWN, body=b"", reason=reason.value
        )
