"""Requests from callers to upstreams."""

from __future__ import annotations

import math
from dataclasses import dataclass

from flamingohead.core.resources import DEFAULT_MAX_ATTEMPTS

REQUEST_ID_HEADER = b"request-id"


@dataclass(frozen=True)
class Call:
    """Describe one request; ``deadline`` in monotonic seconds.

    Headers are pairs of a lower-case name and a value. ``key`` is the caller's
    idempotency key, if it sent one, and ``attempt`` the caller's attempt number, 0 if
    it sent none. ``call_id`` identifies the call across daemons. A call is ``claimed``
    if another daemon has ensured that its key is executed only once. ``caller``
    identifies the sender. Without ``may_wait``, the call is refused unless a slot is
    free. A ``bulky`` call has a large response. ``host`` is the host that the caller
    addressed, and ``request_id`` the id that the caller assigned. ``parent`` is the id
    of the running request that makes the call, if it is a nested one. A response after
    ``target_deadline`` misses the target of the rank. A ``relayed`` call comes from
    another daemon. ``organisation`` is the name of the customer that the request
    belongs to, or empty if it is not known.
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
    attempt: int = 0
    call_id: str = ""
    claimed: bool = False
    may_wait: bool = True
    bulky: bool = False
    parent: str = ""
    max_attempts: int = DEFAULT_MAX_ATTEMPTS
    host: bytes = b""
    target_deadline: float = math.inf
    relayed: bool = False
    organisation: str = ""
    large_body: bool = False

    @property
    def request_id(self) -> str:
        """Return the id that the caller assigned to the request, or an empty string."""
        for name, value in self.headers:
            if name == REQUEST_ID_HEADER:
                return value.decode("latin-1")
        return ""

    @property
    def is_keyed(self) -> bool:
        """Return whether the call must be executed at most once for its key."""
        return self.key is not None and not self.idempotent
