"""States of jobs, runs and answers in a cell with one owner."""

from enum import Enum


class JobPhase(Enum):
    """State of a job as its caller sees it."""

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


class RunPhase(Enum):
    """What the owner knows of one run of a task.

    ``DOUBTFUL`` runs may still start or go on: an order to start them has no
    answer, or their worker does not answer.
    """

    SENT = "sent"
    RUNNING = "running"
    STOPPING = "stopping"
    DOUBTFUL = "doubtful"


class EndKind(Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class OrderOutcome(Enum):
    """What a worker answered to an order.

    ``UNKNOWN`` orders have no answer and may still be carried out.
    """

    ACCEPTED = "accepted"
    FENCED = "fenced"
    OLD_RUN = "old_run"
    TOO_LATE = "too_late"
    NO_ROOM = "no_room"
    TICKET_INVALID = "ticket_invalid"
    UNHEALTHY = "unhealthy"
    WORKER_REPLACED = "worker_replaced"
    MALFORMED = "malformed"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


class SubmissionOutcome(Enum):
    """Outcome of handing a job in."""

    ACCEPTED = "accepted"
    NOT_STORED = "not_stored"
    UNKNOWN = "unknown"


class LogMethod(Enum):
    """Calls of the log that another entry VM can make."""

    APPEND = "append"
    SET_EPOCH = "set_epoch"
    READ = "read"
    NEWEST = "newest"


class LogResult(Enum):
    """Outcome of a call of the log that another entry VM made."""

    DONE = "done"
    NOT_DONE = "not_done"
    UNKNOWN = "unknown"
    END_MOVED = "end_moved"
    FENCED = "fenced"
    POSITION_LOST = "position_lost"
