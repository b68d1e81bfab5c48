"""Gzip content coding of HTTP bodies, with a bound on the expanded size."""

import gzip
import zlib

from arbutusladder.errors import ProtocolError
from arbutusladder.messages import Header

ACCEPT_GZIP = Header("Accept-Encoding", "gzip")
CONTENT_GZIP = Header("Content-Encoding", "gzip")
# Level 6 gains few bytes on the repeated keys of JSON for twice the CPU time.
LEVEL = 1
COMPRESSION_THRESHOLD_BYTES = 512
GZIP_WINDOW_BITS = 31


def compress(body: bytes) -> bytes:
    """Returns a body in gzip coding."""
    return gzip.compress(body, LEVEL, mtime=0)


def decompress(body: bytes, limit: int) -> bytes:
    """Returns a body without its gzip coding.

    Args:
        body: Body in gzip coding.
        limit: Largest accepted size in bytes after expansion.

    Raises:
        ProtocolError: The body is damaged, incomplete or too large.
    """
    decoder = zlib.decompressobj(GZIP_WINDOW_BITS)
    try:
        expanded = decoder.decompress(body, limit)
    except zlib.error as error:
        raise ProtocolError(f"gzip body: {error}; the sender must repeat it") from error
    if not decoder.eof:
        raise ProtocolError(
            f"gzip body is cut short or exceeds {limit} bytes; "
            "the sender must repeat it or send less"
        )
    return expanded
