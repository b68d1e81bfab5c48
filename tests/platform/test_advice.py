"""Tests of the client of the advice service against scripted responses."""

import json

import curio
import msgspec
import pytest
from hypothesis import given, settings, strategies

from arbutusladder.httpclient import HttpResponse
from arbutusladder.messages import AdviceReply
from arbutusladder.platform.advice import PlatformAdvisor

STEP = "5c0e7a21d94b36f8.0.1"


class ScriptedPool:
    """Answers every request with one body.

    Args:
        body: The body.
    """

    def __init__(self, body):
        self._body = body

    async def request(self, *arguments):
        """Returns the response."""
        return HttpResponse(200, [], self._body)


def advise(body):
    """Returns the reply to a call that the service answers with a body."""
    advisor = PlatformAdvisor("10.0.0.1:80", ScriptedPool(body))
    return curio.run(advisor.advise, "r-1", STEP, ["i-1"], 1.0)


class TestUnusableReply:
    """Pattern: the service answers with a number or a form that no reader can use."""

    @pytest.mark.parametrize(
        "text",
        ["9" * 400, "9" * 5000, "-" + "9" * 400, "1e400", "1e308", "NaN", "-1", '"1"'],
    )
    def test_unusable_validity_counts_as_unanswered(self, text):
        """Guards against a step that waits for its call for good."""
        reply = advise(f'{{"good":[["i-1","t"]],"validity-ms":{text}}}'.encode())
        assert not reply.answered

    @pytest.mark.parametrize(
        "body",
        [b"", b"null", b"[]", b"{}", b"\xff", b'{"good":[["i-1"]]}']
        + [b'{"good":[[1,"t"]]}', b"[" * 100_000, b'{"new":' * 100_000],
        ids=range(9),
    )
    def test_other_value_counts_as_unanswered(self, body):
        """Guards against a step that waits for its call for good."""
        assert not advise(body).answered

    @settings(max_examples=30)
    @given(strategies.binary(max_size=200))
    def test_any_bytes_are_read(self, body):
        """Guards against an exception for bytes that nobody has thought of."""
        assert isinstance(advise(body), AdviceReply)

    def test_reply_can_be_sent_to_the_owner(self):
        """Guards against refusing an ordinary reply, and one with a long validity."""
        for validity_ms in (0, 3000, 10**15):
            body = {"good": [["i-7f3a91c2", "c81e"]], "validity-ms": validity_ms}
            reply = advise(json.dumps(body).encode())
            assert reply.answered and len(reply.tickets) == 1
            assert msgspec.msgpack.encode(reply)
