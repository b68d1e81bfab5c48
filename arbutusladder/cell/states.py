"""States of jobs and runs, and outcomes of orders, submissions and log calls."""

from enum import Enum


class JobPhase(Enum):
    """State of a job as shown to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the state never changes again."""
        return self in FINAL_PHASES


FINAL_PHASES = frozenset({JobPhase.COMPLETED, JobPhase.FAILED, JobPhase.CANCELLED})


class JobsSource(Enum):
    """How an entry VM learned of submissions and cancellations."""

    READ = "read"
    OWN_APPEND = "own_append"
    RELAY = "relay"
    HELLO = "hello"


class RunPhase(Enum):
    """State of one run of a task as known to the owner.

    ``DOUBTFUL`` runs may still start or continue, because their start order got no
    answer. ``UNSETTLED`` ones are not on their worker, but its next incarnation may
    start them, see `arbutusladder.cell.unsettledruns`.
    """

    SENT = "sent"
    RUNNING = "running"
    STOPPING = "stopping"
    DOUBTFUL = "doubtful"
    UNSETTLED = "unsettled"


class EndKind(Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class OrderOutcome(Enum):
    """Outcome of an order to a worker.

    ``UNKNOWN`` means that the order got no answer; the worker may still execute it.
    ``SUPERSEDED`` means that the worker has seen a higher token of the same owner, so
    it has done nothing and never will.
    ``MISDIRECTED`` means that another worker answered at a former address of this one.
    ``NOT_WANTED`` orders were not sent, since the run is no longer needed.
    """

    ACCEPTED = "accepted"
    FENCED = "fenced"
    SUPERSEDED = "superseded"
    OLD_RUN = "old_run"
    TOO_LATE = "too_late"
    NO_ROOM = "no_room"
    TICKET_INVALID = "ticket_invalid"
    UNHEALTHY = "unhealthy"
    WORKER_REPLACED = "worker_replaced"
    MISDIRECTED = "misdirected"
    MALFORMED = "malformed"
    NOT_SENT = "not_sent"
    NOT_WANTED = "not_wanted"
    UNKNOWN = "unknown"

    @property
    def is_conclusive(self) -> bool:
        """Whether that of a repeated start order also determines that of the first."""
        return self in CONCLUSIVE_OUTCOMES


CONCLUSIVE_OUTCOMES = frozenset(
    {
        OrderOutcome.ACCEPTED,
        OrderOutcome.FENCED,
        OrderOutcome.OLD_RUN,
        OrderOutcome.WORKER_REPLACED,
    }
)


class WaitCause(Enum):
    """What a step that is ready to start waits for.

    ``CALLER`` is an idle entry VM for a call to the advice service, ``ADVICE`` the
    reply to such a call, ``TICKETS`` the renewal of tickets for the planned start of a
    gang, ``ROOM`` free resources on workers that may run the step and ``CAP`` the end
    of other work of its team, which is at its cap.
    """

    CALLER = "caller"
    ADVICE = "advice"
    TICKETS = "tickets"
    ROOM = "room"
    CAP = "cap"


class SubmissionOutcome(Enum):
    """Outcome of a job submission.

    ``NO_ROOM`` submissions were refused because the job would end too late.
    """

    ACCEPTED = "accepted"
    NO_ROOM = "no_room"
    NOT_STORED = "not_stored"
    UNKNOWN = "unknown"


class LogMethod(Enum):
    """Log calls that an entry VM can forward to another one."""

    APPEND = "append"
    SET_EPOCH = "set_epoch"
    READ = "read"
    NEWEST = "newest"


class LogResult(Enum):
    """Outcome of a log call that was forwarded to another entry VM."""

    DONE = "done"
    NOT_DONE = "not_done"
    UNKNOWN = "unknown"
    END_MOVED = "end_moved"
    FENCED = "fenced"
    POSITION_LOST = "position_lost"
