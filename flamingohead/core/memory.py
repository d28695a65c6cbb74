"""A budget of bytes that requests may hold in memory at once."""

from __future__ import annotations

MAX_REQUEST_BYTES_HELD = 16 * 1024 * 1024


class ByteBudget:
    """Count bytes held and refuse those over the limit."""

    def __init__(self, limit: int = MAX_REQUEST_BYTES_HELD) -> None:
        self.limit = limit
        self.held = 0

    def reserve(self, size: int) -> bool:
        """Take bytes from the budget; return whether there was room."""
        if self.held + size > self.limit:
            return False
        self.held += size
        return True

    def release(self, size: int) -> None:
        """Give bytes back; raise ``ValueError`` if they were not held."""
        if size > self.held:
            raise ValueError(f"{size} bytes given back, {self.held} held")
        self.held -= size
