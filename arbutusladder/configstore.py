"""Fold of stream ``config``: revisions, compare-and-set, active preset."""

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Any

import msgspec

from arbutusladder.declarations import Declarations, Preset, Team, Workload
from arbutusladder.ids import PresetName, RecordId, Revision, TeamName, WorkloadName
from arbutusladder.states import Reason

MAX_RESULTS = 5_000
MAX_WAITING_RECORDS = 10_000
OBJECT_KINDS = ("workload", "team", "preset")


@dataclass
class ChangeSet:
    """A change that an operator publishes.

    Attributes:
        base: Revision that the change is based on.
        author: Operator.
        declarations: Objects to set, the active preset, and objects to remove.
    """

    base: Revision
    author: str
    declarations: Declarations


@dataclass
class ConfigState:
    """A whole revision.

    Attributes:
        revision: Number of accepted change sets.
        author: Operator of the newest accepted change set.
        active_preset: Name of the preset in force; empty before the first.
    """

    revision: Revision = Revision(0)
    author: str = ""
    workload_by_name: dict[WorkloadName, Workload] = field(default_factory=dict)
    team_by_name: dict[TeamName, Team] = field(default_factory=dict)
    preset_by_name: dict[PresetName, Preset] = field(default_factory=dict)
    active_preset: PresetName = PresetName("")


@dataclass
class ConfigSnapshot:
    """A revision appended again before its change sets leave the retention.

    Attributes:
        offset: Offset of the last record folded into the state; -1 for none.
        state: The revision.
    """

    offset: int
    state: ConfigState


CONFIG_TYPES = (ChangeSet, ConfigSnapshot)


@dataclass(frozen=True)
class Accepted:
    """A change set that is in force."""

    revision: Revision
    author: str


@dataclass(frozen=True)
class Rejected:
    """A change set that changed nothing.

    Attributes:
        reason: `STALE_BASE` or `INVALID_DECLARATION`.
        problems: What is wrong, with the remedy.
        revision: Revision in force.
        winner: Operator of the revision in force.
    """

    reason: Reason
    problems: tuple[str, ...]
    revision: Revision
    winner: str


ConfigResult = Accepted | Rejected


def apply_change_set(state: ConfigState, change: ChangeSet) -> ConfigState | Rejected:
    """Applies a change set to a revision.

    Returns:
        The next revision, or why there is none. The given one is unchanged.
    """
    if change.base != state.revision:
        problem = (
            f"the change is based on revision {change.base}, but revision "
            f"{state.revision} by {state.author or 'nobody'} is in force; fetch it, "
            "merge and publish again"
        )
        return _reject(state, Reason.STALE_BASE, [problem])
    candidate, problems = _apply(state, change)
    problems += _broken_references(candidate)
    if problems:
        return _reject(state, Reason.INVALID_DECLARATION, problems)
    return candidate


