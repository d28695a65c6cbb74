"""At-most-once execution of requests with caller-made keys, by claims in the table."""

from __future__ import annotations

import asyncio
import secrets
import time
from random import Random
from typing import TYPE_CHECKING

from flamingohead.core.claims import (
    AnswerAttempt,
    Claim,
    ClaimAttempt,
    InsertClaim,
    QueryOwner,
    ReadClaim,
    ReplaceClaim,
    RunClaim,
    look_up_claimed,
)
from flamingohead.core.errors import ErrorKind, ExecutionStatus, Refusal
from flamingohead.core.idempotency import (
    FIRST_ATTEMPT,
    KeyState,
    Outcome,
    StoredAnswer,
    describe_outcome,
    read_keyed_request,
)
from flamingohead.core.ledger import KeyLedger, LedgerEntry, LedgerSettings
from flamingohead.services.claim_rows import ClaimRows
from flamingohead.services.key_runs import KeyExecutor

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingohead.core.calls import Call
    from flamingohead.core.claims import ClaimEffect
    from flamingohead.core.idempotency import KeyedRequest
    from flamingohead.kernel import Kernel
    from flamingohead.services.http_response import ServerResponse
    from flamingohead.services.key_runs import RequestHandler

EXPIRY_PERIOD_SECONDS = 1.0
SWEEP_PERIOD_SECONDS = 10.0
DELETE_CONCURRENCY = 4


