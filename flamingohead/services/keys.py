"""Claims of idempotency keys in the table, and the answers kept for them."""

from __future__ import annotations

import hashlib
import json
import logging
import secrets
import time
from dataclasses import asdict
from typing import TYPE_CHECKING

from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.idempotency import Claim, KeyLedger, KeyState, StoredAnswer
from flamingohead.protocol import peers_pb2 as pb
from flamingohead.services.dispatch import AnswerRelay

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from flamingohead.core.calls import Call
    from flamingohead.kernel import Kernel
    from flamingohead.services.http_server import ServerResponse

logger = logging.getLogger(__name__)

CLAIM_PREFIX = "claims/"


class KeyService:
    """Claim keys before a request runs and answer repeated attempts."""

    def __init__(self, kernel: Kernel, *, key_lifetime: float) -> None:
        self._kernel = kernel
        self._lifetime = key_lifetime
        self.ledger = KeyLedger()

    async def start(self) -> None:
        pass

    async def stop(self) -> None:
        pass

    def build_claim(self, service: str, key: str) -> Claim:
        """Return a claim of this daemon for a key."""
        myself = self._kernel.get("gossip").membership.myself
        return Claim(
            service=service,
            key=key,
            host_id=myself.host_id,
            peer_address=myself.peer_address,
            incarnation=myself.incarnation,
            nonce=secrets.token_hex(16),
            expires_at=time.time() + self._lifetime,
        )

    async def claim(self, claim: Claim) -> StoredAnswer | Refusal | None:
        """Claim a key; ``None`` means that this attempt alone may run it."""
        known = self.ledger.begin(claim)
        if known is not None:
            return known
        table = self._kernel.get("table")
        row_key = get_claim_key(claim)
        inserted = await table.insert(row_key, json.dumps(asdict(claim)).encode())
        if inserted is True:
            return None
        row = await table.read(row_key)
        if isinstance(row, Refusal) or row is None:
            self.ledger.forget(claim)
            return Refusal(
                ErrorKind.CLAIM_UNAVAILABLE, "the table can't be asked about the key"
            )
        owner = Claim(**json.loads(row.value))
        if owner.nonce == claim.nonce:
            return None
        self.ledger.forget(claim)
        return await self._ask_owner(owner)

    async def run_once(
        self,
        call: Call,
        response: ServerResponse,
        run: Callable[[AnswerRelay], Awaitable[Refusal | None]],
    ) -> Refusal | None:
        """Run a keyed call unless an attempt with its key may have run."""
        claim = self.build_claim(call.service, call.key)
        known = await self.claim(claim)
        if isinstance(known, Refusal):
            return known
        if known is not None:
            response.send(known.status, list(known.headers), known.body)
            return None
        relay = AnswerRelay(response, keep=True)
        self.ledger.mark(claim, KeyState.RUNNING)
        refusal = await run(relay)
        if relay.whole and not relay.not_executed:
            answer = relay.build_stored_answer()
            if answer is None:
                self.ledger.mark(claim, KeyState.UNKNOWN)
            else:
                self.ledger.finish(claim, answer)
        elif refusal is not None and refusal.ran.value == "no":
            self.ledger.mark(claim, KeyState.NOT_RUN)
        else:
            self.ledger.mark(claim, KeyState.UNKNOWN)
        return refusal

    def fetch_outcome(
        self, service: str, key: str, nonce: str
    ) -> StoredAnswer | KeyState:
        """Return what this daemon knows of a claim that it made."""
        entry = self.ledger.fetch(service, key, nonce)
        if entry is None:
            return KeyState.UNKNOWN
        return entry.answer or entry.state

    async def _ask_owner(self, owner: Claim) -> StoredAnswer | Refusal:
        request = pb.OutcomeRequest(
            service=owner.service, key=owner.key, nonce=owner.nonce
        )
        reply = await self._kernel.get("peers").call(
            owner.peer_address, "FetchOutcome", request
        )
        if isinstance(reply, Refusal):
            return Refusal(
                ErrorKind.KEY_OUTCOME_UNKNOWN, f"{owner.host_id} can't be asked"
            )
        if reply.outcome == KeyState.DONE.value:
            headers = tuple((header.name, header.value) for header in reply.headers)
            return StoredAnswer(reply.status, headers, reply.body)
        if reply.outcome in (KeyState.CLAIMING.value, KeyState.RUNNING.value):
            return Refusal(ErrorKind.KEY_IN_PROGRESS, f"running on {owner.host_id}")
        return Refusal(ErrorKind.KEY_OUTCOME_UNKNOWN, f"claimed by {owner.host_id}")


def get_claim_key(claim: Claim) -> str:
    """Return the table key of a claim; bounded whatever the caller's key is."""
    digest = hashlib.sha256(f"{claim.service}\0{claim.key}".encode()).hexdigest()
    return f"{CLAIM_PREFIX}{digest}"
