"""Claims of caller-made keys by conditional writes of one row.

The daemon that inserts the row of a key owns the claim and alone may run it. A
claim moves on only after its owner, asked, has promised that it did not and will
not run it; a silent, lost or restarted owner leaves the outcome unknown. Nothing
rests on a lease or on the time that an owner took.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from flamingohead.core.errors import ErrorKind, Ran, Refusal
from flamingohead.core.idempotency import (
    FIRST_ATTEMPT,
    KeyedRequest,
    KeyState,
    Outcome,
    StoredAnswer,
    describe_outcome,
)
from flamingohead.core.ledger import KeyLedger, LedgerEntry

MAX_REPLACEMENTS = 3


@dataclass(frozen=True, slots=True)
class Claim:
    """Name the attempt that may run a key; ``expires_at`` in epoch seconds."""

    request: KeyedRequest
    host_id: str
    peer_address: str
    ledger_id: str
    nonce: str
    expires_at: float


@dataclass(frozen=True, slots=True)
class ClaimRow:
    """Hold a claim as read from the table, with the tag of the row's state."""

    claim: Claim
    tag: str


@dataclass(frozen=True, slots=True)
class InsertClaim:
    """Ask for the conditional insert of a row."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class ReadClaim:
    """Ask for the row of a key."""

    request: KeyedRequest


@dataclass(frozen=True, slots=True)
class AskOwner:
    """Ask the owner of a claim for its outcome."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class ReplaceClaim:
    """Ask for the replacement of a row whose tag is ``tag``."""

    claim: Claim
    tag: str


@dataclass(frozen=True, slots=True)
class RunClaim:
    """Grant the one execution of a key."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class AnswerAttempt:
    """End an attempt with an answer kept or a refusal."""

    result: StoredAnswer | Refusal


ClaimEffect = (
    InsertClaim | ReadClaim | AskOwner | ReplaceClaim | RunClaim | AnswerAttempt
)


def meet_claimed(
    ledger: KeyLedger, request: KeyedRequest
) -> LedgerEntry | StoredAnswer | Refusal | None:
    """Return what this process knows of a key; ``None`` means to ask the table.

    The claim of an attempt that did not run here may have moved to another owner.
    """
    known = ledger.meet(request)
    if isinstance(known, Refusal) and known.kind is ErrorKind.KEY_SUPERSEDED:
        return None
    return known


class ClaimAttempt:
    """Take one attempt from its key to a run, a kept answer or a refusal.

    Each method that takes an event returns the next effect; ``RunClaim`` and
    ``AnswerAttempt`` end it. The ledger has an entry for the claim's nonce.
    """

    def __init__(self, ledger: KeyLedger, claim: Claim) -> None:
        self._ledger = ledger
        self._claim = claim
        self._row: ClaimRow | None = None
        self._inserted = False
        self._replacements = 0

    def begin(self, *, seen: bool) -> ClaimEffect:
        """Start; ``seen`` if this process has met the key before."""
        if seen:
            return ReadClaim(self._claim.request)
        return self._insert()

    def receive_write(self, written: bool | Refusal) -> ClaimEffect:
        """Take the result of an insert or a replacement."""
        if written is True:
            return self._run()
        return ReadClaim(self._claim.request)

    def receive_row(self, row: ClaimRow | None | Refusal) -> ClaimEffect:
        """Take the row of the key."""
        if isinstance(row, Refusal):
            return self._refuse_unavailable("the table can't be asked about the key")
        if row is None and not self._inserted:
            return self._insert()
        if row is None:
            return self._refuse_unavailable("the claim is not written yet")
        if row.claim.nonce == self._claim.nonce:
            return self._run()
        if row.claim.request.digest != self._claim.request.digest:
            detail = "the key was used for another request"
            return self._end(Refusal(ErrorKind.KEY_REUSED, detail))
        if self._row is not None and row.claim.nonce == self._row.claim.nonce:
            return self._refuse_unavailable("the claim is not replaced yet")
        self._row = row
        return AskOwner(row.claim)

    def receive_outcome(self, outcome: Outcome | Refusal) -> ClaimEffect:
        """Take what the owner of the row said, or that it can't be asked."""
        if isinstance(outcome, Refusal):
            detail = f"{self._row.claim.host_id} can't be asked"
            return self._end(Refusal(ErrorKind.KEY_OUTCOME_UNKNOWN, detail))
        earlier = self._row.claim.request
        if outcome.state is not KeyState.NOT_RUN:
            return self._end(describe_outcome(outcome))
        if not self._claim.request.may_follow(earlier):
            return self._end(describe_outcome(outcome))
        if self._replacements == MAX_REPLACEMENTS:
            return self._end(
                Refusal(ErrorKind.KEY_IN_PROGRESS, "other attempts race for the key")
            )
        return self._replace()

    def _insert(self) -> InsertClaim:
        self._inserted = True
        return InsertClaim(self._claim)

    def _replace(self) -> ReplaceClaim:
        self._replacements += 1
        expires_at = self._row.claim.expires_at
        self._claim = replace(self._claim, expires_at=expires_at)
        return ReplaceClaim(self._claim, self._row.tag)

    def _run(self) -> RunClaim:
        return RunClaim(self._claim)

    def _refuse_unavailable(self, detail: str) -> AnswerAttempt:
        first = self._claim.request.attempt == FIRST_ATTEMPT
        ran = Ran.NO if first else None
        return self._end(Refusal(ErrorKind.CLAIM_UNAVAILABLE, detail, ran_override=ran))

    def _end(self, result: StoredAnswer | Refusal) -> AnswerAttempt:
        self._ledger.refuse(self._claim.nonce)
        return AnswerAttempt(result)
