"""Memory budget for buffered requests."""

from __future__ import annotations

MAX_BUFFERED_REQUEST_BYTES = 16 * 1024 * 1024


class ByteBudget:
    """Track reserved bytes and refuse reservations over the limit."""

    def __init__(self, limit: int = MAX_BUFFERED_REQUEST_BYTES) -> None:
        self.limit = limit
        self.reserved_bytes = 0

    def reserve(self, size: int) -> bool:
        """Reserve bytes; return whether they fit in the budget."""
        if self.reserved_bytes + size > self.limit:
            return False
        self.reserved_bytes += size
        return True

    def release(self, size: int) -> None:
        """Release bytes; raise ``ValueError`` if they were not reserved."""
        if size > self.reserved_bytes:
            raise ValueError(
                f"released {size} bytes, but only {self.reserved_bytes} are reserved"
            )
        self.reserved_bytes -= size
