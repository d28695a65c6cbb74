"""Scoped keys: forwarding of attempts to the home of the key, and execution there."""

from __future__ import annotations

import asyncio
import hashlib
import json
import logging
import secrets
import time
from dataclasses import replace
from typing import TYPE_CHECKING

from flamingohead.core.errors import ErrorKind, ExecutionStatus, Refusal
from flamingohead.core.idempotency import (
    FIRST_ATTEMPT,
    KeyState,
    StoredAnswer,
    compute_request_digest,
    describe_outcome,
    read_keyed_request,
)
from flamingohead.core.ledger import KeyLedger, LedgerEntry, LedgerSettings
from flamingohead.core.members import MemberStatus
from flamingohead.core.scopes import Scope, look_up_scoped, read_scope
from flamingohead.protocol import peers_pb2 as pb
from flamingohead.services.http_messages import OutgoingRequest
from flamingohead.services.key_runs import KeyExecutor
from flamingohead.services.relay import RelaySink, build_home_headers

if TYPE_CHECKING:
    from flamingohead.core.calls import Call
    from flamingohead.core.idempotency import KeyedRequest
    from flamingohead.kernel import Kernel
    from flamingohead.services.http_response import ServerResponse

logger = logging.getLogger(__name__)

EXPIRY_PERIOD_SECONDS = 1.0

# Seconds that entries are retained after their scope expires, so that late retries
# still get the outcome.
RETENTION_SECONDS = 60.0


class ScopeService:
    """Issue scopes, and execute requests whose keys were made from them."""

    def __init__(
        self,
        kernel: Kernel,
        *,
        lifetime: float,
        secret: str,
        stop_timeout: float,
        limits: LedgerSettings,
    ) -> None:
        self._kernel = kernel
        self._lifetime = lifetime
        self._secret = hashlib.sha256(b"key scope\0" + secret.encode()).digest()
        self._stop_timeout = stop_timeout
        self._task: asyncio.Task | None = None
        self.ledger = KeyLedger(limits)
        self.executor = KeyExecutor(self.ledger)

    async def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._run_expiry_loop())

    async def stop(self) -> None:
        """Wait for running requests, then hand their outcomes over to peers."""
        self._task.cancel()
        unfinished = await self.executor.drain(self._stop_timeout)
        self._kernel.get("metrics").count("key.stop.left", unfinished)
        await self._kernel.get("outcomes").hand_over(self.ledger)

    def issue_scope(self, response: ServerResponse) -> Refusal | None:
        """Respond to a request for a scope, unless this daemon is stopping."""
        if (
            self._kernel.get("gossip").membership.local_member.status
            is MemberStatus.LEFT
        ):
            return Refusal(ErrorKind.DRAINING, "this daemon stops; ask another one")
        body = {
            "scope": self.build_scope().encode(self._secret),
            "expires_in_ms": round(self._lifetime * 1000),
        }
        headers = [(b"content-type", b"application/json")]
        headers.append((b"cache-control", b"no-store"))
        response.send(200, headers, json.dumps(body).encode())
        return None

    def build_scope(self) -> Scope:
        """Return a new scope of this daemon."""
        local_member = self._kernel.get("gossip").membership.local_member
        return Scope(
            local_member.host_id,
            local_member.relay_address,
            self._kernel.get("keys").ledger_id,
            int(time.monotonic() + self._lifetime),
        )

    # Any daemon

    async def serve(self, call: Call, response: ServerResponse) -> Refusal | None:
        """Serve a call with a scoped key; return ``None`` after a response."""
        scope = read_scope(call.key, self._secret)
        if isinstance(scope, Refusal):
            return scope
        local_member = self._kernel.get("gossip").membership.local_member
        if scope.relay_address == local_member.relay_address:
            return await self.serve_as_home(call, response)
        sink = RelaySink(response)
        refusal = await self._kernel.get("http_client").send(
            scope.relay_address, self._build_home_request(call), sink, fresh=True
        )
        if refusal is None:
            refusal = sink.refusal
        elif refusal.kind is ErrorKind.UPSTREAM_UNREACHABLE:
            return await self._respond_without_home(scope, call, response)
        elif refusal.ran is ExecutionStatus.UNKNOWN:
            refusal = Refusal(ErrorKind.HOST_CUT, refusal.detail)
        return refusal

    def _build_home_request(self, call: Call) -> OutgoingRequest:
        headers = build_home_headers(call, time.monotonic())
        return OutgoingRequest(
            call.method, call.target, headers, call.body, call.deadline
        )

    async def _respond_without_home(
        self, scope: Scope, call: Call, response: ServerResponse
    ) -> Refusal | None:
        if call.attempt != FIRST_ATTEMPT:
            digest = compute_request_digest(call)
            request = pb.OutcomeRequest(
                service=call.service, key=call.key, digest=digest
            )
            outcome = await self._kernel.get("outcomes").query_successors(
                scope.ledger_id, scope.host_id, request
            )
            if outcome.state is not KeyState.UNKNOWN:
                return _send_result(describe_outcome(outcome), response)
        ran = ExecutionStatus.NO if call.attempt == FIRST_ATTEMPT else None
        detail = f"{scope.host_id} can't be reached"
        return Refusal(ErrorKind.KEY_HOME_UNREACHABLE, detail, ran_override=ran)

    # The home of a key

    async def serve_as_home(
        self, call: Call, response: ServerResponse
    ) -> Refusal | None:
        """Execute a call if this daemon is the home of its key."""
        scope = read_scope(call.key, self._secret)
        if isinstance(scope, Refusal):
            return scope
        request = read_keyed_request(call)
        known = await self._await_known_result(scope, request, call.deadline)
        if known is None:
            known = self.ledger.add_entry(
                request, secrets.token_hex(16), scope.expires_at + RETENTION_SECONDS
            )
        if not isinstance(known, LedgerEntry):
            return _send_result(known, response)
        attempts = self._kernel.get("attempts")
        claimed = replace(call, claimed=True)
        return await self.executor.run(
            known,
            call.deadline,
            response,
            lambda recording: attempts.serve(claimed, recording),
        )

    async def _await_known_result(
        self, scope: Scope, request: KeyedRequest, deadline: float
    ) -> StoredAnswer | Refusal | None:
        known = self._find_known_result(scope, request)
        while isinstance(known, LedgerEntry):
            self._kernel.get("metrics").count("key.attached")
            outcome = await self.executor.wait(known, deadline)
            if not outcome.state.is_final:
                return describe_outcome(outcome)
            known = self._find_known_result(scope, request)
        return known

    def _find_known_result(
        self, scope: Scope, request: KeyedRequest
    ) -> LedgerEntry | StoredAnswer | Refusal | None:
        ledger_id = self._kernel.get("keys").ledger_id
        return look_up_scoped(self.ledger, ledger_id, scope, request, time.monotonic())

    async def _run_expiry_loop(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_PERIOD_SECONDS)
            self.ledger.expire(time.monotonic())
            metrics = self._kernel.get("metrics")
            metrics.set_gauge("key.scoped_entries", len(self.ledger))
            metrics.set_gauge("key.scoped_answer_bytes", self.ledger.answer_bytes)


def _send_result(
    known: StoredAnswer | Refusal, response: ServerResponse
) -> Refusal | None:
    if isinstance(known, Refusal):
        return known
    response.send(known.status, list(known.headers), known.body)
    return None
