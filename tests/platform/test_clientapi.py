"""Tests of the client API's handling of request headers."""

from types import SimpleNamespace

import pytest

from arbutusladder.clock import ManualClock
from arbutusladder.platform.clientapi import RESPONSE_MARGIN_S, ClientApi

QUEUE_TIMEOUT_S = 3.0


class TestDeadline:
    """Pattern: clients send deadlines in forms that the platform does not describe."""

    @pytest.mark.parametrize(
        ("value", "wait_s"),
        [
            ("1000", 1.0),
            ("", QUEUE_TIMEOUT_S),
            ("\u00b2", QUEUE_TIMEOUT_S),
            ("-5", QUEUE_TIMEOUT_S),
            ("1e3", QUEUE_TIMEOUT_S),
            ("9" * 5000, QUEUE_TIMEOUT_S),
        ],
    )
    def test_malformed_deadline_is_ignored(self, value, wait_s):
        """Guards against closing the connection because of a header."""
        clock = ManualClock()
        api = ClientApi(None, lambda: None, clock, None, None)
        request = SimpleNamespace(header=lambda name: value)
        queue = SimpleNamespace(timeout_s=QUEUE_TIMEOUT_S)
        deadline = api._response_deadline(request, queue)
        assert deadline == pytest.approx(clock.now() + wait_s - RESPONSE_MARGIN_S)
