"""Conversion between outcomes of idempotency keys and protobuf messages."""

from __future__ import annotations

from flamingohead.core.idempotency import KeyedRequest, KeyState, Outcome, StoredAnswer
from flamingohead.core.ledger import LedgerEntry
from flamingohead.protocol import peers_pb2 as pb
from flamingohead.protocol.codec import CodecError


def encode_outcome(outcome: Outcome, digest: str = "") -> pb.OutcomeReply:
    reply = pb.OutcomeReply(outcome=outcome.state.value, digest=digest)
    if outcome.answer is not None:
        reply.status = outcome.answer.status
        reply.body = outcome.answer.body
        for name, value in outcome.answer.headers:
            reply.headers.add(name=name, value=value)
    return reply


def decode_outcome(message: pb.OutcomeReply) -> Outcome:
    try:
        state = KeyState(message.outcome)
    except ValueError as error:
        raise CodecError(str(error)) from error
    if state is not KeyState.DONE:
        return Outcome(state)
    headers = tuple((header.name, header.value) for header in message.headers)
    return Outcome(state, StoredAnswer(message.status, headers, message.body))


def encode_entry(entry: LedgerEntry, now: float) -> pb.KeptOutcome:
    """Encode an entry; the message contains its remaining time, not its deadline."""
    request = entry.request
    return pb.KeptOutcome(
        service=request.service,
        key=request.key,
        nonce=entry.nonce,
        attempt=request.attempt,
        call_id=request.call_id,
        remaining_ms=max(0, round((entry.expires_at - now) * 1000)),
        outcome=encode_outcome(entry.outcome, request.digest),
    )


def decode_entry(message: pb.KeptOutcome, now: float) -> LedgerEntry:
    """Decode an entry received from another daemon; raise ``CodecError``."""
    outcome = decode_outcome(message.outcome)
    if not outcome.state.is_final:
        raise CodecError(f"outcome {outcome.state.value!r} is not final")
    request = KeyedRequest(
        message.service,
        message.key,
        message.outcome.digest,
        message.attempt,
        message.call_id,
    )
    expires_at = now + message.remaining_ms / 1000
    return LedgerEntry(
        request, message.nonce, expires_at, outcome.state, outcome.answer
    )
