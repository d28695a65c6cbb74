"""Key scopes: idempotency keys that name the only daemon that may run them.

A daemon issues scopes, and a caller forms keys from a scope and a suffix of its own.
Every attempt with such a key is forwarded to the home of the scope, the daemon that
issued it, which tracks the key in an in-memory ledger and does not need the platform.
If the home has left, is unreachable or has restarted, the outcome is unknown, but the
request never runs twice.
"""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass
from typing import TYPE_CHECKING

from flamingohead.core.errors import ErrorKind, ExecutionStatus, Refusal
from flamingohead.core.idempotency import FIRST_ATTEMPT

if TYPE_CHECKING:
    from collections.abc import Iterable

    from flamingohead.core.idempotency import KeyedRequest, StoredAnswer
    from flamingohead.core.ledger import KeyLedger, LedgerEntry

SCOPE_PREFIX = "fhs1"
SEPARATOR = "~"
MAC_HEX_DIGITS = 32
SUCCESSOR_COUNT = 2


@dataclass(frozen=True, slots=True)
class Scope:
    """Identify the home of a group of keys.

    ``ledger_id`` changes with each start of the home. ``expires_at`` is in whole
    seconds on the home's monotonic clock, so only the home can evaluate it.
    """

    host_id: str
    relay_address: str
    ledger_id: str
    expires_at: int

    def encode(self, secret: bytes) -> str:
        """Return the authenticated prefix to which callers append their suffixes."""
        fields = (self.host_id, self.relay_address, self.ledger_id)
        text = SEPARATOR.join((SCOPE_PREFIX, *fields, str(self.expires_at)))
        return SEPARATOR.join((text, _compute_mac(text, secret), ""))


def is_scoped_key(key: str) -> bool:
    """Return whether a key has the prefix of scoped keys; it is not verified."""
    return key.startswith(SCOPE_PREFIX + SEPARATOR)


def read_scope(key: str, secret: bytes) -> Scope | Refusal:
    """Return the scope of a key; refuse one that no daemon of this mesh issued."""
    parts = key.split(SEPARATOR, 6)
    if len(parts) != 7 or not parts[6]:
        return Refusal(ErrorKind.KEY_SCOPE_INVALID, "expected a scope and a suffix")
    text = SEPARATOR.join(parts[:5])
    expected = _compute_mac(text, secret)
    if not hmac.compare_digest(parts[5].encode(), expected.encode()):
        return Refusal(ErrorKind.KEY_SCOPE_INVALID, "the scope is not of this mesh")
    return Scope(parts[1], parts[2], parts[3], int(parts[4]))


def look_up_scoped(
    ledger: KeyLedger, ledger_id: str, scope: Scope, request: KeyedRequest, now: float
) -> LedgerEntry | StoredAnswer | Refusal | None:
    """Look up a key at its home; ``None`` means that the request may run.

    A request with an expired key never runs, since an earlier entry for the key may
    have been removed.
    """
    first = request.attempt == FIRST_ATTEMPT
    ran = ExecutionStatus.NO if first else None
    if scope.ledger_id != ledger_id:
        detail = f"{scope.host_id} has restarted"
        return Refusal(ErrorKind.KEY_HOME_UNREACHABLE, detail, ran_override=ran)
    known = ledger.look_up(request)
    if known is None and now >= scope.expires_at:
        detail = "the scope has expired"
        return Refusal(ErrorKind.KEY_EXPIRED, detail, ran_override=ran)
    return known


def rank_successors(ledger_id: str, host_ids: Iterable[str]) -> list[str]:
    """Return the hosts that keep a ledger's outcomes after its home has stopped.

    The hosts are ranked by highest random weight. The stopping daemon and one that
    requests an outcome later thus find the same hosts without coordination, as far as
    they know the same members.
    """
    ranked = sorted(host_ids, key=lambda host_id: _compute_weight(ledger_id, host_id))
    return ranked[:SUCCESSOR_COUNT]


def _compute_weight(ledger_id: str, host_id: str) -> bytes:
    return hashlib.sha256(f"{ledger_id}\0{host_id}".encode()).digest()


def _compute_mac(text: str, secret: bytes) -> str:
    mac = hmac.new(secret, text.encode(), hashlib.sha256)
    return mac.hexdigest()[:MAC_HEX_DIGITS]
