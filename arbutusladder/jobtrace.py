"""Shows the history of one job from the logs of several processes.

Usage:
  arbutusladder trace ID FILE...

Reads the JSON lines that the processes write; text before the first brace of a line is
ignored. The times of a process whose clock is ahead are corrected, so that no job is
known to the owner before it was submitted.
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

# Events of the whole cell that are shown together with the events of a job.
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
# Event fields that hold the id of a job, or of its step or task, which begins with it.
ID_FIELDS = ("job", "step", "task")


class _Record(msgspec.Struct):
    """One line of a log, as `arbutusladder.journal` writes it."""

    time: datetime
    source: str
    event: int
    text: str
    fields: dict[str, object] = {}


@dataclass(frozen=True)
class LoggedEvent:
    """One event in the log of a process.

    Attributes:
        at: Wall clock time in seconds since 1970.
        source: Process that logged the event.
        event: Number of the event.
        text: Text of the event.
        fields: Values of the fields in the text.
    """

    at: float
    source: str
    event: int
    text: str
    fields: dict[str, object]

    def job_id(self) -> str:
        """Returns the id of the job that the event concerns, or an empty text."""
        names = (str(self.fields.get(name, "")) for name in ID_FIELDS)
        return next((name.split(".", 1)[0] for name in names if name), "")


def parse_log_lines(lines: Iterable[str]) -> tuple[list[LoggedEvent], int]:
    """Returns the events in log lines and the number of nonempty lines without one."""
    found, skipped_count = [], 0
    for line in lines:
        start = line.find("{")
        try:
            if start < 0:
                raise msgspec.DecodeError("no object")
            record = msgspec.json.decode(line[start:], type=_Record)
        except msgspec.DecodeError:
            skipped_count += bool(line.strip())
            continue
        found.append(
            LoggedEvent(
                record.time.timestamp(),
                record.source,
                record.event,
                record.text,
                record.fields,
            )
        )
    return found, skipped_count


def estimate_clock_offsets(logged: list[LoggedEvent]) -> dict[str, float]:
    """Returns a lower bound of how far the clock of each process is ahead, in seconds.

    A job is submitted to one process (event 465) before the owner knows it (event 468,
    which contains the time since then). Where the times have the reverse order, the
    clock of the first process is ahead of the owner's by at least their difference.
    """
    submission_by_job: dict[str, tuple[str, float]] = {}
    first_known_by_job: dict[str, tuple[str, float]] = {}
    for entry in logged:
        duration_s = _get_duration_s(entry)
        if entry.event == events.JOB_SUBMITTED.number:
            job_id = str(entry.fields.get("job", ""))
            submission_by_job.setdefault(job_id, (entry.source, entry.at - duration_s))
        elif entry.event == events.STEP_STARTED.number:
            job_id = str(entry.fields.get("step", "")).split(".", 1)[0]
            first_known_by_job.setdefault(job_id, (entry.source, entry.at - duration_s))
    offset_by_source: dict[str, float] = defaultdict(float)
    for job_id, (source, submitted_at) in submission_by_job.items():
        owner, known_at = first_known_by_job.get(job_id, (source, submitted_at))
        if owner != source:
            offset_by_source[source] = max(
                offset_by_source[source], submitted_at - known_at
            )
    return dict(offset_by_source)


def _get_duration_s(entry: LoggedEvent) -> float:
    """Returns the duration that an event reports, or 0 if it reports none."""
    value = entry.fields.get("seconds", 0.0)
    return float(value) if isinstance(value, int | float) else 0.0


def correct_clocks(logged: list[LoggedEvent]) -> list[LoggedEvent]:
    """Returns the events with the offsets of the processes' clocks subtracted."""
    offset_by_source = estimate_clock_offsets(logged)
    return [
        replace(entry, at=entry.at - offset_by_source.get(entry.source, 0.0))
        for entry in logged
    ]


def trace_job(logged: list[LoggedEvent], job_id: str) -> list[LoggedEvent]:
    """Returns the events of a job, and those of the cell meanwhile, ordered by time.

    Clock offsets are corrected.
    """
    corrected = correct_clocks(logged)
    job_events = [entry for entry in corrected if entry.job_id() == job_id]
    if not job_events:
        return []
    first = min(entry.at - _get_duration_s(entry) for entry in job_events)
    last = max(entry.at for entry in job_events)
    context = [
        entry
        for entry in corrected
        if entry.event in CONTEXT_EVENTS and first <= entry.at <= last
    ]
    return sorted([*job_events, *context], key=lambda entry: entry.at)


def find_longest_wait(
    trace: list[LoggedEvent], logged: list[LoggedEvent]
) -> tuple[LoggedEvent, LoggedEvent, LoggedEvent | None] | None:
    """Returns the two successive events of a trace with the longest time between them.

    The third item is an event with the load of the owner between them, if there is one.
    """
    pairs = list(zip(trace, trace[1:], strict=False))
    if not pairs:
        return None
    before, after = max(pairs, key=lambda pair: pair[1].at - pair[0].at)
    loads = [
        entry
        for entry in logged
        if entry.event == events.OWNER_LOAD.number and before.at <= entry.at <= after.at
    ]
    return before, after, loads[len(loads) // 2] if loads else None


def format_trace(trace: list[LoggedEvent], logged: list[LoggedEvent]) -> list[str]:
    """Returns a trace as lines of text, followed by its longest wait."""
    start = trace[0].at
    lines = [
        f"{entry.at - start:9.3f} s  {entry.source:<24} {entry.event}  {entry.text}"
        for entry in trace
    ]
    longest_wait = find_longest_wait(trace, logged)
    if longest_wait is None:
        return lines
    before, after, load = longest_wait
    lines.append(
        f"longest wait: {after.at - before.at:.3f} s, from {before.event} on "
        f"{before.source} to {after.event} on {after.source}"
    )
    if load:
        lines.append(f"load of the owner in that time: {load.text}")
    return lines


def read_log_files(paths: list[str]) -> list[LoggedEvent] | None:
    """Returns the events in log files, or None if a file cannot be read.

    Skipped lines and errors are reported on standard error.
    """
    lines: list[str] = []
    for path in paths:
        try:
            text = Path(path).read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            message = f"error: {path}: {error}; name a log file"
            print(escape_unprintable(message), file=sys.stderr)
            return None
        lines += text.split("\n")
    logged, skipped_count = parse_log_lines(lines)
    if skipped_count:
        print(f"ignored {skipped_count} lines without an event", file=sys.stderr)
    return logged


def main(argv: list[str]) -> int:
    """Prints the trace of a job; returns the exit code."""
    try:
        options = docopt(__doc__, ["trace", *argv])
    except DocoptExit as error:
        print(error, file=sys.stderr)
        return ExitCode.USAGE
    job_id = options["ID"]
    logged = read_log_files(options["FILE"])
    if logged is None:
        return ExitCode.USAGE
    trace = trace_job(logged, job_id)
    if not trace:
        text = f"error: no event of job {job_id}; give the logs of all entry VMs"
        print(escape_unprintable(text), file=sys.stderr)
        return ExitCode.NOT_FOUND
    for text in format_trace(trace, logged):
        print(escape_unprintable(text))
    return ExitCode.DONE
