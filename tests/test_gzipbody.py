"""Tests of gzip bodies."""

import pytest

from arbutusladder.errors import ProtocolError
from arbutusladder.gzipbody import compress, decompress


class TestExpand:
    """Guards against a damaged or swollen report that is taken as whole."""

    def test_returns_the_body(self):
        body = b"task" * 1000
        assert decompress(compress(body), len(body)) == body

    def test_refuses_more_than_the_limit(self):
        with pytest.raises(ProtocolError, match="exceeds 999 bytes"):
            decompress(compress(b"x" * 1000), 999)

    def test_refuses_a_body_cut_short(self):
        with pytest.raises(ProtocolError, match="cut short"):
            decompress(compress(b"task" * 1000)[:-4], 10_000)

    def test_refuses_other_bytes(self):
        with pytest.raises(ProtocolError, match="gzip body"):
            decompress(b"{}", 100)
