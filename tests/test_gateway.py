"""Tests of the answers that callers get from an entry VM."""

import pytest

from arbutusladder.gateway import not_run_answer
from arbutusladder.states import Reason


class TestRefusal:
    """Guards against a refusal whose status and Retry-After contradict each other."""

    @pytest.mark.parametrize("reason", Reason)
    def test_retry_after_comes_with_429_and_503_only(self, reason):
        answer = not_run_answer(reason)
        assert bool(answer.header("Retry-After")) == (answer.status in {429, 503})
