"""Numbered log events; docs/events.md is generated from this table."""

from dataclasses import dataclass
from enum import Enum


class Level(Enum):
    """Severity of an event."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclass(frozen=True)
class Event:
    """One kind of log event.

    Attributes:
        number: Stable number, never used again for another event.
        level: Severity.
        text: Message template with named fields.
        remedy: What an operator should do; empty when nothing.
    """

    number: int
    level: Level
    text: str
    remedy: str = ""


# 100 to 199: the process
ENTRY_STARTED = Event(100, Level.INFO, "entry VM {vm} started in seat {seat}")
ENTRY_READY = Event(101, Level.INFO, "entry VM {vm} is ready")
ENTRY_DRAINING = Event(102, Level.INFO, "entry VM {vm} is shutting down")
ENTRY_STOPPED = Event(
    103, Level.INFO, "entry VM {vm} stopped with {open_requests} open requests"
)
PROCESS_PAUSED = Event(
    104,
    Level.WARNING,
    "process did not run for {seconds:.1f} s",
    "check the VM's host; the process gave up its shards and recovers by itself",
)
BACKGROUND_TASK_FAILED = Event(
    105,
    Level.ERROR,
    "task {task} failed: {error}",
    "report the traceback; the process ends when a main task fails",
)
SETTINGS_NOT_RELOADED = Event(
    106,
    Level.INFO,
    "asked to reload; addresses and bounds stay as they were at the start",
    "restart the process to use a changed settings file",
)

# 200 to 299: membership, ownership and the log
MEMBER_JOINED = Event(
    200, Level.INFO, "seat {seat} is live (incarnation {incarnation})"
)
MEMBER_LOST = Event(
    201,
    Level.WARNING,
    "no heartbeat from seat {seat} for {seconds:.1f} s",
    "replace the entry VM if it does not come back",
)
SHARD_CLAIMED = Event(202, Level.INFO, "claimed shard {shard} with epoch {epoch}")
SHARD_OWNED = Event(203, Level.INFO, "owns shard {shard} with epoch {epoch}")
SHARD_LOST = Event(
    204, Level.WARNING, "gave up shard {shard} with epoch {epoch}: {reason}"
)
SHARD_HANDED_OVER = Event(205, Level.INFO, "handed over shard {shard} to {successor}")
LOG_UNAVAILABLE = Event(
    210,
    Level.WARNING,
    "the log service is unavailable: {error}",
    "check the log service; work already accepted goes on",
)
LOG_AVAILABLE = Event(211, Level.INFO, "the log service is available again")
LOG_POSITION_LOST = Event(
    212,
    Level.WARNING,
    "stream {stream}: position {offset} is no longer retained, rebuilding",
)

CELL_CLAIMED = Event(220, Level.INFO, "claimed the cell with epoch {epoch}")
CELL_TAKEN_OVER = Event(
    221,
    Level.INFO,
    "took over with epoch {epoch}: {jobs} open jobs, {workers} workers",
)
CELL_LOST = Event(222, Level.WARNING, "gave up the cell with epoch {epoch}: {reason}")

# 300 to 399: requests
ENDPOINT_SUSPECT = Event(
    300,
    Level.WARNING,
    "endpoint {endpoint} is suspect: {reason}",
    "check the endpoint if this repeats",
)
ENDPOINT_LEAVING = Event(301, Level.INFO, "endpoint {endpoint} is leaving")

# 400 to 499: jobs and workers
JOB_ACCEPTED = Event(400, Level.INFO, "job {job} accepted on shard {shard}")
JOB_ENDED = Event(401, Level.INFO, "job {job} ended: {state}")
WORKER_QUARANTINED = Event(
    410,
    Level.WARNING,
    "worker {worker} is quarantined after {failures} failures in a row",
    "check the worker; it is let back after one successful trial task",
)
WORKER_UNRESPONSIVE = Event(
    411,
    Level.WARNING,
    "worker {worker} does not answer: {error}",
    "check the worker; its tasks are placed again once their leases expired",
)

WORKER_RESTARTED = Event(
    450, Level.WARNING, "worker {worker} restarted and lost its tasks"
)
UNKNOWN_TASK_STOPPED = Event(
    451,
    Level.WARNING,
    "stops task {task}, which worker {worker} runs and this owner did not start",
)
WORKER_RESPONSIVE = Event(452, Level.INFO, "worker {worker} answers again")
SHARD_REBUILT = Event(
    453,
    Level.INFO,
    "rebuilt shard {shard}: {jobs} jobs, {found} tasks found, {unread} workers unread",
)
CELL_JOB_ENDED = Event(460, Level.INFO, "job {job} ended: {state}")
START_FAILED = Event(
    461,
    Level.INFO,
    "run {run} of task {task} did not start on worker {worker}: {outcome}",
)
RUN_ENDED = Event(
    462, Level.DEBUG, "run {run} of task {task} ended on worker {worker}: {how}"
)
UNNEEDED_RUN_STOPPED = Event(
    463,
    Level.WARNING,
    "stops run {run} of task {task} on worker {worker}, which no open job needs",
)
RUNS_LOST = Event(464, Level.WARNING, "lost {runs} runs on worker {worker}: {cause}")
STALLED_RUN_MOVED = Event(
    467,
    Level.WARNING,
    "moves run {run} of task {task} from worker {worker}, where tasks stand still",
    "check the worker if this repeats",
)
JOB_SUBMITTED = Event(
    465, Level.INFO, "job {job} of queue {queue}: {outcome} after {seconds:.3f} s"
)
STEP_STARTED = Event(
    468,
    Level.INFO,
    "step {step} started {tasks} tasks, first known {seconds:.3f} s before; "
    "{waiting} steps waited; index:run@worker {placed}",
)
OWNER_LOAD = Event(
    469,
    Level.INFO,
    "{jobs} open jobs, {waiting} waiting steps, {free:.0f} of {total:.0f} cores free "
    "on {open} open of {workers} workers, {advising} calls for advice, {advised} ended "
    "in {taken:.1f} s instead of {expected:.1f} s, "
    "last append took {append:.3f} s, decisions came {late:.3f} s late",
)
ADVICE_UNANSWERED = Event(
    470,
    Level.WARNING,
    "entry VM {vm} got no advice for step {step}",
    "check the advice service if this repeats for many entry VMs",
)
JOB_CANCEL_REQUESTED = Event(466, Level.INFO, "cancellation of job {job}: {outcome}")

# 500 to 599: configuration
CONFIG_APPLIED = Event(500, Level.INFO, "revision {revision} by {author} is in force")
CONFIG_REFUSED = Event(
    501,
    Level.WARNING,
    "change set by {author} was refused: {problem}",
    "fetch the current revision, merge and publish again",
)
CONFIG_IN_FORCE = Event(502, Level.INFO, "configuration version {version} is in force")
CONFIG_UNREADABLE = Event(
    503,
    Level.ERROR,
    "configuration cannot be read: {problem}",
    "publish a configuration that follows the platform's page",
)


def all_events() -> list[Event]:
    """Returns every event in order of its number."""
    found = [value for value in globals().values() if isinstance(value, Event)]
    return sorted(found, key=lambda event: event.number)
