"""Outcomes of keys: queries to their owners, and the hand-over at a graceful stop."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.idempotency import KeyState, Outcome
from flamingohead.core.ledger import KeyLedger, LedgerEntry, LedgerSettings
from flamingohead.core.scopes import rank_successors
from flamingohead.events import Event, log_event
from flamingohead.protocol import key_codec, peers_pb2 as pb
from flamingohead.protocol.codec import CodecError

if TYPE_CHECKING:
    from flamingohead.core.claims import Claim
    from flamingohead.kernel import Kernel

logger = logging.getLogger(__name__)

QUERY_MARGIN_SECONDS = 0.5
HAND_OVER_TIMEOUT_SECONDS = 2.0
MAX_HAND_OVER_BYTES = 4 * 1024 * 1024


class OutcomeService:
    """Query other daemons for outcomes, and keep those of daemons that stopped."""

    def __init__(self, kernel: Kernel, limits: LedgerSettings) -> None:
        self._kernel = kernel
        self.adopted = KeyLedger(limits)

    async def start(self) -> None:
        pass

    async def stop(self) -> None:
        pass

    # Outgoing queries

    async def query_owner(self, claim: Claim, deadline: float) -> Outcome | Refusal:
        """Query the owner of a claim, or else its successors, for the outcome."""
        remaining = max(0.0, deadline - time.monotonic())
        request = pb.OutcomeRequest(
            service=claim.request.service,
            key=claim.request.key,
            nonce=claim.nonce,
            wait_ms=round(remaining * 1000),
        )
        outcome = await self._query(claim.peer_address, request)
        if isinstance(outcome, Refusal) or outcome.state is KeyState.UNKNOWN:
            return await self.query_successors(claim.ledger_id, claim.host_id, request)
        return outcome

    async def query_successors(
        self, ledger_id: str, host_id: str, request: pb.OutcomeRequest
    ) -> Outcome:
        """Query the daemons that may have taken over the outcomes of a stopped one."""
        adopted = self._find_adopted(request)
        if adopted is not None:
            return adopted.outcome
        members = self._kernel.get("gossip").membership.list_usable()
        addresses = {
            member.host_id: member.peer_address
            for member in members
            if member.host_id != host_id
        }
        immediate = pb.OutcomeRequest()
        immediate.CopyFrom(request)
        immediate.wait_ms = 0
        for successor in rank_successors(ledger_id, addresses):
            outcome = await self._query(addresses[successor], immediate)
            if isinstance(outcome, Outcome) and outcome.state is not KeyState.UNKNOWN:
                return outcome
        return Outcome(KeyState.UNKNOWN)

    async def _query(
        self, address: str, request: pb.OutcomeRequest
    ) -> Outcome | Refusal:
        reply = await self._kernel.get("peers").call(
            address,
            "FetchOutcome",
            request,
            timeout=request.wait_ms / 1000 + QUERY_MARGIN_SECONDS,
        )
        if isinstance(reply, Refusal):
            return reply
        try:
            return key_codec.decode_outcome(reply)
        except CodecError as error:
            return Refusal(ErrorKind.KEY_OUTCOME_UNKNOWN, str(error))

    # Incoming queries

    async def fetch(self, request: pb.OutcomeRequest) -> Outcome:
        """Return the outcome of a claim once it is final or the requested wait ends."""
        keys = self._kernel.get("keys")
        entry = keys.ledger.fetch(request.service, request.key, request.nonce)
        if entry is not None:
            deadline = time.monotonic() + request.wait_ms / 1000
            return await keys.executor.wait(entry, deadline)
        entry = self._find_adopted(request)
        return Outcome(KeyState.UNKNOWN) if entry is None else entry.outcome

    def _find_adopted(self, request: pb.OutcomeRequest) -> LedgerEntry | None:
        identity = (request.service, request.key)
        if request.nonce:
            return self.adopted.fetch(*identity, request.nonce)
        entry = self.adopted.find(*identity)
        if entry is None or entry.request.digest != request.digest:
            return None
        return entry

    # Hand-over

    async def hand_over(self, ledger: KeyLedger) -> None:
        """Send the final outcomes of a ledger to its successors."""
        membership = self._kernel.get("gossip").membership
        addresses = {m.host_id: m.peer_address for m in membership.list_usable()}
        request = self._build_hand_over(ledger)
        if not request.outcomes or not addresses:
            return
        for successor in rank_successors(self._kernel.get("keys").ledger_id, addresses):
            reply = await self._kernel.get("peers").call(
                addresses[successor],
                "HandOver",
                request,
                timeout=HAND_OVER_TIMEOUT_SECONDS,
            )
            kept = 0 if isinstance(reply, Refusal) else reply.kept
            log_event(
                logger,
                Event.OUTCOMES_HANDED_OVER,
                peer=successor,
                sent=len(request.outcomes),
                kept=kept,
            )

    def _build_hand_over(self, ledger: KeyLedger) -> pb.HandOverRequest:
        request = pb.HandOverRequest()
        now = time.monotonic()
        size = 0
        for entry in ledger.list_final():
            message = key_codec.encode_entry(entry, now)
            size += message.ByteSize()
            if size > MAX_HAND_OVER_BYTES:
                self._kernel.get("metrics").count("key.hand_over.dropped")
                continue
            request.outcomes.append(message)
        return request

    def adopt(self, request: pb.HandOverRequest) -> int:
        """Keep the outcomes of a daemon that stops; return how many were kept."""
        now = time.monotonic()
        kept = 0
        for message in request.outcomes:
            try:
                entry = key_codec.decode_entry(message, now)
            except CodecError as error:
                log_event(logger, Event.OUTCOME_MALFORMED, error=error)
                continue
            kept += self.adopted.adopt(entry)
        return kept
