"""What has happened in a cell since its owner last looked."""

from dataclasses import dataclass, field

from arbutusladder.events import Event
from arbutusladder.ids import JobId


@dataclass
class PendingChanges:
    """What happened since the last look.

    Attributes:
        dirty: Jobs whose progress has to be stored.
        storing: Jobs whose progress is being stored.
        notes: Decisions for the event log, as event and fields.
        fenced: Whether a worker knows a newer owner.
    """

    dirty: set[JobId] = field(default_factory=set)
    storing: set[JobId] = field(default_factory=set)
    pending_events: list[tuple[Event, dict]] = field(default_factory=list)
    fenced: bool = False
