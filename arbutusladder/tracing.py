"""Tells the story of one job from the logs of several processes.

Usage:
  arbutusladder trace ID FILE...

Reads lines of JSON as the processes write them; text before the first brace of a
line is passed over. Lines of processes whose clocks run ahead are moved back, so far
that no job is known to the owner before it was handed in.
"""

import sys
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, replace
from datetime import datetime
from pathlib import Path

import msgspec
from docopt import DocoptExit, docopt

from arbutusladder import events
from arbutusladder.cmdcontext import ExitCode
from arbutusladder.render import escape_unprintable

# Events that change what all processes believe, shown between the lines of a job.
CONTEXT_EVENTS = frozenset(
    event.number
    for event in (
        events.CELL_CLAIMED,
        events.CELL_TAKEN_OVER,
        events.CELL_LOST,
        events.LOG_UNAVAILABLE,
        events.LOG_AVAILABLE,
    )
)
# Fields that hold the id of a job, or a name that begins with it.
ID_FIELDS = ("job", "step", "task")


class _Record(msgspec.Struct):
    time: datetime
    source: str
    event: int
    text: str
    fields: dict[str, object] = {}


@dataclass(frozen=True)
class LogLine:
    """One event of one process.

    Attributes:
        at: Wall clock time in seconds since 1970, corrected.
        source: Process that wrote it.
        event: Number of the event.
        text: Its text.
        fields: Values in the text.
    """

    at: float
    source: str
    event: int
    text: str
    fields: dict[str, object]

    def tells_of(self, job_id: str) -> bool:
        """Returns whether the line names a job, or a step or task of it."""
        names = (str(self.fields.get(name, "")) for name in ID_FIELDS)
        return any(name.split(".", 1)[0] == job_id for name in names)


def read_lines(texts: Iterable[str]) -> tuple[list[LogLine], int]:
    """Returns the events in lines of text, and how many lines hold none."""
    found, unread = [], 0
    for text in texts:
        brace = text.find("{")
        try:
            if brace < 0:
                raise msgspec.DecodeError("no object")
            record = msgspec.json.decode(text[brace:], type=_Record)
        except msgspec.DecodeError:
            unread += bool(text.strip())
            continue
        found.append(
            LogLine(
                record.time.timestamp(),
                record.source,
                record.event,
                record.text,
                record.fields,
            )
        )
    return found, unread


def clock_leads(lines: list[LogLine]) -> dict[str, float]:
    """Returns by how many seconds the clock of each process runs ahead at least.

    A job is handed in at one process (event 465) before the owner knows it (event
    468, which says for how long it has). Where that is reversed, clocks differ.
    """
    handed_in: dict[str, tuple[str, float]] = {}
    known: dict[str, tuple[str, float]] = {}
    for line in lines:
        seconds = _seconds(line)
        if line.event == events.JOB_SUBMITTED.number:
            job_id = str(line.fields.get("job", ""))
            handed_in.setdefault(job_id, (line.source, line.at - seconds))
        elif line.event == events.STEP_STARTED.number:
            job_id = str(line.fields.get("step", "")).split(".", 1)[0]
            known.setdefault(job_id, (line.source, line.at - seconds))
    lead_by_source: dict[str, float] = defaultdict(float)
    for job_id, (source, at) in handed_in.items():
        owner, known_at = known.get(job_id, (source, at))
        if owner != source:
            lead_by_source[source] = max(lead_by_source[source], at - known_at)
    return dict(lead_by_source)


def _seconds(line: LogLine) -> float:
    value = line.fields.get("seconds", 0.0)
    return float(value) if isinstance(value, int | float) else 0.0


def story(lines: list[LogLine], job_id: str) -> list[LogLine]:
    """Returns what tells of a job, in order, with the changes of the cell meanwhile."""
    leads = clock_leads(lines)
    moved = [replace(line, at=line.at - leads.get(line.source, 0.0)) for line in lines]
    own = [line for line in moved if line.tells_of(job_id)]
    if not own:
        return []
    first = min(line.at - _seconds(line) for line in own)
    last = max(line.at for line in own)
    context = [
        line
        for line in moved
        if line.event in CONTEXT_EVENTS and first <= line.at <= last
    ]
    return sorted([*own, *context], key=lambda line: line.at)


def longest_wait(
    told: list[LogLine], lines: list[LogLine]
) -> tuple[LogLine, LogLine, LogLine | None] | None:
    """Returns the two lines with the longest time between them.

    The third line is the owner's load in that time, if it was logged.
    """
    pairs = list(zip(told, told[1:], strict=False))
    if not pairs:
        return None
    before, after = max(pairs, key=lambda pair: pair[1].at - pair[0].at)
    loads = [
        line
        for line in lines
        if line.event == events.OWNER_LOAD.number and before.at <= line.at <= after.at
    ]
    return before, after, loads[len(loads) // 2] if loads else None


def render(told: list[LogLine], lines: list[LogLine]) -> list[str]:
    """Returns the story as lines of text."""
    start = told[0].at
    text = [
        f"{line.at - start:9.3f} s  {line.source:<24} {line.event}  {line.text}"
        for line in told
    ]
    wait = longest_wait(told, lines)
    if wait is None:
        return text
    before, after, load = wait
    text.append(
        f"longest wait: {after.at - before.at:.3f} s, from {before.event} on "
        f"{before.source} to {after.event} on {after.source}"
    )
    if load:
        text.append(f"the owner in that time: {load.text}")
    return text


def main(argv: list[str]) -> int:
    """Prints the story of a job."""
    try:
        options = docopt(__doc__, ["trace", *argv])
    except DocoptExit as error:
        print(error, file=sys.stderr)
        return ExitCode.USAGE
    job_id, texts = options["ID"], []
    for path in options["FILE"]:
        try:
            texts += (
                Path(path).read_text(encoding="utf-8", errors="replace").split("\n")
            )
        except OSError as error:
            print(
                escape_unprintable(f"error: {path}: {error}; name a log file"),
                file=sys.stderr,
            )
            return ExitCode.USAGE
    lines, unread = read_lines(texts)
    if unread:
        print(f"{unread} lines hold no event and were passed over", file=sys.stderr)
    told = story(lines, job_id)
    if not told:
        text = f"error: no line tells of {job_id}; give the logs of all entry VMs"
        print(escape_unprintable(text), file=sys.stderr)
        return ExitCode.NOT_FOUND
    for text in render(told, lines):
        print(escape_unprintable(text))
    return ExitCode.DONE
