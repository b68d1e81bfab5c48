"""Table of idempotency keys: each key runs at most once."""

import uuid
from collections import OrderedDict
from dataclasses import dataclass, replace

import xxhash
from sortedcontainers import SortedList

from arbutusladder.httpclient import HttpResponse
from arbutusladder.messages import ForwardRequest, KeyEntry
from arbutusladder.states import KeyState, Outcome, Reason

UUID_VERSION = 7
UUID_TIME_SHIFT = 80
# Memory of an entry without an answer, measured from the size of its objects.
ENTRY_OVERHEAD_BYTES = 64


@dataclass(frozen=True)
class Run:
    """The request may run now; the key is recorded as running."""


@dataclass(frozen=True)
class Wait:
    """Another request with the key runs; its outcome is the answer."""


@dataclass(frozen=True)
class Replay:
    """The request ran before.

    Attributes:
        answer: The kept answer.
    """

    answer: HttpResponse


@dataclass(frozen=True)
class Refuse:
    """The request must not run.

    Attributes:
        outcome: ``not_run`` or ``unknown``.
        reason: Why.
    """

    outcome: Outcome
    reason: Reason


KeyDecision = Run | Wait | Replay | Refuse


def creation_time(key: str) -> float | None:
    """Returns the wall clock time in a UUIDv7, or None for other text."""
    try:
        value = uuid.UUID(key)
    except ValueError:
        return None
    if value.version != UUID_VERSION or str(value) != key.lower():
        return None
    return (value.int >> UUID_TIME_SHIFT) / 1000


def fingerprint(request: ForwardRequest) -> int:
    """Returns a hash of what a key stands for."""
    head = f"{request.service}\0{request.method}\0{request.path}\0".encode()
    return xxhash.xxh64_intdigest(head + request.body)


