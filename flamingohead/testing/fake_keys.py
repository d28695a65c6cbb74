"""Simulation of keyed requests: a claim table, failing hosts, an execution journal.

The clock advances only when a test sets it, and every message waits until the test
steps its attempt, so that the test controls each order, loss and delay.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from flamingohead.core.claims import (
    AnswerAttempt,
    Claim,
    ClaimAttempt,
    ClaimEffect,
    ClaimRow,
    InsertClaim,
    QueryOwner,
    ReadClaim,
    RunClaim,
    look_up_claimed,
)
from flamingohead.core.errors import ErrorKind, ExecutionStatus, Refusal
from flamingohead.core.idempotency import (
    KeyedRequest,
    KeyState,
    Outcome,
    StoredAnswer,
)
from flamingohead.core.ledger import KeyLedger, LedgerEntry

SERVICE = "booking"
LOST = Refusal(ErrorKind.PLATFORM_UNAVAILABLE, "no answer")


class Delivery(Enum):
    """Enumerate the delivery outcomes of a message and its response."""

    ANSWERED = "answered"
    ANSWER_LOST = "answer lost"
    LOST = "lost"
    LATE = "late"


class Execution(Enum):
    """Enumerate what may happen to a request at its upstream."""

    ANSWERED = "answered"
    CUT_AFTER = "cut after execution"
    CUT_BEFORE = "cut before execution"
    SHED = "shed"


@dataclass(frozen=True)
class Run:
    """Record one execution: key, content and the attempt's place in sending order."""

    key: str
    content: str
    sequence: int


@dataclass
class FakeTable:
    """Store claim rows; writes may be delayed."""

    outage: bool = False
    rows: dict[str, ClaimRow] = field(default_factory=dict)
    delayed_writes: list[ClaimEffect] = field(default_factory=list)
    writes: int = 0

    def write(self, effect: ClaimEffect, delivery: Delivery) -> bool | Refusal:
        if self.outage or delivery is Delivery.LOST:
            return LOST
        if delivery is Delivery.LATE:
            self.delayed_writes.append(effect)
            return LOST
        written = self.apply(effect)
        return LOST if delivery is Delivery.ANSWER_LOST else written

    def apply(self, effect: ClaimEffect) -> bool:
        claim = effect.claim
        row = self.rows.get(claim.request.key)
        if isinstance(effect, InsertClaim):
            allowed = row is None
        else:
            allowed = row is not None and row.tag == effect.tag
        if allowed:
            self.writes += 1
            self.rows[claim.request.key] = ClaimRow(claim, str(self.writes))
        return allowed

    def read(self, key: str, delivery: Delivery) -> ClaimRow | None | Refusal:
        if self.outage or delivery is not Delivery.ANSWERED:
            return LOST
        return self.rows.get(key)

    def sweep(self, now: float, margin: float) -> None:
        """Delete the rows that expired at least ``margin`` seconds ago."""
        for key, row in list(self.rows.items()):
            if now >= row.claim.expires_at + margin:
                del self.rows[key]


@dataclass
class FakeHost:
    """Simulate the state of one daemon, which a restart loses."""

    host_id: str
    ledger_id: str
    ledger: KeyLedger = field(default_factory=KeyLedger)
    frozen: bool = False
    cut: bool = False


@dataclass
class SentAttempt:
    """Track one attempt of a caller at one host; ``sequence`` is its sending order."""

    request: KeyedRequest
    sequence: int
    host: FakeHost
    timeout: float
    deadline: float = 0.0
    entry: LedgerEntry | None = None
    claim_attempt: ClaimAttempt | None = None
    effect: ClaimEffect | None = None
    planned_outcome: Execution | None = None
    result: StoredAnswer | Refusal | None = None


