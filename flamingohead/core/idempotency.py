"""Identity and outcomes of keyed requests, and the responses derived from them.

An attempt is *marked* when the caller numbers its attempts under a key from 1
upwards. Only this number distinguishes a delayed earlier attempt from a later retry,
so only the response to a marked attempt may state that its key did not run.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, replace
from enum import Enum
from typing import TYPE_CHECKING

from flamingohead.core.errors import ErrorKind, ExecutionStatus, Refusal

if TYPE_CHECKING:
    from flamingohead.core.calls import Call

UNMARKED = 0
FIRST_ATTEMPT = 1


class KeyState(Enum):
    """Enumerate the states of a claimed request."""

    CLAIMING = "claiming"
    RUNNING = "running"
    DONE = "done"
    DONE_WITHOUT_ANSWER = "done_without_answer"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"

    @property
    def is_final(self) -> bool:
        return self not in (KeyState.CLAIMING, KeyState.RUNNING)


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """Store a complete response for repeated attempts."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    @property
    def size(self) -> int:
        """Return the size of headers and body in bytes."""
        headers = sum(len(name) + len(value) for name, value in self.headers)
        return headers + len(self.body)


@dataclass(frozen=True, slots=True)
class KeyedRequest:
    """Identify one attempt of a caller under an idempotency key.

    ``digest`` identifies the content of the request. ``attempt`` is the number that
    the caller gave the attempt, or ``UNMARKED``. ``call_id`` is shared by all tries
    that daemons make for the attempt.
    """

    service: str
    key: str
    digest: str
    attempt: int
    call_id: str

    def may_run_after(self, refused: KeyedRequest) -> bool:
        """Return whether this attempt may run after ``refused`` did not run.

        The caller of a marked attempt may have been informed that it did not run. An
        earlier or unmarked attempt that arrives after it must therefore not run.
        """
        if self.call_id == refused.call_id or refused.attempt == UNMARKED:
            return True
        return self.attempt > refused.attempt


@dataclass(frozen=True, slots=True)
class Outcome:
    """Describe what the owner of a claim knows about it."""

    state: KeyState
    answer: StoredAnswer | None = None


def compute_request_digest(call: Call) -> str:
    """Return a digest of the content bound to a key: method, target and body."""
    digest = hashlib.sha256()
    digest.update(call.method.encode() + b"\0" + call.target + b"\0")
    digest.update(call.body)
    return digest.hexdigest()


def read_keyed_request(call: Call) -> KeyedRequest:
    """Return the identity of a call that carries a key."""
    return KeyedRequest(
        call.service,
        call.key,
        compute_request_digest(call),
        call.attempt,
        call.call_id,
    )


def describe_outcome(outcome: Outcome) -> StoredAnswer | Refusal:
    """Return the response or refusal of a repeated attempt for an outcome."""
    if outcome.state is KeyState.DONE:
        return outcome.answer
    if outcome.state is KeyState.DONE_WITHOUT_ANSWER:
        return Refusal(ErrorKind.KEY_ANSWER_NOT_KEPT, "it ran; its answer is not kept")
    if outcome.state is KeyState.NOT_RUN:
        return Refusal(
            ErrorKind.KEY_SUPERSEDED,
            "an attempt with this number or a higher one did not run",
            key_checked=True,
        )
    if outcome.state is KeyState.UNKNOWN:
        return Refusal(ErrorKind.KEY_OUTCOME_UNKNOWN, "an earlier attempt may have run")
    return Refusal(ErrorKind.KEY_IN_PROGRESS, "an earlier attempt is running")


def qualify_refusal(refusal: Refusal, attempt: int) -> Refusal:
    """Replace "not run" by "unknown" where it does not hold for the whole key.

    A refusal refers to one attempt, but the caller reads "not run" as a statement
    about its key. That is true only for a first attempt, or where the key was checked.
    """
    if refusal.ran is not ExecutionStatus.NO or attempt == FIRST_ATTEMPT:
        return refusal
    if attempt != UNMARKED and refusal.key_checked:
        return refusal
    return replace(refusal, ran_override=ExecutionStatus.UNKNOWN)
