"""Which kept connection may carry a request.

The load it answers: many requests that may run once, each of which would cost its
upstream a new connection; and other ends that close or forget a connection that has
rested. What is sent on such a connection is reset, and then nobody can tell whether
it ran. So a request that may run once only follows close behind a whole answer.
"""

from __future__ import annotations

import math

# Shorter than the time for which a stopping daemon keeps idle connections.
DAEMON_REST_SECONDS = 0.5
# Half of the shortest rest (200 ms) after which upstreams forget a connection.
UPSTREAM_REST_SECONDS = 0.1


def get_longest_rest(*, idempotent: bool, to_upstream: bool) -> float:
    """Return for how many seconds a connection may have rested before a request."""
    if idempotent:
        return math.inf
    return UPSTREAM_REST_SECONDS if to_upstream else DAEMON_REST_SECONDS
