"""Builds the configuration of the cell from the records of stream ``config``.

Operators publish change sets with compare-and-set: a change set names the revision that
it is based on and is rejected if another one was accepted meanwhile. Every node applies
the records in the order of their offsets and therefore reaches the same revisions and
the same results. `ConfigStore` owns the newest revision, the records that cannot be
applied yet and the results of the newest change sets.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Any

import msgspec

from arbutusladder.declarations import Declarations, Preset, Team, Workload
from arbutusladder.ids import PresetName, RecordId, Revision, TeamName, WorkloadName
from arbutusladder.states import Reason

MAX_RESULTS = 5_000  # Change sets whose result is kept.
MAX_DEFERRED_RECORDS = 10_000
OBJECT_KINDS = ("workload", "team", "preset")


@dataclass
class ChangeSet:
    """Log record of a change that an operator publishes.

    Attributes:
        base: Revision that the change is based on.
        author: Operator who published it.
        declarations: Objects to set, the active preset, and objects to remove.
    """

    base: Revision
    author: str
    declarations: Declarations


@dataclass
class ConfigState:
    """The complete configuration at one revision.

    Attributes:
        revision: Number of change sets accepted so far.
        author: Operator who published the newest accepted change set.
        active_preset: Name of the preset in force; empty until one is activated.
    """

    revision: Revision = Revision(0)
    author: str = ""
    workload_by_name: dict[WorkloadName, Workload] = field(default_factory=dict)
    team_by_name: dict[TeamName, Team] = field(default_factory=dict)
    preset_by_name: dict[PresetName, Preset] = field(default_factory=dict)
    active_preset: PresetName = PresetName("")


@dataclass
class ConfigSnapshot:
    """Log record of a complete revision.

    It is appended before the log's retention removes the change sets that led to the
    revision, so that a node which reads the stream later can start from it.

    Attributes:
        offset: Offset of the last record applied to the state; -1 for none.
        state: The configuration at that offset.
    """

    offset: int
    state: ConfigState


CONFIG_TYPES = (ChangeSet, ConfigSnapshot)


@dataclass(frozen=True)
class Accepted:
    """Result of a change set that was applied.

    Attributes:
        revision: Revision that the change set led to.
        author: Operator who published it.
    """

    revision: Revision
    author: str


@dataclass(frozen=True)
class Rejected:
    """Result of a change set that was rejected as a whole.

    Attributes:
        reason: `STALE_BASE` or `INVALID_DECLARATION`.
        problems: Every problem of the change set, with its remedy.
        revision: Revision that stays in force.
        winner: Operator who published the revision in force.
    """

    reason: Reason
    problems: tuple[str, ...]
    revision: Revision
    winner: str


ConfigResult = Accepted | Rejected


def apply_change_set(state: ConfigState, change: ChangeSet) -> ConfigState | Rejected:
    """Applies a change set to a revision, which is not modified.

    Args:
        state: Revision in force.
        change: Change set to apply.

    Returns:
        The next revision, or the rejection of the change set.
    """
    if change.base != state.revision:
        problem = (
            f"the change is based on revision {change.base}, but revision "
            f"{state.revision} by {state.author or 'nobody'} is in force; fetch it, "
            "merge and publish again"
        )
        return _reject(state, Reason.STALE_BASE, [problem])
    candidate, problems = _build_candidate(state, change)
    problems += _find_broken_references(candidate)
    if problems:
        return _reject(state, Reason.INVALID_DECLARATION, problems)
    return candidate


class ConfigStore:
    """Newest configuration revision that this node has applied.

    The revision never decreases. While unread records might hold change sets, the
    records read after them are deferred until a snapshot or the state of a peer covers
    the gap.

    Attributes:
        state: Configuration in force.
        offset: Offset of the last record applied to the state; -1 for none.
    """

    def __init__(self):
        self.state = ConfigState()
        self.offset = -1
        # Offset that the state must cover before further records may be applied.
        self._required_offset = -1
        self._deferred_records: OrderedDict[int, tuple[RecordId, Any]] = OrderedDict()
        self._result_by_id: OrderedDict[RecordId, ConfigResult] = OrderedDict()

    @property
    def revision(self) -> Revision:
        """Revision in force on this node."""
        return self.state.revision

    @property
    def is_complete(self) -> bool:
        """Whether the state covers all records up to the newest known gap."""
        return self.offset >= self._required_offset

    def mark_missed(self, start: int) -> None:
        """Marks the records before an offset as missed, which leaves a gap.

        Args:
            start: First offset that the log still retains.
        """
        self._deferred_records.clear()
        self._required_offset = max(self._required_offset, start - 1)

    def apply_record(self, offset: int, record_id: RecordId, message: Any) -> bool:
        """Applies the next record of the stream, or defers it while there is a gap.

        Args:
            offset: Offset of the record.
            record_id: Id of the record.
            message: `ChangeSet` or `ConfigSnapshot`; other messages are ignored.

        Returns:
            Whether the revision in force changed.
        """
        previous_revision = self.revision
        if isinstance(message, ConfigSnapshot):
            self._adopt(message)
        if self.is_complete:
            self._apply_if_new(offset, record_id, message)
        else:
            self._defer_record(offset, record_id, message)
        return self.revision != previous_revision

    def find_result(self, record_id: RecordId) -> ConfigResult | None:
        """Returns the result of a change set, or None if this node has none."""
        return self._result_by_id.get(record_id)

    def snapshot(self) -> ConfigSnapshot:
        """Returns the state in force as a record to append to the stream."""
        return ConfigSnapshot(self.offset, self.state)

    def encode_offer(self) -> tuple[Revision, int, bytes]:
        """Returns the revision, its offset and the encoded state, for a peer."""
        return self.revision, self.offset, msgspec.json.encode(self.state)

    def adopt_offer(self, revision: Revision, offset: int, body: bytes) -> bool:
        """Replaces the state by that of a peer, if the peer's is newer.

        Args:
            revision: Revision of the peer.
            offset: Offset of the last record that the peer has applied.
            body: State of the peer, as `encode_offer` returns it.

        Returns:
            Whether the revision in force changed.

        Raises:
            msgspec.MsgspecError: The body cannot be decoded as a `ConfigState`.
        """
        state = msgspec.json.decode(body, type=ConfigState)
        previous_revision = self.revision
        if state.revision == revision:
            self._adopt(ConfigSnapshot(offset, state))
        return self.revision != previous_revision

    def _adopt(self, snapshot: ConfigSnapshot) -> None:
        """Replaces the state if the snapshot is newer and covers the known gap."""
        is_current = snapshot.state.revision >= self.state.revision
        if not is_current or snapshot.offset <= self.offset:
            return
        if snapshot.offset < self._required_offset:
            return
        self.state = snapshot.state
        self.offset = snapshot.offset
        deferred, self._deferred_records = self._deferred_records, OrderedDict()
        for offset, (record_id, message) in deferred.items():
            self._apply_if_new(offset, record_id, message)

    def _apply_if_new(self, offset: int, record_id: RecordId, message: Any) -> None:
        if offset <= self.offset:
            return
        self.offset = offset
        if not isinstance(message, ChangeSet):
            return
        outcome = apply_change_set(self.state, message)
        if isinstance(outcome, ConfigState):
            self.state = outcome
            outcome = Accepted(outcome.revision, outcome.author)
        self._store_result(record_id, outcome)

    def _defer_record(self, offset: int, record_id: RecordId, message: Any) -> None:
        self._deferred_records[offset] = (record_id, message)
        if len(self._deferred_records) > MAX_DEFERRED_RECORDS:
            dropped_offset, _ = self._deferred_records.popitem(last=False)
            self._required_offset = max(self._required_offset, dropped_offset)

    def _store_result(self, record_id: RecordId, result: ConfigResult) -> None:
        self._result_by_id[record_id] = result
        if len(self._result_by_id) > MAX_RESULTS:
            self._result_by_id.popitem(last=False)


def _reject(state: ConfigState, reason: Reason, problems: list[str]) -> Rejected:
    return Rejected(reason, tuple(problems), state.revision, state.author)


def _build_candidate(
    state: ConfigState, change: ChangeSet
) -> tuple[ConfigState, list[str]]:
    """Returns the state with a change set applied, and the problems found."""
    declared = change.declarations
    problems: list[str] = []
    objects = {
        "workload": dict(state.workload_by_name),
        "team": dict(state.team_by_name),
        "preset": dict(state.preset_by_name),
    }
    for entry in declared.remove:
        kind, _, name = entry.partition("/")
        if objects.get(kind, {}).pop(name, None) is None:
            problems.append(
                f"remove: {entry!r} does not exist; use KIND/NAME of an existing "
                f"object, KIND is one of {', '.join(OBJECT_KINDS)}"
            )
    declared_by_kind = zip(
        OBJECT_KINDS,
        (declared.workloads, declared.teams, declared.presets),
        strict=True,
    )
    for kind, added in declared_by_kind:
        problems += _find_repeated_names(kind, added)
        objects[kind].update({item.name: item for item in added})
    candidate = ConfigState(
        revision=Revision(state.revision + 1),
        author=change.author,
        workload_by_name=objects["workload"],
        team_by_name=objects["team"],
        preset_by_name=objects["preset"],
        active_preset=PresetName(declared.active_preset or state.active_preset),
    )
    return candidate, problems


def _find_repeated_names(kind: str, added: list) -> list[str]:
    names = [item.name for item in added]
    return [
        f"{kind} {name!r} is declared twice; keep one of them"
        for name in sorted(set(names))
        if names.count(name) > 1
    ]


def _find_broken_references(state: ConfigState) -> list[str]:
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
    active_preset = state.active_preset
    if active_preset and active_preset not in state.preset_by_name:
        problems.append(
            f"active preset {active_preset!r} does not exist; "
            "declare it or activate another"
        )
    if state.preset_by_name and not active_preset:
        problems.append("no preset is active; set active_preset")
    return problems
