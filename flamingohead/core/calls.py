"""One request on its way from a caller to an upstream."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Call:
    """Describe one request; ``deadline`` in monotonic seconds.

    Headers are pairs of a lower-case name and a value. ``key`` is the caller's
    idempotency key, if it sent one. ``caller`` names who sent it.
    """

    service: str
    rank: str
    method: str
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    deadline: float
    idempotent: bool
    key: str | None = None
    caller: str = ""
