"""Changes to a cell's state that its owner has not logged or stored yet."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from arbutusladder.cell.states import JobPhase
from arbutusladder.events import Event
from arbutusladder.ids import JobId
from arbutusladder.messages import RelayedState


@dataclass
class PendingChanges:
    """Changes since the owner last logged events and stored progress.

    Attributes:
        dirty: Jobs with progress to store.
        storing: Jobs whose progress is being stored.
        pending_events: Events for the event log, each with its fields.
        ended_phase_by_id: Jobs that have ended and whose state is not stored yet.
        announced_ids: Those of them whose end was announced to the other entry VMs.
        relayed_phase_by_id: States of unfinished jobs as last relayed.
        fenced: Whether a worker rejected an order because it knows a newer owner.
    """

    dirty: set[JobId] = field(default_factory=set)
    storing: set[JobId] = field(default_factory=set)
    pending_events: list[tuple[Event, dict]] = field(default_factory=list)
    ended_phase_by_id: dict[JobId, JobPhase] = field(default_factory=dict)
    announced_ids: set[JobId] = field(default_factory=set)
    relayed_phase_by_id: dict[JobId, JobPhase] = field(default_factory=dict)
    fenced: bool = False

    def select_changed(self, states: list[RelayedState]) -> list[RelayedState]:
        """Returns the states that differ from those relayed last, and marks them."""
        changed = [
            state
            for state in states
            if self.relayed_phase_by_id.get(state.job_id) is not state.state
        ]
        for state in changed:
            if state.state.is_final:
                self.relayed_phase_by_id.pop(state.job_id, None)
            else:
                self.relayed_phase_by_id[state.job_id] = state.state
        return changed

    def take_unannounced(self) -> list[RelayedState]:
        """Returns the ended jobs that were not announced yet, and marks them."""
        states = [
            RelayedState(job_id, phase)
            for job_id, phase in self.ended_phase_by_id.items()
            if job_id not in self.announced_ids
        ]
        self.announced_ids.update(state.job_id for state in states)
        return states

    def mark_stored(self, job_ids: Iterable[JobId]) -> None:
        """Records that the states of jobs are stored."""
        for job_id in job_ids:
            self.ended_phase_by_id.pop(job_id, None)
            self.announced_ids.discard(job_id)
