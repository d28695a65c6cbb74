"""Detection of responses that were lost while their connection stays open.

Keep-alive probes only detect a dead host or path: a server, or something in between,
may lose a response and still acknowledge probes. A long poll without a response looks
the same as one without news, unless the response has to start by a deadline of its
own. Once it has started, a large response may take long, but it must not stall.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass
class ResponseProgress:
    """Decide until when to wait for a response; times are monotonic seconds."""

    deadline: float
    # Time by which the first bytes must have arrived.
    start_deadline: float = math.inf
    max_stall_seconds: float = math.inf
    received_at: float | None = None

    def record_data(self, now: float) -> None:
        """Record that some bytes of the response have arrived."""
        self.received_at = now

    @property
    def expires_at(self) -> float:
        """Return when the response counts as lost unless more of it arrives."""
        if self.received_at is None:
            return min(self.deadline, self.start_deadline)
        return min(self.deadline, self.received_at + self.max_stall_seconds)
