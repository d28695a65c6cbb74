"""Keyed requests: their identity, their outcomes, and what callers are told.

An attempt is *marked* when the caller numbers its attempts under a key from 1
upwards. Only the number tells an earlier attempt that is still on its way from a
later retry, so only a marked attempt can be told that its key did not run.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, replace
from enum import Enum
from typing import TYPE_CHECKING

from flamingohead.core.errors import ErrorKind, Ran, Refusal

if TYPE_CHECKING:
    from flamingohead.core.calls import Call

UNMARKED = 0
FIRST_ATTEMPT = 1


class KeyState(Enum):
    """State how far a claimed request got."""

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
    """Hold a whole answer for repeated attempts."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    @property
    def size(self) -> int:
        """Return the bytes that headers and body take."""
        headers = sum(len(name) + len(value) for name, value in self.headers)
        return headers + len(self.body)


@dataclass(frozen=True, slots=True)
class KeyedRequest:
    """Identify one attempt of a caller under an idempotency key.

    ``digest`` stands for the request's content. ``attempt`` is the caller's number
    of the attempt, or ``UNMARKED``. ``call_id`` is shared by the tries that
    daemons make for the one attempt.
    """

    service: str
    key: str
    digest: str
    attempt: int
    call_id: str

    def may_follow(self, refused: KeyedRequest) -> bool:
        """Tell whether this attempt may run after ``refused`` did not run.

        A marked attempt that did not run may have been told so; an earlier or
        unmarked attempt that arrives after it must not run any more.
        """
        if self.call_id == refused.call_id or refused.attempt == UNMARKED:
            return True
        return self.attempt > refused.attempt


@dataclass(frozen=True, slots=True)
class Outcome:
    """State what the owner of a claim knows of it."""

    state: KeyState
    answer: StoredAnswer | None = None


def compute_request_digest(call: Call) -> str:
    """Return a digest of what a key stands for: method, target and body."""
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
    """Return what a repeated attempt is given for a final or running outcome."""
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
    """Return the refusal as a caller with a key may be told it.

    A refusal speaks of one attempt. The caller reads "not run" as a statement
    about its key, which holds for a first attempt, or where the key was checked.
    """
    if refusal.ran is not Ran.NO or attempt == FIRST_ATTEMPT:
        return refusal
    if attempt != UNMARKED and refusal.key_checked:
        return refusal
    return replace(refusal, ran_override=Ran.UNKNOWN)
