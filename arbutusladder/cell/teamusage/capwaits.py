"""Teams with steps that wait for their cap, for the event log and the metrics."""

from collections import Counter
from dataclasses import dataclass

from arbutusladder import events
from arbutusladder.cell.teamusage.ledger import TeamLedger
from arbutusladder.events import Event
from arbutusladder.ids import TeamName

# Seconds without a step that waits for the cap after which the wait of a team counts as
# ended. At a full cap, each end of a task lets another one start.
WAIT_END_S = 1.0


@dataclass(slots=True)
class _Wait:
    """Wait of a team since a time, as last seen at another."""

    since: float
    seen_at: float


class CapWaits:
    """Records in which rounds of decisions steps have waited for their team's cap."""

    def __init__(self):
        self._wait_by_team: dict[TeamName, _Wait] = {}
        self._steps_by_team: Counter[TeamName] = Counter()

    @property
    def teams(self) -> list[TeamName]:
        """Teams that wait for their caps."""
        return sorted(self._wait_by_team)

    def record(self, team: TeamName) -> None:
        """Records that a step of a team was not started because of the cap."""
        self._steps_by_team[team] += 1

    def finish_round(
        self, ledger: TeamLedger, now: float
    ) -> list[tuple[Event, dict[str, object]]]:
        """Ends a round of decisions and returns the events to log.

        Args:
            ledger: Charges and caps of the teams.
            now: Monotonic time in seconds.
        """
        found: list[tuple[Event, dict[str, object]]] = []
        for team, steps in self._steps_by_team.items():
            wait = self._wait_by_team.get(team)
            if wait:
                wait.seen_at = now
                continue
            self._wait_by_team[team] = _Wait(now, now)
            charged, terms = ledger.charged(team), ledger.limits.terms_by_name[team]
            fields = {
                "team": team,
                "steps": steps,
                "cpu": charged.cpu,
                "memory": charged.memory_mb,
                "accelerators": charged.accelerators,
                "cap_cpu": terms.cap.cpu,
                "cap_memory": terms.cap.memory_mb,
                "cap_accelerators": terms.cap.accelerators,
            }
            found.append((events.TEAM_AT_CAP, fields))
        self._steps_by_team.clear()
        for team, wait in list(self._wait_by_team.items()):
            if now - wait.seen_at > WAIT_END_S:
                del self._wait_by_team[team]
                seconds = wait.seen_at - wait.since
                fields = {"team": team, "seconds": seconds}
                found.append((events.TEAM_BELOW_CAP, fields))
        return found
