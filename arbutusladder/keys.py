"""Table of idempotency keys, which ensures that each key runs at most once.

The owner of a shard keeps the table in memory and hands it over to its successor.
"""

import uuid
from collections import OrderedDict
from dataclasses import dataclass, replace

import xxhash
from sortedcontainers import SortedList

from arbutusladder.httpclient import HttpResponse
from arbutusladder.messages import ForwardRequest, KeyEntry
from arbutusladder.states import KeyState, Outcome, Reason

UUID_VERSION = 7
UUID_TIMESTAMP_SHIFT_BITS = 80
# Memory of an entry without an answer, from the size of its objects.
ENTRY_OVERHEAD_BYTES = 64


@dataclass(frozen=True)
class Run:
    """The request may run; its key is recorded as running."""


@dataclass(frozen=True)
class Wait:
    """A request with the same key is running; wait for its outcome."""


@dataclass(frozen=True)
class Replay:
    """The request has already run.

    Attributes:
        answer: The stored answer.
    """

    answer: HttpResponse


@dataclass(frozen=True)
class Refuse:
    """The request must not run.

    Attributes:
        outcome: ``not_run`` or ``unknown``.
        reason: Reason for the refusal.
    """

    outcome: Outcome
    reason: Reason


KeyDecision = Run | Wait | Replay | Refuse


def creation_time(key: str) -> float | None:
    """Returns the wall clock time in seconds in a UUIDv7, or None for other text."""
    try:
        value = uuid.UUID(key)
    except ValueError:
        return None
    if value.version != UUID_VERSION or str(value) != key.lower():
        return None
    return (value.int >> UUID_TIMESTAMP_SHIFT_BITS) / 1000


def fingerprint(request: ForwardRequest) -> int:
    """Returns a hash of the service, method, path and body of a request."""
    prefix = f"{request.service}\0{request.method}\0{request.path}\0".encode()
    return xxhash.xxh64_intdigest(prefix + request.body)


