"""Changes to a cell's state that its owner has not logged or stored yet."""

from dataclasses import dataclass, field

from arbutusladder.events import Event
from arbutusladder.ids import JobId


@dataclass
class PendingChanges:
    """Changes since the owner last logged events and stored progress.

    Attributes:
        dirty: Jobs with progress to store.
        storing: Jobs whose progress is being stored.
        pending_events: Events for the event log, each with its fields.
        fenced: Whether a worker rejected an order because it knows a newer owner.
    """

    dirty: set[JobId] = field(default_factory=set)
    storing: set[JobId] = field(default_factory=set)
    pending_events: list[tuple[Event, dict]] = field(default_factory=list)
    fenced: bool = False
