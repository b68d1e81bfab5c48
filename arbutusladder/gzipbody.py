"""Gzip content coding of HTTP bodies, with a bound on the decompressed size."""

import gzip
import zlib

from arbutusladder.errors import ProtocolError
from arbutusladder.messages import Header

ACCEPT_GZIP = Header("Accept-Encoding", "gzip")
CONTENT_GZIP = Header("Content-Encoding", "gzip")
# Level 6 saves few bytes on the repeated keys of JSON for twice the CPU time.
COMPRESSION_LEVEL = 1
# Smaller bodies are sent uncompressed.
COMPRESSION_THRESHOLD_BYTES = 512
# Largest window (15 bits) plus 16, by which zlib expects a gzip header and trailer.
GZIP_WINDOW_BITS = 31


def compress(body: bytes) -> bytes:
    """Returns a body compressed with gzip."""
    return gzip.compress(body, COMPRESSION_LEVEL, mtime=0)


def decompress(body: bytes, limit: int) -> bytes:
    """Returns a decompressed body.

    Args:
        body: Body compressed with gzip.
        limit: Largest accepted size in bytes after decompression.

    Raises:
        ProtocolError: The body is corrupt, incomplete or too large.
    """
    decompressor = zlib.decompressobj(GZIP_WINDOW_BITS)
    try:
        decompressed = decompressor.decompress(body, limit)
    except zlib.error as error:
        raise ProtocolError(f"gzip body: {error}; the sender must repeat it") from error
    if not decompressor.eof:
        raise ProtocolError(
            f"gzip body is cut short or exceeds {limit} bytes; "
            "the sender must repeat it or send less"
        )
    return decompressed
