"""What one process knows of the keys that it may run.

The ledger lives in the memory that dispatches. A nonce that it has marked as not
run can never start, and a process that has lost its ledger answers "unknown".
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
    """Limit the entries, and the bytes of one answer and of all of them."""

    maximum_entries: int = 20_000
    maximum_answer_bytes: int = 256 * KIBIBYTE
    maximum_total_bytes: int = 16 * MEBIBYTE


@dataclass(slots=True)
class LedgerEntry:
    """Follow one nonce; ``expires_at`` in monotonic seconds."""

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
    _answered: OrderedDict[str, LedgerEntry] = field(default_factory=OrderedDict)

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

    def meet(
        self, request: KeyedRequest
    ) -> LedgerEntry | StoredAnswer | Refusal | None:
        """Return what is known of a key: an entry to wait for, or its end.

        ``None`` means that no attempt known here keeps the request from running.
        """
        entry = self.find(request.service, request.key)
        if entry is None:
            return None
        if entry.request.digest != request.digest:
            return Refusal(ErrorKind.KEY_REUSED, "the key was used for another request")
        if not entry.state.is_final:
            return entry
        if entry.state is KeyState.NOT_RUN and request.may_follow(entry.request):
            return None
        return describe_outcome(entry.outcome)

    def open(
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
        """Let a claimed request run; ``None`` means that it may, this once.

        A process that was paused past the request's deadline must not start it:
        the claim may have expired meanwhile.
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
        """Keep the answer of a request that ran, as far as memory allows."""
        entry = self._entries[nonce]
        if answer is None or answer.size > self.settings.maximum_answer_bytes:
            entry.state = KeyState.DONE_WITHOUT_ANSWER
            return
        entry.state = KeyState.DONE
        entry.answer = answer
        self.answer_bytes += answer.size
        self._answered[nonce] = entry
        while self.answer_bytes > self.settings.maximum_total_bytes:
            self._drop_oldest_answer()

    def refuse(self, nonce: str) -> None:
        """Promise that a request that did not run never will under its nonce."""
        self._entries[nonce].state = KeyState.NOT_RUN

    def lose(self, nonce: str) -> None:
        """Note that a request may have run."""
        self._entries[nonce].state = KeyState.UNKNOWN

    def expire(self, now: float) -> list[LedgerEntry]:
        """Remove and return the expired entries that are not running."""
        expired = [
            entry
            for entry in self._entries.values()
            if now >= entry.expires_at and entry.state.is_final
        ]
        for entry in expired:
            self._remove(entry)
        return expired

    def adopt(self, entry: LedgerEntry) -> bool:
        """Keep a final entry of a process that stops; return whether it fits."""
        if len(self._entries) >= self.settings.maximum_entries:
            return False
        kept = LedgerEntry(entry.request, entry.nonce, entry.expires_at)
        self._entries[entry.nonce] = kept
        self._latest[entry.request.service, entry.request.key] = kept
        if entry.state is KeyState.DONE:
            self.finish(entry.nonce, entry.answer)
        else:
            kept.state = entry.state
        return True

    def list_final(self) -> list[LedgerEntry]:
        """Return the entries whose outcome can't change, newest answers first."""
        final = [entry for entry in self._entries.values() if entry.state.is_final]
        return final[::-1]

    def _drop_oldest_answer(self) -> None:
        _, entry = self._answered.popitem(last=False)
        self.answer_bytes -= entry.answer.size
        entry.answer = None
        entry.state = KeyState.DONE_WITHOUT_ANSWER

    def _remove(self, entry: LedgerEntry) -> None:
        del self._entries[entry.nonce]
        identity = (entry.request.service, entry.request.key)
        if self._latest.get(identity) is entry:
            del self._latest[identity]
        if self._answered.pop(entry.nonce, None) is not None:
            self.answer_bytes -= entry.answer.size
