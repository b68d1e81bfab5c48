"""Record of what was sent, answered and run, and of broken rules."""

import time
from pathlib import Path


class Record:
    """Writes lines with the time since its creation.

    Args:
        path: File to write.

    Attributes:
        broken: One line for each time that a rule was broken.
    """

    def __init__(self, path: Path):
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()
        self.broken: list[str] = []

    def now(self) -> float:
        """Returns the seconds since the creation."""
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        """Writes a line."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def breaks(self, rule: str, text: str) -> None:
        """Records that a rule was broken."""
        self.broken.append(f"{rule}: {text}")
        self.write(f"BROKEN {rule}: {text}")
