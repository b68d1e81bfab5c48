"""Tests of gzip bodies."""

import pytest

from arbutusladder.errors import ProtocolError
from arbutusladder.gzipbody import compress, decompress


class TestDecompress:
    """Guards against a corrupt or oversized body that is taken as complete."""

    def test_returns_the_body(self):
        body = b"task" * 1000
        assert decompress(compress(body), len(body)) == body

    def test_refuses_more_than_the_limit(self):
        with pytest.raises(ProtocolError, match="exceeds 999 bytes"):
            decompress(compress(b"x" * 1000), 999)

    def test_refuses_a_truncated_body(self):
        with pytest.raises(ProtocolError, match="cut short"):
            decompress(compress(b"task" * 1000)[:-4], 10_000)

    def test_refuses_bytes_that_are_not_gzip(self):
        with pytest.raises(ProtocolError, match="gzip body"):
            decompress(b"{}", 100)
