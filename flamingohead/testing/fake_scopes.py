"""Simulation of scoped keys: homes that restart, and an execution journal."""

from __future__ import annotations

from dataclasses import dataclass, field

from flamingohead.core.errors import ErrorKind, ExecutionStatus, Refusal
from flamingohead.core.idempotency import FIRST_ATTEMPT, KeyedRequest, StoredAnswer
from flamingohead.core.ledger import KeyLedger, LedgerEntry
from flamingohead.core.scopes import Scope, look_up_scoped, read_scope
from flamingohead.testing.fake_keys import SERVICE, Execution, Run

SECRET = b"fake"
TIMEOUT_SECONDS = 5.0
SCOPE_SECONDS = 60
RETENTION_SECONDS = 60.0


@dataclass
class FakeHome:
    """Simulate the state of one home, which a restart loses."""

    number: int
    ledger_id: str
    ledger: KeyLedger = field(default_factory=KeyLedger)
    cut: bool = False


@dataclass
class ScopedAttempt:
    """Track one attempt; ``sequence`` is its sending order among those of its key."""

    request: KeyedRequest
    sequence: int
    home: FakeHome
    scope: Scope
    entry: LedgerEntry | None = None
    planned_outcome: Execution | None = None
    result: StoredAnswer | Refusal | None = None


class ScopedKeySimulation:
    """Simulate homes, and step attempts with scoped keys at them."""

    def __init__(self, count: int) -> None:
        self.now = 0.0
        self.journal: list[Run] = []
        self._counter = 0
        self.homes = [FakeHome(number, self._create_id("")) for number in range(count)]

    def make_key(self, home: int, suffix: str) -> str:
        expires_at = int(self.now) + SCOPE_SECONDS
        scope = Scope(str(home), "", self.homes[home].ledger_id, expires_at)
        return scope.encode(SECRET) + suffix

    def send(self, key: str, number: int, sequence: int) -> ScopedAttempt:
        scope = read_scope(key, SECRET)
        request = KeyedRequest(SERVICE, key, "", number, self._create_id("call"))
        home = self.homes[int(scope.host_id)]
        return ScopedAttempt(request, sequence, home, scope)

    def restart(self, number: int, attempts: list[ScopedAttempt]) -> None:
        """Replace a home by a new process at the same address."""
        home = self.homes[number]
        home.ledger = KeyLedger()
        home.ledger_id = self._create_id("")
        for attempt in attempts:
            if attempt.home is home and attempt.entry is not None:
                attempt.result = Refusal(ErrorKind.HOST_CUT)

    def advance_clock(self, seconds: float) -> None:
        self.now += seconds
        for home in self.homes:
            home.ledger.expire(self.now)

    def step(self, attempt: ScopedAttempt, execution: Execution) -> None:
        """Deliver an attempt to its home, or finish its execution."""
        if attempt.result is not None:
            return
        if attempt.planned_outcome is not None:
            self._finish_run(attempt)
        elif attempt.home.cut:
            ran = (
                ExecutionStatus.NO if attempt.request.attempt == FIRST_ATTEMPT else None
            )
            attempt.result = Refusal(ErrorKind.KEY_HOME_UNREACHABLE, ran_override=ran)
        else:
            self._receive(attempt, execution)

    def _receive(self, attempt: ScopedAttempt, execution: Execution) -> None:
        home, scope, request = attempt.home, attempt.scope, attempt.request
        entry = look_up_scoped(home.ledger, home.ledger_id, scope, request, self.now)
        if isinstance(entry, LedgerEntry):
            return
        if entry is None:
            expires_at = scope.expires_at + RETENTION_SECONDS
            entry = home.ledger.add_entry(request, self._create_id("nonce"), expires_at)
        if not isinstance(entry, LedgerEntry):
            attempt.result = entry
            return
        attempt.entry = entry
        refusal = home.ledger.start(entry.nonce, self.now, self.now + TIMEOUT_SECONDS)
        if refusal is not None:
            attempt.result = refusal
            return
        attempt.planned_outcome = execution
        if execution in (Execution.ANSWERED, Execution.CUT_AFTER):
            self.journal.append(Run(request.key, "", attempt.sequence))

    def _finish_run(self, attempt: ScopedAttempt) -> None:
        ledger, nonce = attempt.home.ledger, attempt.entry.nonce
        if attempt.planned_outcome is Execution.ANSWERED:
            attempt.result = StoredAnswer(200, (), attempt.request.key.encode())
            ledger.finish(nonce, attempt.result)
        elif attempt.planned_outcome is Execution.SHED:
            ledger.mark_not_run(nonce)
            attempt.result = Refusal(ErrorKind.UPSTREAM_SHED, key_checked=True)
        else:
            ledger.mark_unknown(nonce)
            attempt.result = Refusal(ErrorKind.UPSTREAM_CUT)

    def _create_id(self, kind: str) -> str:
        self._counter += 1
        return f"{kind}{self._counter}"
