"""Bounds on what a peer in trouble may send without an end.

A deadline alone does not bound it: within seconds a fast peer fills the memory of the
daemon, or keeps it busy with bytes that belong to no body.
"""

from __future__ import annotations

# Chunk extensions and trailers of one message; as much as a head may have.
MAX_FRAMING_BYTES = 64 * 1024
# A chunk of a single byte has five bytes of framing.
MAX_FRAMING_RATIO = 8
# The body of an answer that is dropped, such as that of a refusal.
MAX_DISCARDED_BYTES = 64 * 1024


class TooManyBytes(ValueError):
    """Report a body over its bound; the message names both."""


class ByteBound:
    """Count the bytes of a body up to a limit."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._count = 0

    def add(self, size: int) -> None:
        """Count some bytes; raise ``TooManyBytes``."""
        self._count += size
        if self._count > self._limit:
            raise TooManyBytes(f"body over {self._limit} bytes")


class FramingMeter:
    """Count the bytes behind the head of a message that are not of its body."""

    def __init__(self) -> None:
        self._framing_bytes = 0
        self._body_bytes = 0

    def add(self, received: int, body: int) -> None:
        """Count bytes received, of which ``body`` belong to the body."""
        self._framing_bytes += received - body
        self._body_bytes += body

    @property
    def is_exceeded(self) -> bool:
        """Tell whether the framing is out of proportion to the body."""
        allowed = MAX_FRAMING_BYTES + MAX_FRAMING_RATIO * self._body_bytes
        return self._framing_bytes > allowed