class ConfigStore:
    """The newest revision that this node knows.

    The revision never goes down. While records that may hold change sets are
    missing, read records wait until a snapshot or a peer covers the gap.
    """

    def __init__(self):
        self.state = ConfigState()
        self.offset = -1
        self._needed = -1
        self._waiting: OrderedDict[int, tuple[RecordId, Any]] = OrderedDict()
        self._result_by_id: OrderedDict[RecordId, ConfigResult] = OrderedDict()

    @property
    def revision(self) -> Revision:
        """Revision in force on this node."""
        return self.state.revision

    @property
    def is_complete(self) -> bool:
        """Whether every record up to the newest read one is accounted for."""
        return self.offset >= self._needed

    def missed(self, start: int) -> None:
        """Notes that records before an offset were not read.

        Args:
            start: First offset that the log still retains.
        """
        self._waiting.clear()
        self._needed = max(self._needed, start - 1)

    def fold(self, offset: int, record_id: RecordId, message: Any) -> bool:
        """Takes in the next record of the stream.

        Args:
            offset: Offset of the record.
            record_id: Id of the record.
            message: `ChangeSet` or `ConfigSnapshot`; others are skipped.

        Returns:
            Whether the revision in force changed.
        """
        before = self.revision
        if isinstance(message, ConfigSnapshot):
            self._adopt(message)
        if self.is_complete:
            self._fold_next(offset, record_id, message)
        else:
            self._wait(offset, record_id, message)
        return self.revision != before

    def result(self, record_id: RecordId) -> ConfigResult | None:
        """Returns what became of a change set, if it is known here."""
        return self._result_by_id.get(record_id)

    def snapshot(self) -> ConfigSnapshot:
        """Returns what to append again."""
        return ConfigSnapshot(self.offset, self.state)

    def encode_offer(self) -> tuple[Revision, int, bytes]:
        """Returns revision, offset and body for a peer."""
        return self.revision, self.offset, msgspec.json.encode(self.state)

    def adopt_offer(self, revision: Revision, offset: int, body: bytes) -> bool:
        """Takes in a peer's revision.

        Returns:
            Whether the revision in force changed.

        Raises:
            msgspec.MsgspecError: The body is no revision of this version.
        """
        state = msgspec.json.decode(body, type=ConfigState)
        before = self.revision
        if state.revision == revision:
            self._adopt(ConfigSnapshot(offset, state))
        return self.revision != before

    def _adopt(self, snapshot: ConfigSnapshot) -> None:
        """Takes over a state that covers more of the stream than this one."""
        newer = snapshot.state.revision >= self.state.revision
        if not newer or snapshot.offset <= self.offset:
            return
        if snapshot.offset < self._needed:
            return
        self.state = snapshot.state
        self.offset = snapshot.offset
        waiting, self._waiting = self._waiting, OrderedDict()
        for offset, (record_id, message) in waiting.items():
            self._fold_next(offset, record_id, message)

    def _fold_next(self, offset: int, record_id: RecordId, message: Any) -> None:
        if offset <= self.offset:
            return
        self.offset = offset
        if not isinstance(message, ChangeSet):
            return
        outcome = apply_change_set(self.state, message)
        if isinstance(outcome, ConfigState):
            self.state = outcome
            outcome = Accepted(outcome.revision, outcome.author)
        self._keep_result(record_id, outcome)

    def _wait(self, offset: int, record_id: RecordId, message: Any) -> None:
        self._waiting[offset] = (record_id, message)
        if len(self._waiting) > MAX_WAITING_RECORDS:
            dropped, _ = self._waiting.popitem(last=False)
            self._needed = max(self._needed, dropped)

    def _keep_result(self, record_id: RecordId, result: ConfigResult) -> None:
        self._result_by_id[record_id] = result
        if len(self._result_by_id) > MAX_RESULTS:
            self._result_by_id.popitem(last=False)


def _reject(state: ConfigState, reason: Reason, problems: list[str]) -> Rejected:
    return Rejected(reason, tuple(problems), state.revision, state.author)


def _apply(state: ConfigState, change: ChangeSet) -> tuple[ConfigState, list[str]]:
    declared = change.declarations
    problems: list[str] = []
    objects = {
        "workload": dict(state.workload_by_name),
        "team": dict(state.team_by_name),
        "preset": dict(state.preset_by_name),
    }
    for path in declared.remove:
        kind, _, name = path.partition("/")
        if objects.get(kind, {}).pop(name, None) is None:
            problems.append(
                f"remove: {path!r} does not exist; use KIND/NAME of an existing "
                f"object, KIND is one of {', '.join(OBJECT_KINDS)}"
            )
    declared_by_kind = zip(
        OBJECT_KINDS,
        (declared.workloads, declared.teams, declared.presets),
        strict=True,
    )
    for kind, added in declared_by_kind:
        problems += _repeated_names(kind, added)
        objects[kind].update({one.name: one for one in added})
    candidate = ConfigState(
        revision=Revision(state.revision + 1),
        author=change.author,
        workload_by_name=objects["workload"],
        team_by_name=objects["team"],
        preset_by_name=objects["preset"],
        active_preset=PresetName(declared.active_preset or state.active_preset),
    )
    return candidate, problems


def _repeated_names(kind: str, added: list) -> list[str]:
    names = [one.name for one in added]
    return [
        f"{kind} {name!r} is declared twice; keep one of them"
        for name in sorted(set(names))
        if names.count(name) > 1
    ]


def _broken_references(state: ConfigState) -> list[str]:
    problems = [
        f"workload {workload.name!r}: team {workload.team!r} does not exist; "
        "declare the team in the same change set"
        for workload in state.workload_by_name.values()
        if workload.team not in state.team_by_name
    ]
    problems += [
        f"workload {workload.name!r}: kind request needs a service; set service"
        for workload in state.workload_by_name.values()
        if workload.kind == "request" and not workload.service
    ]
    active = state.active_preset
    if active and active not in state.preset_by_name:
        problems.append(
            f"active preset {active!r} does not exist; declare it or activate another"
        )
    if state.preset_by_name and not active:
        problems.append("no preset is active; set active_preset")
    return problems
