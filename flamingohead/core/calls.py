"""One request on its way from a caller to an upstream."""

from __future__ import annotations

import math
from dataclasses import dataclass

from flamingohead.core.resources import DEFAULT_MAX_ATTEMPTS

REQUEST_ID_HEADER = b"request-id"


@dataclass(frozen=True)
class Call:
    """Describe one request; ``deadline`` in monotonic seconds.

    Headers are pairs of a lower-case name and a value. ``key`` is the caller's
    idempotency key, if it sent one, and ``attempt`` its number of the attempt, 0 if
    it gave none. ``call_id`` names the call across daemons. A call is ``claimed``
    where another daemon has made sure that its key runs once. ``caller`` names who
    sent it. A call that must not wait is refused unless a slot is free. ``host`` is
    the host that the caller asked, and ``request_id`` the caller's own id. ``parent``
    is the id of the running request that makes the call, if it is a nested one. An
    answer after ``target_deadline`` misses the target of the rank.
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

    @property
    def request_id(self) -> str:
        """Return the id that the caller gave the request, or an empty one."""
        for name, value in self.headers:
            if name == REQUEST_ID_HEADER:
                return value.decode("latin-1")
        return ""

    @property
    def is_keyed(self) -> bool:
        """Tell whether the call must run at most once under its key."""
        return self.key is not None and not self.idempotent