class KeyService:
    """Claim keys before requests are executed, and respond to repeated attempts."""

    def __init__(
        self,
        kernel: Kernel,
        *,
        key_lifetime: float,
        claim_limit: int,
        stop_timeout: float,
        limits: LedgerSettings,
        random: Random,
    ) -> None:
        self._kernel = kernel
        self._lifetime = key_lifetime
        self._claim_limit = claim_limit
        self._stop_timeout = stop_timeout
        self._random = random
        self._rows = ClaimRows(kernel.get("table"))
        self._pending_claims = 0
        self._claims: dict[str, Claim] = {}
        self._tasks: list[asyncio.Task] = []
        self._deletes = asyncio.Semaphore(DELETE_CONCURRENCY)
        self.ledger_id = secrets.token_hex(8)
        self.ledger = KeyLedger(limits)
        self.executor = KeyExecutor(self.ledger)

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._run_expiry_loop()),
            loop.create_task(self._run_sweep_loop()),
        ]

    async def stop(self) -> None:
        """Wait for running requests, then hand their outcomes over to peers."""
        for task in self._tasks:
            task.cancel()
        unfinished = await self.executor.drain(self._stop_timeout)
        self._kernel.get("metrics").count("key.stop.left", unfinished)
        await self._kernel.get("outcomes").hand_over(self.ledger)

    # Calls

    async def execute_once(
        self,
        call: Call,
        response: ServerResponse,
        handler: RequestHandler,
        *,
        check: Callable[[], Refusal | None] | None = None,
    ) -> Refusal | None:
        """Execute a keyed call unless an attempt with its key may have been executed.

        ``check`` may refuse the call before its claim is written. The result is
        ``None`` after a response.
        """
        request = read_keyed_request(call)
        known = await self._await_known_result(request, call.deadline)
        if known is None:
            known = self._check_limits(request, check)
        if known is None:
            known = await self._claim(request, call.deadline)
        if isinstance(known, LedgerEntry):
            return await self.executor.run(known, call.deadline, response, handler)
        if isinstance(known, Refusal):
            return known
        self._kernel.get("metrics").count("key.repeated")
        response.send(known.status, list(known.headers), known.body)
        return None

    async def _await_known_result(
        self, request: KeyedRequest, deadline: float
    ) -> StoredAnswer | Refusal | None:
        known = look_up_claimed(self.ledger, request)
        while isinstance(known, LedgerEntry):
            self._kernel.get("metrics").count("key.attached")
            outcome = await self.executor.wait(known, deadline)
            if not outcome.state.is_final:
                return describe_outcome(outcome)
            known = look_up_claimed(self.ledger, request)
        return known

    def _check_limits(
        self, request: KeyedRequest, check: Callable[[], Refusal | None] | None
    ) -> Refusal | None:
        if self._pending_claims >= self._claim_limit:
            ran = ExecutionStatus.NO if request.attempt == FIRST_ATTEMPT else None
            detail = "too many claims wait for the table"
            return Refusal(ErrorKind.CLAIM_UNAVAILABLE, detail, ran_override=ran)
        return check() if check is not None else None

    async def _claim(
        self, request: KeyedRequest, deadline: float
    ) -> LedgerEntry | StoredAnswer | Refusal:
        known_locally = self.ledger.find(request.service, request.key) is not None
        claim = self._build_claim(request)
        entry = self.ledger.add_entry(
            request, claim.nonce, time.monotonic() + self._lifetime
        )
        if isinstance(entry, Refusal):
            return entry
        self._pending_claims += 1
        try:
            return await self._run_claim_attempt(
                entry, claim, deadline, known_locally=known_locally
            )
        finally:
            self._pending_claims -= 1

    async def _run_claim_attempt(
        self, entry: LedgerEntry, claim: Claim, deadline: float, *, known_locally: bool
    ) -> LedgerEntry | StoredAnswer | Refusal:
        attempt = ClaimAttempt(self.ledger, claim)
        granted = False
        try:
            effect = attempt.begin(known_locally=known_locally)
            while not isinstance(effect, RunClaim | AnswerAttempt):
                effect = await self._perform(attempt, effect, deadline)
            granted = isinstance(effect, RunClaim)
        finally:
            if not granted:
                self.ledger.mark_not_run(entry.nonce)
                self.executor.wake_waiters(entry)
        if not granted:
            return effect.result
        self._kernel.get("metrics").count("key.claimed")
        self._claims[entry.nonce] = effect.claim
        return entry

    async def _perform(
        self, attempt: ClaimAttempt, effect: ClaimEffect, deadline: float
    ) -> ClaimEffect:
        if isinstance(effect, InsertClaim):
            return attempt.receive_write(await self._rows.insert(effect.claim))
        if isinstance(effect, ReplaceClaim):
            self._kernel.get("metrics").count("key.taken_over")
            written = await self._rows.replace(effect.claim, effect.tag)
            return attempt.receive_write(written)
        if isinstance(effect, ReadClaim):
            return attempt.receive_row(await self._rows.read(effect.request))
        return attempt.receive_outcome(await self._query_owner(effect, deadline))

    def _build_claim(self, request: KeyedRequest) -> Claim:
        local_member = self._kernel.get("gossip").membership.local_member
        return Claim(
            request=request,
            host_id=local_member.host_id,
            peer_address=local_member.peer_address,
            ledger_id=self.ledger_id,
            nonce=secrets.token_hex(16),
            expires_at=time.time() + self._lifetime,
        )

    # Outcomes

    async def _query_owner(
        self, effect: QueryOwner, deadline: float
    ) -> Outcome | Refusal:
        claim = effect.claim
        if claim.ledger_id == self.ledger_id:
            return await self._wait_for_local_outcome(claim, deadline)
        return await self._kernel.get("outcomes").query_owner(claim, deadline)

    async def _wait_for_local_outcome(self, claim: Claim, deadline: float) -> Outcome:
        request = claim.request
        entry = self.ledger.fetch(request.service, request.key, claim.nonce)
        if entry is None:
            return Outcome(KeyState.UNKNOWN)
        return await self.executor.wait(entry, deadline)

    # Expiry

    async def _run_expiry_loop(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_PERIOD_SECONDS)
            now = time.monotonic()
            self._kernel.get("outcomes").adopted.expire(now)
            claims = [
                self._claims.pop(entry.nonce, None) for entry in self.ledger.expire(now)
            ]
            await asyncio.gather(*(self._delete(claim) for claim in claims if claim))
            metrics = self._kernel.get("metrics")
            metrics.set_gauge("key.entries", len(self.ledger))
            metrics.set_gauge("key.answer_bytes", self.ledger.answer_bytes)

    async def _delete(self, claim: Claim) -> None:
        async with self._deletes:
            await self._rows.delete(claim)

    async def _run_sweep_loop(self) -> None:
        while True:
            members = self._kernel.get("gossip").membership.count_members()
            period = SWEEP_PERIOD_SECONDS * max(1, members)
            await asyncio.sleep(self._random.uniform(0.5, 1.5) * period)
            deleted = await self._rows.sweep(f"{self._random.getrandbits(64):016x}")
            self._kernel.get("metrics").count("key.swept", deleted)
