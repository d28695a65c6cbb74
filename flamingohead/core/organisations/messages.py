"""Messages between daemons about the limits of organisations."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class QuotaDemand:
    """Report what a daemon needs of an organisation's limit, in tokens.

    ``used`` and ``returned`` count the tokens of this allocator since the daemon's
    start: those that it has used, or that waiting requests will use as soon as they are
    granted, and those that it does not need.
    """

    organisation: str
    wanted: int
    used: int = 0
    returned: int = 0


@dataclass(frozen=True)
class QuotaRequest:
    """Request tokens from the allocator of some organisations."""

    demands: tuple[QuotaDemand, ...]


@dataclass(frozen=True)
class QuotaShare:
    """Grant tokens of an organisation's limit for a time.

    ``retry_after_ms`` is above 0 if no more tokens are left until then.
    """

    organisation: str
    tokens: int
    lifetime_ms: int = 0
    retry_after_ms: int = 0


@dataclass(frozen=True)
class QuotaGrant:
    """Answer a request for tokens."""

    shares: tuple[QuotaShare, ...]
