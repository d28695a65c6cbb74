"""Claims of keys chosen by callers, made by conditional writes of one row.

The daemon that inserts the row of a key owns the claim, and only it may run the
request. A claim is transferred only after its owner has confirmed, on request, that it
did not and will not run the request. If the owner is unresponsive, lost or restarted,
the outcome is unknown. The protocol depends neither on leases nor on how long an owner
takes.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from flamingohead.core.errors import ErrorKind, ExecutionStatus, Refusal
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
    """Identify the only attempt that may run; ``expires_at`` is in epoch seconds."""

    request: KeyedRequest
    host_id: str
    peer_address: str
    ledger_id: str
    nonce: str
    expires_at: float


@dataclass(frozen=True, slots=True)
class ClaimRow:
    """Pair a claim read from the table with the tag for conditional writes."""

    claim: Claim
    tag: str


@dataclass(frozen=True, slots=True)
class InsertClaim:
    """Request the conditional insert of a row."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class ReadClaim:
    """Request the row of a key."""

    request: KeyedRequest


@dataclass(frozen=True, slots=True)
class QueryOwner:
    """Request the outcome of a claim from its owner."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class ReplaceClaim:
    """Request the replacement of a row if its tag is still ``tag``."""

    claim: Claim
    tag: str


@dataclass(frozen=True, slots=True)
class RunClaim:
    """Permit the only execution of a request under its key."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class AnswerAttempt:
    """End an attempt with a stored response or a refusal."""

    result: StoredAnswer | Refusal


ClaimEffect = (
    InsertClaim | ReadClaim | QueryOwner | ReplaceClaim | RunClaim | AnswerAttempt
)


def look_up_claimed(
    ledger: KeyLedger, request: KeyedRequest
) -> LedgerEntry | StoredAnswer | Refusal | None:
    """Look up a key in this process; ``None`` means that the table must be read.

    A local "not run" is not final: the claim may have been transferred to another
    owner since.
    """
    known = ledger.look_up(request)
    if isinstance(known, Refusal) and known.kind is ErrorKind.KEY_SUPERSEDED:
        return None
    return known


class ClaimAttempt:
    """Drive one attempt from its key to a run, a stored response or a refusal.

    Each method that handles an event returns the next effect; ``RunClaim`` and
    ``AnswerAttempt`` are final. The ledger must have an entry for the claim's nonce.
    """

    def __init__(self, ledger: KeyLedger, claim: Claim) -> None:
        self._ledger = ledger
        self._claim = claim
        self._row: ClaimRow | None = None
        self._inserted = False
        self._replacements = 0

    def begin(self, *, known_locally: bool) -> ClaimEffect:
        """Return the first effect; ``known_locally`` if the ledger has the key."""
        if known_locally:
            return ReadClaim(self._claim.request)
        return self._insert()

    def receive_write(self, written: bool | Refusal) -> ClaimEffect:
        """Handle the result of an insert or a replacement."""
        if written is True:
            return self._run()
        return ReadClaim(self._claim.request)

    def receive_row(self, row: ClaimRow | None | Refusal) -> ClaimEffect:
        """Handle the row of the key, or ``None`` if there is none."""
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
            return self._finish(Refusal(ErrorKind.KEY_REUSED, detail))
        if self._row is not None and row.claim.nonce == self._row.claim.nonce:
            return self._refuse_unavailable("the claim is not replaced yet")
        self._row = row
        return QueryOwner(row.claim)

    def receive_outcome(self, outcome: Outcome | Refusal) -> ClaimEffect:
        """Handle the reply of the row's owner, or the failure to reach it."""
        if isinstance(outcome, Refusal):
            detail = f"{self._row.claim.host_id} can't be asked"
            return self._finish(Refusal(ErrorKind.KEY_OUTCOME_UNKNOWN, detail))
        claimed_request = self._row.claim.request
        if outcome.state is not KeyState.NOT_RUN:
            return self._finish(describe_outcome(outcome))
        if not self._claim.request.may_run_after(claimed_request):
            return self._finish(describe_outcome(outcome))
        if self._replacements == MAX_REPLACEMENTS:
            return self._finish(
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
        ran = ExecutionStatus.NO if first else None
        return self._finish(
            Refusal(ErrorKind.CLAIM_UNAVAILABLE, detail, ran_override=ran)
        )

    def _finish(self, result: StoredAnswer | Refusal) -> AnswerAttempt:
        self._ledger.mark_not_run(self._claim.nonce)
        return AnswerAttempt(result)
