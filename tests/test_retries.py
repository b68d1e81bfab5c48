"""Tests of retry rules and budget."""

import random
import re
from pathlib import Path

from arbutusladder import reasons
from arbutusladder.retries import (
    RETRY_RULE_BY_REASON,
    RetryBudget,
    backoff_delay_s,
    entry_may_retry,
    owner_may_retry,
)
from arbutusladder.states import Outcome, Reason

OUTCOMES_PAGE = Path(__file__).parent.parent / "docs" / "outcomes.md"


class TestBudget:
    """Guards against retries that amplify an overload."""

    def test_retries_are_a_tenth_of_the_requests(self):
        budget, retries = RetryBudget(0.1), 0
        for _ in range(10_000):
            budget.request()
            retries += budget.try_spend()
        assert 1000 <= retries <= 1010

    def test_burst_of_saved_retries_is_bounded(self):
        budget = RetryBudget(0.1)
        for _ in range(100_000):
            budget.request()
        assert sum(budget.try_spend() for _ in range(500)) == 100

    def test_ratio_zero_never_retries(self):
        assert not RetryBudget(0.0).try_spend()


class TestRules:
    """Guards against a second run of a request that may have run."""

    def test_unknown_outcome_is_never_retried_for_a_non_idempotent_request(self):
        for reason, rule in RETRY_RULE_BY_REASON.items():
            if rule.outcome is Outcome.UNKNOWN:
                assert not owner_may_retry(reason, idempotent=False)
            assert not entry_may_retry(reason, idempotent=False)

    def test_request_that_did_not_run_is_retried_whether_idempotent_or_not(self):
        assert owner_may_retry(Reason.ENDPOINT_REFUSED, idempotent=False)
        assert owner_may_retry(Reason.CONNECT_FAILED, idempotent=True)

    def test_documented_rules_match_the_code(self):
        """Guards against documentation that differs from the code."""
        rows = re.findall(r"^\| `(\w+)` \|(.*)\|$", OUTCOMES_PAGE.read_text(), re.M)
        stated = {
            name: [c.strip() for c in rest.split("|")[-4:]] for name, rest in rows
        }
        for reason, rule in RETRY_RULE_BY_REASON.items():
            expected = [
                rule.outcome.value,
                str(reasons.status(reason.value, rule.outcome)),
                _retry_cell(rule.owner_retries, rule.outcome),
                _retry_cell(rule.entry_retries, rule.outcome),
            ]
            assert stated[reason.value] == expected, reason


def _retry_cell(allowed, outcome):
    if not allowed:
        return "no"
    return "yes" if outcome is Outcome.NOT_RUN else "idempotent only"


class TestBackoff:
    """Guards against synchronized retries."""

    def test_backoff_delay_is_jittered_and_bounded(self):
        rng = random.Random(1)
        waits = [backoff_delay_s(retry, rng) for retry in range(1, 50)]
        assert max(waits) <= 0.2 and len(set(waits)) > 40
