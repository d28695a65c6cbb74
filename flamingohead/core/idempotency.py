"""At-most-once execution of requests that carry an idempotency key.

The daemon that owns the upstream inserts a claim row for the key before it
dispatches. Only the inserter dispatches, and it keeps the answer until the claim
expires. Every other attempt asks the claim's owner for the outcome.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from flamingohead.core.errors import ErrorKind, Refusal


class KeyState(Enum):
    """State how far a claimed request got."""

    CLAIMING = "claiming"
    RUNNING = "running"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class Claim:
    """Name the attempt that may run a key; ``expires_at`` is epoch seconds."""

    service: str
    key: str
    host_id: str
    peer_address: str
    incarnation: int
    nonce: str
    expires_at: float


@dataclass(frozen=True)
class StoredAnswer:
    """Hold a whole answer for repeated attempts."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@dataclass
class _Entry:
    claim: Claim
    state: KeyState
    answer: StoredAnswer | None = None


class KeyLedger:
    """Track the keys claimed by this daemon."""

    def __init__(self) -> None:
        self._entries: dict[tuple[str, str], _Entry] = {}

    def begin(self, claim: Claim) -> StoredAnswer | Refusal | None:
        """Reserve a key; ``None`` means that the caller may claim and run it."""
        entry = self._entries.get((claim.service, claim.key))
        if entry is None or entry.state is KeyState.NOT_RUN:
            self._entries[claim.service, claim.key] = _Entry(claim, KeyState.CLAIMING)
            return None
        return self._describe(entry)

    def mark(self, claim: Claim, state: KeyState) -> None:
        """Move a key to a new state."""
        self._entries[claim.service, claim.key].state = state

    def finish(self, claim: Claim, answer: StoredAnswer) -> None:
        """Keep the answer of a key that ran."""
        entry = self._entries[claim.service, claim.key]
        entry.state = KeyState.DONE
        entry.answer = answer

    def forget(self, claim: Claim) -> None:
        """Drop a key that another daemon has claimed."""
        self._entries.pop((claim.service, claim.key), None)

    def fetch(self, service: str, key: str, nonce: str) -> _Entry | None:
        """Return the entry of a claim made by this daemon, if it still has it."""
        entry = self._entries.get((service, key))
        if entry is None or entry.claim.nonce != nonce:
            return None
        return entry

    def expire(self, now: float) -> None:
        """Drop the entries whose claims have expired; ``now`` in epoch seconds."""
        for key, entry in list(self._entries.items()):
            if now >= entry.claim.expires_at and entry.state is not KeyState.RUNNING:
                del self._entries[key]

    def _describe(self, entry: _Entry) -> StoredAnswer | Refusal:
        if entry.state is KeyState.DONE:
            return entry.answer
        if entry.state is KeyState.UNKNOWN:
            return Refusal(
                ErrorKind.KEY_OUTCOME_UNKNOWN, "an earlier attempt may have run"
            )
        return Refusal(ErrorKind.KEY_IN_PROGRESS, "an earlier attempt is running")