@dataclass
class KeySimulation:
    """Simulate hosts that share one claim table, and step their attempts."""

    lifetime: float = 100.0
    margin: float = 50.0
    now: float = 0.0
    table: FakeTable = field(default_factory=FakeTable)
    hosts: list[FakeHost] = field(default_factory=list)
    journal: list[Run] = field(default_factory=list)
    _counter: int = 0

    def add_host(self, host_id: str) -> None:
        self.hosts.append(FakeHost(host_id, self._create_id("ledger")))

    def send(
        self,
        host: FakeHost,
        request: KeyedRequest,
        sequence: int,
        *,
        timeout: float = 5.0,
    ) -> SentAttempt:
        """Return an attempt that was sent to a host, which has not processed it yet."""
        return SentAttempt(request, sequence, host, timeout)

    def make_request(
        self, key: str, content: str, attempt: int, call_id: str | None = None
    ) -> KeyedRequest:
        call_id = call_id or self._create_id("call")
        return KeyedRequest(SERVICE, key, content, attempt, call_id)

    def restart(self, host: FakeHost, attempts: list[SentAttempt]) -> None:
        """Clear the state of a host, and cut its unfinished attempts."""
        host.ledger = KeyLedger()
        host.ledger_id = self._create_id("ledger")
        host.frozen = False
        for attempt in attempts:
            if attempt.host is host and attempt.result is None:
                attempt.result = Refusal(ErrorKind.HOST_CUT, host.host_id)

    def step(
        self, attempt: SentAttempt, delivery: Delivery, execution: Execution
    ) -> None:
        """Execute the next step of an attempt, unless its host is frozen."""
        if attempt.host.frozen or attempt.result is not None:
            return
        if attempt.claim_attempt is None:
            self._receive(attempt)
        elif attempt.planned_outcome is not None:
            self._finish_run(attempt)
        elif isinstance(attempt.effect, RunClaim):
            self._start_run(attempt, execution)
        else:
            self._execute_effect(attempt, delivery)

    def _receive(self, attempt: SentAttempt) -> None:
        if self.now >= self.lifetime:
            attempt.result = Refusal(ErrorKind.HOST_CUT, "lost in transit")
            return
        attempt.deadline = self.now + attempt.timeout
        host, request = attempt.host, attempt.request
        existing = look_up_claimed(host.ledger, request)
        if isinstance(existing, LedgerEntry):
            return
        if existing is not None:
            attempt.result = existing
            return
        known_locally = host.ledger.find(request.service, request.key) is not None
        nonce = self._create_id("nonce")
        attempt.entry = host.ledger.add_entry(request, nonce, self.now + self.lifetime)
        claim = Claim(
            request, host.host_id, "", host.ledger_id, nonce, self.now + self.lifetime
        )
        attempt.claim_attempt = ClaimAttempt(host.ledger, claim)
        self._set_effect(
            attempt, attempt.claim_attempt.begin(known_locally=known_locally)
        )

    def _execute_effect(self, attempt: SentAttempt, delivery: Delivery) -> None:
        claim_attempt, effect = attempt.claim_attempt, attempt.effect
        if isinstance(effect, ReadClaim):
            row = self.table.read(effect.request.key, delivery)
            self._set_effect(attempt, claim_attempt.receive_row(row))
        elif isinstance(effect, QueryOwner):
            outcome = self._query_owner(attempt.host, effect.claim, delivery)
            self._set_effect(attempt, claim_attempt.receive_outcome(outcome))
        else:
            written = self.table.write(effect, delivery)
            self._set_effect(attempt, claim_attempt.receive_write(written))

    def _set_effect(self, attempt: SentAttempt, effect: ClaimEffect) -> None:
        attempt.effect = effect
        if isinstance(effect, AnswerAttempt):
            attempt.result = effect.result

    def _query_owner(
        self, requester: FakeHost, claim: Claim, delivery: Delivery
    ) -> Outcome | Refusal:
        owner = next(host for host in self.hosts if host.host_id == claim.host_id)
        unreachable = owner is not requester and (
            owner.frozen or owner.cut or requester.cut
        )
        if unreachable or (
            owner is not requester and delivery is not Delivery.ANSWERED
        ):
            return Refusal(ErrorKind.HOST_UNREACHABLE, owner.host_id)
        request = claim.request
        entry = owner.ledger.fetch(request.service, request.key, claim.nonce)
        return Outcome(KeyState.UNKNOWN) if entry is None else entry.outcome

    def _start_run(self, attempt: SentAttempt, execution: Execution) -> None:
        ledger = attempt.host.ledger
        refusal = ledger.start(attempt.entry.nonce, self.now, attempt.deadline)
        if refusal is not None:
            attempt.result = refusal
            return
        attempt.planned_outcome = execution
        if execution in (Execution.ANSWERED, Execution.CUT_AFTER):
            request = attempt.request
            self.journal.append(Run(request.key, request.digest, attempt.sequence))

    def _finish_run(self, attempt: SentAttempt) -> None:
        ledger, nonce = attempt.host.ledger, attempt.entry.nonce
        if attempt.planned_outcome is Execution.ANSWERED:
            request = attempt.request
            answer = StoredAnswer(200, (), f"{request.key} {request.digest}".encode())
            ledger.finish(nonce, answer)
            attempt.result = answer
        elif attempt.planned_outcome is Execution.SHED:
            ledger.mark_not_run(nonce)
            attempt.result = Refusal(ErrorKind.UPSTREAM_SHED, key_checked=True)
        else:
            ledger.mark_unknown(nonce)
            attempt.result = Refusal(ErrorKind.UPSTREAM_CUT)

    def _create_id(self, kind: str) -> str:
        self._counter += 1
        return f"{kind}-{self._counter}"


def may_retry_at_other_host(result: StoredAnswer | Refusal | None) -> bool:
    """Return whether a daemon may retry the same attempt at another host."""
    return isinstance(result, Refusal) and result.ran is ExecutionStatus.NO
