"""Reuse of idle connections.

A new connection for each request that must be executed at most once would be expensive
for the upstream. However, the peer may close an idle connection, or drop its state. A
request sent on such a connection is reset, and it is then unknown whether it was
executed. A request that must be executed at most once is therefore sent only on a
connection that completed a response shortly before.
"""

from __future__ import annotations

import math

# Shorter than the time for which a stopping daemon keeps idle connections open.
MAX_DAEMON_IDLE_SECONDS = 0.5
# Half of the shortest idle time (200 ms) after which upstreams drop a connection.
MAX_UPSTREAM_IDLE_SECONDS = 0.1


def get_max_idle_seconds(*, idempotent: bool, to_upstream: bool) -> float:
    """Return how many seconds a connection may have been idle before a request."""
    if idempotent:
        return math.inf
    return MAX_UPSTREAM_IDLE_SECONDS if to_upstream else MAX_DAEMON_IDLE_SECONDS
