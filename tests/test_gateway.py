"""Tests of the HTTP responses of the gateway."""

import pytest

from arbutusladder.gateway import not_run_response
from arbutusladder.states import Reason


class TestRefusal:
    """Guards against refusals whose status and Retry-After header are inconsistent."""

    @pytest.mark.parametrize("reason", Reason)
    def test_retry_after_is_sent_with_429_and_503_only(self, reason):
        response = not_run_response(reason)
        assert bool(response.header("Retry-After")) == (response.status in {429, 503})
