"""Budget of the memory that connections of callers and other daemons hold."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

MIB = 1024 * 1024
DEFAULT_BUDGET_BYTES = 48 * MIB
# A request with a body of 8 MiB, counted twice, fits with its head and others.
MIN_BUDGET_BYTES = 24 * MIB
# The rest of a host's memory is for the interpreter, the configuration, connections to
# upstreams and copies that exist only while a request is parsed or encoded.
BUDGET_SHARE = 0.2
# Objects of a connection that waits for a request.
CONNECTION_BYTES = 4 * 1024
# Objects of a request besides its lines and body: call, task and response.
REQUEST_BYTES = 8 * 1024
# Objects of a header line besides its bytes: two bytes objects, a tuple and an element
# of a list. A line of four bytes occupies this much as well.
LINE_BYTES = 192
# A body is copied when it is joined or encoded for an upstream.
BODY_COPIES = 2
# Share of the budget above which a connection's next request waits unread.
CONNECTION_SHARE = 1 / 16
# Share of the budget that is freed at once, so that the search is rarely repeated.
RELIEF_SHARE = 1 / 16
# A connection that neither sent nor read anything for this long is closed first.
STALL_SECONDS = 1.0
# Shares of the descriptors. The rest is for connections to upstreams, other daemons
# and the store.
INGRESS_DESCRIPTOR_SHARE = 0.5
RELAY_DESCRIPTOR_SHARE = 0.25
PEER_DESCRIPTOR_SHARE = 1 / 8
# Bounds of each endpoint for the host's own use: heartbeats, probes and metrics.
ENDPOINT_BUDGET_BYTES = 2 * MIB
MAX_ENDPOINT_CONNECTIONS = 64
MIN_ENDPOINT_CONNECTIONS = 8
ENDPOINT_DESCRIPTOR_SHARE = 1 / 32


class Relief(Enum):
    """Enumerate what is done so that the memory and descriptors suffice."""

    REQUEST_REFUSED = auto()
    CONNECTION_CLOSED = auto()
    CONNECTION_REPLACED = auto()


class ByteBudget:
    """Track reserved bytes and refuse reservations over the limit."""

    def __init__(self, limit: int = DEFAULT_BUDGET_BYTES) -> None:
        self.limit = limit
        self.reserved_bytes = 0

    @property
    def free_bytes(self) -> int:
        return max(0, self.limit - self.reserved_bytes)

    @property
    def is_exceeded(self) -> bool:
        return self.reserved_bytes > self.limit

    def reserve(self, size: int) -> bool:
        """Reserve bytes; return whether they fit in the budget."""
        if self.reserved_bytes + size > self.limit:
            return False
        self.reserved_bytes += size
        return True

    def add(self, size: int) -> None:
        """Reserve bytes that are already held, also over the limit."""
        self.reserved_bytes += size

    def release(self, size: int) -> None:
        """Release bytes; raise ``ValueError`` if they were not reserved."""
        if size > self.reserved_bytes:
            raise ValueError(
                f"released {size} bytes, but only {self.reserved_bytes} are reserved"
            )
        self.reserved_bytes -= size


@dataclass(frozen=True)
class Holding:
    """Describe what closing one connection, or refusing its request, would free."""

    owner: object
    size: int
    is_stalled: bool


def choose_releases(
    holdings: Iterable[Holding], needed: int, largest_kept: int
) -> list[object]:
    """Return the owners to release, so that ``needed`` bytes are freed, if possible.

    Stalled holdings go first, then larger ones. Holdings that have progressed and are
    no larger than ``largest_kept``, that of the request in need, are kept.
    """
    candidates = [h for h in holdings if h.is_stalled or h.size > largest_kept]
    candidates.sort(key=lambda h: (h.is_stalled, h.size), reverse=True)
    chosen, freed = [], 0
    for holding in candidates:
        if freed >= needed:
            break
        chosen.append(holding.owner)
        freed += holding.size
    return chosen


def compute_budget(memory_bytes: int) -> int:
    """Return the budget of a host with this much memory, 0 if that isn't known."""
    if memory_bytes == 0:
        return DEFAULT_BUDGET_BYTES
    return max(MIN_BUDGET_BYTES, int(memory_bytes * BUDGET_SHARE))


def compute_connection_limits(max_descriptors: int) -> tuple[int, int]:
    """Return how many connections the ingress and relay addresses may hold."""
    return (
        int(max_descriptors * INGRESS_DESCRIPTOR_SHARE),
        int(max_descriptors * RELAY_DESCRIPTOR_SHARE),
    )


def compute_peer_connections(max_descriptors: int) -> int:
    """Return how many connections for calls between daemons a daemon may hold."""
    return int(max_descriptors * PEER_DESCRIPTOR_SHARE)


def compute_endpoint_connections(max_descriptors: int) -> int:
    """Return how many connections each endpoint for the host's own use may hold."""
    if max_descriptors == 0:
        return MAX_ENDPOINT_CONNECTIONS
    share = int(max_descriptors * ENDPOINT_DESCRIPTOR_SHARE)
    return min(MAX_ENDPOINT_CONNECTIONS, max(MIN_ENDPOINT_CONNECTIONS, share))


def compute_body_bytes(size: int) -> int:
    """Return the memory that a request with a body of this size holds."""
    return REQUEST_BYTES + BODY_COPIES * size
