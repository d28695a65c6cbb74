"""In-memory ledger of the idempotency keys that one process may run.

The ledger is kept in the memory of the process that dispatches the requests. A nonce
that is marked as not run can never start, and a process that has lost its ledger
reports every outcome as unknown.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.idempotency import (
    KeyedRequest,
    KeyState,
    Outcome,
    StoredAnswer,
    describe_outcome,
)

KIBIBYTE = 1024
MEBIBYTE = 1024 * KIBIBYTE


@dataclass(frozen=True)
class LedgerSettings:
    """Limit the number of entries, and the bytes of one and of all responses."""

    maximum_entries: int = 20_000
    maximum_answer_bytes: int = 256 * KIBIBYTE
    maximum_total_bytes: int = 16 * MEBIBYTE


@dataclass(slots=True)
class LedgerEntry:
    """Track the request of one nonce; ``expires_at`` is in monotonic seconds."""

    request: KeyedRequest
    nonce: str
    expires_at: float
    state: KeyState = KeyState.CLAIMING
    answer: StoredAnswer | None = None

    @property
    def outcome(self) -> Outcome:
        return Outcome(self.state, self.answer)


@dataclass
class KeyLedger:
    """Track the keys of this process by nonce, and the latest nonce of each key."""

    settings: LedgerSettings = field(default_factory=LedgerSettings)
    answer_bytes: int = 0
    _entries: dict[str, LedgerEntry] = field(default_factory=dict)
    _latest: dict[tuple[str, str], LedgerEntry] = field(default_factory=dict)
    _entries_with_answer: OrderedDict[str, LedgerEntry] = field(
        default_factory=OrderedDict
    )

    def __len__(self) -> int:
        return len(self._entries)

    def find(self, service: str, key: str) -> LedgerEntry | None:
        """Return the latest entry of a key."""
        return self._latest.get((service, key))

    def fetch(self, service: str, key: str, nonce: str) -> LedgerEntry | None:
        """Return the entry of one nonce."""
        entry = self._entries.get(nonce)
        if entry is None or (entry.request.service, entry.request.key) != (
            service,
            key,
        ):
            return None
        return entry

    def look_up(
        self, request: KeyedRequest
    ) -> LedgerEntry | StoredAnswer | Refusal | None:
        """Look up a key: return an entry to wait for, a response or a refusal.

        ``None`` means that no attempt in this ledger prevents the request from running.
        """
        entry = self.find(request.service, request.key)
        if entry is None:
            return None
        if entry.request.digest != request.digest:
            return Refusal(ErrorKind.KEY_REUSED, "the key was used for another request")
        if not entry.state.is_final:
            return entry
        if entry.state is KeyState.NOT_RUN and request.may_run_after(entry.request):
            return None
        return describe_outcome(entry.outcome)

    def add_entry(
        self, request: KeyedRequest, nonce: str, expires_at: float
    ) -> LedgerEntry | Refusal:
        """Add an entry for a new nonce, unless the ledger is full."""
        if len(self._entries) >= self.settings.maximum_entries:
            return Refusal(ErrorKind.KEY_LIMIT_REACHED, "too many keys are kept")
        entry = LedgerEntry(request, nonce, expires_at)
        self._entries[nonce] = entry
        self._latest[request.service, request.key] = entry
        return entry

    def start(self, nonce: str, now: float, deadline: float) -> Refusal | None:
        """Mark a claimed request as running; ``None`` permits the only execution.

        A process that was paused past the deadline of the request must not start it,
        since the claim may have expired in the meantime.
        """
        entry = self._entries[nonce]
        if entry.state is not KeyState.CLAIMING:
            return Refusal(ErrorKind.KEY_OUTCOME_UNKNOWN, "the claim has been used")
        if now >= min(deadline, entry.expires_at):
            entry.state = KeyState.NOT_RUN
            return Refusal(ErrorKind.DEADLINE_PASSED, "no time left to run it")
        entry.state = KeyState.RUNNING
        return None

    def finish(self, nonce: str, answer: StoredAnswer | None) -> None:
        """Store the response of a request that ran, within the limits on bytes."""
        entry = self._entries[nonce]
        if answer is None or answer.size > self.settings.maximum_answer_bytes:
            entry.state = KeyState.DONE_WITHOUT_ANSWER
            return
        entry.state = KeyState.DONE
        entry.answer = answer
        self.answer_bytes += answer.size
        self._entries_with_answer[nonce] = entry
        while self.answer_bytes > self.settings.maximum_total_bytes:
            self._drop_oldest_answer()

    def mark_not_run(self, nonce: str) -> None:
        """Mark a request as not run; it can never start under its nonce."""
        self._entries[nonce].state = KeyState.NOT_RUN

    def mark_unknown(self, nonce: str) -> None:
        """Mark the outcome of a request as unknown, since it may have run."""
        self._entries[nonce].state = KeyState.UNKNOWN

    def expire(self, now: float) -> list[LedgerEntry]:
        """Remove and return the expired entries with a final outcome."""
        expired = [
            entry
            for entry in self._entries.values()
            if now >= entry.expires_at and entry.state.is_final
        ]
        for entry in expired:
            self._remove(entry)
        return expired

    def adopt(self, entry: LedgerEntry) -> bool:
        """Add a copy of a final entry of a stopping process; return whether it fits."""
        if len(self._entries) >= self.settings.maximum_entries:
            return False
        entry_copy = LedgerEntry(entry.request, entry.nonce, entry.expires_at)
        self._entries[entry.nonce] = entry_copy
        self._latest[entry.request.service, entry.request.key] = entry_copy
        if entry.state is KeyState.DONE:
            self.finish(entry.nonce, entry.answer)
        else:
            entry_copy.state = entry.state
        return True

    def list_final(self) -> list[LedgerEntry]:
        """Return the entries with a final outcome, newest first."""
        final = [entry for entry in self._entries.values() if entry.state.is_final]
        return final[::-1]

    def _drop_oldest_answer(self) -> None:
        _, entry = self._entries_with_answer.popitem(last=False)
        self.answer_bytes -= entry.answer.size
        entry.answer = None
        entry.state = KeyState.DONE_WITHOUT_ANSWER

    def _remove(self, entry: LedgerEntry) -> None:
        del self._entries[entry.nonce]
        key_identity = (entry.request.service, entry.request.key)
        if self._latest.get(key_identity) is entry:
            del self._latest[key_identity]
        if self._entries_with_answer.pop(entry.nonce, None) is not None:
            self.answer_bytes -= entry.answer.size
