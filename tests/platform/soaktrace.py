"""Trace of the fault soak: what workers did with each call, by task."""

import json
import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import UTC, datetime
from pathlib import Path

# Events of the owner about its ownership and about a whole worker.
OWNER_EVENTS = {220, 221, 222, 223, 224, 225}
WORKER_EVENTS = {411, 452, 464, 474}
# Events of the owner whose text lists tasks or jobs.
LIST_EVENTS = {464, 483, 484}
# Longest trace in lines, and seconds before the first order to a worker and after the
# last one was executed.
MAX_LINES, LEAD_S = 120, 1.0


def format_time(at: float) -> str:
    """Returns the time of day of a Unix time, as in the logs."""
    return datetime.fromtimestamp(at, UTC).strftime("%H:%M:%S.%f")[:-3]


def is_of(name: str, task: str) -> bool:
    """Returns whether a task has this name, or is one of the job with this id."""
    return name == task or name.startswith(f"{task}.")


@dataclass
class Call:
    """A call to a worker as it was executed; times are in seconds since 1970.

    Attributes:
        kind: Last part of its path.
        worker: The worker.
        arrived_at: Time at which it arrived.
        sent_to: Start time of the life that the worker had then, if it was up.
        delay: Why it was executed later than it arrived; empty if it was not.
        body: Its fields.
        executed_at: Time of its execution.
        born: Start time of the life that has executed it.
        lease_ms: Time from its execution to its deadline on the worker's clock.
        status: Status of the answer, with a reason.
        answered_at: Time at which the answer was sent; 0 if it was not.
        runs: Task and number of the runs in the answer.
        ends: Rows of the ends in the answer.
    """

    kind: str
    worker: str
    arrived_at: float
    sent_to: int | None
    delay: str
    body: dict
    executed_at: float = 0.0
    born: int = 0
    lease_ms: float | None = None
    status: str = ""
    answered_at: float = 0.0
    runs: frozenset = frozenset()
    ends: tuple = ()

    def describe(self, task: str) -> str:
        """Returns what it shows of a task, or of the tasks of a job."""
        sent_to = "no life" if self.sent_to is None else f"{self.sent_to}"
        parts = [f"{self.kind} fence {self.body.get('fence', 0)} by {self.born}"]
        if self.kind == "hold":
            runs = [number for name, number in self.runs if is_of(name, task)]
            ends = [row[:1] + row[2:4] for row in self.ends if is_of(row[1], task)]
            parts += [f"observed {self.body.get('observed', 0)}"]
            parts += [f"runs {runs} ends {ends} of {len(self.runs)} runs"]
        else:
            parts += [f"run {self.body.get('run')} of {self.body.get('task')}"]
        if self.lease_ms is not None:
            parts += [f"deadline in {self.lease_ms / 1000:.2f} s"]
        parts += [f"arrived {format_time(self.arrived_at)} for {sent_to}"]
        parts += [f"{self.delay or 'in time'}: {self.status}"]
        if self.answered_at:
            parts += [f"answered {format_time(self.answered_at)}"]
        else:
            parts += ["not answered"]
        return ", ".join(parts)


@dataclass
class SoakTrace:
    """Calls and lives of all workers.

    Attributes:
        calls: Calls in the order of their execution.
        states: Time, worker and what happened to it.
        ends: Time, worker, task, run number and kind of each end.
        broken: Time, task and line of each broken rule.
    """

    calls: list[Call] = field(default_factory=list)
    states: list[tuple[float, str, str]] = field(default_factory=list)
    ends: list[tuple[float, str, str, int, str]] = field(default_factory=list)
    broken: list[tuple[float, str, str]] = field(default_factory=list)

    def describe(self, task: str, until: float, logs: Iterable[Path] = ()) -> list[str]:
        """Returns what happened to a task or a job, on all workers and at the owner.

        The last lines until shortly after a Unix time are kept. What concerns a worker
        as a whole is shown from its first order for the task to the time at which none
        is executed any more.
        """
        span_by_worker = self._spans(task)
        rows = [
            (call.executed_at, call.worker, call.describe(task))
            for call in self.calls
            if is_of(call.body.get("task", ""), task)
        ]
        rows += [
            (at, name, f"run {number} of {ended} ends {how}")
            for at, name, ended, number, how in self.ends
            if is_of(ended, task)
        ]
        of_workers = [*self._reports(task), *self.states]
        for path in logs:
            own, of_worker = _owner_rows(path, task)
            rows += own
            of_workers += of_worker
        for at, name, text in of_workers:
            worker = next((w for w in span_by_worker if w == name or w in text), None)
            if worker and span_by_worker[worker][0] <= at <= span_by_worker[worker][1]:
                rows.append((at, name, text))
        rows = sorted(row for row in rows if row[0] <= until + LEAD_S)
        return [
            f"  {format_time(at)} {name} {text}" for at, name, text in rows[-MAX_LINES:]
        ]

    def count_unheard_starts(self) -> int:
        """Returns how many orders were executed by lives without an answered report."""
        heard, count = set(), 0
        for call in self.calls:
            life = call.worker, call.born
            if call.kind == "hold" and call.answered_at:
                heard.add(life)
            elif call.kind == "run-start" and call.status == "200":
                count += life not in heard
        return count

    def _spans(self, task):
        """Returns first and last time of interest by worker."""
        spans = {}
        for call in self.calls:
            if is_of(call.body.get("task", ""), task):
                first, last = spans.get(call.worker, (math.inf, 0.0))
                first = min(first, call.arrived_at - LEAD_S)
                last = max(last, call.executed_at + LEAD_S)
                spans[call.worker] = first, last
        return spans

    def _reports(self, task):
        """Yields reports that show another life, token or state of a task."""
        shown = {}
        for call in self.calls:
            if call.kind != "hold":
                continue
            runs = frozenset(run for run in call.runs if is_of(run[0], task))
            ends = tuple(tuple(row) for row in call.ends if is_of(row[1], task))
            state = call.born, call.body.get("fence", 0), runs, ends
            if shown.get(call.worker) != state:
                shown[call.worker] = state
                at = call.answered_at or call.executed_at
                yield at, call.worker, call.describe(task)


def _owner_rows(path, task):
    """Returns the events of an entry VM about a task, and those about workers."""
    job, step = task.partition(".")[0], task.rpartition(".")[0]
    own, of_workers = [], []
    for line in path.read_text(encoding="utf-8", errors="replace").splitlines():
        if not line.startswith("{"):
            continue
        row = json.loads(line)
        event, fields = row["event"], row.get("fields", {})
        at = datetime.fromisoformat(row["time"]).replace(tzinfo=UTC).timestamp()
        shown = at, row["source"], f"{event} {row['text']}"
        is_own = is_of(fields.get("task", ""), task) or step == fields.get("step")
        is_own = is_own or (event in LIST_EVENTS and job in row["text"])
        if is_own or event in OWNER_EVENTS or fields.get("job") == job:
            own.append(shown)
        elif event in WORKER_EVENTS:
            of_workers.append(shown)
    return own, of_workers
