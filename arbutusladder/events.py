"""Catalogue of the numbered log events.

`arbutusladder.journal` writes them; docs/events.md is generated from them.
"""

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
        number: Stable number that is never reused for another event.
        level: Severity.
        text: Message template for `str.format` with named fields.
        remedy: What an operator should do; empty if nothing.
    """

    number: int
    level: Level
    text: str
    remedy: str = ""


# 100 to 199: process
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
    "check the host of the VM; the process released its shards and recovers by itself",
)
BACKGROUND_TASK_FAILED = Event(
    105,
    Level.ERROR,
    "background task {task} failed: {error}",
    "report the traceback; the process exits if a main task fails",
)
SETTINGS_NOT_RELOADED = Event(
    106,
    Level.INFO,
    "reload requested; addresses and limits are only read at the start",
    "restart the process to apply a changed settings file",
)

# 200 to 299: membership, ownership and the log
MEMBER_JOINED = Event(200, Level.INFO, "seat {seat} joined (incarnation {incarnation})")
MEMBER_LOST = Event(
    201,
    Level.WARNING,
    "no heartbeat from seat {seat} for {seconds:.1f} s",
    "replace the entry VM if it does not return",
)
SHARD_CLAIMED = Event(202, Level.INFO, "claimed shard {shard} with epoch {epoch}")
SHARD_OWNED = Event(203, Level.INFO, "now owns shard {shard} with epoch {epoch}")
SHARD_LOST = Event(
    204, Level.WARNING, "released shard {shard} with epoch {epoch}: {reason}"
)
SHARD_HANDED_OVER = Event(205, Level.INFO, "handed over shard {shard} to {successor}")
LOG_UNAVAILABLE = Event(
    210,
    Level.WARNING,
    "the log service is unavailable: {error}",
    "check the log service; accepted work continues",
)
LOG_AVAILABLE = Event(211, Level.INFO, "the log service is available again")
LOG_POSITION_LOST = Event(
    212,
    Level.WARNING,
    "stream {stream}: records at offset {offset} are no longer retained; rebuilding",
)

CELL_CLAIMED = Event(220, Level.INFO, "claimed the cell with epoch {epoch}")
CELL_TAKEN_OVER = Event(
    221,
    Level.INFO,
    "took over with epoch {epoch}: {jobs} open jobs, {workers} workers",
)
CELL_LOST = Event(222, Level.WARNING, "released the cell with epoch {epoch}: {reason}")

OWNERSHIP_UNCONFIRMED = Event(
    223,
    Level.WARNING,
    "the ownership with epoch {epoch} was last confirmed {seconds:.1f} s ago; "
    "starting no tasks",
    "check the log service and the connections to the other entry VMs",
)
OWNERSHIP_CONFIRMED = Event(
    224, Level.INFO, "the ownership with epoch {epoch} is confirmed again"
)

VIEW_OUTDATED = Event(
    225,
    Level.WARNING,
    "what the owner with epoch {epoch} knows of cancellations and workers is "
    "{seconds:.1f} s old, with the jobs before {position}; starting no tasks",
    "check the log service and the connections to the other entry VMs",
)
VIEW_RECENT = Event(
    226,
    Level.INFO,
    "what the owner with epoch {epoch} knows is recent again: {seconds:.1f} s old, "
    "with the jobs before {position}",
)

# 300 to 399: requests
ENDPOINT_SUSPECT = Event(
    300,
    Level.WARNING,
    "endpoint {endpoint} is suspect: {reason}",
    "check the endpoint if this event recurs",
)
CLIENT_LIMIT_REACHED = Event(
    310,
    Level.WARNING,
    "{count} requests or connections of clients were refused by the limit {limit}, the "
    "last one from {peer}",
    "find the client; if it is an ordinary one, raise the limit in input_limits",
)
ENDPOINT_LEAVING = Event(301, Level.INFO, "endpoint {endpoint} is leaving")

# 400 to 499: jobs and workers
JOB_ACCEPTED = Event(400, Level.INFO, "job {job} accepted on shard {shard}")
JOB_ENDED = Event(401, Level.INFO, "job {job} ended: {state}")
WORKER_QUARANTINED = Event(
    410,
    Level.WARNING,
    "worker {worker} is quarantined after {failures} successive failures",
    "check the worker; the quarantine ends after one successful trial task",
)
WORKER_UNRESPONSIVE = Event(
    411,
    Level.WARNING,
    "worker {worker} does not respond: {error}",
    "check the worker; its tasks are rescheduled after their leases expire",
)

WORKER_RESTARTED = Event(
    450, Level.WARNING, "worker {worker} restarted and lost its tasks"
)
UNKNOWN_TASK_STOPPED = Event(
    451,
    Level.WARNING,
    "stopping task {task} on worker {worker}, which this owner did not start",
)
WORKER_RESPONSIVE = Event(452, Level.INFO, "worker {worker} responds again")
SHARD_REBUILT = Event(
    453,
    Level.INFO,
    "rebuilt shard {shard}: {jobs} jobs, {found} running tasks, "
    "{unread} workers without a report",
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
    "stopping run {run} of task {task} on worker {worker}, which no open job needs",
)
RUNS_LOST = Event(
    464,
    Level.WARNING,
    "lost {runs} runs on worker {worker}: {cause}; incarnation {born}, its leases end "
    "in {leases:.3f} s; task:run(phase, ? for an order without an answer, time since "
    "the last order) {named}",
)
ORDER_UNANSWERED = Event(
    481,
    Level.INFO,
    "order {copy} to start run {run} of task {task} on worker {worker} got no answer: "
    "sent {seconds:.3f} s before under token number {token}, incarnation {born}",
)
LOST_RUN_LISTED = Event(
    482,
    Level.WARNING,
    "worker {worker}, incarnation {born}, lists run {run} of task {task} as {state}; "
    "it counted as ended {seconds:.3f} s before: {cause}, incarnation {former}, order "
    "without an answer: {unanswered}",
)
TASKS_MAY_START_AGAIN = Event(
    483,
    Level.INFO,
    "{runs} runs on worker {worker}, incarnation {born}, have ended or never begin, "
    "and their tasks may start again: {proof}, evidence of up to {age:.3f} s before; "
    "task:run(its incarnation, ? for an order in doubt) {named}",
)
INHERITED_JOBS_UNBLOCKED = Event(
    484,
    Level.INFO,
    "inherited jobs do not wait for worker {worker} any more: {proof}, evidence of "
    "{age:.3f} s before; {jobs} of them may start, {awaited} other workers are "
    "waited for; {named}",
)
START_WITHOUT_PROOF = Event(
    485,
    Level.ERROR,
    "does not start task {task} on worker {worker}: nothing shows that these runs of "
    "it, run@worker, have ended: {runs}",
    "report it with the log of this entry VM; the task starts once the worker lists "
    "the end of the run, or under another owner",
)
WORKER_INCARNATION_BEGAN = Event(
    474,
    Level.WARNING,
    "worker {worker} has restarted as {born}, by the {source}; {runs} runs, token "
    "number {token}, leases on the former one end in {leases:.3f} s",
)
WORKER_SPEED_LEARNT = Event(
    477,
    Level.INFO,
    "worker {worker} is in speed class {number}, of typical speed {typical:.2f}: its "
    "speed is {speed:.2f}, known to {spread:.0%} from {runs} observations",
)
INTERFERENCE_LEARNT = Event(
    478,
    Level.INFO,
    "tasks of image {image} take {slowdown:.2f} times as long beside those of image "
    "{other}, known to {spread:.0%}: level {level}",
)
FILLERS_PACED = Event(
    479,
    Level.INFO,
    "{fillers} filler tasks on worker {worker} work at {percent} %: the tail of a "
    "serving task is at {ratio:.2f} of its target",
)
STALLED_RUN_MOVED = Event(
    467,
    Level.WARNING,
    "moving run {run} of task {task} from worker {worker}, whose tasks are stalled",
    "check the worker if this event recurs",
)
JOB_SUBMITTED = Event(
    465, Level.INFO, "job {job} of queue {queue}: {outcome} after {seconds:.3f} s"
)
STEP_STARTED = Event(
    468,
    Level.INFO,
    "step {step} started {tasks} tasks, first known {seconds:.3f} s before; "
    "{waiting} steps waited; index:run@worker {placed}; waited for {waits}; "
    "jobs known as of {view:.3f} s before; earlier runs {earlier}",
)
OWNER_LOAD = Event(
    469,
    Level.INFO,
    "{jobs} open jobs, {waiting} waiting steps, {free:.0f} of {total:.0f} cores free "
    "on {open} open of {workers} workers, {advising} calls for advice in progress, "
    "{advised} ended in {taken:.1f} s instead of {expected:.1f} s, "
    "last append took {append:.3f} s, decisions were {late:.3f} s late, "
    "jobs known as of {view:.3f} s before",
)
ADVICE_UNANSWERED = Event(
    470,
    Level.WARNING,
    "entry VM {vm} received no advice for step {step}",
    "check the advice service if this event recurs on many entry VMs",
)
JOB_CANCEL_REQUESTED = Event(
    466, Level.INFO, "cancellation of job {job}: {outcome}, record {offset}"
)
JOB_TOO_LARGE = Event(
    472,
    Level.ERROR,
    "job {job}, which another version accepted, fails: {problem}",
    "submit the work as several smaller jobs",
)
PROGRESS_TOO_LARGE = Event(
    473,
    Level.ERROR,
    "the progress of job {job} takes {size} bytes, more than the log accepts; its "
    "finished tasks would run again after a takeover",
    "cancel the job and submit the rest of its work as several smaller jobs",
)
JOB_WITHOUT_ROOM = Event(
    480,
    Level.INFO,
    "refused job {job} of queue {queue}, priority {priority}, team {team}: expected "
    "to wait {wait:.1f} s, worth nothing after {limit:.1f} s, by a forecast of "
    "{age:.3f} s before; asked to return after {retry} s",
)
JOB_CANCEL_APPLIED = Event(
    471,
    Level.INFO,
    "the owner applies the cancellation of job {job}, record {offset}, by {source}; "
    "it knows the records before {position}, as of {seconds:.3f} s before",
)

TEAM_AT_CAP = Event(
    475,
    Level.INFO,
    "{steps} steps of team {team} wait for its cap: it may have running {cpu:.1f} of "
    "{cap_cpu:.1f} cores, {memory:.0f} of {cap_memory:.0f} MB and {accelerators} of "
    "{cap_accelerators} accelerators, where a cap of 0 is no limit",
)
TEAM_BELOW_CAP = Event(
    476, Level.INFO, "team {team} no longer waits for its cap, after {seconds:.1f} s"
)

# 500 to 599: configuration
CONFIG_APPLIED = Event(500, Level.INFO, "revision {revision} by {author} is in force")
CONFIG_REFUSED = Event(
    501,
    Level.WARNING,
    "change set by {author} was rejected: {problem}",
    "fetch the current revision, merge and publish again",
)
CONFIG_IN_FORCE = Event(502, Level.INFO, "configuration version {version} is in force")
CONFIG_UNREADABLE = Event(
    503,
    Level.ERROR,
    "configuration cannot be read: {problem}",
    "publish a configuration in the format that the platform documents",
)
CONFIG_VIEW_OUTDATED = Event(
    504,
    Level.WARNING,
    "configuration version {version} may not be the newest ({state}), last proven "
    "{seconds:.1f} s ago; refusing the calls of clients",
    "check the log service and the connections to the other entry VMs",
)
CONFIG_VIEW_CURRENT = Event(
    505,
    Level.INFO,
    "configuration version {version} is the newest again, proven {seconds:.1f} s ago",
)


def all_events() -> list[Event]:
    """Returns all events, sorted by number."""
    declared = [value for value in globals().values() if isinstance(value, Event)]
    return sorted(declared, key=lambda event: event.number)