class KeyTable:
    """Keys of one shard and what is known of their requests.

    Times are wall clock seconds, because the creation time is part of a key.

    Args:
        window: Seconds for which a key is kept.
        skew: Largest difference between two clocks in seconds.
        max_keys: Largest number of keys.
        max_bytes: Largest sum of kept answers.
        complete_since: Creation time from which the table knows every key.
    """

    def __init__(
        self,
        window: float,
        skew: float,
        max_keys: int,
        max_bytes: int,
        complete_since: float = 0.0,
    ):
        self._window = window
        self._skew = skew
        self._max_keys = max_keys
        self._max_bytes = max_bytes
        self.complete_since = complete_since
        self._entries_by_key: dict[str, KeyEntry] = {}
        self._keys_by_age: SortedList = SortedList()
        self._answer_sizes_by_key: OrderedDict[str, int] = OrderedDict()
        self._not_kept: set[str] = set()
        self.kept_bytes = 0
        self._latest = 0.0

    def __len__(self) -> int:
        return len(self._entries_by_key)

    def taken_over(self, at: float) -> None:
        """Answers unknown for keys that a predecessor may have run.

        A predecessor whose clock is ahead by the skew accepts keys that are
        ahead of its clock by the skew, hence twice the skew.
        """
        self.complete_since = max(self.complete_since, at + 2 * self._skew)

    def begin(self, key: str, now: float, fingerprint: int = 0) -> KeyDecision:
        """Decides whether a request with a key may run.

        Args:
            key: Idempotency key of the request.
            now: Wall clock time in seconds.
            fingerprint: Hash of the request; another request with the same key
                is refused, because the kept answer is not its own.
        """
        now = self._advance(now)
        key = key.lower()
        created_at = creation_time(key)
        refusal = self._check_time(key, created_at, now)
        if refusal:
            return refusal
        entry = self._entries_by_key.get(key)
        if entry and entry.fingerprint != fingerprint:
            return Refuse(Outcome.NOT_RUN, Reason.KEY_REUSED)
        if entry:
            return self._known(entry)
        if created_at <= self.complete_since:
            return Refuse(Outcome.UNKNOWN, Reason.KEY_BEFORE_TAKEOVER)
        if len(self._entries_by_key) >= self._max_keys:
            return Refuse(Outcome.NOT_RUN, Reason.KEY_TABLE_FULL)
        entry = KeyEntry(
            key, KeyState.RUNNING, created_at, body=b"", fingerprint=fingerprint
        )
        self._add(entry)
        return Run()

    def record_answer(self, key: str, answer: HttpResponse, now: float) -> None:
        """Records that the request of a key is done."""
        entry = self._entries_by_key.get(key.lower())
        if entry is None or entry.state is not KeyState.RUNNING:
            return
        entry.state = KeyState.DONE
        entry.status = answer.status
        self._keep(entry, answer)

    def mark_unknown(self, key: str, now: float) -> None:
        """Records that the outcome of a key's request is unknown."""
        entry = self._entries_by_key.get(key.lower())
        if entry and entry.state is KeyState.RUNNING:
            entry.state = KeyState.UNKNOWN

    def remove_not_run(self, key: str, now: float) -> None:
        """Removes a key whose request was proved not run."""
        entry = self._entries_by_key.get(key.lower())
        if entry and entry.state is KeyState.RUNNING:
            self._remove(entry)

    def export(self) -> list[KeyEntry]:
        """Returns all entries for a handover."""
        return [self._exported(entry) for entry in self._entries_by_key.values()]

    @classmethod
    def adopt(
        cls,
        entries: list[KeyEntry],
        window: float,
        skew: float,
        max_keys: int,
        max_bytes: int,
        complete_since: float = 0.0,
    ) -> "KeyTable":
        """Builds a table from a predecessor's export.

        Requests that the predecessor was running have an unknown outcome,
        because their answers reach only the predecessor.
        """
        table = cls(window, skew, max_keys, max_bytes, complete_since)
        table.merge(entries)
        return table

    def merge(self, entries: list[KeyEntry]) -> None:
        """Adds a predecessor's entries; own entries are newer and stay."""
        for entry in entries:
            if entry.key not in self._entries_by_key:
                self._adopt_one(entry)

    def _adopt_one(self, entry: KeyEntry) -> None:
        done = entry.state is KeyState.DONE
        state = KeyState.DONE if done else KeyState.UNKNOWN
        copy = replace(entry, state=state, headers=[], body=b"")
        self._add(copy)
        if done:
            self._keep(copy, HttpResponse(entry.status, entry.headers, entry.body))

    def _advance(self, now: float) -> float:
        # The clock of a VM may step back; an expired key must stay expired.
        self._latest = max(self._latest, now)
        self._expire(self._latest)
        return self._latest

    def _check_time(
        self, key: str, created_at: float | None, now: float
    ) -> Refuse | None:
        if not key:
            return Refuse(Outcome.NOT_RUN, Reason.KEY_MISSING)
        if created_at is None:
            return Refuse(Outcome.NOT_RUN, Reason.KEY_MALFORMED)
        if created_at > now + self._skew:
            return Refuse(Outcome.NOT_RUN, Reason.KEY_FROM_FUTURE)
        if created_at <= now - self._window:
            return Refuse(Outcome.UNKNOWN, Reason.KEY_EXPIRED)
        return None

    def _known(self, entry: KeyEntry) -> KeyDecision:
        if entry.state is KeyState.RUNNING:
            return Wait()
        if entry.state is KeyState.UNKNOWN:
            return Refuse(Outcome.UNKNOWN, Reason.KEY_OUTCOME_UNKNOWN)
        if entry.key in self._not_kept:
            return Refuse(Outcome.UNKNOWN, Reason.ANSWER_NOT_KEPT)
        return Replay(HttpResponse(entry.status, list(entry.headers), entry.body))

    def _add(self, entry: KeyEntry) -> None:
        self._entries_by_key[entry.key] = entry
        self._keys_by_age.add((entry.created_at, entry.key))

    def _remove(self, entry: KeyEntry) -> None:
        del self._entries_by_key[entry.key]
        self._keys_by_age.remove((entry.created_at, entry.key))
        self.kept_bytes -= self._answer_sizes_by_key.pop(entry.key, 0)
        self._not_kept.discard(entry.key)

    def _keep(self, entry: KeyEntry, answer: HttpResponse) -> None:
        size = _size(answer)
        if size > self._max_bytes:
            self._not_kept.add(entry.key)
            return
        entry.headers = list(answer.headers)
        entry.body = answer.body
        self._answer_sizes_by_key[entry.key] = size
        self.kept_bytes += size
        while self.kept_bytes > self._max_bytes:
            self._drop_oldest_answer()

    def _drop_oldest_answer(self) -> None:
        key, size = self._answer_sizes_by_key.popitem(last=False)
        self.kept_bytes -= size
        self._not_kept.add(key)
        entry = self._entries_by_key[key]
        entry.headers = []
        entry.body = b""

    def _expire(self, now: float) -> None:
        while self._keys_by_age and self._keys_by_age[0][0] <= now - self._window:
            self._remove(self._entries_by_key[self._keys_by_age[0][1]])

    def _exported(self, entry: KeyEntry) -> KeyEntry:
        state = KeyState.UNKNOWN if entry.key in self._not_kept else entry.state
        return replace(entry, state=state)


def _size(answer: HttpResponse) -> int:
    headers = sum(len(header.name) + len(header.value) for header in answer.headers)
    return ENTRY_OVERHEAD_BYTES + headers + len(answer.body)
