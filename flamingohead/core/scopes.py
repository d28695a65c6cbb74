"""Key scopes: keys that name the one daemon that may run them.

A daemon gives out scopes; a caller makes keys from a scope and its own suffix.
Every attempt with such a key is passed to the scope's home, which runs it from a
ledger in memory. The home needs no platform. A home that is gone, cut off or has
restarted leaves the outcome unknown, and never a second run.
"""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass
from typing import TYPE_CHECKING

from flamingohead.core.errors import ErrorKind, Ran, Refusal
from flamingohead.core.idempotency import FIRST_ATTEMPT

if TYPE_CHECKING:
    from collections.abc import Iterable

    from flamingohead.core.idempotency import KeyedRequest, StoredAnswer
    from flamingohead.core.ledger import KeyLedger, LedgerEntry

SCOPE_MARK = "fhs1"
SEPARATOR = "~"
MAC_HEX_DIGITS = 32
SUCCESSORS = 2


@dataclass(frozen=True, slots=True)
class Scope:
    """Name the home of keys.

    ``ledger_id`` changes with each start of the home. ``expires_at`` is in whole
    seconds on the home's monotonic clock, and only the home judges it.
    """

    host_id: str
    relay_address: str
    ledger_id: str
    expires_at: int

    def encode(self, secret: bytes) -> str:
        """Return the text that callers put before their suffixes."""
        fields = (self.host_id, self.relay_address, self.ledger_id)
        text = SEPARATOR.join((SCOPE_MARK, *fields, str(self.expires_at)))
        return SEPARATOR.join((text, _compute_mac(text, secret), ""))


def is_scoped_key(key: str) -> bool:
    """Tell whether a key claims to be made from a scope."""
    return key.startswith(SCOPE_MARK + SEPARATOR)


def read_scope(key: str, secret: bytes) -> Scope | Refusal:
    """Return the scope of a key; refuse one that no daemon of the mesh gave out."""
    parts = key.split(SEPARATOR, 6)
    if len(parts) != 7 or not parts[6]:
        return Refusal(ErrorKind.KEY_SCOPE_INVALID, "expected a scope and a suffix")
    text = SEPARATOR.join(parts[:5])
    expected = _compute_mac(text, secret)
    if not hmac.compare_digest(parts[5].encode(), expected.encode()):
        return Refusal(ErrorKind.KEY_SCOPE_INVALID, "the scope is not of this mesh")
    return Scope(parts[1], parts[2], parts[3], int(parts[4]))


def meet_scoped(
    ledger: KeyLedger, ledger_id: str, scope: Scope, request: KeyedRequest, now: float
) -> LedgerEntry | StoredAnswer | Refusal | None:
    """Return what the home knows of a key; ``None`` means that it may run.

    An expired key never runs: its entry may have been dropped.
    """
    first = request.attempt == FIRST_ATTEMPT
    ran = Ran.NO if first else None
    if scope.ledger_id != ledger_id:
        detail = f"{scope.host_id} has restarted"
        return Refusal(ErrorKind.KEY_HOME_UNREACHABLE, detail, ran_override=ran)
    known = ledger.meet(request)
    if known is None and now >= scope.expires_at:
        detail = "the scope has expired"
        return Refusal(ErrorKind.KEY_EXPIRED, detail, ran_override=ran)
    return known


def rank_successors(ledger_id: str, host_ids: Iterable[str]) -> list[str]:
    """Return the hosts that keep a ledger's outcomes after its planned stop.

    By highest random weight, so that the stopping daemon and one that asks later
    find the same hosts, without a word, as far as they know the same members.
    """
    ranked = sorted(host_ids, key=lambda host_id: _weigh(ledger_id, host_id))
    return ranked[:SUCCESSORS]


def _weigh(ledger_id: str, host_id: str) -> bytes:
    return hashlib.sha256(f"{ledger_id}\0{host_id}".encode()).digest()


def _compute_mac(text: str, secret: bytes) -> str:
    mac = hmac.new(secret, text.encode(), hashlib.sha256)
    return mac.hexdigest()[:MAC_HEX_DIGITS]
