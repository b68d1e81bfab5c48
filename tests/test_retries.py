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

PAGE = Path(__file__).parent.parent / "docs" / "outcomes.md"


class TestBudget:
    """Guards against retries that multiply a flood."""

    def test_retries_are_a_tenth_of_the_requests(self):
        budget, retries = RetryBudget(0.1), 0
        for _ in range(10_000):
            budget.request()
            retries += budget.try_spend()
        assert 1000 <= retries <= 1010

    def test_idle_time_saves_a_bounded_burst(self):
        budget = RetryBudget(0.1)
        for _ in range(100_000):
            budget.request()
        assert sum(budget.try_spend() for _ in range(500)) == 100

    def test_ratio_zero_never_retries(self):
        assert not RetryBudget(0.0).try_spend()


class TestRules:
    """Guards against a second run of a request that may have run."""

    def test_unknown_is_never_retried_for_a_non_idempotent_request(self):
        for reason, rule in RETRY_RULE_BY_REASON.items():
            if rule.outcome is Outcome.UNKNOWN:
                assert not owner_may_retry(reason, idempotent=False)
            assert not entry_may_retry(reason, idempotent=False)

    def test_proved_not_run_is_retried_for_both_kinds(self):
        assert owner_may_retry(Reason.ENDPOINT_REFUSED, idempotent=False)
        assert owner_may_retry(Reason.CONNECT_FAILED, idempotent=True)

    def test_page_states_the_rules(self):
        """Guards against a page that promises other outcomes than the code."""
        rows = re.findall(r"^\| `(\w+)` \|(.*)\|$", PAGE.read_text(), re.M)
        stated = {
            name: [c.strip() for c in rest.split("|")[-4:]] for name, rest in rows
        }
        for reason, rule in RETRY_RULE_BY_REASON.items():
            expected = [
                rule.outcome.value,
                str(reasons.status(reason.value, rule.outcome)),
                _word(rule.owner, rule.outcome),
                _word(rule.entry, rule.outcome),
            ]
            assert stated[reason.value] == expected, reason


def _word(allowed, outcome):
    if not allowed:
        return "no"
    return "yes" if outcome is Outcome.NOT_RUN else "idempotent only"


class TestBackoff:
    """Guards against retries in lockstep."""

    def test_back_off_is_jittered_and_bounded(self):
        generator = random.Random(1)
        waits = [backoff_delay_s(retry, generator) for retry in range(1, 50)]
        assert max(waits) <= 0.2 and len(set(waits)) > 40
