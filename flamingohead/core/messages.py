"""Messages that daemons exchange in datagrams, and estimates of their sizes."""

from __future__ import annotations

from dataclasses import dataclass

from flamingohead.core.members import Member
from flamingohead.core.organisations.messages import QuotaGrant, QuotaRequest
from flamingohead.core.summaries import SummaryReply, SummaryRequest
from flamingohead.core.versions import VersionRecord


@dataclass(frozen=True)
class Ping:
    """Request an acknowledgement from the receiver."""


@dataclass(frozen=True)
class PingRequest:
    """Request that the receiver probe the member at address ``target``."""

    target: str


@dataclass(frozen=True)
class Ack:
    """Confirm that the member ``subject`` received a ping.

    ``unknown_sender`` is set if ``subject`` does not list the pinging member as usable.
    """

    subject: str
    unknown_sender: bool = False


@dataclass(frozen=True)
class RecordPush:
    """Push the record of one accepted version."""

    record: VersionRecord


@dataclass(frozen=True)
class Gossip:
    """Carry member updates only; it is not acknowledged."""


Body = (
    Ping
    | PingRequest
    | Ack
    | RecordPush
    | Gossip
    | SummaryRequest
    | SummaryReply
    | QuotaRequest
    | QuotaGrant
)

MAX_DATAGRAM_BYTES = 1200
_FIELD_BYTES = 3
_MEMBER_NUMBERS_BYTES = 25
_UPSTREAM_NUMBERS_BYTES = 10
_DEPARTURE_NUMBERS_BYTES = 22
_FIXED_BYTES = 64


def _estimate_text_size(*texts: str) -> int:
    return sum(len(text.encode()) + _FIELD_BYTES for text in texts)


def estimate_member_size(member: Member) -> int:
    """Return an upper bound for the encoded size of a member update, in bytes."""
    size = _FIELD_BYTES + _MEMBER_NUMBERS_BYTES
    size += _estimate_text_size(
        member.host_id,
        member.failure_domain,
        member.peer_address,
        member.relay_address,
        member.accuser,
        member.group,
    )
    if member.departure is not None:
        size += _FIELD_BYTES + _DEPARTURE_NUMBERS_BYTES
        size += _estimate_text_size(member.departure.name)
    for upstream in member.upstreams:
        size += _FIELD_BYTES + _UPSTREAM_NUMBERS_BYTES
        size += _estimate_text_size(upstream.name, upstream.service)
    return size


def estimate_envelope_size(local_member: Member) -> int:
    """Return an upper bound for the bytes of a datagram without body and updates."""
    texts = (local_member.host_id, local_member.peer_address, local_member.gossip_group)
    return _FIXED_BYTES + _estimate_text_size(*texts)


def estimate_body_size(body: Body) -> int:
    """Return an upper bound for the bytes of a small body, or 0 for other bodies."""
    if isinstance(body, PingRequest):
        return _estimate_text_size(body.target)
    if isinstance(body, Ack):
        return _estimate_text_size(body.subject)
    return 0


@dataclass(frozen=True)
class Datagram:
    """Wrap a message with the sender's version and member updates.

    ``version`` is the active configuration version of the sender. A sender that
    ``follows_source`` follows the source of the configuration and can reach it.
    ``store_era`` is the newest era of the platform's store that it knows of, or 0.
    ``confirmation_age_ms`` of an acknowledgement is the age of the sender's proof that
    ``version`` was the newest one, plus 1, or 0 if it has no proof.
    """

    sender: str
    sender_address: str
    failure_domain: str
    sequence: int
    version: int
    body: Body
    updates: tuple[Member, ...] = ()
    follows_source: bool = False
    store_era: int = 0
    confirmation_age_ms: int = 0