class KeyTable:
    """Idempotency keys of one shard, with the state and answer of their requests.

    Times are wall clock seconds, because a key contains its creation time.

    Args:
        window: Seconds after its creation at which a key expires.
        skew: Largest difference between two clocks in seconds.
        max_keys: Maximum number of keys.
        max_bytes: Maximum total size of the stored answers in bytes.
        complete_since: Creation time after which the table has every key that ran.
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
        self._keys_by_creation_time: SortedList = SortedList()
        self._answer_sizes_by_key: OrderedDict[str, int] = OrderedDict()
        self._keys_without_answer: set[str] = set()
        self.stored_answer_bytes = 0
        self._latest_time = 0.0

    def __len__(self) -> int:
        return len(self._entries_by_key)

    def start_after_takeover(self, at: float) -> None:
        """Sets the outcome of keys that a predecessor may have run to unknown.

        A predecessor whose clock is ahead by the skew accepts keys that are
        ahead of its clock by the skew, hence twice the skew.

        Args:
            at: Wall clock time in seconds at which the predecessor stopped.
        """
        self.complete_since = max(self.complete_since, at + 2 * self._skew)

    def begin(self, key: str, now: float, fingerprint: int = 0) -> KeyDecision:
        """Decides whether a request with a key may run.

        Args:
            key: Idempotency key of the request.
            now: Wall clock time in seconds.
            fingerprint: Hash of the request; a different request with the same key is
                refused, because the stored answer belongs to the first one.
        """
        now = self._advance_time(now)
        key = key.lower()
        created_at = creation_time(key)
        refusal = self._check_creation_time(key, created_at, now)
        if refusal:
            return refusal
        entry = self._entries_by_key.get(key)
        if entry and entry.fingerprint != fingerprint:
            return Refuse(Outcome.NOT_RUN, Reason.KEY_REUSED)
        if entry:
            return self._decide_for_known_key(entry)
        if created_at <= self.complete_since:
            return Refuse(Outcome.UNKNOWN, Reason.KEY_BEFORE_TAKEOVER)
        if len(self._entries_by_key) >= self._max_keys:
            return Refuse(Outcome.NOT_RUN, Reason.KEY_TABLE_FULL)
        entry = KeyEntry(
            key, KeyState.RUNNING, created_at, body=b"", fingerprint=fingerprint
        )
        self._add_entry(entry)
        return Run()

    def record_answer(self, key: str, answer: HttpResponse, now: float) -> None:
        """Records the answer to the request of a key."""
        entry = self._entries_by_key.get(key.lower())
        if entry is None or entry.state is not KeyState.RUNNING:
            return
        entry.state = KeyState.DONE
        entry.status = answer.status
        self._store_answer(entry, answer)

    def mark_unknown(self, key: str, now: float) -> None:
        """Records that the outcome of a key's request is unknown."""
        entry = self._entries_by_key.get(key.lower())
        if entry and entry.state is KeyState.RUNNING:
            entry.state = KeyState.UNKNOWN

    def remove_not_run(self, key: str, now: float) -> None:
        """Removes a key whose request provably did not run."""
        entry = self._entries_by_key.get(key.lower())
        if entry and entry.state is KeyState.RUNNING:
            self._remove_entry(entry)

    def export(self) -> list[KeyEntry]:
        """Returns all entries for a handover to the next owner."""
        return [self._export_entry(entry) for entry in self._entries_by_key.values()]

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
        """Returns a table with the entries that a predecessor exported.

        Requests that the predecessor was running get an unknown outcome,
        because their answers reach only the predecessor.
        """
        table = cls(window, skew, max_keys, max_bytes, complete_since)
        table.merge(entries)
        return table

    def merge(self, entries: list[KeyEntry]) -> None:
        """Adds a predecessor's entries; own entries are newer and take precedence."""
        for entry in entries:
            if entry.key not in self._entries_by_key:
                self._adopt_entry(entry)

    def _adopt_entry(self, entry: KeyEntry) -> None:
        is_done = entry.state is KeyState.DONE
        state = KeyState.DONE if is_done else KeyState.UNKNOWN
        adopted_entry = replace(entry, state=state, headers=[], body=b"")
        self._add_entry(adopted_entry)
        if is_done:
            self._store_answer(
                adopted_entry, HttpResponse(entry.status, entry.headers, entry.body)
            )

    def _advance_time(self, now: float) -> float:
        # The wall clock may step back, but an expired key must stay expired.
        self._latest_time = max(self._latest_time, now)
        self._remove_expired(self._latest_time)
        return self._latest_time

    def _check_creation_time(
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

    def _decide_for_known_key(self, entry: KeyEntry) -> KeyDecision:
        if entry.state is KeyState.RUNNING:
            return Wait()
        if entry.state is KeyState.UNKNOWN:
            return Refuse(Outcome.UNKNOWN, Reason.KEY_OUTCOME_UNKNOWN)
        if entry.key in self._keys_without_answer:
            return Refuse(Outcome.UNKNOWN, Reason.ANSWER_NOT_KEPT)
        return Replay(HttpResponse(entry.status, list(entry.headers), entry.body))

    def _add_entry(self, entry: KeyEntry) -> None:
        self._entries_by_key[entry.key] = entry
        self._keys_by_creation_time.add((entry.created_at, entry.key))

    def _remove_entry(self, entry: KeyEntry) -> None:
        del self._entries_by_key[entry.key]
        self._keys_by_creation_time.remove((entry.created_at, entry.key))
        self.stored_answer_bytes -= self._answer_sizes_by_key.pop(entry.key, 0)
        self._keys_without_answer.discard(entry.key)

    def _store_answer(self, entry: KeyEntry, answer: HttpResponse) -> None:
        size = _answer_size_bytes(answer)
        if size > self._max_bytes:
            self._keys_without_answer.add(entry.key)
            return
        entry.headers = list(answer.headers)
        entry.body = answer.body
        self._answer_sizes_by_key[entry.key] = size
        self.stored_answer_bytes += size
        while self.stored_answer_bytes > self._max_bytes:
            self._drop_oldest_answer()

    def _drop_oldest_answer(self) -> None:
        key, size = self._answer_sizes_by_key.popitem(last=False)
        self.stored_answer_bytes -= size
        self._keys_without_answer.add(key)
        entry = self._entries_by_key[key]
        entry.headers = []
        entry.body = b""

    def _remove_expired(self, now: float) -> None:
        while (
            self._keys_by_creation_time
            and self._keys_by_creation_time[0][0] <= now - self._window
        ):
            self._remove_entry(self._entries_by_key[self._keys_by_creation_time[0][1]])

    def _export_entry(self, entry: KeyEntry) -> KeyEntry:
        state = (
            KeyState.UNKNOWN if entry.key in self._keys_without_answer else entry.state
        )
        return replace(entry, state=state)


def _answer_size_bytes(answer: HttpResponse) -> int:
    headers = sum(len(header.name) + len(header.value) for header in answer.headers)
    return ENTRY_OVERHEAD_BYTES + headers + len(answer.body)
