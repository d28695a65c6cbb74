"""Messages that daemons exchange as datagrams."""

from __future__ import annotations

from dataclasses import dataclass

from flamingohead.core.members import Member
from flamingohead.core.versions import VersionRecord


@dataclass(frozen=True)
class Ping:
    """Ask the receiver for an acknowledgement."""


@dataclass(frozen=True)
class PingRequest:
    """Ask the receiver to probe the member at address ``target``."""

    target: str


@dataclass(frozen=True)
class Ack:
    """Confirm that the member ``subject`` answered."""

    subject: str


@dataclass(frozen=True)
class News:
    """Push one accepted version."""

    record: VersionRecord


Body = Ping | PingRequest | Ack | News


@dataclass(frozen=True)
class Datagram:
    """Wrap a message with the sender's held version and member updates."""

    sender: str
    sender_address: str
    failure_domain: str
    sequence: int
    version: int
    digest: bytes
    body: Body
    updates: tuple[Member, ...] = ()
