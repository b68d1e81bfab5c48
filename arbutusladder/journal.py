"""Structured logging of numbered events through logbook.

The events and their texts are declared in `arbutusladder.events`.
"""

import logging
import sys
from typing import TextIO

import logbook
import msgspec

from arbutusladder.events import Event, Level

LOGBOOK_LEVEL_BY_LEVEL = {
    Level.DEBUG: logbook.DEBUG,
    Level.INFO: logbook.INFO,
    Level.WARNING: logbook.WARNING,
    Level.ERROR: logbook.ERROR,
}


class Journal:
    """Writes events of one process to the log, with their number and fields.

    Args:
        source: Name of the writing process, such as a VM id.
    """

    def __init__(self, source: str):
        self._source = source
        self._logger = logbook.Logger(source)

    def write(self, event: Event, **fields: object) -> None:
        """Writes one event.

        Args:
            event: Declaration of the event.
            fields: Values of the fields that the event's text names.
        """
        level = LOGBOOK_LEVEL_BY_LEVEL[event.level]
        text = event.text.format(**fields)
        self._logger.log(level, text, extra={"number": event.number, "fields": fields})


class JsonHandler(logbook.StreamHandler):
    """Handler that writes one JSON object per line."""

    def format(self, record: logbook.LogRecord) -> str:
        """Returns a record as one line of JSON."""
        line = {
            "time": record.time.isoformat(),
            "level": record.level_name.lower(),
            "source": record.channel,
            "event": record.extra.get("number") or 0,
            "text": record.message,
            "fields": record.extra.get("fields") or {},
        }
        return msgspec.json.encode(line, enc_hook=str).decode()


def configure(level: str, stream: TextIO = sys.stderr) -> None:
    """Configures the process to write log records as JSON lines.

    Args:
        level: Name of the lowest level to write.
        stream: Stream to write to.
    """
    handler = JsonHandler(stream, level=logbook.lookup_level(level.upper()))
    handler.push_application()
    # curio logs a warning for each operation that exceeds its timeout, which is
    # frequent in a busy process. Late operations have events and counters of their own.
    logging.getLogger("curio").setLevel(logging.ERROR)
